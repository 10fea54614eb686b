//! Tests of [`SlotQueue`]: the order of requests and their admission, and both under overload.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::SlotQueue;
use route::slot_queue::{Dequeued, NoRoom, OfferOutcome, SlotRequest, Ticket};

fn request(now: Instant, priority: u8, objective_ms: u64, deadline_ms: u64) -> SlotRequest {
    SlotRequest {
        priority,
        nested: false,
        customer: None,
        weight: 1.0,
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
    assert!(
        matches!(too_late, OfferOutcome::Declined { free_in, cause: NoRoom::TooLate } if free_in >= Duration::from_millis(300))
    );
}

#[test]
fn a_request_that_can_no_longer_meet_its_deadline_gets_no_slot() {
    let now = Instant::now();
    let (mut queue, running) = busy(now);
    let ticket = waiting(queue.offer(request(now, 1, 100, 250), now));
    let later = now + Duration::from_millis(240);
    let declined = Dequeued::Declined { ticket, free_in: Duration::ZERO, cause: NoRoom::TooLate };
    assert_eq!(next_after(&mut queue, running, later), [declined]);
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

/// Starts of customers' requests in their order, while all of them wait for one slot.
fn customers_served(requests: &[SlotRequest], now: Instant) -> Vec<u64> {
    let (mut queue, mut running) = busy(now);
    let tickets: HashMap<Ticket, u64> =
        requests.iter().map(|r| (waiting(queue.offer(*r, now)), r.customer.unwrap_or_default())).collect();
    let mut served = Vec::new();
    loop {
        match next_after(&mut queue, running, now)[..] {
            [Dequeued::Started(ticket)] => {
                served.push(tickets[&ticket]);
                running = ticket;
            }
            ref other => {
                assert!(other.is_empty(), "{other:?}");
                return served;
            }
        }
    }
}

/// A request of a customer. All of the requests in one test are equally urgent.
fn request_of(customer: u64, weight: f64, due_ms: u64, now: Instant) -> SlotRequest {
    SlotRequest { customer: Some(customer), weight, ..request(now, 1, due_ms, 60_000) }
}

// Guards against a customer that gets all slots because its requests came first.
#[test]
fn customers_of_equal_weight_take_turns() {
    let now = Instant::now();
    let mut requests = vec![request_of(1, 1.0, 20_000, now); 5];
    requests.extend([request_of(2, 1.0, 30_000, now); 2]);
    assert_eq!(customers_served(&requests, now), [1, 2, 1, 2, 1, 1, 1]);
}

// Guards against a weight that is not used.
#[test]
fn a_customer_of_three_times_the_weight_has_three_times_the_starts() {
    let now = Instant::now();
    let mut requests = vec![request_of(1, 3.0, 20_000, now); 4];
    requests.extend([request_of(2, 1.0, 30_000, now); 4]);
    let first_four = &customers_served(&requests, now)[..4];
    assert_eq!(first_four.iter().filter(|customer| **customer == 1).count(), 3, "{first_four:?}");
}

// Guards against fairness that delays urgent requests.
#[test]
fn an_urgent_request_goes_first_whatever_its_customer_has_had() {
    let now = Instant::now();
    let mut requests = vec![SlotRequest { priority: 0, ..request_of(1, 1.0, 20_000, now) }; 3];
    requests.extend([request_of(2, 1.0, 20_000, now); 2]);
    assert_eq!(customers_served(&requests, now), [1, 1, 1, 2, 2]);
}

// Guards against another order than by what is due at a service with a single customer.
#[rstest::rstest]
#[case::without_customers(None)]
#[case::one_customer(Some(1))]
fn requests_of_one_customer_go_by_what_is_due_first(#[case] customer: Option<u64>) {
    let now = Instant::now();
    let (mut queue, mut running) = busy(now);
    let dues = [900, 700, 1_500, 800, 1_200];
    let offer = |due: &u64| {
        let request = SlotRequest { customer, ..request(now, 1, *due, 60_000) };
        (waiting(queue.offer(request, now)), *due)
    };
    let tickets: HashMap<Ticket, u64> = dues.iter().map(offer).collect();
    let mut order = Vec::new();
    while let [Dequeued::Started(ticket)] = next_after(&mut queue, running, now)[..] {
        order.push(tickets[&ticket]);
        running = ticket;
    }
    assert_eq!(order, [700, 800, 900, 1_200, 1_500]);
}

// Guards against a customer that saves up its share while it sends nothing, and then takes all slots.
#[test]
fn a_customer_that_was_silent_gets_no_more_than_its_share() {
    let now = Instant::now();
    let (mut queue, mut running) = busy(now);
    for _ in 0..6 {
        waiting(queue.offer(request_of(1, 1.0, 20_000, now), now));
    }
    for _ in 0..3 {
        match next_after(&mut queue, running, now)[..] {
            [Dequeued::Started(ticket)] => running = ticket,
            ref other => panic!("{other:?}"),
        }
    }
    let late: Vec<Ticket> =
        (0..2).map(|_| waiting(queue.offer(request_of(2, 1.0, 20_000, now), now))).collect();
    let mut starts = Vec::new();
    while let [Dequeued::Started(ticket)] = next_after(&mut queue, running, now)[..] {
        starts.push(late.contains(&ticket));
        running = ticket;
    }
    assert_eq!(starts, [true, false, true, false, false]);
}

// Guards against an expected wait that counts all requests of a customer ahead, or none.
#[test]
fn the_expected_wait_of_a_customers_first_request_is_short_behind_many_of_another() {
    let now = Instant::now();
    let (mut queue, _) = busy(now);
    for _ in 0..7 {
        waiting(queue.offer(request_of(1, 1.0, 20_000, now), now));
    }
    let first = queue.expected_wait(&request_of(2, 1.0, 30_000, now), now);
    let of_the_same = queue.expected_wait(&request_of(1, 1.0, 30_000, now), now);
    assert_eq!(first, Duration::from_millis(200));
    assert_eq!(of_the_same, Duration::from_millis(800));
}

/// A queue with one slot in use, and the eight requests that fill it, each with its ticket.
fn full(now: Instant) -> (SlotQueue, Vec<Ticket>) {
    let (mut queue, _) = busy(now);
    let tickets = (0..8).map(|n| waiting(queue.offer(request(now, 1, 20_000 + n, 60_000), now))).collect();
    (queue, tickets)
}

// Guards against urgent requests that are refused because less urgent ones have filled the queue.
#[test]
fn an_urgent_request_takes_the_place_of_the_least_urgent_one_in_a_full_queue() {
    let now = Instant::now();
    let (mut queue, tickets) = full(now);
    waiting(queue.offer(request(now, 0, 20_000, 60_000), now));
    let dequeued = queue.start_waiting(now).into_vec();
    let [Dequeued::Declined { ticket, free_in, cause: NoRoom::Displaced }] = dequeued[..] else {
        panic!("{dequeued:?}")
    };
    assert_eq!(ticket, tickets[7]);
    assert_eq!(free_in, Duration::from_millis(900));
    assert_eq!(queue.waiting(), 8);
}

// Guards against a queue whose requests displace each other in turn.
#[rstest::rstest]
#[case::less_urgent(2, 20_000)]
#[case::due_later(1, 30_000)]
fn a_full_queue_declines_a_request_that_is_less_urgent(#[case] priority: u8, #[case] due_ms: u64) {
    let now = Instant::now();
    let (mut queue, _) = full(now);
    let offered = queue.offer(request(now, priority, due_ms, 60_000), now);
    let free_in = Duration::from_millis(900);
    assert_eq!(offered, OfferOutcome::Declined { free_in, cause: NoRoom::Full });
    assert!(queue.start_waiting(now).is_empty());
}

// Guards against a customer that fills the queue and keeps others out.
#[test]
fn a_customer_takes_a_place_of_another_that_has_filled_the_queue() {
    let now = Instant::now();
    let (mut queue, _) = busy(now);
    let tickets: Vec<Ticket> =
        (0..8).map(|_| waiting(queue.offer(request_of(1, 1.0, 20_000, now), now))).collect();
    for _ in 0..4 {
        waiting(queue.offer(request_of(2, 1.0, 30_000, now), now));
    }
    let refused = queue.offer(request_of(2, 1.0, 30_000, now), now);
    assert!(matches!(refused, OfferOutcome::Declined { cause: NoRoom::Full, .. }), "{refused:?}");
    let displaced = queue.start_waiting(now).into_iter().map(|dequeued| match dequeued {
        Dequeued::Declined { ticket, cause: NoRoom::Displaced, .. } => ticket,
        other => panic!("{other:?}"),
    });
    assert_eq!(displaced.collect::<Vec<_>>(), [tickets[7], tickets[6], tickets[5], tickets[4]]);
}

// Guards against requests that learn only at their turn, or by a timeout, that they are too late.
#[test]
fn a_request_that_more_urgent_ones_make_too_late_is_declined_at_once() {
    let now = Instant::now();
    let (mut queue, _) = busy(now);
    let ticket = waiting(queue.offer(request(now, 1, 200, 300), now));
    assert!(queue.start_waiting(now).is_empty());
    for _ in 0..2 {
        waiting(queue.offer(request(now, 0, 1_000, 5_000), now));
    }
    let declined = Dequeued::Declined { ticket, free_in: Duration::from_millis(300), cause: NoRoom::TooLate };
    assert_eq!(queue.start_waiting(now).into_vec(), [declined]);
}

// Guards against requests that wait on behind a run that does not end.
#[test]
fn a_request_behind_a_run_that_lasts_too_long_is_declined_before_its_turn() {
    let now = Instant::now();
    let (mut queue, _) = busy(now);
    let ticket = waiting(queue.offer(request(now, 1, 200, 600), now));
    let patient = waiting(queue.offer(request(now, 1, 1_000, 60_000), now));
    let later = now + Duration::from_millis(450);
    let dequeued = queue.start_waiting(later).into_vec();
    assert!(
        matches!(dequeued[..], [Dequeued::Declined { ticket: t, cause: NoRoom::TooLate, .. }] if t == ticket),
        "{dequeued:?}"
    );
    assert_eq!(queue.clear_waiting(), [patient]);
}

// Guards against an order or a displacement that starts requests past the gate of a cold server.
#[test]
fn a_cold_server_starts_no_more_than_its_limit_in_any_second_whatever_is_urgent() {
    const LIMIT: usize = 3;
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut queue = SlotQueue::new(4);
    queue.set_cold_limit(Some(LIMIT));
    let mut starts: Vec<Instant> = Vec::new();
    for tick in 0..1_000 {
        let now = start + Duration::from_millis(10 * tick);
        let customer = rng.random_range(0..3);
        let offered = SlotRequest {
            nested: rng.random_bool(0.1),
            priority: rng.random_range(0..3),
            expected_run: Duration::from_millis(10),
            ..request_of(customer, 1.0 + customer as f64, rng.random_range(50..2_000), now)
        };
        let mut started = Vec::new();
        if let OfferOutcome::Started(ticket) = queue.offer(offered, now) {
            started.push(ticket);
        }
        started.extend(queue.start_waiting(now).into_iter().filter_map(|dequeued| match dequeued {
            Dequeued::Started(ticket) => Some(ticket),
            Dequeued::Declined { .. } => None,
        }));
        starts.extend(started.iter().map(|_| now));
        for ticket in started {
            queue.remove(ticket);
        }
    }
    let most = starts.windows(LIMIT + 1).map(|w| w[LIMIT] - w[0]).min().expect("requests have started");
    assert!(most >= Duration::from_secs(1), "{most:?}");
    assert!(starts.len() >= 9 * LIMIT, "the gate must not stay shut: {}", starts.len());
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
