//! Transport between daemons: datagrams for small messages, `tarpc` over framed TCP for large ones.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::event;
use futures_util::StreamExt;
use kernel::Input;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;
use wire::bulk::{Bulk, BulkClient, PostcardCodec, frames};
use wire::{Envelope, FleetSecret, MAX_DATAGRAM_BYTES};

/// Large messages that may wait for one receiver.
const BULK_QUEUE: usize = 64;
/// Longest time for one large message.
const BULK_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends messages to other daemons and feeds received ones to the kernel.
#[derive(Debug)]
pub struct Peers {
    secret: FleetSecret,
    udp: Arc<UdpSocket>,
    bulk: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
    tracker: TaskTracker,
}

/// Opens received messages and hands them to the kernel.
#[derive(Clone, Debug)]
struct Receiver {
    secret: FleetSecret,
    me: SocketAddr,
    inputs: mpsc::Sender<Input>,
}

impl Receiver {
    async fn receive(&self, sealed: &[u8]) {
        match wire::open(&self.secret, sealed) {
            Ok(e) if e.to == self.me => {
                let input = Input::Msg { from: e.from, incarnation: e.incarnation, msg: e.msg };
                let _ = self.inputs.send(input).await;
            }
            Ok(e) => event!(Debug, DatagramRefused, "from={} addressed to {}", e.from, e.to),
            Err(e) => event!(Debug, DatagramRefused, "{e}"),
        }
    }
}

impl Bulk for Receiver {
    async fn deliver(self, _cx: tarpc::context::Context, sealed: Vec<u8>) {
        self.receive(&sealed).await;
    }
}

impl Peers {
    /// Starts receiving on both sockets.
    pub fn start(
        secret: FleetSecret,
        udp: UdpSocket,
        tcp: TcpListener,
        _incarnation: u64,
        inputs: mpsc::Sender<Input>,
    ) -> Self {
        let udp = Arc::new(udp);
        let me = udp.local_addr().unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)));
        let receiver = Receiver { secret: secret.clone(), me, inputs };
        tokio::spawn(receive_datagrams(Arc::clone(&udp), receiver.clone()));
        tokio::spawn(receive_bulk(tcp, receiver));
        Self { secret, udp, bulk: HashMap::new(), tracker: TaskTracker::new() }
    }

    /// Sends a message without waiting; a message that can't be sent at once is lost.
    pub fn send(&mut self, envelope: &Envelope) {
        let sealed = wire::seal(&self.secret, envelope);
        if sealed.len() <= MAX_DATAGRAM_BYTES {
            let _ = self.udp.try_send_to(&sealed, envelope.to);
            return;
        }
        let to = envelope.to;
        let queue = self.bulk.get(&to).filter(|q| !q.is_closed());
        let queue = queue.cloned().unwrap_or_else(|| self.open_bulk(to));
        let _ = queue.try_send(sealed);
    }

    fn open_bulk(&mut self, to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
        let (tx, rx) = mpsc::channel(BULK_QUEUE);
        self.tracker.spawn(send_bulk(to, rx));
        self.bulk.insert(to, tx.clone());
        tx
    }

    /// Waits until large messages on their way are sent.
    pub async fn flush(&mut self) {
        self.bulk.clear();
        self.tracker.close();
        let _ = tokio::time::timeout(BULK_TIMEOUT, self.tracker.wait()).await;
    }
}

async fn receive_datagrams(udp: Arc<UdpSocket>, receiver: Receiver) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        if let Ok((len, _)) = udp.recv_from(&mut buf).await {
            receiver.receive(&buf[..len]).await;
        }
    }
}

async fn receive_bulk(tcp: TcpListener, receiver: Receiver) {
    loop {
        let Ok((stream, _)) = tcp.accept().await else {
            continue;
        };
        let transport =
            tarpc::serde_transport::new(tokio_util::codec::Framed::new(stream, frames()), PostcardCodec);
        let receiver = receiver.clone();
        tokio::spawn(BaseChannel::with_defaults(transport).execute(receiver.serve()).for_each(
            |response| async {
                response.await;
            },
        ));
    }
}

async fn send_bulk(to: SocketAddr, mut rx: mpsc::Receiver<Vec<u8>>) {
    let Ok(Ok(stream)) = tokio::time::timeout(BULK_TIMEOUT, TcpStream::connect(to)).await else {
        return;
    };
    let transport =
        tarpc::serde_transport::new(tokio_util::codec::Framed::new(stream, frames()), PostcardCodec);
    let client = BulkClient::new(tarpc::client::Config::default(), transport).spawn();
    while let Some(sealed) = rx.recv().await {
        let mut cx = tarpc::context::current();
        cx.deadline = Instant::now() + BULK_TIMEOUT;
        if client.deliver(cx, sealed).await.is_err() {
            return;
        }
    }
}
