//! Handles one request: admits it, takes tokens, buffers the body, queues, chooses servers, retries, answers.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::{Executed, Refusal, RetryReason, ServerId, event};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use kernel::{Report, ServerView, ServiceView, TakeResult, TokenPool, View};
use rand::SeedableRng;
use smallvec::SmallVec;

use crate::admit::{Admitted, admit_request};
use crate::attempt::{AttemptResult, run_attempt};
use crate::body::buffer_request;
use crate::dedupe;
use crate::explain::Trace;
use crate::job::{DEADLINE_HEADER, Job, REQUEST_ID_HEADER};
use crate::limiter::{ConcurrencyLimiter, Permit, QueueRequest};
use crate::listen::CallerConn;
use crate::refuse::{AnswerBody, POMELO_ID_HEADER, refusal_response};
use crate::sanitize;
use crate::state::EdgeState;

/// Attempts per request that may reach a server.
const MAX_SENT_ATTEMPTS: usize = 3;
/// Attempts per request, including those that could not connect to a server.
const MAX_ATTEMPTS: usize = 6;
/// Longest wait for the customer's tokens.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(500);
/// Longest pause between attempts to choose a server while no server can take the request.
const MAX_BUSY_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait of a request for the configuration or the first server of its service, which a daemon that
/// has just started may not know yet.
const MAX_STARTUP_WAIT: Duration = Duration::from_secs(1);
/// Weight in the fair queue of all callers of open routes together, in the unit of customers' rates.
const OPEN_ROUTES_WEIGHT: f64 = 100.0;

/// Why a request is refused, and from when on it may succeed (`None`: not known).
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
pub async fn serve_request(
    shared: Arc<EdgeState>,
    caller: Arc<CallerConn>,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    shared.metrics.requests.inc();
    let timer = shared.metrics.request_seconds.start_timer();
    let caller_id = req.headers().get(REQUEST_ID_HEADER).and_then(|v| v.to_str().ok()).map(Box::from);
    let trace = Arc::new(Trace::new(shared.request_ids.next(), caller_id));
    shared.traces.push(Arc::clone(&trace));
    let mut caller_gone = CallerGoneGuard { shared: &shared, trace: &trace, is_answered: false };
    let is_http1 = req.version() < hyper::Version::HTTP_2;
    // Requests after a chunked body would not be inspected for ambiguous framing.
    let closes_connection = req.headers().contains_key(TRANSFER_ENCODING) || caller.is_ambiguous();
    let mut rep = match handle_request(&shared, &caller, &trace, req).await {
        Ok(rep) => {
            trace.set_end("answered");
            rep
        }
        Err(refused) => refuse(&shared, &trace, refused),
    };
    caller_gone.is_answered = true;
    set_id_headers(rep.headers_mut(), &trace);
    timer.observe_duration();
    if is_http1 && (closes_connection || shared.draining.load(Relaxed)) {
        rep.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    rep
}

fn refuse(shared: &EdgeState, trace: &Trace, refused: Refused) -> Response<AnswerBody> {
    let refusal = trace.adjust_refusal(refused.refusal);
    shared.metrics.refusals.with_label_values(&[refusal.code()]).inc();
    event!(Debug, RequestRefused, "id={} reason={}", trace.id, refusal.code());
    trace.set_end(refusal.code());
    let wait = refused.retry_at.map(|at| at.saturating_duration_since(Instant::now()));
    refusal_response(refusal, wait)
}

/// Adds the request's id as the caller knows it (its own, or else the daemon's) and the daemon's id.
fn set_id_headers(headers: &mut HeaderMap, trace: &Trace) {
    let daemon_id = HeaderValue::from_str(&trace.id).ok();
    let caller_id = trace.caller_id.as_ref().and_then(|id| HeaderValue::from_str(id).ok());
    if let Some(id) = caller_id.or_else(|| daemon_id.clone()) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    if let Some(id) = daemon_id {
        headers.insert(POMELO_ID_HEADER, id);
    }
}

/// Counts the request as cancelled when it is dropped before its answer, because the caller is gone.
struct CallerGoneGuard<'a> {
    shared: &'a EdgeState,
    trace: &'a Trace,
    is_answered: bool,
}

impl Drop for CallerGoneGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.trace.set_end("caller-gone");
            self.shared.metrics.cancelled_requests.inc();
            event!(Debug, CallerGone, "id={}", self.trace.id);
        }
    }
}

async fn handle_request(
    shared: &Arc<EdgeState>,
    caller: &CallerConn,
    trace: &Arc<Trace>,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Refused> {
    let now = Instant::now();
    if caller.is_ambiguous() {
        return Err(Refusal::BadRequest.into());
    }
    let (parts, body) = req.into_parts();
    sanitize::check_request(&parts)?;
    wait_for_conf(shared).await;
    let admitted = admit_request(&shared.view.load(), &shared.hasher, &parts, now)?;
    trace.set_route(&admitted.route.name, admitted.customer.as_ref());
    caller.set_key(admitted.key);
    let deadline = now + request_timeout(&parts, &admitted)?;
    dedupe::check_idempotency_key(&admitted, &parts)?;
    let prepared = async {
        take_tokens(shared, &admitted).await?;
        let body = buffer_request(body).await.map_err(|_broken| Refusal::BadRequest)?;
        Ok(Job::new(Arc::clone(shared), Arc::clone(trace), admitted.clone(), parts, body, deadline)?)
    };
    let job = Arc::new(with_deadline(deadline, trace, prepared).await?);
    if dedupe::needs_claim(&job) {
        // The claim's own task enforces the deadline. If it were enforced here too, the caller could be
        // answered "not run" while that task is about to send the request.
        return dedupe::run_once(job).await;
    }
    with_deadline(deadline, trace, queue_and_send(&job)).await
}

/// Drops the work at the deadline and refuses the request according to whether it may have run.
pub(crate) async fn with_deadline<T>(
    deadline: Instant,
    trace: &Trace,
    work: impl Future<Output = Result<T, Refused>>,
) -> Result<T, Refused> {
    match tokio::time::timeout_at(deadline.into(), work).await {
        Ok(done) => done,
        Err(_late) if trace.may_have_executed() => Err(Refusal::TimedOut.into()),
        Err(_late) => Err(Refusal::DeadlineTooShort.into()),
    }
}

/// Waits for the configuration in a daemon that has just started.
async fn wait_for_conf(shared: &EdgeState) {
    if shared.view.load().conf.is_some() {
        return;
    }
    let mut key_changes = shared.key_epoch.subscribe();
    let conf_known = key_changes.wait_for(|_| shared.view.load().conf.is_some());
    let _ = tokio::time::timeout(MAX_STARTUP_WAIT, conf_known).await;
}

fn request_timeout(parts: &Parts, admitted: &Admitted) -> Result<Duration, Refusal> {
    let Some(stated) = parts.headers.get(DEADLINE_HEADER) else {
        return Ok(admitted.route.timeout);
    };
    let ms = stated.to_str().ok().and_then(|v| v.parse().ok()).ok_or(Refusal::BadRequest)?;
    Ok(Duration::from_millis(ms).min(admitted.route.timeout))
}

async fn take_tokens(shared: &EdgeState, admitted: &Admitted) -> Result<(), Refused> {
    let Some(customer) = &admitted.customer else {
        return Ok(());
    };
    let pool: Arc<TokenPool> = shared.token_pools.get(customer).ok_or(Refusal::TokensUnconfirmed)?;
    let until = Instant::now() + MAX_TOKEN_WAIT;
    loop {
        let mut changed = std::pin::pin!(pool.changed());
        // The first poll registers this waiter, so that a refill between `take` and the wait is not missed.
        let _ = futures_util::poll!(changed.as_mut());
        match pool.take(admitted.route.cost, Instant::now()) {
            TakeResult::Taken => return Ok(()),
            TakeResult::OverRate(at) => {
                return Err(Refused { refusal: Refusal::OverRate, retry_at: Some(at) });
            }
            TakeResult::Empty => {
                shared.report(Report::Demand { customer: customer.clone(), tokens: admitted.route.cost });
                if tokio::time::timeout_at(until.into(), changed).await.is_err() {
                    let is_stopping = shared.draining.load(Relaxed);
                    let refusal = if is_stopping { Refusal::Stopping } else { Refusal::TokensUnconfirmed };
                    return Err(refusal.into());
                }
            }
        }
    }
}

/// Waits for a permit and attempts the request at servers, one after the other.
pub(crate) async fn queue_and_send(job: &Arc<Job>) -> Result<Response<AnswerBody>, Refused> {
    let shared = &job.shared;
    let view = shared.view.load_full();
    let service = view.services.get(job.service()).ok_or(Refusal::NoServer)?;
    let limiter = shared.limiters.get(&service.service, &shared.metrics);
    limiter.set_bounds(service, &view.place, view.region_daemons);
    let mut permit = Some(wait_in_queue(job, &view, &limiter).await?);
    shared.retry_budgets.record_request(job.admitted.customer_name(), job.service());
    attempt_servers(job, &limiter, &mut permit).await
}

/// Waits in the fair queue; the wait fails when the key becomes invalid.
async fn wait_in_queue(job: &Job, view: &View, limiter: &Arc<ConcurrencyLimiter>) -> Result<Permit, Refusal> {
    let customer = job.admitted.customer_name();
    let customer_conf = view.conf.as_ref().and_then(|c| c.customers.get(customer));
    let request = QueueRequest {
        customer,
        weight: customer_conf.map_or(OPEN_ROUTES_WEIGHT, |c| c.rate),
        cost: job.admitted.route.cost,
        deadline: job.deadline,
    };
    let mut key_changes = job.shared.key_epoch.subscribe();
    let mut acquired = std::pin::pin!(limiter.acquire(request));
    loop {
        tokio::select! {
            biased;
            permit = &mut acquired => return permit,
            _ = key_changes.changed() => job.recheck_key()?,
        }
    }
}

/// Attempts the request at one server after the other, until one answers or no further attempt is allowed.
/// Answers with the last server error if no later attempt succeeded. A request that is not idempotent is not
/// repeated after an attempt that may have executed it.
async fn attempt_servers(
    job: &Arc<Job>,
    limiter: &Arc<ConcurrencyLimiter>,
    permit: &mut Option<Permit>,
) -> Result<Response<AnswerBody>, Refused> {
    let mut tried: SmallVec<[ServerId; MAX_ATTEMPTS]> = SmallVec::new();
    let mut sent_attempts = 0;
    let mut last_refusal = Refusal::NoServer;
    let mut fallback = None;
    while sent_attempts < MAX_SENT_ATTEMPTS && tried.len() < MAX_ATTEMPTS && job.body.is_available() {
        let Some(server) = choose_server(job, limiter, &tried).await? else {
            break;
        };
        tried.push(server.info.id.clone());
        let reason = match run_attempt(job, &server, limiter, permit, tried.len()).await {
            AttemptResult::Answer(rep) => return Ok(rep),
            AttemptResult::Refused(refusal) => return Err(refusal.into()),
            AttemptResult::ServerError(rep) => {
                fallback = Some(rep);
                Some(RetryReason::ServerError)
            }
            AttemptResult::MaybeExecuted(refusal, _) if !job.idempotent => return Err(refusal.into()),
            AttemptResult::NotExecuted(refusal, reason) | AttemptResult::MaybeExecuted(refusal, reason) => {
                last_refusal = refusal;
                Some(reason)
            }
            AttemptResult::Silent => {
                last_refusal = Refusal::Broken;
                None
            }
        };
        if reason != Some(RetryReason::Connect) {
            sent_attempts += 1;
        }
        if sent_attempts == MAX_SENT_ATTEMPTS || !has_untried_server(job, &tried) {
            break;
        }
        if let Some(reason) = reason
            && !job.spend_retry(reason)
        {
            if last_refusal.executed() == Executed::No && fallback.is_none() {
                last_refusal = Refusal::RetryBudget;
            }
            break;
        }
        count_retry(job, reason.unwrap_or(RetryReason::Silent));
    }
    fallback.ok_or(last_refusal.into())
}

fn count_retry(job: &Job, reason: RetryReason) {
    job.shared.metrics.retries.with_label_values(&[reason.code()]).inc();
    job.trace.record_step("retry", None);
    event!(Debug, RequestRetried, "id={} reason={}", job.trace.id, reason.code());
}

/// Chooses a server that is not in `tried`; waits while all of them are busy. `None` if none is left.
async fn choose_server(
    job: &Job,
    limiter: &ConcurrencyLimiter,
    tried: &[ServerId],
) -> Result<Option<Arc<ServerView>>, Refusal> {
    let mut rng = rand::rngs::SmallRng::from_rng(&mut rand::rng());
    let startup_until = Instant::now() + MAX_STARTUP_WAIT;
    loop {
        let view = job.shared.view.load_full();
        let Some(service) = view.services.get(job.service()) else {
            return Ok(None);
        };
        let criteria = route::Criteria {
            place: &view.place,
            tried,
            repeatable: job.idempotent,
            cross_region: service.service.cross_region && link_allows(job, limiter),
            now: Instant::now(),
        };
        if let Some(server) = route::choose_server(&service.servers, &criteria, &mut rng) {
            return Ok(Some(Arc::clone(server)));
        }
        // A daemon that has just started may not know the servers yet.
        let may_appear = tried.is_empty() && Instant::now() < startup_until;
        if !may_appear && !may_free_up(service, &view, tried) {
            return Ok(None);
        }
        limiter.wait_for_release(MAX_BUSY_PAUSE).await;
        job.recheck_key()?;
    }
}

/// Whether the link between regions has budget for the request's body and its expected answer.
fn link_allows(job: &Job, limiter: &ConcurrencyLimiter) -> bool {
    let request_bytes = job.body.buffered().map_or(0, |b| b.len() as u64);
    job.shared.region_link().allows(limiter.expected_answer_bytes().max(request_bytes), Instant::now())
}

/// Whether an untried server may take the request later: it has no free slot now, or is in another region, to
/// which the link may have no budget now.
fn may_free_up(service: &ServiceView, view: &View, tried: &[ServerId]) -> bool {
    let is_remote = |s: &ServerView| s.info.place.region != view.place.region;
    untried_servers(service, view, tried)
        .any(|s| is_remote(s) || s.counters.in_flight.load(Relaxed) >= s.info.slots)
}

fn has_untried_server(job: &Job, tried: &[ServerId]) -> bool {
    let view = job.shared.view.load();
    let service = view.services.get(job.service());
    service.is_some_and(|s| untried_servers(s, &view, tried).next().is_some())
}

fn untried_servers<'a>(
    service: &'a ServiceView,
    view: &'a View,
    tried: &'a [ServerId],
) -> impl Iterator<Item = &'a Arc<ServerView>> {
    let is_reachable =
        |s: &&Arc<ServerView>| service.service.cross_region || s.info.place.region == view.place.region;
    service.servers.iter().filter(is_reachable).filter(|s| s.weight > 0.0 && !tried.contains(&s.info.id))
}
