//! What this daemon knows of the others. Sans-I/O.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::{CustomerId, DaemonId, Place, ServiceId, Version, rendezvous};
use limit::TransferAmount;
use rand::Rng;
use rand::seq::IteratorRandom;
use route::placement::{Candidate, Distance, ServerCondition, ServerLoad};
use serde::{Deserialize, Serialize};

use crate::clock::BootTime;
use crate::handoff::Report;

/// Interval of states to each daemon of a data centre that is not large.
const STATUS_INTERVAL: Duration = Duration::from_millis(350);
/// Daemons of a data centre from which on states come more slowly, so that their number stays bounded.
const LARGE_CENTRE: usize = 24;
/// Daemons that may fetch a new configuration for each one that is known to have it.
const FETCH_FANOUT: usize = 16;
/// Silence after which a daemon of the data centre is not given work, if that is not large.
const SILENT_AFTER: Duration = Duration::from_secs(1);
/// Silence after which one of another data centre is not; they speak half as often.
const FAR_SILENT_AFTER: Duration = Duration::from_millis(2_600);
/// Daemons of each service in other data centres of the region with which states are exchanged, on average.
const PARTNERS: f64 = 6.0;
/// Silence after which a daemon counts as gone by those of its data centre. Longer than most partitions: one that
/// is only cut off goes on using its part of the rates.
const GONE_AFTER: Duration = Duration::from_secs(20);
/// Time for which a daemon of which only the row is known is expected to be there.
const LISTED_COUNTS: Duration = Duration::from_millis(1_500);
/// Groups of customers with depositaries of their own.
const CUSTOMER_GROUPS: u64 = 4;
/// Chance that tokens are asked for in this region rather than another.
const STAY_CHANCE: f64 = 0.85;
/// Silence after which a daemon's part of the rates may be used by others.
const SILENT_PART_AFTER: Duration = Duration::from_secs(4);
/// Part of all rates that may be used twice while daemons are silent; below the operators' tolerance.
const TOLERATED_PART: f64 = 0.06;
/// Daemons of each other data centre to which a new one introduces itself.
const AMBASSADORS: usize = 2;
/// Pause after a failed hand-off before a daemon is tried again.
const PATH_PAUSE: Duration = Duration::from_millis(1_500);
/// Mean run of a server of which no report is known.
const UNKNOWN_RUN: Duration = Duration::from_millis(400);
/// Slots of a server of which no report is known.
const UNKNOWN_SLOTS: u32 = 4;

/// Start of a daemon's process in wall-clock milliseconds; tells processes on one address apart.
pub type Incarnation = u64;

/// A message between daemons, in one datagram.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Datagram {
    /// Introduces the sender.
    Hello(Hello),
    /// State of the sender, which the receiver knows.
    Status(Status),
    /// Introduces another daemon.
    Listed(Listed),
    /// A daemon is gone for good.
    Gone(Gone),
    /// Asks for tokens of a customer.
    Ask(CustomerId, TransferAmount),
    /// Gives tokens of customers away.
    Gifts(Vec<(CustomerId, f32)>),
}

/// Who a daemon is, and its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender.
    pub listed: Listed,
    /// Its state.
    pub status: Status,
    /// Whether the receiver should answer at once.
    pub wants_answer: bool,
    /// Whether the receiver should introduce the sender to its data centre.
    pub spread: bool,
}

/// State of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Process that speaks.
    pub incarnation: Incarnation,
    /// State of the server beside it.
    pub report: Report,
    /// Version of the configuration in force.
    pub version: Version,
    /// Age in milliseconds of the proof that no newer one exists.
    pub proof_age_ms: Option<u32>,
    /// Moment of sending, on the sender's clock.
    pub sent_at: BootTime,
    /// `sent_at` of the last state of the receiver that the sender had taken in before.
    pub echo: Option<BootTime>,
    /// Whether the sender has heard the receiver lately.
    pub hears_you: bool,
    /// Number of daemons that the sender knows, itself included.
    pub members: u16,
}

/// A daemon as its row in the store describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Address for datagrams and hand-offs.
    pub addr: DaemonId,
    /// Process that wrote the row.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub place: Place,
    /// Service of the server beside it.
    pub service: ServiceId,
}

/// A daemon that is gone for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    /// Its address.
    pub addr: DaemonId,
    /// Process that is gone.
    pub incarnation: Incarnation,
    /// Whether the receiver should tell its data centre.
    pub spread: bool,
}

/// What is known of one daemon.
#[derive(Debug)]
pub struct Peer {
    /// Its address.
    pub addr: DaemonId,
    incarnation: Incarnation,
    place: Place,
    service: ServiceId,
    report: Option<Report>,
    /// When the report came.
    reported_at: Option<Instant>,
    /// Version of its configuration; 0 if not known.
    version: Version,
    /// Number of daemons that it knows.
    members: u32,
    /// Own hand-offs under way since the last report.
    pending: u32,
    heard_at: Option<Instant>,
    /// `sent_at` of its last state.
    said_at: Option<BootTime>,
    hears_us: bool,
    /// Until when it is not given work, after a hand-off failed.
    down_until: Option<Instant>,
    listed_at: Instant,
}

impl Peer {
    fn new(listed: Listed, now: Instant) -> Self {
        let Listed { addr, incarnation, place, service } = listed;
        Self {
            addr,
            incarnation,
            place,
            service,
            report: None,
            reported_at: None,
            version: 0,
            members: 0,
            pending: 0,
            heard_at: None,
            said_at: None,
            hears_us: false,
            down_until: None,
            listed_at: now,
        }
    }

    fn load(&self) -> ServerLoad {
        let Some(report) = self.report else {
            let (running, slots) = (self.pending, UNKNOWN_SLOTS);
            return ServerLoad { running, waiting: 0, slots, mean_run: UNKNOWN_RUN };
        };
        report.load(self.pending)
    }

    /// Its condition; a server that has got work since its report no longer asks for some.
    fn condition(&self) -> ServerCondition {
        match self.report.map_or(ServerCondition::Healthy, |r| r.condition) {
            ServerCondition::Idle if self.pending > 0 => ServerCondition::Healthy,
            known => known,
        }
    }

    fn takes_work(&self) -> bool {
        self.report.is_none_or(|r| r.takes_work)
    }
}

/// All other daemons.
#[derive(Debug)]
pub struct Peers {
    me: DaemonId,
    place: Place,
    by_addr: HashMap<DaemonId, Peer>,
    /// Number of daemons in `by_addr` that are in this data centre.
    centre_size: usize,
}

impl Peers {
    /// Makes an empty table for the daemon at `me`.
    pub fn new(me: DaemonId, place: Place) -> Self {
        Self { me, place, by_addr: HashMap::new(), centre_size: 0 }
    }

    /// Takes in a row of the store; true if the daemon was not known.
    pub fn note_listed(&mut self, listed: Listed, now: Instant) -> bool {
        if listed.addr == self.me {
            return false;
        }
        match self.by_addr.get_mut(&listed.addr) {
            Some(peer) if peer.incarnation >= listed.incarnation => false,
            _ => {
                self.by_addr.insert(listed.addr, Peer::new(listed, now));
                self.centre_size = self.in_centre().count();
                true
            }
        }
    }

    /// Takes in a daemon's introduction; true if its process was not known.
    pub fn note_hello(&mut self, from: DaemonId, hello: Hello, now: Instant) -> bool {
        let Hello { listed, status, .. } = hello;
        let service = listed.service.clone();
        let is_new = self.note_listed(Listed { addr: from, ..listed }, now);
        if let Some(peer) = self.by_addr.get_mut(&from).filter(|p| p.incarnation == status.incarnation) {
            peer.service = service;
        }
        self.note_status(from, &status, now);
        is_new
    }

    /// Takes in a daemon's state; false if its process is not known.
    pub fn note_status(&mut self, from: DaemonId, status: &Status, now: Instant) -> bool {
        let Some(peer) = self.by_addr.get_mut(&from) else {
            return from == self.me;
        };
        if status.incarnation < peer.incarnation {
            // A datagram of an earlier process that was late.
            return true;
        }
        if status.incarnation > peer.incarnation {
            return false;
        }
        peer.report = Some(status.report);
        peer.reported_at = Some(now);
        peer.version = status.version;
        peer.members = u32::from(status.members);
        peer.pending = 0;
        peer.heard_at = Some(now);
        peer.said_at = Some(status.sent_at);
        peer.hears_us = status.hears_you;
        if status.hears_you {
            peer.down_until = None;
        }
        true
    }

    /// Takes in the report that came with an answer.
    pub fn note_report(&mut self, from: DaemonId, report: Report, now: Instant) {
        if let Some(peer) = self.by_addr.get_mut(&from) {
            peer.report = Some(report);
            peer.reported_at = Some(now);
            peer.pending = peer.pending.saturating_sub(1);
        }
    }

    /// Age of what is known of a daemon's server; none if nothing is.
    pub fn report_age(&self, addr: &DaemonId, now: Instant) -> Option<Duration> {
        let reported_at = self.by_addr.get(addr)?.reported_at?;
        Some(now.saturating_duration_since(reported_at))
    }

    /// Whether a daemon to which a request was handed at `since` is not heard or its server is thought to fail.
    /// Daemons of other regions send no states, only reports with their answers; one that sent none since then is in
    /// doubt too.
    pub fn is_doubtful(&self, addr: &DaemonId, since: Instant, now: Instant) -> bool {
        let Some(peer) = self.by_addr.get(addr) else {
            return true;
        };
        let Candidate { distance, condition, reachable, .. } = self.candidate(peer, 0, now);
        let is_silent = distance == Distance::OtherRegion && peer.reported_at.is_none_or(|at| at < since);
        condition.is_suspect() || !reachable || is_silent
    }

    /// Notes a hand-off.
    pub fn note_handoff(&mut self, to: DaemonId) {
        if let Some(peer) = self.by_addr.get_mut(&to) {
            peer.pending += 1;
        }
    }

    /// Notes that a hand-off failed on the way.
    pub fn note_path_failure(&mut self, to: DaemonId, now: Instant) {
        if let Some(peer) = self.by_addr.get_mut(&to) {
            peer.down_until = Some(now + PATH_PAUSE);
        }
    }

    /// Whether a daemon was heard lately.
    pub fn is_heard(&self, addr: &DaemonId, now: Instant) -> bool {
        let Some(peer) = self.by_addr.get(addr) else {
            return false;
        };
        let near = SILENT_AFTER.mul_f64(self.slowness());
        let limit = if peer.place == self.place { near } else { FAR_SILENT_AFTER };
        peer.heard_at.is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    /// How many times slower states are exchanged than in a data centre that is not large; 1 or more.
    pub fn slowness(&self) -> f64 {
        (self.centre_size as f64 / LARGE_CENTRE as f64).max(1.0)
    }

    /// Interval of states to each daemon of the data centre.
    pub fn status_interval(&self) -> Duration {
        STATUS_INTERVAL.mul_f64(self.slowness())
    }

    /// Whether it is this daemon's turn to fetch a configuration newer than `known`: in a large data centre those that
    /// have it would not keep up with all others at once.
    pub fn may_fetch(&self, known: Version, now: Instant) -> bool {
        let holders = self.in_centre().filter(|p| p.version > known).count();
        self.rank_in_centre(now) < holders.max(1) * FETCH_FANOUT
    }

    /// Moment of a daemon's last state, on its clock.
    pub fn said_at(&self, addr: &DaemonId) -> Option<BootTime> {
        self.by_addr.get(addr).and_then(|p| p.said_at)
    }

    /// Daemons of the region's other data centres with which this one exchanges states. Both sides choose
    /// alike, by a hash of their addresses; their number does not grow with the fleet.
    pub fn partners(&self, own_service: &str) -> Vec<DaemonId> {
        let mut sizes: HashMap<&str, f64> = HashMap::from([(own_service, 1.0)]);
        let in_region = || self.by_addr.values().filter(|p| p.place.region == self.place.region);
        for peer in in_region() {
            *sizes.entry(&*peer.service).or_default() += 1.0;
        }
        let size = |service: &str| sizes.get(service).copied().unwrap_or(1.0);
        let is_partner = |p: &&Peer| {
            let smaller = size(own_service).min(size(&p.service));
            p.place != self.place && pair_point(self.me, p.addr) < PARTNERS / smaller
        };
        in_region().filter(is_partner).map(|p| p.addr).collect()
    }

    /// One or two daemons of each other data centre, which introduce this one to theirs.
    pub fn ambassadors(&self) -> Vec<DaemonId> {
        let mut taken: HashMap<&Place, usize> = HashMap::new();
        let mut addrs = Vec::new();
        for peer in self.by_addr.values().filter(|p| p.place != self.place) {
            let count = taken.entry(&peer.place).or_default();
            *count += 1;
            if *count <= AMBASSADORS {
                addrs.push(peer.addr);
            }
        }
        addrs
    }

    /// Daemons of this data centre.
    pub fn in_centre(&self) -> impl Iterator<Item = &Peer> {
        self.by_addr.values().filter(|p| p.place == self.place)
    }

    /// All other daemons.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.by_addr.values()
    }

    /// One of the region's daemons with a newer configuration, from this data centre if there is one.
    pub fn with_newer(&self, known: Version, rng: &mut impl Rng) -> Option<DaemonId> {
        let newer = |p: &&Peer| p.version > known;
        let near = self.in_centre().filter(newer).choose(rng);
        let far = || {
            self.by_addr.values().filter(|p| p.place.region == self.place.region).filter(newer).choose(rng)
        };
        near.or_else(far).map(|p| p.addr)
    }

    /// Forgets which configuration a daemon has, until it says so again.
    pub fn forget_version(&mut self, addr: DaemonId) {
        if let Some(peer) = self.by_addr.get_mut(&addr) {
            peer.version = 0;
        }
    }

    /// Number of daemons that are known, this one included.
    pub fn members(&self) -> u32 {
        self.by_addr.len() as u32 + 1
    }

    /// Takes in that a daemon is gone; true if it was known.
    pub fn note_gone(&mut self, gone: Gone) -> bool {
        let known = self.by_addr.get(&gone.addr).map(|p| p.incarnation);
        let is_over = known.is_some_and(|incarnation| incarnation <= gone.incarnation);
        if is_over {
            self.by_addr.remove(&gone.addr);
            self.centre_size = self.in_centre().count();
        }
        is_over
    }

    /// Daemons of this data centre that have been silent for so long that they count as gone.
    pub fn silent_for_good(&self, now: Instant) -> Vec<Gone> {
        let last = |p: &Peer| p.heard_at.map_or(p.listed_at, |at| at.max(p.listed_at));
        let silent = self.in_centre().filter(|p| now.saturating_duration_since(last(p)) > GONE_AFTER);
        silent.map(|p| Gone { addr: p.addr, incarnation: p.incarnation, spread: false }).collect()
    }

    /// Number of daemons that divide rates: as many as the best informed daemon of the data centre knows, so that a
    /// daemon that has just started does not take too large a part. Parts of silent daemons are used by the others
    /// as far as the tolerance of rates covers that they are only cut off.
    pub fn dividers(&self, now: Instant) -> u32 {
        let heard = self.in_centre().filter(|p| self.is_heard(&p.addr, now));
        let known = heard.map(|p| p.members).fold(self.members(), u32::max);
        let is_silent =
            |p: &&Peer| p.heard_at.is_some_and(|at| now.saturating_duration_since(at) > SILENT_PART_AFTER);
        let silent = self.by_addr.values().filter(is_silent).count() as u32;
        let least = (f64::from(known) * (1.0 - TOLERATED_PART)).ceil() as u32;
        known.saturating_sub(silent).max(least)
    }

    /// Position of this daemon among those of its data centre that were heard or listed lately, by address.
    pub fn rank_in_centre(&self, now: Instant) -> usize {
        let may_ask =
            |p: &&Peer| self.is_heard(&p.addr, now) || now.duration_since(p.listed_at) < LISTED_COUNTS;
        self.in_centre().filter(|p| p.addr < self.me).filter(may_ask).count()
    }

    /// Daemon of this data centre with which tokens of a customer are deposited.
    pub fn depositary(&self, customer: &str, now: Instant) -> DaemonId {
        let heard = self.in_centre().map(|p| p.addr).filter(|addr| self.is_heard(addr, now));
        rendezvous::owner(&group(customer), heard.chain([self.me])).unwrap_or(self.me)
    }

    /// A depositary of a customer in another data centre, mostly one of this region.
    pub fn other_depositary(&self, customer: &str, rng: &mut impl Rng) -> Option<DaemonId> {
        let stays = rng.random_bool(STAY_CHANCE);
        let is_other = |p: &&Peer| p.place != self.place;
        let in_region = |p: &&Peer| p.place.region == self.place.region;
        let others = self.by_addr.values().filter(is_other);
        let place = others.clone().filter(|p| in_region(p) == stays).map(|p| &p.place).choose(rng)?;
        rendezvous::owner(&group(customer), others.filter(|p| p.place == *place).map(|p| p.addr))
    }

    /// Number of daemons of this data centre, this one included.
    pub fn members_of_centre(&self) -> u32 {
        self.centre_size as u32 + 1
    }

    /// Addresses and candidates for work of `service`, but those in `tried`.
    pub fn candidates(
        &self,
        service: &str,
        tried: &[DaemonId],
        now: Instant,
    ) -> (Vec<SocketAddr>, Vec<Candidate>) {
        let mut addrs = Vec::new();
        let mut candidates = Vec::new();
        for peer in self.by_addr.values() {
            let serves = *peer.service == *service && peer.takes_work();
            if !serves || tried.contains(&peer.addr) {
                continue;
            }
            candidates.push(self.candidate(peer, addrs.len(), now));
            addrs.push(peer.addr);
        }
        (addrs, candidates)
    }

    fn candidate(&self, peer: &Peer, index: usize, now: Instant) -> Candidate {
        let distance = if peer.place == self.place {
            Distance::SameDataCentre
        } else if peer.place.region == self.place.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        };
        let is_down = peer.down_until.is_some_and(|until| now < until);
        let is_heard = distance == Distance::OtherRegion || (peer.hears_us && self.is_heard(&peer.addr, now));
        Candidate {
            index,
            distance,
            load: peer.load(),
            condition: peer.condition(),
            reachable: is_heard && !is_down,
        }
    }
}

/// Customers of one group share their depositaries, so that one datagram carries many deposits.
fn group(customer: &str) -> String {
    (rendezvous::stable_hash(customer.as_bytes()) % CUSTOMER_GROUPS).to_string()
}

/// A point in 0 to 1 that both daemons of a pair compute alike.
fn pair_point(a: DaemonId, b: DaemonId) -> f64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    let hash = rendezvous::stable_hash(format!("{low} {high}").as_bytes());
    hash as f64 / u64::MAX as f64
}
