//! One attempt at one server: connect, send, match the answer to the request, buffer or stream the answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{Refusal, RetryReason};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts as Head;
use hyper::{Request, Response, StatusCode};
use kernel::{OutcomeKind, ServerView};

use crate::body::{MAX_BUFFERED_ANSWER_BYTES, ReadResult, StreamedBody, body_from_bytes, read_up_to};
use crate::job::{Attempt, CALLER_ID_HEADER, DEADLINE_HEADER, Job, REQUEST_ID_HEADER, progress_timeout};
use crate::limiter::{ConcurrencyLimiter, Permit};
use crate::refuse::{AnswerBody, RUN_HEADER};
use crate::relayed_answer::RelayedAnswer;
use crate::sanitize::sanitize_answer;
use crate::upstream::{Conn, RequestBody, ReusePolicy};

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptResult {
    /// A complete answer, or a large one whose body is still streamed.
    Answer(Response<AnswerBody>),
    /// A complete answer with a server error; the request is idempotent and may succeed at another server.
    ServerError(Response<AnswerBody>),
    /// The server certainly did not execute the request.
    NotExecuted(Refusal, RetryReason),
    /// The server may have executed the request.
    MaybeExecuted(Refusal, RetryReason),
    /// The server made no progress and the attempt was abandoned. Its retry is already spent from the
    /// budgets.
    Silent,
    /// The request must not be sent to any server, because its key or its deadline forbids it.
    Refused(Refusal),
}

/// Body of a buffered answer, in an extension of the response, from which the outcome of an Idempotency-Key
/// is stored.
#[derive(Clone, Debug)]
pub struct BufferedAnswer(pub Bytes);

/// Attempts the job once at `server`. `number` makes the attempt's id unique. The permit is taken from
/// `permit` when it is returned early or handed to a streamed answer.
pub async fn run_attempt(
    job: &Arc<Job>,
    server: &Arc<ServerView>,
    limiter: &Arc<ConcurrencyLimiter>,
    permit: &mut Option<Permit>,
    number: usize,
) -> AttemptResult {
    let mut attempt = Attempt::new(job, server, limiter);
    let Some(id) = job.attempt_id(number) else {
        return AttemptResult::Refused(Refusal::BadRequest);
    };
    let mut reuse = if job.idempotent { ReusePolicy::Any } else { ReusePolicy::RecentlyUsed };
    let (rep, conn, maybe_executed_before) = loop {
        let Ok(mut conn) = job.shared.connections.acquire(server.info.addr, reuse).await else {
            attempt.finish(OutcomeKind::ConnectFailed, 0);
            return AttemptResult::NotExecuted(Refusal::ConnectFailed, RetryReason::Connect);
        };
        if let Err(refusal) = job.recheck_key() {
            return AttemptResult::Refused(refusal);
        }
        let left = job.deadline.saturating_duration_since(Instant::now());
        if left.as_millis() == 0 {
            return AttemptResult::Refused(Refusal::DeadlineTooShort);
        }
        let Some(req) = build_request(job, &id, left) else {
            return AttemptResult::NotExecuted(Refusal::ConnectFailed, RetryReason::Connect);
        };
        let maybe_executed_before = job.trace.record_sent(server);
        attempt.set_sent(conn.was_idle.then_some(conn.opened_at));
        match send_request(&mut conn, req, job, server, permit).await {
            SendResult::Head(rep) => break (rep, conn, maybe_executed_before),
            SendResult::NotWritten => {
                job.trace.set_maybe_executed(maybe_executed_before);
                if conn.is_reused && job.body.is_available() {
                    reuse = ReusePolicy::New;
                    continue;
                }
                attempt.finish(OutcomeKind::ConnectFailed, 0);
                return AttemptResult::NotExecuted(Refusal::ConnectFailed, RetryReason::Connect);
            }
            SendResult::Broken => {
                attempt.finish(OutcomeKind::Reset, 0);
                return maybe_executed(job, Refusal::Broken, RetryReason::Broken);
            }
            SendResult::Silent => {
                attempt.finish_silent();
                job.trace.set_maybe_executed(Some(Refusal::Broken));
                return AttemptResult::Silent;
            }
        }
    };
    attempt.set_first_byte();
    if !answers_attempt(&rep, &id) {
        attempt.finish(OutcomeKind::Mismatched, 0);
        return maybe_executed(job, Refusal::BadAnswer, RetryReason::BadAnswer);
    }
    match receive_answer(job, attempt, rep, conn, permit).await {
        AttemptResult::NotExecuted(refusal, reason) => {
            job.trace.set_maybe_executed(maybe_executed_before);
            AttemptResult::NotExecuted(refusal, reason)
        }
        result => result,
    }
}

fn maybe_executed(job: &Job, refusal: Refusal, reason: RetryReason) -> AttemptResult {
    job.trace.set_maybe_executed(Some(refusal));
    AttemptResult::MaybeExecuted(refusal, reason)
}

/// Result of sending a request on a connection.
enum SendResult {
    Head(Response<Incoming>),
    /// Nothing of the request was written.
    NotWritten,
    Broken,
    Silent,
}

/// Sends the request and waits for the answer's head.
///
/// Without progress, a request that may be retried is abandoned; any other one returns its permit and waits
/// on, so that one silent server can't hold all permits. Requests at the server itself stay bounded by its
/// slots.
async fn send_request(
    conn: &mut Conn,
    req: Request<RequestBody>,
    job: &Job,
    server: &ServerView,
    permit: &mut Option<Permit>,
) -> SendResult {
    let head = conn.sender.try_send_request(req);
    let mut head = std::pin::pin!(head);
    let timeout = progress_timeout(server);
    let mut progress_deadline = Instant::now() + timeout;
    loop {
        let result = tokio::time::timeout_at(progress_deadline.into(), &mut head).await;
        match result {
            Ok(Ok(rep)) => return SendResult::Head(rep),
            Ok(Err(mut e)) => {
                let was_written = e.take_message().is_none();
                return if was_written { SendResult::Broken } else { SendResult::NotWritten };
            }
            Err(_late) if may_retry_elsewhere(job) && job.spend_retry(RetryReason::Silent) => {
                return SendResult::Silent;
            }
            Err(_late) => {
                *permit = None;
                progress_deadline += timeout;
            }
        }
    }
}

fn may_retry_elsewhere(job: &Job) -> bool {
    job.idempotent && job.body.is_available()
}

fn build_request(job: &Job, id: &HeaderValue, left: Duration) -> Option<Request<RequestBody>> {
    let mut req = Request::new(job.body.for_attempt()?);
    *req.method_mut() = job.parts.method.clone();
    *req.uri_mut() = job.parts.uri.clone();
    *req.headers_mut() = job.parts.headers.clone();
    let headers = req.headers_mut();
    headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), id.clone());
    headers.insert(HeaderName::from_static(DEADLINE_HEADER), HeaderValue::from(left.as_millis() as u64));
    Some(req)
}

/// Whether the answer echoes the id of this attempt and its end can be recognised.
fn answers_attempt(rep: &Response<Incoming>, id: &HeaderValue) -> bool {
    let mut echoes = rep.headers().get_all(REQUEST_ID_HEADER).iter();
    let is_echoed = echoes.next() == Some(id) && echoes.next().is_none();
    let has_end = rep.body().size_hint().exact().is_some() || rep.headers().contains_key(TRANSFER_ENCODING);
    is_echoed && has_end && rep.status() != StatusCode::SWITCHING_PROTOCOLS
}

/// Receives the answer's body: buffers it, or streams it on if it exceeds [`MAX_BUFFERED_ANSWER_BYTES`].
async fn receive_answer(
    job: &Arc<Job>,
    mut attempt: Attempt,
    rep: Response<Incoming>,
    conn: Conn,
    permit: &mut Option<Permit>,
) -> AttemptResult {
    let (mut head, mut incoming) = rep.into_parts();
    let hint = incoming.size_hint();
    let mut buf = BytesMut::new();
    let read = match read_with_progress_timeout(job, &attempt, &mut incoming, &mut buf, permit).await {
        BodyResult::Read(read) => read,
        BodyResult::Truncated => {
            attempt.finish(OutcomeKind::Truncated, buf.len() as u64);
            return maybe_executed(job, Refusal::BadAnswer, RetryReason::BadAnswer);
        }
        BodyResult::Silent => {
            attempt.finish_silent();
            job.trace.set_maybe_executed(Some(Refusal::Broken));
            return AttemptResult::Silent;
        }
    };
    let is_shed = head.status == StatusCode::SERVICE_UNAVAILABLE
        && head.headers.get(RUN_HEADER).is_some_and(|v| v == "no");
    remove_server_headers(&mut head);
    match read {
        ReadResult::Complete(bytes) => {
            job.shared.connections.release(attempt.server().info.addr, conn);
            let kind = if is_shed { OutcomeKind::Shed } else { outcome_kind(head.status) };
            attempt.finish(kind, bytes.len() as u64);
            if is_shed {
                return AttemptResult::NotExecuted(Refusal::Shed, RetryReason::Shed);
            }
            let retry = job.idempotent && is_transient_error(head.status);
            let mut rep = Response::from_parts(head, body_from_bytes(bytes.clone()));
            rep.extensions_mut().insert(BufferedAnswer(bytes));
            if retry { AttemptResult::ServerError(rep) } else { AttemptResult::Answer(rep) }
        }
        ReadResult::Prefix(prefix) => {
            if let Some(permit) = permit.take() {
                attempt.hold_permit(permit);
            }
            let kind = outcome_kind(head.status);
            let body = RelayedAnswer::new(StreamedBody::new(prefix, incoming, hint), attempt, conn, kind);
            AttemptResult::Answer(Response::from_parts(head, body.boxed()))
        }
    }
}

/// Result of reading an answer's body.
enum BodyResult {
    Read(ReadResult),
    Truncated,
    Silent,
}

/// Reads the answer's body. Without progress, abandons the request or returns its permit as [`send_request`]
/// does.
async fn read_with_progress_timeout(
    job: &Job,
    attempt: &Attempt,
    incoming: &mut Incoming,
    buf: &mut BytesMut,
    permit: &mut Option<Permit>,
) -> BodyResult {
    let timeout = progress_timeout(attempt.server());
    let mut seen_bytes = 0;
    let mut progress_deadline = Instant::now() + timeout;
    loop {
        let reading = read_up_to(incoming, MAX_BUFFERED_ANSWER_BYTES, buf);
        match tokio::time::timeout_at(progress_deadline.into(), reading).await {
            Ok(Ok(read)) => return BodyResult::Read(read),
            Ok(Err(_broken)) => return BodyResult::Truncated,
            Err(_late) => {}
        }
        let is_stalled = buf.len() == seen_bytes;
        if is_stalled && may_retry_elsewhere(job) && job.spend_retry(RetryReason::Silent) {
            return BodyResult::Silent;
        }
        if is_stalled {
            *permit = None;
        }
        seen_bytes = buf.len();
        progress_deadline += timeout;
    }
}

/// Removes the headers that are meant for this daemon only. The ids for the caller are added with the answer.
fn remove_server_headers(head: &mut Head) {
    sanitize_answer(&mut head.headers);
    head.headers.remove(REQUEST_ID_HEADER);
    head.headers.remove(CALLER_ID_HEADER);
}

fn outcome_kind(status: StatusCode) -> OutcomeKind {
    match status.as_u16() {
        500.. => OutcomeKind::ServerError,
        400..=499 => OutcomeKind::ClientError,
        _ => OutcomeKind::Ok,
    }
}

fn is_transient_error(status: StatusCode) -> bool {
    matches!(status.as_u16(), 500 | 502 | 503 | 504)
}
