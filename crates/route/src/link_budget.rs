//! Byte budget of the link between regions: a token bucket in each daemon.

use std::time::{Duration, Instant};

/// Time in which an empty bucket fills up.
const FILL_TIME: Duration = Duration::from_secs(1);
/// Share of the bucket that is reserved for small answers, so that they are not delayed by large ones.
const SMALL_ANSWER_RESERVE: f64 = 0.5;
/// Largest answer that counts as small.
pub const SMALL_ANSWER_MAX_BYTES: u64 = 16 * 1024;

/// Token bucket for the bytes that one daemon sends across the link in one direction.
///
/// ```
/// let now = std::time::Instant::now();
/// let mut link = route::LinkBudget::new(3_000_000, 10, now);
/// assert!(link.allows(1_000, now));
/// link.spend(1_000);
/// ```
#[derive(Debug)]
pub struct LinkBudget {
    bytes_per_s: f64,
    /// Bytes that may cross. May be negative, since an answer's size is known only at its end; the debt
    /// delays the requests that follow.
    tokens: f64,
    refilled_at: Instant,
}

impl LinkBudget {
    /// Creates a full bucket. The daemon gets an equal share of the link: `link_bytes_per_s` by
    /// `region_daemons`.
    pub fn new(link_bytes_per_s: u64, region_daemons: u32, now: Instant) -> Self {
        let mut link = Self { bytes_per_s: 0.0, tokens: 0.0, refilled_at: now };
        link.resize(link_bytes_per_s, region_daemons, now);
        link.tokens = link.capacity();
        link
    }

    /// Applies a change of the link's rate or of the number of daemons in the region.
    pub fn resize(&mut self, link_bytes_per_s: u64, region_daemons: u32, now: Instant) {
        self.refill(now);
        self.bytes_per_s = link_bytes_per_s as f64 / f64::from(region_daemons.max(1));
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Whether a request whose answer is expected to have `expected_bytes` may cross the link now.
    ///
    /// Answers above [`SMALL_ANSWER_MAX_BYTES`] have to leave half of the bucket to small ones.
    pub fn allows(&mut self, expected_bytes: u64, now: Instant) -> bool {
        self.refill(now);
        let reserve = if expected_bytes > SMALL_ANSWER_MAX_BYTES {
            SMALL_ANSWER_RESERVE * self.capacity()
        } else {
            0.0
        };
        self.tokens > reserve
    }

    /// Subtracts bytes that crossed the link.
    pub fn spend(&mut self, bytes: u64) {
        self.tokens -= bytes as f64;
    }

    fn capacity(&self) -> f64 {
        self.bytes_per_s * FILL_TIME.as_secs_f64()
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + passed.as_secs_f64() * self.bytes_per_s).min(self.capacity());
    }
}
