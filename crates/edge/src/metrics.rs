//! Metrics of the traffic.

use base::{Refusal, RetryReason};
use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};

/// Metrics of the traffic, registered once per daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requests received from callers.
    pub requests: IntCounter,
    /// Requests refused, by reason.
    pub refusals: IntCounterVec,
    /// Retries by reason.
    pub retries: IntCounterVec,
    /// Retries that the retry budgets did not cover, by reason.
    pub retries_denied: IntCounterVec,
    /// Reports dropped because the channel to control was full.
    pub reports_dropped: IntCounter,
    /// Seconds from a caller's request to the head of its answer.
    pub request_seconds: Histogram,
    /// Requests waiting in the fair queue, by service.
    pub queued_requests: IntGaugeVec,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// Idle connections to backend servers.
    pub idle_connections: IntGauge,
    /// Connections to servers that became silent while they were idle.
    pub silent_connections: IntCounter,
    /// Requests whose callers left before the answer.
    pub cancelled_requests: IntCounter,
    /// Answers that ended early after their beginning was passed on.
    pub broken_streams: IntCounter,
    /// Bytes of request and answer bodies exchanged with servers of other regions, by service and customer.
    pub cross_region_bytes: IntCounterVec,
    /// Claims of Idempotency-Keys, by result.
    pub dedupe_claims: IntCounterVec,
}

impl Metrics {
    /// Makes and registers the metrics; each reason appears with 0 from the start.
    ///
    /// # Panics
    /// Panics when the registry already has one of them.
    pub fn new(registry: &Registry) -> Self {
        let seconds = HistogramOpts::new("pomelo_request_seconds", "Time to the answer's head");
        let queued = Opts::new("pomelo_queued_requests", "Requests that wait, by service");
        let metrics = Self {
            requests: counter("pomelo_requests_total", "Requests taken from callers"),
            refusals: counters("pomelo_refusals_total", "Requests refused, by reason", &["reason"]),
            retries: counters("pomelo_retries_total", "Tries at a second server, by reason", &["reason"]),
            retries_denied: counters(
                "pomelo_retries_denied_total",
                "Retries beyond the budget, by reason",
                &["reason"],
            ),
            reports_dropped: counter("pomelo_reports_dropped_total", "Reports that control could not take"),
            request_seconds: Histogram::with_opts(seconds).expect("valid name"),
            queued_requests: IntGaugeVec::new(queued, &["service"]).expect("valid name"),
            caller_connections: gauge("pomelo_caller_connections", "Connections of callers"),
            idle_connections: gauge("pomelo_idle_server_connections", "Idle connections to servers"),
            silent_connections: counter("pomelo_silent_connections_total", "Server connections gone silent"),
            cancelled_requests: counter("pomelo_cancelled_total", "Requests whose callers went away"),
            broken_streams: counter("pomelo_broken_streams_total", "Streamed answers that ended short"),
            cross_region_bytes: counters(
                "pomelo_cross_region_bytes_total",
                "Bytes exchanged with servers of other regions",
                &["service", "customer"],
            ),
            dedupe_claims: counters(
                "pomelo_claims_total",
                "Claims of Idempotency-Keys, by result",
                &["result"],
            ),
        };
        for refusal in Refusal::ALL {
            metrics.refusals.with_label_values(&[refusal.code()]);
        }
        for reason in RetryReason::ALL {
            metrics.retries.with_label_values(&[reason.code()]);
            metrics.retries_denied.with_label_values(&[reason.code()]);
        }
        metrics.register(registry);
        metrics
    }

    fn register(&self, registry: &Registry) {
        let collectors: [Box<dyn Collector>; 14] = [
            Box::new(self.requests.clone()),
            Box::new(self.refusals.clone()),
            Box::new(self.retries.clone()),
            Box::new(self.retries_denied.clone()),
            Box::new(self.reports_dropped.clone()),
            Box::new(self.request_seconds.clone()),
            Box::new(self.queued_requests.clone()),
            Box::new(self.caller_connections.clone()),
            Box::new(self.idle_connections.clone()),
            Box::new(self.silent_connections.clone()),
            Box::new(self.cancelled_requests.clone()),
            Box::new(self.broken_streams.clone()),
            Box::new(self.cross_region_bytes.clone()),
            Box::new(self.dedupe_claims.clone()),
        ];
        for collector in collectors {
            registry.register(collector).expect("registered once");
        }
    }
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("valid name")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("valid name")
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("valid name")
}
