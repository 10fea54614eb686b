//! Messages of membership and failure detection.

use base::{DaemonId, Place};
use serde::{Deserialize, Serialize};

/// State of a member as its teller believes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Did not answer; may still refute with a higher refutation number.
    Suspect,
    /// Left gracefully.
    Left,
    /// Considered gone.
    Dead,
}

/// One daemon as known to the teller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Peer address.
    pub id: DaemonId,
    /// Address of the operator API.
    pub api: DaemonId,
    /// Where it stands.
    pub place: Place,
    /// Start number of its process (milliseconds since the epoch).
    pub incarnation: u64,
    /// Grows each time the member refutes a suspicion.
    pub refutation: u64,
    /// Believed state.
    pub state: MemberState,
}

/// What daemons say about membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MemberMsg {
    /// Direct probe.
    Ping {
        /// Number echoed by the answer.
        seq: u64,
    },
    /// Answer to a probe.
    Ack {
        /// Number of the probe.
        seq: u64,
    },
    /// Asks the receiver to probe a third daemon on behalf of the sender.
    PingReq {
        /// Number echoed by the answer.
        seq: u64,
        /// Daemon to probe.
        target: DaemonId,
    },
    /// Changed members.
    Update {
        /// The members, newest first.
        members: Vec<MemberInfo>,
    },
    /// Digest of the whole table; the receiver answers with what differs.
    Digest {
        /// Hash over the sorted table.
        hash: u64,
    },
}
