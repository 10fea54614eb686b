//! A clock that goes on while the instance is suspended. Ages of proofs are measured with this clock, so that
//! a proof doesn't seem recent after a suspension.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A moment, as the time since the instance booted, including time in suspension.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// The present moment.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        Self(Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32))
    }

    /// The moment at this time after booting.
    pub const fn at(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Time since `earlier`, or zero if that is later than this moment.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The moment `age` before this one.
    #[must_use]
    pub fn before(self, age: Duration) -> Self {
        Self(self.0.saturating_sub(age))
    }

    /// The moment `wait` after this one.
    #[must_use]
    pub fn after(self, wait: Duration) -> Self {
        Self(self.0 + wait)
    }
}

/// Encoded as whole milliseconds, rounded down, so that an age computed from the decoded moment is never too
/// short.
impl Serialize for BootTime {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(self.0.as_millis() as u64)
    }
}

impl<'de> Deserialize<'de> for BootTime {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        u64::deserialize(deserializer).map(|ms| Self(Duration::from_millis(ms)))
    }
}
