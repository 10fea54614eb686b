//! Costs of rate limiting at one daemon, by the number of daemons, active customers and shares.
//!
//! The kernel under test runs only this area. Simulated peers send it what real ones would: delegation
//! requests, delegations, demands and grants. Memory is the growth of the resident set.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{DaemonId, Place};
use kernel::{Area, Cx, Event, Input, Kernel, LocalDaemon, Member, Output, Report, Setup};
use limit::RateLimiter;
use limit::shares::{SHARES_KEY, Shares, SharesRow};
use store::Row;
use wire::limit::{CellShares, CustomerDemand, CustomerGrant, LimitMsg};
use wire::member::MemberState;
use wire::{Envelope, FleetSecret, Msg};

/// Virtual time that is measured, after a warm-up of the same length.
const MEASURED: Duration = Duration::from_secs(10);
/// Interval between ticks of the kernel.
const TICK: Duration = Duration::from_millis(kernel::machine::TICK_MS);
/// Ticks per second.
const TICKS_PER_S: u32 = 20;
/// Fleet-wide rate of each customer, in tokens per second.
const RATE: f64 = 10.0;

/// Stands in for the areas that provide members, customers and the `shares` row.
struct StubAreas {
    peers: Vec<DaemonId>,
    conf: Arc<conf::Snapshot>,
    row: Row,
    next_read: Option<Instant>,
}

impl Area for StubAreas {
    fn name(&self) -> &'static str {
        "world"
    }

    fn on_start(&mut self, cx: &mut Cx<'_>) {
        for (i, id) in self.peers.iter().enumerate() {
            cx.board.members.insert(*id, member(*id, i));
        }
        cx.pools.set_customers(self.conf.customers.keys());
        cx.board.conf = Some(Arc::clone(&self.conf));
        cx.emit(Event::MembersChanged);
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if self.next_read.is_none_or(|at| cx.now >= at) {
            self.next_read = Some(cx.now + Duration::from_secs(1));
            let rows = Arc::from([(SHARES_KEY.into(), self.row.clone())]);
            cx.emit(Event::FleetRowsRead { rows, asked_at: cx.now });
        }
    }
}

fn member(id: DaemonId, index: usize) -> Member {
    Member {
        id,
        api: id,
        place: Place::new(region(index), "dc"),
        incarnation: 1,
        state: MemberState::Alive,
        store_down: false,
        version: 1,
    }
}

fn region(index: usize) -> &'static str {
    if index.is_multiple_of(2) { "meseta" } else { "guanacaste" }
}

fn address(index: usize) -> DaemonId {
    SocketAddr::from(([127, 2, (index >> 8) as u8, index as u8], 7_000))
}

/// Costs of one run; messages and bytes are sent per second of virtual time.
struct Cost {
    messages: f64,
    bytes: f64,
    cpu_percent: f64,
    kib: f64,
}

struct CostBench {
    kernel: Kernel,
    now: Instant,
    secret: FleetSecret,
    me: DaemonId,
    peers: usize,
    active: usize,
    seq: u64,
    sent: u64,
    bytes: u64,
    busy: Duration,
    /// Cells that this daemon aggregates, as stated in its delegation requests.
    cells: Vec<u8>,
    granted: Vec<(usize, LimitMsg)>,
}

impl CostBench {
    fn new(daemons: usize, active: usize, shares: usize) -> Self {
        let ids: Vec<_> = (0..daemons).map(address).collect();
        let row = SharesRow { shares: Shares::spread_evenly(&ids, shares), earlier: None, by: ids[0] };
        let value = serde_json::to_string(&row).expect("a row is JSON").into();
        let peers = ids[1..].to_vec();
        let conf = customers(active, shares);
        let stub_areas = StubAreas { peers, conf, row: Row { value, version: 1, era: 0 }, next_read: None };
        let me = LocalDaemon::new(ids[0], ids[0], region(1), "dc", 1);
        let setup = Setup::new(me, 1);
        let limit = RateLimiter::new(&setup);
        let now = Instant::now();
        let kernel = Kernel::with_areas(setup, now, vec![Box::new(stub_areas), Box::new(limit)]);
        let secret = FleetSecret::new(b"secret of the measurement").expect("long enough");
        let (me, cells, granted) = (ids[0], Vec::new(), Vec::new());
        let busy = Duration::ZERO;
        Self {
            kernel,
            now,
            secret,
            me,
            peers: daemons - 1,
            active,
            seq: 0,
            sent: 0,
            bytes: 0,
            busy,
            cells,
            granted,
        }
    }

    fn input(&mut self, input: Input) {
        let start = Instant::now();
        let outputs = self.kernel.handle(self.now, 0, input);
        let mut sent = Vec::new();
        for output in outputs {
            if let Output::Send { to, msg } = output {
                let envelope = Envelope { from: self.me, to, incarnation: 1, msg };
                let sealed = wire::seal(&self.secret, &envelope);
                self.bytes += sealed.len() as u64;
                self.sent += 1;
                sent.push((to, envelope.msg));
            }
        }
        self.busy += start.elapsed();
        for (to, msg) in sent {
            self.answer_as_peer(to, msg);
        }
    }

    fn receive(&mut self, from: DaemonId, msg: LimitMsg) {
        self.input(Input::Msg { from, incarnation: 1, msg: Msg::Limit(msg) });
    }

    /// Sends a peer's answer to a message of the kernel under test.
    fn answer_as_peer(&mut self, peer: DaemonId, msg: Msg) {
        match msg {
            Msg::Limit(LimitMsg::WantShares { seq, cells, .. }) => {
                let part = |cell: &u8| CellShares { cell: *cell, shares: 1 };
                let parts = cells.iter().map(part).collect();
                self.cells = cells;
                self.receive(peer, LimitMsg::Delegate { seq, ttl_ms: 4_000, parts });
            }
            Msg::Limit(LimitMsg::Demand { seq, wants }) => {
                let grant = |w: CustomerDemand| CustomerGrant {
                    customer: w.customer,
                    cell: w.cell,
                    amount: w.wanted,
                    extended: true,
                    shares: 1,
                    retry_ms: 0,
                };
                let grants = wants.into_iter().map(grant).collect();
                self.receive(peer, LimitMsg::Grant { seq, ttl_ms: 1_000, grants });
            }
            Msg::Limit(grant @ LimitMsg::Grant { .. }) => self.granted.push((0, grant)),
            _ => {}
        }
    }

    /// Runs one tick with this daemon's traffic and with the messages of its peers.
    fn tick(&mut self, tick: u32) {
        self.now += TICK;
        self.input(Input::Tick);
        // Traffic: one request per second of each active customer.
        for i in (0..self.active).filter(|i| *i as u32 % TICKS_PER_S == tick % TICKS_PER_S) {
            let name: Box<str> = format!("c{i}").into();
            let pool = self.kernel.pools().get(&name).expect("configured");
            if pool.take(1, self.now) != kernel::TakeResult::Taken {
                self.input(Input::Report(Report::Demand { customer: name, tokens: 1 }));
            }
        }
        // Peers: each aggregator of the region sends this holder a delegation request every 2 s, as in a
        // fleet of full size.
        let aggregators = (self.peers / 2).min(64) as u32;
        let cells_each = 64 / aggregators.max(1);
        for i in (0..aggregators).filter(|i| i % (2 * TICKS_PER_S) == tick % (2 * TICKS_PER_S)) {
            self.seq += 1;
            let cells = (i * cells_each..(i + 1) * cells_each).map(|c| c as u8).collect();
            let msg = LimitMsg::WantShares { seq: self.seq, epoch: 1, cells };
            self.receive(address(1 + 2 * i as usize), msg);
        }
        self.send_peer_demands(tick);
    }

    /// Sends the demands of peers for the customers of this daemon's cells: of two daemons for each active
    /// customer, twice a second.
    fn send_peer_demands(&mut self, tick: u32) {
        let cells = self.cells.clone();
        let customers_per_shard = self.active / 32;
        for cell in cells {
            for i in
                (0..customers_per_shard).filter(|i| *i as u32 % (TICKS_PER_S / 2) == tick % (TICKS_PER_S / 2))
            {
                for peer in 0..2_usize {
                    self.seq += 1;
                    let customer = format!("c{i}").into();
                    let wants = vec![CustomerDemand { customer, cell, wanted: 1_000, held: 0, returned: 0 }];
                    let from = address(1 + (i * 2 + peer) % self.peers.max(1));
                    self.receive(from, LimitMsg::Demand { seq: self.seq, wants });
                }
            }
        }
    }
}

fn customers(active: usize, shares: usize) -> Arc<conf::Snapshot> {
    let mut snapshot = conf::Snapshot::default();
    snapshot.version = 1;
    snapshot.fleet.shares = shares as u32;
    for i in 0..active {
        let name: Box<str> = format!("c{i}").into();
        let customer = conf::Customer {
            name: name.clone(),
            rate: RATE,
            burst: RATE,
            priority: None,
            regions: conf::AllowedRegions::All,
        };
        snapshot.customers.insert(name, Arc::new(customer));
    }
    Arc::new(snapshot)
}

/// Resident set of this process in KiB, for pages of 4 KiB; 0 where /proc is not available.
fn resident_kib() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|n| n.parse().ok()).unwrap_or(0.0);
    pages * 4.0
}

fn measure_cost(daemons: usize, active: usize, shares: usize) -> Cost {
    let before = resident_kib();
    let mut bench = CostBench::new(daemons, active, shares);
    let ticks = MEASURED.as_millis() as u32 / TICK.as_millis() as u32;
    (0..ticks).for_each(|tick| bench.tick(tick));
    (bench.sent, bench.bytes, bench.busy) = (0, 0, Duration::ZERO);
    (0..ticks).for_each(|tick| bench.tick(tick));
    let seconds = MEASURED.as_secs_f64();
    Cost {
        messages: bench.sent as f64 / seconds,
        bytes: bench.bytes as f64 / seconds,
        cpu_percent: 100.0 * bench.busy.as_secs_f64() / seconds,
        kib: resident_kib() - before,
    }
}

/// Measures and prints costs as CSV.
pub fn print_costs() {
    println!("daemons,active_customers_here,shares,messages_per_s,bytes_per_s,cpu_percent,growth_kib");
    let daemons = [8, 70, 140, 280, 560].map(|n| (n, 270, 1_024));
    let customers = [0, 2_100, 21_000].map(|n| (560, n, 1_024));
    let shares = [64, 256].map(|n| (8, 270, n));
    for (daemons, active, shares) in daemons.into_iter().chain(customers).chain(shares) {
        let cost = measure_cost(daemons, active, shares);
        let Cost { messages, bytes, cpu_percent, kib } = cost;
        println!("{daemons},{active},{shares},{messages:.0},{bytes:.0},{cpu_percent:.2},{kib:.0}");
    }
}
