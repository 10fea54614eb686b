//! An aggregator's token bucket for one customer.
//!
//! A token is live while it is in the bucket, or granted and not yet known to be spent, returned or expired.
//! Live tokens never exceed the capacity and are added at the rate only. So no window admits more than
//! capacity + rate * window.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::DaemonId;
use wire::limit::{CustomerDemand, CustomerGrant};

/// Tolerance for rounding, in tokens and in tokens per second.
const ROUNDING: f64 = 1e-6;
/// Millitokens in a token.
const MILLI: f64 = 1_000.0;

/// Rate and capacity of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Limits {
    /// Tokens added per second.
    pub(crate) rate: f64,
    /// Most tokens that may be live at once.
    pub(crate) capacity: f64,
}

/// Live tokens that one daemon was granted.
#[derive(Clone, Copy, Debug)]
struct Grant {
    /// Sequence number of the last demand that was applied.
    seq: u64,
    /// Millitokens that the daemon may still spend.
    live: u64,
    /// The daemon spends no token of the grant after this.
    until: Instant,
}

/// Token bucket of one customer in one cell.
#[derive(Debug)]
pub(crate) struct Bucket {
    /// Tokens not granted; at most the capacity less the live tokens of `grants`.
    level: f64,
    /// Time up to which tokens were added.
    refilled_at: Instant,
    grants: BTreeMap<DaemonId, Grant>,
}

impl Bucket {
    pub(crate) fn new(level: f64, refilled_at: Instant) -> Self {
        Self { level, refilled_at, grants: BTreeMap::new() }
    }

    /// Adds tokens up to `now` and drops expired grants. When the limits change, the caller passes
    /// the lower ones.
    pub(crate) fn advance(&mut self, now: Instant, limits: Limits) {
        self.level += limits.rate * now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.grants.retain(|_, g| g.until > now);
        self.clamp_level(limits);
    }

    fn clamp_level(&mut self, limits: Limits) {
        self.level = self.level.min(limits.capacity - self.granted()).max(0.0);
    }

    fn granted(&self) -> f64 {
        self.grants.values().map(|g| g.live).sum::<u64>() as f64 / MILLI
    }

    /// Applies and answers one line of a demand; `None` if a demand at least as new was applied before. The
    /// bucket must have been advanced to `now`.
    pub(crate) fn answer_demand(
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
        let live = old.map_or(0, |g| g.live);
        let held = u64::from(want.held).min(live);
        let returned = u64::from(want.returned).min(live - held);
        self.level += returned as f64 / MILLI;
        // An expired grant is not extended: that would add tokens beyond the rate.
        let extended =
            old.is_some() && self.granted() - live as f64 / MILLI + held as f64 / MILLI <= limits.capacity;
        let old_until = old.map_or(now, |g| g.until);
        self.grants.insert(from, Grant { seq, live: held, until: if extended { until } else { old_until } });
        self.clamp_level(limits);
        let may_grant = extended || held == 0;
        let amount = if may_grant { want.wanted.min((self.level * MILLI) as u32) } else { 0 };
        if amount > 0 {
            self.level -= f64::from(amount) / MILLI;
            self.grants.insert(from, Grant { seq, live: held + u64::from(amount), until });
        }
        let missing = f64::from(want.wanted - amount) / MILLI;
        let retry = if missing <= 0.0 { Duration::ZERO } else { self.retry_after(limits) };
        let retry_ms = retry.as_millis().min(u128::from(u32::MAX)) as u32;
        let (customer, cell) = (want.customer.clone(), want.cell);
        Some(CustomerGrant { customer, cell, amount, extended, shares: 0, retry_ms })
    }

    /// Time until the bucket holds one token.
    fn retry_after(&self, limits: Limits) -> Duration {
        let seconds = (1.0 - self.level).max(0.0) / limits.rate.max(ROUNDING);
        Duration::from_secs_f64(seconds.min(f64::from(u32::MAX) / MILLI))
    }

    /// Whether the bucket can be evicted: it has no live grant, and a new bucket would start at
    /// `initial_level`, which is no higher.
    pub(crate) fn is_evictable(&self, initial_level: f64) -> bool {
        self.grants.is_empty() && self.level + ROUNDING >= initial_level
    }

    /// Whether a daemon may still spend a grant of this bucket.
    pub(crate) fn has_grants(&self) -> bool {
        !self.grants.is_empty()
    }
}
