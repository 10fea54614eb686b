//! Withdrawals of callers' keys that the configuration in force does not contain yet.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::rendezvous::stable_hash;
use conf::{KeyHash, Snapshot};
use rand::Rng;
use rand::rngs::SmallRng;
use wire::conf::Withdrawal;

/// Shortest delay before a daemon stores a withdrawal that was ordered at another daemon.
const MIN_STORE_DELAY: Duration = Duration::from_secs(3);
/// Largest random time added to [`MIN_STORE_DELAY`], so that few daemons write at once.
const STORE_DELAY_JITTER: Duration = Duration::from_secs(12);

/// Withdrawals that the configuration in force does not contain yet.
///
/// An entry is removed only when the configuration in force contains its tombstone. Versions never fall and
/// each is built on the one before, so the key can't become valid again. Two daemons with the same version
/// and the same withdrawals therefore have the same entries and the same digest.
#[derive(Debug, Default)]
pub(crate) struct Withdrawals {
    /// Time of each withdrawal in milliseconds since the epoch, by the key's hash.
    entries: BTreeMap<KeyHash, u64>,
    /// When this daemon stores the entries if no other has; `None` if there are none.
    store_at: Option<Instant>,
}

impl Withdrawals {
    /// Adds withdrawals that `conf` does not contain and returns those that are new.
    pub(crate) fn add(&mut self, list: &[Withdrawal], conf: Option<&Snapshot>) -> Vec<Withdrawal> {
        let mut new = Vec::new();
        for w in list {
            let known = self.entries.contains_key(&w.key);
            if !known && !conf.is_some_and(|c| c.withdrawn.contains(&w.key)) {
                self.entries.insert(w.key, w.at_ms);
                new.push(w.clone());
            }
        }
        new
    }

    /// Removes the entries that the configuration in force contains; returns their number.
    pub(crate) fn remove_stored(&mut self, conf: &Snapshot) -> usize {
        let before = self.entries.len();
        self.entries.retain(|key, _| !conf.withdrawn.contains(key));
        if self.entries.is_empty() {
            self.store_at = None;
        }
        before - self.entries.len()
    }

    /// Schedules the write to the store: at once if the withdrawal was ordered at this daemon, else after a
    /// random delay.
    pub(crate) fn schedule_store(&mut self, now: Instant, is_received_here: bool, rng: &mut SmallRng) {
        let delay = MIN_STORE_DELAY + STORE_DELAY_JITTER.mul_f64(rng.random());
        let at = if is_received_here { now } else { now + delay };
        self.store_at = Some(self.store_at.map_or(at, |known| known.min(at)));
    }

    /// Whether it is time to store the entries; if so, schedules the next attempt.
    pub(crate) fn take_due(&mut self, now: Instant, rng: &mut SmallRng) -> bool {
        if self.entries.is_empty() || self.store_at.is_none_or(|at| now < at) {
            return false;
        }
        self.store_at = Some(now + MIN_STORE_DELAY + STORE_DELAY_JITTER.mul_f64(rng.random()));
        true
    }

    /// All entries, sorted by the key's hash.
    pub(crate) fn list(&self) -> Vec<Withdrawal> {
        self.entries.iter().map(|(key, at_ms)| Withdrawal { key: *key, at_ms: *at_ms }).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Hashes of the withdrawn keys, for the published view.
    pub(crate) fn key_set(&self) -> Arc<HashSet<KeyHash>> {
        Arc::new(self.entries.keys().copied().collect())
    }

    /// Digest over the withdrawn keys, independent of the order in which they came; 0 if there are none.
    pub(crate) fn digest(&self) -> u64 {
        self.entries.keys().fold(0, |sum, key| sum ^ stable_hash(key))
    }
}
