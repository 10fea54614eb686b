//! Which evacuations are in force, as states of the store arrive in any order and from before and after a restore.

use std::time::{Duration, Instant};

use base::{Place, StoreStamp};
use relay::operator_state::{Evacuations, OperatorState, UpdateOutcome};

fn state(era: u64, version: u64, evacuated: &[&str]) -> OperatorState {
    let stamp = StoreStamp { era, version };
    OperatorState { stamp, evacuated: evacuated.iter().map(|centre| (*centre).into()).collect() }
}

fn is_evacuated(evacuations: &Evacuations, now: Instant) -> bool {
    evacuations.is_evacuated(&Place::new("guanacaste", "canas"), now)
}

// Guards against a delayed message that undoes an evacuation, or brings one back.
#[test]
fn a_state_that_was_read_earlier_changes_nothing() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    assert_eq!(evacuations.update(state(0, 5, &["canas"]), now), UpdateOutcome::Changed);
    assert_eq!(evacuations.update(state(0, 4, &[]), now), UpdateOutcome::Outdated);
    assert!(is_evacuated(&evacuations, now));
    assert_eq!(evacuations.update(state(0, 6, &["canas"]), now), UpdateOutcome::Confirmed);
    assert_eq!(evacuations.update(state(0, 7, &[]), now), UpdateOutcome::Changed);
    assert_eq!(evacuations.update(state(0, 6, &["canas"]), now), UpdateOutcome::Outdated);
    assert!(!is_evacuated(&evacuations, now));
}

// Guards against an evacuation that ends because the store came back from a copy without it.
#[test]
fn an_evacuation_that_a_restored_store_lacks_stays_in_force_for_a_while() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    evacuations.update(state(0, 500, &["canas"]), now);
    assert_eq!(evacuations.update(state(1, 20, &[]), now), UpdateOutcome::Changed);
    evacuations.update(state(1, 21, &[]), now + Duration::from_secs(5));
    assert!(is_evacuated(&evacuations, now + Duration::from_secs(9)));
    assert!(!is_evacuated(&evacuations, now + Duration::from_secs(10)));
}

#[test]
fn an_evacuation_that_the_operators_write_again_stays() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    evacuations.update(state(0, 500, &["canas"]), now);
    evacuations.update(state(1, 20, &[]), now);
    evacuations.update(state(1, 21, &["canas"]), now);
    assert!(is_evacuated(&evacuations, now + Duration::from_mins(1)));
    assert_eq!(evacuations.update(state(2, 21, &["canas"]), now), UpdateOutcome::LaterEra);
}
