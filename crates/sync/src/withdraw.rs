//! Withdrawn keys that the configuration in force does not carry yet.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::rendezvous::stable_hash;
use conf::{KeyHash, Snapshot};
use rand::Rng;
use rand::rngs::SmallRng;
use wire::conf::Withdrawal;

/// Shortest wait before a daemon stores a withdrawal that another daemon took.
const STORE_WAIT: Duration = Duration::from_secs(3);
/// Random time on top of it, so that few daemons write at once.
const STORE_SPREAD: Duration = Duration::from_secs(12);

/// Withdrawals not yet carried by the configuration in force.
///
/// An entry leaves only when the configuration in force carries its tombstone. Versions never fall and each
/// is made on top of the one before, so the key can't come back. Two daemons with the same version
/// and the same withdrawals therefore have the same entries and the same digest.
#[derive(Debug, Default)]
pub(crate) struct Withdrawals {
    entries: BTreeMap<KeyHash, u64>,
    /// When this daemon stores them if no other has.
    store_at: Option<Instant>,
}

impl Withdrawals {
    /// Takes withdrawals and returns those that are new.
    pub(crate) fn add(&mut self, list: &[Withdrawal], carried: Option<&Snapshot>) -> Vec<Withdrawal> {
        let mut new = Vec::new();
        for w in list {
            let known = self.entries.contains_key(&w.key);
            if !known && !carried.is_some_and(|c| c.withdrawn.contains(&w.key)) {
                self.entries.insert(w.key, w.at_ms);
                new.push(w.clone());
            }
        }
        new
    }

    /// Drops what the configuration in force carries and returns how many that were.
    pub(crate) fn drop_carried(&mut self, conf: &Snapshot) -> usize {
        let before = self.entries.len();
        self.entries.retain(|key, _| !conf.withdrawn.contains(key));
        if self.entries.is_empty() {
            self.store_at = None;
        }
        before - self.entries.len()
    }

    /// Plans to store: at once when this daemon took the withdrawal, else after a random wait.
    pub(crate) fn plan(&mut self, now: Instant, is_origin: bool, rng: &mut SmallRng) {
        let wait = STORE_WAIT + STORE_SPREAD.mul_f64(rng.random());
        let at = if is_origin { now } else { now + wait };
        self.store_at = Some(self.store_at.map_or(at, |known| known.min(at)));
    }

    /// Whether it is time to store; plans the next try.
    pub(crate) fn is_due(&mut self, now: Instant, rng: &mut SmallRng) -> bool {
        if self.entries.is_empty() || self.store_at.is_none_or(|at| now < at) {
            return false;
        }
        self.store_at = Some(now + STORE_WAIT + STORE_SPREAD.mul_f64(rng.random()));
        true
    }

    /// Everything, sorted by key.
    pub(crate) fn list(&self) -> Vec<Withdrawal> {
        self.entries.iter().map(|(key, at_ms)| Withdrawal { key: *key, at_ms: *at_ms }).collect()
    }

    /// Number of entries.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The keys as traffic reads them.
    pub(crate) fn keys(&self) -> Arc<HashSet<KeyHash>> {
        Arc::new(self.entries.keys().copied().collect())
    }

    /// Digest over the keys; independent of the order in which they came. 0: none.
    pub(crate) fn digest(&self) -> u64 {
        self.entries.keys().fold(0, |sum, key| sum ^ stable_hash(key))
    }
}
