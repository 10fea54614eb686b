//! One daemon's part of the customers' fleet-wide rates, with transfers between daemons. Sans-I/O.
//!
//! Operators count requests in a sliding window: a customer may have its rate times the window, and its burst on top.
//! Of what a window allows, the fleet holds as much as it needs to move tokens to where they are wanted, and refills
//! the rest, so that a customer above its rate is not held below what the window allows.
//!
//! Answers two load patterns. A customer that suddenly sends many times its rate through all daemons: each daemon
//! refills only its own part, so the sum never exceeds the rate, whatever messages are lost; a lost gift is a lost
//! token. A customer that sends a little through each of many daemons, or more in one data centre than in
//! others: parts of a token are of no use, so daemons deposit what they don't need with one daemon of their data
//! centre, which gives tokens out on demand and shares with the depositaries of other data centres.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::CustomerId;
use conf::{Customer, Snapshot};
use serde::{Deserialize, Serialize};

/// Tokens that a daemon gets at once from its depositary.
const GIFT_TOKENS: f64 = 1.0;
/// Tokens below which a depositary asks those of other data centres.
const LOW_POOL_TOKENS: f64 = 3.0;
/// Tokens that a daemon keeps of a customer that it serves.
const KEPT_TOKENS: f64 = 1.0;
/// Time without requests of a customer after which a daemon deposits all its tokens.
const IDLE_AFTER: Duration = Duration::from_secs(1);
/// Part of all tokens that daemons may hold by their own refill; the rest may lie with depositaries.
const OWN_PART: f64 = 0.5;
/// Part of its own tokens with which a daemon starts.
const FIRST_PART: f64 = 0.7;
/// Longest time for which a request without a number of daemons is told to stay away.
const UNKNOWN_WAIT: Duration = Duration::from_millis(500);
/// Smallest deposit in tokens.
const MIN_DEPOSIT: f64 = 0.2;

/// How operators count a customer's requests, and by how many tokens the fleet may pass the count in one window.
#[derive(Clone, Copy, Debug)]
pub struct QuotaTolerance {
    /// Window in which a customer may have its rate times the window, and its burst. Not zero.
    pub window: Duration,
    /// Part of the rate and burst.
    pub overage: f64,
    /// Tokens on top.
    pub slack_tokens: f64,
}

/// Part of the tolerated tokens that is given out; the rest covers tokens in flight and daemons that just joined.
const GIVEN_OUT: f64 = 0.8;
/// Share of the tolerated part that is given out; the rest covers daemons that count as silent but are only cut off.
const GIVEN_OUT_OF_PART: f64 = 0.1;
/// Seconds of refills that the fleet must be able to hold: tokens wait for the next deposit, and then for a request.
const HELD_S: f64 = 1.0;
/// Tokens for each daemon that the fleet should be able to hold, as requests come to any of them.
const HELD_BY_DAEMON: f64 = 0.25;

#[derive(Debug)]
struct Bucket {
    /// Tokens held; a refill stops at `depth` unless this daemon is the depositary, all else at `depth + pool`.
    tokens: f64,
    refilled: Instant,
    per_s: f64,
    depth: f64,
    /// What a depositary may hold beyond its own part.
    pool: f64,
    /// Whether this daemon was the customer's depositary at the last deposit.
    is_depositary: bool,
    /// When a request last asked for a token here.
    wanted: Option<Instant>,
}

/// Tokens of one customer in the whole fleet.
#[derive(Clone, Copy, Debug)]
struct Flow {
    /// Most that daemons hold together.
    held: f64,
    /// Refilled each second.
    per_s: f64,
}

/// How much a daemon asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferAmount {
    /// What a few requests need.
    OneToken,
    /// Half of all, from one depositary to another.
    Half,
}

/// Tokens of all customers at one daemon.
#[derive(Debug)]
pub struct LocalBuckets {
    buckets: HashMap<CustomerId, Bucket>,
    tolerance: QuotaTolerance,
    /// Daemons that divide the rates; none until they are known.
    daemons: Option<u32>,
    /// Daemons of this data centre, this one included.
    centre: u32,
}

/// Result of an attempt to take a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TakeOutcome {
    /// TakeOutcome, or the customer has no limit.
    Taken,
    /// None here; own refill brings the next one after this time.
    RetryAfter(Duration),
}

impl LocalBuckets {
    /// Makes an empty split; nothing is refilled until the number of daemons is known.
    pub fn new(tolerance: QuotaTolerance) -> Self {
        Self { buckets: HashMap::new(), tolerance, daemons: None, centre: 1 }
    }

    /// Takes over rates of a new configuration. Tokens beyond a lowered burst are dropped at once.
    pub fn set_rates(&mut self, snapshot: &Snapshot, now: Instant) {
        self.buckets.retain(|name, _| snapshot.customers.get(name).is_some_and(|c| c.rate > 0.0));
        let limited = snapshot.customers.values().filter(|c| c.rate > 0.0);
        for customer in limited {
            self.set_rate(customer, now);
        }
    }

    /// Takes over the numbers of daemons that divide the rates, in all and in this data centre.
    pub fn set_daemon_counts(
        &mut self,
        daemons: u32,
        centre: u32,
        snapshot: Option<&Snapshot>,
        now: Instant,
    ) {
        if (Some(daemons), centre) == (self.daemons, self.centre) || daemons == 0 {
            return;
        }
        self.daemons = Some(daemons);
        self.centre = centre;
        if let Some(snapshot) = snapshot {
            self.set_rates(snapshot, now);
        }
    }

    /// Takes one token.
    pub fn take_token(&mut self, customer: &str, now: Instant) -> TakeOutcome {
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return if self.daemons.is_some() {
                TakeOutcome::Taken
            } else {
                TakeOutcome::RetryAfter(UNKNOWN_WAIT)
            };
        };
        bucket.refill(now);
        bucket.wanted = Some(now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return TakeOutcome::Taken;
        }
        let missing = 1.0 - bucket.tokens;
        TakeOutcome::RetryAfter(Duration::from_secs_f64((missing / bucket.per_s).min(60.0)))
    }

    /// Gives back the token of a request that has not run.
    pub fn refund_token(&mut self, customer: &str) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.tokens += 1.0;
        }
    }

    /// Whether less is left than the next request, or a depositary, needs.
    pub fn is_low(&mut self, customer: &str, is_depositary: bool, now: Instant) -> bool {
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return false;
        };
        bucket.refill(now);
        bucket.tokens < if is_depositary { LOW_POOL_TOKENS } else { 1.0 }
    }

    /// Gives tokens away; 0 if there are none.
    pub fn give_tokens(&mut self, customer: &str, portion: TransferAmount, now: Instant) -> f64 {
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return 0.0;
        };
        bucket.refill(now);
        let gift = match portion {
            // Less than a token is of no use to whoever asks.
            TransferAmount::OneToken => bucket.tokens.floor().clamp(0.0, GIFT_TOKENS),
            TransferAmount::Half => bucket.tokens / 2.0,
        };
        bucket.tokens -= gift;
        gift
    }

    /// Takes in a gift or a deposit.
    pub fn receive_tokens(&mut self, customer: &str, tokens: f64, now: Instant) {
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return;
        };
        bucket.refill(now);
        let room = (bucket.depth.max(1.0) + bucket.pool - bucket.tokens).max(0.0);
        bucket.tokens += tokens.clamp(0.0, room);
    }

    /// Takes out what this daemon does not need for itself, for the depositaries of its data centre.
    pub fn take_surplus(
        &mut self,
        is_depositary: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Vec<(CustomerId, f64)> {
        let mut out = Vec::new();
        for (name, bucket) in &mut self.buckets {
            bucket.refill(now);
            bucket.is_depositary = is_depositary(name);
            if bucket.is_depositary {
                continue;
            }
            let is_idle = bucket.wanted.is_none_or(|at| now.saturating_duration_since(at) > IDLE_AFTER);
            // What a full bucket would refill is lost to the customer, so it never stays full.
            let kept = if is_idle || bucket.depth < KEPT_TOKENS { 0.0 } else { KEPT_TOKENS };
            let spare = bucket.tokens - kept;
            if spare >= MIN_DEPOSIT.min(bucket.depth / 2.0) {
                bucket.tokens = kept;
                out.push((name.clone(), spare));
            }
        }
        out
    }

    /// Divides what one window allows into what is held and what is refilled: a customer that spends all that is
    /// held and then every refill gets the whole and no more. A large customer needs refills, a small one tokens that
    /// are near whichever daemon it asks.
    fn flow(&self, customer: &Customer) -> Flow {
        let QuotaTolerance { window, overage, slack_tokens } = self.tolerance;
        let window_s = window.as_secs_f64();
        let stated = customer.rate * window_s + customer.burst;
        let whole = stated * (1.0 + overage * GIVEN_OUT_OF_PART) + slack_tokens * GIVEN_OUT;
        let wanted = self.daemons.map_or(0.0, f64::from) * HELD_BY_DAEMON;
        let most = (whole / (window_s + HELD_S)).min((whole - wanted) / window_s).min(stated / window_s);
        let per_s = most.max(customer.rate);
        Flow { held: whole - per_s * window_s, per_s }
    }

    fn set_rate(&mut self, customer: &Arc<Customer>, now: Instant) {
        let part = self.daemons.map_or(0.0, |n| 1.0 / f64::from(n));
        let Flow { held: all, per_s } = self.flow(customer);
        let depth = all * OWN_PART * part;
        let pool = all * (1.0 - OWN_PART) * part * f64::from(self.centre);
        let per_s = per_s * part;
        // Less than the refills that were missed while the daemon was not running.
        let tokens = depth * FIRST_PART;
        let first = Bucket { tokens, refilled: now, per_s, depth, pool, is_depositary: false, wanted: None };
        if part == 0.0 {
            return;
        }
        let bucket = self.buckets.entry(customer.name.clone()).or_insert(first);
        bucket.refill(now);
        bucket.per_s = per_s;
        bucket.depth = depth;
        bucket.pool = pool;
        bucket.tokens = bucket.tokens.min(depth + pool);
    }
}

impl Bucket {
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let room = if self.is_depositary { self.depth + self.pool } else { self.depth };
        if self.tokens < room {
            self.tokens = (self.tokens + elapsed * self.per_s).min(room);
        }
    }
}
