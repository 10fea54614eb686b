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
use crate::peers::{Gone, Listed};
use crate::registration::Departure;

/// Start of the keys of daemons' rows.
const PREFIX: &str = "daemon/";
/// Time after the own row was written before the others' are read, so that one reading finds most of them.
const SETTLE: Duration = Duration::from_millis(600);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Longest such pause.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(2);
/// Interval at which the first daemons of a data centre read the rows again, for those whose introduction was lost.
const REREAD_INTERVAL: Duration = Duration::from_secs(30);
/// Interval at which the others do; they are told what the first ones find.
const SPARE_REREAD_INTERVAL: Duration = Duration::from_secs(150);
/// How many of a data centre read at the shorter interval.
const REREADERS: usize = 2;
/// Interval at which silent daemons are looked for.
const GONE_INTERVAL: Duration = Duration::from_secs(2);
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
    listed: Listed,
    /// Departures that the daemon acknowledged.
    #[serde(default)]
    departures: Vec<Departure>,
}

/// Stores the departures that this daemon has taken in and not stored yet, before they are acknowledged. If the store
/// does not answer, they are acknowledged all the same: the server leaves anyway.
pub async fn store_departures(node: &Node) {
    let departures = node.local_server.departures();
    let Some(table) = node.table.borrow().clone() else { return };
    if departures == *node.kept_departures.borrow() {
        return;
    }
    match timeout(DEPARTURE_TIMEOUT, write_own(node, &*table)).await {
        Ok(Ok(())) => {
            node.kept_departures.replace(departures);
        }
        Ok(Err(e)) => event!(Warn, StoreDown, "purpose=departure error={e}"),
        Err(_late) => event!(Warn, StoreDown, "purpose=departure outcome=timeout"),
    }
}

/// Reads the rows of the other daemons, writes the own one if it is missing, and keeps reading.
///
/// A daemon that starts again on its address finds its row and is done with one call. One that is new reads again
/// after it has written: of two that start together, at least one finds the other.
pub async fn keep(node: Rc<Node>, gossip: Rc<Gossip>, table: Rc<dyn Table>) {
    // At the first start of a fleet there is nothing to find.
    let is_listed = !node.identity.is_first_start && persist(&node, &gossip, &*table).await.has_own;
    if !is_listed {
        let mut pause = Pause::default();
        while let Err(e) = write_own(&node, &*table).await {
            event!(Warn, StoreDown, "purpose=directory error={e}");
            pause.wait().await;
        }
        sleep(SETTLE).await;
        persist(&node, &gossip, &*table).await;
    }
    loop {
        let is_reader = node.peers.borrow().rank_in_centre(Instant::now()) < REREADERS;
        let interval = if is_reader { REREAD_INTERVAL } else { SPARE_REREAD_INTERVAL };
        sleep(interval.mul_f64(rand::rng().random_range(0.8..1.2))).await;
        let found = persist(&node, &gossip, &*table).await;
        gossip::spread_listed(&node, &gossip, &found.new);
        if !found.has_own
            && let Err(e) = write_own(&node, &*table).await
        {
            event!(Warn, StoreDown, "purpose=directory error={e}");
        }
    }
}

/// Removes daemons of the data centre that have been silent for long. The first of those that are left does so.
pub async fn remove_gone(node: Rc<Node>, gossip: Rc<Gossip>, table: Rc<dyn Table>) {
    loop {
        sleep(GONE_INTERVAL).await;
        let now = Instant::now();
        let (rank, gone) = {
            let peers = node.peers.borrow();
            (peers.rank_in_centre(now), peers.silent_for_good(now))
        };
        if rank > 0 || node.proof_age().is_none_or(|age| age > GONE_INTERVAL) {
            // Someone else's turn, or this daemon may be the one that is cut off.
            continue;
        }
        for each in gone {
            remove(&node, &gossip, &*table, each).await;
        }
    }
}

/// Takes a daemon out of the directory and tells the others.
pub async fn remove(node: &Rc<Node>, gossip: &Gossip, table: &dyn Table, gone: Gone) {
    let Gone { addr, incarnation, .. } = gone;
    event!(Info, MemberDown, "daemon={addr} incarnation={incarnation} outcome=removed");
    node.peers.borrow_mut().note_gone(gone);
    node.count_members();
    gossip::announce_gone(node, gossip, gone);
    let commit = Commit { checks: Vec::new(), writes: vec![Write::delete(&format!("{PREFIX}{addr}"))] };
    if let Err(e) = table.commit(&commit).await {
        // The row stays; whoever reads it tries again once the daemon has been silent for long.
        event!(Warn, StoreDown, "purpose=directory daemon={addr} error={e}");
    }
}

/// Reads the rows until that succeeds.
async fn persist(node: &Rc<Node>, gossip: &Rc<Gossip>, table: &dyn Table) -> Found {
    let mut pause = Pause::default();
    loop {
        match read(node, table).await {
            Ok(found) => {
                if !found.new.is_empty() {
                    let (node, gossip) = (Rc::clone(node), Rc::clone(gossip));
                    tokio::task::spawn_local(async move { introduce(&node, &gossip).await });
                }
                return found;
            }
            Err(e) => {
                log::debug!("directory not read: {e}");
                pause.wait().await;
            }
        }
    }
}

/// Growing pause between calls that fail.
struct Pause(Duration);

impl Default for Pause {
    fn default() -> Self {
        Self(FAILURE_PAUSE)
    }
}

impl Pause {
    async fn wait(&mut self) {
        sleep(self.0).await;
        self.0 = (self.0 * 2).min(MAX_FAILURE_PAUSE);
    }
}

/// What a reading of the rows showed.
struct Found {
    /// Daemons that were not known.
    new: Vec<Listed>,
    /// Whether this daemon's own row is there and still right.
    has_own: bool,
}

async fn introduce(node: &Node, gossip: &Gossip) {
    for round in 0..INTRODUCTIONS {
        gossip::introduce(node, gossip, round == 0);
        sleep(INTRODUCTION_PAUSE).await;
    }
}

/// The row is put without a condition: a successor on the same address replaces its predecessor's.
async fn write_own(node: &Node, table: &dyn Table) -> Result<(), StoreError> {
    let row = DirectoryRow { listed: node.listed(), departures: node.local_server.departures() };
    let text =
        serde_json::to_string(&row).map_err(|e| StoreError::Refused { problem: e.to_string().into() })?;
    let commit = Commit {
        checks: Vec::new(),
        writes: vec![Write::put(&format!("{PREFIX}{}", node.identity.addr), &text)],
    };
    table.commit(&commit).await.map(|_version| ())
}

/// Takes in the rows.
async fn read(node: &Node, table: &dyn Table) -> Result<Found, StoreError> {
    let rows = table.range(PREFIX).await?;
    let now = Instant::now();
    let own = node.listed();
    let mut found = Found { new: Vec::new(), has_own: false };
    for (key, row) in rows {
        match serde_json::from_str::<DirectoryRow>(&row.value) {
            Ok(DirectoryRow { listed, departures }) if listed.addr == own.addr => {
                found.has_own = listed.place == own.place && listed.service == own.service;
                if !node.has_directory.get() {
                    node.kept_departures.replace(departures.clone());
                    node.local_server.restore(departures);
                }
            }
            Ok(DirectoryRow { listed, .. }) => {
                if node.peers.borrow_mut().note_listed(listed.clone(), now) {
                    found.new.push(listed);
                }
            }
            Err(e) => log::warn!("row {key} is no daemon: {e}"),
        }
    }
    node.has_directory.set(true);
    node.count_members();
    let members = node.peers.borrow().members();
    event!(Info, MemberUp, "source=store new={} members={members}", found.new.len());
    node.stale.notify_one();
    Ok(found)
}
