//! Health of backend servers: evidence, ejection with a floor, return. One area of the kernel.
//!
//! ```
//! use health as _;
//! let names: Vec<_> = kernel::inventory::iter::<kernel::AreaEntry>.into_iter().map(|e| e.name).collect();
//! assert!(names.contains(&"health"));
//! ```

pub mod consecutive;
