//! A request at the server: sends it, and judges what comes back.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use health::RequestOutcome;
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tokio::time::{sleep_until, timeout_at};

use crate::body::{Body, HOLD_BYTES, MAX_HELD_BYTES, hold};
use crate::handoff::{Order, Reason, Verdict};
use crate::names::Names;
use crate::pool::Conn;
use crate::slot::Run;

/// How many times its expected time a run takes before it counts as a failure.
pub(crate) const OVERDUE_FACTOR: u32 = 5;
/// Time past the deadline in which the server's own answer still counts.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// A request that has its slot and its connection.
#[derive(Debug)]
pub(crate) struct Sent<'a> {
    pub(crate) order: &'a Order,
    pub(crate) run: Run,
    pub(crate) conn: Conn,
    /// When the connection was ready.
    pub(crate) asked: Instant,
    /// Time that the run is expected to take.
    pub(crate) expected: Duration,
    pub(crate) deadline: Instant,
}

impl Sent<'_> {
    /// Sends the request and returns the server's answer.
    ///
    /// # Errors
    /// Fails with what became of the request instead.
    pub(crate) async fn finish(mut self, mut req: Request<Bytes>) -> Result<Response<Body>, Verdict> {
        let exit = Rc::clone(&self.run.exit);
        let id = req.headers().get(&exit.names.request_id).cloned();
        set_headers(req.headers_mut(), &exit.names, self.order, &self.run.server, self.deadline);
        let rep = self.head(req.map(Full::new)).await?;
        let named = rep.headers().get(&exit.names.request_id);
        if named.is_some() && named != id.as_ref() {
            // An answer to another request says nothing about this one, not even that it has not run.
            return Err(self.broken());
        }
        if rep.headers().contains_key(&exit.names.not_run) || rep.status() == StatusCode::MISDIRECTED_REQUEST
        {
            exit.note_arrival(true);
            return Err(Verdict::declined(Reason::Shed));
        }
        exit.note_arrival(false);
        let is_named = rep.headers().get(&exit.names.request_id) == id.as_ref();
        let is_signed = rep.headers().contains_key(&exit.names.signature);
        if !is_named || (rep.status().is_success() && !is_signed) {
            return Err(self.broken());
        }
        self.body(rep).await
    }

    /// Sends the request and waits for the head of the answer.
    async fn head(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, Verdict> {
        let exit = Rc::clone(&self.run.exit);
        let patience = (self.expected * OVERDUE_FACTOR).max(self.order.objective_left);
        let mut answered = std::pin::pin!(self.conn.sender().send_request(req));
        let overdue = self.asked + patience;
        let last = self.deadline + DEADLINE_SLACK;
        if let Ok(rep) = timeout_at(overdue.min(last).into(), answered.as_mut()).await {
            return rep.map_err(|_broken| self.broken());
        }
        if overdue < last {
            // The run goes on: whether another server has answered is known to the caller's daemon only.
            exit.observe(RequestOutcome::Failure, Instant::now());
        }
        tokio::select! {
            rep = answered => rep.map_err(|_broken| self.broken()),
            () = sleep_until(last.into()) => {
                if overdue >= last {
                    exit.observe(RequestOutcome::Failure, Instant::now());
                }
                Err(Verdict::Overdue)
            }
        }
    }

    /// Takes in that the answer broke off or is not that of the request.
    fn broken(&self) -> Verdict {
        let now = Instant::now();
        let took = now.saturating_duration_since(self.asked);
        self.run.exit.observe(RequestOutcome::failure(took, self.expected), now);
        Verdict::Broken
    }

    /// Holds a small body until it is whole; passes a large one on.
    async fn body(self, rep: Response<Incoming>) -> Result<Response<Body>, Verdict> {
        let Self { mut run, conn, asked, expected, deadline, .. } = self;
        let exit = Rc::clone(&run.exit);
        let (mut parts, body) = rep.into_parts();
        run.keep_alive = keep_alive(&parts.headers);
        edge::sanitize::sanitize_answer(&mut parts.headers);
        parts.headers.remove(&exit.names.server_load);
        let until = deadline + DEADLINE_SLACK;
        let is_small = body.size_hint().upper().is_none_or(|bytes| bytes <= HOLD_BYTES);
        if !is_small {
            run.conn = Some(conn);
            return Ok(Response::from_parts(parts, Body::passing(body, Some(run), until)));
        }
        let held = timeout_at(until.into(), hold(body, MAX_HELD_BYTES)).await;
        let now = Instant::now();
        let took = now.saturating_duration_since(asked);
        let held = held.map_err(|late| late.to_string()).and_then(|held| held.map_err(|e| e.to_string()));
        let bytes = held.map_err(|problem| {
            log::debug!("answer of {}: {problem}", run.server);
            exit.observe(RequestOutcome::failure(took, expected), now);
            Verdict::Broken
        })?;
        if parts.status.is_server_error() {
            exit.observe(RequestOutcome::failure(took, expected), now);
            exit.pool.put(conn, run.keep_alive, now);
        } else {
            run.conn = Some(conn);
            run.finish(true, now);
        }
        Ok(Response::from_parts(parts, Body::whole(bytes)))
    }
}

fn set_headers(headers: &mut HeaderMap, names: &Names, order: &Order, server: &str, deadline: Instant) {
    let left = deadline.saturating_duration_since(Instant::now()).as_millis().max(1) as u64;
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left));
    headers.remove(&names.customer);
    let mut set = |name, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name, value);
        }
    };
    set(names.expected_server.clone(), server);
    set(names.caller_service.clone(), &order.caller_service);
    if let Some(customer) = &order.customer {
        set(names.customer.clone(), customer);
    }
}

/// The idle timeout that a server states, in whole seconds.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let stated = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = stated.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
