//! When rows whose daemons are gone may be deleted, and how long departures of other daemons are remembered.

use std::time::Instant;

use base::StoreStamp;
use store::Check;

use super::{DepartureLog, KEEP_TIME, StoredRow};
use crate::registration::Departure;

const KEY: &str = "daemon/127.0.0.1:9/departures";

fn stamp(era: u64, version: u64) -> StoreStamp {
    StoreStamp { era, version }
}

fn departure(id: &str) -> Departure {
    Departure { id: id.into(), born: 1 }
}

#[test]
fn a_row_expires_after_its_daemon_has_been_gone_for_long() {
    let (log, start) = (DepartureLog::default(), Instant::now());
    log.set_abandoned_rows(vec![(KEY.into(), stamp(0, 3))], start);
    log.set_abandoned_rows(vec![(KEY.into(), stamp(0, 3))], start + KEEP_TIME / 2);
    assert_eq!(log.take_expired_rows(start + KEEP_TIME / 10 * 9, 0), []);
    let expired = Check { key: KEY.into(), version: 3 };
    assert_eq!(log.take_expired_rows(start + KEEP_TIME, 0), [expired]);
}

#[test]
fn a_row_that_was_written_again_does_not_expire_with_the_earlier_one() {
    let (log, start) = (DepartureLog::default(), Instant::now());
    log.set_abandoned_rows(vec![(KEY.into(), stamp(0, 3))], start);
    log.set_abandoned_rows(vec![(KEY.into(), stamp(0, 4))], start + KEEP_TIME / 2);
    assert_eq!(log.take_expired_rows(start + KEEP_TIME, 0), []);
}

#[test]
fn a_row_whose_daemon_has_come_back_does_not_expire() {
    let (log, start) = (DepartureLog::default(), Instant::now());
    log.set_abandoned_rows(vec![(KEY.into(), stamp(0, 3))], start);
    log.set_abandoned_rows(Vec::new(), start + KEEP_TIME / 2);
    assert_eq!(log.take_expired_rows(start + KEEP_TIME, 0), []);
}

#[test]
fn departures_of_another_daemon_are_remembered_together_until_they_expire() {
    let (log, start) = (DepartureLog::default(), Instant::now());
    let (of, other) =
        ("127.0.0.1:9".parse().expect("an address"), "127.0.0.1:8".parse().expect("an address"));
    log.remember(of, vec![departure("s1")], start);
    log.remember(of, vec![departure("s2")], start);
    assert_eq!(log.recall(&of), [departure("s2"), departure("s1")]);
    log.remember(other, vec![departure("s3")], start + KEEP_TIME);
    assert_eq!(log.recall(&of), []);
}

// Guards against the deletion of a row to which the restored store gave the version of an abandoned one.
#[test]
fn a_row_read_before_a_restore_does_not_expire() {
    let (log, start) = (DepartureLog::default(), Instant::now());
    log.set_abandoned_rows(vec![(KEY.into(), stamp(0, 3))], start);
    assert_eq!(log.take_expired_rows(start + KEEP_TIME, 1), []);
}

// Guards against a row that the restore brought back and that expires by the time of one from before it.
#[test]
fn a_row_of_the_restored_store_counts_as_a_new_one() {
    let (log, start) = (DepartureLog::default(), Instant::now());
    log.set_abandoned_rows(vec![(KEY.into(), stamp(0, 3))], start);
    log.set_abandoned_rows(vec![(KEY.into(), stamp(1, 3))], start + KEEP_TIME / 2);
    assert_eq!(log.take_expired_rows(start + KEEP_TIME, 1), []);
}

fn log_with_stored_departure() -> DepartureLog {
    let log = DepartureLog::default();
    let departures = vec![departure("s1")];
    log.replace_row(StoredRow { stamp: stamp(0, 5), departures, is_forgotten: false });
    log
}

// Guards against a departure that is acknowledged as stored though the restored store lacks it.
#[test]
fn a_departure_stored_before_a_restore_does_not_count_as_stored() {
    let log = log_with_stored_departure();
    assert!(log.is_stored(&[departure("s1")], 0));
    assert!(!log.is_stored(&[departure("s1")], 1));
}

// Guards against a late answer from before the restore that brings the lost row back to mind.
#[test]
fn a_row_from_before_a_restore_does_not_replace_a_later_one() {
    let log = log_with_stored_departure();
    log.forget_row_before(1);
    let departures = vec![departure("s1")];
    log.replace_row(StoredRow { stamp: stamp(0, 6), departures, is_forgotten: false });
    assert_eq!(log.row.borrow().stamp, stamp(1, 0));
}
