//! Estimates from the outcomes of a server's requests whether it is failing: a Bayes filter (hidden Markov
//! model) with two states, healthy and failing.
//!
//! Made for servers that fail most requests for a few seconds while their health check passes. One failure
//! among many successes means little, one after a while without any outcome means much; the filter weighs
//! this by Bayes' rule, and with time its estimate returns to the prior. A failure that comes before the
//! server can have worked on the request counts most, since the following requests would fail as fast.

use std::time::{Duration, Instant};

// Of the two probabilities of an outcome only the ratio matters; those of all outcomes need not sum up to 1.

/// Probability that a request succeeds at a healthy server.
const SUCCESS_WHEN_HEALTHY: f64 = 0.98;
/// Probability that a request succeeds at a failing server.
const SUCCESS_WHEN_FAILING: f64 = 0.2;
/// Probability that a request at a healthy server is overdue or can't be sent.
const FAIL_WHEN_HEALTHY: f64 = 0.02;
/// Probability that a request at a failing server is overdue or can't be sent.
const FAIL_WHEN_FAILING: f64 = 0.8;
/// Probability that a healthy server works on a request and fails it.
const FAIL_LATE_WHEN_HEALTHY: f64 = 0.02;
/// Probability that a failing server works on a request and fails it; most of its failures come at once.
const FAIL_LATE_WHEN_FAILING: f64 = 0.2;
/// Probability that a healthy server fails a request at once.
const FAIL_FAST_WHEN_HEALTHY: f64 = 0.000_5;
/// Probability that a failing server fails a request at once.
const FAIL_FAST_WHEN_FAILING: f64 = 0.8;
/// Mean time for which a server stays healthy.
const MEAN_HEALTHY: Duration = Duration::from_secs(20);
/// Mean time for which a server keeps failing.
const MEAN_FAILING: Duration = Duration::from_secs(4);
/// Distance of the estimate from 0 and 1 that an outcome leaves, so that later outcomes can still change it.
const MIN_UNCERTAINTY: f64 = 0.001;
/// Probability of failing from which a server gets no request that may run only once.
pub const SUSPECT_PROBABILITY: f64 = 0.3;

/// Part of the expected run time before which a failure counts as fast.
const FAST_FAILURE_PART: f64 = 0.15;

/// Outcome of a request as evidence on its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The server answered as it should.
    Success,
    /// The server took far longer than expected or could not be connected to.
    Failure,
    /// The server answered with an error or broke off after it may have worked on the request.
    LateFailure,
    /// The server failed the request sooner than it can have worked on it.
    FastFailure,
}

impl RequestOutcome {
    /// Outcome of a request that failed after `took` and was expected to take `expected`.
    pub fn failure(took: Duration, expected: Duration) -> Self {
        if took < expected.mul_f64(FAST_FAILURE_PART) { Self::FastFailure } else { Self::LateFailure }
    }

    /// Whether the server failed the request.
    pub fn is_failure(self) -> bool {
        self != Self::Success
    }
}

/// Estimate of the probability that one server is failing now.
#[derive(Clone, Debug)]
pub struct GrayFilter {
    /// Probability at `updated_at`, at least [`MIN_UNCERTAINTY`] away from 0 and 1.
    probability: f64,
    updated_at: Instant,
}

impl GrayFilter {
    /// Starts with the long-run share of time in which a server fails.
    pub fn new(now: Instant) -> Self {
        Self { probability: long_run_probability(), updated_at: now }
    }

    /// Probability that the server is failing at `now`. Without outcomes it returns to the long-run share.
    pub fn failure_probability(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let rate = 1.0 / MEAN_HEALTHY.as_secs_f64() + 1.0 / MEAN_FAILING.as_secs_f64();
        let long_run = long_run_probability();
        long_run + (self.probability - long_run) * (-rate * elapsed).exp()
    }

    /// Whether the server is suspected of failing, so that requests which may run only once should go
    /// elsewhere.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.failure_probability(now) >= SUSPECT_PROBABILITY
    }

    /// Updates the estimate by the outcome of one request.
    pub fn observe(&mut self, outcome: RequestOutcome, now: Instant) {
        let prior = self.failure_probability(now);
        let (if_failing, if_healthy) = match outcome {
            RequestOutcome::Success => (SUCCESS_WHEN_FAILING, SUCCESS_WHEN_HEALTHY),
            RequestOutcome::Failure => (FAIL_WHEN_FAILING, FAIL_WHEN_HEALTHY),
            RequestOutcome::LateFailure => (FAIL_LATE_WHEN_FAILING, FAIL_LATE_WHEN_HEALTHY),
            RequestOutcome::FastFailure => (FAIL_FAST_WHEN_FAILING, FAIL_FAST_WHEN_HEALTHY),
        };
        let joint = prior * if_failing;
        let posterior = joint / (joint + (1.0 - prior) * if_healthy);
        self.probability = posterior.clamp(MIN_UNCERTAINTY, 1.0 - MIN_UNCERTAINTY);
        self.updated_at = now;
    }
}

/// Long-run share of time in which a server fails.
fn long_run_probability() -> f64 {
    let (healthy, failing) = (MEAN_HEALTHY.as_secs_f64(), MEAN_FAILING.as_secs_f64());
    failing / (healthy + failing)
}
