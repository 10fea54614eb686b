//! Configuration in the fleet: commits, adoption, chunks and key withdrawal. One area of the kernel.
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
