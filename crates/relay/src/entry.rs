//! The daemon that takes a caller's request: admits or refuses it, and answers.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{CustomerId, Executed, Refusal, event};
use bytes::Bytes;
use conf::{Route, Snapshot};
use hyper::body::Body as HttpBody;
use hyper::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response};
use limit::TakeOutcome;
use tokio::time::timeout_at;

use crate::attempts::Attempts;
use crate::body::{Body, HoldError, hold};
use crate::gossip;
use crate::node::Node;

/// Longest wait for a proof or tokens before a request is refused.
const ADMIT_WAIT: Duration = Duration::from_millis(120);
/// Pause before neighbours are asked for tokens again.
const ASK_INTERVAL: Duration = Duration::from_millis(40);
/// Shortest time after which refused callers are asked to return.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest such time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Why a request is refused, and when it may succeed.
#[derive(Clone, Debug)]
pub(crate) struct Refused {
    refusal: Refusal,
    retry_after: Option<Duration>,
    /// Customer for whom the request would have run, once known.
    customer: Option<CustomerId>,
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, retry_after: None, customer: None }
    }
}

impl Refused {
    pub(crate) fn after(refusal: Refusal, wait: Duration) -> Self {
        let retry_after = Some(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        Self { refusal, retry_after, customer: None }
    }
}

/// A request that may run.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) route: Arc<Route>,
    /// Hash of the route's name.
    pub(crate) route_hash: u32,
    /// Service that shall run it, if the route divides its requests one of them.
    pub(crate) service: base::ServiceId,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) rank: conf::Priority,
    /// End of its latency objective.
    pub(crate) wanted_by: Instant,
    pub(crate) deadline: Instant,
    /// Its head without what concerns the caller's connection, the key and the fleet's own headers.
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
}

/// Serves one request of a caller.
pub async fn serve<B>(node: Rc<Node>, req: Request<B>) -> Response<Body>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let _count = node.count_caller();
    node.metrics.requests.inc();
    let started = Instant::now();
    let id = req.headers().get(&node.names.request_id).cloned();
    let shown_id = id.as_ref().and_then(|v| v.to_str().ok()).unwrap_or("-").to_owned();
    let mut gone = CallerGone { node: &node, id: &shown_id, started, is_answered: false };
    let rep = match try_serve(&node, &shown_id, req).await {
        Ok(rep) => rep,
        Err(refused) => refuse(&node, &shown_id, started, &refused, id),
    };
    gone.is_answered = true;
    node.metrics.seconds.observe(started.elapsed().as_secs_f64());
    rep
}

/// Notes when the caller goes away before its answer.
struct CallerGone<'a> {
    node: &'a Node,
    id: &'a str,
    started: Instant,
    is_answered: bool,
}

impl Drop for CallerGone<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.node.metrics.cancelled.inc();
            event!(Info, CallerGone, "id={} after_ms={}", self.id, self.started.elapsed().as_millis());
        }
    }
}

fn refuse(
    node: &Node,
    id: &str,
    started: Instant,
    refused: &Refused,
    echo: Option<HeaderValue>,
) -> Response<Body> {
    let refusal = refused.refusal;
    node.metrics.refusals.with_label_values(&[refusal.code()]).inc();
    let after_ms = started.elapsed().as_millis();
    let proof_ms = node.proof_age().map_or(-1, |age| age.as_millis() as i64);
    let (reason, run, version) = (refusal.code(), refusal.executed(), node.version());
    let customer = refused.customer.as_deref().unwrap_or("-");
    event!(
        Info,
        RequestRefused,
        "id={id} customer={customer} reason={reason} run={run} after_ms={after_ms} version={version} proof_ms={proof_ms}"
    );
    let (mut parts, whole) = edge::refuse::refusal_response(refusal, None).into_parts();
    drop(whole);
    if let Some(wait) = refused.retry_after {
        let text = format!("{:.2}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            parts.headers.insert(hyper::header::RETRY_AFTER, value);
        }
    }
    if let Some(echo) = echo {
        parts.headers.insert(node.names.request_id.clone(), echo);
    }
    parts.headers.remove(CONTENT_LENGTH);
    parts.headers.remove(hyper::header::CONTENT_TYPE);
    Response::from_parts(parts, Body::whole(""))
}

async fn try_serve<B>(node: &Rc<Node>, id: &str, req: Request<B>) -> Result<Response<Body>, Refused>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let admitted = admit(node, req).await?;
    let is_sent = Cell::new(false);
    let attempts = Attempts::new(node, id, &admitted, &is_sent);
    let done = tokio::select! {
        done = attempts.run() => done,
        () = node.ending.cancelled() => {
            Err(if is_sent.get() { Refusal::Broken } else { Refusal::Stopping }.into())
        }
    };
    done.map_err(|refused| {
        if let Some(customer) =
            admitted.customer.as_ref().filter(|_| refused.refusal.executed() == Executed::No)
        {
            node.split.borrow_mut().refund_token(customer);
        }
        Refused { customer: admitted.customer.clone(), ..refused }
    })
}

/// Finds the route, judges the key, takes a token and reads the body.
async fn admit<B>(node: &Rc<Node>, req: Request<B>) -> Result<Admitted, Refused>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let now = Instant::now();
    let (mut head, body) = req.into_parts();
    edge::sanitize::check_request(&head)?;
    let conf = node.conf().ok_or_else(|| Refused::after(Refusal::NotReady, MIN_RETRY_AFTER))?;
    let (conf, route) = find_route(node, conf, &head)?;
    let customer = judge(node, &conf, &route, &head.headers).await?;
    let deadline = now + time_allowed(node, &head.headers, &route)?;
    if let Some(customer) = &customer {
        take_token(node, customer, now + ADMIT_WAIT.min(route.objective / 8)).await?;
    }
    let limit = conf.limits.max_body_bytes;
    let body = timeout_at(deadline.into(), hold(body, limit)).await;
    let body = body.map_err(|_late| Refusal::DeadlineTooShort)?.map_err(|e| match e {
        HoldError::Broken => Refusal::BadRequest,
        HoldError::TooLarge { .. } => Refusal::BodyTooLarge,
    })?;
    let of_customer = customer.as_ref().and_then(|c| conf.customers.get(c)).and_then(|c| c.priority);
    let rank = of_customer.unwrap_or(route.priority);
    let hash = base::rendezvous::stable_hash(id_bytes(node, &head.headers));
    let service = route.service_for(hash).clone();
    let route_hash = base::rendezvous::stable_hash(route.name.as_bytes()) as u32;
    let wanted_by = now + route.objective;
    clean_head(node, &mut head)?;
    Ok(Admitted { route, route_hash, service, customer, rank, wanted_by, deadline, head, body })
}

fn id_bytes<'a>(node: &Node, headers: &'a HeaderMap) -> &'a [u8] {
    headers.get(&node.names.request_id).map_or(&[], HeaderValue::as_bytes)
}

/// Finds the route. A daemon whose proof is old may not know a new route yet, so it does not say that there is none.
fn find_route(
    node: &Node,
    conf: Arc<Snapshot>,
    head: &Parts,
) -> Result<(Arc<Snapshot>, Arc<Route>), Refused> {
    let found = |conf: &Snapshot| {
        conf.match_route(edge::admit::request_host(head), head.uri.path(), head.method.as_str()).cloned()
    };
    if let Some(route) = found(&conf) {
        return Ok((conf, route));
    }
    if !node.is_fresh() {
        return Err(Refused::after(Refusal::NotReady, MIN_RETRY_AFTER));
    }
    Err(Refusal::NoRoute.into())
}

/// Finds the customer whose key came with the request; none on open routes.
async fn judge(
    node: &Node,
    conf: &Snapshot,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<CustomerId>, Refused> {
    if route.open {
        return Ok(None);
    }
    let until = Instant::now() + ADMIT_WAIT;
    while !node.is_fresh() {
        node.stale.notify_one();
        if timeout_at(until.into(), node.refilled.notified()).await.is_err() {
            return Err(Refused::after(Refusal::KeyUnconfirmed, MAX_RETRY_AFTER / 2));
        }
    }
    let secret = headers.get(&node.names.key).ok_or(Refusal::KeyMissing)?;
    let hash = node.hasher.hash(secret.as_bytes());
    let latest = node.conf();
    let conf = latest.as_deref().unwrap_or(conf);
    let key = conf.keys.get(&hash).ok_or(Refusal::KeyInvalid)?;
    if route.customer.as_ref().is_some_and(|owner| *owner != key.customer) {
        return Err(Refusal::KeyForbidden.into());
    }
    Ok(Some(key.customer.clone()))
}

/// Time that the caller and the route leave for a request.
fn time_allowed(node: &Node, headers: &HeaderMap, route: &Route) -> Result<Duration, Refusal> {
    let Some(stated) = headers.get(&node.names.deadline_ms) else {
        return Ok(route.timeout);
    };
    let ms = stated.to_str().ok().and_then(|v| v.parse().ok()).ok_or(Refusal::BadRequest)?;
    Ok(Duration::from_millis(ms).min(route.timeout))
}

/// Takes a token of the customer, asking neighbours if there is none here.
async fn take_token(node: &Rc<Node>, customer: &CustomerId, until: Instant) -> Result<(), Refused> {
    let mut asked = 0;
    loop {
        let taken = node.split.borrow_mut().take_token(customer, Instant::now());
        let own_wait = match taken {
            TakeOutcome::Taken => {
                if node.split.borrow_mut().is_low(customer, false, Instant::now()) {
                    gossip::ask_for_tokens(node, customer, false);
                }
                return Ok(());
            }
            TakeOutcome::RetryAfter(wait) => wait,
        };
        asked += 1;
        gossip::ask_for_tokens(node, customer, asked >= 2);
        let next = Instant::now() + own_wait.min(ASK_INTERVAL);
        let arrived = timeout_at(until.min(next).into(), node.refilled.notified()).await;
        if arrived.is_err() && until <= next {
            let refused = Refused::after(Refusal::OverRate, own_wait);
            return Err(Refused { customer: Some(customer.clone()), ..refused });
        }
    }
}

/// Removes what concerns one connection, the key, and what only daemons may say.
fn clean_head(node: &Node, head: &mut Parts) -> Result<(), Refusal> {
    let host = head.headers.get(HOST).cloned();
    edge::sanitize::sanitize_answer(&mut head.headers);
    let names = &node.names;
    for name in [&names.key, &names.customer, &names.caller_service, &names.expected_server] {
        head.headers.remove(name);
    }
    head.headers.remove(CONTENT_LENGTH);
    head.headers.remove(EXPECT);
    let target = head.uri.path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/"));
    if host.is_none() {
        let named = head.uri.authority().and_then(|a| HeaderValue::from_str(a.as_str()).ok());
        head.headers.insert(HOST, named.ok_or(Refusal::BadRequest)?);
    }
    head.uri = target.into();
    Ok(())
}
