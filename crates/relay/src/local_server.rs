//! The backend server beside this daemon, and the queue of requests for it.
//!
//! All requests to the server pass through [`LocalServer`]. [`Registration`] tells whether the server takes
//! work, [`SlotQueue`] which request gets the next free slot, and [`GrayFilter`] whether the server is
//! suspected to fail.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{ServiceId, event};
use bytes::Bytes;
use conf::{Service, Snapshot};
use health::{GrayFilter, RequestOutcome};
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use route::placement::ServerCondition;
use route::slot_queue::{Dequeued, OfferOutcome, SlotRequest, Ticket};
use route::{ColdGate, CostEstimator, RunEstimate, SlotQueue, SpeedEstimator};
use tokio::sync::oneshot::error::RecvError;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep_until, timeout_at};

use crate::body::Body;
use crate::exchange::ServerExchange;
use crate::fate_questions::Receipt;
use crate::handoff::{DeclineReason, Handoff, Repetition, RunError, RunTime, ServerReport};
use crate::header_names::HeaderNames;
use crate::pool::Pool;
use crate::registration::{Departure, Heartbeat, HeartbeatOutcome, Registration, ServerIncarnation};
use crate::slot::RunningRequest;

/// Longest idle time of a connection that may carry a request which must run at most once. The server may
/// have closed an older one, and then it would be unknown whether the request has run.
const MAX_IDLE_FOR_ONCE: Duration = Duration::from_millis(500);
/// Longest idle time of a connection that may carry a repeatable request. The idle timeout that the server
/// states is a further limit.
const MAX_IDLE_FOR_REPEATABLE: Duration = Duration::from_mins(1);
/// Time after a failed connection attempt for which the server counts as suspect and is not probed.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after a failure of a suspect server before it is probed by another request.
const PROBE_DELAY: Duration = Duration::from_millis(800);
/// Time without work after which a healthy server is reported as idle. Daemons then send some requests
/// to it, so that its health stays known.
const IDLE_AFTER: Duration = Duration::from_millis(900);
/// Weight of a new request in the moving share of requests that the server sheds.
const SHED_WEIGHT: f64 = 0.1;
/// Shortest time for which a request waits for a slot before it is declined and may go to another server.
const MIN_SLOT_WAIT: Duration = Duration::from_millis(150);
/// Multiple of the expected wait for a slot after which a waiting request is declined.
const SLOT_WAIT_FACTOR: u32 = 2;
/// Multiple of its expected run time that a request must have left to start while the daemon stops, since run
/// times on one route vary.
const STOP_RUN_TIME_FACTOR: u32 = 2;
/// Heartbeats after an evacuation until they are believed that the server is warm. It may have become cold shortly
/// before, and the first one may have been sent before that.
const HEARTBEATS_AFTER_EVACUATION: u8 = 2;
/// Heartbeats after a failed connection until they are believed that the server is warm, since it may have restarted.
const HEARTBEATS_AFTER_FAILURE: u8 = 1;
/// Run time by which the room of a cold server is reckoned while it has no requests.
const DEFAULT_RUN: Duration = Duration::from_millis(250);
/// Number of slots assumed before the first heartbeat of the server.
const INITIAL_SLOTS: usize = 1;

#[derive(Debug)]
struct State {
    registration: Registration,
    queue: SlotQueue,
    /// Senders that tell each waiting request whether it got a slot. A sender dropped without a message tells
    /// it that the server takes no more work.
    waiters: HashMap<Ticket, oneshot::Sender<bool>>,
    gray_filter: GrayFilter,
    /// Run time of each route at an average server.
    costs: CostEstimator,
    speed: SpeedEstimator,
    /// Set by a failed attempt to connect. Until this time the server counts as suspect and is not probed.
    down_until: Option<Instant>,
    /// The request that probes the suspect server, if one is running or waiting.
    probe: Option<Ticket>,
    /// Earliest time of the next probe.
    next_probe_at: Instant,
    /// When a request last asked for a slot, whether it got one or not.
    last_offered_at: Instant,
    /// Moving average of the share of requests that the server refused to run, 0 to 1.
    shed_share: f64,
}

impl State {
    /// Estimate of a run at this server: by its own runs, else by what the caller's daemon has learned, else by
    /// the objective.
    fn estimate(&self, handoff: &Handoff) -> RunEstimate {
        let learned = self.costs.recorded(handoff.route_hash).or(handoff.cost.map(RunEstimate::from));
        let average = learned.unwrap_or_else(|| RunEstimate::from_objective(handoff.objective));
        average.at_slowness(self.speed.slowness())
    }

    fn condition(&self, now: Instant) -> ServerCondition {
        let is_down = self.down_until.is_some_and(|until| now < until);
        let is_idle = now.saturating_duration_since(self.last_offered_at) > IDLE_AFTER;
        match (is_down || self.gray_filter.is_suspect(now), is_idle) {
            (true, _) if !is_down && self.probe.is_none() && now >= self.next_probe_at => {
                ServerCondition::Probation
            }
            (true, _) => ServerCondition::Suspect,
            (false, true) => ServerCondition::Idle,
            (false, false) => ServerCondition::Healthy,
        }
    }
}

/// The server beside this daemon, and the queue of requests for it.
#[derive(Debug)]
pub struct LocalServer {
    pub(crate) header_names: Rc<HeaderNames>,
    pub(crate) pool: Pool,
    state: RefCell<State>,
    /// Notified of each change of the report that other daemons should learn of at once.
    report_changed: Notify,
    /// When a call last failed that the server may have made for one of its running requests.
    call_failed_at: Cell<Option<Instant>>,
    /// Number of running requests that another server may have run before.
    running_repeats: Cell<u32>,
    is_stopping: Cell<bool>,
    /// Whether this process knows the departures that earlier ones acknowledged; no request runs before.
    knows_departures: Cell<bool>,
    /// Whether the server's data centre is being evacuated: the server gets no requests.
    is_evacuated: Cell<bool>,
    /// Requests a second that a cold server can take, for each service that states it.
    cold_rates: RefCell<HashMap<ServiceId, f64>>,
    /// Notified when requests wait although a slot is free, because the server is cold.
    cold_wait_began: Notify,
    /// Set when a graceful stop begins: requests that are not expected to finish by this time are declined.
    ends_at: Cell<Option<Instant>>,
}

impl LocalServer {
    /// Creates the queue for the server at `addr`, which has not registered yet.
    pub fn new(header_names: Rc<HeaderNames>, addr: SocketAddr, now: Instant) -> Self {
        let state = State {
            registration: Registration::default(),
            queue: SlotQueue::new(INITIAL_SLOTS).with_gate(ColdGate::new(now)),
            waiters: HashMap::new(),
            gray_filter: GrayFilter::new(now),
            costs: CostEstimator::default(),
            speed: SpeedEstimator::default(),
            down_until: None,
            probe: None,
            next_probe_at: now,
            last_offered_at: now,
            shed_share: 0.0,
        };
        Self {
            header_names,
            pool: Pool::new(addr),
            state: RefCell::new(state),
            report_changed: Notify::new(),
            call_failed_at: Cell::new(None),
            running_repeats: Cell::new(0),
            is_stopping: Cell::new(false),
            knows_departures: Cell::new(true),
            is_evacuated: Cell::new(false),
            cold_rates: RefCell::default(),
            cold_wait_began: Notify::new(),
            ends_at: Cell::new(None),
        }
    }

    /// Applies a heartbeat of the server.
    pub fn apply_heartbeat(&self, heartbeat: Heartbeat, now: Instant) -> HeartbeatOutcome {
        let mut state = self.state.borrow_mut();
        let (slots, draining) = (usize::from(heartbeat.slots), heartbeat.draining);
        let (id, sequence, born) = (heartbeat.id.clone(), heartbeat.sequence, heartbeat.born);
        let was_draining = state.registration.server().is_some_and(|s| s.heartbeat.draining);
        let outcome = state.registration.apply_heartbeat(heartbeat, now);
        match outcome {
            HeartbeatOutcome::Registered => {
                state.gray_filter = GrayFilter::new(now);
                state.costs = CostEstimator::default();
                state.speed = SpeedEstimator::default();
                state.down_until = None;
                self.pool.clear();
                event!(Info, ServerAnnounced, "server={id} born={born} sequence={sequence} slots={slots}");
            }
            HeartbeatOutcome::Updated => state.down_until = None,
            HeartbeatOutcome::Late | HeartbeatOutcome::Outdated | HeartbeatOutcome::ServiceChanged => {
                event!(
                    Debug,
                    ServerAnnounced,
                    "server={id} sequence={sequence} outcome=ignored ({outcome:?})"
                );
                return outcome;
            }
        }
        state.queue.set_slots(slots);
        if draining && !was_draining {
            event!(Info, ServerLeaving, "server={id} born={born} sequence={sequence}");
        }
        if outcome == HeartbeatOutcome::Registered || draining != was_draining {
            self.report_changed.notify_one();
        }
        if draining {
            decline_waiting(&mut state);
        }
        self.grant_slots(&mut state, now);
        outcome
    }

    /// Records that the server with this id has left; `wall_ms` is the present Unix time.
    pub fn deregister(&self, id: &str, wall_ms: ServerIncarnation) {
        let mut state = self.state.borrow_mut();
        if state.registration.deregister(id, wall_ms) {
            event!(Info, ServerLeaving, "server={id} outcome=left");
            decline_waiting(&mut state);
            self.report_changed.notify_one();
        }
    }

    /// Applies departures of servers that earlier processes of this daemon acknowledged, latest first.
    pub fn restore_departures(&self, departures: Vec<Departure>) {
        let mut state = self.state.borrow_mut();
        if state.registration.restore_departures(departures) {
            event!(Info, ServerLeaving, "outcome=restored");
            decline_waiting(&mut state);
            self.report_changed.notify_one();
        }
    }

    /// Sets whether this process knows the departures that earlier ones acknowledged. While it doesn't, all
    /// requests are declined.
    pub fn set_departures_known(&self, is_known: bool) {
        self.knows_departures.set(is_known);
        self.report_changed.notify_one();
    }

    /// Departures of servers to be kept for the next process of this daemon, latest first.
    pub fn departures(&self) -> Vec<Departure> {
        self.state.borrow().registration.departures()
    }

    /// Sets how many requests a second cold servers bear.
    pub fn set_cold_rates(&self, conf: &Snapshot) {
        let rate = |service: &Arc<Service>| Some((service.name.clone(), service.cold_rate?));
        self.cold_rates.replace(conf.services.values().filter_map(rate).collect());
    }

    /// Sets whether the server's data centre is being evacuated. Waiting requests are then declined. Afterwards the
    /// server counts as cold until its heartbeats say otherwise.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        if self.is_evacuated.replace(is_evacuated) == is_evacuated {
            return;
        }
        let mut state = self.state.borrow_mut();
        if is_evacuated {
            decline_waiting(&mut state);
        } else {
            state.registration.suspect_cold(HEARTBEATS_AFTER_EVACUATION);
        }
        drop(state);
        self.report_changed.notify_one();
    }

    /// Requests a second that the server can take; `None` if it is warm or its service states no limit.
    fn cold_rate(&self, state: &State, now: Instant) -> Option<f64> {
        let server = state.registration.server().filter(|_| state.registration.is_cold(now))?;
        self.cold_rates.borrow().get(&server.heartbeat.service).copied()
    }

    /// Applies the limit of a cold server to the queue.
    fn update_cold_limit(&self, state: &mut State, now: Instant) {
        let rate = self.cold_rate(state, now);
        state.queue.set_cold_limit(rate.map(|rate| rate as usize));
    }

    /// Grants free slots to waiting requests.
    fn grant_slots(&self, state: &mut State, now: Instant) {
        self.update_cold_limit(state, now);
        start_waiting(state, now);
        if state.queue.gate_wait(now).is_some() {
            self.cold_wait_began.notify_waiters();
        }
    }

    /// Waits for the next change of the report that other daemons should learn of at once.
    pub async fn next_change(&self) {
        self.report_changed.notified().await;
    }

    /// From now on declines requests that are not expected to finish before `at`. Those that are accepted
    /// have `at` as their latest deadline.
    pub fn decline_runs_past(&self, at: Instant) {
        self.ends_at.set(Some(at));
    }

    /// Declines all new requests from now on, and those that wait for a slot.
    pub fn stop_accepting(&self) {
        self.is_stopping.set(true);
        decline_waiting(&mut self.state.borrow_mut());
    }

    /// Number of requests that run at the server or wait for a slot.
    pub fn request_count(&self) -> usize {
        let state = self.state.borrow();
        state.queue.running() + state.queue.waiting()
    }

    /// Service of the registered server.
    pub fn service(&self) -> Option<ServiceId> {
        let state = self.state.borrow();
        state.registration.server().map(|s| s.heartbeat.service.clone())
    }

    /// Whether a server is registered.
    pub fn has_server(&self) -> bool {
        self.state.borrow().registration.server().is_some()
    }

    /// Whether the server is suspected to fail requests.
    pub(crate) fn is_suspect(&self, now: Instant) -> bool {
        self.state.borrow().gray_filter.is_suspect(now)
    }

    /// Load and health of the server, for other daemons.
    pub fn report(&self, now: Instant) -> ServerReport {
        let state = self.state.borrow();
        let takes_work = state.registration.server().is_some_and(|s| !s.heartbeat.draining);
        let overrun = state.queue.longest_overrun(now);
        let is_known = state.speed.has_runs() || overrun > 1.0;
        let slowness = if is_known { state.speed.slowness() * overrun.max(1.0) } else { 0.0 };
        let work = state.queue.work(now);
        let whole_ms = |work: Duration| u32::try_from(work.as_millis()).unwrap_or(u32::MAX);
        let mean_run = state.queue.mean_run().unwrap_or(DEFAULT_RUN);
        let slots = usable_slots(state.queue.slots(), self.cold_rate(&state, now), mean_run);
        ServerReport {
            takes_work: takes_work && self.accepts_requests(),
            running: state.queue.running() as u16,
            waiting: state.queue.waiting() as u16,
            slots: slots as u16,
            slowness_percent: (slowness * 100.0).round() as u16,
            condition: state.condition(now),
            work_ms: whole_ms(work.total),
            work_before_calls_ms: whole_ms(work.before_calls),
            shed_percent: (state.shed_share * 100.0).round() as u8,
        }
    }

    /// Whether this daemon lets requests through to its server, apart from what the server's heartbeats say.
    fn accepts_requests(&self) -> bool {
        self.knows_departures.get() && !self.is_stopping.get() && !self.is_evacuated.get()
    }

    /// Waits for a slot, runs the request at the server and returns the answer.
    ///
    /// # Errors
    /// Returns why there is no answer, and whether the request may have run.
    pub async fn run_request(
        self: &Rc<Self>,
        handoff: &Handoff,
        req: Request<Bytes>,
    ) -> Result<Response<Body>, RunError> {
        self.run_received(handoff, &Receipt::untracked(), req).await
    }

    /// As [`run_request`](Self::run_request), for a hand-off of another daemon. One that is given up while it
    /// waits does not start.
    pub(crate) async fn run_received(
        self: &Rc<Self>,
        handoff: &Handoff,
        receipt: &Receipt,
        req: Request<Bytes>,
    ) -> Result<Response<Body>, RunError> {
        let now = Instant::now();
        let deadline = now + handoff.deadline_left;
        let deadline = self.ends_at.get().map_or(deadline, |at| at.min(deadline));
        let id = req.headers().get(&self.header_names.request_id).cloned();
        let run = self
            .acquire_slot(handoff, now, deadline)
            .await
            .inspect_err(|e| self.log_declined(id.as_ref(), *e, now))?;
        if !receipt.start() {
            return Err(RunError::declined(DeclineReason::GivenUp));
        }
        let is_once = handoff.repetition == Repetition::Never;
        let max_idle = if is_once { MAX_IDLE_FOR_ONCE } else { MAX_IDLE_FOR_REPEATABLE };
        let conn = match timeout_at(deadline.into(), self.pool.take(max_idle)).await {
            Ok(Ok(conn)) => conn,
            Ok(Err(e)) => {
                self.mark_unreachable(&e);
                return Err(RunError::declined(DeclineReason::Unreachable));
            }
            Err(_late) => return Err(RunError::declined(DeclineReason::Unreachable)),
        };
        let sent_at = Instant::now();
        let expected_run = self.state.borrow().estimate(handoff).mean();
        let _counted = handoff.is_repeat.then(|| RunningRepeat::start(&self.running_repeats));
        let exchange = ServerExchange { handoff, run, conn, sent_at, expected_run, deadline };
        exchange.run(req).await
    }

    /// Logs why a request was declined, with the load and the probability that the server is failing.
    fn log_declined(&self, id: Option<&HeaderValue>, error: RunError, since: Instant) {
        let RunError::Declined { reason, free_in } = error else { return };
        let state = self.state.borrow();
        let id = id.and_then(|v| v.to_str().ok()).unwrap_or("-");
        let (running, waiting, slots) = (state.queue.running(), state.queue.waiting(), state.queue.slots());
        let (free_in_ms, after_ms) = (free_in.as_millis(), since.elapsed().as_millis());
        event!(
            Info,
            RequestDeclined,
            "id={id} reason={reason} free_in_ms={free_in_ms} running={running} waiting={waiting} slots={slots} \
             failing={:.3} after_ms={after_ms}",
            state.gray_filter.failure_probability(Instant::now())
        );
    }

    async fn acquire_slot(
        self: &Rc<Self>,
        handoff: &Handoff,
        now: Instant,
        deadline: Instant,
    ) -> Result<RunningRequest, RunError> {
        let (mut run, pending) = self.request_slot(handoff, now, deadline)?;
        let Some(pending) = pending else {
            return Ok(run);
        };
        let max_wait = (pending.free_in * SLOT_WAIT_FACTOR).max(MIN_SLOT_WAIT);
        let granted = self.wait_for_slot(pending.receiver, (now + max_wait).min(deadline)).await;
        match granted {
            Some(Ok(true)) => {
                run.restart_clock(Instant::now());
                Ok(run)
            }
            Some(Ok(false)) | None => {
                Err(RunError::Declined { reason: DeclineReason::Busy, free_in: pending.free_in })
            }
            Some(Err(_cleared)) => Err(RunError::declined(DeclineReason::Draining)),
        }
    }

    /// Waits until `until` for the message whether a slot was granted, and meanwhile starts waiting requests whenever
    /// a cold server can take one more.
    async fn wait_for_slot(
        &self,
        mut receiver: oneshot::Receiver<bool>,
        until: Instant,
    ) -> Option<Result<bool, RecvError>> {
        loop {
            let now = Instant::now();
            let cold_wait_began = self.cold_wait_began.notified();
            let gate_wait = self.state.borrow().queue.gate_wait(now);
            let wake_at = gate_wait.map_or(until, |wait| until.min(now + wait));
            tokio::select! {
                biased;
                granted = &mut receiver => return Some(granted),
                () = cold_wait_began => {}
                () = sleep_until(wake_at.into()) => {
                    if wake_at >= until {
                        return None;
                    }
                    self.grant_slots(&mut self.state.borrow_mut(), Instant::now());
                }
            }
        }
    }

    /// Requests a slot. Without a [`PendingSlot`] the request has its slot already.
    fn request_slot(
        self: &Rc<Self>,
        handoff: &Handoff,
        now: Instant,
        deadline: Instant,
    ) -> Result<(RunningRequest, Option<PendingSlot>), RunError> {
        if self.is_stopping.get() {
            return Err(RunError::declined(DeclineReason::Stopping));
        }
        if !self.knows_departures.get() {
            return Err(RunError::declined(DeclineReason::NoServer));
        }
        if self.is_evacuated.get() {
            return Err(RunError::declined(DeclineReason::Evacuated));
        }
        let mut state = self.state.borrow_mut();
        self.update_cold_limit(&mut state, now);
        let server = state.registration.serving(&handoff.service).map_err(RunError::declined)?;
        let server = server.heartbeat.id.clone();
        let condition = state.condition(now);
        let is_repeatable = handoff.repetition != Repetition::Never;
        let may_probe = is_repeatable && condition == ServerCondition::Probation;
        if condition.is_suspect() && !may_probe && !handoff.allow_suspect {
            return Err(RunError::declined(DeclineReason::Suspect));
        }
        state.last_offered_at = now;
        let estimate = state.estimate(handoff);
        let request = SlotRequest {
            priority: handoff.priority,
            nested: handoff.nested,
            objective_at: now + handoff.objective_left,
            deadline,
            expected_run: estimate.mean(),
            estimate,
        };
        let time_needed =
            || state.queue.expected_wait(&request, now) + request.expected_run * STOP_RUN_TIME_FACTOR;
        if self.ends_at.get().is_some_and(|at| now + time_needed() > at) {
            return Err(RunError::declined(DeclineReason::Stopping));
        }
        let (ticket, pending) = match state.queue.offer(request, now) {
            OfferOutcome::Started(ticket) => (ticket, None),
            OfferOutcome::Waiting(ticket) => {
                let (tx, receiver) = oneshot::channel();
                state.waiters.insert(ticket, tx);
                (ticket, Some(PendingSlot { receiver, free_in: state.queue.expected_wait(&request, now) }))
            }
            OfferOutcome::Declined { free_in } => {
                return Err(RunError::Declined { reason: DeclineReason::Busy, free_in });
            }
        };
        if condition.is_suspect() {
            state.probe = Some(ticket);
        }
        drop(state);
        let local_server = Rc::clone(self);
        let run = RunningRequest::new(local_server, ticket, server, now, handoff);
        Ok((run, pending))
    }

    /// Records the run time of a request whose answer is complete. `expected` is the time that the caller's
    /// daemon expects of an average server, if it has learned it.
    pub(crate) fn record_run_time(
        &self,
        route_hash: u32,
        took: Duration,
        expected: Option<Duration>,
    ) -> RunTime {
        let mut state = self.state.borrow_mut();
        // The speed by earlier runs: a long run must not lower its own cost.
        let cost = took.div_f64(state.speed.slowness());
        state.costs.record(route_hash, cost);
        if let Some(expected) = expected {
            state.speed.record(took, expected);
        }
        RunTime { took, cost }
    }

    /// Takes a start back from the limit of a cold server.
    pub(crate) fn take_back_start(&self, started: Instant) {
        self.state.borrow_mut().queue.take_back_start(started);
    }

    /// Frees a request's slot, or its place in the queue, and starts waiting requests.
    pub(crate) fn release_slot(&self, ticket: Ticket) {
        let mut state = self.state.borrow_mut();
        state.queue.remove(ticket);
        state.waiters.remove(&ticket);
        if state.probe == Some(ticket) {
            state.probe = None;
        }
        self.grant_slots(&mut state, Instant::now());
    }

    fn mark_unreachable(&self, e: &std::io::Error) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.down_until = Some(now + CONNECT_RETRY_DELAY);
        state.gray_filter.observe(RequestOutcome::Failure, now);
        state.registration.suspect_cold(HEARTBEATS_AFTER_FAILURE);
        self.report_changed.notify_one();
        event!(Warn, ServerAvoided, "reason=unreachable error={e}");
    }

    /// Share of the running requests that another server may have run before, 0 to 1.
    pub(crate) fn repeat_share(&self) -> f64 {
        let running = self.state.borrow().queue.running().max(1);
        (f64::from(self.running_repeats.get()) / running as f64).min(1.0)
    }

    /// Records that a call of this instance on an open route has failed, which the server may have made.
    pub(crate) fn record_failed_call(&self, now: Instant) {
        self.call_failed_at.set(Some(now));
    }

    /// Whether a failure of a request that was sent at `sent_at` may be the failure of a call that the server
    /// made for it, which is no evidence against the server.
    pub(crate) fn may_be_failed_call(&self, sent_at: Instant) -> bool {
        self.call_failed_at.get().is_some_and(|at| at > sent_at)
    }

    /// Records whether the server shed or ran a request that reached it.
    pub(crate) fn record_arrival(&self, was_shed: bool) {
        let mut state = self.state.borrow_mut();
        let sample = if was_shed { 1.0 } else { 0.0 };
        state.shed_share += SHED_WEIGHT * (sample - state.shed_share);
    }

    /// Records the outcome of a request as evidence of the server's health.
    pub(crate) fn record_outcome(&self, outcome: RequestOutcome, now: Instant) {
        let mut state = self.state.borrow_mut();
        let was_suspect = state.gray_filter.is_suspect(now);
        state.gray_filter.observe(outcome, now);
        if outcome.is_failure() {
            state.next_probe_at = now + PROBE_DELAY;
        }
        let is_suspect = state.gray_filter.is_suspect(now);
        if was_suspect == is_suspect {
            return;
        }
        self.report_changed.notify_one();
        let failing = state.gray_filter.failure_probability(now);
        let server = state.registration.server().map(|s| s.heartbeat.id.clone()).unwrap_or_default();
        if is_suspect {
            event!(Info, ServerAvoided, "server={server} failing={failing:.3} outcome=suspect");
        } else {
            event!(Info, ServerReturned, "server={server} failing={failing:.3} outcome=trusted");
        }
    }
}

/// Counts a repeat as running until dropped.
struct RunningRepeat<'a>(&'a Cell<u32>);

impl<'a> RunningRepeat<'a> {
    fn start(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for RunningRepeat<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A slot for which a request waits.
#[derive(Debug)]
struct PendingSlot {
    /// Receives whether the slot was granted; closed if the server takes no more work.
    receiver: oneshot::Receiver<bool>,
    /// Expected time until the slot is free.
    free_in: Duration,
}

/// Slots that a server can keep in use: those of a cold server by the rate of requests that it can take.
fn usable_slots(slots: usize, cold_rate: Option<f64>, mean_run: Duration) -> usize {
    let Some(rate) = cold_rate else { return slots };
    slots.min((rate * mean_run.as_secs_f64()) as usize).max(1)
}

/// Drops all requests that wait for a slot, so that they can go to another server.
fn decline_waiting(state: &mut State) {
    for ticket in state.queue.clear_waiting() {
        state.waiters.remove(&ticket);
    }
}

/// Starts waiting requests while there are free slots, and tells them.
fn start_waiting(state: &mut State, now: Instant) {
    loop {
        let dequeued = state.queue.start_waiting(now);
        if dequeued.is_empty() {
            return;
        }
        for request in dequeued {
            let (ticket, has_slot) = match request {
                Dequeued::Started(ticket) => (ticket, true),
                Dequeued::TooLate(ticket) => (ticket, false),
            };
            let is_notified = state.waiters.remove(&ticket).is_some_and(|tx| tx.send(has_slot).is_ok());
            if has_slot && !is_notified {
                state.queue.remove(ticket);
            }
        }
    }
}
