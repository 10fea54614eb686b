//! Simulation of daemons' statistics and one coordinator's outlier detector on synthetic answers, in virtual
//! time and without sockets.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::{DaemonId, Place, ServerId};
use health::outlier_detector::{DETECTION_PERIOD, EjectionChange};
use health::service_stats::ServiceStats;
use health::{DetectorConfig, OutlierDetector};
use kernel::{Outcome, OutcomeKind, ServerCounters, ServerView};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wire::server::{ServerInfo, ServerState};

/// Regions and data centres; daemons and servers are spread over them round robin.
const PLACES: [(&str, &str); 4] =
    [("meseta", "paraiso"), ("meseta", "barva"), ("guanacaste", "canas"), ("guanacaste", "santa-cruz")];
/// Mean latency of a healthy answer.
pub const WORK_MS: f64 = 20.0;

/// One synthetic answer.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub kind: OutcomeKind,
    pub ms: f64,
    pub bytes: u64,
    pub customer: usize,
}

/// A random answer of a healthy server.
pub fn healthy(rng: &mut SmallRng) -> Answer {
    let ms = WORK_MS * (0.5 - 0.5 * (1.0 - rng.random::<f64>()).ln());
    Answer { kind: OutcomeKind::Ok, ms, bytes: 1_000, customer: rng.random_range(0..8) }
}

struct Daemon {
    id: DaemonId,
    place: Place,
    stats: ServiceStats,
}

/// Daemons, servers and a coordinator.
pub struct Simulation {
    pub now: Instant,
    pub start: Instant,
    pub rng: SmallRng,
    pub detector: OutlierDetector,
    pub servers: Vec<Arc<ServerView>>,
    /// Servers that may be ejected at the same time.
    pub budget: usize,
    /// Answers a second from each server to each daemon.
    pub rate: f64,
    /// Changes in the order of their times since the start.
    pub changes: Vec<(Duration, EjectionChange)>,
    daemons: Vec<Daemon>,
}

impl Simulation {
    pub fn new(seed: u64, daemons: usize, servers: usize, config: DetectorConfig) -> Self {
        let start = Instant::now();
        let daemon = |n: usize| Daemon {
            id: DaemonId::from(([127, 1, 0, n as u8], 7_000)),
            place: Place::new(PLACES[n % 4].0, PLACES[n % 4].1),
            stats: ServiceStats::default(),
        };
        Self {
            now: start,
            start,
            rng: SmallRng::seed_from_u64(seed),
            detector: OutlierDetector::new(config, start),
            servers: (0..servers).map(|n| server(n, ServerState::Ready)).collect(),
            budget: servers / 3,
            rate: 5.0,
            changes: Vec::new(),
            daemons: (0..daemons).map(daemon).collect(),
        }
    }

    /// Runs traffic for `secs` seconds. `answer` makes the answer for a daemon (first index) from a server
    /// (second index); `None` leaves the request unanswered.
    pub fn run(&mut self, secs: f64, mut answer: impl FnMut(&mut SmallRng, usize, usize) -> Option<Answer>) {
        let end = self.now + Duration::from_secs_f64(secs);
        while self.now < end {
            self.now += DETECTION_PERIOD;
            self.send_requests(&mut answer);
            self.send_digests();
            let changes = self.detector.end_period(self.now, self.budget, &[], |_| true);
            self.changes.extend(changes.into_iter().map(|c| (self.now - self.start, c)));
        }
    }

    fn send_requests(&mut self, answer: &mut impl FnMut(&mut SmallRng, usize, usize) -> Option<Answer>) {
        for (d, daemon) in self.daemons.iter_mut().enumerate() {
            for (s, server) in self.servers.iter().enumerate() {
                let mean = self.rate * DETECTION_PERIOD.as_secs_f64();
                let count = mean as u32 + u32::from(self.rng.random::<f64>() < mean.fract());
                for _ in 0..count {
                    match answer(&mut self.rng, d, s) {
                        Some(a) => daemon.stats.record_outcome(&daemon.place, &outcome(server, a, self.now)),
                        None => _ = server.counters.in_flight.fetch_add(1, Relaxed),
                    }
                }
            }
        }
    }

    fn send_digests(&mut self) {
        for daemon in &mut self.daemons {
            daemon.stats.count_overdue(self.now);
            daemon.stats.end_period();
            let list = daemon.stats.take_digest();
            self.detector.record_digest(self.now, daemon.id, &daemon.place.data_centre, false, &list);
        }
    }

    /// Servers that were ejected, in the order of the ejections.
    pub fn ejected(&self) -> Vec<ServerId> {
        let ejected = |(_, c): &(Duration, EjectionChange)| match c {
            EjectionChange::Ejected(id, _) => Some(id.clone()),
            _ => None,
        };
        self.changes.iter().filter_map(ejected).collect()
    }

    /// Local evidence of a daemon against a server.
    pub fn local_score(&self, daemon: usize, server: usize) -> f64 {
        self.daemons[daemon].stats.score(&self.servers[server].info.id)
    }

    /// Whether most servers look bad to a daemon.
    pub fn sees_mostly_bad(&self, daemon: usize) -> bool {
        self.daemons[daemon].stats.is_mostly_bad()
    }
}

/// A server with full weight.
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

/// The outcome of a request that `server` answered with `answer`.
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
