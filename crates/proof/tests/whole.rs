//! Property test: performs random operations on a simulated fleet and checks every invariant after each.

use std::time::Duration;

use proof::{Op, World};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Generates the operations. The reference model has no state, because the oracle in the world checks the
/// invariants.
#[derive(Clone, Debug)]
struct RandomOps;

impl ReferenceStateMachine for RandomOps {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        let d = || 0..4_usize;
        let s = || 0..6_usize;
        let c = || 0..3_usize;
        prop_oneof![
            8 => (50..4_000_u64).prop_map(|ms| Op::Run(Duration::from_millis(ms))),
            2 => d().prop_map(Op::ApplyConfig),
            1 => (d(), c()).prop_map(|(d, c)| Op::GiveKey(d, c)),
            1 => (d(), c()).prop_map(|(d, c)| Op::WithdrawKey(d, c)),
            1 => s().prop_map(Op::Drain),
            1 => s().prop_map(Op::EndDrain),
            1 => s().prop_map(Op::FailServer),
            1 => s().prop_map(Op::RecoverServer),
            1 => (d(), d()).prop_map(|(a, b)| Op::CutLinkOneWay(a, b)),
            1 => (d(), d()).prop_map(|(a, b)| Op::CutLink(a, b)),
            1 => Just(Op::CutRegion),
            2 => Just(Op::HealLinks),
            1 => d().prop_map(Op::Pause),
            2 => d().prop_map(Op::Resume),
            1 => d().prop_map(Op::Crash),
            1 => d().prop_map(Op::Stop),
            2 => d().prop_map(Op::Restart),
            1 => Just(Op::StoreDown),
            1 => Just(Op::StoreLosesAnswers),
            2 => Just(Op::StoreRecovers),
            1 => (c(), any::<bool>()).prop_map(|(c, exceeds_rate)| Op::ExceedRate(c, exceeds_rate)),
        ]
        .boxed()
    }

    fn apply((): (), _op: &Op) {}
}

/// Performs the operations on a [`World`].
struct SimulatedFleet;

impl StateMachineTest for SimulatedFleet {
    type SystemUnderTest = World;
    type Reference = RandomOps;

    fn init_test((): &()) -> World {
        World::new(20_261_204, 4)
    }

    fn apply(mut state: World, (): &(), transition: Op) -> World {
        state.perform(&transition);
        state
    }

    fn check_invariants(state: &World, (): &()) {
        assert_eq!(state.oracle.violations(), &[]);
    }

    fn teardown(mut state: World, (): ()) {
        let problems = state.recover();
        assert_eq!(state.oracle.violations(), &[]);
        assert!(problems.is_empty(), "after all faults ended: {problems:?}");
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: case_count(),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_under_random_operations(sequential 1..30 => SimulatedFleet);
}

/// Number of generated sequences: few unless `POMELO_FUZZ_CASES` is set, as `./scripts/fuzz` does.
fn case_count() -> u32 {
    std::env::var("POMELO_FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(6)
}
