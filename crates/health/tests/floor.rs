//! Lists of several coordinators, and the floor.

use std::time::{Duration, Instant};

use base::{DaemonId, ServiceId};
use health::floor::Capacity;
use health::lists::{Lists, MAX_TTL, apply_floor};
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
#[case::cold_ones_are_not_healthy(10, 8, 0.6, 2)]
#[case::rounded_up(3, 3, 0.5, 1)]
#[case::below_already(10, 5, 0.6, 0)]
#[case::whole(4, 4, 1.0, 0)]
fn budget(#[case] announced: usize, #[case] ready: usize, #[case] floor: f64, #[case] want: usize) {
    assert_eq!(Capacity { announced, ready }.budget(floor), want);
}

#[test]
fn the_union_of_two_coordinators_stops_at_the_floor() {
    let now = Instant::now();
    let mut lists = Lists::default();
    lists.take(now, daemon(1), &service(), (1, 1), &[entry("a", 30.0), entry("b", 25.0)]);
    lists.take(now, daemon(2), &service(), (1, 1), &[entry("c", 40.0), entry("d", 24.0)]);
    let mut union = lists.union(&service(), now, None);
    let held = apply_floor(&mut union, 2, |_| true);
    assert_eq!(union.into_keys().collect::<Vec<_>>(), vec!["a".into(), "c".into()]);
    assert_eq!(held, vec!["b".into(), "d".into()]);
}

#[test]
fn a_list_lapses_within_the_longest_deadline() {
    let now = Instant::now();
    let mut lists = Lists::default();
    lists.take(now, daemon(1), &service(), (1, 1), &[entry("a", 30.0)]);
    assert!(lists.union(&service(), now + MAX_TTL, None).is_empty());
}

#[rstest]
#[case::doubled((5, 7), false)]
#[case::earlier((5, 6), false)]
#[case::of_an_earlier_process((4, 99), false)]
#[case::next((5, 8), true)]
#[case::of_a_successor((6, 1), true)]
fn lists_replace_each_other_in_order(#[case] order: (u64, u64), #[case] want: bool) {
    let now = Instant::now();
    let mut lists = Lists::default();
    lists.take(now, daemon(1), &service(), (5, 7), &[entry("a", 30.0)]);
    assert_eq!(lists.take(now, daemon(1), &service(), order, &[]), want);
}

#[test]
fn a_late_list_does_not_revive_a_lapsed_one() {
    let now = Instant::now();
    let mut lists = Lists::default();
    lists.take(now, daemon(1), &service(), (1, 5), &[]);
    lists.lapse(now + Duration::from_mins(1));
    lists.take(now + Duration::from_mins(1), daemon(1), &service(), (1, 4), &[entry("a", 30.0)]);
    assert!(lists.union(&service(), now + Duration::from_mins(1), None).is_empty());
}

#[test]
fn a_server_that_is_not_ready_is_not_listed() {
    let now = Instant::now();
    let mut lists = Lists::default();
    lists.take(now, daemon(1), &service(), (1, 1), &[entry("cold", 30.0)]);
    let mut union = lists.union(&service(), now, None);
    apply_floor(&mut union, 5, |_| false);
    assert!(union.is_empty());
}
