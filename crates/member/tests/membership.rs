//! Guards membership against failures of daemons and of the network between them.

mod common;

use common::{converged_fleet, member_count, run_seconds};
use rstest::rstest;

#[rstest]
fn every_daemon_finds_every_other_by_the_rows_in_the_store() {
    let fleet = converged_fleet(3, 3);
    let counts: Vec<_> = (0..6).map(|i| member_count(&fleet, i)).collect();
    assert_eq!(counts, [5; 6]);
}

#[rstest]
fn a_daemon_that_starts_while_the_store_is_down_finds_the_fleet_by_its_configured_peers() {
    let mut fleet = converged_fleet(3, 3);
    fleet.store.down = true;
    let newcomer = fleet.add_daemon("meseta", "barva");
    run_seconds(&mut fleet, 4);
    let counts: Vec<_> = (0..=newcomer).map(|i| member_count(&fleet, i)).collect();
    assert_eq!(counts, [6; 7]);
}

#[rstest]
fn a_crashed_daemon_disappears_from_every_view_within_seconds() {
    let mut fleet = converged_fleet(3, 3);
    fleet.crash(2);
    run_seconds(&mut fleet, 5);
    let counts: Vec<_> = [0, 1, 3, 4, 5].iter().map(|i| member_count(&fleet, *i)).collect();
    assert_eq!(counts, [4; 5]);
    assert!(fleet.kernel(0).unwrap().board().dead_members.contains_key(&fleet.local_daemon(2).id));
}

#[rstest]
fn a_daemon_that_leaves_is_forgotten_and_its_row_deleted() {
    let mut fleet = converged_fleet(3, 3);
    fleet.stop(2);
    run_seconds(&mut fleet, 3);
    assert!(fleet.is_finished(2));
    let board = fleet.kernel(0).unwrap().board();
    assert_eq!((board.members.len(), board.dead_members.len()), (4, 0));
    let op = store::StoreOp::Get { key: format!("daemons/{}", fleet.local_daemon(2).id).into() };
    assert_eq!(fleet.store.mem.apply(&op), Ok(store::StoreRep::Row(None)));
}

#[rstest]
fn a_restart_on_the_same_address_is_a_new_incarnation_everywhere() {
    let mut fleet = converged_fleet(3, 3);
    fleet.restart(2);
    run_seconds(&mut fleet, 4);
    let me = fleet.local_daemon(2).clone();
    for index in [0, 1, 3, 4, 5] {
        assert_eq!(fleet.kernel(index).unwrap().board().members[&me.id].incarnation, me.incarnation);
    }
}

/// Lowest number of members that each daemon saw, sampled every tenth of a second for 20 s.
fn lowest_member_counts(fleet: &mut fake::Fleet) -> Vec<usize> {
    let mut lowest = vec![usize::MAX; fleet.daemon_count()];
    for _ in 0..200 {
        fleet.run_for(std::time::Duration::from_millis(100));
        for (index, low) in lowest.iter_mut().enumerate() {
            *low = (*low).min(member_count(fleet, index));
        }
    }
    lowest
}

#[rstest]
fn a_one_way_cut_between_two_daemons_makes_no_member_flap() {
    let mut fleet = converged_fleet(3, 3);
    fleet.cut_link(0, 1, false);
    assert_eq!(lowest_member_counts(&mut fleet), [5; 6]);
}

#[rstest]
fn a_cut_both_ways_between_two_daemons_makes_no_member_flap() {
    let mut fleet = converged_fleet(3, 3);
    fleet.cut_link(0, 4, true);
    assert_eq!(lowest_member_counts(&mut fleet), [5; 6]);
}

#[rstest]
fn a_fifth_of_all_messages_lost_makes_no_member_flap() {
    let mut fleet = converged_fleet(4, 4);
    fleet.network.loss = 0.2;
    fleet.network.duplication = 0.1;
    fleet.network.jitter = std::time::Duration::from_millis(100);
    assert_eq!(lowest_member_counts(&mut fleet), [7; 8]);
}

#[rstest]
fn regions_that_lost_each_other_reconnect_without_the_store() {
    let mut fleet = converged_fleet(3, 3);
    fleet.store.down = true;
    fleet.cut_region("guanacaste");
    run_seconds(&mut fleet, 60);
    assert_eq!(member_count(&fleet, 0), 2);
    fleet.heal();
    fleet.store.down = true;
    run_seconds(&mut fleet, 4);
    let counts: Vec<_> = (0..6).map(|i| member_count(&fleet, i)).collect();
    assert_eq!(counts, [5; 6]);
}

#[rstest]
fn a_resumed_daemon_does_not_consider_the_fleet_failed() {
    let mut fleet = converged_fleet(3, 3);
    fleet.pause(1);
    run_seconds(&mut fleet, 30);
    fleet.resume(1);
    fleet.run_for(std::time::Duration::from_millis(300));
    assert_eq!(member_count(&fleet, 1), 5);
    run_seconds(&mut fleet, 3);
    assert_eq!(member_count(&fleet, 0), 5);
}

#[rstest]
fn a_daemon_that_reaches_only_one_other_stays_a_member_of_all() {
    let mut fleet = converged_fleet(4, 4);
    for index in 2..8 {
        fleet.cut_link(0, index, true);
    }
    assert_eq!(lowest_member_counts(&mut fleet), [7; 8]);
}

#[rstest]
fn heartbeats_that_miss_a_daemon_by_chance_remove_no_member_of_a_larger_fleet() {
    let mut fleet = converged_fleet(24, 24);
    fleet.network.loss = 0.2;
    let mut lowest = usize::MAX;
    for _ in 0..30 {
        fleet.run_for(std::time::Duration::from_millis(300));
        lowest = (0..48).map(|i| member_count(&fleet, i)).min().unwrap().min(lowest);
    }
    assert_eq!(lowest, 47);
}
