//! Departures of servers, kept so that they outlive the process that has acknowledged them.
//!
//! A departure binds all later processes of a daemon until nothing of the server can arrive any more. It is kept
//! in a row of its own, which no change of the daemon's membership touches, and the other daemons of the data
//! centre remember it for the time in which the store doesn't answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::{DaemonId, StoreStamp, event};
use serde::{Deserialize, Serialize};
use store::{Check, Commit, Row, StoreError, Table, Write};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::gossip::{self, Gossip};
use crate::node::Node;
use crate::registration::{Departure, MAX_STORED_DEPARTURES, merge_departures};
use crate::store_era;

/// End of the key of a row with departures; the key of the daemon's own row precedes it.
const KEY_SUFFIX: &str = "/departures";
/// Longest time for which the acknowledgement of a departure waits for the store.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for writing the row, so that a connection gone silent is replaced by a new one.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time after its start for which a daemon waits for both the store and another daemon to tell it departures.
/// Afterwards one of them is enough.
const BOTH_SOURCES_WAIT: Duration = Duration::from_millis(600);
/// Time for which departures are remembered for another daemon, and for which a row is kept whose daemon is
/// gone. Heartbeats arrive seconds late at most.
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
    /// Version of the row and the era in which it is valid; version 0 while no row is known.
    stamp: StoreStamp,
    departures: Vec<Departure>,
    /// Whether a row was known until the store was restored.
    is_forgotten: bool,
}

/// Who has told this process the departures that earlier processes acknowledged.
#[derive(Clone, Copy, Debug, Default)]
struct Sources {
    /// The store's row was read.
    store: bool,
    /// Another daemon has told what it remembers, or there is none.
    daemon: bool,
}

/// Departures of another daemon's servers.
#[derive(Debug)]
struct Remembered {
    departures: Vec<Departure>,
    forget_at: Instant,
}

/// A row whose daemon is not known.
#[derive(Debug)]
struct AbandonedRow {
    stamp: StoreStamp,
    delete_at: Instant,
}

/// Where the departures of this daemon's servers are known to be kept, and those of other daemons' servers.
#[derive(Debug, Default)]
pub struct DepartureLog {
    row: RefCell<StoredRow>,
    /// Notified when there may be departures that `row` lacks.
    changed: Notify,
    /// Notified when `row` was replaced.
    row_replaced: Notify,
    sources: watch::Sender<Sources>,
    remembered: RefCell<HashMap<DaemonId, Remembered>>,
    abandoned: RefCell<HashMap<Box<str>, AbandonedRow>>,
}

impl DepartureLog {
    /// Whether the store is known to hold all of `departures` in `era`, the latest one.
    fn is_stored(&self, departures: &[Departure], era: u64) -> bool {
        let row = self.row.borrow();
        let is_in_row = |d: &Departure| row.departures.iter().any(|stored| stored.includes(d));
        departures.is_empty() || (row.stamp.era >= era && departures.iter().all(is_in_row))
    }

    /// Replaces what is known of the row, unless that is of a later era.
    fn replace_row(&self, row: StoredRow) {
        if row.stamp.era >= self.row_era() {
            self.row.replace(row);
            self.row_replaced.notify_waiters();
        }
    }

    /// Forgets the row as it was before `era`, which has begun with a restore of the store.
    fn forget_row_before(&self, era: u64) {
        if self.row_era() < era {
            let is_forgotten = self.row.borrow().stamp.version > 0;
            let stamp = StoreStamp { era, version: 0 };
            self.replace_row(StoredRow { stamp, departures: Vec::new(), is_forgotten });
        }
    }

    /// Era in which the row was last read or written.
    fn row_era(&self) -> u64 {
        self.row.borrow().stamp.era
    }

    /// Remembers departures for the daemon at `of`, in addition to those that are remembered already.
    pub(crate) fn remember(&self, of: DaemonId, departures: Vec<Departure>, now: Instant) {
        let mut remembered = self.remembered.borrow_mut();
        remembered.retain(|_, known| now < known.forget_at);
        let known = remembered
            .entry(of)
            .or_insert_with(|| Remembered { departures: Vec::new(), forget_at: now + KEEP_TIME });
        known.forget_at = now + KEEP_TIME;
        merge_departures(&mut known.departures, departures.into_iter().rev());
    }

    /// Departures that are remembered for the daemon at `of`, latest first.
    pub(crate) fn recall(&self, of: &DaemonId) -> Vec<Departure> {
        let remembered = self.remembered.borrow();
        let departures = remembered.get(of).map(|known| &known.departures);
        departures.into_iter().flatten().rev().take(MAX_STORED_DEPARTURES).cloned().collect()
    }

    /// Records which rows exist, by key and version, whose daemons are not known. A row that changes counts as
    /// a new one, and so does each row after a restore of the store.
    pub(crate) fn set_abandoned_rows(&self, rows: Vec<(Box<str>, StoreStamp)>, now: Instant) {
        let mut abandoned = self.abandoned.borrow_mut();
        let before = std::mem::take(&mut *abandoned);
        for (key, stamp) in rows {
            let known = before.get(&key).filter(|row| row.stamp == stamp);
            let delete_at = known.map_or(now + KEEP_TIME, |row| row.delete_at);
            abandoned.insert(key, AbandonedRow { stamp, delete_at });
        }
    }

    /// Takes the rows that have been abandoned for so long that nothing of their servers can arrive any more. Rows
    /// read before `era`, the latest one, are left out: their versions may have been given to other rows.
    fn take_expired_rows(&self, now: Instant, era: u64) -> Vec<Check> {
        let mut abandoned = self.abandoned.borrow_mut();
        let expired = abandoned.extract_if(|_, row| now >= row.delete_at && row.stamp.era >= era);
        expired.map(|(key, row)| Check { key, version: row.stamp.version }).collect()
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

/// Waits until the store holds the departures of this daemon's servers, so that they can be acknowledged. They are
/// acknowledged after some time even if the store doesn't answer, because the servers leave anyway;
/// [`keep_stored`] then goes on.
pub async fn store_departures(node: &Node) {
    let log = &node.departures;
    let is_stored = || log.is_stored(&node.local_server.departures(), node.store_era.latest());
    if is_stored() {
        return;
    }
    log.changed.notify_one();
    let stored = async {
        loop {
            let row_replaced = log.row_replaced.notified();
            if is_stored() {
                return;
            }
            row_replaced.await;
        }
    };
    if timeout(ACK_TIMEOUT, stored).await.is_err() {
        event!(Warn, StoreDown, "purpose=departure outcome=acknowledged-before-stored");
    }
}

/// Writes departures to the store whenever it lacks some, until the daemon ends. After a restore of the store, the
/// row is written again soon, since the copy may lack it.
pub async fn keep_stored(node: Rc<Node>, gossip: Rc<Gossip>, table: Rc<dyn Table>) {
    loop {
        let departures = node.local_server.departures();
        if node.departures.is_stored(&departures, node.store_era.latest()) {
            wait_for_change_or_restore(&node).await;
            continue;
        }
        gossip::announce_departures(&node, &gossip, &departures);
        let error = match timeout(WRITE_TIMEOUT, write_row(&node, &*table, departures)).await {
            Ok(Ok(())) => continue,
            Ok(Err(e)) => e.to_string(),
            Err(_late) => "no answer in time".to_owned(),
        };
        event!(Warn, StoreDown, "purpose=departure error={error}");
        // A further departure is written at once.
        let _changed = timeout(RETRY_DELAY, node.departures.changed.notified()).await;
    }
}

/// Waits until the store may lack departures: there is a new one, or the store was restored. After a restore, the
/// wait goes on for a random time, unless there is a new departure.
async fn wait_for_change_or_restore(node: &Node) {
    let log = &node.departures;
    tokio::select! {
        () = log.changed.notified() => {}
        () = node.store_era.later_than(log.row_era()) => {
            let delay = store_era::rewrite_delay(&mut rand::rng());
            let _changed = timeout(delay, log.changed.notified()).await;
            log.forget_row_before(node.store_era.latest());
        }
    }
}

/// Writes this daemon's row. If the store holds another version than the known one, which an earlier process or a
/// write whose answer was lost has left, that one is read instead.
async fn write_row(node: &Rc<Node>, table: &dyn Table, departures: Vec<Departure>) -> Result<(), StoreError> {
    let key = row_key(&node.directory_key());
    let row = DepartureRow { departures };
    let text =
        serde_json::to_string(&row).map_err(|e| StoreError::Refused { problem: e.to_string().into() })?;
    node.departures.forget_row_before(node.store_era.latest());
    let known = Check { key: key.clone(), version: node.departures.row.borrow().stamp.version };
    let commit = Commit { checks: vec![known], writes: vec![Write::put(&key, &text)] };
    match table.commit(&commit).await {
        Ok(stamp) => {
            if node.departures.row.borrow().is_forgotten {
                event!(Info, RowRewritten, "purpose=departure stamp={stamp}");
            }
            let row = StoredRow { stamp, departures: row.departures, is_forgotten: false };
            node.departures.replace_row(row);
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
    let stamp = row.map_or(StoreStamp { era: node.store_era.latest(), version: 0 }, Row::stamp);
    let row = StoredRow { stamp, departures: departures.clone(), is_forgotten: false };
    node.departures.replace_row(row);
    restore(node, departures);
}

/// Applies departures that an earlier process of this daemon acknowledged, latest first.
pub(crate) fn restore(node: &Node, departures: Vec<Departure>) {
    if !departures.is_empty() {
        node.local_server.restore_departures(departures);
        node.departures.changed.notify_one();
    }
}

/// Records that the store has told this daemon its departures.
pub(crate) fn on_store_read(node: &Node) {
    let is_alone = node.peers.borrow().peers_in_centre().next().is_none();
    node.departures.sources.send_modify(|sources| {
        sources.store = true;
        sources.daemon |= is_alone;
    });
}

/// Applies the departures that another daemon remembers for this one.
pub(crate) fn on_recalled(node: &Node, departures: Vec<Departure>) {
    restore(node, departures);
    node.departures.sources.send_modify(|sources| sources.daemon = true);
}

/// Lets the server take work once this process knows the departures that earlier ones acknowledged. Until then a
/// late heartbeat of a server that has left can't be told from that of a new one.
pub async fn admit_server_when_known(node: Rc<Node>) {
    let mut sources = node.departures.sources.subscribe();
    let both = sources.wait_for(|sources| sources.store && sources.daemon);
    let is_told_by_both = timeout(BOTH_SOURCES_WAIT, both).await.is_ok();
    if !is_told_by_both {
        // An error would mean that the sender is gone, but `node` holds it.
        let _told = sources.wait_for(|sources| sources.store || sources.daemon).await;
    }
    let Sources { store, daemon } = *sources.borrow();
    event!(Info, DeparturesKnown, "store={store} daemon={daemon}");
    node.local_server.set_departures_known(true);
}

/// Deletes rows whose daemons have been gone for long.
pub(crate) async fn delete_expired_rows(node: &Node, table: &dyn Table) {
    for check in node.departures.take_expired_rows(Instant::now(), node.store_era.latest()) {
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
