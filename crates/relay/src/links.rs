//! HTTP/2 connections between daemons: one persistent connection for each pair of daemons and direction.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::{DaemonId, ServiceId};
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

use crate::body::{Body, BufferError, buffer_body};
use crate::body_memory::buffer_request_body;
use crate::exec::LocalExec;
use crate::handoff::{
    self, ALTERNATIVES_HEADER, DeclineReason, HANDOFF_HEADER, PROOF_AGE_HEADER, REPORT_HEADER,
    RUN_ERROR_HEADER, RUN_TIME_HEADER, RunError, RunTime,
};
use crate::node::Node;
use crate::socket;

/// Timeout for opening a connection to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval of pings while requests are running.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an unanswered ping ends the connection.
const PING_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Flow control window of one request in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Flow control window of one connection in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;
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
}

/// Connection to one daemon.
#[derive(Debug, Default)]
struct Link {
    #[debug(skip)]
    sender: Option<Sender>,
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
        let mut sender = self.sender(to).await?;
        let sent = sender.send_request(req);
        sent.await.map_err(|e| if e.is_canceled() { LinkError::NotSent } else { LinkError::MayHaveRun })
    }

    /// Forgets the connection to a daemon, so that the next request opens a new one.
    pub fn disconnect(&self, addr: &DaemonId) {
        self.by_addr.borrow_mut().remove(addr);
    }

    async fn sender(&self, to: DaemonId) -> Result<Sender, LinkError> {
        let requested_at = Instant::now();
        let shared_link = Rc::clone(self.by_addr.borrow_mut().entry(to).or_default());
        let mut link = shared_link.lock().await;
        if let Some(sender) = link.sender.as_ref().filter(|s| !s.is_closed()) {
            return Ok(sender.clone());
        }
        link.sender = None;
        if link.failed_at.is_some_and(|at| requested_at <= at) {
            // An attempt to connect that this request waited for has failed. Another one would take as long.
            return Err(LinkError::NotSent);
        }
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, open_connection(to)).await;
        let opened = opened.unwrap_or_else(|_late| Err(std::io::ErrorKind::TimedOut.into()));
        let sender = opened.map_err(|e| {
            log::debug!("connecting to daemon {to} failed: {e}");
            link.failed_at = Some(Instant::now());
            LinkError::NotSent
        })?;
        link.sender = Some(sender.clone());
        Ok(sender)
    }
}

async fn open_connection(to: DaemonId) -> std::io::Result<Sender> {
    let stream = TcpStream::connect(to).await?;
    socket::set_options(&stream);
    let mut builder = http2::Builder::new(LocalExec);
    builder
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    let (sender, conn) = builder.handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    tokio::task::spawn_local(async move {
        if let Err(e) = conn.await {
            log::debug!("connection to daemon {to} failed: {e}");
        }
    });
    Ok(sender)
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
    let service = service_fn(move |req| {
        let node = Rc::clone(&node);
        async move { Ok::<_, Infallible>(respond(node, req).await) }
    });
    let mut builder = hyper::server::conn::http2::Builder::new(LocalExec);
    builder
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
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

/// Fetches the configuration of another daemon, with the age of that daemon's proof that the configuration is
/// the newest one.
pub async fn fetch_config(node: &Node, from: DaemonId) -> Option<(Bytes, Duration)> {
    let uri = format!("http://{from}{CONFIG_PATH}");
    let req = Request::builder().uri(uri).body(Full::new(Bytes::new())).ok()?;
    let rep = node.links.send_request(from, req).await.ok()?;
    let (mut parts, body) = rep.into_parts();
    let proof_age: Duration = handoff::take_header(&mut parts.headers, &PROOF_AGE_HEADER)?;
    match buffer_body(body, MAX_CONFIG_BYTES).await {
        Ok(raw) => Some((raw, proof_age)),
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
    rep
}

async fn respond(node: Rc<Node>, req: Request<Incoming>) -> Response<Body> {
    if !req.headers().contains_key(&HANDOFF_HEADER) && req.uri().path() == CONFIG_PATH {
        return config_response(&node);
    }
    let mut rep = match run_handoff(&node, req).await {
        Ok(rep) => rep,
        Err(failed) => failed.into_response(&node),
    };
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

async fn run_handoff(node: &Rc<Node>, req: Request<Incoming>) -> Result<Response<Body>, FailedHandoff> {
    let (mut parts, body) = req.into_parts();
    let Some(handoff) = handoff::take_handoff(&mut parts.headers) else {
        return Err(FailedHandoff { error: RunError::declined(DeclineReason::OtherService), service: None });
    };
    let max_bytes = node.conf().map(|c| c.limits).unwrap_or_default().max_body_bytes;
    let run = async {
        let body = buffer_request_body(body, max_bytes, &node.body_memory).await;
        let (body, _reserved) = body.map_err(|e| match e {
            BufferError::NoMemory => RunError::declined(DeclineReason::Busy),
            BufferError::Broken | BufferError::TooLarge { .. } => {
                RunError::declined(DeclineReason::Unreachable)
            }
        })?;
        restore_host(&mut parts);
        node.local_server.run_request(&handoff, Request::from_parts(parts, body)).await
    };
    run.await.map_err(|error| FailedHandoff { error, service: Some(handoff.service.clone()) })
}

/// Turns an HTTP/2 request back into the HTTP/1.1 form for the server, with the host as a header.
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
