//! Age of the proof that a configuration is the newest.

use std::time::Duration;

use relay::clock::BootTime;
use relay::freshness::Freshness;

fn at(ms: u64) -> BootTime {
    BootTime::at(Duration::from_millis(ms))
}

const MAX_PROOF_AGE: Duration = Duration::from_secs(1);

#[test]
fn without_a_proof_nothing_is_fresh() {
    assert!(!Freshness::default().is_fresh(at(0), MAX_PROOF_AGE));
}

#[test]
fn a_proof_grows_old() {
    let mut freshness = Freshness::default();
    freshness.adopt(1, at(100));
    assert!(freshness.is_fresh(at(1_099), MAX_PROOF_AGE));
    assert!(!freshness.is_fresh(at(1_100), MAX_PROOF_AGE));
}

#[test]
fn an_older_proof_does_not_replace_a_newer_one() {
    let mut freshness = Freshness::default();
    freshness.adopt(1, at(500));
    freshness.confirm(1, at(100));
    assert_eq!(freshness.age(at(600)), Some(Duration::from_millis(100)));
}

#[test]
fn a_proof_of_another_version_proves_nothing() {
    let mut freshness = Freshness::default();
    freshness.adopt(2, at(100));
    freshness.confirm(1, at(900));
    freshness.confirm(3, at(900));
    assert_eq!(freshness.age(at(1_000)), Some(Duration::from_millis(900)));
}

#[test]
fn an_encoded_moment_is_rounded_down() {
    let sent = BootTime::at(Duration::from_micros(1_999));
    let text = serde_json::to_string(&sent).expect("a moment can be encoded");
    let received: BootTime = serde_json::from_str(&text).expect("a moment can be decoded");
    assert_eq!(received, at(1));
}
