//! Metrics of one daemon in the Prometheus format.

use prometheus::{
    Counter, Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the buckets for request times, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0];

/// Upper bounds of the buckets for run times divided by the expected ones.
const RUN_RATIO_BOUNDS: [f64; 11] = [0.05, 0.1, 0.25, 0.5, 0.8, 1.25, 2.0, 4.0, 8.0, 16.0, 32.0];

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
    /// Hand-offs to other daemons, by the distance of their servers.
    pub handoffs: IntCounterVec,
    /// Age of the report by which a server was chosen, in seconds.
    pub report_age_seconds: Histogram,
    /// Time until a request was refused, in seconds, by reason.
    pub refusal_seconds: HistogramVec,
    /// Bytes of datagrams sent to other daemons, by what they are for.
    pub datagram_bytes: IntCounterVec,
    /// Retries and hedges, by reason.
    pub retries: IntCounterVec,
    /// Calls of the local server for runs that were repeats, estimated from the share of such runs.
    pub repeated_calls: Counter,
    /// Answers that were not sent completely when their connection ended, by what was missing.
    pub answers_cut: IntCounterVec,
    /// Connections of callers that the daemon closed early, by reason.
    pub connections_closed: IntCounterVec,
    /// Requests whose callers disconnected before the answer.
    pub cancelled: IntCounter,
    /// Time from receiving a request to the head of its answer.
    pub request_seconds: Histogram,
    /// Run times divided by the time that this daemon expected of an average server when it placed the request.
    pub run_ratio: Histogram,
    /// Time from the first word of a newer configuration until it is in force, in seconds; 0 for one that came
    /// without such a word, from the store.
    pub config_delay_seconds: Histogram,
    /// Queries of the store for a newer configuration, by outcome.
    pub config_queries: IntCounterVec,
    /// Data centres to be evacuated, as this daemon knows it.
    pub evacuated_centres: IntGauge,
    /// Restores of the store of which this process has learned.
    pub store_restores: IntCounter,
    /// Answers of the store that were refused because they were from before its restore.
    pub outdated_store_answers: IntCounter,
    /// Hand-offs without an answer about which other daemons were asked, counted each time.
    pub fate_questions: IntCounter,
    /// Answers to these questions, by what became of the hand-off.
    pub fate_answers: IntCounterVec,
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
        let by_label = |name: &str, help: &str, label: &str| {
            let metric = IntCounterVec::new(Opts::new(name, help), &[label]);
            let metric = metric.expect("the name is a valid metric name");
            registry.register(Box::new(metric.clone())).expect("the name is registered once");
            metric
        };
        let by_reason = |name: &str, help: &str| by_label(name, help, "reason");
        let latency_opts =
            |name: &str, help: &str| HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS_S.to_vec());
        let histogram = |name: &str, help: &str| {
            let metric = Histogram::with_opts(latency_opts(name, help));
            let metric = metric.expect("the bucket bounds are in ascending order");
            registry.register(Box::new(metric.clone())).expect("the name is registered once");
            metric
        };
        let run_ratio_opts = HistogramOpts::new("pomelo_run_ratio", "Run time divided by the expected one.");
        let run_ratio = Histogram::with_opts(run_ratio_opts.buckets(RUN_RATIO_BOUNDS.to_vec()));
        let run_ratio = run_ratio.expect("the bucket bounds are in ascending order");
        registry.register(Box::new(run_ratio.clone())).expect("the name is registered once");
        let repeated_calls = Counter::new("pomelo_repeated_calls_total", "Calls for runs that were repeats.");
        let repeated_calls = repeated_calls.expect("the name is a valid metric name");
        registry.register(Box::new(repeated_calls.clone())).expect("the name is registered once");
        let evacuated_centres = IntGauge::new("pomelo_evacuated_centres", "Data centres to be evacuated.");
        let evacuated_centres = evacuated_centres.expect("the name is a valid metric name");
        registry.register(Box::new(evacuated_centres.clone())).expect("the name is registered once");
        let refusal_opts = latency_opts("pomelo_refusal_seconds", "Time from request to refusal.");
        let refusal_seconds = HistogramVec::new(refusal_opts, &["reason"]);
        let refusal_seconds = refusal_seconds.expect("the bucket bounds are in ascending order");
        registry.register(Box::new(refusal_seconds.clone())).expect("the name is registered once");
        Self {
            requests: counter("pomelo_requests_total", "Requests of callers."),
            refusals: by_reason("pomelo_refusals_total", "Requests that the daemon answered itself."),
            handoffs: by_label("pomelo_handoffs_total", "Hand-offs to other daemons.", "distance"),
            report_age_seconds: histogram("pomelo_report_age_seconds", "Age of the report behind a choice."),
            refusal_seconds,
            run_ratio,
            datagram_bytes: by_label("pomelo_datagram_bytes_total", "Bytes of datagrams sent.", "kind"),
            declines: by_reason("pomelo_declines_total", "Hand-offs that were declined."),
            retries: by_reason("pomelo_retries_total", "Further tries of requests."),
            answers_cut: by_reason("pomelo_answers_cut_total", "Answers that were not sent whole."),
            connections_closed: by_reason(
                "pomelo_connections_closed_total",
                "Connections of callers that the daemon closed early.",
            ),
            repeated_calls,
            cancelled: counter("pomelo_cancelled_total", "Callers that left before their answer."),
            config_delay_seconds: histogram(
                "pomelo_config_delay_seconds",
                "Time from word of a newer configuration until it is in force.",
            ),
            config_queries: by_label(
                "pomelo_config_queries_total",
                "Queries of the store for a newer configuration.",
                "outcome",
            ),
            evacuated_centres,
            store_restores: counter("pomelo_store_restores_total", "Restores of the store."),
            outdated_store_answers: counter(
                "pomelo_store_outdated_answers_total",
                "Answers of the store that were refused because they were from before its restore.",
            ),
            fate_questions: counter("pomelo_fate_questions_total", "Hand-offs that were asked about."),
            fate_answers: by_label("pomelo_fate_answers_total", "Hand-offs whose fate was told.", "fate"),
            log_dropped: counter("pomelo_log_dropped_total", "Log lines dropped."),
            request_seconds: histogram("pomelo_request_seconds", "Time from request to answer."),
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
