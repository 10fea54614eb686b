//! The lease of this daemon on its shares: until when it may spend them.

use std::collections::HashMap;
use std::time::Instant;

use base::{DaemonId, Version};

use crate::shares::SharesRow;
use crate::times::{DELEGATION_TTL, LEASE_TTL, with_drift_margin};

/// What this daemon knows of the `shares` row, and when the store or other holders last confirmed it.
#[derive(Debug)]
pub(crate) struct ShareLease {
    me: DaemonId,
    /// The known row with its version and text.
    row: Option<(Version, SharesRow, Box<str>)>,
    /// Highest version of the row that this daemon heard of. Never decreases.
    highest_seen: Version,
    /// When the last store read that returned the known version was sent.
    store_read_at: Option<Instant>,
    /// For each daemon that confirmed the known version, when the query that it answered was sent.
    answers: HashMap<DaemonId, Instant>,
    /// Whether this process ever found the known row confirmed by the store or by a quorum of holders; only
    /// then may it confirm the row to other daemons.
    has_synced: bool,
    /// End of the delegations that an earlier process on this address may have made.
    predecessor_until: Instant,
}

impl ShareLease {
    pub(crate) fn new(me: DaemonId, now: Instant) -> Self {
        Self {
            me,
            row: None,
            highest_seen: 0,
            store_read_at: None,
            answers: HashMap::new(),
            has_synced: false,
            predecessor_until: now + with_drift_margin(DELEGATION_TTL),
        }
    }

    /// Version of the known row; 0 if none is known.
    pub(crate) fn version(&self) -> Version {
        self.row.as_ref().map_or(0, |(version, ..)| *version)
    }

    pub(crate) fn row(&self) -> Option<&SharesRow> {
        self.row.as_ref().map(|(_, row, _)| row)
    }

    /// The row's text, to be sent to other daemons.
    pub(crate) fn row_text(&self) -> Option<&str> {
        self.row.as_ref().map(|(.., text)| &**text)
    }

    /// Whether this process may spend by the known row and confirm it: it has synced and heard of no newer
    /// version.
    pub(crate) fn is_current(&self) -> bool {
        self.has_synced && self.highest_seen <= self.version()
    }

    /// Whether delegations of an earlier process on this address may still be in force.
    pub(crate) fn predecessor_may_have_delegated(&self, now: Instant) -> bool {
        now < self.predecessor_until
    }

    /// Replaces the known row by a newer one; returns whether `version` was newer.
    pub(crate) fn adopt(&mut self, version: Version, row: SharesRow, text: &str) -> bool {
        if version <= self.version() {
            return false;
        }
        self.row = Some((version, row, text.into()));
        self.highest_seen = self.highest_seen.max(version);
        self.store_read_at = None;
        self.answers.clear();
        true
    }

    /// Records that a store read, sent at `asked_at`, returned `version`.
    pub(crate) fn record_store_read(&mut self, version: Version, asked_at: Instant) {
        if version == self.version() {
            self.store_read_at = self.store_read_at.max(Some(asked_at));
            self.has_synced = true;
        }
    }

    /// Records that this address holds no shares by the store: all delegations of an earlier process had
    /// ended before the change that took its shares away was settled.
    pub(crate) fn rule_out_predecessor(&mut self, now: Instant) {
        self.predecessor_until = self.predecessor_until.min(now);
    }

    /// Records that a version exists; a newer one stops spending until its row is known.
    pub(crate) fn record_version(&mut self, version: Version) {
        self.highest_seen = self.highest_seen.max(version);
    }

    /// Records another daemon's answer to a query sent at `asked_at`; `may_confirm` is whether that daemon
    /// may confirm the row.
    pub(crate) fn record_answer(
        &mut self,
        from: DaemonId,
        version: Version,
        may_confirm: bool,
        asked_at: Instant,
    ) {
        self.record_version(version);
        if !may_confirm || version != self.version() || version == 0 {
            return;
        }
        let answered = self.answers.entry(from).or_insert(asked_at);
        *answered = asked_at.max(*answered);
        if self.quorum_confirmed_at().is_some() {
            self.has_synced = true;
        }
    }

    /// When the lease ends; `None` if this daemon may not spend its shares.
    pub(crate) fn expires_at(&self, now: Instant) -> Option<Instant> {
        let (_, row, _) = self.row.as_ref()?;
        if !self.is_current() || self.predecessor_may_have_delegated(now) {
            return None;
        }
        let is_sole_holder = row.shares.quorum() == 0 && row.shares.holders.contains(&self.me);
        let confirmed =
            if is_sole_holder { Some(now) } else { self.store_read_at.max(self.quorum_confirmed_at()) };
        confirmed.map(|at| at + LEASE_TTL).filter(|until| *until > now)
    }

    /// Whether the row was confirmed by a store read or a quorum sent at `since` or later.
    pub(crate) fn is_confirmed_since(&self, since: Instant) -> bool {
        self.is_current() && self.store_read_at.max(self.quorum_confirmed_at()).is_some_and(|at| at >= since)
    }

    /// When the queries were sent whose answers form a quorum. A process that has not synced needs one answer
    /// more, as it does not count itself.
    fn quorum_confirmed_at(&self) -> Option<Instant> {
        let (_, row, _) = self.row.as_ref()?;
        let holders = &row.shares.holders;
        let needed = if self.has_synced { row.shares.quorum() } else { row.shares.quorum() + 1 };
        let is_other_holder = |id: &DaemonId| *id != self.me && holders.binary_search(id).is_ok();
        let mut query_times: Vec<_> =
            self.answers.iter().filter(|(id, _)| is_other_holder(id)).map(|(_, at)| *at).collect();
        query_times.sort_unstable_by(|a, b| b.cmp(a));
        query_times.get(needed.checked_sub(1)?).copied()
    }
}
