//! HTTP between callers and backend servers: one request's way through a daemon.
//!
//! [`admit`] finds the route and judges the key, [`proxy`] chooses servers and retries, [`upstream`] holds
//! connections to servers, [`refuse`] answers what is not passed on, [`listen`] serves callers.
//!
//! ```
//! use base::Refusal;
//! let rep = edge::refuse::response(Refusal::OverRate, None);
//! assert_eq!(rep.headers()["x-pomelo-run"], "no");
//! ```

pub mod admit;
pub mod listen;
pub mod metrics;
pub mod proxy;
pub mod refuse;
pub mod shared;
pub mod upstream;

pub use metrics::Metrics;
pub use shared::Shared;
