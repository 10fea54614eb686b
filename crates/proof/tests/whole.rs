//! Random operations on whole daemons; every promise is checked after each.

use std::time::Duration;

use proof::{Op, World};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// The reference keeps no state of its own: the oracle inside the world judges facts.
#[derive(Clone, Debug)]
struct Anything;

impl ReferenceStateMachine for Anything {
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
            2 => d().prop_map(Op::Apply),
            1 => (d(), c()).prop_map(|(d, c)| Op::GiveKey(d, c)),
            1 => (d(), c()).prop_map(|(d, c)| Op::WithdrawKey(d, c)),
            1 => s().prop_map(Op::Drain),
            1 => s().prop_map(Op::Return),
            1 => s().prop_map(Op::Sicken),
            1 => s().prop_map(Op::Cure),
            1 => (d(), d()).prop_map(|(a, b)| Op::CutOneWay(a, b)),
            1 => (d(), d()).prop_map(|(a, b)| Op::Cut(a, b)),
            1 => Just(Op::CutRegion),
            2 => Just(Op::Heal),
            1 => d().prop_map(Op::Pause),
            2 => d().prop_map(Op::Resume),
            1 => d().prop_map(Op::Crash),
            1 => d().prop_map(Op::Stop),
            2 => d().prop_map(Op::Restart),
            1 => Just(Op::StoreDown),
            1 => Just(Op::StoreLosesAnswers),
            2 => Just(Op::StoreUp),
            1 => (c(), any::<bool>()).prop_map(|(c, greedy)| Op::Greed(c, greedy)),
        ]
        .boxed()
    }

    fn apply((): (), _op: &Op) {}
}

struct WholeFleet;

impl StateMachineTest for WholeFleet {
    type SystemUnderTest = World;
    type Reference = Anything;

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
        let faults = state.settle();
        assert_eq!(state.oracle.violations(), &[]);
        assert!(faults.is_empty(), "after all faults ended: {faults:?}");
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: cases(), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn whole_daemons_keep_every_promise(sequential 1..30 => WholeFleet);
}

/// Cases of a run: few in CI, as many as `POMELO_FUZZ_CASES` says in `./scripts/fuzz`.
fn cases() -> u32 {
    std::env::var("POMELO_FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(6)
}
