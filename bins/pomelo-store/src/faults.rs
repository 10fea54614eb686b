//! Faults that can be switched on while the stand-in runs.

use rand::Rng;
use serde::{Deserialize, Serialize};

/// Faults in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Refuse every call.
    pub down: bool,
    /// Delay of every answer, in milliseconds.
    pub slow_ms: u64,
    /// Share of writes whose answer is lost after the write took effect, 0 to 1.
    pub lost_answers: f64,
    /// Share of calls that fail without effect, 0 to 1.
    pub errors: f64,
    /// Peer addresses of daemons whose calls are refused.
    pub cut: Vec<Box<str>>,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Served.
    Serve,
    /// Refused without effect.
    Refuse,
    /// Served, but the answer is lost.
    LoseAnswer,
}

impl Faults {
    /// Whether every share is one.
    pub fn is_valid(&self) -> bool {
        [self.lost_answers, self.errors].iter().all(|share| (0.0..=1.0).contains(share))
    }

    /// Draws the fate of a call.
    pub fn fate(&self, caller: &str, is_write: bool, rng: &mut impl Rng) -> Fate {
        if self.down || self.cut.iter().any(|c| **c == *caller) || rng.random::<f64>() < self.errors {
            return Fate::Refuse;
        }
        if is_write && rng.random::<f64>() < self.lost_answers {
            return Fate::LoseAnswer;
        }
        Fate::Serve
    }
}
