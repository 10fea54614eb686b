//! A departure that a daemon has acknowledged holds for its later processes, however the earlier one ended and
//! whatever the store did meanwhile. A late heartbeat must not bring the server back.

mod common;

use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use common::{Act, Daemon, Fleet, conf, eventually, fleet, on_one_thread, status};
use tokio::time::sleep;

/// Number of requests that are sent to find out whether a server gets work.
const REQUESTS: usize = 10;
/// Pause between these requests. Together they take longer than a daemon waits for what others remember.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);
/// What the row of a daemon contains once it holds the departure of the first daemon's server.
const STORED: &str = r#"{"departures":[{"id":"server-1","born":1}]}"#;

/// Sends a heartbeat from before the departure to `daemon`, and then requests, of which none may run.
async fn assert_late_heartbeat_brings_no_work(daemon: &Daemon) {
    daemon.register(2, false);
    for n in 0..REQUESTS {
        let rep = daemon.get("/open/a", &format!("late-{n}")).await;
        assert_eq!((status(&rep), daemon.runs()), (503, 0), "{rep}");
        sleep(REQUEST_PAUSE).await;
    }
}

/// A fleet of which only the first daemon has a server that takes work.
async fn fleet_with_one_server(daemons: usize) -> Fleet {
    let fleet = fleet(&vec![&[Act::Answer] as &[Act]; daemons], conf).await;
    for daemon in &fleet.daemons[1..] {
        daemon.register(2, true);
    }
    fleet
}

/// The store goes down, the first daemon's server leaves, and that daemon is killed and started again.
async fn leave_and_restart_in_outage(fleet: &mut Fleet) -> Daemon {
    fleet.rows.is_down.store(true, SeqCst);
    fleet.daemons[0].acknowledge_departure().await;
    let old = fleet.daemons.remove(0);
    fleet.kill_and_restart(old).await
}

// Guards against requests for a server that has left, after a planned stop of its daemon (review, case 1).
#[test]
fn a_departure_outlives_a_planned_stop_of_its_daemon() {
    on_one_thread(async {
        let fleet = fleet_with_one_server(1).await;
        let old = &fleet.daemons[0];
        old.acknowledge_departure().await;
        let new = fleet.restart(old).await;
        assert_late_heartbeat_brings_no_work(&new).await;
    });
}

// Guards against requests for a server that left during an outage of the store (review, case 4).
#[test]
fn a_departure_that_is_acknowledged_while_the_store_is_down_is_stored_once_it_answers() {
    on_one_thread(async {
        let mut fleet = fleet_with_one_server(1).await;
        fleet.rows.is_down.store(true, SeqCst);
        fleet.daemons[0].acknowledge_departure().await;
        fleet.rows.is_down.store(false, SeqCst);
        eventually(|| fleet.rows.contain(STORED)).await;
        let old = fleet.daemons.remove(0);
        let new = fleet.kill_and_restart(old).await;
        assert_late_heartbeat_brings_no_work(&new).await;
    });
}

// Guards against requests for a server whose daemon was killed before the store answered again.
#[test]
fn a_departure_that_was_never_stored_is_known_from_another_daemon() {
    on_one_thread(async {
        let mut fleet = fleet_with_one_server(2).await;
        let new = leave_and_restart_in_outage(&mut fleet).await;
        assert_late_heartbeat_brings_no_work(&new).await;
    });
}

// Guards against a departure that is lost with the second of two processes.
#[test]
fn a_departure_that_another_daemon_remembered_is_stored_by_the_next_process() {
    on_one_thread(async {
        let mut fleet = fleet_with_one_server(2).await;
        let new = leave_and_restart_in_outage(&mut fleet).await;
        eventually(|| !new.node.local_server.departures().is_empty()).await;
        fleet.rows.is_down.store(false, SeqCst);
        eventually(|| fleet.rows.contain(STORED)).await;
    });
}

// Guards against requests for a server that has left, before its restarted daemon could know that.
#[test]
fn no_request_runs_before_departures_are_known() {
    on_one_thread(async {
        let mut fleet = fleet_with_one_server(1).await;
        fleet.daemons[0].acknowledge_departure().await;
        fleet.rows.is_down.store(true, SeqCst);
        let old = fleet.daemons.remove(0);
        let new = fleet.kill_and_restart(old).await;
        assert_late_heartbeat_brings_no_work(&new).await;
        fleet.rows.is_down.store(false, SeqCst);
        assert_late_heartbeat_brings_no_work(&new).await;
    });
}

// Guards against a new start of a server, under the id that has left, that stays out of use.
#[test]
fn a_new_start_of_a_server_that_has_left_is_in_use() {
    on_one_thread(async {
        let fleet = fleet_with_one_server(1).await;
        let old = &fleet.daemons[0];
        old.acknowledge_departure().await;
        let new = fleet.restart(old).await;
        new.register_new_incarnation();
        eventually(|| new.node.is_conf_fresh()).await;
        let rep = new.post("/order/a", "r1").await;
        assert_eq!(status(&rep), 200, "{rep}");
    });
}

// Guards against writes without end, or a departure that counts as missing, after the answer of a write is lost.
#[test]
fn a_departure_whose_write_was_not_answered_is_written_once() {
    on_one_thread(async {
        let fleet = fleet_with_one_server(1).await;
        let before = fleet.rows.commits.load(SeqCst);
        fleet.rows.loses_answers.store(true, SeqCst);
        fleet.daemons[0].acknowledge_departure().await;
        assert!(fleet.rows.contain(STORED));
        sleep(Duration::from_secs(2)).await;
        // The second transaction finds that the first one has taken effect.
        assert_eq!(fleet.rows.commits.load(SeqCst) - before, 2);
    });
}

// Guards against a row of another writer that hides the departures of a daemon, or ends it.
#[test]
fn an_odd_row_in_the_place_of_departures_is_replaced() {
    on_one_thread(async {
        let fleet = fleet_with_one_server(1).await;
        let key = format!("daemon/{}/departures", fleet.daemons[0].node.identity.addr);
        fleet.rows.write(&key, r#"{"departures":[{"id":"server-1","born":1e400}]}"#);
        fleet.daemons[0].acknowledge_departure().await;
        eventually(|| fleet.rows.contain(STORED)).await;
    });
}
