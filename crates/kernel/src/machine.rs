//! The kernel itself: passes inputs to the areas and collects their outputs.

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
use crate::incarnations::Incarnations;
use crate::input::{Event, Input, Output, StoreToken};
use crate::pool::TokenPools;
use crate::view::ViewBuilder;

/// Interval of [`Input::Tick`] in milliseconds.
pub const TICK_MS: u64 = 50;

/// Arguments from which the kernel and its areas are built.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Description of this daemon.
    pub me: LocalDaemon,
    /// Seed of all random numbers of the control kernel.
    pub seed: u64,
    /// Peer addresses by which to join the fleet while the store does not answer.
    pub peers: Vec<base::DaemonId>,
    /// Hashes callers' keys.
    pub hasher: conf::KeyHasher,
    /// Registry of the daemon's metrics.
    pub registry: Registry,
}

impl Setup {
    /// Makes a setup without peers and with an empty fleet secret, for tests.
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
    last_token: StoreToken,
    store_op_areas: HashMap<StoreToken, usize>,
    view_builder: ViewBuilder,
    incarnations: Incarnations,
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

    /// Makes the kernel with the given areas only, for tests.
    pub fn with_areas(setup: Setup, now: Instant, areas: Vec<Box<dyn Area>>) -> Self {
        Self {
            incarnations: Incarnations::new(&setup.registry),
            rng: SmallRng::seed_from_u64(setup.seed),
            board: Board::new(setup.me),
            pools: Arc::new(TokenPools::new(now)),
            areas,
            last_token: 0,
            store_op_areas: HashMap::new(),
            view_builder: ViewBuilder::default(),
            started: false,
        }
    }

    /// Facts shared between areas.
    pub fn board(&self) -> &Board {
        &self.board
    }

    /// Token pools from which the traffic threads take.
    pub fn pools(&self) -> &Arc<TokenPools> {
        &self.pools
    }

    /// Whether the daemon is stopping and every area has finished.
    pub fn is_finished(&self) -> bool {
        self.board.stopping && self.areas.iter().all(|a| a.is_idle())
    }

    /// Handles one input, with the events that it causes, and returns what the driver must do.
    pub fn handle(&mut self, now: Instant, wall_ms: u64, input: Input) -> Vec<Output> {
        let mut dispatch =
            Dispatch { now, wall_ms, outputs: Vec::new(), events: VecDeque::new(), publishes_view: false };
        if !self.started {
            self.started = true;
            self.call_areas(&mut dispatch, |area, cx| area.on_start(cx));
        }
        match input {
            Input::Tick => self.call_areas(&mut dispatch, |area, cx| area.on_tick(cx)),
            Input::Msg { from, incarnation, msg } => {
                if self.incarnations.is_newest(from, incarnation) {
                    self.call_areas(&mut dispatch, |area, cx| area.on_msg(cx, from, &msg));
                }
            }
            Input::Report(report) => self.call_areas(&mut dispatch, |area, cx| area.on_report(cx, &report)),
            Input::Store { token, res } => {
                if let Some(index) = self.store_op_areas.remove(&token) {
                    self.call_area(index, &mut dispatch, |area, cx| area.on_store(cx, token, &res));
                }
            }
            Input::Api { ticket, req } => self.handle_api(&mut dispatch, ticket, &req),
            Input::Stop => {
                self.board.stopping = true;
                dispatch.publishes_view = true;
                dispatch.events.push_back(Event::Stopping);
            }
        }
        while let Some(event) = dispatch.events.pop_front() {
            self.call_areas(&mut dispatch, |area, cx| area.on_event(cx, &event));
        }
        if dispatch.publishes_view {
            let view = self.view_builder.build(&self.board, now);
            dispatch.outputs.push(Output::Publish(Arc::new(view)));
        }
        dispatch.outputs
    }

    fn handle_api(&mut self, dispatch: &mut Dispatch, ticket: Ticket, req: &ApiReq) {
        if *req.method == *"GET" && *req.path == *"/v1/status" {
            let rep = ApiRep::ok(self.status());
            dispatch.outputs.push(Output::Answer { ticket, rep });
            return;
        }
        for index in 0..self.areas.len() {
            if self.call_area(index, dispatch, |area, cx| area.on_api(cx, ticket, req)) {
                return;
            }
        }
        let problem = format!("unknown API call {} {}", req.method, req.path);
        let rep = ApiRep::error(404, "no-such-call", &problem, "see docs/OPERATING.md for the API's calls");
        dispatch.outputs.push(Output::Answer { ticket, rep });
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

    fn call_areas(&mut self, dispatch: &mut Dispatch, mut f: impl FnMut(&mut dyn Area, &mut Cx<'_>)) {
        for index in 0..self.areas.len() {
            self.call_area(index, dispatch, &mut f);
        }
    }

    fn call_area<T>(
        &mut self,
        index: usize,
        dispatch: &mut Dispatch,
        f: impl FnOnce(&mut dyn Area, &mut Cx<'_>) -> T,
    ) -> T {
        let mut cx = Cx {
            now: dispatch.now,
            wall_ms: dispatch.wall_ms,
            board: &mut self.board,
            pools: &self.pools,
            rng: &mut self.rng,
            area_index: index,
            last_token: &mut self.last_token,
            store_op_areas: &mut self.store_op_areas,
            outputs: &mut dispatch.outputs,
            events: &mut dispatch.events,
            publishes_view: &mut dispatch.publishes_view,
        };
        f(&mut *self.areas[index], &mut cx)
    }
}

/// State of the handling of one input.
struct Dispatch {
    now: Instant,
    wall_ms: u64,
    outputs: Vec<Output>,
    events: VecDeque<Event>,
    publishes_view: bool,
}
