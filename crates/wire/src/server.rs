//! Messages about announced backend servers.
//!
//! A server announces itself to one daemon, the origin of its entry. Each daemon numbers the changes of
//! its server set (the servers that announce themselves to it) and spreads them by gossip; daemons that
//! miss a change ask for the whole set.

use std::net::SocketAddr;

use base::{DaemonId, Place, ServerId, ServiceId};
use serde::{Deserialize, Serialize};

/// State that a server announces of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Starts cold; takes a reduced load.
    Starting,
    /// Takes work.
    Ready,
    /// Finishes its requests; takes no new work.
    Draining,
    /// Stopped, or its announcement expired.
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
    /// Region and data centre.
    pub place: Place,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Load that it reports, 0 to 1; may be outdated or wrong.
    pub load: f32,
    /// State that it reports.
    pub state: ServerState,
    /// Grows with each announcement; milliseconds since the epoch by the clock of the origin.
    pub stamp: u64,
    /// Time until the announcement expires, in milliseconds from the time of sending.
    pub ttl_ms: u32,
}

/// An operator's order to drain a server, or to end the drain. The order with the highest stamp wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The server.
    pub server: ServerId,
    /// Whether the server gets no new work.
    pub drained: bool,
    /// Grows with each order about the server; milliseconds since the epoch by the clock of the daemon that
    /// took the order.
    pub stamp: u64,
}

/// One change of a daemon's server set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Daemon whose set changed.
    pub origin: DaemonId,
    /// Incarnation of the origin's process.
    pub incarnation: u64,
    /// Number of the change in this incarnation; the first is 1.
    pub seq: u32,
    /// The server; state [`ServerState::Gone`] removes it from the set.
    pub server: ServerInfo,
}

/// A daemon's whole server set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerSet {
    /// Daemon to which the servers announced themselves.
    pub origin: DaemonId,
    /// Incarnation of the origin's process.
    pub incarnation: u64,
    /// Number of the last change in the set.
    pub seq: u32,
    /// The servers.
    pub servers: Vec<ServerInfo>,
}

/// Loads of the servers of a daemon's set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loads {
    /// Daemon to which the servers announced themselves.
    pub origin: DaemonId,
    /// Incarnation of the origin's process.
    pub incarnation: u64,
    /// Number of the last change in the set to which the loads belong.
    pub seq: u32,
    /// Grows with each report of this incarnation.
    pub report: u32,
    /// Loads in steps of 1/255, in the order of the servers' names.
    pub loads: Vec<u8>,
}

/// Messages about backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerMsg {
    /// Gossips changes.
    Update {
        /// Changes of server sets.
        deltas: Vec<Delta>,
        /// Operators' orders to drain.
        drains: Vec<Drain>,
        /// Reported loads.
        loads: Vec<Loads>,
    },
    /// Asks for the whole of server sets of which the sender has missed changes.
    Want {
        /// Daemons whose sets are wanted.
        origins: Vec<DaemonId>,
    },
    /// Answers [`ServerMsg::Want`] with one whole set.
    Set(ServerSet),
    /// Hash over the sender's orders to drain; a receiver with another hash answers with its own orders.
    Digest {
        /// Hash over the sorted orders.
        drains: u64,
    },
    /// All orders to drain that the sender knows.
    Drains {
        /// The orders.
        list: Vec<Drain>,
    },
}
