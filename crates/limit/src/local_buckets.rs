//! One daemon's token buckets: its part of each customer's fleet-wide rate, and transfers between daemons.
//! Sans-I/O.
//!
//! Operators count a customer's requests in a sliding window: it may have its rate times the window, plus its
//! burst. The fleet can hold a part of this amount as tokens, enough to move them to the daemons that want
//! them, and refills the remaining part during the window. A customer above its rate thus gets all that the
//! window allows.
//!
//! Two load patterns decide the design:
//!
//! - A customer suddenly sends many times its rate through all daemons. Each daemon refills only its own
//!   part, so the sum never exceeds the rate, whatever messages are lost; tokens of a lost transfer are not
//!   replaced.
//! - A customer sends a little through each of many daemons, or more in one data centre than in others. A
//!   fraction of a token admits no request, so daemons send their surplus to one daemon of their data centre,
//!   the customer's *pool owner*. It hands out tokens on request and exchanges tokens with the pool owners of
//!   other data centres.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::CustomerId;
use conf::{Customer, Snapshot};
use serde::{Deserialize, Serialize};

/// Most tokens that one [`TransferAmount::OneToken`] request moves.
const MAX_TRANSFER_TOKENS: f64 = 1.0;
/// A pool owner with fewer tokens asks the pool owners of other data centres.
const LOW_POOL_TOKENS: f64 = 3.0;
/// Tokens that a daemon keeps for a customer that it serves.
const KEPT_TOKENS: f64 = 1.0;
/// Time without requests of a customer after which a daemon keeps none of its tokens.
const IDLE_AFTER: Duration = Duration::from_secs(1);
/// Fraction of the fleet's tokens that daemons may hold by their own refill; the rest may be held
/// by pool owners.
const OWN_FRACTION: f64 = 0.5;
/// Refills, in seconds, that a daemon can hold of a customer of which it never holds a whole token: they wait
/// for the next transfer to the pool owner.
const MAX_TRANSFER_DELAY_S: f64 = 1.0;
/// Fraction of its own capacity with which a daemon starts: fewer tokens than the refills missed while it was
/// not running.
const INITIAL_FRACTION: f64 = 0.7;
/// Retry delay of requests that arrive before the number of daemons is known.
const UNKNOWN_FLEET_RETRY: Duration = Duration::from_millis(500);
/// Smallest surplus worth a transfer, in tokens.
const MIN_SURPLUS_TOKENS: f64 = 0.2;

/// How operators count a customer's requests, and by how many the fleet may exceed the quota in one window.
#[derive(Clone, Copy, Debug)]
pub struct QuotaTolerance {
    /// Sliding window; its quota is the rate times the window, plus the burst. Not zero.
    pub window: Duration,
    /// Permitted excess, as a fraction of the quota.
    pub overage: f64,
    /// Permitted excess on top of `overage`, in tokens.
    pub slack_tokens: f64,
}

/// Fraction of the slack tokens that the fleet uses; the rest covers tokens in flight and daemons that just
/// joined.
const SLACK_FRACTION: f64 = 0.8;
/// Fraction of the overage that the fleet uses; the rest covers daemons that are thought dead but are only
/// partitioned.
const OVERAGE_FRACTION: f64 = 0.1;
/// Refills that the fleet must be able to hold, in seconds: tokens wait for the next transfer to the pool
/// owner, then for a request.
const MIN_HELD_S: f64 = 1.0;
/// Tokens that the fleet should be able to hold for each daemon, as requests arrive at any of them.
const HELD_TOKENS_PER_DAEMON: f64 = 0.25;

/// One customer's tokens at this daemon.
#[derive(Debug)]
struct Bucket {
    /// Tokens held. A refill stops at `own_capacity` (at a pool owner, at `own_capacity + pool_capacity`); a
    /// transfer from another daemon stops at `max(own_capacity, 1) + pool_capacity`.
    tokens: f64,
    refilled_at: Instant,
    refill_per_s: f64,
    own_capacity: f64,
    /// Tokens that a pool owner may hold beyond `own_capacity`.
    pool_capacity: f64,
    /// Whether this daemon was the customer's pool owner when surplus was last taken.
    is_pool_owner: bool,
    /// When a request last asked for a token here; `None` before the first.
    last_request_at: Option<Instant>,
}

/// How one customer's window is divided, over the whole fleet.
#[derive(Clone, Copy, Debug)]
struct FleetBudget {
    /// Most tokens that daemons hold together.
    held_tokens: f64,
    /// Tokens refilled per second.
    refill_per_s: f64,
}

/// How many tokens a daemon asks another one for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferAmount {
    /// One token, or none if the giver holds less than one.
    OneToken,
    /// Half of the giver's tokens; between pool owners.
    Half,
}

/// Token buckets of all rate-limited customers at one daemon.
#[derive(Debug)]
pub struct LocalBuckets {
    buckets: HashMap<CustomerId, Bucket>,
    tolerance: QuotaTolerance,
    /// Daemons among which rates are divided; `None` until the number is known.
    daemons: Option<u32>,
    /// Daemons of this data centre, including this one.
    daemons_in_centre: u32,
}

/// Result of an attempt to take a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TakeOutcome {
    /// A token was taken, or the customer has no limit.
    Taken,
    /// No token is held; this daemon's own refill brings the next one after this time.
    RetryAfter(Duration),
}

impl LocalBuckets {
    /// Creates an empty set of buckets. Nothing is admitted until the number of daemons is known.
    pub fn new(tolerance: QuotaTolerance) -> Self {
        Self { buckets: HashMap::new(), tolerance, daemons: None, daemons_in_centre: 1 }
    }

    /// Applies the rates of a new configuration. Tokens beyond a lowered capacity are dropped at once.
    pub fn set_rates(&mut self, snapshot: &Snapshot, now: Instant) {
        self.buckets.retain(|name, _| snapshot.customers.get(name).is_some_and(|c| c.rate > 0.0));
        let rate_limited = snapshot.customers.values().filter(|c| c.rate > 0.0);
        for customer in rate_limited {
            self.set_customer_rate(customer, now);
        }
    }

    /// Sets the number of daemons among which rates are divided, and how many of them are in this data
    /// centre. Does nothing if neither changed or `daemons` is 0.
    pub fn set_daemon_counts(
        &mut self,
        daemons: u32,
        daemons_in_centre: u32,
        snapshot: Option<&Snapshot>,
        now: Instant,
    ) {
        if (Some(daemons), daemons_in_centre) == (self.daemons, self.daemons_in_centre) || daemons == 0 {
            return;
        }
        self.daemons = Some(daemons);
        self.daemons_in_centre = daemons_in_centre;
        if let Some(snapshot) = snapshot {
            self.set_rates(snapshot, now);
        }
    }

    /// Takes one token of a customer for a request.
    pub fn take_token(&mut self, customer: &str, now: Instant) -> TakeOutcome {
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return if self.daemons.is_some() {
                TakeOutcome::Taken
            } else {
                TakeOutcome::RetryAfter(UNKNOWN_FLEET_RETRY)
            };
        };
        bucket.refill(now);
        bucket.last_request_at = Some(now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return TakeOutcome::Taken;
        }
        let missing = 1.0 - bucket.tokens;
        TakeOutcome::RetryAfter(Duration::from_secs_f64((missing / bucket.refill_per_s).min(60.0)))
    }

    /// Gives back the token of a request that did not run.
    pub fn refund_token(&mut self, customer: &str) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.tokens += 1.0;
        }
    }

    /// Whether fewer tokens are left than the next request needs, or than a pool owner should hold.
    pub fn is_low(&mut self, customer: &str, is_pool_owner: bool, now: Instant) -> bool {
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return false;
        };
        bucket.refill(now);
        bucket.tokens < if is_pool_owner { LOW_POOL_TOKENS } else { 1.0 }
    }

    /// Takes out tokens for another daemon and returns how many; 0 if there are none to give.
    pub fn give_tokens(&mut self, customer: &str, amount: TransferAmount, now: Instant) -> f64 {
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return 0.0;
        };
        bucket.refill(now);
        let moved = match amount {
            // A fraction of a token would admit no request at the daemon that asks.
            TransferAmount::OneToken => bucket.tokens.floor().clamp(0.0, MAX_TRANSFER_TOKENS),
            TransferAmount::Half => bucket.tokens / 2.0,
        };
        bucket.tokens -= moved;
        moved
    }

    /// Adds tokens that another daemon sent; those beyond the capacity are dropped.
    pub fn receive_tokens(&mut self, customer: &str, tokens: f64, now: Instant) {
        let Some(bucket) = self.buckets.get_mut(customer).filter(|_| tokens.is_finite()) else {
            return;
        };
        bucket.refill(now);
        let room = (bucket.own_capacity.max(1.0) + bucket.pool_capacity - bucket.tokens).max(0.0);
        bucket.tokens += tokens.clamp(0.0, room);
    }

    /// Takes out the tokens that this daemon does not need itself, to be sent to the customers'
    /// pool owners.
    pub fn take_surplus(
        &mut self,
        is_pool_owner: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Vec<(CustomerId, f64)> {
        let mut surpluses = Vec::new();
        for (name, bucket) in &mut self.buckets {
            bucket.refill(now);
            bucket.is_pool_owner = is_pool_owner(name);
            if bucket.is_pool_owner {
                continue;
            }
            let is_idle =
                bucket.last_request_at.is_none_or(|at| now.saturating_duration_since(at) > IDLE_AFTER);
            // The refill of a full bucket is lost to the customer, so no bucket is left full.
            let kept = if is_idle || bucket.own_capacity < KEPT_TOKENS { 0.0 } else { KEPT_TOKENS };
            let surplus = bucket.tokens - kept;
            if surplus >= MIN_SURPLUS_TOKENS.min(bucket.own_capacity / 2.0) {
                bucket.tokens = kept;
                surpluses.push((name.clone(), surplus));
            }
        }
        surpluses
    }

    /// Divides what one window allows into tokens held and tokens refilled: a customer that spends all held
    /// tokens and then every refill gets exactly what the window allows. A large customer needs refills; a
    /// small one needs tokens close to whichever daemon it asks.
    fn fleet_budget(&self, customer: &Customer) -> FleetBudget {
        let QuotaTolerance { window, overage, slack_tokens } = self.tolerance;
        let window_s = window.as_secs_f64();
        let quota = customer.rate * window_s + customer.burst;
        let allowed = quota * (1.0 + overage * OVERAGE_FRACTION) + slack_tokens * SLACK_FRACTION;
        let min_held_tokens = self.daemons.map_or(0.0, f64::from) * HELD_TOKENS_PER_DAEMON;
        let max_per_s = (allowed / (window_s + MIN_HELD_S))
            .min((allowed - min_held_tokens) / window_s)
            .min(quota / window_s);
        let refill_per_s = max_per_s.max(customer.rate);
        FleetBudget { held_tokens: allowed - refill_per_s * window_s, refill_per_s }
    }

    fn set_customer_rate(&mut self, customer: &Arc<Customer>, now: Instant) {
        let per_daemon = self.daemons.map_or(0.0, |n| 1.0 / f64::from(n));
        let FleetBudget { held_tokens: total, refill_per_s } = self.fleet_budget(customer);
        let own_total = if total * OWN_FRACTION * per_daemon < 1.0 {
            // A daemon can't collect a whole token, so it keeps only what it refills between two transfers.
            (total * OWN_FRACTION).min(refill_per_s * MAX_TRANSFER_DELAY_S)
        } else {
            total * OWN_FRACTION
        };
        let own_capacity = own_total * per_daemon;
        let pool_capacity = (total - own_total) * per_daemon * f64::from(self.daemons_in_centre);
        let refill_per_s = refill_per_s * per_daemon;
        let tokens = own_capacity * INITIAL_FRACTION;
        let initial = Bucket {
            tokens,
            refilled_at: now,
            refill_per_s,
            own_capacity,
            pool_capacity,
            is_pool_owner: false,
            last_request_at: None,
        };
        if per_daemon == 0.0 {
            return;
        }
        let bucket = self.buckets.entry(customer.name.clone()).or_insert(initial);
        bucket.refill(now);
        bucket.refill_per_s = refill_per_s;
        bucket.own_capacity = own_capacity;
        bucket.pool_capacity = pool_capacity;
        bucket.tokens = bucket.tokens.min(own_capacity + pool_capacity);
    }
}

impl Bucket {
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let room =
            if self.is_pool_owner { self.own_capacity + self.pool_capacity } else { self.own_capacity };
        if self.tokens < room {
            self.tokens = (self.tokens + elapsed * self.refill_per_s).min(room);
        }
    }
}
