//! Keeps the configuration and the proof that it is the newest one up to date.
//!
//! A few daemons of each data centre ask the store; the others take over their proofs with the states that
//! daemons exchange anyway, and ask only when these have become old.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use base::{Version, event};
use conf::Snapshot;
use store::StoreError;
use tokio::time::{sleep, timeout};

use crate::clock::BootTime;
use crate::node::Node;

/// Longest time that a question may wait at the store for a change.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Pause after a failed question.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// Longest such pause.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(1);
/// Age of the proof from which the second daemon of a data centre asks; each further one waits longer.
const FIRST_RANK_AGE: Duration = Duration::from_millis(1_500);
/// How much longer each further daemon waits.
const RANK_STEP: Duration = Duration::from_millis(300);
/// Longest age of the proof before a daemon asks whatever its rank.
const LAST_RANK_AGE: Duration = Duration::from_millis(2_400);

/// Answer to the question for a newer configuration.
#[derive(Debug)]
pub struct Change {
    /// The newest configuration, if it is newer than the one that was named.
    pub snapshot: Option<Snapshot>,
    /// Moment at which this was so.
    pub proven_at: BootTime,
}

/// Where configurations come from.
#[async_trait(?Send)]
pub trait ConfigSource {
    /// Waits up to `wait` for a configuration newer than `known`.
    ///
    /// # Errors
    /// Fails if the source does not answer.
    async fn watch(&mut self, known: Version, wait: Duration) -> Result<Change, StoreError>;
}

/// Asks the source whenever this daemon's turn has come.
pub async fn refresh(node: Rc<Node>, mut source: impl ConfigSource) {
    let mut pause = FAILURE_PAUSE;
    let mut is_up = true;
    loop {
        if node.conf().is_some() {
            wait_for_turn(&node).await;
        }
        let wait = if node.conf().is_none() { Duration::ZERO } else { WATCH_WAIT };
        match source.watch(node.version(), wait).await {
            Ok(change) => {
                if !is_up {
                    event!(Info, StoreUp, "version={}", node.version());
                }
                is_up = true;
                pause = FAILURE_PAUSE;
                let is_known = change.snapshot.is_some() || node.conf().is_some();
                take_in(&node, change);
                if !is_known {
                    sleep(FAILURE_PAUSE).await;
                }
            }
            Err(e) => {
                if is_up {
                    event!(Warn, StoreDown, "error={e}");
                }
                is_up = false;
                sleep(pause).await;
                pause = (pause * 2).min(MAX_FAILURE_PAUSE);
            }
        }
    }
}

fn take_in(node: &Node, change: Change) {
    match change.snapshot {
        Some(snapshot) => node.adopt(snapshot, change.proven_at),
        None => node.confirm(node.version(), change.proven_at),
    }
}

/// Waits until this daemon's proof is old enough for its rank, or another knows something newer.
async fn wait_for_turn(node: &Node) {
    loop {
        let rank = node.peers.borrow().rank_in_centre(std::time::Instant::now());
        if rank == 0 {
            return;
        }
        let due = (FIRST_RANK_AGE + RANK_STEP * (rank as u32 - 1)).min(LAST_RANK_AGE);
        let age = node.proof_age().unwrap_or(due);
        let Some(left) = due.checked_sub(age).filter(|left| !left.is_zero()) else {
            return;
        };
        if timeout(left, node.stale.notified()).await.is_ok() {
            return;
        }
    }
}
