//! Queue of the requests that wait for the slots of one server, a priority queue with admission control.
//!
//! A server that gets more requests than its slots can run would queue them itself, where they can no longer
//! be moved or refused; therefore they wait here. Calls made by a running request go first, since their
//! caller holds a slot meanwhile. Then the priority decides, then whether a request can still meet its
//! latency objective, then the deadline.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use conf::Priority;
use smallvec::SmallVec;

use crate::cold_gate::ColdGate;
use crate::cost::RunEstimate;

/// Identifies a request in a queue. A queue never uses a ticket twice.
pub type Ticket = u64;

/// Requests that may wait for each slot.
const MAX_WAITING_PER_SLOT: usize = 8;
/// Lower bound, in seconds, of the time from which a run counts as unusually long.
const MIN_UNUSUAL_S: f64 = 0.001;

/// What is known about a request when it asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// Configured urgency; smaller numbers go first.
    pub priority: Priority,
    /// Whether a running request of another server waits for this one.
    pub nested: bool,
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

/// Work that a server still has to do, as time for one slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotWork {
    /// Work of all requests that run or wait.
    pub total: Duration,
    /// Part of `total` that a new call of a running request does not pass.
    pub before_calls: Duration,
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
    estimate: RunEstimate,
}

/// Requests that wait for the slots of one server or hold them.
#[derive(Debug)]
pub struct SlotQueue {
    slots: usize,
    /// In no particular order. No request is added once there are [`MAX_WAITING_PER_SLOT`] for each slot.
    waiting: Vec<WaitingRequest>,
    running: Vec<RunningRequest>,
    /// Bounds the starts while the server is cold.
    gate: ColdGate,
    last_ticket: Ticket,
}

impl SlotQueue {
    /// Creates an empty queue for a server with `slots` slots.
    pub fn new(slots: usize) -> Self {
        Self { slots, waiting: Vec::new(), running: Vec::new(), gate: ColdGate::default(), last_ticket: 0 }
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

    /// Time after which [`Self::start_waiting`] should be called because a cold server can take one more request;
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
            let best = self.waiting.iter().enumerate().min_by_key(|(_, w)| queue_order(&w.request, now));
            let Some((index, _)) = best else { break };
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
        let own = queue_order(request, now);
        let ahead = self.waiting.iter().map(|w| &w.request).filter(|r| queue_order(r, now) <= own);
        let mut free_in = self.slots_free_in(now);
        let mut count_ahead = 0;
        for request in ahead {
            count_ahead += 1;
            // Each takes the slot that is free first. Their order hardly matters for the time of the last one.
            if let Some(first) = free_in.iter_mut().min() {
                *first += request.expected_run;
            }
        }
        free_in.into_iter().min().unwrap_or_default().max(self.gate.wait(count_ahead, now))
    }

    /// Whether a slot is free and a cold server can take one more request.
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
        self.running.push(RunningRequest { ticket, started: now, estimate: request.estimate });
    }
}

/// Sort key of waiting requests; the smallest goes first.
fn queue_order(request: &SlotRequest, now: Instant) -> (Reverse<bool>, Priority, bool, Instant) {
    let is_late = now + request.expected_run > request.objective_at;
    let due = if is_late { request.deadline } else { request.objective_at };
    (Reverse(request.nested), request.priority, is_late, due)
}

/// Expected remaining time of a run.
fn remaining_run(run: &RunningRequest, now: Instant) -> Duration {
    run.estimate.remaining(now.saturating_duration_since(run.started))
}
