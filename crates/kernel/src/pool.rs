//! Tokens granted to this daemon, spent by traffic without locks.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::AcqRel, Ordering::Acquire, Ordering::Release};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use base::CustomerId;
use tokio::sync::Notify;

/// Result of an attempt to take tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// Taken.
    Taken,
    /// Not enough tokens here; more may come.
    Empty,
    /// The customer is over its rate; it may come back at this time.
    OverRate(Instant),
}

/// Tokens of one customer in this daemon.
#[derive(Debug)]
pub struct Pool {
    base: Instant,
    /// Never negative.
    tokens: AtomicI64,
    /// Nanoseconds after `base` at which the tokens lapse.
    lapses: AtomicU64,
    /// Nanoseconds after `base` until which the customer counts as over its rate.
    over_until: AtomicU64,
    refilled: Notify,
}

impl Pool {
    fn new(base: Instant) -> Self {
        Self {
            base,
            tokens: AtomicI64::new(0),
            lapses: AtomicU64::new(0),
            over_until: AtomicU64::new(0),
            refilled: Notify::new(),
        }
    }

    /// Takes `cost` tokens if they are there and have not lapsed.
    pub fn take(&self, cost: u32, now: Instant) -> Take {
        let at = nanos(self.base, now);
        if at < self.lapses.load(Acquire) {
            let cost = i64::from(cost);
            let taken = self.tokens.fetch_update(AcqRel, Acquire, |n| (n >= cost).then_some(n - cost));
            if taken.is_ok() {
                return Take::Taken;
            }
        }
        let over = self.over_until.load(Acquire);
        if at < over { Take::OverRate(self.base + Duration::from_nanos(over)) } else { Take::Empty }
    }

    /// Replaces the tokens; returns those that were left of the earlier ones.
    pub fn replace(&self, tokens: u32, lapses: Instant) -> i64 {
        self.lapses.store(nanos(self.base, lapses), Release);
        let left = self.tokens.swap(i64::from(tokens), AcqRel);
        self.refilled.notify_waiters();
        left
    }

    /// Marks the customer as over its rate until `until`.
    pub fn set_over_rate(&self, until: Instant) {
        self.over_until.store(nanos(self.base, until), Release);
        self.refilled.notify_waiters();
    }

    /// Waits for the next refill or verdict.
    pub async fn changed(&self) {
        self.refilled.notified().await;
    }

    /// Tokens left, whether lapsed or not.
    pub fn tokens(&self) -> i64 {
        self.tokens.load(Acquire)
    }
}

/// Pools of all customers of this daemon.
#[derive(Debug)]
pub struct Pools {
    base: Instant,
    by_customer: ArcSwap<HashMap<CustomerId, Arc<Pool>>>,
}

impl Pools {
    /// Makes an empty set; `base` is the origin of its stored times.
    pub fn new(base: Instant) -> Self {
        Self { base, by_customer: ArcSwap::default() }
    }

    /// The pool of a customer, if it has one.
    pub fn get(&self, customer: &str) -> Option<Arc<Pool>> {
        self.by_customer.load().get(customer).map(Arc::clone)
    }

    /// Makes pools for exactly these customers, keeping those that exist. Called by control only.
    pub fn set_customers<'a>(&self, customers: impl Iterator<Item = &'a CustomerId>) {
        let old = self.by_customer.load();
        let fresh = || Arc::new(Pool::new(self.base));
        let new = customers.map(|c| (c.clone(), old.get(c).map_or_else(fresh, Arc::clone))).collect();
        self.by_customer.store(Arc::new(new));
    }
}

fn nanos(base: Instant, at: Instant) -> u64 {
    at.saturating_duration_since(base).as_nanos() as u64
}
