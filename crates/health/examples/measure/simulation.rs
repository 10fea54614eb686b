//! Discrete event simulation in virtual time: servers with slots and queues, daemons that choose among them,
//! and one coordinator.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::{DaemonId, Place};
use health::outlier_detector::{DETECTION_PERIOD, EjectionChange};
use health::service_stats::ServiceStats;
use health::{DetectorConfig, OutlierDetector};
use kernel::{Outcome, OutcomeKind, ServerCounters, ServerView};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wire::server::{ServerInfo, ServerState};

use crate::faults::{FAULTY_SERVER, Fault, RequestEffect, Site};

/// Mean time that a server works on a request.
const MEAN_WORK_S: f64 = 0.04;
/// Time that a request may take, including its retry.
const DEADLINE: Duration = Duration::from_secs(1);
/// Attempts at a request, including the first.
const MAX_ATTEMPTS: usize = 2;
/// Requests that may wait at a server for each of its slots; further ones are shed.
const MAX_WAITING_PER_SLOT: usize = 4;
/// Size of an answer.
const ANSWER_BYTES: u64 = 4_000;
/// Number of customers; the first one sends half of all requests.
const CUSTOMERS: usize = 8;
/// Regions and data centres; daemons and servers are spread over them round robin.
const PLACES: [(&str, &str); 4] =
    [("meseta", "paraiso"), ("meseta", "barva"), ("guanacaste", "canas"), ("guanacaste", "santa-cruz")];
/// Local evidence from which a daemon avoids a server; the same as in the crate's `area`.
const AVOID_SCORE: f64 = 6.0;
/// Weight of an avoided server; the same as in the crate's `area`.
const AVOIDED_WEIGHT: f32 = 0.1;
/// Time of avoidance without new evidence; the same as in the crate's `area`.
const AVOID_DURATION: Duration = Duration::from_secs(2);
/// Consecutive failures after which [`Policy::Consecutive`] avoids a server.
const CONSECUTIVE_THRESHOLD: u32 = 5;
/// Time for which [`Policy::Consecutive`] avoids a server.
const CONSECUTIVE_HOLD: Duration = Duration::from_secs(10);

/// How servers are chosen and judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The code under test: outlier detection and two random choices.
    Health,
    RoundRobin,
    LeastInFlight,
    /// Two random choices; each daemon avoids a server after consecutive failures.
    Consecutive,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub requests: u64,
    /// Requests since the fault began that failed or missed their deadline.
    pub harmed: u64,
    /// For each customer: requests since the fault began, and those among them that were answered in time.
    pub by_customer: [(u64, u64); CUSTOMERS],
    pub cross_region_bytes: u64,
    /// Time from the beginning of the fault to the first ejection of the faulty server.
    pub detected: Option<Duration>,
    pub ejections: u64,
    /// Ejections of servers that were not faulty.
    pub false_ejections: u64,
}

/// Scheduled event; numbers identify requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// A server has finished its work on a request.
    Done(usize),
    /// A request without an answer has reached its deadline.
    TimedOut(usize),
    /// A period of outlier detection ends.
    PeriodEnd,
}

#[derive(Debug)]
struct Request {
    arrived: Instant,
    sent: Instant,
    daemon: usize,
    customer: usize,
    server: usize,
    tried: Vec<base::ServerId>,
    effect: RequestEffect,
}

#[derive(Debug, Default)]
struct Server {
    busy: u32,
    waiting: VecDeque<usize>,
}

struct Daemon {
    place: Place,
    id: DaemonId,
    stats: ServiceStats,
    views: Vec<Arc<ServerView>>,
    /// Position of [`Policy::RoundRobin`].
    next: usize,
    /// Servers that the daemon avoids, with the end of the avoidance.
    avoided: HashMap<usize, Instant>,
    /// Consecutive failures of each server, for [`Policy::Consecutive`].
    streaks: Vec<u32>,
}

/// The state of one simulated run.
pub struct Simulation {
    site: Site,
    policy: Policy,
    fault: Fault,
    fault_at: Instant,
    now: Instant,
    rng: SmallRng,
    /// Requests per second through all daemons.
    rate: f64,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    detector: OutlierDetector,
    requests: HashMap<usize, Request>,
    next_request: usize,
    /// Scheduled events by time; the number keeps those of the same time in order.
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    next_event: u64,
    pub tally: Tally,
}

/// A server with full weight.
pub fn server_view(n: usize, site: Site) -> Arc<ServerView> {
    let info = ServerInfo {
        id: format!("s{n}").into(),
        service: "s".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        place: Place::new(PLACES[n % 4].0, PLACES[n % 4].1),
        slots: site.slots * 4,
        connections: 400,
        load: 0.0,
        state: ServerState::Ready,
        stamp: 0,
        ttl_ms: 3_000,
    };
    Arc::new(ServerView {
        info,
        weight: 1.0,
        trial: false,
        ready_since: None,
        counters: Arc::new(ServerCounters::default()),
    })
}

impl Simulation {
    /// Creates a run in which the traffic uses the part `load` of the servers' capacity and the fault
    /// begins after `fault_after`.
    pub fn new(
        seed: u64,
        site: Site,
        load: f64,
        policy: Policy,
        fault: Fault,
        fault_after: Duration,
        config: DetectorConfig,
    ) -> Self {
        let now = Instant::now();
        let daemon = |n: usize| Daemon {
            place: Place::new(PLACES[n % 4].0, PLACES[n % 4].1),
            id: DaemonId::from(([127, 1, 0, n as u8], 7_000)),
            stats: ServiceStats::default(),
            views: (0..site.servers).map(|s| server_view(s, site)).collect(),
            next: n,
            avoided: HashMap::new(),
            streaks: vec![0; site.servers],
        };
        let mut simulation = Self {
            site,
            policy,
            fault,
            fault_at: now + fault_after,
            now,
            rng: SmallRng::seed_from_u64(seed),
            rate: load * site.servers as f64 * f64::from(site.slots) / MEAN_WORK_S,
            daemons: (0..site.servers).map(daemon).collect(),
            servers: (0..site.servers).map(|_| Server::default()).collect(),
            detector: OutlierDetector::new(config, now),
            requests: HashMap::new(),
            next_request: 0,
            events: BinaryHeap::new(),
            next_event: 0,
            tally: Tally::default(),
        };
        simulation.schedule(Duration::ZERO, Event::Arrival);
        simulation.schedule(DETECTION_PERIOD, Event::PeriodEnd);
        simulation
    }

    /// Runs the simulation for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival => self.arrive(),
                Event::Done(id) => self.finish_work(id),
                Event::TimedOut(id) => self.time_out(id),
                Event::PeriodEnd => self.end_period(),
            }
            if at >= end {
                return;
            }
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((self.now + delay, self.next_event, event)));
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival);
        let customer = if self.rng.random() { 0 } else { self.rng.random_range(1..CUSTOMERS) };
        let daemon = self.rng.random_range(0..self.daemons.len());
        let id = self.next_request;
        self.next_request += 1;
        let now = self.now;
        let effect = RequestEffect::Slow(1.0);
        let request =
            Request { arrived: now, sent: now, daemon, customer, server: 0, tried: Vec::new(), effect };
        self.send(id, request);
    }

    fn choose_server(&mut self, request: &Request) -> Option<usize> {
        let daemon = &mut self.daemons[request.daemon];
        let in_flight = |s: &ServerView| s.counters.in_flight.load(Relaxed);
        let is_new = |s: &Arc<ServerView>| !request.tried.contains(&s.info.id);
        let near = |s: &Arc<ServerView>| s.info.place.region == daemon.place.region;
        let chosen = match self.policy {
            Policy::RoundRobin => {
                daemon.next += 1;
                let list: Vec<_> = daemon.views.iter().filter(|s| near(s) && is_new(s)).collect();
                list.get(daemon.next % list.len().max(1)).copied()
            }
            Policy::LeastInFlight => {
                let offset = self.rng.random_range(0..daemon.views.len());
                let list = daemon.views.iter().cycle().skip(offset).take(daemon.views.len());
                list.filter(|s| near(s) && is_new(s)).min_by_key(|s| in_flight(s))
            }
            Policy::Health | Policy::Consecutive => {
                let place = &daemon.place;
                let criteria = route::Criteria {
                    place,
                    tried: &request.tried,
                    repeatable: true,
                    cross_region: true,
                    now: self.now,
                };
                route::choose_server(&daemon.views, &criteria, &mut self.rng)
            }
        };
        chosen.map(|s| s.info.id[1..].parse().expect("a number"))
    }

    fn send(&mut self, id: usize, mut request: Request) {
        let Some(server) = self.choose_server(&request) else { return self.finish(&request, false) };
        let view = &self.daemons[request.daemon].views[server];
        view.counters.in_flight.fetch_add(1, Relaxed);
        if view.info.place.region != self.daemons[request.daemon].place.region {
            self.tally.cross_region_bytes += ANSWER_BYTES;
        }
        request.tried.push(view.info.id.clone());
        request.server = server;
        request.sent = self.now;
        let fault = if self.now >= self.fault_at { self.fault } else { Fault::Nothing };
        request.effect = fault.effect_on_request(server, request.customer, &mut self.rng);
        if request.effect == RequestEffect::Silent {
            let left = (request.arrived + DEADLINE).saturating_duration_since(self.now);
            self.requests.insert(id, request);
            return self.schedule(left, Event::TimedOut(id));
        }
        let state = &mut self.servers[server];
        if state.busy < self.site.slots {
            state.busy += 1;
            let work = self.draw_work_time(request.effect);
            self.requests.insert(id, request);
            self.schedule(work, Event::Done(id));
        } else if state.waiting.len() < self.site.slots as usize * MAX_WAITING_PER_SLOT {
            state.waiting.push_back(id);
            self.requests.insert(id, request);
        } else {
            self.end_attempt(id, request, OutcomeKind::Shed);
        }
    }

    fn draw_work_time(&mut self, effect: RequestEffect) -> Duration {
        let factor = if let RequestEffect::Slow(factor) = effect { factor } else { 1.0 };
        let spread = 0.5 - 0.5 * (1.0 - self.rng.random::<f64>()).ln();
        Duration::from_secs_f64(MEAN_WORK_S * factor * spread)
    }

    fn finish_work(&mut self, id: usize) {
        let Some(request) = self.requests.remove(&id) else { return };
        let server = request.server;
        match self.servers[server].waiting.pop_front() {
            Some(next) => {
                let effect = self.requests.get(&next).map_or(RequestEffect::Slow(1.0), |r| r.effect);
                let work = self.draw_work_time(effect);
                self.schedule(work, Event::Done(next));
            }
            None => self.servers[server].busy -= 1,
        }
        let kind =
            if request.effect == RequestEffect::Error { OutcomeKind::ServerError } else { OutcomeKind::Ok };
        self.end_attempt(id, request, kind);
    }

    fn time_out(&mut self, id: usize) {
        if let Some(request) = self.requests.remove(&id) {
            self.end_attempt(id, request, OutcomeKind::Stall);
        }
    }

    fn end_attempt(&mut self, id: usize, request: Request, kind: OutcomeKind) {
        let daemon = &mut self.daemons[request.daemon];
        let view = Arc::clone(&daemon.views[request.server]);
        view.counters.in_flight.fetch_sub(1, Relaxed);
        let lag = if self.now >= self.fault_at { self.fault.lag(request.daemon) } else { 1.0 };
        let total = (self.now - request.sent).mul_f64(lag);
        if kind == OutcomeKind::Ok {
            view.counters.observe_latency(total.as_micros() as u32);
        }
        let customer = Some(format!("c{}", request.customer).into());
        let outcome = Outcome {
            server: Arc::clone(&view),
            customer,
            kind,
            first_byte: total,
            total,
            bytes: ANSWER_BYTES,
            at: self.now,
        };
        match self.policy {
            Policy::Health => daemon.stats.record_outcome(&daemon.place, &outcome),
            Policy::Consecutive => self.count_consecutive(&request, kind),
            _ => {}
        }
        let in_time = self.now < request.arrived + DEADLINE;
        match kind {
            OutcomeKind::Ok => self.finish(&request, in_time),
            _ if in_time && request.tried.len() < MAX_ATTEMPTS => self.send(id, request),
            _ => self.finish(&request, false),
        }
    }

    /// For [`Policy::Consecutive`]: counts consecutive failures and avoids the server after
    /// [`CONSECUTIVE_THRESHOLD`].
    fn count_consecutive(&mut self, request: &Request, kind: OutcomeKind) {
        let daemon = &mut self.daemons[request.daemon];
        let streak = &mut daemon.streaks[request.server];
        *streak = if kind.is_bad() { *streak + 1 } else { 0 };
        if *streak >= CONSECUTIVE_THRESHOLD {
            *streak = 0;
            daemon.avoided.insert(request.server, self.now + CONSECUTIVE_HOLD);
            self.tally.false_ejections += u64::from(request.server != FAULTY_SERVER);
            if self.tally.detected.is_none() && request.server == FAULTY_SERVER {
                self.tally.detected = self.now.checked_duration_since(self.fault_at);
            }
        }
    }

    fn finish(&mut self, request: &Request, good: bool) {
        if request.arrived < self.fault_at {
            return;
        }
        self.tally.requests += 1;
        self.tally.harmed += u64::from(!good);
        let (all, well) = &mut self.tally.by_customer[request.customer];
        *all += 1;
        *well += u64::from(good);
    }

    /// Updates the weights of all servers in all daemons.
    fn end_period(&mut self) {
        self.schedule(DETECTION_PERIOD, Event::PeriodEnd);
        let mut listed = HashMap::new();
        if self.policy == Policy::Health {
            self.detect_outliers();
            listed = self.detector.ejection_list().into_iter().map(|e| (e.server, e.weight)).collect();
        }
        let now = self.now;
        for daemon in &mut self.daemons {
            daemon.avoided.retain(|_, until| *until > now);
            for (n, view) in daemon.views.iter_mut().enumerate() {
                let listed = listed.get(&view.info.id).copied();
                let avoided = daemon.avoided.contains_key(&n).then_some(AVOIDED_WEIGHT);
                let weight = listed.unwrap_or(1.0).min(avoided.unwrap_or(1.0));
                let trial = listed.is_some_and(|w| w < 0.5);
                let (info, counters) = (view.info.clone(), Arc::clone(&view.counters));
                *view = Arc::new(ServerView { info, weight, trial, ready_since: None, counters });
            }
        }
    }

    /// Ends a period of the daemons' statistics and of the coordinator's detector.
    fn detect_outliers(&mut self) {
        let now = self.now;
        for daemon in &mut self.daemons {
            daemon.stats.count_overdue(now);
            daemon.stats.end_period();
            for (id, _) in daemon.stats.scores().filter(|(_, score)| *score >= AVOID_SCORE) {
                let server = id[1..].parse().expect("a number");
                daemon.avoided.insert(server, now + AVOID_DURATION);
            }
            let list = daemon.stats.take_digest();
            self.detector.record_digest(now, daemon.id, &daemon.place.data_centre, false, &list);
        }
        let budget = self.site.servers * 2 / 5;
        for change in self.detector.end_period(now, budget, &[], |_| true) {
            let EjectionChange::Ejected(id, _) = change else { continue };
            self.tally.ejections += 1;
            let is_faulty =
                *id == *format!("s{FAULTY_SERVER}") && self.fault.is_server_fault() && now >= self.fault_at;
            self.tally.false_ejections += u64::from(!is_faulty);
            if is_faulty && self.tally.detected.is_none() {
                self.tally.detected = now.checked_duration_since(self.fault_at);
            }
        }
    }
}
