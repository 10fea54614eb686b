//! Departures of servers, kept so that they outlive the process that has acknowledged them.
//!
//! A departure binds all later processes of a daemon until nothing of the server can arrive any more. It is kept
//! in a row of its own, which no change of the daemon's membership touches.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use base::event;
use serde::{Deserialize, Serialize};
use store::{Check, Commit, Row, StoreError, Table, Write};
use tokio::time::timeout;

use crate::node::Node;
use crate::registration::Departure;

/// End of the key of a row with departures; the key of the daemon's own row precedes it.
const KEY_SUFFIX: &str = "/departures";
/// Longest time for which the acknowledgement of a departure waits for the store.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a row is kept whose daemon is gone. Heartbeats arrive seconds late at most.
const KEEP_TIME: Duration = Duration::from_mins(10);

/// Content of a row with departures.
#[derive(Debug, Default, Serialize, Deserialize)]
struct DepartureRow {
    /// Departures that the daemon has acknowledged, latest first.
    departures: Vec<Departure>,
}

/// This daemon's row as the store is known to hold it.
#[derive(Debug, Default)]
struct StoredRow {
    /// Version of the row; 0 while no row is known.
    version: u64,
    departures: Vec<Departure>,
}

/// A row whose daemon is not known.
#[derive(Debug)]
struct AbandonedRow {
    version: u64,
    delete_at: Instant,
}

/// Where the departures of this daemon's servers are known to be kept.
#[derive(Debug, Default)]
pub struct DepartureLog {
    row: RefCell<StoredRow>,
    abandoned: RefCell<HashMap<Box<str>, AbandonedRow>>,
}

impl DepartureLog {
    /// Whether the store is known to hold all of `departures`.
    fn is_stored(&self, departures: &[Departure]) -> bool {
        let row = self.row.borrow();
        departures.iter().all(|d| row.departures.iter().any(|stored| stored.includes(d)))
    }

    fn replace_row(&self, row: StoredRow) {
        self.row.replace(row);
    }

    /// Records which rows exist, by key and version, whose daemons are not known. A row that changes counts as
    /// a new one.
    pub(crate) fn set_abandoned_rows(&self, rows: Vec<(Box<str>, u64)>, now: Instant) {
        let mut abandoned = self.abandoned.borrow_mut();
        let before = std::mem::take(&mut *abandoned);
        for (key, version) in rows {
            let known = before.get(&key).filter(|row| row.version == version);
            let delete_at = known.map_or(now + KEEP_TIME, |row| row.delete_at);
            abandoned.insert(key, AbandonedRow { version, delete_at });
        }
    }

    /// Takes the rows that have been abandoned for so long that nothing of their servers can arrive any more.
    fn take_expired_rows(&self, now: Instant) -> Vec<Check> {
        let expired =
            self.abandoned.borrow_mut().extract_if(|_, row| now >= row.delete_at).collect::<Vec<_>>();
        expired.into_iter().map(|(key, row)| Check { key, version: row.version }).collect()
    }
}

/// Key of the row with departures of the daemon whose own row has the key `daemon_key`.
fn row_key(daemon_key: &str) -> Box<str> {
    format!("{daemon_key}{KEY_SUFFIX}").into()
}

/// Key of the daemon's own row, if `key` is that of its row with departures.
pub(crate) fn daemon_key(key: &str) -> Option<&str> {
    key.strip_suffix(KEY_SUFFIX)
}

/// Writes departures that this daemon has not stored yet, before they are acknowledged to the server. The
/// caller acknowledges a departure even if the store doesn't answer, because the server leaves anyway.
pub async fn store_departures(node: &Node) {
    let departures = node.local_server.departures();
    let Some(table) = node.table.borrow().clone() else { return };
    if node.departures.is_stored(&departures) {
        return;
    }
    match timeout(ACK_TIMEOUT, write_row(node, &*table, departures)).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => event!(Warn, StoreDown, "purpose=departure error={e}"),
        Err(_late) => event!(Warn, StoreDown, "purpose=departure outcome=timeout"),
    }
}

/// Writes this daemon's row. If the store holds another version than the known one, which an earlier process or a
/// write whose answer was lost has left, that one is read instead.
async fn write_row(node: &Node, table: &dyn Table, departures: Vec<Departure>) -> Result<(), StoreError> {
    let key = row_key(&node.directory_key());
    let row = DepartureRow { departures };
    let text =
        serde_json::to_string(&row).map_err(|e| StoreError::Refused { problem: e.to_string().into() })?;
    let known = Check { key: key.clone(), version: node.departures.row.borrow().version };
    let commit = Commit { checks: vec![known], writes: vec![Write::put(&key, &text)] };
    match table.commit(&commit).await {
        Ok(version) => {
            node.departures.replace_row(StoredRow { version, departures: row.departures });
            Ok(())
        }
        Err(StoreError::Conflict { .. }) => {
            let row = table.get(&key).await?;
            restore_row(node, &key, row.as_ref());
            Ok(())
        }
        Err(e) => Err(e),
    }
}

/// Applies this daemon's row as it was read from the store; `None` if there is none.
pub(crate) fn restore_row(node: &Node, key: &str, row: Option<&Row>) {
    let decoded = row.map(|row| serde_json::from_str::<DepartureRow>(&row.value)).transpose();
    let departures = decoded.unwrap_or_else(|e| {
        event!(Warn, RowRefused, "key={key:?} error={e}");
        None
    });
    let departures = departures.unwrap_or_default().departures;
    let version = row.map_or(0, |row| row.version);
    if version >= node.departures.row.borrow().version {
        node.departures.replace_row(StoredRow { version, departures: departures.clone() });
    }
    restore(node, departures);
}

/// Applies departures that an earlier process of this daemon acknowledged, latest first.
pub(crate) fn restore(node: &Node, departures: Vec<Departure>) {
    if !departures.is_empty() {
        node.local_server.restore_departures(departures);
    }
}

/// Deletes rows whose daemons have been gone for long.
pub(crate) async fn delete_expired_rows(node: &Node, table: &dyn Table) {
    for check in node.departures.take_expired_rows(Instant::now()) {
        let key = check.key.clone();
        let commit = Commit { checks: vec![check], writes: vec![Write::delete(&key)] };
        if let Err(e) = table.commit(&commit).await {
            // The next read of the directory finds the row again.
            event!(Warn, StoreDown, "purpose=departure key={key:?} error={e}");
        }
    }
}

#[cfg(test)]
#[path = "departures_tests.rs"]
mod departures_tests;
