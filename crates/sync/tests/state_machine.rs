//! Random requests of operators and random faults in a fleet of simulated daemons. Guards against answers
//! to operators that are wrong or become wrong: a refused change that is committed, an accepted one that is
//! lost, or a withdrawn key that is accepted.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use conf::KeyHash;
use fake::Fleet;
use kernel::{ApiRep, Ticket};
use member as _;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use serde_json::Value;
use store::{StoreOp, StoreRep};
use sync as _;

const PLACES: [(&str, &str); 4] =
    [("meseta", "paraiso"), ("meseta", "barva"), ("guanacaste", "canas"), ("guanacaste", "santa-cruz")];
/// Longest time for which a withdrawn key may be accepted, and in which a change must be in force everywhere.
const MAX_ADOPTION_TIME: Duration = Duration::from_secs(5);
/// Time in which all daemons must agree once all faults have ended.
const CONVERGE_TIME: Duration = Duration::from_secs(40);
/// Interval between checks of the invariants.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
enum Step {
    Apply(usize),
    Race(usize, usize),
    Rollback(usize),
    AddKey(usize),
    WithdrawKey(usize, usize),
    StoreDown(bool),
    LoseStoreAnswers(bool),
    CutStore(usize),
    Cut(usize, usize, bool),
    LoseMessages(bool),
    Heal,
    Pause(usize),
    Resume(usize),
    Restart(usize),
    Wait(u64),
}

/// Generates steps only; the checks compare the fleet with the answers that operators got.
struct Operators;

impl ReferenceStateMachine for Operators {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let d = || 0..PLACES.len();
        prop_oneof![
            4 => d().prop_map(Step::Apply),
            3 => (d(), d()).prop_map(|(a, b)| Step::Race(a, b)),
            2 => d().prop_map(Step::Rollback),
            4 => d().prop_map(Step::AddKey),
            4 => (d(), 0..8_usize).prop_map(|(d, key)| Step::WithdrawKey(d, key)),
            2 => any::<bool>().prop_map(Step::StoreDown),
            2 => any::<bool>().prop_map(Step::LoseStoreAnswers),
            1 => d().prop_map(Step::CutStore),
            2 => (d(), d(), any::<bool>()).prop_map(|(a, b, both)| Step::Cut(a, b, both)),
            1 => any::<bool>().prop_map(Step::LoseMessages),
            2 => Just(Step::Heal),
            1 => d().prop_map(Step::Pause),
            2 => d().prop_map(Step::Resume),
            2 => d().prop_map(Step::Restart),
            6 => (50..4_000_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// A key that an operator added.
struct AddedKey {
    name: String,
    hash: KeyHash,
    /// First request that withdrew the key.
    withdrawal: Option<(usize, Ticket)>,
    /// When the operator got the answer that the withdrawal is stored.
    stored_at: Option<Instant>,
    /// Whether at some time the only daemon that may have known the withdrawal was restarted.
    is_forgotten: bool,
}

struct Sut {
    fleet: Fleet,
    calls: Vec<(usize, Ticket)>,
    keys: Vec<AddedKey>,
    key_requests: Vec<(usize, Ticket, String)>,
    versions: [u64; PLACES.len()],
    last_number: u32,
}

fn source(rate: u32) -> String {
    format!(
        "[[service]]\nname = \"sacristia\"\n[[customer]]\nname = \"orosi\"\nrate = {rate}\nburst = 10\n\
         [[route]]\nname = \"stock\"\nprefix = \"/stock\"\nservice = \"sacristia\"\n"
    )
}

impl Sut {
    fn new() -> Self {
        let mut fleet = Fleet::new(11, &PLACES);
        fleet.run_for(Duration::from_secs(2));
        let mut sut = Self {
            fleet,
            calls: Vec::new(),
            keys: Vec::new(),
            key_requests: Vec::new(),
            versions: [0; PLACES.len()],
            last_number: 1,
        };
        sut.call(0, "PUT", "/v1/config", &source(1));
        sut.wait(MAX_ADOPTION_TIME);
        sut
    }

    fn call(&mut self, daemon: usize, method: &str, path: &str, body: &str) -> Ticket {
        let ticket = self.fleet.call(daemon, method, path, body);
        self.calls.push((daemon, ticket));
        ticket
    }

    fn apply(&mut self, daemon: usize) {
        self.last_number += 1;
        let text = source(self.last_number);
        self.call(daemon, "PUT", "/v1/config", &text);
    }

    fn add_key(&mut self, daemon: usize) {
        self.last_number += 1;
        let name = format!("k{}", self.last_number);
        let body = format!(r#"{{"customer":"orosi","name":"{name}"}}"#);
        let ticket = self.call(daemon, "POST", "/v1/keys", &body);
        self.key_requests.push((daemon, ticket, name));
    }

    fn withdraw_key(&mut self, daemon: usize, pick: usize) {
        let Some(index) = pick.checked_rem(self.keys.len()) else {
            return;
        };
        let path = format!("/v1/keys/{}", self.keys[index].name);
        let ticket = self.call(daemon, "DELETE", &path, "");
        self.keys[index].withdrawal = self.keys[index].withdrawal.or(Some((daemon, ticket)));
    }

    fn rollback(&mut self, daemon: usize) {
        let version = (self.versions[daemon] / 2).max(1);
        self.call(daemon, "POST", "/v1/rollback", &format!(r#"{{"version":{version}}}"#));
    }

    fn restart(&mut self, daemon: usize) {
        for key in &mut self.keys {
            let others = (0..PLACES.len()).filter(|d| *d != daemon);
            let is_known =
                others.filter_map(|d| self.fleet.kernel(d)).any(|k| knows_withdrawal(k, &key.hash));
            key.is_forgotten |= !is_known;
        }
        self.fleet.restart(daemon);
        self.versions[daemon] = 0;
    }

    fn answer_to(&self, call: (usize, Ticket)) -> Option<&ApiRep> {
        self.fleet.answer(call.0, call.1)
    }

    fn wait(&mut self, time: Duration) {
        let end = self.fleet.now() + time;
        while self.fleet.now() < end {
            self.fleet.run_for(CHECK_INTERVAL);
            self.collect_answers();
            self.check_invariants();
        }
    }

    /// Collects the answers that operators have got since the last call.
    fn collect_answers(&mut self) {
        let requests = std::mem::take(&mut self.key_requests);
        for (daemon, ticket, name) in requests {
            match self.fleet.answer(daemon, ticket) {
                Some(rep) if rep.status == 200 => {
                    let secret = rep.body["secret"].as_str().expect("a secret");
                    let hash = conf::KeyHasher::new(b"").hash(secret.as_bytes());
                    let key = AddedKey { name, hash, withdrawal: None, stored_at: None, is_forgotten: false };
                    self.keys.push(key);
                }
                Some(_) => {}
                None => self.key_requests.push((daemon, ticket, name)),
            }
        }
        let now = self.fleet.now();
        for key in &mut self.keys {
            let rep = key.withdrawal.and_then(|(d, t)| self.fleet.answer(d, t));
            match rep.map(|r| r.status) {
                Some(200) if key.stored_at.is_none() => key.stored_at = Some(now),
                Some(404) => key.withdrawal = None,
                _ => {}
            }
        }
    }

    fn check_invariants(&mut self) {
        let now = self.fleet.now();
        for daemon in 0..PLACES.len() {
            let Some(kernel) = self.fleet.kernel(daemon) else {
                continue;
            };
            let board = kernel.board();
            assert!(board.version() >= self.versions[daemon], "version fell at {daemon}");
            assert!(board.head_seen >= board.version(), "head_seen below version at {daemon}");
            self.versions[daemon] = board.version();
            for key in self.keys.iter().filter(|k| k.stored_at.is_some_and(|at| now > at + MAX_ADOPTION_TIME))
            {
                assert!(!is_accepted(&self.fleet, daemon, &key.hash), "{} still works at {daemon}", key.name);
            }
        }
    }

    fn heal(&mut self) {
        self.fleet.heal();
        self.fleet.store.down = false;
        self.fleet.store.lost_answers = 0.0;
        self.fleet.network.loss = 0.0;
        (0..PLACES.len()).filter(|d| self.fleet.is_paused(*d)).collect::<Vec<_>>().into_iter().for_each(
            |d| {
                self.fleet.resume(d);
            },
        );
    }

    fn history(&mut self) -> HashMap<String, u64> {
        let op = StoreOp::Range { prefix: "conf/history/".into() };
        let Ok(StoreRep::Rows(rows)) = self.fleet.store.mem.apply(&op) else {
            panic!("the model answers a read");
        };
        let values: Vec<Value> =
            rows.iter().map(|(_, r)| serde_json::from_str(&r.value).expect("JSON")).collect();
        let versions: Vec<_> = values.iter().map(|v| v["version"].as_u64().expect("a version")).collect();
        let changes: HashMap<_, _> = values
            .iter()
            .zip(&versions)
            .map(|(v, n)| (v["change"].as_str().expect("a change").to_owned(), *n))
            .collect();
        assert_eq!(changes.len(), versions.len(), "a change is in the history twice");
        assert!(versions.iter().copied().eq(1..=versions.len() as u64), "versions have gaps: {versions:?}");
        changes
    }

    /// Checks that all answers to operators are true once all faults have ended.
    fn check_converged(&mut self) {
        self.heal();
        self.wait(CONVERGE_TIME);
        let history = self.history();
        for call in self.calls.clone() {
            let Some(rep) = self.answer_to(call) else {
                continue;
            };
            let Some(change) = rep.body["change"].as_str() else {
                continue;
            };
            let code = rep.body["error"].as_str().unwrap_or("");
            let version = history.get(change).copied();
            if rep.status == 200 {
                assert_eq!(version, rep.body["version"].as_u64(), "accepted but not in the history: {rep:?}");
            } else if code != "commit-unknown" {
                assert_eq!(version, None, "refused but in the history: {rep:?}");
            }
        }
        let ids: HashSet<_> = (0..PLACES.len()).map(|d| self.versions[d]).collect();
        assert_eq!(ids, HashSet::from([history.len() as u64]), "not converged");
        for daemon in 0..PLACES.len() {
            let view = self.fleet.view(daemon);
            assert!(view.withdrawn.is_empty(), "withdrawal not stored, known at {daemon}");
            for key in &self.keys {
                let rep = key.withdrawal.and_then(|call| self.answer_to(call));
                let was_confirmed = rep.is_some_and(|r| r.status == 200 || r.status == 202);
                let is_forgotten = key.is_forgotten && key.stored_at.is_none();
                assert!(
                    !was_confirmed || is_forgotten || !is_accepted(&self.fleet, daemon, &key.hash),
                    "{} came back at {daemon}",
                    key.name
                );
            }
        }
    }
}

/// Whether a daemon knows that the key is withdrawn.
fn knows_withdrawal(kernel: &kernel::Kernel, key: &KeyHash) -> bool {
    let board = kernel.board();
    board.withdrawn.contains(key) || board.conf.as_ref().is_some_and(|c| c.withdrawn.contains(key))
}

/// Whether a daemon accepts requests with the key.
fn is_accepted(fleet: &Fleet, daemon: usize, key: &KeyHash) -> bool {
    let view = fleet.view(daemon);
    let is_known = view.conf.as_ref().is_some_and(|c| c.keys.contains_key(key));
    is_known && view.is_current(fleet.now()) && !view.withdrawn.contains(key)
}

struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = Sut;
    type Reference = Operators;

    fn init_test((): &()) -> Sut {
        Sut::new()
    }

    fn apply(mut state: Sut, (): &(), transition: Step) -> Sut {
        let sut = &mut state;
        match transition {
            Step::Apply(d) => sut.apply(d),
            Step::Race(a, b) => {
                sut.apply(a);
                sut.apply(b);
            }
            Step::Rollback(d) => sut.rollback(d),
            Step::AddKey(d) => sut.add_key(d),
            Step::WithdrawKey(d, key) => sut.withdraw_key(d, key),
            Step::StoreDown(down) => sut.fleet.store.down = down,
            Step::LoseStoreAnswers(on) => sut.fleet.store.lost_answers = if on { 0.6 } else { 0.0 },
            Step::CutStore(d) => {
                let id = sut.fleet.local_daemon(d).id;
                sut.fleet.store.cut_off_daemons.insert(id);
            }
            Step::Cut(a, b, both) => sut.fleet.cut_link(a, b, both),
            Step::LoseMessages(on) => sut.fleet.network.loss = if on { 0.3 } else { 0.0 },
            Step::Heal => sut.heal(),
            Step::Pause(d) => sut.fleet.pause(d),
            Step::Resume(d) => sut.fleet.resume(d),
            Step::Restart(d) => sut.restart(d),
            Step::Wait(ms) => sut.wait(Duration::from_millis(ms)),
        }
        sut.wait(CHECK_INTERVAL);
        state
    }

    fn teardown(mut state: Sut, (): ()) {
        state.check_converged();
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 32, failure_persistence: None, max_shrink_iters: 200, ..Config::default() })]

    #[test]
    fn answers_to_operators_stay_true_under_random_faults(sequential 1..40 => Test);
}
