//! Datagrams between daemons: states, and tokens of customers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::{CustomerId, DaemonId, event};
use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::clock::BootTime;
use crate::node::Node;
use crate::peers::{Datagram, Status};

/// Interval of states to each daemon of the region.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two states.
const MIN_INTERVAL: Duration = Duration::from_millis(40);
/// Largest datagram.
const MAX_DATAGRAM: usize = 1_400;
/// Neighbours that are asked for tokens at the same time.
const ASKED: usize = 2;

/// The socket for datagrams, and what waits to be sent.
#[derive(Debug)]
pub struct Gossip {
    socket: UdpSocket,
}

impl Gossip {
    /// Uses a bound socket.
    pub fn new(socket: UdpSocket) -> Self {
        Self { socket }
    }

    fn send(&self, to: DaemonId, datagram: &Datagram) {
        match postcard::to_stdvec(datagram) {
            Ok(bytes) => {
                if let Err(e) = self.socket.try_send_to(&bytes, to) {
                    log::debug!("datagram to {to} not sent: {e}");
                }
            }
            Err(e) => log::error!("datagram can't be encoded: {e}"),
        }
    }
}

/// Sends states to the region at intervals, and at once when something urgent changed.
pub async fn send_states(node: Rc<Node>, gossip: Rc<Gossip>) {
    loop {
        let wait = STATUS_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.1));
        let is_urgent = timeout(wait, node.urgent.notified()).await.is_ok();
        send_all(&node, &gossip, false);
        if is_urgent {
            sleep(MIN_INTERVAL).await;
        }
    }
}

fn send_all(node: &Node, gossip: &Gossip, wants_answer: bool) {
    let addrs: Vec<DaemonId> = node.peers.borrow().in_region().map(|p| p.addr).collect();
    for to in addrs {
        gossip.send(to, &Datagram::Status(node.status(&to, wants_answer)));
    }
}

/// Introduces this daemon to all others, of other regions too.
pub fn introduce(node: &Node, gossip: &Gossip) {
    let addrs: Vec<DaemonId> = node.peers.borrow().all().map(|p| p.addr).collect();
    for to in addrs {
        gossip.send(to, &Datagram::Status(node.status(&to, true)));
    }
}

/// Takes in datagrams.
pub async fn receive(node: Rc<Node>, gossip: Rc<Gossip>) {
    let mut buf = [0; MAX_DATAGRAM];
    loop {
        let (len, from) = match gossip.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!("no datagram received: {e}");
                continue;
            }
        };
        match postcard::from_bytes(&buf[..len]) {
            Ok(datagram) => take_in(&node, &gossip, from, datagram),
            Err(e) => event!(Warn, DatagramRefused, "from={from} bytes={len} error={e}"),
        }
    }
}

fn take_in(node: &Rc<Node>, gossip: &Gossip, from: SocketAddr, datagram: Datagram) {
    let now = Instant::now();
    match datagram {
        Datagram::Status(status) => take_in_status(node, gossip, from, &status, now),
        Datagram::Ask(customer) => {
            let tokens = node.split.borrow_mut().give(&customer, now);
            if tokens > 0.0 {
                gossip.send(from, &Datagram::Gift(customer, tokens));
            }
        }
        Datagram::Gift(customer, tokens) => {
            node.split.borrow_mut().receive(&customer, tokens, now);
            node.refilled.notify_waiters();
        }
    }
}

fn take_in_status(node: &Rc<Node>, gossip: &Gossip, from: SocketAddr, status: &Status, now: Instant) {
    let is_new = node.peers.borrow_mut().note_status(from, status, now);
    if is_new {
        let place = &status.place;
        let (region, centre) = (&place.region, &place.data_centre);
        event!(Info, MemberUp, "daemon={from} incarnation={} place={region}/{centre}", status.incarnation);
        node.count_members();
    }
    if is_new || status.wants_answer {
        gossip.send(from, &Datagram::Status(node.status(&from, false)));
    }
    if status.version > node.version() {
        node.stale.notify_one();
    } else {
        take_over_proof(node, status);
    }
}

/// The sender's proof held when it had taken in our last state, so its age counts from that state's sending:
/// an answer that waited while this instance was suspended proves no more than it should.
fn take_over_proof(node: &Node, status: &Status) {
    let (Some(age), Some(echo)) = (status.proof_age, status.echo) else {
        return;
    };
    if echo <= BootTime::now() {
        node.confirm(status.version, echo.before(age));
    }
}

/// Asks neighbours of the data centre for tokens.
pub fn ask_for_tokens(node: &Rc<Node>, customer: &CustomerId) {
    let Some(gossip) = node.gossip.borrow().clone() else {
        return;
    };
    let now = Instant::now();
    let peers = node.peers.borrow();
    let near = peers.in_centre().filter(|p| peers.is_heard(&p.addr, now));
    for peer in near.choose_multiple(&mut rand::rng(), ASKED) {
        gossip.send(peer.addr, &Datagram::Ask(customer.clone()));
    }
}
