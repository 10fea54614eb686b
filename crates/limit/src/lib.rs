//! Fleet-wide rates and bursts. One area of the kernel.
//!
//! | stage | module | holds |
//! | --- | --- | --- |
//! | agreement | `shares`, `lease`, `share_change`, `agreement` | who may spend which shares |
//! | delegation | `delegations`, `cells` | shares lent to the region's aggregators |
//! | grants | `aggregator`, `bucket` | tokens for daemons, exact per customer |
//! | use | `prefetch` | tokens held ahead of their use |
//!
//! ```
//! use limit as _;
//! let names: Vec<_> = kernel::inventory::iter::<kernel::AreaEntry>.into_iter().map(|e| e.name).collect();
//! assert!(names.contains(&"limit"));
//! ```

mod aggregator;
mod agreement;
pub mod area;
mod bucket;
mod cells;
mod counters;
mod delegations;
mod lease;
pub mod local_buckets;
mod outbox;
mod prefetch;
mod share_change;
pub mod shares;
mod times;

pub use area::RateLimiter;
pub use local_buckets::{LocalBuckets, QuotaTolerance, TakeOutcome, TransferAmount};
