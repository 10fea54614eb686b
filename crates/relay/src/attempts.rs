//! The attempts of one admitted request: chooses daemons, hands it to them, repeats what may be repeated.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::{DaemonId, Refusal, RetryReason, event};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, Uri};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::place::{Candidate, Distance, Need, place};
use smallvec::SmallVec;
use tokio::time::timeout_at;

use crate::body::{Body, MAX_HELD_BYTES, hold};
use crate::entry::{Admitted, MIN_RETRY_AFTER, Refused};
use crate::handoff::{self, ORDER, Order, REPORT, Reason, Repetition, Report, VERDICT, Verdict};
use crate::links::LinkError;
use crate::node::Node;

/// Hand-offs of one request that may be declined before it is refused.
const MAX_DECLINES: usize = 8;
/// Suspect servers that may decline a request before it insists to be run by one.
const MAX_SUSPECTS: usize = 3;
/// Longest wait for a first server.
const SERVER_WAIT: Duration = Duration::from_millis(150);
/// Time past the deadline in which an answer still counts.
const DEADLINE_SLACK: Duration = Duration::from_millis(250);
/// Bytes of the heads of a request and its answer.
const HEAD_BYTES: u64 = 1_024;
/// Weight of a new answer in the mean size.
const SIZE_WEIGHT: f64 = 0.2;

/// Mean sizes of answers, by hash of the route's name.
pub type AnswerSizes = HashMap<u32, f64>;

/// What became of one attempt.
enum Outcome {
    Answer(Box<Response<Body>>),
    Verdict(Verdict),
}

/// The attempts of one request.
pub(crate) struct Attempts<'a> {
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
    pub(crate) fn new(
        node: &'a Rc<Node>,
        id: &'a str,
        admitted: &'a Admitted,
        is_sent: &'a Cell<bool>,
    ) -> Self {
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

    /// Hands the request to daemons until one answers or nothing is left to try.
    pub(crate) async fn run(mut self) -> Result<Response<Body>, Refused> {
        // What a running request calls for is no request of a caller.
        if !self.admitted.route.open {
            self.node.earn_retry(&self.admitted.service);
        }
        loop {
            let Some(to) = self.choose().await else { break };
            let sent_at = Instant::now();
            let report_ms = self.report_ms(to, sent_at);
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
                        "id={id} route={route} customer={customer} to={to} report_ms={report_ms} status={status} took_ms={took_ms}"
                    );
                    return Ok(*rep);
                }
                Outcome::Answer(rep) => {
                    let status = rep.status().as_u16();
                    let id = self.id;
                    event!(
                        Info,
                        RequestFailed,
                        "id={id} to={to} report_ms={report_ms} status={status} took_ms={took_ms}"
                    );
                    self.fallback = Some(*rep);
                    self.reached += 1;
                    RetryReason::ServerError
                }
                Outcome::Verdict(verdict) => {
                    event!(
                        Info,
                        RequestFailed,
                        "id={} to={to} report_ms={report_ms} outcome={verdict:?} took_ms={took_ms}",
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
                let (refusal, reason) = match verdict {
                    Verdict::Broken => (Refusal::Broken, RetryReason::Broken),
                    _ => (Refusal::TimedOut, RetryReason::Silent),
                };
                self.unknown = Some(refusal);
                self.reached += 1;
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
        let is_full = self.free_in.is_some() || self.reached > 0;
        let refusal = if is_full { Refusal::QueueFull } else { Refusal::NoServer };
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
        let has_sound = candidates.iter().any(|c| !c.condition.is_suspect() && c.reachable);
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
        candidates.push(Candidate {
            index: addrs.len(),
            distance: Distance::Own,
            load: report.load(0),
            condition: report.condition,
            reachable: true,
        });
        addrs.push(me);
    }

    /// Age in milliseconds of the report by which a daemon was chosen; -1 if there was none.
    fn report_ms(&self, to: DaemonId, now: Instant) -> i64 {
        if to == self.node.me.addr {
            return 0;
        }
        self.node.peers.borrow().report_age(&to, now).map_or(-1, |age| age.as_millis() as i64)
    }

    /// Whether the request may be repeated, and another try would follow if a run took too long.
    fn repetition(&self) -> Repetition {
        let has_attempts = self.reached + 1 < self.admitted.route.attempts;
        let is_covered = self.node.covers_retry(&self.admitted.service, RetryReason::Silent);
        if !self.repeatable {
            Repetition::Never
        } else if has_attempts && is_covered && !self.node.is_stopping() {
            Repetition::Promised
        } else {
            Repetition::Allowed
        }
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
            repetition: self.repetition(),
            insist: self.insist,
            objective_left: self.admitted.wanted_by.saturating_duration_since(now),
            deadline_left: self.node.waits_until(self.admitted.deadline).saturating_duration_since(now),
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
            Ok(rep) => Outcome::Answer(Box::new(rep)),
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
            self.node.peers.borrow_mut().note_report(from, report, Instant::now());
        }
        if let Some(verdict) = handoff::take(&mut parts.headers, &VERDICT) {
            return Outcome::Verdict(verdict);
        }
        parts.version = hyper::Version::HTTP_11;
        if body.size_hint().upper().is_some_and(|bytes| bytes > MAX_HELD_BYTES as u64) {
            let until = self.admitted.deadline + DEADLINE_SLACK;
            let rep = Response::from_parts(parts, Body::passing(body, None, until));
            return Outcome::Answer(Box::new(rep));
        }
        let bytes = match hold(body, MAX_HELD_BYTES).await {
            Ok(bytes) => bytes,
            Err(e) => {
                log::debug!("answer of {from} to {}: {e}", self.id);
                return Outcome::Verdict(Verdict::Broken);
            }
        };
        self.note_size(bytes.len());
        parts.headers.remove(CONTENT_LENGTH);
        Outcome::Answer(Box::new(Response::from_parts(parts, Body::whole(bytes))))
    }

    fn note_size(&self, bytes: usize) {
        let mut sizes = self.node.answer_sizes.borrow_mut();
        let mean = sizes.entry(self.admitted.route_hash).or_insert(bytes as f64);
        *mean += SIZE_WEIGHT * (bytes as f64 - *mean);
    }
}
