//! Tests of ejection lists of several coordinators, of their expiry and of the floor.

use std::time::{Duration, Instant};

use base::{DaemonId, ServiceId};
use health::ejection_lists::{EjectionLists, MAX_ENTRY_TTL, apply_floor};
use health::floor::ServiceCapacity;
use rstest::rstest;
use wire::health::EjectionEntry;

fn daemon(n: u8) -> DaemonId {
    ([127, 0, 0, n], 7_000).into()
}

fn service() -> ServiceId {
    "sacristia".into()
}

fn entry(id: &str, score: f32) -> EjectionEntry {
    EjectionEntry { server: id.into(), ttl_ms: 60_000, weight: 0.0, score }
}

#[rstest]
#[case::all_ready(10, 10, 0.6, 4)]
#[case::starting_servers_are_not_healthy(10, 8, 0.6, 2)]
#[case::rounded_up(3, 3, 0.5, 1)]
#[case::already_below_the_floor(10, 5, 0.6, 0)]
#[case::floor_of_all(4, 4, 1.0, 0)]
fn the_ejection_budget_leaves_the_floor(
    #[case] announced: usize,
    #[case] ready: usize,
    #[case] floor: f64,
    #[case] expected: usize,
) {
    assert_eq!(ServiceCapacity { announced, ready }.ejection_budget(floor), expected);
}

#[test]
fn the_lists_of_two_coordinators_together_stop_at_the_floor() {
    let now = Instant::now();
    let mut lists = EjectionLists::default();
    lists.update(now, daemon(1), &service(), (1, 1), &[entry("a", 30.0), entry("b", 25.0)]);
    lists.update(now, daemon(2), &service(), (1, 1), &[entry("c", 40.0), entry("d", 24.0)]);
    let mut merged = lists.merged(&service(), now, None);
    let held = apply_floor(&mut merged, 2, |_| true);
    assert_eq!(merged.into_keys().collect::<Vec<_>>(), vec!["a".into(), "c".into()]);
    assert_eq!(held, vec!["b".into(), "d".into()]);
}

#[test]
fn a_list_expires_within_the_longest_time_to_live() {
    let now = Instant::now();
    let mut lists = EjectionLists::default();
    lists.update(now, daemon(1), &service(), (1, 1), &[entry("a", 30.0)]);
    assert!(lists.merged(&service(), now + MAX_ENTRY_TTL, None).is_empty());
}

#[rstest]
#[case::same_number((5, 7), false)]
#[case::earlier((5, 6), false)]
#[case::earlier_incarnation((4, 99), false)]
#[case::next((5, 8), true)]
#[case::later_incarnation((6, 1), true)]
fn only_newer_lists_replace_a_list(#[case] order: (u64, u64), #[case] is_accepted: bool) {
    let now = Instant::now();
    let mut lists = EjectionLists::default();
    lists.update(now, daemon(1), &service(), (5, 7), &[entry("a", 30.0)]);
    assert_eq!(lists.update(now, daemon(1), &service(), order, &[]), is_accepted);
}

#[test]
fn an_older_list_that_arrives_late_is_refused_after_the_newer_one_expired() {
    let now = Instant::now();
    let mut lists = EjectionLists::default();
    lists.update(now, daemon(1), &service(), (1, 5), &[]);
    lists.drop_expired(now + Duration::from_mins(1));
    lists.update(now + Duration::from_mins(1), daemon(1), &service(), (1, 4), &[entry("a", 30.0)]);
    assert!(lists.merged(&service(), now + Duration::from_mins(1), None).is_empty());
}

#[test]
fn a_server_that_is_not_ready_is_not_ejected() {
    let now = Instant::now();
    let mut lists = EjectionLists::default();
    lists.update(now, daemon(1), &service(), (1, 1), &[entry("cold", 30.0)]);
    let mut merged = lists.merged(&service(), now, None);
    apply_floor(&mut merged, 5, |_| false);
    assert!(merged.is_empty());
}
