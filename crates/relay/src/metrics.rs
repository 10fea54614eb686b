//! Metrics of one daemon in the Prometheus format.

use prometheus::{Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry, TextEncoder};

/// Upper bounds of the buckets for request times, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0];

/// Metrics of one daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests received from callers.
    pub requests: IntCounter,
    /// Requests that this daemon refused, by reason.
    pub refusals: IntCounterVec,
    /// Hand-offs that were declined, by reason.
    pub declines: IntCounterVec,
    /// Retries and hedges, by reason.
    pub retries: IntCounterVec,
    /// Answers that were not sent completely when their connection ended, by what was missing.
    pub answers_cut: IntCounterVec,
    /// Requests whose callers disconnected before the answer.
    pub cancelled: IntCounter,
    /// Time from receiving a request to the head of its answer.
    pub request_seconds: Histogram,
    /// Log lines that were dropped because the writer could not keep up.
    pub log_dropped: IntCounter,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let metric = IntCounter::new(name, help).expect("the name is a valid metric name");
            registry.register(Box::new(metric.clone())).expect("the name is registered once");
            metric
        };
        let by_reason = |name: &str, help: &str| {
            let metric = IntCounterVec::new(Opts::new(name, help), &["reason"]);
            let metric = metric.expect("the name is a valid metric name");
            registry.register(Box::new(metric.clone())).expect("the name is registered once");
            metric
        };
        let opts = HistogramOpts::new("pomelo_request_seconds", "Time from request to answer.");
        let request_seconds = Histogram::with_opts(opts.buckets(LATENCY_BOUNDS_S.to_vec()));
        let request_seconds = request_seconds.expect("the bucket bounds are in ascending order");
        registry.register(Box::new(request_seconds.clone())).expect("the name is registered once");
        Self {
            requests: counter("pomelo_requests_total", "Requests of callers."),
            refusals: by_reason("pomelo_refusals_total", "Requests that the daemon answered itself."),
            declines: by_reason("pomelo_declines_total", "Hand-offs that were declined."),
            retries: by_reason("pomelo_retries_total", "Further tries of requests."),
            answers_cut: by_reason("pomelo_answers_cut_total", "Answers that were not sent whole."),
            cancelled: counter("pomelo_cancelled_total", "Callers that left before their answer."),
            log_dropped: counter("pomelo_log_dropped_total", "Log lines dropped."),
            request_seconds,
            registry,
        }
    }
}

impl Metrics {
    /// Encodes all metrics in the Prometheus text format.
    pub fn encode_text(&self) -> Vec<u8> {
        let mut out = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            log::error!("metrics can't be encoded: {e}");
        }
        out
    }
}
