//! The head row, whose value is the committed version of the configuration, and the rows of its history.

use base::{ChangeId, Version};
use conf::Digest;
use serde::{Deserialize, Serialize};
use store::Row;

/// Key of the head row.
pub const HEAD_ROW_KEY: &str = "fleet/head";
/// Number of versions that the history keeps.
pub const HISTORY_VERSIONS_KEPT: Version = 10_000;
/// Number of versions whose history rows share a key prefix, so that a page of them is one read.
const VERSIONS_PER_PREFIX: Version = 100;

/// A committed configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Version of the configuration.
    pub version: Version,
    /// Digest of the root chunk.
    pub root: Digest,
    /// Id of the change that committed this version.
    pub change: ChangeId,
}

/// Value of the head row, as JSON.
#[derive(Debug, Serialize, Deserialize)]
struct HeadRow {
    version: Version,
    root: Box<str>,
    change: Box<str>,
}

/// Value of a history row, as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HistoryRow {
    /// Version of the configuration.
    pub version: Version,
    /// Hexadecimal digest of the root chunk.
    pub root: Box<str>,
    /// Hexadecimal id of the change.
    pub change: Box<str>,
    /// Kind of the change, such as `apply`; see [`crate::edit::Edit::history_label`].
    pub what: Box<str>,
    /// Time of the commit by the committing daemon's clock, milliseconds since the epoch.
    pub at_ms: u64,
    /// Daemon that committed the version.
    pub by: Box<str>,
}

impl Head {
    /// Value for the head row.
    pub fn to_row_text(&self) -> String {
        let text = HeadRow {
            version: self.version,
            root: conf::tree::digest_to_hex(&self.root),
            change: change_to_hex(self.change),
        };
        serde_json::to_string(&text).unwrap_or_default()
    }

    /// Parses the head row; `None` if it is malformed.
    pub fn from_head_row(row: &Row) -> Option<Self> {
        let text: HeadRow = serde_json::from_str(&row.value).ok()?;
        Self::from_text(text.version, &text.root, &text.change)
    }

    /// Parses a history row; `None` if it is malformed.
    pub fn from_history_row(row: &Row) -> Option<Self> {
        let text: HistoryRow = serde_json::from_str(&row.value).ok()?;
        Self::from_text(text.version, &text.root, &text.change)
    }

    fn from_text(version: Version, root: &str, change: &str) -> Option<Self> {
        let change = ChangeId::from_str_radix(change, 16).ok()?;
        Some(Self { version, root: conf::tree::digest_from_hex(root)?, change })
    }
}

/// Change id as rows, answers and logs show it: 32 hexadecimal digits.
pub fn change_to_hex(change: ChangeId) -> Box<str> {
    format!("{change:032x}").into()
}

/// Key of a version's history row.
pub fn history_row_key(version: Version) -> Box<str> {
    format!("{}{version:012}", history_prefix(version)).into()
}

/// Key prefix of the history rows of a version and its neighbours.
pub fn history_prefix(version: Version) -> String {
    format!("conf/history/{:010}/", version / VERSIONS_PER_PREFIX)
}
