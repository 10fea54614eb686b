//! Tests of [`SlotQueue`]: the order of requests and their admission, and both under overload.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::SlotQueue;
use route::slot_queue::{Dequeued, OfferOutcome, SlotRequest, Ticket};

fn request(now: Instant, priority: u8, objective_ms: u64, deadline_ms: u64) -> SlotRequest {
    SlotRequest {
        priority,
        nested: false,
        objective_at: now + Duration::from_millis(objective_ms),
        deadline: now + Duration::from_millis(deadline_ms),
        expected_run: Duration::from_millis(100),
        estimate: Duration::from_millis(100).into(),
    }
}

fn waiting(offered: OfferOutcome) -> Ticket {
    match offered {
        OfferOutcome::Waiting(ticket) => ticket,
        other => panic!("expected to wait, but {other:?}"),
    }
}

/// A queue whose only slot is in use, and the ticket of the request that holds it.
fn busy(now: Instant) -> (SlotQueue, Ticket) {
    let mut queue = SlotQueue::new(1);
    match queue.offer(request(now, 1, 1_000, 5_000), now) {
        OfferOutcome::Started(ticket) => (queue, ticket),
        other => panic!("expected to start, but {other:?}"),
    }
}

fn next_after(queue: &mut SlotQueue, ended: Ticket, now: Instant) -> Vec<Dequeued> {
    queue.remove(ended);
    queue.start_waiting(now).into_vec()
}

#[test]
fn a_request_gets_a_free_slot_at_once() {
    let now = Instant::now();
    let (queue, _) = busy(now);
    assert_eq!(queue.running(), 1);
}

#[test]
fn a_more_urgent_request_goes_first() {
    let now = Instant::now();
    let (mut queue, running) = busy(now);
    waiting(queue.offer(request(now, 2, 500, 5_000), now));
    let urgent = waiting(queue.offer(request(now, 1, 900, 5_000), now));
    assert_eq!(next_after(&mut queue, running, now), [Dequeued::Started(urgent)]);
}

#[test]
fn a_call_of_a_running_request_goes_before_new_requests() {
    let now = Instant::now();
    let (mut queue, running) = busy(now);
    waiting(queue.offer(request(now, 0, 500, 5_000), now));
    let call = SlotRequest { nested: true, ..request(now, 3, 900, 5_000) };
    let call = waiting(queue.offer(call, now));
    assert_eq!(next_after(&mut queue, running, now), [Dequeued::Started(call)]);
}

#[test]
fn a_request_that_can_meet_its_objective_goes_before_one_that_is_late_anyway() {
    let now = Instant::now();
    let (mut queue, running) = busy(now);
    waiting(queue.offer(request(now, 1, 50, 5_000), now));
    let in_time = waiting(queue.offer(request(now, 1, 900, 5_000), now));
    assert_eq!(next_after(&mut queue, running, now), [Dequeued::Started(in_time)]);
}

#[test]
fn a_request_that_would_miss_its_deadline_is_declined_at_once() {
    let now = Instant::now();
    let (mut queue, _) = busy(now);
    for _ in 0..3 {
        waiting(queue.offer(request(now, 1, 1_000, 5_000), now));
    }
    let too_late = queue.offer(request(now, 1, 50, 350), now);
    assert!(matches!(too_late, OfferOutcome::Declined { free_in } if free_in >= Duration::from_millis(300)));
}

#[test]
fn a_request_that_can_no_longer_meet_its_deadline_gets_no_slot() {
    let now = Instant::now();
    let (mut queue, running) = busy(now);
    let ticket = waiting(queue.offer(request(now, 1, 100, 250), now));
    let later = now + Duration::from_millis(240);
    assert_eq!(next_after(&mut queue, running, later), [Dequeued::TooLate(ticket)]);
}

#[test]
fn a_run_beyond_its_expected_time_lengthens_the_expected_wait() {
    let now = Instant::now();
    let (queue, _) = busy(now);
    let new = request(now, 1, 1_000, 5_000);
    let soon = queue.expected_wait(&new, now + Duration::from_millis(90));
    let later = queue.expected_wait(&new, now + Duration::from_millis(900));
    assert!(later > soon * 10, "{soon:?} {later:?}");
}

/// Requests of a simulated overload.
const REQUESTS: u64 = 3_000;
const SLOTS: usize = 5;

/// Simulates requests that arrive every `spacing`. Returns the requests that were run and the times at which
/// their runs ended. `draw` makes a request and its run time.
fn simulate(
    spacing: Duration,
    mut draw: impl FnMut(Instant) -> (SlotRequest, Duration),
) -> Vec<(Instant, SlotRequest)> {
    let start = Instant::now();
    let mut queue = SlotQueue::new(SLOTS);
    let mut known: HashMap<Ticket, (SlotRequest, Duration)> = HashMap::new();
    let mut ends: Vec<(Instant, Ticket)> = Vec::new();
    let mut ended = Vec::new();
    for n in 0..REQUESTS {
        let now = start + spacing * n as u32;
        ends.sort();
        while let Some(&(end, ticket)) = ends.first().filter(|(end, _)| *end <= now) {
            ends.remove(0);
            ended.push((end, known[&ticket].0));
            queue.remove(ticket);
            for dequeued in queue.start_waiting(end) {
                if let Dequeued::Started(ticket) = dequeued {
                    ends.push((end + known[&ticket].1, ticket));
                }
            }
            ends.sort();
        }
        let (new, takes) = draw(now);
        match queue.offer(new, now) {
            OfferOutcome::Started(ticket) => {
                known.insert(ticket, (new, takes));
                ends.push((now + takes, ticket));
            }
            OfferOutcome::Waiting(ticket) => {
                known.insert(ticket, (new, takes));
            }
            OfferOutcome::Declined { .. } => {}
        }
    }
    ended
}

/// A request with a deadline of 0.3 to 1.5 s, and its run time.
fn overload_request(rng: &mut SmallRng, now: Instant) -> (SlotRequest, Duration) {
    let new = request(now, 1, 300, rng.random_range(300..1_500));
    (new, new.expected_run)
}

/// Time between requests at about one and a half times the rate that the slots can run.
const OVERLOAD_SPACING: Duration = Duration::from_micros(100_000 / (SLOTS as u64 * 3 / 2));

/// Baseline: share of the requests that meet their deadline if a server runs them in the order of their
/// arrival.
fn served_in_time_by_first_come_first_served() -> f64 {
    let mut rng = SmallRng::seed_from_u64(7);
    let start = Instant::now();
    let mut free = [start; SLOTS];
    let mut served = 0;
    for n in 0..REQUESTS {
        let now = start + OVERLOAD_SPACING * n as u32;
        let (new, takes) = overload_request(&mut rng, now);
        let slot = free.iter_mut().min().expect("there are slots");
        *slot = now.max(*slot) + takes;
        served += u64::from(*slot <= new.deadline);
    }
    served as f64 / REQUESTS as f64
}

#[test]
fn under_overload_few_slots_run_requests_that_miss_their_deadline() {
    let mut rng = SmallRng::seed_from_u64(7);
    let ended = simulate(OVERLOAD_SPACING, |now| overload_request(&mut rng, now));
    let served = ended.iter().filter(|(end, request)| *end <= request.deadline).count();
    let ordered = served as f64 / REQUESTS as f64;
    let first_come = served_in_time_by_first_come_first_served();
    // Two thirds of the requests fit into the slots.
    assert!(ordered > 0.6, "{ordered}");
    assert!(first_come < 0.3, "{first_come}");
}

/// Load of 4/3 of what the slots can run; run times within half of the mean, an objective of four and a
/// deadline of twenty times the mean run time.
#[test]
fn under_lasting_overload_most_answers_meet_their_objective() {
    let mut rng = SmallRng::seed_from_u64(7);
    let spacing = Duration::from_micros(100_000 * 3 / (SLOTS as u64 * 4));
    let ended = simulate(spacing, |now| {
        let takes = Duration::from_millis(rng.random_range(50..150));
        (request(now, 1, 400, 2_000), takes)
    });
    let in_objective = ended.iter().filter(|(end, request)| *end <= request.objective_at).count();
    let share = in_objective as f64 / ended.len() as f64;

    assert!(share > 0.9, "{share}");
}

/// A queue of five slots, each with a run that started 20 ms after the one before.
fn staggered(start: Instant) -> SlotQueue {
    let mut queue = SlotQueue::new(5);
    for n in 0..5 {
        let now = start + Duration::from_millis(20 * n);
        queue.offer(request(now, 1, 1_000, 5_000), now);
    }
    queue
}

#[test]
fn the_next_request_waits_for_the_first_run_to_end_not_for_the_mean() {
    let start = Instant::now();
    let queue = staggered(start);
    let now = start + Duration::from_millis(90);
    let call = SlotRequest { nested: true, ..request(now, 1, 1_000, 5_000) };
    assert!(queue.expected_wait(&call, now) <= Duration::from_millis(25));
}

#[test]
fn a_call_whose_slot_is_free_in_time_is_not_declined_when_all_slots_are_in_use() {
    let start = Instant::now();
    let mut queue = staggered(start);
    let now = start + Duration::from_millis(90);
    let call = SlotRequest { nested: true, ..request(now, 1, 100, 130) };
    waiting(queue.offer(call, now));
}

#[test]
fn the_work_counts_what_runs_take_still_and_what_waits() {
    let start = Instant::now();
    let mut queue = staggered(start);
    let now = start + Duration::from_millis(90);
    let call = SlotRequest { nested: true, ..request(now, 1, 1_000, 5_000) };
    waiting(queue.offer(call, now));
    waiting(queue.offer(request(now, 1, 1_000, 5_000), now));

    let work = queue.work(now);

    // The runs have 25 (the least), 30, 50, 70 and 90 ms left; the call and the request take 100 ms each.
    let near = |work: Duration, ms| work.abs_diff(Duration::from_millis(ms)) < Duration::from_millis(1);
    assert!(near(work.total, 465), "{work:?}");
    assert!(near(work.before_calls, 365), "{work:?}");
}

#[test]
fn a_run_counts_as_unusually_long_only_beyond_the_spread_of_its_route() {
    let now = Instant::now();
    let mut costs = route::CostEstimator::default();
    for n in 0..200 {
        costs.record(1, Duration::from_millis(if n % 10 == 0 { 1_000 } else { 50 }));
    }
    let overrun = |estimate| {
        let mut queue = SlotQueue::new(1);
        queue.offer(SlotRequest { estimate, ..request(now, 1, 1_000, 5_000) }, now);
        queue.longest_overrun(now + Duration::from_millis(700))
    };
    assert!(overrun(costs.estimate(1, Duration::from_secs(1))) < 1.0);
    assert!(overrun(Duration::from_millis(100).into()) > 3.0);
}
