//! Prefetches tokens from aggregators into this daemon's pools, ahead of their use by requests.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use base::{CustomerId, DaemonId, rendezvous};
use kernel::{GRANT_SLOTS, MILLI_PER_TOKEN, TokenPool, TokenPools};
use smallvec::SmallVec;
use wire::limit::{Cell, CustomerDemand, CustomerGrant};

use crate::aggregator::Customers;
use crate::cells::{Aggregators, SLOT_COUNT, cell_of};
use crate::times::from_ms;

/// Tokens are held ahead for this much time at the present rate of use.
const PREFETCH_TIME: Duration = Duration::from_millis(250);
/// Fraction of a customer's burst that all daemons together hold ahead while the customer uses its whole
/// rate.
const PREFETCH_BURST_FRACTION: f64 = 0.25;
/// Tokens are requested when less than this fraction of the target is held.
const REFILL_THRESHOLD: f64 = 0.6;
/// Grants are renewed when they would expire within this time.
const RENEW_BEFORE: Duration = Duration::from_millis(450);
/// Time without use after which held tokens are returned.
const IDLE_AFTER: Duration = Duration::from_millis(200);
/// Time without use after which a customer is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// Time after which an unanswered demand counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which an unanswered demand is hedged: another aggregator is asked as well.
const HEDGE_AFTER: Duration = Duration::from_millis(80);
/// Time for which an aggregator that did not answer is not asked.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for which an aggregator that granted less than asked for is not asked again.
const MAX_EXHAUSTED_PAUSE: Duration = Duration::from_millis(200);
/// Shortest time for which an aggregator that granted less than asked for is not asked again.
const MIN_EXHAUSTED_PAUSE: Duration = Duration::from_millis(20);
/// Time for which a request that reported that it waits for tokens counts as waiting.
const WAITING_TTL: Duration = Duration::from_millis(500);
/// Time constant of the smoothed rate of use.
const USE_SMOOTHING: Duration = Duration::from_secs(1);
/// Spent tokens are reported once they exceed this fraction of the burst; until then the aggregator counts
/// them as live and grants no others in their place.
const REPORT_BURST_FRACTION: f64 = 0.01;
/// A customer is over its rate only if aggregators with this fraction of all shares have no tokens for it.
const OVER_RATE_SHARES_FRACTION: f64 = 0.9;
/// Requests whose tokens are expected within this time wait for them and are not refused.
const MAX_TOLERATED_WAIT: Duration = Duration::from_millis(250);
/// Least fraction of a customer's rate that a daemon expects to get, whatever its recent use.
const MIN_YIELD_FRACTION: f64 = 0.25;
/// Most aggregators that are asked for tokens of one customer; each uses one slot of the pool.
const MAX_SOURCES: usize = GRANT_SLOTS - 2;

/// One aggregator of a customer, and the state of the grants from it.
#[derive(Clone, Copy, Debug)]
struct Source {
    aggregator: DaemonId,
    cell: Cell,
    /// Slot of the pool that holds the tokens from this aggregator.
    pool_slot: usize,
    /// Sequence number, sending time and wanted millitokens of the demand in flight.
    pending: Option<(u64, Instant, u32)>,
    /// Millitokens that the aggregator counts as live at this daemon, unless they expired.
    counted_live: u32,
    /// The aggregator is not asked for more tokens before this.
    pause_until: Instant,
    /// Set when the aggregator granted less than was wanted: its shares, and when it expects to have a token.
    exhausted: Option<(u16, Instant)>,
}

/// A customer with recent traffic at this daemon.
#[derive(Debug)]
struct ActiveCustomer {
    sources: SmallVec<[Source; 4]>,
    /// Smoothed rate at which requests take tokens here, per second.
    use_rate: f64,
    /// Millitokens that requests had taken from the pool at the last tick.
    taken: u64,
    last_use: Instant,
    /// Millitokens that requests wait for, as of the last report.
    waiting_millitokens: u32,
    /// When `waiting_millitokens` no longer counts.
    waiting_until: Instant,
}

/// Lines of the demands to be sent, by aggregator.
pub(crate) type Demands = BTreeMap<DaemonId, Vec<CustomerDemand>>;

/// The consumer of grants at this daemon, for all its active customers.
#[derive(Debug)]
pub(crate) struct Prefetcher {
    me: DaemonId,
    /// Sequence number of the last demand. Also grows over restarts, provided that the wall clock does not go
    /// back.
    seq: u64,
    active: HashMap<CustomerId, ActiveCustomer>,
    last_tick: Instant,
    /// Number of shares in the fleet, from the `shares` row.
    total_shares: f64,
    /// Demands that were not answered in time.
    pub(crate) unanswered_demands: u64,
    /// Grants that arrived too late or twice.
    pub(crate) rejected_grants: u64,
}

/// Input of the prefetcher's decisions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefetchContext<'a> {
    pub(crate) now: Instant,
    pub(crate) pools: &'a TokenPools,
    pub(crate) aggregators: &'a Aggregators,
    pub(crate) region: &'a str,
    pub(crate) customers: &'a Customers,
}

impl ActiveCustomer {
    fn new(now: Instant, pool: &TokenPool) -> Self {
        Self {
            sources: SmallVec::new(),
            use_rate: 0.0,
            taken: pool.taken(),
            last_use: now,
            waiting_millitokens: 0,
            waiting_until: now,
        }
    }

    /// Updates the sources to the present aggregators of the customer's cells. The pool slot of a removed
    /// source is emptied: its aggregator may become a source again with another slot, and its demands must
    /// then not omit tokens that are still held.
    fn update_sources(
        &mut self,
        context: PrefetchContext<'_>,
        me: DaemonId,
        customer: &str,
        pool: &TokenPool,
    ) {
        let first = rendezvous::stable_hash(format!("{customer}/{me}").as_bytes()) as u8 % SLOT_COUNT;
        let mut wanted: SmallVec<[(bool, DaemonId, Cell); 4]> = SmallVec::new();
        for slot in (0..SLOT_COUNT).map(|i| (first + i) % SLOT_COUNT) {
            let cell = cell_of(customer, slot);
            let aggregators_of_cell = context.aggregators.aggregators_of(context.region, cell);
            let near = context.aggregators.aggregator_of(context.region, cell);
            wanted.extend(aggregators_of_cell.map(|id| (near != Some(id), id, cell)));
        }
        wanted.sort_by_key(|(is_far, ..)| *is_far);
        wanted.truncate(MAX_SOURCES);
        for obsolete in
            self.sources.iter().filter(|s| !wanted.iter().any(|w| w.1 == s.aggregator && w.2 == s.cell))
        {
            let _dropped = pool.drain(obsolete.pool_slot, context.now);
        }
        let old = std::mem::take(&mut self.sources);
        let mut free_slots: Vec<usize> = (0..GRANT_SLOTS).collect();
        free_slots.retain(|pool_slot| !old.iter().any(|s| s.pool_slot == *pool_slot));
        for (_, aggregator, cell) in wanted {
            let kept = old.iter().find(|s| s.aggregator == aggregator && s.cell == cell);
            let new_source = || {
                let pool_slot = free_slots.pop()?;
                Some(Source {
                    aggregator,
                    cell,
                    pool_slot,
                    pending: None,
                    counted_live: 0,
                    pause_until: context.now,
                    exhausted: None,
                })
            };
            self.sources.extend(kept.copied().or_else(new_source));
        }
    }

    /// Millitokens to be held: [`PREFETCH_TIME`] of use, and what requests wait for.
    fn target_millitokens(&self, now: Instant, rate: f64, burst: f64) -> f64 {
        let ahead = self.use_rate * PREFETCH_TIME.as_secs_f64();
        let burst_part = burst * PREFETCH_BURST_FRACTION * self.use_rate / rate.max(f64::MIN_POSITIVE);
        let ahead = ahead.min(burst_part);
        // Less than one token admits no request here, but would be missing at another daemon.
        let ahead = if ahead < 1.0 { 0.0 } else { ahead };
        ahead * f64::from(MILLI_PER_TOKEN) + self.waiting_at(now)
    }

    /// Millitokens that requests wait for; 0 if the last report is too old.
    fn waiting_at(&self, now: Instant) -> f64 {
        if now < self.waiting_until { f64::from(self.waiting_millitokens) } else { 0.0 }
    }

    fn update_use(&mut self, now: Instant, elapsed: Duration, pool: &TokenPool) {
        let taken = pool.taken();
        let used = taken.saturating_sub(self.taken);
        self.taken = taken;
        if used > 0 {
            self.last_use = now;
        }
        let weight = (elapsed.as_secs_f64() / USE_SMOOTHING.as_secs_f64()).min(1.0);
        let rate = used as f64 / f64::from(MILLI_PER_TOKEN) / elapsed.as_secs_f64().max(1e-3);
        self.use_rate += weight * (rate - self.use_rate);
    }

    fn held_millitokens(&self, now: Instant, pool: &TokenPool) -> f64 {
        self.sources.iter().map(|s| f64::from(pool.held(s.pool_slot, now))).sum()
    }

    fn is_idle(&self, now: Instant) -> bool {
        now >= self.last_use + IDLE_AFTER && now >= self.waiting_until
    }
}

impl Prefetcher {
    pub(crate) fn new(me: DaemonId, now: Instant) -> Self {
        let active = HashMap::new();
        Self {
            me,
            seq: 0,
            active,
            last_tick: now,
            total_shares: 1.0,
            unanswered_demands: 0,
            rejected_grants: 0,
        }
    }

    /// Starts sequence numbers above those of earlier processes on this address.
    pub(crate) fn start_seq_at(&mut self, wall_ms: u64) {
        self.seq = wall_ms << 20;
    }

    pub(crate) fn set_total_shares(&mut self, total_shares: usize) {
        self.total_shares = total_shares.max(1) as f64;
    }

    /// Sequence number for the demands that are about to be sent.
    pub(crate) fn seq(&self) -> u64 {
        self.seq
    }

    /// Number of customers with recent traffic here.
    pub(crate) fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Records that a request waits for tokens; returns the demands to send.
    pub(crate) fn on_waiting_request(
        &mut self,
        context: PrefetchContext<'_>,
        customer: &CustomerId,
        tokens: u32,
    ) -> Demands {
        let now = context.now;
        let mut demands = Demands::new();
        let (Some(pool), Some(conf)) = (context.pools.get(customer), context.customers.get(customer)) else {
            return demands;
        };
        let me = self.me;
        let active = self.active.entry(customer.clone()).or_insert_with(|| ActiveCustomer::new(now, &pool));
        if active.sources.is_empty() {
            active.update_sources(context, me, customer, &pool);
        }
        let before = if now < active.waiting_until { active.waiting_millitokens } else { 0 };
        let max_waiting = (conf.burst * f64::from(MILLI_PER_TOKEN)) as u32;
        active.waiting_millitokens = before
            .saturating_add(tokens.saturating_mul(MILLI_PER_TOKEN))
            .min(max_waiting.max(tokens * MILLI_PER_TOKEN));
        active.waiting_until = now + WAITING_TTL;
        active.last_use = now;
        self.seq += 1;
        request_tokens(active, context, customer, &pool, self.seq, &mut demands);
        mark_if_over_rate(active, now, conf.rate, self.total_shares, &pool);
        demands
    }

    /// Updates the rate of use and renews, requests or returns tokens; called on every tick.
    pub(crate) fn tick(&mut self, context: PrefetchContext<'_>) -> Demands {
        let now = context.now;
        let elapsed = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        self.seq += 1;
        let seq = self.seq;
        let mut demands = Demands::new();
        let unanswered_demands = &mut self.unanswered_demands;
        self.active.retain(|customer, active| {
            let Some(pool) = context.pools.get(customer) else {
                return false;
            };
            active.update_use(now, elapsed, &pool);
            *unanswered_demands += expire_unanswered(active, now);
            if active.is_idle(now) {
                return_held(active, now, customer, &pool, seq, &mut demands);
            } else {
                request_tokens(active, context, customer, &pool, seq, &mut demands);
                renew_expiring(active, now, customer, &pool, seq, &mut demands);
            }
            report_spent(active, context, customer, &pool, seq, &mut demands);
            now < active.last_use + FORGET_AFTER
        });
        demands
    }

    /// Updates the sources of all customers after a change of members.
    pub(crate) fn on_members_changed(&mut self, context: PrefetchContext<'_>) {
        for (customer, active) in &mut self.active {
            if let Some(pool) = context.pools.get(customer) {
                active.update_sources(context, self.me, customer, &pool);
            }
        }
    }

    /// Applies a grant; asks the next aggregator for what is still missing.
    pub(crate) fn on_grant(
        &mut self,
        context: PrefetchContext<'_>,
        aggregator: DaemonId,
        seq: u64,
        ttl_ms: u32,
        grants: &[CustomerGrant],
    ) -> Demands {
        let mut demands = Demands::new();
        self.seq += 1;
        for granted in grants {
            let taken = self.apply_grant(context, aggregator, seq, ttl_ms, granted, &mut demands);
            self.rejected_grants += u64::from(taken.is_none());
        }
        demands
    }

    fn apply_grant(
        &mut self,
        context: PrefetchContext<'_>,
        aggregator: DaemonId,
        seq: u64,
        ttl_ms: u32,
        granted: &CustomerGrant,
        demands: &mut Demands,
    ) -> Option<()> {
        let now = context.now;
        let pool = context.pools.get(&granted.customer)?;
        let conf = context.customers.get(&granted.customer)?;
        let active = self.active.get_mut(&granted.customer)?;
        let source =
            active.sources.iter_mut().find(|s| s.aggregator == aggregator && s.cell == granted.cell)?;
        let (_, asked_at, want) = source.pending.take_if(|p| p.0 == seq)?;
        let expires_at = asked_at + from_ms(ttl_ms);
        source.counted_live =
            if granted.extended { source.counted_live } else { 0 }.saturating_add(granted.amount);
        if granted.extended {
            pool.extend(source.pool_slot, granted.amount, expires_at);
        } else if pool.held(source.pool_slot, now) == 0 {
            pool.fill(source.pool_slot, granted.amount, expires_at);
        } else {
            // The grant is dropped, as tokens of an earlier one are still held and were not extended. The
            // aggregator counts both until they expire.
            source.pause_until = now + MAX_EXHAUSTED_PAUSE;
        }
        source.exhausted = None;
        if granted.amount < want {
            let retry = from_ms(granted.retry_ms);
            source.exhausted = Some((granted.shares, now + retry));
            source.pause_until = now + retry.clamp(MIN_EXHAUSTED_PAUSE, MAX_EXHAUSTED_PAUSE);
        }
        // A refill wakes all waiting requests; those that still lack tokens report again.
        active.waiting_millitokens = if granted.amount > 0 { 0 } else { active.waiting_millitokens };
        request_tokens(active, context, &granted.customer, &pool, self.seq, demands);
        mark_if_over_rate(active, now, conf.rate, self.total_shares, &pool);
        Some(())
    }

    /// Returns all held tokens; for a graceful stop.
    pub(crate) fn return_all(&mut self, now: Instant, pools: &TokenPools) -> Demands {
        let mut demands = Demands::new();
        self.seq += 1;
        for (customer, active) in &mut self.active {
            if let Some(pool) = pools.get(customer) {
                return_held(active, now, customer, &pool, self.seq, &mut demands);
            }
        }
        self.active.clear();
        demands
    }
}

/// Adds a line with the tokens held now to the demand for a source. After this call the held tokens
/// can only become fewer: expired ones are removed, so that no extension makes them valid again.
fn push_demand(
    source: &mut Source,
    now: Instant,
    customer: &CustomerId,
    pool: &TokenPool,
    seq: u64,
    (wanted, returned): (u32, u32),
    demands: &mut Demands,
) {
    let held = pool.held(source.pool_slot, now);
    if held == 0 {
        let _already_expired = pool.drain(source.pool_slot, now);
    }
    // A demand is not answered if it wants nothing and nothing is held. The answer to an earlier demand is
    // ignored from here on in any case.
    source.pending = (wanted > 0 || held > 0).then_some((seq, now, wanted));
    source.counted_live = held;
    let want_line = CustomerDemand { customer: customer.clone(), cell: source.cell, wanted, held, returned };
    demands.entry(source.aggregator).or_default().push(want_line);
}

/// Requests tokens from the first aggregator that may have some, if too few are held.
fn request_tokens(
    active: &mut ActiveCustomer,
    context: PrefetchContext<'_>,
    customer: &CustomerId,
    pool: &TokenPool,
    seq: u64,
    demands: &mut Demands,
) {
    let Some(conf) = context.customers.get(customer) else {
        return;
    };
    let now = context.now;
    let target = active.target_millitokens(now, conf.rate, conf.burst);
    let pending = active.sources.iter().filter_map(|s| s.pending);
    let in_flight: f64 = pending.filter(|p| now < p.1 + HEDGE_AFTER).map(|p| f64::from(p.2)).sum();
    let available = active.held_millitokens(now, pool) + in_flight;
    let threshold = (target * REFILL_THRESHOLD).max(active.waiting_at(now));
    let want = (target - available).ceil() as u32;
    // A demand for nothing is not sent: its grant would come at once and call this function again.
    if available >= threshold || want == 0 {
        return;
    }
    let can_be_asked = |s: &&mut Source| s.pending.is_none() && now >= s.pause_until;
    if let Some(source) = active.sources.iter_mut().find(can_be_asked) {
        push_demand(source, now, customer, pool, seq, (want, 0), demands);
    }
}

fn renew_expiring(
    active: &mut ActiveCustomer,
    now: Instant,
    customer: &CustomerId,
    pool: &TokenPool,
    seq: u64,
    demands: &mut Demands,
) {
    for source in active.sources.iter_mut().filter(|s| s.pending.is_none()) {
        if pool.held(source.pool_slot, now) > 0 && pool.expiry(source.pool_slot) < now + RENEW_BEFORE {
            push_demand(source, now, customer, pool, seq, (0, 0), demands);
        }
    }
}

/// Reports spent tokens, so that the aggregator can grant others in their place.
fn report_spent(
    active: &mut ActiveCustomer,
    context: PrefetchContext<'_>,
    customer: &CustomerId,
    pool: &TokenPool,
    seq: u64,
    demands: &mut Demands,
) {
    let burst = context.customers.get(customer).map_or(0.0, |c| c.burst);
    let min_spent = (burst * REPORT_BURST_FRACTION * f64::from(MILLI_PER_TOKEN)) as u32;
    for source in active.sources.iter_mut().filter(|s| s.pending.is_none()) {
        let spent = source.counted_live.saturating_sub(pool.held(source.pool_slot, context.now));
        if spent > min_spent {
            push_demand(source, context.now, customer, pool, seq, (0, 0), demands);
        }
    }
}

fn return_held(
    active: &mut ActiveCustomer,
    now: Instant,
    customer: &CustomerId,
    pool: &TokenPool,
    seq: u64,
    demands: &mut Demands,
) {
    for source in &mut active.sources {
        let returned = pool.drain(source.pool_slot, now);
        if returned > 0 {
            push_demand(source, now, customer, pool, seq, (0, returned), demands);
        }
    }
}

/// Drops demands that were not answered in time; returns how many.
fn expire_unanswered(active: &mut ActiveCustomer, now: Instant) -> u64 {
    let mut count = 0;
    for source in &mut active.sources {
        if source.pending.take_if(|p| now >= p.1 + ANSWER_TIMEOUT).is_some() {
            source.pause_until = now + UNANSWERED_PAUSE;
            source.exhausted = None;
            count += 1;
        }
    }
    count
}

/// Marks the customer as over its rate if aggregators of nearly all shares lack tokens for it.
fn mark_if_over_rate(
    active: &mut ActiveCustomer,
    now: Instant,
    rate: f64,
    total_shares: f64,
    pool: &TokenPool,
) {
    let missing = f64::from(active.waiting_millitokens) - active.held_millitokens(now, pool);
    if missing <= 0.0 || now >= active.waiting_until {
        return;
    }
    let exhausted =
        |s: &Source| s.exhausted.filter(|_| now < s.pause_until).map(|(shares, _)| f64::from(shares));
    let shares: f64 = active.sources.iter().filter_map(exhausted).sum();
    let expected_wait = missing / f64::from(MILLI_PER_TOKEN) / rate.max(f64::MIN_POSITIVE);
    let expected_wait_here =
        missing / f64::from(MILLI_PER_TOKEN) / active.use_rate.max(rate * MIN_YIELD_FRACTION);
    if shares >= total_shares * OVER_RATE_SHARES_FRACTION
        && expected_wait_here > MAX_TOLERATED_WAIT.as_secs_f64()
    {
        pool.set_over_rate(now + Duration::from_secs_f64(expected_wait.min(3_600.0)));
        active.waiting_millitokens = 0;
    }
}

#[cfg(test)]
#[path = "prefetch_tests.rs"]
mod tests;
