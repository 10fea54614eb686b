//! The attempts of one admitted request: chooses daemons, hands it to them, repeats what may be repeated.
//!
//! A repeatable request whose run takes far longer than expected, at a server that is thought to fail, is handed to
//! another daemon too. The slow run goes on until another server has answered: the other try may come to nothing.

use std::cell::Cell;
use std::collections::HashMap;
use std::future::pending;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::{DaemonId, Refusal, RetryReason, event};
use bytes::Bytes;
use hyper::{Request, Response};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::placement::{Candidate, Distance, Requirements, place_request};
use smallvec::SmallVec;
use tokio::time::{sleep, sleep_until};

use crate::attempt::{Call, Facts, Outcome, UnderWay};
use crate::body::Body;
use crate::entry::{Admitted, MIN_RETRY_AFTER, Refused};
use crate::handoff::{Order, Reason, Repetition, Verdict};
use crate::node::Node;

/// Hand-offs of one request that may be declined before it is refused.
const MAX_DECLINES: usize = 8;
/// Suspect servers that may decline a request before it insists to be run by one.
const MAX_SUSPECTS: usize = 3;
/// Longest wait for a first server.
const SERVER_WAIT: Duration = Duration::from_millis(150);
/// Pause between two looks at whether an overdue attempt's server is thought to fail.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes of the heads of a request and its answer.
const HEAD_BYTES: u64 = 1_024;

/// Mean sizes of answers, by hash of the route's name.
pub type AnswerSizes = HashMap<u32, f64>;

/// How a request ended.
type Done = Result<Response<Body>, Refused>;

/// The attempts of one request.
pub(crate) struct Attempts<'a> {
    node: &'a Rc<Node>,
    id: &'a str,
    admitted: &'a Admitted,
    /// Whether an attempt is under way; its effect is not known.
    is_sent: &'a Cell<bool>,
    repeatable: bool,
    /// Daemon of an overdue attempt that is still under way.
    slow: Option<DaemonId>,
    /// Daemons that declined or failed it, or are slow.
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
            slow: None,
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
    pub(crate) async fn run(mut self) -> Done {
        // What a running request calls for is no request of a caller.
        if !self.admitted.route.open {
            self.node.earn_retry(&self.admitted.service);
        }
        let mut under_way = UnderWay::default();
        let mut wants_more = true;
        loop {
            if wants_more && let Some(to) = self.choose().await {
                self.is_sent.set(true);
                under_way.start(self.call(to));
            }
            if under_way.len() == 0 {
                return self.give_up();
            }
            let only = under_way.only();
            wants_more = tokio::select! {
                biased;
                (facts, outcome) = under_way.ended() => match self.take_in(facts, outcome, under_way.len()) {
                    ControlFlow::Break(done) => return done,
                    ControlFlow::Continue(wants_more) => wants_more,
                },
                slow = self.slow_one(only) => {
                    self.note_slow(slow);
                    true
                }
            };
        }
    }

    /// Takes in how an attempt ended while `others` go on; says whether a further one shall be made.
    fn take_in(&mut self, facts: Facts, outcome: Outcome, others: usize) -> ControlFlow<Done, bool> {
        let to = facts.to;
        let is_declined = matches!(outcome, Outcome::Verdict(Verdict::Declined { .. }));
        let has_run = self.unknown.is_some() || self.fallback.is_some();
        self.is_sent.set(!is_declined || others > 0 || has_run);
        self.slow.take_if(|slow| *slow == to);
        let reason = match outcome {
            Outcome::Answer(rep) if !rep.status().is_server_error() || !self.repeatable => {
                self.note_time(facts, &rep);
                self.log_answer(facts, &rep);
                return ControlFlow::Break(Ok(*rep));
            }
            Outcome::Answer(rep) => {
                self.log_failure(facts, &format!("status={}", rep.status().as_u16()));
                self.fallback = Some(*rep);
                self.reached += 1;
                RetryReason::ServerError
            }
            Outcome::Verdict(verdict) => {
                self.log_failure(facts, &format!("outcome={verdict:?}"));
                match self.note(verdict) {
                    Ok(reason) => reason,
                    Err(refused) => return ControlFlow::Break(Err(refused)),
                }
            }
        };
        if !self.tried.contains(&to) {
            self.tried.push(to);
        }
        let has_newer = others > 0 && self.slow.is_none();
        ControlFlow::Continue(!has_newer && self.spend_retry(reason, others))
    }

    fn note_time(&self, facts: Facts, rep: &Response<Body>) {
        if !rep.status().is_server_error() {
            let took = facts.sent_at.elapsed();
            self.node.answer_times.borrow_mut().add(self.admitted.route_hash, took);
        }
    }

    fn log_answer(&self, facts: Facts, rep: &Response<Body>) {
        let Facts { to, report_ms, .. } = facts;
        let (status, took_ms) = (rep.status().as_u16(), facts.sent_at.elapsed().as_millis());
        let customer = self.admitted.customer.as_deref().unwrap_or("-");
        let (id, route) = (self.id, &self.admitted.route.name);
        event!(
            Info,
            RequestAnswered,
            "id={id} route={route} customer={customer} to={to} report_ms={report_ms} status={status} took_ms={took_ms}"
        );
    }

    fn log_failure(&self, facts: Facts, shown: &str) {
        let Facts { to, report_ms, .. } = facts;
        let (id, took_ms) = (self.id, facts.sent_at.elapsed().as_millis());
        event!(Info, RequestFailed, "id={id} to={to} report_ms={report_ms} {shown} took_ms={took_ms}");
    }

    /// Whether a further attempt may be made beside those under way; spends its price.
    fn spend_retry(&self, reason: RetryReason, under_way: usize) -> bool {
        let has_attempts = self.reached + (under_way as u32) < self.admitted.route.attempts;
        // A daemon that stops has the time for the attempts that are under way.
        let only_waits = under_way > 0 && self.node.is_stopping();
        has_attempts
            && !only_waits
            && Instant::now() < self.admitted.deadline
            && self.node.spend_retry(&self.admitted.service, reason)
    }

    /// Waits until the only attempt under way is overdue, its server thought to fail and another attempt covered.
    async fn slow_one(&self, only: Option<Facts>) -> Facts {
        let Some(facts) = only.filter(|_| self.repeatable && self.slow.is_none()) else {
            return pending().await;
        };
        sleep_until(facts.overdue_at.into()).await;
        while !(self.is_doubtful(facts) && self.spend_retry(RetryReason::Silent, 1)) {
            sleep(LOOK_INTERVAL).await;
        }
        facts
    }

    /// Whether the server of an attempt is thought to fail, or its daemon is not heard.
    fn is_doubtful(&self, facts: Facts) -> bool {
        let now = Instant::now();
        if facts.to == self.node.me.addr {
            return self.node.exit.is_suspect(now);
        }
        self.node.peers.borrow().is_doubtful(&facts.to, facts.sent_at, now)
    }

    /// Takes in that an attempt goes on beside the next.
    fn note_slow(&mut self, facts: Facts) {
        let (id, to, took_ms) = (self.id, facts.to, facts.sent_at.elapsed().as_millis());
        event!(Info, RequestRetried, "id={id} slow={to} report_ms={} took_ms={took_ms}", facts.report_ms);
        self.slow = Some(to);
        self.tried.push(to);
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

    fn give_up(self) -> Done {
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
                self.tried.extend(self.slow);
                continue;
            }
            if !self.tried.is_empty() || Instant::now() >= patience {
                return None;
            }
            sleep(SERVER_WAIT / 5).await;
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
        let need = Requirements {
            repeatable: self.repeatable && self.reached == 0 && self.slow.is_none(),
            objective_left: self.admitted.wanted_by.saturating_duration_since(now),
            bytes: size as u64 + self.admitted.body.len() as u64 + HEAD_BYTES,
        };
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let index = place_request(&candidates, &need, &mut rng)?;
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
            distance: Distance::SameInstance,
            load: report.load(0),
            condition: report.condition,
            reachable: true,
        });
        addrs.push(me);
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
            repetition: if self.repeatable { Repetition::Allowed } else { Repetition::Never },
            insist: self.insist,
            objective: self.admitted.route.objective,
            objective_left: self.admitted.wanted_by.saturating_duration_since(now),
            deadline_left: self.node.waits_until(self.admitted.deadline).saturating_duration_since(now),
        }
    }

    fn call(&self, to: DaemonId) -> Call {
        Call {
            node: Rc::clone(self.node),
            id: self.id.into(),
            to,
            order: self.order(),
            req: self.request(),
            deadline: self.admitted.deadline,
        }
    }

    fn request(&self) -> Request<Bytes> {
        let head = &self.admitted.head;
        let mut req = Request::new(self.admitted.body.clone());
        *req.method_mut() = head.method.clone();
        *req.uri_mut() = head.uri.clone();
        *req.headers_mut() = head.headers.clone();
        req
    }
}
