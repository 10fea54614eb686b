//! The registry of announced backend servers: takes announcements, vouches for their servers, and follows
//! what other daemons vouch for.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::{DaemonId, ServerId, event};
use kernel::{ApiRep, ApiReq, Area, AreaEntry, Cx, Event, ServerEntry, Setup, Ticket};
use prometheus::{IntCounter, IntCounterVec};
use rand::seq::IteratorRandom;
use serde_json::{Value, json};
use wire::Msg;
use wire::server::{Delta, Drain, Loads, ServerInfo, ServerMsg, ServerSet, ServerState};

use crate::announce;
use crate::drains::Drains;
use crate::gossip::{News, batch_msg};
use crate::server_sets::{SetId, Sets, Taken};
use crate::{metrics, partners};

kernel::inventory::submit! {
    AreaEntry { name: "servers", order: 30, build: |setup| Box::new(ServerRegistry::new(setup)) }
}

/// Time for which an announcement holds, in milliseconds.
const TTL_MS: u32 = 3_000;
/// Interval between rounds of spreading changes.
const ROUND: Duration = Duration::from_millis(100);
/// Partners in each round.
const FANOUT: usize = 3;
/// Rounds in which each change is passed on.
const NEWS_ROUNDS: u8 = 3;
/// Rounds in which a report of loads is passed on; the next report replaces a lost one.
const LOADS_ROUNDS: u8 = 1;
/// Changes in one message; it fits a datagram.
const MAX_DELTAS: usize = 6;
/// Changes that wait to be passed on; others are found by the heartbeats' counts.
const MAX_NEWS: usize = 256;
/// Interval between looks for missed changes.
const REPAIR_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a set that was asked for is asked for again.
const WANT_AGAIN: Duration = Duration::from_millis(750);
/// Sets asked for in one look, so that a newcomer spreads its questions.
const MAX_WANTS: usize = 32;
/// Interval between digests of operators' orders.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the servers of a daemon that left or restarted stay, so that they can announce anew.
const ORPHAN_TIME: Duration = Duration::from_secs(2);
/// Shortest interval between reports of loads.
const LOADS_MIN: Duration = Duration::from_secs(2);
/// Interval between reports of loads for each daemon of the fleet.
const LOADS_PER_DAEMON: Duration = Duration::from_millis(100);
/// Lapse of entries; they end with the vouching daemon's word or heartbeats, so this is never reached.
const VOUCHED_LAPSE: Duration = Duration::from_hours(10 * 365 * 24);

/// Registry of one daemon.
#[derive(Debug)]
pub struct ServerRegistry {
    sets: Sets,
    drains: Drains,
    /// When the announcements made here lapse.
    own: BTreeMap<ServerId, Instant>,
    news: Vec<(News, u8)>,
    /// When each missing set was last asked for.
    wanted: BTreeMap<DaemonId, Instant>,
    next_round: Option<Instant>,
    next_repair: Option<Instant>,
    next_digest: Option<Instant>,
    next_loads: Option<Instant>,
    report: u32,
    announcements: IntCounterVec,
    repairs: IntCounter,
}

impl ServerRegistry {
    /// Makes the area.
    pub fn new(setup: &Setup) -> Self {
        let registry = &setup.registry;
        let help = "Announcements of backend servers by result";
        let announcements = metrics::counters(registry, "pomelo_announcements_total", help, "result");
        let help = "Sets of servers asked for after a gap";
        let repairs = metrics::counter(registry, "pomelo_server_sets_asked_total", help);
        Self {
            sets: Sets::default(),
            drains: Drains::default(),
            own: BTreeMap::new(),
            news: Vec::new(),
            wanted: BTreeMap::new(),
            next_round: None,
            next_repair: None,
            next_digest: None,
            next_loads: None,
            report: 0,
            announcements,
            repairs,
        }
    }

    fn announce(&mut self, cx: &mut Cx<'_>, id: &str, body: &[u8]) -> ApiRep {
        if cx.board.stopping {
            self.announcements.with_label_values(&["stopping"]).inc();
            return ApiRep::error(503, "stopping", "the daemon is stopping", "announce at another daemon");
        }
        let info = match announce::parse_announcement(id, body) {
            Ok(info) => info,
            Err(e) => {
                self.announcements.with_label_values(&[e.code()]).inc();
                let text = e.to_string();
                let (problem, remedy) = text.split_once("; ").unwrap_or((&text, ""));
                return ApiRep::error(400, e.code(), problem, remedy);
            }
        };
        self.announcements.with_label_values(&["taken"]).inc();
        self.renew(cx, info);
        ApiRep::ok(json!({ "ttl_ms": TTL_MS, "drained": self.drains.is_drained(id) }))
    }

    fn renew(&mut self, cx: &mut Cx<'_>, mut info: ServerInfo) {
        let id = info.id.clone();
        let counts = self.sets.resolve(&id);
        let is_same = counts.is_some_and(|known| is_same_content(known, &info));
        let stamp = counts.map_or(0, |known| known.stamp);
        let own_entry = self.sets.get(own_set(cx)).and_then(|set| set.servers.get(&id));
        if info.state == ServerState::Gone {
            self.own.remove(&id);
            if own_entry.is_some() {
                info.stamp = cx.wall_ms.max(stamp + 1);
                self.change(cx, info);
            }
            return;
        }
        self.own.insert(id, cx.now + Duration::from_millis(u64::from(TTL_MS)));
        info.ttl_ms = TTL_MS;
        // The own entry counts as soon as others lapse, so it must be the announced one as well.
        let is_own_same = own_entry.is_some_and(|own| is_same_content(own, &info));
        if is_same && is_own_same {
            if let Some(entry) = cx.board.servers.get_mut(&info.id) {
                entry.info.load = info.load;
            }
            return;
        }
        // A daemon that takes over an unchanged server keeps the stamp: both entries are equal then.
        info.stamp = if is_same { stamp } else { cx.wall_ms.max(stamp + 1) };
        self.change(cx, info);
    }

    /// Changes the set of this daemon and tells others.
    fn change(&mut self, cx: &mut Cx<'_>, server: ServerInfo) {
        cx.board.server_set_seq += 1;
        let me = &cx.board.me;
        let delta =
            Delta { origin: me.id, incarnation: me.incarnation, seq: cx.board.server_set_seq, server };
        self.take_delta(cx, &delta);
    }

    fn take_update(&mut self, cx: &mut Cx<'_>, deltas: &[Delta], drains: &[Drain], loads: &[Loads]) {
        let me = cx.board.me.id;
        for delta in deltas.iter().filter(|d| d.origin != me) {
            self.take_delta(cx, delta);
        }
        for drain in drains {
            self.take_drain(cx, drain);
        }
        for list in loads {
            self.take_loads(cx, list);
        }
    }

    fn take_delta(&mut self, cx: &mut Cx<'_>, delta: &Delta) {
        if !is_backed(cx, (delta.origin, delta.incarnation)) {
            return;
        }
        // After a gap, the count in the voucher's heartbeats leads to a question for the whole set.
        if let Taken::Servers(changed) = self.sets.take_delta(delta) {
            self.tell(News::Delta(delta.clone()));
            self.update(cx, &changed);
        }
    }

    fn take_set(&mut self, cx: &mut Cx<'_>, whole: &ServerSet) {
        if whole.origin == cx.board.me.id || !is_backed(cx, (whole.origin, whole.incarnation)) {
            return;
        }
        if let Taken::Servers(changed) = self.sets.take_set(whole) {
            self.wanted.remove(&whole.origin);
            self.update(cx, &changed);
        }
    }

    fn take_drain(&mut self, cx: &mut Cx<'_>, drain: &Drain) {
        if self.drains.take(drain) {
            self.tell(News::Drain(drain.clone()));
            self.update(cx, std::slice::from_ref(&drain.server));
        }
    }

    fn take_loads(&mut self, cx: &mut Cx<'_>, loads: &Loads) {
        let Some(told) = self.sets.take_loads(loads) else { return };
        for (id, load) in told {
            if let Some(entry) = cx.board.servers.get_mut(&id) {
                entry.info.load = load;
            }
        }
        self.tell(News::Loads(loads.clone()));
    }

    fn tell(&mut self, news: News) {
        if self.news.len() < MAX_NEWS {
            let rounds = if matches!(news, News::Loads(_)) { LOADS_ROUNDS } else { NEWS_ROUNDS };
            self.news.push((news, rounds));
        }
    }

    /// Writes what counts now for these servers to the board.
    fn update(&mut self, cx: &mut Cx<'_>, changed: &[ServerId]) {
        let mut is_news = false;
        for id in changed {
            is_news |= self.update_one(cx, id);
        }
        if is_news {
            cx.emit(Event::ServersChanged);
            cx.publish_view();
        }
    }

    fn update_one(&self, cx: &mut Cx<'_>, id: &ServerId) -> bool {
        let old = cx.board.servers.get(id);
        let Some(counts) = self.sets.resolve(id) else {
            let was = cx.board.servers.remove(id);
            if was.is_some() {
                event!(Info, ServerLeaving, "server={id} gone");
            }
            return was.is_some();
        };
        let mut info = counts.clone();
        if self.drains.is_drained(id) {
            info.state = ServerState::Draining;
        }
        if old.is_some_and(|o| is_same_content(&o.info, &info)) {
            return false;
        }
        let was = old.map(|o| o.info.state);
        if was.is_none() {
            event!(Info, ServerAnnounced, "server={id} service={}", info.service);
        }
        if info.state == ServerState::Draining && was != Some(ServerState::Draining) {
            event!(Info, ServerLeaving, "server={id} drains");
        }
        let since = old.and_then(|o| o.ready_since).or(Some(cx.now));
        let ready_since = since.filter(|_| info.state == ServerState::Ready);
        let entry = ServerEntry { info, expires_at: cx.now + VOUCHED_LAPSE, ready_since };
        cx.board.servers.insert(id.clone(), entry);
        true
    }

    fn lapse_own(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let lapsed: Vec<_> =
            self.own.iter().filter(|(_, at)| now >= **at).map(|(id, _)| id.clone()).collect();
        for id in lapsed {
            self.own.remove(&id);
            let known = self.sets.get(own_set(cx)).and_then(|set| set.servers.get(&id)).cloned();
            if let Some(server) = known {
                event!(Warn, ServerLeaving, "server={id} lapsed");
                self.change(cx, ServerInfo { state: ServerState::Gone, ..server });
            }
        }
    }

    fn round(&mut self, cx: &mut Cx<'_>) {
        if self.news.is_empty() {
            return;
        }
        let members = cx.board.members.values().map(|m| (m.id, &m.place));
        let partners = partners::pick(cx.rng, &cx.board.me.place.region, members, FANOUT);
        for batch in self.news.chunks(MAX_DELTAS) {
            let msg = batch_msg(batch);
            for to in &partners {
                cx.send(*to, Msg::Server(msg.clone()));
            }
        }
        for (_, rounds) in &mut self.news {
            *rounds -= 1;
        }
        self.news.retain(|(_, rounds)| *rounds > 0);
    }

    /// Asks for the sets whose heartbeats count more changes than are known here.
    fn repair(&mut self, cx: &mut Cx<'_>) {
        let mut asked = 0;
        let counts = cx.board.server_set_seqs.iter();
        let behind: Vec<_> =
            counts.filter(|(id, n)| self.is_behind(cx, **id, **n)).map(|(id, _)| *id).collect();
        self.wanted.retain(|id, _| behind.contains(id));
        for voucher in behind {
            if asked == MAX_WANTS {
                return;
            }
            let Some(last) = self.wanted.get(&voucher).copied() else {
                // A change on its way by gossip is given the time of one look.
                self.wanted.insert(voucher, cx.now.checked_sub(WANT_AGAIN).unwrap_or(cx.now));
                continue;
            };
            if cx.now < last + WANT_AGAIN {
                continue;
            }
            // Any member may have the set; the voucher itself may be reachable one way only.
            let other = cx.board.members.keys().choose(cx.rng).copied().unwrap_or(voucher);
            self.want(cx, voucher, voucher);
            self.want_from(cx, voucher, other);
            asked += 1;
        }
    }

    fn is_behind(&self, cx: &Cx<'_>, origin: DaemonId, count: u32) -> bool {
        let Some(member) = cx.board.members.get(&origin) else {
            return false;
        };
        count > self.sets.get((origin, member.incarnation)).map_or(0, |s| s.seq)
    }

    fn want(&mut self, cx: &mut Cx<'_>, origin: DaemonId, from: DaemonId) {
        self.wanted.insert(origin, cx.now);
        self.want_from(cx, origin, from);
    }

    fn want_from(&self, cx: &mut Cx<'_>, origin: DaemonId, from: DaemonId) {
        if from != cx.board.me.id {
            self.repairs.inc();
            cx.send(from, Msg::Server(ServerMsg::Want { origins: vec![origin] }));
        }
    }

    fn answer_want(&self, cx: &mut Cx<'_>, from: DaemonId, vouchers: &[DaemonId]) {
        for voucher in vouchers {
            let me = &cx.board.me;
            let member = cx.board.members.get(voucher).map(|m| m.incarnation);
            let incarnation = if *voucher == me.id { Some(me.incarnation) } else { member };
            let Some(incarnation) = incarnation else { continue };
            let Some(set) = self.sets.get((*voucher, incarnation)) else { continue };
            let servers = set.servers.values().cloned().collect();
            let whole = ServerSet { origin: *voucher, incarnation, seq: set.seq, servers };
            cx.send(from, Msg::Server(ServerMsg::Set(whole)));
        }
    }

    fn report_loads(&mut self, cx: &mut Cx<'_>) {
        let Some(set) = self.sets.get(own_set(cx)).filter(|s| !s.servers.is_empty()) else {
            return;
        };
        let load = |id: &ServerId| cx.board.servers.get(id).map_or(0.0, |e| e.info.load);
        let loads = set.servers.keys().map(|id| (load(id) * 255.0) as u8).collect();
        self.report += 1;
        let report = self.report;
        let me = &cx.board.me;
        let loads = Loads { origin: me.id, incarnation: me.incarnation, seq: set.seq, report, loads };
        self.tell(News::Loads(loads));
    }

    fn send_digest(&self, cx: &mut Cx<'_>) {
        let members = cx.board.members.values().map(|m| (m.id, &m.place));
        let partners = partners::pick(cx.rng, &cx.board.me.place.region, members, 1);
        for to in partners {
            cx.send(to, Msg::Server(ServerMsg::Digest { drains: self.drains.digest() }));
        }
    }

    fn follow_members(&mut self, cx: &mut Cx<'_>) {
        let ids: Vec<_> = self.sets.ids().collect();
        for id in ids {
            if is_backed(cx, id) {
                self.sets.adopt(id);
            } else if cx.board.dead_members.contains_key(&id.0) {
                // Its heartbeats have been missing for longer than an announcement holds.
                self.sets.orphan(id, cx.now);
            } else {
                self.sets.orphan(id, cx.now + ORPHAN_TIME);
            }
        }
    }

    /// Forgets what others vouched for before a pause longer than an announcement holds, and asks for it
    /// anew: what changed meanwhile was told to others only.
    fn distrust(&mut self, cx: &mut Cx<'_>) {
        let long_ago = cx.now.checked_sub(WANT_AGAIN).unwrap_or(cx.now);
        self.wanted = cx.board.server_set_seqs.keys().map(|id| (*id, long_ago)).collect();
        let forgotten = self.sets.forget_others(own_set(cx));
        self.update(cx, &forgotten);
        self.repair(cx);
    }

    fn order(&mut self, cx: &mut Cx<'_>, id: &str, drained: bool) -> ApiRep {
        if drained && !cx.board.servers.contains_key(id) {
            let problem = format!("no server {id} is announced");
            return ApiRep::error(404, "no-such-server", &problem, "see `GET /v1/servers` for the names");
        }
        let drain = self.drains.order(id, drained, cx.wall_ms);
        self.tell(News::Drain(drain));
        self.update(cx, &[id.into()]);
        ApiRep::ok(json!({ "server": id, "drained": drained }))
    }

    fn list(&self, cx: &Cx<'_>) -> ApiRep {
        let entry = |e: &ServerEntry| {
            let mut value = serde_json::to_value(&e.info).unwrap_or(Value::Null);
            value["drained"] = json!(self.drains.is_drained(&e.info.id));
            value
        };
        ApiRep::ok(cx.board.servers.values().map(entry).collect::<Vec<_>>())
    }
}

/// Whether two entries of a server differ only in load and times.
fn is_same_content(a: &ServerInfo, b: &ServerInfo) -> bool {
    let key = |s: &ServerInfo| (s.service.clone(), s.addr, s.place.clone(), s.slots, s.connections, s.state);
    key(a) == key(b)
}

fn own_set(cx: &Cx<'_>) -> SetId {
    (cx.board.me.id, cx.board.me.incarnation)
}

/// Whether the heartbeats of this very incarnation arrive.
fn is_backed(cx: &Cx<'_>, id: SetId) -> bool {
    id == own_set(cx) || cx.board.members.get(&id.0).is_some_and(|m| m.incarnation == id.1)
}

fn is_due(next: &mut Option<Instant>, now: Instant, interval: Duration) -> bool {
    let is_due = next.is_none_or(|at| now >= at);
    if is_due {
        *next = Some(now + interval);
    }
    is_due
}

impl Area for ServerRegistry {
    fn name(&self) -> &'static str {
        "servers"
    }

    fn on_api(&mut self, cx: &mut Cx<'_>, ticket: Ticket, req: &ApiReq) -> bool {
        let rep = match (&*req.method, req.segments().as_slice()) {
            ("PUT", ["v1", "servers", id]) => self.announce(cx, id, &req.body),
            ("POST", ["v1", "servers", id, "drain"]) => self.order(cx, id, true),
            ("DELETE", ["v1", "servers", id, "drain"]) => self.order(cx, id, false),
            ("GET", ["v1", "servers"]) => self.list(cx),
            _ => return false,
        };
        cx.answer(ticket, rep);
        true
    }

    fn on_msg(&mut self, cx: &mut Cx<'_>, from: DaemonId, msg: &Msg) {
        let Msg::Server(msg) = msg else { return };
        match msg {
            ServerMsg::Update { deltas, drains, loads } => self.take_update(cx, deltas, drains, loads),
            ServerMsg::Want { origins } => self.answer_want(cx, from, origins),
            ServerMsg::Set(whole) => self.take_set(cx, whole),
            ServerMsg::Digest { drains } if *drains != self.drains.digest() => {
                cx.send(from, Msg::Server(ServerMsg::Drains { list: self.drains.list() }));
            }
            ServerMsg::Digest { .. } => {}
            ServerMsg::Drains { list } => self.take_update(cx, &[], list, &[]),
        }
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if !is_due(&mut self.next_round, cx.now, ROUND) {
            return;
        }
        self.lapse_own(cx);
        let lapsed = self.sets.lapse(cx.now);
        self.update(cx, &lapsed);
        if is_due(&mut self.next_repair, cx.now, REPAIR_INTERVAL) {
            self.repair(cx);
        }
        if is_due(&mut self.next_digest, cx.now, DIGEST_INTERVAL) {
            self.send_digest(cx);
        }
        let loads_interval = LOADS_MIN.max(LOADS_PER_DAEMON * cx.board.members.len() as u32);
        if is_due(&mut self.next_loads, cx.now, loads_interval) {
            self.report_loads(cx);
        }
        self.round(cx);
    }

    fn on_event(&mut self, cx: &mut Cx<'_>, event: &Event) {
        match event {
            Event::MembersChanged => self.follow_members(cx),
            Event::Resumed { gap } if gap.as_millis() >= u128::from(TTL_MS) => self.distrust(cx),
            _ => {}
        }
    }

    fn status(&self) -> Value {
        json!({
            "vouching_for": self.own.len(), "sets": self.sets.ids().count(),
            "missing_sets": self.wanted.len(),
        })
    }
}
