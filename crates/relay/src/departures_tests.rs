//! When rows whose daemons are gone may be deleted, and how long departures of other daemons are remembered.

use std::time::Instant;

use store::Check;

use super::{DepartureLog, KEEP_TIME};
use crate::registration::Departure;

const KEY: &str = "daemon/127.0.0.1:9/departures";

fn departure(id: &str) -> Departure {
    Departure { id: id.into(), born: 1 }
}

#[test]
fn a_row_expires_after_its_daemon_has_been_gone_for_long() {
    let (log, start) = (DepartureLog::default(), Instant::now());
    log.set_abandoned_rows(vec![(KEY.into(), 3)], start);
    log.set_abandoned_rows(vec![(KEY.into(), 3)], start + KEEP_TIME / 2);
    assert_eq!(log.take_expired_rows(start + KEEP_TIME / 10 * 9), []);
    let expired = Check { key: KEY.into(), version: 3 };
    assert_eq!(log.take_expired_rows(start + KEEP_TIME), [expired]);
}

#[test]
fn a_row_that_was_written_again_does_not_expire_with_the_earlier_one() {
    let (log, start) = (DepartureLog::default(), Instant::now());
    log.set_abandoned_rows(vec![(KEY.into(), 3)], start);
    log.set_abandoned_rows(vec![(KEY.into(), 4)], start + KEEP_TIME / 2);
    assert_eq!(log.take_expired_rows(start + KEEP_TIME), []);
}

#[test]
fn a_row_whose_daemon_has_come_back_does_not_expire() {
    let (log, start) = (DepartureLog::default(), Instant::now());
    log.set_abandoned_rows(vec![(KEY.into(), 3)], start);
    log.set_abandoned_rows(Vec::new(), start + KEEP_TIME / 2);
    assert_eq!(log.take_expired_rows(start + KEEP_TIME), []);
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
