//! Pool of HTTP/1.1 connections to backend servers. A connection is reused only after a complete answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::Debug;
use http_body_util::combinators::BoxBody;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::refuse::BodyError;

/// Body of a request to a backend server.
pub type RequestBody = BoxBody<Bytes, BodyError>;

/// Idle connections kept for each server address.
const MAX_IDLE_PER_SERVER: usize = 16;
/// Idle time within which a connection counts as recently used: firewalls and address translators on the path
/// are unlikely to have dropped its state.
const RECENT_USE: Duration = Duration::from_millis(500);
/// Connections that were idle for longer are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// One connection to a server. Dropping it closes it at once, also in the middle of a request.
#[derive(Debug)]
pub struct Conn {
    /// Hands requests to hyper's connection task.
    #[debug(skip)]
    pub sender: SendRequest<RequestBody>,
    /// When opening the connection began.
    pub opened_at: Instant,
    /// When the last complete answer arrived; `opened_at` before the first one.
    last_used_at: Instant,
    /// Whether the connection had been idle for at least [`RECENT_USE`] when it was taken from the pool.
    pub was_idle: bool,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
    #[debug(skip)]
    task: AbortHandle,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Which connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReusePolicy {
    /// Any open connection.
    Any,
    /// A new connection, or one that was idle for less than [`RECENT_USE`].
    RecentlyUsed,
    /// Only a new connection.
    New,
}

/// Idle connections to one server address.
#[derive(Debug, Default)]
struct ServerConnections {
    idle: Vec<Conn>,
    /// Connections opened up to this time are not reused.
    retired_until: Option<Instant>,
}

impl ServerConnections {
    fn may_reuse(&self, conn: &Conn) -> bool {
        self.retired_until.is_none_or(|until| conn.opened_at > until)
    }
}

/// Idle connections by server address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    servers: Mutex<HashMap<SocketAddr, ServerConnections>>,
}

/// The connection was refused, failed its handshake or was not opened within the time limit.
#[derive(Clone, Copy, Debug)]
pub struct ConnectError;

impl ConnectionPool {
    /// Takes an idle connection that `reuse` allows, or opens a new one.
    ///
    /// # Errors
    /// Fails when a new connection can't be opened.
    pub async fn acquire(&self, addr: SocketAddr, reuse: ReusePolicy) -> Result<Conn, ConnectError> {
        match self.take_idle(addr, reuse) {
            Some(conn) => Ok(conn),
            None => connect(addr).await,
        }
    }

    /// Returns a connection to the pool after a complete answer. Closes it if the pool holds enough idle
    /// connections to `addr`, or if connections of its age are not reused.
    pub fn release(&self, addr: SocketAddr, mut conn: Conn) {
        let now = Instant::now();
        conn.last_used_at = now;
        conn.is_reused = true;
        let mut servers = self.servers();
        let server = servers.entry(addr).or_default();
        if server.idle.len() < MAX_IDLE_PER_SERVER && server.may_reuse(&conn) {
            server.idle.push(conn);
        }
    }

    /// Stops the reuse of connections to `addr` that were opened up to `until`: idle ones are closed now,
    /// those in use when they are released.
    pub fn retire_opened_until(&self, addr: SocketAddr, until: Instant) {
        let mut servers = self.servers();
        let server = servers.entry(addr).or_default();
        server.retired_until = Some(server.retired_until.map_or(until, |at| at.max(until)));
        let idle = std::mem::take(&mut server.idle);
        server.idle = idle.into_iter().filter(|c| c.opened_at > until).collect();
    }

    /// Closes connections that were idle for too long, and removes the entries of addresses without
    /// connections.
    pub fn evict_expired(&self, now: Instant) {
        let mut servers = self.servers();
        for server in servers.values_mut() {
            server.idle.retain(|c| is_alive(c, now));
        }
        servers
            .retain(|_, s| !s.idle.is_empty() || s.retired_until.is_some_and(|at| now < at + IDLE_TIMEOUT));
    }

    /// Number of idle connections to all servers.
    pub fn idle_count(&self) -> usize {
        self.servers().values().map(|s| s.idle.len()).sum()
    }

    fn take_idle(&self, addr: SocketAddr, reuse: ReusePolicy) -> Option<Conn> {
        if reuse == ReusePolicy::New {
            return None;
        }
        let now = Instant::now();
        let mut servers = self.servers();
        let server = servers.get_mut(&addr)?;
        server.idle.retain(|c| is_alive(c, now));
        let usable = |c: &Conn| {
            c.sender.is_ready()
                && (reuse == ReusePolicy::Any || now.duration_since(c.last_used_at) < RECENT_USE)
        };
        let index = server.idle.iter().rposition(usable)?;
        let mut conn = server.idle.remove(index);
        conn.was_idle = now.duration_since(conn.last_used_at) >= RECENT_USE;
        Some(conn)
    }

    fn servers(&self) -> MutexGuard<'_, HashMap<SocketAddr, ServerConnections>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_alive(conn: &Conn, now: Instant) -> bool {
    !conn.sender.is_closed() && now.duration_since(conn.last_used_at) < IDLE_TIMEOUT
}

async fn connect(addr: SocketAddr) -> Result<Conn, ConnectError> {
    let opened_at = Instant::now();
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let stream = stream.map_err(|_late| ConnectError)?.map_err(|_refused| ConnectError)?;
    let _ = stream.set_nodelay(true);
    let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.map_err(|_refused| ConnectError)?;
    let task = tokio::spawn(conn).abort_handle();
    Ok(Conn { sender, opened_at, last_used_at: opened_at, was_idle: false, is_reused: false, task })
}
