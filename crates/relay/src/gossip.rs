//! Datagrams between daemons: states, and tokens of customers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::{CustomerId, DaemonId, event};
use limit::TransferAmount;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock::BootTime;
use crate::node::Node;
use crate::peers::{Datagram, Gone, Hello, Listed, Status};

/// Intervals between two states to a partner in another data centre.
const PARTNER_TICKS: u32 = 3;
/// Shortest time between two states.
const MIN_INTERVAL: Duration = Duration::from_millis(40);
/// Largest datagram.
const MAX_DATAGRAM: usize = 1_400;
/// Interval at which spare tokens are deposited.
const DEPOSIT_INTERVAL: Duration = Duration::from_millis(400);
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

/// Sends states to the data centre at each interval, to partners beyond it at each third one, and at once
/// when something changed.
pub async fn send_states(node: Rc<Node>, gossip: Rc<Gossip>) {
    let mut tick = 0_u32;
    loop {
        let interval = node.peers.borrow().status_interval();
        let wait = interval.mul_f64(rand::rng().random_range(0.9..1.1));
        let to_partners = tokio::select! {
            () = node.urgent.notified() => true,
            () = node.changed.notified() => false,
            () = sleep(wait) => {
                tick += 1;
                tick.is_multiple_of(PARTNER_TICKS)
            }
        };
        send_to_centre(&node, &gossip);
        if to_partners {
            send_to_partners(&node, &gossip);
        }
        sleep(MIN_INTERVAL).await;
    }
}

/// Addresses of the other daemons of the data centre.
fn centre_addrs(node: &Node) -> Vec<DaemonId> {
    node.peers.borrow().in_centre().map(|p| p.addr).collect()
}

fn send_to_centre(node: &Node, gossip: &Gossip) {
    let addrs = centre_addrs(node);
    for to in addrs {
        gossip.send(to, &Datagram::Status(node.status(&to)));
    }
}

fn send_to_partners(node: &Node, gossip: &Gossip) {
    let addrs = node.peers.borrow().partners(&node.service());
    for to in addrs {
        gossip.send(to, &Datagram::Status(node.status(&to)));
    }
}

/// Introduces this daemon to its data centre and partners that it has not heard, and at first to some daemons of
/// each other data centre, which spread it there.
pub fn introduce(node: &Node, gossip: &Gossip, is_first: bool) {
    let now = Instant::now();
    let (near, far) = {
        let peers = node.peers.borrow();
        let mut near = peers.partners(&node.service());
        near.extend(peers.in_centre().map(|p| p.addr));
        near.retain(|addr| !peers.is_heard(addr, now));
        (near, peers.ambassadors())
    };
    for to in near {
        gossip.send(to, &Datagram::Hello(node.hello(&to, true, false)));
    }
    if is_first {
        for to in far {
            gossip.send(to, &Datagram::Hello(node.hello(&to, false, true)));
        }
    }
}

/// Tells all who get this daemon's state of a change at once.
pub fn announce(node: &Node, gossip: &Gossip) {
    send_to_centre(node, gossip);
    send_to_partners(node, gossip);
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
        Datagram::Hello(hello) => take_in_hello(node, gossip, from, hello, now),
        Datagram::Status(status) => {
            if node.peers.borrow_mut().note_status(from, &status, now) {
                node.count_members();
                take_over(node, &status);
            } else {
                gossip.send(from, &Datagram::Hello(node.hello(&from, true, false)));
            }
        }
        Datagram::Listed(listed) => note_listed(node, &listed, now),
        Datagram::Gone(gone) => note_gone(node, gossip, gone),
        Datagram::Ask(customer, portion) => {
            let tokens = node.split.borrow_mut().give_tokens(&customer, portion, now);
            if tokens > 0.0 {
                gossip.send(from, &Datagram::Gifts(vec![(customer.clone(), tokens as f32)]));
            }
            refill_pool(node, gossip, &customer, now);
        }
        Datagram::Gifts(gifts) => {
            for (customer, tokens) in gifts {
                node.split.borrow_mut().receive_tokens(&customer, f64::from(tokens), now);
            }
            node.refilled.notify_waiters();
        }
    }
}

fn take_in_hello(node: &Rc<Node>, gossip: &Gossip, from: SocketAddr, hello: Hello, now: Instant) {
    let (wants_answer, spread) = (hello.wants_answer, hello.spread);
    let (listed, status) = (hello.listed.clone(), hello.status.clone());
    let is_new = node.peers.borrow_mut().note_hello(from, hello, now);
    if is_new {
        note_member(node, &listed);
    }
    if spread {
        spread_listed(node, gossip, std::slice::from_ref(&listed));
    }
    if wants_answer {
        gossip.send(from, &Datagram::Hello(node.hello(&from, false, false)));
    }
    take_over(node, &status);
}

fn note_listed(node: &Rc<Node>, listed: &Listed, now: Instant) {
    let is_new = node.peers.borrow_mut().note_listed(listed.clone(), now);
    if is_new {
        note_member(node, listed);
    }
}

/// Tells the data centre of daemons that it may not know.
pub fn spread_listed(node: &Node, gossip: &Gossip, found: &[Listed]) {
    let addrs = centre_addrs(node);
    for listed in found {
        for to in &addrs {
            gossip.send(*to, &Datagram::Listed(listed.clone()));
        }
    }
}

/// Takes in that a daemon is gone, and tells the data centre if asked to.
fn note_gone(node: &Node, gossip: &Gossip, gone: Gone) {
    if gone.addr == node.me.addr || !node.peers.borrow_mut().note_gone(gone) {
        return;
    }
    event!(Info, MemberDown, "daemon={} incarnation={}", gone.addr, gone.incarnation);
    node.links.forget(&gone.addr);
    node.count_members();
    if gone.spread {
        let addrs = centre_addrs(node);
        for to in addrs {
            gossip.send(to, &Datagram::Gone(Gone { spread: false, ..gone }));
        }
    }
}

/// Tells all data centres that a daemon is gone.
pub fn announce_gone(node: &Node, gossip: &Gossip, gone: Gone) {
    let (near, far): (Vec<DaemonId>, Vec<DaemonId>) = {
        let peers = node.peers.borrow();
        (peers.in_centre().map(|p| p.addr).collect(), peers.ambassadors())
    };
    for to in near {
        gossip.send(to, &Datagram::Gone(Gone { spread: false, ..gone }));
    }
    for to in far {
        gossip.send(to, &Datagram::Gone(Gone { spread: true, ..gone }));
    }
}

fn note_member(node: &Node, listed: &Listed) {
    let Listed { addr, incarnation, place, service } = listed;
    let (region, centre) = (&place.region, &place.data_centre);
    event!(
        Info,
        MemberUp,
        "daemon={addr} incarnation={incarnation} place={region}/{centre} service={service}"
    );
    node.count_members();
}

/// Takes over what another daemon knows of the configuration.
fn take_over(node: &Node, status: &Status) {
    if status.version > node.version() {
        node.stale.notify_one();
    } else {
        take_over_proof(node, status);
    }
}

/// The sender's proof held when it had taken in our last state, so its age counts from that state's sending:
/// an answer that waited while this instance was suspended proves no more than it should.
fn take_over_proof(node: &Node, status: &Status) {
    let (Some(age_ms), Some(echo)) = (status.proof_age_ms, status.echo) else {
        return;
    };
    if echo <= BootTime::now() {
        node.confirm(status.version, echo.before(Duration::from_millis(u64::from(age_ms))));
    }
}

/// Asks for tokens of a customer where they are deposited. If that has not helped before, another data centre's
/// depositary is asked too: the own one may be cut off.
pub fn ask_for_tokens(node: &Rc<Node>, customer: &CustomerId, is_again: bool) {
    let Some(gossip) = node.gossip.borrow().clone() else {
        return;
    };
    let now = Instant::now();
    let depositary = node.peers.borrow().depositary(customer, now);
    if depositary == node.me.addr {
        refill_pool(node, &gossip, customer, now);
    } else {
        gossip.send(depositary, &Datagram::Ask(customer.clone(), TransferAmount::OneToken));
    }
    if is_again {
        let other = node.peers.borrow().other_depositary(customer, &mut rand::rng());
        if let Some(other) = other {
            gossip.send(other, &Datagram::Ask(customer.clone(), TransferAmount::OneToken));
        }
    }
}

/// Asks another data centre's depositary for tokens if this daemon is one and has few left.
fn refill_pool(node: &Node, gossip: &Gossip, customer: &CustomerId, now: Instant) {
    let is_low = node.split.borrow_mut().is_low(customer, true, now);
    let peers = node.peers.borrow();
    if !is_low || peers.depositary(customer, now) != node.me.addr || !node.may_refill(customer, now) {
        return;
    }
    if let Some(other) = peers.other_depositary(customer, &mut rand::rng()) {
        gossip.send(other, &Datagram::Ask(customer.clone(), TransferAmount::Half));
    }
}

/// Deposits tokens that this daemon does not need.
pub async fn deposit_tokens(node: Rc<Node>, gossip: Rc<Gossip>) {
    loop {
        sleep(DEPOSIT_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2))).await;
        let now = Instant::now();
        let peers = node.peers.borrow();
        let is_mine = |customer: &str| peers.depositary(customer, now) == node.me.addr;
        let spare = node.split.borrow_mut().take_surplus(is_mine, now);
        let mut by_depositary: HashMap<DaemonId, Vec<(CustomerId, f32)>> = HashMap::new();
        for (customer, tokens) in spare {
            let to = peers.depositary(&customer, now);
            by_depositary.entry(to).or_default().push((customer, tokens as f32));
        }
        for (to, gifts) in by_depositary {
            for part in gifts.chunks(MAX_GIFTS) {
                gossip.send(to, &Datagram::Gifts(part.to_vec()));
            }
        }
    }
}
