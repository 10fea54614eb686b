//! Judges one server by the outcomes of its own requests: a filter with two states, well and failing.
//!
//! Answers the load pattern of a server that fails most of its requests for a few seconds while its health
//! check passes. A single failure of a busy server proves little, one of a server that has shown nothing for
//! a while proves much; the filter weighs both with Bayes' rule and forgets with time. A failure that comes before
//! the server can have worked on the request proves most: the requests behind it would fail as fast.

use std::time::{Duration, Instant};

// Only the ratio of the two probabilities of an outcome weighs.

/// Probability that a request succeeds at a well server.
const SUCCESS_WHEN_WELL: f64 = 0.98;
/// Probability that a request succeeds at a failing server.
const SUCCESS_WHEN_FAILING: f64 = 0.2;
/// Probability that a well server works on a request and fails it.
const FAIL_WHEN_WELL: f64 = 0.02;
/// Probability that a failing server works on a request and fails it.
const FAIL_WHEN_FAILING: f64 = 0.8;
/// Probability that a well server fails a request at once.
const FAIL_FAST_WHEN_WELL: f64 = 0.000_5;
/// Probability that a failing server fails a request at once.
const FAIL_FAST_WHEN_FAILING: f64 = 0.8;
/// Mean time for which a server stays well.
const MEAN_WELL: Duration = Duration::from_secs(20);
/// Mean time for which a server keeps failing.
const MEAN_FAILING: Duration = Duration::from_secs(4);
/// Bounds of the belief, so that it never becomes certain.
const CERTAINTY: f64 = 0.001;
/// Belief from which a server gets no request that may run only once.
pub const SUSPECT_PROBABILITY: f64 = 0.3;

/// Part of the expected time of a run before which a failure counts as fast.
const FAST_PART: f64 = 0.15;

/// What a request showed about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The server answered as it should.
    Success,
    /// The server answered with an error, broke off, or took far longer than expected.
    Failure,
    /// The server failed the request sooner than it can have worked on it.
    FastFailure,
}

impl RequestOutcome {
    /// A failure after `took`, of a run that was expected to take `expected`.
    pub fn failure(took: Duration, expected: Duration) -> Self {
        if took < expected.mul_f64(FAST_PART) { Self::FastFailure } else { Self::Failure }
    }

    /// Whether the server failed the request.
    pub fn is_failure(self) -> bool {
        self != Self::Success
    }
}

/// Belief that one server is failing now.
#[derive(Clone, Debug)]
pub struct GrayFilter {
    /// Probability at `at`; within [`CERTAINTY`] of neither 0 nor 1.
    failing: f64,
    at: Instant,
}

impl GrayFilter {
    /// Starts with what is known of any server.
    pub fn new(now: Instant) -> Self {
        Self { failing: stationary(), at: now }
    }

    /// Probability that the server is failing.
    pub fn failure_probability(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        let rate = 1.0 / MEAN_WELL.as_secs_f64() + 1.0 / MEAN_FAILING.as_secs_f64();
        let rest = stationary();
        rest + (self.failing - rest) * (-rate * elapsed).exp()
    }

    /// Whether requests that may run only once should go elsewhere.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.failure_probability(now) >= SUSPECT_PROBABILITY
    }

    /// Takes in the outcome of one request.
    pub fn observe(&mut self, outcome: RequestOutcome, now: Instant) {
        let prior = self.failure_probability(now);
        let (if_failing, if_well) = match outcome {
            RequestOutcome::Success => (SUCCESS_WHEN_FAILING, SUCCESS_WHEN_WELL),
            RequestOutcome::Failure => (FAIL_WHEN_FAILING, FAIL_WHEN_WELL),
            RequestOutcome::FastFailure => (FAIL_FAST_WHEN_FAILING, FAIL_FAST_WHEN_WELL),
        };
        let joint = prior * if_failing;
        let posterior = joint / (joint + (1.0 - prior) * if_well);
        self.failing = posterior.clamp(CERTAINTY, 1.0 - CERTAINTY);
        self.at = now;
    }
}

/// Long-run share of time in which a server fails.
fn stationary() -> f64 {
    let (well, failing) = (MEAN_WELL.as_secs_f64(), MEAN_FAILING.as_secs_f64());
    failing / (well + failing)
}
