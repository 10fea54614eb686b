//! The kernel itself: routes inputs to areas and collects their outputs.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use prometheus::Registry;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Map, Value, json};

use crate::api::{ApiRep, ApiReq, Ticket};
use crate::area::{Area, AreaEntry};
use crate::board::{Board, LocalDaemon};
use crate::cx::Cx;
use crate::input::{Event, Input, Output, StoreToken};
use crate::pool::TokenPools;
use crate::senders::Senders;
use crate::view::ViewBuilder;

/// Interval of [`Input::Tick`] in milliseconds.
pub const TICK_MS: u64 = 50;

/// What areas get when they are made.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This daemon.
    pub me: LocalDaemon,
    /// Seed of all randomness of control.
    pub seed: u64,
    /// Peer addresses to try while the store does not answer.
    pub peers: Vec<base::DaemonId>,
    /// Hashes callers' keys.
    pub hasher: conf::KeyHasher,
    /// Registry for metrics.
    pub registry: Registry,
}

impl Setup {
    /// Makes a setup without peers and with an empty fleet secret, as tests use it.
    pub fn new(me: LocalDaemon, seed: u64) -> Self {
        Self { me, seed, peers: Vec::new(), hasher: conf::KeyHasher::new(b""), registry: Registry::new() }
    }
}

/// Control state of one daemon.
pub struct Kernel {
    board: Board,
    pools: Arc<TokenPools>,
    rng: SmallRng,
    areas: Vec<Box<dyn Area>>,
    next_token: StoreToken,
    owners: HashMap<StoreToken, usize>,
    views: ViewBuilder,
    senders: Senders,
    started: bool,
}

impl std::fmt::Debug for Kernel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Kernel").field("board", &self.board).finish_non_exhaustive()
    }
}

impl Kernel {
    /// Makes the kernel with every registered area.
    pub fn new(setup: Setup, now: Instant) -> Self {
        let mut entries: Vec<&AreaEntry> = inventory::iter::<AreaEntry>.into_iter().collect();
        entries.sort_by_key(|e| (e.order, e.name));
        let areas = entries.iter().map(|e| (e.build)(&setup)).collect();
        Self::with_areas(setup, now, areas)
    }

    /// Makes the kernel with the given areas only, as tests use it.
    pub fn with_areas(setup: Setup, now: Instant, areas: Vec<Box<dyn Area>>) -> Self {
        Self {
            senders: Senders::new(&setup.registry),
            rng: SmallRng::seed_from_u64(setup.seed),
            board: Board::new(setup.me),
            pools: Arc::new(TokenPools::new(now)),
            areas,
            next_token: 0,
            owners: HashMap::new(),
            views: ViewBuilder::default(),
            started: false,
        }
    }

    /// Facts shared between areas.
    pub fn board(&self) -> &Board {
        &self.board
    }

    /// Token pools for traffic.
    pub fn pools(&self) -> &Arc<TokenPools> {
        &self.pools
    }

    /// Whether the daemon is stopping and every area has finished.
    pub fn is_finished(&self) -> bool {
        self.board.stopping && self.areas.iter().all(|a| a.is_idle())
    }

    /// Handles one input and returns what the driver shall do.
    pub fn handle(&mut self, now: Instant, wall_ms: u64, input: Input) -> Vec<Output> {
        let mut turn = Turn { now, wall_ms, outputs: Vec::new(), events: VecDeque::new(), dirty: false };
        if !self.started {
            self.started = true;
            self.each(&mut turn, |area, cx| area.on_start(cx));
        }
        match input {
            Input::Tick => self.each(&mut turn, |area, cx| area.on_tick(cx)),
            Input::Msg { from, incarnation, msg } => {
                if self.senders.is_newest(from, incarnation) {
                    self.each(&mut turn, |area, cx| area.on_msg(cx, from, &msg));
                }
            }
            Input::Report(report) => self.each(&mut turn, |area, cx| area.on_report(cx, &report)),
            Input::Store { token, res } => {
                if let Some(index) = self.owners.remove(&token) {
                    self.one(index, &mut turn, |area, cx| area.on_store(cx, token, &res));
                }
            }
            Input::Api { ticket, req } => self.handle_api(&mut turn, ticket, &req),
            Input::Stop => {
                self.board.stopping = true;
                turn.dirty = true;
                turn.events.push_back(Event::Stopping);
            }
        }
        while let Some(event) = turn.events.pop_front() {
            self.each(&mut turn, |area, cx| area.on_event(cx, &event));
        }
        if turn.dirty {
            let view = self.views.build(&self.board, now);
            turn.outputs.push(Output::Publish(Arc::new(view)));
        }
        turn.outputs
    }

    fn handle_api(&mut self, turn: &mut Turn, ticket: Ticket, req: &ApiReq) {
        if *req.method == *"GET" && *req.path == *"/v1/status" {
            let rep = ApiRep::ok(self.status());
            turn.outputs.push(Output::Answer { ticket, rep });
            return;
        }
        for index in 0..self.areas.len() {
            if self.one(index, turn, |area, cx| area.on_api(cx, ticket, req)) {
                return;
            }
        }
        let problem = format!("nothing answers {} {}", req.method, req.path);
        let rep = ApiRep::error(404, "no-such-call", &problem, "see docs/OPERATING.md for the API's calls");
        turn.outputs.push(Output::Answer { ticket, rep });
    }

    fn status(&self) -> Value {
        let mut areas = Map::new();
        for area in &self.areas {
            areas.insert(area.name().into(), area.status());
        }
        let me = &self.board.me;
        json!({
            "daemon": me.id.to_string(),
            "region": me.place.region,
            "data_centre": me.place.data_centre,
            "version": self.board.version(),
            "members": self.board.alive().len(),
            "servers": self.board.servers.len(),
            "store_down": self.board.store_down,
            "stopping": self.board.stopping,
            "areas": areas,
        })
    }

    fn each(&mut self, turn: &mut Turn, mut f: impl FnMut(&mut dyn Area, &mut Cx<'_>)) {
        for index in 0..self.areas.len() {
            self.one(index, turn, &mut f);
        }
    }

    fn one<T>(
        &mut self,
        index: usize,
        turn: &mut Turn,
        f: impl FnOnce(&mut dyn Area, &mut Cx<'_>) -> T,
    ) -> T {
        let mut cx = Cx {
            now: turn.now,
            wall_ms: turn.wall_ms,
            board: &mut self.board,
            pools: &self.pools,
            rng: &mut self.rng,
            area: index,
            next_token: &mut self.next_token,
            owners: &mut self.owners,
            outputs: &mut turn.outputs,
            events: &mut turn.events,
            dirty: &mut turn.dirty,
        };
        f(&mut *self.areas[index], &mut cx)
    }
}

/// What collects while one input is handled.
struct Turn {
    now: Instant,
    wall_ms: u64,
    outputs: Vec<Output>,
    events: VecDeque<Event>,
    dirty: bool,
}
