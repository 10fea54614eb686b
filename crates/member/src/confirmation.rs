//! Decides since when a daemon's view is confirmed to be the newest. No I/O, no clock.
//!
//! A view is confirmed by the store, by a majority of the store's region, or by another daemon whose view is
//! no newer and was confirmed itself. Each confirmation dates from the time at which its request was sent.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use base::{DaemonId, Version};
use wire::fresh::ViewStatus;

/// Another daemon's answer to a pull.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PullAnswer {
    pub(crate) status: ViewStatus,
    /// When the pull was sent; the answer describes the other daemon's state at that time or later.
    pub(crate) asked_at: Instant,
}

/// State of this daemon's own view.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalView {
    /// Version of the configuration in force.
    pub(crate) version: Version,
    /// Highest configuration version known to be committed.
    pub(crate) head_seen: Version,
    /// Digest of the key withdrawals that are not yet part of the configuration.
    pub(crate) withdrawn_digest: u64,
}

impl LocalView {
    /// Whether another daemon's view has no newer version than this one and the same key withdrawals.
    fn includes(&self, status: &ViewStatus) -> bool {
        status.version <= self.version && status.withdrawn_digest == self.withdrawn_digest
    }
}

/// Times as of which the view was last confirmed. Each only grows, except after a pause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConfirmedSince {
    /// Send time of the store read from which the confirmation stems, be it this daemon's or another's.
    pub(crate) store: Option<Instant>,
    /// Send time of the oldest pull of the majority from which the confirmation stems.
    pub(crate) quorum: Option<Instant>,
}

impl ConfirmedSince {
    /// The later of the two confirmations.
    pub(crate) fn latest(&self) -> Option<Instant> {
        self.store.max(self.quorum)
    }
}

/// Evidence that this daemon has collected about its own view.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    /// Newest answer of each other daemon.
    answers: BTreeMap<DaemonId, PullAnswer>,
    /// Send time of the newest successful read of the store.
    store_read_at: Option<Instant>,
    confirmed: ConfirmedSince,
}

impl Evidence {
    /// Records a successful read of the store that was sent at `asked_at`.
    pub(crate) fn record_store_read(&mut self, asked_at: Instant) {
        self.store_read_at = self.store_read_at.max(Some(asked_at));
    }

    /// Records an answer; one whose pull was sent before that of the daemon's last answer is ignored.
    pub(crate) fn record_answer(&mut self, from: DaemonId, answer: PullAnswer) {
        let is_old = self.answers.get(&from).is_some_and(|a| a.asked_at > answer.asked_at);
        if !is_old {
            self.answers.insert(from, answer);
        }
    }

    /// Drops all evidence that was asked for before `floor`, and the confirmations that date from before it.
    pub(crate) fn discard_before(&mut self, floor: Instant) {
        self.answers.retain(|_, a| a.asked_at >= floor);
        self.store_read_at = self.store_read_at.filter(|at| *at >= floor);
        self.confirmed.store = self.confirmed.store.filter(|at| *at >= floor);
        self.confirmed.quorum = self.confirmed.quorum.filter(|at| *at >= floor);
    }

    /// Drops answers to pulls sent before `floor`, and answers of daemons that are not members any more.
    pub(crate) fn remove_expired_answers(&mut self, floor: Instant, is_member: impl Fn(&DaemonId) -> bool) {
        self.answers.retain(|id, a| a.asked_at >= floor && is_member(id));
    }

    /// When the pull that a daemon answered last was sent.
    pub(crate) fn last_asked_at(&self, id: &DaemonId) -> Option<Instant> {
        self.answers.get(id).map(|a| a.asked_at)
    }

    /// Daemons whose key withdrawals differed from this daemon's in their last answer.
    pub(crate) fn with_other_withdrawals(&self, withdrawn_digest: u64) -> Vec<DaemonId> {
        let differs = self.answers.iter().filter(|(_, a)| a.status.withdrawn_digest != withdrawn_digest);
        differs.map(|(id, _)| *id).collect()
    }

    /// Evaluates all evidence again. Nothing is newly confirmed while a newer version is known to be
    /// committed or another daemon has other key withdrawals.
    ///
    /// `region` holds all daemons of the store's region, dead ones included, and this daemon too if it
    /// belongs to it. `own_vote` is the time as of which this daemon itself counts towards the majority;
    /// `None` if the store answers it or it isn't one of the region.
    pub(crate) fn reassess(
        &mut self,
        own: &LocalView,
        region: &BTreeSet<DaemonId>,
        own_vote: Option<Instant>,
    ) -> ConfirmedSince {
        let is_behind = own.head_seen > own.version;
        let differs = self.answers.values().any(|a| a.status.withdrawn_digest != own.withdrawn_digest);
        if is_behind || differs {
            return self.confirmed;
        }
        let mut store = self.store_read_at;
        let mut quorum = self.majority_confirmed_since(own, region, own_vote);
        for answer in self.answers.values().filter(|a| own.includes(&a.status)) {
            store = store.max(confirmed_since(answer, answer.status.store_age_ms));
            quorum = quorum.max(confirmed_since(answer, answer.status.quorum_age_ms));
        }
        self.confirmed.store = self.confirmed.store.max(store);
        self.confirmed.quorum = self.confirmed.quorum.max(quorum);
        self.confirmed
    }

    /// Time as of which a majority of the store's region had no newer version, while the store answered
    /// none of them. The majority is of the largest region size that this daemon or a voter knows.
    fn majority_confirmed_since(
        &self,
        own: &LocalView,
        region: &BTreeSet<DaemonId>,
        own_vote: Option<Instant>,
    ) -> Option<Instant> {
        let votes =
            self.answers.iter().filter(|(id, a)| region.contains(id) && counts_towards_majority(own, a));
        let mut times: Vec<_> = votes.clone().map(|(_, a)| a.asked_at).chain(own_vote).collect();
        let largest = votes.map(|(_, a)| a.status.region_size as usize).max().unwrap_or(0);
        let needed = region.len().max(largest) / 2 + 1;
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(needed - 1).copied()
    }
}

/// Whether the answering daemon, if it belongs to the store's region, counts towards its majority.
fn counts_towards_majority(own: &LocalView, answer: &PullAnswer) -> bool {
    answer.status.store_down && answer.status.region_size > 0 && own.includes(&answer.status)
}

/// Time of a confirmation that was `age_ms` old when the answer was sent. It is counted back from the
/// sending of the pull, so it is early rather than late.
fn confirmed_since(answer: &PullAnswer, age_ms: Option<u32>) -> Option<Instant> {
    answer.asked_at.checked_sub(Duration::from_millis(u64::from(age_ms?)))
}

#[cfg(test)]
#[path = "confirmation_tests.rs"]
mod confirmation_tests;
