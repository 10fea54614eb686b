//! Daemons with scripted backend servers on loopback, and callers of them.
#![allow(dead_code, reason = "each test file uses some of the fixtures")]

pub mod cut;
pub mod endless;
pub mod link_relay;
pub mod source;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use base::{Place, StoreStamp, Version};
use bytes::Bytes;
use conf::compile::SnapshotParts;
use conf::{
    AllowedRegions, CallerLimits, Customer, Dedupe, Key, KeyHasher, RepeatPolicy, Route, Service, Snapshot,
};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use limit::QuotaTolerance;
use link_relay::LinkRelay;
use relay::daemon::{Sockets, run_daemon};
use relay::datagram::{Datagram, Hello, PeerInfo, Status};
use relay::header_names::HeaderNames;
use relay::local_server::LocalServer;
use relay::metrics::Metrics;
use relay::node::{Bounds, Identity, Node};
use relay::registration::Heartbeat;
use socket2::SockRef;
pub use source::{Source, SourceClient};
use store::{Commit, MemStore, Row, StoreError, StoreOp, StoreRep, Table};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// API key of the only customer.
pub const KEY: &str = "sacristan-2026";
/// Service of all servers.
pub const SERVICE: &str = "sacristia";
/// Timeout for anything that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Memory in bytes that bodies of requests may take in one daemon.
pub const BODY_MEMORY_BYTES: usize = 4 * 1024 * 1024;
/// Segment size in bytes of a connection with small buffers.
const SMALL_SEGMENT_BYTES: u32 = 536;
/// Receive buffer of a slow caller in bytes.
const SMALL_RECV_BUFFER_BYTES: u32 = 8 * 1024;

/// What a scripted server does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// Answers correctly.
    Answer,
    /// Answers with an error status.
    Fail,
    /// Answers with an error status after this many milliseconds.
    FailAfter(u64),
    /// Answers that it did not run the request.
    Shed,
    /// Closes the connection after reading the request.
    Break,
    /// Answers with the id of another request.
    WrongId,
    /// Runs the request, but sends a late answer to another request, which says that the other one did not
    /// run.
    WrongIdShed,
    /// Answers without a signature.
    Unsigned,
    /// Answers correctly, and states the longest idle timeout that the header can express.
    EndlessKeepAlive,
    /// Answers after this many milliseconds.
    After(u64),
    /// Answers with a body of this many bytes after this many milliseconds.
    Large(usize, u64),
    /// Never answers.
    Hang,
}

/// A request as the server received it.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// Headers of the request.
    pub headers: hyper::HeaderMap,
    /// Target of the request.
    pub target: String,
    /// Body of the request.
    pub body: Bytes,
}

/// A scripted backend server.
#[derive(Debug)]
pub struct Backend {
    /// Address on which the server listens.
    pub addr: SocketAddr,
    /// What the server does with the next requests; the last entry applies to all further requests.
    pub acts: RefCell<Vec<Act>>,
    /// Requests that the server ran.
    pub seen: RefCell<Vec<SeenRequest>>,
    /// Number of requests whose connection closed before they were answered.
    pub cancelled: Cell<u32>,
}

impl Backend {
    /// Describes a server at `addr` that another fixture runs.
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
            self.seen.borrow_mut().push(SeenRequest { headers: parts.headers, target, body });
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
            Act::FailAfter(ms) => {
                *rep.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
                sleep(Duration::from_millis(ms)).await;
            }
            Act::Shed => {
                *rep.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
                rep.headers_mut().insert("x-not-run", "1".parse().expect("a header value"));
            }
            Act::Break => {
                guard.is_answered.set(true);
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            Act::WrongIdShed => {
                *rep.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
                rep.headers_mut().insert("x-not-run", "1".parse().expect("a header value"));
                rep.headers_mut().insert("x-request-id", "another".parse().expect("a header value"));
            }
            Act::WrongId => {
                rep.headers_mut().insert("x-request-id", "another".parse().expect("a header value"));
            }
            Act::Unsigned => {
                rep.headers_mut().remove("x-server-signature");
            }
            Act::EndlessKeepAlive => {
                let timeout = format!("timeout={}", u64::MAX);
                rep.headers_mut().insert("keep-alive", timeout.parse().expect("a header value"));
            }
            Act::After(ms) => sleep(Duration::from_millis(ms)).await,
            Act::Large(bytes, ms) => {
                *rep.body_mut() = Full::new(large_body(bytes));
                sleep(Duration::from_millis(ms)).await;
            }
            Act::Hang => std::future::pending().await,
        }
        guard.is_answered.set(true);
        Ok(rep)
    }
}

/// Body of a large answer, in which neighbouring bytes differ.
pub fn large_body(bytes: usize) -> Bytes {
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
pub struct Rows {
    store: Mutex<MemStore>,
    /// What [`Rows::restore`] brings back; empty before [`Rows::copy`].
    copy: Mutex<MemStore>,
    /// Number of restores.
    era: AtomicU64,
    /// Whether every call fails.
    pub is_down: AtomicBool,
    /// Whether transactions take effect, but their answers are lost.
    pub loses_answers: AtomicBool,
    /// Number of transactions.
    pub commits: AtomicUsize,
}

impl Rows {
    /// Rows that another writer has left.
    pub fn with(rows: &[(&str, &str)]) -> Self {
        let left = Self::default();
        for (key, value) in rows {
            left.write(key, value);
        }
        left
    }

    /// Another writer writes a row.
    pub fn write(&self, key: &str, value: &str) {
        let commit = Commit { checks: Vec::new(), writes: vec![store::Write::put(key, value)] };
        self.apply(&StoreOp::Commit(commit)).expect("the row is written");
    }

    /// Rows that can't be read or written.
    pub fn down() -> Self {
        Self { is_down: AtomicBool::new(true), ..Self::default() }
    }

    /// Makes the copy from which the store may be restored.
    pub fn copy(&self) {
        let rows = self.store.lock().unwrap_or_else(PoisonError::into_inner).clone();
        *self.copy.lock().unwrap_or_else(PoisonError::into_inner) = rows;
    }

    /// Restores the store from the copy: later writes are lost, and versions are given out again.
    pub fn restore(&self) {
        let copy = self.copy.lock().unwrap_or_else(PoisonError::into_inner).clone();
        *self.store.lock().unwrap_or_else(PoisonError::into_inner) = copy;
        self.era.fetch_add(1, SeqCst);
    }

    fn with_era(&self, row: Row) -> Row {
        Row { era: self.era.load(SeqCst), ..row }
    }

    /// Whether a row holds the text.
    pub fn contain(&self, text: &str) -> bool {
        let rows = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        match rows.clone().apply(&StoreOp::Range { prefix: "".into() }) {
            Ok(StoreRep::Rows(rows)) => rows.iter().any(|(_, row)| row.value.contains(text)),
            _ => false,
        }
    }

    /// Carries out an operation, unless the store is down.
    pub fn apply(&self, op: &StoreOp) -> Result<StoreRep, StoreError> {
        if self.is_down.load(SeqCst) {
            return Err(StoreError::Down);
        }
        self.store.lock().unwrap_or_else(PoisonError::into_inner).apply(op)
    }
}

#[async_trait]
impl Table for Rows {
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        match self.apply(&StoreOp::Get { key: key.into() })? {
            StoreRep::Row(row) => Ok(row.map(|row| self.with_era(row))),
            _ => Err(StoreError::Down),
        }
    }

    async fn range(&self, prefix: &str) -> Result<Vec<(Box<str>, Row)>, StoreError> {
        match self.apply(&StoreOp::Range { prefix: prefix.into() })? {
            StoreRep::Rows(rows) => {
                Ok(rows.into_iter().map(|(key, row)| (key, self.with_era(row))).collect())
            }
            _ => Err(StoreError::Down),
        }
    }

    async fn commit(&self, commit: &Commit) -> Result<StoreStamp, StoreError> {
        self.commits.fetch_add(1, SeqCst);
        match self.apply(&StoreOp::Commit(commit.clone()))? {
            StoreRep::Committed { .. } if self.loses_answers.load(SeqCst) => Err(StoreError::Ambiguous),
            StoreRep::Committed { version } => Ok(StoreStamp { era: self.era.load(SeqCst), version }),
            _ => Err(StoreError::Down),
        }
    }
}

/// A daemon and the server beside it.
#[derive(Debug)]
pub struct Daemon {
    /// State of the daemon.
    pub node: Rc<Node>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// The server beside the daemon.
    pub backend: Rc<Backend>,
    /// Cancelled by tests to stop the daemon gracefully.
    pub stop: CancellationToken,
    /// Cancelled by tests to kill the daemon.
    pub kill: CancellationToken,
    /// Cancelled when the daemon has ended.
    pub ended: CancellationToken,
}

/// Daemons that share a store and a configuration.
#[derive(Debug)]
pub struct Fleet {
    /// The daemons, in the order of their scripts.
    pub daemons: Vec<Daemon>,
    /// Source of the daemons' configuration.
    pub source: Rc<Source>,
    /// The store's rows.
    pub rows: Rc<Rows>,
}

/// Starts a fleet with one daemon for each script, and waits until its daemons know each other.
pub async fn fleet(scripts: &[&[Act]], make_snapshot: fn(&KeyHasher) -> Snapshot) -> Fleet {
    let mut backends = Vec::new();
    for script in scripts {
        backends.push(Backend::start(script).await);
    }
    fleet_of(backends, make_snapshot).await
}

/// Starts a fleet as [`fleet`] does, for servers that are running already.
pub async fn fleet_of(backends: Vec<Rc<Backend>>, make_snapshot: fn(&KeyHasher) -> Snapshot) -> Fleet {
    fleet_with_rows(backends, make_snapshot, Rows::default()).await
}

/// Starts a fleet as [`fleet_of`] does, in whose store there are `rows` already.
pub async fn fleet_with_rows(
    backends: Vec<Rc<Backend>>,
    make_snapshot: fn(&KeyHasher) -> Snapshot,
    rows: Rows,
) -> Fleet {
    let places = vec![Place::new("meseta", "barva"); backends.len()];
    start_fleet(backends, &places, make_snapshot, rows).await
}

/// Starts a fleet as [`fleet`] does, with one daemon in each of `places`, each a region and a data centre.
pub async fn fleet_in(places: &[(&str, &str)], make_snapshot: fn(&KeyHasher) -> Snapshot) -> Fleet {
    let mut backends = Vec::new();
    for _ in places {
        backends.push(Backend::start(&[Act::Answer]).await);
    }
    let places: Vec<Place> = places.iter().map(|(region, centre)| Place::new(region, centre)).collect();
    start_fleet(backends, &places, make_snapshot, Rows::default()).await
}

/// Starts a fleet as [`fleet`] does, in which a relay carries the connections to each daemon.
pub async fn fleet_with_relays(
    scripts: &[&[Act]],
    make_snapshot: fn(&KeyHasher) -> Snapshot,
) -> (Fleet, Vec<Rc<LinkRelay>>) {
    let (mut backends, mut sockets, mut relays) = (Vec::new(), Vec::new(), Vec::new());
    for script in scripts {
        backends.push(Backend::start(script).await);
        let (handoffs, datagrams) = bind_sockets().await;
        let (relay, handoffs) = LinkRelay::start(handoffs).await;
        relays.push(relay);
        sockets.push((handoffs, datagrams));
    }
    let places = vec![Place::new("meseta", "barva"); backends.len()];
    (start_fleet_on(sockets, backends, &places, make_snapshot, Rows::default()).await, relays)
}

async fn start_fleet(
    backends: Vec<Rc<Backend>>,
    places: &[Place],
    make_snapshot: fn(&KeyHasher) -> Snapshot,
    rows: Rows,
) -> Fleet {
    let mut sockets = Vec::new();
    for _ in &backends {
        sockets.push(bind_sockets().await);
    }
    start_fleet_on(sockets, backends, places, make_snapshot, rows).await
}

async fn start_fleet_on(
    sockets: Vec<(TcpListener, UdpSocket)>,
    backends: Vec<Rc<Backend>>,
    places: &[Place],
    make_snapshot: fn(&KeyHasher) -> Snapshot,
    rows: Rows,
) -> Fleet {
    let source = Rc::new(Source {
        make_snapshot: Cell::new(make_snapshot),
        evacuated: RefCell::default(),
        answers: Cell::new(0),
        made: RefCell::default(),
        is_up: Cell::new(true),
        partitioned: Cell::new(None),
        turned_away: RefCell::default(),
        unanswered: RefCell::default(),
    });
    let rows = Rc::new(rows);
    let mut daemons = Vec::new();
    for (n, ((backend, place), sockets)) in backends.into_iter().zip(places).zip(sockets).enumerate() {
        let identity = Identity {
            addr: sockets.1.local_addr().expect("a bound address"),
            incarnation: n as u64 + 1,
            place: place.clone(),
            service: SERVICE.into(),
            is_first_start: false,
        };
        daemons.push(start_daemon(identity, backend, &source, &rows, sockets));
    }
    for daemon in &daemons {
        daemon.register(1, false);
    }
    let fleet = Fleet { daemons, source, rows };
    fleet.wait_until_ready().await;
    fleet
}

fn start_daemon(
    identity: Identity,
    backend: Rc<Backend>,
    source: &Rc<Source>,
    rows: &Rc<Rows>,
    (handoffs, datagrams): (TcpListener, UdpSocket),
) -> Daemon {
    let callers = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    callers.set_nonblocking(true).expect("a listener");
    let callers = TcpListener::from_std(callers).expect("a listener");
    let names = Rc::new(HeaderNames::default());
    let local_server = Rc::new(LocalServer::new(Rc::clone(&names), backend.addr, Instant::now()));
    let bounds = Bounds {
        max_proof_age: Duration::from_secs(2),
        max_denial_age: Duration::from_secs(1),
        grace_period: Duration::from_secs(6),
        rate_tolerance: QuotaTolerance { window: Duration::from_secs(5), overage: 0.1, slack_tokens: 1.0 },
        body_memory: BODY_MEMORY_BYTES,
        connection_memory: usize::MAX,
        max_caller_connections: usize::MAX,
    };
    let hasher = KeyHasher::new(b"test");
    let incarnation = identity.incarnation;
    let node = Rc::new(Node::new(identity, names, bounds, local_server, hasher.clone(), Metrics::default()));
    let callers_addr = callers.local_addr().expect("a bound address");
    let (stop, kill, ended) = (CancellationToken::new(), CancellationToken::new(), CancellationToken::new());
    let sockets = Sockets { callers, handoffs, datagrams };
    let source_client = SourceClient { incarnation, source: Rc::clone(source), hasher, operator_state: None };
    let table: Rc<dyn Table> = Rc::clone(rows) as Rc<dyn Table>;
    let running = run_daemon(Rc::clone(&node), sockets, source_client, table, stop.clone());
    let (killed, done) = (kill.clone(), ended.clone());
    // The daemon's tasks end with it, like those of a process.
    let tasks = LocalSet::new();
    spawn_local(async move {
        tokio::select! {
            () = tasks.run_until(running) => {}
            () = killed.cancelled() => {}
        }
        drop(tasks);
        done.cancel();
    });
    Daemon { node, callers: callers_addr, backend, stop, kill, ended }
}

async fn bind_sockets() -> (TcpListener, UdpSocket) {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = tcp.local_addr().expect("a bound address");
        // The UDP port with the same number may be in use.
        if let Ok(udp) = UdpSocket::bind(addr).await {
            return (tcp, udp);
        }
    }
}

/// Introduces a daemon to `daemon` that claims to have the configuration `version` and never answers. It is there
/// until its sockets are dropped.
pub async fn announce_silent_neighbour(daemon: &Daemon, version: Version) -> (TcpListener, UdpSocket) {
    let (handoffs, datagrams) = bind_sockets().await;
    let addr = handoffs.local_addr().expect("a bound address");
    let info = PeerInfo { addr, incarnation: 99, ..daemon.node.peer_info() };
    let status = Status { incarnation: 99, version, ..daemon.node.status(&addr) };
    let hello = Hello { peer_info: info, status, wants_answer: false, forward: false };
    let bytes = postcard::to_stdvec(&Datagram::Hello(hello)).expect("a datagram");
    datagrams.send_to(&bytes, daemon.node.identity.addr).await.expect("the daemon listens");
    (handoffs, datagrams)
}

impl Daemon {
    /// Applies a heartbeat of the server.
    pub fn register(&self, sequence: u64, draining: bool) {
        self.heartbeat(1, sequence, draining);
    }

    /// Applies the first heartbeat of a new incarnation of the server.
    pub fn register_new_incarnation(&self) {
        self.heartbeat(2, 1, false);
    }

    /// Applies a heartbeat of the server, which now has this many slots.
    pub fn offer_slots(&self, sequence: u64, slots: u16) {
        let heartbeat = self.new_heartbeat(1, sequence, false, Duration::ZERO);
        self.node.local_server.apply_heartbeat(Heartbeat { slots, ..heartbeat }, Instant::now());
    }

    fn heartbeat(&self, born: u64, sequence: u64, draining: bool) {
        self.cold_heartbeat(born, sequence, draining, Duration::ZERO);
    }

    /// Applies a heartbeat of the server's incarnation `born`, which is cold for `cold_for`.
    pub fn cold_heartbeat(&self, born: u64, sequence: u64, draining: bool, cold_for: Duration) {
        let heartbeat = self.new_heartbeat(born, sequence, draining, cold_for);
        self.node.local_server.apply_heartbeat(heartbeat, Instant::now());
    }

    fn new_heartbeat(&self, born: u64, sequence: u64, draining: bool, cold_for: Duration) -> Heartbeat {
        Heartbeat {
            id: self.server_id().into(),
            born,
            sequence,
            service: SERVICE.into(),
            slots: 2,
            draining,
            cold_for,
        }
    }

    /// The server leaves, and the departure is acknowledged.
    pub async fn acknowledge_departure(&self) {
        self.node.local_server.deregister(&self.server_id(), 1);
        relay::departures::store_departures(&self.node).await;
    }

    fn server_id(&self) -> String {
        format!("server-{}", self.node.identity.incarnation % 100)
    }

    /// Sends bytes on a new connection, and reads until the text `until` has arrived or the connection
    /// closes.
    pub async fn send_raw(&self, bytes: &str, until: &str) -> String {
        let mut stream = TcpStream::connect(self.callers).await.expect("the daemon listens");
        stream.write_all(bytes.as_bytes()).await.expect("the daemon reads");
        read_until(&mut stream, until).await
    }

    /// Sends a GET request with [`KEY`].
    pub async fn get(&self, path: &str, id: &str) -> String {
        self.send_raw(&request("GET", path, id, ""), "\r\n\r\n").await
    }

    /// Sends a POST request with [`KEY`].
    pub async fn post(&self, path: &str, id: &str) -> String {
        self.send_raw(&request("POST", path, id, "one crate"), "\r\n\r\n").await
    }

    /// Number of requests that the server ran.
    pub fn runs(&self) -> usize {
        self.backend.seen.borrow().len()
    }
}

/// Text of a request with [`KEY`].
pub fn request(method: &str, path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\nx-api-key: {KEY}\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

/// Reads until the text `until` has arrived or the connection closes.
pub async fn read_until(stream: &mut TcpStream, until: &str) -> String {
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    let reading = async {
        loop {
            let len = stream.read(&mut buf).await.unwrap_or(0);
            text.extend_from_slice(&buf[..len]);
            if len == 0 || String::from_utf8_lossy(&text).contains(until) {
                return;
            }
        }
    };
    tokio::time::timeout(TIMEOUT, reading).await.expect("an answer");
    String::from_utf8_lossy(&text).into_owned()
}

/// Connects a caller with a small receive buffer.
pub async fn connect_with_small_buffer(addr: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(SMALL_RECV_BUFFER_BYTES).expect("a socket option");
    socket.connect(addr).await.expect("the daemon listens")
}

/// Connects a caller with a small receive buffer and small segments, which keep the daemon's send buffer
/// small too. Otherwise the send buffer begins at 2.5 MB on loopback.
pub async fn connect_with_small_segments(addr: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    SockRef::from(&socket).set_tcp_mss(SMALL_SEGMENT_BYTES).expect("a socket option");
    socket.set_recv_buffer_size(SMALL_RECV_BUFFER_BYTES).expect("a socket option");
    socket.connect(addr).await.expect("the daemon listens")
}

/// Reads slowly until `is_done` or the connection closes. Returns the bytes and how the connection ended.
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
        match tokio::time::timeout(TIMEOUT, stream.read(&mut buf)).await.expect("bytes or an end") {
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

/// Parses answers with stated lengths into statuses and bodies. The last body may be incomplete.
pub fn parse_answers(mut bytes: &[u8]) -> Vec<(u16, &[u8])> {
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

/// Status of an answer; 0 if it has none.
pub fn status(rep: &str) -> u16 {
    rep.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Waits until `condition` returns true.
pub async fn eventually(mut condition: impl FnMut() -> bool) {
    let polling = async {
        while !condition() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, polling).await.expect("the condition holds within the timeout");
}

impl Fleet {
    /// Waits until all daemons have a fresh configuration and know each other's servers.
    pub async fn wait_until_ready(&self) {
        let others = self.daemons.len() - 1;
        eventually(|| {
            self.daemons.iter().all(|d| {
                let now = Instant::now();
                let known = d.node.peers.borrow().candidates(SERVICE, &[], |_| true, now).1;
                d.node.is_conf_fresh() && known.iter().filter(|c| c.reachable).count() == others
            })
        })
        .await;
    }

    /// Starts a new process of a daemon once the old one has ended. It has the old address in its identity,
    /// but its sockets are bound to other ports.
    pub async fn restart(&self, old: &Daemon) -> Daemon {
        old.stop.cancel();
        old.ended.cancelled().await;
        let identity =
            Identity { incarnation: old.node.identity.incarnation + 100, ..old.node.identity.clone() };
        start_daemon(identity, Rc::clone(&old.backend), &self.source, &self.rows, bind_sockets().await)
    }

    /// Starts a new process of a daemon on the same sockets, whose clock has been set back since the old one
    /// started.
    pub async fn restart_with_earlier_clock(&self, old: Daemon) -> Daemon {
        old.stop.cancel();
        let identity = Identity { incarnation: 0, ..old.node.identity.clone() };
        self.restart_in_place(old, identity).await
    }

    /// Kills a daemon and starts a new process on the same sockets.
    pub async fn kill_and_restart(&self, old: Daemon) -> Daemon {
        old.kill.cancel();
        let identity =
            Identity { incarnation: old.node.identity.incarnation + 100, ..old.node.identity.clone() };
        self.restart_in_place(old, identity).await
    }

    async fn restart_in_place(&self, old: Daemon, identity: Identity) -> Daemon {
        old.ended.cancelled().await;
        let backend = Rc::clone(&old.backend);
        // The node holds the socket for datagrams.
        drop(old);
        let tcp = TcpListener::bind(identity.addr).await.expect("the old daemon has closed it");
        let udp = UdpSocket::bind(identity.addr).await.expect("the old daemon has closed it");
        start_daemon(identity, backend, &self.source, &self.rows, (tcp, udp))
    }

    /// Number of requests that all servers ran.
    pub fn runs(&self) -> usize {
        self.daemons.iter().map(Daemon::runs).sum()
    }
}

/// Runs a test on a single thread.
pub fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// A configuration in which `/stock/` may be repeated, `/order/` may not, and `/open/` needs no key.
pub fn conf(hasher: &KeyHasher) -> Snapshot {
    snapshot(hasher, 1, &[KEY], 1_000_000.0)
}

/// [`conf`] with route timeouts that are longer than a daemon's grace period.
pub fn long_timeout_conf(hasher: &KeyHasher) -> Snapshot {
    let mut parts = snapshot_parts(hasher, &[KEY], 1_000_000.0);
    for route in &mut parts.routes {
        route.timeout = Duration::from_secs(20);
    }
    parts.into_snapshot(1).expect("the test's configuration is valid")
}

/// [`conf`] with a latency objective so long that a run counts as overdue after 1.2 s before any run time is
/// known.
pub fn long_objective_conf(hasher: &KeyHasher) -> Snapshot {
    let mut parts = snapshot_parts(hasher, &[KEY], 1_000_000.0);
    for route in &mut parts.routes {
        route.objective = Duration::from_millis(800);
    }
    parts.into_snapshot(1).expect("the test's configuration is valid")
}

/// A configuration with the API keys `keys` and the customer's rate `rate`.
pub fn snapshot(hasher: &KeyHasher, version: Version, keys: &[&str], rate: f64) -> Snapshot {
    snapshot_parts(hasher, keys, rate).into_snapshot(version).expect("the test's configuration is valid")
}

/// As [`snapshot`] with [`KEY`], and an open route `/callee/` to a service without servers.
pub fn conf_with_callee(hasher: &KeyHasher) -> Snapshot {
    let mut parts = snapshot_parts(hasher, &[KEY], 1_000_000.0);
    let callee = Service { name: "callee".into(), ..parts.services[0].clone() };
    parts.routes.push(Route { service: callee.name.clone(), ..route("callee", RepeatPolicy::Always, true) });
    parts.services.push(callee);
    parts.into_snapshot(1).expect("the test's configuration is valid")
}

/// Parts of [`snapshot`], to be changed by a test.
pub fn snapshot_parts(hasher: &KeyHasher, keys: &[&str], rate: f64) -> SnapshotParts {
    let key = |secret: &&str| Key {
        name: (*secret).into(),
        hash: hasher.hash(secret.as_bytes()),
        customer: "parish".into(),
        expires: None,
    };
    SnapshotParts {
        services: vec![Service {
            name: SERVICE.into(),
            floor: 0.0,
            cross_region: true,
            queue: 100,
            cold_rate: None,
        }],
        customers: vec![Customer {
            name: "parish".into(),
            rate,
            burst: rate,
            priority: None,
            regions: AllowedRegions::All,
        }],
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
        regions: AllowedRegions::All,
    }
}
