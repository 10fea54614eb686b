//! What operators ask of the whole fleet apart from its configuration: data centres to be evacuated.
//!
//! Daemons that watch the store read it there; all others learn it from datagrams, and with a configuration that
//! they fetch from another daemon. Sans-I/O.

use std::collections::BTreeSet;

use base::{DataCentre, Place, StoreStamp};
use serde::{Deserialize, Serialize};

/// Data centres to be evacuated, as the store had them at `stamp`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorState {
    /// Position of the store at which the state was read.
    pub stamp: StoreStamp,
    /// Data centres whose servers get no requests.
    pub evacuated: BTreeSet<DataCentre>,
}

/// Effect of [`OperatorState::update`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// Ignored: the known state is as new.
    Outdated,
    /// The newer state says the same.
    Confirmed,
    /// The set of evacuated data centres, or the era of the store, has changed.
    Changed,
}

impl OperatorState {
    /// Whether no request may be sent to the servers at `place`.
    pub fn is_evacuated(&self, place: &Place) -> bool {
        self.evacuated.contains(&place.data_centre)
    }

    /// Replaces the state if `other` was read later.
    pub fn update(&mut self, other: OperatorState) -> UpdateOutcome {
        if other.stamp <= self.stamp {
            return UpdateOutcome::Outdated;
        }
        let is_same = other.evacuated == self.evacuated && other.stamp.era == self.stamp.era;
        *self = other;
        if is_same { UpdateOutcome::Confirmed } else { UpdateOutcome::Changed }
    }
}
