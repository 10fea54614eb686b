//! Random faults in a fleet of real kernels with a simulated network, checked against an oracle that knows
//! which servers are faulty.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use base::ServerId;
use fake::Fleet;
use health as _;
use kernel::{Outcome, OutcomeKind, Report, ServerEntry, ServerView, View};
use member as _;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sync as _;
use wire::server::ServerState;

const PLACES: [(&str, &str); 4] =
    [("meseta", "paraiso"), ("meseta", "barva"), ("guanacaste", "canas"), ("guanacaste", "santa-cruz")];
const SERVERS: usize = 8;
/// Configuration of the service, with the floor [`FLOOR`].
const CONFIG: &str = "[[service]]\nname = \"sacristia\"\nfloor = 0.6\n";
const FLOOR: f64 = 0.6;
const STEP: Duration = Duration::from_millis(250);
/// Requests that each daemon sends in a step of time.
const REQUESTS_PER_STEP: usize = 10;
/// Time after which a draining server gets no requests, wherever the network is partitioned.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);
/// Time in which every recovered server has returned: the longest hold, trial, ramp and expiry of a list,
/// with a margin.
const RETURN_LIMIT: Duration = Duration::from_secs(100);
/// Time in which a partition or a change of servers is known to all daemons that can know it.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(8);

#[derive(Clone, Debug)]
enum Step {
    /// Run this many steps of time.
    Run(u8),
    /// Exactly the servers in this bit mask are faulty from now on.
    Faulty(u8),
    /// The network path from a daemon to a server breaks (true) or works again.
    Path(usize, usize, bool),
    /// A server announces another state.
    State(usize, ServerState),
    /// Messages from one daemon to another are lost, and also in the other direction if true.
    Cut(usize, usize, bool),
    /// One region is partitioned from the other.
    CutRegion,
    Heal,
    Pause(usize),
    Resume(usize),
    Restart(usize),
}

#[derive(Clone, Debug)]
struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let states =
            prop_oneof![Just(ServerState::Ready), Just(ServerState::Draining), Just(ServerState::Starting)];
        prop_oneof![
            10 => (8..60_u8).prop_map(Step::Run),
            5 => any::<u8>().prop_map(Step::Faulty),
            2 => (0..4_usize, 0..SERVERS, any::<bool>()).prop_map(|(d, s, on)| Step::Path(d, s, on)),
            2 => (0..SERVERS, states).prop_map(|(s, state)| Step::State(s, state)),
            1 => (0..4_usize, 0..4_usize, any::<bool>()).prop_map(|(a, b, both)| Step::Cut(a, b, both)),
            1 => Just(Step::CutRegion),
            2 => Just(Step::Heal),
            1 => (0..4_usize).prop_map(Step::Pause),
            2 => (0..4_usize).prop_map(Step::Resume),
            1 => (0..4_usize).prop_map(Step::Restart),
        ]
        .boxed()
    }

    fn apply(_state: (), _step: &Step) {}
}

/// Steps in which no server is ever faulty, but the paths from the nearest daemon break at times.
#[derive(Clone, Debug)]
struct Paths;

impl ReferenceStateMachine for Paths {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            2 => (8..60_u8).prop_map(Step::Run),
            1 => (0..SERVERS, any::<bool>()).prop_map(|(s, on)| Step::Path(s % 4, s, on)),
        ]
        .boxed()
    }

    fn apply(_state: (), _step: &Step) {}
}

/// The system under test with the steps of [`Paths`] only.
struct PathSut(Sut);

impl StateMachineTest for PathSut {
    type SystemUnderTest = Self;
    type Reference = Paths;

    fn init_test((): &()) -> Self {
        Self(new_sut())
    }

    fn apply(state: Self, (): &(), transition: Step) -> Self {
        Self(Sut::apply(state.0, &(), transition))
    }

    fn teardown(state: Self, (): ()) {
        Sut::teardown(state.0, ());
    }
}

/// What the oracle knows about a server.
#[derive(Clone, Copy, Debug)]
struct Truth {
    faulty: bool,
    ever_faulty: bool,
    state: ServerState,
    /// When the server changed to `state`.
    since: Instant,
}

struct Sut {
    fleet: Fleet,
    rng: SmallRng,
    truth: Vec<Truth>,
    /// Broken paths, as daemon and server.
    bad_paths: HashSet<(usize, usize)>,
    ever_bad_paths: HashSet<(usize, usize)>,
    /// Whether an observer may have been partitioned from the others at any time.
    disturbed: bool,
    /// Time of the last change of servers, daemons or partitions.
    changed_at: Instant,
}

fn name(server: usize) -> ServerId {
    format!("s{server}").into()
}

fn new_sut() -> Sut {
    let mut fleet = Fleet::new(11, &PLACES);
    fleet.run_for(Duration::from_secs(2));
    let rep = fleet.call_and_wait(0, "PUT", "/v1/config", CONFIG).expect("answered");
    assert_eq!(rep.status, 200, "{}", rep.body);
    let now = fleet.now();
    let truth = Truth { faulty: false, ever_faulty: false, state: ServerState::Ready, since: now };
    let mut sut = Sut {
        fleet,
        rng: SmallRng::seed_from_u64(3),
        truth: vec![truth; SERVERS],
        bad_paths: HashSet::new(),
        ever_bad_paths: HashSet::new(),
        disturbed: false,
        changed_at: now,
    };
    sut.run(48);
    sut
}

impl Sut {
    fn run(&mut self, steps: u8) {
        for _ in 0..steps {
            self.announce();
            for daemon in 0..PLACES.len() {
                if !self.fleet.is_paused(daemon) {
                    self.send_requests(daemon);
                }
            }
            self.fleet.run_for(STEP);
            self.check_daemons();
        }
    }

    /// Each server sends its heartbeat to its own daemon, or to the next one that runs.
    fn announce(&mut self) {
        for s in 0..SERVERS {
            let (region, dc) = PLACES[s % 4];
            let state = self.truth[s].state;
            let body = serde_json::json!({ "service": "sacristia", "addr": format!("127.2.0.{s}:80"),
                "place": { "region": region, "data_centre": dc }, "slots": 6, "connections": 400,
                "load": 0.0, "state": state });
            let Some(daemon) = (s..s + 4).map(|d| d % 4).find(|d| !self.fleet.is_paused(*d)) else {
                continue;
            };
            self.fleet.call(daemon, "PUT", &format!("/v1/servers/s{s}"), &body.to_string());
        }
    }

    /// Sends requests of one daemon and checks that none goes to a draining server.
    fn send_requests(&mut self, daemon: usize) {
        let view = std::sync::Arc::clone(self.fleet.view(daemon));
        let Some(service) = view.services.get("sacristia") else { return };
        for _ in 0..REQUESTS_PER_STEP {
            let now = self.fleet.now();
            let spec =
                route::Criteria { place: &view.place, tried: &[], repeatable: true, cross_region: true, now };
            let Some(server) = route::choose_server(&service.servers, &spec, &mut self.rng) else { break };
            let s: usize = server.info.id[1..].parse().expect("a number");
            let truth = self.truth[s];
            let is_draining = truth.state == ServerState::Draining && now > truth.since + DRAIN_LIMIT;
            assert!(
                !is_draining,
                "s{s} has been draining for {:?} and got a request from d{daemon}",
                now - truth.since
            );
            let is_bad = truth.faulty || self.bad_paths.contains(&(daemon, s));
            let kind = if is_bad { OutcomeKind::ServerError } else { OutcomeKind::Ok };
            let ms = Duration::from_millis(10);
            let outcome = Outcome {
                server: std::sync::Arc::clone(server),
                customer: None,
                kind,
                first_byte: ms,
                total: ms,
                bytes: 100,
                at: now,
            };
            self.fleet.report(daemon, Report::Outcome(outcome));
        }
    }

    /// Checks that no daemon has more servers ejected than the floor allows by its own knowledge.
    fn check_daemons(&self) {
        let mut out = HashSet::new();
        for daemon in (0..PLACES.len()).filter(|d| !self.fleet.is_paused(*d)) {
            let ejected = ejected(self.fleet.view(daemon));
            let Some(kernel) = self.fleet.kernel(daemon) else { continue };
            let limit = budget(kernel.board().servers.values().filter(|e| e.expires_at > self.fleet.now()));
            assert!(ejected.len() <= limit, "d{daemon}: {ejected:?} of {limit}");
            out.extend(ejected);
        }
        self.check_fleet(&out);
        self.check_observers(&out);
    }

    /// Checks the floor for all daemons' ejections together, once every change had time to spread as far as
    /// it can.
    fn check_fleet(&self, out: &HashSet<ServerId>) {
        if self.fleet.now() < self.changed_at + PROPAGATION_LIMIT {
            return;
        }
        let ready = self.truth.iter().filter(|t| t.state == ServerState::Ready).count();
        let starting = self.truth.iter().filter(|t| t.state == ServerState::Starting).count();
        let stay = (FLOOR * (ready + starting) as f64).ceil() as usize;
        assert!(
            out.len() <= ready.saturating_sub(stay),
            "ejected {out:?} of {ready} ready servers, but {stay} have to stay"
        );
    }

    /// Whether every daemon gives every server its full weight.
    fn is_recovered(&self) -> bool {
        let has_full_weights = |d| {
            let service = self.fleet.view(d).services.get("sacristia");
            service.is_some_and(|s| s.servers.len() == SERVERS && s.servers.iter().all(|s| s.weight >= 1.0))
        };
        (0..PLACES.len()).all(has_full_weights)
    }

    /// Checks that no server was ejected because of failures that only one observer saw.
    fn check_observers(&self, out: &HashSet<ServerId>) {
        for s in 0..SERVERS {
            let paths = self.ever_bad_paths.iter().filter(|(_, server)| *server == s).count();
            let is_unconfirmed = !self.truth[s].ever_faulty && paths < 2 && !self.disturbed;
            assert!(
                !is_unconfirmed || !out.contains(&name(s)),
                "s{s} was ejected on one observer's evidence"
            );
        }
    }
}

/// Ready servers that are ejected in a daemon's view.
fn ejected(view: &View) -> HashSet<ServerId> {
    let is_out = |s: &ServerView| s.info.state == ServerState::Ready && s.weight < 0.1;
    let servers = view.services.get("sacristia").map(|s| &s.servers);
    servers.into_iter().flatten().filter(|s| is_out(s)).map(|s| s.info.id.clone()).collect()
}

/// Number of servers that may be ejected, calculated independently of the code under test.
fn budget<'a>(servers: impl Iterator<Item = &'a ServerEntry>) -> usize {
    let states: Vec<_> = servers.map(|e| e.info.state).collect();
    let ready = states.iter().filter(|s| **s == ServerState::Ready).count();
    let starting = states.iter().filter(|s| **s == ServerState::Starting).count();
    ready.saturating_sub((FLOOR * (ready + starting) as f64).ceil() as usize)
}

impl StateMachineTest for Sut {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test((): &()) -> Self {
        new_sut()
    }

    fn apply(state: Self, (): &(), transition: Step) -> Self {
        let (mut sut, step) = (state, transition);
        let now = sut.fleet.now();
        match step {
            Step::Run(steps) => sut.run(steps),
            Step::Faulty(mask) => {
                for (s, truth) in sut.truth.iter_mut().enumerate() {
                    truth.faulty = mask & (1 << s) != 0;
                    truth.ever_faulty |= truth.faulty;
                }
            }
            Step::Path(d, s, true) => {
                sut.bad_paths.insert((d, s));
                sut.ever_bad_paths.insert((d, s));
            }
            Step::Path(d, s, false) => _ = sut.bad_paths.remove(&(d, s)),
            Step::State(s, state) => {
                let old = sut.truth[s];
                if old.state != state {
                    sut.truth[s] = Truth { state, since: now, ..old };
                    sut.changed_at = now;
                }
            }
            Step::Cut(a, b, both) if a != b => sut.fleet.cut_link(a, b, both),
            Step::Cut(..) => {}
            Step::CutRegion => sut.fleet.cut_region("guanacaste"),
            Step::Heal => sut.fleet.heal(),
            Step::Pause(d) => sut.fleet.pause(d),
            Step::Resume(d) => sut.fleet.resume(d),
            Step::Restart(d) => sut.fleet.restart(d),
        }
        if matches!(
            step,
            Step::Cut(..)
                | Step::CutRegion
                | Step::Heal
                | Step::Pause(_)
                | Step::Resume(_)
                | Step::Restart(_)
        ) {
            sut.disturbed = true;
            sut.changed_at = sut.fleet.now();
        }
        sut
    }

    fn teardown(state: Self, (): ()) {
        let mut sut = state;
        sut.fleet.heal();
        (0..PLACES.len()).for_each(|d| sut.fleet.resume(d));
        sut.changed_at = sut.fleet.now();
        sut.bad_paths.clear();
        for truth in &mut sut.truth {
            truth.faulty = false;
            truth.state = ServerState::Ready;
        }
        let end = sut.fleet.now() + RETURN_LIMIT;
        while sut.fleet.now() < end && !sut.is_recovered() {
            sut.run(4);
        }
        for daemon in 0..PLACES.len() {
            let servers = &sut.fleet.view(daemon).services["sacristia"].servers;
            assert_eq!(servers.len(), SERVERS, "d{daemon}");
            let weights: Vec<_> = servers.iter().map(|s| (&s.info.id, s.weight)).collect();
            assert!(servers.iter().all(|s| s.weight >= 1.0), "d{daemon}: {weights:?}");
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 8,
        rng_seed: RngSeed::Fixed(20_261_204),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn ejections_returns_and_drains_obey_their_rules_under_random_faults(sequential 1..30 => Sut);

    #[test]
    fn no_server_is_ejected_on_one_observers_evidence(sequential 1..12 => PathSut);
}
