//! Fakes for tests: real control kernels of several daemons over a lossy network and a faulty store, under
//! virtual time.
//!
//! Random numbers are seeded, so that the same seed and calls give the same run. There are no sockets, tasks
//! or clocks.
//!
//! ```
//! use std::time::Duration;
//! let mut fleet = fake::Fleet::new(7, &[("meseta", "barva"), ("guanacaste", "canas")]);
//! fleet.run_for(Duration::from_secs(2));
//! assert_eq!(fleet.daemon_count(), 2);
//! ```

pub mod fleet;
pub mod network;
pub mod store;

pub use self::store::FakeStore;
pub use fleet::{Cost, DaemonIndex, Fleet};
pub use network::FakeNetwork;
