//! Membership, freshness and the registry of announced backend servers: three areas of the kernel.
//!
//! ```
//! // Linking the crate registers its areas.
//! use member as _;
//! let names: Vec<_> = kernel::inventory::iter::<kernel::AreaEntry>.into_iter().map(|e| e.name).collect();
//! assert!(names.contains(&"member") && names.contains(&"fresh") && names.contains(&"servers"));
//! ```

mod drains;
mod metrics;
mod news;
mod proof;
mod registration;
mod rows;
mod table;
mod targets;
mod vouch;

pub mod announce;
pub mod freshness;
pub mod membership;
pub mod server_registry;
