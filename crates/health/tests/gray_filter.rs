//! Tests of [`GrayFilter`]: how fast it suspects a failing server and trusts a recovered one.

use std::time::{Duration, Instant};

use health::{GrayFilter, RequestOutcome};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// A filter that has seen one second of successes.
fn healthy(start: Instant) -> GrayFilter {
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
fn one_failure_without_successes_before_it_makes_a_server_suspect() {
    let now = Instant::now();
    let mut filter = GrayFilter::new(now);
    filter.observe(RequestOutcome::Failure, now);
    assert!(filter.is_suspect(now));
}

#[test]
fn a_single_failure_of_a_busy_server_is_soon_forgotten() {
    let start = Instant::now();
    let mut filter = healthy(start);
    filter.observe(RequestOutcome::Failure, after(start, 1_000));
    filter.observe(RequestOutcome::Success, after(start, 1_100));
    assert!(!filter.is_suspect(after(start, 1_100)));
}

#[test]
fn one_success_does_not_clear_a_failing_server() {
    let start = Instant::now();
    let mut filter = healthy(start);
    for n in 0..3 {
        filter.observe(RequestOutcome::Failure, after(start, 1_000 + n * 10));
    }
    filter.observe(RequestOutcome::Success, after(start, 1_050));
    assert!(filter.is_suspect(after(start, 1_050)));
}

#[test]
fn a_recovered_server_is_trusted_after_a_few_successes() {
    let start = Instant::now();
    let mut filter = healthy(start);
    for n in 0..3 {
        filter.observe(RequestOutcome::Failure, after(start, 1_000 + n * 10));
    }
    for n in 0..3 {
        filter.observe(RequestOutcome::Success, after(start, 2_000 + n * 10));
    }
    assert!(!filter.is_suspect(after(start, 2_030)));
}

#[test]
fn without_outcomes_the_estimate_returns_to_the_prior() {
    let start = Instant::now();
    let mut filter = GrayFilter::new(start);
    let before = filter.failure_probability(start);
    filter.observe(RequestOutcome::Failure, start);
    let later = filter.failure_probability(after(start, 60_000));
    assert!((later - before).abs() < 0.01, "{before} {later}");
}

/// A server gets 5 requests a second. It is healthy for 10 s and then fails nine of ten for 5 s. While it is
/// suspect, it gets only a probe every 800 ms. Counts the failed requests that were no probes.
#[test]
fn a_burst_of_failures_costs_few_requests() {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut lost = 0;
    for _ in 0..100 {
        let mut filter = healthy(start);
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
    // Two lost requests for each burst: the first failure, and at most one after a chance success.
    assert!(lost <= 200, "{lost}");
}

#[test]
fn one_failure_before_any_work_makes_a_busy_server_suspect() {
    let start = Instant::now();
    let mut filter = healthy(start);
    filter.observe(
        RequestOutcome::failure(Duration::from_millis(5), Duration::from_millis(900)),
        after(start, 1_000),
    );
    assert!(filter.is_suspect(after(start, 1_000)));
}

#[test]
fn a_failure_after_work_leaves_a_busy_server_trusted() {
    let start = Instant::now();
    let mut filter = healthy(start);
    filter.observe(
        RequestOutcome::failure(Duration::from_millis(800), Duration::from_millis(900)),
        after(start, 1_000),
    );
    assert!(!filter.is_suspect(after(start, 1_000)));
}

/// A healthy server gets 3 requests a second and fails 1 in 80 of them after having worked on it.
#[test]
fn a_healthy_server_with_rare_failures_after_work_is_seldom_suspected() {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(5);
    let (mut failures, mut suspected) = (0, 0);
    let mut filter = healthy(start);
    for n in 4..20_000 {
        let now = after(start, n * 1_000 / 3);
        let failed = rng.random_ratio(1, 80);
        let late = RequestOutcome::failure(Duration::from_millis(800), Duration::from_millis(900));
        filter.observe(if failed { late } else { RequestOutcome::Success }, now);
        failures += u32::from(failed);
        suspected += u32::from(filter.is_suspect(now));
    }
    assert!(suspected < failures / 10, "{suspected} of {failures}");
}

#[test]
fn two_failures_after_work_in_a_row_make_a_busy_server_suspect() {
    let start = Instant::now();
    let mut filter = healthy(start);
    for n in 0..2 {
        let late = RequestOutcome::failure(Duration::from_millis(800), Duration::from_millis(900));
        filter.observe(late, after(start, 1_000 + n * 100));
    }
    assert!(filter.is_suspect(after(start, 1_100)));
}
