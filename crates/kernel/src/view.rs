//! The view: an immutable snapshot of what the traffic threads need from control, replaced as a whole.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use base::{Place, ServerId, ServiceId};
use conf::{KeyHash, Service, Snapshot};
use wire::server::{ServerInfo, ServerState};

use crate::board::Board;
use crate::counters::ServerCounters;

/// A server that the traffic threads may choose.
#[derive(Debug)]
pub struct ServerView {
    /// Last announcement.
    pub info: ServerInfo,
    /// Share of its normal load that the server may get, 0 to 1; 0: no requests.
    pub weight: f32,
    /// Whether the server may get idempotent requests as trials although its weight is low.
    pub trial: bool,
    /// When the server was first seen ready; the cold-start ramp counts from here.
    pub ready_since: Option<Instant>,
    /// Counters shared by the traffic threads; the same object in successive views.
    pub counters: Arc<ServerCounters>,
}

/// A service and its servers.
#[derive(Debug)]
pub struct ServiceView {
    /// Settings of the service.
    pub service: Arc<Service>,
    /// Servers that take new work, sorted by id; draining and stopped servers are left out.
    pub servers: Vec<Arc<ServerView>>,
}

/// Everything that the traffic threads need from control.
#[derive(Debug)]
pub struct View {
    /// Configuration in force.
    pub conf: Option<Arc<Snapshot>>,
    /// Withdrawn keys that `conf` does not list as withdrawn yet.
    pub withdrawn: Arc<HashSet<KeyHash>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Arc<ServiceView>>,
    /// Until when the view counts as current; `None` if it never was.
    pub current_until: Option<Instant>,
    /// Region and data centre of this daemon.
    pub place: Place,
    /// Number of daemons believed to run in this region, this one included.
    pub region_daemons: u32,
    /// Whether the daemon is stopping.
    pub stopping: bool,
}

impl View {
    /// The view of a daemon that has just started.
    pub fn empty(place: Place) -> Self {
        Self {
            conf: None,
            withdrawn: Arc::default(),
            services: HashMap::new(),
            current_until: None,
            place,
            region_daemons: 1,
            stopping: false,
        }
    }

    /// Whether the view is current at `now`, so that it may decide whether a key is valid.
    pub fn is_current(&self, now: Instant) -> bool {
        self.current_until.is_some_and(|until| now < until)
    }
}

/// Builds views and keeps the counters of announced servers from one view to the next.
#[derive(Debug, Default)]
pub(crate) struct ViewBuilder {
    counters: HashMap<ServerId, Arc<ServerCounters>>,
}

impl ViewBuilder {
    pub(crate) fn build(&mut self, board: &Board, now: Instant) -> View {
        self.counters.retain(|id, _| board.servers.contains_key(id));
        let mut services = HashMap::new();
        if let Some(conf) = &board.conf {
            for (name, service) in &conf.services {
                let view = ServiceView { service: Arc::clone(service), servers: Vec::new() };
                services.insert(name.clone(), view);
            }
        }
        for (id, entry) in &board.servers {
            let takes_work = matches!(entry.info.state, ServerState::Ready | ServerState::Starting);
            let Some(service) = services.get_mut(&entry.info.service) else {
                continue;
            };
            if !takes_work || entry.expires_at <= now {
                continue;
            }
            let verdict = board.verdicts.get(id).filter(|v| v.expires_at > now);
            let server_counters = self.counters.entry(id.clone()).or_default();
            service.servers.push(Arc::new(ServerView {
                info: entry.info.clone(),
                weight: verdict.map_or(1.0, |v| v.weight),
                trial: verdict.is_some_and(|v| v.trial),
                ready_since: entry.ready_since,
                counters: Arc::clone(server_counters),
            }));
        }
        let region = &board.me.place.region;
        let others = board.members.values().filter(|m| m.is_alive() && m.place.region == *region).count();
        View {
            conf: board.conf.clone(),
            withdrawn: Arc::clone(&board.withdrawn),
            services: services.into_iter().map(|(name, view)| (name, Arc::new(view))).collect(),
            current_until: board.current_until,
            place: board.me.place.clone(),
            region_daemons: others as u32 + 1,
            stopping: board.stopping,
        }
    }
}
