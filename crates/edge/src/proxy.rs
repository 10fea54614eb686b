//! One request's way: admit, take tokens, hold the body, queue, choose servers, retry, answer.

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

use crate::admit::{Admitted, admit};
use crate::attempt::{Ended, attempt};
use crate::body::hold_request;
use crate::dedupe;
use crate::explain::Trace;
use crate::gate::{Claim, Gate, Permit};
use crate::hygiene;
use crate::job::{DEADLINE_HEADER, Job, REQUEST_ID_HEADER};
use crate::listen::Caller;
use crate::refuse::{AnswerBody, ID_HEADER, response};
use crate::shared::Shared;

/// Tries that may reach servers, for one request.
const MAX_TRIES: usize = 3;
/// Tries for one request, those included that reached no server.
const MAX_SERVERS: usize = 6;
/// Longest wait for tokens.
const TOKEN_WAIT: Duration = Duration::from_millis(500);
/// Longest pause before busy servers are looked at again.
const BUSY_WAIT: Duration = Duration::from_millis(20);
/// Longest wait of a daemon that just started for its configuration or a first server.
const SERVER_WAIT: Duration = Duration::from_secs(1);
/// Weight of all callers of open routes together, in the unit of customers' rates.
const OPEN_WEIGHT: f64 = 100.0;

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
pub async fn serve(shared: Arc<Shared>, caller: Arc<Caller>, req: Request<Incoming>) -> Response<AnswerBody> {
    shared.metrics.requests.inc();
    let timer = shared.metrics.seconds.start_timer();
    let caller_id = req.headers().get(REQUEST_ID_HEADER).and_then(|v| v.to_str().ok()).map(Box::from);
    let trace = Arc::new(Trace::new(shared.ids.next(), caller_id));
    shared.ring.push(Arc::clone(&trace));
    let mut gone = CallerGone { shared: &shared, trace: &trace, is_answered: false };
    let is_http1 = req.version() < hyper::Version::HTTP_2;
    // The framing of a connection is not followed beyond a chunked body.
    let is_last = req.headers().contains_key(TRANSFER_ENCODING) || caller.is_ambiguous();
    let mut rep = match try_serve(&shared, &caller, &trace, req).await {
        Ok(rep) => {
            trace.end("answered");
            rep
        }
        Err(refused) => refuse(&shared, &trace, refused),
    };
    gone.is_answered = true;
    stamp(rep.headers_mut(), &trace);
    timer.observe_duration();
    if is_http1 && (is_last || shared.draining.load(Relaxed)) {
        rep.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    rep
}

fn refuse(shared: &Shared, trace: &Trace, refused: Refused) -> Response<AnswerBody> {
    let refusal = trace.honest(refused.refusal);
    shared.metrics.refusals.with_label_values(&[refusal.code()]).inc();
    event!(Debug, RequestRefused, "id={} reason={}", trace.id, refusal.code());
    trace.end(refusal.code());
    let wait = refused.retry_at.map(|at| at.saturating_duration_since(Instant::now()));
    response(refusal, wait)
}

/// Gives the caller its own id back, and the id under which the request is explained.
fn stamp(headers: &mut HeaderMap, trace: &Trace) {
    let own = HeaderValue::from_str(&trace.id).ok();
    let caller = trace.caller_id.as_ref().and_then(|id| HeaderValue::from_str(id).ok());
    if let Some(id) = caller.or_else(|| own.clone()) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    if let Some(id) = own {
        headers.insert(ID_HEADER, id);
    }
}

/// Notes when the caller goes away before its answer.
struct CallerGone<'a> {
    shared: &'a Shared,
    trace: &'a Trace,
    is_answered: bool,
}

impl Drop for CallerGone<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.trace.end("caller-gone");
            self.shared.metrics.cancelled.inc();
            event!(Debug, CallerGone, "id={}", self.trace.id);
        }
    }
}

async fn try_serve(
    shared: &Arc<Shared>,
    caller: &Caller,
    trace: &Arc<Trace>,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Refused> {
    let now = Instant::now();
    if caller.is_ambiguous() {
        return Err(Refusal::BadRequest.into());
    }
    let (parts, body) = req.into_parts();
    hygiene::check(&parts)?;
    wait_for_conf(shared).await;
    let admitted = admit(&shared.view.load(), &shared.hasher, &parts, now)?;
    trace.set_route(&admitted.route.name, admitted.customer.as_ref());
    caller.set_key(admitted.key);
    let deadline = now + time_allowed(&parts, &admitted)?;
    dedupe::check(&admitted, &parts)?;
    let prepared = async {
        take_tokens(shared, &admitted).await?;
        let body = hold_request(body).await.map_err(|_broken| Refusal::BadRequest)?;
        Ok(Job::new(Arc::clone(shared), Arc::clone(trace), admitted.clone(), parts, body, deadline)?)
    };
    let job = Arc::new(within(deadline, trace, prepared).await?);
    if dedupe::is_strict(&job) {
        // Watches the deadline in its own task: a watch beside it could say "not run" while the task sends.
        return dedupe::run_once(job).await;
    }
    within(deadline, trace, run(&job)).await
}

/// Ends the work at the deadline with what is then known about its effect.
pub(crate) async fn within<T>(
    deadline: Instant,
    trace: &Trace,
    work: impl Future<Output = Result<T, Refused>>,
) -> Result<T, Refused> {
    match tokio::time::timeout_at(deadline.into(), work).await {
        Ok(done) => done,
        Err(_late) if trace.is_doubtful() => Err(Refusal::TimedOut.into()),
        Err(_late) => Err(Refusal::DeadlineTooShort.into()),
    }
}

/// A daemon that just started gets its configuration within moments.
async fn wait_for_conf(shared: &Shared) {
    if shared.view.load().conf.is_some() {
        return;
    }
    let mut keys = shared.keys.subscribe();
    let known = keys.wait_for(|_| shared.view.load().conf.is_some());
    let _ = tokio::time::timeout(SERVER_WAIT, known).await;
}

fn time_allowed(parts: &Parts, admitted: &Admitted) -> Result<Duration, Refusal> {
    let Some(stated) = parts.headers.get(DEADLINE_HEADER) else {
        return Ok(admitted.route.timeout);
    };
    let ms = stated.to_str().ok().and_then(|v| v.parse().ok()).ok_or(Refusal::BadRequest)?;
    Ok(Duration::from_millis(ms).min(admitted.route.timeout))
}

async fn take_tokens(shared: &Shared, admitted: &Admitted) -> Result<(), Refused> {
    let Some(customer) = &admitted.customer else {
        return Ok(());
    };
    let pool: Arc<TokenPool> = shared.pools.get(customer).ok_or(Refusal::TokensUnconfirmed)?;
    let until = Instant::now() + TOKEN_WAIT;
    loop {
        let mut changed = std::pin::pin!(pool.changed());
        // The first poll registers the waiter, so that a refill between `take` and the wait is seen.
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

/// Queues the job and tries servers until one answers or nothing is left to try.
pub(crate) async fn run(job: &Arc<Job>) -> Result<Response<AnswerBody>, Refused> {
    let shared = &job.shared;
    let view = shared.view.load_full();
    let service = view.services.get(job.service()).ok_or(Refusal::NoServer)?;
    let gate = shared.gates.get(&service.service, &shared.metrics);
    gate.set_bounds(service, &view.place, view.region_daemons);
    let mut permit = Some(queue(job, &view, &gate).await?);
    shared.budgets.earn(job.admitted.customer_name(), job.service());
    tries(job, &gate, &mut permit).await
}

/// Waits in the fair queue; a key that is withdrawn meanwhile ends the wait.
async fn queue(job: &Job, view: &View, gate: &Arc<Gate>) -> Result<Permit, Refusal> {
    let customer = job.admitted.customer_name();
    let known = view.conf.as_ref().and_then(|c| c.customers.get(customer));
    let claim = Claim {
        customer,
        weight: known.map_or(OPEN_WEIGHT, |c| c.rate),
        cost: job.admitted.route.cost,
        deadline: job.deadline,
    };
    let mut keys = job.shared.keys.subscribe();
    let mut entered = std::pin::pin!(gate.enter(claim));
    loop {
        tokio::select! {
            biased;
            permit = &mut entered => return permit,
            _ = keys.changed() => job.recheck()?,
        }
    }
}

async fn tries(
    job: &Arc<Job>,
    gate: &Arc<Gate>,
    permit: &mut Option<Permit>,
) -> Result<Response<AnswerBody>, Refused> {
    let mut tried: SmallVec<[ServerId; MAX_SERVERS]> = SmallVec::new();
    let mut reached = 0;
    let mut last = Refusal::NoServer;
    let mut fallback = None;
    while reached < MAX_TRIES && tried.len() < MAX_SERVERS && job.body.is_left() {
        let Some(server) = choose(job, gate, &tried).await? else {
            break;
        };
        tried.push(server.info.id.clone());
        let reason = match attempt(job, &server, gate, permit, tried.len()).await {
            Ended::Answer(rep) => return Ok(rep),
            Ended::Refused(refusal) => return Err(refusal.into()),
            Ended::ServerError(rep) => {
                fallback = Some(rep);
                Some(RetryReason::ServerError)
            }
            Ended::Doubtful(refusal, _) if !job.repeatable => return Err(refusal.into()),
            Ended::NotRun(refusal, reason) | Ended::Doubtful(refusal, reason) => {
                last = refusal;
                Some(reason)
            }
            Ended::Silent => {
                last = Refusal::Broken;
                None
            }
        };
        if reason != Some(RetryReason::Connect) {
            reached += 1;
        }
        if reached == MAX_TRIES || !has_more(job, &tried) {
            break;
        }
        if let Some(reason) = reason
            && !job.spend_retry(reason)
        {
            if last.executed() == Executed::No && fallback.is_none() {
                last = Refusal::RetryBudget;
            }
            break;
        }
        count_retry(job, reason.unwrap_or(RetryReason::Silent));
    }
    fallback.ok_or(last.into())
}

fn count_retry(job: &Job, reason: RetryReason) {
    job.shared.metrics.retries.with_label_values(&[reason.code()]).inc();
    job.trace.step("retry", None);
    event!(Debug, RequestRetried, "id={} reason={}", job.trace.id, reason.code());
}

/// Chooses a server; waits while those that are left are busy and the key is valid.
async fn choose(job: &Job, gate: &Gate, tried: &[ServerId]) -> Result<Option<Arc<ServerView>>, Refusal> {
    let mut rng = rand::rngs::SmallRng::from_rng(&mut rand::rng());
    let patience = Instant::now() + SERVER_WAIT;
    loop {
        let view = job.shared.view.load_full();
        let Some(service) = view.services.get(job.service()) else {
            return Ok(None);
        };
        let want = route::Want {
            place: &view.place,
            tried,
            repeatable: job.repeatable,
            cross_region: service.service.cross_region && may_cross(job, gate),
            now: Instant::now(),
        };
        if let Some(server) = route::choose(&service.servers, &want, &mut rng) {
            return Ok(Some(Arc::clone(server)));
        }
        // A daemon that just started may not have heard of the servers yet.
        let may_come = tried.is_empty() && Instant::now() < patience;
        if !may_come && !is_busy(service, &view, tried) {
            return Ok(None);
        }
        gate.freed(BUSY_WAIT).await;
        job.recheck()?;
    }
}

/// Whether the link between regions has budget for this request and its expected answer.
fn may_cross(job: &Job, gate: &Gate) -> bool {
    let sent = job.body.held().map_or(0, |b| b.len() as u64);
    job.shared.link().allows(gate.expected_bytes().max(sent), Instant::now())
}

/// Whether a server that was not tried may take the request soon: it has no free slot, or the link no budget.
fn is_busy(service: &ServiceView, view: &View, tried: &[ServerId]) -> bool {
    let is_far = |s: &ServerView| s.info.place.region != view.place.region;
    untried(service, view, tried).any(|s| is_far(s) || s.counters.in_flight.load(Relaxed) >= s.info.slots)
}

fn has_more(job: &Job, tried: &[ServerId]) -> bool {
    let view = job.shared.view.load();
    let service = view.services.get(job.service());
    service.is_some_and(|s| untried(s, &view, tried).next().is_some())
}

fn untried<'a>(
    service: &'a ServiceView,
    view: &'a View,
    tried: &'a [ServerId],
) -> impl Iterator<Item = &'a Arc<ServerView>> {
    let in_reach =
        |s: &&Arc<ServerView>| service.service.cross_region || s.info.place.region == view.place.region;
    service.servers.iter().filter(in_reach).filter(|s| s.weight > 0.0 && !tried.contains(&s.info.id))
}
