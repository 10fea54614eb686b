//! The configuration area of the control kernel: commits changes to the store, distributes the
//! configuration as chunks of a hash tree, puts new versions in force and spreads key withdrawals.
//!
//! ```
//! use sync as _;
//! let names: Vec<_> = kernel::inventory::iter::<kernel::AreaEntry>.into_iter().map(|e| e.name).collect();
//! assert!(names.contains(&"sync"));
//! ```

mod advance;
mod api;
pub mod area;
mod commit;
pub mod edit;
mod fetch;
pub mod head;
mod metrics;
mod withdraw;
