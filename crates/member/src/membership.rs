//! The membership area: finds daemons through the table and seeds, spreads heartbeats, probes the overdue.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use base::{DaemonId, event};
use kernel::{ApiRep, ApiReq, Area, AreaEntry, Cx, Event, Member, Setup, StoreToken, Ticket};
use prometheus::{IntCounter, IntCounterVec};
use rand::seq::IndexedRandom;
use serde_json::{Value, json};
use smallvec::SmallVec;
use store::{StoreError, StoreRep};
use wire::Msg;
use wire::member::{Heartbeat, IncarnationHash, MemberInfo, MemberMsg, MemberState, incarnation_hash};

use crate::peer_table::{Change, Judged, Pace, Table};
use crate::registration::{Registration, note_gone};
use crate::{metrics, partners};

kernel::inventory::submit! {
    AreaEntry { name: "member", order: 10, build: |setup| Box::new(Membership::new(setup)) }
}

/// Interval between rounds of gossip.
const ROUND: Duration = Duration::from_millis(200);
/// Partners in each round.
const FANOUT: usize = 3;
/// Heartbeats in one message; it fits a datagram.
const MAX_BEATS: usize = 80;
/// Messages of heartbeats to one partner in each round.
const MAX_BATCHES: usize = 4;
/// Names asked for in one message.
const MAX_WANTS: usize = 64;
/// Interval between probes of one overdue member, and between contacts with unknown daemons.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Daemons that probe an overdue member on behalf of this one.
const HELPERS: usize = 3;
/// Overdue members probed in one round, so that the loss of a data centre costs no burst.
const MAX_PROBES: usize = 16;
/// Probes on behalf of others that may wait for a heartbeat.
const MAX_RELAYS: usize = 256;
/// Time for which a probe on behalf of another daemon waits.
const RELAY_TIME: Duration = Duration::from_secs(1);
/// Rounds in which a changed description is passed on.
const NEWS_ROUNDS: u8 = 4;
/// Gap between ticks above which this process was paused.
const PAUSE_GAP: Duration = Duration::from_millis(500);
/// Longest wait of a stopping daemon for the deletion of its row.
const LEAVE_TIME: Duration = Duration::from_secs(2);

/// A probe on behalf of another daemon.
#[derive(Debug)]
struct Relay {
    target: DaemonId,
    asker: DaemonId,
    deadline: Instant,
}

/// Counters of membership.
#[derive(Debug)]
struct Metrics {
    changes: IntCounterVec,
    probes: IntCounter,
}

impl Metrics {
    fn new(setup: &Setup) -> Self {
        let registry = &setup.registry;
        let help = "Changes of members as this daemon saw them";
        let changes = metrics::counters(registry, "pomelo_member_changes_total", help, "to");
        let probes = metrics::counter(registry, "pomelo_member_probes_total", "Probes of overdue members");
        Self { changes, probes }
    }
}

/// Membership of one daemon.
#[derive(Debug)]
pub struct Membership {
    table: Table,
    seeds: BTreeSet<DaemonId>,
    /// Clock of this daemon's newest heartbeat; grows with each.
    clock: u32,
    /// Facts told by the newest heartbeat: version, store down, vouched changes.
    told: (u64, bool, u32),
    next_beat: Option<Instant>,
    next_round: Option<Instant>,
    next_probe: Option<Instant>,
    next_contact: Option<Instant>,
    last_tick: Option<Instant>,
    news: Vec<(MemberInfo, u8)>,
    relays: Vec<Relay>,
    registration: Registration,
    leave_deadline: Option<Instant>,
    metrics: Metrics,
}

impl Membership {
    /// Makes the area.
    pub fn new(setup: &Setup) -> Self {
        Self {
            table: Table::default(),
            seeds: setup.peers.iter().copied().filter(|p| *p != setup.me.id).collect(),
            clock: 0,
            told: (0, false, 0),
            next_beat: None,
            next_round: None,
            next_probe: None,
            next_contact: None,
            last_tick: None,
            news: Vec::new(),
            relays: Vec::new(),
            registration: Registration::default(),
            leave_deadline: None,
            metrics: Metrics::new(setup),
        }
    }

    fn me(cx: &Cx<'_>) -> MemberInfo {
        let me = &cx.board.me;
        let state = if cx.board.stopping { MemberState::Left } else { MemberState::Alive };
        MemberInfo { id: me.id, api: me.api, place: me.place.clone(), incarnation: me.incarnation, state }
    }

    fn facts(cx: &Cx<'_>) -> (u64, bool, u32) {
        (cx.board.version(), cx.board.store_down, cx.board.server_set_seq)
    }

    /// Makes a new heartbeat of this daemon.
    fn own_beat(&mut self, cx: &Cx<'_>) -> Heartbeat {
        self.clock += 1;
        self.told = Self::facts(cx);
        self.last_beat(cx)
    }

    /// The newest heartbeat of this daemon. It answers a probe: who probes has missed it, and a new one
    /// would be spread to the whole fleet.
    fn last_beat(&self, cx: &Cx<'_>) -> Heartbeat {
        let me = &cx.board.me;
        let packed_lag = u32::from(cx.board.store_down);
        Heartbeat {
            daemon: incarnation_hash(me.id, me.incarnation),
            clock: self.clock,
            packed_lag,
            server_set_seq: cx.board.server_set_seq,
        }
    }

    fn partners(&self, cx: &mut Cx<'_>) -> Vec<DaemonId> {
        let candidates = self.table.iter().filter(|p| p.is_talking() || p.info.state == MemberState::Left);
        let recent = candidates.filter(|p| cx.now < p.heard + LEAVE_TIME || p.is_talking());
        let candidates = recent.map(|p| (p.info.id, &p.info.place));
        partners::pick(cx.rng, &cx.board.me.place.region, candidates, FANOUT)
    }

    fn round(&mut self, cx: &mut Cx<'_>) {
        let partners = self.partners(cx);
        self.spread_news(cx, &partners);
        let is_due = self.next_beat.is_none_or(|at| cx.now >= at) || self.told != Self::facts(cx);
        let mut own = None;
        if is_due {
            let pace = Pace::new(cx.board.members.len() + 1);
            self.next_beat = Some(cx.now + pace.beat);
            own = Some(self.own_beat(cx));
        }
        self.spread_beats(cx, &partners, own);
    }

    fn spread_beats(&mut self, cx: &mut Cx<'_>, partners: &[DaemonId], mut own: Option<Heartbeat>) {
        if partners.is_empty() {
            return;
        }
        for _ in 0..MAX_BATCHES {
            let (newest, mut beats) = self.table.take_hot(partners.len(), MAX_BEATS - 1);
            let mut version = newest;
            if let Some(own) = own.take() {
                version = newest.max(cx.board.version());
                raise(&mut beats, version - newest);
                let behind = (version - cx.board.version()).min(u64::from(u32::MAX >> 1)) as u32;
                beats.push(Heartbeat { packed_lag: own.packed_lag | behind << 1, ..own });
            }
            if beats.is_empty() {
                return;
            }
            for to in partners {
                cx.send(*to, Msg::Member(MemberMsg::Heartbeats { version, beats: beats.clone() }));
            }
        }
    }

    fn spread_news(&mut self, cx: &mut Cx<'_>, partners: &[DaemonId]) {
        if partners.is_empty() || self.news.is_empty() {
            return;
        }
        let members: Vec<_> = self.news.iter().map(|(info, _)| info.clone()).collect();
        for to in partners {
            cx.send(*to, Msg::Member(MemberMsg::Update { members: members.clone() }));
        }
        for (_, rounds) in &mut self.news {
            *rounds -= 1;
        }
        self.news.retain(|(_, rounds)| *rounds > 0);
    }

    /// Probes members that are not heard in time; suspects by way of others too.
    fn probe(&mut self, cx: &mut Cx<'_>, judged: &Judged) {
        let is_quiet = judged.overdue.is_empty() && judged.suspect.is_empty();
        if is_quiet || self.next_probe.is_some_and(|at| cx.now < at) {
            return;
        }
        self.next_probe = Some(cx.now + PROBE_INTERVAL);
        let suspect: Vec<_> = judged.suspect.choose_multiple(cx.rng, MAX_PROBES).copied().collect();
        let overdue: Vec<_> = judged.overdue.choose_multiple(cx.rng, MAX_PROBES).copied().collect();
        for target in suspect.iter().chain(&overdue) {
            self.metrics.probes.inc();
            cx.send(*target, Msg::Member(MemberMsg::Ping));
        }
        if suspect.is_empty() {
            return;
        }
        let alive = self.table.iter().filter(|p| p.info.state == MemberState::Alive);
        let alive: Vec<_> = alive.map(|p| p.info.id).collect();
        for target in suspect {
            let helpers: SmallVec<[DaemonId; HELPERS]> =
                alive.choose_multiple(cx.rng, HELPERS).copied().collect();
            for helper in helpers {
                cx.send(helper, Msg::Member(MemberMsg::PingReq { target }));
            }
        }
    }

    /// Introduces this daemon to one that it does not hear: a seed, or one that was given up.
    fn contact(&mut self, cx: &mut Cx<'_>) {
        if self.next_contact.is_some_and(|at| cx.now < at) {
            return;
        }
        self.next_contact = Some(cx.now + PROBE_INTERVAL);
        let is_heard = |id: &DaemonId| {
            let known = self.table.get(*id);
            known.is_some_and(|p| p.info.state != MemberState::Dead)
        };
        let mut unheard: Vec<_> = self.seeds.iter().filter(|id| !is_heard(id)).copied().collect();
        unheard.extend(self.table.iter().filter(|p| p.info.state == MemberState::Dead).map(|p| p.info.id));
        let info = Self::me(cx);
        let chosen: SmallVec<[DaemonId; 2]> = unheard.choose_multiple(cx.rng, 2).copied().collect();
        for to in chosen {
            cx.send(to, Msg::Member(MemberMsg::Update { members: vec![info.clone()] }));
        }
    }

    fn apply(&mut self, cx: &mut Cx<'_>, change: Change) {
        match change {
            Change::None | Change::Unknown(_) => {}
            Change::Heard(id) => self.heard(cx, id),
            Change::Up(id) => self.up(cx, id),
            Change::Left(id) => {
                event!(Info, MemberLeft, "daemon={id}");
                self.metrics.changes.with_label_values(&["left"]).inc();
                self.tell(id);
                cx.board.dead_members.remove(&id);
                cx.board.server_set_seqs.remove(&id);
                if cx.board.members.remove(&id).is_some() {
                    cx.emit(Event::MembersChanged);
                    cx.publish_view();
                }
            }
        }
    }

    fn heard(&mut self, cx: &mut Cx<'_>, id: DaemonId) {
        let Some(peer) = self.table.get(id) else { return };
        if let Some(member) = cx.board.members.get_mut(&id) {
            member.version = peer.version;
            member.store_down = peer.store_down;
            member.state = peer.info.state;
        }
        cx.board.server_set_seqs.insert(id, peer.vouched);
    }

    /// Passes the newest heartbeat of a probed daemon on to those that asked for the probe.
    fn pass_on(&mut self, cx: &mut Cx<'_>, id: DaemonId) {
        let Some((version, beat)) = self.table.beat_of(id) else { return };
        for relay in self.relays.extract_if(.., |r| r.target == id) {
            cx.send(relay.asker, Msg::Member(MemberMsg::Heartbeats { version, beats: vec![beat] }));
        }
    }

    fn up(&mut self, cx: &mut Cx<'_>, id: DaemonId) {
        let Some(peer) = self.table.get(id) else { return };
        event!(Info, MemberUp, "daemon={id} incarnation={}", peer.info.incarnation);
        self.metrics.changes.with_label_values(&["up"]).inc();
        let member = Member {
            id,
            api: peer.info.api,
            place: peer.info.place.clone(),
            incarnation: peer.info.incarnation,
            state: MemberState::Alive,
            store_down: peer.store_down,
            version: peer.version,
        };
        cx.board.members.insert(id, member);
        cx.board.dead_members.remove(&id);
        self.tell(id);
        self.heard(cx, id);
        cx.emit(Event::MembersChanged);
        cx.publish_view();
    }

    fn tell(&mut self, id: DaemonId) {
        if let Some(peer) = self.table.get(id) {
            self.news.retain(|(info, _)| info.id != id);
            self.news.push((peer.info.clone(), NEWS_ROUNDS));
        }
    }

    fn judge(&mut self, cx: &mut Cx<'_>) {
        let pace = Pace::new(cx.board.members.len() + 1);
        let judged = self.table.judge(cx.now, &pace);
        for id in &judged.suspect {
            if let Some(member) = cx.board.members.get_mut(id)
                && member.state == MemberState::Alive
            {
                member.state = MemberState::Suspect;
                event!(Info, MemberSuspect, "daemon={id}");
                self.metrics.changes.with_label_values(&["suspect"]).inc();
            }
        }
        for id in &judged.gone {
            event!(Warn, MemberDown, "daemon={id}");
            self.metrics.changes.with_label_values(&["down"]).inc();
            cx.board.server_set_seqs.remove(id);
            if let Some(member) = cx.board.members.remove(id) {
                cx.board.dead_members.insert(*id, member.place);
            }
        }
        if !judged.gone.is_empty() {
            cx.emit(Event::MembersChanged);
            cx.publish_view();
        }
        self.probe(cx, &judged);
    }

    fn take_update(&mut self, cx: &mut Cx<'_>, from: DaemonId, members: &[MemberInfo]) {
        for info in members {
            if info.id == cx.board.me.id {
                continue;
            }
            let is_direct = info.id == from;
            let change = self.table.merge(cx.now, info, is_direct);
            if change == Change::None && info.state == MemberState::Dead {
                note_gone(cx, &self.table, info.id);
            }
            // Whoever introduces itself gets the whole table: it may know nobody else.
            if is_direct && matches!(change, Change::Up(_)) {
                let mut members: Vec<_> = self.table.iter().map(|p| p.info.clone()).collect();
                members.push(Self::me(cx));
                cx.send(from, Msg::Member(MemberMsg::Update { members }));
            }
            self.apply(cx, change);
        }
    }

    fn take_beats(&mut self, cx: &mut Cx<'_>, from: DaemonId, version: u64, beats: &[Heartbeat]) {
        let me = incarnation_hash(cx.board.me.id, cx.board.me.incarnation);
        let mut wants = Vec::new();
        for beat in beats.iter().filter(|b| b.daemon != me) {
            let change = self.table.beat(cx.now, from, beat, version);
            if let Change::Unknown(name) = change
                && wants.len() < MAX_WANTS
            {
                wants.push(name);
            }
            self.apply(cx, change);
        }
        // Any word of a probed daemon answers the probe, also when its heartbeat is known here.
        self.pass_on(cx, from);
        if !wants.is_empty() {
            cx.send(from, Msg::Member(MemberMsg::Want { daemons: wants }));
        }
    }

    fn answer_want(&self, cx: &mut Cx<'_>, from: DaemonId, daemons: &[IncarnationHash]) {
        let me = incarnation_hash(cx.board.me.id, cx.board.me.incarnation);
        let known = daemons.iter().filter_map(|name| self.table.by_short(*name));
        let mut members: Vec<_> = known.map(|p| p.info.clone()).collect();
        if daemons.contains(&me) {
            members.push(Self::me(cx));
        }
        if !members.is_empty() {
            cx.send(from, Msg::Member(MemberMsg::Update { members }));
        }
    }

    fn members_json(cx: &Cx<'_>) -> Value {
        let b = &cx.board;
        let me = json!({
            "id": b.me.id, "api": b.me.api, "place": b.me.place, "state": "alive",
            "version": b.version(), "store_down": b.store_down, "incarnation": b.me.incarnation,
        });
        let others = b.members.values().map(|m| {
            json!({
                "id": m.id, "api": m.api, "place": m.place, "state": m.state,
                "version": m.version, "store_down": m.store_down, "incarnation": m.incarnation,
            })
        });
        let gone =
            b.dead_members.iter().map(|(id, place)| json!({ "id": id, "place": place, "state": "dead" }));
        Value::Array(std::iter::once(me).chain(others).chain(gone).collect())
    }
}

/// Counts heartbeats from a version that is higher by `by`.
fn raise(beats: &mut [Heartbeat], by: u64) {
    let by = by.min(u64::from(u32::MAX >> 2)) as u32;
    for beat in beats {
        beat.packed_lag = beat.packed_lag.saturating_add(by << 1);
    }
}

impl Area for Membership {
    fn name(&self) -> &'static str {
        "member"
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        let gap = self.last_tick.map_or(Duration::ZERO, |at| cx.now - at);
        self.last_tick = Some(cx.now);
        if gap > PAUSE_GAP {
            self.table.forgive(gap);
        }
        if self.next_round.is_some_and(|at| cx.now < at) {
            return;
        }
        self.next_round = Some(cx.now + ROUND);
        self.relays.retain(|r| cx.now < r.deadline);
        self.judge(cx);
        self.round(cx);
        self.contact(cx);
        self.registration.keep(cx);
        self.table.forget(cx.now);
    }

    fn on_msg(&mut self, cx: &mut Cx<'_>, from: DaemonId, msg: &Msg) {
        let Msg::Member(msg) = msg else { return };
        match msg {
            MemberMsg::Ping => {
                let version = cx.board.version();
                let beats = vec![self.last_beat(cx)];
                cx.send(from, Msg::Member(MemberMsg::Heartbeats { version, beats }));
            }
            MemberMsg::PingReq { target } => {
                if self.relays.len() < MAX_RELAYS {
                    let deadline = cx.now + RELAY_TIME;
                    self.relays.push(Relay { target: *target, asker: from, deadline });
                    cx.send(*target, Msg::Member(MemberMsg::Ping));
                }
            }
            MemberMsg::Heartbeats { version, beats } => self.take_beats(cx, from, *version, beats),
            MemberMsg::Want { daemons } => self.answer_want(cx, from, daemons),
            MemberMsg::Update { members } => self.take_update(cx, from, members),
        }
    }

    fn on_store(&mut self, cx: &mut Cx<'_>, token: StoreToken, res: &Result<StoreRep, StoreError>) {
        self.registration.on_store(cx, &mut self.table, token, res);
    }

    fn on_event(&mut self, cx: &mut Cx<'_>, event: &Event) {
        if matches!(event, Event::Stopping) {
            self.leave_deadline = Some(cx.now + LEAVE_TIME);
            self.news.push((Self::me(cx), NEWS_ROUNDS));
            let partners = self.partners(cx);
            self.spread_news(cx, &partners);
            self.registration.keep(cx);
        }
    }

    fn on_api(&mut self, cx: &mut Cx<'_>, ticket: Ticket, req: &ApiReq) -> bool {
        if (&*req.method, req.segments().as_slice()) != ("GET", ["v1", "members"].as_slice()) {
            return false;
        }
        cx.answer(ticket, ApiRep::ok(Self::members_json(cx)));
        true
    }

    fn status(&self) -> Value {
        let count = |state| self.table.iter().filter(|p| p.info.state == state).count();
        json!({
            "alive": count(MemberState::Alive), "suspect": count(MemberState::Suspect),
            "gone": count(MemberState::Dead), "left": count(MemberState::Left),
            "registered": self.registration.is_written(),
        })
    }

    fn is_idle(&self) -> bool {
        let is_told = self.news.is_empty() || self.table.iter().all(|p| !p.is_talking());
        let is_late = match (self.leave_deadline, self.last_tick) {
            (Some(deadline), Some(now)) => now >= deadline,
            _ => false,
        };
        is_late || (is_told && self.registration.is_deleted())
    }
}
