//! Guards against servers that get work although they have drained or are gone, and against servers that
//! lose work although they are announced.

mod common;

use std::time::Duration;

use common::{announce, converged_fleet, run_seconds, takes_work};
use fake::Fleet;
use rstest::rstest;

/// Whether each running daemon gives the server new work.
fn offered_work(fleet: &Fleet, id: &str) -> Vec<bool> {
    (0..fleet.daemon_count())
        .filter(|i| fleet.kernel(*i).is_some())
        .map(|i| takes_work(fleet, i, id))
        .collect()
}

/// Announces a server at a daemon twice a second for some seconds.
fn keep_announcing(fleet: &mut Fleet, at: usize, id: &str, state: &str, seconds: u64) {
    for _ in 0..seconds * 2 {
        announce(fleet, at, id, state);
        fleet.run_for(Duration::from_millis(500));
    }
}

#[rstest]
fn an_announced_server_is_known_everywhere_while_it_renews() {
    let mut fleet = converged_fleet(3, 3);
    keep_announcing(&mut fleet, 0, "s1", "ready", 10);
    assert_eq!(offered_work(&fleet, "s1"), [true; 6]);
}

#[rstest]
fn a_silent_server_gets_no_work_three_seconds_after_its_announcement_expired() {
    let mut fleet = converged_fleet(3, 3);
    keep_announcing(&mut fleet, 0, "s1", "ready", 2);
    run_seconds(&mut fleet, 6);
    assert_eq!(offered_work(&fleet, "s1"), [false; 6]);
}

#[rstest]
fn a_server_that_dies_with_its_daemon_gets_no_work_three_seconds_after_its_announcement_expired() {
    let mut fleet = converged_fleet(3, 3);
    keep_announcing(&mut fleet, 0, "s1", "ready", 2);
    fleet.crash(0);
    run_seconds(&mut fleet, 6);
    assert_eq!(offered_work(&fleet, "s1"), [false; 5]);
}

#[rstest]
fn a_server_that_turns_to_another_daemon_keeps_getting_work() {
    let mut fleet = converged_fleet(3, 3);
    keep_announcing(&mut fleet, 0, "s1", "ready", 2);
    fleet.crash(0);
    for _ in 0..20 {
        announce(&mut fleet, 4, "s1", "ready");
        fleet.run_for(Duration::from_millis(500));
        assert_eq!(offered_work(&fleet, "s1"), [true; 5]);
    }
}

#[rstest]
fn servers_of_a_daemon_that_leaves_get_work_while_they_turn_to_another() {
    let mut fleet = converged_fleet(3, 3);
    keep_announcing(&mut fleet, 0, "s1", "ready", 2);
    fleet.stop(0);
    assert_eq!(announce(&mut fleet, 0, "s1", "ready"), 503);
    run_seconds(&mut fleet, 1);
    assert_eq!(offered_work(&fleet, "s1")[1..], [true; 5]);
}

#[rstest]
#[case::no_loss(0.0)]
#[case::a_fifth_lost(0.2)]
fn a_draining_server_leaves_every_view_within_three_seconds(#[case] loss: f64) {
    let mut fleet = converged_fleet(4, 4);
    keep_announcing(&mut fleet, 0, "s1", "ready", 3);
    fleet.network.loss = loss;
    announce(&mut fleet, 5, "s1", "draining");
    run_seconds(&mut fleet, 3);
    assert_eq!(offered_work(&fleet, "s1"), [false; 8]);
}

#[rstest]
fn an_operators_drain_survives_announcements_until_it_is_ended() {
    let mut fleet = converged_fleet(3, 3);
    keep_announcing(&mut fleet, 0, "s1", "ready", 2);
    assert_eq!(fleet.call_and_wait(4, "POST", "/v1/servers/s1/drain", "").unwrap().status, 200);
    keep_announcing(&mut fleet, 0, "s1", "ready", 3);
    assert_eq!(offered_work(&fleet, "s1"), [false; 6]);
    fleet.call_and_wait(2, "DELETE", "/v1/servers/s1/drain", "").unwrap();
    keep_announcing(&mut fleet, 0, "s1", "ready", 3);
    assert_eq!(offered_work(&fleet, "s1"), [true; 6]);
}

#[rstest]
fn a_daemon_that_starts_while_the_store_is_down_learns_servers_and_drains() {
    let mut fleet = converged_fleet(3, 3);
    keep_announcing(&mut fleet, 0, "s1", "ready", 1);
    keep_announcing(&mut fleet, 0, "s2", "ready", 1);
    fleet.call_and_wait(1, "POST", "/v1/servers/s2/drain", "").unwrap();
    fleet.store.down = true;
    let newcomer = fleet.add_daemon("guanacaste", "canas");
    for _ in 0..10 {
        announce(&mut fleet, 0, "s1", "ready");
        announce(&mut fleet, 0, "s2", "ready");
        fleet.run_for(Duration::from_millis(500));
    }
    assert!(takes_work(&fleet, newcomer, "s1"));
    assert!(!takes_work(&fleet, newcomer, "s2"));
}

#[rstest]
#[case::not_json("{", "bad-announcement")]
#[case::unknown_field(r#"{"weight":1}"#, "bad-announcement")]
#[case::zero_slots(&body("127.0.0.9:80", 0, "0.5"), "bad-count")]
#[case::unspecified_address(&body("0.0.0.0:80", 6, "0.5"), "bad-address")]
#[case::port_zero(&body("127.0.0.9:0", 6, "0.5"), "bad-address")]
#[case::load_above_one(&body("127.0.0.9:80", 6, "1.5"), "bad-load")]
#[case::load_not_finite(&body("127.0.0.9:80", 6, "1e60"), "bad-load")]
fn an_invalid_announcement_is_refused_with_a_remedy(#[case] body: &str, #[case] code: &str) {
    let mut fleet = converged_fleet(1, 0);
    let rep = fleet.call_and_wait(0, "PUT", "/v1/servers/s1", body).unwrap();
    assert_eq!((rep.status, rep.body["error"].as_str()), (400, Some(code)));
    assert!(!rep.body["remedy"].as_str().unwrap().is_empty());
}

#[rstest]
fn a_server_name_that_is_too_long_is_refused() {
    let mut fleet = converged_fleet(1, 0);
    let path = format!("/v1/servers/{}", "s".repeat(65));
    let rep = fleet.call_and_wait(0, "PUT", &path, &body("127.0.0.9:80", 6, "0.5")).unwrap();
    assert_eq!(rep.body["error"], "bad-name");
}

fn body(addr: &str, slots: u32, load: &str) -> String {
    format!(
        r#"{{"service":"s","addr":"{addr}","place":{{"region":"r","data_centre":"d"}},
        "slots":{slots},"connections":400,"load":{load},"state":"ready"}}"#
    )
}

#[rstest]
fn a_server_that_drained_elsewhere_stays_drained_at_its_first_daemon() {
    let mut fleet = converged_fleet(3, 3);
    announce(&mut fleet, 0, "s1", "ready");
    announce(&mut fleet, 1, "s1", "draining");
    run_seconds(&mut fleet, 1);

    // Meanwhile the announcement at the second daemon expires.
    let mut took_work = false;
    for _ in 0..50 {
        announce(&mut fleet, 0, "s1", "draining");
        fleet.run_for(std::time::Duration::from_millis(100));
        took_work |= (0..6).any(|d| takes_work(&fleet, d, "s1"));
    }

    assert!(!took_work);
}
