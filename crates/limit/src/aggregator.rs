//! The aggregator: merges the delegations of its region's holders and grants tokens to daemons on demand.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use base::{CustomerId, DaemonId};
use conf::Customer;
use wire::limit::{Cell, CellShares, CustomerDemand, CustomerGrant};

use crate::bucket::{Bucket, Limits};
use crate::times::{GRANT_TTL, with_drift_margin};

/// Shares of one cell that one holder delegated.
#[derive(Clone, Copy, Debug)]
struct Delegation {
    shares: u16,
    until: Instant,
    /// Sequence number of the request that the delegation answers.
    seq: u64,
}

/// State of one cell that this daemon aggregates.
#[derive(Debug)]
struct CellState {
    delegations: BTreeMap<DaemonId, Delegation>,
    /// Shares of the delegations that would outlive a grant made at `refreshed_at`.
    shares: u32,
    refreshed_at: Instant,
    /// Share-seconds over which a bucket without traffic would have been refilled, not limited by its
    /// capacity.
    idle_share_s: f64,
    buckets: HashMap<CustomerId, Bucket>,
}

/// All cells with delegations to this daemon or with live grants of it.
#[derive(Debug)]
pub(crate) struct AggregatedCells {
    /// Number of shares in the fleet, from the `shares` row.
    total_shares: f64,
    cells: BTreeMap<Cell, CellState>,
}

impl Default for AggregatedCells {
    fn default() -> Self {
        Self { total_shares: 1.0, cells: BTreeMap::new() }
    }
}

impl CellState {
    fn new(now: Instant) -> Self {
        let (delegations, buckets) = (BTreeMap::new(), HashMap::new());
        Self { delegations, shares: 0, refreshed_at: now, idle_share_s: 0.0, buckets }
    }

    /// Advances the cell to `now`: drops delegations that would not outlive a new grant.
    ///
    /// When the number of shares changes, every bucket is advanced at the lower of the two numbers, so that
    /// lost shares count at once and new shares only from now on.
    fn refresh(&mut self, now: Instant, total_shares: f64, customers: &Customers) {
        self.delegations.retain(|_, d| d.until >= now + with_drift_margin(GRANT_TTL));
        let shares = self.delegations.values().map(|d| u32::from(d.shares)).sum::<u32>();
        let lower = shares.min(self.shares);
        let elapsed = now.saturating_duration_since(self.refreshed_at).as_secs_f64();
        if shares < self.shares {
            self.idle_share_s *= f64::from(shares) / f64::from(self.shares);
        }
        self.idle_share_s += f64::from(lower) * elapsed;
        if shares != self.shares {
            for (name, bucket) in &mut self.buckets {
                bucket.advance(now, customer_limits(customers, name, lower, total_shares));
            }
        }
        self.shares = shares;
        self.refreshed_at = self.refreshed_at.max(now);
    }

    /// Tokens in the bucket of a customer that had no traffic here.
    fn idle_level(&self, total_shares: f64, limits: Limits, customer: Option<&Customer>) -> f64 {
        let refilled = customer.map_or(0.0, |c| c.rate / total_shares * self.idle_share_s);
        refilled.min(limits.capacity)
    }

    fn evict_idle(&mut self, now: Instant, total_shares: f64, customers: &Customers) {
        let mut buckets = std::mem::take(&mut self.buckets);
        buckets.retain(|name, bucket| {
            let limits = customer_limits(customers, name, self.shares, total_shares);
            bucket.advance(now, limits);
            !bucket.is_evictable(self.idle_level(
                total_shares,
                limits,
                customers.get(name).map(AsRef::as_ref),
            ))
        });
        self.buckets = buckets;
    }
}

/// Customers by name.
pub(crate) type Customers = BTreeMap<CustomerId, std::sync::Arc<Customer>>;

/// Rate and capacity that `shares` of all `total_shares` give a customer; 0 if it is not configured.
fn customer_limits(customers: &Customers, name: &str, shares: u32, total_shares: f64) -> Limits {
    let fraction = f64::from(shares) / total_shares;
    let (rate, burst) = customers.get(name).map_or((0.0, 0.0), |c| (c.rate, c.burst));
    Limits { rate: rate * fraction, capacity: burst * fraction }
}

impl AggregatedCells {
    pub(crate) fn set_total_shares(&mut self, total_shares: usize) {
        self.total_shares = total_shares.max(1) as f64;
    }

    /// Applies a holder's answer to request `seq` for the cells `asked`; the delegations end at `until`.
    pub(crate) fn apply_delegation(
        &mut self,
        now: Instant,
        customers: &Customers,
        (from, seq): (DaemonId, u64),
        until: Instant,
        asked: &[Cell],
        parts: &[CellShares],
    ) {
        for cell in asked {
            let shares = parts.iter().find(|p| p.cell == *cell).map_or(0, |p| p.shares);
            let state = self.cells.entry(*cell).or_insert_with(|| CellState::new(now));
            if state.delegations.get(&from).is_some_and(|d| d.seq >= seq) {
                continue;
            }
            state.refresh(now, self.total_shares, customers);
            state.delegations.insert(from, Delegation { shares, until, seq });
            state.refresh(now, self.total_shares, customers);
        }
    }

    /// Answers one line of a demand; `None` if the demand is outdated.
    pub(crate) fn answer_demand(
        &mut self,
        now: Instant,
        customers: &Customers,
        from: (DaemonId, u64),
        want: &CustomerDemand,
    ) -> Option<CustomerGrant> {
        let total_shares = self.total_shares;
        let state = self.cells.entry(want.cell).or_insert_with(|| CellState::new(now));
        state.refresh(now, total_shares, customers);
        let limits = customer_limits(customers, &want.customer, state.shares, total_shares);
        let level = state.idle_level(total_shares, limits, customers.get(&want.customer).map(AsRef::as_ref));
        let new_bucket = || Bucket::new(level, now);
        let bucket = state.buckets.entry(want.customer.clone()).or_insert_with(new_bucket);
        bucket.advance(now, limits);
        let until = now + with_drift_margin(GRANT_TTL);
        let mut granted = bucket.answer_demand(now, limits, from, want, until)?;
        granted.shares = state.shares.min(u32::from(u16::MAX)) as u16;
        Some(granted)
    }

    /// Advances all cells to `now`; called on every tick.
    pub(crate) fn tick(&mut self, now: Instant, customers: &Customers) {
        for state in self.cells.values_mut() {
            state.refresh(now, self.total_shares, customers);
        }
    }

    /// Drops buckets that do not differ from new ones, and cells with neither buckets nor delegations.
    pub(crate) fn evict_idle(&mut self, now: Instant, customers: &Customers) {
        for state in self.cells.values_mut() {
            state.evict_idle(now, self.total_shares, customers);
        }
        self.cells.retain(|_, s| !s.delegations.is_empty() || !s.buckets.is_empty());
    }

    /// Drops the delegations of the given cells; returns the holders that had made them.
    pub(crate) fn drop_delegations(
        &mut self,
        now: Instant,
        customers: &Customers,
        cells: &[Cell],
    ) -> Vec<DaemonId> {
        let mut holders = Vec::new();
        for cell in cells {
            let Some(state) = self.cells.get_mut(cell) else {
                continue;
            };
            holders.extend(std::mem::take(&mut state.delegations).into_keys());
            state.refresh(now, self.total_shares, customers);
        }
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    /// Cells that are delegated to this daemon.
    pub(crate) fn delegated_cells(&self) -> Vec<Cell> {
        let has = |s: &CellState| !s.delegations.is_empty();
        self.cells.iter().filter(|(_, s)| has(s)).map(|(cell, _)| *cell).collect()
    }

    /// Whether a daemon may still spend a grant of a cell.
    pub(crate) fn has_grants(&self, cell: Cell) -> bool {
        self.cells.get(&cell).is_some_and(|s| s.buckets.values().any(Bucket::has_grants))
    }

    /// Number of buckets over all cells.
    pub(crate) fn bucket_count(&self) -> usize {
        self.cells.values().map(|s| s.buckets.len()).sum()
    }
}
