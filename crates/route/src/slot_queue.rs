//! Queue of the requests that wait for the slots of one server, a priority queue with admission control.
//!
//! A server that gets more requests than its slots can run would queue them itself, where they can no longer
//! be moved or refused; therefore they wait here. Calls made by a running request go first, since their
//! caller holds a slot meanwhile. Then the priority decides, then whether a request can still meet its
//! latency objective, then the share that its customer has had, then what is due first.
//!
//! Requests that will not get a slot in time are declined as soon as that can be foreseen, while another server
//! may still run them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use conf::Priority;
use derive_more::Display;
use smallvec::SmallVec;

use crate::cold_gate::ColdGate;
use crate::cost::RunEstimate;
use crate::customer_shares::{CustomerHash, CustomerShares, virtual_cost};
use crate::waiting_order::{Place, Urgency, sort_by_turn};

/// Identifies a request in a queue. A queue never uses a ticket twice.
pub type Ticket = u64;

/// Requests that may wait for each slot.
const MAX_WAITING_PER_SLOT: usize = 8;
/// Lower bound, in seconds, of the time from which a run counts as unusually long.
const MIN_UNUSUAL_S: f64 = 0.001;
/// Divisor of the expected run time that gives the time for which a waiting request must be able to run before
/// its deadline. Run times on one route vary, and the forecast of a request that was accepted may become worse
/// for a moment; a new request must be able to run for the whole expected time.
const MIN_RUN_DIVISOR: u32 = 2;

/// What is known about a request when it asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// Configured urgency; smaller numbers go first.
    pub priority: Priority,
    /// Whether a running request of another server waits for this one.
    pub nested: bool,
    /// Customer for whom the request runs. Requests without one have one share together.
    pub customer: Option<CustomerHash>,
    /// Weight of the customer's share in the slots: its configured rate; 1 without a customer.
    pub weight: f64,
    /// Time at which the answer is due by the latency objective.
    pub objective_at: Instant,
    /// Time after which an answer is useless.
    pub deadline: Instant,
    /// Time that the server is expected to need for the request.
    pub expected_run: Duration,
    /// Run times of such requests at the server, with `expected_run` as mean. Tells how long the request takes
    /// still once it runs.
    pub estimate: RunEstimate,
}

/// Result of [`SlotQueue::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The request has a slot.
    Started(Ticket),
    /// The request waits; [`SlotQueue::start_waiting`] returns its ticket when it gets a slot.
    Waiting(Ticket),
    /// The request would not be finished by its deadline, or too many more urgent requests wait already.
    Declined {
        /// Expected time until the request would have got a slot.
        free_in: Duration,
        /// Why there is no room.
        cause: NoRoom,
    },
}

/// Why there is no room for a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NoRoom {
    /// The request would not be finished by its deadline.
    #[display("too-late")]
    TooLate,
    /// The queue is full of requests that are more urgent.
    #[display("full")]
    Full,
    /// The request waited in a full queue, and a more urgent one took its place.
    #[display("displaced")]
    Displaced,
}

/// A request that [`SlotQueue::start_waiting`] took out of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// The request has a slot now.
    Started(Ticket),
    /// The request got no slot and waits no longer.
    Declined {
        /// The request.
        ticket: Ticket,
        /// Expected time until it would have got a slot.
        free_in: Duration,
        /// Why there is no room.
        cause: NoRoom,
    },
}

/// Work that a server still has to do, as time for one slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotWork {
    /// Work of all requests that run or wait.
    pub total: Duration,
    /// Part of `total` that a new call of a running request does not pass.
    pub before_calls: Duration,
}

/// When a request is expected to start.
#[derive(Debug)]
struct Forecast {
    ticket: Ticket,
    starts_in: Duration,
    /// Whether the request can then not be finished by its deadline. It delays no other request.
    is_too_late: bool,
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    ticket: Ticket,
    request: SlotRequest,
}

#[derive(Debug)]
struct RunningRequest {
    ticket: Ticket,
    started: Instant,
    estimate: RunEstimate,
}

/// Requests that wait for the slots of one server or hold them.
#[derive(Debug)]
pub struct SlotQueue {
    slots: usize,
    /// In no particular order. No request is added once there are [`MAX_WAITING_PER_SLOT`] for each slot.
    waiting: Vec<WaitingRequest>,
    running: Vec<RunningRequest>,
    /// Requests that have been removed from `waiting` and that the next [`Self::start_waiting`] returns.
    declined: SmallVec<[Dequeued; 4]>,
    /// What customers have had of the slots since requests last had to wait.
    shares: CustomerShares,
    /// Bounds the starts while the server is cold.
    gate: ColdGate,
    last_ticket: Ticket,
}

impl SlotQueue {
    /// Creates an empty queue for a server with `slots` slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            waiting: Vec::new(),
            running: Vec::new(),
            declined: SmallVec::new(),
            shares: CustomerShares::default(),
            gate: ColdGate::default(),
            last_ticket: 0,
        }
    }

    /// Puts `gate` in front of the slots.
    #[must_use]
    pub fn with_gate(self, gate: ColdGate) -> Self {
        Self { gate, ..self }
    }

    /// Sets the most requests that may start in one second; `None` if the server is warm.
    pub fn set_cold_limit(&mut self, limit: Option<usize>) {
        self.gate.set_limit(limit);
    }

    /// Takes back the start of a request at `started` from the limit of a cold server, which did not run it.
    pub fn take_back_start(&mut self, started: Instant) {
        self.gate.take_back(started);
    }

    /// Time after which [`Self::start_waiting`] should be called because a cold server bears one more request;
    /// `None` if nothing waits for that.
    pub fn gate_wait(&self, now: Instant) -> Option<Duration> {
        let is_held = !self.waiting.is_empty() && self.running.len() < self.slots;
        is_held.then(|| self.gate.wait(0, now)).filter(|wait| !wait.is_zero())
    }

    /// Changes the number of slots. Requests that run beyond a lowered number go on.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Number of slots.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Number of requests that hold a slot.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Gives the request a slot, queues it, or declines it if it cannot be finished by its deadline. In a full
    /// queue it takes the place of the least urgent request, unless it is less urgent itself. Call
    /// [`Self::start_waiting`] afterwards, whatever the outcome: it returns the requests that wait no longer.
    pub fn offer(&mut self, request: SlotRequest, now: Instant) -> OfferOutcome {
        let is_free = self.can_start(now) && self.waiting.is_empty();
        let forecast = if is_free { Vec::new() } else { self.forecast(Some(&request), now) };
        let own = forecast.iter().position(|f| f.ticket == Ticket::MAX);
        let free_in = own.map_or(Duration::ZERO, |index| forecast[index].starts_in);
        if now + free_in + request.expected_run > request.deadline {
            return OfferOutcome::Declined { free_in, cause: NoRoom::TooLate };
        }
        if is_free {
            self.shares.clear();
            self.last_ticket += 1;
            self.start(self.last_ticket, &request, now);
            return OfferOutcome::Started(self.last_ticket);
        }
        self.decline_too_late(&forecast);
        if self.waiting.len() >= self.slots * MAX_WAITING_PER_SLOT {
            match forecast.iter().rev().find(|f| !f.is_too_late) {
                Some(last) if last.ticket != Ticket::MAX => {
                    self.decline(last.ticket, last.starts_in, NoRoom::Displaced);
                }
                _ => return OfferOutcome::Declined { free_in, cause: NoRoom::Full },
            }
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.waiting.push(WaitingRequest { ticket, request });
        OfferOutcome::Waiting(ticket)
    }

    /// Removes a request that ended or was abandoned, whether it holds a slot or waits.
    pub fn remove(&mut self, ticket: Ticket) {
        self.running.retain(|r| r.ticket != ticket);
        self.waiting.retain(|w| w.ticket != ticket);
    }

    /// Removes all waiting requests and returns their tickets.
    pub fn clear_waiting(&mut self) -> Vec<Ticket> {
        self.waiting.drain(..).map(|w| w.ticket).collect()
    }

    /// Gives the free slots to waiting requests, and declines those that are not expected to start in time to be
    /// finished by their deadline. To be called after each change of the queue.
    pub fn start_waiting(&mut self, now: Instant) -> SmallVec<[Dequeued; 4]> {
        let mut started = SmallVec::<[Dequeued; 4]>::new();
        while self.can_start(now) {
            let places =
                self.waiting.iter().map(|w| Place::of(w.ticket, &w.request, &self.shares, now)).enumerate();
            let Some((index, _)) = places.min_by(|a, b| a.1.cmp(&b.1)) else { break };
            let WaitingRequest { ticket, request } = self.waiting[index];
            if is_too_late(&request, now) {
                self.decline(ticket, Duration::ZERO, NoRoom::TooLate);
            } else {
                self.waiting.swap_remove(index);
                self.start(ticket, &request, now);
                started.push(Dequeued::Started(ticket));
            }
        }
        if !self.waiting.is_empty() {
            let forecast = self.forecast(None, now);
            self.decline_too_late(&forecast);
        }
        started.extend(self.declined.drain(..));
        started
    }

    /// Expected time until `request` would get a slot if it were offered now.
    pub fn expected_wait(&self, request: &SlotRequest, now: Instant) -> Duration {
        if self.can_start(now) && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let forecast = self.forecast(Some(request), now);
        forecast.iter().find(|f| f.ticket == Ticket::MAX).map_or(Duration::ZERO, |f| f.starts_in)
    }

    /// When the waiting requests, and `new` with the largest ticket if there is one, are expected to start, in
    /// the order of their turns.
    fn forecast(&self, new: Option<&SlotRequest>, now: Instant) -> Vec<Forecast> {
        let waiting = self.waiting.iter().map(|w| (w.ticket, w.request));
        let all = waiting.chain(new.map(|request| (Ticket::MAX, *request)));
        let mut free_in: BinaryHeap<_> = self.slots_free_in(now).into_iter().map(Reverse).collect();
        let mut ahead = 0;
        let forecast = sort_by_turn(all, &self.shares, now).into_iter().map(|(ticket, request)| {
            let gate_wait = self.gate.wait(ahead, now);
            let starts_in = free_in.peek().map_or(gate_wait, |first| gate_wait.max(first.0));
            let is_too_late = is_too_late(&request, now + starts_in);
            if !is_too_late && let Some(mut first) = free_in.peek_mut() {
                first.0 = starts_in + request.expected_run;
                ahead += 1;
            }
            Forecast { ticket, starts_in, is_too_late }
        });
        forecast.collect()
    }

    /// Declines the waiting requests that can't be finished by their deadline.
    fn decline_too_late(&mut self, forecast: &[Forecast]) {
        for late in forecast.iter().filter(|f| f.is_too_late) {
            self.decline(late.ticket, late.starts_in, NoRoom::TooLate);
        }
    }

    /// Removes a request from the waiting ones, if it is one of them.
    fn decline(&mut self, ticket: Ticket, free_in: Duration, cause: NoRoom) {
        if let Some(index) = self.waiting.iter().position(|w| w.ticket == ticket) {
            self.waiting.swap_remove(index);
            self.declined.push(Dequeued::Declined { ticket, free_in, cause });
        }
    }

    /// Whether a slot is free and a cold server bears one more request.
    fn can_start(&self, now: Instant) -> bool {
        self.running.len() < self.slots && self.gate.wait(0, now).is_zero()
    }

    /// Expected time until each slot is free. There are as many as slots, and at least one; runs beyond a
    /// lowered number of slots are spread over those that are left.
    fn slots_free_in(&self, now: Instant) -> SmallVec<[Duration; 8]> {
        let mut free_in = SmallVec::from_elem(Duration::ZERO, self.slots.max(1));
        for run in &self.running {
            if let Some(first) = free_in.iter_mut().min() {
                *first += remaining_run(run, now);
            }
        }
        free_in
    }

    /// Work that the server still has to do.
    pub fn work(&self, now: Instant) -> SlotWork {
        let running = self.running.iter().map(|r| remaining_run(r, now)).sum::<Duration>();
        let calls = self.waiting.iter().map(|w| &w.request).filter(|r| r.nested);
        let calls = calls.map(|r| r.expected_run).sum::<Duration>();
        let waiting = self.waiting.iter().map(|w| w.request.expected_run).sum::<Duration>();
        SlotWork { total: running + waiting, before_calls: running + calls }
    }

    /// Mean expected run time of the requests that run; `None` if there are none.
    pub fn mean_run(&self) -> Option<Duration> {
        let sum = self.running.iter().map(|r| r.estimate.mean()).sum::<Duration>();
        sum.checked_div(self.running.len() as u32)
    }

    /// Largest factor by which a running request exceeds the time from which it counts as unusually long; below
    /// 1 if none does.
    pub fn longest_overrun(&self, now: Instant) -> f64 {
        let overrun = |r: &RunningRequest| {
            let elapsed = now.saturating_duration_since(r.started).as_secs_f64();
            elapsed / r.estimate.unusual_after().as_secs_f64().max(MIN_UNUSUAL_S)
        };
        self.running.iter().map(overrun).fold(0.0, f64::max)
    }

    fn start(&mut self, ticket: Ticket, request: &SlotRequest, now: Instant) {
        self.gate.record_start(now);
        let cost = virtual_cost(request.expected_run, request.weight);
        self.shares.record_start(Urgency::of(request, now), request.customer, cost);
        self.running.push(RunningRequest { ticket, started: now, estimate: request.estimate });
    }
}

/// Whether a waiting request that starts at `start` can't be finished by its deadline.
fn is_too_late(request: &SlotRequest, start: Instant) -> bool {
    start + request.expected_run / MIN_RUN_DIVISOR > request.deadline
}

/// Expected remaining time of a run.
fn remaining_run(run: &RunningRequest, now: Instant) -> Duration {
    run.estimate.remaining(now.saturating_duration_since(run.started))
}
