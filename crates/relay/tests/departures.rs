//! A departure that a daemon has acknowledged holds for its later processes. A late heartbeat must not bring the server back.

mod common;

use std::time::Duration;

use common::{Act, Daemon, Fleet, conf, eventually, fleet, on_one_thread, status};
use tokio::time::sleep;

/// Number of requests that are sent to find out whether a server gets work.
const REQUESTS: usize = 10;
/// Pause between these requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);
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
