//! Fleet-wide limits on the rates and bursts of customers, as one area of the kernel.
//!
//! Every customer's rate and burst are divided into shares. Holders lend their shares to aggregators of their
//! region, which turn them into tokens and grant these to the daemons that receive requests.
//!
//! | stage | module | decides |
//! | --- | --- | --- |
//! | agreement | `shares`, `lease`, `share_change`, `agreement` | who may spend which shares |
//! | delegation | `delegations`, `cells` | which aggregator of the region spends a holder's shares |
//! | grants | `aggregator`, `bucket` | how many tokens a daemon gets; exact per customer |
//! | use | `prefetch` | how many tokens a daemon holds ahead of their use |
//!
//! Independently of the area, [`local_buckets`] divides rates among daemons by their number alone.
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
