//! Tests of [`LinkBudget`], the byte budget of the link between regions.

use std::time::{Duration, Instant};

use route::LinkBudget;
use route::link_budget::SMALL_ANSWER_MAX_BYTES;

/// Bytes per second of the whole link.
const LINK_BYTES_PER_S: u64 = 4_000_000;
/// Daemons that share the link.
const DAEMONS: u32 = 4;

#[test]
fn no_more_bytes_cross_than_the_daemons_share_and_its_burst() {
    let start = Instant::now();
    let mut link = LinkBudget::new(LINK_BYTES_PER_S, DAEMONS, start);
    let mut sent = 0;
    for ms in 0..10_000 {
        let now = start + Duration::from_millis(ms);
        while link.allows(10_000, now) {
            link.spend(10_000);
            sent += 10_000;
        }
    }
    assert!(sent <= LINK_BYTES_PER_S / u64::from(DAEMONS) * 11 + 10_000, "{sent}");
    assert!(sent >= LINK_BYTES_PER_S / u64::from(DAEMONS) * 10, "{sent}");
}

#[test]
fn large_answers_leave_room_for_small_ones() {
    let now = Instant::now();
    let mut link = LinkBudget::new(LINK_BYTES_PER_S, DAEMONS, now);
    while link.allows(SMALL_ANSWER_MAX_BYTES + 1, now) {
        link.spend(SMALL_ANSWER_MAX_BYTES + 1);
    }
    assert!(link.allows(SMALL_ANSWER_MAX_BYTES, now));
}

#[test]
fn a_debt_delays_the_requests_that_follow() {
    let now = Instant::now();
    let mut link = LinkBudget::new(LINK_BYTES_PER_S, DAEMONS, now);
    link.spend(LINK_BYTES_PER_S);
    assert!(!link.allows(1, now + Duration::from_secs(2)));
    assert!(link.allows(1, now + Duration::from_secs(4)));
}
