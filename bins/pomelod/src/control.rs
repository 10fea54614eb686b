//! The control thread: feeds the kernel and carries out its outputs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use edge::EdgeState;
use kernel::{ApiRep, ApiReq, Input, Kernel, Output, Report, Ticket};
use prometheus::{Counter, Histogram, HistogramOpts, Registry};
use store::HttpStore;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use wire::Envelope;

use crate::api;
use crate::peer::{PeerMetrics, Peers};
use crate::settings::Settings;
use crate::start::wall_ms;

/// Inputs from tasks of the control thread that may wait.
const INPUT_QUEUE: usize = 4_096;
/// Messages and store results taken in one turn, at most.
const INPUT_BATCH: usize = 64;
/// Reports taken in one turn, at most; turns of all kinds are taken in random order, so none starves.
const REPORT_BATCH: usize = 64;
/// Calls on the operator API that wait, above which those whose callers are gone are dropped.
const WAITING_SWEEP: usize = 256;
/// Bounds of the histogram of late ticks, in seconds.
const TICK_BUCKETS: [f64; 7] = [0.001, 0.005, 0.02, 0.05, 0.2, 1.0, 5.0];
/// Longest time for one store operation.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sockets of control.
#[derive(Debug)]
pub struct Sockets {
    /// Listens for operators and servers.
    pub api: TcpListener,
    /// Its address.
    pub api_addr: SocketAddr,
    /// Datagrams of other daemons.
    pub udp: UdpSocket,
    /// Bulk messages of other daemons.
    pub tcp: TcpListener,
    /// Address of both.
    pub peer: SocketAddr,
}

/// Everything that the control thread owns.
#[derive(Debug)]
pub struct Control {
    /// Control state.
    pub kernel: Kernel,
    /// Shared with traffic.
    pub shared: Arc<EdgeState>,
    /// Metrics.
    pub registry: Registry,
    /// Reports of traffic.
    pub report_rx: mpsc::Receiver<Report>,
    /// Cancelled when the daemon shall stop.
    pub stop: CancellationToken,
    /// Cancelled when traffic has finished.
    pub traffic_done: CancellationToken,
}

/// A request on the operator API that waits for its answer.
#[derive(Debug)]
pub struct ApiCall {
    /// Request.
    pub req: ApiReq,
    /// Where the answer goes.
    pub reply: oneshot::Sender<ApiRep>,
}

/// Metrics of the control thread.
#[derive(Debug)]
struct ControlMetrics {
    tick_late: Histogram,
    busy: Counter,
}

impl ControlMetrics {
    /// Makes and registers the metrics. The names are literals, so that a wrong one fails every start.
    fn new(registry: &Registry) -> Self {
        let help = "Time in seconds by which ticks of the control thread came late";
        let opts =
            HistogramOpts::new("pomelo_control_tick_late_seconds", help).buckets(TICK_BUCKETS.to_vec());
        let tick_late = Histogram::with_opts(opts).expect("a valid metric");
        let help = "Time in seconds that the control kernel has worked";
        let busy = Counter::new("pomelo_control_busy_seconds_total", help).expect("a valid metric");
        let _ = registry.register(Box::new(tick_late.clone()));
        let _ = registry.register(Box::new(busy.clone()));
        Self { tick_late, busy }
    }
}

/// Carries out outputs.
struct Driver {
    kernel: Kernel,
    shared: Arc<EdgeState>,
    peers: Peers,
    store: HttpStore,
    inputs: mpsc::Sender<Input>,
    waiting: HashMap<Ticket, oneshot::Sender<ApiRep>>,
    next_ticket: Ticket,
    metrics: ControlMetrics,
}

/// Runs control until the daemon has stopped.
pub async fn run(control: Control, sockets: Sockets, settings: &Settings) {
    let (inputs, mut input_rx) = mpsc::channel(INPUT_QUEUE);
    let (calls, mut call_rx) = mpsc::channel(INPUT_QUEUE);
    let store = HttpStore::new(settings.store, &sockets.peer.to_string(), STORE_TIMEOUT);
    let metrics = ControlMetrics::new(&control.registry);
    let peer_metrics = PeerMetrics::new(&control.registry);
    let peers =
        Peers::start(settings.secret.clone(), sockets.udp, sockets.tcp, peer_metrics, inputs.clone()).await;
    tokio::spawn(api::listen(sockets.api, calls, control.registry, Arc::clone(&control.shared)));
    let mut driver = Driver {
        kernel: control.kernel,
        shared: control.shared,
        peers,
        store,
        inputs,
        waiting: HashMap::new(),
        next_ticket: 0,
        metrics,
    };
    let mut report_rx = control.report_rx;
    let mut tick = tokio::time::interval(Duration::from_millis(kernel::machine::TICK_MS));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut batch = Vec::with_capacity(INPUT_BATCH);
    let mut reports = Vec::with_capacity(REPORT_BATCH);
    let mut stop_seen = false;
    loop {
        tokio::select! {
            scheduled = tick.tick() => driver.tick(scheduled.into_std()),
            _ = input_rx.recv_many(&mut batch, INPUT_BATCH) => {
                for input in batch.drain(..) {
                    driver.handle(input);
                }
            }
            Some(call) = call_rx.recv() => driver.call(call),
            _ = report_rx.recv_many(&mut reports, REPORT_BATCH) => {
                for report in reports.drain(..) {
                    driver.handle(Input::Report(report));
                }
            }
            () = control.stop.cancelled(), if !stop_seen => {
                stop_seen = true;
                driver.handle(Input::Stop);
            }
        }
        if control.traffic_done.is_cancelled() && driver.kernel.is_finished() {
            driver.peers.flush().await;
            return;
        }
    }
}

impl Driver {
    fn tick(&mut self, scheduled: Instant) {
        let late = Instant::now().saturating_duration_since(scheduled);
        self.metrics.tick_late.observe(late.as_secs_f64());
        self.handle(Input::Tick);
    }

    fn handle(&mut self, input: Input) {
        let started = Instant::now();
        let outputs = self.kernel.handle(started, wall_ms(), input);
        for output in outputs {
            self.carry_out(output);
        }
        self.metrics.busy.inc_by(started.elapsed().as_secs_f64());
    }

    fn call(&mut self, call: ApiCall) {
        if self.waiting.len() >= WAITING_SWEEP {
            self.waiting.retain(|_, reply| !reply.is_closed());
        }
        self.next_ticket += 1;
        self.waiting.insert(self.next_ticket, call.reply);
        self.handle(Input::Api { ticket: self.next_ticket, req: call.req });
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, msg } => {
                let me = &self.kernel.board().me;
                self.peers.send(&Envelope { from: me.id, to, incarnation: me.incarnation, msg });
            }
            Output::Store { token, op } => {
                let store = self.store.clone();
                let inputs = self.inputs.clone();
                tokio::spawn(async move {
                    let res = store::execute_op(&store, &op).await;
                    let _ = inputs.send(Input::Store { token, res }).await;
                });
            }
            Output::Answer { ticket, rep } => {
                if let Some(reply) = self.waiting.remove(&ticket) {
                    let _ = reply.send(rep);
                }
            }
            Output::Publish(view) => self.shared.publish(&view),
        }
    }
}
