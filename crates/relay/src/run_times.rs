//! Moving averages of run times, for each route and over all. Sans-I/O.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of a new run in a moving average.
const NEW_RUN_WEIGHT: f64 = 0.15;
/// Share of a route's latency objective that a run is expected to take before any run was recorded.
const DEFAULT_OBJECTIVE_SHARE: f64 = 0.3;
/// Assumed mean run time before any run was recorded.
const DEFAULT_MEAN: Duration = Duration::from_millis(250);

/// Moving averages of run times.
#[derive(Debug, Default)]
pub struct RunTimes {
    /// Average in seconds for each route, by hash of the route's name.
    by_route: HashMap<u32, f64>,
    /// Average over all runs in seconds; `None` before the first one.
    overall: Option<f64>,
}

impl RunTimes {
    /// Records that a run took the time `took`.
    pub fn record(&mut self, route_hash: u32, took: Duration) {
        let took_s = took.as_secs_f64();
        let blend = |old: f64| old + NEW_RUN_WEIGHT * (took_s - old);
        self.overall = Some(self.overall.map_or(took_s, blend));
        self.by_route.entry(route_hash).and_modify(|old| *old = blend(*old)).or_insert(took_s);
    }

    /// Expected time of a run on a route whose latency objective is `objective`.
    pub fn expected_run(&self, route_hash: u32, objective: Duration) -> Duration {
        match self.by_route.get(&route_hash) {
            Some(mean) => Duration::from_secs_f64(*mean),
            None => objective.mul_f64(DEFAULT_OBJECTIVE_SHARE),
        }
    }

    /// Average over the runs on all routes.
    pub fn mean(&self) -> Duration {
        self.overall.map_or(DEFAULT_MEAN, Duration::from_secs_f64)
    }
}
