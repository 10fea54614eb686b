//! Datagrams between daemons: states, and tokens of customers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::{CustomerId, DaemonId, event};
use limit::Portion;
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
/// Interval at which spare tokens are deposited.
const DEPOSIT_INTERVAL: Duration = Duration::from_millis(300);
/// Customers whose tokens fit one datagram.
const MAX_GIFTS: usize = 32;

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
        Datagram::Ask(customer, portion) => {
            let tokens = node.split.borrow_mut().give(&customer, portion, now);
            if tokens > 0.0 {
                gossip.send(from, &Datagram::Gifts(vec![(customer.clone(), tokens)]));
            }
            refill_pool(node, gossip, &customer, now);
        }
        Datagram::Gifts(gifts) => {
            for (customer, tokens) in gifts {
                node.split.borrow_mut().receive(&customer, tokens, now);
            }
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

/// Asks for tokens of a customer where they are deposited.
pub fn ask_for_tokens(node: &Rc<Node>, customer: &CustomerId) {
    let Some(gossip) = node.gossip.borrow().clone() else {
        return;
    };
    let now = Instant::now();
    let depositary = node.peers.borrow().depositary(customer, now);
    if depositary == node.me.addr {
        refill_pool(node, &gossip, customer, now);
    } else {
        gossip.send(depositary, &Datagram::Ask(customer.clone(), Portion::Few));
    }
}

/// Asks another data centre's depositary for tokens if this daemon is one and has few left.
fn refill_pool(node: &Node, gossip: &Gossip, customer: &CustomerId, now: Instant) {
    let is_low = node.split.borrow_mut().is_low(customer, true, now);
    let peers = node.peers.borrow();
    if !is_low || peers.depositary(customer, now) != node.me.addr || !node.may_refill(customer, now) {
        return;
    }
    let others = peers.other_depositaries(customer);
    if let Some(other) = others.into_iter().choose(&mut rand::rng()) {
        gossip.send(other, &Datagram::Ask(customer.clone(), Portion::Half));
    }
}

/// Deposits tokens that this daemon does not need.
pub async fn deposit_tokens(node: Rc<Node>, gossip: Rc<Gossip>) {
    loop {
        sleep(DEPOSIT_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2))).await;
        let now = Instant::now();
        let peers = node.peers.borrow();
        let is_mine = |customer: &str| peers.depositary(customer, now) == node.me.addr;
        let spare = node.split.borrow_mut().deposits(is_mine, now);
        let mut by_depositary: HashMap<DaemonId, Vec<(CustomerId, f64)>> = HashMap::new();
        for (customer, tokens) in spare {
            let to = peers.depositary(&customer, now);
            by_depositary.entry(to).or_default().push((customer, tokens));
        }
        for (to, gifts) in by_depositary {
            for part in gifts.chunks(MAX_GIFTS) {
                gossip.send(to, &Datagram::Gifts(part.to_vec()));
            }
        }
    }
}
