//! How long ago this daemon could still prove that it knows the newest configuration. Sans-I/O.

use std::time::Duration;

use base::Version;

use crate::clock::BootTime;

/// The newest proof, of the store or of another daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// Version in force here.
    version: Version,
    /// Moment at which `version` was the newest one; never moves back.
    proven_at: Option<BootTime>,
}

impl Freshness {
    /// Takes in that `version` was adopted, proven to be the newest at `proven_at`.
    pub fn adopt(&mut self, version: Version, proven_at: BootTime) {
        if version > self.version || self.proven_at.is_none() {
            self.version = version;
        }
        self.confirm(version, proven_at);
    }

    /// Takes in that `version` was the newest at `proven_at`.
    pub fn confirm(&mut self, version: Version, proven_at: BootTime) {
        if version == self.version && self.proven_at.is_none_or(|at| at < proven_at) {
            self.proven_at = Some(proven_at);
        }
    }

    /// Age of the proof.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.proven_at.map(|at| now.since(at))
    }

    /// Whether keys may be judged.
    pub fn is_fresh(&self, now: BootTime, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
