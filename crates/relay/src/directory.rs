//! Directory of the daemons, kept as one row per daemon in the store.
//!
//! Daemons find each other by these rows. The rows with [`departures`] of servers lie between them.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use base::{DaemonId, StoreStamp, event};
use derive_more::{Display, Error, From};
use rand::Rng;
use serde::{Deserialize, Serialize};
use store::{Check, Commit, Row, StoreError, Table, Write};
use tokio::time::{sleep, timeout};

use crate::datagram::{Incarnation, PeerInfo, RemovedPeer};
use crate::departures;
use crate::gossip::{self, Gossip};
use crate::node::Node;
use crate::registration::Departure;
use crate::store_era;

/// Prefix of the rows' keys; the daemon's address follows.
const KEY_PREFIX: &str = "daemon/";
/// Time between writing this daemon's row and reading the directory, so that a single read finds most
/// daemons that start together.
const READ_DELAY_AFTER_WRITE: Duration = Duration::from_millis(600);
/// Delay after the first failed call of the store. Doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
/// Longest delay after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Interval at which the lowest-ranked daemons of a data centre read the directory again, to find daemons
/// whose introduction was lost.
const REREAD_INTERVAL: Duration = Duration::from_secs(30);
/// Interval at which all other daemons read the directory again. The lowest-ranked daemons tell them which
/// daemons they have found.
const RARE_REREAD_INTERVAL: Duration = Duration::from_secs(150);
/// Number of lowest-ranked daemons of a data centre, which read at [`REREAD_INTERVAL`].
const FREQUENT_READERS: usize = 2;
/// Interval at which silent daemons are looked for and removed.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(2);
/// Number of times that this daemon introduces itself to daemons it has found, since datagrams may be lost.
const INTRODUCTION_ROUNDS: u32 = 3;
/// Delay between rounds of introductions.
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(150);

/// How far the start of a daemon may lie in the future, by this instance's wall clock. Wall clocks of instances
/// differ by seconds; a row with a later start would hide all processes to come on its address.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_hours(1);

/// Why a row of the directory describes no daemon.
#[derive(Debug, Display, Error, From)]
enum RowError {
    /// The row is not JSON of the expected form.
    #[display("it can't be decoded: {_0}; delete the row")]
    Decode(serde_json::Error),
    /// The row is kept under the key of another address.
    #[display("it names {_0}; delete the row")]
    #[from(ignore)]
    OtherAddress(#[error(not(source))] DaemonId),
    /// No daemon can listen on the address.
    #[display("no daemon can have the address {_0}; delete the row")]
    #[from(ignore)]
    InvalidAddress(#[error(not(source))] DaemonId),
    /// The daemon would have started in the future.
    #[display(
        "its daemon starts at {_0} ms of Unix time, in the future; correct the clock or delete the row"
    )]
    #[from(ignore)]
    FutureStart(#[error(not(source))] Incarnation),
}

/// Content of a daemon's row.
#[derive(Debug, Serialize, Deserialize)]
struct DirectoryRow {
    #[serde(flatten)]
    peer_info: PeerInfo,
    /// Departures that a daemon of an earlier version has acknowledged, which had no other row for them.
    #[serde(default, skip_serializing)]
    departures: Vec<Departure>,
}

/// Key of the row of the daemon at `addr`.
pub(crate) fn row_key(addr: &DaemonId) -> Box<str> {
    format!("{KEY_PREFIX}{addr}").into()
}

/// Reads the directory, adds this daemon's row if it is missing, and reads again at regular intervals. After a
/// restore of the store, the row is written again soon if the copy lacked it.
///
/// A daemon that restarts on its address finds its row and needs one call only. A new daemon reads again
/// after it has written its row: of two daemons that start together, at least one finds the other.
pub async fn maintain_directory(node: Rc<Node>, gossip: Rc<Gossip>, table: Rc<dyn Table>) {
    // At the first start of a fleet the directory is empty.
    let found = if node.identity.is_first_start {
        DirectoryScan::default()
    } else {
        read_with_retry(&node, &gossip, &*table).await
    };
    let mut own_row = found.own_row;
    if !found.has_own_row {
        own_row = write_with_retry(&node, &*table, found.own_row.version).await;
        wait_or_rewrite(&node, &*table, &mut own_row, READ_DELAY_AFTER_WRITE).await;
        read_with_retry(&node, &gossip, &*table).await;
    }
    loop {
        let is_reader = node.peers.borrow().rank_in_centre(Instant::now()) < FREQUENT_READERS;
        let interval = if is_reader { REREAD_INTERVAL } else { RARE_REREAD_INTERVAL };
        let reread_delay = interval.mul_f64(rand::rng().random_range(0.8..1.2));
        if wait_or_rewrite(&node, &*table, &mut own_row, reread_delay).await {
            continue;
        }
        let found = read_with_retry(&node, &gossip, &*table).await;
        gossip::forward_peer_info(&node, &gossip, &found.new_peers);
        if node.peers.borrow().rank_in_centre(Instant::now()) == 0 {
            departures::delete_expired_rows(&node, &*table).await;
        }
        if found.has_own_row {
            own_row = found.own_row;
            continue;
        }
        match write_own_row(&node, &*table, found.own_row.version).await {
            Ok(written) => own_row = written,
            Err(e) => event!(Warn, StoreDown, "purpose=directory error={e}"),
        }
    }
}

/// Writes this daemon's row in place of the version `replaced`, with increasing delays until that succeeds.
async fn write_with_retry(node: &Node, table: &dyn Table, mut replaced: u64) -> StoreStamp {
    let mut backoff = Backoff::default();
    loop {
        match write_own_row(node, table, replaced).await {
            Ok(written) => return written,
            Err(e) => {
                event!(Warn, StoreDown, "purpose=directory error={e}");
                match e {
                    // A write whose answer was lost has taken effect, or an earlier process has left its row.
                    StoreError::Conflict { present, .. } => replaced = present,
                    _ => backoff.wait().await,
                }
            }
        }
    }
}

/// Waits for `delay`. If the store is restored meanwhile, brings back this daemon's row instead and returns true.
async fn wait_or_rewrite(node: &Node, table: &dyn Table, own_row: &mut StoreStamp, delay: Duration) -> bool {
    if timeout(delay, node.store_era.later_than(own_row.era)).await.is_err() {
        return false;
    }
    sleep(store_era::rewrite_delay(&mut rand::rng())).await;
    if node.is_stopping() {
        // The daemon may already have left the directory, and its next process writes its row.
        own_row.era = node.store_era.latest();
    } else {
        *own_row = rewrite_own_row(node, table).await;
    }
    true
}

/// Writes this daemon's row again if the restored store lacks it, with increasing delays until the store answers.
/// A copy holds most rows, so reading first costs one call for most daemons.
async fn rewrite_own_row(node: &Node, table: &dyn Table) -> StoreStamp {
    let key = node.directory_key();
    let mut backoff = Backoff::default();
    let present = loop {
        match table.get(&key).await {
            Ok(present) => break present,
            Err(e) => {
                event!(Warn, StoreDown, "purpose=directory error={e}");
                backoff.wait().await;
            }
        }
    };
    let present = present.as_ref();
    let decoded = present.and_then(|row| decode_row(&key, &row.value, latest_start()).ok().zip(Some(row)));
    if let Some((DirectoryRow { peer_info, .. }, row)) = decoded
        && describes_own_place(node, &peer_info)
    {
        return row.stamp();
    }
    let written = write_with_retry(node, table, present.map_or(0, |row| row.version)).await;
    event!(Info, RowRewritten, "purpose=directory stamp={written}");
    written
}

/// Removes daemons of this data centre that have been silent for too long. Only the daemon of rank 0 does so.
pub async fn remove_expired_peers(node: Rc<Node>, gossip: Rc<Gossip>, table: Rc<dyn Table>) {
    loop {
        sleep(REMOVAL_INTERVAL).await;
        let now = Instant::now();
        let (rank, expired) = {
            let peers = node.peers.borrow();
            (peers.rank_in_centre(now), peers.expired_peers(now))
        };
        if rank > 0 || node.proof_age().is_none_or(|age| age > REMOVAL_INTERVAL) {
            // Either another daemon has rank 0, or this one has an old proof and may itself be partitioned
            // from the store and its peers.
            continue;
        }
        for peer in expired {
            remove_daemon(&node, &gossip, &*table, peer).await;
        }
    }
}

/// Removes a daemon from the directory and announces the removal to all data centres.
pub async fn remove_daemon(node: &Rc<Node>, gossip: &Gossip, table: &dyn Table, removed: RemovedPeer) {
    let RemovedPeer { addr, incarnation, .. } = removed;
    event!(Info, MemberDown, "daemon={addr} incarnation={incarnation} outcome=removed");
    node.peers.borrow_mut().remove_peer(removed);
    node.update_rate_shares();
    gossip::announce_removal(node, gossip, removed);
    if let Err(e) = delete_row(node, table, removed).await {
        // The row stays. Daemons that read it later add the removed one to their tables again, and it is
        // removed once more after another period of silence.
        event!(Warn, StoreDown, "purpose=directory daemon={addr} error={e}");
    }
}

/// Deletes the row of a removed daemon, unless a later process has written it. A deletion that the store carries out
/// late must not delete the row of a process that has started meanwhile, and a version of an earlier era may name
/// such a row.
async fn delete_row(node: &Node, table: &dyn Table, removed: RemovedPeer) -> Result<(), StoreError> {
    let key = row_key(&removed.addr);
    let Some(row) = table.get(&key).await? else {
        return Ok(());
    };
    let decoded = serde_json::from_str::<DirectoryRow>(&row.value);
    let is_later = decoded.is_ok_and(|found| found.peer_info.incarnation > removed.incarnation);
    if is_later || row.era < node.store_era.latest() {
        return Ok(());
    }
    let present = Check { key: key.clone(), version: row.version };
    let commit = Commit { checks: vec![present], writes: vec![Write::delete(&key)] };
    table.commit(&commit).await.map(|_stamp| ())
}

/// Reads the directory, with increasing delays until that succeeds, and then introduces this daemon to those
/// that were not known.
async fn read_with_retry(node: &Rc<Node>, gossip: &Rc<Gossip>, table: &dyn Table) -> DirectoryScan {
    let mut backoff = Backoff::default();
    loop {
        match read_rows(node, table).await {
            Ok(found) => {
                if !found.new_peers.is_empty() {
                    let (node, gossip) = (Rc::clone(node), Rc::clone(gossip));
                    tokio::task::spawn_local(async move { introduce_self(&node, &gossip).await });
                }
                return found;
            }
            Err(e) => {
                log::debug!("directory can't be read from the store: {e}");
                backoff.wait().await;
            }
        }
    }
}

/// Delay before the next call of the store, which grows with each failure.
struct Backoff(Duration);

impl Default for Backoff {
    fn default() -> Self {
        Self(MIN_BACKOFF)
    }
}

impl Backoff {
    async fn wait(&mut self) {
        sleep(self.0).await;
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
    }
}

/// Result of reading the directory.
#[derive(Default)]
struct DirectoryScan {
    /// Daemons that were not known before.
    new_peers: Vec<PeerInfo>,
    /// Whether this daemon's row exists and names its present place and service.
    has_own_row: bool,
    /// Version of this daemon's row and the era of the answer; version 0 if the row doesn't exist.
    own_row: StoreStamp,
}

async fn introduce_self(node: &Node, gossip: &Gossip) {
    for round in 0..INTRODUCTION_ROUNDS {
        gossip::send_introductions(node, gossip, round == 0);
        sleep(INTRODUCTION_INTERVAL).await;
    }
}

/// Writes this daemon's row in place of the version `replaced`, which an earlier process may have left.
async fn write_own_row(node: &Node, table: &dyn Table, replaced: u64) -> Result<StoreStamp, StoreError> {
    let row = DirectoryRow { peer_info: node.peer_info(), departures: Vec::new() };
    let text =
        serde_json::to_string(&row).map_err(|e| StoreError::Refused { problem: e.to_string().into() })?;
    let key = node.directory_key();
    let present = Check { key: key.clone(), version: replaced };
    let commit = Commit { checks: vec![present], writes: vec![Write::put(&key, &text)] };
    table.commit(&commit).await
}

/// Whether the row names the present place and service of this daemon.
fn describes_own_place(node: &Node, row: &PeerInfo) -> bool {
    let own = node.peer_info();
    row.place == own.place && row.service == own.service
}

/// Reads all rows and adds their daemons to the table of peers. The first read also restores departures from
/// this daemon's own row.
async fn read_rows(node: &Node, table: &dyn Table) -> Result<DirectoryScan, StoreError> {
    let rows = table.range(KEY_PREFIX).await?.into_iter();
    let (departure_rows, rows): (Vec<_>, Vec<_>) =
        rows.partition(|(key, _)| departures::daemon_key(key).is_some());
    let now = Instant::now();
    let latest_start = latest_start();
    let own = node.peer_info();
    let mut found = DirectoryScan::default();
    for (key, row) in rows {
        match decode_row(&key, &row.value, latest_start) {
            Ok(DirectoryRow { peer_info, departures }) if peer_info.addr == own.addr => {
                node.supersede(peer_info.incarnation);
                found.own_row = row.stamp();
                found.has_own_row = describes_own_place(node, &peer_info);
                departures::restore(node, departures);
            }
            Ok(DirectoryRow { peer_info, .. }) => {
                if node.peers.borrow_mut().add_peer(peer_info.clone(), now) {
                    found.new_peers.push(peer_info);
                }
            }
            Err(e) => event!(Warn, RowRefused, "key={key:?} error={e}"),
        }
    }
    read_departures(node, &departure_rows, now);
    node.has_read_directory.set(true);
    node.update_rate_shares();
    let members = node.peers.borrow().member_count();
    event!(Info, MemberUp, "source=store new={} members={members}", found.new_peers.len());
    node.refresh_wanted.notify_one();
    Ok(found)
}

/// Restores the departures in this daemon's row, and finds rows whose daemons are gone.
fn read_departures(node: &Node, rows: &[(Box<str>, Row)], now: Instant) {
    let own_key = node.directory_key();
    let is_own = |key: &str| departures::daemon_key(key) == Some(&own_key);
    if let Some((key, row)) = rows.iter().find(|(key, _)| is_own(key)) {
        departures::restore_row(node, key, Some(row));
    }
    departures::on_store_read(node);
    let members: HashSet<Box<str>> = node.peers.borrow().all_peers().map(|p| row_key(&p.addr)).collect();
    let is_abandoned =
        |key: &str| !is_own(key) && departures::daemon_key(key).is_none_or(|d| !members.contains(d));
    let abandoned = rows.iter().filter(|(key, _)| is_abandoned(key));
    node.departures.set_abandoned_rows(abandoned.map(|(key, row)| (key.clone(), row.stamp())).collect(), now);
}

/// Latest start that a process can have by this instance's clock.
pub fn latest_start() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (since_epoch + MAX_CLOCK_DIFFERENCE).as_millis() as Incarnation
}

/// Decodes the row under `key`. The daemon that it describes must not have started after `latest_start`.
fn decode_row(key: &str, value: &str, latest_start: Incarnation) -> Result<DirectoryRow, RowError> {
    let row: DirectoryRow = serde_json::from_str(value)?;
    let PeerInfo { addr, incarnation, .. } = row.peer_info;
    if *key != *row_key(&addr) {
        return Err(RowError::OtherAddress(addr));
    }
    if addr.port() == 0 || addr.ip().is_unspecified() || addr.ip().is_multicast() {
        return Err(RowError::InvalidAddress(addr));
    }
    if incarnation > latest_start {
        return Err(RowError::FutureStart(incarnation));
    }
    Ok(row)
}
