//! The table of known daemons: who is heard, who is overdue, who is gone. No I/O, no clock.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use base::{DaemonId, Version};
use wire::member::{Heartbeat, IncarnationHash, MemberInfo, MemberState, incarnation_hash};

/// How often a daemon passes on each heartbeat that is news to it.
const SPREAD: usize = 3;
/// Time for which a daemon that left or was replaced stays known, so that late messages don't revive it.
const FORGET_AFTER: Duration = Duration::from_hours(1);
/// Time after which an unclean end is forgotten even though the store's table was never read.
const FORGET_GONE_AFTER: Duration = Duration::from_hours(24);

/// Deadlines of failure detection; they grow with the fleet, so that the cost of one daemon does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Interval between a daemon's own heartbeats.
    pub beat: Duration,
    /// Silence after which a member is probed.
    pub suspect_after: Duration,
    /// Silence after which a member counts as gone.
    pub dead_after: Duration,
}

/// Shortest interval between heartbeats, in milliseconds.
const BEAT_MIN_MS: u64 = 500;
/// Interval between heartbeats for each daemon of the fleet, in microseconds.
const BEAT_PER_DAEMON_US: u64 = 3_600;
/// Time that a heartbeat may take to reach everyone.
const SPREAD_TIME: Duration = Duration::from_millis(1_400);
/// Time for probes of an overdue member.
const PROBE_TIME: Duration = Duration::from_millis(1_100);

impl Pace {
    /// The pace of a fleet of this size.
    pub fn new(daemons: usize) -> Self {
        let scaled = Duration::from_micros(BEAT_PER_DAEMON_US * daemons as u64);
        let beat = scaled.max(Duration::from_millis(BEAT_MIN_MS));
        let suspect_after = beat + SPREAD_TIME;
        Self { beat, suspect_after, dead_after: suspect_after + PROBE_TIME }
    }
}

/// Time for a direct probe alone, before others are asked to probe too.
const DIRECT_TIME: Duration = Duration::from_millis(350);

/// Members that are not heard in time.
#[derive(Debug, Default)]
pub(crate) struct Judged {
    /// Their heartbeats may have missed this daemon by chance; a direct probe tells.
    pub(crate) overdue: Vec<DaemonId>,
    /// Direct probes got no answer either.
    pub(crate) suspect: Vec<DaemonId>,
    /// Given up.
    pub(crate) gone: Vec<DaemonId>,
}

/// What is known of one daemon.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) info: MemberInfo,
    /// Clock of the newest heartbeat. Never falls within one incarnation.
    pub(crate) clock: u32,
    /// When the newest heartbeat came; for a gone daemon, when it was given up.
    pub(crate) heard: Instant,
    pub(crate) version: Version,
    pub(crate) store_down: bool,
    pub(crate) vouched: u32,
    /// Times that the newest heartbeat is still to be passed on.
    spread: usize,
}

impl Peer {
    /// Whether it takes part in the fleet's gossip.
    pub(crate) fn is_talking(&self) -> bool {
        matches!(self.info.state, MemberState::Alive | MemberState::Suspect)
    }

    fn name(&self) -> IncarnationHash {
        incarnation_hash(self.info.id, self.info.incarnation)
    }

    fn beat(&self, newest: Version) -> Heartbeat {
        let behind = newest.saturating_sub(self.version).min(u64::from(u32::MAX >> 1)) as u32;
        Heartbeat {
            daemon: self.name(),
            clock: self.clock,
            packed_lag: behind << 1 | u32::from(self.store_down),
            server_set_seq: self.vouched,
        }
    }
}

/// What a message changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing that others must know.
    None,
    /// A heartbeat of a member was news.
    Heard(DaemonId),
    /// The daemon joined, came back or was started anew.
    Up(DaemonId),
    /// The daemon left gracefully.
    Left(DaemonId),
    /// The heartbeat's daemon is not known.
    Unknown(IncarnationHash),
}

/// All known daemons but this one.
#[derive(Debug, Default)]
pub(crate) struct Table {
    peers: BTreeMap<DaemonId, Peer>,
    /// Daemons by short name; none where two share one, which then live by probes alone.
    by_short: HashMap<IncarnationHash, Option<DaemonId>>,
    /// Daemons with a heartbeat to pass on.
    hot: Vec<DaemonId>,
}

impl Table {
    pub(crate) fn get(&self, id: DaemonId) -> Option<&Peer> {
        self.peers.get(&id)
    }

    pub(crate) fn by_short(&self, name: IncarnationHash) -> Option<&Peer> {
        let id = self.by_short.get(&name).copied().flatten()?;
        self.peers.get(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Takes a description; `direct` when the daemon itself sent it.
    pub(crate) fn merge(&mut self, now: Instant, info: &MemberInfo, direct: bool) -> Change {
        let known = self.peers.get_mut(&info.id);
        match known {
            Some(p) if p.info.incarnation > info.incarnation => Change::None,
            Some(p) if p.info.incarnation == info.incarnation => {
                if info.state == MemberState::Left && p.info.state != MemberState::Left {
                    p.info.state = MemberState::Left;
                    p.heard = now;
                    return Change::Left(info.id);
                }
                if direct && info.state == MemberState::Alive && p.info.state == MemberState::Dead {
                    p.info.state = MemberState::Alive;
                    p.heard = now;
                    return Change::Up(info.id);
                }
                Change::None
            }
            // A row or hearsay of a successor that nobody heard yet does not end the one that is heard.
            Some(p) if info.state == MemberState::Dead && p.is_talking() => Change::None,
            _ => self.insert(now, info),
        }
    }

    fn insert(&mut self, now: Instant, info: &MemberInfo) -> Change {
        let old = self.take_out(info.id);
        let name = incarnation_hash(info.id, info.incarnation);
        let slot = self.by_short.entry(name).or_insert(Some(info.id));
        if *slot != Some(info.id) {
            *slot = None;
        }
        let state = if info.state == MemberState::Suspect { MemberState::Alive } else { info.state };
        let peer = Peer {
            info: MemberInfo { state, ..info.clone() },
            clock: 0,
            heard: now,
            version: 0,
            store_down: false,
            vouched: 0,
            spread: 0,
        };
        self.peers.insert(info.id, peer);
        match state {
            MemberState::Left if old.is_some() => Change::Left(info.id),
            MemberState::Alive | MemberState::Suspect => Change::Up(info.id),
            MemberState::Left | MemberState::Dead => Change::None,
        }
    }

    /// Takes a heartbeat out of a message of `from` whose highest version is `newest`.
    pub(crate) fn beat(&mut self, now: Instant, from: DaemonId, beat: &Heartbeat, newest: Version) -> Change {
        let id = match self.by_short.get(&beat.daemon) {
            None => return Change::Unknown(beat.daemon),
            Some(Some(id)) => *id,
            // Two daemons share the name, so only what one of them sends itself is certain.
            Some(None) => from,
        };
        let Some(peer) = self.peers.get_mut(&id).filter(|p| p.name() == beat.daemon) else {
            return Change::None;
        };
        if beat.clock <= peer.clock {
            return Change::None;
        }
        peer.clock = beat.clock;
        peer.heard = now;
        peer.version = newest.saturating_sub(u64::from(beat.packed_lag >> 1));
        peer.store_down = beat.packed_lag & 1 == 1;
        peer.vouched = beat.server_set_seq;
        if peer.spread == 0 {
            self.hot.push(peer.info.id);
        }
        peer.spread = SPREAD;
        match peer.info.state {
            MemberState::Left => Change::None,
            MemberState::Alive => Change::Heard(peer.info.id),
            MemberState::Suspect => {
                peer.info.state = MemberState::Alive;
                Change::Heard(peer.info.id)
            }
            MemberState::Dead => {
                peer.info.state = MemberState::Alive;
                Change::Up(peer.info.id)
            }
        }
    }

    /// Heartbeats to pass on to this many receivers now, and the highest version among them.
    pub(crate) fn take_hot(&mut self, receivers: usize, limit: usize) -> (Version, Vec<Heartbeat>) {
        let count = self.hot.len().min(limit);
        let ids: Vec<_> = self.hot.drain(..count).collect();
        let newest = ids.iter().filter_map(|id| self.peers.get(id)).map(|p| p.version).max().unwrap_or(0);
        let mut beats = Vec::with_capacity(ids.len());
        for id in ids {
            let Some(peer) = self.peers.get_mut(&id) else {
                continue;
            };
            beats.push(peer.beat(newest));
            peer.spread = peer.spread.saturating_sub(receivers);
            if peer.spread > 0 {
                self.hot.push(id);
            }
        }
        (newest, beats)
    }

    /// The newest heartbeat of one daemon, as a message's content.
    pub(crate) fn beat_of(&self, id: DaemonId) -> Option<(Version, Heartbeat)> {
        let peer = self.peers.get(&id)?;
        Some((peer.version, peer.beat(peer.version)))
    }

    /// Judges all members by the pace.
    pub(crate) fn judge(&mut self, now: Instant, pace: &Pace) -> Judged {
        let mut judged = Judged::default();
        for (id, peer) in &mut self.peers {
            if !peer.is_talking() || now < peer.heard + pace.suspect_after {
                continue;
            }
            if now >= peer.heard + pace.dead_after {
                peer.info.state = MemberState::Dead;
                peer.heard = now;
                judged.gone.push(*id);
            } else if now >= peer.heard + pace.suspect_after + DIRECT_TIME {
                peer.info.state = MemberState::Suspect;
                judged.suspect.push(*id);
            } else {
                judged.overdue.push(*id);
            }
        }
        judged
    }

    /// Gives every member `gap` more time, because this process could not listen.
    pub(crate) fn forgive(&mut self, gap: Duration) {
        for peer in self.peers.values_mut() {
            peer.heard += gap;
        }
    }

    /// Forgets daemons that left or ended long ago.
    pub(crate) fn forget(&mut self, now: Instant) {
        let is_old = |p: &Peer| match p.info.state {
            MemberState::Left => now >= p.heard + FORGET_AFTER,
            MemberState::Dead => now >= p.heard + FORGET_GONE_AFTER,
            MemberState::Alive | MemberState::Suspect => false,
        };
        let old: Vec<_> = self.peers.values().filter(|p| is_old(p)).map(|p| p.info.id).collect();
        for id in old {
            self.remove(id);
        }
    }

    /// Forgets one daemon.
    pub(crate) fn remove(&mut self, id: DaemonId) {
        self.take_out(id);
    }

    fn take_out(&mut self, id: DaemonId) -> Option<Peer> {
        let old = self.peers.remove(&id)?;
        let name = old.name();
        let mut sharing = self.peers.values().filter(|p| p.name() == name).map(|p| p.info.id);
        match (sharing.next(), sharing.next()) {
            (None, _) => self.by_short.remove(&name),
            (Some(other), None) => self.by_short.insert(name, Some(other)),
            (Some(_), Some(_)) => None,
        };
        Some(old)
    }
}

#[cfg(test)]
#[path = "peer_table_tests.rs"]
mod peer_table_tests;
