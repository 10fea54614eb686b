//! Keeps the configuration and the proof that it is the newest one up to date.
//!
//! A few daemons of each data centre ask the store; the others take over their proofs with the states that
//! daemons exchange anyway, and ask only when these have become old. A new configuration travels from daemon to
//! daemon in the same way: when all start at once, the store is not read by all.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use base::{DaemonId, Version, event};
use bytes::Bytes;
use conf::Snapshot;
use store::StoreError;
use tokio::time::{sleep, timeout, timeout_at};

use crate::clock::BootTime;
use crate::links;
use crate::node::Node;

/// Longest time that a question may wait at the store for a change.
const WATCH_WAIT: Duration = Duration::from_millis(900);
/// Pause after a failed question.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Longest such pause.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Age of the proof from which the second daemon of a data centre asks; each further one waits longer.
const SECOND_READER_AGE: Duration = Duration::from_millis(1_600);
/// How much longer each further daemon waits.
const RANK_STEP: Duration = Duration::from_millis(120);
/// Longest age of the proof before a daemon asks whatever its rank.
const MAX_READER_AGE: Duration = Duration::from_secs(2);
/// How much longer than the one before it each daemon without a configuration waits for one of another's.
const START_STEP: Duration = Duration::from_millis(300);
/// Longest such wait.
const MAX_START_WAIT: Duration = Duration::from_millis(1_200);
/// Time for another daemon to give its configuration.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after the start in which a daemon learns who else is there before it asks the store.
const DISCOVERY_WAIT: Duration = Duration::from_millis(150);

/// The same at the first start of a fleet, when the directory is read only after all have written to it.
const FIRST_START_DISCOVERY_WAIT: Duration = Duration::from_secs(1);

/// Longest wait for one's turn to fetch a newer configuration in a large data centre.
const FETCH_TURN_WAIT: Duration = Duration::from_millis(400);
/// Most by which slow states in a large data centre stretch the ages of proofs.
const MAX_STRETCH: f64 = 1.5;

/// A configuration as its source holds it, and compiled.
#[derive(Debug)]
pub struct FetchedConfig {
    /// Compiled form.
    pub snapshot: Snapshot,
    /// Form of the source, which other daemons can decode.
    pub raw: Bytes,
}

/// Answer to the question for a newer configuration.
#[derive(Debug)]
pub struct WatchReply {
    /// The newest configuration, if it is newer than the one that was named.
    pub fetched: Option<FetchedConfig>,
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
    async fn watch(&mut self, known: Version, wait: Duration) -> Result<WatchReply, StoreError>;

    /// Compiles a configuration that another daemon has got from the source.
    ///
    /// # Errors
    /// Fails if it can't be used.
    fn decode(&self, raw: Bytes) -> Result<FetchedConfig, StoreError>;
}

/// Asks other daemons or the source whenever this daemon's turn has come.
pub async fn refresh_config(node: Rc<Node>, mut source: impl ConfigSource) {
    let mut store = StoreState { backoff: MIN_BACKOFF, is_up: true };
    let started = Instant::now();
    loop {
        match next_target(&node, started).await {
            ConfigTarget::Peer(peer) if fetch_from_peer(&node, &source, peer).await => {}
            ConfigTarget::Peer(_) | ConfigTarget::Store => watch_store(&node, &mut source, &mut store).await,
        }
    }
}

/// What is known of the store.
struct StoreState {
    /// Pause after the next failed question.
    backoff: Duration,
    is_up: bool,
}

async fn watch_store(node: &Node, source: &mut impl ConfigSource, store: &mut StoreState) {
    let has_conf = node.conf().is_some();
    let wait = if has_conf { WATCH_WAIT } else { Duration::ZERO };
    match source.watch(node.conf_version(), wait).await {
        Ok(change) => {
            if !store.is_up {
                event!(Info, StoreUp, "version={}", node.conf_version());
            }
            *store = StoreState { backoff: MIN_BACKOFF, is_up: true };
            match change.fetched {
                Some(fetched) => node.adopt_config(fetched, change.proven_at),
                None if has_conf => {
                    node.confirm_config(node.conf_version(), change.proven_at);
                    // The others of the data centre rely on this proof.
                    node.status_changed.notify_one();
                }
                // The operators have not written a configuration yet.
                None => sleep(MIN_BACKOFF).await,
            }
        }
        Err(e) => {
            if store.is_up {
                event!(Warn, StoreDown, "error={e}");
            }
            store.is_up = false;
            sleep(store.backoff).await;
            store.backoff = (store.backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Takes over a newer configuration from another daemon; false if it did not give one.
async fn fetch_from_peer(node: &Node, source: &impl ConfigSource, peer: DaemonId) -> bool {
    let asked_at = BootTime::now();
    let answer = timeout(FETCH_TIMEOUT, links::fetch_config(node, peer)).await;
    let Ok(Some((raw, proof_age))) = answer else {
        event!(Debug, ConfigRefused, "from={peer} outcome=no-answer");
        node.peers.borrow_mut().forget_version(peer);
        return false;
    };
    match source.decode(raw) {
        Ok(fetched) => {
            node.adopt_config(fetched, asked_at.before(proof_age));
            true
        }
        Err(e) => {
            event!(Error, ConfigRefused, "from={peer} error={e}");
            node.peers.borrow_mut().forget_version(peer);
            false
        }
    }
}

/// Whom to ask next.
enum ConfigTarget {
    /// Another daemon, which has a newer configuration.
    Peer(DaemonId),
    /// The source.
    Store,
}

/// Waits until this daemon's proof is old enough for its rank, or another knows something newer.
async fn next_target(node: &Node, started: Instant) -> ConfigTarget {
    let mut fetch_until = None;
    loop {
        let now = Instant::now();
        let (rank, newer, may_fetch_config, stretch) = {
            let (peers, known) = (node.peers.borrow(), node.conf_version());
            let newer = peers.with_newer_config(known, &mut rand::rng());
            let stretch = peers.interval_factor().min(MAX_STRETCH);
            (peers.rank_in_centre(now), newer, peers.may_fetch_config(known, now), stretch)
        };
        if let Some(peer) = newer {
            let until = *fetch_until.get_or_insert(now + FETCH_TURN_WAIT);
            if may_fetch_config || now >= until {
                return ConfigTarget::Peer(peer);
            }
            let _woken = timeout_at(until.into(), node.refresh_wanted.notified()).await;
            continue;
        }
        let since_start = started.elapsed();
        let discovery_wait =
            if node.identity.is_first_start { FIRST_START_DISCOVERY_WAIT } else { DISCOVERY_WAIT };
        if node.conf().is_none() && since_start < discovery_wait {
            // The directory tells who else could ask.
            let _woken =
                timeout(discovery_wait.saturating_sub(since_start), node.refresh_wanted.notified()).await;
            continue;
        }
        if rank == 0 {
            return ConfigTarget::Store;
        }
        let due = match node.conf() {
            Some(_) => {
                (SECOND_READER_AGE + RANK_STEP * (rank as u32 - 1)).min(MAX_READER_AGE).mul_f64(stretch)
            }
            None => (START_STEP * rank as u32).min(MAX_START_WAIT),
        };
        let age = node.proof_age().unwrap_or(since_start);
        let Some(left) = due.checked_sub(age).filter(|left| !left.is_zero()) else {
            return ConfigTarget::Store;
        };
        let _woken = timeout(left, node.refresh_wanted.notified()).await;
    }
}
