//! Adaptive concurrency limit of one service in one daemon.
//!
//! A daemon does not know how many requests other daemons have in flight. Its fair share of the slots is
//! always allowed; above it the limit grows while answers are quick and shrinks when servers shed requests or
//! latency rises.

use std::time::{Duration, Instant};

/// Factor on the limit after a shed request or a rise of latency.
const DECREASE_FACTOR: f64 = 0.9;
/// Weight of one answer in the moving average of recent latency.
const RECENT_SMOOTHING: f64 = 1.0 / 8.0;
/// Weight of one answer in the moving average that serves as the baseline.
const BASELINE_SMOOTHING: f64 = 1.0 / 256.0;
/// Ratio of recent to baseline latency above which the service counts as overloaded.
const OVERLOAD_LATENCY_FACTOR: f64 = 2.0;

/// Limit on the requests that one daemon has in flight at one service.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// Between `floor` and `ceiling`.
    limit: f64,
    floor: f64,
    ceiling: f64,
    /// Moving average of recent latency, in seconds.
    recent_latency: f64,
    /// Long moving average of latency, in seconds; 0 before the first answer.
    baseline_latency: f64,
    /// Earliest time of the next decrease. One round of answers causes one decrease only.
    next_decrease: Instant,
}

impl ConcurrencyLimit {
    /// Allows one request in flight until [`Self::set_bounds`] raises the limit to the fair share.
    pub fn new(now: Instant) -> Self {
        Self {
            limit: 1.0,
            floor: 1.0,
            ceiling: 1.0,
            recent_latency: 0.0,
            baseline_latency: 0.0,
            next_decrease: now,
        }
    }

    /// Sets the upper bound, `slots` of all servers that this daemon can use, and the lower bound, its fair
    /// share of the slots.
    pub fn set_bounds(&mut self, slots: f64, fair_share: f64) {
        self.ceiling = slots.max(1.0);
        self.floor = fair_share.clamp(1.0, self.ceiling);
        self.limit = self.limit.clamp(self.floor, self.ceiling);
    }

    /// Largest number of requests that may be in flight.
    pub fn max_in_flight(&self) -> usize {
        self.limit as usize
    }

    /// Records a complete answer that took `latency` while `in_flight` requests were in flight.
    pub fn on_answer(&mut self, latency: Duration, in_flight: usize, now: Instant) {
        let seconds = latency.as_secs_f64();
        if self.baseline_latency == 0.0 {
            (self.recent_latency, self.baseline_latency) = (seconds, seconds);
        }
        self.recent_latency += (seconds - self.recent_latency) * RECENT_SMOOTHING;
        self.baseline_latency += (seconds - self.baseline_latency) * BASELINE_SMOOTHING;
        if self.recent_latency > self.baseline_latency * OVERLOAD_LATENCY_FACTOR {
            self.decrease(now);
        } else if in_flight as f64 + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
        }
    }

    /// Records a request that a server shed.
    pub fn on_shed(&mut self, now: Instant) {
        self.decrease(now);
    }

    /// Expected time until a request that waits behind `ahead` others is answered.
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        Duration::from_secs_f64(self.recent_latency * (ahead + 1) as f64 / self.limit)
    }

    fn decrease(&mut self, now: Instant) {
        if now >= self.next_decrease {
            self.limit = (self.limit * DECREASE_FACTOR).max(self.floor);
            self.next_decrease = now + Duration::from_secs_f64(self.recent_latency);
        }
    }
}
