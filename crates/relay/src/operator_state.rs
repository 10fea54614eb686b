//! What operators ask of the whole fleet apart from its configuration: data centres to be evacuated.
//!
//! Daemons that watch the store read it there; all others learn it from datagrams, and with a configuration that
//! they fetch from another daemon. Sans-I/O.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use base::{DataCentre, Place, StoreStamp};
use serde::{Deserialize, Serialize};

/// Time after a restore of the store in which the operators write again what it has lost.
const REWRITE_TIME: Duration = Duration::from_secs(10);

/// Data centres to be evacuated, as the store had them at `stamp`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorState {
    /// Position of the store at which the state was read.
    pub stamp: StoreStamp,
    /// Data centres whose servers get no requests.
    pub evacuated: BTreeSet<DataCentre>,
}

/// Effect of [`Evacuations::update`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// Ignored: the known state is as new.
    Outdated,
    /// The newer state says the same.
    Confirmed,
    /// The newer state says the same, in a later era of the store.
    LaterEra,
    /// The set of data centres to be evacuated has changed.
    Changed,
}

/// The evacuations in force in one daemon.
#[derive(Debug, Default)]
pub struct Evacuations {
    state: OperatorState,
    /// Evacuations from before the latest restore of the store, which may have lost them.
    kept: BTreeSet<DataCentre>,
    /// Until when `kept` is in force; `None` without a restore.
    kept_until: Option<Instant>,
}

impl Evacuations {
    /// The state as it was read from the store.
    pub fn state(&self) -> &OperatorState {
        &self.state
    }

    /// Whether no request may be sent to the servers at `place`.
    pub fn is_evacuated(&self, place: &Place, now: Instant) -> bool {
        let is_kept = self.kept_until.is_some_and(|until| now < until);
        self.state.evacuated.contains(&place.data_centre)
            || (is_kept && self.kept.contains(&place.data_centre))
    }

    /// Replaces the state if `other` was read later. After a restore of the store, evacuations that it lacks stay in
    /// force until the operators have had time to write them again.
    pub fn update(&mut self, other: OperatorState, now: Instant) -> UpdateOutcome {
        if other.stamp <= self.state.stamp {
            return UpdateOutcome::Outdated;
        }
        let is_later_era = other.stamp.era > self.state.stamp.era;
        let is_same = other.evacuated == self.state.evacuated;
        let old = std::mem::replace(&mut self.state, other);
        if is_later_era {
            self.kept = old.evacuated;
            self.kept_until = Some(now + REWRITE_TIME);
        }
        match (is_same, is_later_era) {
            (false, _) => UpdateOutcome::Changed,
            (true, true) => UpdateOutcome::LaterEra,
            (true, false) => UpdateOutcome::Confirmed,
        }
    }
}
