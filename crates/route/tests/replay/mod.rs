//! Replay of requests at one server with a fixed number of slots.

pub mod schedulers;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use schedulers::{Decision, Scheduler};

/// Slots of the server.
pub const SLOTS: usize = 8;
/// Number of customers.
pub const CUSTOMERS: usize = 6;
/// Configured rates of the customers.
pub const WEIGHTS: [f64; CUSTOMERS] = [10.0, 10.0, 10.0, 20.0, 20.0, 30.0];
/// Length of a replay in seconds.
const LENGTH_S: f64 = 30.0;
/// Part of a replay with more load, in seconds.
const PEAK_S: std::ops::Range<f64> = 8.0..24.0;
/// Load outside of the peak, as a part of what the slots can run.
const BASE_LOAD: f64 = 0.6;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
struct Kind {
    mean_run: Duration,
    objective: Duration,
    deadline: Duration,
    /// Part of the base load.
    load_part: f64,
}

const KINDS: [Kind; 2] = [
    Kind {
        mean_run: Duration::from_millis(60),
        objective: Duration::from_millis(400),
        deadline: Duration::from_secs(2),
        load_part: 0.7,
    },
    Kind {
        mean_run: Duration::from_millis(400),
        objective: Duration::from_millis(1_600),
        deadline: Duration::from_secs(6),
        load_part: 0.3,
    },
];
/// Kind of which there is a burst.
const BURST_KIND: usize = 1;

/// Load during the peak beyond the base load, as parts of what the slots can run.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests of one kind, of all customers by their weights.
    pub burst: f64,
    /// Requests of the first customer, of all kinds.
    pub hot: f64,
}

/// A request of a replay.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub customer: usize,
    pub mean_run: Duration,
    pub run: Duration,
    pub objective_at: Instant,
    pub deadline: Instant,
    /// Whether it came in the peak.
    in_peak: bool,
}

impl Arrival {
    /// What an answer at `end` is worth to the caller: all until the objective, nothing after the deadline.
    fn worth(&self, end: Instant) -> f64 {
        let left = self.deadline.saturating_duration_since(end).as_secs_f64();
        (left / (self.deadline - self.objective_at).as_secs_f64()).min(1.0)
    }
}

/// What callers got.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    requests: [f64; CUSTOMERS],
    worth: [f64; CUSTOMERS],
    /// Slot seconds of requests in the peak: all, and those that were run, each times its worth.
    offered_s: [f64; CUSTOMERS],
    served_s: [f64; CUSTOMERS],
    /// Requests that were refused too late for another server to meet the objective, or the deadline.
    late_for_objective: f64,
    late_for_deadline: f64,
    /// Slot seconds in which a slot was free while requests waited.
    idle_s: f64,
    /// Slot seconds in the peak: in use, and all.
    used_s: f64,
    peak_s: f64,
}

impl Outcome {
    pub fn sum(outcomes: impl Iterator<Item = Self>) -> Self {
        let mut all = Self::default();
        for one in outcomes {
            for customer in 0..CUSTOMERS {
                all.requests[customer] += one.requests[customer];
                all.worth[customer] += one.worth[customer];
                all.offered_s[customer] += one.offered_s[customer];
                all.served_s[customer] += one.served_s[customer];
            }
            all.late_for_objective += one.late_for_objective;
            all.late_for_deadline += one.late_for_deadline;
            all.idle_s += one.idle_s;
            all.used_s += one.used_s;
            all.peak_s += one.peak_s;
        }
        all
    }

    /// Mean worth of a request.
    pub fn worth(&self) -> f64 {
        self.worth.iter().sum::<f64>() / self.requests.iter().sum::<f64>()
    }

    /// Mean worth of a customer's requests.
    pub fn worth_of(&self, customer: usize) -> f64 {
        self.worth[customer] / self.requests[customer]
    }

    /// The customer that got the least in the peak, and how much of its max-min fair share of the slots it got.
    pub fn worst_share(&self) -> (usize, f64) {
        let fair_s = max_min_shares(&self.offered_s, self.peak_s);
        let shares = (0..CUSTOMERS).map(|customer| (customer, self.served_s[customer] / fair_s[customer]));
        shares.min_by(|a, b| a.1.total_cmp(&b.1)).expect("there are customers")
    }

    /// Part of all requests that were refused too late for another server to meet the objective.
    pub fn late_for_objective(&self) -> f64 {
        self.late_for_objective / self.requests.iter().sum::<f64>()
    }

    /// Part of all requests that were refused too late for another server to meet the deadline.
    pub fn late_for_deadline(&self) -> f64 {
        self.late_for_deadline / self.requests.iter().sum::<f64>()
    }

    /// Slot time that was free while requests waited, as a part of the slot time of the peak.
    pub fn idle(&self) -> f64 {
        self.idle_s / self.peak_s
    }

    /// Part of the slot time of the peak that was in use.
    pub fn used(&self) -> f64 {
        self.used_s / self.peak_s
    }
}

/// Divides `capacity` by weights; no customer gets more than it wants, and what it leaves goes to the others.
fn max_min_shares(wanted: &[f64; CUSTOMERS], capacity: f64) -> [f64; CUSTOMERS] {
    let mut shares = *wanted;
    let mut limited: Vec<usize> = (0..CUSTOMERS).collect();
    let mut left = capacity;
    loop {
        let weight: f64 = limited.iter().map(|c| WEIGHTS[*c]).sum();
        let level = left / weight;
        let satisfied = limited.iter().position(|c| wanted[*c] <= level * WEIGHTS[*c]);
        let Some(index) = satisfied else {
            for customer in limited {
                shares[customer] = level * WEIGHTS[customer];
            }
            return shares;
        };
        left -= wanted[limited.swap_remove(index)];
        if limited.is_empty() {
            return shares;
        }
    }
}

/// Requests of one kind of a customer that come at random while `load` of the slots are wanted for them.
fn arrivals_of(
    customer: usize,
    kind: Kind,
    load: f64,
    when_s: std::ops::Range<f64>,
    start: Instant,
    rng: &mut SmallRng,
) -> Vec<Arrival> {
    let per_s = load * SLOTS as f64 / kind.mean_run.as_secs_f64();
    let mut arrivals = Vec::new();
    let mut at_s = when_s.start;
    if load <= 0.0 {
        return arrivals;
    }
    loop {
        at_s += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / per_s;
        if at_s >= when_s.end {
            break;
        }
        let at = start + Duration::from_secs_f64(at_s);
        // A mean of 1 with a standard deviation of 0.6.
        let spread = 0.4 - 0.6 * rng.random_range(f64::MIN_POSITIVE..1.0).ln();
        arrivals.push(Arrival {
            at,
            customer,
            mean_run: kind.mean_run,
            run: kind.mean_run.mul_f64(spread),
            objective_at: at + kind.objective,
            deadline: at + kind.deadline,
            in_peak: PEAK_S.contains(&at_s),
        });
    }
    arrivals
}

/// All requests of a replay. Those of the base load are the same for all loads with one seed.
fn arrivals(load: Load, seed: u64, start: Instant) -> Vec<Arrival> {
    let total: f64 = WEIGHTS.iter().sum();
    let mut all = Vec::new();
    for (customer, weight) in WEIGHTS.iter().enumerate() {
        let part = weight / total;
        for (n, kind) in KINDS.iter().enumerate() {
            let stream = |purpose: u64| {
                SmallRng::seed_from_u64(((seed * 10 + customer as u64) * 10 + n as u64) * 10 + purpose)
            };
            let base = BASE_LOAD * part * kind.load_part;
            all.extend(arrivals_of(customer, *kind, base, 0.0..LENGTH_S, start, &mut stream(0)));
            if n == BURST_KIND {
                let burst = load.burst * part;
                all.extend(arrivals_of(customer, *kind, burst, PEAK_S, start, &mut stream(1)));
            }
            if customer == 0 {
                let hot = load.hot * kind.load_part;
                all.extend(arrivals_of(customer, *kind, hot, PEAK_S, start, &mut stream(2)));
            }
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// An event of a replay; those at one time happen in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    RunEnds(usize),
    Arrives(usize),
    GivesUp(usize),
}

/// State of a replay.
struct Replay<S> {
    arrivals: Vec<Arrival>,
    scheduler: S,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    /// Requests that wait.
    waiting: Vec<usize>,
    running: usize,
    outcome: Outcome,
}

/// Replays the requests of a load.
pub fn replay<S: Scheduler>(load: Load, seed: u64, scheduler: S) -> Outcome {
    let start = Instant::now();
    let arrivals = arrivals(load, seed, start);
    let events = arrivals.iter().enumerate().map(|(n, a)| Reverse((a.at, Event::Arrives(n)))).collect();
    let outcome = Outcome::default();
    let mut replay = Replay { arrivals, scheduler, events, waiting: Vec::new(), running: 0, outcome };
    let peak = start + Duration::from_secs_f64(PEAK_S.start)..start + Duration::from_secs_f64(PEAK_S.end);
    let mut last = start;
    while let Some(Reverse((now, event))) = replay.events.pop() {
        let lasted = (now - last).as_secs_f64();
        if !replay.waiting.is_empty() {
            replay.outcome.idle_s += lasted * (SLOTS - replay.running) as f64;
        }
        if peak.contains(&now) {
            replay.outcome.used_s += lasted * replay.running as f64;
            replay.outcome.peak_s += lasted * SLOTS as f64;
        }
        last = now;
        replay.handle(event, now);
    }
    assert!(replay.waiting.is_empty(), "all requests end");
    replay.outcome
}

impl<S: Scheduler> Replay<S> {
    fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::Arrives(n) => {
                let arrival = self.arrivals[n];
                self.outcome.requests[arrival.customer] += 1.0;
                if arrival.in_peak {
                    self.outcome.offered_s[arrival.customer] += arrival.run.as_secs_f64();
                }
                self.waiting.push(n);
                if let Some(patience) = self.scheduler.offer(n, &arrival, now) {
                    self.events.push(Reverse((now + patience, Event::GivesUp(n))));
                }
            }
            Event::RunEnds(n) => {
                self.running -= 1;
                let arrival = self.arrivals[n];
                let worth = arrival.worth(now);
                self.outcome.worth[arrival.customer] += worth;
                if arrival.in_peak {
                    self.outcome.served_s[arrival.customer] += arrival.run.as_secs_f64() * worth;
                }
                self.scheduler.remove(n);
            }
            Event::GivesUp(n) if self.waiting.contains(&n) => {
                self.scheduler.remove(n);
                self.decided(n, Decision::Refused, now);
            }
            Event::GivesUp(_) => return,
        }
        for (n, decision) in self.scheduler.decide(now) {
            self.decided(n, decision, now);
        }
    }

    fn decided(&mut self, n: usize, decision: Decision, now: Instant) {
        self.waiting.retain(|waiting| *waiting != n);
        match decision {
            Decision::Started => {
                self.running += 1;
                assert!(self.running <= SLOTS, "no more runs than slots");
                self.events.push(Reverse((now + self.arrivals[n].run, Event::RunEnds(n))));
            }
            Decision::Refused => {
                let arrival = &self.arrivals[n];
                let end_elsewhere = now + arrival.mean_run;
                let count = |is_late: bool| if is_late { 1.0 } else { 0.0 };
                self.outcome.late_for_objective += count(end_elsewhere > arrival.objective_at);
                self.outcome.late_for_deadline += count(end_elsewhere > arrival.deadline);
            }
        }
    }
}
