//! One admitted request: what is sent, until when, and what is known about its effect.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::{Refusal, RetryReason};
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts;
use kernel::{Outcome, OutcomeKind, Report, ServerView};

use crate::admit::{self, Admitted, recheck};
use crate::body::CallerBody;
use crate::explain::Trace;
use crate::gate::{Gate, Permit};
use crate::hygiene::clean_request;
use crate::shared::Shared;

/// Header with the request's id; a server echoes it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header in which a server finds the id that the caller sent.
pub const CALLER_ID_HEADER: &str = "x-caller-request-id";
/// Header with the milliseconds left for the request.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Smallest time after which a try without progress counts as silent.
const MIN_PROGRESS: Duration = Duration::from_millis(300);
/// A try without progress for this many times the server's usual latency counts as silent.
const PROGRESS_FACTOR: u32 = 10;

/// An admitted request with its whole or streamed body.
#[derive(Debug)]
pub struct Job {
    /// State of the daemon.
    pub shared: Arc<Shared>,
    /// What happened so far.
    pub trace: Arc<Trace>,
    /// Route, customer and key.
    pub admitted: Admitted,
    /// Head as it goes to servers, but for the headers of each try.
    pub parts: Parts,
    /// Body.
    pub body: CallerBody,
    /// When the request is worth nothing any more.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

impl Job {
    /// Cleans the head and puts everything together.
    ///
    /// # Errors
    /// Fails when the head can't be cleaned.
    pub fn new(
        shared: Arc<Shared>,
        trace: Arc<Trace>,
        admitted: Admitted,
        mut parts: Parts,
        body: CallerBody,
        deadline: Instant,
    ) -> Result<Self, Refusal> {
        let secret = admit::key(&parts.headers).map(<[u8]>::to_vec);
        clean_request(&mut parts, secret.as_deref())?;
        let caller_id = parts.headers.remove(REQUEST_ID_HEADER);
        parts.headers.remove(CALLER_ID_HEADER);
        if let Some(id) = caller_id {
            parts.headers.insert(HeaderName::from_static(CALLER_ID_HEADER), id);
        }
        let repeatable = admitted.route.is_repeatable(parts.method.as_str());
        Ok(Self { shared, trace, admitted, parts, body, deadline, repeatable })
    }

    /// Name of the service.
    pub fn service(&self) -> &str {
        &self.admitted.route.service
    }

    /// Spends a retry from the budgets; false: they do not cover it.
    pub fn spend_retry(&self, reason: RetryReason) -> bool {
        let spent = self.shared.budgets.spend(self.admitted.customer_name(), self.service(), reason);
        if !spent {
            self.shared.metrics.retries_denied.with_label_values(&[reason.code()]).inc();
        }
        spent
    }

    /// Judges the key once more with the newest view.
    ///
    /// # Errors
    /// Fails when the key was withdrawn meanwhile or can't be confirmed.
    pub fn recheck(&self) -> Result<(), Refusal> {
        recheck(&self.shared.view.load(), &self.admitted, Instant::now())
    }

    /// Id of one try; unique, so that an answer of an earlier try is told apart.
    pub fn try_id(&self, number: usize) -> Option<HeaderValue> {
        HeaderValue::from_str(&format!("{}-{number}", self.trace.id)).ok()
    }
}

/// Time after which a try at this server counts as silent.
pub fn progress_time(server: &ServerView) -> Duration {
    let usual = server.counters.latency_us.load(Relaxed);
    (Duration::from_micros(u64::from(usual)) * PROGRESS_FACTOR).max(MIN_PROGRESS)
}

/// One try at a server; tells control how it ended, also when it is dropped half-way.
#[derive(Debug)]
pub struct Try {
    job: Arc<Job>,
    server: Arc<ServerView>,
    gate: Arc<Gate>,
    /// Released with the try.
    permit: Option<Permit>,
    started: Instant,
    first_byte: Option<Duration>,
    /// Opening time of the connection, if it had been idle before.
    idle_since: Option<Instant>,
    is_sent: bool,
    is_finished: bool,
}

impl Try {
    /// Begins a try: it counts as in flight from now on.
    pub fn new(job: &Arc<Job>, server: &Arc<ServerView>, gate: &Arc<Gate>) -> Self {
        server.counters.in_flight.fetch_add(1, Relaxed);
        Self {
            job: Arc::clone(job),
            server: Arc::clone(server),
            gate: Arc::clone(gate),
            permit: None,
            started: Instant::now(),
            first_byte: None,
            idle_since: None,
            is_sent: false,
            is_finished: false,
        }
    }

    /// The request.
    pub fn job(&self) -> &Arc<Job> {
        &self.job
    }

    /// The server.
    pub fn server(&self) -> &Arc<ServerView> {
        &self.server
    }

    /// Notes that the request goes out; `idle_since` is the opening time of a connection that was idle.
    pub fn set_sent(&mut self, idle_since: Option<Instant>) {
        self.started = Instant::now();
        self.idle_since = idle_since;
        self.is_sent = true;
    }

    /// Notes that the answer's head came.
    pub fn set_first_byte(&mut self) {
        self.first_byte = Some(self.started.elapsed());
    }

    /// Keeps the permit until this try ends.
    pub fn keep(&mut self, permit: Permit) {
        self.permit = Some(permit);
    }

    /// Ends the try without progress of its connection.
    pub fn finish_silent(&mut self) {
        match self.idle_since {
            Some(opened) => {
                self.job.shared.connections.distrust(self.server.info.addr, opened);
                self.job.shared.metrics.silent_connections.inc();
                base::event!(Warn, ConnectionSilent, "server={}", self.server.info.id);
                self.finish(OutcomeKind::SilentConnection, 0);
            }
            None => self.finish(OutcomeKind::Stall, 0),
        }
    }

    /// Ends the try.
    pub fn finish(&mut self, kind: OutcomeKind, bytes: u64) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let total = self.started.elapsed();
        let first_byte = self.first_byte.unwrap_or(total);
        match kind {
            OutcomeKind::Ok => {
                self.server.counters.observe_latency(first_byte.as_micros() as u32);
                self.gate.on_answer(first_byte, bytes);
            }
            OutcomeKind::Shed => self.gate.on_shed(),
            _ => {}
        }
        self.job.trace.step(outcome_name(kind), Some(&self.server));
        self.count_link_bytes(bytes);
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

    fn count_link_bytes(&self, answer: u64) {
        let shared = &self.job.shared;
        if !self.is_sent || self.server.info.place.region == shared.view.load().place.region {
            return;
        }
        let sent = self.job.body.held().map_or(0, |b| b.len() as u64);
        let labels = [self.job.service(), self.job.admitted.customer_name()];
        shared.metrics.cross_region_bytes.with_label_values(&labels).inc_by(sent + answer);
        shared.link().spend(sent.max(answer));
    }

    /// A try whose time ran out without a sign of the server is blamed on the connection, unless the
    /// request had less time than the server usually needs.
    fn finish_dropped(&mut self) {
        let had_time = self.started.elapsed() >= progress_time(&self.server);
        if self.is_sent && had_time && Instant::now() >= self.job.deadline {
            self.finish_silent();
        } else if self.is_sent {
            self.finish(OutcomeKind::Cancelled, 0);
        }
    }
}

impl Drop for Try {
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
