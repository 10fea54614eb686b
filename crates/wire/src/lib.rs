//! Messages between daemons and their encoding.
//!
//! Every message is one [`Msg`], sealed with the fleet's secret. A sealed message travels as a UDP
//! datagram when it fits [`MAX_DATAGRAM_BYTES`], else as one call of the `tarpc` service in [`bulk`].
//! Messages may be lost, delayed, duplicated or reordered; every receiver tolerates all four.
//!
//! ```
//! use wire::{Envelope, FleetSecret, Msg, member::MemberMsg};
//!
//! let secret = FleetSecret::new(b"a secret of at least sixteen bytes").unwrap();
//! let from = "127.0.0.1:7000".parse().unwrap();
//! let to = "127.0.0.2:7000".parse().unwrap();
//! let envelope = Envelope { from, to, incarnation: 1, msg: Msg::Member(MemberMsg::Ping) };
//! let sealed = wire::seal(&secret, &envelope);
//! assert_eq!(wire::open(&secret, &sealed).unwrap().from, from);
//! ```

pub mod bulk;
pub mod conf;
pub mod fresh;
pub mod health;
pub mod limit;
pub mod member;
pub mod seal;
pub mod server;

use serde::{Deserialize, Serialize};

pub use seal::{Envelope, FleetSecret, OpenError, SecretError, open, seal};

/// Largest sealed message that is sent as a UDP datagram, in bytes; larger messages go over TCP.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Largest sealed message over TCP, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// A message from one daemon to another, one variant for each area of the control kernel.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    /// Membership and failure detection, e.g. a probe.
    Member(member::MemberMsg),
    /// Freshness of keys, configuration and rate shares, e.g. a pull.
    Fresh(fresh::FreshMsg),
    /// Configuration chunks and key withdrawals, e.g. a request for a chunk.
    Conf(conf::ConfMsg),
    /// Announced backend servers, e.g. a delta of announcements.
    Server(server::ServerMsg),
    /// Rate shares, delegations and grants, e.g. a demand for tokens.
    Limit(limit::LimitMsg),
    /// Evidence on backend servers and ejection lists, e.g. a digest of outcomes.
    Health(health::HealthMsg),
}
