//! Traffic over a fake fleet, and the oracle: one exact bucket per customer over all admissions.

use std::cell::RefCell;
use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fake::{Fleet, Index};
use kernel::{Area, AreaEntry, Cx, Event, Report, TakeResult};
use {limit as _, member as _};

/// Time for which a request waits for tokens.
pub const TOKEN_WAIT: Duration = Duration::from_millis(250);
/// Step of virtual time.
pub const STEP: Duration = Duration::from_millis(5);
/// Rounding of the oracle, in tokens.
const ROUNDING: f64 = 1e-6;

thread_local! {
    static CUSTOMERS: RefCell<Arc<conf::Snapshot>> = RefCell::default();
}

kernel::inventory::submit! {
    AreaEntry { name: "test-conf", order: 16, build: |_| Box::new(GivenConf) }
}

/// Puts the test's customers into force at the first tick.
struct GivenConf;

impl Area for GivenConf {
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
    at: Instant,
}

impl Oracle {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64, at: Instant) -> Self {
        Self { rate, burst, level: burst, at }
    }

    fn advance(&mut self, now: Instant) {
        let made = self.rate * now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + made).min(self.burst);
        self.at = self.at.max(now);
    }

    /// Takes tokens if they are there; an excess empties nothing, so that each counts once.
    pub fn take(&mut self, now: Instant, cost: f64) -> bool {
        self.advance(now);
        let there = self.level + ROUNDING >= cost;
        self.level -= if there { cost } else { 0.0 };
        there
    }

    /// Sets other limits, keeping the level inside them.
    #[allow(dead_code, reason = "used by one of the programs that share this file")]
    pub fn set(&mut self, now: Instant, rate: f64, burst: f64) {
        self.advance(now);
        (self.rate, self.burst, self.level) = (rate, burst, self.level.min(burst));
    }
}

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Ran.
    Admitted,
    /// Refused: over its rate.
    OverRate,
    /// Refused: tokens not confirmed in time.
    Unconfirmed,
}

/// A request that waits for tokens.
struct Waiting {
    at: Index,
    customer: usize,
    cost: u32,
    until: Instant,
    tag: u64,
    /// What the pool held at the last attempt.
    held: u64,
}

/// A customer of the test.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name.
    pub name: Box<str>,
    /// Bucket over all admissions.
    pub oracle: Oracle,
}

/// A fleet with traffic.
pub struct Sim {
    /// The fleet.
    pub fleet: Fleet,
    /// Customers.
    pub customers: Vec<Customer>,
    /// Admissions that the oracle refuses.
    pub over_admitted: u64,
    /// Requests that ran.
    pub admitted: u64,
    waiting: Vec<Waiting>,
}

impl Sim {
    /// Starts daemons and customers (rate, burst).
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
        let make = |(i, (rate, burst)): (usize, &(f64, f64))| Customer {
            name: format!("c{i}").into(),
            oracle: Oracle::new(*rate, *burst, now),
        };
        let customers = customers.iter().enumerate().map(make).collect();
        Self { fleet, customers, over_admitted: 0, admitted: 0, waiting: Vec::new() }
    }

    /// Whether a daemon takes requests.
    pub fn is_up(&self, at: Index) -> bool {
        let kernel = self.fleet.kernel(at);
        kernel.is_some_and(|k| !k.board().stopping) && !self.fleet.is_paused(at)
    }

    /// A request arrives; ends at once or waits. `tag` comes back with its end.
    pub fn arrive(&mut self, at: Index, customer: usize, cost: u32, tag: u64) -> Option<(u64, End)> {
        let until = self.fleet.now() + TOKEN_WAIT;
        let mut request = Waiting { at, customer, cost, until, tag, held: u64::MAX };
        let end = self.attempt(&mut request);
        if end.is_none() {
            self.waiting.push(request);
        }
        end.map(|end| (tag, end))
    }

    /// Tries to take tokens, and reports when the pool changed, as traffic does when it is woken.
    fn attempt(&mut self, request: &mut Waiting) -> Option<End> {
        let now = self.fleet.now();
        let Some(kernel) = self.fleet.kernel(request.at) else {
            return Some(End::Unconfirmed);
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
                let exact = customer.oracle.take(now, f64::from(request.cost));
                self.over_admitted += u64::from(!exact);
                Some(End::Admitted)
            }
            TakeResult::OverRate(_) => Some(End::OverRate),
            TakeResult::Empty if now >= request.until => Some(End::Unconfirmed),
            TakeResult::Empty => {
                if std::mem::replace(&mut request.held, held) != held {
                    let demand = Report::Demand { customer: customer.name.clone(), tokens: request.cost };
                    self.fleet.report(request.at, demand);
                }
                None
            }
        }
    }

    /// Lets one step of time pass; returns the requests that ended.
    pub fn step(&mut self) -> Vec<(u64, End)> {
        self.fleet.run_for(STEP);
        let mut ended = Vec::new();
        for mut request in std::mem::take(&mut self.waiting) {
            match self.attempt(&mut request) {
                Some(end) => ended.push((request.tag, end)),
                None => self.waiting.push(request),
            }
        }
        ended
    }

    /// Lets time pass without counting ends.
    #[allow(dead_code, reason = "used by one of the programs that share this file")]
    pub fn run_for(&mut self, time: Duration) {
        let end = self.fleet.now() + time;
        while self.fleet.now() < end {
            self.step();
        }
    }
}
