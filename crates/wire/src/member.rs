//! Membership messages: heartbeats spread by gossip, descriptions of daemons, probes.

use base::rendezvous::stable_hash;
use base::{DaemonId, Place, Version};
use serde::{Deserialize, Serialize};

/// Hash of a daemon's address and incarnation, by which heartbeats name the daemon. A restart changes it.
pub type IncarnationHash = [u8; 4];

/// Hashes one incarnation of a daemon.
pub fn incarnation_hash(id: DaemonId, incarnation: u64) -> IncarnationHash {
    let hash = stable_hash(format!("{id} {incarnation}").as_bytes());
    (hash as u32).to_le_bytes()
}

/// State of a member as the sender believes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Heartbeats arrive on time.
    Alive,
    /// Heartbeats are overdue; the member is being probed.
    Suspect,
    /// Left gracefully.
    Left,
    /// Considered failed. A receiver that still gets heartbeats of the member ignores this state.
    Dead,
}

/// Description of a daemon as the sender knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Peer address.
    pub id: DaemonId,
    /// Address of the operator API.
    pub api: DaemonId,
    /// Region and data centre.
    pub place: Place,
    /// Start time of its process, milliseconds since the epoch.
    pub incarnation: u64,
    /// Believed state.
    pub state: MemberState,
}

/// One heartbeat of one daemon; other daemons forward it unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The daemon.
    pub daemon: IncarnationHash,
    /// Grows with each heartbeat of this incarnation; a receiver drops any that is not higher.
    pub clock: u32,
    /// Number of configuration versions by which the daemon is behind the message's version, times two,
    /// plus one if the store does not answer the daemon.
    pub packed_lag: u32,
    /// Number of the last change that the daemon made to its server set (see [`crate::server`]).
    pub server_set_seq: u32,
}

/// Messages about membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MemberMsg {
    /// Asks the receiver for its newest heartbeat.
    Ping,
    /// Asks the receiver to probe a third daemon and to forward that daemon's next heartbeat.
    PingReq {
        /// Daemon to probe.
        target: DaemonId,
    },
    /// Spreads heartbeats.
    Heartbeats {
        /// Highest configuration version among the heartbeats.
        version: Version,
        /// The heartbeats.
        beats: Vec<Heartbeat>,
    },
    /// Asks for the descriptions of daemons that the sender knows by hash only.
    Want {
        /// Hashes of the daemons.
        daemons: Vec<IncarnationHash>,
    },
    /// Describes daemons.
    Update {
        /// The daemons.
        members: Vec<MemberInfo>,
    },
}
