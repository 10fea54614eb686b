//! Configuration in the fleet: commits, adoption, chunks and key withdrawal. One area of the kernel.
//!
//! ```
//! use sync as _;
//! let names: Vec<_> = kernel::inventory::iter::<kernel::AreaEntry>.into_iter().map(|e| e.name).collect();
//! assert!(names.contains(&"sync"));
//! ```

pub mod area;
pub mod edit;
pub mod head;
