//! Messages of health: evidence digests and ejection lists.

use base::{DaemonId, ServerId, ServiceId};
use serde::{Deserialize, Serialize};

/// What one daemon saw of one server since its last digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The server.
    pub server: ServerId,
    /// Requests finished or overdue in the period.
    pub total: u32,
    /// Requests with a bad outcome that is the server's or the path's.
    pub bad: u32,
    /// Requests much slower than the service's other servers in the same period.
    pub slow: u32,
}

/// One entry of an ejection list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EjectionEntry {
    /// The server.
    pub server: ServerId,
    /// Time until the entry lapses, in milliseconds, at the time of sending.
    pub ttl_ms: u32,
    /// Share of its normal work that it may get, 0 to 1; 0 while ejected.
    pub weight: f32,
    /// Strength of the evidence; when the floor leaves no room for all, the highest are ejected.
    pub score: f32,
}

/// What daemons say about the health of servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthMsg {
    /// Evidence towards the service's coordinator.
    Evidence {
        /// The service.
        service: ServiceId,
        /// Whether the sender finds most servers of several services bad and so doubts itself.
        doubts_itself: bool,
        /// Evidence on each server that had traffic.
        list: Vec<Evidence>,
    },
    /// The coordinator suspects servers and asks for frequent digests and a second opinion.
    Watch {
        /// The service.
        service: ServiceId,
        /// The suspected servers.
        suspects: Vec<ServerId>,
    },
    /// The coordinator's ejection list; replaces its earlier one of the service.
    Ejections {
        /// The service.
        service: ServiceId,
        /// Who made the list; the sender may pass on what another coordinator does not hear.
        coordinator: DaemonId,
        /// Start of the coordinator's process; lists of an earlier start are dropped.
        incarnation: u64,
        /// Grows with each list of this coordinator.
        seq: u64,
        /// The entries.
        list: Vec<EjectionEntry>,
    },
}
