//! Heartbeats that are delayed, duplicated, of an earlier incarnation, or of a server that has left.

use std::time::{Duration, Instant};

use relay::handoff::DeclineReason;
use relay::registration::{Departure, Heartbeat, HeartbeatOutcome, Registration};

fn heartbeat(born: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        id: "s1".into(),
        born,
        sequence,
        service: "sacristia".into(),
        slots: 5,
        draining: false,
        cold_for: Duration::ZERO,
    }
}

/// Whether the registered server takes new work of its service.
fn serves(registration: &Registration) -> bool {
    registration.serving("sacristia").is_ok()
}

fn draining(born: u64, sequence: u64) -> Heartbeat {
    Heartbeat { draining: true, ..heartbeat(born, sequence) }
}

fn registered(heartbeats: impl IntoIterator<Item = Heartbeat>) -> Registration {
    let mut registration = Registration::default();
    for heartbeat in heartbeats {
        registration.apply_heartbeat(heartbeat, Instant::now());
    }
    registration
}

#[test]
fn a_registered_server_serves_its_service_only() {
    let registration = registered([heartbeat(1, 1)]);
    assert!(serves(&registration));
    assert_eq!(registration.serving("bodega").err(), Some(DeclineReason::OtherService));
}

#[test]
fn a_late_heartbeat_does_not_revive_a_draining_server() {
    let mut registration = registered([heartbeat(1, 1), draining(1, 3)]);
    assert_eq!(registration.apply_heartbeat(heartbeat(1, 2), Instant::now()), HeartbeatOutcome::Late);
    assert_eq!(registration.serving("sacristia").err(), Some(DeclineReason::Draining));
}

#[test]
fn draining_is_final_for_one_incarnation() {
    let registration = registered([draining(1, 1), heartbeat(1, 2)]);
    assert_eq!(registration.serving("sacristia").err(), Some(DeclineReason::Draining));
}

#[test]
fn a_new_incarnation_serves_again_although_its_sequence_begins_anew() {
    let registration = registered([heartbeat(1, 1), draining(1, 9), heartbeat(2, 1)]);
    assert!(serves(&registration));
}

#[test]
fn a_heartbeat_of_an_earlier_incarnation_changes_nothing() {
    let mut registration = registered([heartbeat(2, 1)]);
    assert_eq!(registration.apply_heartbeat(draining(1, 99), Instant::now()), HeartbeatOutcome::Outdated);
    assert!(serves(&registration));
}

#[test]
fn a_server_that_left_is_not_revived_by_a_late_heartbeat() {
    let mut registration = registered([heartbeat(5, 1)]);
    assert!(registration.deregister("s1", 10));
    assert_eq!(registration.apply_heartbeat(heartbeat(5, 2), Instant::now()), HeartbeatOutcome::Outdated);
    assert_eq!(registration.serving("sacristia").err(), Some(DeclineReason::NoServer));
}

#[test]
fn a_departure_counts_also_if_the_server_was_not_known() {
    let mut registration = Registration::default();
    assert!(!registration.deregister("s1", 10));
    assert_eq!(registration.apply_heartbeat(heartbeat(5, 2), Instant::now()), HeartbeatOutcome::Outdated);
    assert_eq!(registration.apply_heartbeat(heartbeat(11, 1), Instant::now()), HeartbeatOutcome::Registered);
}

#[test]
fn the_departure_of_another_server_changes_nothing() {
    let mut registration = registered([heartbeat(5, 1)]);
    assert!(!registration.deregister("s0", 10));
    assert!(serves(&registration));
}

#[test]
fn a_departure_that_an_earlier_process_acknowledged_holds_for_late_heartbeats() {
    let before = registered([heartbeat(1, 1), draining(1, 3)]);
    let mut registration = Registration::default();
    registration.restore_departures(before.departures());
    registration.apply_heartbeat(heartbeat(1, 2), Instant::now());
    assert_eq!(registration.serving("sacristia").err(), Some(DeclineReason::Draining));
}

#[test]
fn a_departure_that_is_restored_late_stops_the_registered_server() {
    let before = registered([heartbeat(1, 1), draining(1, 3)]);
    let mut registration = registered([heartbeat(1, 2)]);
    assert!(registration.restore_departures(before.departures()));
    assert!(!serves(&registration));
}

#[test]
fn a_restored_departure_does_not_concern_the_next_incarnation() {
    let before = registered([heartbeat(1, 1), draining(1, 3)]);
    let mut registration = Registration::default();
    registration.restore_departures(before.departures());
    registration.apply_heartbeat(heartbeat(2, 1), Instant::now());
    assert!(serves(&registration));
}

#[test]
fn a_server_that_is_cold_for_ever_is_registered() {
    let cold = Heartbeat { cold_for: Duration::MAX, ..heartbeat(1, 1) };
    assert!(serves(&registered([cold])));
}

#[test]
fn departures_that_are_restored_from_two_sources_all_hold() {
    let mut registration = Registration::default();
    registration.restore_departures(vec![Departure { id: "s1".into(), born: 5 }]);
    registration.restore_departures(vec![Departure { id: "s2".into(), born: 7 }]);
    registration.restore_departures(vec![Departure { id: "s1".into(), born: 4 }]);
    let latest_first =
        [Departure { id: "s2".into(), born: 7 }, Departure { id: "s1".into(), born: 5 }].to_vec();
    assert_eq!(registration.departures(), latest_first);
}

// Guards against requests that run at the server of another service, after a heartbeat of another writer.
#[test]
fn a_heartbeat_does_not_turn_a_server_over_to_another_service() {
    let mut registration = registered([heartbeat(1, 1)]);
    let odd = Heartbeat { service: "bodega".into(), ..heartbeat(1, 2) };
    assert_eq!(registration.apply_heartbeat(odd, Instant::now()), HeartbeatOutcome::ServiceChanged);
    assert!(serves(&registration));
}

#[test]
fn a_server_that_starts_anew_may_be_of_another_service() {
    let mut registration = registered([heartbeat(1, 9)]);
    let next = Heartbeat { service: "bodega".into(), ..heartbeat(2, 1) };
    assert_eq!(registration.apply_heartbeat(next, Instant::now()), HeartbeatOutcome::Registered);
    assert_eq!(registration.serving("bodega").err(), None);
}

// Guards against an acknowledged draining without effect, after a heartbeat with too large a sequence number.
#[test]
fn draining_counts_although_a_later_heartbeat_was_applied() {
    let mut registration = registered([heartbeat(1, 1_000_000), draining(1, 4)]);
    assert_eq!(registration.serving("sacristia").err(), Some(DeclineReason::Draining));
    assert_eq!(registration.apply_heartbeat(draining(1, 5), Instant::now()), HeartbeatOutcome::Late);
}

fn cold(born: u64, sequence: u64, cold_for: Duration) -> Heartbeat {
    Heartbeat { cold_for, ..heartbeat(born, sequence) }
}

// Guards against a full load on a server whose caches are empty.
#[test]
fn a_server_is_cold_for_the_time_that_its_last_heartbeat_states() {
    let now = Instant::now();
    let mut registration = Registration::default();
    registration.apply_heartbeat(heartbeat(1, 1), now);
    assert!(!registration.is_cold(now));
    registration.apply_heartbeat(cold(1, 2, Duration::from_secs(3)), now);
    assert!(registration.is_cold(now + Duration::from_millis(2_999)));
    assert!(!registration.is_cold(now + Duration::from_secs(3)));
    registration.apply_heartbeat(cold(1, 4, Duration::from_secs(3)), now);
    registration.apply_heartbeat(heartbeat(1, 3), now);
    assert!(registration.is_cold(now), "a late heartbeat says nothing of the present");
    registration.apply_heartbeat(heartbeat(1, 5), now);
    assert!(!registration.is_cold(now));
}

// Guards against a server that became cold unseen, in an evacuation or while it could not be connected to.
#[test]
fn a_suspected_server_is_cold_until_enough_heartbeats_have_come() {
    let now = Instant::now();
    let mut registration = registered([heartbeat(1, 1)]);
    registration.suspect_cold(2);
    registration.suspect_cold(1);
    registration.apply_heartbeat(heartbeat(1, 2), now);
    registration.apply_heartbeat(heartbeat(1, 2), now);
    assert!(registration.is_cold(now), "one heartbeat, delivered twice, is not enough");
    registration.apply_heartbeat(heartbeat(1, 3), now);
    assert!(!registration.is_cold(now));
}

// Guards against a server that stays throttled because of what happened to the one before it.
#[test]
fn a_new_incarnation_is_as_cold_as_it_says() {
    let now = Instant::now();
    let mut registration = registered([heartbeat(1, 1)]);
    registration.suspect_cold(2);
    registration.apply_heartbeat(heartbeat(2, 1), now);
    assert!(!registration.is_cold(now));
}
