//! Orders of waiting requests that are compared.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use route::SlotQueue;
use route::slot_queue::{Dequeued, OfferOutcome, SlotRequest, Ticket};

use super::{Arrival, SLOTS, WEIGHTS};

/// Shortest time for which a request waits before it goes elsewhere, as in `relay::local_server`.
const MIN_SLOT_WAIT: Duration = Duration::from_millis(150);
/// Multiple of the expected wait after which a request goes elsewhere, as in `relay::local_server`.
const SLOT_WAIT_FACTOR: u32 = 2;
/// Requests that may wait for each slot, as in `route::slot_queue`.
const MAX_WAITING_PER_SLOT: usize = 8;

/// What becomes of a request.
#[derive(Clone, Copy, Debug)]
pub enum Decision {
    Started,
    Refused,
}

/// Decides which request gets the next free slot. Requests are known by their number.
pub trait Scheduler {
    /// A request comes. Returns for how long it waits at most.
    fn offer(&mut self, n: usize, arrival: &Arrival, now: Instant) -> Option<Duration>;
    /// A request has ended or has given up.
    fn remove(&mut self, n: usize);
    /// Decides about requests after each change.
    fn decide(&mut self, now: Instant) -> Vec<(usize, Decision)>;
}

fn max_wait(expected: Duration) -> Duration {
    (expected * SLOT_WAIT_FACTOR).max(MIN_SLOT_WAIT)
}

/// First come, first served, until the deadline.
#[derive(Default)]
pub struct FirstCome {
    waiting: VecDeque<usize>,
    running: Vec<usize>,
}

impl Scheduler for FirstCome {
    fn offer(&mut self, n: usize, arrival: &Arrival, now: Instant) -> Option<Duration> {
        self.waiting.push_back(n);
        Some(arrival.deadline - now)
    }

    fn remove(&mut self, n: usize) {
        self.running.retain(|running| *running != n);
        self.waiting.retain(|waiting| *waiting != n);
    }

    fn decide(&mut self, _now: Instant) -> Vec<(usize, Decision)> {
        let free = SLOTS - self.running.len();
        let started: Vec<usize> = self.waiting.drain(..free.min(self.waiting.len())).collect();
        self.running.extend(&started);
        started.into_iter().map(|n| (n, Decision::Started)).collect()
    }
}

/// The order before customers had shares: what can meet its objective, then what is due first. Requests that are too
/// late are declined when they come and at their turn, and all when the queue is full.
#[derive(Default)]
pub struct FirstDue {
    waiting: Vec<(usize, Arrival)>,
    running: Vec<(usize, Arrival, Instant)>,
    refused: Vec<usize>,
}

impl FirstDue {
    fn order(arrival: &Arrival, now: Instant) -> (bool, Instant) {
        let is_late = now + arrival.mean_run > arrival.objective_at;
        (is_late, if is_late { arrival.deadline } else { arrival.objective_at })
    }

    fn expected_wait(&self, arrival: &Arrival, now: Instant) -> Duration {
        if self.running.len() < SLOTS && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let mut free_in = [Duration::ZERO; SLOTS];
        let mut add = |time: Duration| *free_in.iter_mut().min().expect("there are slots") += time;
        for (_, run, started) in &self.running {
            let (elapsed, least) = (now - *started, run.mean_run / 4);
            add(match elapsed.checked_sub(run.mean_run) {
                Some(overrun) => overrun + least,
                None => run.mean_run.saturating_sub(elapsed).max(least),
            });
        }
        let own = Self::order(arrival, now);
        self.waiting.iter().filter(|(_, w)| Self::order(w, now) <= own).for_each(|(_, w)| add(w.mean_run));
        free_in.into_iter().min().unwrap_or_default()
    }
}

impl Scheduler for FirstDue {
    fn offer(&mut self, n: usize, arrival: &Arrival, now: Instant) -> Option<Duration> {
        let free_in = self.expected_wait(arrival, now);
        let is_full = self.waiting.len() >= SLOTS * MAX_WAITING_PER_SLOT;
        if is_full || now + free_in + arrival.mean_run > arrival.deadline {
            self.refused.push(n);
            return None;
        }
        self.waiting.push((n, *arrival));
        Some(max_wait(self.expected_wait(arrival, now)).min(arrival.deadline - now))
    }

    fn remove(&mut self, n: usize) {
        self.running.retain(|(running, ..)| *running != n);
        self.waiting.retain(|(waiting, _)| *waiting != n);
    }

    fn decide(&mut self, now: Instant) -> Vec<(usize, Decision)> {
        let mut decided: Vec<_> = self.refused.drain(..).map(|n| (n, Decision::Refused)).collect();
        while self.running.len() < SLOTS {
            let best = self.waiting.iter().enumerate().min_by_key(|(_, (_, w))| Self::order(w, now));
            let Some((index, _)) = best else { break };
            let (n, arrival) = self.waiting.swap_remove(index);
            if now + arrival.mean_run / 2 > arrival.deadline {
                decided.push((n, Decision::Refused));
            } else {
                self.running.push((n, arrival, now));
                decided.push((n, Decision::Started));
            }
        }
        decided
    }
}

/// [`SlotQueue`], with the mean run time of each kind or with the true run time of each request.
pub struct Queue {
    queue: SlotQueue,
    knows_runs: bool,
    numbers: HashMap<Ticket, usize>,
    tickets: HashMap<usize, Ticket>,
    decided: Vec<(usize, Decision)>,
}

impl Queue {
    pub fn new(knows_runs: bool) -> Self {
        let (numbers, tickets) = (HashMap::new(), HashMap::new());
        Self { queue: SlotQueue::new(SLOTS), knows_runs, numbers, tickets, decided: Vec::new() }
    }

    fn add(&mut self, ticket: Ticket, n: usize) {
        self.numbers.insert(ticket, n);
        self.tickets.insert(n, ticket);
    }
}

impl Scheduler for Queue {
    fn offer(&mut self, n: usize, arrival: &Arrival, now: Instant) -> Option<Duration> {
        let expected_run = if self.knows_runs { arrival.run } else { arrival.mean_run };
        let request = SlotRequest {
            priority: 1,
            nested: false,
            customer: Some(arrival.customer as u64),
            weight: WEIGHTS[arrival.customer],
            objective_at: arrival.objective_at,
            deadline: arrival.deadline,
            expected_run,
            estimate: expected_run.into(),
        };
        match self.queue.offer(request, now) {
            OfferOutcome::Started(ticket) => {
                self.add(ticket, n);
                self.decided.push((n, Decision::Started));
                None
            }
            OfferOutcome::Waiting(ticket) => {
                self.add(ticket, n);
                Some(max_wait(self.queue.expected_wait(&request, now)).min(arrival.deadline - now))
            }
            OfferOutcome::Declined { .. } => {
                self.decided.push((n, Decision::Refused));
                None
            }
        }
    }

    fn remove(&mut self, n: usize) {
        self.queue.remove(self.tickets[&n]);
    }

    fn decide(&mut self, now: Instant) -> Vec<(usize, Decision)> {
        let mut decided = std::mem::take(&mut self.decided);
        decided.extend(self.queue.start_waiting(now).into_iter().map(|dequeued| match dequeued {
            Dequeued::Started(ticket) => (self.numbers[&ticket], Decision::Started),
            Dequeued::Declined { ticket, .. } => (self.numbers[&ticket], Decision::Refused),
        }));
        decided
    }
}
