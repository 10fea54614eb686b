use std::collections::HashMap;
use std::time::Duration;

use rstest::rstest;

use super::{Verdict, compare};
use crate::answer::{Answer, Finished};

fn order(answer: Answer) -> Finished {
    Finished { stream: 0, due: Duration::ZERO, took: Duration::ZERO, answer, order: Some("o1".into()) }
}

fn refused(not_run: bool) -> Answer {
    Answer::Refused { reason: "broken".into(), not_run }
}

#[rstest]
#[case::done_and_ran_once(Answer::Status(200), 1, Verdict { orders: 1, ..Verdict::default() })]
#[case::done_but_not_run(Answer::Status(200), 0, Verdict { orders: 1, lost: 1, ..Verdict::default() })]
#[case::ran_twice(Answer::Status(200), 2, Verdict { orders: 1, doubled: 1, ..Verdict::default() })]
#[case::truly_not_run(refused(true), 0, Verdict { orders: 1, ..Verdict::default() })]
#[case::falsely_not_run(refused(true), 1, Verdict { orders: 1, false_not_run: 1, ..Verdict::default() })]
#[case::unknown(refused(false), 1, Verdict { orders: 1, unknown: 1, ..Verdict::default() })]
#[case::unknown_and_twice(Answer::Cut, 2, Verdict { orders: 1, doubled: 1, unknown: 1, ..Verdict::default() })]
fn an_order_is_judged_by_its_runs(#[case] answer: Answer, #[case] runs: u32, #[case] expected: Verdict) {
    let runs = HashMap::from([("o1".into(), runs)]);

    let verdict = compare(&[order(answer)], &runs);

    assert_eq!(verdict, expected);
}
