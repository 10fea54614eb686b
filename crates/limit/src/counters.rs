//! Counters of events in rate limiting that deviate from the normal course.

use prometheus::{IntCounterVec, Opts, Registry};

/// The metric `pomelo_limit_total`, with one counter per reason.
#[derive(Debug)]
pub(crate) struct Counters {
    by_reason: IntCounterVec,
}

impl Counters {
    /// # Panics
    /// Never: the name and the label are well-formed.
    pub(crate) fn new(registry: &Registry) -> Self {
        let opts = Opts::new("pomelo_limit_total", "Steps of rate limiting that did not go their normal way");
        let by_reason = IntCounterVec::new(opts, &["reason"]).expect("well-formed metric");
        // Fails only in tests, which register the metric a second time.
        let _already_registered = registry.register(Box::new(by_reason.clone()));
        Self { by_reason }
    }

    pub(crate) fn add(&self, reason: &str, count: u64) {
        if count > 0 {
            self.by_reason.with_label_values(&[reason]).inc_by(count);
        }
    }
}
