//! The daemon that takes a caller's request: admits it, finds a server for it, answers.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{CustomerId, DaemonId, Refusal, RetryReason, Run, event};
use bytes::Bytes;
use conf::{Route, Snapshot};
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Incoming};
use hyper::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, Uri};
use limit::Taken;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::place::{Candidate, Distance, Load, Need, place};
use smallvec::SmallVec;
use tokio::time::timeout_at;

use crate::body::{Body, HoldError, hold};
use crate::gossip;
use crate::handoff::{self, ORDER, Order, REPORT, Reason, Report, VERDICT, Verdict};
use crate::links::LinkError;
use crate::node::Node;

/// Hand-offs of one request that may be declined before it is refused.
const MAX_DECLINES: usize = 8;
/// Suspect servers that may decline a request before it insists to be run by one.
const MAX_SUSPECTS: usize = 3;
/// Longest wait for a proof or tokens before a request is refused.
const ADMIT_WAIT: Duration = Duration::from_millis(120);
/// Pause before neighbours are asked for tokens again.
const ASK_INTERVAL: Duration = Duration::from_millis(40);
/// Longest wait for a first server.
const SERVER_WAIT: Duration = Duration::from_millis(150);
/// Time past the deadline in which an answer still counts.
const DEADLINE_SLACK: Duration = Duration::from_millis(250);
/// Answers up to this size are held until they are whole.
const HOLD_ANSWER_BYTES: u64 = 1024 * 1024;
/// Bytes of the heads of a request and its answer.
const HEAD_BYTES: u64 = 1_024;
/// Weight of a new answer in the mean size.
const SIZE_WEIGHT: f64 = 0.2;
/// Shortest time after which refused callers are asked to return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest such time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Mean sizes of answers, by hash of the route's name.
pub type AnswerSizes = HashMap<u32, f64>;

/// Why a request is refused, and when it may succeed.
#[derive(Clone, Debug)]
struct Refused {
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
    fn after(refusal: Refusal, wait: Duration) -> Self {
        let retry_after = Some(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        Self { refusal, retry_after, customer: None }
    }
}

/// A request that may run.
#[derive(Debug)]
struct Admitted {
    route: Arc<Route>,
    route_hash: u32,
    service: base::ServiceId,
    customer: Option<CustomerId>,
    rank: conf::Rank,
    wanted_by: Instant,
    deadline: Instant,
    head: Parts,
    body: Bytes,
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
        Err(refused) => refuse(&node, &shown_id, started, refused, id),
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
    refused: Refused,
    echo: Option<HeaderValue>,
) -> Response<Body> {
    let refusal = refused.refusal;
    node.metrics.refusals.with_label_values(&[refusal.code()]).inc();
    let after_ms = started.elapsed().as_millis();
    let proof_ms = node.proof_age().map_or(-1, |age| age.as_millis() as i64);
    let (reason, run, version) = (refusal.code(), refusal.run(), node.version());
    let customer = refused.customer.as_deref().unwrap_or("-");
    event!(
        Info,
        RequestRefused,
        "id={id} customer={customer} reason={reason} run={run} after_ms={after_ms} version={version} proof_ms={proof_ms}"
    );
    let (mut parts, whole) = edge::refuse::response(refusal, None).into_parts();
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
        if let Some(customer) = admitted.customer.as_ref().filter(|_| refused.refusal.run() == Run::No) {
            node.split.borrow_mut().refund(customer);
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
    edge::hygiene::check(&head)?;
    let conf = node.conf().ok_or_else(|| Refused::after(Refusal::NotReady, MIN_RETRY_AFTER))?;
    let (conf, route) = find_route(node, conf, &head).await?;
    let customer = judge(node, &conf, &route, &head.headers).await?;
    let deadline = now + time_allowed(node, &head.headers, &route)?;
    if let Some(customer) = &customer {
        take_token(node, customer, now + ADMIT_WAIT.min(route.objective / 8)).await?;
    }
    let limit = conf.limits.body_bytes;
    let body = timeout_at(deadline.into(), hold(body, limit)).await;
    let body = body.map_err(|_late| Refusal::DeadlineTooShort)?.map_err(|e| match e {
        HoldError::Broken => Refusal::BadRequest,
        HoldError::TooLarge { .. } => Refusal::BodyTooLarge,
    })?;
    let of_customer = customer.as_ref().and_then(|c| conf.customers.get(c)).and_then(|c| c.rank);
    let rank = of_customer.unwrap_or(route.rank);
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

/// Finds the route. A daemon whose proof is old may not know a new route yet and asks first.
async fn find_route(
    node: &Node,
    conf: Arc<Snapshot>,
    head: &Parts,
) -> Result<(Arc<Snapshot>, Arc<Route>), Refused> {
    let found = |conf: &Snapshot| {
        let named = head.uri.host().or_else(|| head.headers.get(HOST)?.to_str().ok());
        let host = named.map(|h| h.rsplit_once(':').map_or(h, |(name, _)| name));
        conf.match_route(host, head.uri.path(), head.method.as_str()).cloned()
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
        let taken = node.split.borrow_mut().take(customer, Instant::now());
        let own_wait = match taken {
            Taken::Yes => {
                if node.split.borrow_mut().is_low(customer, false, Instant::now()) {
                    gossip::ask_for_tokens(node, customer, false);
                }
                return Ok(());
            }
            Taken::NotBefore(wait) => wait,
        };
        asked += 1;
        gossip::ask_for_tokens(node, customer, asked == 2);
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
    edge::hygiene::clean_answer(&mut head.headers);
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

/// What became of one attempt.
enum Outcome {
    Answer(Response<Body>),
    Verdict(Verdict),
}

/// The attempts of one request.
struct Attempts<'a> {
    node: &'a Rc<Node>,
    id: &'a str,
    admitted: &'a Admitted,
    /// Whether an attempt is under way; its effect is not known.
    is_sent: &'a Cell<bool>,
    repeatable: bool,
    /// Daemons that declined or failed it.
    tried: SmallVec<[DaemonId; 8]>,
    /// Servers that it may have reached.
    reached: u32,
    declines: usize,
    /// Declines of servers that are thought to fail.
    suspects: usize,
    /// Shortest time until one of the busy servers has room.
    free_in: Option<Duration>,
    /// A server's failure, returned if nothing better comes.
    fallback: Option<Response<Body>>,
    /// The last failure with an unknown effect.
    unknown: Option<Refusal>,
    insist: bool,
}

impl<'a> Attempts<'a> {
    fn new(node: &'a Rc<Node>, id: &'a str, admitted: &'a Admitted, is_sent: &'a Cell<bool>) -> Self {
        Self {
            node,
            id,
            admitted,
            is_sent,
            repeatable: admitted.route.is_repeatable(admitted.head.method.as_str()),
            tried: SmallVec::new(),
            reached: 0,
            declines: 0,
            suspects: 0,
            free_in: None,
            fallback: None,
            unknown: None,
            insist: false,
        }
    }

    async fn run(mut self) -> Result<Response<Body>, Refused> {
        // What a running request calls for is no request of a caller.
        if !self.admitted.route.open {
            self.node.earn_retry(&self.admitted.service);
        }
        loop {
            let Some(to) = self.choose().await else { break };
            let sent_at = Instant::now();
            self.is_sent.set(true);
            let outcome = self.attempt(to).await;
            let is_declined = matches!(outcome, Outcome::Verdict(Verdict::Declined { .. }));
            self.is_sent.set(!is_declined || self.unknown.is_some());
            let took_ms = sent_at.elapsed().as_millis();
            let reason = match outcome {
                Outcome::Answer(rep) if !rep.status().is_server_error() || !self.repeatable => {
                    let status = rep.status().as_u16();
                    let customer = self.admitted.customer.as_deref().unwrap_or("-");
                    let (id, route) = (self.id, &self.admitted.route.name);
                    event!(
                        Info,
                        RequestAnswered,
                        "id={id} route={route} customer={customer} to={to} status={status} took_ms={took_ms}"
                    );
                    return Ok(rep);
                }
                Outcome::Answer(rep) => {
                    let status = rep.status().as_u16();
                    event!(Info, RequestFailed, "id={} to={to} status={status} took_ms={took_ms}", self.id);
                    self.fallback = Some(rep);
                    self.reached += 1;
                    RetryReason::ServerError
                }
                Outcome::Verdict(verdict) => {
                    event!(
                        Info,
                        RequestFailed,
                        "id={} to={to} outcome={verdict:?} took_ms={took_ms}",
                        self.id
                    );
                    self.note(verdict)?
                }
            };
            self.tried.push(to);
            if self.reached >= self.admitted.route.attempts || Instant::now() >= self.admitted.deadline {
                break;
            }
            if reason == RetryReason::Silent {
                self.node.spend_promised_retry(&self.admitted.service, reason);
            } else if !self.node.spend_retry(&self.admitted.service, reason) {
                break;
            }
        }
        self.give_up()
    }

    /// Takes in a verdict; fails if no further attempt may be made.
    fn note(&mut self, verdict: Verdict) -> Result<RetryReason, Refused> {
        match verdict {
            Verdict::Declined { reason, free_in } => {
                self.node.metrics.declines.with_label_values(&[&reason.to_string()]).inc();
                self.declines += 1;
                if reason == Reason::Suspect {
                    self.suspects += 1;
                    self.insist |= self.suspects >= MAX_SUSPECTS;
                }
                if reason == Reason::Busy {
                    self.free_in = Some(self.free_in.map_or(free_in, |known| known.min(free_in)));
                }
                if reason.reached_server() {
                    self.reached += 1;
                    return Ok(RetryReason::Shed);
                }
                Ok(RetryReason::Connect)
            }
            Verdict::Broken | Verdict::Overdue => {
                let refusal = if verdict == Verdict::Broken { Refusal::Broken } else { Refusal::TimedOut };
                self.unknown = Some(refusal);
                self.reached += 1;
                let reason =
                    if verdict == Verdict::Broken { RetryReason::Broken } else { RetryReason::Silent };
                if self.repeatable { Ok(reason) } else { Err(refusal.into()) }
            }
        }
    }

    fn give_up(self) -> Result<Response<Body>, Refused> {
        if let Some(rep) = self.fallback {
            return Ok(rep);
        }
        if let Some(refusal) = self.unknown {
            return Err(refusal.into());
        }
        let wait = self.free_in.unwrap_or(MIN_RETRY_AFTER);
        let spread = rand::rng().random_range(1.0..1.5);
        let refusal = if self.free_in.is_some() { Refusal::QueueFull } else { Refusal::NoServer };
        Err(Refused::after(refusal, wait.mul_f64(spread)))
    }

    /// Chooses the daemon for the next attempt; waits a little if no server is known yet.
    async fn choose(&mut self) -> Option<DaemonId> {
        let patience = Instant::now() + SERVER_WAIT.min(self.admitted.route.objective / 8);
        loop {
            if self.declines >= MAX_DECLINES {
                return None;
            }
            if let Some((to, is_last_resort)) = self.choose_now() {
                self.insist |= is_last_resort;
                return Some(to);
            }
            if !self.insist && !self.tried.is_empty() {
                // Suspect servers are better than none.
                self.insist = true;
                self.tried.clear();
                continue;
            }
            if !self.tried.is_empty() || Instant::now() >= patience {
                return None;
            }
            tokio::time::sleep(SERVER_WAIT / 5).await;
        }
    }

    /// The next daemon, and whether its server is suspect and chosen for want of a sound one.
    fn choose_now(&self) -> Option<(DaemonId, bool)> {
        let now = Instant::now();
        let service = &*self.admitted.service;
        let (mut addrs, mut candidates) = self.node.peers.borrow().candidates(service, &self.tried, now);
        self.add_own(&mut addrs, &mut candidates, now);
        let sizes = self.node.answer_sizes.borrow();
        let size = sizes.get(&self.admitted.route_hash).copied().unwrap_or(0.0);
        let need = Need {
            repeatable: self.repeatable && self.reached == 0,
            objective_left: self.admitted.wanted_by.saturating_duration_since(now),
            bytes: size as u64 + self.admitted.body.len() as u64 + HEAD_BYTES,
        };
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let index = place(&candidates, &need, &mut rng)?;
        let has_sound = candidates.iter().any(|c| !c.suspect && c.reachable);
        Some((addrs[index], !has_sound))
    }

    /// Adds the server beside this daemon.
    fn add_own(&self, addrs: &mut Vec<DaemonId>, candidates: &mut Vec<Candidate>, now: Instant) {
        let me = self.node.me.addr;
        let service = self.node.exit.service();
        let report = self.node.exit.report(now);
        if service.as_ref() != Some(&self.admitted.service) || !report.takes_work || self.tried.contains(&me)
        {
            return;
        }
        let load = Load {
            running: u32::from(report.running),
            waiting: u32::from(report.waiting),
            slots: u32::from(report.slots),
            mean_run: Duration::from_millis(u64::from(report.mean_run_ms)),
        };
        candidates.push(Candidate {
            index: addrs.len(),
            distance: Distance::Own,
            load,
            suspect: report.suspect,
            wants_tests: report.wants_tests,
            wants_work: report.wants_work,
            reachable: true,
        });
        addrs.push(me);
    }

    /// Whether another try would follow if a run took too long.
    fn may_break_off(&self) -> bool {
        let has_attempts = self.reached + 1 < self.admitted.route.attempts;
        let is_covered = self.node.covers_retry(&self.admitted.service, RetryReason::Silent);
        self.repeatable && has_attempts && is_covered && !self.node.is_stopping()
    }

    fn order(&self) -> Order {
        let now = Instant::now();
        Order {
            service: self.admitted.service.clone(),
            customer: self.admitted.customer.clone(),
            caller_service: self.node.me.service.clone(),
            route_hash: self.admitted.route_hash,
            rank: self.admitted.rank,
            nested: self.admitted.route.open,
            repeatable: self.repeatable,
            may_break_off: self.may_break_off(),
            insist: self.insist,
            objective_left: self.admitted.wanted_by.saturating_duration_since(now),
            deadline_left: self.admitted.deadline.saturating_duration_since(now),
        }
    }

    async fn attempt(&self, to: DaemonId) -> Outcome {
        let last = self.admitted.deadline + DEADLINE_SLACK;
        let work =
            async { if to == self.node.me.addr { self.run_here().await } else { self.hand_off(to).await } };
        timeout_at(last.into(), work).await.unwrap_or(Outcome::Verdict(Verdict::Overdue))
    }

    fn request(&self) -> Request<Bytes> {
        let head = &self.admitted.head;
        let mut req = Request::new(self.admitted.body.clone());
        *req.method_mut() = head.method.clone();
        *req.uri_mut() = head.uri.clone();
        *req.headers_mut() = head.headers.clone();
        req
    }

    async fn run_here(&self) -> Outcome {
        match self.node.exit.run(&self.order(), self.request()).await {
            Ok(rep) => Outcome::Answer(rep),
            Err(verdict) => Outcome::Verdict(verdict),
        }
    }

    async fn hand_off(&self, to: DaemonId) -> Outcome {
        let Some(req) = self.for_link() else {
            return Outcome::Verdict(Verdict::declined(Reason::Unreachable));
        };
        self.node.peers.borrow_mut().note_handoff(to);
        match self.node.links.send(to, req).await {
            Ok(rep) => self.take_answer(to, rep).await,
            Err(e) => {
                self.node.peers.borrow_mut().note_path_failure(to, Instant::now());
                self.node.links.forget(&to);
                Outcome::Verdict(match e {
                    LinkError::NotSent => Verdict::declined(Reason::Unreachable),
                    LinkError::Unknown => Verdict::Broken,
                })
            }
        }
    }

    /// The request in the form for a connection between daemons: the host is part of the target.
    fn for_link(&self) -> Option<Request<Full<Bytes>>> {
        let mut req = self.request();
        let host = req.headers_mut().remove(HOST)?;
        let uri = Uri::builder().scheme("http").authority(host.as_bytes());
        let path = req.uri().path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/"));
        *req.uri_mut() = uri.path_and_query(path).build().ok()?;
        *req.version_mut() = hyper::Version::HTTP_2;
        handoff::put(req.headers_mut(), &ORDER, &self.order());
        Some(req.map(Full::new))
    }

    async fn take_answer(&self, from: DaemonId, rep: Response<Incoming>) -> Outcome {
        let (mut parts, body) = rep.into_parts();
        if let Some(report) = handoff::take::<Report>(&mut parts.headers, &REPORT) {
            self.node.peers.borrow_mut().note_report(from, report);
        }
        if let Some(verdict) = handoff::take(&mut parts.headers, &VERDICT) {
            return Outcome::Verdict(verdict);
        }
        parts.version = hyper::Version::HTTP_11;
        if body.size_hint().upper().is_some_and(|bytes| bytes > HOLD_ANSWER_BYTES) {
            return Outcome::Answer(Response::from_parts(parts, Body::Passing(body, None)));
        }
        let Ok(bytes) = hold(body, usize::MAX).await else {
            return Outcome::Verdict(Verdict::Broken);
        };
        self.note_size(bytes.len());
        parts.headers.remove(CONTENT_LENGTH);
        Outcome::Answer(Response::from_parts(parts, Body::whole(bytes)))
    }

    fn note_size(&self, bytes: usize) {
        let mut sizes = self.node.answer_sizes.borrow_mut();
        let mean = sizes.entry(self.admitted.route_hash).or_insert(bytes as f64);
        *mean += SIZE_WEIGHT * (bytes as f64 - *mean);
    }
}
