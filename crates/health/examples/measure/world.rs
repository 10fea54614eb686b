//! Servers with slots and a queue, daemons that choose, one coordinator; virtual time, one request an event.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::{DaemonId, Place};
use health::judge::{Change, PERIOD};
use health::window::Window;
use health::{Judge, Knobs};
use kernel::{Outcome, OutcomeKind, ServerCounters, ServerView};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wire::server::{ServerInfo, ServerState};

use crate::scene::{Fate, SICK, Site, Trouble};

/// Mean time of work, in seconds.
const WORK_S: f64 = 0.04;
/// Time a request may take in all.
const DEADLINE: Duration = Duration::from_secs(1);
/// Tries of a request.
const MAX_TRIES: usize = 2;
/// Requests that may wait at a server, as a multiple of its slots.
const QUEUE_FACTOR: usize = 4;
/// Bytes of an answer.
const ANSWER_BYTES: u64 = 4_000;
/// Customers; the first one sends half of all requests.
const CUSTOMERS: usize = 8;
const PLACES: [(&str, &str); 4] =
    [("meseta", "paraiso"), ("meseta", "barva"), ("guanacaste", "canas"), ("guanacaste", "santa-cruz")];
/// Local evidence from which a daemon avoids a server, and its weight then, as in the area.
const AVOID_SCORE: f64 = 6.0;
const AVOIDED_WEIGHT: f32 = 0.1;
const AVOID_HOLD: Duration = Duration::from_secs(2);
/// Baseline: bad answers in a row, and the hold after them.
const CONSECUTIVE: u32 = 5;
const CONSECUTIVE_HOLD: Duration = Duration::from_secs(10);

/// How servers are chosen and judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    Health,
    RoundRobin,
    LeastInFlight,
    Consecutive,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub requests: u64,
    /// Requests that failed or passed their deadline after the trouble began.
    pub harmed: u64,
    pub by_customer: [(u64, u64); CUSTOMERS],
    pub cross_region_bytes: u64,
    /// Time from the trouble to the first ejection of the sick server.
    pub detected: Option<Duration>,
    pub ejections: u64,
    pub false_ejections: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Done(usize),
    GiveUp(usize),
    Step,
}

#[derive(Debug)]
struct Request {
    arrived: Instant,
    sent: Instant,
    daemon: usize,
    customer: usize,
    server: usize,
    tried: Vec<base::ServerId>,
    fate: Fate,
}

#[derive(Debug, Default)]
struct Server {
    busy: u32,
    waiting: VecDeque<usize>,
}

struct Daemon {
    place: Place,
    id: DaemonId,
    window: Window,
    views: Vec<Arc<ServerView>>,
    next: usize,
    avoided: HashMap<usize, Instant>,
    streaks: Vec<u32>,
}

/// One run.
pub struct World {
    site: Site,
    policy: Policy,
    trouble: Trouble,
    trouble_at: Instant,
    now: Instant,
    rng: SmallRng,
    rate: f64,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    judge: Judge,
    requests: HashMap<usize, Request>,
    next_request: usize,
    queue: BinaryHeap<Reverse<(Instant, u64, Due)>>,
    next_event: u64,
    pub tally: Tally,
}

/// A server's view at full weight.
pub fn view(n: usize, site: Site) -> Arc<ServerView> {
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

impl World {
    /// Makes a world at `load`, 0 to 1, in which the trouble begins after `calm`.
    pub fn new(
        seed: u64,
        site: Site,
        load: f64,
        policy: Policy,
        trouble: Trouble,
        calm: Duration,
        knobs: Knobs,
    ) -> Self {
        let now = Instant::now();
        let daemon = |n: usize| Daemon {
            place: Place::new(PLACES[n % 4].0, PLACES[n % 4].1),
            id: DaemonId::from(([127, 1, 0, n as u8], 7_000)),
            window: Window::default(),
            views: (0..site.servers).map(|s| view(s, site)).collect(),
            next: n,
            avoided: HashMap::new(),
            streaks: vec![0; site.servers],
        };
        let mut world = Self {
            site,
            policy,
            trouble,
            trouble_at: now + calm,
            now,
            rng: SmallRng::seed_from_u64(seed),
            rate: load * site.servers as f64 * f64::from(site.slots) / WORK_S,
            daemons: (0..site.servers).map(daemon).collect(),
            servers: (0..site.servers).map(|_| Server::default()).collect(),
            judge: Judge::new(knobs, now),
            requests: HashMap::new(),
            next_request: 0,
            queue: BinaryHeap::new(),
            next_event: 0,
            tally: Tally::default(),
        };
        world.schedule(Duration::ZERO, Due::Arrival);
        world.schedule(PERIOD, Due::Step);
        world
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, _, due))) = self.queue.pop() {
            self.now = at;
            match due {
                Due::Arrival => self.arrive(),
                Due::Done(id) => self.done(id),
                Due::GiveUp(id) => self.give_up(id),
                Due::Step => self.step(),
            }
            if at >= end {
                return;
            }
        }
    }

    fn schedule(&mut self, delay: Duration, due: Due) {
        self.next_event += 1;
        self.queue.push(Reverse((self.now + delay, self.next_event, due)));
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate;
        self.schedule(Duration::from_secs_f64(gap), Due::Arrival);
        let customer = if self.rng.random() { 0 } else { self.rng.random_range(1..CUSTOMERS) };
        let daemon = self.rng.random_range(0..self.daemons.len());
        let id = self.next_request;
        self.next_request += 1;
        let now = self.now;
        let fate = Fate::Slow(1.0);
        let request =
            Request { arrived: now, sent: now, daemon, customer, server: 0, tried: Vec::new(), fate };
        self.send(id, request);
    }

    fn choose(&mut self, request: &Request) -> Option<usize> {
        let daemon = &mut self.daemons[request.daemon];
        let cell = |s: &ServerView| s.counters.in_flight.load(Relaxed);
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
                list.filter(|s| near(s) && is_new(s)).min_by_key(|s| cell(s))
            }
            Policy::Health | Policy::Consecutive => {
                let place = &daemon.place;
                let want = route::Want {
                    place,
                    tried: &request.tried,
                    repeatable: true,
                    cross_region: true,
                    now: self.now,
                };
                route::choose(&daemon.views, &want, &mut self.rng)
            }
        };
        chosen.map(|s| s.info.id[1..].parse().expect("a number"))
    }

    fn send(&mut self, id: usize, mut request: Request) {
        let Some(server) = self.choose(&request) else { return self.finish(&request, false) };
        let view = &self.daemons[request.daemon].views[server];
        view.counters.in_flight.fetch_add(1, Relaxed);
        if view.info.place.region != self.daemons[request.daemon].place.region {
            self.tally.cross_region_bytes += ANSWER_BYTES;
        }
        request.tried.push(view.info.id.clone());
        request.server = server;
        request.sent = self.now;
        let trouble = if self.now >= self.trouble_at { self.trouble } else { Trouble::Nothing };
        request.fate = trouble.fate(server, request.customer, &mut self.rng);
        if request.fate == Fate::Silent {
            let left = (request.arrived + DEADLINE).saturating_duration_since(self.now);
            self.requests.insert(id, request);
            return self.schedule(left, Due::GiveUp(id));
        }
        let state = &mut self.servers[server];
        if state.busy < self.site.slots {
            state.busy += 1;
            let work = self.work(request.fate);
            self.requests.insert(id, request);
            self.schedule(work, Due::Done(id));
        } else if state.waiting.len() < self.site.slots as usize * QUEUE_FACTOR {
            state.waiting.push_back(id);
            self.requests.insert(id, request);
        } else {
            self.end_try(id, request, OutcomeKind::Shed);
        }
    }

    fn work(&mut self, fate: Fate) -> Duration {
        let factor = if let Fate::Slow(factor) = fate { factor } else { 1.0 };
        let spread = 0.5 - 0.5 * (1.0 - self.rng.random::<f64>()).ln();
        Duration::from_secs_f64(WORK_S * factor * spread)
    }

    fn done(&mut self, id: usize) {
        let Some(request) = self.requests.remove(&id) else { return };
        let server = request.server;
        match self.servers[server].waiting.pop_front() {
            Some(next) => {
                let fate = self.requests.get(&next).map_or(Fate::Slow(1.0), |r| r.fate);
                let work = self.work(fate);
                self.schedule(work, Due::Done(next));
            }
            None => self.servers[server].busy -= 1,
        }
        let kind = if request.fate == Fate::Error { OutcomeKind::ServerError } else { OutcomeKind::Ok };
        self.end_try(id, request, kind);
    }

    fn give_up(&mut self, id: usize) {
        if let Some(request) = self.requests.remove(&id) {
            self.end_try(id, request, OutcomeKind::Stall);
        }
    }

    fn end_try(&mut self, id: usize, request: Request, kind: OutcomeKind) {
        let daemon = &mut self.daemons[request.daemon];
        let view = Arc::clone(&daemon.views[request.server]);
        view.counters.in_flight.fetch_sub(1, Relaxed);
        let lag = if self.now >= self.trouble_at { self.trouble.lag(request.daemon) } else { 1.0 };
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
            Policy::Health => daemon.window.observe(&daemon.place, &outcome),
            Policy::Consecutive => self.count(&request, kind),
            _ => {}
        }
        let in_time = self.now < request.arrived + DEADLINE;
        match kind {
            OutcomeKind::Ok => self.finish(&request, in_time),
            _ if in_time && request.tried.len() < MAX_TRIES => self.send(id, request),
            _ => self.finish(&request, false),
        }
    }

    /// Baseline: five bad answers in a row lower the weight for ten seconds.
    fn count(&mut self, request: &Request, kind: OutcomeKind) {
        let daemon = &mut self.daemons[request.daemon];
        let streak = &mut daemon.streaks[request.server];
        *streak = if kind.is_bad() { *streak + 1 } else { 0 };
        if *streak >= CONSECUTIVE {
            *streak = 0;
            daemon.avoided.insert(request.server, self.now + CONSECUTIVE_HOLD);
            self.tally.false_ejections += u64::from(request.server != SICK);
            if self.tally.detected.is_none() && request.server == SICK {
                self.tally.detected = self.now.checked_duration_since(self.trouble_at);
            }
        }
    }

    fn finish(&mut self, request: &Request, good: bool) {
        if request.arrived < self.trouble_at {
            return;
        }
        self.tally.requests += 1;
        self.tally.harmed += u64::from(!good);
        let (all, well) = &mut self.tally.by_customer[request.customer];
        *all += 1;
        *well += u64::from(good);
    }

    fn step(&mut self) {
        self.schedule(PERIOD, Due::Step);
        let mut listed = HashMap::new();
        if self.policy == Policy::Health {
            self.judge();
            listed = self.judge.list().into_iter().map(|e| (e.server, e.weight)).collect();
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

    fn judge(&mut self) {
        let now = self.now;
        for daemon in &mut self.daemons {
            daemon.window.count_overdue(now);
            daemon.window.step();
            for (id, _) in daemon.window.scores().filter(|(_, score)| *score >= AVOID_SCORE) {
                let server = id[1..].parse().expect("a number");
                daemon.avoided.insert(server, now + AVOID_HOLD);
            }
            let list = daemon.window.take_digest();
            self.judge.hear(now, daemon.id, &daemon.place.data_centre, false, &list);
        }
        let budget = self.site.servers * 2 / 5;
        for change in self.judge.step(now, budget, &[], |_| true) {
            let Change::Ejected(id, _) = change else { continue };
            self.tally.ejections += 1;
            let is_sick =
                *id == *format!("s{SICK}") && self.trouble.is_servers_own() && now >= self.trouble_at;
            self.tally.false_ejections += u64::from(!is_sick);
            if is_sick && self.tally.detected.is_none() {
                self.tally.detected = now.checked_duration_since(self.trouble_at);
            }
        }
    }
}
