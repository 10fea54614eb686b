//! The table of all other known daemons and the failure detector over it. No I/O, no clock.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use base::{DaemonId, Version};
use wire::member::{Heartbeat, IncarnationHash, MemberInfo, MemberState, incarnation_hash};

/// Number of daemons to which a daemon forwards each heartbeat that is new to it.
const FORWARDS_PER_HEARTBEAT: usize = 3;
/// Time for which a daemon that left is remembered, so that late messages don't make it a member again.
const FORGET_LEFT_AFTER: Duration = Duration::from_hours(1);
/// Time after which a failed daemon is forgotten even if the store is never read. Usually the daemon
/// is forgotten earlier, when its row is found to be deleted.
const FORGET_DEAD_AFTER: Duration = Duration::from_hours(24);

/// Timing of the failure detector. Intervals grow with the fleet, so that the cost for each daemon does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetectorTiming {
    /// Interval between a daemon's heartbeats.
    pub heartbeat_interval: Duration,
    /// Time since a member's last heartbeat after which it is probed.
    pub probe_after: Duration,
    /// Time since a member's last heartbeat after which it is considered failed.
    pub dead_after: Duration,
}

/// Shortest interval between heartbeats, in milliseconds.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Interval between heartbeats for each daemon of the fleet, in microseconds.
const HEARTBEAT_INTERVAL_PER_DAEMON_US: u64 = 3_600;
/// Time that gossip may take to bring a heartbeat to every daemon.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_400);
/// Time in which a member must answer probes before it is considered failed.
const PROBE_TIME: Duration = Duration::from_millis(1_100);

impl DetectorTiming {
    /// Timing for a fleet of this many daemons, the local one included.
    pub fn new(daemons: usize) -> Self {
        let scaled = Duration::from_micros(HEARTBEAT_INTERVAL_PER_DAEMON_US * daemons as u64);
        let heartbeat_interval = scaled.max(Duration::from_millis(MIN_HEARTBEAT_INTERVAL_MS));
        let probe_after = heartbeat_interval + PROPAGATION_TIME;
        Self { heartbeat_interval, probe_after, dead_after: probe_after + PROBE_TIME }
    }
}

/// Time in which a member is probed by this daemon only, before other daemons are asked to probe it too.
const DIRECT_PROBE_TIME: Duration = Duration::from_millis(350);

/// Members whose heartbeats are overdue, grouped by how long they have been.
#[derive(Debug, Default)]
pub(crate) struct SilentMembers {
    /// Probed by this daemon only, since gossip may have missed this daemon by chance.
    pub(crate) overdue: Vec<DaemonId>,
    /// Not heard after [`DIRECT_PROBE_TIME`] of direct probes either; other daemons are asked to probe them.
    pub(crate) suspect: Vec<DaemonId>,
    /// Now considered failed.
    pub(crate) dead: Vec<DaemonId>,
}

/// What is known about another daemon.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) info: MemberInfo,
    /// Clock of the newest heartbeat; 0 before the first one of an incarnation.
    pub(crate) clock: u32,
    /// When the newest heartbeat arrived; for a daemon that left or failed, when its state changed.
    pub(crate) heard_at: Instant,
    /// Configuration version in force at the daemon, as of its newest heartbeat.
    pub(crate) version: Version,
    /// Whether the store does not answer the daemon, as of its newest heartbeat.
    pub(crate) store_down: bool,
    /// Number of the last change of the daemon's server set, as of its newest heartbeat.
    pub(crate) server_set_seq: u32,
    /// Number of daemons to which the newest heartbeat is still to be forwarded.
    forwards_left: usize,
}

impl Peer {
    /// Whether the daemon takes part in gossip: it has neither left nor failed.
    pub(crate) fn is_active(&self) -> bool {
        matches!(self.info.state, MemberState::Alive | MemberState::Suspect)
    }

    fn hash(&self) -> IncarnationHash {
        incarnation_hash(self.info.id, self.info.incarnation)
    }

    /// The newest heartbeat, for a message whose highest version is `newest`.
    fn heartbeat(&self, newest: Version) -> Heartbeat {
        let behind = newest.saturating_sub(self.version).min(u64::from(u32::MAX >> 1)) as u32;
        Heartbeat {
            daemon: self.hash(),
            clock: self.clock,
            packed_lag: behind << 1 | u32::from(self.store_down),
            server_set_seq: self.server_set_seq,
        }
    }
}

/// What a message changed in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerChange {
    /// Nothing that concerns the rest of the daemon.
    None,
    /// A new heartbeat of a member arrived.
    Heard(DaemonId),
    /// The daemon joined, came back or was restarted.
    Up(DaemonId),
    /// The daemon left gracefully.
    Left(DaemonId),
    /// No daemon with the heartbeat's hash is known.
    Unknown(IncarnationHash),
}

/// All known daemons except the local one.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<DaemonId, Peer>,
    /// Daemons by the hash in their heartbeats; `None` where two share one. Those two are kept alive by
    /// probes only, since a forwarded heartbeat doesn't tell whose it is.
    by_hash: HashMap<IncarnationHash, Option<DaemonId>>,
    /// Daemons whose newest heartbeat is still to be forwarded.
    to_forward: Vec<DaemonId>,
}

impl PeerTable {
    pub(crate) fn get(&self, id: DaemonId) -> Option<&Peer> {
        self.peers.get(&id)
    }

    pub(crate) fn by_hash(&self, hash: IncarnationHash) -> Option<&Peer> {
        let id = self.by_hash.get(&hash).copied().flatten()?;
        self.peers.get(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Merges a description of a daemon; `is_direct` if that daemon sent it itself.
    pub(crate) fn merge(&mut self, now: Instant, info: &MemberInfo, is_direct: bool) -> PeerChange {
        let known = self.peers.get_mut(&info.id);
        match known {
            Some(p) if p.info.incarnation > info.incarnation => PeerChange::None,
            Some(p) if p.info.incarnation == info.incarnation => {
                if info.state == MemberState::Left && p.info.state != MemberState::Left {
                    p.info.state = MemberState::Left;
                    p.heard_at = now;
                    return PeerChange::Left(info.id);
                }
                if is_direct && info.state == MemberState::Alive && p.info.state == MemberState::Dead {
                    p.info.state = MemberState::Alive;
                    p.heard_at = now;
                    return PeerChange::Up(info.id);
                }
                PeerChange::None
            }
            // A stored row or another daemon's description of a later incarnation, which nobody has heard
            // from, does not replace an incarnation that sends heartbeats.
            Some(p) if info.state == MemberState::Dead && p.is_active() => PeerChange::None,
            _ => self.insert(now, info),
        }
    }

    fn insert(&mut self, now: Instant, info: &MemberInfo) -> PeerChange {
        let old = self.take_peer(info.id);
        let hash = incarnation_hash(info.id, info.incarnation);
        let slot = self.by_hash.entry(hash).or_insert(Some(info.id));
        if *slot != Some(info.id) {
            *slot = None;
        }
        let state = if info.state == MemberState::Suspect { MemberState::Alive } else { info.state };
        let peer = Peer {
            info: MemberInfo { state, ..info.clone() },
            clock: 0,
            heard_at: now,
            version: 0,
            store_down: false,
            server_set_seq: 0,
            forwards_left: 0,
        };
        self.peers.insert(info.id, peer);
        match state {
            MemberState::Left if old.is_some() => PeerChange::Left(info.id),
            MemberState::Alive | MemberState::Suspect => PeerChange::Up(info.id),
            MemberState::Left | MemberState::Dead => PeerChange::None,
        }
    }

    /// Applies a heartbeat from a message that `from` sent and whose highest version is `newest`.
    pub(crate) fn apply_heartbeat(
        &mut self,
        now: Instant,
        from: DaemonId,
        beat: &Heartbeat,
        newest: Version,
    ) -> PeerChange {
        let id = match self.by_hash.get(&beat.daemon) {
            None => return PeerChange::Unknown(beat.daemon),
            Some(Some(id)) => *id,
            // Two daemons share the hash, so only a heartbeat that one of them sends itself is certain.
            Some(None) => from,
        };
        let Some(peer) = self.peers.get_mut(&id).filter(|p| p.hash() == beat.daemon) else {
            return PeerChange::None;
        };
        if beat.clock <= peer.clock {
            return PeerChange::None;
        }
        peer.clock = beat.clock;
        peer.heard_at = now;
        peer.version = newest.saturating_sub(u64::from(beat.packed_lag >> 1));
        peer.store_down = beat.packed_lag & 1 == 1;
        peer.server_set_seq = beat.server_set_seq;
        if peer.forwards_left == 0 {
            self.to_forward.push(peer.info.id);
        }
        peer.forwards_left = FORWARDS_PER_HEARTBEAT;
        match peer.info.state {
            MemberState::Left => PeerChange::None,
            MemberState::Alive => PeerChange::Heard(peer.info.id),
            MemberState::Suspect => {
                peer.info.state = MemberState::Alive;
                PeerChange::Heard(peer.info.id)
            }
            MemberState::Dead => {
                peer.info.state = MemberState::Alive;
                PeerChange::Up(peer.info.id)
            }
        }
    }

    /// Takes up to `limit` heartbeats to be forwarded to this many receivers, and the highest version among
    /// them.
    pub(crate) fn take_heartbeats_to_forward(
        &mut self,
        receivers: usize,
        limit: usize,
    ) -> (Version, Vec<Heartbeat>) {
        let count = self.to_forward.len().min(limit);
        let ids: Vec<_> = self.to_forward.drain(..count).collect();
        let newest = ids.iter().filter_map(|id| self.peers.get(id)).map(|p| p.version).max().unwrap_or(0);
        let mut beats = Vec::with_capacity(ids.len());
        for id in ids {
            let Some(peer) = self.peers.get_mut(&id) else {
                continue;
            };
            beats.push(peer.heartbeat(newest));
            peer.forwards_left = peer.forwards_left.saturating_sub(receivers);
            if peer.forwards_left > 0 {
                self.to_forward.push(id);
            }
        }
        (newest, beats)
    }

    /// The newest heartbeat of a daemon, with the version that a message carrying only this heartbeat needs.
    pub(crate) fn heartbeat_of(&self, id: DaemonId) -> Option<(Version, Heartbeat)> {
        let peer = self.peers.get(&id)?;
        Some((peer.version, peer.heartbeat(peer.version)))
    }

    /// Finds the overdue members, suspects those that don't answer direct probes and considers failed those
    /// not heard from for `dead_after`.
    pub(crate) fn detect_failures(&mut self, now: Instant, timing: &DetectorTiming) -> SilentMembers {
        let mut silent = SilentMembers::default();
        for (id, peer) in &mut self.peers {
            if !peer.is_active() || now < peer.heard_at + timing.probe_after {
                continue;
            }
            if now >= peer.heard_at + timing.dead_after {
                peer.info.state = MemberState::Dead;
                peer.heard_at = now;
                silent.dead.push(*id);
            } else if now >= peer.heard_at + timing.probe_after + DIRECT_PROBE_TIME {
                peer.info.state = MemberState::Suspect;
                silent.suspect.push(*id);
            } else {
                silent.overdue.push(*id);
            }
        }
        silent
    }

    /// Gives every member `gap` more time, since this process was paused for that long and received nothing.
    pub(crate) fn extend_deadlines(&mut self, gap: Duration) {
        for peer in self.peers.values_mut() {
            peer.heard_at += gap;
        }
    }

    /// Forgets daemons that left or failed long ago.
    pub(crate) fn forget_departed(&mut self, now: Instant) {
        let is_old = |p: &Peer| match p.info.state {
            MemberState::Left => now >= p.heard_at + FORGET_LEFT_AFTER,
            MemberState::Dead => now >= p.heard_at + FORGET_DEAD_AFTER,
            MemberState::Alive | MemberState::Suspect => false,
        };
        let old: Vec<_> = self.peers.values().filter(|p| is_old(p)).map(|p| p.info.id).collect();
        for id in old {
            self.remove(id);
        }
    }

    pub(crate) fn remove(&mut self, id: DaemonId) {
        self.take_peer(id);
    }

    fn take_peer(&mut self, id: DaemonId) -> Option<Peer> {
        let old = self.peers.remove(&id)?;
        let hash = old.hash();
        let mut sharing = self.peers.values().filter(|p| p.hash() == hash).map(|p| p.info.id);
        match (sharing.next(), sharing.next()) {
            (None, _) => self.by_hash.remove(&hash),
            (Some(other), None) => self.by_hash.insert(hash, Some(other)),
            (Some(_), Some(_)) => None,
        };
        Some(old)
    }
}

#[cfg(test)]
#[path = "peer_table_tests.rs"]
mod peer_table_tests;
