//! What other daemons have told of configurations newer than the one in force. Sans-I/O.

use std::time::{Duration, Instant};

use base::Version;

/// Newest version that other daemons have told of, and since when this daemon has been behind.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigNews {
    /// Newest version heard of; never falls.
    newest: Version,
    /// When this daemon first heard of a version that is newer than the one in force; `None` if it has not.
    behind_since: Option<Instant>,
}

impl ConfigNews {
    /// Records that another daemon has `version`; true if this is newer than all versions heard of and than
    /// `in_force`.
    pub fn hear(&mut self, version: Version, in_force: Version, now: Instant) -> bool {
        if version <= self.newest || version <= in_force {
            return false;
        }
        self.newest = version;
        self.behind_since.get_or_insert(now);
        true
    }

    /// Records that `version` was put in force. Returns for how long this daemon had been behind; `None` if it
    /// had not heard of a newer version.
    pub fn apply(&mut self, version: Version, now: Instant) -> Option<Duration> {
        let delay = self.behind_since.map(|since| now.saturating_duration_since(since));
        if version >= self.newest {
            self.behind_since = None;
        }
        delay
    }

    /// Records that a query sent at `asked_at` found no newer version in the store than the one in force, whatever
    /// other daemons had said by then.
    pub fn settle(&mut self, asked_at: Instant) {
        self.behind_since = self.behind_since.filter(|since| *since > asked_at);
    }

    /// When this daemon first heard of a version that is newer than the one in force; `None` if it has not.
    pub fn behind_since(&self) -> Option<Instant> {
        self.behind_since
    }
}
