//! Datagrams between daemons: states, and tokens of customers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::{CustomerId, DaemonId, event};
use limit::Portion;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock::BootTime;
use crate::node::Node;
use crate::peers::{Datagram, Hello, PeerInfo, RemovedPeer, Status};

/// Intervals between two states to a partner in another data centre.
const TICKS_PER_PARTNER_STATUS: u32 = 3;
/// Shortest time between two states.
const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(40);
/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Interval at which spare tokens are deposited.
const SPARE_TOKEN_INTERVAL: Duration = Duration::from_millis(400);
/// Customers whose tokens fit one datagram.
const MAX_GRANTS: usize = 32;

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
pub async fn send_statuses(node: Rc<Node>, gossip: Rc<Gossip>) {
    let mut tick = 0_u32;
    loop {
        let interval = node.peers.borrow().status_interval();
        let wait = interval.mul_f64(rand::rng().random_range(0.9..1.1));
        let to_partners = tokio::select! {
            () = node.status_urgent.notified() => true,
            () = node.status_changed.notified() => false,
            () = sleep(wait) => {
                tick += 1;
                tick.is_multiple_of(TICKS_PER_PARTNER_STATUS)
            }
        };
        send_to_centre(&node, &gossip);
        if to_partners {
            send_to_partners(&node, &gossip);
        }
        sleep(MIN_STATUS_INTERVAL).await;
    }
}

/// Addresses of the other daemons of the data centre.
fn centre_addrs(node: &Node) -> Vec<DaemonId> {
    node.peers.borrow().peers_in_centre().map(|p| p.addr).collect()
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
pub fn send_introductions(node: &Node, gossip: &Gossip, is_first: bool) {
    let now = Instant::now();
    let (near, far) = {
        let peers = node.peers.borrow();
        let mut near = peers.partners(&node.service());
        near.extend(peers.peers_in_centre().map(|p| p.addr));
        near.retain(|addr| !peers.has_recent_status(addr, now));
        (near, peers.remote_contacts())
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
pub fn broadcast_status(node: &Node, gossip: &Gossip) {
    send_to_centre(node, gossip);
    send_to_partners(node, gossip);
}

/// Takes in datagrams.
pub async fn receive_datagrams(node: Rc<Node>, gossip: Rc<Gossip>) {
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match gossip.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!("no datagram received: {e}");
                continue;
            }
        };
        match postcard::from_bytes(&buf[..len]) {
            Ok(datagram) => handle_datagram(&node, &gossip, from, datagram),
            Err(e) => event!(Warn, DatagramRefused, "from={from} bytes={len} error={e}"),
        }
    }
}

fn handle_datagram(node: &Rc<Node>, gossip: &Gossip, from: SocketAddr, datagram: Datagram) {
    let now = Instant::now();
    match datagram {
        Datagram::Hello(hello) => handle_hello(node, gossip, from, hello, now),
        Datagram::Status(status) => {
            if node.peers.borrow_mut().apply_status(from, &status, now) {
                node.update_rate_split();
                apply_config_status(node, &status);
            } else {
                gossip.send(from, &Datagram::Hello(node.hello(&from, true, false)));
            }
        }
        Datagram::Peer(peer_info) => handle_peer_info(node, &peer_info, now),
        Datagram::Removed(removed) => handle_removal(node, gossip, removed),
        Datagram::TokenRequest(customer, portion) => {
            let tokens = node.rate_split.borrow_mut().give(&customer, portion, now);
            if tokens > 0.0 {
                gossip.send(from, &Datagram::TokenGrants(vec![(customer.clone(), tokens as f32)]));
            }
            refill_pool(node, gossip, &customer, now);
        }
        Datagram::TokenGrants(grants) => {
            for (customer, tokens) in grants {
                node.rate_split.borrow_mut().receive(&customer, f64::from(tokens), now);
            }
            node.admission_changed.notify_waiters();
        }
    }
}

fn handle_hello(node: &Rc<Node>, gossip: &Gossip, from: SocketAddr, hello: Hello, now: Instant) {
    let (wants_answer, forward) = (hello.wants_answer, hello.forward);
    let (peer_info, status) = (hello.peer_info.clone(), hello.status.clone());
    let is_new = node.peers.borrow_mut().apply_hello(from, hello, now);
    if is_new {
        on_new_peer(node, &peer_info);
    }
    if forward {
        forward_peer_info(node, gossip, std::slice::from_ref(&peer_info));
    }
    if wants_answer {
        gossip.send(from, &Datagram::Hello(node.hello(&from, false, false)));
    }
    apply_config_status(node, &status);
}

fn handle_peer_info(node: &Rc<Node>, peer_info: &PeerInfo, now: Instant) {
    let is_new = node.peers.borrow_mut().add_peer(peer_info.clone(), now);
    if is_new {
        on_new_peer(node, peer_info);
    }
}

/// Tells the data centre of daemons that it may not know.
pub fn forward_peer_info(node: &Node, gossip: &Gossip, found: &[PeerInfo]) {
    let addrs = centre_addrs(node);
    for peer_info in found {
        for to in &addrs {
            gossip.send(*to, &Datagram::Peer(peer_info.clone()));
        }
    }
}

/// Takes in that a daemon is gone, and tells the data centre if asked to.
fn handle_removal(node: &Node, gossip: &Gossip, removed: RemovedPeer) {
    if removed.addr == node.identity.addr || !node.peers.borrow_mut().remove_peer(removed) {
        return;
    }
    event!(Info, MemberDown, "daemon={} incarnation={}", removed.addr, removed.incarnation);
    node.links.disconnect(&removed.addr);
    node.update_rate_split();
    if removed.forward {
        let addrs = centre_addrs(node);
        for to in addrs {
            gossip.send(to, &Datagram::Removed(RemovedPeer { forward: false, ..removed }));
        }
    }
}

/// Tells all data centres that a daemon is gone.
pub fn announce_removal(node: &Node, gossip: &Gossip, removed: RemovedPeer) {
    let (near, far): (Vec<DaemonId>, Vec<DaemonId>) = {
        let peers = node.peers.borrow();
        (peers.peers_in_centre().map(|p| p.addr).collect(), peers.remote_contacts())
    };
    for to in near {
        gossip.send(to, &Datagram::Removed(RemovedPeer { forward: false, ..removed }));
    }
    for to in far {
        gossip.send(to, &Datagram::Removed(RemovedPeer { forward: true, ..removed }));
    }
}

fn on_new_peer(node: &Node, peer_info: &PeerInfo) {
    let PeerInfo { addr, incarnation, place, service } = peer_info;
    let (region, centre) = (&place.region, &place.data_centre);
    event!(
        Info,
        MemberUp,
        "daemon={addr} incarnation={incarnation} place={region}/{centre} service={service}"
    );
    node.update_rate_split();
}

/// Takes over what another daemon knows of the configuration.
fn apply_config_status(node: &Node, status: &Status) {
    if status.version > node.conf_version() {
        node.refresh_wanted.notify_one();
    } else {
        confirm_from_status(node, status);
    }
}

/// The sender's proof held when it had taken in our last state, so its age counts from that state's sending:
/// an answer that waited while this instance was suspended proves no more than it should.
fn confirm_from_status(node: &Node, status: &Status) {
    let (Some(age_ms), Some(echo)) = (status.proof_age_ms, status.echo) else {
        return;
    };
    if echo <= BootTime::now() {
        node.confirm_config(status.version, echo.before(Duration::from_millis(u64::from(age_ms))));
    }
}

/// Asks for tokens of a customer where they are deposited. If that has not helped before, another data centre's
/// depositary is asked too: the own one may be cut off.
pub fn request_tokens(node: &Rc<Node>, customer: &CustomerId, is_again: bool) {
    let Some(gossip) = node.gossip.borrow().clone() else {
        return;
    };
    let now = Instant::now();
    let pool_owner = node.peers.borrow().pool_owner(customer, now);
    if pool_owner == node.identity.addr {
        refill_pool(node, &gossip, customer, now);
    } else {
        gossip.send(pool_owner, &Datagram::TokenRequest(customer.clone(), Portion::Few));
    }
    if is_again {
        let other = node.peers.borrow().remote_pool_owner(customer, &mut rand::rng());
        if let Some(other) = other {
            gossip.send(other, &Datagram::TokenRequest(customer.clone(), Portion::Few));
        }
    }
}

/// Asks another data centre's depositary for tokens if this daemon is one and has few left.
fn refill_pool(node: &Node, gossip: &Gossip, customer: &CustomerId, now: Instant) {
    let is_low = node.rate_split.borrow_mut().is_low(customer, true, now);
    let peers = node.peers.borrow();
    if !is_low
        || peers.pool_owner(customer, now) != node.identity.addr
        || !node.may_request_refill(customer, now)
    {
        return;
    }
    if let Some(other) = peers.remote_pool_owner(customer, &mut rand::rng()) {
        gossip.send(other, &Datagram::TokenRequest(customer.clone(), Portion::Half));
    }
}

/// Deposits tokens that this daemon does not need.
pub async fn return_spare_tokens(node: Rc<Node>, gossip: Rc<Gossip>) {
    loop {
        sleep(SPARE_TOKEN_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2))).await;
        let now = Instant::now();
        let peers = node.peers.borrow();
        let is_mine = |customer: &str| peers.pool_owner(customer, now) == node.identity.addr;
        let spare = node.rate_split.borrow_mut().deposits(is_mine, now);
        let mut by_depositary: HashMap<DaemonId, Vec<(CustomerId, f32)>> = HashMap::new();
        for (customer, tokens) in spare {
            let to = peers.pool_owner(&customer, now);
            by_depositary.entry(to).or_default().push((customer, tokens as f32));
        }
        for (to, grants) in by_depositary {
            for chunk in grants.chunks(MAX_GRANTS) {
                gossip.send(to, &Datagram::TokenGrants(chunk.to_vec()));
            }
        }
    }
}
