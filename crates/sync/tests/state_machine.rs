//! Random operators and faults against a fleet of whole kernels, judged by a simple oracle.

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
/// Longest time for which a withdrawn key may work, and longest time to in force.
const BOUND: Duration = Duration::from_secs(5);
/// Time for everything to converge once all faults are gone.
const HEALED: Duration = Duration::from_secs(40);
/// Interval of the checks.
const STEP: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
enum Step {
    Apply(usize),
    Race(usize, usize),
    Rollback(usize),
    Give(usize),
    Withdraw(usize, usize),
    StoreDown(bool),
    LoseAnswers(bool),
    CutStore(usize),
    Cut(usize, usize, bool),
    LoseMessages(bool),
    Heal,
    Pause(usize),
    Resume(usize),
    Restart(usize),
    Wait(u64),
}

/// The reference generates steps only; the oracle judges by what the operators were told.
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
            4 => d().prop_map(Step::Give),
            4 => (d(), 0..8_usize).prop_map(|(d, key)| Step::Withdraw(d, key)),
            2 => any::<bool>().prop_map(Step::StoreDown),
            2 => any::<bool>().prop_map(Step::LoseAnswers),
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

/// A key that an operator holds.
struct GivenKey {
    name: String,
    hash: KeyHash,
    /// Call that withdrew it, and when the operator was told that the withdrawal is stored.
    withdrawal: Option<(usize, Ticket)>,
    stored_at: Option<Instant>,
    /// Every daemon that knew of the withdrawal was restarted before it could pass it on.
    is_forgotten: bool,
}

struct Sut {
    fleet: Fleet,
    calls: Vec<(usize, Ticket)>,
    keys: Vec<GivenKey>,
    gives: Vec<(usize, Ticket, String)>,
    versions: [u64; PLACES.len()],
    counter: u32,
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
            gives: Vec::new(),
            versions: [0; PLACES.len()],
            counter: 1,
        };
        sut.call(0, "PUT", "/v1/config", &source(1));
        sut.wait(BOUND);
        sut
    }

    fn call(&mut self, daemon: usize, method: &str, path: &str, body: &str) -> Ticket {
        let ticket = self.fleet.call(daemon, method, path, body);
        self.calls.push((daemon, ticket));
        ticket
    }

    fn apply(&mut self, daemon: usize) {
        self.counter += 1;
        let text = source(self.counter);
        self.call(daemon, "PUT", "/v1/config", &text);
    }

    fn give(&mut self, daemon: usize) {
        self.counter += 1;
        let name = format!("k{}", self.counter);
        let body = format!(r#"{{"customer":"orosi","name":"{name}"}}"#);
        let ticket = self.call(daemon, "POST", "/v1/keys", &body);
        self.gives.push((daemon, ticket, name));
    }

    fn withdraw(&mut self, daemon: usize, pick: usize) {
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
            let is_known = others.filter_map(|d| self.fleet.kernel(d)).any(|k| knows(k, &key.hash));
            key.is_forgotten |= !is_known;
        }
        self.fleet.restart(daemon);
        self.versions[daemon] = 0;
    }

    fn rep(&self, call: (usize, Ticket)) -> Option<&ApiRep> {
        self.fleet.answer(call.0, call.1)
    }

    fn wait(&mut self, time: Duration) {
        let end = self.fleet.now() + time;
        while self.fleet.now() < end {
            self.fleet.run_for(STEP);
            self.learn();
            self.check();
        }
    }

    /// Takes in what operators were told meanwhile.
    fn learn(&mut self) {
        let gives = std::mem::take(&mut self.gives);
        for (daemon, ticket, name) in gives {
            match self.fleet.answer(daemon, ticket) {
                Some(rep) if rep.status == 200 => {
                    let secret = rep.body["secret"].as_str().expect("a secret");
                    let hash = conf::KeyHasher::new(b"").hash(secret.as_bytes());
                    let key = GivenKey { name, hash, withdrawal: None, stored_at: None, is_forgotten: false };
                    self.keys.push(key);
                }
                Some(_) => {}
                None => self.gives.push((daemon, ticket, name)),
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

    fn check(&mut self) {
        let now = self.fleet.now();
        for daemon in 0..PLACES.len() {
            let Some(kernel) = self.fleet.kernel(daemon) else {
                continue;
            };
            let board = kernel.board();
            assert!(board.version() >= self.versions[daemon], "version fell at {daemon}");
            assert!(board.head_seen >= board.version(), "head_seen below version at {daemon}");
            self.versions[daemon] = board.version();
            for key in self.keys.iter().filter(|k| k.stored_at.is_some_and(|at| now > at + BOUND)) {
                assert!(!works(&self.fleet, daemon, &key.hash), "{} still works at {daemon}", key.name);
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
        assert_eq!(changes.len(), versions.len(), "a change stands twice in the history");
        assert!(versions.iter().copied().eq(1..=versions.len() as u64), "versions have gaps: {versions:?}");
        changes
    }

    /// Everything that an operator was told is true once all faults are gone.
    fn check_healed(&mut self) {
        self.heal();
        self.wait(HEALED);
        let history = self.history();
        for call in self.calls.clone() {
            let Some(rep) = self.rep(call) else {
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
                let rep = key.withdrawal.and_then(|call| self.rep(call));
                let is_told = rep.is_some_and(|r| r.status == 200 || r.status == 202);
                let is_forgotten = key.is_forgotten && key.stored_at.is_none();
                assert!(
                    !is_told || is_forgotten || !works(&self.fleet, daemon, &key.hash),
                    "{} came back at {daemon}",
                    key.name
                );
            }
        }
    }
}

fn knows(kernel: &kernel::Kernel, key: &KeyHash) -> bool {
    let board = kernel.board();
    board.withdrawn.contains(key) || board.conf.as_ref().is_some_and(|c| c.withdrawn.contains(key))
}

fn works(fleet: &Fleet, daemon: usize, key: &KeyHash) -> bool {
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
            Step::Give(d) => sut.give(d),
            Step::Withdraw(d, key) => sut.withdraw(d, key),
            Step::StoreDown(down) => sut.fleet.store.down = down,
            Step::LoseAnswers(on) => sut.fleet.store.lost_answers = if on { 0.6 } else { 0.0 },
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
        sut.wait(STEP);
        state
    }

    fn teardown(mut state: Sut, (): ()) {
        state.check_healed();
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 32, failure_persistence: None, max_shrink_iters: 200, ..Config::default() })]

    #[test]
    fn what_operators_were_told_is_true(sequential 1..40 => Test);
}
