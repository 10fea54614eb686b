//! Tests of the shares that need to see how many virtual times are kept.

use std::time::Instant;

use super::*;
use crate::slot_queue::SlotRequest;

fn class() -> Urgency {
    let now = Instant::now();
    let later = now + Duration::from_secs(10);
    let request = SlotRequest {
        priority: 1,
        nested: false,
        customer: None,
        weight: 1.0,
        objective_at: later,
        deadline: later,
        expected_run: Duration::from_millis(100),
        estimate: Duration::from_millis(100).into(),
    };
    Urgency::of(&request, now)
}

// Guards against memory that grows with each customer that was ever served.
#[test]
fn customers_that_are_no_longer_ahead_are_forgotten() {
    let mut shares = CustomerShares::default();
    for customer in 0..100_000 {
        shares.record_start(class(), Some(customer), 1.0);
        shares.record_start(class(), Some(customer), 1.0);
    }
    assert!(shares.len() <= 2 * MIN_PRUNE_LEN, "{}", shares.len());
}

// Guards against memory without a bound if each customer has a weight so small that it stays ahead.
#[test]
fn the_number_of_customers_that_are_ahead_is_bounded() {
    let mut shares = CustomerShares::default();
    for customer in 0..10_000 {
        shares.record_start(class(), Some(customer), 1e6 + customer as f64);
    }
    assert!(shares.len() <= MAX_CUSTOMERS + 1, "{}", shares.len());
    let heaviest = shares.virtual_time_of(class(), Some(9_999));
    assert!(heaviest > 1e6, "the one furthest ahead must not lose its record: {heaviest}");
}
