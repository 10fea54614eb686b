//! Keeps this daemon's token pools filled ahead of demand.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use base::{CustomerId, DaemonId, rendezvous};
use kernel::{LOTS, MILLI, Pool, Pools};
use smallvec::SmallVec;
use wire::limit::{Cell, Granted, Want};

use crate::aggregator::Customers;
use crate::cells::{Aggregators, SLOT_COUNT, cell_of};
use crate::times::from_ms;

/// Time of use for which tokens are held ahead.
const AHEAD: Duration = Duration::from_millis(250);
/// Part of the burst that all daemons together hold ahead at full use.
const AHEAD_BURST_PART: f64 = 0.25;
/// Tokens are asked for when less than this part of the target is held.
const LOW_WATER: f64 = 0.6;
/// Held tokens are extended when they lapse within this time.
const RENEW_BEFORE: Duration = Duration::from_millis(450);
/// Time without use after which tokens are given back.
const IDLE: Duration = Duration::from_millis(200);
/// Time without use after which a customer is forgotten.
const FORGET: Duration = Duration::from_secs(10);
/// Time after which an unanswered demand is given up.
const ANSWER_LIMIT: Duration = Duration::from_millis(150);
/// Time after which another aggregator is asked as well.
const HEDGE_AFTER: Duration = Duration::from_millis(80);
/// Time for which an aggregator that did not answer is left out.
const SILENT_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for which an aggregator without tokens is not asked again.
const DRY_PAUSE: Duration = Duration::from_millis(200);
/// Shortest such time.
const DRY_PAUSE_MIN: Duration = Duration::from_millis(20);
/// Time for which a report of a waiting request counts.
const WAITING: Duration = Duration::from_millis(500);
/// Smoothing time of the rate of use.
const SMOOTHING: Duration = Duration::from_secs(1);
/// Spent tokens are reported when they are this part of the burst: until then the granter counts them.
const REPORT_BURST_PART: f64 = 0.01;
/// Part of all shares that must stand behind the word that a customer is over its rate.
const OVER_RATE_SHARES: f64 = 0.9;
/// Tokens that come within this time are waited for instead of refusing the request.
const SHORT_WAIT: Duration = Duration::from_millis(250);
/// Part of the rate that a daemon without recent use expects to get.
const LEAST_YIELD_PART: f64 = 0.25;
/// Aggregators of one customer that are asked.
const MAX_SOURCES: usize = LOTS - 2;

/// One aggregator of a customer.
#[derive(Clone, Copy, Debug)]
struct Source {
    from: DaemonId,
    cell: Cell,
    lot: usize,
    /// Number, time and thousandths of the demand under way.
    pending: Option<(u64, Instant, u32)>,
    /// Thousandths that the granter counts as alive here, unless they lapsed.
    counted: u32,
    /// Not asked for more before this.
    pause_until: Instant,
    /// Shares behind it and the time until which it said to have no tokens.
    dry: Option<(u16, Instant)>,
}

/// A customer with traffic here.
#[derive(Debug)]
struct Active {
    sources: SmallVec<[Source; 4]>,
    /// Tokens a second taken here, smoothed.
    rate: f64,
    taken: u64,
    last_use: Instant,
    /// Thousandths that requests wait for, as of the last report.
    waiting: u32,
    waiting_until: Instant,
}

/// Demands to be sent, by aggregator.
pub(crate) type Demands = BTreeMap<DaemonId, Vec<Want>>;

/// The daemon's side of grants.
#[derive(Debug)]
pub(crate) struct Taker {
    me: DaemonId,
    /// Number of the last demand. Grows over restarts, as long as the wall clock does.
    seq: u64,
    active: HashMap<CustomerId, Active>,
    ticked: Instant,
    /// Shares in all, from the row.
    total: f64,
    /// Demands that nobody answered in time.
    pub(crate) unanswered: u64,
    /// Grants that came too late or twice.
    pub(crate) refused: u64,
}

/// What a decision needs to know.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Around<'a> {
    pub(crate) now: Instant,
    pub(crate) pools: &'a Pools,
    pub(crate) owners: &'a Aggregators,
    pub(crate) region: &'a str,
    pub(crate) customers: &'a Customers,
}

impl Active {
    fn new(now: Instant, pool: &Pool) -> Self {
        Self {
            sources: SmallVec::new(),
            rate: 0.0,
            taken: pool.taken(),
            last_use: now,
            waiting: 0,
            waiting_until: now,
        }
    }

    /// Follows the owners of the customer's cells. A lot that loses its source is emptied: its granter
    /// may be asked again with another lot, and that demand must not leave out tokens still held.
    fn set_sources(&mut self, around: Around<'_>, me: DaemonId, customer: &str, pool: &Pool) {
        let first = rendezvous::stable_hash(format!("{customer}/{me}").as_bytes()) as u8 % SLOT_COUNT;
        let mut wanted: SmallVec<[(bool, DaemonId, Cell); 4]> = SmallVec::new();
        for slot in (0..SLOT_COUNT).map(|i| (first + i) % SLOT_COUNT) {
            let cell = cell_of(customer, slot);
            let owners = around.owners.aggregators_of(around.region, cell);
            let near = around.owners.aggregator_of(around.region, cell);
            wanted.extend(owners.map(|id| (near != Some(id), id, cell)));
        }
        wanted.sort_by_key(|(is_far, ..)| *is_far);
        wanted.truncate(MAX_SOURCES);
        for gone in self.sources.iter().filter(|s| !wanted.iter().any(|w| w.1 == s.from && w.2 == s.cell)) {
            let _lost = pool.drain(gone.lot, around.now);
        }
        let old = std::mem::take(&mut self.sources);
        let mut free: Vec<usize> = (0..LOTS).collect();
        free.retain(|lot| !old.iter().any(|s| s.lot == *lot));
        for (_, from, cell) in wanted {
            let kept = old.iter().find(|s| s.from == from && s.cell == cell);
            let made = || {
                let lot = free.pop()?;
                Some(Source {
                    from,
                    cell,
                    lot,
                    pending: None,
                    counted: 0,
                    pause_until: around.now,
                    dry: None,
                })
            };
            self.sources.extend(kept.copied().or_else(made));
        }
    }

    /// Thousandths to be held: some time of use, and what requests wait for.
    fn target(&self, now: Instant, rate: f64, burst: f64) -> f64 {
        let ahead = self.rate * AHEAD.as_secs_f64();
        let part = burst * AHEAD_BURST_PART * self.rate / rate.max(f64::MIN_POSITIVE);
        let ahead = ahead.min(part);
        // Less than a token ahead would serve nobody here and be missing elsewhere.
        let ahead = if ahead < 1.0 { 0.0 } else { ahead };
        ahead * f64::from(MILLI) + self.waiting_at(now)
    }

    /// Thousandths that requests still wait for.
    fn waiting_at(&self, now: Instant) -> f64 {
        if now < self.waiting_until { f64::from(self.waiting) } else { 0.0 }
    }

    fn observe(&mut self, now: Instant, elapsed: Duration, pool: &Pool) {
        let taken = pool.taken();
        let used = taken.saturating_sub(self.taken);
        self.taken = taken;
        if used > 0 {
            self.last_use = now;
        }
        let weight = (elapsed.as_secs_f64() / SMOOTHING.as_secs_f64()).min(1.0);
        let rate = used as f64 / f64::from(MILLI) / elapsed.as_secs_f64().max(1e-3);
        self.rate += weight * (rate - self.rate);
    }

    fn held(&self, now: Instant, pool: &Pool) -> f64 {
        self.sources.iter().map(|s| f64::from(pool.held(s.lot, now))).sum()
    }

    fn is_idle(&self, now: Instant) -> bool {
        now >= self.last_use + IDLE && now >= self.waiting_until
    }
}

impl Taker {
    pub(crate) fn new(me: DaemonId, now: Instant) -> Self {
        let active = HashMap::new();
        Self { me, seq: 0, active, ticked: now, total: 1.0, unanswered: 0, refused: 0 }
    }

    /// Starts the numbers above those of any earlier process on this address.
    pub(crate) fn start(&mut self, wall_ms: u64) {
        self.seq = wall_ms << 20;
    }

    pub(crate) fn set_total(&mut self, total: usize) {
        self.total = total.max(1) as f64;
    }

    /// Number for the demands that are about to be sent.
    pub(crate) fn seq(&self) -> u64 {
        self.seq
    }

    /// Customers with traffic here.
    pub(crate) fn active(&self) -> usize {
        self.active.len()
    }

    /// A request waits for tokens.
    pub(crate) fn wait(&mut self, around: Around<'_>, customer: &CustomerId, tokens: u32) -> Demands {
        let now = around.now;
        let mut demands = Demands::new();
        let (Some(pool), Some(conf)) = (around.pools.get(customer), around.customers.get(customer)) else {
            return demands;
        };
        let me = self.me;
        let active = self.active.entry(customer.clone()).or_insert_with(|| Active::new(now, &pool));
        if active.sources.is_empty() {
            active.set_sources(around, me, customer, &pool);
        }
        let before = if now < active.waiting_until { active.waiting } else { 0 };
        let most = (conf.burst * f64::from(MILLI)) as u32;
        active.waiting = before.saturating_add(tokens.saturating_mul(MILLI)).min(most.max(tokens * MILLI));
        active.waiting_until = now + WAITING;
        active.last_use = now;
        self.seq += 1;
        ask(active, around, customer, &pool, self.seq, &mut demands);
        judge(active, now, conf.rate, self.total, &pool);
        demands
    }

    /// Follows use and renews, asks or gives back; called on every tick.
    pub(crate) fn tick(&mut self, around: Around<'_>) -> Demands {
        let now = around.now;
        let elapsed = now.saturating_duration_since(self.ticked);
        self.ticked = now;
        self.seq += 1;
        let seq = self.seq;
        let mut demands = Demands::new();
        let unanswered = &mut self.unanswered;
        self.active.retain(|customer, active| {
            let Some(pool) = around.pools.get(customer) else {
                return false;
            };
            active.observe(now, elapsed, &pool);
            *unanswered += give_up_silent(active, now);
            if active.is_idle(now) {
                give_back(active, now, customer, &pool, seq, &mut demands);
            } else {
                ask(active, around, customer, &pool, seq, &mut demands);
                renew(active, now, customer, &pool, seq, &mut demands);
            }
            report(active, around, customer, &pool, seq, &mut demands);
            now < active.last_use + FORGET
        });
        demands
    }

    /// Follows changed members.
    pub(crate) fn members_changed(&mut self, around: Around<'_>) {
        for (customer, active) in &mut self.active {
            if let Some(pool) = around.pools.get(customer) {
                active.set_sources(around, self.me, customer, &pool);
            }
        }
    }

    /// Takes a grant in; asks the next aggregator for what is missing.
    pub(crate) fn granted(
        &mut self,
        around: Around<'_>,
        from: DaemonId,
        seq: u64,
        ttl_ms: u32,
        grants: &[Granted],
    ) -> Demands {
        let mut demands = Demands::new();
        self.seq += 1;
        for granted in grants {
            let taken = self.take_in(around, from, seq, ttl_ms, granted, &mut demands);
            self.refused += u64::from(taken.is_none());
        }
        demands
    }

    fn take_in(
        &mut self,
        around: Around<'_>,
        from: DaemonId,
        seq: u64,
        ttl_ms: u32,
        granted: &Granted,
        demands: &mut Demands,
    ) -> Option<()> {
        let now = around.now;
        let pool = around.pools.get(&granted.customer)?;
        let conf = around.customers.get(&granted.customer)?;
        let active = self.active.get_mut(&granted.customer)?;
        let source = active.sources.iter_mut().find(|s| s.from == from && s.cell == granted.cell)?;
        let (_, asked_at, want) = source.pending.take_if(|p| p.0 == seq)?;
        let lapses = asked_at + from_ms(ttl_ms);
        source.counted = if granted.extended { source.counted } else { 0 }.saturating_add(granted.amount);
        if granted.extended {
            pool.extend(source.lot, granted.amount, lapses);
        } else if pool.held(source.lot, now) == 0 {
            pool.fill(source.lot, granted.amount, lapses);
        } else {
            // Dropped: what is held lapses on its own, and the granter counts both until then.
            source.pause_until = now + DRY_PAUSE;
        }
        source.dry = None;
        if granted.amount < want {
            let retry = from_ms(granted.retry_ms);
            source.dry = Some((granted.shares, now + retry));
            source.pause_until = now + retry.clamp(DRY_PAUSE_MIN, DRY_PAUSE);
        }
        // Each refill wakes all that wait; those that still miss tokens report again.
        active.waiting = if granted.amount > 0 { 0 } else { active.waiting };
        ask(active, around, &granted.customer, &pool, self.seq, demands);
        judge(active, now, conf.rate, self.total, &pool);
        Some(())
    }

    /// Gives everything back; for a graceful stop.
    pub(crate) fn release(&mut self, now: Instant, pools: &Pools) -> Demands {
        let mut demands = Demands::new();
        self.seq += 1;
        for (customer, active) in &mut self.active {
            if let Some(pool) = pools.get(customer) {
                give_back(active, now, customer, &pool, self.seq, &mut demands);
            }
        }
        self.active.clear();
        demands
    }
}

/// Puts a line into the demand for a source, with what is held now. The held tokens can only get fewer
/// from here on: lapsed ones are removed, so that no extension revives them.
fn demand(
    source: &mut Source,
    now: Instant,
    customer: &CustomerId,
    pool: &Pool,
    seq: u64,
    (want, back): (u32, u32),
    demands: &mut Demands,
) {
    let held = pool.held(source.lot, now);
    if held == 0 {
        let _lapsed = pool.drain(source.lot, now);
    }
    // A mere report is not answered; an answer under way is void in any case.
    source.pending = (want > 0 || held > 0).then_some((seq, now, want));
    source.counted = held;
    let line = Want { customer: customer.clone(), cell: source.cell, want, held, back };
    demands.entry(source.from).or_default().push(line);
}

/// Asks the first aggregator that may have tokens, if too few are held.
fn ask(
    active: &mut Active,
    around: Around<'_>,
    customer: &CustomerId,
    pool: &Pool,
    seq: u64,
    demands: &mut Demands,
) {
    let Some(conf) = around.customers.get(customer) else {
        return;
    };
    let now = around.now;
    let target = active.target(now, conf.rate, conf.burst);
    let pending = active.sources.iter().filter_map(|s| s.pending);
    let coming: f64 = pending.filter(|p| now < p.1 + HEDGE_AFTER).map(|p| f64::from(p.2)).sum();
    let have = active.held(now, pool) + coming;
    let enough = (target * LOW_WATER).max(active.waiting_at(now));
    let want = (target - have).ceil() as u32;
    // Without a want there is no demand: its grant would lead here again.
    if have >= enough || want == 0 {
        return;
    }
    let free = |s: &&mut Source| s.pending.is_none() && now >= s.pause_until;
    if let Some(source) = active.sources.iter_mut().find(free) {
        demand(source, now, customer, pool, seq, (want, 0), demands);
    }
}

fn renew(
    active: &mut Active,
    now: Instant,
    customer: &CustomerId,
    pool: &Pool,
    seq: u64,
    demands: &mut Demands,
) {
    for source in active.sources.iter_mut().filter(|s| s.pending.is_none()) {
        if pool.held(source.lot, now) > 0 && pool.lapse(source.lot) < now + RENEW_BEFORE {
            demand(source, now, customer, pool, seq, (0, 0), demands);
        }
    }
}

/// Reports spent tokens, so that the granter may grant as many anew.
fn report(
    active: &mut Active,
    around: Around<'_>,
    customer: &CustomerId,
    pool: &Pool,
    seq: u64,
    demands: &mut Demands,
) {
    let burst = around.customers.get(customer).map_or(0.0, |c| c.burst);
    let least = (burst * REPORT_BURST_PART * f64::from(MILLI)) as u32;
    for source in active.sources.iter_mut().filter(|s| s.pending.is_none()) {
        let spent = source.counted.saturating_sub(pool.held(source.lot, around.now));
        if spent > least {
            demand(source, around.now, customer, pool, seq, (0, 0), demands);
        }
    }
}

fn give_back(
    active: &mut Active,
    now: Instant,
    customer: &CustomerId,
    pool: &Pool,
    seq: u64,
    demands: &mut Demands,
) {
    for source in &mut active.sources {
        let back = pool.drain(source.lot, now);
        if back > 0 {
            demand(source, now, customer, pool, seq, (0, back), demands);
        }
    }
}

/// Drops demands that were not answered in time; returns how many.
fn give_up_silent(active: &mut Active, now: Instant) -> u64 {
    let mut count = 0;
    for source in &mut active.sources {
        if source.pending.take_if(|p| now >= p.1 + ANSWER_LIMIT).is_some() {
            source.pause_until = now + SILENT_PAUSE;
            source.dry = None;
            count += 1;
        }
    }
    count
}

/// Marks the customer as over its rate if aggregators of nearly all shares said to have no tokens.
fn judge(active: &mut Active, now: Instant, rate: f64, total: f64, pool: &Pool) {
    let missing = f64::from(active.waiting) - active.held(now, pool);
    if missing <= 0.0 || now >= active.waiting_until {
        return;
    }
    let dry = |s: &Source| s.dry.filter(|_| now < s.pause_until).map(|(shares, _)| f64::from(shares));
    let shares: f64 = active.sources.iter().filter_map(dry).sum();
    let wait = missing / f64::from(MILLI) / rate.max(f64::MIN_POSITIVE);
    let wait_here = missing / f64::from(MILLI) / active.rate.max(rate * LEAST_YIELD_PART);
    if shares >= total * OVER_RATE_SHARES && wait_here > SHORT_WAIT.as_secs_f64() {
        pool.set_over_rate(now + Duration::from_secs_f64(wait.min(3_600.0)));
        active.waiting = 0;
    }
}

#[cfg(test)]
#[path = "prefetch_tests.rs"]
mod tests;
