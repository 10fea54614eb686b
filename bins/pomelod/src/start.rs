//! Binds the addresses, starts the control thread and the traffic threads, stops them gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use base::{Place, event};
use edge::EdgeState;
use kernel::{Kernel, LocalDaemon, Setup, View};
use prometheus::Registry;
use store::HttpStore;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::control::{self, Control, Sockets};
use crate::fatal::Fatal;
use crate::settings::Settings;

/// Reports of traffic that may wait for control.
const REPORT_QUEUE: usize = 8_192;
/// Attempts to find a port that is free for both UDP and TCP.
const PORT_TRIES: usize = 16;

/// Longest time for one operation of traffic on the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the daemon until it is told to stop.
///
/// # Errors
/// Fails when an address or a thread can't be had.
pub fn run(settings: &Settings) -> Result<(), Fatal> {
    let control_runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Fatal::Threads { source })?;
    let traffic_runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(|source| Fatal::Threads { source })?;
    let sockets = control_runtime.block_on(bind(settings))?;
    let callers = traffic_runtime.block_on(listen("--listen", settings.listen))?;
    let me =
        LocalDaemon::new(sockets.peer, sockets.api_addr, &settings.region, &settings.data_centre, wall_ms());
    let listen_addr = callers.local_addr().unwrap_or(settings.listen);

    let registry = Registry::new();
    let setup = Setup {
        seed: u64::from(std::process::id()) ^ me.incarnation,
        peers: settings.peers.clone(),
        hasher: settings.hasher.clone(),
        registry: registry.clone(),
        me,
    };
    let place = setup.me.place.clone();
    let kernel = Kernel::new(setup, Instant::now());
    let (reports, report_rx) = mpsc::channel(REPORT_QUEUE);
    let shared = make_shared(settings, &kernel, &registry, reports, place);
    let stop = CancellationToken::new();
    let traffic_done = CancellationToken::new();

    println!("ready listen={listen_addr} api={} peer={}", sockets.api_addr, sockets.peer);
    event!(Info, DaemonStarted, "listen={listen_addr} api={} peer={}", sockets.api_addr, sockets.peer);
    let traffic = traffic_runtime.spawn(serve_callers(
        callers,
        Arc::clone(&shared),
        stop.clone(),
        traffic_done.clone(),
    ));
    let control = Control { kernel, shared, registry, report_rx, stop: stop.clone(), traffic_done };
    control_runtime.block_on(async {
        tokio::spawn(watch_signals(stop));
        control::run(control, sockets, settings).await;
    });
    drop(traffic);
    event!(Info, DaemonStopped, "");
    Ok(())
}

fn make_shared(
    settings: &Settings,
    kernel: &Kernel,
    registry: &Registry,
    reports: mpsc::Sender<kernel::Report>,
    place: Place,
) -> Arc<EdgeState> {
    let caller = kernel.board().me.id.to_string();
    let table = HttpStore::new(settings.store, &caller, STORE_TIMEOUT);
    Arc::new(EdgeState::new(
        View::empty(place),
        Arc::clone(kernel.pools()),
        reports,
        settings.hasher.clone(),
        edge::Metrics::new(registry),
        Arc::new(table),
    ))
}

async fn serve_callers(
    callers: TcpListener,
    shared: Arc<EdgeState>,
    stop: CancellationToken,
    done: CancellationToken,
) {
    edge::listen::serve_callers(callers, Arc::clone(&shared), stop).await;
    shared.tracker.close();
    shared.tracker.wait().await;
    done.cancel();
}

async fn watch_signals(stop: CancellationToken) {
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    event!(Info, DaemonStopping, "");
    stop.cancel();
}

async fn listen(flag: &'static str, addr: SocketAddr) -> Result<TcpListener, Fatal> {
    TcpListener::bind(addr).await.map_err(|source| Fatal::Listen { flag, addr, source })
}

async fn bind(settings: &Settings) -> Result<Sockets, Fatal> {
    let api = listen("--api", settings.api).await?;
    let api_addr = api.local_addr().unwrap_or(settings.api);
    let (udp, tcp) = bind_peer(settings.peer_listen).await?;
    let peer = udp.local_addr().unwrap_or(settings.peer_listen);
    Ok(Sockets { api, api_addr, udp, tcp, peer })
}

async fn bind_peer(addr: SocketAddr) -> Result<(UdpSocket, TcpListener), Fatal> {
    let mut tries = 0;
    loop {
        tries += 1;
        match try_bind_peer(addr).await {
            Ok(pair) => return Ok(pair),
            Err(_) if addr.port() == 0 && tries < PORT_TRIES => {}
            Err(source) => {
                return Err(Fatal::Listen { flag: "--peer-listen", addr, source });
            }
        }
    }
}

async fn try_bind_peer(addr: SocketAddr) -> std::io::Result<(UdpSocket, TcpListener)> {
    let tcp = TcpListener::bind(addr).await?;
    let udp = UdpSocket::bind(tcp.local_addr()?).await?;
    Ok((udp, tcp))
}

/// Milliseconds since the epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
