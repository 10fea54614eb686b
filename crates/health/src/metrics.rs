//! Metric of decisions on servers' health, by reason.

use prometheus::{IntCounterVec, Opts, Registry};

/// The counter of decisions; `None` if it could not be created.
#[derive(Debug)]
pub(crate) struct Metrics {
    decisions: Option<IntCounterVec>,
}

impl Metrics {
    /// Creates and registers the counter. If another area in the process has registered its own, this one is
    /// not exported.
    pub(crate) fn new(registry: &Registry) -> Self {
        let opts =
            Opts::new("pomelo_health_decisions_total", "Decisions on backend servers' health by reason");
        let decisions = IntCounterVec::new(opts, &["reason"]).ok();
        if let Some(counter) = &decisions {
            let _ = registry.register(Box::new(counter.clone()));
        }
        Self { decisions }
    }

    pub(crate) fn count_decision(&self, reason: &str) {
        if let Some(counter) = &self.decisions {
            counter.with_label_values(&[reason]).inc();
        }
    }
}
