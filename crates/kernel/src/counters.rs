//! Per-server counters that the traffic threads share, kept as long as the server is announced.

use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

/// Counters of one server as this daemon sees it.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Requests of this daemon that are in flight at the server.
    pub in_flight: AtomicU32,
    /// Smoothed time to first byte in microseconds; 0 if never measured.
    pub latency_us: AtomicU32,
    /// Consecutive failures of the server that this daemon has seen.
    pub failures: AtomicU32,
}

impl ServerCounters {
    /// Adds one time to first byte to the smoothed latency, an exponentially weighted moving average in
    /// which the newest value has a weight of 1/8.
    pub fn observe_latency(&self, us: u32) {
        let old = self.latency_us.load(Relaxed);
        let new = if old == 0 { us } else { old - old / 8 + us / 8 };
        self.latency_us.store(new.max(1), Relaxed);
    }
}
