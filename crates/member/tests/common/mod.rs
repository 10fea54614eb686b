//! Fixtures: a small fleet with the areas of this crate, in which a configuration is just a version number.
#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::DaemonId;
use conf::Snapshot;
use fake::{DaemonIndex, Fleet};
use kernel::{Area, AreaEntry, Cx, Event, Setup};
use member as _;
use serde_json::{Value, json};
use store::{Commit, StoreOp, Write};

kernel::inventory::submit! {
    AreaEntry { name: "head", order: 15, build: |_: &Setup| Box::new(HeadFollower::default()) }
}

/// Longest age of a current view.
const MAX_AGE: Duration = Duration::from_secs(3);

/// Replaces the configuration area: puts the version in the row `fleet/head` in force one tick after
/// reading it.
#[derive(Default)]
struct HeadFollower {
    /// When the last answered pull from each daemon was sent.
    last_pulls: BTreeMap<DaemonId, Instant>,
    now: Option<Instant>,
}

impl Area for HeadFollower {
    fn name(&self) -> &'static str {
        "head"
    }

    fn on_event(&mut self, cx: &mut Cx<'_>, event: &Event) {
        let seen = match event {
            Event::FleetRowsRead { rows, .. } => {
                rows.iter().find(|(k, _)| **k == *"fleet/head").map_or(0, |(_, r)| r.value.parse().unwrap())
            }
            Event::PullAnswered { from, status, asked_at } => {
                self.last_pulls.insert(*from, *asked_at);
                status.version
            }
            _ => 0,
        };
        cx.board.head_seen = cx.board.head_seen.max(seen);
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if cx.board.head_seen > cx.board.version() {
            let mut snapshot = Snapshot::default();
            snapshot.version = cx.board.head_seen;
            snapshot.fleet.store_region = Some("meseta".into());
            cx.board.conf = Some(Arc::new(snapshot));
            cx.emit(Event::ConfChanged);
        }
        self.now = Some(cx.now);
        cx.board.holders = cx.board.alive().into();
    }

    fn status(&self) -> Value {
        let is_fresh = |at: &&Instant| self.now.is_some_and(|now| now < **at + MAX_AGE);
        json!({ "fresh_holders": self.last_pulls.values().filter(is_fresh).count() })
    }
}

/// Places of `near` daemons in the store's region and `far` daemons in the other region.
pub fn places(near: usize, far: usize) -> Vec<(&'static str, &'static str)> {
    let near_dcs = ["barva", "paraiso"];
    let far_dcs = ["canas", "santa-cruz"];
    let near = (0..near).map(|i| ("meseta", near_dcs[i % 2]));
    let far = (0..far).map(|i| ("guanacaste", far_dcs[i % 2]));
    near.chain(far).collect()
}

/// A fleet whose daemons have found each other and have version 1 in force.
pub fn converged_fleet(near: usize, far: usize) -> Fleet {
    let mut fleet = Fleet::new(7, &places(near, far));
    commit_head(&mut fleet, 1);
    run_seconds(&mut fleet, 6);
    fleet
}

/// Advances the simulation by some seconds.
pub fn run_seconds(fleet: &mut Fleet, seconds: u64) {
    fleet.run_for(Duration::from_secs(seconds));
}

/// Commits a head with this version.
pub fn commit_head(fleet: &mut Fleet, version: u64) {
    let write = Write::put("fleet/head", &version.to_string());
    let op = StoreOp::Commit(Commit { checks: vec![], writes: vec![write] });
    fleet.store.mem.apply(&op).unwrap();
}

/// Number of other members that a daemon knows.
pub fn member_count(fleet: &Fleet, index: DaemonIndex) -> usize {
    fleet.kernel(index).unwrap().board().members.len()
}

/// Whether a daemon runs and its traffic counts its view as current.
pub fn is_current(fleet: &Fleet, index: DaemonIndex) -> bool {
    fleet.kernel(index).is_some() && fleet.view(index).is_current(fleet.now())
}

/// Announces a server at a daemon; returns the status of the answer.
pub fn announce(fleet: &mut Fleet, at: DaemonIndex, id: &str, state: &str) -> u16 {
    let body = format!(
        r#"{{"service":"sacristia","addr":"127.0.0.9:80","place":{{"region":"meseta","data_centre":"barva"}},
        "slots":6,"connections":400,"load":0.5,"state":"{state}"}}"#
    );
    let path = format!("/v1/servers/{id}");
    fleet.call_and_wait(at, "PUT", &path, &body).unwrap().status
}

/// Whether a daemon gives a server new work.
pub fn takes_work(fleet: &Fleet, index: DaemonIndex, id: &str) -> bool {
    use wire::server::ServerState::{Ready, Starting};
    let board = fleet.kernel(index).unwrap().board();
    board.servers.get(id).is_some_and(|s| matches!(s.info.state, Ready | Starting))
}
