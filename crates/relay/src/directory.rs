//! Rows of the store by which daemons find each other, and in which the departure of a server outlives its daemon.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::event;
use rand::Rng;
use serde::{Deserialize, Serialize};
use store::{Commit, StoreError, Table, Write};
use tokio::time::{sleep, timeout};

use crate::gossip::{self, Gossip};
use crate::node::Node;
use crate::peers::{PeerInfo, RemovedPeer};
use crate::registration::Departure;

/// Start of the keys of daemons' rows.
const KEY_PREFIX: &str = "daemon/";
/// Time after the own row was written before the others' are read, so that one reading finds most of them.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// Pause after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
/// Longest such pause.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Interval at which the first daemons of a data centre read the rows again, for those whose introduction was lost.
const REREAD_INTERVAL: Duration = Duration::from_secs(30);
/// Interval at which the others do; they are told what the first ones find.
const RARE_REREAD_INTERVAL: Duration = Duration::from_secs(150);
/// How many of a data centre read at the shorter interval.
const FREQUENT_READERS: usize = 2;
/// Interval at which silent daemons are looked for.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(2);
/// Attempts to introduce this daemon to those that were read.
const INTRODUCTIONS: u32 = 3;
/// Pause between them.
const INTRODUCTION_PAUSE: Duration = Duration::from_millis(150);

/// Longest time for which the acknowledgement of a departure waits for the store.
const DEPARTURE_TIMEOUT: Duration = Duration::from_millis(400);

/// Content of a daemon's row.
#[derive(Debug, Serialize, Deserialize)]
struct DirectoryRow {
    #[serde(flatten)]
    peer_info: PeerInfo,
    /// Departures that the daemon acknowledged.
    #[serde(default)]
    departures: Vec<Departure>,
}

/// Stores the departures that this daemon has taken in and not stored yet, before they are acknowledged. If the store
/// does not answer, they are acknowledged all the same: the server leaves anyway.
pub async fn store_departures(node: &Node) {
    let departures = node.local_server.departures();
    let Some(table) = node.table.borrow().clone() else { return };
    if departures == *node.stored_departures.borrow() {
        return;
    }
    match timeout(DEPARTURE_TIMEOUT, write_own_row(node, &*table)).await {
        Ok(Ok(())) => {
            node.stored_departures.replace(departures);
        }
        Ok(Err(e)) => event!(Warn, StoreDown, "purpose=departure error={e}"),
        Err(_late) => event!(Warn, StoreDown, "purpose=departure outcome=timeout"),
    }
}

/// Reads the rows of the other daemons, writes the own one if it is missing, and keeps reading.
///
/// A daemon that starts again on its address finds its row and is done with one call. One that is new reads again
/// after it has written: of two that start together, at least one finds the other.
pub async fn maintain_directory(node: Rc<Node>, gossip: Rc<Gossip>, table: Rc<dyn Table>) {
    // At the first start of a fleet there is nothing to find.
    let is_listed = !node.identity.is_first_start && read_with_retry(&node, &gossip, &*table).await.has_own;
    if !is_listed {
        let mut backoff = Backoff::default();
        while let Err(e) = write_own_row(&node, &*table).await {
            event!(Warn, StoreDown, "purpose=directory error={e}");
            backoff.wait().await;
        }
        sleep(SETTLE_TIME).await;
        read_with_retry(&node, &gossip, &*table).await;
    }
    loop {
        let is_reader = node.peers.borrow().rank_in_centre(Instant::now()) < FREQUENT_READERS;
        let interval = if is_reader { REREAD_INTERVAL } else { RARE_REREAD_INTERVAL };
        sleep(interval.mul_f64(rand::rng().random_range(0.8..1.2))).await;
        let found = read_with_retry(&node, &gossip, &*table).await;
        gossip::forward_peer_info(&node, &gossip, &found.new);
        if !found.has_own
            && let Err(e) = write_own_row(&node, &*table).await
        {
            event!(Warn, StoreDown, "purpose=directory error={e}");
        }
    }
}

/// Removes daemons of the data centre that have been silent for long. The first of those that are left does so.
pub async fn remove_expired(node: Rc<Node>, gossip: Rc<Gossip>, table: Rc<dyn Table>) {
    loop {
        sleep(REMOVAL_INTERVAL).await;
        let now = Instant::now();
        let (rank, expired) = {
            let peers = node.peers.borrow();
            (peers.rank_in_centre(now), peers.expired_peers(now))
        };
        if rank > 0 || node.proof_age().is_none_or(|age| age > REMOVAL_INTERVAL) {
            // Someone else's turn, or this daemon may be the one that is cut off.
            continue;
        }
        for each in expired {
            remove_daemon(&node, &gossip, &*table, each).await;
        }
    }
}

/// Takes a daemon out of the directory and tells the others.
pub async fn remove_daemon(node: &Rc<Node>, gossip: &Gossip, table: &dyn Table, expired: RemovedPeer) {
    let RemovedPeer { addr, incarnation, .. } = expired;
    event!(Info, MemberDown, "daemon={addr} incarnation={incarnation} outcome=removed");
    node.peers.borrow_mut().remove_peer(expired);
    node.update_rate_split();
    gossip::announce_removal(node, gossip, expired);
    let commit = Commit { checks: Vec::new(), writes: vec![Write::delete(&format!("{KEY_PREFIX}{addr}"))] };
    if let Err(e) = table.commit(&commit).await {
        // The row stays; whoever reads it tries again once the daemon has been silent for long.
        event!(Warn, StoreDown, "purpose=directory daemon={addr} error={e}");
    }
}

/// Reads the rows until that succeeds.
async fn read_with_retry(node: &Rc<Node>, gossip: &Rc<Gossip>, table: &dyn Table) -> DirectoryScan {
    let mut backoff = Backoff::default();
    loop {
        match read_rows(node, table).await {
            Ok(found) => {
                if !found.new.is_empty() {
                    let (node, gossip) = (Rc::clone(node), Rc::clone(gossip));
                    tokio::task::spawn_local(async move { introduce_self(&node, &gossip).await });
                }
                return found;
            }
            Err(e) => {
                log::debug!("directory not read: {e}");
                backoff.wait().await;
            }
        }
    }
}

/// Growing pause between calls that fail.
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

/// What a reading of the rows showed.
struct DirectoryScan {
    /// Daemons that were not known.
    new: Vec<PeerInfo>,
    /// Whether this daemon's own row is there and still right.
    has_own: bool,
}

async fn introduce_self(node: &Node, gossip: &Gossip) {
    for round in 0..INTRODUCTIONS {
        gossip::send_introductions(node, gossip, round == 0);
        sleep(INTRODUCTION_PAUSE).await;
    }
}

/// The row is put without a condition: a successor on the same address replaces its predecessor's.
async fn write_own_row(node: &Node, table: &dyn Table) -> Result<(), StoreError> {
    let row = DirectoryRow { peer_info: node.peer_info(), departures: node.local_server.departures() };
    let text =
        serde_json::to_string(&row).map_err(|e| StoreError::Refused { problem: e.to_string().into() })?;
    let commit = Commit {
        checks: Vec::new(),
        writes: vec![Write::put(&format!("{KEY_PREFIX}{}", node.identity.addr), &text)],
    };
    table.commit(&commit).await.map(|_version| ())
}

/// Takes in the rows.
async fn read_rows(node: &Node, table: &dyn Table) -> Result<DirectoryScan, StoreError> {
    let rows = table.range(KEY_PREFIX).await?;
    let now = Instant::now();
    let own = node.peer_info();
    let mut found = DirectoryScan { new: Vec::new(), has_own: false };
    for (key, row) in rows {
        match serde_json::from_str::<DirectoryRow>(&row.value) {
            Ok(DirectoryRow { peer_info, departures }) if peer_info.addr == own.addr => {
                found.has_own = peer_info.place == own.place && peer_info.service == own.service;
                if !node.has_read_directory.get() {
                    node.stored_departures.replace(departures.clone());
                    node.local_server.restore_departures(departures);
                }
            }
            Ok(DirectoryRow { peer_info, .. }) => {
                if node.peers.borrow_mut().add_peer(peer_info.clone(), now) {
                    found.new.push(peer_info);
                }
            }
            Err(e) => log::warn!("row {key} is no daemon: {e}"),
        }
    }
    node.has_read_directory.set(true);
    node.update_rate_split();
    let members = node.peers.borrow().member_count();
    event!(Info, MemberUp, "source=store new={} members={members}", found.new.len());
    node.refresh_wanted.notify_one();
    Ok(found)
}
