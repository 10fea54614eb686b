//! Messages between daemons that fit one datagram each.
//!
//! They are encoded with postcard, so the order of variants and fields is part of the protocol, and new
//! variants are added at the end.

use base::{CustomerId, DaemonId, Place, ServiceId, Version};
use limit::TransferAmount;
use serde::{Deserialize, Serialize};

use crate::clock::BootTime;
use crate::digest::Digest;
use crate::handoff::ServerReport;
use crate::operator_state::OperatorState;
use crate::registration::Departure;

/// Start time of a daemon's process in Unix milliseconds. Tells successive processes on one address apart.
pub type Incarnation = u64;

/// A message between daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Datagram {
    /// Introduces the sender to a receiver that may not know it.
    Hello(Hello),
    /// Periodic status of the sender, which the receiver already knows.
    Status(Status),
    /// Introduces a third daemon.
    Peer(PeerInfo),
    /// A daemon was removed from the directory.
    Removed(RemovedPeer),
    /// Requests tokens of a customer.
    TokenRequest(CustomerId, TransferAmount),
    /// Transfers tokens of customers to the receiver.
    TokenGrants(Vec<(CustomerId, f32)>),
    /// Tells of servers in another data centre than the receiver's.
    Digest {
        /// Daemon that made the digest; another daemon of the receiver's data centre may have passed it on.
        origin: DaemonId,
        /// The digest.
        digest: Digest,
    },
    /// The receiver's address is known to belong to a later process, with this incarnation.
    Superseded(Incarnation),
    /// Departures of servers that the daemon at `of` has acknowledged, latest first. That daemon announces them
    /// to others, and those tell them to its next process.
    Departures {
        /// Daemon whose servers have left.
        of: DaemonId,
        /// The departures.
        departures: Vec<Departure>,
    },
    /// What operators ask of the fleet apart from its configuration.
    OperatorState(OperatorState),
    /// Asks what became of hand-offs that the sender has sent to the receiver.
    FateQuestion(fate::Question),
    /// Answers a question about hand-offs.
    FateAnswer(fate::Answer),
}

impl Datagram {
    /// What the datagram is for, as a label of metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Datagram::Hello(_) | Datagram::Peer(_) | Datagram::Superseded(_) => "introduction",
            Datagram::Status(_) => "status",
            Datagram::Removed(_) => "removal",
            Datagram::TokenRequest(..) | Datagram::TokenGrants(_) => "tokens",
            Datagram::Digest { .. } => "digest",
            Datagram::Departures { .. } => "departures",
            Datagram::OperatorState(_) => "operator-state",
            Datagram::FateQuestion(_) | Datagram::FateAnswer(_) => "fate",
        }
    }
}

/// Introduction of a daemon, with its current status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Description of the sender.
    pub peer_info: PeerInfo,
    /// Current status of the sender.
    pub status: Status,
    /// Whether the receiver should introduce itself in return.
    pub wants_answer: bool,
    /// Whether the receiver should pass `peer_info` on to its data centre.
    pub forward: bool,
}

/// Current status of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Process that sent the status.
    pub incarnation: Incarnation,
    /// Load and health of the server beside the sender.
    pub report: ServerReport,
    /// Version of the sender's configuration; 0 if it has none.
    pub version: Version,
    /// Age in milliseconds of the sender's proof that `version` is the newest; `None` without a proof.
    pub proof_age_ms: Option<u32>,
    /// Time of sending on the sender's clock.
    pub sent_at: BootTime,
    /// `sent_at` of the latest status that the sender has received from the receiver. The receiver computes
    /// from it how old a proof in this message is on its own clock.
    pub echo: Option<BootTime>,
    /// Whether the sender has recently received a status from the receiver.
    pub receives_from_you: bool,
    /// Number of daemons in the sender's table, the sender included.
    pub member_count: u16,
}

/// Description of a daemon, as in its row of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Address for datagrams and hand-offs.
    pub addr: DaemonId,
    /// Process that wrote the description.
    pub incarnation: Incarnation,
    /// Region and data centre of the daemon's instance.
    pub place: Place,
    /// Service of the server beside the daemon.
    pub service: ServiceId,
}

/// A daemon that was removed from the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedPeer {
    /// Address of the removed daemon.
    pub addr: DaemonId,
    /// Process that was removed; a later one on the same address is not affected.
    pub incarnation: Incarnation,
    /// Whether the receiver should pass the message on to its data centre.
    pub forward: bool,
}
