//! Tests of [`choose_server`]: health, trials, distance, load and warm-up.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::Place;
use kernel::{ServerCounters, ServerView};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{Criteria, choose_server};
use rstest::rstest;
use wire::server::{ServerInfo, ServerState};

/// Number of choices from which a server's share is calculated.
const DRAWS: u32 = 4_000;

fn server(id: &str, region: &str, data_centre: &str) -> ServerView {
    let info = ServerInfo {
        id: id.into(),
        service: "sacristia".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        place: Place::new(region, data_centre),
        slots: 6,
        connections: 400,
        load: 0.0,
        state: ServerState::Ready,
        stamp: 1,
        ttl_ms: 3_000,
    };
    ServerView {
        info,
        weight: 1.0,
        trial: false,
        ready_since: None,
        counters: Arc::new(ServerCounters::default()),
    }
}

/// A server in the own data centre.
fn own(id: &str) -> ServerView {
    server(id, "meseta", "barva")
}

/// Share of the draws that go to the first server.
fn first_server_share(servers: Vec<ServerView>, repeatable: bool, cross_region: bool) -> f64 {
    let servers: Vec<_> = servers.into_iter().map(Arc::new).collect();
    let place = Place::new("meseta", "barva");
    let criteria = Criteria { place: &place, tried: &[], repeatable, cross_region, now: Instant::now() };
    let mut rng = SmallRng::seed_from_u64(5);
    let hits = (0..DRAWS)
        .filter(|_| {
            choose_server(&servers, &criteria, &mut rng).is_some_and(|s| s.info.id == servers[0].info.id)
        })
        .count();
    hits as f64 / f64::from(DRAWS)
}

#[test]
fn a_server_of_the_own_data_centre_is_chosen_first() {
    let share = first_server_share(vec![own("a"), server("b", "meseta", "paraiso")], true, true);
    assert_eq!((share * 100.0).round() as u32, 100);
}

#[test]
fn the_link_is_crossed_only_when_the_region_is_full() {
    let near = own("a");
    near.counters.in_flight.store(6, Relaxed);
    let share = first_server_share(vec![server("b", "guanacaste", "canas"), near], true, true);
    assert_eq!((share * 100.0).round() as u32, 100);
}

#[test]
fn no_request_crosses_the_link_without_budget() {
    let share = first_server_share(vec![server("b", "guanacaste", "canas")], true, false);
    assert_eq!((share * 100.0).round() as u32, 0);
}

#[rstest]
#[case::of_four(4, 0.3)]
#[case::of_ten(10, 0.1)]
fn consecutive_failures_move_requests_to_the_next_data_centre(#[case] failures: u32, #[case] most: f64) {
    let failing = own("a");
    failing.counters.failures.store(failures, Relaxed);
    let share = first_server_share(vec![failing, server("b", "meseta", "paraiso")], true, true);
    assert!(share > 0.0, "a recovery has to be noticed");
    assert!(share <= most, "{share}");
}

#[test]
fn an_unrepeatable_request_avoids_a_failing_server() {
    let failing = own("a");
    failing.counters.failures.store(10, Relaxed);
    let share = first_server_share(vec![failing, server("b", "meseta", "paraiso")], false, true);
    assert_eq!((share * 1e4).round() as u32, 0);
}

#[test]
fn an_unrepeatable_request_never_goes_to_a_server_on_trial() {
    let share = first_server_share(vec![ServerView { trial: true, weight: 0.05, ..own("a") }], false, true);
    assert_eq!((share * 1e4).round() as u32, 0);
}

#[test]
fn a_server_on_trial_gets_a_few_repeatable_requests() {
    let share =
        first_server_share(vec![ServerView { trial: true, weight: 0.05, ..own("a") }, own("b")], true, true);
    assert!(share > 0.0 && share < 0.1, "{share}");
}

#[test]
fn a_server_on_trial_gets_requests_from_another_data_centre() {
    let trial = ServerView { trial: true, weight: 0.1, ..server("a", "meseta", "paraiso") };
    let share = first_server_share(vec![trial, own("b")], true, true);
    assert!(share > 0.0 && share < 0.2, "{share}");
}

#[test]
fn an_ejected_server_gets_nothing() {
    let share = first_server_share(vec![ServerView { weight: 0.0, ..own("a") }], true, true);
    assert_eq!((share * 1e4).round() as u32, 0);
}

#[test]
fn a_load_report_frozen_at_idle_attracts_no_requests() {
    let frozen = own("a");
    frozen.counters.in_flight.store(4, Relaxed);
    frozen.counters.latency_us.store(20_000, Relaxed);
    let busy: Vec<_> = ["b", "c"]
        .iter()
        .map(|id| {
            let mut view = own(id);
            view.info.load = 1.0;
            view.counters.in_flight.store(2, Relaxed);
            view.counters.latency_us.store(20_000, Relaxed);
            view
        })
        .collect();
    let share = first_server_share(std::iter::once(frozen).chain(busy).collect(), true, true);
    assert!(share < 0.2, "{share}");
}

#[test]
fn a_slower_server_gets_fewer_requests() {
    let slow = own("a");
    slow.counters.latency_us.store(60_000, Relaxed);
    let fast = own("b");
    fast.counters.latency_us.store(20_000, Relaxed);
    let share = first_server_share(vec![slow, fast], true, true);
    assert!(share < 0.3, "{share}");
}

#[test]
fn a_server_that_just_became_ready_gets_a_reduced_share() {
    let now = Instant::now();
    let cold = ServerView { ready_since: Some(now), ..own("a") };
    let share = first_server_share(vec![cold, own("b"), own("c")], true, true);
    assert!(share > 0.05 && share < 0.25, "{share}");
}

#[test]
fn a_server_that_has_warmed_up_gets_its_full_share() {
    let long_ago = Instant::now().checked_sub(Duration::from_mins(1));
    let warm = ServerView { ready_since: long_ago, ..own("a") };
    let share = first_server_share(vec![warm, own("b"), own("c")], true, true);
    assert!(share > 0.25, "{share}");
}
