//! What a daemon can prove about the age of its view. No I/O, no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use base::{DaemonId, Version};
use wire::fresh::ViewStatus;

/// An answer to a pull.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    pub(crate) known: ViewStatus,
    /// When the question was sent; what the answer says was true no earlier.
    pub(crate) asked_at: Instant,
}

/// What this daemon has in force at the time of a judgement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Own {
    pub(crate) version: Version,
    /// Highest version known to be committed.
    pub(crate) head_seen: Version,
    pub(crate) withdrawn: u64,
}

impl Own {
    /// Whether what a teller knew is what is in force here, or older.
    fn covers(&self, known: &ViewStatus) -> bool {
        known.version <= self.version && known.withdrawn_digest == self.withdrawn
    }
}

/// Times since which the view is proven. Each only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Proven {
    /// Send time of the store read at the start of the chain.
    pub(crate) store: Option<Instant>,
    /// Send time of the oldest pull of the majority at the start of the chain.
    pub(crate) quorum: Option<Instant>,
}

impl Proven {
    /// The later of both.
    pub(crate) fn at(&self) -> Option<Instant> {
        self.store.max(self.quorum)
    }
}

/// Evidence collected by one daemon.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    /// Newest answer of each daemon.
    answers: BTreeMap<DaemonId, Answer>,
    /// Send time of the newest successful read of the store.
    read_at: Option<Instant>,
    proven: Proven,
}

impl Evidence {
    /// Notes a successful read of the store.
    pub(crate) fn note_read(&mut self, asked_at: Instant) {
        self.read_at = self.read_at.max(Some(asked_at));
    }

    /// Notes an answer; an older one than the last of the same daemon is ignored.
    pub(crate) fn note_answer(&mut self, from: DaemonId, answer: Answer) {
        let is_old = self.answers.get(&from).is_some_and(|a| a.asked_at > answer.asked_at);
        if !is_old {
            self.answers.insert(from, answer);
        }
    }

    /// Drops everything that was asked before `floor`, and what was proven by it.
    pub(crate) fn drop_before(&mut self, floor: Instant) {
        self.answers.retain(|_, a| a.asked_at >= floor);
        self.read_at = self.read_at.filter(|at| *at >= floor);
        self.proven.store = self.proven.store.filter(|at| *at >= floor);
        self.proven.quorum = self.proven.quorum.filter(|at| *at >= floor);
    }

    /// Drops answers older than `floor` and those of daemons that are gone.
    pub(crate) fn expire(&mut self, floor: Instant, is_member: impl Fn(&DaemonId) -> bool) {
        self.answers.retain(|id, a| a.asked_at >= floor && is_member(id));
    }

    /// Send time of the last answered pull of a daemon.
    pub(crate) fn asked_at(&self, id: &DaemonId) -> Option<Instant> {
        self.answers.get(id).map(|a| a.asked_at)
    }

    /// Daemons whose withdrawals differ from those here, as of their last answer.
    pub(crate) fn differing(&self, withdrawn: u64) -> Vec<DaemonId> {
        let differs = self.answers.iter().filter(|(_, a)| a.known.withdrawn_digest != withdrawn);
        differs.map(|(id, _)| *id).collect()
    }

    /// Judges all evidence anew. `region` holds the ids of the store's region, gone ones included, this
    /// daemon too if it stands there; `own_vote` is the time as of which this daemon itself reports the
    /// store as down, if it stands in that region and does.
    pub(crate) fn judge(
        &mut self,
        own: &Own,
        region: &BTreeSet<DaemonId>,
        own_vote: Option<Instant>,
    ) -> Proven {
        let is_behind = own.head_seen > own.version;
        let differs = self.answers.values().any(|a| a.known.withdrawn_digest != own.withdrawn);
        if is_behind || differs {
            return self.proven;
        }
        let mut store = self.read_at;
        let mut quorum = self.majority(own, region, own_vote);
        for answer in self.answers.values().filter(|a| own.covers(&a.known)) {
            store = store.max(since(answer, answer.known.store_age_ms));
            quorum = quorum.max(since(answer, answer.known.quorum_age_ms));
        }
        self.proven.store = self.proven.store.max(store);
        self.proven.quorum = self.proven.quorum.max(quorum);
        self.proven
    }

    /// Since when a majority of the store's region is known to have had no newer version.
    fn majority(&self, own: &Own, region: &BTreeSet<DaemonId>, own_vote: Option<Instant>) -> Option<Instant> {
        let votes = self.answers.iter().filter(|(id, a)| region.contains(id) && is_vote(own, a));
        let mut times: Vec<_> = votes.clone().map(|(_, a)| a.asked_at).chain(own_vote).collect();
        let largest = votes.map(|(_, a)| a.known.region_size as usize).max().unwrap_or(0);
        let needed = region.len().max(largest) / 2 + 1;
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(needed - 1).copied()
    }
}

fn is_vote(own: &Own, answer: &Answer) -> bool {
    answer.known.store_down && answer.known.region_size > 0 && own.covers(&answer.known)
}

fn since(answer: &Answer, age_ms: Option<u32>) -> Option<Instant> {
    answer.asked_at.checked_sub(Duration::from_millis(u64::from(age_ms?)))
}

#[cfg(test)]
#[path = "confirmation_tests.rs"]
mod confirmation_tests;
