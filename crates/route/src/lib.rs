//! Choice of a server for a request. Sans-I/O; randomness comes from the caller.
//!
//! ```
//! use rand::SeedableRng;
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
//! let place = base::Place::new("meseta", "barva");
//! let now = std::time::Instant::now();
//! let want = route::Want { place: &place, tried: &[], repeatable: true, cross_region: true, now };
//! assert!(route::choose(&[], &want, &mut rng).is_none());
//! ```

pub mod budget;
pub mod concurrency;
pub mod dispatch;
pub mod link;
pub mod pick;
pub mod place;
pub mod queue;

pub use budget::Budget;
pub use concurrency::Limit;
pub use dispatch::Dispatch;
pub use link::Link;
pub use pick::{Want, choose};
pub use place::place;
pub use queue::{FairQueue, Pushed};
