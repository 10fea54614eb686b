//! Latency histogram with logarithmic buckets and exponential decay.

use std::time::Duration;

/// Lower bound of the second bucket; the first one counts all lower latencies.
const FIRST_BOUND_US: f64 = 64.0;
/// Buckets for each doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of buckets; the last one counts everything above about a minute.
const BUCKET_COUNT: usize = 80;

/// Latency counts that decay with time.
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: Box<[f32; BUCKET_COUNT]>,
    /// Sum over `counts`.
    weight: f32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: Box::new([0.0; BUCKET_COUNT]), weight: 0.0 }
    }
}

impl Histogram {
    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        self.counts[bucket_of(latency)] += 1.0;
        self.weight += 1.0;
    }

    /// Multiplies all counts by `factor`, 0 to 1.
    pub fn decay(&mut self, factor: f32) {
        self.counts.iter_mut().for_each(|c| *c *= factor);
        self.weight *= factor;
    }

    /// Sum of all counts.
    pub fn weight(&self) -> f32 {
        self.weight
    }

    /// Quantile `q`, 0 to 1, of this histogram minus the counts of `part`. `None` if the difference weighs
    /// less than `min_weight`.
    pub fn quantile_without(&self, part: &Self, q: f32, min_weight: f32) -> Option<Duration> {
        let weight = self.weight - part.weight;
        if weight < min_weight {
            return None;
        }
        let mut left = weight * q;
        let rest = self.counts.iter().zip(part.counts.iter()).map(|(a, b)| (a - b).max(0.0));
        for (index, count) in rest.enumerate() {
            if count >= left && count > 0.0 {
                return Some(latency_at(index as f64 + f64::from(left / count)));
            }
            left -= count;
        }
        Some(latency_at(BUCKET_COUNT as f64))
    }
}

fn bucket_of(latency: Duration) -> usize {
    let doublings = (latency.as_secs_f64() * 1e6 / FIRST_BOUND_US).max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize + 1).min(BUCKET_COUNT - 1)
}

/// Latency at a position on the scale of buckets; a whole number is the lower bound of the bucket with that
/// index.
fn latency_at(position: f64) -> Duration {
    Duration::from_secs_f64(FIRST_BOUND_US / 1e6 * ((position - 1.0) / BUCKETS_PER_DOUBLING).exp2())
}
