//! The membership area: finds other daemons by their rows in the store and by configured peers, spreads
//! heartbeats by gossip and probes members whose heartbeats are overdue.

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

use crate::peer_table::{DetectorTiming, PeerChange, PeerTable, SilentMembers};
use crate::registration::{Registration, record_dead_member};
use crate::{metrics, partners};

kernel::inventory::submit! {
    AreaEntry { name: "member", order: 10, build: |setup| Box::new(Membership::new(setup)) }
}

/// Interval between gossip rounds.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Partners in each gossip round.
const GOSSIP_FANOUT: usize = 3;
/// Most heartbeats in one message, so that it fits a datagram.
const MAX_HEARTBEATS_PER_MSG: usize = 80;
/// Most heartbeat messages to each partner in one round.
const MAX_HEARTBEAT_MSGS_PER_ROUND: usize = 4;
/// Most unknown daemons whose descriptions are asked for in one message.
const MAX_WANTED_DAEMONS: usize = 64;
/// Interval between probes of overdue members, and between introductions to daemons not heard from.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Daemons that are asked to probe a suspected member on behalf of this one.
const PROBE_HELPERS: usize = 3;
/// Most overdue and most suspected members probed at once, so that the loss of a data centre causes no burst.
const MAX_PROBES_PER_ROUND: usize = 16;
/// Most pending probes on behalf of other daemons.
const MAX_INDIRECT_PROBES: usize = 256;
/// Time after which a probe on behalf of another daemon is abandoned.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Gossip rounds in which a changed description is sent.
const UPDATE_ROUNDS: u8 = 4;
/// Gap between two ticks above which this process counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Longest time that a stopping daemon waits for its row to be deleted. For this long the others also keep
/// sending to a daemon that left.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// A probe that another daemon asked for.
#[derive(Debug)]
struct IndirectProbe {
    target: DaemonId,
    requester: DaemonId,
    deadline: Instant,
}

#[derive(Debug)]
struct Metrics {
    changes: IntCounterVec,
    probes: IntCounter,
}

impl Metrics {
    fn new(setup: &Setup) -> Self {
        let registry = &setup.registry;
        let help = "Changes of members as this daemon saw them";
        let changes = metrics::counter_vec(registry, "pomelo_member_changes_total", help, "to");
        let probes = metrics::counter(registry, "pomelo_member_probes_total", "Probes of overdue members");
        Self { changes, probes }
    }
}

/// The membership area of this daemon.
#[derive(Debug)]
pub struct Membership {
    table: PeerTable,
    /// Configured peers, contacted until they are heard from.
    seeds: BTreeSet<DaemonId>,
    /// Clock of this daemon's newest heartbeat; one higher in each.
    clock: u32,
    /// Facts in this daemon's newest heartbeat: version of the configuration, whether the store is down, and
    /// the number of the last change of the server set.
    sent_facts: (u64, bool, u32),
    next_heartbeat_at: Option<Instant>,
    next_round: Option<Instant>,
    next_probe: Option<Instant>,
    next_contact: Option<Instant>,
    last_tick: Option<Instant>,
    /// Changed descriptions to spread, each with the number of rounds left to it.
    updates: Vec<(MemberInfo, u8)>,
    indirect_probes: Vec<IndirectProbe>,
    registration: Registration,
    leave_deadline: Option<Instant>,
    metrics: Metrics,
}

impl Membership {
    /// Makes the area; the configured peers are its seeds.
    pub fn new(setup: &Setup) -> Self {
        Self {
            table: PeerTable::default(),
            seeds: setup.peers.iter().copied().filter(|p| *p != setup.me.id).collect(),
            clock: 0,
            sent_facts: (0, false, 0),
            next_heartbeat_at: None,
            next_round: None,
            next_probe: None,
            next_contact: None,
            last_tick: None,
            updates: Vec::new(),
            indirect_probes: Vec::new(),
            registration: Registration::default(),
            leave_deadline: None,
            metrics: Metrics::new(setup),
        }
    }

    fn self_description(cx: &Cx<'_>) -> MemberInfo {
        let me = &cx.board.me;
        let state = if cx.board.stopping { MemberState::Left } else { MemberState::Alive };
        MemberInfo { id: me.id, api: me.api, place: me.place.clone(), incarnation: me.incarnation, state }
    }

    /// Facts whose change makes this daemon send a heartbeat at once.
    fn heartbeat_facts(cx: &Cx<'_>) -> (u64, bool, u32) {
        (cx.board.version(), cx.board.store_down, cx.board.server_set_seq)
    }

    /// Makes a new heartbeat of this daemon.
    fn next_heartbeat(&mut self, cx: &Cx<'_>) -> Heartbeat {
        self.clock += 1;
        self.sent_facts = Self::heartbeat_facts(cx);
        self.current_heartbeat(cx)
    }

    /// The newest heartbeat of this daemon. It is enough to answer a probe, since the prober has missed it;
    /// a new one would spread to the whole fleet.
    fn current_heartbeat(&self, cx: &Cx<'_>) -> Heartbeat {
        let me = &cx.board.me;
        let packed_lag = u32::from(cx.board.store_down);
        Heartbeat {
            daemon: incarnation_hash(me.id, me.incarnation),
            clock: self.clock,
            packed_lag,
            server_set_seq: cx.board.server_set_seq,
        }
    }

    /// Picks gossip partners among the members and the daemons that have just left.
    fn choose_partners(&self, cx: &mut Cx<'_>) -> Vec<DaemonId> {
        let candidates = self.table.iter().filter(|p| p.is_active() || p.info.state == MemberState::Left);
        let recent = candidates.filter(|p| cx.now < p.heard_at + LEAVE_TIMEOUT || p.is_active());
        let candidates = recent.map(|p| (p.info.id, &p.info.place));
        partners::pick_partners(cx.rng, &cx.board.me.place.region, candidates, GOSSIP_FANOUT)
    }

    fn gossip_round(&mut self, cx: &mut Cx<'_>) {
        let partners = self.choose_partners(cx);
        self.spread_updates(cx, &partners);
        let is_due = self.next_heartbeat_at.is_none_or(|at| cx.now >= at)
            || self.sent_facts != Self::heartbeat_facts(cx);
        let mut own = None;
        if is_due {
            let timing = DetectorTiming::new(cx.board.members.len() + 1);
            self.next_heartbeat_at = Some(cx.now + timing.heartbeat_interval);
            own = Some(self.next_heartbeat(cx));
        }
        self.spread_heartbeats(cx, &partners, own);
    }

    fn spread_heartbeats(&mut self, cx: &mut Cx<'_>, partners: &[DaemonId], mut own: Option<Heartbeat>) {
        if partners.is_empty() {
            return;
        }
        for _ in 0..MAX_HEARTBEAT_MSGS_PER_ROUND {
            let (newest, mut beats) =
                self.table.take_heartbeats_to_forward(partners.len(), MAX_HEARTBEATS_PER_MSG - 1);
            let mut version = newest;
            if let Some(own) = own.take() {
                version = newest.max(cx.board.version());
                increase_lag(&mut beats, version - newest);
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

    fn spread_updates(&mut self, cx: &mut Cx<'_>, partners: &[DaemonId]) {
        if partners.is_empty() || self.updates.is_empty() {
            return;
        }
        let members: Vec<_> = self.updates.iter().map(|(info, _)| info.clone()).collect();
        for to in partners {
            cx.send(*to, Msg::Member(MemberMsg::Update { members: members.clone() }));
        }
        for (_, rounds) in &mut self.updates {
            *rounds -= 1;
        }
        self.updates.retain(|(_, rounds)| *rounds > 0);
    }

    /// Probes overdue and suspected members, and asks other daemons to probe the suspected ones too.
    fn probe_silent(&mut self, cx: &mut Cx<'_>, silent: &SilentMembers) {
        let is_quiet = silent.overdue.is_empty() && silent.suspect.is_empty();
        if is_quiet || self.next_probe.is_some_and(|at| cx.now < at) {
            return;
        }
        self.next_probe = Some(cx.now + PROBE_INTERVAL);
        let suspect: Vec<_> = silent.suspect.choose_multiple(cx.rng, MAX_PROBES_PER_ROUND).copied().collect();
        let overdue: Vec<_> = silent.overdue.choose_multiple(cx.rng, MAX_PROBES_PER_ROUND).copied().collect();
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
            let helpers: SmallVec<[DaemonId; PROBE_HELPERS]> =
                alive.choose_multiple(cx.rng, PROBE_HELPERS).copied().collect();
            for helper in helpers {
                cx.send(helper, Msg::Member(MemberMsg::PingReq { target }));
            }
        }
    }

    /// Sends this daemon's description to two daemons that it doesn't hear from: configured peers that never
    /// sent anything, or daemons considered failed.
    fn contact_unheard(&mut self, cx: &mut Cx<'_>) {
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
        let info = Self::self_description(cx);
        let chosen: SmallVec<[DaemonId; 2]> = unheard.choose_multiple(cx.rng, 2).copied().collect();
        for to in chosen {
            cx.send(to, Msg::Member(MemberMsg::Update { members: vec![info.clone()] }));
        }
    }

    fn apply_change(&mut self, cx: &mut Cx<'_>, change: PeerChange) {
        match change {
            PeerChange::None | PeerChange::Unknown(_) => {}
            PeerChange::Heard(id) => self.on_heartbeat(cx, id),
            PeerChange::Up(id) => self.on_member_up(cx, id),
            PeerChange::Left(id) => {
                event!(Info, MemberLeft, "daemon={id}");
                self.metrics.changes.with_label_values(&["left"]).inc();
                self.queue_update(id);
                cx.board.dead_members.remove(&id);
                cx.board.server_set_seqs.remove(&id);
                if cx.board.members.remove(&id).is_some() {
                    cx.emit(Event::MembersChanged);
                    cx.publish_view();
                }
            }
        }
    }

    fn on_heartbeat(&mut self, cx: &mut Cx<'_>, id: DaemonId) {
        let Some(peer) = self.table.get(id) else { return };
        if let Some(member) = cx.board.members.get_mut(&id) {
            member.version = peer.version;
            member.store_down = peer.store_down;
            member.state = peer.info.state;
        }
        cx.board.server_set_seqs.insert(id, peer.server_set_seq);
    }

    /// Forwards the newest heartbeat of a probed daemon to the daemons that asked for the probe.
    fn forward_heartbeat(&mut self, cx: &mut Cx<'_>, id: DaemonId) {
        let Some((version, beat)) = self.table.heartbeat_of(id) else { return };
        for probe in self.indirect_probes.extract_if(.., |p| p.target == id) {
            cx.send(probe.requester, Msg::Member(MemberMsg::Heartbeats { version, beats: vec![beat] }));
        }
    }

    fn on_member_up(&mut self, cx: &mut Cx<'_>, id: DaemonId) {
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
        self.queue_update(id);
        self.on_heartbeat(cx, id);
        cx.emit(Event::MembersChanged);
        cx.publish_view();
    }

    fn queue_update(&mut self, id: DaemonId) {
        if let Some(peer) = self.table.get(id) {
            self.updates.retain(|(info, _)| info.id != id);
            self.updates.push((peer.info.clone(), UPDATE_ROUNDS));
        }
    }

    fn detect_failures(&mut self, cx: &mut Cx<'_>) {
        let timing = DetectorTiming::new(cx.board.members.len() + 1);
        let silent = self.table.detect_failures(cx.now, &timing);
        for id in &silent.suspect {
            if let Some(member) = cx.board.members.get_mut(id)
                && member.state == MemberState::Alive
            {
                member.state = MemberState::Suspect;
                event!(Info, MemberSuspect, "daemon={id}");
                self.metrics.changes.with_label_values(&["suspect"]).inc();
            }
        }
        for id in &silent.dead {
            event!(Warn, MemberDown, "daemon={id}");
            self.metrics.changes.with_label_values(&["down"]).inc();
            cx.board.server_set_seqs.remove(id);
            if let Some(member) = cx.board.members.remove(id) {
                cx.board.dead_members.insert(*id, member.place);
            }
        }
        if !silent.dead.is_empty() {
            cx.emit(Event::MembersChanged);
            cx.publish_view();
        }
        self.probe_silent(cx, &silent);
    }

    fn handle_update(&mut self, cx: &mut Cx<'_>, from: DaemonId, members: &[MemberInfo]) {
        for info in members {
            if info.id == cx.board.me.id {
                continue;
            }
            let is_direct = info.id == from;
            let change = self.table.merge(cx.now, info, is_direct);
            if change == PeerChange::None && info.state == MemberState::Dead {
                record_dead_member(cx, &self.table, info.id);
            }
            // A daemon that introduces itself gets the whole table, since it may know no other daemon.
            if is_direct && matches!(change, PeerChange::Up(_)) {
                let mut members: Vec<_> = self.table.iter().map(|p| p.info.clone()).collect();
                members.push(Self::self_description(cx));
                cx.send(from, Msg::Member(MemberMsg::Update { members }));
            }
            self.apply_change(cx, change);
        }
    }

    fn handle_heartbeats(&mut self, cx: &mut Cx<'_>, from: DaemonId, version: u64, beats: &[Heartbeat]) {
        let me = incarnation_hash(cx.board.me.id, cx.board.me.incarnation);
        let mut unknown = Vec::new();
        for beat in beats.iter().filter(|b| b.daemon != me) {
            let change = self.table.apply_heartbeat(cx.now, from, beat, version);
            if let PeerChange::Unknown(hash) = change
                && unknown.len() < MAX_WANTED_DAEMONS
            {
                unknown.push(hash);
            }
            self.apply_change(cx, change);
        }
        // Any heartbeat message from a probed daemon answers the probe, even if its heartbeat is not new
        // here.
        self.forward_heartbeat(cx, from);
        if !unknown.is_empty() {
            cx.send(from, Msg::Member(MemberMsg::Want { daemons: unknown }));
        }
    }

    fn answer_want(&self, cx: &mut Cx<'_>, from: DaemonId, daemons: &[IncarnationHash]) {
        let me = incarnation_hash(cx.board.me.id, cx.board.me.incarnation);
        let known = daemons.iter().filter_map(|hash| self.table.by_hash(*hash));
        let mut members: Vec<_> = known.map(|p| p.info.clone()).collect();
        if daemons.contains(&me) {
            members.push(Self::self_description(cx));
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
        let dead =
            b.dead_members.iter().map(|(id, place)| json!({ "id": id, "place": place, "state": "dead" }));
        Value::Array(std::iter::once(me).chain(others).chain(dead).collect())
    }
}

/// Adapts heartbeats to a message whose version is higher by `by`, by increasing the lag of each.
fn increase_lag(beats: &mut [Heartbeat], by: u64) {
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
        if gap > PAUSE_THRESHOLD {
            self.table.extend_deadlines(gap);
        }
        if self.next_round.is_some_and(|at| cx.now < at) {
            return;
        }
        self.next_round = Some(cx.now + GOSSIP_INTERVAL);
        self.indirect_probes.retain(|p| cx.now < p.deadline);
        self.detect_failures(cx);
        self.gossip_round(cx);
        self.contact_unheard(cx);
        self.registration.maintain(cx);
        self.table.forget_departed(cx.now);
    }

    fn on_msg(&mut self, cx: &mut Cx<'_>, from: DaemonId, msg: &Msg) {
        let Msg::Member(msg) = msg else { return };
        match msg {
            MemberMsg::Ping => {
                let version = cx.board.version();
                let beats = vec![self.current_heartbeat(cx)];
                cx.send(from, Msg::Member(MemberMsg::Heartbeats { version, beats }));
            }
            MemberMsg::PingReq { target } => {
                if self.indirect_probes.len() < MAX_INDIRECT_PROBES {
                    let deadline = cx.now + INDIRECT_PROBE_TIMEOUT;
                    self.indirect_probes.push(IndirectProbe { target: *target, requester: from, deadline });
                    cx.send(*target, Msg::Member(MemberMsg::Ping));
                }
            }
            MemberMsg::Heartbeats { version, beats } => self.handle_heartbeats(cx, from, *version, beats),
            MemberMsg::Want { daemons } => self.answer_want(cx, from, daemons),
            MemberMsg::Update { members } => self.handle_update(cx, from, members),
        }
    }

    fn on_store(&mut self, cx: &mut Cx<'_>, token: StoreToken, res: &Result<StoreRep, StoreError>) {
        self.registration.on_store(cx, &mut self.table, token, res);
    }

    fn on_event(&mut self, cx: &mut Cx<'_>, event: &Event) {
        if matches!(event, Event::Stopping) {
            self.leave_deadline = Some(cx.now + LEAVE_TIMEOUT);
            self.updates.push((Self::self_description(cx), UPDATE_ROUNDS));
            let partners = self.choose_partners(cx);
            self.spread_updates(cx, &partners);
            self.registration.maintain(cx);
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
        let is_spread = self.updates.is_empty() || self.table.iter().all(|p| !p.is_active());
        let is_late = match (self.leave_deadline, self.last_tick) {
            (Some(deadline), Some(now)) => now >= deadline,
            _ => false,
        };
        is_late || (is_spread && self.registration.is_deleted())
    }
}
