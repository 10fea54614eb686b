//! Messages of membership: heartbeats spread by gossip, descriptions of daemons, probes.

use base::rendezvous::stable_hash;
use base::{DaemonId, Place, Version};
use serde::{Deserialize, Serialize};

/// Hash of a daemon's address and incarnation; names it in heartbeats. A restart changes it.
pub type IncarnationHash = [u8; 4];

/// Hash that names one incarnation of a daemon.
pub fn incarnation_hash(id: DaemonId, incarnation: u64) -> IncarnationHash {
    let hash = stable_hash(format!("{id} {incarnation}").as_bytes());
    (hash as u32).to_le_bytes()
}

/// State of a member as its teller believes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Its heartbeats arrive.
    Alive,
    /// Its heartbeats are overdue; it is being probed.
    Suspect,
    /// Left gracefully.
    Left,
    /// Considered gone. Never taken over from a teller about a member that is heard here.
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
    /// Believed state.
    pub state: MemberState,
}

/// One heartbeat of one daemon; passed on by others unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The daemon.
    pub daemon: IncarnationHash,
    /// Grows with each heartbeat of this incarnation; only a higher one is news.
    pub clock: u32,
    /// Versions by which the daemon is behind the message's version, times two, plus one if the
    /// store does not answer it.
    pub packed_lag: u32,
    /// Number of changes that it made to the set of servers that it vouches for.
    pub server_set_seq: u32,
}

/// What daemons say about membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MemberMsg {
    /// Asks the receiver for its newest heartbeat.
    Ping,
    /// Asks the receiver to probe a third daemon and to pass on its next heartbeat.
    PingReq {
        /// Daemon to probe.
        target: DaemonId,
    },
    /// Heartbeats.
    Heartbeats {
        /// Highest configuration version among the heartbeats.
        version: Version,
        /// The heartbeats.
        beats: Vec<Heartbeat>,
    },
    /// Asks who these daemons are.
    Want {
        /// Their short names.
        daemons: Vec<IncarnationHash>,
    },
    /// Descriptions of daemons.
    Update {
        /// The daemons.
        members: Vec<MemberInfo>,
    },
}
