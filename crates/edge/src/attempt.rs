//! One try at one server: connect, send, match the answer, hold or stream it.

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

use crate::body::{MAX_HELD_ANSWER_BYTES, Read, Streamed, full, read};
use crate::gate::{Gate, Permit};
use crate::job::{CALLER_ID_HEADER, DEADLINE_HEADER, Job, REQUEST_ID_HEADER, Try, progress_time};
use crate::refuse::{AnswerBody, RUN_HEADER};
use crate::sanitize::sanitize_answer;
use crate::stream::Relay;
use crate::upstream::{Conn, Freshness, RequestBody};

/// How a try ended.
#[derive(Debug)]
pub enum Ended {
    /// A whole answer, or a large one whose beginning is here.
    Answer(Response<AnswerBody>),
    /// A whole answer with a server error that another server may do better.
    ServerError(Response<AnswerBody>),
    /// Proven not to have run.
    NotRun(Refusal, RetryReason),
    /// May have run.
    Doubtful(Refusal, RetryReason),
    /// Made no progress and was given up; its retry is paid for.
    Silent,
    /// The request may not run any more.
    Refused(Refusal),
}

/// The body of a held answer, kept as an extension for those who store outcomes.
#[derive(Clone, Debug)]
pub struct Held(pub Bytes);

/// Tries the job once at `server`.
pub async fn attempt(
    job: &Arc<Job>,
    server: &Arc<ServerView>,
    gate: &Arc<Gate>,
    permit: &mut Option<Permit>,
    number: usize,
) -> Ended {
    let mut run = Try::new(job, server, gate);
    let Some(id) = job.try_id(number) else {
        return Ended::Refused(Refusal::BadRequest);
    };
    let mut freshness = if job.repeatable { Freshness::Any } else { Freshness::JustUsed };
    let (rep, conn, doubt) = loop {
        let Ok(mut conn) = job.shared.connections.get(server.info.addr, freshness).await else {
            run.finish(OutcomeKind::ConnectFailed, 0);
            return Ended::NotRun(Refusal::ConnectFailed, RetryReason::Connect);
        };
        if let Err(refusal) = job.recheck() {
            return Ended::Refused(refusal);
        }
        let left = job.deadline.saturating_duration_since(Instant::now());
        if left.as_millis() == 0 {
            return Ended::Refused(Refusal::DeadlineTooShort);
        }
        let Some(req) = outgoing(job, &id, left) else {
            return Ended::NotRun(Refusal::ConnectFailed, RetryReason::Connect);
        };
        let doubt = job.trace.sent(server);
        run.set_sent(conn.was_idle.then_some(conn.opened));
        match send(&mut conn, req, job, server, permit).await {
            Sent::Head(rep) => break (rep, conn, doubt),
            Sent::NotWritten => {
                job.trace.set_doubt(doubt);
                if conn.is_reused && job.body.is_left() {
                    freshness = Freshness::Fresh;
                    continue;
                }
                run.finish(OutcomeKind::ConnectFailed, 0);
                return Ended::NotRun(Refusal::ConnectFailed, RetryReason::Connect);
            }
            Sent::Broken => {
                run.finish(OutcomeKind::Reset, 0);
                return doubtful(job, Refusal::Broken, RetryReason::Broken);
            }
            Sent::Silent => {
                run.finish_silent();
                job.trace.set_doubt(Some(Refusal::Broken));
                return Ended::Silent;
            }
        }
    };
    run.set_first_byte();
    if !is_matched(&rep, &id) {
        run.finish(OutcomeKind::Mismatched, 0);
        return doubtful(job, Refusal::BadAnswer, RetryReason::BadAnswer);
    }
    match receive(job, run, rep, conn, permit).await {
        Ended::NotRun(refusal, reason) => {
            job.trace.set_doubt(doubt);
            Ended::NotRun(refusal, reason)
        }
        ended => ended,
    }
}

fn doubtful(job: &Job, refusal: Refusal, reason: RetryReason) -> Ended {
    job.trace.set_doubt(Some(refusal));
    Ended::Doubtful(refusal, reason)
}

/// What became of a request on a connection.
enum Sent {
    Head(Response<Incoming>),
    /// Nothing of it was written.
    NotWritten,
    Broken,
    Silent,
}

/// A try without progress gives its permit back, so that one silent server can't hold all of them; requests
/// at the server itself stay bounded by its slots.
async fn send(
    conn: &mut Conn,
    req: Request<RequestBody>,
    job: &Job,
    server: &ServerView,
    permit: &mut Option<Permit>,
) -> Sent {
    let head = conn.sender.try_send_request(req);
    let mut head = std::pin::pin!(head);
    let wait = progress_time(server);
    let mut progress_at = Instant::now() + wait;
    loop {
        let sent = tokio::time::timeout_at(progress_at.into(), &mut head).await;
        match sent {
            Ok(Ok(rep)) => return Sent::Head(rep),
            Ok(Err(mut e)) => {
                let was_written = e.take_message().is_none();
                return if was_written { Sent::Broken } else { Sent::NotWritten };
            }
            Err(_late) if may_go_elsewhere(job) && job.spend_retry(RetryReason::Silent) => {
                return Sent::Silent;
            }
            Err(_late) => {
                *permit = None;
                progress_at += wait;
            }
        }
    }
}

fn may_go_elsewhere(job: &Job) -> bool {
    job.repeatable && job.body.is_left()
}

fn outgoing(job: &Job, id: &HeaderValue, left: Duration) -> Option<Request<RequestBody>> {
    let mut req = Request::new(job.body.for_try()?);
    *req.method_mut() = job.parts.method.clone();
    *req.uri_mut() = job.parts.uri.clone();
    *req.headers_mut() = job.parts.headers.clone();
    let headers = req.headers_mut();
    headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), id.clone());
    headers.insert(HeaderName::from_static(DEADLINE_HEADER), HeaderValue::from(left.as_millis() as u64));
    Some(req)
}

/// Whether the answer is for this try and its end can be told.
fn is_matched(rep: &Response<Incoming>, id: &HeaderValue) -> bool {
    let mut echoes = rep.headers().get_all(REQUEST_ID_HEADER).iter();
    let is_echoed = echoes.next() == Some(id) && echoes.next().is_none();
    let has_end = rep.body().size_hint().exact().is_some() || rep.headers().contains_key(TRANSFER_ENCODING);
    is_echoed && has_end && rep.status() != StatusCode::SWITCHING_PROTOCOLS
}

async fn receive(
    job: &Arc<Job>,
    mut run: Try,
    rep: Response<Incoming>,
    conn: Conn,
    permit: &mut Option<Permit>,
) -> Ended {
    let (mut head, mut incoming) = rep.into_parts();
    let hint = incoming.size_hint();
    let mut buf = BytesMut::new();
    let part = match read_patiently(job, &run, &mut incoming, &mut buf, permit).await {
        Received::Read(part) => part,
        Received::Cut => {
            run.finish(OutcomeKind::Truncated, buf.len() as u64);
            return doubtful(job, Refusal::BadAnswer, RetryReason::BadAnswer);
        }
        Received::Silent => {
            run.finish_silent();
            job.trace.set_doubt(Some(Refusal::Broken));
            return Ended::Silent;
        }
    };
    let is_shed = head.status == StatusCode::SERVICE_UNAVAILABLE
        && head.headers.get(RUN_HEADER).is_some_and(|v| v == "no");
    restore(&mut head);
    match part {
        Read::Whole(bytes) => {
            job.shared.connections.give_back(run.server().info.addr, conn);
            let kind = if is_shed { OutcomeKind::Shed } else { kind_of(head.status) };
            run.finish(kind, bytes.len() as u64);
            if is_shed {
                return Ended::NotRun(Refusal::Shed, RetryReason::Shed);
            }
            let retry = job.repeatable && is_transient(head.status);
            let mut rep = Response::from_parts(head, full(bytes.clone()));
            rep.extensions_mut().insert(Held(bytes));
            if retry { Ended::ServerError(rep) } else { Ended::Answer(rep) }
        }
        Read::Part(first) => {
            if let Some(permit) = permit.take() {
                run.keep(permit);
            }
            let kind = kind_of(head.status);
            let relay = Relay::new(Streamed::new(first, incoming, hint), run, conn, kind);
            Ended::Answer(Response::from_parts(head, relay.boxed()))
        }
    }
}

/// What came of an answer's body.
enum Received {
    Read(Read),
    Cut,
    Silent,
}

async fn read_patiently(
    job: &Job,
    run: &Try,
    incoming: &mut Incoming,
    buf: &mut BytesMut,
    permit: &mut Option<Permit>,
) -> Received {
    let wait = progress_time(run.server());
    let mut seen = 0;
    let mut progress_at = Instant::now() + wait;
    loop {
        let reading = read(incoming, MAX_HELD_ANSWER_BYTES, buf);
        match tokio::time::timeout_at(progress_at.into(), reading).await {
            Ok(Ok(part)) => return Received::Read(part),
            Ok(Err(_cut)) => return Received::Cut,
            Err(_late) => {}
        }
        let is_stuck = buf.len() == seen;
        if is_stuck && may_go_elsewhere(job) && job.spend_retry(RetryReason::Silent) {
            return Received::Silent;
        }
        if is_stuck {
            *permit = None;
        }
        seen = buf.len();
        progress_at += wait;
    }
}

/// Takes away what concerns the server only; the caller's own id is put back with the answer.
fn restore(head: &mut Head) {
    sanitize_answer(&mut head.headers);
    head.headers.remove(REQUEST_ID_HEADER);
    head.headers.remove(CALLER_ID_HEADER);
}

fn kind_of(status: StatusCode) -> OutcomeKind {
    match status.as_u16() {
        500.. => OutcomeKind::ServerError,
        400..=499 => OutcomeKind::ClientError,
        _ => OutcomeKind::Ok,
    }
}

fn is_transient(status: StatusCode) -> bool {
    matches!(status.as_u16(), 500 | 502 | 503 | 504)
}
