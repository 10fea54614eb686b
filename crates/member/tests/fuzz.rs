//! Applies random faults to a simulated fleet and checks invariants at all times, and that all views agree
//! with the facts after the faults have ended.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use common::{announce, commit_head, is_current, places, takes_work};
use fake::{DaemonIndex, Fleet};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const NEAR: usize = 4;
const FAR: usize = 3;
const DAEMONS: usize = NEAR + FAR;
const SERVERS: usize = 3;
/// Longest age of a current view.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Time for a version to be fetched and the view to be replaced.
const MARGIN: Duration = Duration::from_millis(200);
/// Time after which a server gets no new work once it announces that it drains, or once its announcement
/// expires.
const LEAVE_TIME: Duration = Duration::from_secs(3);
/// Time for which an announcement is valid.
const TTL: Duration = Duration::from_secs(3);
/// Seconds in which all views must converge once all faults have ended.
const CONVERGE_S: u64 = 12;

#[derive(Clone, Debug)]
enum Step {
    Wait { tenths: u64 },
    Cut { a: DaemonIndex, b: DaemonIndex, both: bool },
    CutRegion,
    Heal,
    Pause { daemon: DaemonIndex },
    Resume { daemon: DaemonIndex },
    Crash { daemon: DaemonIndex },
    Restart { daemon: DaemonIndex },
    StoreDown { down: bool },
    StoreCut { daemon: DaemonIndex },
    Loss { percent: u8 },
    Commit,
    Announce { server: usize, at: DaemonIndex, draining: bool },
    Silence { server: usize },
}

/// Generates steps only; the checks compare the fleet with what [`Simulation`] did to it.
struct StepGenerator;

impl ReferenceStateMachine for StepGenerator {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let daemon = || 0..DAEMONS;
        prop_oneof![
            6 => (1_u64..40).prop_map(|tenths| Step::Wait { tenths }),
            4 => (daemon(), daemon(), any::<bool>()).prop_map(|(a, b, both)| Step::Cut { a, b, both }),
            1 => Just(Step::CutRegion),
            1 => Just(Step::Heal),
            2 => daemon().prop_map(|daemon| Step::Pause { daemon }),
            2 => daemon().prop_map(|daemon| Step::Resume { daemon }),
            1 => daemon().prop_map(|daemon| Step::Crash { daemon }),
            2 => daemon().prop_map(|daemon| Step::Restart { daemon }),
            2 => any::<bool>().prop_map(|down| Step::StoreDown { down }),
            1 => daemon().prop_map(|daemon| Step::StoreCut { daemon }),
            1 => (0_u8..30).prop_map(|percent| Step::Loss { percent }),
            3 => Just(Step::Commit),
            5 => (0..SERVERS, daemon(), any::<bool>())
                .prop_map(|(server, at, draining)| Step::Announce { server, at, draining }),
            1 => (0..SERVERS).prop_map(|server| Step::Silence { server }),
        ]
        .boxed()
    }

    fn apply((): (), _transition: &Step) {}
}

/// A server that announces itself twice a second, at the next daemon if one does not answer.
#[derive(Debug, Default)]
struct Server {
    at: DaemonIndex,
    /// Whether the server announces that it drains; `None` if it is silent.
    announces_draining: Option<bool>,
    /// Since when the server has announced this state, or has been silent.
    since: Option<Instant>,
}

struct Simulation {
    fleet: Fleet,
    /// Committed versions, each with the time of its commit.
    heads: VecDeque<(u64, Instant)>,
    servers: BTreeMap<usize, Server>,
    /// Since when there is no fault, so that all daemons run and reach each other; `None` during a fault.
    healthy_since: Option<Instant>,
}

impl Simulation {
    fn advance(&mut self, tenths: u64) {
        for tenth in 0..tenths {
            if tenth % 5 == 0 {
                self.announce_servers();
            }
            self.fleet.run_for(Duration::from_millis(100));
            self.check_current_views();
            self.check_servers();
        }
    }

    fn announce_servers(&mut self) {
        for (number, server) in &mut self.servers {
            let Some(draining) = server.announces_draining else { continue };
            for _ in 0..DAEMONS {
                let is_up = self.fleet.kernel(server.at).is_some() && !self.fleet.is_paused(server.at);
                let state = if draining { "draining" } else { "ready" };
                if is_up && announce(&mut self.fleet, server.at, &format!("s{number}"), state) == 200 {
                    break;
                }
                server.at = (server.at + 1) % DAEMONS;
            }
        }
    }

    /// Checks that no current view lacks a version that was committed longer ago than the longest age.
    fn check_current_views(&self) {
        let now = self.fleet.now();
        for index in 0..DAEMONS {
            if self.fleet.is_paused(index) || !is_current(&self.fleet, index) {
                continue;
            }
            let have = self.fleet.kernel(index).unwrap().board().version();
            let missed = self.heads.iter().find(|(version, _)| *version > have);
            if let Some((version, at)) = missed {
                assert!(now < *at + MAX_AGE + MARGIN, "{index} is current with {have} long after {version}");
            }
        }
    }

    /// Checks that without faults no daemon gives work to a server that has announced long ago that it
    /// drains, or has long been silent.
    fn check_servers(&self) {
        let now = self.fleet.now();
        for (number, server) in &self.servers {
            let (Some(since), Some(healthy)) = (server.since, self.healthy_since) else { continue };
            let limit = match server.announces_draining {
                Some(false) => continue,
                Some(true) => LEAVE_TIME,
                None => TTL + LEAVE_TIME,
            };
            if now < since.max(healthy) + limit {
                continue;
            }
            for index in 0..DAEMONS {
                assert!(!takes_work(&self.fleet, index, &format!("s{number}")), "{index} uses s{number}");
            }
        }
    }

    fn commit(&mut self) {
        if self.fleet.store.down {
            return;
        }
        let version = self.heads.back().map_or(1, |(v, _)| v + 1);
        commit_head(&mut self.fleet, version);
        self.heads.push_back((version, self.fleet.now()));
    }

    /// Lets the last commit be read before the store goes down: if no running daemon has read it, no daemon
    /// can know that its view is outdated.
    fn wait_until_commit_is_read(&mut self) {
        self.advance(25);
    }

    fn heal(&mut self) {
        self.fleet.heal();
        self.fleet.network.loss = 0.0;
        self.fleet.store.down = false;
        for index in 0..DAEMONS {
            if self.fleet.kernel(index).is_none() {
                self.fleet.restart(index);
            }
            if self.fleet.is_paused(index) {
                self.fleet.resume(index);
            }
        }
        self.healthy_since = Some(self.fleet.now());
    }

    fn apply_step(&mut self, step: &Step) {
        let is_fault = !matches!(
            step,
            Step::Wait { .. } | Step::Commit | Step::Announce { .. } | Step::Silence { .. } | Step::Heal
        );
        if is_fault {
            self.healthy_since = None;
        }
        match *step {
            Step::Wait { tenths } => self.advance(tenths),
            Step::Cut { a, b, both } if a != b => self.fleet.cut_link(a, b, both),
            Step::Cut { .. } => {}
            Step::CutRegion => self.fleet.cut_region("guanacaste"),
            Step::Heal => self.heal(),
            Step::Pause { daemon } => self.fleet.pause(daemon),
            Step::Resume { daemon } => self.fleet.resume(daemon),
            Step::Crash { daemon } => self.fleet.crash(daemon),
            Step::Restart { daemon } => {
                self.fleet.crash(daemon);
                self.fleet.restart(daemon);
            }
            Step::StoreDown { down } => {
                self.wait_until_commit_is_read();
                self.fleet.store.down = down;
            }
            Step::StoreCut { daemon } => {
                // Cut off only daemons outside the store's region: if a majority of that region can't reach
                // the store, the fleet considers the store down.
                let id = self.fleet.local_daemon(NEAR + daemon % FAR).id;
                self.fleet.store.cut_off_daemons.insert(id);
            }
            Step::Loss { percent } => self.fleet.network.loss = f64::from(percent) / 100.0,
            Step::Commit => self.commit(),
            Step::Announce { server, at, draining } => {
                let now = self.fleet.now();
                let known = self.servers.entry(server).or_default();
                if known.announces_draining != Some(draining) {
                    known.since = Some(now);
                }
                known.at = at;
                known.announces_draining = Some(draining);
                self.announce_servers();
            }
            Step::Silence { server } => {
                if let Some(known) = self.servers.get_mut(&server).filter(|s| s.announces_draining.is_some())
                {
                    known.announces_draining = None;
                    known.since = Some(self.fleet.now());
                }
            }
        }
    }

    /// Ends all faults and checks that all views then agree with the facts.
    fn check_converged(&mut self) {
        self.heal();
        self.advance(CONVERGE_S * 10);
        let head = self.heads.back().map_or(0, |(v, _)| *v);
        for index in 0..DAEMONS {
            let board = self.fleet.kernel(index).unwrap().board();
            assert_eq!(board.members.len(), DAEMONS - 1, "members of {index}");
            assert!(board.dead_members.is_empty(), "dead members of {index}");
            assert_eq!(board.version(), head, "version of {index}");
            assert!(is_current(&self.fleet, index), "{index} is current");
            for (number, server) in &self.servers {
                let works = takes_work(&self.fleet, index, &format!("s{number}"));
                assert_eq!(works, server.announces_draining == Some(false), "s{number} at {index}");
            }
        }
    }
}

impl StateMachineTest for Simulation {
    type SystemUnderTest = Simulation;
    type Reference = StepGenerator;

    fn init_test((): &()) -> Simulation {
        let fleet = Fleet::new(5, &places(NEAR, FAR));
        let healthy_since = Some(fleet.now());
        let mut simulation =
            Simulation { fleet, heads: VecDeque::new(), servers: BTreeMap::new(), healthy_since };
        simulation.commit();
        simulation.advance(60);
        simulation
    }

    fn apply(mut state: Simulation, (): &(), transition: Step) -> Simulation {
        state.apply_step(&transition);
        state
    }

    fn teardown(mut state: Simulation, (): ()) {
        state.check_converged();
    }
}

/// Number of cases; the variable `FUZZ_CASES` sets another number than CI runs.
fn cases() -> u32 {
    std::env::var("FUZZ_CASES").map_or(24, |n| n.parse().unwrap())
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: cases(), max_shrink_iters: 60, ..ProptestConfig::default() })]

    #[test]
    fn views_stay_correct_under_random_faults_and_converge_after_them(sequential 1..40 => Simulation);
}
