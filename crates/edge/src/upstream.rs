//! Connections to servers: HTTP/1.1, reused only after a whole answer.

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

/// Body of a request to a server.
pub type RequestBody = BoxBody<Bytes, BodyError>;

/// Idle connections that are kept for each server.
const MAX_IDLE: usize = 16;
/// A connection that was used this recently has hardly been forgotten by anything on the path.
const JUST_USED: Duration = Duration::from_millis(500);
/// Idle connections older than this are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// One connection; dropping it closes it at once, whatever it carries.
#[derive(Debug)]
pub struct Conn {
    /// Sends requests.
    #[debug(skip)]
    pub sender: SendRequest<RequestBody>,
    /// When it was opened.
    pub opened: Instant,
    /// When the last whole answer came; the opening time before that.
    used: Instant,
    /// Whether it had been idle for longer than [`JUST_USED`] when it was taken.
    pub was_idle: bool,
    /// Whether it has carried a request before.
    pub is_reused: bool,
    #[debug(skip)]
    task: AbortHandle,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Which connection a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Any that is open.
    Any,
    /// A fresh one or one that was used just now.
    JustUsed,
    /// A fresh one.
    Fresh,
}

/// Connections to one address.
#[derive(Debug, Default)]
struct Peer {
    idle: Vec<Conn>,
    /// Connections opened up to this time are not used again.
    distrusted: Option<Instant>,
}

impl Peer {
    fn trusts(&self, conn: &Conn) -> bool {
        self.distrusted.is_none_or(|until| conn.opened > until)
    }
}

/// Idle connections by server address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    peers: Mutex<HashMap<SocketAddr, Peer>>,
}

/// No connection could be opened in time.
#[derive(Clone, Copy, Debug)]
pub struct NoConnection;

impl ConnectionPool {
    /// Takes an idle connection or opens one.
    ///
    /// # Errors
    /// Fails when none can be opened.
    pub async fn get(&self, addr: SocketAddr, freshness: Freshness) -> Result<Conn, NoConnection> {
        match self.take_idle(addr, freshness) {
            Some(conn) => Ok(conn),
            None => connect(addr).await,
        }
    }

    /// Keeps a connection whose last answer was whole.
    pub fn give_back(&self, addr: SocketAddr, mut conn: Conn) {
        let now = Instant::now();
        conn.used = now;
        conn.is_reused = true;
        let mut peers = self.peers();
        let peer = peers.entry(addr).or_default();
        if peer.idle.len() < MAX_IDLE && peer.trusts(&conn) {
            peer.idle.push(conn);
        }
    }

    /// Closes all idle connections to `addr` opened up to `opened`, and those in use after their answers.
    pub fn distrust(&self, addr: SocketAddr, opened: Instant) {
        let mut peers = self.peers();
        let peer = peers.entry(addr).or_default();
        peer.distrusted = Some(peer.distrusted.map_or(opened, |at| at.max(opened)));
        let idle = std::mem::take(&mut peer.idle);
        peer.idle = idle.into_iter().filter(|c| c.opened > opened).collect();
    }

    /// Closes connections that were idle for too long and forgets addresses without any.
    pub fn sweep(&self, now: Instant) {
        let mut peers = self.peers();
        for peer in peers.values_mut() {
            peer.idle.retain(|c| is_alive(c, now));
        }
        peers.retain(|_, p| !p.idle.is_empty() || p.distrusted.is_some_and(|at| now < at + IDLE_TIMEOUT));
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        self.peers().values().map(|p| p.idle.len()).sum()
    }

    fn take_idle(&self, addr: SocketAddr, freshness: Freshness) -> Option<Conn> {
        if freshness == Freshness::Fresh {
            return None;
        }
        let now = Instant::now();
        let mut peers = self.peers();
        let peer = peers.get_mut(&addr)?;
        peer.idle.retain(|c| is_alive(c, now));
        let usable = |c: &Conn| {
            c.sender.is_ready() && (freshness == Freshness::Any || now.duration_since(c.used) < JUST_USED)
        };
        let index = peer.idle.iter().rposition(usable)?;
        let mut conn = peer.idle.remove(index);
        conn.was_idle = now.duration_since(conn.used) >= JUST_USED;
        Some(conn)
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_alive(conn: &Conn, now: Instant) -> bool {
    !conn.sender.is_closed() && now.duration_since(conn.used) < IDLE_TIMEOUT
}

async fn connect(addr: SocketAddr) -> Result<Conn, NoConnection> {
    let opened = Instant::now();
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let stream = stream.map_err(|_late| NoConnection)?.map_err(|_refused| NoConnection)?;
    let _ = stream.set_nodelay(true);
    let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.map_err(|_refused| NoConnection)?;
    let task = tokio::spawn(conn).abort_handle();
    Ok(Conn { sender, opened, used: opened, was_idle: false, is_reused: false, task })
}
