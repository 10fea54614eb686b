//! Transport between daemons: UDP datagrams for small messages, `tarpc` over framed TCP for bulk messages,
//! which are those above [`MAX_DATAGRAM_BYTES`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::event;
use futures_util::StreamExt;
use kernel::Input;
use prometheus::{IntCounterVec, Opts, Registry};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Semaphore, mpsc};
use tokio_util::task::TaskTracker;
use wire::bulk::{Bulk, BulkClient, PostcardCodec, frame_codec};
use wire::{Envelope, FleetSecret, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, OpenError};

/// Most bulk messages that wait to be sent to one daemon; further ones are dropped.
const BULK_QUEUE_CAPACITY: usize = 64;
/// Timeout of connecting for, or delivering, one bulk message.
const BULK_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a bulk message after which the sender closes the connection.
const BULK_IDLE_SENDER: Duration = Duration::from_secs(30);
/// Time without a bulk message after which the receiver closes the connection.
const BULK_IDLE_RECEIVER: Duration = Duration::from_mins(1);
/// Concurrent bulk connections of other daemons; further ones are closed at once.
const MAX_BULK_CONNECTIONS: usize = 1_024;
/// Pause after a failed accept or receive, so that a persistent error does not cause a busy loop.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Counters of messages between daemons.
#[derive(Clone, Debug)]
pub struct PeerMetrics {
    /// Received messages by result: `taken`, or why the message was dropped.
    received: IntCounterVec,
    /// Messages to send by result: `datagram`, `bulk`, or why the message was dropped.
    sent: IntCounterVec,
}

impl PeerMetrics {
    /// Creates and registers the counters. An invalid name panics at every start, because names are literals.
    pub fn new(registry: &Registry) -> Self {
        let make = |name: &str, help: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &["result"]).expect("a valid metric");
            let _ = registry.register(Box::new(counters.clone()));
            counters
        };
        Self {
            received: make("pomelo_peer_received_total", "Messages of other daemons by result"),
            sent: make("pomelo_peer_sent_total", "Messages to other daemons by result"),
        }
    }

    fn count_received(&self, result: &str) {
        self.received.with_label_values(&[result]).inc();
    }

    fn count_sent(&self, result: &str) {
        self.sent.with_label_values(&[result]).inc();
    }
}

/// Sends messages to other daemons and passes received ones to the control thread.
#[derive(Debug)]
pub struct Peers {
    secret: FleetSecret,
    udp: Arc<UdpSocket>,
    /// Queues of the tasks that send bulk messages, by receiver.
    bulk_queues: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
    /// Tracks the tasks that send bulk messages.
    tracker: TaskTracker,
    metrics: PeerMetrics,
}

/// Authenticates received messages and passes them to the control thread.
#[derive(Clone, Debug)]
struct Receiver {
    secret: FleetSecret,
    me: SocketAddr,
    inputs: mpsc::Sender<Input>,
    metrics: PeerMetrics,
}

impl Receiver {
    /// Passes a sealed message on without waiting. If the control thread's queue is full, the message is
    /// dropped, like one that is lost in the network.
    fn receive_sealed(&self, sealed: &[u8]) {
        let result = match wire::open(&self.secret, sealed) {
            Ok(e) if e.to == self.me => {
                let input = Input::Msg { from: e.from, incarnation: e.incarnation, msg: e.msg };
                if self.inputs.try_send(input).is_ok() { "taken" } else { "queue-full" }
            }
            Ok(e) => {
                event!(Debug, DatagramRefused, "from={} addressed to {}", e.from, e.to);
                "other-address"
            }
            Err(e) => {
                event!(Debug, DatagramRefused, "{e}");
                refusal_label(e)
            }
        };
        self.metrics.count_received(result);
    }
}

/// Value of the label `result` for a message that could not be opened.
const fn refusal_label(e: OpenError) -> &'static str {
    match e {
        OpenError::UnknownProtocol => "not-ours",
        OpenError::NotAuthentic => "not-authentic",
        OpenError::Malformed => "malformed",
    }
}

impl Bulk for Receiver {
    async fn deliver(self, _cx: tarpc::context::Context, sealed: Vec<u8>) {
        self.receive_sealed(&sealed);
    }
}

impl Peers {
    /// Starts receiving on both sockets.
    pub async fn start(
        secret: FleetSecret,
        udp: UdpSocket,
        tcp: TcpListener,
        metrics: PeerMetrics,
        inputs: mpsc::Sender<Input>,
    ) -> Self {
        // `try_send_to` fails until tokio has seen once that the socket is writable.
        let _ = udp.writable().await;
        let udp = Arc::new(udp);
        let me = udp.local_addr().unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)));
        let receiver = Receiver { secret: secret.clone(), me, inputs, metrics: metrics.clone() };
        tokio::spawn(receive_datagrams(Arc::clone(&udp), receiver.clone()));
        tokio::spawn(receive_bulk(tcp, receiver));
        Self { secret, udp, bulk_queues: HashMap::new(), tracker: TaskTracker::new(), metrics }
    }

    /// Sends a message without waiting; a message that can't be sent or queued at once is dropped and
    /// counted.
    pub fn send(&mut self, envelope: &Envelope) {
        let sealed = wire::seal(&self.secret, envelope);
        let to = envelope.to;
        let result = if sealed.len() <= MAX_DATAGRAM_BYTES {
            let is_sent = self.udp.try_send_to(&sealed, to).is_ok();
            if is_sent { "datagram" } else { "socket-full" }
        } else if sealed.len() > MAX_FRAME_BYTES {
            "too-large"
        } else {
            let queue = self.bulk_queues.get(&to).filter(|q| !q.is_closed()).cloned();
            let queue = queue.unwrap_or_else(|| self.open_bulk_queue(to));
            if queue.try_send(sealed).is_ok() { "bulk" } else { "bulk-queue-full" }
        };
        self.metrics.count_sent(result);
    }

    fn open_bulk_queue(&mut self, to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
        self.bulk_queues.retain(|_, q| !q.is_closed());
        let (tx, rx) = mpsc::channel(BULK_QUEUE_CAPACITY);
        self.tracker.spawn(send_bulk(to, rx));
        self.bulk_queues.insert(to, tx.clone());
        tx
    }

    /// Waits until queued bulk messages are sent, at most [`BULK_TIMEOUT`].
    pub async fn flush(&mut self) {
        self.bulk_queues.clear();
        self.tracker.close();
        let _ = tokio::time::timeout(BULK_TIMEOUT, self.tracker.wait()).await;
    }
}

async fn receive_datagrams(udp: Arc<UdpSocket>, receiver: Receiver) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match udp.recv_from(&mut buf).await {
            Ok((len, _)) if len > MAX_DATAGRAM_BYTES => receiver.metrics.count_received("too-large"),
            Ok((len, _)) => receiver.receive_sealed(&buf[..len]),
            Err(_) => tokio::time::sleep(SOCKET_ERROR_PAUSE).await,
        }
    }
}

async fn receive_bulk(tcp: TcpListener, receiver: Receiver) {
    let connection_permits = Arc::new(Semaphore::new(MAX_BULK_CONNECTIONS));
    loop {
        let Ok((stream, _)) = tcp.accept().await else {
            tokio::time::sleep(SOCKET_ERROR_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connection_permits).try_acquire_owned() else {
            receiver.metrics.count_received("too-many-connections");
            continue;
        };
        let receiver = receiver.clone();
        tokio::spawn(async move {
            serve_bulk(stream, receiver).await;
            drop(permit);
        });
    }
}

/// Receives bulk messages on one connection, one after the other, until the connection is idle for too long.
async fn serve_bulk(stream: TcpStream, receiver: Receiver) {
    let transport =
        tarpc::serde_transport::new(tokio_util::codec::Framed::new(stream, frame_codec()), PostcardCodec);
    let requests = BaseChannel::with_defaults(transport).execute(receiver.serve());
    tokio::pin!(requests);
    while let Ok(Some(response)) = tokio::time::timeout(BULK_IDLE_RECEIVER, requests.next()).await {
        response.await;
    }
}

/// Connects to a daemon and sends its queued bulk messages until the queue is idle for too long or a send
/// fails.
async fn send_bulk(to: SocketAddr, mut rx: mpsc::Receiver<Vec<u8>>) {
    let Ok(Ok(stream)) = tokio::time::timeout(BULK_TIMEOUT, TcpStream::connect(to)).await else {
        return;
    };
    let transport =
        tarpc::serde_transport::new(tokio_util::codec::Framed::new(stream, frame_codec()), PostcardCodec);
    let client = BulkClient::new(tarpc::client::Config::default(), transport).spawn();
    while let Ok(Some(sealed)) = tokio::time::timeout(BULK_IDLE_SENDER, rx.recv()).await {
        let mut cx = tarpc::context::current();
        cx.deadline = Instant::now() + BULK_TIMEOUT;
        if client.deliver(cx, sealed).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
#[path = "peer_tests.rs"]
mod peer_tests;
