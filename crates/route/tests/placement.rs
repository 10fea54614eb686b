//! Tests of [`place_request`], one for each load pattern that its rules are made for.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::placement::{
    Candidate, Distance, Requirements, ServerCondition, ServerLoad, expected_completion, place_request,
};
use route::slot_queue::SlotWork;

const ROUNDS: usize = 1_000;

/// Load of a server whose requests take 400 ms still on the mean at an average server.
fn load(running: u32, waiting: u32, slowness: f64) -> ServerLoad {
    let mean = Duration::from_millis(400).mul_f64(slowness);
    let work = SlotWork { total: mean * (running + waiting), before_calls: mean * running };
    ServerLoad { running, waiting, slots: 5, work, slowness: Some(slowness), shed_share: 0.0 }
}

fn candidate(index: usize, distance: Distance, running: u32) -> Candidate {
    Candidate {
        index,
        distance,
        load: load(running, 0, 1.0),
        condition: ServerCondition::Healthy,
        reachable: true,
        is_known: true,
        report_age: Duration::ZERO,
    }
}

fn requirements() -> Requirements {
    Requirements {
        repeatable: false,
        nested: false,
        objective_left: Duration::from_millis(1_500),
        expected_run: Duration::from_millis(400),
        bytes: 2_000,
    }
}

/// How often each candidate is chosen in [`ROUNDS`] choices.
fn chosen(candidates: &[Candidate], requirements: &Requirements) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..ROUNDS {
        if let Some(index) = place_request(candidates, requirements, &mut rng) {
            counts[index] += 1;
        }
    }
    counts
}

#[test]
fn without_candidates_there_is_no_choice() {
    assert_eq!(place_request(&[], &requirements(), &mut SmallRng::seed_from_u64(1)), None);
}

#[test]
fn the_own_instance_is_preferred_while_it_has_free_slots() {
    let candidates = [candidate(0, Distance::SameRegion, 0), candidate(1, Distance::SameInstance, 0)];
    assert_eq!(chosen(&candidates, &requirements())[1], ROUNDS);
}

#[test]
fn a_server_with_a_backlog_is_avoided() {
    let candidates = [candidate(0, Distance::SameInstance, 15), candidate(1, Distance::SameRegion, 1)];
    assert_eq!(chosen(&candidates, &requirements())[1], ROUNDS);
}

#[test]
fn requests_stay_in_their_data_centre_among_many_equally_loaded_servers() {
    let near = (0..4).map(|n| candidate(n, Distance::SameDataCentre, 2));
    let far = (4..20).map(|n| candidate(n, Distance::SameRegion, 2));
    let candidates: Vec<_> = near.chain(far).collect();
    let counts = chosen(&candidates, &requirements());
    assert_eq!(counts[..4].iter().sum::<usize>(), ROUNDS);
}

#[test]
fn requests_leave_a_data_centre_whose_servers_are_full() {
    let near = (0..4).map(|n| candidate(n, Distance::SameDataCentre, 7));
    let far = (4..20).map(|n| candidate(n, Distance::SameRegion, 2));
    let candidates: Vec<_> = near.chain(far).collect();
    let counts = chosen(&candidates, &requirements());
    assert_eq!(counts[4..].iter().sum::<usize>(), ROUNDS);
}

#[test]
fn no_request_crosses_the_link_while_the_objective_can_be_met() {
    let candidates = [candidate(0, Distance::SameDataCentre, 6), candidate(1, Distance::OtherRegion, 0)];
    assert_eq!(chosen(&candidates, &requirements())[0], ROUNDS);
}

#[test]
fn requests_cross_the_link_when_the_region_would_miss_the_objective() {
    let candidates = [candidate(0, Distance::SameDataCentre, 30), candidate(1, Distance::OtherRegion, 0)];
    assert_eq!(chosen(&candidates, &requirements())[1], ROUNDS);
}

#[test]
fn a_large_answer_stays_in_the_region_where_a_small_one_crosses_the_link() {
    let candidates = [candidate(0, Distance::SameDataCentre, 20), candidate(1, Distance::OtherRegion, 0)];
    let large = Requirements { bytes: 300_000, ..requirements() };
    assert_eq!(chosen(&candidates, &large)[0], ROUNDS);
    assert_eq!(chosen(&candidates, &requirements())[1], ROUNDS);
}

#[test]
fn equally_old_load_reports_do_not_send_all_requests_to_one_server() {
    let candidates: Vec<_> = (0..12).map(|n| candidate(n, Distance::SameDataCentre, n as u32 % 3)).collect();
    let counts = chosen(&candidates, &requirements());
    assert!(counts.iter().all(|count| *count < ROUNDS / 3), "{counts:?}");
}

#[test]
fn an_unrepeatable_request_avoids_a_suspect_server() {
    let suspect =
        Candidate { condition: ServerCondition::Probation, ..candidate(0, Distance::SameInstance, 0) };
    let candidates = [suspect, candidate(1, Distance::SameRegion, 4)];
    assert_eq!(chosen(&candidates, &requirements())[1], ROUNDS);
}

#[test]
fn some_repeatable_requests_probe_a_suspect_server() {
    let suspect =
        Candidate { condition: ServerCondition::Probation, ..candidate(0, Distance::SameRegion, 0) };
    let candidates = [suspect, candidate(1, Distance::SameInstance, 0)];
    let counts = chosen(&candidates, &Requirements { repeatable: true, ..requirements() });
    assert!(counts[0] > ROUNDS / 10 && counts[0] < ROUNDS / 2, "{counts:?}");
}

#[test]
fn an_idle_healthy_server_gets_requests_although_it_once_seemed_slow() {
    let slow = load(0, 0, 12.5);
    let idle = Candidate {
        load: slow,
        condition: ServerCondition::Idle,
        ..candidate(0, Distance::SameDataCentre, 0)
    };
    let candidates = [idle, candidate(1, Distance::SameDataCentre, 0)];
    let counts = chosen(&candidates, &requirements());
    assert!(counts[0] > ROUNDS / 10, "{counts:?}");
}

#[test]
fn an_unreachable_server_is_the_last_resort() {
    let cut = Candidate { reachable: false, ..candidate(0, Distance::SameInstance, 0) };
    assert_eq!(chosen(&[cut], &requirements())[0], ROUNDS);
    let candidates = [cut, candidate(1, Distance::OtherRegion, 4)];
    assert_eq!(chosen(&candidates, &requirements())[1], ROUNDS);
}

#[test]
fn the_expected_completion_grows_with_the_backlog() {
    let requirements = Requirements { bytes: 0, ..requirements() };
    let idle = expected_completion(&candidate(0, Distance::SameInstance, 0), &requirements);
    let full = expected_completion(&candidate(0, Distance::SameInstance, 10), &requirements);
    assert!(full > idle * 2, "{idle:?} {full:?}");
}

#[test]
fn a_server_whose_load_is_not_known_is_not_preferred_to_a_full_one() {
    let unknown = Candidate { is_known: false, ..candidate(0, Distance::OtherRegion, 0) };
    let candidates = [unknown, candidate(1, Distance::SameDataCentre, 30)];
    assert_eq!(chosen(&candidates, &requirements())[1], ROUNDS);
}

#[test]
fn a_server_whose_load_is_not_known_is_better_than_a_suspect_one() {
    let unknown = Candidate { is_known: false, ..candidate(0, Distance::OtherRegion, 0) };
    let suspect =
        Candidate { condition: ServerCondition::Suspect, ..candidate(1, Distance::SameDataCentre, 0) };
    assert_eq!(chosen(&[unknown, suspect], &requirements())[0], ROUNDS);
}

#[test]
fn a_nested_request_does_not_mind_the_requests_that_it_passes() {
    let with_queue = |index, waiting, running| {
        let plain = candidate(index, Distance::SameDataCentre, running);
        Candidate { load: load(running, waiting, 1.0), ..plain }
    };
    let candidates = [with_queue(0, 20, 4), with_queue(1, 0, 5)];
    let nested = Requirements { nested: true, ..requirements() };
    assert_eq!(chosen(&candidates, &nested)[0], ROUNDS);
    assert_eq!(chosen(&candidates, &requirements())[1], ROUNDS);
}

#[test]
fn a_request_stays_in_its_data_centre_when_that_is_near_enough_to_its_objective() {
    let near = (0..4).map(|n| candidate(n, Distance::SameDataCentre, 5));
    let idle = (4..8).map(|n| candidate(n, Distance::SameRegion, 0));
    let candidates: Vec<_> = near.chain(idle).collect();
    let leave = |objective_ms| {
        let objective_left = Duration::from_millis(objective_ms);
        let counts = chosen(&candidates, &Requirements { objective_left, ..requirements() });
        counts[4..].iter().sum::<usize>()
    };
    assert_eq!(leave(3_000), 0);
    assert_eq!(leave(900), ROUNDS);
}

#[test]
fn a_short_call_does_not_leave_servers_that_are_busy_with_long_requests() {
    let candidates = [candidate(0, Distance::SameDataCentre, 4), candidate(1, Distance::SameRegion, 0)];
    let call = Requirements {
        nested: true,
        objective_left: Duration::from_millis(200),
        expected_run: Duration::from_millis(80),
        ..requirements()
    };
    assert_eq!(chosen(&candidates, &call)[0], ROUNDS);
}

#[test]
fn a_server_that_is_slower_than_others_is_expected_to_take_longer() {
    let slow = load(0, 0, 10.0);
    let slow = Candidate { load: slow, ..candidate(0, Distance::SameDataCentre, 0) };
    let candidates = [slow, candidate(1, Distance::SameDataCentre, 4)];
    assert_eq!(chosen(&candidates, &requirements())[1], ROUNDS);
}

#[test]
fn a_server_with_few_long_requests_is_avoided_for_one_with_more_short_ones() {
    let with_work = |index, running, work_ms| {
        let plain = candidate(index, Distance::SameDataCentre, running);
        let total = Duration::from_millis(work_ms);
        let work = SlotWork { total, before_calls: total };
        Candidate { load: ServerLoad { work, ..plain.load }, ..plain }
    };
    let candidates = [with_work(0, 6, 30_000), with_work(1, 9, 2_000)];
    assert_eq!(chosen(&candidates, &requirements())[1], ROUNDS);
}

#[test]
fn a_server_without_runs_counts_as_an_average_one() {
    let average = candidate(0, Distance::SameDataCentre, 2);
    let new = Candidate { load: ServerLoad { slowness: None, ..average.load }, ..average };
    let requirements = requirements();
    assert_eq!(expected_completion(&new, &requirements), expected_completion(&average, &requirements));
}

/// A shed costs a retry, however short the run would have been.
#[test]
fn a_short_request_avoids_a_server_that_sheds_a_tenth() {
    let plain = candidate(0, Distance::SameInstance, 0);
    let shedding = Candidate { load: ServerLoad { shed_share: 0.1, ..plain.load }, ..plain };
    let short = Requirements { expected_run: Duration::from_millis(2), ..requirements() };
    let candidates = [shedding, candidate(1, Distance::SameDataCentre, 0)];
    assert_eq!(chosen(&candidates, &short)[1], ROUNDS);
}

/// Guards against all daemons sending their requests to the server that was idle when it last reported.
#[test]
fn a_server_that_was_idle_a_second_ago_is_not_preferred_among_busy_ones() {
    let reported = |index, running, age_ms| Candidate {
        report_age: Duration::from_millis(age_ms),
        ..candidate(index, Distance::SameDataCentre, running)
    };
    let busy = (2..12).map(|n| reported(n, 5, 1_500));
    let candidates: Vec<_> = [reported(0, 1, 1_500), reported(1, 4, 50)].into_iter().chain(busy).collect();
    let counts = chosen(&candidates, &requirements());
    assert!(counts[1] > counts[0], "{counts:?}");
}

/// Guards against giving up what reports of a second ago tell while most servers have room.
#[test]
fn a_server_that_was_full_a_second_ago_is_avoided_among_idle_ones() {
    let reported = |index, running| Candidate {
        report_age: Duration::from_secs(1),
        ..candidate(index, Distance::SameDataCentre, running)
    };
    let candidates: Vec<_> = (0..6).map(|n| reported(n, u32::from(n == 0) * 10)).collect();
    assert_eq!(chosen(&candidates, &requirements())[0], 0);
}
