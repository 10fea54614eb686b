//! The registry of announced backend servers.

use std::time::Duration;

use base::{DaemonId, event};
use kernel::{ApiRep, ApiReq, Area, AreaEntry, Cx, Event, ServerEntry, Setup, Ticket};
use serde_json::{Value, json};
use wire::Msg;
use wire::server::{ServerInfo, ServerMsg, ServerState};

kernel::inventory::submit! {
    AreaEntry { name: "servers", order: 30, build: |setup| Box::new(Servers::new(setup)) }
}

/// Time for which an announcement holds, in milliseconds.
const TTL_MS: u32 = 3_000;

/// Registry of one daemon.
#[derive(Debug)]
pub struct Servers;

impl Servers {
    /// Makes the area.
    pub fn new(_setup: &Setup) -> Self {
        Self
    }

    fn announce(cx: &mut Cx<'_>, id: &str, body: &[u8]) -> ApiRep {
        let mut value: Value = match serde_json::from_slice(body) {
            Ok(value) => value,
            Err(e) => return ApiRep::error(400, "bad-announcement", &e.to_string(), "send a JSON object"),
        };
        value["id"] = json!(id);
        value["stamp"] = json!(cx.wall_ms);
        value["ttl_ms"] = json!(TTL_MS);
        let info: ServerInfo = match serde_json::from_value(value) {
            Ok(info) => info,
            Err(e) => {
                let remedy = "send service, addr, place, slots, connections, load and state";
                return ApiRep::error(400, "bad-announcement", &e.to_string(), remedy);
            }
        };
        let peers: Vec<_> = cx.board.members.keys().copied().collect();
        for to in peers {
            cx.send(to, Msg::Server(ServerMsg::Update { servers: vec![info.clone()] }));
        }
        take(cx, info);
        ApiRep::ok(json!({ "ttl_ms": TTL_MS }))
    }
}

fn take(cx: &mut Cx<'_>, info: ServerInfo) {
    let old = cx.board.servers.get(&info.id);
    if old.is_some_and(|o| o.info.stamp >= info.stamp) {
        return;
    }
    let is_new = old.is_none();
    let was = old.map(|o| o.info.state);
    let ready_since = old.and_then(|o| o.ready_since);
    let ready_since = if info.state == ServerState::Ready { ready_since.or(Some(cx.now)) } else { None };
    if is_new {
        event!(Info, ServerAnnounced, "server={} service={}", info.id, info.service);
    } else if info.state == ServerState::Draining && was != Some(ServerState::Draining) {
        event!(Info, ServerLeaving, "server={}", info.id);
    }
    let lapses = cx.now + Duration::from_millis(u64::from(info.ttl_ms));
    let changed = was != Some(info.state);
    cx.board.servers.insert(info.id.clone(), ServerEntry { info, lapses, ready_since });
    if changed {
        cx.emit(Event::ServersChanged);
    }
    cx.publish();
}

impl Area for Servers {
    fn name(&self) -> &'static str {
        "servers"
    }

    fn on_api(&mut self, cx: &mut Cx<'_>, ticket: Ticket, req: &ApiReq) -> bool {
        let rep = match (&*req.method, req.segments().as_slice()) {
            ("PUT", ["v1", "servers", id]) => Self::announce(cx, id, &req.body),
            ("GET", ["v1", "servers"]) => {
                let list: Vec<_> = cx.board.servers.values().map(|s| &s.info).collect();
                ApiRep::ok(list)
            }
            _ => return false,
        };
        cx.answer(ticket, rep);
        true
    }

    fn on_msg(&mut self, cx: &mut Cx<'_>, _from: DaemonId, msg: &Msg) {
        if let Msg::Server(ServerMsg::Update { servers }) = msg {
            for info in servers {
                take(cx, info.clone());
            }
        }
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let lapsed: Vec<_> =
            cx.board.servers.iter().filter(|(_, s)| s.lapses <= now).map(|(id, _)| id.clone()).collect();
        for id in lapsed {
            cx.board.servers.remove(&id);
            event!(Warn, ServerLeaving, "server={id} lapsed");
            cx.emit(Event::ServersChanged);
            cx.publish();
        }
    }
}
