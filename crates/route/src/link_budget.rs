//! Byte budget of the link between regions, as one daemon's token bucket.

use std::time::{Duration, Instant};

/// Time over which unspent budget accumulates.
const BURST: Duration = Duration::from_secs(1);
/// Share of the bucket that only small answers may use, so that they go first.
const SMALL_RESERVE: f64 = 0.5;
/// Largest answer that counts as small, in bytes.
pub const SMALL_ANSWER_MAX_BYTES: u64 = 16 * 1024;

/// Token bucket of bytes across the link, for one daemon and one direction.
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
    /// May be negative: an answer's size is known only at its end, and the debt delays what follows.
    tokens: f64,
    filled_at: Instant,
}

impl LinkBudget {
    /// Makes a full bucket with this daemon's equal part of the link, in bytes per second.
    pub fn new(link_bytes_per_s: u64, region_daemons: u32, now: Instant) -> Self {
        let mut link = Self { bytes_per_s: 0.0, tokens: 0.0, filled_at: now };
        link.resize(link_bytes_per_s, region_daemons, now);
        link.tokens = link.capacity();
        link
    }

    /// Follows a change of the link's rate or of the number of daemons in the region.
    pub fn resize(&mut self, link_bytes_per_s: u64, region_daemons: u32, now: Instant) {
        self.fill(now);
        self.bytes_per_s = link_bytes_per_s as f64 / f64::from(region_daemons.max(1));
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Whether a request whose answer is expected to have this many bytes may cross now.
    ///
    /// Larger answers than [`SMALL_ANSWER_MAX_BYTES`] have to leave half of the bucket to small ones.
    pub fn allows(&mut self, expected_bytes: u64, now: Instant) -> bool {
        self.fill(now);
        let reserve =
            if expected_bytes > SMALL_ANSWER_MAX_BYTES { SMALL_RESERVE * self.capacity() } else { 0.0 };
        self.tokens > reserve
    }

    /// Takes the bytes that crossed.
    pub fn spend(&mut self, bytes: u64) {
        self.tokens -= bytes as f64;
    }

    fn capacity(&self) -> f64 {
        self.bytes_per_s * BURST.as_secs_f64()
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at);
        self.filled_at = now;
        self.tokens = (self.tokens + passed.as_secs_f64() * self.bytes_per_s).min(self.capacity());
    }
}
