//! Table of the other daemons: where they are, how loaded their servers are, and how recently they sent a
//! status. Sans-I/O.
//!
//! Daemons of one data centre tell each other their status. What is known of servers elsewhere comes from
//! digests ([`digest`](crate::digest)) and with answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::{DaemonId, Place, Version, rendezvous};
use rand::Rng;
use rand::seq::IteratorRandom;
use route::placement::{Candidate, Distance};

use crate::clock::BootTime;
use crate::datagram::{Hello, Incarnation, PeerInfo, RemovedPeer, Status};
use crate::handoff::ServerReport;
use crate::peer::Peer;

/// Interval between status messages to each daemon of the same data centre, unless the data centre is large.
const STATUS_INTERVAL: Duration = Duration::from_millis(350);
/// Number of other daemons from which a data centre counts as large. In a large one the status interval grows
/// with the number of daemons, which bounds the messages that each daemon receives per second.
const LARGE_CENTRE_PEERS: usize = 24;
/// In a large data centre, how many daemons may fetch a new configuration at once for each daemon that
/// already has this configuration.
const FETCH_FANOUT: usize = 16;
/// Time without a status message after which a daemon of the same data centre counts as silent and gets no
/// work, unless the data centre is large.
const SILENT_AFTER: Duration = Duration::from_secs(1);
/// Time of silence after which a daemon is removed by another one of its data centre. Longer than most
/// network partitions, since a daemon that is only partitioned goes on using its share of the customers'
/// rates.
const REMOVE_AFTER: Duration = Duration::from_secs(20);
/// Time after a daemon was added to the table for which it counts as running without having sent a status.
const NEW_PEER_GRACE: Duration = Duration::from_millis(1_500);
/// Number of groups into which customers are hashed; each group has its own token pool owner.
const CUSTOMER_GROUPS: u64 = 4;
/// Probability that tokens are requested from a data centre of this daemon's region rather than of
/// another one.
const SAME_REGION_PROBABILITY: f64 = 0.85;
/// Time of silence after which the other daemons may use a daemon's share of the customers' rates.
const SHARE_RELEASED_AFTER: Duration = Duration::from_secs(4);
/// Largest part of all rates that is released from silent daemons, since they may be partitioned and still
/// use their shares. Less than the excess that operators tolerate.
const MAX_RELEASED_SHARE: f64 = 0.06;
/// Number of daemons in each other data centre to which a new daemon introduces itself.
const CONTACTS_PER_CENTRE: usize = 2;
/// Time after a failed hand-off before the same daemon gets work again.
const PATH_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Result of [`Peers::apply_status`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusOutcome {
    /// The status was applied.
    Applied,
    /// The process is not known and should introduce itself.
    UnknownProcess,
    /// The status is a delayed one of an earlier process, or the daemon's clock has been set back.
    EarlierProcess {
        /// Latest known incarnation on the address.
        known: Incarnation,
    },
}

/// Table of all other daemons.
#[derive(Debug)]
pub struct Peers {
    own_addr: DaemonId,
    pub(crate) place: Place,
    pub(crate) by_addr: HashMap<DaemonId, Peer>,
    /// Number of daemons in `by_addr` that are in this data centre.
    centre_size: usize,
    /// Numbers of silent daemons in other data centres, as their latest digests tell.
    pub(crate) silent_elsewhere: HashMap<Place, u16>,
}

impl Peers {
    /// Creates an empty table for the daemon at `own_addr`.
    pub fn new(own_addr: DaemonId, place: Place) -> Self {
        Self { own_addr, place, by_addr: HashMap::new(), centre_size: 0, silent_elsewhere: HashMap::new() }
    }

    /// Adds a daemon, or replaces an earlier process on its address; true if the table has changed.
    pub fn add_peer(&mut self, peer_info: PeerInfo, now: Instant) -> bool {
        if peer_info.addr == self.own_addr {
            return false;
        }
        match self.by_addr.get_mut(&peer_info.addr) {
            Some(peer) if peer.incarnation >= peer_info.incarnation => false,
            _ => {
                self.by_addr.insert(peer_info.addr, Peer::new(peer_info, now));
                self.centre_size = self.peers_in_centre().count();
                true
            }
        }
    }

    /// Applies a daemon's introduction. Also returns whether its process was not known.
    pub fn apply_hello(&mut self, from: DaemonId, hello: Hello, now: Instant) -> (StatusOutcome, bool) {
        let Hello { peer_info, status, .. } = hello;
        let service = peer_info.service.clone();
        let is_new = self.add_peer(PeerInfo { addr: from, ..peer_info }, now);
        if let Some(peer) = self.by_addr.get_mut(&from).filter(|p| p.incarnation == status.incarnation) {
            peer.service = service;
        }
        (self.apply_status(from, &status, now), is_new)
    }

    /// Applies a daemon's status.
    pub fn apply_status(&mut self, from: DaemonId, status: &Status, now: Instant) -> StatusOutcome {
        let Some(peer) = self.by_addr.get_mut(&from) else {
            return if from == self.own_addr {
                StatusOutcome::Applied
            } else {
                StatusOutcome::UnknownProcess
            };
        };
        if status.incarnation < peer.incarnation {
            return StatusOutcome::EarlierProcess { known: peer.incarnation };
        }
        if status.incarnation > peer.incarnation {
            return StatusOutcome::UnknownProcess;
        }
        peer.apply_report(status.report, now);
        peer.version = status.version;
        peer.member_count = u32::from(status.member_count);
        peer.clear_pending();
        peer.last_status_at = Some(now);
        peer.last_sent_at = Some(status.sent_at);
        peer.receives_from_us = status.receives_from_you;
        if status.receives_from_you {
            peer.path_down_until = None;
        }
        StatusOutcome::Applied
    }

    /// Records the report that came with a daemon's answer.
    pub fn record_report(&mut self, from: DaemonId, report: ServerReport, now: Instant) {
        if let Some(peer) = self.by_addr.get_mut(&from) {
            peer.apply_report(report, now);
            peer.record_answer();
        }
    }

    /// Latest known incarnation of a daemon.
    pub fn incarnation(&self, addr: &DaemonId) -> Option<Incarnation> {
        self.by_addr.get(addr).map(|peer| peer.incarnation)
    }

    /// Time since the report on a daemon's server was received; `None` if there is no report.
    pub fn report_age(&self, addr: &DaemonId, now: Instant) -> Option<Duration> {
        let reported_at = self.by_addr.get(addr)?.reported_at?;
        Some(now.saturating_duration_since(reported_at))
    }

    /// Whether the server to which a request was handed at `since` is suspected to fail, or its daemon is
    /// silent.
    ///
    /// Daemons of other data centres send no status. Such a daemon counts as silent if there is no report on its
    /// server that was made after `since`.
    pub fn is_suspect_or_silent(&self, addr: &DaemonId, since: Instant, now: Instant) -> bool {
        let Some(peer) = self.by_addr.get(addr) else {
            return true;
        };
        let Candidate { distance, condition, reachable, .. } = self.candidate(peer, 0, now);
        let is_elsewhere = distance > Distance::SameDataCentre;
        let is_silent = is_elsewhere && peer.reported_at.is_none_or(|at| at < since);
        condition.is_suspect() || !reachable || is_silent
    }

    /// Counts a hand-off to a daemon until its next report.
    pub fn record_handoff(&mut self, to: DaemonId, now: Instant) {
        if let Some(peer) = self.by_addr.get_mut(&to) {
            peer.record_handoff(now);
        }
    }

    /// Counts the work of a hand-off that [`Self::record_handoff`] has counted, as `work` at an average server.
    pub fn add_pending_work(&mut self, to: DaemonId, work: Duration) {
        if let Some(peer) = self.by_addr.get_mut(&to) {
            peer.pending_work += work;
        }
    }

    /// Pauses hand-offs to a daemon after one could not be delivered.
    pub fn record_path_failure(&mut self, to: DaemonId, now: Instant) {
        if let Some(peer) = self.by_addr.get_mut(&to) {
            peer.path_down_until = Some(now + PATH_RETRY_DELAY);
        }
    }

    /// Whether a status of a daemon of this data centre has been received recently enough to give it work.
    pub fn has_recent_status(&self, addr: &DaemonId, now: Instant) -> bool {
        let Some(peer) = self.by_addr.get(addr) else {
            return false;
        };
        let limit = SILENT_AFTER.mul_f64(self.interval_factor());
        peer.last_status_at.is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    /// Factor by which status messages are less frequent than in a data centre that is not large; at least 1.
    pub fn interval_factor(&self) -> f64 {
        (self.centre_size as f64 / LARGE_CENTRE_PEERS as f64).max(1.0)
    }

    /// Interval between status messages to each daemon of this data centre.
    pub fn status_interval(&self) -> Duration {
        STATUS_INTERVAL.mul_f64(self.interval_factor())
    }

    /// Whether this daemon may already fetch a configuration newer than `known` from a daemon at `distance`.
    ///
    /// From another data centre only the daemon of lowest rank does, so that the configuration travels there
    /// once. In a large data centre daemons fetch in the order of their rank, since the few that have the new one
    /// first could not serve all other daemons at once.
    pub fn may_fetch_config(&self, known: Version, distance: Distance, now: Instant) -> bool {
        let rank = self.rank_in_centre(now);
        if distance > Distance::SameDataCentre {
            return rank == 0;
        }
        let holders = self.peers_in_centre().filter(|p| p.version > known).count();
        rank < holders.max(1) * FETCH_FANOUT
    }

    /// `sent_at` of a daemon's latest status, on that daemon's clock.
    pub fn last_sent_at(&self, addr: &DaemonId) -> Option<BootTime> {
        self.by_addr.get(addr).and_then(|p| p.last_sent_at)
    }

    /// Up to `CONTACTS_PER_CENTRE` daemons of each other data centre, which pass messages on to the daemons
    /// there.
    pub fn remote_contacts(&self) -> Vec<DaemonId> {
        let mut counts: HashMap<&Place, usize> = HashMap::new();
        let mut addrs = Vec::new();
        for peer in self.by_addr.values().filter(|p| p.place != self.place) {
            let count = counts.entry(&peer.place).or_default();
            *count += 1;
            if *count <= CONTACTS_PER_CENTRE {
                addrs.push(peer.addr);
            }
        }
        addrs
    }

    /// The other daemons of this data centre.
    pub fn peers_in_centre(&self) -> impl Iterator<Item = &Peer> {
        self.by_addr.values().filter(|p| p.place == self.place)
    }

    /// All other daemons.
    pub fn all_peers(&self) -> impl Iterator<Item = &Peer> {
        self.by_addr.values()
    }

    /// A random one of the nearest daemons that have a configuration newer than `known` and are not in `asked`, and
    /// its distance.
    pub fn peer_with_newer_config(
        &self,
        known: Version,
        asked: &[DaemonId],
        rng: &mut impl Rng,
    ) -> Option<(DaemonId, Distance)> {
        let holders = || self.by_addr.values().filter(|p| p.version > known && !asked.contains(&p.addr));
        let nearest = holders().map(|p| self.distance_to(&p.place)).min()?;
        let peer = holders().filter(|p| self.distance_to(&p.place) == nearest).choose(rng)?;
        Some((peer.addr, nearest))
    }

    /// Forgets the version of a daemon's configuration until the daemon's next status, so that the daemon is
    /// not asked for its configuration before.
    pub fn forget_version(&mut self, addr: DaemonId) {
        if let Some(peer) = self.by_addr.get_mut(&addr) {
            peer.version = 0;
        }
    }

    /// Number of known daemons, this one included.
    pub fn member_count(&self) -> u32 {
        self.by_addr.len() as u32 + 1
    }

    /// Removes a daemon unless a later process has replaced it; true if it was removed.
    pub fn remove_peer(&mut self, removed: RemovedPeer) -> bool {
        let known = self.by_addr.get(&removed.addr).map(|p| p.incarnation);
        let is_removed = known.is_some_and(|incarnation| incarnation <= removed.incarnation);
        if is_removed {
            self.by_addr.remove(&removed.addr);
            self.centre_size = self.peers_in_centre().count();
        }
        is_removed
    }

    /// Daemons of this data centre that have been silent for longer than `REMOVE_AFTER`.
    pub fn expired_peers(&self, now: Instant) -> Vec<RemovedPeer> {
        let last_seen = |p: &Peer| p.last_status_at.map_or(p.added_at, |at| at.max(p.added_at));
        let silent =
            self.peers_in_centre().filter(|p| now.saturating_duration_since(last_seen(p)) > REMOVE_AFTER);
        silent.map(|p| RemovedPeer { addr: p.addr, incarnation: p.incarnation, forward: false }).collect()
    }

    /// Number of daemons by which each customer's rate is divided.
    ///
    /// This is the largest count that a daemon of the data centre reports, silent daemons left out. So a
    /// daemon which has just started and knows few other daemons does not take too large a share. Shares of
    /// silent daemons are released to all other daemons, but only up to `MAX_RELEASED_SHARE`.
    pub fn rate_divisor(&self, now: Instant) -> u32 {
        let alive = self.peers_in_centre().filter(|p| self.has_recent_status(&p.addr, now));
        let known = alive.map(|p| p.member_count).fold(self.member_count(), u32::max);
        let silent_here = self.silent_in_centre(now) as u32;
        let silent = silent_here + self.silent_elsewhere.values().map(|n| u32::from(*n)).sum::<u32>();
        let min_divisor = (f64::from(known) * (1.0 - MAX_RELEASED_SHARE)).ceil() as u32;
        known.saturating_sub(silent).max(min_divisor)
    }

    /// Number of daemons of this data centre whose share of the rates may be released.
    pub(crate) fn silent_in_centre(&self, now: Instant) -> usize {
        let is_silent = |p: &&Peer| {
            p.last_status_at.is_some_and(|at| now.saturating_duration_since(at) > SHARE_RELEASED_AFTER)
        };
        self.peers_in_centre().filter(is_silent).count()
    }

    /// Rank of this daemon by address among the daemons of its data centre that are not silent or were added
    /// recently. Tasks that one or a few daemons do for the whole data centre are left to the lowest ranks.
    pub fn rank_in_centre(&self, now: Instant) -> usize {
        let is_present = |p: &&Peer| {
            self.has_recent_status(&p.addr, now) || now.duration_since(p.added_at) < NEW_PEER_GRACE
        };
        self.peers_in_centre().filter(|p| p.addr < self.own_addr).filter(is_present).count()
    }

    /// Daemon of this data centre that pools unused tokens of a customer.
    pub fn pool_owner(&self, customer: &str, now: Instant) -> DaemonId {
        let alive = self.peers_in_centre().map(|p| p.addr).filter(|addr| self.has_recent_status(addr, now));
        rendezvous::owner(&customer_group(customer), alive.chain([self.own_addr])).unwrap_or(self.own_addr)
    }

    /// Daemon that pools a customer's tokens in another data centre, usually one of the same region.
    pub fn remote_pool_owner(&self, customer: &str, rng: &mut impl Rng) -> Option<DaemonId> {
        let in_own_region = rng.random_bool(SAME_REGION_PROBABILITY);
        let is_other = |p: &&Peer| p.place != self.place;
        let in_region = |p: &&Peer| p.place.region == self.place.region;
        let others = self.by_addr.values().filter(is_other);
        let place = others.clone().filter(|p| in_region(p) == in_own_region).map(|p| &p.place).choose(rng)?;
        rendezvous::owner(&customer_group(customer), others.filter(|p| p.place == *place).map(|p| p.addr))
    }

    /// Number of daemons in this data centre, this one included.
    pub fn centre_member_count(&self) -> u32 {
        self.centre_size as u32 + 1
    }

    /// Addresses of the daemons whose servers take work of `service`, without those in `tried` and those at places
    /// where `may_run_at` is false, and their servers as candidates. The `index` of a candidate is the position of its daemon's address.
    pub fn candidates(
        &self,
        service: &str,
        tried: &[DaemonId],
        may_run_at: impl Fn(&Place) -> bool,
        now: Instant,
    ) -> (Vec<SocketAddr>, Vec<Candidate>) {
        let mut addrs = Vec::new();
        let mut candidates = Vec::new();
        for peer in self.by_addr.values() {
            let serves = *peer.service == *service && peer.takes_work();
            if !serves || tried.contains(&peer.addr) || !may_run_at(&peer.place) {
                continue;
            }
            candidates.push(self.candidate(peer, addrs.len(), now));
            addrs.push(peer.addr);
        }
        (addrs, candidates)
    }

    /// Distance of a daemon's instance; `None` if the daemon is not known.
    pub fn distance(&self, addr: &DaemonId) -> Option<Distance> {
        self.by_addr.get(addr).map(|peer| self.distance_to(&peer.place))
    }

    fn distance_to(&self, place: &Place) -> Distance {
        if *place == self.place {
            Distance::SameDataCentre
        } else if place.region == self.place.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    fn candidate(&self, peer: &Peer, index: usize, now: Instant) -> Candidate {
        let distance = self.distance_to(&peer.place);
        let is_down = peer.path_down_until.is_some_and(|until| now < until);
        let is_connected = distance > Distance::SameDataCentre
            || (peer.receives_from_us && self.has_recent_status(&peer.addr, now));
        Candidate {
            index,
            distance,
            load: peer.load(),
            condition: peer.condition(),
            reachable: is_connected && !is_down,
            is_known: distance <= Distance::SameDataCentre || peer.is_known(now),
            report_age: peer.report_age(now),
        }
    }
}

/// Group of a customer. Customers of one group share a pool owner, so that one datagram carries tokens of
/// several.
fn customer_group(customer: &str) -> String {
    (rendezvous::stable_hash(customer.as_bytes()) % CUSTOMER_GROUPS).to_string()
}
