//! A simulated fleet of [`LocalBuckets`] under the load patterns that they are designed for.

use std::time::{Duration, Instant};

use conf::compile::SnapshotParts;
use conf::{Customer, Snapshot};
use limit::{LocalBuckets, QuotaTolerance, TakeOutcome, TransferAmount};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const DAEMONS: u32 = 20;
const DAEMONS_PER_CENTRE: u32 = 5;
const WINDOW: Duration = Duration::from_secs(5);
const TOLERANCE: QuotaTolerance = QuotaTolerance { window: WINDOW, overage: 0.1, slack_tokens: 20.0 };
const RATE: f64 = 50.0;
/// Time between two transfers of a daemon's surplus.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(400);
const STEP: Duration = Duration::from_millis(10);

fn conf(rate: f64) -> Snapshot {
    let customer = Customer {
        name: "parish".into(),
        rate,
        burst: rate,
        priority: None,
        regions: conf::AllowedRegions::All,
    };
    let parts = SnapshotParts { customers: vec![customer], ..SnapshotParts::default() };
    parts.into_snapshot(1).expect("the test's configuration is valid")
}

fn fleet(rate: f64, now: Instant) -> Vec<LocalBuckets> {
    let conf = conf(rate);
    let make = |_| {
        let mut buckets = LocalBuckets::new(TOLERANCE);
        buckets.set_daemon_counts(DAEMONS, DAEMONS_PER_CENTRE, Some(&conf), now);
        buckets
    };
    (0..DAEMONS).map(make).collect()
}

/// Transfers surplus to the first daemon of each data centre; every tenth transfer is lost.
fn transfer_surplus(fleet: &mut [LocalBuckets], now: Instant, round: usize) {
    transfer_surplus_unless_lost(fleet, now, |n| (round + n).is_multiple_of(10));
}

/// Transfers surplus to the first daemon of each data centre, except for the daemons for which `is_lost`.
fn transfer_surplus_unless_lost(fleet: &mut [LocalBuckets], now: Instant, is_lost: impl Fn(usize) -> bool) {
    for daemons_here in fleet.chunks_mut(DAEMONS_PER_CENTRE as usize) {
        let (first, others) = daemons_here.split_first_mut().expect("a data centre has daemons");
        assert!(first.take_surplus(|_| true, now).is_empty());
        for (n, other) in others.iter_mut().enumerate() {
            for (customer, tokens) in other.take_surplus(|_| false, now) {
                if !is_lost(n) {
                    first.receive_tokens(&customer, tokens, now);
                }
            }
        }
    }
}

/// Sends one request to every daemon in each step; returns the number admitted in each step.
fn flood(fleet: &mut [LocalBuckets], start: Instant, steps: u32) -> Vec<u32> {
    let mut admitted = Vec::new();
    for step in 0..steps {
        let now = start + STEP * step;
        let mut count = 0;
        for daemon in &mut *fleet {
            count += u32::from(daemon.take_token("parish", now) == TakeOutcome::Taken);
        }
        if step.is_multiple_of(30) {
            transfer_surplus(fleet, now, step as usize);
        }
        admitted.push(count);
    }
    admitted
}

/// Largest number of requests admitted in any window.
fn max_in_window(admitted: &[u32]) -> u32 {
    let window = (WINDOW.as_millis() / STEP.as_millis()) as usize;
    admitted.windows(window).map(|w| w.iter().sum()).max().unwrap_or_default()
}

fn bound(rate: f64) -> f64 {
    (rate * 5.0 + rate) * (1.0 + TOLERANCE.overage) + TOLERANCE.slack_tokens
}

#[test]
fn a_customer_that_floods_all_daemons_stays_within_the_bound() {
    let start = Instant::now();
    let mut fleet = fleet(RATE, start);
    // A minute without requests, so that the buckets hold as many tokens as they can.
    for round in 0..200 {
        transfer_surplus(&mut fleet, start + Duration::from_millis(300 * round), round as usize);
    }
    let admitted = flood(&mut fleet, start + Duration::from_mins(1), 1_000);
    let max_admitted = f64::from(max_in_window(&admitted));
    assert!(
        max_admitted <= bound(RATE),
        "admitted {max_admitted} in one window; the bound is {}",
        bound(RATE)
    );
    assert!(max_admitted >= RATE * 5.0 * 0.9, "admitted only {max_admitted} in one window");
}

/// Sends one request to one daemon in each step, after a token from its pool owner; returns the number
/// admitted in each step.
fn trickle(fleet: &mut [LocalBuckets], start: Instant, steps: u32) -> Vec<u32> {
    let mut admitted = Vec::new();
    for step in 0..steps {
        let now = start + STEP * step;
        let asker = (step * 7 % DAEMONS) as usize;
        let pool_owner = asker - asker % DAEMONS_PER_CENTRE as usize;
        let moved = fleet[pool_owner].give_tokens("parish", TransferAmount::OneToken, now);
        fleet[asker].receive_tokens("parish", moved, now);
        admitted.push(u32::from(fleet[asker].take_token("parish", now) == TakeOutcome::Taken));
        if step.is_multiple_of(30) {
            transfer_surplus_unless_lost(fleet, now, |_| false);
        }
    }
    admitted
}

/// Fraction of the requests of a customer within its rate that find no token: neither at the daemon that
/// received the request, nor at its pool owner, nor at the pool owner of another data centre.
fn refused_fraction(rate: f64, per_s: f64) -> f64 {
    const REQUESTS: u32 = 2_000;
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut fleet = fleet(rate, start);
    let (mut now, mut transferred_at, mut refused) = (start, start, 0);
    for _ in 0..REQUESTS {
        now += Duration::from_secs_f64(-rng.random_range(0.001_f64..1.0).ln() / per_s);
        while transferred_at + TRANSFER_INTERVAL < now {
            transferred_at += TRANSFER_INTERVAL;
            transfer_surplus_unless_lost(&mut fleet, transferred_at, |_| false);
        }
        let asker = rng.random_range(0..DAEMONS as usize);
        let own = asker - asker % DAEMONS_PER_CENTRE as usize;
        let other = (own + DAEMONS_PER_CENTRE as usize) % DAEMONS as usize;
        let mut taken = fleet[asker].take_token("parish", now);
        for pool_owner in [own, other] {
            if taken != TakeOutcome::Taken {
                let moved = fleet[pool_owner].give_tokens("parish", TransferAmount::OneToken, now);
                fleet[asker].receive_tokens("parish", moved, now);
                taken = fleet[asker].take_token("parish", now);
            }
        }
        refused += u32::from(taken != TakeOutcome::Taken);
    }
    f64::from(refused) / f64::from(REQUESTS)
}

#[rstest]
#[case::small(5.0)]
#[case::medium(16.0)]
#[case::large(87.0)]
fn a_customer_within_its_rate_is_rarely_refused(#[case] rate: f64) {
    let refused = refused_fraction(rate, rate / 1.6);
    assert!(refused < 0.01, "refused a fraction of {refused}");
}

#[test]
fn a_customer_above_its_rate_gets_more_than_the_rate_alone() {
    let (rate, start) = (16.0, Instant::now());
    let mut fleet = fleet(rate, start);
    let admitted = trickle(&mut fleet, start, 3_000);
    let last_window = admitted[2_500..].iter().sum::<u32>();
    assert!(f64::from(last_window) > rate * 5.0, "admitted only {last_window} in the last window");
    assert!(f64::from(max_in_window(&admitted)) <= bound(rate), "admitted {}", max_in_window(&admitted));
}

#[test]
fn a_restarted_fleet_stays_within_the_bound() {
    let start = Instant::now();
    let mut fleet = fleet(RATE, start);
    let mut admitted = flood(&mut fleet, start, 300);
    let again = start + STEP * 300 + Duration::from_secs(1);
    admitted.extend([0; 100]);
    fleet = self::fleet(RATE, again);
    admitted.extend(flood(&mut fleet, again, 300));
    let max_admitted = f64::from(max_in_window(&admitted));
    assert!(
        max_admitted <= bound(RATE),
        "admitted {max_admitted} in one window; the bound is {}",
        bound(RATE)
    );
}

#[test]
fn a_lowered_rate_applies_to_tokens_already_held() {
    let start = Instant::now();
    let mut fleet = fleet(RATE, start);
    for round in 0..100 {
        transfer_surplus(&mut fleet, start + Duration::from_millis(300 * round), round as usize);
    }
    let now = start + Duration::from_secs(30);
    for daemon in &mut fleet {
        daemon.set_rates(&conf(5.0), now);
    }
    let max_admitted = f64::from(max_in_window(&flood(&mut fleet, now, 1_000)));
    assert!(max_admitted <= bound(5.0), "admitted {max_admitted} in one window; the bound is {}", bound(5.0));
}

#[test]
fn a_small_customer_is_served_by_tokens_of_its_pool_owner() {
    let start = Instant::now();
    let mut fleet = fleet(5.0, start);
    for round in 0..20 {
        transfer_surplus(&mut fleet, start + Duration::from_millis(300 * round), round as usize);
    }
    let now = start + Duration::from_secs(6);
    assert_ne!(fleet[1].take_token("parish", now), TakeOutcome::Taken);
    let moved = fleet[0].give_tokens("parish", TransferAmount::OneToken, now);
    fleet[1].receive_tokens("parish", moved, now);
    assert_eq!(fleet[1].take_token("parish", now), TakeOutcome::Taken);
}

#[test]
fn tokens_given_away_are_not_given_twice() {
    let start = Instant::now();
    let mut fleet = fleet(RATE, start);
    let now = start + Duration::from_secs(10);
    let first = fleet[0].give_tokens("parish", TransferAmount::Half, now);
    let second = fleet[0].give_tokens("parish", TransferAmount::Half, now);
    assert!(first > 0.0 && (second - first / 2.0).abs() < 1e-9, "first transfer {first}, second {second}");
}

#[test]
fn nothing_is_admitted_before_the_number_of_daemons_is_known() {
    let now = Instant::now();
    let mut buckets = LocalBuckets::new(TOLERANCE);
    buckets.set_rates(&conf(RATE), now);
    assert!(matches!(buckets.take_token("parish", now), TakeOutcome::RetryAfter(_)));
}

#[test]
fn a_customer_without_a_limit_is_always_admitted() {
    let now = Instant::now();
    let mut buckets = LocalBuckets::new(TOLERANCE);
    buckets.set_daemon_counts(DAEMONS, DAEMONS_PER_CENTRE, Some(&conf(0.0)), now);
    assert_eq!(buckets.take_token("parish", now), TakeOutcome::Taken);
}

#[test]
fn a_grant_that_is_no_number_changes_nothing() {
    let now = Instant::now();
    let mut fleet = fleet(RATE, now);
    fleet[0].receive_tokens("parish", f64::NAN, now);
    fleet[0].receive_tokens("parish", f64::INFINITY, now);
    let granted = fleet[0].give_tokens("parish", TransferAmount::Half, now);
    assert!(granted.is_finite(), "{granted}");
}
