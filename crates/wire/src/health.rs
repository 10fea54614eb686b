//! Health messages: digests of request outcomes (evidence) and ejection lists.
//!
//! Each service has one coordinator, a daemon that collects the evidence of all daemons and decides which
//! of the service's servers are ejected.

use base::{DaemonId, ServerId, ServiceId};
use serde::{Deserialize, Serialize};

/// Request outcomes that one daemon saw at one server since its last digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The server.
    pub server: ServerId,
    /// Requests that finished or became overdue since then.
    pub total: u32,
    /// Requests that failed through the fault of the server or of the path to it.
    pub bad: u32,
    /// Requests much slower than the service's other servers in the same period.
    pub slow: u32,
}

/// One entry of an ejection list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EjectionEntry {
    /// The server.
    pub server: ServerId,
    /// Time until the entry expires, in milliseconds from the time of sending.
    pub ttl_ms: u32,
    /// Share of its normal load that the server may get, 0 to 1; 0 while it is ejected.
    pub weight: f32,
    /// Strength of the evidence. When the service's floor doesn't allow all ejections, the servers with the
    /// highest scores are ejected.
    pub score: f32,
}

/// Messages about the health of backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthMsg {
    /// Sends evidence to the service's coordinator.
    Evidence {
        /// The service.
        service: ServiceId,
        /// Whether most servers of several services look bad to the sender, so that the sender itself is
        /// likely at fault.
        doubts_itself: bool,
        /// Evidence on each server that got requests.
        list: Vec<Evidence>,
    },
    /// From the coordinator: asks for more frequent digests on suspected servers, to confirm or drop the
    /// suspicion.
    Watch {
        /// The service.
        service: ServiceId,
        /// The suspected servers.
        suspects: Vec<ServerId>,
    },
    /// The coordinator's ejection list; replaces its earlier list for the service.
    Ejections {
        /// The service.
        service: ServiceId,
        /// Daemon that made the list. The sender may be another daemon that forwards it.
        coordinator: DaemonId,
        /// Incarnation of the coordinator's process; lists of an earlier incarnation are dropped.
        incarnation: u64,
        /// Grows with each list of this coordinator's incarnation.
        seq: u64,
        /// The entries.
        list: Vec<EjectionEntry>,
    },
}
