//! The times of the protocol and how they depend on each other.
//!
//! Everything that spends counts from the sending of its question; everything that waits counts from
//! its own clock, later, and adds the drift. So no bound on the age of messages is needed.

use std::time::Duration;

/// Time for which a holder may spend after it confirmed the `shares` row.
pub(crate) const RIGHT: Duration = Duration::from_secs(6);
/// Longest life of a delegation; shorter when the holder's right ends sooner.
pub(crate) const DELEGATION: Duration = Duration::from_secs(4);
/// Life of a grant; a delegation that ends sooner no longer counts for new grants.
pub(crate) const GRANT: Duration = Duration::from_secs(1);
/// Interval at which aggregators ask holders, in a small region.
pub(crate) const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Holders of a region that an aggregator asks in one second at most.
pub(crate) const ASKS_PER_S: u32 = 140;
/// Two clocks drift apart by at most one part in this many.
const DRIFT: u32 = 50;

/// A wait that is surely no shorter than `time` on another daemon's clock.
pub(crate) fn with_drift(time: Duration) -> Duration {
    time + time / DRIFT
}

/// Whole milliseconds of a life, for a message.
pub(crate) fn to_ms(time: Duration) -> u32 {
    time.as_millis() as u32
}

/// A life from a message.
pub(crate) fn from_ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}
