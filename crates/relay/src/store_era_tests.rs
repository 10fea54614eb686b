//! Which eras count as a restore, and which answers as outdated.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use store::StoreError;

use super::{EraChange, StoreEra, rewrite_delay};
use crate::metrics::Metrics;

#[rstest]
#[case::first_answer(None, 3, EraChange::First)]
#[case::same_era(Some(3), 3, EraChange::Same)]
#[case::restore(Some(3), 4, EraChange::Restored { before: 3 })]
#[case::several_restores(Some(0), 2, EraChange::Restored { before: 0 })]
#[case::ended_era(Some(3), 2, EraChange::Ended { seen: 3 })]
fn an_era_is_compared_with_the_latest_one(
    #[case] seen: Option<u64>,
    #[case] era: u64,
    #[case] expected: EraChange,
) {
    assert_eq!(EraChange::between(seen, era), expected);
}

// Guards against answers of an ended era that count because only another daemon has told of the later one.
#[test]
fn an_era_heard_from_a_daemon_makes_earlier_answers_outdated() {
    let metrics = Metrics::default();
    let era = StoreEra::new(&metrics);
    era.admit_answer(0).expect("the first answer");
    era.hear(1);
    assert_eq!(era.admit_answer(0), Err(StoreError::Outdated { era: 0, seen: 1 }));
    assert_eq!((metrics.store_restores.get(), metrics.outdated_store_answers.get()), (1, 1));
}

// Guards against an era that falls when a daemon that does not know of the restore yet names an earlier one.
#[test]
fn an_earlier_era_heard_from_a_daemon_is_ignored() {
    let era = StoreEra::new(&Metrics::default());
    era.admit_answer(2).expect("the first answer");
    era.hear(1);
    assert_eq!(era.latest(), 2);
}

// Guards against a restart that counts as a restore, and makes every daemon write its rows twice.
#[test]
fn the_first_era_of_a_process_is_no_restore() {
    let metrics = Metrics::default();
    StoreEra::new(&metrics).admit_answer(5).expect("the first answer");
    assert_eq!(metrics.store_restores.get(), 0);
}

// Guards against rows that all daemons write at the same moment.
#[test]
fn rewrites_are_spread_over_less_than_a_second() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut delays: Vec<Duration> = (0..100).map(|_| rewrite_delay(&mut rng)).collect();
    delays.sort();
    assert!(delays[10] < Duration::from_millis(150), "{delays:?}");
    assert!(delays[90] > Duration::from_millis(450), "{delays:?}");
    assert!(delays[99] < Duration::from_secs(1), "{delays:?}");
}
