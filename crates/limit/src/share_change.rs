//! Changes of the share holders: which daemons hold shares next, and when a change is settled.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::{DaemonId, Version};
use kernel::{Board, StoreToken};

use crate::shares::SharesRow;
use crate::times::{LEASE_TTL, with_drift_margin};

/// Time for which a daemon must have been alive before it gets shares.
const JOIN_AFTER: Duration = Duration::from_secs(2);
/// Time for which a holder must have been missing from the live members before it is fenced.
const FENCE_AFTER: Duration = Duration::from_secs(2);
/// Time after which other daemons settle a change that its proposer left unsettled.
const TAKE_OVER_AFTER: Duration = Duration::from_secs(10);
/// Delay between the attempts of successive daemons to make or settle a change.
const DELAY_PER_RANK: Duration = Duration::from_millis(700);
/// Highest rank that lengthens the delay.
const MAX_RANK: u32 = 12;
/// Time for which a daemon that an operator fenced gets no shares.
const FENCE_DURATION: Duration = Duration::from_secs(30);

/// Progress of an unsettled change, as seen by this daemon.
#[derive(Debug)]
pub(crate) struct ShareChange {
    pub(crate) version: Version,
    seen_at: Instant,
    /// Holders of the earlier version that know the change, and whether the shares that they lost have
    /// expired.
    acks: BTreeMap<DaemonId, bool>,
    /// When enough holders were first found to know the change.
    quorum_at: Option<Instant>,
    pub(crate) next_ack_request: Instant,
    /// The write in flight that marks the change as settled.
    pub(crate) settle_write: Option<StoreToken>,
}

impl ShareChange {
    pub(crate) fn new(version: Version, now: Instant) -> Self {
        Self {
            version,
            seen_at: now,
            acks: BTreeMap::new(),
            quorum_at: None,
            next_ack_request: now,
            settle_write: None,
        }
    }

    /// Records that a daemon knows the change.
    pub(crate) fn record_ack(&mut self, from: DaemonId, lost_shares_expired: bool) {
        let expired = self.acks.entry(from).or_default();
        *expired |= lost_shares_expired;
    }

    /// Whether it is this daemon's turn to settle the change.
    pub(crate) fn is_coordinated_here(&self, now: Instant, board: &Board, row: &SharesRow) -> bool {
        row.by == board.me.id || now >= self.seen_at + TAKE_OVER_AFTER + rank_delay(board)
    }

    /// Whether the change may be marked as settled: enough holders know it, and the leases of the other
    /// holders have ended since; or, without this wait, all holders that lose shares reported that these have
    /// expired.
    pub(crate) fn may_settle(&mut self, now: Instant, row: &SharesRow) -> bool {
        let Some(earlier) = &row.earlier else {
            return false;
        };
        let acked = earlier.holders.iter().filter(|h| self.acks.contains_key(h)).count();
        let enough = acked + earlier.quorum() >= earlier.holders.len();
        if !enough && !cfg!(feature = "mutation") {
            return false;
        }
        let quorum_at = *self.quorum_at.get_or_insert(now);
        let has_expired = |id: &DaemonId| self.acks.get(id).copied().unwrap_or(false);
        enough && row.losers().iter().all(has_expired) || now >= quorum_at + with_drift_margin(LEASE_TTL)
    }

    /// Holders of the earlier version that have not acknowledged the change, or whose lost shares have not
    /// expired.
    pub(crate) fn missing_acks(&self, row: &SharesRow) -> Vec<DaemonId> {
        let holders = row.earlier.iter().flat_map(|e| e.holders.iter());
        holders.filter(|h| !self.acks.get(h).copied().unwrap_or(false)).copied().collect()
    }
}

/// Daemons whose state differs from the `shares` row: holders that are not alive and live daemons without
/// shares.
#[derive(Debug, Default)]
pub(crate) struct HolderWatch {
    /// Holders that are not alive, and since when.
    silent: BTreeMap<DaemonId, Instant>,
    /// Live daemons that hold no shares and are not fenced, and since when.
    joining: BTreeMap<DaemonId, Instant>,
    /// Daemons that an operator fenced, and until when they get no shares.
    fenced: BTreeMap<DaemonId, Instant>,
}

impl HolderWatch {
    /// Compares the live members with the row.
    pub(crate) fn update(&mut self, now: Instant, board: &Board, row: &SharesRow) {
        let alive = board.alive();
        let holders = &row.shares.holders;
        let silent = holders.iter().filter(|h| alive.binary_search(h).is_err());
        self.silent = silent.map(|h| (*h, self.silent.get(h).copied().unwrap_or(now))).collect();
        self.fenced.retain(|_, until| *until > now);
        let is_new = |id: &&DaemonId| holders.binary_search(id).is_err() && !self.fenced.contains_key(id);
        let joining = alive.iter().filter(is_new);
        self.joining = joining.map(|id| (*id, self.joining.get(id).copied().unwrap_or(now))).collect();
    }

    /// Fences a daemon on an operator's request.
    pub(crate) fn fence(&mut self, now: Instant, id: DaemonId) {
        self.fenced.insert(id, now + FENCE_DURATION);
    }

    /// Holders of the next version, if a change is due and it is this daemon's turn to propose it.
    pub(crate) fn next_holders(&self, now: Instant, board: &Board, row: &SharesRow) -> Option<Vec<DaemonId>> {
        let wait = rank_delay(board);
        let stopping = board.stopping.then_some(board.me.id);
        let is_due = |since: &Instant, after| now >= *since + after + wait;
        let is_fence_due = self.silent.values().any(|since| is_due(since, FENCE_AFTER));
        let is_join_due = !board.stopping && self.joining.values().any(|since| is_due(since, JOIN_AFTER));
        let holds = |id: &DaemonId| row.shares.holders.binary_search(id).is_ok();
        let is_fence_requested = self.fenced.keys().any(holds);
        if !is_fence_due && !is_join_due && !is_fence_requested && !stopping.is_some_and(|id| holds(&id)) {
            return None;
        }
        let next = self.eligible_holders(board, row, stopping);
        let silent = self.silent.len();
        let changed = *next != *row.shares.holders;
        (changed && !next.is_empty() && silent <= row.shares.quorum()).then_some(next)
    }

    /// Why no change can settle now; `None` if one could.
    pub(crate) fn blocked_reason(&self, row: &SharesRow) -> Option<String> {
        let (silent, most) = (self.silent.len(), row.shares.quorum());
        (silent > most).then(|| {
            format!("{silent} holders are silent, more than the {most} allowed; restart or reconnect them")
        })
    }

    /// Live daemons that may hold shares, at most as many as there are shares.
    fn eligible_holders(&self, board: &Board, row: &SharesRow, stopping: Option<DaemonId>) -> Vec<DaemonId> {
        let most = row.shares.owners.len();
        let mut next: Vec<_> = board.alive();
        next.retain(|id| Some(*id) != stopping && !self.fenced.contains_key(id));
        next.truncate(most);
        next
    }
}

/// Delay of this daemon by its rank among the live ones, so that daemons seldom compete for the same change.
fn rank_delay(board: &Board) -> Duration {
    let before = board.members.values().filter(|m| m.is_alive() && m.id < board.me.id).count() as u32;
    DELAY_PER_RANK * before.min(MAX_RANK)
}
