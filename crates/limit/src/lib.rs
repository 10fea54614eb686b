//! Fleet-wide rates and bursts. One area of the kernel.
//!
//! ```
//! use limit as _;
//! let names: Vec<_> = kernel::inventory::iter::<kernel::AreaEntry>.into_iter().map(|e| e.name).collect();
//! assert!(names.contains(&"limit"));
//! ```

pub mod split;
