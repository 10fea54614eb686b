//! HTTP/2 connections between daemons: one persistent connection for each pair of daemons and direction.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{DaemonId, ServiceId};
use bytes::Bytes;
use conf::Snapshot;
use derive_more::Debug;
use fate::{ConnectionId, Incarnation};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::{Body, BufferError, buffer_body};
use crate::body_memory::buffer_in_memory;
use crate::ended_stream::EndedStream;
use crate::exec::LocalExec;
use crate::fate_questions::{Receipt, SentHandoff, SentHandoffs};
use crate::handoff::{
    self, ALTERNATIVES_HEADER, DeclineReason, HANDOFF_HEADER, Handoff, OPERATOR_STATE_HEADER,
    PROOF_AGE_HEADER, REPORT_HEADER, RUN_ERROR_HEADER, RUN_TIME_HEADER, RunError, RunTime,
};
use crate::node::Node;
use crate::operator_state::OperatorState;
use crate::socket;

/// Timeout for opening a connection to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval of pings while requests are running.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an unanswered ping ends the connection.
const PING_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Flow control window of one request or answer in bytes.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Flow control window of the requests on one connection in bytes. They are read as they come.
const REQUESTS_WINDOW_BYTES: u32 = 1024 * 1024;
/// Answers on one connection that their callers may leave unread without holding up the others. Each occupies a slot
/// of the server at the other end.
const MAX_UNREAD_ANSWERS: u32 = 64;
/// Flow control window of the answers on one connection in bytes.
const ANSWERS_WINDOW_BYTES: u32 = MAX_UNREAD_ANSWERS * STREAM_WINDOW_BYTES;
/// Largest number of concurrent requests on one connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 1_000;
/// Largest encoded configuration that is accepted from another daemon.
const MAX_CONFIG_BYTES: usize = 32 * 1024 * 1024;
/// Delay after accepting a connection failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Path under which daemons serve their configuration to each other.
const CONFIG_PATH: &str = "/config";

type Sender = SendRequest<Full<Bytes>>;

/// Why another daemon has not answered a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// The request was not sent.
    NotSent,
    /// The request was sent; it may have run.
    MayHaveRun,
}

/// Connections from this daemon to other daemons.
#[derive(Debug, Default)]
pub struct Links {
    by_addr: RefCell<HashMap<DaemonId, Rc<Mutex<Link>>>>,
    /// Hand-offs on the connections, the replaced ones included.
    pub(crate) sent: Rc<SentHandoffs>,
}

/// An open connection to another daemon.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    id: ConnectionId,
    #[debug(skip)]
    sender: Sender,
    sent: Rc<SentHandoffs>,
}

impl Connection {
    /// Numbers a hand-off, which must then be sent without waiting.
    pub(crate) fn number_handoff(&self) -> SentHandoff {
        self.sent.send(self.id, Instant::now())
    }

    /// Sends a request and waits for the head of the answer. After an error the connection is not used again.
    pub(crate) async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, LinkError> {
        self.sender.send_request(req).await.map_err(|e| {
            self.sent.mark_broken(self.id, Instant::now());
            if e.is_canceled() { LinkError::NotSent } else { LinkError::MayHaveRun }
        })
    }

    fn is_usable(&self) -> bool {
        !self.sender.is_closed() && !self.sent.is_broken(self.id)
    }
}

/// Connection to one daemon.
#[derive(Debug, Default)]
struct Link {
    connection: Option<Connection>,
    /// When the last failed attempt to connect ended.
    failed_at: Option<Instant>,
}

impl Links {
    /// Sends a request to the daemon at `to`, over the open connection or a new one, and waits for the head
    /// of the answer.
    ///
    /// # Errors
    /// Fails if no connection can be opened, or if the connection breaks.
    pub async fn send_request(
        &self,
        to: DaemonId,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, LinkError> {
        self.connect(to, None).await?.send(req).await
    }

    /// Forgets the connection to a daemon, so that the next request opens a new one.
    pub fn disconnect(&self, addr: &DaemonId) {
        self.by_addr.borrow_mut().remove(addr);
    }

    /// Returns the open connection to the daemon at `to`, or opens a new one. `peer` is the incarnation by
    /// which that daemon is known. A connection that has lost a hand-off goes on for the requests that run on
    /// it, but is replaced for others.
    pub(crate) async fn connect(
        &self,
        to: DaemonId,
        peer: Option<Incarnation>,
    ) -> Result<Connection, LinkError> {
        let requested_at = Instant::now();
        let shared_link = Rc::clone(self.by_addr.borrow_mut().entry(to).or_default());
        let mut link = shared_link.lock().await;
        if let Some(connection) = link.connection.as_ref().filter(|c| c.is_usable()) {
            return Ok(connection.clone());
        }
        link.connection = None;
        if link.failed_at.is_some_and(|at| requested_at <= at) {
            // An attempt to connect that this request waited for has failed. Another one would take as long.
            return Err(LinkError::NotSent);
        }
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, self.open(to, peer)).await;
        let opened = opened.unwrap_or_else(|_late| Err(std::io::ErrorKind::TimedOut.into()));
        let connection = opened.map_err(|e| {
            log::debug!("connecting to daemon {to} failed: {e}");
            link.failed_at = Some(Instant::now());
            LinkError::NotSent
        })?;
        link.connection = Some(connection.clone());
        Ok(connection)
    }

    async fn open(&self, to: DaemonId, peer: Option<Incarnation>) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(to).await?;
        socket::set_options(&stream);
        let mut builder = http2::Builder::new(LocalExec);
        builder
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(ANSWERS_WINDOW_BYTES)
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT);
        let (sender, conn) = builder.handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        let (id, sent) = (self.sent.open(to, peer), Rc::clone(&self.sent));
        let connection = Connection { id, sender, sent: Rc::clone(&sent) };
        tokio::task::spawn_local(async move {
            if let Err(e) = conn.await {
                log::debug!("connection to daemon {to} failed: {e}");
            }
            sent.end(id, Instant::now());
        });
        Ok(connection)
    }
}

/// Accepts connections of other daemons until `closing` is cancelled, and runs the requests that they hand
/// off.
///
/// Open connections are tracked in `connections`. After `closing`, each connection ends once its last answer
/// is sent.
pub async fn accept_daemons(
    node: Rc<Node>,
    listener: TcpListener,
    connections: TaskTracker,
    closing: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = closing.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                socket::set_options(&stream);
                connections.spawn_local(serve_connection(Rc::clone(&node), stream, closing.clone()));
            }
            Err(e) => {
                log::warn!("accepting a connection of another daemon failed: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream, closing: CancellationToken) {
    let ended = CancellationToken::new();
    let stream = EndedStream::new(stream, ended.clone());
    let service = service_fn(move |req| {
        let (node, ended) = (Rc::clone(&node), ended.clone());
        // Receipts are made in the order of arrival, before any of the requests waits.
        let arrived = Arrived::new(&node, req);
        async move { Ok::<_, Infallible>(respond(node, arrived, ended).await) }
    });
    let mut builder = hyper::server::conn::http2::Builder::new(LocalExec);
    builder
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(REQUESTS_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    let mut conn = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        () = closing.cancelled() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = ended {
        log::debug!("connection from another daemon failed: {e}");
    }
}

/// Configuration of another daemon, as encoded by its source.
#[derive(Debug)]
pub struct RelayedConfig {
    /// Encoded configuration.
    pub raw: Bytes,
    /// Age of the daemon's proof that the configuration is the newest one.
    pub proof_age: Duration,
    /// What operators ask of the fleet, as the daemon knows it. Daemons of an older version don't tell.
    pub operator_state: Option<OperatorState>,
}

/// Fetches the configuration of another daemon.
pub async fn fetch_config(node: &Node, from: DaemonId) -> Option<RelayedConfig> {
    let uri = format!("http://{from}{CONFIG_PATH}");
    let req = Request::builder().uri(uri).body(Full::new(Bytes::new())).ok()?;
    let peer = node.peers.borrow().incarnation(&from);
    let rep = node.links.connect(from, peer).await.ok()?.send(req).await.ok()?;
    let (mut parts, body) = rep.into_parts();
    let proof_age: Duration = handoff::take_header(&mut parts.headers, &PROOF_AGE_HEADER)?;
    let operator_state = handoff::take_header(&mut parts.headers, &OPERATOR_STATE_HEADER);
    match buffer_body(body, MAX_CONFIG_BYTES).await {
        Ok(raw) => Some(RelayedConfig { raw, proof_age, operator_state }),
        Err(e) => {
            log::warn!("configuration of daemon {from} not received: {e}");
            None
        }
    }
}

fn config_response(node: &Node) -> Response<Body> {
    let Some(age) = node.proof_age() else {
        let mut rep = Response::new(Body::whole(""));
        *rep.status_mut() = StatusCode::NOT_FOUND;
        return rep;
    };
    let mut rep = Response::new(Body::whole(node.raw_conf.borrow().clone()));
    handoff::insert_header(rep.headers_mut(), &PROOF_AGE_HEADER, &age);
    handoff::insert_header(rep.headers_mut(), &OPERATOR_STATE_HEADER, node.evacuations.borrow().state());
    rep
}

/// A request of another daemon, as it has arrived.
#[derive(Debug)]
enum Arrived {
    /// Asks for the configuration.
    ConfigQuery,
    /// Has no valid hand-off.
    Malformed,
    HandedOff(Box<ReceivedRequest>),
}

/// A request that was handed off to this daemon.
#[derive(Debug)]
struct ReceivedRequest {
    handoff: Handoff,
    /// `None` if the request must be declined.
    receipt: Option<Receipt>,
    req: Request<Incoming>,
}

impl Arrived {
    fn new(node: &Node, mut req: Request<Incoming>) -> Self {
        if !req.headers().contains_key(&HANDOFF_HEADER) && req.uri().path() == CONFIG_PATH {
            return Self::ConfigQuery;
        }
        let Some(handoff) = handoff::take_handoff(req.headers_mut()) else { return Self::Malformed };
        let receipt = node.received.receive(&handoff, Instant::now());
        Self::HandedOff(Box::new(ReceivedRequest { handoff, receipt, req }))
    }
}

async fn respond(node: Rc<Node>, arrived: Arrived, ended: CancellationToken) -> Response<Body> {
    let done = match arrived {
        Arrived::ConfigQuery => return config_response(&node),
        Arrived::Malformed => {
            Err(FailedHandoff { error: RunError::declined(DeclineReason::OtherService), service: None })
        }
        Arrived::HandedOff(received) => run_handoff(&node, *received, &ended).await,
    };
    let mut rep = done.unwrap_or_else(|failed| failed.into_response(&node));
    let report = node.local_server.report(Instant::now()).without_probation();
    handoff::insert_header(rep.headers_mut(), &REPORT_HEADER, &report);
    if let Some(run_time) = rep.extensions().get::<RunTime>().copied() {
        handoff::insert_header(rep.headers_mut(), &RUN_TIME_HEADER, &run_time);
    }
    rep
}

/// A request of another daemon that has no answer.
#[derive(Debug)]
struct FailedHandoff {
    error: RunError,
    /// Service that the request was for, if known.
    service: Option<ServiceId>,
}

impl FailedHandoff {
    /// Response that tells the error and, if the request was declined, which servers may take it.
    fn into_response(self, node: &Node) -> Response<Body> {
        let mut rep = Response::new(Body::whole(""));
        *rep.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        handoff::insert_header(rep.headers_mut(), &RUN_ERROR_HEADER, &self.error);
        if let (RunError::Declined { .. }, Some(service)) = (self.error, self.service) {
            let servers = node.peers.borrow().alternatives(&service, Instant::now(), &mut rand::rng());
            handoff::insert_header(rep.headers_mut(), &ALTERNATIVES_HEADER, &servers);
        }
        rep
    }
}

/// Runs a hand-off, unless it is given up or its connection has `ended` before it starts.
async fn run_handoff(
    node: &Node,
    received: ReceivedRequest,
    ended: &CancellationToken,
) -> Result<Response<Body>, FailedHandoff> {
    let ReceivedRequest { handoff, receipt, req } = received;
    let failed = |error| FailedHandoff { error, service: Some(handoff.service.clone()) };
    let given_up = RunError::declined(DeclineReason::GivenUp);
    let Some(receipt) = receipt else { return Err(failed(given_up)) };
    let result = tokio::select! {
        biased;
        () = receipt.given_up() => Err(given_up),
        // When a connection ends, its running requests free their slots. Requests of the same connection that still
        // wait must not take them.
        () = ended_before_start(&receipt, ended) => Err(given_up),
        result = receive_and_run(node, &handoff, &receipt, req) => result,
    };
    if let Err(RunError::Declined { .. }) = result {
        receipt.decline();
    }
    result.map_err(failed)
}

/// Waits until the connection of a hand-off has ended, if the hand-off has not started then.
async fn ended_before_start(receipt: &Receipt, ended: &CancellationToken) {
    ended.cancelled().await;
    if receipt.has_started() {
        std::future::pending::<()>().await;
    }
}

/// Receives the rest of a hand-off and runs it.
async fn receive_and_run(
    node: &Node,
    handoff: &Handoff,
    receipt: &Receipt,
    req: Request<Incoming>,
) -> Result<Response<Body>, RunError> {
    let (mut parts, body) = req.into_parts();
    let conf = may_run_here(node, handoff, &parts)?;
    let max_bytes = conf.limits.max_body_bytes;
    let body = buffer_in_memory(body, max_bytes, &node.body_memory).await;
    let (body, _reserved) = body.map_err(|e| match e {
        BufferError::NoMemory => RunError::declined(DeclineReason::Busy),
        BufferError::Broken | BufferError::TooLarge { .. } => RunError::declined(DeclineReason::Unreachable),
    })?;
    restore_host(&mut parts);
    node.local_server.run_received(handoff, receipt, Request::from_parts(parts, body)).await
}

/// Checks by the configuration in force here, which may be newer than that of the caller's daemon, whether the
/// request may run in this region. Returns that configuration.
fn may_run_here(node: &Node, handoff: &Handoff, parts: &Parts) -> Result<Arc<Snapshot>, RunError> {
    let conf = node.conf().ok_or(RunError::declined(DeclineReason::NoServer))?;
    let host = edge::admit::request_host(parts);
    let route = conf.match_route(host, parts.uri.path(), parts.method.as_str());
    let regions = conf.allowed_regions(route, handoff.customer.as_ref());
    if !regions.allows(&node.identity.place.region) {
        return Err(RunError::declined(DeclineReason::OutsideRegions));
    }
    Ok(conf)
}

/// Turns an HTTP/2 request back into the HTTP/1.1 form for the server, with the host as a header.
fn restore_host(parts: &mut Parts) {
    let host = parts.uri.authority().and_then(|a| a.as_str().parse().ok());
    if let Some(host) = host {
        parts.headers.insert(HOST, host);
    }
    if let Some(path) = parts.uri.path_and_query().cloned() {
        parts.uri = path.into();
    }
    parts.version = hyper::Version::HTTP_11;
}
