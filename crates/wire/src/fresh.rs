//! Messages of freshness: pulls and what they answer.

use base::Version;
use serde::{Deserialize, Serialize};

/// What a daemon knows at the time of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewStatus {
    /// Version of the configuration in force at the teller.
    pub version: Version,
    /// Version of the `shares` row that the teller knows.
    pub shares_version: Version,
    /// Digest of the withdrawals that the teller knows.
    pub withdrawn_digest: u64,
    /// Age in milliseconds of the teller's own confirmation by the store, or none if not confirmed.
    pub store_age_ms: Option<u32>,
    /// Age in milliseconds of the teller's confirmation by a majority of the store's region, or none.
    pub quorum_age_ms: Option<u32>,
    /// Number of daemons of the store's region that the teller knows of, gone ones included; 0 while it
    /// has never been current, when its answer counts for no majority.
    pub region_size: u32,
    /// Whether the store does not answer the teller itself.
    pub store_down: bool,
    /// Whether the teller may answer for the rate shares (not freshly started).
    pub shares_known: bool,
}

/// What daemons say to keep each other current.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FreshMsg {
    /// A question; its send time bounds the age of the answer.
    Pull {
        /// Number echoed by the answer.
        seq: u64,
    },
    /// Answer to a pull.
    Answer {
        /// Number of the pull.
        seq: u64,
        /// What the teller knows.
        status: ViewStatus,
    },
}
