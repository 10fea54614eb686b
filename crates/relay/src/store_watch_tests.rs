use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{Backoff, FAILURES_FORGOTTEN_AFTER, MAX_BACKOFF_OF_OTHERS, MIN_BACKOFF};

const MAX: Duration = MAX_BACKOFF_OF_OTHERS;
/// Number of failures after which delays are as long as they get.
const MANY: u32 = 10;

/// Records `count` failures, each as early as the delay after the one before allows, and returns the last delay.
fn fail(backoff: &mut Backoff, count: u32) -> Duration {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut delay = Duration::ZERO;
    for _ in 0..count {
        let at = backoff.not_before;
        delay = backoff.record_failure(at, at, MAX, &mut rng);
    }
    delay
}

#[test]
fn delays_grow_to_their_bound() {
    let mut backoff = Backoff::new(Instant::now());
    assert!(fail(&mut backoff, 1) < MIN_BACKOFF);
    let longest = fail(&mut backoff, MANY);
    assert!(longest > MAX / 2 && longest <= MAX, "{longest:?}");
}

#[test]
fn an_answer_ends_the_delay() {
    let now = Instant::now();
    let mut backoff = Backoff::new(now);
    fail(&mut backoff, MANY);
    backoff.record_answer(now);
    assert_eq!(backoff.not_before, now);
    assert!(fail(&mut backoff, 1) < MIN_BACKOFF);
}

// Guards against delays that outlive the outage which made them grow.
#[test]
fn a_failure_long_after_the_last_one_counts_as_the_first() {
    let mut backoff = Backoff::new(Instant::now());
    fail(&mut backoff, MANY);
    let later = backoff.not_before + FAILURES_FORGOTTEN_AFTER + Duration::from_millis(1);
    let delay = backoff.record_failure(later, later, MAX, &mut SmallRng::seed_from_u64(1));
    assert!(delay < MIN_BACKOFF, "{delay:?}");
}
