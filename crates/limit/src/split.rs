//! One daemon's part of the customers' fleet-wide rates, with transfers between neighbours. Sans-I/O.
//!
//! Answers the load pattern of a customer that suddenly sends many times its rate through all daemons: each
//! daemon refills only its own part, so the sum never exceeds the rate, whatever messages are lost. A daemon
//! that runs dry asks neighbours, which give away tokens that they hold; a lost gift is a lost token.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::CustomerId;
use conf::{Customer, Snapshot};

/// Largest gift in tokens.
const GIFT_TOKENS: f64 = 4.0;

/// Tokens by which the fleet may pass a customer's rate and burst in one window of the operators.
#[derive(Clone, Copy, Debug)]
pub struct Tolerance {
    /// Part of the rate and burst.
    pub part: f64,
    /// Tokens on top.
    pub tokens: f64,
}

/// Part of the tolerance that is given out; the rest covers tokens in flight and daemons that just joined.
const GIVEN_OUT: f64 = 0.6;

#[derive(Debug)]
struct Bucket {
    /// Tokens held; never above `depth` after a refill.
    tokens: f64,
    refilled: Instant,
    per_s: f64,
    depth: f64,
}

/// Tokens of all customers at one daemon.
#[derive(Debug)]
pub struct Split {
    buckets: HashMap<CustomerId, Bucket>,
    tolerance: Tolerance,
    daemons: u32,
}

/// Result of an attempt to take a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    /// Taken, or the customer has no limit.
    Yes,
    /// None here; own refill brings the next one after this time.
    NotBefore(Duration),
}

impl Split {
    /// Makes an empty split among `daemons` daemons.
    pub fn new(tolerance: Tolerance, daemons: u32) -> Self {
        Self { buckets: HashMap::new(), tolerance, daemons: daemons.max(1) }
    }

    /// Takes over rates of a new configuration. Tokens beyond a lowered burst are dropped at once.
    pub fn set_rates(&mut self, snapshot: &Snapshot, now: Instant) {
        self.buckets.retain(|name, _| snapshot.customers.get(name).is_some_and(|c| c.rate > 0.0));
        let limited = snapshot.customers.values().filter(|c| c.rate > 0.0);
        for customer in limited {
            self.set_rate(customer, now);
        }
    }

    /// Takes over the number of daemons that divide the rates.
    pub fn set_daemons(&mut self, daemons: u32, snapshot: Option<&Snapshot>, now: Instant) {
        if daemons == self.daemons || daemons == 0 {
            return;
        }
        self.daemons = daemons;
        if let Some(snapshot) = snapshot {
            self.set_rates(snapshot, now);
        }
    }

    /// Takes one token.
    pub fn take(&mut self, customer: &str, now: Instant) -> Taken {
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return Taken::Yes;
        };
        bucket.refill(now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Taken::Yes;
        }
        let missing = 1.0 - bucket.tokens;
        Taken::NotBefore(Duration::from_secs_f64((missing / bucket.per_s).min(60.0)))
    }

    /// Whether less than one token is left for the next request.
    pub fn is_low(&mut self, customer: &str, now: Instant) -> bool {
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return false;
        };
        bucket.refill(now);
        bucket.tokens < 1.0
    }

    /// Gives tokens away; 0 if none can be spared.
    pub fn give(&mut self, customer: &str, now: Instant) -> f64 {
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return 0.0;
        };
        bucket.refill(now);
        // Less than a token is of no use here, but may complete one there.
        let part = if bucket.tokens < 1.0 { bucket.tokens } else { bucket.tokens / 2.0 };
        let gift = part.min(GIFT_TOKENS);
        bucket.tokens -= gift;
        gift
    }

    /// Takes in a gift of a neighbour.
    pub fn receive(&mut self, customer: &str, tokens: f64, now: Instant) {
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return;
        };
        bucket.refill(now);
        bucket.tokens += tokens.clamp(0.0, GIFT_TOKENS);
    }

    fn set_rate(&mut self, customer: &Arc<Customer>, now: Instant) {
        let part = 1.0 / f64::from(self.daemons);
        let extra = self.tolerance.part * customer.burst + self.tolerance.tokens;
        let depth = (customer.burst + extra * GIVEN_OUT) * part;
        let per_s = customer.rate * part;
        let empty = Bucket { tokens: 0.0, refilled: now, per_s, depth };
        let bucket = self.buckets.entry(customer.name.clone()).or_insert(empty);
        bucket.refill(now);
        bucket.per_s = per_s;
        bucket.depth = depth;
        bucket.tokens = bucket.tokens.min(depth);
    }
}

impl Bucket {
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        if self.tokens < self.depth {
            self.tokens = (self.tokens + elapsed * self.per_s).min(self.depth);
        }
    }
}
