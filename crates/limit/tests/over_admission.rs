//! Guards against over-admission: stateful fuzzing of the limiter against one exact token bucket per
//! customer.

mod common;

use std::time::Duration;

use common::Sim;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rstest::rstest;

/// Most daemons in a trace.
const MAX_DAEMONS: usize = 9;

/// One step of a trace.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes, in tenths of a second, under traffic that takes every token it can get.
    Run {
        tenths: u16,
    },
    Pause {
        at: usize,
    },
    Resume {
        at: usize,
    },
    Crash {
        at: usize,
    },
    Restart {
        at: usize,
    },
    Stop {
        at: usize,
    },
    Cut {
        from: usize,
        to: usize,
    },
    CutOffStore {
        at: usize,
    },
    CutRegion,
    Heal,
    Store {
        down: bool,
    },
    SlowStore {
        ms: u16,
    },
    LostAnswers {
        percent: u8,
    },
    Network {
        loss: u8,
        doubling: u8,
        jitter_ms: u16,
    },
    Fence {
        by: usize,
        target: usize,
    },
}

/// The reference state: how the fleet was started. The oracle that checks admissions is in `common`.
#[derive(Clone, Debug)]
struct Start {
    daemons: usize,
    seed: u64,
}

impl ReferenceStateMachine for Start {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        (3..=MAX_DAEMONS, any::<u64>()).prop_map(|(daemons, seed)| Self { daemons, seed }).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let any_daemon = 0..state.daemons;
        prop_oneof![
            12 => (1..90_u16).prop_map(|tenths| Step::Run { tenths }),
            2 => any_daemon.clone().prop_map(|at| Step::Pause { at }),
            2 => any_daemon.clone().prop_map(|at| Step::Resume { at }),
            1 => any_daemon.clone().prop_map(|at| Step::Crash { at }),
            3 => any_daemon.clone().prop_map(|at| Step::Restart { at }),
            1 => any_daemon.clone().prop_map(|at| Step::Stop { at }),
            3 => (any_daemon.clone(), any_daemon.clone()).prop_map(|(from, to)| Step::Cut { from, to }),
            2 => any_daemon.clone().prop_map(|at| Step::CutOffStore { at }),
            1 => Just(Step::CutRegion),
            2 => Just(Step::Heal),
            1 => any::<bool>().prop_map(|down| Step::Store { down }),
            1 => (0..3_000_u16).prop_map(|ms| Step::SlowStore { ms }),
            1 => (0..60_u8).prop_map(|percent| Step::LostAnswers { percent }),
            2 => (0..30_u8, 0..30_u8, 0..400_u16)
                .prop_map(|(loss, doubling, jitter_ms)| Step::Network { loss, doubling, jitter_ms }),
            3 => (any_daemon.clone(), any_daemon).prop_map(|(by, target)| Step::Fence { by, target }),
        ]
        .boxed()
    }

    fn apply(state: Self, _step: &Step) -> Self {
        state
    }
}

const PLACES: [(&str, &str); 3] = [("meseta", "paraiso"), ("guanacaste", "canas"), ("meseta", "barva")];

/// Rate and burst of the customers: ordinary, burst of one token, burst far above the rate, low rate.
const CUSTOMERS: [(f64, f64); 4] = [(50.0, 20.0), (4.0, 1.0), (5.0, 100.0), (0.5, 3.0)];

fn start_fleet(daemons: usize, seed: u64) -> Sim {
    let places: Vec<_> = (0..daemons).map(|i| PLACES[i % PLACES.len()]).collect();
    Sim::new(seed, &places, &CUSTOMERS, 64)
}

/// Sends enough requests of every customer to every daemon that all tokens get spent.
fn flood(sim: &mut Sim, time: Duration) {
    let end = sim.fleet.now() + time;
    let mut step = 0;
    while sim.fleet.now() < end {
        step += 1;
        let up: Vec<_> = (0..sim.fleet.daemon_count()).filter(|at| step % 4 == 0 && sim.is_up(*at)).collect();
        for at in up {
            for customer in 0..sim.customers.len() {
                sim.arrive(at, customer, 1 + u32::from(step % 28 == 0), 0);
            }
        }
        sim.step();
    }
}

fn apply_step(sim: &mut Sim, step: &Step) {
    let is_up = |sim: &Sim, at: usize| sim.fleet.kernel(at).is_some();
    match *step {
        Step::Run { tenths } => flood(sim, Duration::from_millis(u64::from(tenths) * 100)),
        Step::Pause { at } if is_up(sim, at) => sim.fleet.pause(at),
        Step::Resume { at } => sim.fleet.resume(at),
        Step::Crash { at } => sim.fleet.crash(at),
        Step::Restart { at } => sim.fleet.restart(at),
        Step::Stop { at } if is_up(sim, at) && !sim.fleet.is_paused(at) => sim.fleet.stop(at),
        Step::Cut { from, to } => sim.fleet.cut_link(from, to, false),
        Step::CutOffStore { at } => {
            let id = sim.fleet.local_daemon(at).id;
            sim.fleet.store.cut_off_daemons.insert(id);
        }
        Step::CutRegion => sim.fleet.cut_region("guanacaste"),
        Step::Heal => sim.fleet.heal(),
        Step::Store { down } => sim.fleet.store.down = down,
        Step::SlowStore { ms } => sim.fleet.store.latency = Duration::from_millis(u64::from(ms)),
        Step::LostAnswers { percent } => sim.fleet.store.lost_answers = f64::from(percent) / 100.0,
        Step::Network { loss, doubling, jitter_ms } => {
            sim.fleet.network.loss = f64::from(loss) / 100.0;
            sim.fleet.network.duplication = f64::from(doubling) / 100.0;
            sim.fleet.network.jitter = Duration::from_millis(u64::from(jitter_ms));
        }
        Step::Fence { by, target } if is_up(sim, by) && !sim.fleet.is_paused(by) => {
            let path = format!("/v1/fence/{}", sim.fleet.local_daemon(target).id);
            sim.fleet.call(by, "POST", &path, "");
        }
        Step::Pause { .. } | Step::Stop { .. } | Step::Fence { .. } => {}
    }
}

struct NoOverAdmission;

/// Number of traces in one run. `LIMIT_FUZZ_CASES` sets more than CI has time for.
fn trace_count() -> u32 {
    std::env::var("LIMIT_FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(6)
}

impl StateMachineTest for NoOverAdmission {
    type SystemUnderTest = Sim;
    type Reference = Start;

    fn init_test(ref_state: &Start) -> Sim {
        let mut sim = start_fleet(ref_state.daemons, ref_state.seed);
        flood(&mut sim, Duration::from_secs(8));
        sim
    }

    fn apply(mut state: Sim, _ref_state: &Start, transition: Step) -> Sim {
        apply_step(&mut state, &transition);
        state
    }

    fn check_invariants(state: &Sim, _ref_state: &Start) {
        assert_eq!(state.over_admitted, 0, "admitted more than burst + rate * window");
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: trace_count(), max_shrink_iters: 40, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_customer_gets_more_than_its_rate_and_burst(sequential 6..24 => NoOverAdmission);
}

#[test]
fn a_fleet_without_faults_admits_the_whole_rate() {
    let mut sim = start_fleet(4, 1);
    flood(&mut sim, Duration::from_secs(8));
    let before = sim.admitted;
    flood(&mut sim, Duration::from_secs(10));
    assert_eq!(sim.over_admitted, 0);
    // 59.5 tokens a second for 10 s, in requests of 1 token and some of 2.
    assert!(sim.admitted - before > 480, "admitted {}", sim.admitted - before);
}

/// Fences a holder that can't learn of it: the holder is partitioned from the store and from the daemons that
/// know the change, while holders that don't know the change still confirm the outdated row to it.
fn fence_a_partitioned_holder(seed: u64) -> Sim {
    let mut sim = start_fleet(7, seed);
    flood(&mut sim, Duration::from_secs(8));
    // Daemons 0 to 3 confirm the row to each other. Daemons 4 to 6 reach the store, but are one
    // acknowledgement short of settling a change.
    for a in 0..4 {
        let id = sim.fleet.local_daemon(a).id;
        sim.fleet.store.cut_off_daemons.insert(id);
        (4..7).for_each(|b| sim.fleet.cut_link(a, b, true));
    }
    let target = sim.fleet.local_daemon(0).id;
    sim.fleet.call(4, "POST", &format!("/v1/fence/{target}"), "");
    flood(&mut sim, Duration::from_secs(25));
    sim
}

#[test]
fn a_fenced_holder_that_outdated_holders_confirm_stops_spending() {
    let sim = fence_a_partitioned_holder(3);
    // Only the acknowledgement step of share changes prevents over-admission here; without it (feature
    // `mutation`) this test fails.
    assert_eq!(sim.over_admitted, 0);
}

#[rstest]
#[case::sole(1)]
#[case::pair(2)]
#[case::three(3)]
#[case::four(4)]
fn a_small_fleet_admits_the_whole_rate_without_the_store(#[case] daemons: usize) {
    let mut sim = start_fleet(daemons, 9);
    sim.run_for(Duration::from_secs(9));
    sim.fleet.store.down = true;
    flood(&mut sim, Duration::from_secs(20));
    let before = sim.admitted;
    flood(&mut sim, Duration::from_secs(10));
    assert_eq!(sim.over_admitted, 0);
    // 59.5 tokens a second for 10 s, in requests of 1 token and some of 2.
    assert!(sim.admitted - before > 480, "admitted {}", sim.admitted - before);
}

#[test]
fn a_stopping_daemon_hands_its_shares_over_before_the_limit() {
    let mut sim = start_fleet(4, 2);
    sim.run_for(Duration::from_secs(9));
    sim.fleet.stop(1);
    sim.run_for(Duration::from_secs(15));
    assert!(sim.fleet.is_finished(1), "the daemon had not stopped after 15 s; the limit is 20 s");
    assert!(!holders(&sim, 0).contains(&sim.fleet.local_daemon(1).id));
}

#[test]
fn a_crashed_daemon_loses_its_shares() {
    let mut sim = start_fleet(4, 2);
    sim.run_for(Duration::from_secs(9));
    sim.fleet.crash(1);
    sim.run_for(Duration::from_secs(20));
    assert!(!holders(&sim, 0).contains(&sim.fleet.local_daemon(1).id));
}

#[test]
fn fencing_an_address_without_shares_is_refused() {
    let mut sim = start_fleet(3, 2);
    sim.run_for(Duration::from_secs(9));
    let rep = sim.fleet.call_and_wait(0, "POST", "/v1/fence/127.9.9.9:1", "");
    assert_eq!(rep.map(|r| r.status), Some(404));
}

fn holders(sim: &Sim, at: usize) -> std::sync::Arc<[base::DaemonId]> {
    let kernel = sim.fleet.kernel(at).expect("runs");
    std::sync::Arc::clone(&kernel.board().holders)
}
