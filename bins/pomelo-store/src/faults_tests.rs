//! Tests of the injected faults.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::faults::{CallOutcome, Faults};

const CALLER: &str = "127.0.0.1:7000";

#[rstest]
#[case::none(Faults::default(), true, CallOutcome::Serve)]
#[case::down(Faults { down: true, ..Faults::default() }, false, CallOutcome::Refuse)]
#[case::caller_cut_off(Faults { cut: vec![CALLER.into()], ..Faults::default() }, false, CallOutcome::Refuse)]
#[case::other_cut(Faults { cut: vec!["127.0.0.2:1".into()], ..Faults::default() }, true, CallOutcome::Serve)]
#[case::lost_write_answer(Faults { lost_answers: 1.0, ..Faults::default() }, true, CallOutcome::LoseAnswer)]
#[case::read_answer_not_lost(Faults { lost_answers: 1.0, ..Faults::default() }, false, CallOutcome::Serve)]
#[case::errors(Faults { errors: 1.0, ..Faults::default() }, true, CallOutcome::Refuse)]
fn call_outcome_follows_the_faults(
    #[case] faults: Faults,
    #[case] is_write: bool,
    #[case] expected: CallOutcome,
) {
    let mut rng = SmallRng::seed_from_u64(7);
    assert_eq!(faults.draw_outcome(CALLER, is_write, &mut rng), expected);
}

#[rstest]
fn share_above_one_is_invalid() {
    assert!(!Faults { errors: 1.5, ..Faults::default() }.has_valid_shares());
}
