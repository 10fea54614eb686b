//! The health area of the kernel: collects outcomes, sends digests and ejection lists to other daemons, and
//! writes the verdicts that the choice of servers follows.
//!
//! For each service, rendezvous hashing among the live members selects one daemon as the coordinator, to
//! which the other daemons send digests. While no server of a service is suspect, digests are rare to save
//! bytes.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use base::{DaemonId, ServerId, ServiceId, event, rendezvous};
use kernel::{ApiRep, ApiReq, Area, AreaEntry, Cx, Event, Report, Setup, Ticket, Verdict};
use rand::Rng;
use serde_json::{Value, json};
use wire::Msg;
use wire::health::{EjectionEntry, Evidence, HealthMsg};
use wire::server::ServerState;

use crate::decision_log::{Decision, DecisionLog};
use crate::ejection_lists::{EjectionLists, MAX_ENTRY_TTL, WORKING_WEIGHT, apply_floor};
use crate::floor::ServiceCapacity;
use crate::metrics::Metrics;
use crate::outlier_detector::{DETECTION_PERIOD, DetectorConfig, EjectionChange, OutlierDetector};
use crate::service_stats::ServiceStats;

kernel::inventory::submit! {
    AreaEntry { name: "health", order: 60, build: |setup| Box::new(Health::new(setup)) }
}

/// Time in which a new coordinator ejects no server, so that lists of an earlier coordinator and
/// announcements from beyond a new network partition expire first.
pub const TAKEOVER_DELAY: Duration = Duration::from_secs(8);
/// Interval of digests on a service while no server of it is suspect.
const NORMAL_DIGEST_INTERVAL: Duration = Duration::from_secs(10);
/// Time of frequent digests after a server became suspect or the coordinator asked for observations.
const ALERT_DURATION: Duration = Duration::from_secs(3);
/// Local evidence above which a server is suspect.
const SUSPICION_SCORE: f64 = 1.5;
/// Local evidence from which this daemon avoids a server.
const AVOID_SCORE: f64 = 6.0;
/// Weight of an avoided server. Never 0, since no other daemon confirms the failures.
const AVOIDED_WEIGHT: f32 = 0.1;
/// Weight of a suspect server in another data centre while the coordinator wants this daemon to observe it.
const OBSERVATION_WEIGHT: f32 = 0.1;
/// Largest number of daemons that the coordinator asks for observations at once.
const MAX_WATCH_RECIPIENTS: usize = 32;
/// Time for which a server is avoided without new evidence.
const AVOID_DURATION: Duration = Duration::from_secs(2);
/// Interval at which an unchanged ejection list is sent again.
const LIST_RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// When digests on a service are due.
#[derive(Debug)]
struct DigestSchedule {
    next: Instant,
    /// Until then a digest is sent in each period.
    alert_until: Instant,
}

/// A service that this daemon coordinates.
#[derive(Debug)]
struct Coordinated {
    detector: OutlierDetector,
    /// The ejection list as last sent.
    list: Vec<EjectionEntry>,
    next_list: Instant,
    next_watch: Instant,
}

/// The health area of one daemon.
#[derive(Debug)]
pub struct Health {
    config: DetectorConfig,
    stats: HashMap<ServiceId, ServiceStats>,
    digests: HashMap<ServiceId, DigestSchedule>,
    /// Services of which this daemon is the coordinator.
    coordinated: BTreeMap<ServiceId, Coordinated>,
    /// Cache of each service's coordinator; cleared when the members change.
    coordinators: HashMap<ServiceId, DaemonId>,
    lists: EjectionLists,
    /// Sequence number of the last list that this daemon sent.
    seq: u64,
    next_period: Option<Instant>,
    /// Whether so many servers look bad from here that this daemon is probably the cause, for want of
    /// processor time. Reported as `doubts_itself`.
    is_starved: bool,
    /// Servers that this daemon avoids by its own evidence, with the end of the avoidance.
    avoided: HashMap<ServerId, Instant>,
    /// Suspect servers of other data centres that the coordinator asked this daemon to observe, with the end
    /// of the observation.
    observations_wanted: HashMap<ServerId, Instant>,
    decisions: DecisionLog,
    metrics: Metrics,
}

impl Health {
    /// Creates the area with the default settings.
    pub fn new(setup: &Setup) -> Self {
        Self::with_config(setup, DetectorConfig::default())
    }

    /// Creates the area with other settings.
    pub fn with_config(setup: &Setup, config: DetectorConfig) -> Self {
        Self {
            config,
            stats: HashMap::new(),
            digests: HashMap::new(),
            coordinated: BTreeMap::new(),
            coordinators: HashMap::new(),
            lists: EjectionLists::default(),
            seq: 0,
            next_period: None,
            is_starved: false,
            avoided: HashMap::new(),
            observations_wanted: HashMap::new(),
            decisions: DecisionLog::default(),
            metrics: Metrics::new(&setup.registry),
        }
    }

    fn coordinator_of(&mut self, cx: &Cx<'_>, service: &ServiceId) -> DaemonId {
        let me = cx.board.me.id;
        let find = || rendezvous::owner(service, cx.board.alive().into_iter()).unwrap_or(me);
        *self.coordinators.entry(service.clone()).or_insert_with(find)
    }

    /// Ends a period: updates the evidence, sends digests and lists, and writes the verdicts.
    fn end_period(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        for stats in self.stats.values_mut() {
            stats.retain_servers(|id| cx.board.servers.contains_key(id));
            stats.count_overdue(now);
            stats.end_period();
        }
        self.update_is_starved();
        self.send_digests(cx);
        self.coordinate_services(cx);
        self.lists.drop_expired(now);
        self.update_avoided(cx);
        self.write_verdicts(cx);
    }

    /// Sets `is_starved`: whether most servers look bad in most of the services seen, and in at least two.
    fn update_is_starved(&mut self) {
        let seen = self.stats.values().filter(|s| !s.is_empty()).count();
        let bad = self.stats.values().filter(|s| s.is_mostly_bad()).count();
        let is_starved = bad >= 2 && bad * 2 > seen;
        if is_starved && !self.is_starved {
            self.metrics.count_decision("starved");
        }
        self.is_starved = is_starved;
    }

    fn send_digests(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let mut due = Vec::new();
        for (service, stats) in &mut self.stats {
            let start = DigestSchedule { next: now, alert_until: now };
            let digests = self.digests.entry(service.clone()).or_insert(start);
            if stats.scores().any(|(_, score)| score > SUSPICION_SCORE) {
                digests.alert_until = now + ALERT_DURATION;
            }
            if now < digests.next && now >= digests.alert_until {
                continue;
            }
            digests.next = now + NORMAL_DIGEST_INTERVAL;
            let list = stats.take_digest();
            if !list.is_empty() {
                due.push((service.clone(), list));
            }
        }
        for (service, list) in due {
            let to = self.coordinator_of(cx, &service);
            if to == cx.board.me.id {
                self.record_digest(cx, to, &service, self.is_starved, &list);
            } else {
                cx.send(
                    to,
                    Msg::Health(HealthMsg::Evidence { service, doubts_itself: self.is_starved, list }),
                );
            }
        }
    }

    fn record_digest(
        &mut self,
        cx: &mut Cx<'_>,
        from: DaemonId,
        service: &ServiceId,
        is_sender_starved: bool,
        list: &[Evidence],
    ) {
        let me = &cx.board.me;
        let place =
            if from == me.id { Some(&me.place) } else { cx.board.members.get(&from).map(|m| &m.place) };
        let Some(centre) = place.map(|p| p.data_centre.clone()) else {
            return self.metrics.count_decision("evidence-unknown-sender");
        };
        if self.coordinator_of(cx, service) != cx.board.me.id {
            return self.metrics.count_decision("evidence-misdirected");
        }
        self.coordinated_service(cx, service).detector.record_digest(
            cx.now,
            from,
            &centre,
            is_sender_starved,
            list,
        );
    }

    /// State of a service that this daemon coordinates. A new coordinator takes over the servers that other
    /// coordinators ejected.
    fn coordinated_service(&mut self, cx: &Cx<'_>, service: &ServiceId) -> &mut Coordinated {
        let now = cx.now;
        let (config, lists, me) = (self.config, &self.lists, cx.board.me.id);
        self.coordinated.entry(service.clone()).or_insert_with(|| {
            let mut detector = OutlierDetector::new(config, now + TAKEOVER_DELAY);
            let mut inherited = lists.merged(service, now, Some(me));
            inherited.retain(|_, e| e.weight < WORKING_WEIGHT);
            detector.adopt_entries(now, &inherited);
            Coordinated { detector, list: Vec::new(), next_list: now, next_watch: now }
        })
    }

    fn coordinate_services(&mut self, cx: &mut Cx<'_>) {
        let me = cx.board.me.id;
        let listed_services: Vec<ServiceId> = self.lists.services().cloned().collect();
        for service in listed_services {
            if self.coordinator_of(cx, &service) == me {
                self.coordinated_service(cx, &service);
            }
        }
        let services: Vec<ServiceId> = self.coordinated.keys().cloned().collect();
        for service in services {
            if self.coordinator_of(cx, &service) != me {
                self.coordinated.remove(&service);
                continue;
            }
            let (budget, others) = self.ejection_budget(cx, &service);
            let Some(own) = self.coordinated.get_mut(&service) else { continue };
            own.detector.retain_servers(|id| cx.board.servers.contains_key(id));
            let changes = own.detector.end_period(cx.now, budget, &others, |id| is_ready(cx, id));
            for change in changes {
                self.report_change(cx, &service, &change);
            }
            self.send_list(cx, &service);
            self.send_watch(cx, &service);
        }
    }

    /// Number of servers that may be ejected, and the servers that other coordinators have ejected.
    fn ejection_budget(&self, cx: &Cx<'_>, service: &ServiceId) -> (usize, Vec<ServerId>) {
        let capacity = ServiceCapacity::of_service(cx.board.servers.values(), service, cx.now);
        let others = self.lists.merged(service, cx.now, Some(cx.board.me.id));
        let out = others.into_iter().filter(|(_, e)| e.weight < WORKING_WEIGHT).map(|(id, _)| id).collect();
        (capacity.ejection_budget(floor_of(cx, service)), out)
    }

    /// Sends the service's ejection list to all members if it changed or is due again.
    fn send_list(&mut self, cx: &mut Cx<'_>, service: &ServiceId) {
        let Some(own) = self.coordinated.get_mut(service) else { return };
        let list = own.detector.ejection_list();
        let changed = list != own.list;
        if !changed && (list.is_empty() || cx.now < own.next_list) {
            return;
        }
        own.list.clone_from(&list);
        own.next_list = cx.now + LIST_RESEND_INTERVAL;
        self.seq += 1;
        let (me, seq) = (&cx.board.me, self.seq);
        self.lists.update(cx.now, me.id, service, (me.incarnation, seq), &list);
        let (coordinator, incarnation) = (me.id, me.incarnation);
        let peers: Vec<_> = cx.board.members.values().filter(|m| m.is_alive()).map(|m| m.id).collect();
        for to in peers {
            let (service, list) = (service.clone(), list.clone());
            let msg = HealthMsg::Ejections { service, coordinator, incarnation, seq, list };
            cx.send(to, Msg::Health(msg));
        }
    }

    /// Sends other coordinators the list just received from the coordinator `sender`, and sends `sender`
    /// their lists. Coordinators of the same service may be partitioned from each other while both reach this
    /// daemon.
    fn cross_forward_lists(&mut self, cx: &mut Cx<'_>, service: &ServiceId, sender: DaemonId) {
        let me = cx.board.me.id;
        let lists = self.lists.messages(service, cx.now);
        let others: Vec<_> = lists.iter().filter(|(from, _)| *from != sender && *from != me).collect();
        for (other, list) in others {
            cx.send(sender, Msg::Health(list.clone()));
            for (_, list) in lists.iter().filter(|(from, _)| *from == sender) {
                cx.send(*other, Msg::Health(list.clone()));
            }
        }
    }

    /// Asks some observers for frequent digests on the service, and for observations of its suspect servers.
    fn send_watch(&mut self, cx: &mut Cx<'_>, service: &ServiceId) {
        let Some(own) = self.coordinated.get_mut(service) else { return };
        let suspects = own.detector.suspects();
        if cx.now < own.next_watch || (suspects.is_empty() && !own.detector.is_returning()) {
            return;
        }
        own.next_watch = cx.now + ALERT_DURATION / 2;
        let me = cx.board.me.id;
        let mut observers: Vec<_> = own.detector.observers().copied().filter(|o| *o != me).collect();
        observers.sort_unstable();
        let skip = cx.rng.random_range(0..observers.len().max(1));
        for to in observers.iter().cycle().skip(skip).take(observers.len().min(MAX_WATCH_RECIPIENTS)) {
            let msg = HealthMsg::Watch { service: service.clone(), suspects: suspects.clone() };
            cx.send(*to, Msg::Health(msg));
        }
        self.start_watching(cx, service, &suspects);
    }

    /// Sends frequent digests for a while. Suspect servers in other data centres of the region get a few
    /// requests, so that this daemon can observe them.
    fn start_watching(&mut self, cx: &Cx<'_>, service: &ServiceId, suspects: &[ServerId]) {
        let until = cx.now + ALERT_DURATION;
        let digests = self.digests.entry(service.clone());
        digests.or_insert(DigestSchedule { next: cx.now, alert_until: until }).alert_until = until;
        let place = &cx.board.me.place;
        for id in suspects {
            let server = cx.board.servers.get(id).map(|e| &e.info.place);
            if server.is_some_and(|p| p.region == place.region && p.data_centre != place.data_centre) {
                self.observations_wanted.insert(id.clone(), until);
            }
        }
    }

    /// Writes a change to the event log, the decision log and the metric.
    fn report_change(&mut self, cx: &Cx<'_>, service: &ServiceId, change: &EjectionChange) {
        let (id, kind, score) = match change {
            EjectionChange::Ejected(id, score) => (id, "ejected", *score),
            EjectionChange::TrialStarted(id) => (id, "trial", 0.0),
            EjectionChange::Returned(id) => (id, "returned", 0.0),
            EjectionChange::HeldByFloor(id, score) => (id, "held-by-floor", *score),
            EjectionChange::Unconfirmed(id, score) => (id, "path", *score),
        };
        match change {
            EjectionChange::Ejected(..) => {
                event!(Warn, ServerEjected, "server={id} service={service} score={score:.1}");
            }
            EjectionChange::TrialStarted(..) => event!(Info, ServerTrial, "server={id} service={service}"),
            EjectionChange::Returned(..) => event!(Info, ServerReturned, "server={id} service={service}"),
            EjectionChange::HeldByFloor(..) => {
                event!(Warn, FloorReached, "server={id} service={service} score={score:.1}");
            }
            EjectionChange::Unconfirmed(..) => {}
        }
        self.log_decision(cx, id, kind, score);
    }

    fn log_decision(&mut self, cx: &Cx<'_>, id: &ServerId, kind: &'static str, score: f64) {
        self.metrics.count_decision(kind);
        self.decisions.push(Decision { wall_ms: cx.wall_ms, server: id.clone(), kind, score });
    }

    /// Renews the avoidance of servers with enough local evidence. A starved daemon avoids none.
    fn update_avoided(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        self.avoided.retain(|_, until| *until > now);
        if self.is_starved {
            return;
        }
        let scores = self.stats.values().flat_map(ServiceStats::scores);
        let bad: Vec<_> = scores.filter(|(_, s)| *s >= AVOID_SCORE).map(|(id, s)| (id.clone(), s)).collect();
        for (id, score) in bad {
            if self.avoided.insert(id.clone(), now + AVOID_DURATION).is_none() {
                event!(Warn, ServerAvoided, "server={id} score={score:.1}");
                self.log_decision(cx, &id, "avoided", score);
            }
        }
    }

    /// Writes the verdicts to the board. Of a server's verdict from the lists and that of this daemon alone,
    /// the lower weight counts.
    fn write_verdicts(&mut self, cx: &mut Cx<'_>) {
        let mut verdicts: HashMap<ServerId, Verdict> = HashMap::new();
        self.observations_wanted.retain(|_, until| *until > cx.now);
        for (id, until) in &self.observations_wanted {
            verdicts
                .insert(id.clone(), Verdict { weight: OBSERVATION_WEIGHT, trial: true, expires_at: *until });
        }
        for (id, until) in &self.avoided {
            let verdict = Verdict { weight: AVOIDED_WEIGHT, trial: false, expires_at: *until };
            verdicts.insert(id.clone(), verdict);
        }
        for service in self.lists.services() {
            let mut merged = self.lists.merged(service, cx.now, None);
            let budget = ServiceCapacity::of_service(cx.board.servers.values(), service, cx.now)
                .ejection_budget(floor_of(cx, service));
            apply_floor(&mut merged, budget, |id| is_ready(cx, id));
            for (id, entry) in merged {
                let trial = entry.weight < WORKING_WEIGHT;
                let listed = Verdict { weight: entry.weight, trial, expires_at: entry.expires_at };
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

    /// Answers `GET /v1/explain/server/{id}`.
    fn explain_server(&mut self, cx: &Cx<'_>, id: &str) -> ApiRep {
        let Some(entry) = cx.board.servers.get(id) else {
            let remedy = "check the name against GET /v1/servers";
            return ApiRep::error(404, "no-such-server", "no such server is announced here", remedy);
        };
        let service = entry.info.service.clone();
        let coordinator = self.coordinator_of(cx, &service);
        let capacity = ServiceCapacity::of_service(cx.board.servers.values(), &service, cx.now);
        let listed = self.lists.merged(&service, cx.now, None);
        let judged = self.coordinated.get(&service).and_then(|c| c.detector.explain(id));
        let verdict = cx.board.verdicts.get(id);
        ApiRep::ok(json!({
            "server": id,
            "service": service,
            "state": entry.info.state,
            "weight": verdict.map_or(1.0, |v| v.weight),
            "trial": verdict.is_some_and(|v| v.trial),
            "local_score": self.stats.get(&service).map_or(0.0, |s| s.score(&entry.info.id)),
            "avoided_here": self.avoided.contains_key(id),
            "doubts_itself": self.is_starved,
            "coordinator": coordinator.to_string(),
            "judged": judged.map(|(bad, slow, stage)| json!({
                "bad_score": bad, "slow_score": slow, "stage": stage.map(|s| format!("{s:?}")),
                "threshold": self.config.threshold,
            })),
            "listed_weight": listed.get(id).map(|e| e.weight),
            "floor": { "announced": capacity.announced, "ready": capacity.ready,
                "may_be_out": capacity.ejection_budget(floor_of(cx, &service)) },
            "decisions": self.decisions.for_server(id),
        }))
    }
}

/// Configured floor of a service; 1, which forbids ejections, without a configuration.
fn floor_of(cx: &Cx<'_>, service: &ServiceId) -> f64 {
    let conf = cx.board.conf.as_ref();
    conf.and_then(|c| c.services.get(service)).map_or(1.0, |s| s.floor)
}

/// Whether a server is announced as ready and its announcement is still valid.
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
        if !self.stats.contains_key(service) {
            self.stats.insert(service.clone(), ServiceStats::default());
        }
        if let Some(stats) = self.stats.get_mut(service) {
            stats.record_outcome(&cx.board.me.place, outcome);
        }
    }

    fn on_msg(&mut self, cx: &mut Cx<'_>, from: DaemonId, msg: &Msg) {
        let Msg::Health(msg) = msg else { return };
        match msg {
            HealthMsg::Evidence { service, doubts_itself, list } => {
                self.record_digest(cx, from, service, *doubts_itself, list);
            }
            HealthMsg::Watch { service, suspects } => self.start_watching(cx, service, suspects),
            HealthMsg::Ejections { service, coordinator, incarnation, seq, list } => {
                if self.lists.update(cx.now, *coordinator, service, (*incarnation, *seq), list) {
                    if from == *coordinator {
                        self.cross_forward_lists(cx, service, from);
                    }
                    self.write_verdicts(cx);
                } else {
                    self.metrics.count_decision("list-stale");
                }
            }
        }
    }

    fn on_event(&mut self, cx: &mut Cx<'_>, event: &Event) {
        match event {
            Event::MembersChanged | Event::Stopping => self.coordinators.clear(),
            Event::ServersChanged | Event::ConfChanged => self.write_verdicts(cx),
            _ => {}
        }
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if self.next_period.is_none_or(|at| at <= cx.now) {
            self.next_period = Some(cx.now + DETECTION_PERIOD);
            self.end_period(cx);
        }
    }

    fn on_api(&mut self, cx: &mut Cx<'_>, ticket: Ticket, req: &ApiReq) -> bool {
        let segments = req.segments();
        let ("GET", ["v1", "explain", "server", id]) = (&*req.method, segments.as_slice()) else {
            return false;
        };
        let rep = self.explain_server(cx, id);
        cx.answer(ticket, rep);
        true
    }

    fn status(&self) -> Value {
        json!({
            "services_seen": self.stats.len(),
            "coordinated": self.coordinated.len(),
            "avoided": self.avoided.len(),
            "doubts_itself": self.is_starved,
            "list_ttl_ms": MAX_ENTRY_TTL.as_millis() as u64,
        })
    }
}
