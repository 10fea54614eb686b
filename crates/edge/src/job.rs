//! An admitted request ([`Job`]) and the attempts to have a server execute it ([`Attempt`]).

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::{Refusal, RetryReason};
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts;
use kernel::{Outcome, OutcomeKind, Report, ServerView};

use crate::admit::{self, Admitted, recheck_key};
use crate::body::CallerBody;
use crate::explain::Trace;
use crate::limiter::{ConcurrencyLimiter, Permit};
use crate::sanitize::sanitize_request;
use crate::state::EdgeState;

/// Header with the id of a request. A server gets the id of the attempt in it and echoes it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header in which a server gets the id that the caller sent.
pub const CALLER_ID_HEADER: &str = "x-caller-request-id";
/// Header with the time left for the request, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Shortest time after which an attempt without progress counts as silent.
const MIN_PROGRESS_TIMEOUT: Duration = Duration::from_millis(300);
/// An attempt without progress for this many times the server's average latency counts as silent.
const PROGRESS_LATENCY_FACTOR: u32 = 10;

/// An admitted request with its buffered or streamed body.
#[derive(Debug)]
pub struct Job {
    /// State of the daemon.
    pub shared: Arc<EdgeState>,
    /// Record of what happened to the request so far.
    pub trace: Arc<Trace>,
    /// Route, customer and key.
    pub admitted: Admitted,
    /// Sanitized head for servers; each attempt adds its id and the time left.
    pub parts: Parts,
    /// Body of the request.
    pub body: CallerBody,
    /// When the time for the request ends: the caller's or that of the route, whichever is shorter.
    pub deadline: Instant,
    /// Whether servers may execute the request more than once.
    pub idempotent: bool,
}

impl Job {
    /// Sanitizes the head and makes the job.
    ///
    /// # Errors
    /// Fails when the head can't be sanitized.
    pub fn new(
        shared: Arc<EdgeState>,
        trace: Arc<Trace>,
        admitted: Admitted,
        mut parts: Parts,
        body: CallerBody,
        deadline: Instant,
    ) -> Result<Self, Refusal> {
        let secret = admit::request_key(&parts.headers).map(<[u8]>::to_vec);
        sanitize_request(&mut parts, secret.as_deref())?;
        let caller_id = parts.headers.remove(REQUEST_ID_HEADER);
        parts.headers.remove(CALLER_ID_HEADER);
        if let Some(id) = caller_id {
            parts.headers.insert(HeaderName::from_static(CALLER_ID_HEADER), id);
        }
        let idempotent = admitted.route.is_repeatable(parts.method.as_str());
        Ok(Self { shared, trace, admitted, parts, body, deadline, idempotent })
    }

    /// Name of the service.
    pub fn service(&self) -> &str {
        &self.admitted.route.service
    }

    /// Spends a retry from the budgets of customer and service; false: one of them does not cover it.
    pub fn spend_retry(&self, reason: RetryReason) -> bool {
        let spent =
            self.shared.retry_budgets.try_spend(self.admitted.customer_name(), self.service(), reason);
        if !spent {
            self.shared.metrics.retries_denied.with_label_values(&[reason.code()]).inc();
        }
        spent
    }

    /// Checks the key again with the latest view.
    ///
    /// # Errors
    /// Fails when the key was withdrawn meanwhile or can't be confirmed.
    pub fn recheck_key(&self) -> Result<(), Refusal> {
        recheck_key(&self.shared.view.load(), &self.admitted, Instant::now())
    }

    /// Id of one attempt; unique, so that the answer to another attempt is recognised.
    pub fn attempt_id(&self, number: usize) -> Option<HeaderValue> {
        HeaderValue::from_str(&format!("{}-{number}", self.trace.id)).ok()
    }
}

/// Time without progress after which an attempt at this server counts as silent.
pub fn progress_timeout(server: &ServerView) -> Duration {
    let mean_latency_us = server.counters.latency_us.load(Relaxed);
    (Duration::from_micros(u64::from(mean_latency_us)) * PROGRESS_LATENCY_FACTOR).max(MIN_PROGRESS_TIMEOUT)
}

/// One attempt at a server. Reports its outcome to control, also when it is dropped before its end.
#[derive(Debug)]
pub struct Attempt {
    job: Arc<Job>,
    server: Arc<ServerView>,
    limiter: Arc<ConcurrencyLimiter>,
    /// Held until the attempt is dropped.
    permit: Option<Permit>,
    started: Instant,
    first_byte: Option<Duration>,
    /// Opening time of the connection, if it had been idle before this attempt.
    idle_conn_opened_at: Option<Instant>,
    is_sent: bool,
    is_finished: bool,
}

impl Attempt {
    /// Begins an attempt, which counts as in flight at the server until it is dropped.
    pub fn new(job: &Arc<Job>, server: &Arc<ServerView>, limiter: &Arc<ConcurrencyLimiter>) -> Self {
        server.counters.in_flight.fetch_add(1, Relaxed);
        Self {
            job: Arc::clone(job),
            server: Arc::clone(server),
            limiter: Arc::clone(limiter),
            permit: None,
            started: Instant::now(),
            first_byte: None,
            idle_conn_opened_at: None,
            is_sent: false,
            is_finished: false,
        }
    }

    /// The request that is sent.
    pub fn job(&self) -> &Arc<Job> {
        &self.job
    }

    /// The server to which the request is sent.
    pub fn server(&self) -> &Arc<ServerView> {
        &self.server
    }

    /// Records that the request is sent now; `idle_conn_opened_at` is the opening time of the connection, if
    /// it had been idle.
    pub fn set_sent(&mut self, idle_conn_opened_at: Option<Instant>) {
        self.started = Instant::now();
        self.idle_conn_opened_at = idle_conn_opened_at;
        self.is_sent = true;
    }

    /// Records that the answer's head arrived.
    pub fn set_first_byte(&mut self) {
        self.first_byte = Some(self.started.elapsed());
    }

    /// Holds the permit until this attempt is dropped.
    pub fn hold_permit(&mut self, permit: Permit) {
        self.permit = Some(permit);
    }

    /// Finishes an attempt without progress: blames the connection if it had been idle, otherwise the server.
    pub fn finish_silent(&mut self) {
        match self.idle_conn_opened_at {
            Some(opened) => {
                self.job.shared.connections.retire_opened_until(self.server.info.addr, opened);
                self.job.shared.metrics.silent_connections.inc();
                base::event!(Warn, ConnectionSilent, "server={}", self.server.info.id);
                self.finish(OutcomeKind::SilentConnection, 0);
            }
            None => self.finish(OutcomeKind::Stall, 0),
        }
    }

    /// Finishes the attempt and reports its outcome; only the first call counts. `bytes` is the size of the
    /// answer as far as it arrived.
    pub fn finish(&mut self, kind: OutcomeKind, bytes: u64) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let total = self.started.elapsed();
        let first_byte = self.first_byte.unwrap_or(total);
        match kind {
            OutcomeKind::Ok => {
                self.server.counters.observe_latency(first_byte.as_micros() as u32);
                self.limiter.record_answer(first_byte, bytes);
            }
            OutcomeKind::Shed => self.limiter.record_shed(),
            _ => {}
        }
        self.job.trace.record_step(outcome_name(kind), Some(&self.server));
        self.count_cross_region_bytes(bytes);
        self.job.shared.report(Report::Outcome(Outcome {
            server: Arc::clone(&self.server),
            customer: self.job.admitted.customer.clone(),
            kind,
            first_byte,
            total,
            bytes,
            at: Instant::now(),
        }));
    }

    fn count_cross_region_bytes(&self, answer_bytes: u64) {
        let shared = &self.job.shared;
        if !self.is_sent || self.server.info.place.region == shared.view.load().place.region {
            return;
        }
        let request_bytes = self.job.body.buffered().map_or(0, |b| b.len() as u64);
        let labels = [self.job.service(), self.job.admitted.customer_name()];
        shared.metrics.cross_region_bytes.with_label_values(&labels).inc_by(request_bytes + answer_bytes);
        // The budget holds for each direction of the link; the one with more bytes counts.
        shared.region_link().spend(request_bytes.max(answer_bytes));
    }

    /// An attempt that is dropped at the deadline counts as silent, unless the request had less time than the
    /// progress timeout of the server.
    fn finish_dropped(&mut self) {
        let had_time = self.started.elapsed() >= progress_timeout(&self.server);
        if self.is_sent && had_time && Instant::now() >= self.job.deadline {
            self.finish_silent();
        } else if self.is_sent {
            self.finish(OutcomeKind::Cancelled, 0);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.finish_dropped();
        self.server.counters.in_flight.fetch_sub(1, Relaxed);
    }
}

const fn outcome_name(kind: OutcomeKind) -> &'static str {
    match kind {
        OutcomeKind::Ok => "ok",
        OutcomeKind::ClientError => "client-error",
        OutcomeKind::ServerError => "server-error",
        OutcomeKind::Shed => "shed",
        OutcomeKind::ConnectFailed => "connect-failed",
        OutcomeKind::Reset => "reset",
        OutcomeKind::Stall => "stall",
        OutcomeKind::SilentConnection => "silent-connection",
        OutcomeKind::Truncated => "truncated",
        OutcomeKind::Mismatched => "mismatched",
        OutcomeKind::Cancelled => "cancelled",
    }
}
