//! The sequential test: a one-sided CUSUM of log likelihood ratios of counts.
//!
//! If marked samples (bad or slow answers) come at the background share `p0`, the expected number of samples
//! between two false alarms is at least `exp(threshold)` (Lorden's bound, for independent samples). The
//! threshold thus trades detection time against false ejections.

use base::{DaemonId, DataCentre};
use smallvec::SmallVec;

/// Lower bound of the background share; rarer failures count as this frequent.
const MIN_BACKGROUND: f64 = 0.01;
/// Upper bound of the background share; above it too few good answers are left to show a difference.
const MAX_BACKGROUND: f64 = 0.7;
/// Smallest excess of bad answers over the background share that the test looks for, as a part of the
/// remaining share `1 - p0`.
pub(crate) const BAD_EXCESS: f64 = 0.15;
/// Smallest excess of slow answers that the test looks for, as a part of `1 - p0`. Short queues
/// at a busy server stay below it.
pub(crate) const SLOW_EXCESS: f64 = 0.25;

/// Evidence below which [`Cusum::decay`] resets the sum to 0.
const MIN_EVIDENCE: f64 = 0.5;

/// Log likelihood ratio of a marked sample (`hit`) and of an unmarked one (`miss`): how much more likely it
/// is under the raised share of a faulty server than under the background share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogLikelihoodRatio {
    hit: f64,
    miss: f64,
}

impl LogLikelihoodRatio {
    /// Creates the ratio of the background share `p0` raised by `excess`, a part of `1 - p0`, against `p0`
    /// itself.
    pub fn for_background(p0: f64, excess: f64) -> Self {
        let p0 = p0.clamp(MIN_BACKGROUND, MAX_BACKGROUND);
        let p1 = p0 + excess * (1.0 - p0);
        Self { hit: (p1 / p0).ln(), miss: ((1.0 - p1) / (1.0 - p0)).ln() }
    }

    /// Log likelihood ratio of `total` samples of which `hits` are marked.
    pub fn of_samples(self, hits: f64, total: f64) -> f64 {
        hits * self.hit + (total - hits).max(0.0) * self.miss
    }
}

/// What one daemon contributed to a [`Cusum`] since it was last 0.
#[derive(Clone, Debug)]
pub(crate) struct Contribution {
    pub(crate) observer: DaemonId,
    pub(crate) data_centre: DataCentre,
    pub(crate) ratio: f64,
    pub(crate) samples: f64,
}

/// Sum of log likelihood ratios that restarts whenever it falls to 0, with the contribution of each observer.
#[derive(Clone, Debug, Default)]
pub struct Cusum {
    /// Never below 0 at the end of a period.
    sum: f64,
    /// The ratios of the contributions add up to `sum`; empty while the sum is 0.
    contributions: SmallVec<[Contribution; 4]>,
}

impl Cusum {
    /// Adds the ratio of one observer's samples in the current period.
    pub fn add(&mut self, observer: DaemonId, data_centre: &DataCentre, ratio: f64, samples: f64) {
        self.sum += ratio;
        match self.contributions.iter_mut().find(|c| c.observer == observer) {
            Some(contribution) => {
                contribution.ratio += ratio;
                contribution.samples += samples;
            }
            None => {
                self.contributions.push(Contribution {
                    observer,
                    data_centre: data_centre.clone(),
                    ratio,
                    samples,
                });
            }
        }
    }

    /// Ends a period: limits what the period added to the sum `before` it to `max_increase`, and restarts a
    /// sum that is not above 0.
    ///
    /// The samples of a period wait in the same queue and are not independent. The limit makes one period
    /// insufficient; only evidence from several periods counts in full.
    pub fn end_period(&mut self, before: f64, max_increase: f64) {
        if self.sum - before > max_increase {
            let factor = (before + max_increase) / self.sum;
            self.sum *= factor;
            self.contributions.iter_mut().for_each(|c| c.ratio *= factor);
        }
        if self.sum <= 0.0 {
            self.reset();
        }
    }

    /// Multiplies the evidence by `factor`, 0 to 1, and resets it once it is close to 0.
    pub fn decay(&mut self, factor: f64) {
        self.sum *= factor;
        for contribution in &mut self.contributions {
            contribution.ratio *= factor;
            contribution.samples *= factor;
        }
        if self.sum < MIN_EVIDENCE {
            self.reset();
        }
    }

    /// Drops all evidence and contributions.
    pub fn reset(&mut self) {
        self.sum = 0.0;
        self.contributions.clear();
    }

    /// Evidence of all observers together.
    pub fn sum(&self) -> f64 {
        self.sum
    }

    /// Evidence without the contribution of the observer who contributed most.
    pub fn without_top_observer(&self) -> f64 {
        let top = self.contributions.iter().map(|c| c.ratio).fold(0.0, f64::max);
        self.sum - top
    }

    /// Number of observers with evidence against the server.
    pub fn observers_against(&self) -> usize {
        self.contributions.iter().filter(|c| c.ratio > 0.0).count()
    }

    /// Whether the server looks healthy to as many observers with `min_observer_samples` each as have
    /// evidence against it, or to a data centre with `min_centre_samples`. Then the network path is probably
    /// bad and not the server.
    pub fn is_contradicted(&self, min_observer_samples: f64, min_centre_samples: f64) -> bool {
        let unaffected =
            self.contributions.iter().filter(|c| c.samples >= min_observer_samples && c.ratio <= 0.0).count();
        unaffected >= self.observers_against().max(1)
            || self.contributions.iter().any(|c| self.is_healthy_in_data_centre_of(c, min_centre_samples))
    }

    /// Whether the server looks healthy to the observers in the data centre of `contribution`, by at least
    /// `min_samples`.
    fn is_healthy_in_data_centre_of(&self, contribution: &Contribution, min_samples: f64) -> bool {
        let here = || self.contributions.iter().filter(|c| c.data_centre == contribution.data_centre);
        let seen: f64 = here().map(|c| c.samples).sum();
        let ratio: f64 = here().map(|c| c.ratio).sum();
        seen >= min_samples && ratio <= 0.0
    }
}
