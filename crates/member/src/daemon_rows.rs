//! Rows of daemons in the store, by which daemons find each other without being configured as peers.

use base::{DaemonId, Place};
use kernel::LocalDaemon;
use serde::{Deserialize, Serialize};
use store::{Check, Commit, Row, Write};
use wire::member::{MemberInfo, MemberState};

/// Prefix of the keys of daemons' rows.
pub(crate) const PREFIX: &str = "daemons/";

/// Value of a daemon's row, as JSON.
#[derive(Debug, Serialize, Deserialize)]
struct DaemonRow {
    api: DaemonId,
    place: Place,
    incarnation: u64,
}

/// Key of a daemon's row.
pub(crate) fn row_key(id: DaemonId) -> Box<str> {
    format!("{PREFIX}{id}").into()
}

/// Commit that writes this daemon's row, over that of an earlier daemon at the same address if there is one.
pub(crate) fn register_commit(me: &LocalDaemon) -> Commit {
    let row = DaemonRow { api: me.api, place: me.place.clone(), incarnation: me.incarnation };
    let value = serde_json::to_string(&row).unwrap_or_default();
    Commit { checks: Vec::new(), writes: vec![Write::put(&row_key(me.id), &value)] }
}

/// Commit that deletes a daemon's row unless it has been written since `version`.
pub(crate) fn delete_commit(id: DaemonId, version: u64) -> Commit {
    let key = row_key(id);
    let checks = vec![Check { key: key.clone(), version }];
    Commit { checks, writes: vec![Write::delete(&key)] }
}

/// Parses a row; `None` if it is not a daemon's row or is malformed.
pub(crate) fn parse_row(key: &str, row: &Row) -> Option<MemberInfo> {
    let id = key.strip_prefix(PREFIX)?.parse().ok()?;
    let row: DaemonRow = serde_json::from_str(&row.value).ok()?;
    // A row shows that the daemon once ran; only its heartbeats show that it still does.
    let state = MemberState::Dead;
    Some(MemberInfo { id, api: row.api, place: row.place, incarnation: row.incarnation, state })
}
