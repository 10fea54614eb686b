//! The `head` row, the one place where the configuration in force is agreed, and its history.

use base::{ChangeId, Version};
use conf::Digest;
use serde::{Deserialize, Serialize};
use store::Row;

/// Key of the head row.
pub const HEAD_ROW_KEY: &str = "fleet/head";
/// Versions kept in the history.
pub const HISTORY_VERSIONS_KEPT: Version = 10_000;
/// Versions under one prefix of the history.
const PAGE: Version = 100;

/// A committed configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Version of the configuration.
    pub version: Version,
    /// Digest of the root chunk.
    pub root: Digest,
    /// Id of the change that made it.
    pub change: ChangeId,
}

/// Text of the head row.
#[derive(Debug, Serialize, Deserialize)]
struct HeadRow {
    version: Version,
    root: Box<str>,
    change: Box<str>,
}

/// Text of a history row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HistoryRow {
    /// Version of the configuration.
    pub version: Version,
    /// Hexadecimal digest of the root chunk.
    pub root: Box<str>,
    /// Hexadecimal id of the change.
    pub change: Box<str>,
    /// What was changed, e.g. `apply`.
    pub what: Box<str>,
    /// Time of the commit, milliseconds since the epoch.
    pub at_ms: u64,
    /// Daemon that committed it.
    pub by: Box<str>,
}

impl Head {
    /// Text for the row.
    pub fn to_row_text(&self) -> String {
        let text = HeadRow {
            version: self.version,
            root: conf::tree::digest_to_hex(&self.root),
            change: change_to_hex(self.change),
        };
        serde_json::to_string(&text).unwrap_or_default()
    }

    /// Reads the row's text; none when it is malformed.
    pub fn from_head_row(row: &Row) -> Option<Self> {
        let text: HeadRow = serde_json::from_str(&row.value).ok()?;
        Self::from_text(text.version, &text.root, &text.change)
    }

    /// Reads a history row's text; none when it is malformed.
    pub fn from_history_row(row: &Row) -> Option<Self> {
        let text: HistoryRow = serde_json::from_str(&row.value).ok()?;
        Self::from_text(text.version, &text.root, &text.change)
    }

    fn from_text(version: Version, root: &str, change: &str) -> Option<Self> {
        let change = ChangeId::from_str_radix(change, 16).ok()?;
        Some(Self { version, root: conf::tree::digest_from_hex(root)?, change })
    }
}

/// Hexadecimal name of a change.
pub fn change_to_hex(change: ChangeId) -> Box<str> {
    format!("{change:032x}").into()
}

/// Key of the history row of a version.
pub fn history_row_key(version: Version) -> Box<str> {
    format!("{}{version:012}", history_prefix(version)).into()
}

/// Prefix of the history rows near a version.
pub fn history_prefix(version: Version) -> String {
    format!("conf/history/{:010}/", version / PAGE)
}
