//! Datagrams between daemons: status messages, digests, introductions, and transfers of customers' tokens.
//!
//! Each daemon has a share of every customer's rate and takes tokens from it. Tokens that it doesn't need go
//! to a pool, kept by one daemon of the data centre for each group of customers, from which daemons that run
//! short request some.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::{CustomerId, DaemonId, event};
use limit::TransferAmount;
use prometheus::IntCounterVec;
use rand::Rng;
use route::placement::Distance;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::clock::BootTime;
use crate::datagram::{Datagram, Hello, PeerInfo, RemovedPeer, Status};
use crate::digest::Digest;
use crate::node::Node;
use crate::operator_state::OperatorState;
use crate::peers::StatusOutcome;
use crate::registration::Departure;
use crate::{departures, fate_questions};

/// Interval at which one daemon sends digests to the other data centres.
const DIGEST_INTERVAL: Duration = Duration::from_millis(1_500);
/// Number of lowest-ranked daemons of a data centre that send digests, so that one of them may be cut off.
const DIGEST_SENDERS: usize = 2;
/// Interval at which the state that operators ask for is repeated in a data centre.
const OPERATOR_STATE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the last evacuation for which the state is repeated.
const OPERATOR_STATE_REPEAT: Duration = Duration::from_secs(30);
/// Shortest time between two rounds of status messages, however often a status becomes urgent.
const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(40);
/// Assumed time in milliseconds that a digest takes from one data centre to another.
const DIGEST_TRANSIT_MS: u16 = 20;
/// Largest datagram that is received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Number of pools in other data centres that are asked for a token at a time.
const REMOTE_POOLS_ASKED: usize = 2;
/// Mean interval at which spare tokens go to the pools.
const SPARE_TOKEN_INTERVAL: Duration = Duration::from_millis(400);
/// Largest number of customers in one datagram with tokens, which keeps it below [`MAX_DATAGRAM_BYTES`].
const MAX_GRANTS_PER_DATAGRAM: usize = 32;

/// The UDP socket on which a daemon sends and receives datagrams.
#[derive(Debug)]
pub struct Gossip {
    socket: UdpSocket,
    /// Bytes sent, by kind of datagram.
    sent_bytes: IntCounterVec,
}

impl Gossip {
    /// Gossips over a bound socket, and counts the bytes of each kind in `sent_bytes`.
    pub fn new(socket: UdpSocket, sent_bytes: IntCounterVec) -> Self {
        Self { socket, sent_bytes }
    }

    pub(crate) fn send_datagram(&self, to: DaemonId, datagram: &Datagram) {
        match postcard::to_stdvec(datagram) {
            Ok(bytes) => match self.socket.try_send_to(&bytes, to) {
                Ok(len) => self.sent_bytes.with_label_values(&[datagram.kind()]).inc_by(len as u64),
                Err(e) => log::debug!("datagram to {to} not sent: {e}"),
            },
            Err(e) => log::error!("datagram to {to} can't be encoded: {e}"),
        }
    }
}

/// Sends the status to the data centre at each interval, and at once when [`Node::status_changed`] is notified.
pub async fn send_statuses(node: Rc<Node>, gossip: Rc<Gossip>) {
    loop {
        let interval = node.peers.borrow().status_interval();
        let wait = interval.mul_f64(rand::rng().random_range(0.9..1.1));
        // A timeout is the usual case.
        let _changed = timeout(wait, node.status_changed.notified()).await;
        broadcast_status(&node, &gossip);
        sleep(MIN_STATUS_INTERVAL).await;
    }
}

/// Sends digests of this data centre's servers to the other data centres, if this daemon's rank is low enough.
pub async fn send_digests(node: Rc<Node>, gossip: Rc<Gossip>) {
    loop {
        sleep(DIGEST_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.1))).await;
        let now = Instant::now();
        if node.peers.borrow().rank_in_centre(now) >= DIGEST_SENDERS {
            continue;
        }
        let message = Datagram::Digest { origin: node.identity.addr, digest: node.digest(now) };
        let targets = node.peers.borrow().daemon_of_each_centre(&mut rand::rng());
        for to in targets {
            gossip.send_datagram(to, &message);
        }
    }
}

/// Tells other daemons what operators ask of the fleet: at once when the store told a change, and repeatedly while
/// there is an evacuation and for some time after one, since datagrams may be lost and daemons start.
pub async fn send_operator_state(node: Rc<Node>, gossip: Rc<Gossip>) {
    let mut repeat_until = Instant::now();
    loop {
        let changed = timeout(OPERATOR_STATE_INTERVAL, node.operator_state_changed.notified()).await.is_ok();
        let now = Instant::now();
        node.apply_evacuations();
        let state = node.evacuations.borrow().state().clone();
        if changed || !state.evacuated.is_empty() {
            repeat_until = now + OPERATOR_STATE_REPEAT;
        }
        let is_sender = node.peers.borrow().rank_in_centre(now) < DIGEST_SENDERS;
        if changed || (is_sender && now < repeat_until) {
            let message = Datagram::OperatorState(state);
            let mut targets = centre_addrs(&node);
            if changed {
                targets.extend(node.peers.borrow().daemon_of_each_centre(&mut rand::rng()));
            }
            for to in targets {
                gossip.send_datagram(to, &message);
            }
        }
    }
}

/// Applies what operators ask of the fleet, and passes a change on to this data centre if it came from another one.
fn handle_operator_state(node: &Node, gossip: &Gossip, from: SocketAddr, state: OperatorState) {
    if !node.adopt_operator_state(state, &from) {
        return;
    }
    let message = Datagram::OperatorState(node.evacuations.borrow().state().clone());
    let distance = node.peers.borrow().distance(&from);
    if distance.is_some_and(|distance| distance > Distance::SameDataCentre) {
        for to in centre_addrs(node) {
            gossip.send_datagram(to, &message);
        }
    }
}

/// Addresses of the other daemons of this data centre.
fn centre_addrs(node: &Node) -> Vec<DaemonId> {
    node.peers.borrow().peers_in_centre().map(|p| p.addr).collect()
}

/// Introduces this daemon to the daemons of its data centre from which no recent status has come. With
/// `is_first` also to a few daemons of each other data centre, which pass the introduction on there.
pub fn send_introductions(node: &Node, gossip: &Gossip, is_first: bool) {
    let now = Instant::now();
    let (near, far) = {
        let peers = node.peers.borrow();
        let near = peers.peers_in_centre().map(|p| p.addr);
        let near: Vec<DaemonId> = near.filter(|addr| !peers.has_recent_status(addr, now)).collect();
        (near, peers.remote_contacts())
    };
    for to in near {
        gossip.send_datagram(to, &Datagram::Hello(node.hello(&to, true, false)));
    }
    if is_first {
        for to in far {
            gossip.send_datagram(to, &Datagram::Hello(node.hello(&to, false, true)));
        }
    }
}

/// Announces departures of this daemon's servers to the other daemons of its data centre.
pub fn announce_departures(node: &Node, gossip: &Gossip, departures: &[Departure]) {
    let message = Datagram::Departures { of: node.identity.addr, departures: departures.to_vec() };
    for to in centre_addrs(node) {
        gossip.send_datagram(to, &message);
    }
}

/// Sends this daemon's status to the other daemons of its data centre.
pub fn broadcast_status(node: &Node, gossip: &Gossip) {
    for to in centre_addrs(node) {
        gossip.send_datagram(to, &Datagram::Status(node.status(&to)));
    }
}

/// Receives datagrams and handles each.
pub async fn receive_datagrams(node: Rc<Node>, gossip: Rc<Gossip>) {
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match gossip.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!("receiving a datagram failed: {e}");
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
            let outcome = node.peers.borrow_mut().apply_status(from, &status, now);
            handle_status_outcome(node, gossip, from, outcome, &status);
        }
        Datagram::Digest { origin, digest } => handle_digest(node, gossip, from, origin, digest, now),
        Datagram::Peer(peer_info) => handle_peer_info(node, &peer_info, now),
        Datagram::Superseded(earlier) => {
            node.supersede(earlier);
            node.status_changed.notify_one();
        }
        Datagram::Removed(removed) => handle_removal(node, gossip, removed),
        Datagram::TokenRequest(customer, amount) => {
            let tokens = node.token_buckets.borrow_mut().give_tokens(&customer, amount, now);
            if tokens > 0.0 {
                gossip.send_datagram(from, &Datagram::TokenGrants(vec![(customer.clone(), tokens as f32)]));
            }
            refill_pool(node, gossip, &customer, now);
        }
        Datagram::TokenGrants(grants) => {
            for (customer, tokens) in grants {
                node.token_buckets.borrow_mut().receive_tokens(&customer, f64::from(tokens), now);
            }
            node.admission_changed.notify_waiters();
        }
        Datagram::Departures { of, departures } => handle_departures(node, from, of, departures, now),
        Datagram::OperatorState(state) => handle_operator_state(node, gossip, from, state),
        Datagram::FateQuestion(question) => fate_questions::answer_question(node, gossip, from, &question),
        Datagram::FateAnswer(answer) => fate_questions::apply_answer(node, from, &answer),
    }
}

/// Remembers departures that `from` has acknowledged, or restores those that it remembers for this daemon.
fn handle_departures(node: &Node, from: DaemonId, of: DaemonId, departures: Vec<Departure>, now: Instant) {
    if of == node.identity.addr {
        departures::on_recalled(node, departures);
    } else if of == from {
        node.departures.remember(of, departures, now);
    }
}

/// Applies a digest of another data centre, and passes it on to this one if it came from `origin` itself.
fn handle_digest(
    node: &Node,
    gossip: &Gossip,
    from: DaemonId,
    origin: DaemonId,
    mut digest: Digest,
    now: Instant,
) {
    if !node.peers.borrow_mut().apply_digest(&origin, &digest, now) {
        return;
    }
    node.update_rate_shares();
    node.hear_of_config(digest.version, &origin);
    if from != origin {
        return;
    }
    // The daemons that receive it now learn at least the time that it took to get here.
    for server in &mut digest.servers {
        server.age_ms = server.age_ms.saturating_add(DIGEST_TRANSIT_MS);
    }
    let message = Datagram::Digest { origin, digest };
    for to in centre_addrs(node) {
        gossip.send_datagram(to, &message);
    }
}

fn handle_status_outcome(
    node: &Node,
    gossip: &Gossip,
    from: DaemonId,
    outcome: StatusOutcome,
    status: &Status,
) {
    match outcome {
        StatusOutcome::Applied => {
            node.update_rate_shares();
            apply_config_status(node, &from, status);
        }
        StatusOutcome::UnknownProcess => {
            gossip.send_datagram(from, &Datagram::Hello(node.hello(&from, true, false)));
        }
        StatusOutcome::EarlierProcess { known } => {
            gossip.send_datagram(from, &Datagram::Superseded(known));
        }
    }
}

fn handle_hello(node: &Rc<Node>, gossip: &Gossip, from: SocketAddr, hello: Hello, now: Instant) {
    let (wants_answer, forward) = (hello.wants_answer, hello.forward);
    let (peer_info, status) = (hello.peer_info.clone(), hello.status.clone());
    let (outcome, is_new) = node.peers.borrow_mut().apply_hello(from, hello, now);
    if let StatusOutcome::EarlierProcess { known } = outcome {
        gossip.send_datagram(from, &Datagram::Superseded(known));
    }
    if is_new {
        on_new_peer(node, &peer_info);
    }
    if forward {
        forward_peer_info(node, gossip, std::slice::from_ref(&peer_info));
    }
    if wants_answer {
        gossip.send_datagram(from, &Datagram::Hello(node.hello(&from, false, false)));
        let departures = node.departures.recall(&from);
        gossip.send_datagram(from, &Datagram::Departures { of: from, departures });
    }
    apply_config_status(node, &from, &status);
}

fn handle_peer_info(node: &Rc<Node>, peer_info: &PeerInfo, now: Instant) {
    let is_new = node.peers.borrow_mut().add_peer(peer_info.clone(), now);
    if is_new {
        on_new_peer(node, peer_info);
    }
}

/// Introduces the daemons in `found` to the other daemons of this data centre, which may not know them.
pub fn forward_peer_info(node: &Node, gossip: &Gossip, found: &[PeerInfo]) {
    let addrs = centre_addrs(node);
    for peer_info in found {
        for to in &addrs {
            gossip.send_datagram(*to, &Datagram::Peer(peer_info.clone()));
        }
    }
}

/// Removes a daemon that was reported as removed, and passes this on to the data centre if requested.
fn handle_removal(node: &Node, gossip: &Gossip, removed: RemovedPeer) {
    if removed.addr == node.identity.addr || !node.peers.borrow_mut().remove_peer(removed) {
        return;
    }
    event!(Info, MemberDown, "daemon={} incarnation={}", removed.addr, removed.incarnation);
    node.links.disconnect(&removed.addr);
    node.update_rate_shares();
    if removed.forward {
        let addrs = centre_addrs(node);
        for to in addrs {
            gossip.send_datagram(to, &Datagram::Removed(RemovedPeer { forward: false, ..removed }));
        }
    }
}

/// Announces to all data centres that a daemon was removed.
pub fn announce_removal(node: &Node, gossip: &Gossip, removed: RemovedPeer) {
    let (near, far): (Vec<DaemonId>, Vec<DaemonId>) = {
        let peers = node.peers.borrow();
        (peers.peers_in_centre().map(|p| p.addr).collect(), peers.remote_contacts())
    };
    for to in near {
        gossip.send_datagram(to, &Datagram::Removed(RemovedPeer { forward: false, ..removed }));
    }
    for to in far {
        gossip.send_datagram(to, &Datagram::Removed(RemovedPeer { forward: true, ..removed }));
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
    node.update_rate_shares();
}

/// Compares another daemon's configuration with the one in force: fetches a newer one, and otherwise uses the
/// proof.
fn apply_config_status(node: &Node, from: &DaemonId, status: &Status) {
    if !node.hear_of_config(status.version, from) {
        confirm_from_status(node, status);
    }
}

/// Confirms the configuration in force by another daemon's proof.
///
/// The other daemon stated the age of its proof after it had received the status that it echoes. So the proof
/// is no older than that age, counted back from when this daemon sent the echoed status. If it were counted
/// back from the arrival of `status`, a proof could seem younger than it is, e.g. if this instance was
/// suspended while `status` waited.
fn confirm_from_status(node: &Node, status: &Status) {
    let (Some(age_ms), Some(echo)) = (status.proof_age_ms, status.echo) else {
        return;
    };
    if echo <= BootTime::now() {
        node.confirm_config(status.version, echo.before(Duration::from_millis(u64::from(age_ms))));
    }
}

/// Requests tokens of a customer from the pool of this data centre. With `is_retry` also from pools of other
/// data centres, since that pool may be empty or its owner partitioned.
pub fn request_tokens(node: &Rc<Node>, customer: &CustomerId, is_retry: bool) {
    let Some(gossip) = node.gossip.borrow().clone() else {
        return;
    };
    let now = Instant::now();
    let pool_owner = node.peers.borrow().pool_owner(customer, now);
    if pool_owner == node.identity.addr {
        refill_pool(node, &gossip, customer, now);
    } else {
        gossip.send_datagram(pool_owner, &Datagram::TokenRequest(customer.clone(), TransferAmount::OneToken));
    }
    if !is_retry {
        return;
    }
    for _ in 0..REMOTE_POOLS_ASKED {
        let other = node.peers.borrow().remote_pool_owner(customer, &mut rand::rng());
        if let Some(other) = other {
            gossip.send_datagram(other, &Datagram::TokenRequest(customer.clone(), TransferAmount::OneToken));
        }
    }
}

/// If this daemon owns the customer's pool and has few tokens left, requests some from the pool of another
/// data centre.
fn refill_pool(node: &Node, gossip: &Gossip, customer: &CustomerId, now: Instant) {
    let is_low = node.token_buckets.borrow_mut().is_low(customer, true, now);
    let peers = node.peers.borrow();
    if !is_low
        || peers.pool_owner(customer, now) != node.identity.addr
        || !node.may_request_refill(customer, now)
    {
        return;
    }
    if let Some(other) = peers.remote_pool_owner(customer, &mut rand::rng()) {
        gossip.send_datagram(other, &Datagram::TokenRequest(customer.clone(), TransferAmount::Half));
    }
}

/// Sends tokens that this daemon doesn't need to the pools of their customers, at regular intervals.
pub async fn return_spare_tokens(node: Rc<Node>, gossip: Rc<Gossip>) {
    loop {
        sleep(SPARE_TOKEN_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2))).await;
        let now = Instant::now();
        let peers = node.peers.borrow();
        let is_pool_owner = |customer: &str| peers.pool_owner(customer, now) == node.identity.addr;
        let spare = node.token_buckets.borrow_mut().take_surplus(is_pool_owner, now);
        let mut by_owner: HashMap<DaemonId, Vec<(CustomerId, f32)>> = HashMap::new();
        for (customer, tokens) in spare {
            let to = peers.pool_owner(&customer, now);
            by_owner.entry(to).or_default().push((customer, tokens as f32));
        }
        for (to, grants) in by_owner {
            for chunk in grants.chunks(MAX_GRANTS_PER_DATAGRAM) {
                gossip.send_datagram(to, &Datagram::TokenGrants(chunk.to_vec()));
            }
        }
    }
}
