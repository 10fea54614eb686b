//! A request's way from the daemon that takes it to the daemon beside its server.
//!
//! A backend server is reached only through the daemon on its instance. A request comes to the daemon on its
//! caller's instance ([`listen`], [`delivery`], [`ahead`], [`entry`]), is handed to the daemon beside a server ([`attempts`],
//! [`links`], [`handoff`]),
//! waits there for a slot and runs ([`exit`], [`slot`], [`pool`]). Daemons know each other by rows of the store
//! ([`directory`]) and by datagrams ([`gossip`], [`peers`]); [`refresh`] and [`freshness`] keep the configuration
//! proven. All state of a daemon is a [`node::Node`] on one thread.
//!
//! ```
//! use relay::registration::{Heartbeat, Noted, Registration};
//! use std::time::{Duration, Instant};
//!
//! let mut registration = Registration::default();
//! let heartbeat = Heartbeat {
//!     id: "s1".into(),
//!     born: 1,
//!     sequence: 1,
//!     service: "sacristia".into(),
//!     slots: 5,
//!     draining: false,
//!     cold_for: Duration::ZERO,
//! };
//! assert_eq!(registration.note(heartbeat, Instant::now()), Noted::Registered);
//! assert!(registration.serving("sacristia").is_ok());
//! ```

pub mod ahead;
mod attempt;
pub mod attempts;
pub mod body;
pub mod clock;
mod closing;
pub mod delivery;
pub mod directory;
pub mod entry;
mod exec;
pub mod exit;
pub mod freshness;
pub mod gossip;
pub mod handoff;
pub mod links;
pub mod listen;
pub mod log_writer;
pub mod metrics;
pub mod names;
pub mod node;
pub mod peers;
pub mod pool;
pub mod refresh;
pub mod registration;
pub mod run;
mod sent;
pub mod slot;
pub mod socket;
pub mod times;
