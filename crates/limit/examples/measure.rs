//! Measures wrongful refusals and over-admission under faults, and how costs grow with the fleet; prints CSV.
//!
//! `cargo run --release -p limit --example measure [faults|slopes|CASE]`
//!
//! Three limiters get the same requests: ours (the real code over a fake fleet), a static split (each daemon
//! has an equal part of rate and burst) and a bucket of the full rate at each daemon. A refusal is wrongful
//! when one exact bucket over all requests would have admitted the request. For each customer and phase,
//! wrongful = max(0, admitted by that bucket - admitted).

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "measure/slopes.rs"]
mod slopes;

use std::time::{Duration, Instant};

use common::{Oracle, Outcome, STEP, Sim};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Fraction of its rate that each customer uses.
const RATE_USE: f64 = 0.8;
/// Daemons, half of them in each region.
const DAEMONS: usize = 8;
/// Virtual time before requests are counted.
const WARM_UP: Duration = Duration::from_secs(15);
/// Length of the phase after a fault, which is counted on its own.
const AFTER_FAULT: Duration = Duration::from_secs(10);
/// Rate and burst of the customers: mostly a burst of one second, as in the examples; one small customer, one
/// large.
const CUSTOMERS: [(f64, f64); 6] =
    [(50.0, 50.0), (50.0, 50.0), (20.0, 20.0), (20.0, 10.0), (5.0, 10.0), (200.0, 200.0)];
/// Region and data centre of the daemons, in turn.
const PLACES: [(&str, &str); 4] =
    [("meseta", "paraiso"), ("meseta", "barva"), ("guanacaste", "canas"), ("guanacaste", "santa-cruz")];

/// Fault or load pattern.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    Even,
    OneDaemon,
    JumpingRegions,
    EightTimes,
    DeathOfOne,
    RegionCut,
    StoreOutForHours,
    RollingReplacement,
}

/// Cases with the name in the output and the length in seconds of virtual time.
const CASES: [(Case, &str, u64); 8] = [
    (Case::Even, "even", 60),
    (Case::OneDaemon, "one-daemon", 60),
    (Case::JumpingRegions, "jumping-regions", 80),
    (Case::EightTimes, "one-customer-at-8x", 60),
    (Case::DeathOfOne, "death-of-one-in-eight", 60),
    (Case::RegionCut, "region-cut-3-min", 180),
    (Case::StoreOutForHours, "store-out-3-h", 3 * 3_600),
    (Case::RollingReplacement, "rolling-replacement", 8 * 30),
];

/// Counts of one limiter in one phase.
#[derive(Clone, Debug, Default)]
struct Counts {
    /// For each customer, requests admitted by the exact bucket and by the limiter.
    by_customer: Vec<(u64, u64)>,
    /// Admitted requests beyond rate and burst.
    over: u64,
}

impl Counts {
    fn new() -> Self {
        Self { by_customer: vec![(0, 0); CUSTOMERS.len()], over: 0 }
    }

    /// Number of wrongful refusals and of requests that the exact bucket admits.
    fn wrongful_refusals(&self) -> (u64, u64) {
        let wrongful = self.by_customer.iter().map(|(ideal, admitted)| ideal.saturating_sub(*admitted)).sum();
        (wrongful, self.by_customer.iter().map(|(ideal, _)| ideal).sum())
    }
}

/// A baseline limiter: independent buckets at each daemon.
struct Baseline {
    full_rate: bool,
    buckets: Vec<Vec<Oracle>>,
    total: Vec<Oracle>,
    counts: [Counts; 2],
}

impl Baseline {
    fn new(full_rate: bool, now: Instant) -> Self {
        let part = if full_rate { 1.0 } else { DAEMONS as f64 };
        let new_buckets =
            |parts: f64| CUSTOMERS.iter().map(|(r, b)| Oracle::new(r / parts, b / parts, now)).collect();
        Self {
            full_rate,
            buckets: (0..2 * DAEMONS).map(|_| new_buckets(part)).collect(),
            total: new_buckets(1.0),
            counts: [Counts::new(), Counts::new()],
        }
    }

    /// Divides rates among the daemons that accept requests, without the delay that a real split would have.
    fn divide_among(&mut self, now: Instant, up: usize) {
        for (i, (rate, burst)) in CUSTOMERS.iter().enumerate().filter(|_| !self.full_rate) {
            let parts = up.max(1) as f64;
            self.buckets.iter_mut().for_each(|b| b[i].set_limits(now, rate / parts, burst / parts));
        }
    }

    fn arrive(&mut self, now: Instant, at: usize, customer: usize, phase: usize, ideal: bool) {
        let admitted = self.buckets[at][customer].take_tokens(now, 1.0);
        let exact = !admitted || self.total[customer].take_tokens(now, 1.0);
        let count = &mut self.counts[phase];
        count.by_customer[customer].0 += u64::from(ideal);
        count.by_customer[customer].1 += u64::from(admitted);
        count.over += u64::from(!exact);
    }
}

struct Run {
    sim: Sim,
    rng: SmallRng,
    ideal: Vec<Oracle>,
    ours: [Counts; 2],
    refused_over_rate: u64,
    refused_unconfirmed: u64,
    baselines: [Baseline; 2],
    /// End of the phase that the last fault began.
    fault_until: Instant,
    /// Customer and phase of each request, by its tag.
    tags: Vec<(usize, usize)>,
    /// Over-admitted requests before the current step.
    over_before: u64,
}

impl Run {
    fn new(seed: u64) -> Self {
        let places: Vec<_> = (0..DAEMONS).map(|i| PLACES[i % PLACES.len()]).collect();
        let sim = Sim::new(seed, &places, &CUSTOMERS, 256);
        let now = sim.fleet.now();
        Self {
            sim,
            rng: SmallRng::seed_from_u64(seed),
            ideal: CUSTOMERS.iter().map(|(r, b)| Oracle::new(*r, *b, now)).collect(),
            ours: [Counts::new(), Counts::new()],
            refused_over_rate: 0,
            refused_unconfirmed: 0,
            baselines: [Baseline::new(false, now), Baseline::new(true, now)],
            fault_until: now,
            tags: Vec::new(),
            over_before: 0,
        }
    }

    fn start_fault_phase(&mut self) {
        self.fault_until = self.sim.fleet.now() + AFTER_FAULT;
        let up = self.up().len();
        let now = self.sim.fleet.now();
        self.baselines.iter_mut().for_each(|b| b.divide_among(now, up));
    }

    fn up(&self) -> Vec<usize> {
        (0..self.sim.fleet.daemon_count()).filter(|at| self.sim.is_up(*at)).collect()
    }

    fn count_outcomes(&mut self, outcomes: Vec<(u64, Outcome)>) {
        for (tag, outcome) in outcomes {
            let (customer, phase) = self.tags[tag as usize];
            match outcome {
                Outcome::Admitted => self.ours[phase].by_customer[customer].1 += 1,
                Outcome::OverRate => self.refused_over_rate += 1,
                Outcome::Unconfirmed => self.refused_unconfirmed += 1,
            }
        }
    }

    /// Runs one step of virtual time with Poisson arrivals.
    fn step(&mut self, case: Case, elapsed: Duration) {
        let up = self.up();
        let now = self.sim.fleet.now();
        let phase = usize::from(now < self.fault_until);
        for (customer, (rate, _)) in CUSTOMERS.iter().enumerate() {
            let times = if case == Case::EightTimes && customer == 0 { 8.0 } else { RATE_USE };
            let mean = rate * times * STEP.as_secs_f64();
            for _ in 0..poisson(&mut self.rng, mean) {
                let at = choose_daemon(case, elapsed, &up, self.sim.fleet.daemon_count(), &mut self.rng);
                self.arrive(now, at, customer, phase);
            }
        }
        let outcomes = self.sim.step();
        self.count_outcomes(outcomes);
        self.ours[phase].over += self.sim.over_admitted - self.over_before;
        self.over_before = self.sim.over_admitted;
    }

    fn arrive(&mut self, now: Instant, at: usize, customer: usize, phase: usize) {
        let ideal = self.ideal[customer].take_tokens(now, 1.0);
        self.ours[phase].by_customer[customer].0 += u64::from(ideal);
        for baseline in &mut self.baselines {
            baseline.arrive(now, at, customer, phase, ideal);
        }
        let tag = self.tags.len() as u64;
        self.tags.push((customer, phase));
        let outcome = self.sim.arrive(at, customer, 1, tag);
        self.count_outcomes(outcome.into_iter().collect());
    }
}

/// Draws from a Poisson distribution.
fn poisson(rng: &mut SmallRng, mean: f64) -> u32 {
    let (limit, mut product, mut count) = ((-mean).exp(), rng.random::<f64>(), 0);
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

/// Chooses the daemon that gets a request from those that accept requests.
fn choose_daemon(case: Case, elapsed: Duration, up: &[usize], daemons: usize, rng: &mut SmallRng) -> usize {
    let in_region = |at: &usize, far: bool| (at % PLACES.len() >= 2) == far;
    match case {
        Case::OneDaemon => up[0],
        Case::JumpingRegions => {
            let far = (elapsed.as_secs() / 20) % 2 == 1;
            let there: Vec<_> = up.iter().copied().filter(|at| in_region(at, far)).collect();
            there[rng.random_range(0..there.len())]
        }
        _ => {
            debug_assert!(daemons >= up.len(), "no more daemons accept requests than exist");
            up[rng.random_range(0..up.len())]
        }
    }
}

/// Injects the faults of a case when they are due; `done` counts them.
fn inject_faults(run: &mut Run, case: Case, elapsed: Duration, done: &mut u64) {
    let seconds = elapsed.as_secs();
    let first = *done == 0 && seconds >= 5;
    match case {
        Case::JumpingRegions if seconds / 20 > *done => {
            *done += 1;
            run.start_fault_phase();
        }
        Case::DeathOfOne if first => {
            *done = 1;
            run.sim.fleet.crash(3);
            run.start_fault_phase();
        }
        Case::RegionCut if first => {
            *done = 1;
            run.sim.fleet.cut_region("guanacaste");
            run.start_fault_phase();
        }
        Case::StoreOutForHours if first => {
            *done = 1;
            run.sim.fleet.store.down = true;
            run.start_fault_phase();
        }
        // A replacement starts on a new address, then the old daemon stops.
        Case::RollingReplacement if seconds / 30 >= *done && *done < DAEMONS as u64 => {
            let old = *done as usize;
            *done += 1;
            let (region, data_centre) = PLACES[old % PLACES.len()];
            run.sim.fleet.add_daemon(region, data_centre);
            run.sim.fleet.stop(old);
            run.start_fault_phase();
        }
        _ => {}
    }
    if case == Case::RollingReplacement {
        for at in 0..run.sim.fleet.daemon_count() {
            if run.sim.fleet.is_finished(at) {
                run.sim.fleet.crash(at);
            }
        }
    }
}

fn measure_case(case: Case, name: &str, seconds: u64) {
    let mut run = Run::new(20_261_204);
    run.sim.run_for(WARM_UP);
    let start = run.sim.fleet.now();
    let mut done = 0;
    while run.sim.fleet.now() < start + Duration::from_secs(seconds) {
        let elapsed = run.sim.fleet.now() - start;
        inject_faults(&mut run, case, elapsed, &mut done);
        run.step(case, elapsed);
    }
    let [split, full] = &run.baselines;
    for (way, counts) in
        [("ours", &run.ours), ("static-split", &split.counts), ("full-rate-each", &full.counts)]
    {
        for (phase, count) in ["steady", "10s-after-fault"].iter().zip(counts) {
            let (wrongful, ideal) = count.wrongful_refusals();
            if ideal > 0 {
                let percent = 100.0 * wrongful as f64 / ideal as f64;
                println!("{name},{way},{phase},{ideal},{wrongful},{percent:.3},{}", count.over);
            }
        }
    }
    let worst: Vec<_> = run
        .ours
        .iter()
        .map(|c| {
            c.by_customer.iter().map(|(ideal, admitted)| ideal.saturating_sub(*admitted)).collect::<Vec<_>>()
        })
        .collect();
    println!("# {name}: ours, wrongful by customer, steady and after the fault: {worst:?}");
    let (over_rate, unconfirmed) = (run.refused_over_rate, run.refused_unconfirmed);
    println!("# {name}: ours refused {over_rate} as over-rate and {unconfirmed} as tokens-unconfirmed");
}

fn main() {
    let what = std::env::args().nth(1).unwrap_or_default();
    if what != "slopes" {
        println!("case,way,phase,inside_rate,wrongful,wrongful_percent,over_admitted");
        for (case, name, seconds) in CASES {
            if what.is_empty() || what == "faults" || what == name {
                measure_case(case, name, seconds);
            }
        }
    }
    if what.is_empty() || what == "slopes" {
        slopes::print_costs();
    }
}
