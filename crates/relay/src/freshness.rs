//! How recently the configuration in force was proven to be the newest one. Sans-I/O.
//!
//! A proof says that some version was the newest at some moment. It comes from the store, or from another
//! daemon that got it from the store. API keys are accepted or rejected only while the proof is recent, which
//! bounds the time for which a revoked key can be used.

use std::time::Duration;

use base::Version;

use crate::clock::BootTime;

/// The most recent proof for the version in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// Version in force.
    version: Version,
    /// Latest moment at which `version` is known to have been the newest; never moves back.
    proven_at: Option<BootTime>,
}

impl Freshness {
    /// Records that `version` was put in force, which was the newest at `proven_at`.
    pub fn adopt(&mut self, version: Version, proven_at: BootTime) {
        if version > self.version || self.proven_at.is_none() {
            self.version = version;
        }
        self.confirm(version, proven_at);
    }

    /// Records that `version` was the newest at `proven_at`; ignored unless it is the version in force.
    pub fn confirm(&mut self, version: Version, proven_at: BootTime) {
        if version == self.version && self.proven_at.is_none_or(|at| at < proven_at) {
            self.proven_at = Some(proven_at);
        }
    }

    /// Age of the proof; `None` before the first one.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.proven_at.map(|at| now.since(at))
    }

    /// Whether the proof is younger than `limit`.
    pub fn is_fresh(&self, now: BootTime, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
