//! Adaptive concurrency of one service in one daemon.
//!
//! A daemon does not know what others have in flight. Its fair part of the slots is always allowed;
//! beyond it the limit grows while answers stay quick and shrinks on shed answers and rising latency.

use std::time::{Duration, Instant};

/// Factor on the limit after a shed answer or a rise of latency.
const SHRINK: f64 = 0.9;
/// Weight of one answer in the fast average of latency.
const FAST: f64 = 1.0 / 8.0;
/// Weight of one answer in the slow average of latency.
const SLOW: f64 = 1.0 / 256.0;
/// The fast average above the slow one by this factor counts as overload.
const TOLERANCE: f64 = 2.0;

/// Limit on requests in flight.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// Between `floor` and `ceiling`.
    limit: f64,
    floor: f64,
    ceiling: f64,
    /// Seconds.
    fast: f64,
    /// Seconds.
    slow: f64,
    /// Earliest time of the next decrease: one decrease for each round of answers.
    next_shrink: Instant,
}

impl ConcurrencyLimit {
    /// Starts at the fair part of the slots.
    pub fn new(now: Instant) -> Self {
        Self { limit: 1.0, floor: 1.0, ceiling: 1.0, fast: 0.0, slow: 0.0, next_shrink: now }
    }

    /// Sets the bounds: all slots within reach, and this daemon's fair part of them.
    pub fn set_bounds(&mut self, slots: f64, fair_part: f64) {
        self.ceiling = slots.max(1.0);
        self.floor = fair_part.clamp(1.0, self.ceiling);
        self.limit = self.limit.clamp(self.floor, self.ceiling);
    }

    /// Requests that may be in flight.
    pub fn max_in_flight(&self) -> usize {
        self.limit as usize
    }

    /// Counts a whole answer that took `latency`, with `in_flight` requests at the time.
    pub fn on_answer(&mut self, latency: Duration, in_flight: usize, now: Instant) {
        let seconds = latency.as_secs_f64();
        if self.slow == 0.0 {
            (self.fast, self.slow) = (seconds, seconds);
        }
        self.fast += (seconds - self.fast) * FAST;
        self.slow += (seconds - self.slow) * SLOW;
        if self.fast > self.slow * TOLERANCE {
            self.shrink(now);
        } else if in_flight as f64 + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
        }
    }

    /// Counts a shed answer.
    pub fn on_shed(&mut self, now: Instant) {
        self.shrink(now);
    }

    /// Time in which `ahead` waiting requests and one more are likely served.
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        Duration::from_secs_f64(self.fast * (ahead + 1) as f64 / self.limit)
    }

    fn shrink(&mut self, now: Instant) {
        if now >= self.next_shrink {
            self.limit = (self.limit * SHRINK).max(self.floor);
            self.next_shrink = now + Duration::from_secs_f64(self.fast);
        }
    }
}
