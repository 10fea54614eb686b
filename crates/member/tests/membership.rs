//! Failures of daemons and of the network between them.

mod common;

use common::{members, run, settled};
use rstest::rstest;

#[rstest]
fn every_daemon_finds_every_other_by_the_table() {
    let fleet = settled(3, 3);
    let counts: Vec<_> = (0..6).map(|i| members(&fleet, i)).collect();
    assert_eq!(counts, [5; 6]);
}

#[rstest]
fn a_daemon_that_starts_while_the_store_is_down_finds_the_fleet_by_seeds() {
    let mut fleet = settled(3, 3);
    fleet.store.down = true;
    let newcomer = fleet.add_daemon("meseta", "barva");
    run(&mut fleet, 4);
    let counts: Vec<_> = (0..=newcomer).map(|i| members(&fleet, i)).collect();
    assert_eq!(counts, [6; 7]);
}

#[rstest]
fn a_crashed_daemon_is_gone_from_every_view_within_seconds() {
    let mut fleet = settled(3, 3);
    fleet.crash(2);
    run(&mut fleet, 5);
    let counts: Vec<_> = [0, 1, 3, 4, 5].iter().map(|i| members(&fleet, *i)).collect();
    assert_eq!(counts, [4; 5]);
    assert!(fleet.kernel(0).unwrap().board().dead_members.contains_key(&fleet.local_daemon(2).id));
}

#[rstest]
fn a_graceful_leaver_is_forgotten_and_its_row_deleted() {
    let mut fleet = settled(3, 3);
    fleet.stop(2);
    run(&mut fleet, 3);
    assert!(fleet.is_finished(2));
    let board = fleet.kernel(0).unwrap().board();
    assert_eq!((board.members.len(), board.dead_members.len()), (4, 0));
    let op = store::StoreOp::Get { key: format!("daemons/{}", fleet.local_daemon(2).id).into() };
    assert_eq!(fleet.store.mem.apply(&op), Ok(store::StoreRep::Row(None)));
}

#[rstest]
fn a_restart_on_the_same_address_is_a_new_incarnation_everywhere() {
    let mut fleet = settled(3, 3);
    fleet.restart(2);
    run(&mut fleet, 4);
    let me = fleet.local_daemon(2).clone();
    for index in [0, 1, 3, 4, 5] {
        assert_eq!(fleet.kernel(index).unwrap().board().members[&me.id].incarnation, me.incarnation);
    }
}

/// The view of each other daemon at each tenth of a second of 20 s.
fn lowest_counts(fleet: &mut fake::Fleet) -> Vec<usize> {
    let mut lowest = vec![usize::MAX; fleet.daemon_count()];
    for _ in 0..200 {
        fleet.run_for(std::time::Duration::from_millis(100));
        for (index, low) in lowest.iter_mut().enumerate() {
            *low = (*low).min(members(fleet, index));
        }
    }
    lowest
}

#[rstest]
fn a_one_way_cut_between_two_daemons_makes_nobody_flap() {
    let mut fleet = settled(3, 3);
    fleet.cut_link(0, 1, false);
    assert_eq!(lowest_counts(&mut fleet), [5; 6]);
}

#[rstest]
fn a_cut_both_ways_between_two_daemons_makes_nobody_flap() {
    let mut fleet = settled(3, 3);
    fleet.cut_link(0, 4, true);
    assert_eq!(lowest_counts(&mut fleet), [5; 6]);
}

#[rstest]
fn a_fifth_of_all_messages_lost_makes_nobody_flap() {
    let mut fleet = settled(4, 4);
    fleet.network.loss = 0.2;
    fleet.network.duplication = 0.1;
    fleet.network.jitter = std::time::Duration::from_millis(100);
    assert_eq!(lowest_counts(&mut fleet), [7; 8]);
}

#[rstest]
fn regions_that_lost_each_other_meet_again_without_the_store() {
    let mut fleet = settled(3, 3);
    fleet.store.down = true;
    fleet.cut_region("guanacaste");
    run(&mut fleet, 60);
    assert_eq!(members(&fleet, 0), 2);
    fleet.heal();
    fleet.store.down = true;
    run(&mut fleet, 4);
    let counts: Vec<_> = (0..6).map(|i| members(&fleet, i)).collect();
    assert_eq!(counts, [5; 6]);
}

#[rstest]
fn a_paused_daemon_does_not_take_the_fleet_for_dead_when_it_wakes() {
    let mut fleet = settled(3, 3);
    fleet.pause(1);
    run(&mut fleet, 30);
    fleet.resume(1);
    fleet.run_for(std::time::Duration::from_millis(300));
    assert_eq!(members(&fleet, 1), 5);
    run(&mut fleet, 3);
    assert_eq!(members(&fleet, 0), 5);
}

#[rstest]
fn a_daemon_that_reaches_only_one_other_stays_a_member_of_all() {
    let mut fleet = settled(4, 4);
    for index in 2..8 {
        fleet.cut_link(0, index, true);
    }
    assert_eq!(lowest_counts(&mut fleet), [7; 8]);
}

#[rstest]
fn heartbeats_that_miss_a_daemon_by_chance_end_nobody_in_a_larger_fleet() {
    let mut fleet = settled(24, 24);
    fleet.network.loss = 0.2;
    let mut lowest = usize::MAX;
    for _ in 0..30 {
        fleet.run_for(std::time::Duration::from_millis(300));
        lowest = (0..48).map(|i| members(&fleet, i)).min().unwrap().min(lowest);
    }
    assert_eq!(lowest, 47);
}
