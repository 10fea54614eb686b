//! Attempts at one admitted request: chooses a daemon, hands the request to it, and retries elsewhere if it
//! fails.
//!
//! A repeatable request is hedged if it takes far longer than expected at a server that is suspected to fail:
//! it is handed to a second daemon too. The slow attempt is not cancelled until the second one has been
//! answered, because the second one may fail.

use std::cell::Cell;
use std::collections::HashMap;
use std::future::pending;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::{DaemonId, Place, Refusal, RetryReason, event};
use bytes::Bytes;
use conf::AllowedRegions;
use hyper::{Request, Response};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::placement::{Candidate, Distance, Requirements, place_request};
use smallvec::SmallVec;
use tokio::time::{sleep, sleep_until};

use crate::attempt::{AttemptInfo, AttemptOutcome, AttemptRequest, InFlight};
use crate::body::Body;
use crate::connection_limit::Shortage;
use crate::handoff::{DeclineReason, Handoff, Repetition, RunError, RunTime};
use crate::ingress::{Admitted, MIN_RETRY_AFTER, RequestRefusal};
use crate::node::Node;

/// Number of times that daemons may decline a request before it is refused.
const MAX_DECLINES: usize = 8;
/// Number of declines because of suspect servers after which the request may run at a suspect one.
const MAX_SUSPECT_DECLINES: usize = 3;
/// Longest wait for a first server of the service to become known.
const FIRST_SERVER_WAIT: Duration = Duration::from_millis(150);
/// Interval of checks whether an overdue attempt should be hedged.
const HEDGE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Estimated size of the heads of a request and its answer in bytes.
const ESTIMATED_HEAD_BYTES: u64 = 1_024;
/// Lower bound, in seconds, of the expected run time by which a run time is divided for the metric.
const MIN_EXPECTED_RUN_S: f64 = 0.001;

/// Mean sizes of answers in bytes, by hash of the route's name.
pub type ResponseSizes = HashMap<u32, f64>;

/// Final result of a request.
type RequestResult = Result<Response<Body>, RequestRefusal>;

/// Attempts at one request.
pub(crate) struct Attempts<'a> {
    node: &'a Rc<Node>,
    id: &'a str,
    admitted: &'a Admitted,
    /// Whether a server may have run the request: true while an attempt is running, and after one has ended
    /// that was not declined.
    may_have_run: &'a Cell<bool>,
    repeatable: bool,
    /// Daemon of the slow attempt that is hedged, while it is running.
    hedged: Option<DaemonId>,
    /// Daemons that declined or failed the request, or are slow.
    tried: SmallVec<[DaemonId; 8]>,
    /// Daemons whose servers have refused a request that must run at most once. They don't get it again: a copy of the
    /// refusal would look like the answer to the second attempt, which may be running.
    refused_by: SmallVec<[DaemonId; 4]>,
    /// Number of servers that the request may have reached.
    servers_reached: u32,
    /// Number of attempts that were declined.
    declines: usize,
    /// Number of declines for the reason that the server is suspect.
    suspect_declines: usize,
    /// Shortest of the expected times until one of the busy servers has a free slot.
    free_in: Option<Duration>,
    /// An error answer of a server, returned if no other attempt succeeds.
    fallback: Option<Response<Body>>,
    /// Refusal for the last attempt that failed without showing whether the request has run.
    uncertain: Option<Refusal>,
    /// Whether the request may run at a suspect server.
    allow_suspect: bool,
}

impl<'a> Attempts<'a> {
    pub(crate) fn new(
        node: &'a Rc<Node>,
        id: &'a str,
        admitted: &'a Admitted,
        may_have_run: &'a Cell<bool>,
    ) -> Self {
        Self {
            node,
            id,
            admitted,
            may_have_run,
            repeatable: admitted.route.is_repeatable(admitted.head.method.as_str()),
            hedged: None,
            tried: SmallVec::new(),
            refused_by: SmallVec::new(),
            servers_reached: 0,
            declines: 0,
            suspect_declines: 0,
            free_in: None,
            fallback: None,
            uncertain: None,
            allow_suspect: false,
        }
    }

    /// Makes attempts until one is answered or no further one is possible.
    pub(crate) async fn run(mut self) -> RequestResult {
        // Requests on open routes come from running requests, which have been credited themselves.
        if self.admitted.route.open {
            self.node.charge_repeated_call(&self.admitted.service);
        } else {
            self.node.credit_retry_budget(&self.admitted.service);
        }
        let mut in_flight = InFlight::default();
        let mut wants_more = true;
        loop {
            if wants_more && let Some(to) = self.choose_daemon().await {
                self.may_have_run.set(true);
                in_flight.start(self.attempt_request(to));
            }
            if in_flight.len() == 0 {
                return self.give_up();
            }
            let only = in_flight.only();
            wants_more = tokio::select! {
                biased;
                (info, outcome) = in_flight.next_ended() => {
                    match self.handle_outcome(info, outcome, in_flight.len()) {
                        ControlFlow::Break(done) => return done,
                        ControlFlow::Continue(wants_more) => wants_more,
                    }
                }
                overdue = self.wait_for_hedge(only) => {
                    self.start_hedge(overdue);
                    true
                }
            };
        }
    }

    /// Handles the end of an attempt. `still_running` is the number of attempts that are still running.
    /// `Continue` says whether to make another one.
    fn handle_outcome(
        &mut self,
        info: AttemptInfo,
        outcome: AttemptOutcome,
        still_running: usize,
    ) -> ControlFlow<RequestResult, bool> {
        let to = info.to;
        let is_declined = matches!(outcome, AttemptOutcome::Failed(RunError::Declined { .. }));
        let is_busy =
            matches!(outcome, AttemptOutcome::Failed(RunError::Declined { reason: DeclineReason::Busy, .. }));
        let may_place_again = !is_proven(&outcome) || self.node.may_start_request(Instant::now());
        let has_run = self.uncertain.is_some() || self.fallback.is_some();
        self.may_have_run.set(!is_declined || still_running > 0 || has_run);
        self.hedged.take_if(|hedged| *hedged == to);
        let reason = match outcome {
            AttemptOutcome::Answered(rep) if !rep.status().is_server_error() || !self.repeatable => {
                self.record_answer_time(info, &rep);
                self.log_answer(info, &rep);
                return ControlFlow::Break(Ok(*rep));
            }
            AttemptOutcome::Answered(rep) => {
                self.log_failure(info, &format!("status={}", rep.status().as_u16()));
                self.fallback = Some(*rep);
                self.servers_reached += 1;
                RetryReason::ServerError
            }
            AttemptOutcome::Failed(error) => {
                self.log_failure(info, &format!("outcome={error:?}"));
                match self.record_error(error) {
                    Ok(reason) => reason,
                    Err(refused) => return ControlFlow::Break(Err(refused)),
                }
            }
        };
        if is_busy && to == self.node.identity.addr {
            // An answer that its caller doesn't read may hold a slot of the server beside this daemon.
            self.node.connections.evict(Shortage::Slots, Instant::now());
        }
        if !self.tried.contains(&to) {
            self.tried.push(to);
        }
        if reason == RetryReason::Shed && !self.repeatable {
            self.refused_by.push(to);
        }
        let is_hedge_running = still_running > 0 && self.hedged.is_none();
        ControlFlow::Continue(
            may_place_again && !is_hedge_running && self.try_spend_retry(reason, still_running),
        )
    }

    fn record_answer_time(&self, info: AttemptInfo, rep: &Response<Body>) {
        if rep.status().is_server_error() {
            return;
        }
        let took = info.sent_at.elapsed();
        self.node.answer_times.borrow_mut().record(self.admitted.route_hash, took);
        // Missing while the run goes on because its answer is streamed.
        if let Some(run_time) = rep.extensions().get::<RunTime>() {
            self.node.costs.borrow_mut().record(self.admitted.route_hash, run_time.cost);
            let expected_s = info.expected_run.as_secs_f64().max(MIN_EXPECTED_RUN_S);
            self.node.metrics.run_ratio.observe(run_time.took.as_secs_f64() / expected_s);
        }
    }

    /// Run time expected at an average server. On a route whose answers are all streamed, their run times are not
    /// known here, and the time to the head of the answer stands for them.
    fn expected_run(&self) -> Duration {
        let Admitted { route, route_hash, .. } = self.admitted;
        let learned = self.node.costs.borrow().recorded(*route_hash);
        let estimate =
            learned.unwrap_or_else(|| self.node.answer_times.borrow().estimate(*route_hash, route.objective));
        estimate.mean()
    }

    fn log_answer(&self, info: AttemptInfo, rep: &Response<Body>) {
        let AttemptInfo { to, report_ms, .. } = info;
        let (status, took_ms) = (rep.status().as_u16(), info.sent_at.elapsed().as_millis());
        let run_ms = rep.extensions().get::<RunTime>().map_or(-1, |run| run.took.as_millis() as i64);
        let expected_ms = info.expected_run.as_millis();
        let customer = self.admitted.customer.as_deref().unwrap_or("-");
        let (id, route, version) = (self.id, &self.admitted.route.name, self.admitted.version);
        event!(
            Info,
            RequestAnswered,
            "id={id} route={route} version={version} customer={customer} to={to} report_ms={report_ms} status={status} took_ms={took_ms} run_ms={run_ms} expected_ms={expected_ms}"
        );
    }

    fn log_failure(&self, info: AttemptInfo, result: &str) {
        let AttemptInfo { to, report_ms, .. } = info;
        let (id, took_ms) = (self.id, info.sent_at.elapsed().as_millis());
        event!(Info, RequestFailed, "id={id} to={to} report_ms={report_ms} {result} took_ms={took_ms}");
    }

    /// Whether another attempt may be made while `running` attempts are running; if so, charges it to the
    /// retry budget.
    fn try_spend_retry(&self, reason: RetryReason, running: usize) -> bool {
        let has_attempts = self.servers_reached + (running as u32) < self.admitted.route.attempts;
        // A stopping daemon has no time for more than the attempts that are running.
        let only_waits = running > 0 && self.node.is_stopping();
        has_attempts
            && !only_waits
            && Instant::now() < self.admitted.deadline
            && self.node.try_spend_retry(&self.admitted.service, reason)
    }

    /// Waits until the only running attempt is overdue, its server is suspect or silent, and the retry budget
    /// covers a second attempt.
    async fn wait_for_hedge(&self, only: Option<AttemptInfo>) -> AttemptInfo {
        let Some(info) = only.filter(|_| self.repeatable && self.hedged.is_none()) else {
            return pending().await;
        };
        sleep_until(info.overdue_at.into()).await;
        while !(self.is_suspect_or_silent(info) && self.try_spend_retry(RetryReason::Silent, 1)) {
            sleep(HEDGE_CHECK_INTERVAL).await;
        }
        info
    }

    /// Whether the server of an attempt is suspected to fail or its daemon is silent.
    fn is_suspect_or_silent(&self, info: AttemptInfo) -> bool {
        let now = Instant::now();
        if info.to == self.node.identity.addr {
            return self.node.local_server.is_suspect(now);
        }
        self.node.peers.borrow().is_suspect_or_silent(&info.to, info.sent_at, now)
    }

    /// Keeps a slow attempt running while another one is made.
    fn start_hedge(&mut self, info: AttemptInfo) {
        let (id, to, took_ms) = (self.id, info.to, info.sent_at.elapsed().as_millis());
        event!(Info, RequestRetried, "id={id} slow={to} report_ms={} took_ms={took_ms}", info.report_ms);
        self.hedged = Some(to);
        self.tried.push(to);
    }

    /// Records why an attempt has no answer, and returns the reason for a retry; fails if the request must
    /// not be retried.
    fn record_error(&mut self, error: RunError) -> Result<RetryReason, RequestRefusal> {
        match error {
            RunError::Declined { reason, free_in } => {
                self.node.metrics.declines.with_label_values(&[&reason.to_string()]).inc();
                self.declines += 1;
                if reason == DeclineReason::Suspect {
                    self.suspect_declines += 1;
                    self.allow_suspect |= self.suspect_declines >= MAX_SUSPECT_DECLINES;
                }
                if reason == DeclineReason::Busy {
                    self.free_in = Some(self.free_in.map_or(free_in, |known| known.min(free_in)));
                }
                if reason.reached_server() {
                    self.servers_reached += 1;
                    return Ok(RetryReason::Shed);
                }
                Ok(RetryReason::Connect)
            }
            RunError::Broken | RunError::Overdue => {
                let (refusal, reason) = match error {
                    RunError::Broken => (Refusal::Broken, RetryReason::Broken),
                    _ => (Refusal::TimedOut, RetryReason::Silent),
                };
                self.uncertain = Some(refusal);
                self.servers_reached += 1;
                if self.repeatable { Ok(reason) } else { Err(refusal.into()) }
            }
        }
    }

    fn give_up(self) -> RequestResult {
        if let Some(rep) = self.fallback {
            return Ok(rep);
        }
        if let Some(refusal) = self.uncertain {
            return Err(refusal.into());
        }
        let wait = self.free_in.unwrap_or(MIN_RETRY_AFTER);
        let spread = rand::rng().random_range(1.0..1.5);
        let is_full = self.free_in.is_some() || self.servers_reached > 0;
        let refusal = if is_full { Refusal::QueueFull } else { Refusal::NoServer };
        Err(RequestRefusal::after(refusal, wait.mul_f64(spread)))
    }

    /// Chooses the daemon for the next attempt; waits a little if no server of the service is known yet.
    async fn choose_daemon(&mut self) -> Option<DaemonId> {
        let wait_until = Instant::now() + FIRST_SERVER_WAIT.min(self.admitted.route.objective / 8);
        loop {
            if self.declines >= MAX_DECLINES {
                return None;
            }
            if let Some((to, is_last_resort)) = self.choose_from_known() {
                self.allow_suspect |= is_last_resort;
                return Some(to);
            }
            if !self.allow_suspect && !self.tried.is_empty() {
                // No untried server is left: a suspect one is better than none.
                self.allow_suspect = true;
                self.tried.clear();
                self.tried.extend(self.hedged);
                self.tried.extend_from_slice(&self.refused_by);
                continue;
            }
            if !self.tried.is_empty() || Instant::now() >= wait_until {
                return None;
            }
            sleep(FIRST_SERVER_WAIT / 5).await;
        }
    }

    /// Chooses a daemon whose server is known. Also returns whether none of the servers is healthy and
    /// reachable.
    fn choose_from_known(&self) -> Option<(DaemonId, bool)> {
        let now = Instant::now();
        let service = &*self.admitted.service;
        let regions = self.allowed_regions();
        let evacuations = self.node.evacuations.borrow();
        let may_run_at =
            |place: &Place| regions.allows(&place.region) && !evacuations.is_evacuated(place, now);
        let peers = self.node.peers.borrow();
        let (mut addrs, mut candidates) = peers.candidates(service, &self.tried, may_run_at, now);
        if may_run_at(&self.node.identity.place) {
            self.add_local_server(&mut addrs, &mut candidates, now);
        }
        let sizes = self.node.response_sizes.borrow();
        let size = sizes.get(&self.admitted.route_hash).copied().unwrap_or(0.0);
        let requirements = Requirements {
            repeatable: self.repeatable && self.servers_reached == 0 && self.hedged.is_none(),
            nested: self.admitted.route.open,
            objective_left: self.admitted.objective_at.saturating_duration_since(now),
            expected_run: self.expected_run(),
            bytes: size as u64 + self.admitted.body.len() as u64 + ESTIMATED_HEAD_BYTES,
        };
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let index = place_request(&candidates, &requirements, &mut rng)?;
        let has_healthy = candidates.iter().any(|c| !c.condition.is_suspect() && c.reachable);
        Some((addrs[index], !has_healthy))
    }

    /// Regions in which the request may run, by the configuration that admitted it and by the one now in force.
    fn allowed_regions(&self) -> AllowedRegions {
        let admitted = &self.admitted.regions;
        let newer = self.node.conf().filter(|conf| conf.version != self.admitted.version);
        let head = &self.admitted.head;
        let newer = newer.as_ref().map(|conf| {
            let host = edge::admit::request_host(head);
            let route = conf.match_route(host, head.uri.path(), head.method.as_str());
            conf.allowed_regions(route, self.admitted.customer.as_ref())
        });
        newer.map_or_else(|| admitted.clone(), |regions| admitted.intersect(&regions))
    }

    /// Adds the server beside this daemon to the candidates.
    fn add_local_server(&self, addrs: &mut Vec<DaemonId>, candidates: &mut Vec<Candidate>, now: Instant) {
        let me = self.node.identity.addr;
        let service = self.node.local_server.service();
        let report = self.node.local_server.report(now);
        if service.as_ref() != Some(&self.admitted.service) || !report.takes_work || self.tried.contains(&me)
        {
            return;
        }
        candidates.push(Candidate {
            index: addrs.len(),
            distance: Distance::SameInstance,
            load: report.load(0, Duration::ZERO),
            condition: report.condition,
            reachable: true,
            is_known: true,
            report_age: Duration::ZERO,
        });
        addrs.push(me);
    }

    fn handoff(&self) -> Handoff {
        let now = Instant::now();
        Handoff {
            service: self.admitted.service.clone(),
            customer: self.admitted.customer.clone(),
            caller_service: self.node.identity.service.clone(),
            route_hash: self.admitted.route_hash,
            priority: self.admitted.priority,
            nested: self.admitted.route.open,
            repetition: if self.repeatable { Repetition::Allowed } else { Repetition::Never },
            allow_suspect: self.allow_suspect,
            is_repeat: self.servers_reached > 0 || self.hedged.is_some(),
            connection: 0,
            number: 0,
            cost: self.node.costs.borrow().learned_mean(self.admitted.route_hash),
            objective: self.admitted.route.objective,
            objective_left: self.admitted.objective_at.saturating_duration_since(now),
            deadline_left: self.node.answer_deadline(self.admitted.deadline).saturating_duration_since(now),
        }
    }

    fn attempt_request(&self, to: DaemonId) -> AttemptRequest {
        AttemptRequest {
            node: Rc::clone(self.node),
            requests: Rc::clone(&self.admitted.requests),
            id: self.id.into(),
            to,
            handoff: self.handoff(),
            req: self.request(),
            deadline: self.admitted.deadline,
            expected_run: self.expected_run(),
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

/// Whether an attempt was proven not to have run by a question, as at the end of a planned stop. A server could not
/// finish the request then.
fn is_proven(outcome: &AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Failed(RunError::Declined { reason, .. }) if reason.is_proof())
}
