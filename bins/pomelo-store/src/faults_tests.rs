//! Tests of the faults.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::faults::{Fate, Faults};

const CUT: &str = "127.0.0.1:7000";

#[rstest]
#[case::none(Faults::default(), true, Fate::Serve)]
#[case::down(Faults { down: true, ..Faults::default() }, false, Fate::Refuse)]
#[case::cut(Faults { cut: vec![CUT.into()], ..Faults::default() }, false, Fate::Refuse)]
#[case::cut_of_another(Faults { cut: vec!["127.0.0.2:1".into()], ..Faults::default() }, true, Fate::Serve)]
#[case::lost_write(Faults { lost_answers: 1.0, ..Faults::default() }, true, Fate::LoseAnswer)]
#[case::read_is_not_lost(Faults { lost_answers: 1.0, ..Faults::default() }, false, Fate::Serve)]
#[case::errors(Faults { errors: 1.0, ..Faults::default() }, true, Fate::Refuse)]
fn fate_follows_the_faults(#[case] faults: Faults, #[case] is_write: bool, #[case] fate: Fate) {
    let mut rng = SmallRng::seed_from_u64(7);
    assert_eq!(faults.fate(CUT, is_write, &mut rng), fate);
}

#[rstest]
fn share_above_one_is_no_fault() {
    assert!(!Faults { errors: 1.5, ..Faults::default() }.is_valid());
}
