//! Token pools: the rate-limit tokens that this daemon holds, taken by the traffic threads without locks.

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

/// Thousandths of a token; the unit of grants, so that fractions of tokens add up.
pub type MilliTokens = u32;

/// Thousandths in one token.
pub const MILLI_PER_TOKEN: u32 = 1_000;
/// Slots of a pool. Each holds the tokens that one aggregator granted (see [`wire::limit`]), which expire
/// together.
pub const GRANT_SLOTS: usize = 8;
/// Unit of stored expiry times; 32 bits cover about a year.
const EXPIRY_UNIT_MS: u64 = 8;

/// Result of [`TokenPool::take`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeResult {
    /// The tokens were taken.
    Taken,
    /// The pool has too few tokens now; more may be granted.
    Empty,
    /// The customer is over its rate; it may retry at this time.
    OverRate(Instant),
}

/// Tokens of one customer in this daemon, in [`GRANT_SLOTS`] slots.
///
/// Only the control thread refills slots; any thread takes from them. Each token is taken at most once, and
/// never after its slot has expired.
#[derive(Debug)]
pub struct TokenPool {
    epoch: Instant,
    /// Expiry (rounded down) in the high half, thousandths of tokens in the low half. Both share one atomic,
    /// so that no thread sees new tokens with an old expiry.
    slots: [AtomicU64; GRANT_SLOTS],
    /// Thousandths taken since the pool was made.
    taken: AtomicU64,
    /// Nanoseconds after `epoch` until which the customer counts as over its rate.
    over_rate_until: AtomicU64,
    /// Wakes requests that wait for tokens or for a refusal.
    changed: Notify,
}

impl TokenPool {
    fn new(epoch: Instant) -> Self {
        Self {
            epoch,
            slots: Default::default(),
            taken: AtomicU64::new(0),
            over_rate_until: AtomicU64::new(0),
            changed: Notify::new(),
        }
    }

    /// Takes `cost` unexpired tokens, from several slots if need be.
    pub fn take(&self, cost: u32, now: Instant) -> TakeResult {
        let want = u64::from(cost) * u64::from(MILLI_PER_TOKEN);
        if self.take_from_slots(want, self.time_units(now)) {
            self.taken.fetch_add(want, Relaxed);
            return TakeResult::Taken;
        }
        let over_until = self.over_rate_until.load(Acquire);
        if nanos_since(self.epoch, now) < over_until {
            TakeResult::OverRate(self.epoch + Duration::from_nanos(over_until))
        } else {
            TakeResult::Empty
        }
    }

    /// Takes `want` thousandths from the slots in turn. If another thread empties a slot meanwhile, what was
    /// taken so far is dropped and not put back: control may have reported it as no longer held.
    fn take_from_slots(&self, want: u64, now_units: u64) -> bool {
        let available: u64 = self.slots.iter().map(|slot| unexpired(slot.load(Acquire), now_units)).sum();
        if available < want {
            return false;
        }
        let mut missing = want;
        for slot in &self.slots {
            let takeable = |packed: u64| missing.min(unexpired(packed, now_units));
            let old = slot.fetch_update(AcqRel, Acquire, |packed| {
                (takeable(packed) > 0).then(|| packed - takeable(packed))
            });
            missing -= old.map_or(0, takeable);
            if missing == 0 {
                return true;
            }
        }
        false
    }

    /// Thousandths held in a slot; 0 once it has expired.
    pub fn held(&self, slot: usize, now: Instant) -> MilliTokens {
        unexpired(self.slots[slot].load(Acquire), self.time_units(now)) as MilliTokens
    }

    /// Unexpired thousandths in all slots.
    pub fn total_held(&self, now: Instant) -> u64 {
        (0..GRANT_SLOTS).map(|slot| u64::from(self.held(slot, now))).sum()
    }

    /// When a slot expires, rounded down to the stored unit.
    pub fn expiry(&self, slot: usize) -> Instant {
        self.epoch + Duration::from_millis((self.slots[slot].load(Acquire) >> 32) * EXPIRY_UNIT_MS)
    }

    /// Adds tokens to a slot and sets the expiry of all tokens in the slot. Called by control only.
    pub fn extend(&self, slot: usize, add: MilliTokens, expires_at: Instant) {
        let expiry = self.time_units(expires_at).min(u64::from(u32::MAX)) << 32;
        let tokens = |packed: u64| (packed & u64::from(u32::MAX)).saturating_add(u64::from(add));
        let join = |packed: u64| Some(expiry | tokens(packed).min(u64::from(u32::MAX)));
        let _previous = self.slots[slot].fetch_update(AcqRel, Acquire, join);
        if add > 0 {
            self.changed.notify_waiters();
        }
    }

    /// Replaces the content of a slot; tokens that it held are lost. Called by control only.
    pub fn fill(&self, slot: usize, tokens: MilliTokens, expires_at: Instant) {
        let expiry = self.time_units(expires_at).min(u64::from(u32::MAX)) << 32;
        self.slots[slot].store(expiry | u64::from(tokens), Release);
        if tokens > 0 {
            self.changed.notify_waiters();
        }
    }

    /// Empties a slot and returns what it still held. Called by control only.
    pub fn drain(&self, slot: usize, now: Instant) -> MilliTokens {
        unexpired(self.slots[slot].swap(0, AcqRel), self.time_units(now)) as MilliTokens
    }

    /// Thousandths taken since the pool was made.
    pub fn taken(&self) -> u64 {
        self.taken.load(Relaxed)
    }

    /// Marks the customer as over its rate until `until`. Tokens that the pool holds can still be taken.
    pub fn set_over_rate(&self, until: Instant) {
        self.over_rate_until.store(nanos_since(self.epoch, until), Release);
        self.changed.notify_waiters();
    }

    /// Completes at the next refill or [`Self::set_over_rate`] after this call, even if not polled before
    /// that. Call it before [`Self::take`] and await it after, so that no change between the two is missed.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    fn time_units(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.epoch).as_millis() as u64 / EXPIRY_UNIT_MS
    }
}

/// Thousandths in the packed value of a slot; 0 if it has expired.
fn unexpired(packed: u64, now_units: u64) -> u64 {
    if now_units < packed >> 32 { packed & u64::from(u32::MAX) } else { 0 }
}

/// Token pools of all customers in this daemon.
#[derive(Debug)]
pub struct TokenPools {
    epoch: Instant,
    by_customer: ArcSwap<HashMap<CustomerId, Arc<TokenPool>>>,
}

impl TokenPools {
    /// Makes an empty set; the pools store their times relative to `epoch`.
    pub fn new(epoch: Instant) -> Self {
        Self { epoch, by_customer: ArcSwap::default() }
    }

    /// The pool of a customer; `None` if the customer has none.
    pub fn get(&self, customer: &str) -> Option<Arc<TokenPool>> {
        self.by_customer.load().get(customer).map(Arc::clone)
    }

    /// Makes pools for exactly these customers; existing pools keep their tokens. Called by control only.
    pub fn set_customers<'a>(&self, customers: impl Iterator<Item = &'a CustomerId>) {
        let old = self.by_customer.load();
        let empty_pool = || Arc::new(TokenPool::new(self.epoch));
        let new = customers.map(|c| (c.clone(), old.get(c).map_or_else(empty_pool, Arc::clone))).collect();
        self.by_customer.store(Arc::new(new));
    }
}

fn nanos_since(epoch: Instant, at: Instant) -> u64 {
    at.saturating_duration_since(epoch).as_nanos() as u64
}
