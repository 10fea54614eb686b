use std::collections::HashMap;
use std::time::Duration;

use rstest::rstest;

use super::{OrderCounts, compare_orders};
use crate::answer::{Answer, FinishedRequest};

fn order_with(answer: Answer) -> FinishedRequest {
    FinishedRequest {
        stream: 0,
        due: Duration::ZERO,
        latency: Duration::ZERO,
        answer,
        order: Some("o1".into()),
    }
}

fn refusal(not_run: bool) -> Answer {
    Answer::Refused { reason: "broken".into(), not_run }
}

#[rstest]
#[case::success(Answer::Status(200), 1, OrderCounts { orders: 1, ..OrderCounts::default() })]
#[case::lost(Answer::Status(200), 0, OrderCounts { orders: 1, lost: 1, ..OrderCounts::default() })]
#[case::doubled(Answer::Status(200), 2, OrderCounts { orders: 1, doubled: 1, ..OrderCounts::default() })]
#[case::not_run(refusal(true), 0, OrderCounts { orders: 1, ..OrderCounts::default() })]
#[case::false_not_run(
    refusal(true),
    1,
    OrderCounts { orders: 1, false_not_run: 1, ..OrderCounts::default() }
)]
#[case::unknown(refusal(false), 1, OrderCounts { orders: 1, unknown: 1, ..OrderCounts::default() })]
#[case::unknown_and_doubled(
    Answer::Cut,
    2,
    OrderCounts { orders: 1, doubled: 1, unknown: 1, ..OrderCounts::default() }
)]
fn lost_doubled_and_falsely_refused_orders_are_counted(
    #[case] answer: Answer,
    #[case] runs: u32,
    #[case] expected: OrderCounts,
) {
    let runs = HashMap::from([("o1".into(), runs)]);

    let counts = compare_orders(&[order_with(answer)], &runs);

    assert_eq!(counts, expected);
}
