//! Counters of decisions, by reason.

use prometheus::{IntCounterVec, Opts, Registry};

/// Counter of decisions.
#[derive(Debug)]
pub(crate) struct Metrics {
    decisions: Option<IntCounterVec>,
}

impl Metrics {
    /// Registers the counter; a second area in one process counts for itself only.
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
