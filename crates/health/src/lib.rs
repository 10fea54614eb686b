//! Health of backend servers: evidence, ejection with a floor, return. One area of the kernel.
//!
//! Way of a verdict: [`window`] turns outcomes into counts and lowers weights locally, [`judge`] merges
//! the counts of several daemons at the service's coordinator by the tests of [`cusum`], [`lists`]
//! applies the coordinators' lists down to the [`floor`], and [`area`] ties them to the kernel.
//!
//! ```
//! use health as _;
//! let names: Vec<_> = kernel::inventory::iter::<kernel::AreaEntry>.into_iter().map(|e| e.name).collect();
//! assert!(names.contains(&"health"));
//! ```

pub mod area;
pub mod consecutive;
pub mod cusum;
pub mod explain;
pub mod floor;
pub mod gray_filter;
pub mod histogram;
pub mod judge;
pub mod lists;
mod metrics;
pub mod window;

pub use area::Health;
pub use gray_filter::{GrayFilter, RequestOutcome};
pub use judge::{Judge, Knobs};
