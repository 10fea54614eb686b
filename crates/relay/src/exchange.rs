//! Sends one request to the server and judges the answer.

use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use health::RequestOutcome;
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tokio::time::{sleep_until, timeout_at};

use crate::body::{Body, MAX_BUFFERED_BYTES, STREAM_THRESHOLD_BYTES, buffer_body};
use crate::handoff::{DeclineReason, Handoff, RunError};
use crate::header_names::HeaderNames;
use crate::pool::Conn;
use crate::slot::RunningRequest;

/// Multiple of the expected run time after which a request counts as a failure of its server.
pub(crate) const OVERDUE_FACTOR: u32 = 5;
/// Statuses of final answers. Any other one tells nothing of the request: HTTP doesn't define it, or it belongs to an
/// interim answer or to a change of protocol that nobody asked for.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Time past the deadline in which an answer of the server is still accepted.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// A request that has a slot and a connection to the server.
#[derive(Debug)]
pub(crate) struct ServerExchange<'a> {
    pub(crate) handoff: &'a Handoff,
    pub(crate) run: RunningRequest,
    pub(crate) conn: Conn,
    /// When the connection was ready, right before the request is sent.
    pub(crate) sent_at: Instant,
    pub(crate) expected_run: Duration,
    pub(crate) deadline: Instant,
}

impl ServerExchange<'_> {
    /// Sends the request and returns the server's answer.
    ///
    /// # Errors
    /// Returns why there is no usable answer, and whether the request may have run.
    pub(crate) async fn run(mut self, mut req: Request<Bytes>) -> Result<Response<Body>, RunError> {
        let local_server = Rc::clone(&self.run.local_server);
        let id = req.headers().get(&local_server.header_names.request_id).cloned();
        set_headers(
            req.headers_mut(),
            &local_server.header_names,
            self.handoff,
            &self.run.server,
            self.deadline,
        );
        let rep = self.send(req.map(Full::new)).await?;
        if !FINAL_STATUSES.contains(&rep.status().as_u16()) {
            return Err(self.record_broken());
        }
        if rep.headers().get(&local_server.header_names.request_id) != id.as_ref() {
            // An answer that doesn't name this request tells nothing about it, not even that it was shed.
            return Err(self.record_broken());
        }
        if rep.headers().contains_key(&local_server.header_names.not_run)
            || rep.status() == StatusCode::MISDIRECTED_REQUEST
        {
            local_server.record_arrival(true);
            if rep.status() == StatusCode::MISDIRECTED_REQUEST {
                self.run.take_back_start();
            }
            return Err(RunError::declined(DeclineReason::Shed));
        }
        local_server.record_arrival(false);
        let is_signed = rep.headers().contains_key(&local_server.header_names.signature);
        if rep.status().is_success() && !is_signed {
            return Err(self.record_broken());
        }
        self.read_body(rep).await
    }

    /// Sends the request and waits for the head of the answer.
    async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, RunError> {
        let local_server = Rc::clone(&self.run.local_server);
        let overdue_after = (self.expected_run * OVERDUE_FACTOR).max(self.handoff.objective_left);
        let mut response = std::pin::pin!(self.conn.sender().send_request(req));
        let overdue_at = self.sent_at + overdue_after;
        let answer_until = self.deadline + DEADLINE_SLACK;
        if let Ok(rep) = timeout_at(overdue_at.min(answer_until).into(), response.as_mut()).await {
            return rep.map_err(|_broken| self.record_broken());
        }
        if overdue_at < answer_until {
            // The server is slow, but the request goes on: only the caller's daemon knows whether another
            // server has answered it.
            local_server.record_outcome(RequestOutcome::Failure, Instant::now());
        }
        tokio::select! {
            rep = response => rep.map_err(|_broken| self.record_broken()),
            () = sleep_until(answer_until.into()) => {
                if overdue_at >= answer_until {
                    local_server.record_outcome(RequestOutcome::Failure, Instant::now());
                }
                Err(RunError::Overdue)
            }
        }
    }

    /// Records a failure of the server: the answer broke off or belongs to another request.
    fn record_broken(&self) -> RunError {
        let now = Instant::now();
        let took = now.saturating_duration_since(self.sent_at);
        self.run.local_server.record_outcome(RequestOutcome::failure(took, self.expected_run), now);
        RunError::Broken
    }

    /// Buffers a small body until it is complete, and streams a large one.
    async fn read_body(self, rep: Response<Incoming>) -> Result<Response<Body>, RunError> {
        let Self { mut run, conn, sent_at, expected_run, deadline, .. } = self;
        let local_server = Rc::clone(&run.local_server);
        let (mut parts, body) = rep.into_parts();
        run.keep_alive = keep_alive_timeout(&parts.headers);
        edge::sanitize::sanitize_answer(&mut parts.headers);
        parts.headers.remove(&local_server.header_names.server_load);
        let until = deadline + DEADLINE_SLACK;
        let is_small = body.size_hint().upper().is_none_or(|bytes| bytes <= STREAM_THRESHOLD_BYTES);
        if !is_small {
            run.conn = Some(conn);
            return Ok(Response::from_parts(parts, Body::streamed(body, run, until)));
        }
        let buffered = timeout_at(until.into(), buffer_body(body, MAX_BUFFERED_BYTES)).await;
        let now = Instant::now();
        let took = now.saturating_duration_since(sent_at);
        let buffered = buffered
            .map_err(|late| late.to_string())
            .and_then(|buffered| buffered.map_err(|e| e.to_string()));
        let bytes = buffered.map_err(|problem| {
            log::debug!("answer of server {} not usable: {problem}", run.server);
            local_server.record_outcome(RequestOutcome::failure(took, expected_run), now);
            RunError::Broken
        })?;
        if parts.status.is_server_error() {
            if !local_server.may_be_failed_call(sent_at) {
                local_server.record_outcome(RequestOutcome::failure(took, expected_run), now);
            }
            local_server.pool.put(conn, run.keep_alive, now);
        } else {
            run.conn = Some(conn);
            if let Some(run_time) = run.finish(true, now) {
                parts.extensions.insert(run_time);
            }
        }
        Ok(Response::from_parts(parts, Body::whole(bytes)))
    }
}

fn set_headers(
    headers: &mut HeaderMap,
    names: &HeaderNames,
    handoff: &Handoff,
    server: &str,
    deadline: Instant,
) {
    let left_ms = deadline.saturating_duration_since(Instant::now()).as_millis().max(1) as u64;
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
    headers.remove(&names.customer);
    let mut set = |name, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name, value);
        }
    };
    set(names.expected_server.clone(), server);
    set(names.caller_service.clone(), &handoff.caller_service);
    if let Some(customer) = &handoff.customer {
        set(names.customer.clone(), customer);
    }
}

/// Idle timeout from the server's `keep-alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
