//! Daemons and scripted backend servers on loopback, with a configuration that a test gives them.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod endless;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use base::{Place, Version};
use bytes::Bytes;
use conf::compile::SnapshotParts;
use conf::{CallerLimits, Customer, Dedupe, Key, KeyHasher, RepeatPolicy, Route, Service, Snapshot};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use limit::QuotaTolerance;
use relay::clock::BootTime;
use relay::exit::Exit;
use relay::metrics::Metrics;
use relay::names::Names;
use relay::node::{Bounds, Me, Node};
use relay::refresh::{Change, ConfigSource, Fetched};
use relay::registration::Heartbeat;
use relay::run::{Sockets, run};
use socket2::SockRef;
use store::{Commit, MemStore, Row, StoreError, StoreOp, StoreRep, Table};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Key of the only customer.
pub const KEY: &str = "sacristan-2026";
/// Service of all servers.
pub const SERVICE: &str = "sacristia";
/// Longest time for anything that a test waits for.
const PATIENCE: Duration = Duration::from_secs(20);
/// Bytes of a segment on a narrow path.
const NARROW_SEGMENT: u32 = 536;
/// Receive buffer of a slow caller in bytes.
const SMALL_BUFFER: u32 = 8 * 1024;

/// What a server does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// Answers as it should.
    Answer,
    /// Answers with an error of its own.
    Fail,
    /// Says that it did not run the request.
    Shed,
    /// Closes the connection after it has read the request.
    Break,
    /// Answers with the id of another request.
    Cross,
    /// Runs the request, but what comes first is a late answer to another one, which was not run.
    CrossShed,
    /// Answers without its signature.
    Unsigned,
    /// Answers after this many milliseconds.
    After(u64),
    /// Answers with a body of this many bytes after this many milliseconds.
    Large(usize, u64),
    /// Never answers.
    Hang,
}

/// A request as a server saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Head of the request.
    pub headers: hyper::HeaderMap,
    /// Its target.
    pub target: String,
    /// Its body.
    pub body: Bytes,
}

/// A scripted server.
#[derive(Debug)]
pub struct Backend {
    /// Its address.
    pub addr: SocketAddr,
    /// What it does with the next requests; the last one repeats.
    pub acts: RefCell<Vec<Act>>,
    /// Requests that it ran.
    pub seen: RefCell<Vec<Seen>>,
    /// Requests whose connection closed before their answer.
    pub cancelled: Cell<u32>,
}

impl Backend {
    /// A server that another fixture runs.
    pub fn at(addr: SocketAddr) -> Rc<Self> {
        Rc::new(Self { addr, acts: RefCell::default(), seen: RefCell::default(), cancelled: Cell::new(0) })
    }

    /// Starts a server.
    pub async fn start(acts: &[Act]) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let acts = RefCell::new(acts.to_vec());
        let backend = Rc::new(Self { addr, acts, seen: RefCell::default(), cancelled: Cell::new(0) });
        let serving = Rc::clone(&backend);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(Rc::clone(&serving).serve(stream));
            }
        });
        backend
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|req| Rc::clone(&self).answer(req));
        // A connection that ends early is part of the script.
        let _ =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    }

    fn next_act(&self) -> Act {
        let mut acts = self.acts.borrow_mut();
        if acts.len() > 1 { acts.remove(0) } else { acts[0] }
    }

    async fn answer(self: Rc<Self>, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let (parts, body) = req.into_parts();
        let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
        let id = parts.headers.get("x-request-id").cloned();
        let target = parts.uri.to_string();
        let act = self.next_act();
        if !matches!(act, Act::Shed) {
            self.seen.borrow_mut().push(Seen { headers: parts.headers, target, body });
        }
        let guard = CancelGuard { backend: &self, is_answered: Cell::new(false) };
        let mut rep = Response::new(Full::new(Bytes::from_static(b"whole")));
        if let Some(id) = id {
            rep.headers_mut().insert("x-request-id", id);
        }
        rep.headers_mut().insert("x-server-signature", "signed".parse().expect("a header value"));
        match act {
            Act::Answer => {}
            Act::Fail => *rep.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR,
            Act::Shed => {
                *rep.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
                rep.headers_mut().insert("x-not-run", "1".parse().expect("a header value"));
            }
            Act::Break => {
                guard.is_answered.set(true);
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            Act::CrossShed => {
                *rep.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
                rep.headers_mut().insert("x-not-run", "1".parse().expect("a header value"));
                rep.headers_mut().insert("x-request-id", "another".parse().expect("a header value"));
            }
            Act::Cross => {
                rep.headers_mut().insert("x-request-id", "another".parse().expect("a header value"));
            }
            Act::Unsigned => {
                rep.headers_mut().remove("x-server-signature");
            }
            Act::After(ms) => sleep(Duration::from_millis(ms)).await,
            Act::Large(bytes, ms) => {
                *rep.body_mut() = Full::new(large(bytes));
                sleep(Duration::from_millis(ms)).await;
            }
            Act::Hang => std::future::pending().await,
        }
        guard.is_answered.set(true);
        Ok(rep)
    }
}

/// The body of a large answer; each part differs from its neighbours.
pub fn large(bytes: usize) -> Bytes {
    (0..bytes).map(|n| (n % 251) as u8).collect()
}

struct CancelGuard<'a> {
    backend: &'a Backend,
    is_answered: Cell<bool>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered.get() {
            self.backend.cancelled.set(self.backend.cancelled.get() + 1);
        }
    }
}

/// The store's rows in memory.
#[derive(Debug, Default)]
pub struct Rows(Mutex<MemStore>);

impl Rows {
    fn apply(&self, op: &StoreOp) -> Result<StoreRep, StoreError> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).apply(op)
    }
}

#[async_trait]
impl Table for Rows {
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        match self.apply(&StoreOp::Get { key: key.into() })? {
            StoreRep::Row(row) => Ok(row),
            _ => Err(StoreError::Down),
        }
    }

    async fn range(&self, prefix: &str) -> Result<Vec<(Box<str>, Row)>, StoreError> {
        match self.apply(&StoreOp::Range { prefix: prefix.into() })? {
            StoreRep::Rows(rows) => Ok(rows),
            _ => Err(StoreError::Down),
        }
    }

    async fn commit(&self, commit: &Commit) -> Result<u64, StoreError> {
        match self.apply(&StoreOp::Commit(commit.clone()))? {
            StoreRep::Committed { version } => Ok(version),
            _ => Err(StoreError::Down),
        }
    }
}

/// What all daemons of a test read: the configuration, and whether the source answers.
#[derive(Debug)]
pub struct Source {
    /// Makes the newest configuration for a daemon's hasher.
    pub make: Cell<fn(&KeyHasher) -> Snapshot>,
    /// Whether the source answers.
    pub is_up: Cell<bool>,
    /// Process that the source does not answer.
    pub cut_off: Cell<Option<u64>>,
}

struct Reader {
    incarnation: u64,
    source: Rc<Source>,
    hasher: KeyHasher,
}

#[async_trait(?Send)]
impl ConfigSource for Reader {
    async fn watch(&mut self, known: Version, _wait: Duration) -> Result<Change, StoreError> {
        let asked = BootTime::now();
        sleep(Duration::from_millis(20)).await;
        if !self.source.is_up.get() || self.source.cut_off.get() == Some(self.incarnation) {
            return Err(StoreError::Down);
        }
        let snapshot = (self.source.make.get())(&self.hasher);
        let raw = Bytes::from(snapshot.version.to_string());
        let fetched = (snapshot.version > known).then_some(Fetched { snapshot, raw });
        Ok(Change { fetched, proven_at: asked })
    }

    fn decode(&self, raw: Bytes) -> Result<Fetched, StoreError> {
        let snapshot = (self.source.make.get())(&self.hasher);
        Ok(Fetched { snapshot, raw })
    }
}

/// A daemon and the server beside it.
#[derive(Debug)]
pub struct Daemon {
    /// Its state.
    pub node: Rc<Node>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// The server.
    pub backend: Rc<Backend>,
    /// Stops it.
    pub stop: CancellationToken,
    /// Cancelled once it has ended.
    pub ended: CancellationToken,
}

/// Daemons that share a store and a configuration.
#[derive(Debug)]
pub struct Fleet {
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// Their configuration.
    pub source: Rc<Source>,
    rows: Rc<Rows>,
}

/// A fleet whose daemons know each other; one daemon for each script.
pub async fn fleet(scripts: &[&[Act]], make: fn(&KeyHasher) -> Snapshot) -> Fleet {
    let mut backends = Vec::new();
    for script in scripts {
        backends.push(Backend::start(script).await);
    }
    fleet_of(backends, make).await
}

/// The same for servers that have started already.
pub async fn fleet_of(backends: Vec<Rc<Backend>>, make: fn(&KeyHasher) -> Snapshot) -> Fleet {
    let source = Rc::new(Source { make: Cell::new(make), is_up: Cell::new(true), cut_off: Cell::new(None) });
    let rows = Rc::new(Rows::default());
    let mut daemons = Vec::new();
    for (n, backend) in backends.into_iter().enumerate() {
        let sockets = bind_pair().await;
        let me = Me {
            addr: sockets.0.local_addr().expect("a bound address"),
            incarnation: n as u64 + 1,
            place: Place::new("meseta", "barva"),
            service: SERVICE.into(),
            is_first_start: false,
        };
        daemons.push(daemon(me, backend, &source, &rows, sockets));
    }
    for daemon in &daemons {
        daemon.register(1, false);
    }
    let fleet = Fleet { daemons, source, rows };
    fleet.settle().await;
    fleet
}

fn daemon(
    me: Me,
    backend: Rc<Backend>,
    source: &Rc<Source>,
    rows: &Rc<Rows>,
    (handoffs, datagrams): (TcpListener, UdpSocket),
) -> Daemon {
    let callers = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    callers.set_nonblocking(true).expect("a listener");
    let callers = TcpListener::from_std(callers).expect("a listener");
    let names = Rc::new(Names::default());
    let exit = Rc::new(Exit::new(Rc::clone(&names), backend.addr, Instant::now()));
    let bounds = Bounds {
        proof_age: Duration::from_secs(2),
        grace: Duration::from_secs(6),
        rate_tolerance: QuotaTolerance { window: Duration::from_secs(5), overage: 0.1, slack_tokens: 1.0 },
    };
    let hasher = KeyHasher::new(b"test");
    let incarnation = me.incarnation;
    let node = Rc::new(Node::new(me, names, bounds, exit, hasher.clone(), Metrics::default()));
    let callers_addr = callers.local_addr().expect("a bound address");
    let (stop, ended) = (CancellationToken::new(), CancellationToken::new());
    let sockets = Sockets { callers, handoffs, datagrams };
    let reader = Reader { incarnation, source: Rc::clone(source), hasher };
    let table: Rc<dyn Table> = Rc::clone(rows) as Rc<dyn Table>;
    let running = run(Rc::clone(&node), sockets, reader, table, stop.clone());
    let done = ended.clone();
    // Its tasks end with it, as those of a process do.
    let tasks = LocalSet::new();
    spawn_local(async move {
        tasks.run_until(running).await;
        drop(tasks);
        done.cancel();
    });
    Daemon { node, callers: callers_addr, backend, stop, ended }
}

async fn bind_pair() -> (TcpListener, UdpSocket) {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = tcp.local_addr().expect("a bound address");
        // The same port may be taken for datagrams.
        if let Ok(udp) = UdpSocket::bind(addr).await {
            return (tcp, udp);
        }
    }
}

impl Daemon {
    /// Sends a heartbeat of the server.
    pub fn register(&self, sequence: u64, draining: bool) {
        self.heartbeat(1, sequence, draining);
    }

    /// Sends the first heartbeat of a server that was started anew.
    pub fn register_again(&self) {
        self.heartbeat(2, 1, false);
    }

    fn heartbeat(&self, born: u64, sequence: u64, draining: bool) {
        let heartbeat = Heartbeat {
            id: format!("server-{}", self.node.me.incarnation % 100).into(),
            born,
            sequence,
            service: SERVICE.into(),
            slots: 2,
            draining,
            cold_for: Duration::ZERO,
        };
        self.node.exit.heartbeat(heartbeat, Instant::now());
    }

    /// Sends bytes on a new connection and reads until it closes or `until` has come.
    pub async fn raw(&self, bytes: &str, until: &str) -> String {
        let mut stream = TcpStream::connect(self.callers).await.expect("the daemon listens");
        stream.write_all(bytes.as_bytes()).await.expect("the daemon reads");
        read_until(&mut stream, until).await
    }

    /// Sends a GET with the key.
    pub async fn get(&self, path: &str, id: &str) -> String {
        self.raw(&request("GET", path, id, ""), "\r\n\r\n").await
    }

    /// Sends a POST with the key.
    pub async fn post(&self, path: &str, id: &str) -> String {
        self.raw(&request("POST", path, id, "one crate"), "\r\n\r\n").await
    }

    /// Requests that the server ran.
    pub fn runs(&self) -> usize {
        self.backend.seen.borrow().len()
    }
}

/// A request with the key.
pub fn request(method: &str, path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\nx-api-key: {KEY}\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

/// Reads until the connection closes or the text has come.
pub async fn read_until(stream: &mut TcpStream, until: &str) -> String {
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    let work = async {
        loop {
            let len = stream.read(&mut buf).await.unwrap_or(0);
            text.extend_from_slice(&buf[..len]);
            if len == 0 || String::from_utf8_lossy(&text).contains(until) {
                return;
            }
        }
    };
    tokio::time::timeout(PATIENCE, work).await.expect("an answer");
    String::from_utf8_lossy(&text).into_owned()
}

/// A caller's connection with a small receive buffer.
pub async fn connect_small(addr: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(SMALL_BUFFER).expect("a socket option");
    socket.connect(addr).await.expect("the daemon listens")
}

/// The same with small segments, so that the daemon's send buffer is small too; on loopback it begins at 2.5 MB otherwise.
pub async fn connect_narrow(addr: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    SockRef::from(&socket).set_tcp_mss(NARROW_SEGMENT).expect("a socket option");
    socket.set_recv_buffer_size(SMALL_BUFFER).expect("a socket option");
    socket.connect(addr).await.expect("the daemon listens")
}

/// Reads slowly until the connection closes or `is_done` says that all has come; says how it ended.
pub async fn read_slowly(
    stream: &mut TcpStream,
    per_read: usize,
    pause: Duration,
    is_done: impl Fn(&[u8]) -> bool,
) -> (Vec<u8>, String) {
    let mut all = Vec::new();
    let mut buf = vec![0; per_read];
    let end = loop {
        sleep(pause).await;
        match tokio::time::timeout(PATIENCE, stream.read(&mut buf)).await.expect("bytes or an end") {
            Ok(0) => break "closed".to_owned(),
            Ok(len) => all.extend_from_slice(&buf[..len]),
            Err(e) => break e.to_string(),
        }
        if is_done(&all) {
            break "whole".to_owned();
        }
    };
    (all, end)
}

/// Statuses and bodies of the answers in these bytes, whose heads state lengths; the last body may be cut.
pub fn answers(mut bytes: &[u8]) -> Vec<(u16, &[u8])> {
    let mut answers = Vec::new();
    while let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
        let (head, rest) = bytes.split_at(at + 4);
        let head = String::from_utf8_lossy(head);
        let length = head.split_once("content-length: ").and_then(|(_, text)| text.split_once("\r\n"));
        let length = length.and_then(|(text, _)| text.parse().ok()).unwrap_or(usize::MAX);
        let (body, rest) = rest.split_at(length.min(rest.len()));
        answers.push((status(&head), body));
        bytes = rest;
    }
    answers
}

/// Status of an answer.
pub fn status(rep: &str) -> u16 {
    rep.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Waits until something holds.
pub async fn eventually(mut holds: impl FnMut() -> bool) {
    let work = async {
        while !holds() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(PATIENCE, work).await.expect("it holds in time");
}

impl Fleet {
    /// Waits until all daemons know the configuration and each other's servers.
    pub async fn settle(&self) {
        let others = self.daemons.len() - 1;
        eventually(|| {
            self.daemons.iter().all(|d| {
                let now = Instant::now();
                let known = d.node.peers.borrow().candidates(SERVICE, &[], now).1;
                d.node.is_fresh() && known.iter().filter(|c| c.reachable).count() == others
            })
        })
        .await;
    }

    /// A new process of a daemon under the address of the old one, once that has ended. Its sockets are others.
    pub async fn start_again(&self, old: &Daemon) -> Daemon {
        old.stop.cancel();
        old.ended.cancelled().await;
        let me = Me { incarnation: old.node.me.incarnation + 100, ..old.node.me.clone() };
        daemon(me, Rc::clone(&old.backend), &self.source, &self.rows, bind_pair().await)
    }

    /// Requests that all servers ran.
    pub fn runs(&self) -> usize {
        self.daemons.iter().map(Daemon::runs).sum()
    }
}

/// Runs a test on one thread.
pub fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// A configuration: `/stock/` may be repeated, `/order/` may not, `/open/` needs no key.
pub fn conf(hasher: &KeyHasher) -> Snapshot {
    snapshot(hasher, 1, &[KEY], 1_000_000.0)
}

/// The same with routes whose requests may take longer than a daemon's grace time.
pub fn patient_conf(hasher: &KeyHasher) -> Snapshot {
    let mut pieces = pieces(hasher, &[KEY], 1_000_000.0);
    for route in &mut pieces.routes {
        route.timeout = Duration::from_secs(20);
    }
    pieces.into_snapshot(1).expect("the test's configuration is valid")
}

/// The same with routes of which a run counts as overdue after 1.2 s while none has been seen.
pub fn calm_conf(hasher: &KeyHasher) -> Snapshot {
    let mut pieces = pieces(hasher, &[KEY], 1_000_000.0);
    for route in &mut pieces.routes {
        route.objective = Duration::from_millis(800);
    }
    pieces.into_snapshot(1).expect("the test's configuration is valid")
}

/// A configuration with these keys and this rate.
pub fn snapshot(hasher: &KeyHasher, version: Version, keys: &[&str], rate: f64) -> Snapshot {
    pieces(hasher, keys, rate).into_snapshot(version).expect("the test's configuration is valid")
}

fn pieces(hasher: &KeyHasher, keys: &[&str], rate: f64) -> SnapshotParts {
    let key = |secret: &&str| Key {
        name: (*secret).into(),
        hash: hasher.hash(secret.as_bytes()),
        customer: "parish".into(),
        expires: None,
    };
    SnapshotParts {
        services: vec![Service { name: SERVICE.into(), floor: 0.0, cross_region: true, queue: 100 }],
        customers: vec![Customer { name: "parish".into(), rate, burst: rate, priority: None }],
        keys: keys.iter().map(key).collect(),
        routes: vec![
            route("stock", RepeatPolicy::Always, false),
            route("order", RepeatPolicy::Never, false),
            route("open", RepeatPolicy::Always, true),
        ],
        limits: CallerLimits::default(),
    }
}

fn route(name: &str, repeatable: RepeatPolicy, open: bool) -> Route {
    Route {
        name: name.into(),
        host: None,
        prefix: format!("/{name}/").into(),
        methods: Vec::new(),
        service: SERVICE.into(),
        customer: None,
        open,
        repeatable,
        timeout: Duration::from_secs(5),
        dedupe: Dedupe::Off,
        cost: 1,
        objective: Duration::from_millis(200),
        attempts: 2,
        priority: 1,
        split: Vec::new(),
    }
}
