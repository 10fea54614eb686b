//! When rows whose daemons are gone may be deleted.

use std::time::Instant;

use store::Check;

use super::{DepartureLog, KEEP_TIME};

const KEY: &str = "daemon/127.0.0.1:9/departures";

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
