//! Table of other daemons: which of them get work, which exchange status messages, and when they expire.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::Place;
use relay::clock::BootTime;
use relay::datagram::{PeerInfo, RemovedPeer, Status};
use relay::handoff::ServerReport;
use relay::peers::{Peers, StatusOutcome};
use route::placement::{Candidate, Distance, ServerCondition};

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7780))
}

fn peer_info(n: u16, region: &str, centre: &str) -> PeerInfo {
    PeerInfo { addr: addr(n), incarnation: 1, place: Place::new(region, centre), service: "sacristia".into() }
}

fn status(member_count: u16, receives_from_you: bool) -> Status {
    let report = ServerReport {
        takes_work: true,
        running: 0,
        waiting: 0,
        slots: 5,
        slowness_percent: 100,
        condition: ServerCondition::Healthy,
        work_ms: 0,
        work_before_calls_ms: 0,
        shed_percent: 0,
    };
    Status {
        incarnation: 1,
        report,
        version: 1,
        proof_age_ms: None,
        sent_at: BootTime::default(),
        echo: None,
        receives_from_you,
        member_count,
    }
}

/// Table of daemon 0 in data centre barva, with daemons in three data centres.
fn peers(now: Instant) -> Peers {
    let mut peers = Peers::new(addr(0), Place::new("meseta", "barva"));
    for n in 1..10 {
        peers.add_peer(peer_info(n, "meseta", "barva"), now);
    }
    for n in 10..30 {
        peers.add_peer(peer_info(n, "meseta", "paraiso"), now);
    }
    for n in 30..50 {
        peers.add_peer(peer_info(n, "guanacaste", "canas"), now);
    }
    peers
}

fn candidate(peers: &Peers, n: u16, now: Instant) -> Candidate {
    let (addrs, candidates) = peers.candidates("sacristia", &[], |_| true, now);
    let index = addrs.iter().position(|a| *a == addr(n)).expect("the daemon is a candidate");
    candidates.into_iter().find(|c| c.index == index).expect("each daemon has its candidate")
}

fn is_reachable(peers: &Peers, n: u16, now: Instant) -> bool {
    candidate(peers, n, now).reachable
}

fn condition(peers: &Peers, n: u16, now: Instant) -> ServerCondition {
    candidate(peers, n, now).condition
}

#[test]
fn a_daemon_that_receives_our_status_is_reachable() {
    let now = Instant::now();
    let mut peers = peers(now);
    peers.apply_status(addr(1), &status(50, true), now);
    assert!(is_reachable(&peers, 1, now));
}

#[test]
fn a_path_that_works_in_one_direction_only_is_not_used() {
    let now = Instant::now();
    let mut peers = peers(now);
    peers.apply_status(addr(1), &status(50, false), now);
    assert!(!is_reachable(&peers, 1, now));
}

#[test]
fn a_silent_daemon_gets_no_work() {
    let now = Instant::now();
    let mut peers = peers(now);
    peers.apply_status(addr(1), &status(50, true), now);
    assert!(!is_reachable(&peers, 1, now + Duration::from_secs(3)));
}

#[test]
fn a_failed_path_is_not_used_until_the_next_status() {
    let now = Instant::now();
    let mut peers = peers(now);
    peers.apply_status(addr(1), &status(50, true), now);
    peers.record_path_failure(addr(1), now);
    assert!(!is_reachable(&peers, 1, now));
    peers.apply_status(addr(1), &status(50, true), now);
    assert!(is_reachable(&peers, 1, now));
}

#[test]
fn a_status_of_an_earlier_process_changes_nothing() {
    let now = Instant::now();
    let mut peers = peers(now);
    let newer = PeerInfo { incarnation: 2, ..peer_info(1, "meseta", "barva") };
    assert!(peers.add_peer(newer, now));
    let outcome = peers.apply_status(addr(1), &status(50, true), now);
    assert_eq!(outcome, StatusOutcome::EarlierProcess { known: 2 });
    assert!(!is_reachable(&peers, 1, now));
}

#[test]
fn a_status_of_an_unknown_process_asks_for_an_introduction() {
    let now = Instant::now();
    let mut peers = peers(now);
    let outcome = peers.apply_status(addr(99), &status(50, true), now);
    assert_eq!(outcome, StatusOutcome::UnknownProcess);
}

#[test]
fn a_daemon_that_has_just_started_divides_rates_by_the_largest_reported_count() {
    let now = Instant::now();
    let mut peers = Peers::new(addr(0), Place::new("meseta", "barva"));
    peers.add_peer(peer_info(1, "meseta", "barva"), now);
    peers.apply_status(addr(1), &status(50, true), now);
    assert_eq!(peers.rate_divisor(now), 50);
}

#[test]
fn silent_daemons_release_only_a_small_part_of_their_share() {
    let now = Instant::now();
    let mut peers = peers(now);
    for n in 1..30 {
        peers.apply_status(addr(n), &status(50, true), now);
    }
    assert_eq!(peers.rate_divisor(now), 50);
    assert_eq!(peers.rate_divisor(now + Duration::from_secs(10)), 47);
}

#[test]
fn a_removed_daemon_is_forgotten_unless_it_has_restarted() {
    let now = Instant::now();
    let mut peers = peers(now);
    assert!(peers.remove_peer(RemovedPeer { addr: addr(1), incarnation: 1, forward: false }));
    assert_eq!(peers.member_count(), 49);
    peers.add_peer(PeerInfo { incarnation: 3, ..peer_info(2, "meseta", "barva") }, now);
    assert!(!peers.remove_peer(RemovedPeer { addr: addr(2), incarnation: 1, forward: false }));
}

#[test]
fn only_long_silence_expires_a_peer() {
    let now = Instant::now();
    let peers = peers(now);
    assert!(peers.expired_peers(now + Duration::from_secs(12)).is_empty());
    assert_eq!(peers.expired_peers(now + Duration::from_secs(25)).len(), 9);
}

/// Table of daemon 74 in a data centre of 75 daemons, of which the first `holders` have version 2.
fn large_centre(holders: u16, now: Instant) -> Peers {
    let mut peers = Peers::new(addr(74), Place::new("meseta", "barva"));
    for n in 0..74 {
        peers.add_peer(peer_info(n, "meseta", "barva"), now);
        let version = if n < holders { 2 } else { 1 };
        peers.apply_status(addr(n), &Status { version, ..status(75, true) }, now);
    }
    peers
}

#[test]
fn status_messages_are_less_frequent_in_a_large_data_centre() {
    let now = Instant::now();
    let interval = peers(now).status_interval();
    assert!(large_centre(0, now).status_interval() > interval * 3);
}

#[test]
fn a_daemon_of_a_large_data_centre_is_not_silent_between_two_status_messages() {
    let now = Instant::now();
    let peers = large_centre(0, now);
    let later = now + peers.status_interval() * 5 / 2;
    assert!(peers.has_recent_status(&addr(1), later));
}

#[test]
fn the_last_daemon_of_a_large_data_centre_waits_until_enough_daemons_have_a_configuration() {
    let now = Instant::now();
    assert!(!large_centre(1, now).may_fetch_config(1, Distance::SameDataCentre, now));
    assert!(large_centre(5, now).may_fetch_config(1, Distance::SameDataCentre, now));
}

#[test]
fn every_daemon_of_a_small_data_centre_may_fetch_at_once() {
    let now = Instant::now();
    assert!(peers(now).may_fetch_config(0, Distance::SameDataCentre, now));
}

/// Status of a daemon whose server is suspected to fail.
fn suspect_status(member_count: u16) -> Status {
    let healthy = status(member_count, true);
    Status { report: ServerReport { condition: ServerCondition::Suspect, ..healthy.report }, ..healthy }
}

#[test]
fn a_healthy_server_with_a_recent_status_is_neither_suspect_nor_silent() {
    let now = Instant::now();
    let mut peers = peers(now);
    peers.apply_status(addr(1), &status(50, true), now);
    assert!(!peers.is_suspect_or_silent(&addr(1), now, now));
}

#[test]
fn a_server_that_is_reported_as_suspect_is_suspect() {
    let now = Instant::now();
    let mut peers = peers(now);
    peers.apply_status(addr(1), &suspect_status(50), now);
    assert!(peers.is_suspect_or_silent(&addr(1), now, now));
}

#[test]
fn a_daemon_without_a_recent_status_is_silent() {
    let now = Instant::now();
    let mut peers = peers(now);
    peers.apply_status(addr(1), &status(50, true), now);
    assert!(peers.is_suspect_or_silent(&addr(1), now, now + Duration::from_secs(2)));
}

#[test]
fn a_daemon_of_another_region_is_silent_without_a_report_since_the_handoff() {
    let now = Instant::now();
    let mut peers = peers(now);
    let handed_off_at = now + Duration::from_millis(1);
    peers.record_report(addr(30), status(50, true).report, now);
    assert!(peers.is_suspect_or_silent(&addr(30), handed_off_at, handed_off_at));
    peers.record_report(addr(30), status(50, true).report, handed_off_at);
    assert!(!peers.is_suspect_or_silent(&addr(30), handed_off_at, handed_off_at));
}

#[test]
fn a_suspect_server_is_probed_once_for_each_report() {
    let now = Instant::now();
    let mut peers = peers(now);
    let probation = ServerReport { condition: ServerCondition::Probation, ..status(50, true).report };
    peers.record_report(addr(1), probation, now);
    assert_eq!(condition(&peers, 1, now), ServerCondition::Probation);
    peers.record_handoff(addr(1), now);
    assert_eq!(condition(&peers, 1, now), ServerCondition::Suspect);
}
