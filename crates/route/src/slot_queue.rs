//! Queue of the requests that wait for the slots of one server, a priority queue with admission control.
//!
//! A server that gets more requests than its slots can run would queue them itself, where they can no longer
//! be moved or refused; therefore they wait here. Calls made by a running request go first, since their
//! caller holds a slot meanwhile. Then the priority decides, then whether a request can still meet its
//! latency objective, then the share that its customer has had, then what is due first.

use std::time::{Duration, Instant};

use conf::Priority;
use smallvec::SmallVec;

use crate::cold_gate::ColdGate;
use crate::customer_shares::{CustomerHash, CustomerShares, virtual_cost};
use crate::waiting_order::{Place, Urgency, sort_by_turn};

/// Identifies a request in a queue. A queue never uses a ticket twice.
pub type Ticket = u64;

/// Requests that may wait for each slot.
const MAX_WAITING_PER_SLOT: usize = 8;
/// Lower bound of the time that a run is expected to need still, as a part of its expected run time.
const MIN_REMAINING_PART: f64 = 0.25;

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
}

/// Result of [`SlotQueue::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The request has a slot.
    Started(Ticket),
    /// The request waits; [`SlotQueue::start_waiting`] returns its ticket when it gets a slot.
    Waiting(Ticket),
    /// The request would not be finished by its deadline, or too many requests wait already.
    Declined {
        /// Expected time until the request would have got a slot.
        free_in: Duration,
    },
}

/// A request that [`SlotQueue::start_waiting`] took out of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// The request has a slot now.
    Started(Ticket),
    /// The request can no longer be finished by its deadline. It got no slot.
    TooLate(Ticket),
}

#[derive(Debug)]
struct WaitingRequest {
    ticket: Ticket,
    request: SlotRequest,
}

#[derive(Debug)]
struct RunningRequest {
    ticket: Ticket,
    started: Instant,
    expected_run: Duration,
}

/// Requests that wait for the slots of one server or hold them.
#[derive(Debug)]
pub struct SlotQueue {
    slots: usize,
    /// In no particular order. No request is added once there are [`MAX_WAITING_PER_SLOT`] for each slot.
    waiting: Vec<WaitingRequest>,
    running: Vec<RunningRequest>,
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

    /// Gives the request a slot, queues it, or declines it if it cannot be finished by its deadline.
    pub fn offer(&mut self, request: SlotRequest, now: Instant) -> OfferOutcome {
        let free_in = self.expected_wait(&request, now);
        let is_full = self.waiting.len() >= self.slots * MAX_WAITING_PER_SLOT;
        if is_full || now + free_in + request.expected_run > request.deadline {
            return OfferOutcome::Declined { free_in };
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        if self.can_start(now) && self.waiting.is_empty() {
            self.shares.clear();
            self.start(ticket, &request, now);
            return OfferOutcome::Started(ticket);
        }
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

    /// Gives the free slots to waiting requests. Drops those that come up too late to finish by their
    /// deadline.
    pub fn start_waiting(&mut self, now: Instant) -> SmallVec<[Dequeued; 4]> {
        let mut dequeued = SmallVec::new();
        while self.can_start(now) {
            let places =
                self.waiting.iter().map(|w| Place::of(w.ticket, &w.request, &self.shares, now)).enumerate();
            let Some((index, _)) = places.min_by(|a, b| a.1.cmp(&b.1)) else { break };
            let WaitingRequest { ticket, request } = self.waiting.swap_remove(index);
            if now + request.expected_run / 2 > request.deadline {
                dequeued.push(Dequeued::TooLate(ticket));
            } else {
                self.start(ticket, &request, now);
                dequeued.push(Dequeued::Started(ticket));
            }
        }
        dequeued
    }

    /// Expected time until `request` would get a slot if it were offered now.
    pub fn expected_wait(&self, request: &SlotRequest, now: Instant) -> Duration {
        if self.can_start(now) && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let waiting = self.waiting.iter().map(|w| (w.ticket, w.request));
        let all = waiting.chain([(Ticket::MAX, *request)]);
        let turns = sort_by_turn(all, &self.shares, now);
        let mut free_in = self.slots_free_in(now);
        let mut count_ahead = 0;
        for (_, request) in turns.into_iter().take_while(|(ticket, _)| *ticket != Ticket::MAX) {
            count_ahead += 1;
            // Each takes the slot that is free first.
            if let Some(first) = free_in.iter_mut().min() {
                *first += request.expected_run;
            }
        }
        free_in.into_iter().min().unwrap_or_default().max(self.gate.wait(count_ahead, now))
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

    /// Time for which the oldest running request has held its slot.
    pub fn longest_run(&self, now: Instant) -> Duration {
        let runs = self.running.iter().map(|r| now.saturating_duration_since(r.started));
        runs.max().unwrap_or_default()
    }

    fn start(&mut self, ticket: Ticket, request: &SlotRequest, now: Instant) {
        self.gate.record_start(now);
        let cost = virtual_cost(request.expected_run, request.weight);
        self.shares.record_start(Urgency::of(request, now), request.customer, cost);
        self.running.push(RunningRequest { ticket, started: now, expected_run: request.expected_run });
    }
}

/// Expected remaining time of a run, never below [`MIN_REMAINING_PART`]. A run that has exceeded its expected
/// time is taken to exceed it by as much again.
fn remaining_run(run: &RunningRequest, now: Instant) -> Duration {
    let elapsed = now.saturating_duration_since(run.started);
    let min_remaining = run.expected_run.mul_f64(MIN_REMAINING_PART);
    match elapsed.checked_sub(run.expected_run) {
        Some(overrun) => overrun + min_remaining,
        None => run.expected_run.saturating_sub(elapsed).max(min_remaining),
    }
}
