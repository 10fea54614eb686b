//! The daemon beside a server: the only door to it.
//!
//! It alone decides what reaches the server: [`Registration`] tells whether it takes work, [`SlotQueue`] in which
//! order, [`GrayFilter`] whether it is thought to fail.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::event;
use bytes::Bytes;
use health::{GrayFilter, RequestOutcome};
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use route::SlotQueue;
use route::placement::ServerCondition;
use route::slot_queue::{Dequeued, OfferOutcome, SlotRequest, Ticket};
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout_at;

use crate::body::Body;
use crate::handoff::{Order, Reason, Repetition, Report, Verdict};
use crate::names::Names;
use crate::pool::Pool;
use crate::registration::{Born, Departure, Heartbeat, Noted, Registration};
use crate::sent::Sent;
use crate::slot::Run;
use crate::times::RunTimes;

/// Longest idle time of a connection that carries a request which may run only once: the server may
/// have closed it.
const FRESH_FOR_ONCE: Duration = Duration::from_millis(500);
/// Longest idle time of a connection for other requests; the server's own timeout bounds it too.
const FRESH_FOR_REPEATABLE: Duration = Duration::from_mins(1);
/// Pause after a failed connection before the server is tried again.
const DOWN_PAUSE: Duration = Duration::from_millis(500);
/// Pause between the end of a failed test of a suspect server and the next test.
const TEST_PAUSE: Duration = Duration::from_millis(800);
/// Time without work after which a sound server asks for some.
const IDLE_AFTER: Duration = Duration::from_millis(900);
/// Weight of a new arrival in the share of arrivals that the server shed.
const SHED_WEIGHT: f64 = 0.1;
/// How many mean runs a server that sheds everything seems slower to those who choose.
const SHED_COST: f64 = 4.0;
/// Shortest time for which a request waits for a slot before it may look for another server.
const MIN_PATIENCE: Duration = Duration::from_millis(150);
/// How many times the expected time it waits otherwise.
const PATIENCE_FACTOR: u32 = 2;
/// How many times its expected time a run must have before the daemon ends; runs of one route differ.
const SAFE_RUNS: u32 = 2;
/// Slots of a server before its first heartbeat.
const FIRST_SLOTS: usize = 1;

/// What others should learn of at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Changed {
    /// The server came, or is leaving.
    Membership,
    /// The server is thought to fail, or no longer.
    Health,
}

#[derive(Debug)]
struct State {
    registration: Registration,
    dispatch: SlotQueue,
    /// Those who wait for a slot; told whether they got it.
    waiting: HashMap<Ticket, oneshot::Sender<bool>>,
    gray: GrayFilter,
    times: RunTimes,
    /// Until when the server is not connected to.
    down_until: Option<Instant>,
    /// A run that tests the suspect server.
    test: Option<Ticket>,
    /// Before this time no further test is wanted.
    next_test: Instant,
    /// When work was last offered.
    last_offer: Instant,
    /// Moving share of arrivals that the server refused to run, 0 to 1.
    shed: f64,
}

impl State {
    fn condition(&self, now: Instant) -> ServerCondition {
        let is_down = self.down_until.is_some_and(|until| now < until);
        let is_idle = now.saturating_duration_since(self.last_offer) > IDLE_AFTER;
        match (is_down || self.gray.is_suspect(now), is_idle) {
            (true, _) if !is_down && self.test.is_none() && now >= self.next_test => {
                ServerCondition::Probation
            }
            (true, _) => ServerCondition::Suspect,
            (false, true) => ServerCondition::Idle,
            (false, false) => ServerCondition::Healthy,
        }
    }
}

/// The server beside this daemon, and the work in front of it.
#[derive(Debug)]
pub struct Exit {
    pub(crate) names: Rc<Names>,
    pub(crate) pool: Pool,
    state: RefCell<State>,
    /// Set when the report has changed in a way that others should learn of at once.
    changed: Cell<Option<Changed>>,
    /// Woken when `changed` is set.
    signal: Notify,
    is_stopping: Cell<bool>,
    /// When the daemon ends, once it was told to stop; no run that would take longer is begun.
    ends_at: Cell<Option<Instant>>,
}

impl Exit {
    /// Makes the exit to the server at `addr`.
    pub fn new(names: Rc<Names>, addr: SocketAddr, now: Instant) -> Self {
        let state = State {
            registration: Registration::default(),
            dispatch: SlotQueue::new(FIRST_SLOTS),
            waiting: HashMap::new(),
            gray: GrayFilter::new(now),
            times: RunTimes::default(),
            down_until: None,
            test: None,
            next_test: now,
            last_offer: now,
            shed: 0.0,
        };
        let (changed, is_stopping) = (Cell::new(None), Cell::new(false));
        let signal = Notify::new();
        let ends_at = Cell::new(None);
        Self {
            names,
            pool: Pool::new(addr),
            state: RefCell::new(state),
            changed,
            signal,
            is_stopping,
            ends_at,
        }
    }

    /// Takes in a heartbeat of the server.
    pub fn heartbeat(&self, heartbeat: Heartbeat, now: Instant) -> Noted {
        let mut state = self.state.borrow_mut();
        let (slots, draining) = (usize::from(heartbeat.slots), heartbeat.draining);
        let (id, sequence, born) = (heartbeat.id.clone(), heartbeat.sequence, heartbeat.born);
        let was_draining = state.registration.server().is_some_and(|s| s.heartbeat.draining);
        let noted = state.registration.note(heartbeat, now);
        match noted {
            Noted::Registered => {
                state.gray = GrayFilter::new(now);
                state.times = RunTimes::default();
                state.down_until = None;
                self.pool.clear();
                event!(Info, ServerAnnounced, "server={id} born={born} sequence={sequence} slots={slots}");
            }
            Noted::Updated => state.down_until = None,
            Noted::Late | Noted::Outdated => {
                event!(Debug, ServerAnnounced, "server={id} sequence={sequence} outcome=ignored ({noted:?})");
                return noted;
            }
        }
        state.dispatch.set_slots(slots);
        if draining && !was_draining {
            event!(Info, ServerLeaving, "server={id} born={born} sequence={sequence}");
        }
        if noted == Noted::Registered || draining != was_draining {
            self.note_change(Changed::Membership);
        }
        if draining {
            send_away(&mut state);
        }
        pull(&mut state, now);
        noted
    }

    /// Takes in that a server has left.
    pub fn leave(&self, id: &str, wall_ms: Born) {
        let mut state = self.state.borrow_mut();
        if state.registration.leave(id, wall_ms) {
            event!(Info, ServerLeaving, "server={id} outcome=left");
            send_away(&mut state);
            self.note_change(Changed::Membership);
        }
    }

    /// Takes in departures that an earlier process of this daemon acknowledged.
    pub fn restore(&self, departures: Vec<Departure>) {
        let mut state = self.state.borrow_mut();
        if state.registration.restore(departures) {
            event!(Info, ServerLeaving, "outcome=restored");
            send_away(&mut state);
            self.note_change(Changed::Membership);
        }
    }

    /// Departures that have to outlive this process.
    pub fn departures(&self) -> Vec<Departure> {
        self.state.borrow().registration.departures()
    }

    /// Waits for a change that others should learn of at once.
    pub async fn changed(&self) -> Changed {
        loop {
            if let Some(changed) = self.changed.take() {
                return changed;
            }
            self.signal.notified().await;
        }
    }

    fn note_change(&self, change: Changed) {
        let is_known = self.changed.get() == Some(Changed::Membership);
        self.changed.set(Some(if is_known { Changed::Membership } else { change }));
        self.signal.notify_one();
    }

    /// Takes only work that is expected to end before `at` from now on.
    pub fn end_at(&self, at: Instant) {
        self.ends_at.set(Some(at));
    }

    /// Takes no new work from now on.
    pub fn stop(&self) {
        self.is_stopping.set(true);
        send_away(&mut self.state.borrow_mut());
    }

    /// Requests that run or wait here.
    pub fn load(&self) -> usize {
        let state = self.state.borrow();
        state.dispatch.running() + state.dispatch.waiting()
    }

    /// The registered server's service, if it takes work.
    pub fn service(&self) -> Option<base::ServiceId> {
        let state = self.state.borrow();
        state.registration.server().map(|s| s.heartbeat.service.clone())
    }

    /// Whether a server is registered that has not left.
    pub fn has_server(&self) -> bool {
        self.state.borrow().registration.server().is_some()
    }

    /// Whether the server is thought to fail requests.
    pub(crate) fn is_suspect(&self, now: Instant) -> bool {
        self.state.borrow().gray.is_suspect(now)
    }

    /// What others should know of the server.
    pub fn report(&self, now: Instant) -> Report {
        let state = self.state.borrow();
        let takes_work = state.registration.server().is_some_and(|s| !s.heartbeat.draining);
        let mean = state.times.mean().max(state.dispatch.longest_run(now) / 2);
        let mean = mean.mul_f64(1.0 + SHED_COST * state.shed);
        Report {
            takes_work: takes_work && !self.is_stopping.get(),
            running: state.dispatch.running() as u16,
            waiting: state.dispatch.waiting() as u16,
            slots: state.dispatch.slots() as u16,
            mean_run_ms: mean.as_millis().min(u128::from(u16::MAX)) as u16,
            condition: state.condition(now),
        }
    }

    /// Runs a request at the server.
    ///
    /// # Errors
    /// Fails with what became of it instead.
    pub async fn run(self: &Rc<Self>, order: &Order, req: Request<Bytes>) -> Result<Response<Body>, Verdict> {
        let now = Instant::now();
        let deadline = now + order.deadline_left;
        let deadline = self.ends_at.get().map_or(deadline, |at| at.min(deadline));
        let id = req.headers().get(&self.names.request_id).cloned();
        let run = self
            .start(order, now, deadline)
            .await
            .inspect_err(|v| self.log_declined(id.as_ref(), *v, now))?;
        let is_once = order.repetition == Repetition::Never;
        let fresh = if is_once { FRESH_FOR_ONCE } else { FRESH_FOR_REPEATABLE };
        let conn = match timeout_at(deadline.into(), self.pool.take(fresh)).await {
            Ok(Ok(conn)) => conn,
            Ok(Err(e)) => {
                self.note_down(&e);
                return Err(Verdict::declined(Reason::Unreachable));
            }
            Err(_late) => return Err(Verdict::declined(Reason::Unreachable)),
        };
        let asked = Instant::now();
        let expected = self.state.borrow().times.expected(order.route_hash, order.objective);
        let sent = Sent { order, run, conn, asked, expected, deadline };
        sent.finish(req).await
    }

    /// Logs why a request was not given to the server, with the load and the belief that decided.
    fn log_declined(&self, id: Option<&HeaderValue>, verdict: Verdict, since: Instant) {
        let Verdict::Declined { reason, free_in } = verdict else { return };
        let state = self.state.borrow();
        let id = id.and_then(|v| v.to_str().ok()).unwrap_or("-");
        let (running, waiting, slots) =
            (state.dispatch.running(), state.dispatch.waiting(), state.dispatch.slots());
        let (free_in_ms, after_ms) = (free_in.as_millis(), since.elapsed().as_millis());
        event!(
            Info,
            RequestDeclined,
            "id={id} reason={reason} free_in_ms={free_in_ms} running={running} waiting={waiting} slots={slots} \
             failing={:.3} after_ms={after_ms}",
            state.gray.failure_probability(Instant::now())
        );
    }

    async fn start(self: &Rc<Self>, order: &Order, now: Instant, deadline: Instant) -> Result<Run, Verdict> {
        let (mut run, granted) = self.offer(order, now, deadline)?;
        let Some(granted) = granted else {
            return Ok(run);
        };
        let patience = (granted.free_in * PATIENCE_FACTOR).max(MIN_PATIENCE);
        match timeout_at((now + patience).min(deadline).into(), granted.receiver).await {
            Ok(Ok(true)) => {
                run.restart(Instant::now());
                Ok(run)
            }
            Ok(Ok(false)) | Err(_) => {
                Err(Verdict::Declined { reason: Reason::Busy, free_in: granted.free_in })
            }
            Ok(Err(_cleared)) => Err(Verdict::declined(Reason::Draining)),
        }
    }

    /// Asks for a slot; the receiver, if any, tells when there is one.
    fn offer(
        self: &Rc<Self>,
        order: &Order,
        now: Instant,
        deadline: Instant,
    ) -> Result<(Run, Option<Granted>), Verdict> {
        if self.is_stopping.get() {
            return Err(Verdict::declined(Reason::Stopping));
        }
        let mut state = self.state.borrow_mut();
        let server = state.registration.serving(&order.service).map_err(Verdict::declined)?;
        let server = server.heartbeat.id.clone();
        let condition = state.condition(now);
        let is_repeatable = order.repetition != Repetition::Never;
        let may_test = is_repeatable && condition == ServerCondition::Probation;
        if condition.is_suspect() && !may_test && !order.insist {
            return Err(Verdict::declined(Reason::Suspect));
        }
        state.last_offer = now;
        let work = SlotRequest {
            priority: order.rank,
            nested: order.nested,
            objective_at: now + order.objective_left,
            deadline,
            expected_run: state.times.expected(order.route_hash, order.objective),
        };
        let needed = || state.dispatch.expected_wait(&work, now) + work.expected_run * SAFE_RUNS;
        if self.ends_at.get().is_some_and(|at| now + needed() > at) {
            return Err(Verdict::declined(Reason::Stopping));
        }
        let (ticket, granted) = match state.dispatch.offer(work, now) {
            OfferOutcome::Started(ticket) => (ticket, None),
            OfferOutcome::Waiting(ticket) => {
                let (tx, receiver) = oneshot::channel();
                state.waiting.insert(ticket, tx);
                (ticket, Some(Granted { receiver, free_in: state.dispatch.expected_wait(&work, now) }))
            }
            OfferOutcome::Declined { free_in } => {
                return Err(Verdict::Declined { reason: Reason::Busy, free_in });
            }
        };
        if condition.is_suspect() {
            state.test = Some(ticket);
        }
        drop(state);
        let exit = Rc::clone(self);
        let run = Run::new(exit, ticket, server, now, order.route_hash);
        Ok((run, granted))
    }

    /// Takes in how long a run took whose answer is whole.
    pub(crate) fn note_time(&self, route_hash: u32, took: Duration) {
        self.state.borrow_mut().times.add(route_hash, took);
    }

    /// Gives a run's slot to those who wait.
    pub(crate) fn release(&self, ticket: Ticket) {
        let mut state = self.state.borrow_mut();
        state.dispatch.remove(ticket);
        state.waiting.remove(&ticket);
        if state.test == Some(ticket) {
            state.test = None;
        }
        pull(&mut state, Instant::now());
    }

    fn note_down(&self, e: &std::io::Error) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.down_until = Some(now + DOWN_PAUSE);
        state.gray.observe(RequestOutcome::Failure, now);
        self.note_change(Changed::Health);
        event!(Warn, ServerAvoided, "reason=unreachable error={e}");
    }

    /// Takes in whether the server refused to run a request that reached it.
    pub(crate) fn note_arrival(&self, was_shed: bool) {
        let mut state = self.state.borrow_mut();
        let target = if was_shed { 1.0 } else { 0.0 };
        state.shed += SHED_WEIGHT * (target - state.shed);
    }

    /// Takes in what a request showed of the server.
    pub(crate) fn observe(&self, shown: RequestOutcome, now: Instant) {
        let mut state = self.state.borrow_mut();
        let was_suspect = state.gray.is_suspect(now);
        state.gray.observe(shown, now);
        if shown.is_failure() {
            state.next_test = now + TEST_PAUSE;
        }
        let is_suspect = state.gray.is_suspect(now);
        if was_suspect == is_suspect {
            return;
        }
        self.note_change(Changed::Health);
        let failing = state.gray.failure_probability(now);
        let server = state.registration.server().map(|s| s.heartbeat.id.clone()).unwrap_or_default();
        if is_suspect {
            event!(Info, ServerAvoided, "server={server} failing={failing:.3} outcome=suspect");
        } else {
            event!(Info, ServerReturned, "server={server} failing={failing:.3} outcome=trusted");
        }
    }
}

/// A slot that will be granted.
#[derive(Debug)]
struct Granted {
    /// Told whether there is a slot; closed if the server takes no more work.
    receiver: oneshot::Receiver<bool>,
    /// Expected time until then.
    free_in: Duration,
}

/// Tells all who wait that the server takes no more work; they may go elsewhere.
fn send_away(state: &mut State) {
    for ticket in state.dispatch.clear_waiting() {
        state.waiting.remove(&ticket);
    }
}

/// Gives free slots to those who wait.
fn pull(state: &mut State, now: Instant) {
    loop {
        let pulled = state.dispatch.start_waiting(now);
        if pulled.is_empty() {
            return;
        }
        for each in pulled {
            let (ticket, has_slot) = match each {
                Dequeued::Started(ticket) => (ticket, true),
                Dequeued::TooLate(ticket) => (ticket, false),
            };
            let told = state.waiting.remove(&ticket).is_some_and(|tx| tx.send(has_slot).is_ok());
            if has_slot && !told {
                state.dispatch.remove(ticket);
            }
        }
    }
}
