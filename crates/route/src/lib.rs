//! Load balancing, queueing and budgets for requests to backend servers.
//!
//! Nothing in this crate does I/O or reads a clock: times and randomness come from the caller.
//!
//! [`choose_server`] picks a server with two random choices; [`place_request`] picks the daemon whose server
//! runs a request, by the cost that [`CostEstimator`] learns. [`SlotQueue`] orders requests in front of one server and
//! [`ColdGate`] bounds them while it is cold, [`FairQueue`] shares a service among
//! customers. [`ConcurrencyLimit`], [`RetryBudget`] and [`LinkBudget`] bound requests in flight, retries and
//! bytes between regions.
//!
//! ```
//! use rand::SeedableRng;
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
//! let place = base::Place::new("meseta", "barva");
//! let now = std::time::Instant::now();
//! let criteria = route::Criteria { place: &place, tried: &[], repeatable: true, cross_region: true, now };
//! assert!(route::choose_server(&[], &criteria, &mut rng).is_none());
//! ```

pub mod choice;
pub mod cold_gate;
pub mod concurrency_limit;
pub mod cost;
pub mod fair_queue;
pub mod link_budget;
pub mod placement;
pub mod retry_budget;
pub mod slot_queue;

pub use choice::{Criteria, choose_server};
pub use cold_gate::ColdGate;
pub use concurrency_limit::ConcurrencyLimit;
pub use cost::{CostEstimator, RunEstimate, SpeedEstimator};
pub use fair_queue::{FairQueue, PushOutcome};
pub use link_budget::LinkBudget;
pub use placement::place_request;
pub use retry_budget::RetryBudget;
pub use slot_queue::SlotQueue;
