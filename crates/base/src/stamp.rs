//! Position in the history of the store.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::Version;

/// Position in the history of the store, ordered by era, then version.
///
/// A store that is restored from a copy begins a new era and gives out versions again, so versions of different
/// eras say nothing about each other.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{era}.{version}")]
pub struct StoreStamp {
    /// Number of times that the store was restored.
    pub era: u64,
    /// Version within the era.
    pub version: Version,
}
