//! Takes newer configurations from other daemons.
//!
//! Daemons tell each other their versions with the messages that they exchange anyway. A new configuration so
//! passes from daemon to daemon, and a fleet that starts all at once doesn't overload the store.

use std::time::{Duration, Instant};

use base::{DaemonId, Version, event};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use smallvec::SmallVec;
use tokio::time::{timeout, timeout_at};

use crate::clock::BootTime;
use crate::config_refresh::ConfigDecoder;
use crate::links;
use crate::node::Node;

/// Timeout for fetching the configuration from another daemon.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without an answer after which one more daemon is asked.
const HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Number of daemons that are asked for one configuration.
const MAX_DAEMONS_ASKED: usize = 4;
/// Longest time for which a daemon lets others of its data centre fetch a newer configuration first.
const MAX_FETCH_DELAY: Duration = Duration::from_millis(400);

/// Puts newer configurations of other daemons in force until the daemon ends.
pub(crate) async fn follow_daemons(node: &Node, decoder: &dyn ConfigDecoder) {
    loop {
        wait_for_turn(node).await;
        fetch_newer(node, decoder).await;
    }
}

/// Waits until another daemon has a newer configuration and it is this daemon's turn to fetch it.
async fn wait_for_turn(node: &Node) {
    let mut wait_until = None;
    loop {
        let now = Instant::now();
        let (holder, may_fetch) = {
            let (peers, known) = (node.peers.borrow(), node.conf_version());
            let holder = peers.peer_with_newer_config(known, &[], &mut rand::rng());
            (holder, holder.is_some_and(|(_, distance)| peers.may_fetch_config(known, distance, now)))
        };
        if holder.is_none() {
            wait_until = None;
            node.newer_config_heard.notified().await;
            continue;
        }
        let until = *wait_until.get_or_insert(now + MAX_FETCH_DELAY);
        if may_fetch || now >= until {
            return;
        }
        let _woken = timeout_at(until.into(), node.newer_config_heard.notified()).await;
    }
}

/// Fetches a newer configuration, from several daemons if the first ones are slow, and puts it in force.
async fn fetch_newer(node: &Node, decoder: &dyn ConfigDecoder) {
    let known = node.conf_version();
    let mut asked: SmallVec<[DaemonId; MAX_DAEMONS_ASKED]> = SmallVec::new();
    let mut fetches = FuturesUnordered::new();
    // The store may have brought it meanwhile.
    while node.conf_version() == known {
        let next = node.peers.borrow().peer_with_newer_config(known, &asked, &mut rand::rng());
        if let Some((peer, _)) = next.filter(|_| asked.len() < MAX_DAEMONS_ASKED) {
            asked.push(peer);
            fetches.push(fetch_from_peer(node, decoder, peer, known));
        }
        if fetches.is_empty() {
            return;
        }
        // Whatever the outcome, the version in force tells what to do next.
        let _ended = timeout(HEDGE_DELAY, fetches.next()).await;
    }
}

/// Fetches the configuration of another daemon and puts it in force, if it is newer than `known`.
async fn fetch_from_peer(node: &Node, decoder: &dyn ConfigDecoder, peer: DaemonId, known: Version) {
    let asked_at = BootTime::now();
    let answer = timeout(FETCH_TIMEOUT, links::fetch_config(node, peer)).await;
    let refused = match answer.ok().flatten() {
        None => "outcome=no-answer".to_owned(),
        Some(relayed) => match decoder.decode(relayed.raw) {
            Ok(fetched) if fetched.snapshot.version > known => {
                if let Some(state) = relayed.operator_state {
                    node.adopt_operator_state(state, &peer);
                }
                node.adopt_config(fetched, asked_at.before(relayed.proof_age), &peer);
                return;
            }
            Ok(fetched) => format!("outcome=not-newer version={}", fetched.snapshot.version),
            Err(e) => format!("error={e}"),
        },
    };
    event!(Warn, ConfigRefused, "from={peer} in_force={known} {refused}");
    node.peers.borrow_mut().forget_version(peer);
}
