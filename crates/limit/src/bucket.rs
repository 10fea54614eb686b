//! An aggregator's bucket for one customer, exact by construction.
//!
//! Tokens are alive while they are in the bucket or granted and not yet known to be spent, given back or
//! lapsed. Alive tokens never exceed the capacity, and they are made at the rate only; so no window
//! admits more than capacity + rate * window.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::DaemonId;
use wire::limit::{CustomerDemand, CustomerGrant};

/// Amounts of tokens below this are rounding, in tokens.
const ROUNDING: f64 = 1e-6;
/// Thousandths in a token.
const MILLI: f64 = 1_000.0;

/// Rate and capacity behind a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Limits {
    /// Tokens a second.
    pub(crate) rate: f64,
    /// Tokens that may be alive at once.
    pub(crate) capacity: f64,
}

/// What one daemon was granted.
#[derive(Clone, Copy, Debug)]
struct Grant {
    /// Number of the last demand taken in.
    seq: u64,
    /// Thousandths that may still be spent.
    alive: u64,
    /// Nothing of it is spent after this.
    until: Instant,
}

/// Bucket of one customer in one cell.
#[derive(Debug)]
pub(crate) struct Bucket {
    /// Tokens not granted. Never more than the capacity less what is alive in grants.
    level: f64,
    /// Time up to which tokens were made.
    at: Instant,
    grants: BTreeMap<DaemonId, Grant>,
}

impl Bucket {
    pub(crate) fn new(level: f64, at: Instant) -> Self {
        Self { level, at, grants: BTreeMap::new() }
    }

    /// Makes tokens up to `now`; with another capacity than before, `limits` are the lower of the two.
    pub(crate) fn advance(&mut self, now: Instant, limits: Limits) {
        self.level += limits.rate * now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.grants.retain(|_, g| g.until > now);
        self.clamp(limits);
    }

    fn clamp(&mut self, limits: Limits) {
        self.level = self.level.min(limits.capacity - self.granted()).max(0.0);
    }

    fn granted(&self) -> f64 {
        self.grants.values().map(|g| g.alive).sum::<u64>() as f64 / MILLI
    }

    /// Answers one line of a demand; none if the demand is older than one taken in before. The bucket
    /// must have been advanced to `now`.
    pub(crate) fn grant(
        &mut self,
        now: Instant,
        limits: Limits,
        (from, seq): (DaemonId, u64),
        want: &CustomerDemand,
        until: Instant,
    ) -> Option<CustomerGrant> {
        let old = self.grants.get(&from).copied();
        if old.is_some_and(|g| g.seq >= seq) {
            return None;
        }
        let alive = old.map_or(0, |g| g.alive);
        let held = u64::from(want.held).min(alive);
        let back = u64::from(want.returned).min(alive - held);
        self.level += back as f64 / MILLI;
        // A lapsed grant is not revived: that would make tokens beyond the rate.
        let extended =
            old.is_some() && self.granted() - alive as f64 / MILLI + held as f64 / MILLI <= limits.capacity;
        let kept_until = old.map_or(now, |g| g.until);
        self.grants
            .insert(from, Grant { seq, alive: held, until: if extended { until } else { kept_until } });
        self.clamp(limits);
        let may_grant = extended || held == 0;
        let amount = if may_grant { want.wanted.min((self.level * MILLI) as u32) } else { 0 };
        if amount > 0 {
            self.level -= f64::from(amount) / MILLI;
            self.grants.insert(from, Grant { seq, alive: held + u64::from(amount), until });
        }
        let missing = f64::from(want.wanted - amount) / MILLI;
        let retry = if missing <= 0.0 { Duration::ZERO } else { self.retry_after(limits) };
        let retry_ms = retry.as_millis().min(u128::from(u32::MAX)) as u32;
        let (customer, cell) = (want.customer.clone(), want.cell);
        Some(CustomerGrant { customer, cell, amount, extended, shares: 0, retry_ms })
    }

    /// Time until the bucket has made one token.
    fn retry_after(&self, limits: Limits) -> Duration {
        let seconds = (1.0 - self.level).max(0.0) / limits.rate.max(ROUNDING);
        Duration::from_secs_f64(seconds.min(f64::from(u32::MAX) / MILLI))
    }

    /// Whether a bucket made anew would be no fuller.
    pub(crate) fn is_full(&self, full: f64) -> bool {
        self.grants.is_empty() && self.level + ROUNDING >= full
    }

    /// Whether grants may still be spent.
    pub(crate) fn has_grants(&self) -> bool {
        !self.grants.is_empty()
    }
}
