//! Binds the addresses, starts the control thread and the traffic threads, and stops them gracefully.

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
use crate::settings::Settings;
use crate::start_error::StartError;

/// Capacity of the queue of reports from the traffic threads to the control thread.
const REPORT_QUEUE_CAPACITY: usize = 8_192;
/// Attempts to find a port that is free for both UDP and TCP, if port 0 was given.
const MAX_BIND_ATTEMPTS: usize = 16;

/// Timeout of one store operation of the traffic threads.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the daemon until it is told to stop.
///
/// # Errors
/// Fails if an address can't be bound or a runtime can't be started.
pub fn run_daemon(settings: &Settings) -> Result<(), StartError> {
    let control_runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| StartError::Threads { source })?;
    let traffic_runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(|source| StartError::Threads { source })?;
    let sockets = control_runtime.block_on(bind_control_sockets(settings))?;
    let listener = traffic_runtime.block_on(bind_tcp("--listen", settings.listen))?;
    let me = LocalDaemon::new(
        sockets.peer_addr,
        sockets.api_addr,
        &settings.region,
        &settings.data_centre,
        wall_ms(),
    );
    let listen_addr = listener.local_addr().unwrap_or(settings.listen);

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
    let (reports, report_rx) = mpsc::channel(REPORT_QUEUE_CAPACITY);
    let shared = make_edge_state(settings, &kernel, &registry, reports, place);
    let stop = CancellationToken::new();
    let traffic_done = CancellationToken::new();

    println!("ready listen={listen_addr} api={} peer={}", sockets.api_addr, sockets.peer_addr);
    event!(Info, DaemonStarted, "listen={listen_addr} api={} peer={}", sockets.api_addr, sockets.peer_addr);
    let traffic = traffic_runtime.spawn(serve_traffic(
        listener,
        Arc::clone(&shared),
        stop.clone(),
        traffic_done.clone(),
    ));
    let control = Control { kernel, shared, registry, report_rx, stop: stop.clone(), traffic_done };
    control_runtime.block_on(async {
        tokio::spawn(stop_on_signal(stop));
        control::run_control(control, sockets, settings).await;
    });
    drop(traffic);
    event!(Info, DaemonStopped, "");
    Ok(())
}

fn make_edge_state(
    settings: &Settings,
    kernel: &Kernel,
    registry: &Registry,
    reports: mpsc::Sender<kernel::Report>,
    place: Place,
) -> Arc<EdgeState> {
    let caller = kernel.board().me.id.to_string();
    let store = HttpStore::new(settings.store, &caller, STORE_TIMEOUT);
    Arc::new(EdgeState::new(
        View::empty(place),
        Arc::clone(kernel.pools()),
        reports,
        settings.hasher.clone(),
        edge::Metrics::new(registry),
        Arc::new(store),
    ))
}

/// Serves callers until `stop` is cancelled and their last request has ended, then cancels `done`.
async fn serve_traffic(
    listener: TcpListener,
    shared: Arc<EdgeState>,
    stop: CancellationToken,
    done: CancellationToken,
) {
    edge::listen::serve_callers(listener, Arc::clone(&shared), stop).await;
    shared.tracker.close();
    shared.tracker.wait().await;
    done.cancel();
}

/// Cancels `stop` on SIGTERM or SIGINT.
async fn stop_on_signal(stop: CancellationToken) {
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

async fn bind_tcp(flag: &'static str, addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).await.map_err(|source| StartError::Listen { flag, addr, source })
}

async fn bind_control_sockets(settings: &Settings) -> Result<Sockets, StartError> {
    let api = bind_tcp("--api", settings.api).await?;
    let api_addr = api.local_addr().unwrap_or(settings.api);
    let (udp, tcp) = bind_peer_sockets(settings.peer_listen).await?;
    let peer_addr = udp.local_addr().unwrap_or(settings.peer_listen);
    Ok(Sockets { api, api_addr, udp, tcp, peer_addr })
}

/// Binds UDP and TCP to the same port; with port 0, tries several free ports.
async fn bind_peer_sockets(addr: SocketAddr) -> Result<(UdpSocket, TcpListener), StartError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match bind_udp_and_tcp(addr).await {
            Ok(pair) => return Ok(pair),
            Err(_) if addr.port() == 0 && attempts < MAX_BIND_ATTEMPTS => {}
            Err(source) => {
                return Err(StartError::Listen { flag: "--peer-listen", addr, source });
            }
        }
    }
}

async fn bind_udp_and_tcp(addr: SocketAddr) -> std::io::Result<(UdpSocket, TcpListener)> {
    let tcp = TcpListener::bind(addr).await?;
    let udp = UdpSocket::bind(tcp.local_addr()?).await?;
    Ok((udp, tcp))
}

/// Wall clock in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
