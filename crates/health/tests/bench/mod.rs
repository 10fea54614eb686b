//! Daemons' windows and one coordinator's judgement over made-up answers; no sockets, virtual time.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::{DaemonId, Place, ServerId};
use health::judge::{Change, PERIOD};
use health::window::Window;
use health::{Judge, Knobs};
use kernel::{Outcome, OutcomeKind, ServerCounters, ServerView};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wire::server::{ServerInfo, ServerState};

/// Places of the daemons, in turn.
const PLACES: [(&str, &str); 4] =
    [("meseta", "paraiso"), ("meseta", "barva"), ("guanacaste", "canas"), ("guanacaste", "santa-cruz")];
/// Mean time of a healthy answer.
pub const WORK_MS: f64 = 20.0;

/// One made-up answer.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub kind: OutcomeKind,
    pub ms: f64,
    pub bytes: u64,
    pub customer: usize,
}

/// What a healthy server answers.
pub fn healthy(rng: &mut SmallRng) -> Answer {
    let ms = WORK_MS * (0.5 - 0.5 * (1.0 - rng.random::<f64>()).ln());
    Answer { kind: OutcomeKind::Ok, ms, bytes: 1_000, customer: rng.random_range(0..8) }
}

/// One daemon.
struct Daemon {
    id: DaemonId,
    place: Place,
    window: Window,
}

/// Daemons, servers and a coordinator.
pub struct Bench {
    pub now: Instant,
    pub start: Instant,
    pub rng: SmallRng,
    pub judge: Judge,
    pub servers: Vec<Arc<ServerView>>,
    pub budget: usize,
    /// Answers a second from each server to each daemon.
    pub rate: f64,
    /// Changes with the time since the start.
    pub changes: Vec<(Duration, Change)>,
    daemons: Vec<Daemon>,
}

impl Bench {
    pub fn new(seed: u64, daemons: usize, servers: usize, knobs: Knobs) -> Self {
        let start = Instant::now();
        let daemon = |n: usize| Daemon {
            id: DaemonId::from(([127, 1, 0, n as u8], 7_000)),
            place: Place::new(PLACES[n % 4].0, PLACES[n % 4].1),
            window: Window::default(),
        };
        Self {
            now: start,
            start,
            rng: SmallRng::seed_from_u64(seed),
            judge: Judge::new(knobs, start),
            servers: (0..servers).map(|n| server(n, ServerState::Ready)).collect(),
            budget: servers / 3,
            rate: 5.0,
            changes: Vec::new(),
            daemons: (0..daemons).map(daemon).collect(),
        }
    }

    /// Lets traffic run; `answer` makes the answer of a server (second number) to a daemon (first).
    pub fn run(&mut self, secs: f64, mut answer: impl FnMut(&mut SmallRng, usize, usize) -> Option<Answer>) {
        let end = self.now + Duration::from_secs_f64(secs);
        while self.now < end {
            self.now += PERIOD;
            self.traffic(&mut answer);
            self.digest();
            let step = self.judge.step(self.now, self.budget, &[], |_| true);
            self.changes.extend(step.into_iter().map(|c| (self.now - self.start, c)));
        }
    }

    fn traffic(&mut self, answer: &mut impl FnMut(&mut SmallRng, usize, usize) -> Option<Answer>) {
        for (d, daemon) in self.daemons.iter_mut().enumerate() {
            for (s, server) in self.servers.iter().enumerate() {
                let mean = self.rate * PERIOD.as_secs_f64();
                let count = mean as u32 + u32::from(self.rng.random::<f64>() < mean.fract());
                for _ in 0..count {
                    match answer(&mut self.rng, d, s) {
                        Some(a) => daemon.window.observe(&daemon.place, &outcome(server, a, self.now)),
                        None => _ = server.counters.in_flight.fetch_add(1, Relaxed),
                    }
                }
            }
        }
    }

    fn digest(&mut self) {
        for daemon in &mut self.daemons {
            daemon.window.count_overdue(self.now);
            daemon.window.step();
            let list = daemon.window.take_digest();
            self.judge.hear(self.now, daemon.id, &daemon.place.data_centre, false, &list);
        }
    }

    /// Servers that were ejected, in the order of the ejections.
    pub fn ejected(&self) -> Vec<ServerId> {
        let ejected = |(_, c): &(Duration, Change)| match c {
            Change::Ejected(id, _) => Some(id.clone()),
            _ => None,
        };
        self.changes.iter().filter_map(ejected).collect()
    }

    /// Local evidence of a daemon against a server.
    pub fn local_score(&self, daemon: usize, server: usize) -> f64 {
        self.daemons[daemon].window.score(&self.servers[server].info.id)
    }

    /// Whether a daemon finds most of its servers bad.
    pub fn doubts_itself(&self, daemon: usize) -> bool {
        self.daemons[daemon].window.is_mostly_bad()
    }
}

/// A server's view at full weight.
pub fn server(n: usize, state: ServerState) -> Arc<ServerView> {
    let info = ServerInfo {
        id: format!("s{n}").into(),
        service: "sacristia".into(),
        addr: ([127, 2, 0, n as u8], 80).into(),
        place: Place::new(PLACES[n % 4].0, PLACES[n % 4].1),
        slots: 6,
        connections: 400,
        load: 0.0,
        state,
        stamp: 1,
        ttl_ms: 3_000,
    };
    let counters = Arc::new(ServerCounters::default());
    Arc::new(ServerView { info, weight: 1.0, trial: false, ready_since: None, counters })
}

/// One outcome for the window.
pub fn outcome(server: &Arc<ServerView>, answer: Answer, at: Instant) -> Outcome {
    let total = Duration::from_secs_f64(answer.ms / 1e3);
    let customer = Some(format!("c{}", answer.customer).into());
    Outcome {
        server: Arc::clone(server),
        customer,
        kind: answer.kind,
        first_byte: total,
        total,
        bytes: answer.bytes,
        at,
    }
}
