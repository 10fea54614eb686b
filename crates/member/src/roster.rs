//! The membership area: finds daemons through the table and seeds, and watches them by heartbeats.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::{DaemonId, event};
use kernel::{Area, AreaEntry, Cx, Event, Member, Setup, StoreToken};
use serde_json::{Value, json};
use store::{Commit, StoreError, StoreOp, StoreRep, Write};
use wire::Msg;
use wire::member::{MemberInfo, MemberMsg, MemberState};

kernel::inventory::submit! {
    AreaEntry { name: "member", order: 10, build: |setup| Box::new(Roster::new(setup)) }
}

/// Interval between heartbeats, and between reads of the table.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Silence after which a member counts as gone.
const DEAD_AFTER: Duration = Duration::from_secs(3);
/// Prefix of the daemons' rows in the table.
const ROWS: &str = "daemons/";

/// Membership of one daemon.
#[derive(Debug)]
pub struct Roster {
    seeds: Vec<DaemonId>,
    heard: BTreeMap<DaemonId, Instant>,
    next_beat: Option<Instant>,
    registered: bool,
    read: Option<StoreToken>,
    write: Option<StoreToken>,
}

impl Roster {
    /// Makes the area.
    pub fn new(setup: &Setup) -> Self {
        Self {
            seeds: setup.peers.clone(),
            heard: BTreeMap::new(),
            next_beat: None,
            registered: false,
            read: None,
            write: None,
        }
    }

    fn beat(&mut self, cx: &mut Cx<'_>) {
        let state = if cx.board.stopping { MemberState::Left } else { MemberState::Alive };
        let me = &cx.board.me;
        let info = MemberInfo {
            id: me.id,
            api: me.api,
            place: me.place.clone(),
            incarnation: me.incarnation,
            refutation: 0,
            state,
        };
        let mut targets: Vec<_> = cx.board.members.keys().copied().collect();
        targets.extend(self.seeds.iter().filter(|s| !cx.board.members.contains_key(s)));
        for to in targets {
            if to != cx.board.me.id {
                cx.send(to, Msg::Member(MemberMsg::Update { members: vec![info.clone()] }));
            }
        }
    }

    fn register(&mut self, cx: &mut Cx<'_>) {
        let key = format!("{ROWS}{}", cx.board.me.id);
        let value = json!({"api": cx.board.me.api.to_string()}).to_string();
        let commit = Commit { checks: vec![], writes: vec![Write::put(&key, &value)] };
        self.write = Some(cx.store(StoreOp::Commit(commit)));
    }

    fn take(&mut self, cx: &mut Cx<'_>, info: &MemberInfo) {
        if info.id == cx.board.me.id {
            return;
        }
        if info.state == MemberState::Left {
            if cx.board.members.remove(&info.id).is_some() {
                event!(Info, MemberLeft, "daemon={}", info.id);
                cx.emit(Event::MembersChanged);
            }
            self.heard.remove(&info.id);
            return;
        }
        self.heard.insert(info.id, cx.now);
        let known = cx.board.members.get(&info.id).is_some_and(|m| m.incarnation == info.incarnation);
        if !known {
            event!(Info, MemberUp, "daemon={}", info.id);
            let member = Member {
                id: info.id,
                api: info.api,
                place: info.place.clone(),
                incarnation: info.incarnation,
                state: MemberState::Alive,
                store_down: false,
                version: 0,
            };
            cx.board.members.insert(info.id, member);
            cx.emit(Event::MembersChanged);
            self.beat(cx);
        }
    }

    fn drop_silent(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let silent: Vec<_> =
            self.heard.iter().filter(|(_, at)| now >= **at + DEAD_AFTER).map(|(id, _)| *id).collect();
        for id in silent {
            self.heard.remove(&id);
            cx.board.members.remove(&id);
            event!(Warn, MemberDown, "daemon={id}");
            cx.emit(Event::MembersChanged);
        }
    }
}

impl Area for Roster {
    fn name(&self) -> &'static str {
        "member"
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if self.next_beat.is_some_and(|at| cx.now < at) {
            return;
        }
        self.next_beat = Some(cx.now + HEARTBEAT);
        self.beat(cx);
        self.drop_silent(cx);
        if !self.registered && self.write.is_none() {
            self.register(cx);
        }
        if self.read.is_none() && cx.board.members.is_empty() {
            self.read = Some(cx.store(StoreOp::Range { prefix: ROWS.into() }));
        }
    }

    fn on_msg(&mut self, cx: &mut Cx<'_>, _from: DaemonId, msg: &Msg) {
        if let Msg::Member(MemberMsg::Update { members }) = msg {
            for info in members {
                self.take(cx, info);
            }
        }
    }

    fn on_store(&mut self, _cx: &mut Cx<'_>, token: StoreToken, res: &Result<StoreRep, StoreError>) {
        if self.write == Some(token) {
            self.write = None;
            self.registered = res.is_ok();
        }
        if self.read == Some(token) {
            self.read = None;
            if let Ok(StoreRep::Rows(rows)) = res {
                let ids = rows.iter().filter_map(|(key, _)| key.strip_prefix(ROWS)?.parse::<DaemonId>().ok());
                self.seeds.extend(ids);
                self.seeds.sort_unstable();
                self.seeds.dedup();
            }
        }
    }

    fn on_event(&mut self, cx: &mut Cx<'_>, event: &Event) {
        if matches!(event, Event::Stopping) {
            self.beat(cx);
        }
    }

    fn status(&self) -> Value {
        json!({ "heard": self.heard.len() })
    }
}
