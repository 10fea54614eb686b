//! Order of work in front of one server's slots, replayed from the load patterns that it answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::Dispatch;
use route::dispatch::{Offered, Pulled, Ticket, Work};

fn work(now: Instant, rank: u8, wanted_ms: u64, deadline_ms: u64) -> Work {
    Work {
        rank,
        nested: false,
        wanted_by: now + Duration::from_millis(wanted_ms),
        deadline: now + Duration::from_millis(deadline_ms),
        expected: Duration::from_millis(100),
    }
}

fn waiting(offered: Offered) -> Ticket {
    match offered {
        Offered::Waiting(ticket) => ticket,
        other => panic!("expected to wait, but {other:?}"),
    }
}

fn busy(now: Instant) -> (Dispatch, Ticket) {
    let mut dispatch = Dispatch::new(1);
    match dispatch.offer(work(now, 1, 1_000, 5_000), now) {
        Offered::Started(ticket) => (dispatch, ticket),
        other => panic!("expected to start, but {other:?}"),
    }
}

fn next_after(dispatch: &mut Dispatch, ended: Ticket, now: Instant) -> Vec<Pulled> {
    dispatch.remove(ended);
    dispatch.pull(now).into_vec()
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
    assert_eq!(next_after(&mut dispatch, running, now), [Pulled::Start(urgent)]);
}

#[test]
fn a_call_of_a_running_request_goes_before_new_requests() {
    let now = Instant::now();
    let (mut dispatch, running) = busy(now);
    waiting(dispatch.offer(work(now, 0, 500, 5_000), now));
    let call = Work { nested: true, ..work(now, 3, 900, 5_000) };
    let call = waiting(dispatch.offer(call, now));
    assert_eq!(next_after(&mut dispatch, running, now), [Pulled::Start(call)]);
}

#[test]
fn what_can_meet_its_objective_goes_before_what_is_late_anyway() {
    let now = Instant::now();
    let (mut dispatch, running) = busy(now);
    waiting(dispatch.offer(work(now, 1, 50, 5_000), now));
    let in_time = waiting(dispatch.offer(work(now, 1, 900, 5_000), now));
    assert_eq!(next_after(&mut dispatch, running, now), [Pulled::Start(in_time)]);
}

#[test]
fn work_that_would_miss_its_deadline_is_declined_at_once() {
    let now = Instant::now();
    let (mut dispatch, _) = busy(now);
    for _ in 0..3 {
        waiting(dispatch.offer(work(now, 1, 1_000, 5_000), now));
    }
    let hopeless = dispatch.offer(work(now, 1, 50, 350), now);
    assert!(matches!(hopeless, Offered::Declined { free_in } if free_in >= Duration::from_millis(300)));
}

#[test]
fn work_that_became_hopeless_leaves_the_queue() {
    let now = Instant::now();
    let (mut dispatch, running) = busy(now);
    let ticket = waiting(dispatch.offer(work(now, 1, 100, 250), now));
    let later = now + Duration::from_millis(240);
    assert_eq!(next_after(&mut dispatch, running, later), [Pulled::Hopeless(ticket)]);
}

#[test]
fn a_run_that_takes_too_long_makes_the_wait_longer() {
    let now = Instant::now();
    let (dispatch, _) = busy(now);
    let new = work(now, 1, 1_000, 5_000);
    let soon = dispatch.wait_for(&new, now + Duration::from_millis(90));
    let later = dispatch.wait_for(&new, now + Duration::from_millis(900));
    assert!(later > soon * 10, "{soon:?} {later:?}");
}

/// Share of requests that end by their deadline when one server gets half as much again as it can run.
fn served_in_time(first_come_first_served: bool) -> f64 {
    const REQUESTS: u64 = 3_000;
    const SLOTS: usize = 5;
    let mut rng = SmallRng::seed_from_u64(7);
    let start = Instant::now();
    let mut dispatch = Dispatch::new(SLOTS);
    let mut deadlines: HashMap<Ticket, Instant> = HashMap::new();
    let mut ends: Vec<(Instant, Ticket)> = Vec::new();
    let mut queue: Vec<Instant> = Vec::new();
    let mut free = [start; SLOTS];
    let mut served = 0;
    for n in 0..REQUESTS {
        let now = start + Duration::from_millis(n * 100 / (SLOTS as u64 * 3 / 2));
        let new = work(now, 1, 300, rng.random_range(300..1_500));
        if first_come_first_served {
            let slot = free.iter_mut().min().expect("there are slots");
            let end = now.max(*slot) + new.expected;
            *slot = end;
            queue.push(end);
            served += u64::from(end <= new.deadline);
            continue;
        }
        ends.sort();
        while let Some(&(end, ticket)) = ends.first().filter(|(end, _)| *end <= now) {
            ends.remove(0);
            served += u64::from(end <= deadlines[&ticket]);
            dispatch.remove(ticket);
            for pulled in dispatch.pull(end) {
                if let Pulled::Start(ticket) = pulled {
                    ends.push((end + new.expected, ticket));
                }
            }
            ends.sort();
        }
        match dispatch.offer(new, now) {
            Offered::Started(ticket) => {
                deadlines.insert(ticket, new.deadline);
                ends.push((now + new.expected, ticket));
            }
            Offered::Waiting(ticket) => {
                deadlines.insert(ticket, new.deadline);
            }
            Offered::Declined { .. } => {}
        }
    }
    served as f64 / REQUESTS as f64
}

#[test]
fn under_overload_nearly_all_slots_do_useful_work() {
    let ordered = served_in_time(false);
    let first_come = served_in_time(true);
    // Two thirds of the requests fit into the slots.
    assert!(ordered > 0.6, "{ordered}");
    assert!(first_come < 0.3, "{first_come}");
}
