//! Changes of holders: who is to hold shares next, and what a change still waits for.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::{DaemonId, Version};
use kernel::{Board, StoreToken};

use crate::shares::SharesRow;
use crate::times::{LEASE_TTL, with_drift_margin};

/// Time for which a daemon must be seen before it gets shares.
const JOIN_AFTER: Duration = Duration::from_secs(2);
/// Time for which membership must hold a holder gone before it is fenced.
const FENCE_AFTER: Duration = Duration::from_secs(2);
/// Time after which other daemons finish a change that its proposer left unsettled.
const FINISH_AFTER: Duration = Duration::from_secs(10);
/// Daemons take up a matter one after another, this far apart.
const RANK_STEP: Duration = Duration::from_millis(700);
/// Ranks beyond this take their turn together.
const MAX_RANK: u32 = 12;
/// Time for which a fenced daemon gets no shares.
const FENCED_FOR: Duration = Duration::from_secs(30);

/// An unsettled change as a daemon that finishes it follows it.
#[derive(Debug)]
pub(crate) struct Change {
    pub(crate) version: Version,
    seen_at: Instant,
    /// Holders of the version before that know the change; whether they spend nothing lost any more.
    acks: BTreeMap<DaemonId, bool>,
    acked_at: Option<Instant>,
    pub(crate) next_ask: Instant,
    pub(crate) write: Option<StoreToken>,
}

impl Change {
    pub(crate) fn new(version: Version, now: Instant) -> Self {
        Self { version, seen_at: now, acks: BTreeMap::new(), acked_at: None, next_ask: now, write: None }
    }

    /// Notes that a daemon knows the change.
    pub(crate) fn ack(&mut self, from: DaemonId, is_clear: bool) {
        let clear = self.acks.entry(from).or_default();
        *clear |= is_clear;
    }

    /// Whether this daemon is to finish the change now.
    pub(crate) fn is_mine(&self, now: Instant, board: &Board, row: &SharesRow) -> bool {
        row.by == board.me.id || now >= self.seen_at + FINISH_AFTER + rank(board)
    }

    /// Whether the change may be marked as settled: enough holders know it, and the others' rights have
    /// ended; at once when all that lose shares said that nothing of them is spent any more.
    pub(crate) fn may_settle(&mut self, now: Instant, row: &SharesRow) -> bool {
        let Some(earlier) = &row.earlier else {
            return false;
        };
        let known = earlier.holders.iter().filter(|h| self.acks.contains_key(h)).count();
        let enough = known + earlier.quorum() >= earlier.holders.len();
        if !enough && !cfg!(feature = "mutation") {
            return false;
        }
        let acked_at = *self.acked_at.get_or_insert(now);
        let is_clear = |id: &DaemonId| self.acks.get(id).copied().unwrap_or(false);
        enough && row.losers().iter().all(is_clear) || now >= acked_at + with_drift_margin(LEASE_TTL)
    }

    /// Holders whose acknowledgement is missing or not clear yet.
    pub(crate) fn missing(&self, row: &SharesRow) -> Vec<DaemonId> {
        let holders = row.earlier.iter().flat_map(|e| e.holders.iter());
        holders.filter(|h| !self.acks.get(h).copied().unwrap_or(false)).copied().collect()
    }
}

/// Daemons whose standing differs from the row, and since when.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    silent: BTreeMap<DaemonId, Instant>,
    joining: BTreeMap<DaemonId, Instant>,
    fenced: BTreeMap<DaemonId, Instant>,
}

impl Watch {
    /// Follows the members.
    pub(crate) fn observe(&mut self, now: Instant, board: &Board, row: &SharesRow) {
        let alive = board.alive();
        let holders = &row.shares.holders;
        let silent = holders.iter().filter(|h| alive.binary_search(h).is_err());
        self.silent = silent.map(|h| (*h, self.silent.get(h).copied().unwrap_or(now))).collect();
        self.fenced.retain(|_, until| *until > now);
        let is_new = |id: &&DaemonId| holders.binary_search(id).is_err() && !self.fenced.contains_key(id);
        let joining = alive.iter().filter(is_new);
        self.joining = joining.map(|id| (*id, self.joining.get(id).copied().unwrap_or(now))).collect();
    }

    /// An operator wants a daemon fenced.
    pub(crate) fn fence(&mut self, now: Instant, id: DaemonId) {
        self.fenced.insert(id, now + FENCED_FOR);
    }

    /// Holders of the next version, if it is this daemon's turn to propose a change.
    pub(crate) fn next(&self, now: Instant, board: &Board, row: &SharesRow) -> Option<Vec<DaemonId>> {
        let wait = rank(board);
        let leaving = board.stopping.then_some(board.me.id);
        let is_due = |since: &Instant, after| now >= *since + after + wait;
        let fence = self.silent.values().any(|since| is_due(since, FENCE_AFTER));
        let join = !board.stopping && self.joining.values().any(|since| is_due(since, JOIN_AFTER));
        let holds = |id: &DaemonId| row.shares.holders.binary_search(id).is_ok();
        let asked = self.fenced.keys().any(holds);
        if !fence && !join && !asked && !leaving.is_some_and(|id| holds(&id)) {
            return None;
        }
        let next = self.holders(board, row, leaving);
        let silent = self.silent.len();
        let changed = *next != *row.shares.holders;
        (changed && !next.is_empty() && silent <= row.shares.quorum()).then_some(next)
    }

    /// Why no change can settle now; none if one could.
    pub(crate) fn blocked(&self, row: &SharesRow) -> Option<String> {
        let (silent, most) = (self.silent.len(), row.shares.quorum());
        (silent > most).then(|| format!("{silent} holders are silent and a change may miss {most} only"))
    }

    fn holders(&self, board: &Board, row: &SharesRow, leaving: Option<DaemonId>) -> Vec<DaemonId> {
        let most = row.shares.owners.len();
        let mut next: Vec<_> = board.alive();
        next.retain(|id| Some(*id) != leaving && !self.fenced.contains_key(id));
        next.truncate(most);
        next
    }
}

/// Delay of this daemon, by its place among the live ones, so that they seldom race.
fn rank(board: &Board) -> Duration {
    let before = board.members.values().filter(|m| m.is_alive() && m.id < board.me.id).count() as u32;
    RANK_STEP * before.min(MAX_RANK)
}
