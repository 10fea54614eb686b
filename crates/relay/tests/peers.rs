//! What a daemon knows of the others.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::Place;
use relay::clock::BootTime;
use relay::handoff::Report;
use relay::peers::{Gone, Listed, Peers, Status};
use route::placement::ServerCondition;

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7780))
}

fn listed(n: u16, region: &str, centre: &str) -> Listed {
    Listed { addr: addr(n), incarnation: 1, place: Place::new(region, centre), service: "sacristia".into() }
}

fn status(members: u16, hears_you: bool) -> Status {
    let report = Report {
        takes_work: true,
        running: 0,
        waiting: 0,
        slots: 5,
        mean_run_ms: 400,
        condition: ServerCondition::Healthy,
    };
    Status {
        incarnation: 1,
        report,
        version: 1,
        proof_age_ms: None,
        sent_at: BootTime::default(),
        echo: None,
        hears_you,
        members,
    }
}

/// Daemon 0 in barva, with others in three data centres.
fn peers(now: Instant) -> Peers {
    let mut peers = Peers::new(addr(0), Place::new("meseta", "barva"));
    for n in 1..10 {
        peers.note_listed(listed(n, "meseta", "barva"), now);
    }
    for n in 10..30 {
        peers.note_listed(listed(n, "meseta", "paraiso"), now);
    }
    for n in 30..50 {
        peers.note_listed(listed(n, "guanacaste", "canas"), now);
    }
    peers
}

fn reachable(peers: &Peers, n: u16, now: Instant) -> bool {
    let (addrs, candidates) = peers.candidates("sacristia", &[], now);
    let index = addrs.iter().position(|a| *a == addr(n)).expect("it is a candidate");
    candidates.iter().any(|c| c.index == index && c.reachable)
}

#[test]
fn a_daemon_that_hears_us_is_reachable() {
    let now = Instant::now();
    let mut peers = peers(now);
    peers.note_status(addr(1), &status(50, true), now);
    assert!(reachable(&peers, 1, now));
}

#[test]
fn a_way_that_works_in_one_direction_only_is_not_used() {
    let now = Instant::now();
    let mut peers = peers(now);
    peers.note_status(addr(1), &status(50, false), now);
    assert!(!reachable(&peers, 1, now));
}

#[test]
fn a_silent_daemon_gets_no_work() {
    let now = Instant::now();
    let mut peers = peers(now);
    peers.note_status(addr(1), &status(50, true), now);
    assert!(!reachable(&peers, 1, now + Duration::from_secs(3)));
}

#[test]
fn a_failed_way_rests_until_it_is_heard_again() {
    let now = Instant::now();
    let mut peers = peers(now);
    peers.note_status(addr(1), &status(50, true), now);
    peers.note_path_failure(addr(1), now);
    assert!(!reachable(&peers, 1, now));
    peers.note_status(addr(1), &status(50, true), now);
    assert!(reachable(&peers, 1, now));
}

#[test]
fn a_state_of_an_earlier_process_changes_nothing() {
    let now = Instant::now();
    let mut peers = peers(now);
    let newer = Listed { incarnation: 2, ..listed(1, "meseta", "barva") };
    assert!(peers.note_listed(newer, now));
    assert!(peers.note_status(addr(1), &status(50, true), now));
    assert!(!reachable(&peers, 1, now));
}

#[test]
fn a_state_of_an_unknown_process_asks_for_an_introduction() {
    let now = Instant::now();
    let mut peers = peers(now);
    assert!(!peers.note_status(addr(99), &status(50, true), now));
}

#[test]
fn partners_are_few_and_agree() {
    let now = Instant::now();
    let here = peers(now);
    let partners = here.partners("sacristia");
    assert!(partners.len() < 15, "{}", partners.len());
    for n in 10..30 {
        let mut there = Peers::new(addr(n), Place::new("meseta", "paraiso"));
        for m in (0..30).filter(|m| *m != n) {
            let centre = if m < 10 { "barva" } else { "paraiso" };
            there.note_listed(listed(m, "meseta", centre), now);
        }
        assert_eq!(partners.contains(&addr(n)), there.partners("sacristia").contains(&addr(0)));
    }
}

#[test]
fn a_daemon_that_has_just_started_believes_the_larger_count() {
    let now = Instant::now();
    let mut peers = Peers::new(addr(0), Place::new("meseta", "barva"));
    peers.note_listed(listed(1, "meseta", "barva"), now);
    peers.note_status(addr(1), &status(50, true), now);
    assert_eq!(peers.dividers(now), 50);
}

#[test]
fn silent_daemons_leave_little_of_their_part_to_others() {
    let now = Instant::now();
    let mut peers = peers(now);
    for n in 1..30 {
        peers.note_status(addr(n), &status(50, true), now);
    }
    assert_eq!(peers.dividers(now), 50);
    assert_eq!(peers.dividers(now + Duration::from_secs(10)), 47);
}

#[test]
fn a_daemon_that_is_gone_is_forgotten_unless_it_started_again() {
    let now = Instant::now();
    let mut peers = peers(now);
    assert!(peers.note_gone(Gone { addr: addr(1), incarnation: 1, spread: false }));
    assert_eq!(peers.members(), 49);
    peers.note_listed(Listed { incarnation: 3, ..listed(2, "meseta", "barva") }, now);
    assert!(!peers.note_gone(Gone { addr: addr(2), incarnation: 1, spread: false }));
}

#[test]
fn only_long_silence_counts_as_gone() {
    let now = Instant::now();
    let peers = peers(now);
    assert!(peers.silent_for_good(now + Duration::from_secs(12)).is_empty());
    assert_eq!(peers.silent_for_good(now + Duration::from_secs(25)).len(), 9);
}

/// Daemon 74 of a data centre with 75 daemons, of which the first `holders` have version 2.
fn large_centre(holders: u16, now: Instant) -> Peers {
    let mut peers = Peers::new(addr(74), Place::new("meseta", "barva"));
    for n in 0..74 {
        peers.note_listed(listed(n, "meseta", "barva"), now);
        let version = if n < holders { 2 } else { 1 };
        peers.note_status(addr(n), &Status { version, ..status(75, true) }, now);
    }
    peers
}

#[test]
fn states_are_slower_in_a_large_data_centre() {
    let now = Instant::now();
    let interval = peers(now).status_interval();
    assert!(large_centre(0, now).status_interval() > interval * 3);
}

#[test]
fn a_daemon_of_a_large_data_centre_is_not_silent_between_two_states() {
    let now = Instant::now();
    let peers = large_centre(0, now);
    let later = now + peers.status_interval() * 5 / 2;
    assert!(peers.is_heard(&addr(1), later));
}

#[test]
fn the_last_daemon_of_a_large_data_centre_waits_until_others_have_a_configuration() {
    let now = Instant::now();
    assert!(!large_centre(1, now).may_fetch(1, now));
    assert!(large_centre(5, now).may_fetch(1, now));
}

#[test]
fn every_daemon_of_a_small_data_centre_may_fetch_at_once() {
    let now = Instant::now();
    assert!(peers(now).may_fetch(0, now));
}

/// What a daemon's state says of a server that is thought to fail.
fn failing(members: u16) -> Status {
    let sound = status(members, true);
    Status { report: Report { condition: ServerCondition::Suspect, ..sound.report }, ..sound }
}

#[test]
fn a_slow_run_at_a_server_that_is_heard_to_be_sound_is_not_in_doubt() {
    let now = Instant::now();
    let mut peers = peers(now);
    peers.note_status(addr(1), &status(50, true), now);
    assert!(!peers.is_doubtful(&addr(1), now, now));
}

#[test]
fn a_slow_run_at_a_server_that_is_thought_to_fail_is_in_doubt() {
    let now = Instant::now();
    let mut peers = peers(now);
    peers.note_status(addr(1), &failing(50), now);
    assert!(peers.is_doubtful(&addr(1), now, now));
}

#[test]
fn a_slow_run_at_a_silent_daemon_is_in_doubt() {
    let now = Instant::now();
    let mut peers = peers(now);
    peers.note_status(addr(1), &status(50, true), now);
    assert!(peers.is_doubtful(&addr(1), now, now + Duration::from_secs(2)));
}

#[test]
fn a_slow_run_in_another_region_is_in_doubt_without_a_report_since_it_began() {
    let now = Instant::now();
    let mut peers = peers(now);
    let began = now + Duration::from_millis(1);
    peers.note_report(addr(30), status(50, true).report, now);
    assert!(peers.is_doubtful(&addr(30), began, began));
    peers.note_report(addr(30), status(50, true).report, began);
    assert!(!peers.is_doubtful(&addr(30), began, began));
}
