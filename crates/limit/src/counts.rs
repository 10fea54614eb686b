//! Counters of this area, one for each reason.

use prometheus::{IntCounterVec, Opts, Registry};

/// Counts by reason.
#[derive(Debug)]
pub(crate) struct Counts {
    by_reason: IntCounterVec,
}

impl Counts {
    /// # Panics
    /// Never: the name and the label are well-formed.
    pub(crate) fn new(registry: &Registry) -> Self {
        let opts = Opts::new("pomelo_limit_total", "Steps of rate limiting that did not go their normal way");
        let by_reason = IntCounterVec::new(opts, &["reason"]).expect("well-formed metric");
        // A second registration happens in tests only.
        let _known = registry.register(Box::new(by_reason.clone()));
        Self { by_reason }
    }

    pub(crate) fn add(&self, reason: &str, count: u64) {
        if count > 0 {
            self.by_reason.with_label_values(&[reason]).inc_by(count);
        }
    }
}
