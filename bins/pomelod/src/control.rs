//! The control thread: passes inputs to the kernel and executes the kernel's outputs.

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

/// Capacity of the queue of inputs (peer messages, store results) and of the queue of API calls.
const INPUT_QUEUE_CAPACITY: usize = 4_096;
/// Most messages and store results handled in one iteration of the loop in [`run_control`].
const MAX_INPUT_BATCH: usize = 64;
/// Most reports of the traffic threads handled in one iteration. `select!` polls the queues in random order,
/// so that none of them starves.
const MAX_REPORT_BATCH: usize = 64;
/// Number of unanswered API calls from which on those whose client has gone or timed out are dropped.
const WAITING_CALLS_SWEEP_THRESHOLD: usize = 256;
/// Upper bounds of the buckets of the tick lateness histogram.
const TICK_LATE_BUCKETS_S: [f64; 7] = [0.001, 0.005, 0.02, 0.05, 0.2, 1.0, 5.0];
/// Timeout of one store operation of the control thread.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sockets of the control thread.
#[derive(Debug)]
pub struct Sockets {
    /// Listener of the operator API.
    pub api: TcpListener,
    /// Bound address of `api`.
    pub api_addr: SocketAddr,
    /// Socket for small messages between daemons.
    pub udp: UdpSocket,
    /// Listener for bulk messages of other daemons.
    pub tcp: TcpListener,
    /// Bound address of `udp` and `tcp`, by which other daemons reach this one.
    pub peer_addr: SocketAddr,
}

/// Everything that the control thread owns.
#[derive(Debug)]
pub struct Control {
    /// Control state of this daemon.
    pub kernel: Kernel,
    /// State shared with the traffic threads.
    pub shared: Arc<EdgeState>,
    /// Registry of the daemon's metrics.
    pub registry: Registry,
    /// Reports of the traffic threads.
    pub report_rx: mpsc::Receiver<Report>,
    /// Cancelled when the daemon is told to stop.
    pub stop: CancellationToken,
    /// Cancelled when all requests of callers have ended.
    pub traffic_done: CancellationToken,
}

/// A request to the operator API, on its way to the control thread.
#[derive(Debug)]
pub struct ApiCall {
    /// Request of the operator or backend server.
    pub req: ApiReq,
    /// Channel for the answer; closed when nobody waits for the answer any more.
    pub reply: oneshot::Sender<ApiRep>,
}

/// Metrics of the control thread.
#[derive(Debug)]
struct ControlMetrics {
    tick_late: Histogram,
    busy: Counter,
}

impl ControlMetrics {
    /// Creates and registers the metrics. An invalid name panics at every start, because names are literals.
    fn new(registry: &Registry) -> Self {
        let help = "Time in seconds by which ticks of the control thread came late";
        let opts = HistogramOpts::new("pomelo_control_tick_late_seconds", help)
            .buckets(TICK_LATE_BUCKETS_S.to_vec());
        let tick_late = Histogram::with_opts(opts).expect("a valid metric");
        let help = "Time in seconds that the control kernel has worked";
        let busy = Counter::new("pomelo_control_busy_seconds_total", help).expect("a valid metric");
        let _ = registry.register(Box::new(tick_late.clone()));
        let _ = registry.register(Box::new(busy.clone()));
        Self { tick_late, busy }
    }
}

/// The kernel with everything that is needed to execute its outputs.
struct Driver {
    kernel: Kernel,
    shared: Arc<EdgeState>,
    peers: Peers,
    store: HttpStore,
    inputs: mpsc::Sender<Input>,
    /// Reply channels of the API calls that the kernel has not answered yet.
    waiting_calls: HashMap<Ticket, oneshot::Sender<ApiRep>>,
    last_ticket: Ticket,
    metrics: ControlMetrics,
}

/// Runs the control thread until the daemon has stopped.
pub async fn run_control(control: Control, sockets: Sockets, settings: &Settings) {
    let (inputs, mut input_rx) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    let (calls, mut call_rx) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    let store = HttpStore::new(settings.store, &sockets.peer_addr.to_string(), STORE_TIMEOUT);
    let metrics = ControlMetrics::new(&control.registry);
    let peer_metrics = PeerMetrics::new(&control.registry);
    let peers =
        Peers::start(settings.secret.clone(), sockets.udp, sockets.tcp, peer_metrics, inputs.clone()).await;
    tokio::spawn(api::serve_api(sockets.api, calls, control.registry, Arc::clone(&control.shared)));
    let mut driver = Driver {
        kernel: control.kernel,
        shared: control.shared,
        peers,
        store,
        inputs,
        waiting_calls: HashMap::new(),
        last_ticket: 0,
        metrics,
    };
    let mut report_rx = control.report_rx;
    let mut tick = tokio::time::interval(Duration::from_millis(kernel::machine::TICK_MS));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut input_batch = Vec::with_capacity(MAX_INPUT_BATCH);
    let mut reports = Vec::with_capacity(MAX_REPORT_BATCH);
    let mut is_stopping = false;
    loop {
        tokio::select! {
            scheduled = tick.tick() => driver.handle_tick(scheduled.into_std()),
            _ = input_rx.recv_many(&mut input_batch, MAX_INPUT_BATCH) => {
                for input in input_batch.drain(..) {
                    driver.handle_input(input);
                }
            }
            Some(call) = call_rx.recv() => driver.handle_call(call),
            _ = report_rx.recv_many(&mut reports, MAX_REPORT_BATCH) => {
                for report in reports.drain(..) {
                    driver.handle_input(Input::Report(report));
                }
            }
            () = control.stop.cancelled(), if !is_stopping => {
                is_stopping = true;
                driver.handle_input(Input::Stop);
            }
        }
        if control.traffic_done.is_cancelled() && driver.kernel.is_finished() {
            driver.peers.flush().await;
            return;
        }
    }
}

impl Driver {
    fn handle_tick(&mut self, scheduled: Instant) {
        let lateness = Instant::now().saturating_duration_since(scheduled);
        self.metrics.tick_late.observe(lateness.as_secs_f64());
        self.handle_input(Input::Tick);
    }

    fn handle_input(&mut self, input: Input) {
        let started = Instant::now();
        let outputs = self.kernel.handle(started, wall_ms(), input);
        for output in outputs {
            self.execute_output(output);
        }
        self.metrics.busy.inc_by(started.elapsed().as_secs_f64());
    }

    fn handle_call(&mut self, call: ApiCall) {
        if self.waiting_calls.len() >= WAITING_CALLS_SWEEP_THRESHOLD {
            self.waiting_calls.retain(|_, reply| !reply.is_closed());
        }
        self.last_ticket += 1;
        self.waiting_calls.insert(self.last_ticket, call.reply);
        self.handle_input(Input::Api { ticket: self.last_ticket, req: call.req });
    }

    fn execute_output(&mut self, output: Output) {
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
                if let Some(reply) = self.waiting_calls.remove(&ticket) {
                    let _ = reply.send(rep);
                }
            }
            Output::Publish(view) => self.shared.publish(&view),
        }
    }
}
