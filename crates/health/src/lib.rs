//! Health of backend servers: evidence, ejection with a floor, return. One area of the kernel.
//!
//! Way of a verdict: [`service_stats`] turns outcomes into counts and lowers weights locally,
//! [`outlier_detector`] merges the counts of several daemons at the service's coordinator by the tests of
//! [`cusum`], [`ejection_lists`] applies the coordinators' lists down to the [`floor`], and [`area`] ties them to
//! the kernel.
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
