//! Regression tests: sequences of operations that the property test in `whole.rs` once failed on.

use std::time::Duration;

use proof::{Op, World};
use rstest::rstest;

/// Performs the operations, lets the fleet recover, and returns the violated invariants.
fn violations_after(ops: &[Op]) -> Vec<proof::Violation> {
    let mut world = World::new(20_261_204, 4);
    for op in ops {
        world.perform(op);
    }
    let _problems = world.recover();
    world.oracle.violations().to_vec()
}

#[rstest]
fn resumed_daemon_sends_no_request_to_a_server_that_began_to_drain_while_it_was_paused() {
    let ops = [
        Op::Crash(1),
        Op::Pause(0),
        Op::Run(Duration::from_millis(4_040)),
        Op::StoreLosesAnswers,
        Op::Drain(0),
        Op::Run(Duration::from_millis(5_020)),
    ];

    let violations = violations_after(&ops);

    assert_eq!(violations, []);
}

#[rstest]
fn server_that_drained_at_another_daemon_stays_drained_when_it_returns_to_its_resumed_daemon() {
    let ops = [Op::Drain(2), Op::Pause(2), Op::Run(Duration::from_millis(2_020))];

    let violations = violations_after(&ops);

    assert_eq!(violations, []);
}
