//! Rows of the store by which daemons find each other.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::event;
use rand::Rng;
use store::{Commit, StoreError, Table, Write};
use tokio::time::sleep;

use crate::gossip::{self, Gossip};
use crate::node::Node;
use crate::peers::Listed;

/// Start of the keys of daemons' rows.
const PREFIX: &str = "daemon/";
/// Time after the own row was written before the others' are read, so that one reading finds most of them.
const SETTLE: Duration = Duration::from_millis(600);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Longest such pause.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(2);
/// Interval at which the rows are read again.
const REREAD_INTERVAL: Duration = Duration::from_secs(30);
/// Attempts to introduce this daemon to those that were read.
const INTRODUCTIONS: u32 = 3;
/// Pause between them.
const INTRODUCTION_PAUSE: Duration = Duration::from_millis(150);

/// Writes this daemon's row, then keeps reading those of the others.
pub async fn keep(node: Rc<Node>, gossip: Rc<Gossip>, table: Rc<dyn Table>) {
    let mut pause = FAILURE_PAUSE;
    while let Err(e) = write_own(&node, &*table).await {
        event!(Warn, StoreDown, "purpose=directory error={e}");
        sleep(pause).await;
        pause = (pause * 2).min(MAX_FAILURE_PAUSE);
    }
    sleep(SETTLE).await;
    pause = FAILURE_PAUSE;
    loop {
        match read(&node, &*table).await {
            Ok(new) => {
                pause = FAILURE_PAUSE;
                if new > 0 {
                    introduce(&node, &gossip).await;
                }
                let spread = rand::rng().random_range(0.8..1.2);
                sleep(REREAD_INTERVAL.mul_f64(spread)).await;
            }
            Err(e) => {
                log::debug!("directory not read: {e}");
                sleep(pause).await;
                pause = (pause * 2).min(MAX_FAILURE_PAUSE);
            }
        }
    }
}

async fn introduce(node: &Node, gossip: &Gossip) {
    for round in 0..INTRODUCTIONS {
        gossip::introduce(node, gossip, round == 0);
        sleep(INTRODUCTION_PAUSE).await;
    }
}

/// The row is put without a condition: a successor on the same address replaces its predecessor's.
async fn write_own(node: &Node, table: &dyn Table) -> Result<(), StoreError> {
    let listed = node.listed();
    let text =
        serde_json::to_string(&listed).map_err(|e| StoreError::Refused { problem: e.to_string().into() })?;
    let commit =
        Commit { checks: Vec::new(), writes: vec![Write::put(&format!("{PREFIX}{}", node.me.addr), &text)] };
    table.commit(&commit).await.map(|_version| ())
}

/// Takes in the rows; returns how many daemons were not known.
async fn read(node: &Node, table: &dyn Table) -> Result<usize, StoreError> {
    let rows = table.range(PREFIX).await?;
    let now = Instant::now();
    let mut new = 0;
    for (key, row) in rows {
        match serde_json::from_str::<Listed>(&row.value) {
            Ok(listed) => new += usize::from(node.peers.borrow_mut().note_listed(listed, now)),
            Err(e) => log::warn!("row {key} is no daemon: {e}"),
        }
    }
    node.count_members();
    event!(Info, MemberUp, "source=store new={new} members={}", node.peers.borrow().members(now));
    Ok(new)
}
