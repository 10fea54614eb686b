//! One request's way: admit, take tokens, choose a server, send, retry, answer.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::{Refusal, RetryReason, ServerId};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use kernel::{Outcome, OutcomeKind, Report, ServerView, Take, View};
use rand::SeedableRng;
use smallvec::SmallVec;

use crate::admit::{Admitted, admit, strip_key};
use crate::refuse::{AnswerBody, REASON_HEADER, RUN_HEADER, response};
use crate::shared::Shared;
use crate::upstream::SendError;

/// Header with the request's id; a server echoes it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the milliseconds left for the request.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Tries for a request that may run more than once.
const MAX_TRIES: usize = 3;
/// Longest wait for tokens.
const TOKEN_WAIT: Duration = Duration::from_millis(500);

/// Why a request is refused, with the time after which it may succeed.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    refusal: Refusal,
    retry_at: Option<Instant>,
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, retry_at: None }
    }
}

/// Serves one request of a caller.
pub async fn serve(shared: Arc<Shared>, req: Request<Incoming>) -> Response<AnswerBody> {
    shared.metrics.requests.inc();
    let timer = shared.metrics.seconds.start_timer();
    let rep = match try_serve(&shared, req).await {
        Ok(rep) => rep,
        Err(refused) => {
            shared.metrics.refusals.with_label_values(&[refused.refusal.code()]).inc();
            let wait = refused.retry_at.map(|at| at.saturating_duration_since(Instant::now()));
            response(refused.refusal, wait)
        }
    };
    timer.observe_duration();
    rep
}

async fn try_serve(shared: &Shared, req: Request<Incoming>) -> Result<Response<AnswerBody>, Refused> {
    let view = shared.view.load_full();
    if view.stopping {
        return Err(Refusal::Stopping.into());
    }
    let (parts, body) = req.into_parts();
    let admitted = admit(&view, &shared.hasher, &parts, Instant::now())?;
    take_tokens(shared, &admitted).await?;
    let body = body.collect().await.map_err(|_gone| Refusal::BadRequest)?.to_bytes();
    let deadline = Instant::now() + timeout(&parts, &admitted);
    let work = run(shared, &view, &admitted, &parts, body);
    tokio::time::timeout_at(deadline.into(), work).await.unwrap_or(Err(Refusal::TimedOut.into()))
}

fn timeout(parts: &Parts, admitted: &Admitted) -> Duration {
    let stated = parts.headers.get(DEADLINE_HEADER).and_then(|v| v.to_str().ok()?.parse().ok());
    stated.map_or(admitted.route.timeout, |ms| Duration::from_millis(ms).min(admitted.route.timeout))
}

async fn take_tokens(shared: &Shared, admitted: &Admitted) -> Result<(), Refused> {
    let Some(customer) = &admitted.customer else {
        return Ok(());
    };
    let pool = shared.pools.get(customer).ok_or(Refusal::TokensUnconfirmed)?;
    let until = Instant::now() + TOKEN_WAIT;
    loop {
        let changed = pool.changed();
        match pool.take(admitted.route.cost, Instant::now()) {
            Take::Taken => return Ok(()),
            Take::OverRate(at) => {
                return Err(Refused { refusal: Refusal::OverRate, retry_at: Some(at) });
            }
            Take::Empty => {
                shared.report(Report::Demand { customer: customer.clone(), tokens: admitted.route.cost });
                if tokio::time::timeout_at(until.into(), changed).await.is_err() {
                    return Err(Refusal::TokensUnconfirmed.into());
                }
            }
        }
    }
}

async fn run(
    shared: &Shared,
    view: &View,
    admitted: &Admitted,
    parts: &Parts,
    body: Bytes,
) -> Result<Response<AnswerBody>, Refused> {
    let service = view.services.get(&admitted.route.service).ok_or(Refusal::NoServer)?;
    let repeatable = admitted.route.is_repeatable(parts.method.as_str());
    let mut rng = rand::rngs::SmallRng::from_rng(&mut rand::rng());
    let mut tried: SmallVec<[ServerId; MAX_TRIES]> = SmallVec::new();
    let mut last = Refusal::NoServer;
    while tried.len() < MAX_TRIES {
        let want = route::Want {
            place: &view.place,
            tried: &tried,
            repeatable,
            cross_region: service.service.cross_region,
            now: Instant::now(),
        };
        let Some(server) = route::choose(&service.servers, &want, &mut rng) else {
            break;
        };
        tried.push(server.info.id.clone());
        let (refusal, reason) = match send(shared, admitted, server, parts, body.clone(), !repeatable).await {
            Ok(rep) => return Ok(rep),
            Err(failed) => failed,
        };
        last = refusal;
        if !repeatable && refusal.run() == base::Run::Unknown {
            break;
        }
        shared.metrics.retries.with_label_values(&[reason.code()]).inc();
    }
    Err(last.into())
}

async fn send(
    shared: &Shared,
    admitted: &Admitted,
    server: &Arc<ServerView>,
    parts: &Parts,
    body: Bytes,
    fresh: bool,
) -> Result<Response<AnswerBody>, (Refusal, RetryReason)> {
    let started = Instant::now();
    let _in_flight = InFlight::enter(server);
    let req = outgoing(parts, body);
    let sent = shared.connections.send(server.info.addr, req, fresh).await;
    let finish = |kind, bytes| report(shared, admitted, server, kind, started, bytes);
    let (rep, sender) = match sent {
        Ok(ok) => ok,
        Err(SendError::Connect) => {
            finish(OutcomeKind::ConnectFailed, 0);
            return Err((Refusal::ConnectFailed, RetryReason::Connect));
        }
        Err(SendError::Broken) => {
            finish(OutcomeKind::Reset, 0);
            return Err((Refusal::Broken, RetryReason::Broken));
        }
    };
    let (head, incoming) = rep.into_parts();
    let Ok(collected) = incoming.collect().await else {
        finish(OutcomeKind::Truncated, 0);
        return Err((Refusal::BadAnswer, RetryReason::BadAnswer));
    };
    let bytes = collected.to_bytes();
    shared.connections.give_back(server.info.addr, sender);
    if head.status.as_u16() == 503 && head.headers.get(RUN_HEADER).is_some_and(|v| v == "no") {
        finish(OutcomeKind::Shed, 0);
        return Err((Refusal::Shed, RetryReason::Shed));
    }
    let kind = match head.status.as_u16() {
        500.. => OutcomeKind::ServerError,
        400..=499 => OutcomeKind::ClientError,
        _ => OutcomeKind::Ok,
    };
    finish(kind, bytes.len() as u64);
    let mut head = head;
    head.headers.remove(REASON_HEADER);
    head.headers.remove(RUN_HEADER);
    Ok(Response::from_parts(head, Full::new(bytes).map_err(|never| match never {}).boxed()))
}

fn outgoing(parts: &Parts, body: Bytes) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = parts.method.clone();
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    *req.uri_mut() = path.parse().unwrap_or_default();
    *req.headers_mut() = parts.headers.clone();
    strip_key(req.headers_mut());
    req
}

fn report(
    shared: &Shared,
    admitted: &Admitted,
    server: &Arc<ServerView>,
    kind: OutcomeKind,
    started: Instant,
    bytes: u64,
) {
    let at = Instant::now();
    let total = at - started;
    if kind == OutcomeKind::Ok {
        server.cell.observe_latency(total.as_micros() as u32);
    }
    shared.report(Report::Outcome(Outcome {
        server: Arc::clone(server),
        customer: admitted.customer.clone(),
        kind,
        first_byte: total,
        total,
        bytes,
        at,
    }));
}

/// Counts a request in flight for as long as it lives.
struct InFlight<'a>(&'a ServerView);

impl<'a> InFlight<'a> {
    fn enter(server: &'a ServerView) -> Self {
        server.cell.in_flight.fetch_add(1, Relaxed);
        Self(server)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.cell.in_flight.fetch_sub(1, Relaxed);
    }
}
