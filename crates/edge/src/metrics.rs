//! Counters of traffic.

use base::{Refusal, RetryReason};
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry};

/// Counters of traffic, registered once for each daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requests taken from callers.
    pub requests: IntCounter,
    /// Refusals by reason.
    pub refusals: IntCounterVec,
    /// Retries by reason.
    pub retries: IntCounterVec,
    /// Reports that control could not take in time.
    pub reports_dropped: IntCounter,
    /// Seconds from the caller's request to the head of the answer.
    pub seconds: Histogram,
}

impl Metrics {
    /// Makes and registers the counters; every reason appears from the start with 0.
    ///
    /// # Panics
    /// Panics when the registry already has them.
    pub fn new(registry: &Registry) -> Self {
        let metrics = Self {
            requests: IntCounter::new("pomelo_requests_total", "Requests taken from callers")
                .expect("valid name"),
            refusals: counters("pomelo_refusals_total", "Requests refused, by reason"),
            retries: counters("pomelo_retries_total", "Tries at a second server, by reason"),
            reports_dropped: IntCounter::new(
                "pomelo_reports_dropped_total",
                "Reports that control could not take",
            )
            .expect("valid name"),
            seconds: Histogram::with_opts(HistogramOpts::new(
                "pomelo_request_seconds",
                "Time to the answer's head",
            ))
            .expect("valid name"),
        };
        for refusal in Refusal::ALL {
            metrics.refusals.with_label_values(&[refusal.code()]);
        }
        for reason in RetryReason::ALL {
            metrics.retries.with_label_values(&[reason.code()]);
        }
        metrics.register(registry);
        metrics
    }

    fn register(&self, registry: &Registry) {
        let collectors: [Box<dyn prometheus::core::Collector>; 5] = [
            Box::new(self.requests.clone()),
            Box::new(self.refusals.clone()),
            Box::new(self.retries.clone()),
            Box::new(self.reports_dropped.clone()),
            Box::new(self.seconds.clone()),
        ];
        for collector in collectors {
            registry.register(collector).expect("registered once");
        }
    }
}

fn counters(name: &str, help: &str) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), &["reason"]).expect("valid name")
}
