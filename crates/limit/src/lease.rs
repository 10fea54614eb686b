//! The holder rule: until when this daemon may spend its shares.

use std::collections::HashMap;
use std::time::Instant;

use base::{DaemonId, Version};

use crate::shares::SharesRow;
use crate::times::{DELEGATION_TTL, LEASE_TTL, with_drift_margin};

/// What this daemon knows of the `shares` row and how fresh that is.
#[derive(Debug)]
pub(crate) struct Rights {
    me: DaemonId,
    row: Option<(Version, SharesRow, Box<str>)>,
    /// Highest version number seen anywhere. Never falls.
    seen: Version,
    /// Sending of the last read of the store that showed the known version.
    read_at: Option<Instant>,
    /// Sending of the last question to each daemon that answered with the known version.
    answers: HashMap<DaemonId, Instant>,
    /// Whether this process may answer others: it read the store or heard enough holders.
    known: bool,
    /// A predecessor on this address may have delegated until then.
    quiet_until: Instant,
}

impl Rights {
    pub(crate) fn new(me: DaemonId, now: Instant) -> Self {
        Self {
            me,
            row: None,
            seen: 0,
            read_at: None,
            answers: HashMap::new(),
            known: false,
            quiet_until: now + with_drift_margin(DELEGATION_TTL),
        }
    }

    /// Version of the known row; 0: none.
    pub(crate) fn version(&self) -> Version {
        self.row.as_ref().map_or(0, |(version, ..)| *version)
    }

    pub(crate) fn row(&self) -> Option<&SharesRow> {
        self.row.as_ref().map(|(_, row, _)| row)
    }

    /// The row's text, for others.
    pub(crate) fn text(&self) -> Option<&str> {
        self.row.as_ref().map(|(.., text)| &**text)
    }

    /// Whether this process may answer for the row.
    pub(crate) fn is_known(&self) -> bool {
        self.known && self.seen <= self.version()
    }

    /// Whether a predecessor's delegations may still live.
    pub(crate) fn is_quiet(&self, now: Instant) -> bool {
        now < self.quiet_until
    }

    /// Takes in a newer row; returns whether it was newer.
    pub(crate) fn adopt(&mut self, version: Version, row: SharesRow, text: &str) -> bool {
        if version <= self.version() {
            return false;
        }
        self.row = Some((version, row, text.into()));
        self.seen = self.seen.max(version);
        self.read_at = None;
        self.answers.clear();
        true
    }

    /// Notes that a read of the store, sent at `asked_at`, showed `version`.
    pub(crate) fn read(&mut self, version: Version, asked_at: Instant) {
        if version == self.version() {
            self.read_at = self.read_at.max(Some(asked_at));
            self.known = true;
        }
    }

    /// Notes that the store showed no shares of this address: whatever a predecessor had delegated ended
    /// before the change that took them was settled.
    pub(crate) fn had_none(&mut self, now: Instant) {
        self.quiet_until = self.quiet_until.min(now);
    }

    /// Notes a version number; a newer one stops spending until its row is here.
    pub(crate) fn see(&mut self, version: Version) {
        self.seen = self.seen.max(version);
    }

    /// Notes an answer of another daemon to a question sent at `asked_at`.
    pub(crate) fn hear(&mut self, from: DaemonId, version: Version, known: bool, asked_at: Instant) {
        self.see(version);
        if !known || version != self.version() || version == 0 {
            return;
        }
        let at = self.answers.entry(from).or_insert(asked_at);
        *at = asked_at.max(*at);
        if self.confirmed_by_others().is_some() {
            self.known = true;
        }
    }

    /// Until when this daemon may spend its shares; none: not at all.
    pub(crate) fn until(&self, now: Instant) -> Option<Instant> {
        let (_, row, _) = self.row.as_ref()?;
        if !self.is_known() || self.is_quiet(now) {
            return None;
        }
        let alone = row.shares.quorum() == 0 && row.shares.holders.contains(&self.me);
        let confirmed = if alone { Some(now) } else { self.read_at.max(self.confirmed_by_others()) };
        confirmed.map(|at| at + LEASE_TTL).filter(|until| *until > now)
    }

    /// Whether the row was confirmed after `since`.
    pub(crate) fn is_fresh(&self, since: Instant) -> bool {
        self.is_known() && self.read_at.max(self.confirmed_by_others()).is_some_and(|at| at >= since)
    }

    /// Time that the quorum's answers prove; a freshly started process needs one answer more.
    fn confirmed_by_others(&self) -> Option<Instant> {
        let (_, row, _) = self.row.as_ref()?;
        let holders = &row.shares.holders;
        let needed = if self.known { row.shares.quorum() } else { row.shares.quorum() + 1 };
        let counters = |id: &DaemonId| *id != self.me && holders.binary_search(id).is_ok();
        let mut timing: Vec<_> =
            self.answers.iter().filter(|(id, _)| counters(id)).map(|(_, at)| *at).collect();
        timing.sort_unstable_by(|a, b| b.cmp(a));
        timing.get(needed.checked_sub(1)?).copied()
    }
}
