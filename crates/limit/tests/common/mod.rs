//! Simulated traffic over a fake fleet, checked against an oracle: one exact token bucket per customer over
//! all admitted requests.

use std::cell::RefCell;
use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fake::{DaemonIndex, Fleet};
use kernel::{Area, AreaEntry, Cx, Event, Report, TakeResult};
use {limit as _, member as _};

/// Time for which a request waits for tokens.
pub const TOKEN_WAIT: Duration = Duration::from_millis(250);
/// Length of one step of virtual time.
pub const STEP: Duration = Duration::from_millis(5);
/// Tolerance of the oracle for rounding, in tokens.
const ROUNDING: f64 = 1e-6;

thread_local! {
    static CUSTOMERS: RefCell<Arc<conf::Snapshot>> = RefCell::default();
}

kernel::inventory::submit! {
    AreaEntry { name: "test-conf", order: 16, build: |_| Box::new(TestConf) }
}

/// An area that puts the test's customers into force at the first tick.
struct TestConf;

impl Area for TestConf {
    fn name(&self) -> &'static str {
        "test-conf"
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if cx.board.conf.is_none() {
            let snapshot = CUSTOMERS.with_borrow(Arc::clone);
            cx.pools.set_customers(snapshot.customers.keys());
            cx.board.conf = Some(snapshot);
            cx.emit(Event::ConfChanged);
        }
    }
}

/// An exact token bucket.
#[derive(Clone, Debug)]
pub struct Oracle {
    rate: f64,
    burst: f64,
    level: f64,
    refilled_at: Instant,
}

impl Oracle {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64, refilled_at: Instant) -> Self {
        Self { rate, burst, level: burst, refilled_at }
    }

    fn advance(&mut self, now: Instant) {
        let refilled = self.rate * now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.level = (self.level + refilled).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes tokens if the bucket holds enough. A refused request takes none, so that each excess counts
    /// once.
    pub fn take_tokens(&mut self, now: Instant, cost: f64) -> bool {
        self.advance(now);
        let is_enough = self.level + ROUNDING >= cost;
        self.level -= if is_enough { cost } else { 0.0 };
        is_enough
    }

    /// Sets other limits; tokens beyond the new burst are dropped.
    #[allow(dead_code, reason = "used by one of the programs that share this file")]
    pub fn set_limits(&mut self, now: Instant, rate: f64, burst: f64) {
        self.advance(now);
        (self.rate, self.burst, self.level) = (rate, burst, self.level.min(burst));
    }
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request got its tokens.
    Admitted,
    /// Refused: the customer is over its rate.
    OverRate,
    /// Refused: no tokens arrived in time.
    Unconfirmed,
}

/// A request that waits for tokens.
struct Waiting {
    at: DaemonIndex,
    customer: usize,
    cost: u32,
    until: Instant,
    tag: u64,
    /// Millitokens in the pool at the last attempt; `u64::MAX` before the first.
    held: u64,
}

/// A customer and the oracle for it.
#[derive(Clone, Debug)]
pub struct Customer {
    pub name: Box<str>,
    /// Exact bucket over all admitted requests.
    pub oracle: Oracle,
}

/// A fake fleet with simulated traffic.
pub struct Sim {
    /// Daemons, network and store.
    pub fleet: Fleet,
    /// Customers, in the order given to [`Sim::new`].
    pub customers: Vec<Customer>,
    /// Admitted requests that the oracle would have refused.
    pub over_admitted: u64,
    pub admitted: u64,
    waiting: Vec<Waiting>,
}

impl Sim {
    /// Starts one daemon at each place (region, data centre); `customers` are pairs of rate and burst.
    pub fn new(seed: u64, places: &[(&str, &str)], customers: &[(f64, f64)], shares: u32) -> Self {
        let mut text = format!("[fleet]\nshares = {shares}\n");
        for (i, (rate, burst)) in customers.iter().enumerate() {
            let _infallible =
                writeln!(text, "[[customer]]\nname = \"c{i}\"\nrate = {rate:?}\nburst = {burst:?}");
        }
        let source = conf::source::parse("test", &text).expect("the test's customers are well-formed");
        let snapshot = conf::compile(&source, 1).expect("the test's customers are valid");
        CUSTOMERS.set(Arc::new(snapshot));
        let fleet = Fleet::new(seed, places);
        let now = fleet.now();
        let new_customer = |(i, (rate, burst)): (usize, &(f64, f64))| Customer {
            name: format!("c{i}").into(),
            oracle: Oracle::new(*rate, *burst, now),
        };
        let customers = customers.iter().enumerate().map(new_customer).collect();
        Self { fleet, customers, over_admitted: 0, admitted: 0, waiting: Vec::new() }
    }

    /// Whether a daemon accepts requests.
    pub fn is_up(&self, at: DaemonIndex) -> bool {
        let kernel = self.fleet.kernel(at);
        kernel.is_some_and(|k| !k.board().stopping) && !self.fleet.is_paused(at)
    }

    /// Sends a request to a daemon. Returns its tag and outcome, or `None` if it waits for tokens;
    /// [`Sim::step`] then returns them.
    pub fn arrive(
        &mut self,
        at: DaemonIndex,
        customer: usize,
        cost: u32,
        tag: u64,
    ) -> Option<(u64, Outcome)> {
        let until = self.fleet.now() + TOKEN_WAIT;
        let mut request = Waiting { at, customer, cost, until, tag, held: u64::MAX };
        let outcome = self.attempt(&mut request);
        if outcome.is_none() {
            self.waiting.push(request);
        }
        outcome.map(|outcome| (tag, outcome))
    }

    /// Tries to take tokens. Like a request woken by a refill, reports the demand whenever the pool has
    /// changed.
    fn attempt(&mut self, request: &mut Waiting) -> Option<Outcome> {
        let now = self.fleet.now();
        let Some(kernel) = self.fleet.kernel(request.at) else {
            return Some(Outcome::Unconfirmed);
        };
        if self.fleet.is_paused(request.at) {
            return None;
        }
        let customer = &mut self.customers[request.customer];
        let pool = kernel.pools().get(&customer.name);
        let held = pool.as_ref().map_or(0, |p| p.total_held(now));
        let take = pool.map_or(TakeResult::Empty, |p| p.take(request.cost, now));
        match take {
            TakeResult::Taken => {
                self.admitted += 1;
                let is_within = customer.oracle.take_tokens(now, f64::from(request.cost));
                self.over_admitted += u64::from(!is_within);
                Some(Outcome::Admitted)
            }
            TakeResult::OverRate(_) => Some(Outcome::OverRate),
            TakeResult::Empty if now >= request.until => Some(Outcome::Unconfirmed),
            TakeResult::Empty => {
                if std::mem::replace(&mut request.held, held) != held {
                    let demand = Report::Demand { customer: customer.name.clone(), tokens: request.cost };
                    self.fleet.report(request.at, demand);
                }
                None
            }
        }
    }

    /// Advances time by one step; returns the tags and outcomes of requests that stopped waiting.
    pub fn step(&mut self) -> Vec<(u64, Outcome)> {
        self.fleet.run_for(STEP);
        let mut ended = Vec::new();
        for mut request in std::mem::take(&mut self.waiting) {
            match self.attempt(&mut request) {
                Some(outcome) => ended.push((request.tag, outcome)),
                None => self.waiting.push(request),
            }
        }
        ended
    }

    /// Advances time and ignores the outcomes of requests.
    #[allow(dead_code, reason = "used by one of the programs that share this file")]
    pub fn run_for(&mut self, time: Duration) {
        let end = self.fleet.now() + time;
        while self.fleet.now() < end {
            self.step();
        }
    }
}
