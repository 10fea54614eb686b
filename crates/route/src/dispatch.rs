//! Order of work in front of one server's slots. Sans-I/O.
//!
//! Answers the load pattern of a server that gets more than its slots can run: what waits here can still be
//! moved or refused, which is no longer so in a queue of the server's own. Calls made by a running request go
//! first, for their caller holds a slot; then urgency, then what can still meet its objective, then deadlines.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use conf::Priority;
use smallvec::SmallVec;

/// Number of a piece of work; never used twice by one queue.
pub type Ticket = u64;

/// Work that may wait for each slot.
const WAITING_PER_SLOT: usize = 8;
/// Part of the expected time that a run which has passed it is thought to need still.
const OVERRUN_PART: f64 = 0.25;

/// What is known about a request when it asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Urgency.
    pub rank: Priority,
    /// Whether a running request of another server waits for it.
    pub nested: bool,
    /// Time until which an answer is wanted.
    pub wanted_by: Instant,
    /// Time after which an answer is useless.
    pub deadline: Instant,
    /// Time that the server is expected to work on it.
    pub expected: Duration,
}

/// What became of offered work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// It has a slot.
    Started(Ticket),
    /// It waits; [`Dispatch::pull`] tells when it starts.
    Waiting(Ticket),
    /// It would not be finished by its deadline.
    Declined {
        /// Expected time until a slot is free.
        free_in: Duration,
    },
}

/// What became of waiting work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pulled {
    /// It has a slot now.
    Start(Ticket),
    /// It can no longer be finished by its deadline and left the queue.
    Hopeless(Ticket),
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    work: Work,
}

#[derive(Debug)]
struct Running {
    ticket: Ticket,
    started: Instant,
    expected: Duration,
}

/// Work that waits for or holds the slots of one server.
#[derive(Debug)]
pub struct Dispatch {
    slots: usize,
    /// In no particular order; at most [`WAITING_PER_SLOT`] for each slot.
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    next: Ticket,
}

impl Dispatch {
    /// Makes an empty queue before `slots` slots.
    pub fn new(slots: usize) -> Self {
        Self { slots, waiting: Vec::new(), running: Vec::new(), next: 0 }
    }

    /// Changes the number of slots; work that runs beyond it goes on.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Number of slots.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Number of requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Starts work, queues it, or declines it if it can't be finished in time.
    pub fn offer(&mut self, work: Work, now: Instant) -> Offered {
        let free_in = self.wait_for(&work, now);
        let is_full = self.waiting.len() >= self.slots * WAITING_PER_SLOT;
        if is_full || now + free_in + work.expected > work.deadline {
            return Offered::Declined { free_in };
        }
        self.next += 1;
        let ticket = self.next;
        if self.running.len() < self.slots && self.waiting.is_empty() {
            self.start(ticket, &work, now);
            return Offered::Started(ticket);
        }
        self.waiting.push(Waiting { ticket, work });
        Offered::Waiting(ticket)
    }

    /// Forgets work that ended or was given up.
    pub fn remove(&mut self, ticket: Ticket) {
        self.running.retain(|r| r.ticket != ticket);
        self.waiting.retain(|w| w.ticket != ticket);
    }

    /// Removes all waiting work and returns it.
    pub fn clear_waiting(&mut self) -> Vec<Ticket> {
        self.waiting.drain(..).map(|w| w.ticket).collect()
    }

    /// Fills free slots with waiting work.
    pub fn pull(&mut self, now: Instant) -> SmallVec<[Pulled; 4]> {
        let mut pulled = SmallVec::new();
        while self.running.len() < self.slots {
            let best = self.waiting.iter().enumerate().min_by_key(|(_, w)| order(&w.work, now));
            let Some((index, _)) = best else { break };
            let Waiting { ticket, work } = self.waiting.swap_remove(index);
            if now + work.expected / 2 > work.deadline {
                pulled.push(Pulled::Hopeless(ticket));
            } else {
                self.start(ticket, &work, now);
                pulled.push(Pulled::Start(ticket));
            }
        }
        pulled
    }

    /// Expected time until new work would get a slot.
    pub fn wait_for(&self, work: &Work, now: Instant) -> Duration {
        if self.running.len() < self.slots && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let own = order(work, now);
        let ahead = self.waiting.iter().filter(|w| order(&w.work, now) <= own);
        let queued: Duration = ahead.map(|w| w.work.expected).sum();
        let held: Duration = self.running.iter().map(|r| residual(r, now)).sum();
        (queued + held) / self.slots.max(1) as u32
    }

    /// Time for which the oldest run has been going on.
    pub fn longest_run(&self, now: Instant) -> Duration {
        let runs = self.running.iter().map(|r| now.saturating_duration_since(r.started));
        runs.max().unwrap_or_default()
    }

    fn start(&mut self, ticket: Ticket, work: &Work, now: Instant) {
        self.running.push(Running { ticket, started: now, expected: work.expected });
    }
}

/// Smaller goes first.
fn order(work: &Work, now: Instant) -> (Reverse<bool>, Priority, bool, Instant) {
    let is_late = now + work.expected > work.wanted_by;
    let due = if is_late { work.deadline } else { work.wanted_by };
    (Reverse(work.nested), work.rank, is_late, due)
}

/// Expected rest of a run; a run that has passed its expected time is likely to take as long again.
fn residual(run: &Running, now: Instant) -> Duration {
    let elapsed = now.saturating_duration_since(run.started);
    let least = run.expected.mul_f64(OVERRUN_PART);
    match elapsed.checked_sub(run.expected) {
        Some(overrun) => overrun + least,
        None => run.expected.saturating_sub(elapsed).max(least),
    }
}
