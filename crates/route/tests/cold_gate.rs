//! Load pattern: a server returns with empty caches while the fleet has work for it.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::slot_queue::{Dequeued, OfferOutcome, SlotQueue, SlotRequest};
use route::{ColdGate, RunEstimate};

const LIMIT: usize = 15;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn request(now: Instant) -> SlotRequest {
    SlotRequest {
        priority: 1,
        nested: false,
        objective_at: now + ms(2_000),
        deadline: now + ms(10_000),
        expected_run: ms(50),
        estimate: RunEstimate::from(ms(50)),
    }
}

/// A gate without earlier starts, of a process that has run for long.
fn cold_gate() -> ColdGate {
    let mut gate = ColdGate::default();
    gate.set_limit(Some(LIMIT));
    gate
}

/// Largest number of starts in any window of a second.
fn most_in_a_second(starts: &[Instant]) -> usize {
    let within = |from: &Instant| {
        starts.iter().filter(|at| **at >= *from && at.duration_since(*from) < ms(1_000)).count()
    };
    starts.iter().map(within).max().unwrap_or(0)
}

// Guards against a burst that a cold server doesn't survive, whatever the times of arrival.
#[test]
fn no_window_of_a_second_has_more_starts_than_the_limit() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut gate = cold_gate();
    let mut now = Instant::now();
    let mut starts = Vec::new();
    for _ in 0..5_000 {
        let gap = if rng.random_bool(0.1) { rng.random_range(0..900) } else { rng.random_range(0..20) };
        now += ms(gap);
        if gate.wait(0, now).is_zero() {
            gate.record_start(now);
            starts.push(now);
        }
    }
    assert!(most_in_a_second(&starts) <= LIMIT, "{}", most_in_a_second(&starts));
    assert!(starts.len() > 1_000, "the gate let only {} requests through", starts.len());
}

// Guards against a wait that is stated too short, which sends work to a server that declines it.
#[test]
fn the_stated_wait_is_the_time_of_the_next_start() {
    let now = Instant::now();
    let mut gate = cold_gate();
    for n in 0..LIMIT {
        gate.record_start(now + ms(n as u64 * 10));
    }
    let later = now + ms(200);
    assert_eq!(gate.wait(0, later), ms(800));
    assert_eq!(gate.wait(1, later), ms(810));
    assert_eq!(gate.wait(LIMIT, later), ms(1_800));
    assert_eq!(gate.wait(0, later + ms(800)), Duration::ZERO);
}

#[test]
fn an_unused_gate_lets_the_limit_start_at_once_and_the_next_after_a_second() {
    let now = Instant::now();
    let gate = cold_gate();
    assert_eq!(gate.wait(LIMIT - 1, now), Duration::ZERO);
    assert_eq!(gate.wait(LIMIT, now), ms(1_000));
    assert_eq!(gate.wait(2 * LIMIT, now), ms(2_000));
}

// Guards against a server that becomes cold suddenly and gets a whole limit on top of what it just got.
#[test]
fn starts_of_the_warm_server_count_when_it_becomes_cold() {
    let now = Instant::now();
    let mut gate = ColdGate::default();
    for _ in 0..40 {
        gate.record_start(now);
    }
    assert_eq!(gate.wait(0, now), Duration::ZERO);
    gate.set_limit(Some(LIMIT));
    assert_eq!(gate.wait(0, now + ms(100)), ms(900));
}

// Guards against a restarted daemon that knows nothing of what the process before it started.
#[test]
fn a_new_process_starts_nothing_at_a_cold_server_for_a_second() {
    let now = Instant::now();
    let mut gate = ColdGate::new(now);
    assert_eq!(gate.wait(0, now), Duration::ZERO);
    gate.set_limit(Some(LIMIT));
    assert_eq!(gate.wait(0, now + ms(300)), ms(700));
    assert_eq!(gate.wait(0, now + ms(1_000)), Duration::ZERO);
}

// A request that another server at the address refused did not reach the cold one.
#[test]
fn a_start_that_is_taken_back_frees_its_place() {
    let now = Instant::now();
    let mut gate = cold_gate();
    for _ in 0..LIMIT {
        gate.record_start(now);
    }
    gate.take_back(now + ms(1));
    assert_eq!(gate.wait(0, now + ms(1)), Duration::ZERO);
}

// Guards against a server that stays shut after it is warm.
#[test]
fn a_warm_server_starts_as_many_as_it_has_slots() {
    let now = Instant::now();
    let mut queue = SlotQueue::new(40);
    queue.set_cold_limit(Some(LIMIT));
    let outcomes: Vec<_> = (0..40).map(|_| queue.offer(request(now), now)).collect();
    let started = outcomes.iter().filter(|o| matches!(o, OfferOutcome::Started(_))).count();
    assert_eq!(started, LIMIT);
    queue.set_cold_limit(None);
    let resumed = queue.start_waiting(now);
    assert!(resumed.iter().all(|d| matches!(d, Dequeued::Started(_))));
    assert_eq!(queue.running(), 40);
    assert_eq!(queue.gate_wait(now), None);
}

// Guards against work that waits at a cold server although it can't end there in time.
#[test]
fn a_request_that_a_cold_server_can_not_start_in_time_is_declined_at_once() {
    let now = Instant::now();
    let mut queue = SlotQueue::new(40);
    queue.set_cold_limit(Some(1));
    queue.offer(request(now), now);
    let hurried = SlotRequest { deadline: now + ms(500), ..request(now) };
    let outcome = queue.offer(hurried, now);
    assert_eq!(outcome, OfferOutcome::Declined { free_in: ms(1_000) });
}
