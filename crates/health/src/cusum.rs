//! The sequential test: a one-sided CUSUM on log likelihood ratios of counts.
//!
//! Under the background share `p0` the expected number of samples between two false alarms is at least
//! e to the power of the threshold (Lorden's bound, for independent samples). The threshold is the knob
//! between detection time and false ejections.

use base::{DaemonId, DataCentre};
use smallvec::SmallVec;

/// Lowest background share; rarer failures than this are not told apart.
const MIN_BACKGROUND: f64 = 0.01;
/// Highest background share at which a difference can still be stated.
const MAX_BACKGROUND: f64 = 0.7;
/// Smallest excess of bad answers over the background, as part of the rest to 1, that the test looks for.
pub(crate) const BAD_EXCESS: f64 = 0.15;
/// The same for slow answers; short queues at a busy server stay below it.
pub(crate) const SLOW_EXCESS: f64 = 0.25;

/// Evidence that fading may drop.
const MIN_EVIDENCE: f64 = 0.5;

/// Log likelihood ratio of one sample with and one without the mark.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogLikelihoodRatio {
    hit: f64,
    miss: f64,
}

impl LogLikelihoodRatio {
    /// Makes the ratio for the background share `p0` among the other servers and the excess, 0 to 1.
    pub fn for_background(p0: f64, excess: f64) -> Self {
        let p0 = p0.clamp(MIN_BACKGROUND, MAX_BACKGROUND);
        let p1 = p0 + excess * (1.0 - p0);
        Self { hit: (p1 / p0).ln(), miss: ((1.0 - p1) / (1.0 - p0)).ln() }
    }

    /// Log likelihood ratio of `hits` marked among `total` samples.
    pub fn of_samples(self, hits: f64, total: f64) -> f64 {
        hits * self.hit + (total - hits).max(0.0) * self.miss
    }
}

/// One daemon's part of a sum.
#[derive(Clone, Debug)]
pub(crate) struct Contribution {
    pub(crate) observer: DaemonId,
    pub(crate) data_centre: DataCentre,
    pub(crate) ratio: f64,
    pub(crate) samples: f64,
}

/// A sum of ratios that never falls below 0, with the parts of the observers since it was last 0.
#[derive(Clone, Debug, Default)]
pub struct Cusum {
    /// Never below 0.
    sum: f64,
    /// Their ratios add up to `sum`; empty while it is 0.
    contributions: SmallVec<[Contribution; 4]>,
}

impl Cusum {
    /// Adds one observer's samples of the period.
    pub fn add(&mut self, observer: DaemonId, data_centre: &DataCentre, ratio: f64, samples: f64) {
        self.sum += ratio;
        match self.contributions.iter_mut().find(|p| p.observer == observer) {
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

    /// Ends a period: its evidence is cut to `most`, and a sum below 0 starts anew.
    ///
    /// Samples of one period share one queue and are not independent; only evidence that lasts counts whole.
    pub fn end_period(&mut self, before: f64, most: f64) {
        if self.sum - before > most {
            let factor = (before + most) / self.sum;
            self.sum *= factor;
            self.contributions.iter_mut().for_each(|p| p.ratio *= factor);
        }
        if self.sum <= 0.0 {
            self.reset();
        }
    }

    /// Forgets a part of the evidence; what is left of almost nothing goes too.
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

    /// Forgets everything.
    pub fn reset(&mut self) {
        self.sum = 0.0;
        self.contributions.clear();
    }

    /// Evidence in all.
    pub fn sum(&self) -> f64 {
        self.sum
    }

    /// Evidence that remains without the observer who contributed most.
    pub fn without_top_observer(&self) -> f64 {
        let top = self.contributions.iter().map(|p| p.ratio).fold(0.0, f64::max);
        self.sum - top
    }

    /// Observers with evidence against the server.
    pub fn accusing_observers(&self) -> usize {
        self.contributions.iter().filter(|p| p.ratio > 0.0).count()
    }

    /// Whether a data centre, or at least as many observers as accuse, with enough samples each see
    /// the server well: then the path is bad, not the server.
    pub fn is_contradicted(&self, observer_samples: f64, centre_samples: f64) -> bool {
        let unaffected =
            self.contributions.iter().filter(|p| p.samples >= observer_samples && p.ratio <= 0.0).count();
        unaffected >= self.accusing_observers().max(1)
            || self.contributions.iter().any(|p| self.sees_server_well(p, centre_samples))
    }

    fn sees_server_well(&self, contribution: &Contribution, samples: f64) -> bool {
        let here = || self.contributions.iter().filter(|p| p.data_centre == contribution.data_centre);
        let seen: f64 = here().map(|p| p.samples).sum();
        let ratio: f64 = here().map(|p| p.ratio).sum();
        seen >= samples && ratio <= 0.0
    }
}
