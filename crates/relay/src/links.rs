//! Connections between daemons: one kept HTTP/2 connection for each pair and direction.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::DaemonId;
use bytes::Bytes;
use derive_more::Debug;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper::header::HOST;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::{Body, hold};
use crate::exec::LocalExec;
use crate::handoff::{self, ORDER, Order, PROOF_AGE, REPORT, Reason, VERDICT, Verdict};
use crate::node::Node;
use crate::socket;

/// Longest time until a connection to another daemon is open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval of pings while requests are under way.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a ping without answer ends a connection.
const PING_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bytes that may be under way for one request.
const STREAM_WINDOW: u32 = 256 * 1024;
/// Bytes that may be under way on one connection.
const CONNECTION_WINDOW: u32 = 1024 * 1024;
/// Requests that may be under way on one connection.
const MAX_STREAMS: u32 = 1_000;
/// Largest configuration of another daemon.
const MAX_CONFIG_BYTES: usize = 32 * 1024 * 1024;
/// Pause after an accept failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Path at which daemons give each other their configuration.
const CONFIG_PATH: &str = "/config";

type Sender = SendRequest<Full<Bytes>>;

/// Why a request has no answer of another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// It was not sent.
    NotSent,
    /// It was sent; what became of it is not known.
    Unknown,
}

/// Connections to other daemons.
#[derive(Debug, Default)]
pub struct Links {
    by_addr: RefCell<HashMap<DaemonId, Rc<Mutex<Link>>>>,
}

/// The connection to one daemon.
#[derive(Debug, Default)]
struct Link {
    #[debug(skip)]
    sender: Option<Sender>,
    /// When the last attempt to open one failed.
    failed_at: Option<Instant>,
}

impl Links {
    /// Sends a request to the daemon at `to` and waits for the head of its answer.
    ///
    /// # Errors
    /// Fails if there is no connection, or it broke.
    pub async fn send(
        &self,
        to: DaemonId,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, LinkError> {
        let mut sender = self.sender(to).await?;
        let sent = sender.send_request(req);
        sent.await.map_err(|e| if e.is_canceled() { LinkError::NotSent } else { LinkError::Unknown })
    }

    /// Drops the connection to a daemon.
    pub fn forget(&self, addr: &DaemonId) {
        self.by_addr.borrow_mut().remove(addr);
    }

    async fn sender(&self, to: DaemonId) -> Result<Sender, LinkError> {
        let asked = Instant::now();
        let cell = Rc::clone(self.by_addr.borrow_mut().entry(to).or_default());
        let mut link = cell.lock().await;
        if let Some(sender) = link.sender.as_ref().filter(|s| !s.is_closed()) {
            return Ok(sender.clone());
        }
        link.sender = None;
        if link.failed_at.is_some_and(|at| asked <= at) {
            // The attempt that was under way has failed; another would take as long.
            return Err(LinkError::NotSent);
        }
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, open(to)).await;
        let opened = opened.unwrap_or_else(|_late| Err(std::io::ErrorKind::TimedOut.into()));
        let sender = opened.map_err(|e| {
            log::debug!("no connection to daemon {to}: {e}");
            link.failed_at = Some(Instant::now());
            LinkError::NotSent
        })?;
        link.sender = Some(sender.clone());
        Ok(sender)
    }
}

async fn open(to: DaemonId) -> std::io::Result<Sender> {
    let stream = TcpStream::connect(to).await?;
    socket::prepare(&stream);
    let mut builder = http2::Builder::new(LocalExec);
    builder
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    let (sender, conn) = builder.handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    tokio::task::spawn_local(async move {
        if let Err(e) = conn.await {
            log::debug!("connection to daemon {to} ended: {e}");
        }
    });
    Ok(sender)
}

/// Accepts connections of other daemons until `closing` and runs what they hand off; tracks the connections, each of
/// which ends once its last answer is sent.
pub async fn serve(
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
                socket::prepare(&stream);
                connections.spawn_local(serve_one(Rc::clone(&node), stream, closing.clone()));
            }
            Err(e) => {
                log::warn!("connection of another daemon not accepted: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_one(node: Rc<Node>, stream: TcpStream, closing: CancellationToken) {
    let service = service_fn(move |req| {
        let node = Rc::clone(&node);
        async move { Ok::<_, Infallible>(answer(node, req).await) }
    });
    let mut builder = hyper::server::conn::http2::Builder::new(LocalExec);
    builder
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
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
        log::debug!("connection of a daemon ended: {e}");
    }
}

/// Asks another daemon for its configuration; returns it with the age of the proof that it is the newest.
pub async fn fetch_config(node: &Node, from: DaemonId) -> Option<(Bytes, Duration)> {
    let uri = format!("http://{from}{CONFIG_PATH}");
    let req = Request::builder().uri(uri).body(Full::new(Bytes::new())).ok()?;
    let rep = node.links.send(from, req).await.ok()?;
    let (mut parts, body) = rep.into_parts();
    let proof_age: Duration = handoff::take(&mut parts.headers, &PROOF_AGE)?;
    match hold(body, MAX_CONFIG_BYTES).await {
        Ok(raw) => Some((raw, proof_age)),
        Err(e) => {
            log::warn!("configuration of {from}: {e}");
            None
        }
    }
}

fn config(node: &Node) -> Response<Body> {
    let Some(age) = node.proof_age() else {
        let mut rep = Response::new(Body::whole(""));
        *rep.status_mut() = StatusCode::NOT_FOUND;
        return rep;
    };
    let mut rep = Response::new(Body::whole(node.raw.borrow().clone()));
    handoff::put(rep.headers_mut(), &PROOF_AGE, &age);
    rep
}

async fn answer(node: Rc<Node>, req: Request<Incoming>) -> Response<Body> {
    if !req.headers().contains_key(&ORDER) && req.uri().path() == CONFIG_PATH {
        return config(&node);
    }
    let done = run(&node, req).await;
    let mut rep = done.unwrap_or_else(|verdict| {
        let mut rep = Response::new(Body::whole(""));
        *rep.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        handoff::put(rep.headers_mut(), &VERDICT, &verdict);
        rep
    });
    handoff::put(rep.headers_mut(), &REPORT, &node.exit.report(Instant::now()));
    rep
}

async fn run(node: &Rc<Node>, req: Request<Incoming>) -> Result<Response<Body>, Verdict> {
    let (mut parts, body) = req.into_parts();
    let order: Option<Order> = handoff::take(&mut parts.headers, &ORDER);
    let order = order.ok_or(Verdict::declined(Reason::OtherService))?;
    let limit = node.conf().map(|c| c.limits).unwrap_or_default().max_body_bytes;
    let body = hold(body, limit).await.map_err(|_broken| Verdict::declined(Reason::Unreachable))?;
    restore_host(&mut parts);
    node.exit.run(&order, Request::from_parts(parts, body)).await
}

/// Turns the target back into the form that servers expect.
fn restore_host(parts: &mut hyper::http::request::Parts) {
    let host = parts.uri.authority().and_then(|a| a.as_str().parse().ok());
    if let Some(host) = host {
        parts.headers.insert(HOST, host);
    }
    if let Some(path) = parts.uri.path_and_query().cloned() {
        parts.uri = path.into();
    }
    parts.version = hyper::Version::HTTP_11;
}
