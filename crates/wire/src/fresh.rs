//! Freshness messages: a daemon pulls the view status of others to prove that its own view is current.

use base::Version;
use serde::{Deserialize, Serialize};

/// What the sender of an answer knows when it answers a pull.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewStatus {
    /// Version of the configuration in force at the sender.
    pub version: Version,
    /// Version of the row `fleet/shares` of the store that the sender knows.
    pub shares_version: Version,
    /// Digest of the key withdrawals that the sender knows.
    pub withdrawn_digest: u64,
    /// Time in milliseconds since the store confirmed the sender's view, directly or through other
    /// daemons; `None` if it has not.
    pub store_age_ms: Option<u32>,
    /// Time in milliseconds since a majority of the store's region confirmed the sender's view; `None` if
    /// it has not.
    pub quorum_age_ms: Option<u32>,
    /// Number of daemons of the store's region that the sender knows of, dead ones included. 0 while the
    /// sender's view has never been current; its answer then counts for no majority.
    pub region_size: u32,
    /// Whether the store does not answer the sender.
    pub store_down: bool,
    /// Whether the sender confirms `shares_version`; false right after its start and while the sender knows
    /// that a newer version exists.
    pub shares_known: bool,
}

/// Messages that keep daemons' views current.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FreshMsg {
    /// Asks for the receiver's view status. The answer is no older than the time at which the pull was sent.
    Pull {
        /// Number echoed by the answer.
        seq: u64,
    },
    /// Answer to a pull.
    Answer {
        /// Number of the answered pull.
        seq: u64,
        /// View status of the sender.
        status: ViewStatus,
    },
}
