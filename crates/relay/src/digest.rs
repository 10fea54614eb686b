//! Digests of the servers of a data centre, by which daemons elsewhere choose among them. Sans-I/O.
//!
//! The daemons of a data centre know each other's servers from status messages. Daemons elsewhere need to know
//! only a few servers that have room: the first two daemons of each data centre send such a digest to a random
//! daemon of every other one, which passes it on to its neighbours. So the messages between data centres grow
//! with the number of data centres and services, not with the number of daemons. A daemon that declines a
//! request sends a few servers of the same kind along, for the next attempt.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use base::{DaemonId, Place, Version};
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use serde::{Deserialize, Serialize};

use crate::handoff::ServerReport;
use crate::peer::Peer;
use crate::peers::Peers;

/// Largest number of servers of one service in a digest.
const MAX_SERVERS_PER_SERVICE: usize = 8;
/// Largest number of servers in a digest, which keeps it in one datagram: 26 bytes each when all have much work.
const MAX_SERVERS_PER_DIGEST: usize = 52;
/// Number of servers that a daemon names when it declines a request.
const SERVERS_PER_DECLINE: usize = 3;
/// Longest time for which the origin of a digest has not known a change when the digest arrives.
const DIGEST_LAG: Duration = Duration::from_millis(500);

/// A report on a server that comes from another daemon than the one beside the server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedReport {
    /// Daemon beside the server.
    pub daemon: DaemonId,
    /// Load and health of the server.
    pub report: ServerReport,
    /// Age of the report in milliseconds when this message was sent.
    pub age_ms: u16,
}

/// What a data centre tells others of its servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Version of the origin's configuration; 0 if it has none.
    pub version: Version,
    /// Number of daemons of the data centre that are silent.
    pub silent_daemons: u16,
    /// Healthy servers of each service, preferably such with room.
    pub servers: Vec<RelayedReport>,
}

impl Peers {
    /// Digest of the servers in this data centre, for daemons in others.
    pub fn digest(&self, version: Version, now: Instant, rng: &mut impl Rng) -> Digest {
        let mut by_service: BTreeMap<&str, Vec<&Peer>> = BTreeMap::new();
        for peer in self.usable_in_centre(now) {
            by_service.entry(&peer.service).or_default().push(peer);
        }
        let mut servers = Vec::new();
        for peers in by_service.values() {
            servers.extend(choose_servers(peers, MAX_SERVERS_PER_SERVICE, now, rng));
        }
        servers.truncate(MAX_SERVERS_PER_DIGEST);
        Digest { version, silent_daemons: self.silent_in_centre(now) as u16, servers }
    }

    /// A few servers of `service` in this data centre, for a daemon whose request for it was declined here.
    pub fn alternatives(&self, service: &str, now: Instant, rng: &mut impl Rng) -> Vec<RelayedReport> {
        let peers: Vec<&Peer> = self.usable_in_centre(now).filter(|p| *p.service == *service).collect();
        choose_servers(&peers, SERVERS_PER_DECLINE, now, rng)
    }

    /// Applies a digest of the data centre of the daemon `origin`; true if that is another one than this
    /// daemon's. Servers there that the digest doesn't name are no longer known, unless they have answered
    /// since.
    pub fn apply_digest(&mut self, origin: &DaemonId, digest: &Digest, now: Instant) -> bool {
        let Some(peer) = self.by_addr.get_mut(origin).filter(|p| p.place != self.place) else {
            return false;
        };
        peer.version = digest.version;
        let place = peer.place.clone();
        let is_named = |p: &Peer| digest.servers.iter().any(|s| s.daemon == p.addr);
        let unnamed = self.by_addr.values_mut().filter(|p| p.place == place && !is_named(p));
        if let Some(seen_until) = now.checked_sub(DIGEST_LAG) {
            unnamed.for_each(|p| p.forget_report_before(seen_until));
        }
        self.apply_relayed_reports(&digest.servers, now);
        self.silent_elsewhere.insert(place, digest.silent_daemons);
        true
    }

    /// Applies reports on servers in other data centres. This data centre's servers are known first-hand.
    pub fn apply_relayed_reports(&mut self, reports: &[RelayedReport], now: Instant) {
        for relayed in reports {
            let reported_at = now.checked_sub(Duration::from_millis(u64::from(relayed.age_ms)));
            let peer = self.by_addr.get_mut(&relayed.daemon).filter(|p| p.place != self.place);
            if let (Some(peer), Some(reported_at)) = (peer, reported_at) {
                peer.apply_older_report(relayed.report, reported_at);
            }
        }
    }

    /// A random daemon of each other data centre.
    pub fn daemon_of_each_centre(&self, rng: &mut impl Rng) -> Vec<DaemonId> {
        let mut by_place: HashMap<&Place, Vec<DaemonId>> = HashMap::new();
        for peer in self.all_peers().filter(|p| p.place != self.place) {
            by_place.entry(&peer.place).or_default().push(peer.addr);
        }
        by_place.values().filter_map(|addrs| addrs.choose(rng)).copied().collect()
    }

    fn usable_in_centre(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let is_usable = move |p: &&Peer| {
            p.takes_work() && !p.condition().is_suspect() && self.has_recent_status(&p.addr, now)
        };
        self.peers_in_centre().filter(is_usable)
    }
}

/// Chooses up to `count` servers at random, those with a free slot first.
fn choose_servers(peers: &[&Peer], count: usize, now: Instant, rng: &mut impl Rng) -> Vec<RelayedReport> {
    let has_room = |p: &&Peer| p.load().running < p.load().slots;
    let (with_room, full): (Vec<&Peer>, Vec<&Peer>) = peers.iter().copied().partition(has_room);
    let mut chosen = with_room.into_iter().choose_multiple(rng, count);
    let missing = count - chosen.len();
    chosen.extend(full.into_iter().choose_multiple(rng, missing));
    chosen.into_iter().filter_map(|p| relayed_report(p, now)).collect()
}

fn relayed_report(peer: &Peer, now: Instant) -> Option<RelayedReport> {
    let age = now.saturating_duration_since(peer.reported_at?);
    let age_ms = u16::try_from(age.as_millis()).ok()?;
    Some(RelayedReport { daemon: peer.addr, report: peer.report?, age_ms })
}
