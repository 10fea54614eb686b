//! Gray modes of the stand-in.

use serde::{Deserialize, Serialize};

/// What the server does wrong. All may be combined; the health page keeps claiming to be well.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Mode {
    /// Factor on the time of work.
    pub slow: f64,
    /// Share of requests that are slow by the factor, 0 to 1.
    pub slow_share: f64,
    /// Share of requests that fail with 500, 0 to 1.
    pub errors: f64,
    /// Accepts requests and never answers.
    pub silent: bool,
    /// Whether the server announces that it drains.
    pub draining: bool,
}

impl Default for Mode {
    fn default() -> Self {
        Self { slow: 1.0, slow_share: 1.0, errors: 0.0, silent: false, draining: false }
    }
}
