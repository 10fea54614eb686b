//! The simulated world: daemons, backend servers, callers and operators under virtual time.
//!
//! The world draws its random decisions from one seeded generator; a change of the order in which it draws
//! them changes what the regression tests do.

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

use crate::actors::{Customer, Server, request_head};
use crate::op::{DaemonIndex, Op};
use crate::oracle::{Oracle, ServerCounts};

/// Region and data centre of each daemon.
const DAEMON_PLACES: [(&str, &str); 5] = [
    ("meseta", "paraiso"),
    ("guanacaste", "canas"),
    ("meseta", "barva"),
    ("guanacaste", "santa-cruz"),
    ("meseta", "paraiso"),
];
/// Region that [`Op::CutRegion`] disconnects from the other region and from the store.
const CUT_REGION: &str = "guanacaste";
/// Virtual time in which the world advances at once.
const STEP: Duration = Duration::from_millis(20);
/// Interval between a server's announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest duration of a graceful shutdown.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(30);
/// Requests that a customer sends, as a share of its rate, unless it exceeds its rate.
const NORMAL_LOAD: f64 = 0.6;
/// Requests that a customer sends, as a multiple of its rate, while it exceeds its rate.
const EXCESSIVE_LOAD: f64 = 5.0;
/// Share of the service's servers that must not be ejected.
const FLOOR: f64 = 0.6;
/// Name of the only service, to which all servers belong.
const SERVICE: &str = "sacristia";
/// Latency of every answer of a server.
const ANSWER_LATENCY: Duration = Duration::from_millis(5);

/// A call of the operator API that has not been answered.
#[derive(Debug)]
struct PendingCall {
    daemon: DaemonIndex,
    ticket: u64,
    action: OperatorAction,
}

/// Action of an operator.
#[derive(Debug)]
enum OperatorAction {
    ApplyConfig,
    GiveKey { customer: usize, name: Box<str> },
    WithdrawKey { secret: Box<str> },
}

/// Daemons with the customers, backend servers and operators around them.
#[derive(Debug)]
pub struct World {
    /// Records what the world observes and checks the invariants.
    pub oracle: Oracle,
    fleet: Fleet,
    rng: SmallRng,
    hasher: KeyHasher,
    customers: Vec<Customer>,
    servers: Vec<Server>,
    pending_calls: Vec<PendingCall>,
    /// Daemons that were told to stop and have not finished, with the time at which they were told.
    stopping: Vec<(DaemonIndex, Instant)>,
    /// Number of configurations applied; makes each differ from the one before.
    config_count: u32,
    /// Number of keys requested; makes the name of each unique.
    key_count: u32,
}

impl World {
    /// Starts `daemons` daemons (at most 5), six servers and three customers with a key each.
    ///
    /// # Panics
    /// Panics if the fleet does not accept the first configuration.
    pub fn new(seed: u64, daemons: usize) -> Self {
        let fleet = Fleet::new(seed, &DAEMON_PLACES[..daemons]);
        let now = fleet.now();
        let customer = |(name, rate, burst): (&str, f64, f64)| Customer {
            name: name.into(),
            rate,
            burst,
            exceeds_rate: false,
            keys: Vec::new(),
            withdrawn_keys: Vec::new(),
            due_requests: 0.0,
        };
        let server = |n: usize| Server {
            id: format!("{SERVICE}-{n}").into(),
            place: Place::new(DAEMON_PLACES[n % daemons].0, DAEMON_PLACES[n % daemons].1),
            draining: false,
            failing: false,
            home_daemon: n % daemons,
            next_announcement: now,
        };
        let mut world = Self {
            oracle: Oracle::default(),
            fleet,
            rng: SmallRng::seed_from_u64(seed),
            hasher: KeyHasher::new(b""),
            customers: [("orosi", 10.0, 5.0), ("cartago", 200.0, 100.0), ("tejar", 40.0, 20.0)]
                .map(customer)
                .into(),
            servers: (0..6).map(server).collect(),
            pending_calls: Vec::new(),
            stopping: Vec::new(),
            config_count: 0,
            key_count: 0,
        };
        world.set_up();
        world
    }

    /// Applies a first configuration and gives each customer a key.
    fn set_up(&mut self) {
        let now = self.now();
        for customer in &self.customers {
            self.oracle.record_customer(&customer.name, customer.rate, customer.burst, now);
        }
        self.run_for(Duration::from_secs(2));
        self.perform(&Op::ApplyConfig(0));
        self.run_for(Duration::from_secs(3));
        assert!(self.oracle.newest_accepted() > 0, "the first configuration must be accepted");
        for customer in 0..self.customers.len() {
            self.perform(&Op::GiveKey(0, customer));
            self.run_for(Duration::from_secs(1));
        }
    }

    /// Performs one operation.
    pub fn perform(&mut self, op: &Op) {
        let now = self.now();
        let daemons = self.fleet.daemon_count();
        match *op {
            Op::Run(time) => self.run_for(time),
            Op::ApplyConfig(d) => self.apply_config(d % daemons),
            Op::GiveKey(d, c) => self.give_key(d % daemons, c),
            Op::WithdrawKey(d, c) => self.withdraw_key(d % daemons, c),
            Op::Drain(s) => self.set_draining(s, true, now),
            Op::EndDrain(s) => self.set_draining(s, false, now),
            Op::FailServer(s) => self.server_mut(s).failing = true,
            Op::RecoverServer(s) => self.server_mut(s).failing = false,
            Op::CutLinkOneWay(a, b) => self.fleet.cut_link(a % daemons, b % daemons, false),
            Op::CutLink(a, b) => self.fleet.cut_link(a % daemons, b % daemons, true),
            Op::CutRegion => self.fleet.cut_region(CUT_REGION),
            Op::HealLinks => self.fleet.heal(),
            Op::Pause(d) => self.fleet.pause(d % daemons),
            Op::Resume(d) => self.fleet.resume(d % daemons),
            Op::Crash(d) => self.crash(d % daemons),
            Op::Stop(d) => self.stop(d % daemons, now),
            Op::Restart(d) => self.restart(d % daemons),
            Op::StoreDown => self.fleet.store.down = true,
            Op::StoreLosesAnswers => self.fleet.store.lost_answers = 0.5,
            Op::StoreRecovers => {
                self.fleet.store.down = false;
                self.fleet.store.lost_answers = 0.0;
            }
            Op::ExceedRate(c, exceeds_rate) => {
                let count = self.customers.len();
                self.customers[c % count].exceeds_rate = exceeds_rate;
            }
        }
    }

    /// Ends every fault, gives the fleet time to recover, and returns what does not work afterwards.
    pub fn recover(&mut self) -> Vec<Box<str>> {
        self.perform(&Op::HealLinks);
        self.perform(&Op::StoreRecovers);
        for d in 0..self.fleet.daemon_count() {
            self.fleet.resume(d);
        }
        while !self.stopping.is_empty() {
            self.run_for(STEP);
        }
        for d in 0..self.fleet.daemon_count() {
            self.restart(d);
        }
        for customer in &mut self.customers {
            customer.exceeds_rate = false;
        }
        self.run_for(Duration::from_secs(15));
        let mut problems = Vec::new();
        for d in 0..self.fleet.daemon_count() {
            let view = self.fleet.view(d);
            let version = view.conf.as_ref().map_or(0, |c| c.version);
            if version < self.oracle.newest_accepted() {
                let newest_accepted = self.oracle.newest_accepted();
                problems.push(format!("daemon {d} has version {version} of {newest_accepted}").into());
            }
            if !view.is_current(self.fleet.now()) {
                problems.push(format!("the view of daemon {d} is not current").into());
            }
        }
        problems.extend(self.admission_problems());
        problems
    }

    /// A problem if fewer requests are admitted within 3 s than half of those that all customers send within
    /// their rates.
    fn admission_problems(&mut self) -> Vec<Box<str>> {
        let before = self.oracle.admitted_requests();
        self.run_for(Duration::from_secs(3));
        let total_rate: f64 = self.customers.iter().filter(|c| !c.keys.is_empty()).map(|c| c.rate).sum();
        let admitted = (self.oracle.admitted_requests() - before) as f64;
        let least = total_rate * NORMAL_LOAD * 3.0 * 0.5;
        if admitted < least {
            vec![format!("{admitted} requests admitted in 3 s, expected at least {least}").into()]
        } else {
            Vec::new()
        }
    }

    /// Advances virtual time in steps, in each of which servers announce themselves, callers send requests
    /// and the invariants are checked.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now() + time;
        while self.now() < end {
            self.announce_servers();
            self.send_requests();
            self.fleet.run_for(STEP);
            self.handle_answers();
            self.check_shutdowns();
            self.check_views();
        }
    }

    fn now(&self) -> Instant {
        self.fleet.now()
    }

    fn server_mut(&mut self, s: usize) -> &mut Server {
        let count = self.servers.len();
        &mut self.servers[s % count]
    }

    /// Whether a daemon is neither crashed nor paused.
    fn is_running(&self, d: DaemonIndex) -> bool {
        self.fleet.kernel(d).is_some() && !self.fleet.is_paused(d)
    }

    fn crash(&mut self, d: DaemonIndex) {
        self.fleet.crash(d);
        self.stopping.retain(|(s, _)| *s != d);
    }

    fn restart(&mut self, d: DaemonIndex) {
        if self.fleet.kernel(d).is_none() {
            self.fleet.restart(d);
        }
    }

    fn stop(&mut self, d: DaemonIndex, now: Instant) {
        if self.is_running(d) && self.stopping.iter().all(|(s, _)| *s != d) {
            self.fleet.stop(d);
            self.stopping.push((d, now));
        }
    }

    fn set_draining(&mut self, s: usize, is_draining: bool, now: Instant) {
        let server = self.server_mut(s);
        server.draining = is_draining;
        server.next_announcement = now;
        let id = server.id.clone();
        self.oracle.record_draining(&id, is_draining, now);
    }

    fn apply_config(&mut self, d: DaemonIndex) {
        self.config_count += 1;
        let ticket = self.fleet.call(d, "PUT", "/v1/config", &self.config_toml());
        self.pending_calls.push(PendingCall { daemon: d, ticket, action: OperatorAction::ApplyConfig });
    }

    fn config_toml(&self) -> String {
        use std::fmt::Write as _;
        let timeout_ms = 1_000 + self.config_count;
        let mut text = format!(
            "[fleet]\nstore_region = \"meseta\"\nshares = 64\n\
             [[service]]\nname = \"{SERVICE}\"\nfloor = {FLOOR}\n"
        );
        for c in &self.customers {
            let _ = write!(
                text,
                "[[customer]]\nname = \"{0}\"\nrate = {1:.1}\nburst = {2:.1}\n\
                 [[route]]\nname = \"{0}\"\nprefix = \"/{0}\"\nservice = \"{SERVICE}\"\n\
                 customer = \"{0}\"\ntimeout_ms = {timeout_ms}\n",
                c.name, c.rate, c.burst
            );
        }
        text
    }

    fn give_key(&mut self, d: DaemonIndex, c: usize) {
        self.key_count += 1;
        let customer = c % self.customers.len();
        let name = format!("key-{}", self.key_count);
        let body = json!({ "customer": self.customers[customer].name, "name": name }).to_string();
        let ticket = self.fleet.call(d, "POST", "/v1/keys", &body);
        self.pending_calls.push(PendingCall {
            daemon: d,
            ticket,
            action: OperatorAction::GiveKey { customer, name: name.into() },
        });
    }

    fn withdraw_key(&mut self, d: DaemonIndex, c: usize) {
        let count = self.customers.len();
        let customer = &mut self.customers[c % count];
        if customer.keys.len() < 2 {
            return;
        }
        let entry = customer.keys.remove(0);
        let (name, secret) = entry.split_once(' ').unwrap_or(("", &entry));
        customer.withdrawn_keys.push(entry.clone());
        let ticket = self.fleet.call(d, "DELETE", &format!("/v1/keys/{name}"), "");
        self.pending_calls.push(PendingCall {
            daemon: d,
            ticket,
            action: OperatorAction::WithdrawKey { secret: secret.into() },
        });
    }

    fn handle_answers(&mut self) {
        let now = self.now();
        for call in std::mem::take(&mut self.pending_calls) {
            let Some(rep) = self.fleet.answer(call.daemon, call.ticket) else {
                self.pending_calls.push(call);
                continue;
            };
            if (200..300).contains(&rep.status) {
                let body = rep.body.clone();
                self.handle_success(call.action, &body, now);
            }
        }
    }

    /// Records what a daemon has acknowledged.
    fn handle_success(&mut self, action: OperatorAction, body: &Value, now: Instant) {
        if let Some(version) =
            body["version"].as_u64().filter(|_| !matches!(action, OperatorAction::WithdrawKey { .. }))
        {
            self.oracle.record_accepted(version, now);
        }
        match action {
            OperatorAction::ApplyConfig => {}
            OperatorAction::GiveKey { customer, name } => {
                let Some(secret) = body["secret"].as_str() else { return };
                let customer = &mut self.customers[customer];
                customer.keys.push(format!("{name} {secret}").into());
                self.oracle.record_key_given(secret, &customer.name);
            }
            OperatorAction::WithdrawKey { secret } => self.oracle.record_key_withdrawn(&secret, now),
        }
    }

    /// Ends stopping daemons that have finished, or that have not finished in time.
    fn check_shutdowns(&mut self) {
        let now = self.now();
        let finished: Vec<DaemonIndex> =
            self.stopping.iter().map(|(d, _)| *d).filter(|d| self.fleet.is_finished(*d)).collect();
        for d in finished {
            self.crash(d);
        }
        let late: Vec<DaemonIndex> =
            self.stopping.iter().filter(|(_, at)| now >= *at + SHUTDOWN_LIMIT).map(|(d, _)| *d).collect();
        for d in late {
            if self.is_running(d) {
                self.oracle.report_hung_shutdown(d);
            }
            self.crash(d);
        }
    }

    fn announce_servers(&mut self) {
        let now = self.now();
        for s in 0..self.servers.len() {
            if now < self.servers[s].next_announcement {
                continue;
            }
            self.servers[s].next_announcement = now + ANNOUNCE_INTERVAL;
            let daemons = self.fleet.daemon_count();
            let home_daemon = self.servers[s].home_daemon;
            let Some(d) = (0..daemons).map(|n| (home_daemon + n) % daemons).find(|d| self.is_running(*d))
            else {
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
        for c in 0..self.customers.len() {
            let customer = &mut self.customers[c];
            let load = if customer.exceeds_rate { EXCESSIVE_LOAD } else { NORMAL_LOAD };
            customer.due_requests += customer.rate * load * STEP.as_secs_f64();
            while self.customers[c].due_requests >= 1.0 {
                self.customers[c].due_requests -= 1.0;
                let d = self.rng.random_range(0..self.fleet.daemon_count());
                if self.is_running(d) {
                    self.send_request(d, c);
                }
            }
        }
    }

    fn send_request(&mut self, d: DaemonIndex, c: usize) {
        let Some(secret) = self.draw_secret(c) else { return };
        let now = self.now();
        let view = Arc::clone(self.fleet.view(d));
        if view.stopping {
            return;
        }
        // A few requests are for another customer's route.
        let route_owner =
            if self.rng.random_bool(0.05) { self.rng.random_range(0..self.customers.len()) } else { c };
        let parts = request_head(&self.customers[route_owner].name, &secret);
        let Ok(admitted) = edge::admit::admit_request(&view, &self.hasher, &parts, now) else { return };
        let Some(customer) = admitted.customer else { return };
        let Some(pool) = self.fleet.kernel(d).and_then(|k| k.pools().get(&customer)) else { return };
        let cost = admitted.route.cost;
        if pool.take(cost, now) != TakeResult::Taken {
            self.fleet.report(d, Report::Demand { customer, tokens: cost });
            return;
        }
        self.oracle.record_admission(&secret, &customer, cost, now);
        self.forward_request(d, &view, &parts, &secret, &customer);
    }

    /// Secret of one of the customer's keys; now and then of one that is withdrawn.
    fn draw_secret(&mut self, c: usize) -> Option<Box<str>> {
        let customer = &self.customers[c];
        let use_withdrawn = self.rng.random_bool(0.1) && !customer.withdrawn_keys.is_empty();
        let keys = if use_withdrawn { &customer.withdrawn_keys } else { &customer.keys };
        if keys.is_empty() {
            return None;
        }
        let entry = &keys[self.rng.random_range(0..keys.len())];
        entry.split_once(' ').map(|(_, secret)| secret.into())
    }

    fn forward_request(&mut self, d: DaemonIndex, view: &View, parts: &Parts, secret: &str, customer: &str) {
        let mut outgoing = parts.clone();
        if edge::sanitize::sanitize_request(&mut outgoing, Some(secret.as_bytes())).is_err() {
            return;
        }
        self.oracle.check_forwarded_head(secret, &format!("{outgoing:?}"));
        let now = self.now();
        let Some(service) = view.services.get(SERVICE) else { return };
        let criteria =
            route::Criteria { place: &view.place, tried: &[], repeatable: true, cross_region: true, now };
        let Some(server) = route::choose_server(&service.servers, &criteria, &mut self.rng) else { return };
        self.oracle.check_server_choice(d, &server.info.id, now);
        let is_failing = self.servers.iter().any(|s| s.id == server.info.id && s.failing);
        let outcome = Outcome {
            server: Arc::clone(server),
            customer: Some(customer.into()),
            kind: if is_failing { OutcomeKind::ServerError } else { OutcomeKind::Ok },
            first_byte: ANSWER_LATENCY,
            total: ANSWER_LATENCY,
            bytes: 100,
            at: now,
        };
        self.fleet.report(d, Report::Outcome(outcome));
    }

    /// Checks the published views of the running daemons.
    fn check_views(&mut self) {
        let now = self.now();
        for d in 0..self.fleet.daemon_count() {
            if !self.is_running(d) {
                continue;
            }
            let view = self.fleet.view(d);
            let version = view.conf.as_ref().map_or(0, |c| c.version);
            let incarnation = self.fleet.local_daemon(d).incarnation;
            self.oracle.check_version(d, incarnation, version, view.is_current(now), now);
            if let Some(service) = view.services.get(SERVICE) {
                let mut counts = ServerCounts { announced: service.servers.len(), ..ServerCounts::default() };
                for server in service.servers.iter().filter(|s| s.info.state == ServerState::Ready) {
                    let count = if server.weight > 0.0 { &mut counts.healthy } else { &mut counts.ejected };
                    *count += 1;
                }
                self.oracle.check_floor(d, counts, FLOOR);
            }
        }
    }
}
