//! Merges the delegations of a region's holders and grants tokens to daemons.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use base::{CustomerId, DaemonId};
use conf::Customer;
use wire::limit::{Cell, CellShares, CustomerDemand, CustomerGrant};

use crate::bucket::{Bucket, Limits};
use crate::times::{GRANT, with_drift};

/// One holder's delegation.
#[derive(Clone, Copy, Debug)]
struct Delegation {
    shares: u16,
    until: Instant,
    /// Number of the question that it answers.
    seq: u64,
}

/// One cell that this daemon aggregates.
#[derive(Debug)]
struct CellState {
    delegations: BTreeMap<DaemonId, Delegation>,
    /// Shares that outlive a grant made at `at`.
    shares: u32,
    at: Instant,
    /// Share-seconds that a bucket without traffic has made, before its capacity is applied.
    idle: f64,
    buckets: HashMap<CustomerId, Bucket>,
}

/// All cells that have delegations or grants here.
#[derive(Debug)]
pub(crate) struct Aggregation {
    /// Shares in all, from the row.
    total: f64,
    cells: BTreeMap<Cell, CellState>,
}

impl Default for Aggregation {
    fn default() -> Self {
        Self { total: 1.0, cells: BTreeMap::new() }
    }
}

impl CellState {
    fn new(now: Instant) -> Self {
        let (delegations, buckets) = (BTreeMap::new(), HashMap::new());
        Self { delegations, shares: 0, at: now, idle: 0.0, buckets }
    }

    /// Brings the cell to `now`: makes tokens, drops delegations that no longer outlive a grant.
    ///
    /// When shares are lost, every bucket is settled at the lower number at once. New shares only raise
    /// rates from now on.
    fn refresh(&mut self, now: Instant, total: f64, customers: &Customers) {
        self.delegations.retain(|_, d| d.until >= now + with_drift(GRANT));
        let shares = self.delegations.values().map(|d| u32::from(d.shares)).sum::<u32>();
        let lower = shares.min(self.shares);
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        if shares < self.shares {
            self.idle *= f64::from(shares) / f64::from(self.shares);
        }
        self.idle += f64::from(lower) * elapsed;
        if shares != self.shares {
            for (name, bucket) in &mut self.buckets {
                bucket.advance(now, limits(customers, name, lower, total));
            }
        }
        self.shares = shares;
        self.at = self.at.max(now);
    }

    /// Level of a bucket that had no traffic.
    fn full(&self, total: f64, limits: Limits, customer: Option<&Customer>) -> f64 {
        let made = customer.map_or(0.0, |c| c.rate / total * self.idle);
        made.min(limits.capacity)
    }

    fn evict(&mut self, now: Instant, total: f64, customers: &Customers) {
        let mut buckets = std::mem::take(&mut self.buckets);
        buckets.retain(|name, bucket| {
            let limits = limits(customers, name, self.shares, total);
            bucket.advance(now, limits);
            !bucket.is_full(self.full(total, limits, customers.get(name).map(AsRef::as_ref)))
        });
        self.buckets = buckets;
    }
}

/// Customers by name.
pub(crate) type Customers = BTreeMap<CustomerId, std::sync::Arc<Customer>>;

/// Limits of a customer with some of all shares; a customer that is not configured gets none.
fn limits(customers: &Customers, name: &str, shares: u32, total: f64) -> Limits {
    let part = f64::from(shares) / total;
    let (rate, burst) = customers.get(name).map_or((0.0, 0.0), |c| (c.rate, c.burst));
    Limits { rate: rate * part, capacity: burst * part }
}

impl Aggregation {
    pub(crate) fn set_total(&mut self, total: usize) {
        self.total = total.max(1) as f64;
    }

    /// Takes a holder's answer to question `seq`, sent at `asked_at`.
    pub(crate) fn delegated(
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
            state.refresh(now, self.total, customers);
            state.delegations.insert(from, Delegation { shares, until, seq });
            state.refresh(now, self.total, customers);
        }
    }

    /// Answers one line of a demand.
    pub(crate) fn grant(
        &mut self,
        now: Instant,
        customers: &Customers,
        from: (DaemonId, u64),
        want: &CustomerDemand,
    ) -> Option<CustomerGrant> {
        let total = self.total;
        let state = self.cells.entry(want.cell).or_insert_with(|| CellState::new(now));
        state.refresh(now, total, customers);
        let limits = limits(customers, &want.customer, state.shares, total);
        let level = state.full(total, limits, customers.get(&want.customer).map(AsRef::as_ref));
        let fresh = || Bucket::new(level, now);
        let bucket = state.buckets.entry(want.customer.clone()).or_insert_with(fresh);
        bucket.advance(now, limits);
        let until = now + with_drift(GRANT);
        let mut granted = bucket.grant(now, limits, from, want, until)?;
        granted.shares = state.shares.min(u32::from(u16::MAX)) as u16;
        Some(granted)
    }

    /// Brings all cells to `now`; called on every tick.
    pub(crate) fn tick(&mut self, now: Instant, customers: &Customers) {
        for state in self.cells.values_mut() {
            state.refresh(now, self.total, customers);
        }
    }

    /// Drops what needs no memory; called about once a second.
    pub(crate) fn evict(&mut self, now: Instant, customers: &Customers) {
        for state in self.cells.values_mut() {
            state.evict(now, self.total, customers);
        }
        self.cells.retain(|_, s| !s.delegations.is_empty() || !s.buckets.is_empty());
    }

    /// Ends delegations of the given cells; returns the holders that had given them.
    pub(crate) fn give_up(&mut self, now: Instant, customers: &Customers, cells: &[Cell]) -> Vec<DaemonId> {
        let mut holders = Vec::new();
        for cell in cells {
            let Some(state) = self.cells.get_mut(cell) else {
                continue;
            };
            holders.extend(std::mem::take(&mut state.delegations).into_keys());
            state.refresh(now, self.total, customers);
        }
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    /// Cells with delegations.
    pub(crate) fn delegated_cells(&self) -> Vec<Cell> {
        let has = |s: &CellState| !s.delegations.is_empty();
        self.cells.iter().filter(|(_, s)| has(s)).map(|(cell, _)| *cell).collect()
    }

    /// Whether grants of a cell may still be spent.
    pub(crate) fn has_grants(&self, cell: Cell) -> bool {
        self.cells.get(&cell).is_some_and(|s| s.buckets.values().any(Bucket::has_grants))
    }

    /// Buckets kept, over all cells.
    pub(crate) fn buckets(&self) -> usize {
        self.cells.values().map(|s| s.buckets.len()).sum()
    }
}
