//! Serves callers' requests: admits or refuses each, and starts attempts at the admitted ones.
//!
//! A request is admitted if a route matches it, its API key is valid for the route, and a token of the
//! customer's rate is available.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{CustomerId, Executed, Refusal, Version, event};
use bytes::Bytes;
use conf::{AllowedRegions, Route, Snapshot};
use hyper::body::Body as HttpBody;
use hyper::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response};
use limit::TakeOutcome;
use tokio::time::timeout_at;

use crate::attempts::Attempts;
use crate::body::{Body, BufferError};
use crate::body_memory::{ReservedMemory, buffer_upload};
use crate::caller_requests::CallerRequests;
use crate::connection_limit::Shortage;
use crate::gossip;
use crate::links::STREAM_WINDOW_BYTES;
use crate::node::Node;

/// Longest time for which a request waits for a recent proof, or for tokens, before it is refused.
const ADMIT_WAIT: Duration = Duration::from_millis(120);
/// Interval at which tokens are requested again from other daemons while a request waits for one.
const TOKEN_REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Lower bound of the delay after which a refused caller is asked to try again.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Upper bound of the delay after which a refused caller is asked to try again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Why a request is refused, and when to try again.
#[derive(Clone, Debug)]
pub(crate) struct RequestRefusal {
    refusal: Refusal,
    retry_after: Option<Duration>,
    /// Customer for whom the request would have run, once known.
    customer: Option<CustomerId>,
}

impl From<Refusal> for RequestRefusal {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, retry_after: None, customer: None }
    }
}

impl RequestRefusal {
    pub(crate) fn after(refusal: Refusal, wait: Duration) -> Self {
        let retry_after = Some(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        Self { refusal, retry_after, customer: None }
    }
}

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Admitted {
    /// The requests on the caller's connection, this one included.
    pub(crate) requests: Rc<CallerRequests>,
    /// Version of the configuration whose route this is.
    pub(crate) version: Version,
    pub(crate) route: Arc<Route>,
    /// Hash of the route's name, by which run times are averaged.
    pub(crate) route_hash: u32,
    /// Service that must run the request. For a route that divides its requests among services, chosen by the
    /// request's id.
    pub(crate) service: base::ServiceId,
    pub(crate) customer: Option<CustomerId>,
    /// Regions in which the request may run, by the configuration `version`. Not empty.
    pub(crate) regions: AllowedRegions,
    pub(crate) priority: conf::Priority,
    /// When the answer is due by the route's latency objective.
    pub(crate) objective_at: Instant,
    pub(crate) deadline: Instant,
    /// Head for the server: without hop-by-hop headers, the API key, and headers that only daemons may set.
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    /// Memory for `body`, reserved until the request is answered.
    pub(crate) _body_memory: ReservedMemory,
}

/// Serves one request of a caller, on whose connection there have been `requests`.
pub async fn serve_request<B>(node: Rc<Node>, requests: Rc<CallerRequests>, req: Request<B>) -> Response<Body>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let _count = node.track_request();
    node.metrics.requests.inc();
    let started = Instant::now();
    requests.wait_until(started);
    let id = req.headers().get(&node.header_names.request_id).cloned();
    let logged_id = id.as_ref().and_then(|v| v.to_str().ok()).unwrap_or("-").to_owned();
    let mut guard = DisconnectGuard { node: &node, id: &logged_id, started, is_answered: false };
    let rep = match try_serve(&node, &requests, &logged_id, req).await {
        Ok(rep) => rep,
        Err(refused) => refuse(&node, &logged_id, started, &refused, id),
    };
    guard.is_answered = true;
    node.metrics.request_seconds.observe(started.elapsed().as_secs_f64());
    rep
}

/// Counts and logs a request whose future is dropped before it is answered, because its caller has
/// disconnected.
struct DisconnectGuard<'a> {
    node: &'a Node,
    id: &'a str,
    started: Instant,
    is_answered: bool,
}

impl Drop for DisconnectGuard<'_> {
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
    refused: &RequestRefusal,
    request_id: Option<HeaderValue>,
) -> Response<Body> {
    let refusal = refused.refusal;
    node.metrics.refusals.with_label_values(&[refusal.code()]).inc();
    let after = started.elapsed();
    node.metrics.refusal_seconds.with_label_values(&[refusal.code()]).observe(after.as_secs_f64());
    let after_ms = after.as_millis();
    let proof_ms = node.proof_age().map_or(-1, |age| age.as_millis() as i64);
    let (reason, run, version) = (refusal.code(), refusal.executed(), node.conf_version());
    let customer = refused.customer.as_deref().unwrap_or("-");
    event!(
        Info,
        RequestRefused,
        "id={id} customer={customer} reason={reason} run={run} after_ms={after_ms} version={version} proof_ms={proof_ms}"
    );
    let (mut parts, body) = edge::refuse::refusal_response(refusal, None).into_parts();
    drop(body);
    if let Some(wait) = refused.retry_after {
        let text = format!("{:.2}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            parts.headers.insert(hyper::header::RETRY_AFTER, value);
        }
    }
    if let Some(request_id) = request_id {
        parts.headers.insert(node.header_names.request_id.clone(), request_id);
    }
    parts.headers.remove(CONTENT_LENGTH);
    parts.headers.remove(hyper::header::CONTENT_TYPE);
    Response::from_parts(parts, Body::whole(""))
}

async fn try_serve<B>(
    node: &Rc<Node>,
    requests: &Rc<CallerRequests>,
    id: &str,
    req: Request<B>,
) -> Result<Response<Body>, RequestRefusal>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let admitted = admit(node, requests, req).await?;
    let may_have_run = Cell::new(false);
    let attempts = Attempts::new(node, id, &admitted, &may_have_run);
    let result = tokio::select! {
        result = attempts.run() => result,
        () = node.abort_requests.cancelled() => {
            Err(if may_have_run.get() { Refusal::Broken } else { Refusal::Stopping }.into())
        }
    };
    let has_failed = result.as_ref().map_or(true, |rep| rep.status().is_server_error());
    if admitted.route.open && has_failed {
        node.local_server.record_failed_call(Instant::now());
    }
    result.map_err(|refused| {
        refund_token(node, admitted.customer.as_ref().filter(|_| refused.refusal.executed() == Executed::No));
        RequestRefusal { customer: admitted.customer.clone(), ..refused }
    })
}

/// What the configuration says of a request.
struct MatchedRequest {
    conf: Arc<Snapshot>,
    route: Arc<Route>,
    customer: Option<CustomerId>,
    /// Not empty.
    regions: AllowedRegions,
}

/// Finds the route of a request and authenticates its customer, by the configuration now in force.
async fn match_request(node: &Node, head: &Parts) -> Result<MatchedRequest, RequestRefusal> {
    let conf = node.conf().ok_or_else(|| RequestRefusal::after(Refusal::NotReady, MIN_RETRY_AFTER))?;
    let (conf, route) = find_route(node, conf, head)?;
    let customer = authenticate(node, &conf, &route, &head.headers).await?;
    let regions = conf.allowed_regions(Some(&route), customer.as_ref());
    if regions.is_empty() {
        return Err(RequestRefusal { customer, ..Refusal::NoRegion.into() });
    }
    Ok(MatchedRequest { conf, route, customer, regions })
}

/// Matches a request again if the configuration has changed, or its proof has become too old, while the body arrived.
async fn match_after_upload(
    node: &Node,
    head: &Parts,
    matched: MatchedRequest,
) -> Result<MatchedRequest, RequestRefusal> {
    let is_proven = matched.route.open || node.is_conf_fresh();
    if is_proven && node.conf_version() == matched.conf.version {
        return Ok(matched);
    }
    let again = match_request(node, head).await?;
    if again.customer != matched.customer {
        // The token was taken for another customer.
        return Err(RequestRefusal::after(Refusal::KeyUnconfirmed, MIN_RETRY_AFTER));
    }
    Ok(again)
}

/// Refuses a request whose answer will be too large to be buffered if there is no memory for the part of it that
/// arrives before its caller reads on.
fn check_answer_memory(node: &Node, route: &Route) -> Result<(), RequestRefusal> {
    let has_memory = node.body_memory.has_room(STREAM_WINDOW_BYTES as usize);
    if has_memory || !node.streamed_routes.borrow().contains(&route_hash(route)) {
        return Ok(());
    }
    Err(memory_refusal(node))
}

/// Refusal of a request for want of memory. Makes room for the next one if a connection may be closed for that.
fn memory_refusal(node: &Node) -> RequestRefusal {
    node.connections.evict(Shortage::Memory, Instant::now());
    RequestRefusal::after(Refusal::BodyMemory, MIN_RETRY_AFTER)
}

/// Reads the body of a request into memory, until `deadline` at the latest.
async fn read_body<B>(
    node: &Node,
    body: B,
    max_bytes: usize,
    deadline: Instant,
) -> Result<(Bytes, ReservedMemory), RequestRefusal>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let body = timeout_at(deadline.into(), buffer_upload(body, max_bytes, &node.body_memory)).await;
    body.map_err(|_late| Refusal::DeadlineTooShort)?.map_err(|e| match e {
        BufferError::Broken => Refusal::BadRequest.into(),
        BufferError::TooLarge { .. } => Refusal::BodyTooLarge.into(),
        BufferError::NoMemory => memory_refusal(node),
    })
}

/// Finds the route, authenticates the customer, takes a token and reads the body. A request counts as sent once its
/// last byte is, so route and key must be valid then too.
async fn admit<B>(
    node: &Rc<Node>,
    requests: &Rc<CallerRequests>,
    req: Request<B>,
) -> Result<Admitted, RequestRefusal>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let now = Instant::now();
    let (mut head, body) = req.into_parts();
    edge::sanitize::check_request(&head)?;
    if !node.may_start_request(now) {
        return Err(stopping_refusal(node, now));
    }
    let matched = match_request(node, &head).await?;
    let deadline = now + request_timeout(node, &head.headers, &matched.route)?;
    requests.wait_until(deadline);
    let customer = matched.customer.clone();
    if let Some(customer) = &customer {
        take_token(node, customer, now + ADMIT_WAIT.min(matched.route.objective / 8)).await?;
    }
    let max_bytes = matched.conf.limits.max_body_bytes;
    let arrived = async {
        check_answer_memory(node, &matched.route)?;
        let body = read_body(node, body, max_bytes, deadline).await?;
        let read_at = Instant::now();
        if !node.may_start_request(read_at) {
            // The body took so long that the request can't end before the daemon does.
            return Err(stopping_refusal(node, read_at));
        }
        Ok((body, match_after_upload(node, &head, matched).await?))
    };
    let arrived = arrived.await.inspect_err(|_refused| refund_token(node, customer.as_ref()));
    let ((body, body_memory), MatchedRequest { conf, route, customer, regions }) = arrived?;
    let customer_priority = customer.as_ref().and_then(|c| conf.customers.get(c)).and_then(|c| c.priority);
    let priority = customer_priority.unwrap_or(route.priority);
    let id_hash = base::rendezvous::stable_hash(request_id_bytes(node, &head.headers));
    let service = route.service_for(id_hash).clone();
    let route_hash = route_hash(&route);
    let objective_at = now + route.objective;
    sanitize_head(node, &mut head)?;
    Ok(Admitted {
        requests: Rc::clone(requests),
        version: conf.version,
        deadline: deadline.min(now + route.timeout),
        route,
        route_hash,
        service,
        customer,
        regions,
        priority,
        objective_at,
        head,
        body,
        _body_memory: body_memory,
    })
}

/// Gives back the token that a request has taken, if it was for a customer.
fn refund_token(node: &Node, customer: Option<&CustomerId>) {
    if let Some(customer) = customer {
        node.token_buckets.borrow_mut().refund_token(customer);
    }
}

/// Refusal of a request that came too late in a graceful stop. The next process is there after this one's end.
fn stopping_refusal(node: &Node, now: Instant) -> RequestRefusal {
    let left = node.answer_deadline(now + MAX_RETRY_AFTER).saturating_duration_since(now);
    RequestRefusal::after(Refusal::Stopping, left)
}

fn request_id_bytes<'a>(node: &Node, headers: &'a HeaderMap) -> &'a [u8] {
    headers.get(&node.header_names.request_id).map_or(&[], HeaderValue::as_bytes)
}

/// Hash of a route's name, by which what is learnt of the route is kept.
pub(crate) fn route_hash(route: &Route) -> u32 {
    base::rendezvous::stable_hash(route.name.as_bytes()) as u32
}

/// Finds the route of a request, and the configuration that has it. A daemon whose proof is old may not know
/// a new route yet, so it answers that it is not ready rather than that there is no such route.
fn find_route(
    node: &Node,
    conf: Arc<Snapshot>,
    head: &Parts,
) -> Result<(Arc<Snapshot>, Arc<Route>), RequestRefusal> {
    let matching_route = |conf: &Snapshot| {
        conf.match_route(edge::admit::request_host(head), head.uri.path(), head.method.as_str()).cloned()
    };
    if let Some(route) = matching_route(&conf) {
        return Ok((conf, route));
    }
    if !node.may_deny_unknown() {
        return Err(RequestRefusal::after(Refusal::NotReady, MIN_RETRY_AFTER));
    }
    Err(Refusal::NoRoute.into())
}

/// Finds the customer to whom the request's API key belongs; `None` on open routes, which need no key.
async fn authenticate(
    node: &Node,
    conf: &Snapshot,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<CustomerId>, RequestRefusal> {
    if route.open {
        return Ok(None);
    }
    let until = Instant::now() + ADMIT_WAIT;
    while !node.is_conf_fresh() {
        node.refresh_wanted.notify_one();
        if timeout_at(until.into(), node.admission_changed.notified()).await.is_err() {
            return Err(RequestRefusal::after(Refusal::KeyUnconfirmed, MAX_RETRY_AFTER / 2));
        }
    }
    let api_key = headers.get(&node.header_names.api_key).ok_or(Refusal::KeyMissing)?;
    let hash = node.hasher.hash(api_key.as_bytes());
    let latest = node.conf();
    let conf = latest.as_deref().unwrap_or(conf);
    let Some(key) = conf.keys.get(&hash) else {
        // It may be new.
        let unconfirmed = || RequestRefusal::after(Refusal::KeyUnconfirmed, MIN_RETRY_AFTER);
        return Err(if node.may_deny_unknown() { Refusal::KeyInvalid.into() } else { unconfirmed() });
    };
    if route.customer.as_ref().is_some_and(|owner| *owner != key.customer) {
        return Err(Refusal::KeyForbidden.into());
    }
    Ok(Some(key.customer.clone()))
}

/// Time that the caller and the route allow for the request, whichever is shorter.
fn request_timeout(node: &Node, headers: &HeaderMap, route: &Route) -> Result<Duration, Refusal> {
    let Some(stated) = headers.get(&node.header_names.deadline_ms) else {
        return Ok(route.timeout);
    };
    let ms = stated.to_str().ok().and_then(|v| v.parse().ok()).ok_or(Refusal::BadRequest)?;
    Ok(Duration::from_millis(ms).min(route.timeout))
}

/// Takes a token of the customer's rate, requesting some from other daemons if this one has none.
async fn take_token(node: &Rc<Node>, customer: &CustomerId, until: Instant) -> Result<(), RequestRefusal> {
    let mut requests = 0;
    loop {
        let taken = node.token_buckets.borrow_mut().take_token(customer, Instant::now());
        let own_wait = match taken {
            TakeOutcome::Taken => {
                if node.token_buckets.borrow_mut().is_low(customer, false, Instant::now()) {
                    gossip::request_tokens(node, customer, false);
                }
                return Ok(());
            }
            TakeOutcome::RetryAfter(wait) => wait,
        };
        requests += 1;
        gossip::request_tokens(node, customer, requests >= 2);
        let next_request_at = Instant::now() + own_wait.min(TOKEN_REQUEST_INTERVAL);
        let arrived = timeout_at(until.min(next_request_at).into(), node.admission_changed.notified()).await;
        if arrived.is_err() && until <= next_request_at {
            if !node.has_read_directory.get() {
                // The customer's part of its rate is not known yet, so this says nothing of the customer.
                return Err(RequestRefusal::after(Refusal::NotReady, MIN_RETRY_AFTER));
            }
            let refused = RequestRefusal::after(Refusal::OverRate, own_wait);
            return Err(RequestRefusal { customer: Some(customer.clone()), ..refused });
        }
    }
}

/// Removes hop-by-hop headers, the API key, and headers that only daemons may set.
fn sanitize_head(node: &Node, head: &mut Parts) -> Result<(), Refusal> {
    let host = head.headers.get(HOST).cloned();
    edge::sanitize::sanitize_answer(&mut head.headers);
    let names = &node.header_names;
    for name in [&names.api_key, &names.customer, &names.caller_service, &names.expected_server] {
        head.headers.remove(name);
    }
    head.headers.remove(CONTENT_LENGTH);
    head.headers.remove(EXPECT);
    let target = head.uri.path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/"));
    if host.is_none() {
        let authority = head.uri.authority().and_then(|a| HeaderValue::from_str(a.as_str()).ok());
        head.headers.insert(HOST, authority.ok_or(Refusal::BadRequest)?);
    }
    head.uri = target.into();
    Ok(())
}
