//! All orders of sending, arrival, question, answer, loss, delayed copies and restarts, in small bounds.

mod common;

use common::{SMALL_LIMITS, Step, World};
use fate::Limits;
use proptest::prelude::*;

/// Steps of a trace in the exhaustive test.
const EXHAUSTIVE_STEPS: usize = 7;
/// Most steps of a random trace.
const MAX_RANDOM_STEPS: usize = 60;

/// Goes through all traces of `left` further steps, and returns their number.
fn explore(world: &World, left: usize) -> u64 {
    if left == 0 {
        return 1;
    }
    let mut traces = 0;
    for step in Step::ALL {
        let mut next = world.clone();
        if next.apply(*step) {
            next.check();
            traces += explore(&next, left - 1);
        }
    }
    traces.max(1)
}

// Guards against a request that runs after its caller's daemon was told that it never will.
#[test]
fn no_hand_off_starts_that_was_reported_as_not_run_in_any_short_trace() {
    let traces = explore(&World::new(), EXHAUSTIVE_STEPS);
    assert!(traces > 100_000, "only {traces} traces");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 20_000, failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against the same fault in traces with several restarts and more hand-offs.
    #[test]
    fn no_hand_off_starts_that_was_reported_as_not_run_in_long_traces(
        steps in prop::collection::vec(prop::sample::select(Step::ALL), 1..MAX_RANDOM_STEPS)
    ) {
        for limits in [Limits::default(), SMALL_LIMITS] {
            let mut world = World::with_limits(limits);
            for step in &steps {
                world.apply(*step);
                world.check();
            }
        }
    }

    // Guards against a lost request that ends as unknown although question and answer get through.
    #[test]
    fn a_hand_off_that_never_came_is_proven_not_run_once_question_and_answer_get_through(
        steps in prop::collection::vec(prop::sample::select(Step::ALL_BUT_RESTARTS), 1..MAX_RANDOM_STEPS)
    ) {
        let mut world = World::new();
        for step in steps {
            world.apply(step);
        }
        let lost = world.lose_connection();
        world.apply(Step::Break);
        world.settle();
        world.check();
        for handoff in lost {
            prop_assert!(world.is_not_run(handoff), "{handoff:?} in {world:?}");
        }
    }
}
