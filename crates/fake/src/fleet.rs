//! Real control kernels of several daemons, driven over the fake network and store.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::Place;
use kernel::machine::TICK_MS;
use kernel::{ApiRep, ApiReq, Input, Kernel, LocalDaemon, Output, Report, Setup, Ticket, View};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use store::StoreOp;
use wire::{Envelope, FleetSecret};

use crate::network::FakeNetwork;
use crate::store::FakeStore;

/// Number of a daemon in the fleet, counted from 0.
pub type DaemonIndex = usize;

/// Wall clock at the start of a run, in milliseconds since the epoch.
const WALL_START_MS: u64 = 1_800_000_000_000;
/// Longest wait of [`Fleet::call_and_wait`], in virtual time.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Virtual time between checks for the answer in [`Fleet::call_and_wait`].
const CALL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Resources that a daemon's control kernel has used since the daemon was added.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Bytes sent to other daemons.
    pub bytes_sent: u64,
    /// Messages sent to other daemons.
    pub messages_sent: u64,
    /// Real time spent in the kernel; sealing and opening of messages is not counted.
    pub busy_time: Duration,
}

/// An event that is scheduled at a daemon.
#[derive(Debug)]
enum Event {
    /// A sealed message arrives.
    Message(Vec<u8>),
    /// A store operation takes effect.
    StoreEffect(u64, StoreOp),
    /// The result of a store operation arrives.
    StoreResult(Input),
    /// The kernel's periodic tick is due.
    Tick,
}

/// One daemon.
#[derive(Debug)]
struct Daemon {
    me: LocalDaemon,
    /// `None` while crashed.
    kernel: Option<Kernel>,
    /// While paused, events are kept in `held_events`.
    paused: bool,
    held_events: Vec<Event>,
    /// Grows with each start and crash; events that were scheduled for an earlier generation are dropped.
    generation: u64,
    view: Arc<View>,
    answers: HashMap<Ticket, ApiRep>,
    cost: Cost,
}

/// Daemons under virtual time; each consists of its control kernel only.
#[derive(Debug)]
pub struct Fleet {
    /// Network; its faults may be changed at any time.
    pub network: FakeNetwork,
    /// Store; its faults may be changed at any time.
    pub store: FakeStore,
    start: Instant,
    now: Instant,
    rng: SmallRng,
    secret: FleetSecret,
    daemons: Vec<Daemon>,
    /// Time and id of each pending event; those at the same time are handled in the order of their ids.
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Pending events by id, with the daemon and the generation for which they were scheduled.
    events: HashMap<u64, (DaemonIndex, u64, Event)>,
    last_event_id: u64,
    last_ticket: Ticket,
}

impl Fleet {
    /// Starts one daemon at each (region, data centre), with every area that is linked into the test.
    ///
    /// # Panics
    /// Does not panic: the secret of the fake fleet is long enough.
    pub fn new(seed: u64, places: &[(&str, &str)]) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            network: FakeNetwork::default(),
            store: FakeStore::default(),
            start: now,
            now,
            rng: SmallRng::seed_from_u64(seed),
            secret: FleetSecret::new(b"secret of the fake fleet").expect("long enough"),
            daemons: Vec::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_event_id: 0,
            last_ticket: 0,
        };
        for (region, data_centre) in places {
            fleet.add_daemon(region, data_centre);
        }
        fleet
    }

    /// Adds a daemon with an address of its own and starts it.
    pub fn add_daemon(&mut self, region: &str, data_centre: &str) -> DaemonIndex {
        let index = self.daemons.len();
        let addr = |port: u16| SocketAddr::from(([127, 1, (index >> 8) as u8, index as u8], port));
        let me = LocalDaemon::new(addr(7_000), addr(7_001), region, data_centre, 0);
        self.daemons.push(Daemon {
            view: Arc::new(View::empty(me.place.clone())),
            me,
            kernel: None,
            paused: false,
            held_events: Vec::new(),
            generation: 0,
            answers: HashMap::new(),
            cost: Cost::default(),
        });
        self.restart(index);
        index
    }

    /// Starts a daemon again at its old address, with a new incarnation and empty state.
    pub fn restart(&mut self, index: DaemonIndex) {
        let wall_ms = self.wall_ms();
        let peers = self.daemons.iter().take(3).map(|d| d.me.id).collect();
        let now = self.now;
        let daemon = &mut self.daemons[index];
        daemon.generation += 1;
        daemon.paused = false;
        daemon.held_events.clear();
        daemon.me.incarnation = wall_ms + daemon.generation;
        daemon.view = Arc::new(View::empty(daemon.me.place.clone()));
        let seed = daemon.generation << 32 | index as u64;
        let setup = Setup { peers, ..Setup::new(daemon.me.clone(), seed) };
        daemon.kernel = Some(Kernel::new(setup, now));
        let offset = Duration::from_micros(index as u64 * 997 % (TICK_MS * 1_000));
        self.schedule(offset, index, Event::Tick);
    }

    /// Ends a daemon at once, as SIGKILL does.
    pub fn crash(&mut self, index: DaemonIndex) {
        let daemon = &mut self.daemons[index];
        daemon.kernel = None;
        daemon.generation += 1;
        daemon.held_events.clear();
    }

    /// Suspends a daemon, as SIGSTOP does.
    pub fn pause(&mut self, index: DaemonIndex) {
        self.daemons[index].paused = true;
    }

    /// Resumes a paused daemon; it now gets the messages, store results and ticks that came due meanwhile.
    pub fn resume(&mut self, index: DaemonIndex) {
        self.daemons[index].paused = false;
        let held_events = std::mem::take(&mut self.daemons[index].held_events);
        for event in held_events {
            self.schedule(Duration::ZERO, index, event);
        }
    }

    /// Tells a daemon to stop gracefully; see [`Self::is_finished`].
    pub fn stop(&mut self, index: DaemonIndex) {
        self.handle_input(index, Input::Stop);
    }

    /// Whether a stopping daemon has finished.
    pub fn is_finished(&self, index: DaemonIndex) -> bool {
        self.daemons[index].kernel.as_ref().is_some_and(Kernel::is_finished)
    }

    /// Loses every message from `a` to `b`, and those from `b` to `a` too if `both_ways`.
    pub fn cut_link(&mut self, a: DaemonIndex, b: DaemonIndex, both_ways: bool) {
        let (a, b) = (self.daemons[a].me.id, self.daemons[b].me.id);
        self.network.cut_links.insert((a, b));
        if both_ways {
            self.network.cut_links.insert((b, a));
        }
    }

    /// Loses every message between regions, and makes the store unreachable from the region `far`.
    pub fn cut_region(&mut self, far: &str) {
        for a in 0..self.daemons.len() {
            for b in 0..self.daemons.len() {
                if self.place(a).region != self.place(b).region {
                    self.cut_link(a, b, false);
                }
            }
            if *self.place(a).region == *far {
                self.store.cut_off_daemons.insert(self.daemons[a].me.id);
            }
        }
    }

    /// Restores every link between daemons and to the store; other faults stay in force.
    pub fn heal(&mut self) {
        self.network.cut_links.clear();
        self.store.cut_off_daemons.clear();
    }

    /// Advances virtual time and handles the events that come due.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, id))) = self.queue.peek().copied().filter(|Reverse((at, _))| *at <= end) {
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some((index, generation, event)) = self.events.remove(&id) {
                self.handle_event(index, generation, event);
            }
        }
        self.now = end;
    }

    /// Sends a request to a daemon's operator API and returns its ticket for [`Self::answer`]. `path`
    /// includes the query.
    pub fn call(&mut self, index: DaemonIndex, method: &str, path: &str, body: &str) -> Ticket {
        self.last_ticket += 1;
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let req = ApiReq { method: method.into(), path: path.into(), query: query.into(), body: body.into() };
        let ticket = self.last_ticket;
        self.handle_input(index, Input::Api { ticket, req });
        ticket
    }

    /// The answer to a call; `None` until it has come.
    pub fn answer(&self, index: DaemonIndex, ticket: Ticket) -> Option<&ApiRep> {
        self.daemons[index].answers.get(&ticket)
    }

    /// Sends a request to a daemon's operator API and advances time until the answer, at most 10 s.
    pub fn call_and_wait(
        &mut self,
        index: DaemonIndex,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<ApiRep> {
        let ticket = self.call(index, method, path, body);
        let end = self.now + CALL_TIMEOUT;
        while self.now < end && self.answer(index, ticket).is_none() {
            self.run_for(CALL_POLL_INTERVAL);
        }
        self.answer(index, ticket).cloned()
    }

    /// Passes a report to a daemon's control kernel as one of its traffic threads would.
    pub fn report(&mut self, index: DaemonIndex, report: Report) {
        self.handle_input(index, Input::Report(report));
    }

    /// Number of daemons that were added, crashed ones included.
    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// A daemon's description of itself.
    pub fn local_daemon(&self, index: DaemonIndex) -> &LocalDaemon {
        &self.daemons[index].me
    }

    /// Region and data centre of a daemon.
    pub fn place(&self, index: DaemonIndex) -> &Place {
        &self.daemons[index].me.place
    }

    /// A daemon's kernel; `None` while crashed.
    pub fn kernel(&self, index: DaemonIndex) -> Option<&Kernel> {
        self.daemons[index].kernel.as_ref()
    }

    /// Whether a daemon is paused. The test must not run traffic at a paused daemon.
    pub fn is_paused(&self, index: DaemonIndex) -> bool {
        self.daemons[index].paused
    }

    /// The last view that a daemon has published for its traffic threads.
    pub fn view(&self, index: DaemonIndex) -> &Arc<View> {
        &self.daemons[index].view
    }

    /// Resources that a daemon's control kernel has used so far, in all its incarnations.
    pub fn cost(&self, index: DaemonIndex) -> Cost {
        self.daemons[index].cost
    }

    /// Current virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Virtual wall clock in milliseconds since the epoch.
    pub fn wall_ms(&self) -> u64 {
        WALL_START_MS + (self.now - self.start).as_millis() as u64
    }

    fn schedule(&mut self, delay: Duration, index: DaemonIndex, event: Event) {
        self.last_event_id += 1;
        self.queue.push(Reverse((self.now + delay, self.last_event_id)));
        self.events.insert(self.last_event_id, (index, self.daemons[index].generation, event));
    }

    fn handle_event(&mut self, index: DaemonIndex, generation: u64, event: Event) {
        let daemon = &mut self.daemons[index];
        match event {
            // The operation takes effect in the store even if the daemon has crashed since it sent the call.
            Event::StoreEffect(token, op) => {
                let from = daemon.me.id;
                let res = self.store.execute_op(from, &op, &mut self.rng);
                if self.daemons[index].generation == generation {
                    let latency = self.store.latency;
                    self.schedule(latency, index, Event::StoreResult(Input::Store { token, res }));
                }
            }
            _ if daemon.generation != generation => {}
            event if daemon.paused => daemon.held_events.push(event),
            Event::Message(sealed) => {
                let Ok(e) = wire::open(&self.secret, &sealed) else {
                    return;
                };
                self.handle_input(index, Input::Msg { from: e.from, incarnation: e.incarnation, msg: e.msg });
            }
            Event::StoreResult(input) => self.handle_input(index, input),
            Event::Tick => {
                self.handle_input(index, Input::Tick);
                self.schedule(Duration::from_millis(TICK_MS), index, Event::Tick);
            }
        }
    }

    fn handle_input(&mut self, index: DaemonIndex, input: Input) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let Some(kernel) = &mut self.daemons[index].kernel else {
            return;
        };
        let started = Instant::now();
        let outputs = kernel.handle(now, wall_ms, input);
        self.daemons[index].cost.busy_time += started.elapsed();
        for output in outputs {
            self.execute_output(index, output);
        }
    }

    fn execute_output(&mut self, index: DaemonIndex, output: Output) {
        match output {
            Output::Send { to, msg } => {
                let me = &self.daemons[index].me;
                let envelope = Envelope { from: me.id, to, incarnation: me.incarnation, msg };
                let sealed = wire::seal(&self.secret, &envelope);
                self.daemons[index].cost.bytes_sent += sealed.len() as u64;
                self.daemons[index].cost.messages_sent += 1;
                self.send_message(index, envelope.to, &sealed);
            }
            Output::Store { token, op } => {
                let latency = self.store.latency;
                self.schedule(latency, index, Event::StoreEffect(token, op));
            }
            Output::Answer { ticket, rep } => {
                self.daemons[index].answers.insert(ticket, rep);
            }
            Output::Publish(view) => self.daemons[index].view = view,
        }
    }

    fn send_message(&mut self, from: DaemonIndex, to: SocketAddr, sealed: &[u8]) {
        let Some(target) = self.daemons.iter().position(|d| d.me.id == to) else {
            return;
        };
        if self.daemons[target].kernel.is_none() {
            return;
        }
        let (a, b) = (&self.daemons[from].me, &self.daemons[target].me);
        let delays = self.network.draw_delays((a.id, &a.place), (b.id, &b.place), &mut self.rng);
        for delay in delays {
            self.schedule(delay, target, Event::Message(sealed.to_vec()));
        }
    }
}
