//! The registry of announced backend servers: accepts announcements, spreads the changes of this daemon's
//! server set by gossip, and follows the sets of other daemons. `server_sets` explains the sets.

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
use crate::gossip::{GossipItem, update_msg};
use crate::server_sets::{Applied, ServerSets, SetId};
use crate::{metrics, partners};

kernel::inventory::submit! {
    AreaEntry { name: "servers", order: 30, build: |setup| Box::new(ServerRegistry::new(setup)) }
}

/// Time for which an announcement is valid, in milliseconds.
const ANNOUNCE_TTL_MS: u32 = 3_000;
/// Interval between gossip rounds.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// Partners in each gossip round.
const GOSSIP_FANOUT: usize = 3;
/// Gossip rounds in which each change of a set and each order to drain is sent.
const CHANGE_ROUNDS: u8 = 3;
/// Gossip rounds in which a report of loads is sent; the next report replaces a lost one.
const LOAD_REPORT_ROUNDS: u8 = 1;
/// Most items in one gossip message, so that it fits a datagram.
const MAX_ITEMS_PER_MSG: usize = 6;
/// Most items waiting to be sent; further ones are dropped. Other daemons notice dropped changes by the
/// sequence numbers in heartbeats, and dropped orders to drain by the digests of these orders.
const MAX_QUEUED_ITEMS: usize = 256;
/// Interval between checks for sets with missed changes.
const SET_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a set is asked for again.
const SET_REQUEST_RETRY: Duration = Duration::from_millis(750);
/// Most sets asked for in one check, so that a daemon that has just started does not ask for all at once.
const MAX_SET_REQUESTS: usize = 32;
/// Interval between digests of the orders to drain, each sent to one daemon.
const DRAIN_DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the set of a daemon that left or restarted remains valid, so that its servers can announce
/// themselves to another daemon.
const REANNOUNCE_TIME: Duration = Duration::from_secs(2);
/// Shortest interval between a daemon's reports of loads.
const MIN_LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between a daemon's reports of loads, per member of the fleet.
const LOAD_REPORT_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(100);
/// Lifetime of entries on the board. It is never reached: an entry ends when its origin removes it or when
/// the origin's set expires.
const NEVER_EXPIRES: Duration = Duration::from_hours(10 * 365 * 24);

/// The server registry area of this daemon.
#[derive(Debug)]
pub struct ServerRegistry {
    sets: ServerSets,
    drains: Drains,
    /// When the announcements that this daemon accepted expire.
    own_deadlines: BTreeMap<ServerId, Instant>,
    /// Items to send, each with the number of rounds left to it.
    gossip_queue: Vec<(GossipItem, u8)>,
    /// When each set with missed changes was last asked for, by origin.
    requested_sets: BTreeMap<DaemonId, Instant>,
    next_round: Option<Instant>,
    next_set_check: Option<Instant>,
    next_digest: Option<Instant>,
    next_load_report: Option<Instant>,
    /// Number of this daemon's last report of loads.
    load_report_seq: u32,
    announcements: IntCounterVec,
    set_requests: IntCounter,
}

impl ServerRegistry {
    /// Makes the area with no announced server, and registers its metrics.
    pub fn new(setup: &Setup) -> Self {
        let registry = &setup.registry;
        let help = "Announcements of backend servers by result";
        let announcements = metrics::counter_vec(registry, "pomelo_announcements_total", help, "result");
        let help = "Sets of servers asked for after a gap";
        let set_requests = metrics::counter(registry, "pomelo_server_sets_asked_total", help);
        Self {
            sets: ServerSets::default(),
            drains: Drains::default(),
            own_deadlines: BTreeMap::new(),
            gossip_queue: Vec::new(),
            requested_sets: BTreeMap::new(),
            next_round: None,
            next_set_check: None,
            next_digest: None,
            next_load_report: None,
            load_report_seq: 0,
            announcements,
            set_requests,
        }
    }

    fn handle_announcement(&mut self, cx: &mut Cx<'_>, id: &str, body: &[u8]) -> ApiRep {
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
        self.accept_announcement(cx, info);
        ApiRep::ok(json!({ "ttl_ms": ANNOUNCE_TTL_MS, "drained": self.drains.is_drained(id) }))
    }

    /// Renews a server's expiry, and changes this daemon's set if the announcement differs from what is
    /// known.
    fn accept_announcement(&mut self, cx: &mut Cx<'_>, mut info: ServerInfo) {
        let id = info.id.clone();
        let effective = self.sets.effective_entry(&id);
        let is_same = effective.is_some_and(|known| is_same_content(known, &info));
        let stamp = effective.map_or(0, |known| known.stamp);
        let own_entry = self.sets.get(own_set_id(cx)).and_then(|set| set.servers.get(&id));
        if info.state == ServerState::Gone {
            self.own_deadlines.remove(&id);
            if own_entry.is_some() {
                info.stamp = cx.wall_ms.max(stamp + 1);
                self.change_own_set(cx, info);
            }
            return;
        }
        self.own_deadlines.insert(id, cx.now + Duration::from_millis(u64::from(ANNOUNCE_TTL_MS)));
        info.ttl_ms = ANNOUNCE_TTL_MS;
        // This daemon's own entry becomes the effective one when those of other daemons expire, so it must
        // match the announcement too.
        let is_own_same = own_entry.is_some_and(|own| is_same_content(own, &info));
        if is_same && is_own_same {
            if let Some(entry) = cx.board.servers.get_mut(&info.id) {
                entry.info.load = info.load;
            }
            return;
        }
        // If the server now announces itself here but is otherwise unchanged, the stamp is kept, so that
        // both daemons' entries are equal.
        info.stamp = if is_same { stamp } else { cx.wall_ms.max(stamp + 1) };
        self.change_own_set(cx, info);
    }

    /// Applies a change to this daemon's own set and spreads it.
    fn change_own_set(&mut self, cx: &mut Cx<'_>, server: ServerInfo) {
        cx.board.server_set_seq += 1;
        let me = &cx.board.me;
        let delta =
            Delta { origin: me.id, incarnation: me.incarnation, seq: cx.board.server_set_seq, server };
        self.apply_delta(cx, &delta);
    }

    fn handle_update(&mut self, cx: &mut Cx<'_>, deltas: &[Delta], drains: &[Drain], loads: &[Loads]) {
        let me = cx.board.me.id;
        for delta in deltas.iter().filter(|d| d.origin != me) {
            self.apply_delta(cx, delta);
        }
        for drain in drains {
            self.apply_drain(cx, drain);
        }
        for list in loads {
            self.apply_loads(cx, list);
        }
    }

    fn apply_delta(&mut self, cx: &mut Cx<'_>, delta: &Delta) {
        if !is_origin_alive(cx, (delta.origin, delta.incarnation)) {
            return;
        }
        // After a gap, the sequence number in the origin's heartbeats makes this daemon ask for the whole
        // set.
        if let Applied::Changed(changed) = self.sets.apply_delta(delta) {
            self.queue_gossip(GossipItem::Delta(delta.clone()));
            self.refresh_board(cx, &changed);
        }
    }

    fn apply_set(&mut self, cx: &mut Cx<'_>, whole: &ServerSet) {
        if whole.origin == cx.board.me.id || !is_origin_alive(cx, (whole.origin, whole.incarnation)) {
            return;
        }
        if let Applied::Changed(changed) = self.sets.apply_set(whole) {
            self.requested_sets.remove(&whole.origin);
            self.refresh_board(cx, &changed);
        }
    }

    fn apply_drain(&mut self, cx: &mut Cx<'_>, drain: &Drain) {
        if self.drains.merge(drain) {
            self.queue_gossip(GossipItem::Drain(drain.clone()));
            self.refresh_board(cx, std::slice::from_ref(&drain.server));
        }
    }

    fn apply_loads(&mut self, cx: &mut Cx<'_>, loads: &Loads) {
        let Some(updated) = self.sets.apply_loads(loads) else { return };
        for (id, load) in updated {
            if let Some(entry) = cx.board.servers.get_mut(&id) {
                entry.info.load = load;
            }
        }
        self.queue_gossip(GossipItem::Loads(loads.clone()));
    }

    fn queue_gossip(&mut self, item: GossipItem) {
        if self.gossip_queue.len() < MAX_QUEUED_ITEMS {
            let rounds =
                if matches!(item, GossipItem::Loads(_)) { LOAD_REPORT_ROUNDS } else { CHANGE_ROUNDS };
            self.gossip_queue.push((item, rounds));
        }
    }

    /// Writes the effective entries of these servers to the board.
    fn refresh_board(&mut self, cx: &mut Cx<'_>, changed: &[ServerId]) {
        let mut has_changed = false;
        for id in changed {
            has_changed |= self.refresh_entry(cx, id);
        }
        if has_changed {
            cx.emit(Event::ServersChanged);
            cx.publish_view();
        }
    }

    fn refresh_entry(&self, cx: &mut Cx<'_>, id: &ServerId) -> bool {
        let old = cx.board.servers.get(id);
        let Some(effective) = self.sets.effective_entry(id) else {
            let removed = cx.board.servers.remove(id);
            if removed.is_some() {
                event!(Info, ServerLeaving, "server={id} gone");
            }
            return removed.is_some();
        };
        let mut info = effective.clone();
        if self.drains.is_drained(id) {
            info.state = ServerState::Draining;
        }
        if old.is_some_and(|o| is_same_content(&o.info, &info)) {
            return false;
        }
        let old_state = old.map(|o| o.info.state);
        if old_state.is_none() {
            event!(Info, ServerAnnounced, "server={id} service={}", info.service);
        }
        if info.state == ServerState::Draining && old_state != Some(ServerState::Draining) {
            event!(Info, ServerLeaving, "server={id} drains");
        }
        let since = old.and_then(|o| o.ready_since).or(Some(cx.now));
        let ready_since = since.filter(|_| info.state == ServerState::Ready);
        let entry = ServerEntry { info, expires_at: cx.now + NEVER_EXPIRES, ready_since };
        cx.board.servers.insert(id.clone(), entry);
        true
    }

    /// Removes servers from this daemon's set that have not renewed their announcement in time.
    fn expire_own(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let expired: Vec<_> =
            self.own_deadlines.iter().filter(|(_, at)| now >= **at).map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.own_deadlines.remove(&id);
            let known = self.sets.get(own_set_id(cx)).and_then(|set| set.servers.get(&id)).cloned();
            if let Some(server) = known {
                event!(Warn, ServerLeaving, "server={id} lapsed");
                self.change_own_set(cx, ServerInfo { state: ServerState::Gone, ..server });
            }
        }
    }

    fn gossip_round(&mut self, cx: &mut Cx<'_>) {
        if self.gossip_queue.is_empty() {
            return;
        }
        let members = cx.board.members.values().map(|m| (m.id, &m.place));
        let partners = partners::pick_partners(cx.rng, &cx.board.me.place.region, members, GOSSIP_FANOUT);
        for batch in self.gossip_queue.chunks(MAX_ITEMS_PER_MSG) {
            let msg = update_msg(batch);
            for to in &partners {
                cx.send(*to, Msg::Server(msg.clone()));
            }
        }
        for (_, rounds) in &mut self.gossip_queue {
            *rounds -= 1;
        }
        self.gossip_queue.retain(|(_, rounds)| *rounds > 0);
    }

    /// Asks for the sets whose origins' heartbeats tell of later changes than are known here.
    fn request_missing_sets(&mut self, cx: &mut Cx<'_>) {
        let mut asked = 0;
        let seqs = cx.board.server_set_seqs.iter();
        let behind: Vec<_> =
            seqs.filter(|(id, seq)| self.is_behind(cx, **id, **seq)).map(|(id, _)| *id).collect();
        self.requested_sets.retain(|id, _| behind.contains(id));
        for origin in behind {
            if asked == MAX_SET_REQUESTS {
                return;
            }
            let Some(last) = self.requested_sets.get(&origin).copied() else {
                // Gossip may be about to bring the change, so ask at the next check only.
                self.requested_sets.insert(origin, cx.now.checked_sub(SET_REQUEST_RETRY).unwrap_or(cx.now));
                continue;
            };
            if cx.now < last + SET_REQUEST_RETRY {
                continue;
            }
            // Ask a random member too, which may have the set: the origin may be reachable in one direction
            // only.
            let other = cx.board.members.keys().choose(cx.rng).copied().unwrap_or(origin);
            self.request_set(cx, origin, origin);
            self.request_set_from(cx, origin, other);
            asked += 1;
        }
    }

    fn is_behind(&self, cx: &Cx<'_>, origin: DaemonId, seq: u32) -> bool {
        let Some(member) = cx.board.members.get(&origin) else {
            return false;
        };
        seq > self.sets.get((origin, member.incarnation)).map_or(0, |s| s.seq)
    }

    /// Asks a daemon for the set of `origin` and records the time.
    fn request_set(&mut self, cx: &mut Cx<'_>, origin: DaemonId, from: DaemonId) {
        self.requested_sets.insert(origin, cx.now);
        self.request_set_from(cx, origin, from);
    }

    fn request_set_from(&self, cx: &mut Cx<'_>, origin: DaemonId, from: DaemonId) {
        if from != cx.board.me.id {
            self.set_requests.inc();
            cx.send(from, Msg::Server(ServerMsg::Want { origins: vec![origin] }));
        }
    }

    fn answer_want(&self, cx: &mut Cx<'_>, from: DaemonId, origins: &[DaemonId]) {
        for origin in origins {
            let me = &cx.board.me;
            let member = cx.board.members.get(origin).map(|m| m.incarnation);
            let incarnation = if *origin == me.id { Some(me.incarnation) } else { member };
            let Some(incarnation) = incarnation else { continue };
            let Some(set) = self.sets.get((*origin, incarnation)) else { continue };
            let servers = set.servers.values().cloned().collect();
            let whole = ServerSet { origin: *origin, incarnation, seq: set.seq, servers };
            cx.send(from, Msg::Server(ServerMsg::Set(whole)));
        }
    }

    fn queue_load_report(&mut self, cx: &mut Cx<'_>) {
        let Some(set) = self.sets.get(own_set_id(cx)).filter(|s| !s.servers.is_empty()) else {
            return;
        };
        let load = |id: &ServerId| cx.board.servers.get(id).map_or(0.0, |e| e.info.load);
        let loads = set.servers.keys().map(|id| (load(id) * 255.0) as u8).collect();
        self.load_report_seq += 1;
        let report = self.load_report_seq;
        let me = &cx.board.me;
        let loads = Loads { origin: me.id, incarnation: me.incarnation, seq: set.seq, report, loads };
        self.queue_gossip(GossipItem::Loads(loads));
    }

    fn send_digest(&self, cx: &mut Cx<'_>) {
        let members = cx.board.members.values().map(|m| (m.id, &m.place));
        let partners = partners::pick_partners(cx.rng, &cx.board.me.place.region, members, 1);
        for to in partners {
            cx.send(to, Msg::Server(ServerMsg::Digest { drains: self.drains.digest() }));
        }
    }

    /// Lets the sets of origins that are not members any more expire, and keeps those of members.
    fn on_members_changed(&mut self, cx: &mut Cx<'_>) {
        let ids: Vec<_> = self.sets.ids().collect();
        for id in ids {
            if is_origin_alive(cx, id) {
                self.sets.cancel_expiry(id);
            } else if cx.board.dead_members.contains_key(&id.0) {
                // The origin's heartbeats have been missing for longer than an announcement is valid.
                self.sets.schedule_expiry(id, cx.now);
            } else {
                self.sets.schedule_expiry(id, cx.now + REANNOUNCE_TIME);
            }
        }
    }

    /// Forgets the sets of other daemons and asks for them again. Called after this process was paused for
    /// longer than an announcement is valid, since it has missed what changed meanwhile.
    fn refetch_sets(&mut self, cx: &mut Cx<'_>) {
        let long_ago = cx.now.checked_sub(SET_REQUEST_RETRY).unwrap_or(cx.now);
        self.requested_sets = cx.board.server_set_seqs.keys().map(|id| (*id, long_ago)).collect();
        let forgotten = self.sets.remove_all_but(own_set_id(cx));
        self.refresh_board(cx, &forgotten);
        self.request_missing_sets(cx);
    }

    fn order_drain(&mut self, cx: &mut Cx<'_>, id: &str, drained: bool) -> ApiRep {
        if drained && !cx.board.servers.contains_key(id) {
            let problem = format!("no server {id} is announced");
            return ApiRep::error(404, "no-such-server", &problem, "see `GET /v1/servers` for the names");
        }
        let drain = self.drains.issue(id, drained, cx.wall_ms);
        self.queue_gossip(GossipItem::Drain(drain));
        self.refresh_board(cx, &[id.into()]);
        ApiRep::ok(json!({ "server": id, "drained": drained }))
    }

    fn list_servers(&self, cx: &Cx<'_>) -> ApiRep {
        let entry = |e: &ServerEntry| {
            let mut value = serde_json::to_value(&e.info).unwrap_or(Value::Null);
            value["drained"] = json!(self.drains.is_drained(&e.info.id));
            value
        };
        ApiRep::ok(cx.board.servers.values().map(entry).collect::<Vec<_>>())
    }
}

/// Whether two entries of a server differ in nothing but load, stamp and time to live.
fn is_same_content(a: &ServerInfo, b: &ServerInfo) -> bool {
    let key = |s: &ServerInfo| (s.service.clone(), s.addr, s.place.clone(), s.slots, s.connections, s.state);
    key(a) == key(b)
}

fn own_set_id(cx: &Cx<'_>) -> SetId {
    (cx.board.me.id, cx.board.me.incarnation)
}

/// Whether the origin of a set is a member in the incarnation that the set belongs to.
fn is_origin_alive(cx: &Cx<'_>, id: SetId) -> bool {
    id == own_set_id(cx) || cx.board.members.get(&id.0).is_some_and(|m| m.incarnation == id.1)
}

/// Whether a periodic task is due; if so, schedules its next run.
fn take_due(next: &mut Option<Instant>, now: Instant, interval: Duration) -> bool {
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
            ("PUT", ["v1", "servers", id]) => self.handle_announcement(cx, id, &req.body),
            ("POST", ["v1", "servers", id, "drain"]) => self.order_drain(cx, id, true),
            ("DELETE", ["v1", "servers", id, "drain"]) => self.order_drain(cx, id, false),
            ("GET", ["v1", "servers"]) => self.list_servers(cx),
            _ => return false,
        };
        cx.answer(ticket, rep);
        true
    }

    fn on_msg(&mut self, cx: &mut Cx<'_>, from: DaemonId, msg: &Msg) {
        let Msg::Server(msg) = msg else { return };
        match msg {
            ServerMsg::Update { deltas, drains, loads } => self.handle_update(cx, deltas, drains, loads),
            ServerMsg::Want { origins } => self.answer_want(cx, from, origins),
            ServerMsg::Set(whole) => self.apply_set(cx, whole),
            ServerMsg::Digest { drains } if *drains != self.drains.digest() => {
                cx.send(from, Msg::Server(ServerMsg::Drains { list: self.drains.list() }));
            }
            ServerMsg::Digest { .. } => {}
            ServerMsg::Drains { list } => self.handle_update(cx, &[], list, &[]),
        }
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if !take_due(&mut self.next_round, cx.now, GOSSIP_INTERVAL) {
            return;
        }
        self.expire_own(cx);
        let expired = self.sets.remove_expired(cx.now);
        self.refresh_board(cx, &expired);
        if take_due(&mut self.next_set_check, cx.now, SET_CHECK_INTERVAL) {
            self.request_missing_sets(cx);
        }
        if take_due(&mut self.next_digest, cx.now, DRAIN_DIGEST_INTERVAL) {
            self.send_digest(cx);
        }
        let loads_interval =
            MIN_LOAD_REPORT_INTERVAL.max(LOAD_REPORT_INTERVAL_PER_DAEMON * cx.board.members.len() as u32);
        if take_due(&mut self.next_load_report, cx.now, loads_interval) {
            self.queue_load_report(cx);
        }
        self.gossip_round(cx);
    }

    fn on_event(&mut self, cx: &mut Cx<'_>, event: &Event) {
        match event {
            Event::MembersChanged => self.on_members_changed(cx),
            Event::Resumed { gap } if gap.as_millis() >= u128::from(ANNOUNCE_TTL_MS) => self.refetch_sets(cx),
            _ => {}
        }
    }

    fn status(&self) -> Value {
        json!({
            "vouching_for": self.own_deadlines.len(), "sets": self.sets.ids().count(),
            "missing_sets": self.requested_sets.len(),
        })
    }
}
