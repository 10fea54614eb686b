//! A small world around a few whole daemons, and an oracle with one check for each promise.
//!
//! [`World`] drives `fake::Fleet` with every area linked, renews the announcements of its backend servers,
//! sends requests through the real admission, token pools and choice of server, and tells the [`Oracle`]
//! each fact. The oracle knows nothing of daemons; it only compares facts with the promises.
//!
//! ```
//! use std::time::Duration;
//! let mut world = proof::World::new(1, 3);
//! world.run(Duration::from_secs(3));
//! assert!(world.oracle.violations().is_empty());
//! ```

pub mod op;
pub mod oracle;
mod parties;
pub mod world;

// Linked for their registration with the kernel.
use health as _;
use limit as _;
use member as _;
use sync as _;

pub use op::Op;
pub use oracle::{Offer, Oracle, Promise, Violation};
pub use world::World;
