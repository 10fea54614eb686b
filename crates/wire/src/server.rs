//! Messages about announced backend servers.

use std::net::SocketAddr;

use base::{DaemonId, Place, ServerId, ServiceId};
use serde::{Deserialize, Serialize};

/// State that a server announces of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Starts cold; takes little work.
    Starting,
    /// Takes work.
    Ready,
    /// Drains; takes no new work.
    Draining,
    /// Gone, or its announcement lapsed.
    Gone,
}

/// A backend server's announcement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Name of the server.
    pub id: ServerId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Where it stands.
    pub place: Place,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Load that it reports, 0 to 1; may lag or mislead.
    pub load: f32,
    /// State that it reports.
    pub state: ServerState,
    /// Grows with each announcement (milliseconds since the epoch at the announced daemon).
    pub stamp: u64,
    /// Time until the announcement lapses, in milliseconds, at the time of sending.
    pub ttl_ms: u32,
}

/// An operator's order to drain a server, or its end. The highest stamp wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The server.
    pub server: ServerId,
    /// Whether the server gets no new work.
    pub drained: bool,
    /// Grows with each order about the server (milliseconds since the epoch at the ordering daemon).
    pub stamp: u64,
}

/// One change of the set of servers that a daemon vouches for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The daemon that vouches.
    pub origin: DaemonId,
    /// Start number of its process.
    pub incarnation: u64,
    /// Number of the change in this incarnation; the first is 1.
    pub seq: u32,
    /// The server; state [`ServerState::Gone`] takes it out of the set.
    pub server: ServerInfo,
}

/// The whole set of servers that a daemon vouches for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerSet {
    /// The daemon that vouches.
    pub origin: DaemonId,
    /// Start number of its process.
    pub incarnation: u64,
    /// Number of the last change in the set.
    pub seq: u32,
    /// The servers.
    pub servers: Vec<ServerInfo>,
}

/// Loads of the servers that a daemon vouches for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loads {
    /// The daemon that vouches.
    pub origin: DaemonId,
    /// Start number of its process.
    pub incarnation: u64,
    /// Number of the change of the set that the loads belong to.
    pub seq: u32,
    /// Grows with each report of the voucher's incarnation.
    pub report: u32,
    /// Loads in steps of 1/255, in the order of the servers' names.
    pub loads: Vec<u8>,
}

/// What daemons say about backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerMsg {
    /// Changes, spread by gossip.
    Update {
        /// Changes of vouched sets.
        deltas: Vec<Delta>,
        /// Operators' orders.
        drains: Vec<Drain>,
        /// Reported loads.
        loads: Vec<Loads>,
    },
    /// Asks for whole sets that the sender has missed changes of.
    Want {
        /// The daemons that vouch for them.
        origins: Vec<DaemonId>,
    },
    /// A whole set.
    Set(ServerSet),
    /// Hash over the teller's orders to drain; a receiver that differs answers with its own.
    Digest {
        /// Hash over the sorted orders.
        drains: u64,
    },
    /// All orders to drain of the teller.
    Drains {
        /// The orders.
        list: Vec<Drain>,
    },
}
