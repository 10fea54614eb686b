//! A single attempt: hands a request to one daemon and receives the answer.
//!
//! An attempt owns all that it needs, so that a request can have two at the same time. Dropping an attempt
//! cancels it.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use base::DaemonId;
use bytes::Bytes;
use fate::Fate;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::http::response::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, Uri};
use smallvec::SmallVec;
use tokio::time::timeout_at;

use crate::body::{Body, BufferError, MAX_BUFFERED_BYTES};
use crate::body_memory::{ReservedMemory, buffer_in_memory};
use crate::caller_requests::CallerRequests;
use crate::connection_limit::Shortage;
use crate::digest::RelayedReport;
use crate::exchange::OVERDUE_FACTOR;
use crate::fate_questions::SentHandoff;
use crate::handoff::{
    self, ALTERNATIVES_HEADER, DeclineReason, HANDOFF_HEADER, Handoff, REPORT_HEADER, RUN_ERROR_HEADER,
    RUN_TIME_HEADER, Repetition, RunError, RunTime, ServerReport,
};
use crate::links::{Connection, LinkError, STREAM_WINDOW_BYTES};
use crate::node::Node;

/// Time past the deadline in which an answer is still accepted. The daemon beside the server allows less, so
/// that an answer which it has accepted can still arrive.
const DEADLINE_SLACK: Duration = Duration::from_millis(250);
/// Weight of a new answer in the moving average of answer sizes.
const NEW_SIZE_WEIGHT: f64 = 0.2;

/// How an attempt ended.
pub(crate) enum AttemptOutcome {
    Answered(Box<Response<Body>>),
    Failed(RunError),
}

/// Where and when an attempt was started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptInfo {
    pub(crate) to: DaemonId,
    pub(crate) sent_at: Instant,
    /// When the attempt will have taken so long that it may be hedged.
    pub(crate) overdue_at: Instant,
    /// Age in milliseconds of the report on the server when its daemon was chosen; -1 without a report.
    pub(crate) report_ms: i64,
    /// Run time expected at an average server.
    pub(crate) expected_run: Duration,
}

/// An attempt that is running.
struct RunningAttempt {
    info: AttemptInfo,
    future: Pin<Box<dyn Future<Output = AttemptOutcome>>>,
}

/// The running attempts of one request, at most two.
#[derive(Default)]
pub(crate) struct InFlight(SmallVec<[RunningAttempt; 2]>);

impl InFlight {
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// The running attempt, if there is exactly one.
    pub(crate) fn only(&self) -> Option<AttemptInfo> {
        let [only] = &*self.0 else { return None };
        Some(only.info)
    }

    /// Starts an attempt.
    pub(crate) fn start(&mut self, request: AttemptRequest) {
        let info = request.info();
        self.0.push(RunningAttempt { info, future: Box::pin(request.run()) });
    }

    /// Waits until an attempt ends, and removes it.
    pub(crate) async fn next_ended(&mut self) -> (AttemptInfo, AttemptOutcome) {
        let (index, outcome) = poll_fn(|cx| {
            for (index, attempt) in self.0.iter_mut().enumerate() {
                if let Poll::Ready(outcome) = attempt.future.as_mut().poll(cx) {
                    return Poll::Ready((index, outcome));
                }
            }
            Poll::Pending
        })
        .await;
        (self.0.remove(index).info, outcome)
    }
}

/// The request of one attempt, with all that is needed to run it.
pub(crate) struct AttemptRequest {
    pub(crate) node: Rc<Node>,
    /// The requests on the caller's connection, this one included.
    pub(crate) requests: Rc<CallerRequests>,
    pub(crate) id: Box<str>,
    pub(crate) to: DaemonId,
    pub(crate) handoff: Handoff,
    pub(crate) req: Request<Bytes>,
    pub(crate) deadline: Instant,
    /// Run time expected at an average server.
    pub(crate) expected_run: Duration,
}

impl AttemptRequest {
    fn info(&self) -> AttemptInfo {
        let now = Instant::now();
        let to = self.to;
        let report_ms = if to == self.node.identity.addr {
            0
        } else {
            let age = self.node.peers.borrow().report_age(&to, now);
            age.map_or(-1, |age| age.as_millis() as i64)
        };
        let objective_left = self.handoff.objective_left;
        let expected =
            self.node.answer_times.borrow().estimate(self.handoff.route_hash, self.handoff.objective).mean();
        let overdue_after = (expected * OVERDUE_FACTOR).max(objective_left);
        let expected_run = self.expected_run;
        AttemptInfo { to, sent_at: now, overdue_at: now + overdue_after, report_ms, expected_run }
    }

    /// Time until which an answer is accepted.
    fn answer_until(&self) -> Instant {
        self.deadline + DEADLINE_SLACK
    }

    async fn run(self) -> AttemptOutcome {
        let until = self.answer_until();
        let run = async {
            if self.to == self.node.identity.addr { self.run_locally().await } else { self.hand_off().await }
        };
        timeout_at(until.into(), run).await.unwrap_or(AttemptOutcome::Failed(RunError::Overdue))
    }

    async fn run_locally(mut self) -> AttemptOutcome {
        let req = std::mem::take(&mut self.req);
        let (parts, body) = match self.node.local_server.run_request(&self.handoff, req).await {
            Ok(rep) => rep.into_parts(),
            Err(error) => return AttemptOutcome::Failed(error),
        };
        if matches!(body, Body::Whole(_)) || self.must_stream(&body) {
            return AttemptOutcome::Answered(Box::new(Response::from_parts(parts, body)));
        }
        // A request whose answer breaks off can run elsewhere, and those behind it on the connection go on.
        match self.buffer_answer(body).await {
            Ok((bytes, memory)) => whole_answer(parts, bytes, memory),
            Err(e) => self.broken_answer(&e),
        }
    }

    async fn hand_off(mut self) -> AttemptOutcome {
        let Some(mut req) = self.link_request() else {
            return AttemptOutcome::Failed(RunError::declined(DeclineReason::Unreachable));
        };
        self.record_handoff();
        let peer = self.node.peers.borrow().incarnation(&self.to);
        let Ok(connection) = self.node.links.connect(self.to, peer).await else {
            self.node.links.disconnect(&self.to);
            return self.failed_path(RunError::declined(DeclineReason::Unreachable));
        };
        let mut sent = connection.number_handoff();
        self.handoff.set_number(&sent);
        handoff::insert_header(req.headers_mut(), &HANDOFF_HEADER, &self.handoff);
        match self.send(connection, &mut sent, req).await {
            Ok(rep) => self.handle_response(rep).await,
            Err(outcome) => outcome,
        }
    }

    /// Sends the request and waits for the head of the answer, or for a proof that the request has not run.
    async fn send(
        &self,
        mut connection: Connection,
        sent: &mut SentHandoff,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, AttemptOutcome> {
        let result = tokio::select! {
            result = connection.send(req) => result,
            Some(fate) = sent.proof() => return Err(not_run(fate)),
        };
        match result {
            Ok(rep) => {
                sent.on_response();
                Ok(rep)
            }
            Err(LinkError::NotSent) => Err(self.failed_path(RunError::declined(DeclineReason::Unreachable))),
            Err(LinkError::MayHaveRun) => Err(self.broken(sent).await),
        }
    }

    /// Ends an attempt whose connection broke. A request that must run at most once waits for a proof that it has
    /// not run; another one can be repeated earlier.
    async fn broken(&self, sent: &mut SentHandoff) -> AttemptOutcome {
        let failed = self.failed_path(RunError::Broken);
        if self.handoff.repetition == Repetition::Allowed {
            return failed;
        }
        sent.proof().await.map_or(failed, not_run)
    }

    /// Pauses hand-offs to the daemon after one could not be delivered.
    fn failed_path(&self, error: RunError) -> AttemptOutcome {
        self.node.peers.borrow_mut().record_path_failure(self.to, Instant::now());
        AttemptOutcome::Failed(error)
    }

    /// Counts the hand-off, with its distance and the age of the report by which the daemon was chosen.
    fn record_handoff(&self) {
        let now = Instant::now();
        let mut peers = self.node.peers.borrow_mut();
        let metrics = &self.node.metrics;
        if let Some(distance) = peers.distance(&self.to) {
            metrics.handoffs.with_label_values(&[&distance.to_string()]).inc();
        }
        if let Some(age) = peers.report_age(&self.to, now) {
            metrics.report_age_seconds.observe(age.as_secs_f64());
        }
        peers.record_handoff(self.to, now);
        peers.add_pending_work(self.to, self.expected_run);
    }

    /// Turns the request into the form that is sent to other daemons: HTTP/2, with the host in the target. Takes
    /// `self.req`; `None` without a valid host.
    fn link_request(&mut self) -> Option<Request<Full<Bytes>>> {
        let mut req = std::mem::take(&mut self.req);
        let host = req.headers_mut().remove(HOST)?;
        let uri = Uri::builder().scheme("http").authority(host.as_bytes());
        let path = req.uri().path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/"));
        *req.uri_mut() = uri.path_and_query(path).build().ok()?;
        *req.version_mut() = hyper::Version::HTTP_2;
        Some(req.map(Full::new))
    }

    async fn handle_response(self, rep: Response<Incoming>) -> AttemptOutcome {
        let (mut parts, body) = rep.into_parts();
        if let Some(report) = handoff::take_header::<ServerReport>(&mut parts.headers, &REPORT_HEADER) {
            self.node.peers.borrow_mut().record_report(self.to, report, Instant::now());
        }
        if let Some(servers) =
            handoff::take_header::<Vec<RelayedReport>>(&mut parts.headers, &ALTERNATIVES_HEADER)
        {
            self.node.peers.borrow_mut().apply_relayed_reports(&servers, Instant::now());
        }
        if let Some(run_time) = handoff::take_header::<RunTime>(&mut parts.headers, &RUN_TIME_HEADER) {
            parts.extensions.insert(run_time);
        }
        if let Some(error) = handoff::take_header(&mut parts.headers, &RUN_ERROR_HEADER) {
            return AttemptOutcome::Failed(error);
        }
        parts.version = hyper::Version::HTTP_11;
        if self.must_stream(&body) {
            let memory = self.node.body_memory.reserve(stated_bytes(&body).min(STREAM_WINDOW_BYTES as usize));
            let rep = Response::from_parts(parts, Body::relayed(body, memory, self.answer_until()));
            return AttemptOutcome::Answered(Box::new(rep));
        }
        match self.buffer_answer(body).await {
            Ok((bytes, memory)) => {
                self.record_response_size(bytes.len());
                whole_answer(parts, bytes, memory)
            }
            Err(e) => self.broken_answer(&e),
        }
    }

    /// Whether an answer is too large to be buffered. Records the route if so. While requests behind another one
    /// have been started on the connection, only the free memory limits the size: a streamed answer that breaks off
    /// would take them along.
    fn must_stream(&self, body: &impl HttpBody) -> bool {
        let is_too_large = stated_bytes(body) > MAX_BUFFERED_BYTES;
        if is_too_large {
            self.node.streamed_routes.borrow_mut().insert(self.handoff.route_hash);
        }
        (is_too_large && !self.requests.has_started_early()) || !self.has_memory_for(body)
    }

    /// Whether there is memory to buffer an answer of stated length. If there is none, the memory of an answer that its
    /// caller doesn't read is freed for the next one.
    fn has_memory_for(&self, body: &impl HttpBody) -> bool {
        let has_memory = self.node.body_memory.has_room(stated_bytes(body));
        if !has_memory {
            self.node.connections.evict(Shortage::Memory, Instant::now());
        }
        has_memory
    }

    /// Buffers an answer that need not be streamed.
    async fn buffer_answer<B>(&self, body: B) -> Result<(Bytes, ReservedMemory), BufferError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
    {
        let limit = stated_bytes(&body).max(MAX_BUFFERED_BYTES);
        buffer_in_memory(body, limit, &self.node.body_memory).await
    }

    fn broken_answer(&self, e: &BufferError) -> AttemptOutcome {
        log::debug!("answer of daemon {} to request {} not usable: {e}", self.to, self.id);
        AttemptOutcome::Failed(RunError::Broken)
    }

    fn record_response_size(&self, bytes: usize) {
        let mut sizes = self.node.response_sizes.borrow_mut();
        let mean = sizes.entry(self.handoff.route_hash).or_insert(bytes as f64);
        *mean += NEW_SIZE_WEIGHT * (bytes as f64 - *mean);
    }
}

/// Length that an answer states for its body, in bytes; 0 without one.
fn stated_bytes(body: &impl HttpBody) -> usize {
    body.size_hint().upper().map_or(0, |bytes| usize::try_from(bytes).unwrap_or(usize::MAX))
}

/// A request that has not run and never will.
fn not_run(fate: Fate) -> AttemptOutcome {
    let reason = if fate == Fate::NeverCame { DeclineReason::Lost } else { DeclineReason::GivenUp };
    AttemptOutcome::Failed(RunError::declined(reason))
}

/// An answer whose body has been buffered.
fn whole_answer(mut parts: Parts, bytes: Bytes, memory: ReservedMemory) -> AttemptOutcome {
    parts.headers.remove(CONTENT_LENGTH);
    AttemptOutcome::Answered(Box::new(Response::from_parts(parts, Body::whole_in(bytes, memory))))
}
