//! Daemons, backend servers, callers and operators under virtual time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::Place;
use conf::KeyHasher;
use fake::Fleet;
use hyper::http::request::Parts;
use kernel::{Outcome, OutcomeKind, Report, TakeResult, View};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use wire::server::ServerState;

use crate::op::{Daemon, Op};
use crate::oracle::{Offer, Oracle};
use crate::parties::{Caller, Server, request};

/// Places of the daemons, in turn.
const PLACES: [(&str, &str); 5] = [
    ("meseta", "paraiso"),
    ("guanacaste", "canas"),
    ("meseta", "barva"),
    ("guanacaste", "santa-cruz"),
    ("meseta", "paraiso"),
];
/// Region that [`Op::CutRegion`] cuts off.
const FAR_REGION: &str = "guanacaste";
/// Step of the world.
const STEP: Duration = Duration::from_millis(20);
/// Interval between a server's announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time of a graceful shutdown.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(30);
/// Share of its rate that a customer sends while it is not greedy.
const NORMAL_USE: f64 = 0.6;
/// Multiple of its rate that a greedy customer sends.
const GREEDY_USE: f64 = 5.0;
/// Floor of the service.
const FLOOR: f64 = 0.6;
/// Service of all servers.
const SERVICE: &str = "sacristia";
/// Time for an ordinary answer.
const ANSWER_TIME: Duration = Duration::from_millis(5);

/// A call to the operator API that has not been answered.
#[derive(Debug)]
struct Pending {
    daemon: Daemon,
    ticket: u64,
    what: Asked,
}

/// What an operator asked for.
#[derive(Debug)]
enum Asked {
    Apply,
    Give { customer: usize, name: Box<str> },
    Withdraw { secret: Box<str> },
}

/// The whole world.
#[derive(Debug)]
pub struct World {
    /// Facts and promises.
    pub oracle: Oracle,
    fleet: Fleet,
    rng: SmallRng,
    hasher: KeyHasher,
    callers: Vec<Caller>,
    servers: Vec<Server>,
    pending: Vec<Pending>,
    stopping: Vec<(Daemon, Instant)>,
    changes: u32,
    key_names: u32,
}

impl World {
    /// Starts `daemons` daemons (at most 5), six servers and three customers with a key each.
    ///
    /// # Panics
    /// Panics when the fleet does not take the first configuration.
    pub fn new(seed: u64, daemons: usize) -> Self {
        let fleet = Fleet::new(seed, &PLACES[..daemons]);
        let now = fleet.now();
        let caller = |(name, rate, burst): (&str, f64, f64)| Caller {
            name: name.into(),
            rate,
            burst,
            greedy: false,
            keys: Vec::new(),
            old_keys: Vec::new(),
            due: 0.0,
        };
        let server = |n: usize| Server {
            id: format!("{SERVICE}-{n}").into(),
            place: Place::new(PLACES[n % daemons].0, PLACES[n % daemons].1),
            draining: false,
            sick: false,
            home: n % daemons,
            next_announcement: now,
        };
        let mut world = Self {
            oracle: Oracle::default(),
            fleet,
            rng: SmallRng::seed_from_u64(seed),
            hasher: KeyHasher::new(b""),
            callers: [("orosi", 10.0, 5.0), ("cartago", 200.0, 100.0), ("tejar", 40.0, 20.0)]
                .map(caller)
                .into(),
            servers: (0..6).map(server).collect(),
            pending: Vec::new(),
            stopping: Vec::new(),
            changes: 0,
            key_names: 0,
        };
        world.set_up();
        world
    }

    fn set_up(&mut self) {
        let now = self.now();
        for caller in &self.callers {
            self.oracle.customer(&caller.name, caller.rate, caller.burst, now);
        }
        self.run(Duration::from_secs(2));
        self.perform(&Op::Apply(0));
        self.run(Duration::from_secs(3));
        assert!(self.oracle.newest() > 0, "the first configuration is not accepted");
        for customer in 0..self.callers.len() {
            self.perform(&Op::GiveKey(0, customer));
            self.run(Duration::from_secs(1));
        }
    }

    /// Lets one thing happen.
    pub fn perform(&mut self, op: &Op) {
        let now = self.now();
        let daemons = self.fleet.daemon_count();
        match *op {
            Op::Run(time) => self.run(time),
            Op::Apply(d) => self.apply(d % daemons),
            Op::GiveKey(d, c) => self.give_key(d % daemons, c),
            Op::WithdrawKey(d, c) => self.withdraw_key(d % daemons, c),
            Op::Drain(s) => self.drain(s, true, now),
            Op::Return(s) => self.drain(s, false, now),
            Op::Sicken(s) => self.server(s).sick = true,
            Op::Cure(s) => self.server(s).sick = false,
            Op::CutOneWay(a, b) => self.fleet.cut_link(a % daemons, b % daemons, false),
            Op::Cut(a, b) => self.fleet.cut_link(a % daemons, b % daemons, true),
            Op::CutRegion => self.fleet.cut_region(FAR_REGION),
            Op::Heal => self.fleet.heal(),
            Op::Pause(d) => self.fleet.pause(d % daemons),
            Op::Resume(d) => self.fleet.resume(d % daemons),
            Op::Crash(d) => self.crash(d % daemons),
            Op::Stop(d) => self.stop(d % daemons, now),
            Op::Restart(d) => self.restart(d % daemons),
            Op::StoreDown => self.fleet.store.down = true,
            Op::StoreLosesAnswers => self.fleet.store.lost_answers = 0.5,
            Op::StoreUp => {
                self.fleet.store.down = false;
                self.fleet.store.lost_answers = 0.0;
            }
            Op::Greed(c, greedy) => {
                let count = self.callers.len();
                self.callers[c % count].greedy = greedy;
            }
        }
    }

    /// Ends every fault, lets things settle, and tells what does not work afterwards.
    pub fn settle(&mut self) -> Vec<Box<str>> {
        self.perform(&Op::Heal);
        self.perform(&Op::StoreUp);
        for d in 0..self.fleet.daemon_count() {
            self.fleet.resume(d);
        }
        while !self.stopping.is_empty() {
            self.run(STEP);
        }
        for d in 0..self.fleet.daemon_count() {
            self.restart(d);
        }
        for caller in &mut self.callers {
            caller.greedy = false;
        }
        self.run(Duration::from_secs(15));
        let mut faults = Vec::new();
        for d in 0..self.fleet.daemon_count() {
            let view = self.fleet.view(d);
            let version = view.conf.as_ref().map_or(0, |c| c.version);
            if version < self.oracle.newest() {
                let newest = self.oracle.newest();
                faults.push(format!("daemon {d} has version {version} of {newest}").into());
            }
            if !view.is_current(self.fleet.now()) {
                faults.push(format!("daemon {d} is not current").into());
            }
        }
        faults.extend(self.starved());
        faults
    }

    /// Customers none of whose requests are admitted within 3 s although they send inside their rate.
    fn starved(&mut self) -> Vec<Box<str>> {
        let before = self.oracle.admitted();
        self.run(Duration::from_secs(3));
        let expected: f64 = self.callers.iter().filter(|c| !c.keys.is_empty()).map(|c| c.rate).sum();
        let got = (self.oracle.admitted() - before) as f64;
        let least = expected * NORMAL_USE * 3.0 * 0.5;
        if got < least {
            vec![format!("{got} requests admitted in 3 s, least {least}").into()]
        } else {
            Vec::new()
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now() + time;
        while self.now() < end {
            self.announce();
            self.send_requests();
            self.fleet.run_for(STEP);
            self.take_answers();
            self.watch_stopping();
            self.look();
        }
    }

    fn now(&self) -> Instant {
        self.fleet.now()
    }

    fn server(&mut self, s: usize) -> &mut Server {
        let count = self.servers.len();
        &mut self.servers[s % count]
    }

    fn works(&self, d: Daemon) -> bool {
        self.fleet.kernel(d).is_some() && !self.fleet.is_paused(d)
    }

    fn crash(&mut self, d: Daemon) {
        self.fleet.crash(d);
        self.stopping.retain(|(s, _)| *s != d);
    }

    fn restart(&mut self, d: Daemon) {
        if self.fleet.kernel(d).is_none() {
            self.fleet.restart(d);
        }
    }

    fn stop(&mut self, d: Daemon, now: Instant) {
        if self.works(d) && self.stopping.iter().all(|(s, _)| *s != d) {
            self.fleet.stop(d);
            self.stopping.push((d, now));
        }
    }

    fn drain(&mut self, s: usize, drains: bool, now: Instant) {
        let server = self.server(s);
        server.draining = drains;
        server.next_announcement = now;
        let id = server.id.clone();
        self.oracle.server_leaves(&id, drains, now);
    }

    fn apply(&mut self, d: Daemon) {
        self.changes += 1;
        let ticket = self.fleet.call(d, "PUT", "/v1/config", &self.configuration());
        self.pending.push(Pending { daemon: d, ticket, what: Asked::Apply });
    }

    fn configuration(&self) -> String {
        use std::fmt::Write as _;
        let timeout = 1_000 + self.changes;
        let mut text = format!(
            "[fleet]\nstore_region = \"meseta\"\nshares = 64\n\
             [[service]]\nname = \"{SERVICE}\"\nfloor = {FLOOR}\n"
        );
        for c in &self.callers {
            let _ = write!(
                text,
                "[[customer]]\nname = \"{0}\"\nrate = {1:.1}\nburst = {2:.1}\n\
                 [[route]]\nname = \"{0}\"\nprefix = \"/{0}\"\nservice = \"{SERVICE}\"\n\
                 customer = \"{0}\"\ntimeout_ms = {timeout}\n",
                c.name, c.rate, c.burst
            );
        }
        text
    }

    fn give_key(&mut self, d: Daemon, c: usize) {
        self.key_names += 1;
        let customer = c % self.callers.len();
        let name = format!("key-{}", self.key_names);
        let body = json!({ "customer": self.callers[customer].name, "name": name }).to_string();
        let ticket = self.fleet.call(d, "POST", "/v1/keys", &body);
        self.pending.push(Pending { daemon: d, ticket, what: Asked::Give { customer, name: name.into() } });
    }

    fn withdraw_key(&mut self, d: Daemon, c: usize) {
        let count = self.callers.len();
        let caller = &mut self.callers[c % count];
        if caller.keys.len() < 2 {
            return;
        }
        let entry = caller.keys.remove(0);
        let (name, secret) = entry.split_once(' ').unwrap_or(("", &entry));
        caller.old_keys.push(entry.clone());
        let ticket = self.fleet.call(d, "DELETE", &format!("/v1/keys/{name}"), "");
        self.pending.push(Pending { daemon: d, ticket, what: Asked::Withdraw { secret: secret.into() } });
    }

    fn take_answers(&mut self) {
        let now = self.now();
        for pending in std::mem::take(&mut self.pending) {
            let Some(rep) = self.fleet.answer(pending.daemon, pending.ticket) else {
                self.pending.push(pending);
                continue;
            };
            if (200..300).contains(&rep.status) {
                let body = rep.body.clone();
                self.done(pending.what, &body, now);
            }
        }
    }

    fn done(&mut self, what: Asked, body: &Value, now: Instant) {
        if let Some(version) = body["version"].as_u64().filter(|_| !matches!(what, Asked::Withdraw { .. })) {
            self.oracle.accepted(version, now);
        }
        match what {
            Asked::Apply => {}
            Asked::Give { customer, name } => {
                let Some(secret) = body["secret"].as_str() else { return };
                let caller = &mut self.callers[customer];
                caller.keys.push(format!("{name} {secret}").into());
                self.oracle.key_given(secret, &caller.name);
            }
            Asked::Withdraw { secret } => self.oracle.key_withdrawn(&secret, now),
        }
    }

    fn watch_stopping(&mut self) {
        let now = self.now();
        let finished: Vec<Daemon> =
            self.stopping.iter().map(|(d, _)| *d).filter(|d| self.fleet.is_finished(*d)).collect();
        for d in finished {
            self.crash(d);
        }
        let late: Vec<Daemon> =
            self.stopping.iter().filter(|(_, at)| now >= *at + SHUTDOWN_LIMIT).map(|(d, _)| *d).collect();
        for d in late {
            if self.works(d) {
                self.oracle.shutdown_hangs(d);
            }
            self.crash(d);
        }
    }

    fn announce(&mut self) {
        let now = self.now();
        for s in 0..self.servers.len() {
            if now < self.servers[s].next_announcement {
                continue;
            }
            self.servers[s].next_announcement = now + ANNOUNCE_INTERVAL;
            let daemons = self.fleet.daemon_count();
            let home = self.servers[s].home;
            let Some(d) = (0..daemons).map(|n| (home + n) % daemons).find(|d| self.works(*d)) else {
                continue;
            };
            let server = &self.servers[s];
            let body = json!({
                "service": SERVICE,
                "addr": format!("127.2.0.{s}:80"),
                "place": { "region": server.place.region, "data_centre": server.place.data_centre },
                "slots": 6,
                "connections": 400,
                "load": 0.3,
                "state": if server.draining { "draining" } else { "ready" },
            });
            let path = format!("/v1/servers/{}", server.id);
            self.fleet.call(d, "PUT", &path, &body.to_string());
        }
    }

    fn send_requests(&mut self) {
        for c in 0..self.callers.len() {
            let caller = &mut self.callers[c];
            let share = if caller.greedy { GREEDY_USE } else { NORMAL_USE };
            caller.due += caller.rate * share * STEP.as_secs_f64();
            while self.callers[c].due >= 1.0 {
                self.callers[c].due -= 1.0;
                let d = self.rng.random_range(0..self.fleet.daemon_count());
                if self.works(d) {
                    self.send_request(d, c);
                }
            }
        }
    }

    fn send_request(&mut self, d: Daemon, c: usize) {
        let Some(secret) = self.draw_key(c) else { return };
        let now = self.now();
        let view = Arc::clone(self.fleet.view(d));
        if view.stopping {
            return;
        }
        // Some callers use their key on another customer's route.
        let route = if self.rng.random_bool(0.05) { self.rng.random_range(0..self.callers.len()) } else { c };
        let parts = request(&self.callers[route].name, &secret);
        let Ok(admitted) = edge::admit::admit_request(&view, &self.hasher, &parts, now) else { return };
        let Some(customer) = admitted.customer else { return };
        let Some(pool) = self.fleet.kernel(d).and_then(|k| k.pools().get(&customer)) else { return };
        let cost = admitted.route.cost;
        if pool.take(cost, now) != TakeResult::Taken {
            self.fleet.report(d, Report::Demand { customer, tokens: cost });
            return;
        }
        self.oracle.request(&secret, &customer, cost, now);
        self.forward(d, &view, &parts, &secret, &customer);
    }

    fn draw_key(&mut self, c: usize) -> Option<Box<str>> {
        let caller = &self.callers[c];
        let old = self.rng.random_bool(0.1) && !caller.old_keys.is_empty();
        let keys = if old { &caller.old_keys } else { &caller.keys };
        if keys.is_empty() {
            return None;
        }
        let entry = &keys[self.rng.random_range(0..keys.len())];
        entry.split_once(' ').map(|(_, secret)| secret.into())
    }

    fn forward(&mut self, d: Daemon, view: &View, parts: &Parts, secret: &str, customer: &str) {
        let mut outgoing = parts.clone();
        if edge::sanitize::sanitize_request(&mut outgoing, Some(secret.as_bytes())).is_err() {
            return;
        }
        self.oracle.forwarded(secret, &format!("{outgoing:?}"));
        let now = self.now();
        let Some(service) = view.services.get(SERVICE) else { return };
        let want =
            route::Criteria { place: &view.place, tried: &[], repeatable: true, cross_region: true, now };
        let Some(server) = route::choose_server(&service.servers, &want, &mut self.rng) else { return };
        self.oracle.work(d, &server.info.id, now);
        let sick = self.servers.iter().any(|s| s.id == server.info.id && s.sick);
        let outcome = Outcome {
            server: Arc::clone(server),
            customer: Some(customer.into()),
            kind: if sick { OutcomeKind::ServerError } else { OutcomeKind::Ok },
            first_byte: ANSWER_TIME,
            total: ANSWER_TIME,
            bytes: 100,
            at: now,
        };
        self.fleet.report(d, Report::Outcome(outcome));
    }

    fn look(&mut self) {
        let now = self.now();
        for d in 0..self.fleet.daemon_count() {
            if !self.works(d) {
                continue;
            }
            let view = self.fleet.view(d);
            let version = view.conf.as_ref().map_or(0, |c| c.version);
            let life = self.fleet.local_daemon(d).incarnation;
            self.oracle.view(d, life, version, view.is_current(now), now);
            if let Some(service) = view.services.get(SERVICE) {
                let mut offer = Offer { all: service.servers.len(), ..Offer::default() };
                for server in service.servers.iter().filter(|s| s.info.state == ServerState::Ready) {
                    let count = if server.weight > 0.0 { &mut offer.healthy } else { &mut offer.ejected };
                    *count += 1;
                }
                self.oracle.offered(d, offer, FLOOR);
            }
        }
    }
}
