//! Cost of requests, learned from run times.
//!
//! The requests of one route differ in cost, often by a factor of ten, and their costs change over the day.
//! [`CostEstimator`] keeps a decayed histogram for each route; [`RunEstimate`] tells from it how long a run
//! takes, and the remaining time of one that has lasted for a while. [`SpeedEstimator`] learns how much slower
//! one server is than the others.

use std::collections::HashMap;
use std::time::Duration;

/// Part that each new run takes off the weight of all earlier ones. The mean of the last 32 runs is within a
/// fifth of the true one where the spread equals the mean, and follows a change within some 30 runs.
const DECAY: f32 = 1.0 / 32.0;
/// Share of a route's latency objective that a run is expected to take before any run was recorded.
const DEFAULT_OBJECTIVE_SHARE: f64 = 0.3;
/// Buckets of a histogram, two for each doubling: 1 ms to 46 s.
const BUCKETS: usize = 32;
/// Lower bound of the second bucket in milliseconds. Shorter runs are counted in the first one.
const FIRST_BOUND_MS: f32 = 1.0;
/// Routes that an estimator remembers. Half of them, those without a recent run, are dropped when there would
/// be more. At 170 bytes each this bounds an estimator to 3 MB.
const MAX_ROUTES: usize = 16_384;
/// Runs of a route after which its estimate is good enough to tell a server's speed by it.
const LEARNED_RUNS: f32 = 8.0;
/// Weight, in runs, of the assumption about runs longer than those seen: the remaining time of a run is never less
/// than a part of the mean, and a run beyond the mean is taken to exceed it by as much again.
const PRIOR_RUNS: f32 = 0.5;
/// Lower bound of the remaining time of a run by that assumption, as a part of the mean.
const MIN_REMAINING_PART: f32 = 0.25;
/// Times, as multiples of the mean, for which an estimate knows the remaining time.
const ELAPSED_POINTS: [f32; 8] = [0.0, 0.5, 0.75, 1.0, 2.0, 4.0, 8.0, 16.0];
/// Standard deviations above the mean from which a run counts as unusually long.
const UNUSUAL_DEVIATIONS: f32 = 3.0;
/// Bounds of the factor by which a server is taken to be slower than others.
pub const SLOWNESS_BOUNDS: (f64, f64) = (0.25, 16.0);
/// Weight, in runs, of the assumption that a server is as fast as others. It keeps the costs of routes and the
/// speeds of servers apart: only the product of both can be observed.
const SPEED_PRIOR_RUNS: f64 = 4.0;

/// What is expected of a run: its mean time, the spread, and the remaining time of a run that has lasted for a
/// while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunEstimate {
    mean_s: f32,
    /// Standard deviation in seconds.
    spread_s: f32,
    /// Remaining time after each of [`ELAPSED_POINTS`], as a multiple of the mean.
    remaining: [f32; ELAPSED_POINTS.len()],
}

impl From<Duration> for RunEstimate {
    /// Estimate of runs of which only the mean is known.
    fn from(mean: Duration) -> Self {
        let remaining = ELAPSED_POINTS.map(assumed_remaining);
        Self { mean_s: mean.as_secs_f32(), spread_s: 0.0, remaining }
    }
}

impl RunEstimate {
    /// Estimate for a route without recorded runs, whose latency objective is `objective`.
    pub fn from_objective(objective: Duration) -> Self {
        objective.mul_f64(DEFAULT_OBJECTIVE_SHARE).into()
    }

    /// Mean run time.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f32(self.mean_s)
    }

    /// Standard deviation of the run time.
    pub fn spread(&self) -> Duration {
        Duration::from_secs_f32(self.spread_s)
    }

    /// Expected remaining time of a run that has lasted for `elapsed`: E[T - t | T > t].
    pub fn remaining(&self, elapsed: Duration) -> Duration {
        if self.mean_s <= 0.0 {
            return elapsed;
        }
        let at = elapsed.as_secs_f32() / self.mean_s;
        let above = ELAPSED_POINTS.iter().position(|point| at < *point);
        let remaining = if let Some(i) = above {
            let (low, high) = (ELAPSED_POINTS[i - 1], ELAPSED_POINTS[i]);
            let part = (at - low) / (high - low);
            self.remaining[i - 1] + part * (self.remaining[i] - self.remaining[i - 1])
        } else {
            let last = ELAPSED_POINTS.len() - 1;
            self.remaining[last] + at - ELAPSED_POINTS[last]
        };
        Duration::from_secs_f32(remaining * self.mean_s)
    }

    /// Time from which a run counts as unusually long.
    pub fn unusual_after(&self) -> Duration {
        Duration::from_secs_f32((self.mean_s + UNUSUAL_DEVIATIONS * self.spread_s).max(2.0 * self.mean_s))
    }

    /// Estimate of the same requests at a server that takes `slowness` times as long.
    #[must_use]
    pub fn at_slowness(self, slowness: f64) -> Self {
        let factor = slowness as f32;
        Self { mean_s: self.mean_s * factor, spread_s: self.spread_s * factor, ..self }
    }
}

/// Remaining time after `elapsed`, both as multiples of the mean, of runs of which only the mean is known.
fn assumed_remaining(elapsed: f32) -> f32 {
    if elapsed > 1.0 { elapsed - 1.0 + MIN_REMAINING_PART } else { (1.0 - elapsed).max(MIN_REMAINING_PART) }
}

/// Decayed histogram of the run times of one route.
#[derive(Debug)]
struct RunHistogram {
    /// Decayed number of runs in each bucket.
    counts: [f32; BUCKETS],
    /// Decayed number of runs, the sum of `counts`.
    weight: f32,
    /// Decayed sum of run times in seconds.
    sum_s: f32,
    /// Decayed sum of squares of run times.
    sum_squares: f32,
    /// [`CostEstimator::runs`] at the latest run.
    last_run: u64,
}

impl RunHistogram {
    fn new() -> Self {
        Self { counts: [0.0; BUCKETS], weight: 0.0, sum_s: 0.0, sum_squares: 0.0, last_run: 0 }
    }

    fn record(&mut self, took: Duration) {
        let took_s = took.as_secs_f32();
        for count in &mut self.counts {
            *count *= 1.0 - DECAY;
        }
        self.counts[bucket(took_s)] += 1.0;
        self.weight = self.weight * (1.0 - DECAY) + 1.0;
        self.sum_s = self.sum_s * (1.0 - DECAY) + took_s;
        self.sum_squares = self.sum_squares * (1.0 - DECAY) + took_s * took_s;
    }

    fn estimate(&self) -> RunEstimate {
        let mean_s = self.sum_s / self.weight;
        let spread_s = (self.sum_squares / self.weight - mean_s * mean_s).max(0.0).sqrt();
        if mean_s <= 0.0 {
            return Duration::ZERO.into();
        }
        let mut remaining = ELAPSED_POINTS.map(|point| self.remaining_s(point, mean_s) / mean_s);
        remaining[0] = 1.0;
        RunEstimate { mean_s, spread_s, remaining }
    }

    /// Expected remaining time after `point` times the mean, from the runs that lasted longer.
    fn remaining_s(&self, point: f32, mean_s: f32) -> f32 {
        let elapsed_s = point * mean_s;
        let (mut longer, mut sum_s) = (PRIOR_RUNS, PRIOR_RUNS * assumed_remaining(point) * mean_s);
        for (index, count) in self.counts.iter().enumerate().rev() {
            let (low, high) = (lower_bound_s(index), lower_bound_s(index + 1));
            if high <= elapsed_s {
                break;
            }
            let (count, middle) = if low >= elapsed_s {
                (*count, (low * high).sqrt())
            } else {
                (count * (high - elapsed_s) / (high - low), f32::midpoint(elapsed_s, high))
            };
            longer += count;
            sum_s += count * (middle - elapsed_s);
        }
        sum_s / longer
    }
}

/// Bucket of a run time.
fn bucket(took_s: f32) -> usize {
    let doublings = (took_s * 1_000.0 / FIRST_BOUND_MS).max(f32::MIN_POSITIVE).log2();
    ((doublings * 2.0).floor() + 1.0).clamp(0.0, (BUCKETS - 1) as f32) as usize
}

/// Lower bound of a bucket.
fn lower_bound_s(index: usize) -> f32 {
    if index == 0 { 0.0 } else { FIRST_BOUND_MS / 1_000.0 * ((index as f32 - 1.0) / 2.0).exp2() }
}

/// Learns the run times of routes.
#[derive(Debug, Default)]
pub struct CostEstimator {
    /// By hash of the route's name; at most [`MAX_ROUTES`].
    by_route: HashMap<u32, RunHistogram>,
    /// Number of runs recorded.
    runs: u64,
}

impl CostEstimator {
    /// Records that a run took the time `took`.
    pub fn record(&mut self, route_hash: u32, took: Duration) {
        if self.by_route.len() >= MAX_ROUTES && !self.by_route.contains_key(&route_hash) {
            self.drop_older_half();
        }
        self.runs += 1;
        let histogram = self.by_route.entry(route_hash).or_insert_with(RunHistogram::new);
        histogram.record(took);
        histogram.last_run = self.runs;
    }

    /// Estimate for a run on a route whose latency objective is `objective`.
    pub fn estimate(&self, route_hash: u32, objective: Duration) -> RunEstimate {
        self.recorded(route_hash).unwrap_or_else(|| RunEstimate::from_objective(objective))
    }

    /// Estimate for a run on a route, if any run was recorded.
    pub fn recorded(&self, route_hash: u32) -> Option<RunEstimate> {
        self.by_route.get(&route_hash).map(RunHistogram::estimate)
    }

    /// Mean run time of a route of which enough runs were recorded to tell a server's speed by it.
    pub fn learned_mean(&self, route_hash: u32) -> Option<Duration> {
        let histogram = self.by_route.get(&route_hash).filter(|h| h.weight >= LEARNED_RUNS)?;
        Some(Duration::from_secs_f32(histogram.sum_s / histogram.weight))
    }

    /// Number of routes with recorded runs.
    pub fn routes(&self) -> usize {
        self.by_route.len()
    }

    /// Drops the routes without a run for longest.
    fn drop_older_half(&mut self) {
        let mut last_runs: Vec<u64> = self.by_route.values().map(|h| h.last_run).collect();
        let middle = last_runs.len() / 2;
        let (_, median, _) = last_runs.select_nth_unstable(middle);
        let median = *median;
        self.by_route.retain(|_, h| h.last_run >= median);
    }
}

/// Learns how much longer the same requests take at one server than at others.
#[derive(Debug, Default)]
pub struct SpeedEstimator {
    /// Decayed number of runs.
    weight: f64,
    /// Decayed sum of run times divided by the expected ones.
    ratios: f64,
}

impl SpeedEstimator {
    /// Records a run of a request that an average server is expected to run in the time `cost`.
    pub fn record(&mut self, took: Duration, cost: Duration) {
        if cost.is_zero() {
            return;
        }
        // A single hung run counts at most as the upper bound.
        let ratio = (took.as_secs_f64() / cost.as_secs_f64()).min(SLOWNESS_BOUNDS.1);
        self.weight = self.weight * (1.0 - f64::from(DECAY)) + 1.0;
        self.ratios = self.ratios * (1.0 - f64::from(DECAY)) + ratio;
    }

    /// Whether any run was recorded.
    pub fn has_runs(&self) -> bool {
        self.weight > 0.0
    }

    /// Factor by which the server is slower than others; 1 before any run.
    pub fn slowness(&self) -> f64 {
        let slowness = (self.ratios + SPEED_PRIOR_RUNS) / (self.weight + SPEED_PRIOR_RUNS);
        slowness.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1)
    }
}
