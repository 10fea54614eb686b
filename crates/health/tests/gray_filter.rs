//! The belief that one server is failing, replayed from the patterns that it answers.

use std::time::{Duration, Instant};

use health::{GrayFilter, RequestOutcome};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// A filter that has seen a second of successes.
fn well(start: Instant) -> GrayFilter {
    let mut filter = GrayFilter::new(start);
    for n in 0..10 {
        filter.observe(RequestOutcome::Success, after(start, n * 100));
    }
    filter
}

#[test]
fn a_new_server_is_trusted() {
    let now = Instant::now();
    assert!(!GrayFilter::new(now).is_suspect(now));
}

#[test]
fn one_failure_of_a_quiet_server_makes_it_suspect() {
    let now = Instant::now();
    let mut filter = GrayFilter::new(now);
    filter.observe(RequestOutcome::Failure, now);
    assert!(filter.is_suspect(now));
}

#[test]
fn a_single_failure_of_a_busy_server_is_soon_forgotten() {
    let start = Instant::now();
    let mut filter = well(start);
    filter.observe(RequestOutcome::Failure, after(start, 1_000));
    filter.observe(RequestOutcome::Success, after(start, 1_100));
    assert!(!filter.is_suspect(after(start, 1_100)));
}

#[test]
fn one_lucky_answer_of_a_failing_server_is_not_enough() {
    let start = Instant::now();
    let mut filter = well(start);
    for n in 0..3 {
        filter.observe(RequestOutcome::Failure, after(start, 1_000 + n * 10));
    }
    filter.observe(RequestOutcome::Success, after(start, 1_050));
    assert!(filter.is_suspect(after(start, 1_050)));
}

#[test]
fn a_recovered_server_is_trusted_after_a_few_answers() {
    let start = Instant::now();
    let mut filter = well(start);
    for n in 0..3 {
        filter.observe(RequestOutcome::Failure, after(start, 1_000 + n * 10));
    }
    for n in 0..3 {
        filter.observe(RequestOutcome::Success, after(start, 2_000 + n * 10));
    }
    assert!(!filter.is_suspect(after(start, 2_030)));
}

#[test]
fn without_evidence_the_belief_returns_to_what_is_known_of_any_server() {
    let start = Instant::now();
    let mut filter = GrayFilter::new(start);
    let before = filter.failure_probability(start);
    filter.observe(RequestOutcome::Failure, start);
    let later = filter.failure_probability(after(start, 60_000));
    assert!((later - before).abs() < 0.01, "{before} {later}");
}

/// Requests that ran at a server which fails nine of ten for 5 s after it was well for 10 s, at 5 a second, while it
/// was not suspect; a test every 800 ms goes on.
#[test]
fn a_burst_of_failures_costs_few_requests() {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut lost = 0;
    for _ in 0..100 {
        let mut filter = well(start);
        for n in 5..75 {
            let now = after(start, n * 200);
            let fails_now = n >= 50;
            let suspect = filter.is_suspect(now);
            if suspect && n % 4 != 0 {
                continue;
            }
            let failed = fails_now && rng.random_bool(0.9);
            lost += u32::from(failed && !suspect);
            filter.observe(if failed { RequestOutcome::Failure } else { RequestOutcome::Success }, now);
        }
    }
    // Two for each burst: the first failure, and one after a lucky answer at most.
    assert!(lost <= 200, "{lost}");
}

#[test]
fn one_failure_before_any_work_makes_a_busy_server_suspect() {
    let start = Instant::now();
    let mut filter = well(start);
    filter.observe(
        RequestOutcome::failure(Duration::from_millis(5), Duration::from_millis(900)),
        after(start, 1_000),
    );
    assert!(filter.is_suspect(after(start, 1_000)));
}

#[test]
fn a_failure_after_work_leaves_a_busy_server_trusted() {
    let start = Instant::now();
    let mut filter = well(start);
    filter.observe(
        RequestOutcome::failure(Duration::from_millis(800), Duration::from_millis(900)),
        after(start, 1_000),
    );
    assert!(!filter.is_suspect(after(start, 1_000)));
}
