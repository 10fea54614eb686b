//! Guards against views that count as current although they are outdated, and against views that expire
//! although they could be confirmed.

mod common;

use std::time::Duration;

use common::{commit_head, converged_fleet, is_current, places, run_seconds};
use fake::Fleet;
use rstest::rstest;

fn current_views(fleet: &Fleet) -> Vec<bool> {
    (0..fleet.daemon_count()).map(|i| is_current(fleet, i)).collect()
}

/// Whether each daemon's view was current at every tenth of a second during these seconds.
fn always_current(fleet: &mut Fleet, seconds: u64) -> Vec<bool> {
    let mut always = vec![true; fleet.daemon_count()];
    for _ in 0..seconds * 10 {
        fleet.run_for(Duration::from_millis(100));
        for (index, all) in always.iter_mut().enumerate() {
            *all &= is_current(fleet, index);
        }
    }
    always
}

#[rstest]
fn a_fleet_with_its_store_is_always_current() {
    let mut fleet = converged_fleet(3, 3);
    assert_eq!(always_current(&mut fleet, 20), [true; 6]);
}

#[rstest]
fn a_region_cut_off_from_the_store_alone_stays_current_by_pulls() {
    let mut fleet = converged_fleet(3, 3);
    for index in 3..6 {
        let id = fleet.local_daemon(index).id;
        fleet.store.cut_off_daemons.insert(id);
    }
    assert_eq!(always_current(&mut fleet, 20), [true; 6]);
}

#[rstest]
fn a_fleet_stays_current_while_the_store_is_down_for_a_minute() {
    let mut fleet = converged_fleet(3, 3);
    fleet.store.down = true;
    assert_eq!(always_current(&mut fleet, 60), [true; 6]);
}

#[rstest]
fn a_region_cut_off_from_store_and_fleet_turns_stale_and_recovers() {
    let mut fleet = converged_fleet(3, 3);
    fleet.cut_region("guanacaste");
    run_seconds(&mut fleet, 4);
    assert_eq!(current_views(&fleet), [true, true, true, false, false, false]);
    fleet.heal();
    run_seconds(&mut fleet, 3);
    assert_eq!(current_views(&fleet), [true; 6]);
}

#[rstest]
fn neither_half_of_a_split_store_region_is_current_while_the_store_is_down() {
    let mut fleet = converged_fleet(4, 0);
    fleet.store.down = true;
    for (a, b) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        fleet.cut_link(a, b, true);
    }
    run_seconds(&mut fleet, 4);
    assert_eq!(current_views(&fleet), [false; 4]);
    // Members considered failed still count towards the majority, so neither half becomes one in time.
    run_seconds(&mut fleet, 120);
    assert_eq!(current_views(&fleet), [false; 4]);
}

#[rstest]
fn a_daemon_that_joins_one_half_does_not_make_it_a_majority() {
    let mut fleet = converged_fleet(4, 0);
    fleet.store.down = true;
    for (a, b) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        fleet.cut_link(a, b, true);
    }
    run_seconds(&mut fleet, 10);
    let newcomer = fleet.add_daemon("meseta", "barva");
    for b in [2, 3] {
        fleet.cut_link(newcomer, b, true);
    }
    run_seconds(&mut fleet, 20);
    assert!(!is_current(&fleet, newcomer));
}

#[rstest]
fn a_daemon_that_starts_while_the_store_is_down_becomes_current_by_pulls() {
    let mut fleet = converged_fleet(3, 3);
    fleet.store.down = true;
    run_seconds(&mut fleet, 5);
    let newcomer = fleet.add_daemon("guanacaste", "canas");
    run_seconds(&mut fleet, 4);
    assert!(is_current(&fleet, newcomer));
    assert_eq!(fleet.kernel(newcomer).unwrap().board().version(), 1);
}

#[rstest]
#[case::shorter_than_the_longest_age(600)]
#[case::longer_than_the_longest_age(5_000)]
fn a_resumed_daemon_is_not_current_by_evidence_from_before_or_during_its_pause(#[case] half_pause_ms: u64) {
    let mut fleet = converged_fleet(3, 3);
    fleet.pause(1);
    fleet.run_for(Duration::from_millis(half_pause_ms));
    commit_head(&mut fleet, 2);
    fleet.run_for(Duration::from_millis(half_pause_ms));
    fleet.store.down = true;
    fleet.cut_link(0, 1, true);
    fleet.cut_link(2, 1, true);
    for index in 3..6 {
        fleet.cut_link(index, 1, true);
    }
    fleet.resume(1);
    fleet.run_for(Duration::from_millis(100));
    assert!(!is_current(&fleet, 1));
}

#[rstest]
fn no_daemon_is_current_with_an_older_version_for_longer_than_the_longest_age() {
    let mut fleet = converged_fleet(3, 3);
    for version in 2..20 {
        commit_head(&mut fleet, version);
        fleet.run_for(Duration::from_millis(3_100));
        for index in 0..6 {
            let have = fleet.kernel(index).unwrap().board().version();
            assert!(have == version || !is_current(&fleet, index));
        }
    }
}

#[rstest]
fn reads_of_the_store_stay_under_their_share_for_forty_daemons() {
    let mut fleet = Fleet::new(3, &places(20, 20));
    run_seconds(&mut fleet, 5);
    let before = fleet.store.reads;
    run_seconds(&mut fleet, 10);
    let per_second = (fleet.store.reads - before) / 10;
    // Each of 40 daemons may read about once a second; the limit for a whole fleet is 300 reads a second.
    assert!(per_second <= 45, "{per_second}");
}

#[rstest]
fn enough_holders_are_pulled_from_while_the_store_is_down() {
    let mut fleet = Fleet::new(3, &places(10, 10));
    run_seconds(&mut fleet, 6);
    fleet.store.down = true;
    run_seconds(&mut fleet, 5);
    for _ in 0..30 {
        fleet.run_for(Duration::from_millis(250));
        for index in 0..20 {
            let status = fleet.call_and_wait(index, "GET", "/v1/status", "").unwrap().body;
            let fresh = status["areas"]["head"]["fresh_holders"].as_u64().unwrap();
            // 30% of 20 holders, and one more.
            assert!(fresh >= 7, "{index} has {fresh}");
        }
    }
}
