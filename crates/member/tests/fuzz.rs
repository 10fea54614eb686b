//! Random faults against a simple oracle: what must hold at any time, and after healing.

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
const FRESH: Duration = Duration::from_secs(3);
/// Time for the present version to be fetched and the view to be replaced.
const MARGIN: Duration = Duration::from_millis(200);
/// Time after which a draining or silent server gets no new work, on top of what its announcement holds.
const LEAVE: Duration = Duration::from_secs(3);
/// Time for which an announcement holds.
const TTL: Duration = Duration::from_secs(3);
/// Time for everything to converge once all faults are healed.
const HEAL_S: u64 = 12;

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

/// The oracle knows nothing; it only makes steps.
struct Steps;

impl ReferenceStateMachine for Steps {
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

/// A server that announces itself twice a second, at another daemon when one does not answer.
#[derive(Debug, Default)]
struct Server {
    at: DaemonIndex,
    /// Whether it announces, and whether as draining.
    says: Option<bool>,
    /// Since when it says so.
    since: Option<Instant>,
}

struct Run {
    fleet: Fleet,
    /// Committed versions and when they were.
    heads: VecDeque<(u64, Instant)>,
    servers: BTreeMap<usize, Server>,
    /// Since when every daemon was connected with every other and ran; none while a fault is in force.
    whole_since: Option<Instant>,
}

impl Run {
    fn pass(&mut self, tenths: u64) {
        for tenth in 0..tenths {
            if tenth % 5 == 0 {
                self.renew();
            }
            self.fleet.run_for(Duration::from_millis(100));
            self.check_fresh();
            self.check_servers();
        }
    }

    fn renew(&mut self) {
        for (number, server) in &mut self.servers {
            let Some(draining) = server.says else { continue };
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

    /// A current view never lacks a version that was committed longer ago than the longest age.
    fn check_fresh(&self) {
        let now = self.fleet.now();
        for index in 0..DAEMONS {
            if self.fleet.is_paused(index) || !is_current(&self.fleet, index) {
                continue;
            }
            let have = self.fleet.kernel(index).unwrap().board().version();
            let missed = self.heads.iter().find(|(version, _)| *version > have);
            if let Some((version, at)) = missed {
                assert!(now < *at + FRESH + MARGIN, "{index} is current with {have}, {version} is older");
            }
        }
    }

    /// No daemon of a whole fleet gives work to a server that said long ago that it drains, or is silent.
    fn check_servers(&self) {
        let now = self.fleet.now();
        for (number, server) in &self.servers {
            let (Some(since), Some(whole)) = (server.since, self.whole_since) else { continue };
            let limit = match server.says {
                Some(false) => continue,
                Some(true) => LEAVE,
                None => TTL + LEAVE,
            };
            if now < since.max(whole) + limit {
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

    /// Lets a change of the store be read by its region before the store may go down: a commit that
    /// nobody who lives has read can't be known.
    fn settle_commit(&mut self) {
        self.pass(25);
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
        self.whole_since = Some(self.fleet.now());
    }

    fn step(&mut self, step: &Step) {
        let is_fault = !matches!(
            step,
            Step::Wait { .. } | Step::Commit | Step::Announce { .. } | Step::Silence { .. } | Step::Heal
        );
        if is_fault {
            self.whole_since = None;
        }
        match *step {
            Step::Wait { tenths } => self.pass(tenths),
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
                self.settle_commit();
                self.fleet.store.down = down;
            }
            Step::StoreCut { daemon } => {
                // Only daemons outside the store's region lose the store alone: a majority of that
                // region without it counts as a store that is down.
                let id = self.fleet.local_daemon(NEAR + daemon % FAR).id;
                self.fleet.store.cut_off_daemons.insert(id);
            }
            Step::Loss { percent } => self.fleet.network.loss = f64::from(percent) / 100.0,
            Step::Commit => self.commit(),
            Step::Announce { server, at, draining } => {
                let now = self.fleet.now();
                let known = self.servers.entry(server).or_default();
                if known.says != Some(draining) {
                    known.since = Some(now);
                }
                known.at = at;
                known.says = Some(draining);
                self.renew();
            }
            Step::Silence { server } => {
                if let Some(known) = self.servers.get_mut(&server).filter(|s| s.says.is_some()) {
                    known.says = None;
                    known.since = Some(self.fleet.now());
                }
            }
        }
    }

    /// Once all faults are healed, all views agree with the facts.
    fn check_converged(&mut self) {
        self.heal();
        self.pass(HEAL_S * 10);
        let head = self.heads.back().map_or(0, |(v, _)| *v);
        for index in 0..DAEMONS {
            let board = self.fleet.kernel(index).unwrap().board();
            assert_eq!(board.members.len(), DAEMONS - 1, "members of {index}");
            assert!(board.dead_members.is_empty(), "gone of {index}");
            assert_eq!(board.version(), head, "version of {index}");
            assert!(is_current(&self.fleet, index), "{index} is current");
            for (number, server) in &self.servers {
                let works = takes_work(&self.fleet, index, &format!("s{number}"));
                assert_eq!(works, server.says == Some(false), "s{number} at {index}");
            }
        }
    }
}

impl StateMachineTest for Run {
    type SystemUnderTest = Run;
    type Reference = Steps;

    fn init_test((): &()) -> Run {
        let fleet = Fleet::new(5, &places(NEAR, FAR));
        let whole_since = Some(fleet.now());
        let mut run = Run { fleet, heads: VecDeque::new(), servers: BTreeMap::new(), whole_since };
        run.commit();
        run.pass(60);
        run
    }

    fn apply(mut state: Run, (): &(), transition: Step) -> Run {
        state.step(&transition);
        state
    }

    fn teardown(mut state: Run, (): ()) {
        state.check_converged();
    }
}

/// Number of runs; `FUZZ_CASES` asks for more than CI makes.
fn cases() -> u32 {
    std::env::var("FUZZ_CASES").map_or(24, |n| n.parse().unwrap())
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: cases(), max_shrink_iters: 60, ..ProptestConfig::default() })]

    #[test]
    fn random_faults_break_no_promise_and_heal(sequential 1..40 => Run);
}
