//! Tokens granted to this daemon, spent by traffic without locks.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64, Ordering::AcqRel, Ordering::Acquire, Ordering::Relaxed, Ordering::Release,
};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use base::CustomerId;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Thousandths of a token; grants are counted in them, so that small parts add up.
pub type MilliTokens = u32;

/// Thousandths in one token.
pub const MILLI_PER_TOKEN: u32 = 1_000;
/// Grants that a pool holds at once, each with its own lapse.
pub const GRANT_SLOTS: usize = 8;
/// Unit of stored lapses; 32 bits of it are about a year.
const LAPSE_UNIT_MS: u64 = 8;

/// Result of an attempt to take tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeResult {
    /// Taken.
    Taken,
    /// Not enough tokens here; more may come.
    Empty,
    /// The customer is over its rate; it may come back at this time.
    OverRate(Instant),
}

/// Tokens of one customer in this daemon, in up to [`GRANT_SLOTS`] lots.
///
/// Control alone refills lots; any thread takes from them. A token that was read as held is taken at
/// most once, and never after its lot lapsed.
#[derive(Debug)]
pub struct TokenPool {
    base: Instant,
    /// Lapse in the high half (rounded down), thousandths of tokens in the low half; one word, so that
    /// no thread sees new tokens with an old lapse.
    lots: [AtomicU64; GRANT_SLOTS],
    /// Thousandths ever taken. Never falls.
    taken: AtomicU64,
    /// Nanoseconds after `base` until which the customer counts as over its rate.
    over_until: AtomicU64,
    refilled: Notify,
}

impl TokenPool {
    fn new(base: Instant) -> Self {
        Self {
            base,
            lots: Default::default(),
            taken: AtomicU64::new(0),
            over_until: AtomicU64::new(0),
            refilled: Notify::new(),
        }
    }

    /// Takes `cost` tokens if they are there and have not lapsed, from several lots if need be.
    pub fn take(&self, cost: u32, now: Instant) -> TakeResult {
        let want = u64::from(cost) * u64::from(MILLI_PER_TOKEN);
        if self.gather(want, self.unit(now)) {
            self.taken.fetch_add(want, Relaxed);
            return TakeResult::Taken;
        }
        let over = self.over_until.load(Acquire);
        if nanos(self.base, now) < over {
            TakeResult::OverRate(self.base + Duration::from_nanos(over))
        } else {
            TakeResult::Empty
        }
    }

    /// Takes from the lots in turn. Tokens gathered in vain (a race between threads) are dropped and
    /// not put back: control may have reported them as no longer held.
    fn gather(&self, want: u64, unit: u64) -> bool {
        let there: u64 = self.lots.iter().map(|lot| live(lot.load(Acquire), unit)).sum();
        if there < want {
            return false;
        }
        let mut missing = want;
        for lot in &self.lots {
            let part = |word: u64| missing.min(live(word, unit));
            let old = lot.fetch_update(AcqRel, Acquire, |word| (part(word) > 0).then(|| word - part(word)));
            missing -= old.map_or(0, part);
            if missing == 0 {
                return true;
            }
        }
        false
    }

    /// Thousandths held in a lot, 0 once lapsed.
    pub fn held(&self, lot: usize, now: Instant) -> MilliTokens {
        live(self.lots[lot].load(Acquire), self.unit(now)) as MilliTokens
    }

    /// Thousandths held in all lots.
    pub fn total_held(&self, now: Instant) -> u64 {
        (0..GRANT_SLOTS).map(|lot| u64::from(self.held(lot, now))).sum()
    }

    /// When a lot lapses, rounded down.
    pub fn expiry(&self, lot: usize) -> Instant {
        self.base + Duration::from_millis((self.lots[lot].load(Acquire) >> 32) * LAPSE_UNIT_MS)
    }

    /// Adds to a lot and moves its lapse, for what is left of it too. Called by control only.
    pub fn extend(&self, lot: usize, add: MilliTokens, lapses: Instant) {
        let lapse = self.unit(lapses).min(u64::from(u32::MAX)) << 32;
        let tokens = |word: u64| (word & u64::from(u32::MAX)).saturating_add(u64::from(add));
        let join = |word: u64| Some(lapse | tokens(word).min(u64::from(u32::MAX)));
        let _always = self.lots[lot].fetch_update(AcqRel, Acquire, join);
        if add > 0 {
            self.refilled.notify_waiters();
        }
    }

    /// Fills a lot anew; what was in it is lost. Called by control only.
    pub fn fill(&self, lot: usize, tokens: MilliTokens, lapses: Instant) {
        let lapse = self.unit(lapses).min(u64::from(u32::MAX)) << 32;
        self.lots[lot].store(lapse | u64::from(tokens), Release);
        if tokens > 0 {
            self.refilled.notify_waiters();
        }
    }

    /// Empties a lot and returns what was still held. Called by control only.
    pub fn drain(&self, lot: usize, now: Instant) -> MilliTokens {
        live(self.lots[lot].swap(0, AcqRel), self.unit(now)) as MilliTokens
    }

    /// Thousandths ever taken.
    pub fn taken(&self) -> u64 {
        self.taken.load(Relaxed)
    }

    /// Marks the customer as over its rate until `until`. Tokens that are there are still taken.
    pub fn set_over_rate(&self, until: Instant) {
        self.over_until.store(nanos(self.base, until), Release);
        self.refilled.notify_waiters();
    }

    /// Waits for the next refill or verdict after this call, polled or not: call it before [`Self::take`]
    /// and await it after, so that no refill between the two is missed.
    pub fn changed(&self) -> Notified<'_> {
        self.refilled.notified()
    }

    fn unit(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.base).as_millis() as u64 / LAPSE_UNIT_MS
    }
}

/// Thousandths in a lot's word unless it lapsed.
fn live(word: u64, unit: u64) -> u64 {
    if unit < word >> 32 { word & u64::from(u32::MAX) } else { 0 }
}

/// Token pools of all customers of this daemon.
#[derive(Debug)]
pub struct TokenPools {
    base: Instant,
    by_customer: ArcSwap<HashMap<CustomerId, Arc<TokenPool>>>,
}

impl TokenPools {
    /// Makes an empty set; `base` is the origin of its stored times.
    pub fn new(base: Instant) -> Self {
        Self { base, by_customer: ArcSwap::default() }
    }

    /// The pool of a customer, if it has one.
    pub fn get(&self, customer: &str) -> Option<Arc<TokenPool>> {
        self.by_customer.load().get(customer).map(Arc::clone)
    }

    /// Makes pools for exactly these customers, keeping those that exist. Called by control only.
    pub fn set_customers<'a>(&self, customers: impl Iterator<Item = &'a CustomerId>) {
        let old = self.by_customer.load();
        let fresh = || Arc::new(TokenPool::new(self.base));
        let new = customers.map(|c| (c.clone(), old.get(c).map_or_else(fresh, Arc::clone))).collect();
        self.by_customer.store(Arc::new(new));
    }
}

fn nanos(base: Instant, at: Instant) -> u64 {
    at.saturating_duration_since(base).as_nanos() as u64
}
