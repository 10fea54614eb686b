//! Order of work in front of one server's slots, replayed from the load patterns that it answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::SlotQueue;
use route::slot_queue::{Dequeued, OfferOutcome, SlotRequest, Ticket};

fn work(now: Instant, rank: u8, wanted_ms: u64, deadline_ms: u64) -> SlotRequest {
    SlotRequest {
        rank,
        nested: false,
        objective_at: now + Duration::from_millis(wanted_ms),
        deadline: now + Duration::from_millis(deadline_ms),
        expected_run: Duration::from_millis(100),
    }
}

fn waiting(offered: OfferOutcome) -> Ticket {
    match offered {
        OfferOutcome::Waiting(ticket) => ticket,
        other => panic!("expected to wait, but {other:?}"),
    }
}

fn busy(now: Instant) -> (SlotQueue, Ticket) {
    let mut dispatch = SlotQueue::new(1);
    match dispatch.offer(work(now, 1, 1_000, 5_000), now) {
        OfferOutcome::Started(ticket) => (dispatch, ticket),
        other => panic!("expected to start, but {other:?}"),
    }
}

fn next_after(dispatch: &mut SlotQueue, ended: Ticket, now: Instant) -> Vec<Dequeued> {
    dispatch.remove(ended);
    dispatch.start_waiting(now).into_vec()
}

#[test]
fn a_free_slot_is_given_at_once() {
    let now = Instant::now();
    let (dispatch, _) = busy(now);
    assert_eq!(dispatch.running(), 1);
}

#[test]
fn the_more_urgent_goes_first() {
    let now = Instant::now();
    let (mut dispatch, running) = busy(now);
    waiting(dispatch.offer(work(now, 2, 500, 5_000), now));
    let urgent = waiting(dispatch.offer(work(now, 1, 900, 5_000), now));
    assert_eq!(next_after(&mut dispatch, running, now), [Dequeued::Started(urgent)]);
}

#[test]
fn a_call_of_a_running_request_goes_before_new_requests() {
    let now = Instant::now();
    let (mut dispatch, running) = busy(now);
    waiting(dispatch.offer(work(now, 0, 500, 5_000), now));
    let call = SlotRequest { nested: true, ..work(now, 3, 900, 5_000) };
    let call = waiting(dispatch.offer(call, now));
    assert_eq!(next_after(&mut dispatch, running, now), [Dequeued::Started(call)]);
}

#[test]
fn what_can_meet_its_objective_goes_before_what_is_late_anyway() {
    let now = Instant::now();
    let (mut dispatch, running) = busy(now);
    waiting(dispatch.offer(work(now, 1, 50, 5_000), now));
    let in_time = waiting(dispatch.offer(work(now, 1, 900, 5_000), now));
    assert_eq!(next_after(&mut dispatch, running, now), [Dequeued::Started(in_time)]);
}

#[test]
fn work_that_would_miss_its_deadline_is_declined_at_once() {
    let now = Instant::now();
    let (mut dispatch, _) = busy(now);
    for _ in 0..3 {
        waiting(dispatch.offer(work(now, 1, 1_000, 5_000), now));
    }
    let hopeless = dispatch.offer(work(now, 1, 50, 350), now);
    assert!(matches!(hopeless, OfferOutcome::Declined { free_in } if free_in >= Duration::from_millis(300)));
}

#[test]
fn work_that_became_hopeless_leaves_the_queue() {
    let now = Instant::now();
    let (mut dispatch, running) = busy(now);
    let ticket = waiting(dispatch.offer(work(now, 1, 100, 250), now));
    let later = now + Duration::from_millis(240);
    assert_eq!(next_after(&mut dispatch, running, later), [Dequeued::TooLate(ticket)]);
}

#[test]
fn a_run_that_takes_too_long_makes_the_wait_longer() {
    let now = Instant::now();
    let (dispatch, _) = busy(now);
    let new = work(now, 1, 1_000, 5_000);
    let soon = dispatch.expected_wait(&new, now + Duration::from_millis(90));
    let later = dispatch.expected_wait(&new, now + Duration::from_millis(900));
    assert!(later > soon * 10, "{soon:?} {later:?}");
}

const REQUESTS: u64 = 3_000;
const SLOTS: usize = 5;

/// Runs that ended, of requests that come at equal distances; `draw` makes a request and the time that it takes.
fn replay(
    spacing: Duration,
    mut draw: impl FnMut(Instant) -> (SlotRequest, Duration),
) -> Vec<(Instant, SlotRequest)> {
    let start = Instant::now();
    let mut dispatch = SlotQueue::new(SLOTS);
    let mut known: HashMap<Ticket, (SlotRequest, Duration)> = HashMap::new();
    let mut ends: Vec<(Instant, Ticket)> = Vec::new();
    let mut ended = Vec::new();
    for n in 0..REQUESTS {
        let now = start + spacing * n as u32;
        ends.sort();
        while let Some(&(end, ticket)) = ends.first().filter(|(end, _)| *end <= now) {
            ends.remove(0);
            ended.push((end, known[&ticket].0));
            dispatch.remove(ticket);
            for pulled in dispatch.start_waiting(end) {
                if let Dequeued::Started(ticket) = pulled {
                    ends.push((end + known[&ticket].1, ticket));
                }
            }
            ends.sort();
        }
        let (new, takes) = draw(now);
        match dispatch.offer(new, now) {
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

/// Half as much again as the slots can run, with deadlines of 0.3 to 1.5 s.
fn overload(rng: &mut SmallRng, now: Instant) -> (SlotRequest, Duration) {
    let new = work(now, 1, 300, rng.random_range(300..1_500));
    (new, new.expected_run)
}

/// Time between requests of which half as many again come as the slots can run.
const OVERLOAD_SPACING: Duration = Duration::from_micros(100_000 / (SLOTS as u64 * 3 / 2));

fn served_in_time_in_order_of_arrival() -> f64 {
    let mut rng = SmallRng::seed_from_u64(7);
    let start = Instant::now();
    let mut free = [start; SLOTS];
    let mut served = 0;
    for n in 0..REQUESTS {
        let now = start + OVERLOAD_SPACING * n as u32;
        let (new, takes) = overload(&mut rng, now);
        let slot = free.iter_mut().min().expect("there are slots");
        *slot = now.max(*slot) + takes;
        served += u64::from(*slot <= new.deadline);
    }
    served as f64 / REQUESTS as f64
}

#[test]
fn under_overload_nearly_all_slots_do_useful_work() {
    let mut rng = SmallRng::seed_from_u64(7);
    let ended = replay(OVERLOAD_SPACING, |now| overload(&mut rng, now));
    let served = ended.iter().filter(|(end, work)| *end <= work.deadline).count();
    let ordered = served as f64 / REQUESTS as f64;
    let first_come = served_in_time_in_order_of_arrival();
    // Two thirds of the requests fit into the slots.
    assert!(ordered > 0.6, "{ordered}");
    assert!(first_come < 0.3, "{first_come}");
}

/// A third more than the slots can run, run times that vary by half, an objective of four and a deadline of twenty.
#[test]
fn under_lasting_overload_most_runs_that_end_meet_their_objective() {
    let mut rng = SmallRng::seed_from_u64(7);
    let spacing = Duration::from_micros(100_000 * 3 / (SLOTS as u64 * 4));
    let ended = replay(spacing, |now| {
        let takes = Duration::from_millis(rng.random_range(50..150));
        (work(now, 1, 400, 2_000), takes)
    });
    let in_objective = ended.iter().filter(|(end, work)| *end <= work.objective_at).count();
    let share = in_objective as f64 / ended.len() as f64;

    assert!(share > 0.9, "{share}");
}
