//! The sequential test: a one-sided CUSUM on log likelihood ratios of counts.
//!
//! Under the background share `p0` the expected number of samples between two false alarms is at least
//! e to the power of the threshold (Lorden's bound, for independent samples). The threshold is the knob
//! between detection time and false ejections.

use base::{DaemonId, DataCentre};
use smallvec::SmallVec;

/// Lowest background share; rarer failures than this are not told apart.
const P0_MIN: f64 = 0.01;
/// Highest background share at which a difference can still be stated.
const P0_MAX: f64 = 0.7;
/// Smallest excess of bad answers over the background, as part of the rest to 1, that the test looks for.
pub(crate) const BAD_EXCESS: f64 = 0.15;
/// The same for slow answers; short queues at a busy server stay below it.
pub(crate) const SLOW_EXCESS: f64 = 0.25;

/// Evidence that fading may drop.
const NOTHING: f64 = 0.5;

/// Log likelihood ratio of one sample with and one without the mark.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ratio {
    hit: f64,
    miss: f64,
}

impl Ratio {
    /// Makes the ratio for the background share `p0` among the other servers and the excess, 0 to 1.
    pub fn against(p0: f64, excess: f64) -> Self {
        let p0 = p0.clamp(P0_MIN, P0_MAX);
        let p1 = p0 + excess * (1.0 - p0);
        Self { hit: (p1 / p0).ln(), miss: ((1.0 - p1) / (1.0 - p0)).ln() }
    }

    /// Ratio of `hits` marked among `total` samples.
    pub fn of(self, hits: f64, total: f64) -> f64 {
        hits * self.hit + (total - hits).max(0.0) * self.miss
    }
}

/// One daemon's part of a sum.
#[derive(Clone, Debug)]
pub(crate) struct Part {
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
    parts: SmallVec<[Part; 4]>,
}

impl Cusum {
    /// Adds one observer's samples of the period.
    pub fn add(&mut self, observer: DaemonId, data_centre: &DataCentre, ratio: f64, samples: f64) {
        self.sum += ratio;
        match self.parts.iter_mut().find(|p| p.observer == observer) {
            Some(part) => {
                part.ratio += ratio;
                part.samples += samples;
            }
            None => {
                self.parts.push(Part { observer, data_centre: data_centre.clone(), ratio, samples });
            }
        }
    }

    /// Ends a period: its evidence is cut to `most`, and a sum below 0 starts anew.
    ///
    /// Samples of one period share one queue and are not independent; only evidence that lasts counts whole.
    pub fn settle(&mut self, before: f64, most: f64) {
        if self.sum - before > most {
            let factor = (before + most) / self.sum;
            self.sum *= factor;
            self.parts.iter_mut().for_each(|p| p.ratio *= factor);
        }
        if self.sum <= 0.0 {
            self.reset();
        }
    }

    /// Forgets a part of the evidence; what is left of almost nothing goes too.
    pub fn fade(&mut self, factor: f64) {
        self.sum *= factor;
        for part in &mut self.parts {
            part.ratio *= factor;
            part.samples *= factor;
        }
        if self.sum < NOTHING {
            self.reset();
        }
    }

    /// Forgets everything.
    pub fn reset(&mut self) {
        self.sum = 0.0;
        self.parts.clear();
    }

    /// Evidence in all.
    pub fn sum(&self) -> f64 {
        self.sum
    }

    /// Evidence that remains without the observer who contributed most.
    pub fn without_top(&self) -> f64 {
        let top = self.parts.iter().map(|p| p.ratio).fold(0.0, f64::max);
        self.sum - top
    }

    /// Observers with evidence against the server.
    pub fn accusers(&self) -> usize {
        self.parts.iter().filter(|p| p.ratio > 0.0).count()
    }

    /// Whether a data centre, or at least as many observers as accuse, with enough samples each see
    /// the server well: then the path is bad, not the server.
    pub fn is_contradicted(&self, observer_samples: f64, centre_samples: f64) -> bool {
        let content = self.parts.iter().filter(|p| p.samples >= observer_samples && p.ratio <= 0.0).count();
        content >= self.accusers().max(1) || self.parts.iter().any(|p| self.is_well_at(p, centre_samples))
    }

    fn is_well_at(&self, part: &Part, samples: f64) -> bool {
        let here = || self.parts.iter().filter(|p| p.data_centre == part.data_centre);
        let seen: f64 = here().map(|p| p.samples).sum();
        let ratio: f64 = here().map(|p| p.ratio).sum();
        seen >= samples && ratio <= 0.0
    }
}
