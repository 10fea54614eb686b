//! The health area of the kernel: collects outcomes, exchanges digests and lists, writes verdicts.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use base::{DaemonId, ServerId, ServiceId, event, rendezvous};
use kernel::{ApiRep, ApiReq, Area, AreaEntry, Cx, Event, Report, Setup, Ticket, Verdict};
use rand::Rng;
use serde_json::{Value, json};
use wire::Msg;
use wire::health::{EjectionEntry, Evidence, HealthMsg};
use wire::server::ServerState;

use crate::explain::{Decision, Decisions};
use crate::floor::Capacity;
use crate::judge::{Change, Judge, Knobs, PERIOD};
use crate::lists::{Lists, MAX_TTL, WORKING_WEIGHT, apply_floor};
use crate::metrics::Metrics;
use crate::window::Window;

kernel::inventory::submit! {
    AreaEntry { name: "health", order: 60, build: |setup| Box::new(Health::new(setup)) }
}

/// Wait of a new coordinator: lists of an earlier one and announcements across a new cut lapse in it.
pub const TAKEOVER: Duration = Duration::from_secs(8);
/// Interval of digests while nothing is suspected.
const CALM_INTERVAL: Duration = Duration::from_secs(10);
/// Time of frequent digests after a suspicion.
const ALERT: Duration = Duration::from_secs(3);
/// Local evidence from which a server is suspected.
const SUSPICION: f64 = 1.5;
/// Local evidence from which this daemon avoids a server.
const AVOID_SCORE: f64 = 6.0;
/// Weight of an avoided server; never zero, since this is one daemon's word only.
const AVOIDED_WEIGHT: f32 = 0.1;
/// Weight of a suspect of another data centre while an opinion on it is wanted.
const OPINION_WEIGHT: f32 = 0.1;
/// Observers that one request for opinions goes to.
const MAX_WATCHED: usize = 32;
/// Time for which avoidance holds without new evidence.
const AVOID_HOLD: Duration = Duration::from_secs(2);
/// Interval in which a list that did not change is sent again.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// When digests of a service are due.
#[derive(Debug)]
struct Digests {
    next: Instant,
    alert_until: Instant,
}

/// A service that this daemon coordinates.
#[derive(Debug)]
struct Coordinated {
    judge: Judge,
    list: Vec<EjectionEntry>,
    next_list: Instant,
    next_watch: Instant,
}

/// Health of one daemon.
#[derive(Debug)]
pub struct Health {
    knobs: Knobs,
    windows: HashMap<ServiceId, Window>,
    digests: HashMap<ServiceId, Digests>,
    coordinated: BTreeMap<ServiceId, Coordinated>,
    /// Coordinators by service; emptied when the members change.
    owners: HashMap<ServiceId, DaemonId>,
    lists: Lists,
    seq: u64,
    next_step: Option<Instant>,
    starved: bool,
    avoided: HashMap<ServerId, Instant>,
    /// Suspects of other data centres on which the coordinator wants this daemon's opinion.
    wanted: HashMap<ServerId, Instant>,
    decisions: Decisions,
    metrics: Metrics,
}

impl Health {
    /// Makes the area with the default knobs.
    pub fn new(setup: &Setup) -> Self {
        Self::with_knobs(setup, Knobs::default())
    }

    /// Makes the area with other knobs.
    pub fn with_knobs(setup: &Setup, knobs: Knobs) -> Self {
        Self {
            knobs,
            windows: HashMap::new(),
            digests: HashMap::new(),
            coordinated: BTreeMap::new(),
            owners: HashMap::new(),
            lists: Lists::default(),
            seq: 0,
            next_step: None,
            starved: false,
            avoided: HashMap::new(),
            wanted: HashMap::new(),
            decisions: Decisions::default(),
            metrics: Metrics::new(&setup.registry),
        }
    }

    fn owner(&mut self, cx: &Cx<'_>, service: &ServiceId) -> DaemonId {
        let me = cx.board.me.id;
        let find = || rendezvous::owner(service, cx.board.alive().into_iter()).unwrap_or(me);
        *self.owners.entry(service.clone()).or_insert_with(find)
    }

    fn step(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        for window in self.windows.values_mut() {
            window.retain(|id| cx.board.servers.contains_key(id));
            window.count_overdue(now);
            window.step();
        }
        self.doubt_self();
        self.send_digests(cx);
        self.coordinate(cx);
        self.lists.lapse(now);
        self.avoid(cx);
        self.write_verdicts(cx);
    }

    /// Doubts itself when most servers of most of several services look bad from here.
    fn doubt_self(&mut self) {
        let seen = self.windows.values().filter(|w| !w.is_empty()).count();
        let bad = self.windows.values().filter(|w| w.is_mostly_bad()).count();
        let starved = bad >= 2 && bad * 2 > seen;
        if starved && !self.starved {
            self.metrics.count("starved");
        }
        self.starved = starved;
    }

    fn send_digests(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let mut due = Vec::new();
        for (service, window) in &mut self.windows {
            let start = Digests { next: now, alert_until: now };
            let digests = self.digests.entry(service.clone()).or_insert(start);
            if window.scores().any(|(_, score)| score > SUSPICION) {
                digests.alert_until = now + ALERT;
            }
            if now < digests.next && now >= digests.alert_until {
                continue;
            }
            digests.next = now + CALM_INTERVAL;
            let list = window.take_digest();
            if !list.is_empty() {
                due.push((service.clone(), list));
            }
        }
        for (service, list) in due {
            let to = self.owner(cx, &service);
            if to == cx.board.me.id {
                self.hear(cx, to, &service, self.starved, &list);
            } else {
                cx.send(to, Msg::Health(HealthMsg::Evidence { service, doubts_itself: self.starved, list }));
            }
        }
    }

    fn hear(
        &mut self,
        cx: &mut Cx<'_>,
        from: DaemonId,
        service: &ServiceId,
        starved: bool,
        list: &[Evidence],
    ) {
        let me = &cx.board.me;
        let place =
            if from == me.id { Some(&me.place) } else { cx.board.members.get(&from).map(|m| &m.place) };
        let Some(centre) = place.map(|p| p.data_centre.clone()) else {
            return self.metrics.count("evidence-unknown-sender");
        };
        if self.owner(cx, service) != cx.board.me.id {
            return self.metrics.count("evidence-misdirected");
        }
        self.take_over(cx, service).judge.hear(cx.now, from, &centre, starved, list);
    }

    fn take_over(&mut self, cx: &Cx<'_>, service: &ServiceId) -> &mut Coordinated {
        let now = cx.now;
        let (knobs, lists, me) = (self.knobs, &self.lists, cx.board.me.id);
        self.coordinated.entry(service.clone()).or_insert_with(|| {
            let mut judge = Judge::new(knobs, now + TAKEOVER);
            let mut inherited = lists.union(service, now, Some(me));
            inherited.retain(|_, e| e.weight < WORKING_WEIGHT);
            judge.adopt(now, &inherited);
            Coordinated { judge, list: Vec::new(), next_list: now, next_watch: now }
        })
    }

    fn coordinate(&mut self, cx: &mut Cx<'_>) {
        let me = cx.board.me.id;
        let listed: Vec<ServiceId> = self.lists.services().cloned().collect();
        for service in listed {
            if self.owner(cx, &service) == me {
                self.take_over(cx, &service);
            }
        }
        let services: Vec<ServiceId> = self.coordinated.keys().cloned().collect();
        for service in services {
            if self.owner(cx, &service) != me {
                self.coordinated.remove(&service);
                continue;
            }
            let (budget, others) = self.room(cx, &service);
            let Some(own) = self.coordinated.get_mut(&service) else { continue };
            own.judge.retain(|id| cx.board.servers.contains_key(id));
            let changes = own.judge.step(cx.now, budget, &others, |id| is_ready(cx, id));
            for change in changes {
                self.tell(cx, &service, &change);
            }
            self.send_list(cx, &service);
            self.send_watch(cx, &service);
        }
    }

    /// Servers that may be out, and those that other coordinators have out.
    fn room(&self, cx: &Cx<'_>, service: &ServiceId) -> (usize, Vec<ServerId>) {
        let capacity = Capacity::count(cx.board.servers.values(), service, cx.now);
        let others = self.lists.union(service, cx.now, Some(cx.board.me.id));
        let out = others.into_iter().filter(|(_, e)| e.weight < WORKING_WEIGHT).map(|(id, _)| id).collect();
        (capacity.budget(floor(cx, service)), out)
    }

    fn send_list(&mut self, cx: &mut Cx<'_>, service: &ServiceId) {
        let Some(own) = self.coordinated.get_mut(service) else { return };
        let list = own.judge.list();
        let changed = list != own.list;
        if !changed && (list.is_empty() || cx.now < own.next_list) {
            return;
        }
        own.list.clone_from(&list);
        own.next_list = cx.now + LIST_INTERVAL;
        self.seq += 1;
        let (me, seq) = (&cx.board.me, self.seq);
        self.lists.take(cx.now, me.id, service, (me.incarnation, seq), &list);
        let (coordinator, incarnation) = (me.id, me.incarnation);
        let peers: Vec<_> = cx.board.members.values().filter(|m| m.is_alive()).map(|m| m.id).collect();
        for to in peers {
            let (service, list) = (service.clone(), list.clone());
            let msg = HealthMsg::Ejections { service, coordinator, incarnation, seq, list };
            cx.send(to, Msg::Health(msg));
        }
    }

    /// Tells two coordinators of each other's lists when both are heard here: they may be cut apart.
    fn pass_on(&mut self, cx: &mut Cx<'_>, service: &ServiceId, heard: DaemonId) {
        let me = cx.board.me.id;
        let lists = self.lists.messages(service, cx.now);
        let others: Vec<_> = lists.iter().filter(|(from, _)| *from != heard && *from != me).collect();
        for (other, list) in others {
            cx.send(heard, Msg::Health(list.clone()));
            for (_, list) in lists.iter().filter(|(from, _)| *from == heard) {
                cx.send(*other, Msg::Health(list.clone()));
            }
        }
    }

    fn send_watch(&mut self, cx: &mut Cx<'_>, service: &ServiceId) {
        let Some(own) = self.coordinated.get_mut(service) else { return };
        let suspects = own.judge.suspects();
        if cx.now < own.next_watch || (suspects.is_empty() && !own.judge.is_returning()) {
            return;
        }
        own.next_watch = cx.now + ALERT / 2;
        let me = cx.board.me.id;
        let mut observers: Vec<_> = own.judge.observers().copied().filter(|o| *o != me).collect();
        observers.sort_unstable();
        let skip = cx.rng.random_range(0..observers.len().max(1));
        for to in observers.iter().cycle().skip(skip).take(observers.len().min(MAX_WATCHED)) {
            let msg = HealthMsg::Watch { service: service.clone(), suspects: suspects.clone() };
            cx.send(*to, Msg::Health(msg));
        }
        self.watch(cx, service, &suspects);
    }

    fn watch(&mut self, cx: &Cx<'_>, service: &ServiceId, suspects: &[ServerId]) {
        let until = cx.now + ALERT;
        let digests = self.digests.entry(service.clone());
        digests.or_insert(Digests { next: cx.now, alert_until: until }).alert_until = until;
        let place = &cx.board.me.place;
        for id in suspects {
            let server = cx.board.servers.get(id).map(|e| &e.info.place);
            if server.is_some_and(|p| p.region == place.region && p.data_centre != place.data_centre) {
                self.wanted.insert(id.clone(), until);
            }
        }
    }

    fn tell(&mut self, cx: &Cx<'_>, service: &ServiceId, change: &Change) {
        let (id, what, score) = match change {
            Change::Ejected(id, score) => (id, "ejected", *score),
            Change::Trial(id) => (id, "trial", 0.0),
            Change::Returned(id) => (id, "returned", 0.0),
            Change::Held(id, score) => (id, "held-by-floor", *score),
            Change::Path(id, score) => (id, "path", *score),
        };
        match change {
            Change::Ejected(..) => {
                event!(Warn, ServerEjected, "server={id} service={service} score={score:.1}");
            }
            Change::Trial(..) => event!(Info, ServerTrial, "server={id} service={service}"),
            Change::Returned(..) => event!(Info, ServerReturned, "server={id} service={service}"),
            Change::Held(..) => event!(Warn, FloorReached, "server={id} service={service} score={score:.1}"),
            Change::Path(..) => {}
        }
        self.remember(cx, id, what, score);
    }

    fn remember(&mut self, cx: &Cx<'_>, id: &ServerId, what: &'static str, score: f64) {
        self.metrics.count(what);
        self.decisions.push(Decision { wall_ms: cx.wall_ms, server: id.clone(), what, score });
    }

    /// Renews local avoidance by local evidence; a daemon that doubts itself avoids nothing.
    fn avoid(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        self.avoided.retain(|_, until| *until > now);
        if self.starved {
            return;
        }
        let scores = self.windows.values().flat_map(Window::scores);
        let bad: Vec<_> = scores.filter(|(_, s)| *s >= AVOID_SCORE).map(|(id, s)| (id.clone(), s)).collect();
        for (id, score) in bad {
            if self.avoided.insert(id.clone(), now + AVOID_HOLD).is_none() {
                event!(Warn, ServerAvoided, "server={id} score={score:.1}");
                self.remember(cx, &id, "avoided", score);
            }
        }
    }

    fn write_verdicts(&mut self, cx: &mut Cx<'_>) {
        let mut verdicts: HashMap<ServerId, Verdict> = HashMap::new();
        self.wanted.retain(|_, until| *until > cx.now);
        for (id, until) in &self.wanted {
            verdicts.insert(id.clone(), Verdict { weight: OPINION_WEIGHT, trial: true, expires_at: *until });
        }
        for (id, until) in &self.avoided {
            let verdict = Verdict { weight: AVOIDED_WEIGHT, trial: false, expires_at: *until };
            verdicts.insert(id.clone(), verdict);
        }
        for service in self.lists.services() {
            let mut union = self.lists.union(service, cx.now, None);
            let budget =
                Capacity::count(cx.board.servers.values(), service, cx.now).budget(floor(cx, service));
            apply_floor(&mut union, budget, |id| is_ready(cx, id));
            for (id, entry) in union {
                let trial = entry.weight < WORKING_WEIGHT;
                let listed = Verdict { weight: entry.weight, trial, expires_at: entry.lapses };
                let verdict = verdicts.entry(id).or_insert(listed);
                if listed.weight <= verdict.weight {
                    *verdict = listed;
                }
            }
        }
        let same = |(id, v): (&ServerId, &Verdict)| {
            cx.board.verdicts.get(id).is_some_and(|o| (o.weight, o.trial) == (v.weight, v.trial))
        };
        let changed = verdicts.len() != cx.board.verdicts.len() || !verdicts.iter().all(same);
        cx.board.verdicts = verdicts;
        if changed {
            cx.publish_view();
        }
    }

    fn explain(&mut self, cx: &Cx<'_>, id: &str) -> ApiRep {
        let Some(entry) = cx.board.servers.get(id) else {
            let remedy = "check the name against GET /v1/servers";
            return ApiRep::error(404, "no-such-server", "no such server is announced here", remedy);
        };
        let service = entry.info.service.clone();
        let owner = self.owner(cx, &service);
        let capacity = Capacity::count(cx.board.servers.values(), &service, cx.now);
        let listed = self.lists.union(&service, cx.now, None);
        let judged = self.coordinated.get(&service).and_then(|c| c.judge.explain(id));
        let verdict = cx.board.verdicts.get(id);
        ApiRep::ok(json!({
            "server": id,
            "service": service,
            "state": entry.info.state,
            "weight": verdict.map_or(1.0, |v| v.weight),
            "trial": verdict.is_some_and(|v| v.trial),
            "local_score": self.windows.get(&service).map_or(0.0, |w| w.score(&entry.info.id)),
            "avoided_here": self.avoided.contains_key(id),
            "doubts_itself": self.starved,
            "coordinator": owner.to_string(),
            "judged": judged.map(|(bad, slow, stage)| json!({
                "bad_score": bad, "slow_score": slow, "stage": stage.map(|s| format!("{s:?}")),
                "threshold": self.knobs.threshold,
            })),
            "listed_weight": listed.get(id).map(|e| e.weight),
            "floor": { "announced": capacity.announced, "ready": capacity.ready,
                "may_be_out": capacity.budget(floor(cx, &service)) },
            "decisions": self.decisions.about(id),
        }))
    }
}

fn floor(cx: &Cx<'_>, service: &ServiceId) -> f64 {
    let conf = cx.board.conf.as_ref();
    conf.and_then(|c| c.services.get(service)).map_or(1.0, |s| s.floor)
}

fn is_ready(cx: &Cx<'_>, id: &ServerId) -> bool {
    cx.board.servers.get(id).is_some_and(|e| e.info.state == ServerState::Ready && e.expires_at > cx.now)
}

impl Area for Health {
    fn name(&self) -> &'static str {
        "health"
    }

    fn on_report(&mut self, cx: &mut Cx<'_>, report: &Report) {
        let Report::Outcome(outcome) = report else { return };
        let service = &outcome.server.info.service;
        if !self.windows.contains_key(service) {
            self.windows.insert(service.clone(), Window::default());
        }
        if let Some(window) = self.windows.get_mut(service) {
            window.observe(&cx.board.me.place, outcome);
        }
    }

    fn on_msg(&mut self, cx: &mut Cx<'_>, from: DaemonId, msg: &Msg) {
        let Msg::Health(msg) = msg else { return };
        match msg {
            HealthMsg::Evidence { service, doubts_itself, list } => {
                self.hear(cx, from, service, *doubts_itself, list);
            }
            HealthMsg::Watch { service, suspects } => self.watch(cx, service, suspects),
            HealthMsg::Ejections { service, coordinator, incarnation, seq, list } => {
                if self.lists.take(cx.now, *coordinator, service, (*incarnation, *seq), list) {
                    if from == *coordinator {
                        self.pass_on(cx, service, from);
                    }
                    self.write_verdicts(cx);
                } else {
                    self.metrics.count("list-stale");
                }
            }
        }
    }

    fn on_event(&mut self, cx: &mut Cx<'_>, event: &Event) {
        match event {
            Event::MembersChanged | Event::Stopping => self.owners.clear(),
            Event::ServersChanged | Event::ConfChanged => self.write_verdicts(cx),
            _ => {}
        }
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if self.next_step.is_none_or(|at| at <= cx.now) {
            self.next_step = Some(cx.now + PERIOD);
            self.step(cx);
        }
    }

    fn on_api(&mut self, cx: &mut Cx<'_>, ticket: Ticket, req: &ApiReq) -> bool {
        let segments = req.segments();
        let ("GET", ["v1", "explain", "server", id]) = (&*req.method, segments.as_slice()) else {
            return false;
        };
        let rep = self.explain(cx, id);
        cx.answer(ticket, rep);
        true
    }

    fn status(&self) -> Value {
        json!({
            "services_seen": self.windows.len(),
            "coordinated": self.coordinated.len(),
            "avoided": self.avoided.len(),
            "doubts_itself": self.starved,
            "list_ttl_ms": MAX_TTL.as_millis() as u64,
        })
    }
}
