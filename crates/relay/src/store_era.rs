//! Eras of the store: what a restore from a copy makes outdated.
//!
//! A store that is restored lacks the latest writes and gives out versions again. Each of its answers names its
//! era, which rises with each restore. All users of the store in one process share one [`StoreEra`], so that an
//! answer to one of them makes answers of earlier eras to the others outdated.

use std::time::Duration;

use base::event;
use prometheus::IntCounter;
use rand::Rng;
use store::StoreError;
use tokio::sync::watch;

use crate::metrics::Metrics;

/// Upper bound of the delay after which a daemon writes its rows again. All daemons learn of a restore almost
/// together and must have their rows in the store within a second; the rest of the second is for the calls.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(700);

/// How an era compares with those that were seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// No era was seen before; nothing is known that a restore could have made outdated.
    First,
    /// The latest era.
    Same,
    /// The store was restored.
    Restored {
        /// Latest era before.
        before: u64,
    },
    /// An era that has ended.
    Ended {
        /// Latest era.
        seen: u64,
    },
}

impl EraChange {
    /// Compares `era` with the latest one that was seen, if any was.
    pub fn between(seen: Option<u64>, era: u64) -> Self {
        match seen {
            None => Self::First,
            Some(seen) if era < seen => Self::Ended { seen },
            Some(seen) if era == seen => Self::Same,
            Some(before) => Self::Restored { before },
        }
    }
}

/// Latest era of the store that this process has seen.
#[derive(Debug)]
pub struct StoreEra {
    /// `None` until the first answer; never falls.
    latest: watch::Sender<Option<u64>>,
    restores: IntCounter,
    outdated_answers: IntCounter,
}

impl StoreEra {
    /// Creates a record without any era, which counts in `metrics`.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            latest: watch::Sender::new(None),
            restores: metrics.store_restores.clone(),
            outdated_answers: metrics.outdated_store_answers.clone(),
        }
    }

    /// Latest era; 0 before the first answer.
    pub fn latest(&self) -> u64 {
        self.latest.borrow().unwrap_or_default()
    }

    /// Records the era of an answer of the store.
    ///
    /// # Errors
    /// Fails if a later era was seen: the answer proves nothing about the restored store.
    pub fn admit_answer(&self, era: u64) -> Result<(), StoreError> {
        match self.record(era, "store") {
            EraChange::Ended { seen } => {
                self.outdated_answers.inc();
                event!(Warn, StoreOutdated, "era={era} seen={seen}");
                Err(StoreError::Outdated { era, seen })
            }
            EraChange::First | EraChange::Same | EraChange::Restored { .. } => Ok(()),
        }
    }

    /// Records an era that another daemon has seen. An earlier one is ignored, since that daemon may learn of the
    /// restore later than this one.
    pub fn hear(&self, era: u64) {
        self.record(era, "daemon");
    }

    fn record(&self, era: u64, source: &str) -> EraChange {
        let change = EraChange::between(*self.latest.borrow(), era);
        if let EraChange::Restored { before } = change {
            self.restores.inc();
            event!(Warn, StoreRestored, "era={era} before={before} source={source}");
        }
        if matches!(change, EraChange::First | EraChange::Restored { .. }) {
            self.latest.send_replace(Some(era));
        }
        change
    }

    /// Waits until an era later than `era` has been seen.
    pub(crate) async fn later_than(&self, era: u64) {
        let mut latest = self.latest.subscribe();
        // An error would mean that the sender is gone, but `self` holds it.
        let _later = latest.wait_for(|seen| seen.is_some_and(|seen| seen > era)).await;
    }
}

/// Draws the delay after which a daemon that has learned of a restore writes a row again.
pub fn rewrite_delay(rng: &mut impl Rng) -> Duration {
    MAX_REWRITE_DELAY.mul_f64(rng.random_range(0.0..1.0))
}

#[cfg(test)]
#[path = "store_era_tests.rs"]
mod store_era_tests;
