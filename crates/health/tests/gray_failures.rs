//! Tests that gray failures are detected and that no server is ejected for faults elsewhere: of the whole
//! service, of a customer, of a daemon or of the network.

mod simulation;

use health::DetectorConfig;
use health::outlier_detector::EjectionChange;
use kernel::OutcomeKind;
use rand::Rng;
use rand::rngs::SmallRng;
use rstest::rstest;
use simulation::{Answer, Simulation, healthy};

const DAEMONS: usize = 8;
const SERVERS: usize = 10;
/// Time in which a severe failure has to be detected.
const DETECTION_LIMIT_SECS: f64 = 2.0;
/// Index of the faulty server; its name is `s3`.
const FAULTY_SERVER: usize = 3;

/// A simulation after 10 s without faults.
fn healthy_simulation() -> Simulation {
    let mut simulation = Simulation::new(7, DAEMONS, SERVERS, DetectorConfig::default());
    simulation.run(10.0, |rng, _, _| Some(healthy(rng)));
    simulation
}

/// Makes the given share of answers slower by `factor`.
fn slow(factor: f64, share: f64) -> impl Fn(&mut SmallRng, &mut Answer) {
    move |rng, a| a.ms *= if rng.random::<f64>() < share { factor } else { 1.0 }
}

/// Makes the given share of requests end with `kind`.
fn fails(kind: OutcomeKind, share: f64) -> impl Fn(&mut SmallRng, &mut Answer) {
    move |rng, a| a.kind = if rng.random::<f64>() < share { kind } else { a.kind }
}

#[rstest]
#[case::slow_by_three(slow(3.0, 1.0))]
#[case::slow_by_ten(slow(10.0, 1.0))]
#[case::slow_for_half(slow(10.0, 0.5))]
#[case::errors_for_all(fails(OutcomeKind::ServerError, 1.0))]
#[case::errors_for_a_third(fails(OutcomeKind::ServerError, 0.33))]
#[case::stalls_after_the_head(fails(OutcomeKind::Stall, 1.0))]
#[case::truncated(fails(OutcomeKind::Truncated, 0.5))]
#[case::wrong_id(fails(OutcomeKind::Mismatched, 0.5))]
#[case::refuses_connections(fails(OutcomeKind::ConnectFailed, 1.0))]
fn a_faulty_server_is_ejected(#[case] fault: impl Fn(&mut SmallRng, &mut Answer)) {
    let mut simulation = healthy_simulation();
    simulation.run(DETECTION_LIMIT_SECS, |rng, _, s| {
        let mut answer = healthy(rng);
        if s == FAULTY_SERVER {
            fault(rng, &mut answer);
        }
        Some(answer)
    });
    assert_eq!(simulation.ejected(), vec!["s3".into()], "{:?}", simulation.changes);
}

#[rstest]
#[case::slow_for_a_tenth(slow(10.0, 0.1), 20.0)]
#[case::errors_for_a_tenth(fails(OutcomeKind::ServerError, 0.1), 10.0)]
fn a_server_that_fails_a_tenth_is_ejected_later(
    #[case] fault: impl Fn(&mut SmallRng, &mut Answer),
    #[case] secs: f64,
) {
    let mut simulation = healthy_simulation();
    simulation.run(secs, |rng, _, s| {
        let mut answer = healthy(rng);
        if s == FAULTY_SERVER {
            fault(rng, &mut answer);
        }
        Some(answer)
    });
    assert_eq!(simulation.ejected().first(), Some(&"s3".into()), "{:?}", simulation.changes);
}

#[test]
fn a_server_that_never_answers_is_ejected() {
    let mut simulation = healthy_simulation();
    simulation.run(DETECTION_LIMIT_SECS, |rng, _, s| (s != FAULTY_SERVER).then(|| healthy(rng)));
    assert_eq!(simulation.ejected(), vec!["s3".into()]);
}

#[test]
fn a_server_that_is_slow_for_one_customer_only_is_ejected() {
    let mut simulation = healthy_simulation();
    simulation.run(20.0, |rng, _, s| {
        let mut answer = healthy(rng);
        if s == FAULTY_SERVER && answer.customer == 0 {
            answer.ms *= 10.0;
        }
        Some(answer)
    });
    assert_eq!(simulation.ejected().first(), Some(&"s3".into()));
}

#[rstest]
#[case::nothing_wrong(|_: &mut SmallRng, _, _, _: &mut Answer| ())]
#[case::service_wide_slowdown(|_: &mut SmallRng, _, _, a: &mut Answer| a.ms *= 8.0)]
#[case::service_wide_errors(|rng: &mut SmallRng, _, _, a: &mut Answer| fails(OutcomeKind::ServerError, 0.5)(rng, a))]
#[case::slow_customer(|_: &mut SmallRng, _, _, a: &mut Answer| a.ms *= if a.customer < 2 { 10.0 } else { 1.0 })]
#[case::client_errors(|_: &mut SmallRng, _, s, a: &mut Answer| if s == FAULTY_SERVER { a.kind = OutcomeKind::ClientError })]
#[case::shedding(|_: &mut SmallRng, _, s, a: &mut Answer| if s == FAULTY_SERVER { a.kind = OutcomeKind::Shed })]
#[case::starved_daemon(|_: &mut SmallRng, d, _, a: &mut Answer| a.ms *= if d == 0 { 10.0 } else { 1.0 })]
#[case::two_starved_daemons(|_: &mut SmallRng, d, _, a: &mut Answer| a.ms *= if d < 2 { 10.0 } else { 1.0 })]
#[case::one_way_loss_to_one_daemon(|_: &mut SmallRng, d, s, a: &mut Answer| if (d, s) == (0, FAULTY_SERVER) { a.kind = OutcomeKind::Stall })]
#[case::unreachable_from_one_data_centre(|_: &mut SmallRng, d, s, a: &mut Answer| if d % 4 == 1 && s == FAULTY_SERVER { a.kind = OutcomeKind::ConnectFailed })]
#[case::silent_idle_connections(|_: &mut SmallRng, _, s, a: &mut Answer| if s == FAULTY_SERVER { a.kind = OutcomeKind::SilentConnection })]
#[case::large_files(|_: &mut SmallRng, _, s, a: &mut Answer| if s == FAULTY_SERVER { a.bytes = 9_000_000; a.ms *= 50.0 })]
fn no_server_is_ejected_for_faults_elsewhere(
    #[case] fault: impl Fn(&mut SmallRng, usize, usize, &mut Answer),
) {
    let mut simulation = healthy_simulation();
    simulation.run(60.0, |rng, d, s| {
        let mut answer = healthy(rng);
        fault(rng, d, s, &mut answer);
        Some(answer)
    });
    assert_eq!(simulation.ejected(), Vec::<base::ServerId>::new());
}

#[test]
fn a_starved_daemon_finds_most_of_its_servers_bad() {
    let mut simulation = healthy_simulation();
    simulation.run(1.0, |rng, d, _| {
        let mut answer = healthy(rng);
        answer.ms *= if d == 0 { 10.0 } else { 1.0 };
        Some(answer)
    });
    assert!(simulation.sees_mostly_bad(0), "daemon 0 is starved");
    assert!(!simulation.sees_mostly_bad(1), "daemon 1 is not starved");
}

#[test]
fn failures_that_only_one_daemon_sees_eject_no_server() {
    let mut simulation = healthy_simulation();
    simulation.run(5.0, |rng, d, s| {
        let mut answer = healthy(rng);
        if (d, s) == (0, FAULTY_SERVER) {
            answer.kind = OutcomeKind::Reset;
        }
        Some(answer)
    });
    assert!(simulation.local_score(0, FAULTY_SERVER) > 20.0, "daemon 0 sees the failures");
    assert!(simulation.local_score(1, FAULTY_SERVER) < 1.0, "daemon 1 sees no failure");
    assert_eq!(simulation.ejected(), Vec::<base::ServerId>::new());
}

#[test]
fn a_single_observer_needs_double_evidence_for_an_ejection() {
    let mut simulation = Simulation::new(3, 1, SERVERS, DetectorConfig::default());
    simulation.run(10.0, |rng, _, _| Some(healthy(rng)));
    simulation.run(10.0, |rng, _, s| {
        let mut answer = healthy(rng);
        if s == FAULTY_SERVER {
            answer.kind = OutcomeKind::ServerError;
        }
        Some(answer)
    });
    let score = simulation.changes.iter().find_map(|(_, c)| match c {
        EjectionChange::Ejected(_, score) => Some(*score),
        _ => None,
    });
    assert!(score.is_some_and(|s| s >= 2.0 * DetectorConfig::default().threshold), "{score:?}");
}

#[test]
fn the_least_bad_servers_stay_when_too_many_are_faulty() {
    let mut simulation = healthy_simulation();
    simulation.budget = 2;
    simulation.run(3.0, |rng, _, s| {
        let mut answer = healthy(rng);
        fails(OutcomeKind::ServerError, [1.0, 1.0, 0.4, 0.4].get(s).copied().unwrap_or(0.0))(
            rng,
            &mut answer,
        );
        Some(answer)
    });
    let mut ejected = simulation.ejected();
    ejected.sort();
    assert_eq!(ejected, vec!["s0".into(), "s1".into()], "{:?}", simulation.changes);
    assert!(simulation.changes.iter().any(|(_, c)| matches!(c, EjectionChange::HeldByFloor(..))));
}

#[test]
fn a_recovered_server_returns_after_a_trial_and_a_ramp() {
    let mut simulation = healthy_simulation();
    simulation.run(2.0, |rng, _, s| {
        let mut answer = healthy(rng);
        if s == FAULTY_SERVER {
            answer.kind = OutcomeKind::ServerError;
        }
        Some(answer)
    });
    simulation.run(30.0, |rng, _, _| Some(healthy(rng)));
    let kinds: Vec<_> = simulation.changes.iter().map(|(_, c)| std::mem::discriminant(c)).collect();
    let id = || "s3".into();
    let expected = [
        EjectionChange::Ejected(id(), 0.0),
        EjectionChange::TrialStarted(id()),
        EjectionChange::Returned(id()),
    ];
    assert_eq!(kinds, expected.iter().map(std::mem::discriminant).collect::<Vec<_>>());
    assert_eq!(simulation.detector.ejection_list(), Vec::new());
}

#[test]
fn flapping_doubles_the_hold() {
    let mut simulation = healthy_simulation();
    let mut n = 0_u32;
    simulation.run(90.0, |rng, _, s| {
        n += 1;
        let mut answer = healthy(rng);
        let is_faulty = (n / (400 * 5)).is_multiple_of(2);
        if s == FAULTY_SERVER && is_faulty {
            answer.kind = OutcomeKind::ServerError;
        }
        Some(answer)
    });
    let at =
        |c: &(std::time::Duration, EjectionChange)| matches!(c.1, EjectionChange::Ejected(..)).then_some(c.0);
    let times: Vec<_> = simulation.changes.iter().filter_map(at).collect();
    let gaps: Vec<_> = times.windows(2).map(|w| w[1].saturating_sub(w[0])).collect();
    assert!(gaps.len() >= 2 && gaps.last() > gaps.first(), "{gaps:?}");
}
