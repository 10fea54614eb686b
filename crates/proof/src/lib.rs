//! A simulated world around a few daemons, and an oracle that checks the invariants of a fleet.
//!
//! [`World`] runs the control kernels of the daemons with every area, on the fake network and store of
//! `fake::Fleet`. It announces backend servers, passes requests through the real admission, token pools and
//! choice of a server, and records what it observes in the [`Oracle`]. The oracle knows nothing of how
//! daemons work; it compares the observations with each [`Invariant`].
//!
//! ```
//! use std::time::Duration;
//! let mut world = proof::World::new(1, 3);
//! world.run_for(Duration::from_secs(3));
//! assert!(world.oracle.violations().is_empty());
//! ```

mod actors;
pub mod op;
pub mod oracle;
pub mod world;

// These crates register their areas with the kernel as plug-ins when they are linked.
use health as _;
use limit as _;
use member as _;
use sync as _;

pub use op::Op;
pub use oracle::{Invariant, Oracle, ServerCounts, Violation};
pub use world::World;
