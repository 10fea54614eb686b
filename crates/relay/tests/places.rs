//! Where requests may run: allowed regions, evacuated data centres, and cold servers.

mod common;

use std::time::{Duration, Instant};

use base::Version;
use bytes::Bytes;
use common::{
    Act, Daemon, Fleet, KEY, conf, eventually, fleet, fleet_in, on_one_thread, snapshot_parts, status,
};
use conf::{AllowedRegions, KeyHasher, Snapshot};
use relay::clock::BootTime;
use relay::config_refresh::FetchedConfig;
use tokio::time::sleep;

/// Two data centres in each of two regions.
const PLACES: [(&str, &str); 3] = [("meseta", "barva"), ("meseta", "paraiso"), ("guanacaste", "canas")];
/// Requests of one test.
const REQUESTS: usize = 12;
/// Time in which an evacuation must be in force.
const EVACUATION_TIME: Duration = Duration::from_secs(1);

fn only(region: &str) -> AllowedRegions {
    AllowedRegions::from_list([region.into()])
}

fn conf_with(hasher: &KeyHasher, version: Version, route: &str, customer: &str) -> Snapshot {
    let mut parts = snapshot_parts(hasher, &[KEY], 1_000_000.0);
    for r in parts.routes.iter_mut().filter(|r| &*r.name == "order" && !route.is_empty()) {
        r.regions = only(route);
    }
    for c in parts.customers.iter_mut().filter(|_| !customer.is_empty()) {
        c.regions = only(customer);
    }
    parts.into_snapshot(version).expect("the test's configuration is valid")
}

fn orders_in_guanacaste(hasher: &KeyHasher) -> Snapshot {
    conf_with(hasher, 1, "guanacaste", "")
}

fn customer_in_guanacaste(hasher: &KeyHasher) -> Snapshot {
    conf_with(hasher, 1, "", "guanacaste")
}

fn no_common_region(hasher: &KeyHasher) -> Snapshot {
    conf_with(hasher, 1, "guanacaste", "meseta")
}

fn cold_conf(hasher: &KeyHasher) -> Snapshot {
    let mut parts = snapshot_parts(hasher, &[KEY], 1_000_000.0);
    parts.services[0].cold_rate = Some(2.0);
    for route in &mut parts.routes {
        route.objective = Duration::from_secs(2);
    }
    parts.into_snapshot(1).expect("the test's configuration is valid")
}

/// Sends orders through each daemon, and asserts that all are answered.
async fn send_orders(fleet: &Fleet) {
    for n in 0..REQUESTS {
        let daemon = &fleet.daemons[n % fleet.daemons.len()];
        let rep = daemon.post("/order/1", &format!("o{n}")).await;
        assert_eq!(status(&rep), 200, "{rep}");
    }
}

/// Waits until `fleet`'s daemon of the data centre `canas` is known to be evacuated, or not, by all daemons.
async fn wait_for_evacuation(fleet: &Fleet, is_evacuated: bool) {
    let canas = fleet.daemons[2].node.identity.place.clone();
    let knows = |d: &Daemon| d.node.evacuations.borrow().is_evacuated(&canas, Instant::now()) == is_evacuated;
    let started = Instant::now();
    eventually(|| fleet.daemons.iter().all(knows)).await;
    assert!(started.elapsed() < EVACUATION_TIME, "{:?}", started.elapsed());
}

// Guards against orders that run outside the regions of their route (the entry's own server is the nearest).
#[test]
fn a_request_runs_in_the_regions_of_its_route_only() {
    on_one_thread(async {
        let fleet = fleet_in(&PLACES, orders_in_guanacaste).await;
        send_orders(&fleet).await;
        assert_eq!(fleet.daemons[2].runs(), REQUESTS);
    });
}

#[test]
fn a_request_runs_in_the_regions_of_its_customer_only() {
    on_one_thread(async {
        let fleet = fleet_in(&PLACES, customer_in_guanacaste).await;
        send_orders(&fleet).await;
        assert_eq!(fleet.daemons[2].runs(), REQUESTS);
    });
}

#[test]
fn without_a_common_region_a_request_is_refused_as_not_run() {
    on_one_thread(async {
        let fleet = fleet_in(&PLACES, no_common_region).await;
        let rep = fleet.daemons[2].post("/order/1", "o1").await;
        assert_eq!(status(&rep), 503, "{rep}");
        assert_eq!(fleet.runs(), 0);
    });
}

// Guards against a caller's daemon with an older configuration, which still allows the region.
#[test]
fn the_servers_daemon_declines_what_its_own_configuration_does_not_allow() {
    on_one_thread(async {
        let fleet = fleet_in(&PLACES[1..], orders_in_guanacaste).await;
        let newer = conf_with(&fleet.daemons[1].node.hasher, 2, "meseta", "");
        let raw = Bytes::from_static(b"2");
        let server_daemon = &fleet.daemons[1].node;
        server_daemon.adopt_config(FetchedConfig { snapshot: newer, raw }, BootTime::now(), &"test");
        let rep = fleet.daemons[0].post("/order/1", "o1").await;
        assert_eq!(status(&rep), 503, "{rep}");
        assert_eq!(fleet.runs(), 0);
    });
}

// Guards against requests to servers that an operator is about to take away with their data centre.
#[test]
fn an_evacuated_data_centre_gets_no_requests_until_that_is_undone() {
    on_one_thread(async {
        let fleet = fleet_in(&PLACES, conf).await;
        fleet.source.evacuated.borrow_mut().insert("canas".into());
        wait_for_evacuation(&fleet, true).await;
        send_orders(&fleet).await;
        assert_eq!(fleet.daemons[2].runs(), 0);
        fleet.source.evacuated.borrow_mut().clear();
        wait_for_evacuation(&fleet, false).await;
        eventually(|| fleet.daemons[2].node.local_server.report(Instant::now()).takes_work).await;
        let rep = fleet.daemons[2].post("/order/1", "last").await;
        assert_eq!(status(&rep), 200, "{rep}");
        assert_eq!(fleet.daemons[2].runs(), 1);
    });
}

// Guards against a data centre that learns of its evacuation only from a store which doesn't answer it.
#[test]
fn an_evacuation_reaches_a_data_centre_that_the_store_turns_away() {
    on_one_thread(async {
        let fleet = fleet_in(&PLACES, conf).await;
        fleet.source.turned_away.borrow_mut().insert(fleet.daemons[2].node.identity.incarnation);
        fleet.source.evacuated.borrow_mut().insert("canas".into());
        wait_for_evacuation(&fleet, true).await;
    });
}

// Guards against a server that takes work because its daemon started after the evacuation was announced.
#[test]
fn a_daemon_that_starts_in_an_evacuation_knows_it_before_its_server_takes_work() {
    on_one_thread(async {
        let mut fleet = fleet_in(&PLACES, conf).await;
        fleet.source.evacuated.borrow_mut().insert("canas".into());
        wait_for_evacuation(&fleet, true).await;
        let old = fleet.daemons.remove(2);
        let daemon = fleet.kill_and_restart(old).await;
        daemon.register_new_incarnation();
        for n in 0..40 {
            let rep = fleet.daemons[n % 2].post("/order/1", &format!("o{n}")).await;
            assert_eq!(status(&rep), 200, "{rep}");
            assert!(!daemon.node.local_server.report(Instant::now()).takes_work || !daemon.node.is_ready());
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(daemon.runs(), 0);
    });
}

// Guards against requests that wait for a slot in an evacuated data centre until their deadline.
#[test]
fn what_waits_in_an_evacuated_data_centre_is_placed_elsewhere() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::After(1_500)], &[Act::Answer]], conf).await;
        let daemon = &fleet.daemons[0];
        fleet.daemons[1].register(2, true);
        let ids: Vec<String> = (0..4).map(|n| format!("o{n}")).collect();
        let waiting = futures_util::future::join_all(ids.iter().map(|id| daemon.post("/order/1", id)));
        let evacuating = async {
            eventually(|| daemon.runs() == 2).await;
            fleet.daemons[1].register_new_incarnation();
            daemon.node.local_server.set_evacuated(true);
        };
        let (reps, ()) = tokio::join!(waiting, evacuating);
        assert!(reps.iter().all(|rep| status(rep) == 200), "{reps:?}");
        assert_eq!((daemon.runs(), fleet.daemons[1].runs()), (2, 2));
    });
}

// Guards against a fleet whose daemons each send a cold server what it bears.
#[test]
fn a_cold_server_gets_its_rate_from_all_daemons_together() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer], &[Act::Answer]], cold_conf).await;
        fleet.daemons[1].register(2, true);
        sleep(Duration::from_millis(1_100)).await;
        fleet.daemons[0].cold_heartbeat(1, 2, false, Duration::from_secs(30));
        let ids: Vec<String> = (0..4).map(|n| format!("o{n}")).collect();
        let sent = Instant::now();
        let requests = ids.iter().enumerate().map(|(n, id)| fleet.daemons[n % 2].post("/order/1", id));
        let all = futures_util::future::join_all(requests);
        let early = async {
            sleep(Duration::from_millis(900)).await;
            fleet.daemons[0].runs()
        };
        let (reps, early) = tokio::join!(all, early);
        assert!(early <= 2, "{early} in the first second");
        assert!(reps.iter().all(|rep| status(rep) == 200), "{reps:?}");
        assert!(sent.elapsed() >= Duration::from_secs(1), "{:?}", sent.elapsed());
    });
}

// Guards against a request that waits behind the limit of a cold server without a timer, because it began to wait
// while all slots were in use.
#[test]
fn a_request_starts_when_the_limit_of_a_cold_server_allows_although_slots_were_in_use() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::After(300)]], cold_conf).await;
        let daemon = &fleet.daemons[0];
        sleep(Duration::from_millis(1_100)).await;
        daemon.cold_heartbeat(1, 2, false, Duration::from_secs(30));
        let ids = ["o1", "o2", "o3"];
        let reps = futures_util::future::join_all(ids.map(|id| daemon.post("/order/1", id))).await;
        assert!(reps.iter().all(|rep| status(rep) == 200), "{reps:?}");
        assert_eq!(daemon.node.metrics.declines.with_label_values(&["busy"]).get(), 0);
    });
}
