//! Messages about announced backend servers.

use std::net::SocketAddr;

use base::{Place, ServerId, ServiceId};
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

/// What daemons say about backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerMsg {
    /// New or changed announcements.
    Update {
        /// The announcements.
        servers: Vec<ServerInfo>,
    },
    /// Digest of the teller's table, for anti-entropy.
    Digest {
        /// Hash over the sorted table without loads and times.
        hash: u64,
    },
    /// Asks for the whole table.
    WantAll,
}
