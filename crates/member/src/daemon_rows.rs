//! The daemons' rows in the table, by which daemons that never met find each other.

use base::{DaemonId, Place};
use kernel::LocalDaemon;
use serde::{Deserialize, Serialize};
use store::{Check, Commit, Row, Write};
use wire::member::{MemberInfo, MemberState};

/// Prefix of the rows.
pub(crate) const PREFIX: &str = "daemons/";

/// Content of a daemon's row.
#[derive(Debug, Serialize, Deserialize)]
struct DaemonRow {
    api: DaemonId,
    place: Place,
    incarnation: u64,
}

/// Key of a daemon's row.
pub(crate) fn key(id: DaemonId) -> Box<str> {
    format!("{PREFIX}{id}").into()
}

/// Writes this daemon's row over whatever a predecessor on the address left.
pub(crate) fn register(me: &LocalDaemon) -> Commit {
    let row = DaemonRow { api: me.api, place: me.place.clone(), incarnation: me.incarnation };
    let value = serde_json::to_string(&row).unwrap_or_default();
    Commit { checks: Vec::new(), writes: vec![Write::put(&key(me.id), &value)] }
}

/// Deletes a row unless it was written anew meanwhile.
pub(crate) fn delete(id: DaemonId, version: u64) -> Commit {
    let key = key(id);
    let checks = vec![Check { key: key.clone(), version }];
    Commit { checks, writes: vec![Write::delete(&key)] }
}

/// Reads a row; none when it is not a daemon's or not readable.
pub(crate) fn parse(key: &str, row: &Row) -> Option<MemberInfo> {
    let id = key.strip_prefix(PREFIX)?.parse().ok()?;
    let row: DaemonRow = serde_json::from_str(&row.value).ok()?;
    // A row proves that the daemon once was, not that it still is.
    let state = MemberState::Dead;
    Some(MemberInfo { id, api: row.api, place: row.place, incarnation: row.incarnation, state })
}
