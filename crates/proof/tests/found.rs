//! Traces that the fuzz found, kept as tests of their own.

use std::time::Duration;

use proof::{Op, World};
use rstest::rstest;

fn violations_after(ops: &[Op]) -> Vec<proof::Violation> {
    let mut world = World::new(20_261_204, 4);
    for op in ops {
        world.perform(op);
    }
    let _faults = world.settle();
    world.oracle.violations().to_vec()
}

#[rstest]
fn a_woken_daemon_gives_no_work_to_a_server_that_drained_meanwhile() {
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
fn a_server_that_drained_elsewhere_stays_drained_when_it_returns_to_a_woken_daemon() {
    let ops = [Op::Drain(2), Op::Pause(2), Op::Run(Duration::from_millis(2_020))];

    let violations = violations_after(&ops);

    assert_eq!(violations, []);
}
