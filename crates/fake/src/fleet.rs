//! A few real kernels, driven over the fake network and store.

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
/// Longest wait of [`Fleet::call_and_wait`].
const ASK_LIMIT: Duration = Duration::from_secs(10);
/// Step of [`Fleet::call_and_wait`].
const ASK_STEP: Duration = Duration::from_millis(5);

/// What a daemon's control has cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Bytes sent to other daemons.
    pub bytes_sent: u64,
    /// Messages sent to other daemons.
    pub messages_sent: u64,
    /// Real time spent in the kernel, sealing and opening left out.
    pub busy_time: Duration,
}

/// Something that happens at a daemon at a time.
#[derive(Debug)]
enum Due {
    /// A sealed message arrives.
    Message(Vec<u8>),
    /// A store call takes effect.
    StoreEffect(u64, StoreOp),
    /// The result of a store call arrives.
    StoreResult(Input),
    /// Time passed.
    Tick,
}

/// One daemon.
#[derive(Debug)]
struct Daemon {
    me: LocalDaemon,
    /// None while crashed.
    kernel: Option<Kernel>,
    /// While paused, everything that arrives waits.
    paused: bool,
    held: Vec<Due>,
    /// Grows with each start; events of an earlier start are dropped.
    life: u64,
    view: Arc<View>,
    answers: HashMap<Ticket, ApiRep>,
    cost: Cost,
}

/// Kernels under virtual time.
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
    /// Pending events by time, then by order of their making.
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: HashMap<u64, (DaemonIndex, u64, Due)>,
    next_event: u64,
    next_ticket: Ticket,
}

impl Fleet {
    /// Starts one daemon for each (region, data centre), each with every linked area.
    ///
    /// # Panics
    /// Never: the fake secret is long enough.
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
            next_event: 0,
            next_ticket: 0,
        };
        for (region, data_centre) in places {
            fleet.add_daemon(region, data_centre);
        }
        fleet
    }

    /// Starts one more daemon on a new address.
    pub fn add_daemon(&mut self, region: &str, data_centre: &str) -> DaemonIndex {
        let index = self.daemons.len();
        let addr = |port: u16| SocketAddr::from(([127, 1, (index >> 8) as u8, index as u8], port));
        let me = LocalDaemon::new(addr(7_000), addr(7_001), region, data_centre, 0);
        self.daemons.push(Daemon {
            view: Arc::new(View::empty(me.place.clone())),
            me,
            kernel: None,
            paused: false,
            held: Vec::new(),
            life: 0,
            answers: HashMap::new(),
            cost: Cost::default(),
        });
        self.restart(index);
        index
    }

    /// Starts a daemon anew on its address; it remembers nothing.
    pub fn restart(&mut self, index: DaemonIndex) {
        let wall_ms = self.wall_ms();
        let peers = self.daemons.iter().take(3).map(|d| d.me.id).collect();
        let now = self.now;
        let daemon = &mut self.daemons[index];
        daemon.life += 1;
        daemon.paused = false;
        daemon.held.clear();
        daemon.me.incarnation = wall_ms + daemon.life;
        daemon.view = Arc::new(View::empty(daemon.me.place.clone()));
        let seed = daemon.life << 32 | index as u64;
        let setup = Setup { peers, ..Setup::new(daemon.me.clone(), seed) };
        daemon.kernel = Some(Kernel::new(setup, now));
        let offset = Duration::from_micros(index as u64 * 997 % (TICK_MS * 1_000));
        self.schedule(offset, index, Due::Tick);
    }

    /// Ends a daemon without a word.
    pub fn crash(&mut self, index: DaemonIndex) {
        let daemon = &mut self.daemons[index];
        daemon.kernel = None;
        daemon.life += 1;
        daemon.held.clear();
    }

    /// Holds a daemon still, as SIGSTOP does.
    pub fn pause(&mut self, index: DaemonIndex) {
        self.daemons[index].paused = true;
    }

    /// Lets a paused daemon go on; what arrived meanwhile arrives now.
    pub fn resume(&mut self, index: DaemonIndex) {
        self.daemons[index].paused = false;
        let held = std::mem::take(&mut self.daemons[index].held);
        for due in held {
            self.schedule(Duration::ZERO, index, due);
        }
    }

    /// Tells a daemon to stop gracefully; see [`Self::is_finished`].
    pub fn stop(&mut self, index: DaemonIndex) {
        self.input(index, Input::Stop);
    }

    /// Whether a stopping daemon has finished.
    pub fn is_finished(&self, index: DaemonIndex) -> bool {
        self.daemons[index].kernel.as_ref().is_some_and(Kernel::is_finished)
    }

    /// Loses every message from `a` to `b`, or in both ways.
    pub fn cut_link(&mut self, a: DaemonIndex, b: DaemonIndex, both_ways: bool) {
        let (a, b) = (self.daemons[a].me.id, self.daemons[b].me.id);
        self.network.cuts.insert((a, b));
        if both_ways {
            self.network.cuts.insert((b, a));
        }
    }

    /// Loses every message between regions, and cuts `far` off the store.
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

    /// Ends every cut.
    pub fn heal(&mut self) {
        self.network.cuts.clear();
        self.store.cut_off_daemons.clear();
    }

    /// Lets virtual time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, id))) = self.queue.peek().copied().filter(|Reverse((at, _))| *at <= end) {
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some((index, life, due)) = self.events.remove(&id) {
                self.happen(index, life, due);
            }
        }
        self.now = end;
    }

    /// Asks a daemon's operator API and returns the ticket; see [`Self::answer`].
    pub fn call(&mut self, index: DaemonIndex, method: &str, path: &str, body: &str) -> Ticket {
        self.next_ticket += 1;
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let req = ApiReq { method: method.into(), path: path.into(), query: query.into(), body: body.into() };
        let ticket = self.next_ticket;
        self.input(index, Input::Api { ticket, req });
        ticket
    }

    /// The answer to a call, once it came.
    pub fn answer(&self, index: DaemonIndex, ticket: Ticket) -> Option<&ApiRep> {
        self.daemons[index].answers.get(&ticket)
    }

    /// Asks a daemon's operator API and lets time pass until the answer, at most 10 s.
    pub fn call_and_wait(
        &mut self,
        index: DaemonIndex,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<ApiRep> {
        let ticket = self.call(index, method, path, body);
        let end = self.now + ASK_LIMIT;
        while self.now < end && self.answer(index, ticket).is_none() {
            self.run_for(ASK_STEP);
        }
        self.answer(index, ticket).cloned()
    }

    /// Gives a daemon a report of its traffic.
    pub fn report(&mut self, index: DaemonIndex, report: Report) {
        self.input(index, Input::Report(report));
    }

    /// Number of daemons ever added.
    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// A daemon's description.
    pub fn local_daemon(&self, index: DaemonIndex) -> &LocalDaemon {
        &self.daemons[index].me
    }

    /// Where a daemon stands.
    pub fn place(&self, index: DaemonIndex) -> &Place {
        &self.daemons[index].me.place
    }

    /// A daemon's kernel; none while crashed.
    pub fn kernel(&self, index: DaemonIndex) -> Option<&Kernel> {
        self.daemons[index].kernel.as_ref()
    }

    /// Whether a daemon is paused. A paused daemon's traffic threads don't run either.
    pub fn is_paused(&self, index: DaemonIndex) -> bool {
        self.daemons[index].paused
    }

    /// The view that a daemon's traffic reads.
    pub fn view(&self, index: DaemonIndex) -> &Arc<View> {
        &self.daemons[index].view
    }

    /// What a daemon's control has cost so far.
    pub fn cost(&self, index: DaemonIndex) -> Cost {
        self.daemons[index].cost
    }

    /// Virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Virtual wall clock, milliseconds since the epoch.
    pub fn wall_ms(&self) -> u64 {
        WALL_START_MS + (self.now - self.start).as_millis() as u64
    }

    fn schedule(&mut self, delay: Duration, index: DaemonIndex, due: Due) {
        self.next_event += 1;
        self.queue.push(Reverse((self.now + delay, self.next_event)));
        self.events.insert(self.next_event, (index, self.daemons[index].life, due));
    }

    fn happen(&mut self, index: DaemonIndex, life: u64, due: Due) {
        let daemon = &mut self.daemons[index];
        match due {
            // An effect in the store happens even when its caller is gone by then.
            Due::StoreEffect(token, op) => {
                let from = daemon.me.id;
                let res = self.store.call(from, &op, &mut self.rng);
                if self.daemons[index].life == life {
                    let latency = self.store.latency;
                    self.schedule(latency, index, Due::StoreResult(Input::Store { token, res }));
                }
            }
            _ if daemon.life != life => {}
            due if daemon.paused => daemon.held.push(due),
            Due::Message(sealed) => {
                let Ok(e) = wire::open(&self.secret, &sealed) else {
                    return;
                };
                self.input(index, Input::Msg { from: e.from, incarnation: e.incarnation, msg: e.msg });
            }
            Due::StoreResult(input) => self.input(index, input),
            Due::Tick => {
                self.input(index, Input::Tick);
                self.schedule(Duration::from_millis(TICK_MS), index, Due::Tick);
            }
        }
    }

    fn input(&mut self, index: DaemonIndex, input: Input) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let Some(kernel) = &mut self.daemons[index].kernel else {
            return;
        };
        let started = Instant::now();
        let outputs = kernel.handle(now, wall_ms, input);
        self.daemons[index].cost.busy_time += started.elapsed();
        for output in outputs {
            self.carry_out(index, output);
        }
    }

    fn carry_out(&mut self, index: DaemonIndex, output: Output) {
        match output {
            Output::Send { to, msg } => {
                let me = &self.daemons[index].me;
                let envelope = Envelope { from: me.id, to, incarnation: me.incarnation, msg };
                let sealed = wire::seal(&self.secret, &envelope);
                self.daemons[index].cost.bytes_sent += sealed.len() as u64;
                self.daemons[index].cost.messages_sent += 1;
                self.deliver(index, envelope.to, &sealed);
            }
            Output::Store { token, op } => {
                let latency = self.store.latency;
                self.schedule(latency, index, Due::StoreEffect(token, op));
            }
            Output::Answer { ticket, rep } => {
                self.daemons[index].answers.insert(ticket, rep);
            }
            Output::Publish(view) => self.daemons[index].view = view,
        }
    }

    fn deliver(&mut self, from: DaemonIndex, to: SocketAddr, sealed: &[u8]) {
        let Some(target) = self.daemons.iter().position(|d| d.me.id == to) else {
            return;
        };
        if self.daemons[target].kernel.is_none() {
            return;
        }
        let (a, b) = (&self.daemons[from].me, &self.daemons[target].me);
        let delays = self.network.delays((a.id, &a.place), (b.id, &b.place), &mut self.rng);
        for delay in delays {
            self.schedule(delay, target, Due::Message(sealed.to_vec()));
        }
    }
}
