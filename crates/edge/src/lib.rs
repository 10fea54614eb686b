//! HTTP proxy between callers and backend servers.
//!
//! How a request passes through the modules: [`listen`] accepts the caller's connection, [`framing`] and
//! [`sanitize`] refuse ambiguous requests, [`admit`] finds the route and checks the API key, [`dedupe`]
//! claims Idempotency-Keys, [`limiter`] limits concurrency and queues fairly, [`proxy`] chooses servers and
//! retries within [`retry_budgets`], [`attempt`] sends the request to one server over a connection of
//! [`upstream`], [`body`] and [`relayed_answer`] buffer or stream bodies, [`refuse`] answers refused
//! requests, and [`explain`] keeps a trace of each request.
//!
//! ```
//! use base::Refusal;
//! let rep = edge::refuse::refusal_response(Refusal::OverRate, None);
//! assert_eq!(rep.headers()["x-pomelo-run"], "no");
//! ```

pub mod admit;
mod attempt;
mod body;
mod dedupe;
mod explain;
pub mod framing;
mod job;
mod limiter;
pub mod listen;
pub mod metrics;
mod proxy;
pub mod refuse;
mod relayed_answer;
mod retry_budgets;
pub mod sanitize;
pub mod state;
pub mod upstream;

pub use explain::explain;
pub use metrics::Metrics;
pub use state::EdgeState;
