//! Outlier detection for backend servers that fail partly ("gray"): an area of the kernel that ejects them
//! and lets them return, but always leaves a minimum of servers, the floor, in service.
//!
//! How outcomes of requests become a verdict on a server:
//!
//! 1. In each daemon, [`service_stats`] counts the outcomes, and the daemon avoids servers that look bad.
//! 2. The daemons send their counts as digests to the service's coordinator, one of the daemons. There
//!    [`outlier_detector`] merges them with the sequential test of [`cusum`] and decides on ejections.
//! 3. The coordinator sends its list of ejected servers to all daemons. [`ejection_lists`] merges the lists
//!    of several coordinators and cuts them down to the [`floor`].
//!
//! [`area`] ties these parts to the kernel. [`gray_filter`] is separate: it judges one server by Bayes' rule
//! alone.
//!
//! ```
//! use health as _;
//! let names: Vec<_> = kernel::inventory::iter::<kernel::AreaEntry>.into_iter().map(|e| e.name).collect();
//! assert!(names.contains(&"health"));
//! ```

pub mod area;
pub mod consecutive_failures;
pub mod cusum;
pub mod decision_log;
pub mod ejection_lists;
pub mod floor;
pub mod gray_filter;
pub mod histogram;
mod metrics;
pub mod outlier_detector;
pub mod service_stats;

pub use area::Health;
pub use gray_filter::{GrayFilter, RequestOutcome};
pub use outlier_detector::{DetectorConfig, OutlierDetector};
