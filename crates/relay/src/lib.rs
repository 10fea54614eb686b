//! Carries a request from the caller's daemon to the daemon beside a backend server, and the answer back.
//!
//! Every instance runs one daemon, and a backend server is reached only through the daemon on its instance.
//! The daemon on the caller's instance takes the request ([`listen`], [`ingress`], [`pipeline`],
//! [`delivery`]) and hands it to the daemon beside a server that it chooses ([`attempts`], [`links`],
//! [`handoff`]). There the request waits for a slot and runs ([`local_server`], [`slot`], [`pool`]).
//! `fate_questions` determines what became of hand-offs on a lost connection.
//!
//! Daemons find each other through rows of the store ([`directory`]), in which they also keep the departures of
//! their servers ([`departures`]); [`store_era`] tells when the store has lost such rows. Those of one data centre exchange their
//! status over UDP ([`gossip`], [`peers`]), and data centres exchange digests of it ([`digest`]).
//! [`config_refresh`] and [`freshness`] keep the configuration current and track how recently it was proven to
//! be the newest one; [`config_news`] is what other daemons tell of it. All state of a daemon is a
//! [`node::Node`], which lives on a single thread.
//!
//! ```
//! use relay::registration::{Heartbeat, HeartbeatOutcome, Registration};
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
//! assert_eq!(registration.apply_heartbeat(heartbeat, Instant::now()), HeartbeatOutcome::Registered);
//! assert!(registration.serving("sacristia").is_ok());
//! ```

mod attempt;
pub mod attempts;
pub mod body;
pub mod body_memory;
pub mod caller_requests;
pub mod clock;
mod closing;
mod config_exchange;
pub mod config_news;
pub mod config_refresh;
pub mod connection_limit;
pub mod daemon;
pub mod datagram;
pub mod delivery;
pub mod departures;
pub mod digest;
pub mod directory;
mod ended_stream;
mod exchange;
mod exec;
mod fate_questions;
pub mod freshness;
pub mod gossip;
pub mod handoff;
pub mod header_names;
pub mod ingress;
pub mod links;
pub mod listen;
pub mod local_server;
pub mod log_writer;
pub mod metrics;
pub mod node;
pub mod operator_state;
mod peer;
pub mod peers;
pub mod pipeline;
pub mod pool;
pub mod registration;
mod shared_stream;
pub mod slot;
pub mod socket;
pub mod store_era;
mod store_watch;
