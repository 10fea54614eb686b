//! Configuration messages: heads, chunks of the hash tree (see `conf::tree`) and key withdrawals.

use base::Version;
use serde::{Deserialize, Serialize};

/// BLAKE3 digest of a chunk's bytes.
pub type Digest = [u8; 32];

/// Withdrawal of a caller's key, which may not have reached the store yet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Withdrawal {
    /// Keyed hash of the withdrawn key.
    pub key: Digest,
    /// Time of the withdrawal, milliseconds since the epoch.
    pub at_ms: u64,
}

/// Messages that distribute the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfMsg {
    /// Announces the head that is in force at the sender.
    Head {
        /// Version of the head.
        version: Version,
        /// Digest of the root chunk.
        root: Digest,
        /// Id of the change that committed this version.
        change: u128,
    },
    /// Asks for the receiver's head if it is newer than the given version.
    WantHead {
        /// Version in force at the sender.
        have: Version,
    },
    /// Asks for chunks by digest.
    WantChunks {
        /// Digests of the missing chunks.
        digests: Vec<Digest>,
    },
    /// Answers [`ConfMsg::WantChunks`].
    Chunks {
        /// Bytes of each chunk; the receiver checks the digest.
        chunks: Vec<Vec<u8>>,
    },
    /// Spreads withdrawals; every daemon must know them.
    Withdrawals {
        /// The withdrawals.
        list: Vec<Withdrawal>,
    },
    /// Asks for all withdrawals that are not yet part of the configuration.
    WantWithdrawals,
}
