//! Commits, adoption and key withdrawals in a small fleet of simulated daemons under virtual time.

use std::time::Duration;

use fake::Fleet;
use member as _;
use rstest::rstest;
use sync as _;

const PLACES: [(&str, &str); 4] =
    [("meseta", "paraiso"), ("meseta", "barva"), ("guanacaste", "canas"), ("guanacaste", "santa-cruz")];
/// Longest time in which a change must be in force at every daemon.
const MAX_ADOPTION_TIME: Duration = Duration::from_secs(5);

fn source(rate: u32) -> String {
    format!(
        "[[service]]\nname = \"sacristia\"\n[[customer]]\nname = \"orosi\"\nrate = {rate}\nburst = 10\n\
         [[route]]\nname = \"stock\"\nprefix = \"/stock\"\nservice = \"sacristia\"\n"
    )
}

fn configured_fleet() -> Fleet {
    let mut fleet = Fleet::new(7, &PLACES);
    fleet.run_for(Duration::from_secs(3));
    let rep = fleet.call_and_wait(0, "PUT", "/v1/config", &source(10)).expect("an answer");
    assert_eq!(rep.status, 200, "{}", rep.body);
    fleet.run_for(MAX_ADOPTION_TIME);
    fleet
}

fn versions(fleet: &Fleet) -> Vec<u64> {
    (0..fleet.daemon_count()).map(|n| fleet.view(n).conf.as_ref().map_or(0, |c| c.version)).collect()
}

/// Adds a key and returns its hash.
fn add_key(fleet: &mut Fleet) -> [u8; 32] {
    let rep =
        fleet.call_and_wait(0, "POST", "/v1/keys", r#"{"customer":"orosi","name":"k1"}"#).expect("an answer");
    let secret = rep.body["secret"].as_str().expect("a secret");
    let hash = conf::KeyHasher::new(b"").hash(secret.as_bytes());
    fleet.run_for(MAX_ADOPTION_TIME);
    hash
}

fn is_accepted(fleet: &Fleet, daemon: usize, key: &[u8; 32]) -> bool {
    let view = fleet.view(daemon);
    view.conf.as_ref().is_some_and(|c| c.keys.contains_key(key)) && !view.withdrawn.contains(key)
}

#[rstest]
fn change_is_in_force_at_every_daemon_in_time() {
    let mut fleet = configured_fleet();
    let rep = fleet.call_and_wait(2, "PUT", "/v1/config?base=1", &source(20)).expect("an answer");
    fleet.run_for(MAX_ADOPTION_TIME);
    assert_eq!(rep.status, 200, "{}", rep.body);
    assert_eq!(versions(&fleet), [2, 2, 2, 2]);
}

#[rstest]
fn racing_operators_get_one_success_and_one_conflict() {
    let mut fleet = configured_fleet();
    let one = fleet.call(0, "PUT", "/v1/config?base=1", &source(20));
    let two = fleet.call(3, "PUT", "/v1/config?base=1", &source(30));
    fleet.run_for(MAX_ADOPTION_TIME);
    let mut reps = [fleet.answer(0, one).cloned(), fleet.answer(3, two).cloned()].map(Option::unwrap);
    reps.sort_by_key(|r| r.status);
    assert_eq!(reps.each_ref().map(|r| r.status), [200, 409]);
    assert_eq!((reps[1].body["base"].as_u64(), reps[1].body["present"].as_u64()), (Some(1), Some(2)));
}

#[rstest]
fn stale_base_is_refused() {
    let mut fleet = configured_fleet();
    fleet.call_and_wait(0, "PUT", "/v1/config?base=1", &source(20));
    let rep = fleet.call_and_wait(1, "PUT", "/v1/config?base=1", &source(30)).expect("an answer");
    assert_eq!(rep.status, 409, "{}", rep.body);
}

#[rstest]
fn change_whose_store_answer_is_lost_is_applied_once() {
    let mut fleet = configured_fleet();
    fleet.store.lost_answers = 0.7;
    let rep = fleet.call_and_wait(1, "PUT", "/v1/config?base=1", &source(20)).expect("an answer");
    fleet.run_for(MAX_ADOPTION_TIME);
    assert_eq!(rep.status, 200, "{}", rep.body);
    assert_eq!(versions(&fleet), [2, 2, 2, 2]);
}

#[rstest]
fn change_is_refused_and_has_no_effect_while_the_store_is_down() {
    let mut fleet = configured_fleet();
    fleet.store.down = true;
    let rep = fleet.call_and_wait(1, "PUT", "/v1/config?base=1", &source(20)).expect("an answer");
    fleet.store.down = false;
    fleet.run_for(MAX_ADOPTION_TIME);
    assert_eq!((rep.status, rep.body["error"].as_str()), (503, Some("store-down")));
    assert_eq!(versions(&fleet), [1, 1, 1, 1]);
}

#[rstest]
fn daemon_that_starts_while_the_store_is_down_gets_the_configuration_from_peers() {
    let mut fleet = configured_fleet();
    fleet.store.down = true;
    let late = fleet.add_daemon("guanacaste", "canas");
    fleet.run_for(MAX_ADOPTION_TIME);
    assert_eq!(versions(&fleet)[late], 1);
}

#[rstest]
fn withdrawal_stops_the_key_everywhere_while_the_store_is_down() {
    let mut fleet = configured_fleet();
    let key = add_key(&mut fleet);
    fleet.store.down = true;
    let rep = fleet.call_and_wait(3, "DELETE", "/v1/keys/k1", "").expect("an answer");
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(rep.status, 202, "{}", rep.body);
    assert!((0..4).all(|n| !is_accepted(&fleet, n, &key)));
}

#[rstest]
fn withdrawal_is_stored_by_another_daemon_when_the_one_that_took_it_crashes() {
    let mut fleet = configured_fleet();
    let key = add_key(&mut fleet);
    fleet.store.down = true;
    fleet.call_and_wait(3, "DELETE", "/v1/keys/k1", "");
    fleet.crash(3);
    fleet.store.down = false;
    fleet.run_for(Duration::from_secs(30));
    assert!((0..3).all(|n| !is_accepted(&fleet, n, &key) && fleet.view(n).withdrawn.is_empty()));
}

#[rstest]
fn rollback_restores_no_withdrawn_key() {
    let mut fleet = configured_fleet();
    let key = add_key(&mut fleet);
    fleet.call_and_wait(1, "DELETE", "/v1/keys/k1", "");
    fleet.run_for(MAX_ADOPTION_TIME);
    let rep = fleet.call_and_wait(0, "POST", "/v1/rollback", r#"{"version":2}"#).expect("an answer");
    fleet.run_for(MAX_ADOPTION_TIME);
    assert_eq!(rep.status, 200, "{}", rep.body);
    assert!((0..4).all(|n| !is_accepted(&fleet, n, &key)));
}

#[rstest]
fn rollback_makes_a_new_version_with_the_old_content() {
    let mut fleet = configured_fleet();
    fleet.call_and_wait(0, "PUT", "/v1/config?base=1", &source(20));
    fleet.run_for(MAX_ADOPTION_TIME);
    let rep = fleet.call_and_wait(2, "POST", "/v1/rollback?base=2", r#"{"version":1}"#).expect("an answer");
    fleet.run_for(MAX_ADOPTION_TIME);
    assert_eq!(rep.body["version"].as_u64(), Some(3), "{}", rep.body);
    let conf = fleet.view(3).conf.clone().expect("a configuration");
    assert!((conf.customers["orosi"].rate - 10.0).abs() < f64::EPSILON);
}

#[rstest]
fn configuration_that_adds_a_withdrawn_key_again_is_refused() {
    let mut fleet = configured_fleet();
    let key = add_key(&mut fleet);
    fleet.call_and_wait(1, "DELETE", "/v1/keys/k1", "");
    fleet.run_for(MAX_ADOPTION_TIME);
    let hash = conf::tree::digest_to_hex(&key);
    let text = format!("{}[[key]]\nname = \"k2\"\nhash = \"{hash}\"\ncustomer = \"orosi\"\n", source(10));
    let rep = fleet.call_and_wait(0, "PUT", "/v1/config", &text).expect("an answer");
    assert_eq!(rep.status, 422, "{}", rep.body);
}

#[rstest]
fn withdrawal_is_reported_in_force_when_too_many_changes_wait() {
    let mut fleet = configured_fleet();
    let key = add_key(&mut fleet);
    fleet.store.down = true;
    for _ in 0..300 {
        fleet.call(1, "PUT", "/v1/config", &source(20));
    }
    let rep = fleet.call_and_wait(1, "DELETE", "/v1/keys/k1", "").expect("an answer");
    assert_eq!((rep.status, is_accepted(&fleet, 1, &key)), (202, false), "{}", rep.body);
}
