//! A configuration must be in force in all daemons soon after the store has it, whichever daemons the store
//! answers.

mod common;

use std::time::{Duration, Instant};

use base::Version;
use common::{
    Act, Daemon, Fleet, KEY, announce_silent_neighbour, conf, eventually, fleet, fleet_in, on_one_thread,
    request, snapshot, status,
};
use conf::{KeyHasher, Snapshot};
use tokio::time::sleep;

/// Time in which a change must be in force.
const APPLY_TIME: Duration = Duration::from_millis(2_500);
/// Time in which a daemon takes over what a neighbour has.
const EXCHANGE_TIME: Duration = Duration::from_millis(500);
/// Number of lowest-ranked daemons that look often for a store that has failed.
const FREQUENT_READERS: usize = 4;

fn second_conf(hasher: &KeyHasher) -> Snapshot {
    snapshot(hasher, 2, &[KEY], 1_000_000.0)
}

/// Daemons in the order of their ranks.
fn by_rank(fleet: &Fleet) -> Vec<&Daemon> {
    let mut daemons: Vec<&Daemon> = fleet.daemons.iter().collect();
    daemons.sort_by_key(|d| d.node.identity.addr);
    daemons
}

fn incarnation(daemon: &Daemon) -> u64 {
    daemon.node.identity.incarnation
}

/// Waits until `daemon` has `version` in force, and returns how long that took.
async fn time_until(daemon: &Daemon, version: Version) -> Duration {
    let started = Instant::now();
    eventually(|| daemon.node.conf_version() >= version).await;
    started.elapsed()
}

#[test]
fn a_daemon_that_waits_for_the_store_takes_a_neighbours_configuration() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer], &[Act::Answer]], conf).await;
        let daemons = by_rank(&fleet);
        fleet.source.unanswered.borrow_mut().insert(incarnation(daemons[0]));
        // Its next query, which the daemon of lowest rank sends at once, gets no answer.
        sleep(Duration::from_millis(100)).await;
        fleet.source.make_snapshot.set(second_conf);
        time_until(daemons[1], 2).await;
        let delay = time_until(daemons[0], 2).await;
        assert!(delay < EXCHANGE_TIME, "{delay:?}");
    });
}

#[test]
fn daemons_that_pause_after_failed_queries_take_a_neighbours_configuration() {
    on_one_thread(async {
        let scripts: [&[Act]; FREQUENT_READERS + 3] = [&[Act::Answer]; FREQUENT_READERS + 3];
        let fleet = fleet(&scripts, conf).await;
        fleet.source.is_up.set(false);
        // Long enough for the pauses to become as long as they can.
        sleep(Duration::from_secs(9)).await;
        fleet.source.make_snapshot.set(second_conf);
        fleet.source.is_up.set(true);
        let back = Instant::now();
        for daemon in by_rank(&fleet) {
            time_until(daemon, 2).await;
        }
        let delay = back.elapsed();
        assert!(delay < APPLY_TIME, "{delay:?}");
    });
}

#[test]
fn a_region_that_the_store_turns_away_takes_a_configuration_of_another_region() {
    on_one_thread(async {
        let places = [("meseta", "barva"), ("guanacaste", "canas"), ("guanacaste", "canas")];
        let fleet = fleet_in(&places, conf).await;
        let turned_away = fleet.daemons[1..].iter().map(incarnation);
        fleet.source.turned_away.borrow_mut().extend(turned_away);
        sleep(Duration::from_millis(200)).await;
        fleet.source.make_snapshot.set(second_conf);
        for daemon in &fleet.daemons {
            let delay = time_until(daemon, 2).await;
            assert!(delay < APPLY_TIME, "{delay:?}");
        }
    });
}

#[test]
fn a_neighbour_that_does_not_answer_does_not_delay_a_configuration() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer], &[Act::Answer]], conf).await;
        let daemons = by_rank(&fleet);
        fleet.source.unanswered.borrow_mut().insert(incarnation(daemons[1]));
        let silent = announce_silent_neighbour(daemons[1], 3).await;
        sleep(Duration::from_millis(100)).await;
        fleet.source.make_snapshot.set(second_conf);
        time_until(daemons[0], 2).await;
        let delay = time_until(daemons[1], 2).await;
        drop(silent);
        assert!(delay < EXCHANGE_TIME, "{delay:?}");
    });
}

/// Starts a daemon whose proof is too old to say what doesn't exist, but recent enough to accept keys.
async fn daemon_with_an_old_proof() -> Fleet {
    let fleet = fleet(&[&[Act::Answer]], conf).await;
    let node = &fleet.daemons[0].node;
    fleet.source.is_up.set(false);
    eventually(|| node.proof_age().is_some_and(|age| age > node.bounds.max_denial_age)).await;
    fleet
}

#[test]
fn a_route_that_may_be_new_is_not_refused_as_unknown() {
    on_one_thread(async {
        let fleet = daemon_with_an_old_proof().await;
        let rep = fleet.daemons[0].get("/added/1", "r1").await;
        assert_eq!(status(&rep), 503, "{rep}");
    });
}

#[test]
fn a_key_that_may_be_new_is_not_refused_as_unknown() {
    on_one_thread(async {
        let fleet = daemon_with_an_old_proof().await;
        let with_new_key = request("GET", "/stock/1", "r1", "").replace(KEY, "added-2026");
        let rep = fleet.daemons[0].send_raw(&with_new_key, "\r\n\r\n").await;
        assert_eq!(status(&rep), 503, "{rep}");
    });
}

#[test]
fn known_routes_and_keys_are_served_by_a_proof_too_old_to_refuse_unknown_ones() {
    on_one_thread(async {
        let fleet = daemon_with_an_old_proof().await;
        let rep = fleet.daemons[0].get("/stock/1", "r1").await;
        assert_eq!(status(&rep), 200, "{rep}");
    });
}
