//! The control thread: feeds the kernel and carries out its outputs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use edge::Shared;
use kernel::{ApiRep, ApiReq, Input, Kernel, Output, Report, Ticket};
use prometheus::Registry;
use store::HttpStore;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use wire::Envelope;

use crate::api;
use crate::peer::Peers;
use crate::settings::Settings;
use crate::start::wall_ms;

/// Inputs from tasks of the control thread that may wait.
const INPUT_QUEUE: usize = 4_096;
/// Reports taken in one turn.
const REPORT_BATCH: usize = 256;
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
    pub shared: Arc<Shared>,
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

/// Carries out outputs.
struct Driver {
    kernel: Kernel,
    shared: Arc<Shared>,
    peers: Peers,
    store: HttpStore,
    inputs: mpsc::Sender<Input>,
    waiting: HashMap<Ticket, oneshot::Sender<ApiRep>>,
    next_ticket: Ticket,
}

/// Runs control until the daemon has stopped.
pub async fn run(control: Control, sockets: Sockets, settings: &Settings) {
    let (inputs, mut input_rx) = mpsc::channel(INPUT_QUEUE);
    let (calls, mut call_rx) = mpsc::channel(INPUT_QUEUE);
    let store = HttpStore::new(settings.store, &sockets.peer.to_string(), STORE_TIMEOUT);
    let incarnation = control.kernel.board().me.incarnation;
    let peers = Peers::start(settings.secret.clone(), sockets.udp, sockets.tcp, incarnation, inputs.clone());
    tokio::spawn(api::listen(sockets.api, calls, control.registry, Arc::clone(&control.shared)));
    let mut driver = Driver {
        kernel: control.kernel,
        shared: control.shared,
        peers,
        store,
        inputs,
        waiting: HashMap::new(),
        next_ticket: 0,
    };
    let mut report_rx = control.report_rx;
    let mut tick = tokio::time::interval(Duration::from_millis(kernel::machine::TICK_MS));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut reports = Vec::with_capacity(REPORT_BATCH);
    let mut stop_seen = false;
    loop {
        tokio::select! {
            _ = tick.tick() => driver.handle(Input::Tick),
            Some(input) = input_rx.recv() => driver.handle(input),
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
    fn handle(&mut self, input: Input) {
        let outputs = self.kernel.handle(Instant::now(), wall_ms(), input);
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn call(&mut self, call: ApiCall) {
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
                    let res = store::call(&store, &op).await;
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
