//! Faults that can be injected while the fake store runs.

use rand::Rng;
use serde::{Deserialize, Serialize};

/// Faults in force; the JSON body of `PUT /faults`. Fields that are left out switch their fault off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether every call is refused.
    pub down: bool,
    /// Delay of every answer, in milliseconds.
    pub slow_ms: u64,
    /// Share of writes whose answer is lost after the write took effect, 0 to 1.
    pub lost_answers: f64,
    /// Share of calls that fail without effect, 0 to 1.
    pub errors: f64,
    /// Daemons, by peer address, whose calls are refused, as if the network between them and the store were
    /// cut.
    pub cut: Vec<Box<str>>,
}

/// Outcome of one call under the faults in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Executed and answered.
    Serve,
    /// Refused without being executed.
    Refuse,
    /// Executed, but the caller gets an error instead of the answer.
    LoseAnswer,
}

impl Faults {
    /// Whether every share is from 0 to 1.
    pub fn has_valid_shares(&self) -> bool {
        [self.lost_answers, self.errors].iter().all(|share| (0.0..=1.0).contains(share))
    }

    /// Draws the outcome of a call; `caller` is the peer address of the calling daemon.
    pub fn draw_outcome(&self, caller: &str, is_write: bool, rng: &mut impl Rng) -> CallOutcome {
        if self.down || self.cut.iter().any(|c| **c == *caller) || rng.random::<f64>() < self.errors {
            return CallOutcome::Refuse;
        }
        if is_write && rng.random::<f64>() < self.lost_answers {
            return CallOutcome::LoseAnswer;
        }
        CallOutcome::Serve
    }
}
