//! Keeps the configuration current, along with the proof that it is the newest one.
//!
//! Only the lowest-ranked daemons of each data centre ask the store. All other daemons take over proofs from
//! the status messages that daemons exchange anyway, and ask the store only when their proof has become old.
//! A new configuration is passed from daemon to daemon in the same way, so that a fleet which starts all at
//! once doesn't overload the store.

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

/// Longest time for which the store holds a query open until the configuration changes.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(900);
/// Delay after the first failed query of the store. Doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Longest delay after a failed query.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Number of lowest-ranked daemons of a data centre that ask often whether the store answers again.
const FREQUENT_READERS: usize = 4;
/// Longest delay after a failed query of all other daemons, to which those tell it.
const MAX_BACKOFF_OF_OTHERS: Duration = Duration::from_secs(3);
/// Age of the proof at which the daemon with the second-lowest rank in its data centre asks the store.
const SECOND_READER_AGE: Duration = Duration::from_millis(1_600);
/// Difference between the proof ages at which daemons of two successive ranks ask the store.
const READER_AGE_STEP: Duration = Duration::from_millis(120);
/// Age of the proof at which a daemon asks the store whatever its rank.
const MAX_READER_AGE: Duration = Duration::from_secs(2);
/// Time per rank for which a daemon without a configuration waits for another daemon to get one from the
/// store.
const START_WAIT_PER_RANK: Duration = Duration::from_millis(300);
/// Longest time for which a daemon without a configuration waits for another daemon.
const MAX_START_WAIT: Duration = Duration::from_millis(1_200);
/// Timeout for fetching the configuration from another daemon.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after the start in which a daemon learns of other daemons, and so its rank, before it asks the store.
const DISCOVERY_WAIT: Duration = Duration::from_millis(150);

/// [`DISCOVERY_WAIT`] at the first start of a fleet, when each daemon reads the directory only after all
/// daemons have written their rows.
const FIRST_START_DISCOVERY_WAIT: Duration = Duration::from_secs(1);

/// Longest time for which a daemon of a large data centre lets daemons of lower rank fetch a newer
/// configuration first.
const MAX_FETCH_DELAY: Duration = Duration::from_millis(400);
/// Upper bound of the factor by which the ages at which daemons ask the store are extended in a large data
/// centre, where status messages are less frequent.
const MAX_READER_AGE_FACTOR: f64 = 1.5;

/// A configuration from the store or another daemon.
#[derive(Debug)]
pub struct FetchedConfig {
    /// Compiled form.
    pub snapshot: Snapshot,
    /// Encoded form as in the store, to be passed on to other daemons.
    pub raw: Bytes,
}

/// Reply to a query for a newer configuration.
#[derive(Debug)]
pub struct WatchReply {
    /// The newest configuration, unless it is the version that is already known.
    pub fetched: Option<FetchedConfig>,
    /// Time at which `fetched`, or else the known version, was the newest.
    pub proven_at: BootTime,
}

/// Source of configurations: the operators' store.
#[async_trait(?Send)]
pub trait ConfigSource {
    /// Waits up to `wait` for a configuration newer than `known`.
    ///
    /// # Errors
    /// Fails if the store doesn't answer or its configuration can't be decoded.
    async fn watch(&mut self, known: Version, wait: Duration) -> Result<WatchReply, StoreError>;

    /// Decodes and compiles a configuration that another daemon has got from the store.
    ///
    /// # Errors
    /// Fails if the configuration is invalid.
    fn decode(&self, raw: Bytes) -> Result<FetchedConfig, StoreError>;
}

/// Keeps the configuration of `node` current until the daemon ends.
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

/// What earlier queries of the store have shown.
struct StoreState {
    /// Delay after the next failed query.
    backoff: Duration,
    /// Whether the last query was answered.
    is_up: bool,
}

async fn watch_store(node: &Node, source: &mut impl ConfigSource, store: &mut StoreState) {
    let has_conf = node.conf().is_some();
    let wait = if has_conf { MAX_WATCH_WAIT } else { Duration::ZERO };
    let asked = Instant::now();
    match source.watch(node.conf_version(), wait).await {
        Ok(reply) => {
            if !store.is_up {
                event!(Info, StoreUp, "version={}", node.conf_version());
            }
            node.metrics.config_queries.with_label_values(&["answered"]).inc();
            *store = StoreState { backoff: MIN_BACKOFF, is_up: true };
            match reply.fetched {
                Some(fetched) => node.adopt_config(fetched, reply.proven_at, &"store"),
                None if has_conf => {
                    node.confirm_config(node.conf_version(), reply.proven_at);
                    // The other daemons of the data centre rely on this proof.
                    node.status_changed.notify_one();
                }
                // The operators have not written a configuration yet.
                None => sleep(MIN_BACKOFF).await,
            }
        }
        Err(e) => {
            let is_reader = node.peers.borrow().rank_in_centre(Instant::now()) < FREQUENT_READERS;
            let max_backoff = if is_reader { MAX_BACKOFF } else { MAX_BACKOFF_OF_OTHERS };
            let pause = store.backoff.min(max_backoff);
            let (after_ms, retry_ms) = (asked.elapsed().as_millis(), pause.as_millis());
            if store.is_up {
                event!(Warn, StoreDown, "error={e} after_ms={after_ms} retry_ms={retry_ms}");
            } else {
                event!(Info, StoreStillDown, "error={e} after_ms={after_ms} retry_ms={retry_ms}");
            }
            node.metrics.config_queries.with_label_values(&["failed"]).inc();
            store.is_up = false;
            sleep(pause).await;
            store.backoff = (store.backoff * 2).min(max_backoff);
        }
    }
}

/// Fetches a newer configuration from another daemon and adopts it; false if that failed.
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
            node.adopt_config(fetched, asked_at.before(proof_age), &peer);
            true
        }
        Err(e) => {
            event!(Error, ConfigRefused, "from={peer} error={e}");
            node.peers.borrow_mut().forget_version(peer);
            false
        }
    }
}

/// Where to ask for the configuration next.
enum ConfigTarget {
    /// Another daemon, which has a newer configuration.
    Peer(DaemonId),
    /// The store.
    Store,
}

/// Waits until another daemon has a newer configuration, or the proof is so old that a daemon of this one's
/// rank asks the store.
async fn next_target(node: &Node, started: Instant) -> ConfigTarget {
    let mut wait_until = None;
    loop {
        let now = Instant::now();
        let (rank, newer, may_fetch_config, age_factor) = {
            let (peers, known) = (node.peers.borrow(), node.conf_version());
            let newer = peers.peer_with_newer_config(known, &mut rand::rng());
            let age_factor = peers.interval_factor().min(MAX_READER_AGE_FACTOR);
            (peers.rank_in_centre(now), newer, peers.may_fetch_config(known, now), age_factor)
        };
        if let Some(peer) = newer {
            let until = *wait_until.get_or_insert(now + MAX_FETCH_DELAY);
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
            // Until the directory has been read, the rank of this daemon is not known.
            let _woken =
                timeout(discovery_wait.saturating_sub(since_start), node.refresh_wanted.notified()).await;
            continue;
        }
        if rank == 0 {
            return ConfigTarget::Store;
        }
        let due = match node.conf() {
            Some(_) => (SECOND_READER_AGE + READER_AGE_STEP * (rank as u32 - 1))
                .min(MAX_READER_AGE)
                .mul_f64(age_factor),
            None => (START_WAIT_PER_RANK * rank as u32).min(MAX_START_WAIT),
        };
        let age = node.proof_age().unwrap_or(since_start);
        let Some(left) = due.checked_sub(age).filter(|left| !left.is_zero()) else {
            return ConfigTarget::Store;
        };
        let _woken = timeout(left, node.refresh_wanted.notified()).await;
    }
}
