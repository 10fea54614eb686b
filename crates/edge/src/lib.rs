//! HTTP between callers and backend servers: one request's way through a daemon.
//!
//! [`listen`] serves callers, [`framing`] and [`sanitize`] refuse ambiguous requests, [`admit`] finds the route
//! and judges the key, [`dedupe`] claims Idempotency-Keys, [`gate`] queues fairly, [`proxy`] chooses servers and
//! retries within [`budgets`], [`attempt`] is one try, [`upstream`] holds connections to servers, [`body`] and
//! [`stream`] hold or relay bodies, [`refuse`] answers what is not passed on, [`explain`] remembers.
//!
//! ```
//! use base::Refusal;
//! let rep = edge::refuse::refusal_response(Refusal::OverRate, None);
//! assert_eq!(rep.headers()["x-pomelo-run"], "no");
//! ```

pub mod admit;
mod attempt;
mod body;
mod budgets;
mod dedupe;
mod explain;
pub mod framing;
mod gate;
mod job;
pub mod listen;
pub mod metrics;
mod proxy;
pub mod refuse;
pub mod sanitize;
pub mod state;
mod stream;
pub mod upstream;

pub use explain::explain;
pub use metrics::Metrics;
pub use state::EdgeState;
