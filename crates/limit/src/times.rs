//! Lifetimes of leases, delegations and grants, and how they depend on each other.
//!
//! A daemon that spends counts a lifetime from the moment at which it sent its request. The daemon that waits
//! for the lifetime to end counts from its own, later, handling of that request and adds a margin for clock
//! drift. So the protocol needs no bound on the age of messages.

use std::time::Duration;

/// Time for which a holder may spend its shares after it last confirmed the `shares` row.
pub(crate) const LEASE_TTL: Duration = Duration::from_secs(6);
/// Longest lifetime of a delegation; a holder whose lease ends sooner gives a shorter one.
pub(crate) const DELEGATION_TTL: Duration = Duration::from_secs(4);
/// Lifetime of a grant. A delegation that would end sooner backs no new grants.
pub(crate) const GRANT_TTL: Duration = Duration::from_secs(1);
/// Interval at which aggregators ask holders for delegations; longer in a region with many holders.
pub(crate) const DELEGATION_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Most delegation requests that an aggregator sends per second, over all holders of its region.
pub(crate) const MAX_DELEGATION_REQUESTS_PER_S: u32 = 140;
/// Two clocks drift apart by at most one part in this many (2%).
const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// A wait that is no shorter than `time` on another daemon's clock.
pub(crate) fn with_drift_margin(time: Duration) -> Duration {
    time + time / CLOCK_DRIFT_DIVISOR
}

/// Whole milliseconds, as messages carry lifetimes.
pub(crate) fn to_ms(time: Duration) -> u32 {
    time.as_millis() as u32
}

/// A duration that a message states in milliseconds.
pub(crate) fn from_ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}
