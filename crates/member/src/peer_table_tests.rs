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

fn table_with(now: Instant, infos: &[MemberInfo]) -> PeerTable {
    let mut table = PeerTable::default();
    for info in infos {
        table.merge(now, info, true);
    }
    table
}

#[rstest]
fn a_row_of_a_later_incarnation_does_not_replace_a_member_that_is_heard() {
    let now = Instant::now();
    let alive = info(1, 5, MemberState::Alive);
    let mut table = table_with(now, std::slice::from_ref(&alive));
    let change = table.merge(now, &info(1, 6, MemberState::Dead), false);
    assert_eq!(change, PeerChange::None);
    assert!(table.get(alive.id).unwrap().is_active());
}

#[rstest]
fn a_repeated_heartbeat_does_not_keep_a_member_alive() {
    let now = Instant::now();
    let alive = info(1, 5, MemberState::Alive);
    let mut table = table_with(now, std::slice::from_ref(&alive));
    table.apply_heartbeat(now, alive.id, &beat(&alive, 9), 0);
    let change = table.apply_heartbeat(now + Duration::from_secs(1), alive.id, &beat(&alive, 9), 0);
    assert_eq!(change, PeerChange::None);
    assert_eq!(table.get(alive.id).unwrap().heard_at, now);
}

#[rstest]
fn a_heartbeat_of_an_earlier_incarnation_is_unknown() {
    let now = Instant::now();
    let old = info(1, 5, MemberState::Alive);
    let mut table = table_with(now, &[old.clone(), info(1, 6, MemberState::Alive)]);
    let change = table.apply_heartbeat(now, old.id, &beat(&old, 9), 0);
    assert_eq!(change, PeerChange::Unknown(incarnation_hash(old.id, 5)));
}

#[rstest]
fn a_late_message_does_not_revive_a_daemon_that_left() {
    let now = Instant::now();
    let alive = info(1, 5, MemberState::Alive);
    let mut table = table_with(now, &[alive.clone(), info(1, 5, MemberState::Left)]);
    assert_eq!(table.merge(now, &alive, true), PeerChange::None);
    assert_eq!(table.apply_heartbeat(now, alive.id, &beat(&alive, 9), 0), PeerChange::None);
    assert_eq!(table.get(alive.id).unwrap().info.state, MemberState::Left);
}

#[rstest]
fn a_forwarded_heartbeat_counts_for_neither_of_two_daemons_that_share_a_hash() {
    let now = Instant::now();
    let (a, b) = (info(1, 5, MemberState::Alive), info(2, 5, MemberState::Alive));
    let mut table = table_with(now, &[a.clone(), b.clone()]);
    table.by_hash.insert(incarnation_hash(a.id, a.incarnation), None);
    assert_eq!(table.apply_heartbeat(now, b.id, &beat(&a, 9), 0), PeerChange::None);
    assert_eq!(table.apply_heartbeat(now, a.id, &beat(&a, 9), 0), PeerChange::Heard(a.id));
}

#[rstest]
fn a_silent_member_is_probed_then_suspected_then_dead() {
    let now = Instant::now();
    let alive = info(1, 5, MemberState::Alive);
    let mut table = table_with(now, std::slice::from_ref(&alive));
    let timing = DetectorTiming::new(2);
    let overdue = table.detect_failures(now + timing.probe_after, &timing).overdue;
    let suspect = table.detect_failures(now + timing.probe_after + DIRECT_PROBE_TIME, &timing).suspect;
    let dead = table.detect_failures(now + timing.dead_after, &timing).dead;
    assert_eq!((overdue, suspect, dead), (vec![alive.id], vec![alive.id], vec![alive.id]));
}
