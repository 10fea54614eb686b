use base::Place;
use rstest::rstest;

use super::*;

fn info(port: u16, incarnation: u64, state: MemberState) -> MemberInfo {
    let id = DaemonId::from(([127, 0, 0, 1], port));
    MemberInfo { id, api: id, place: Place::new("meseta", "barva"), incarnation, state }
}

fn beat(of: &MemberInfo, clock: u32) -> Heartbeat {
    Heartbeat { daemon: incarnation_hash(of.id, of.incarnation), clock, packed_lag: 0, server_set_seq: 0 }
}

fn with(now: Instant, infos: &[MemberInfo]) -> Table {
    let mut table = Table::default();
    for info in infos {
        table.merge(now, info, true);
    }
    table
}

#[rstest]
fn a_row_of_a_successor_does_not_end_a_member_that_is_heard() {
    let now = Instant::now();
    let alive = info(1, 5, MemberState::Alive);
    let mut table = with(now, std::slice::from_ref(&alive));
    let change = table.merge(now, &info(1, 6, MemberState::Dead), false);
    assert_eq!(change, Change::None);
    assert!(table.get(alive.id).unwrap().is_talking());
}

#[rstest]
fn a_repeated_heartbeat_is_no_sign_of_life() {
    let now = Instant::now();
    let alive = info(1, 5, MemberState::Alive);
    let mut table = with(now, std::slice::from_ref(&alive));
    table.beat(now, alive.id, &beat(&alive, 9), 0);
    let change = table.beat(now + Duration::from_secs(1), alive.id, &beat(&alive, 9), 0);
    assert_eq!(change, Change::None);
    assert_eq!(table.get(alive.id).unwrap().heard, now);
}

#[rstest]
fn a_heartbeat_of_an_earlier_incarnation_is_unknown() {
    let now = Instant::now();
    let old = info(1, 5, MemberState::Alive);
    let mut table = with(now, &[old.clone(), info(1, 6, MemberState::Alive)]);
    let change = table.beat(now, old.id, &beat(&old, 9), 0);
    assert_eq!(change, Change::Unknown(incarnation_hash(old.id, 5)));
}

#[rstest]
fn a_late_word_does_not_revive_a_daemon_that_left() {
    let now = Instant::now();
    let alive = info(1, 5, MemberState::Alive);
    let mut table = with(now, &[alive.clone(), info(1, 5, MemberState::Left)]);
    assert_eq!(table.merge(now, &alive, true), Change::None);
    assert_eq!(table.beat(now, alive.id, &beat(&alive, 9), 0), Change::None);
    assert_eq!(table.get(alive.id).unwrap().info.state, MemberState::Left);
}

#[rstest]
fn daemons_that_share_a_name_live_by_their_own_words() {
    let now = Instant::now();
    let (a, b) = (info(1, 5, MemberState::Alive), info(2, 5, MemberState::Alive));
    let mut table = with(now, &[a.clone(), b.clone()]);
    table.by_short.insert(incarnation_hash(a.id, a.incarnation), None);
    assert_eq!(table.beat(now, b.id, &beat(&a, 9), 0), Change::None);
    assert_eq!(table.beat(now, a.id, &beat(&a, 9), 0), Change::Heard(a.id));
}

#[rstest]
fn a_silent_member_is_probed_then_suspect_then_gone() {
    let now = Instant::now();
    let alive = info(1, 5, MemberState::Alive);
    let mut table = with(now, std::slice::from_ref(&alive));
    let pace = Pace::new(2);
    let overdue = table.judge(now + pace.suspect_after, &pace).overdue;
    let suspect = table.judge(now + pace.suspect_after + DIRECT_TIME, &pace).suspect;
    let gone = table.judge(now + pace.dead_after, &pace).gone;
    assert_eq!((overdue, suspect, gone), (vec![alive.id], vec![alive.id], vec![alive.id]));
}
