//! Messages of configuration: chunks of the hash tree and key withdrawals.

use base::Version;
use serde::{Deserialize, Serialize};

/// BLAKE3 digest of a chunk's bytes.
pub type Digest = [u8; 32];

/// A withdrawal that may not be stored yet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Withdrawal {
    /// Keyed hash of the withdrawn key.
    pub key: Digest,
    /// Time of the withdrawal, milliseconds since the epoch.
    pub at_ms: u64,
}

/// What daemons say about configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfMsg {
    /// The teller has this head in force.
    Head {
        /// Version of the head.
        version: Version,
        /// Digest of the root chunk.
        root: Digest,
        /// Id of the change that made it.
        change: u128,
    },
    /// Asks for a head newer than the given version.
    WantHead {
        /// Version in force at the sender.
        have: Version,
    },
    /// Asks for chunks.
    WantChunks {
        /// Digests of the missing chunks.
        digests: Vec<Digest>,
    },
    /// Chunks asked for.
    Chunks {
        /// Bytes of each chunk; the receiver checks the digest.
        chunks: Vec<Vec<u8>>,
    },
    /// Withdrawals that every daemon must know.
    Withdrawals {
        /// The withdrawals.
        list: Vec<Withdrawal>,
    },
    /// Asks for all withdrawals not yet part of the configuration.
    WantWithdrawals,
}
