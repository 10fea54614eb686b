//! Three areas of the control kernel: membership, freshness and the registry of announced backend servers.
//!
//! ```
//! // Linking the crate registers its areas.
//! use member as _;
//! let names: Vec<_> = kernel::inventory::iter::<kernel::AreaEntry>.into_iter().map(|e| e.name).collect();
//! assert!(names.contains(&"member") && names.contains(&"fresh") && names.contains(&"servers"));
//! ```

mod confirmation;
mod daemon_rows;
mod drains;
mod gossip;
mod metrics;
mod partners;
mod peer_table;
mod registration;
mod server_sets;

pub mod announce;
pub mod freshness;
pub mod membership;
pub mod server_registry;
