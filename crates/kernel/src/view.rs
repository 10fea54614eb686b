//! What traffic reads: one immutable view, replaced as a whole.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use base::{Place, ServerId, ServiceId};
use conf::{KeyHash, Service, Snapshot};
use wire::server::{ServerInfo, ServerState};

use crate::board::Board;
use crate::counters::ServerCounters;

/// A server that may be chosen.
#[derive(Debug)]
pub struct ServerView {
    /// Last announcement.
    pub info: ServerInfo,
    /// Share of its normal work, 0 to 1; 0: gets no work.
    pub weight: f32,
    /// Whether it may get repeatable trial requests although its weight is low.
    pub trial: bool,
    /// When it was first seen ready.
    pub ready_since: Option<Instant>,
    /// Counters shared by the traffic threads; the same object in successive views.
    pub counters: Arc<ServerCounters>,
}

/// A service and its servers.
#[derive(Debug)]
pub struct ServiceView {
    /// Its settings.
    pub service: Arc<Service>,
    /// Servers that take new work, sorted by id; draining and gone ones are left out.
    pub servers: Vec<Arc<ServerView>>,
}

/// Everything that traffic needs from control.
#[derive(Debug)]
pub struct View {
    /// Configuration in force.
    pub conf: Option<Arc<Snapshot>>,
    /// Withdrawn keys.
    pub withdrawn: Arc<HashSet<KeyHash>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Arc<ServiceView>>,
    /// Until when the view counts as current.
    pub current_until: Option<Instant>,
    /// Where this daemon stands.
    pub place: Place,
    /// Number of daemons believed to work in this region, this one included.
    pub region_daemons: u32,
    /// Whether the daemon is stopping.
    pub stopping: bool,
}

impl View {
    /// The view of a daemon that knows nothing yet.
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

    /// Whether keys may be judged at `now`.
    pub fn is_current(&self, now: Instant) -> bool {
        self.current_until.is_some_and(|until| now < until)
    }
}

/// Builds views and keeps the cells of announced servers.
#[derive(Debug, Default)]
pub(crate) struct ViewBuilder {
    cells: HashMap<ServerId, Arc<ServerCounters>>,
}

impl ViewBuilder {
    pub(crate) fn build(&mut self, board: &Board, now: Instant) -> View {
        self.cells.retain(|id, _| board.servers.contains_key(id));
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
            let cell = self.cells.entry(id.clone()).or_default();
            service.servers.push(Arc::new(ServerView {
                info: entry.info.clone(),
                weight: verdict.map_or(1.0, |v| v.weight),
                trial: verdict.is_some_and(|v| v.trial),
                ready_since: entry.ready_since,
                counters: Arc::clone(cell),
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
