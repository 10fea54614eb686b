//! Parts of a fleet-wide rate, replayed from the load patterns that they answer.

use std::time::{Duration, Instant};

use conf::compile::Pieces;
use conf::{Customer, Snapshot};
use limit::{LocalBuckets, QuotaTolerance, TakeOutcome, TransferAmount};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const DAEMONS: u32 = 20;
const CENTRE: u32 = 5;
const WINDOW: Duration = Duration::from_secs(5);
const TOLERANCE: QuotaTolerance = QuotaTolerance { window: WINDOW, overage: 0.1, slack_tokens: 20.0 };
const RATE: f64 = 50.0;
/// Time between two deposits of a daemon.
const DEPOSIT_INTERVAL: Duration = Duration::from_millis(400);
const STEP: Duration = Duration::from_millis(10);

fn conf(rate: f64) -> Snapshot {
    let customer = Customer { name: "parish".into(), rate, burst: rate, rank: None };
    let pieces = Pieces { customers: vec![customer], ..Pieces::default() };
    pieces.into_snapshot(1).expect("the test's configuration is valid")
}

fn fleet(rate: f64, now: Instant) -> Vec<LocalBuckets> {
    let conf = conf(rate);
    let make = |_| {
        let mut split = LocalBuckets::new(TOLERANCE);
        split.set_daemon_counts(DAEMONS, CENTRE, Some(&conf), now);
        split
    };
    (0..DAEMONS).map(make).collect()
}

/// Deposits with the first daemon of each data centre; every tenth deposit is lost.
fn deposit(fleet: &mut [LocalBuckets], now: Instant, round: usize) {
    deposit_unless(fleet, now, |n| (round + n).is_multiple_of(10));
}

/// Deposits with the first daemon of each data centre, but those that are lost on the way.
fn deposit_unless(fleet: &mut [LocalBuckets], now: Instant, is_lost: impl Fn(usize) -> bool) {
    for centre in fleet.chunks_mut(CENTRE as usize) {
        let (first, others) = centre.split_first_mut().expect("a data centre has daemons");
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

/// Requests admitted in each 10 ms when every daemon gets one.
fn flood(fleet: &mut [LocalBuckets], start: Instant, steps: u32) -> Vec<u32> {
    let mut admitted = Vec::new();
    for step in 0..steps {
        let now = start + STEP * step;
        let mut count = 0;
        for daemon in &mut *fleet {
            count += u32::from(daemon.take_token("parish", now) == TakeOutcome::Taken);
        }
        if step.is_multiple_of(30) {
            deposit(fleet, now, step as usize);
        }
        admitted.push(count);
    }
    admitted
}

/// Largest number in any five seconds.
fn busiest(admitted: &[u32]) -> u32 {
    let window = (WINDOW.as_millis() / STEP.as_millis()) as usize;
    admitted.windows(window).map(|w| w.iter().sum()).max().unwrap_or_default()
}

fn bound(rate: f64) -> f64 {
    (rate * 5.0 + rate) * (1.0 + TOLERANCE.overage) + TOLERANCE.slack_tokens
}

#[test]
fn a_customer_that_floods_all_daemons_stays_within_its_bound() {
    let start = Instant::now();
    let mut fleet = fleet(RATE, start);
    // Idle for a minute first, so that all tokens have come together.
    for round in 0..200 {
        deposit(&mut fleet, start + Duration::from_millis(300 * round), round as usize);
    }
    let admitted = flood(&mut fleet, start + Duration::from_mins(1), 1_000);
    let busiest = f64::from(busiest(&admitted));
    assert!(busiest <= bound(RATE), "{busiest} of {}", bound(RATE));
    assert!(busiest >= RATE * 5.0 * 0.9, "{busiest}");
}

/// Requests admitted in each 10 ms when some daemon gets one, which asks its depositary if it has no token.
fn trickle(fleet: &mut [LocalBuckets], start: Instant, steps: u32) -> Vec<u32> {
    let mut admitted = Vec::new();
    for step in 0..steps {
        let now = start + STEP * step;
        let asker = (step * 7 % DAEMONS) as usize;
        let depositary = asker - asker % CENTRE as usize;
        let gift = fleet[depositary].give_tokens("parish", TransferAmount::OneToken, now);
        fleet[asker].receive_tokens("parish", gift, now);
        admitted.push(u32::from(fleet[asker].take_token("parish", now) == TakeOutcome::Taken));
        if step.is_multiple_of(30) {
            deposit_unless(fleet, now, |_| false);
        }
    }
    admitted
}

/// Part of the requests of a customer within its rate that find no token: not here, not at the depositary of the data
/// centre, not at that of another.
fn wrongly_refused(rate: f64, per_s: f64) -> f64 {
    const REQUESTS: u32 = 2_000;
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut fleet = fleet(rate, start);
    let (mut now, mut deposited, mut refused) = (start, start, 0);
    for _ in 0..REQUESTS {
        now += Duration::from_secs_f64(-rng.random_range(0.001_f64..1.0).ln() / per_s);
        while deposited + DEPOSIT_INTERVAL < now {
            deposited += DEPOSIT_INTERVAL;
            deposit_unless(&mut fleet, deposited, |_| false);
        }
        let asker = rng.random_range(0..DAEMONS as usize);
        let own = asker - asker % CENTRE as usize;
        let other = (own + CENTRE as usize) % DAEMONS as usize;
        let mut taken = fleet[asker].take_token("parish", now);
        for depositary in [own, other] {
            if taken != TakeOutcome::Taken {
                let gift = fleet[depositary].give_tokens("parish", TransferAmount::OneToken, now);
                fleet[asker].receive_tokens("parish", gift, now);
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
fn a_customer_within_its_rate_is_hardly_refused(#[case] rate: f64) {
    let refused = wrongly_refused(rate, rate / 1.6);
    assert!(refused < 0.01, "{refused}");
}

#[test]
fn a_customer_above_its_rate_gets_more_than_its_rate_without_the_burst() {
    let (rate, start) = (16.0, Instant::now());
    let mut fleet = fleet(rate, start);
    let admitted = trickle(&mut fleet, start, 3_000);
    let last_window = admitted[2_500..].iter().sum::<u32>();
    assert!(f64::from(last_window) > rate * 5.0, "{last_window}");
    assert!(f64::from(busiest(&admitted)) <= bound(rate), "{}", busiest(&admitted));
}

#[test]
fn daemons_that_start_again_do_not_add_much() {
    let start = Instant::now();
    let mut fleet = fleet(RATE, start);
    let mut admitted = flood(&mut fleet, start, 300);
    let again = start + STEP * 300 + Duration::from_secs(1);
    admitted.extend([0; 100]);
    fleet = self::fleet(RATE, again);
    admitted.extend(flood(&mut fleet, again, 300));
    let busiest = f64::from(busiest(&admitted));
    assert!(busiest <= bound(RATE), "{busiest} of {}", bound(RATE));
}

#[test]
fn a_lowered_rate_holds_at_once() {
    let start = Instant::now();
    let mut fleet = fleet(RATE, start);
    for round in 0..100 {
        deposit(&mut fleet, start + Duration::from_millis(300 * round), round as usize);
    }
    let now = start + Duration::from_secs(30);
    for daemon in &mut fleet {
        daemon.set_rates(&conf(5.0), now);
    }
    let busiest = f64::from(busiest(&flood(&mut fleet, now, 1_000)));
    assert!(busiest <= bound(5.0), "{busiest} of {}", bound(5.0));
}

#[test]
fn a_small_customer_is_served_through_its_depositary() {
    let start = Instant::now();
    let mut fleet = fleet(5.0, start);
    for round in 0..20 {
        deposit(&mut fleet, start + Duration::from_millis(300 * round), round as usize);
    }
    let now = start + Duration::from_secs(6);
    assert_ne!(fleet[1].take_token("parish", now), TakeOutcome::Taken);
    let gift = fleet[0].give_tokens("parish", TransferAmount::OneToken, now);
    fleet[1].receive_tokens("parish", gift, now);
    assert_eq!(fleet[1].take_token("parish", now), TakeOutcome::Taken);
}

#[test]
fn a_gift_is_no_longer_there() {
    let start = Instant::now();
    let mut fleet = fleet(RATE, start);
    let now = start + Duration::from_secs(10);
    let first = fleet[0].give_tokens("parish", TransferAmount::Half, now);
    let second = fleet[0].give_tokens("parish", TransferAmount::Half, now);
    assert!(first > 0.0 && (second - first / 2.0).abs() < 1e-9, "{first} {second}");
}

#[test]
fn nothing_is_admitted_before_the_number_of_daemons_is_known() {
    let now = Instant::now();
    let mut split = LocalBuckets::new(TOLERANCE);
    split.set_rates(&conf(RATE), now);
    assert!(matches!(split.take_token("parish", now), TakeOutcome::RetryAfter(_)));
}

#[test]
fn a_customer_without_a_limit_is_always_admitted() {
    let now = Instant::now();
    let mut split = LocalBuckets::new(TOLERANCE);
    split.set_daemon_counts(DAEMONS, CENTRE, Some(&conf(0.0)), now);
    assert_eq!(split.take_token("parish", now), TakeOutcome::Taken);
}
