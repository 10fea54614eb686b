//! Pool of connections to the server beside this daemon.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::Debug;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::socket;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest part of an answer that a connection holds while nobody takes it. Heads of answers must fit as well.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;
/// Idle time after which a connection is not reused if the server states no idle timeout.
const DEFAULT_MAX_IDLE: Duration = Duration::from_secs(4);
/// Longest idle time after which a connection is reused, whatever idle timeout the server states.
const MAX_IDLE: Duration = Duration::from_mins(5);
/// Time before the end of the idle timeout that the server states, from which a connection is not reused.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);

/// An open connection, which carries one request at a time. Dropping it closes it.
#[derive(Debug)]
pub struct Conn {
    #[debug(skip)]
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    last_used_at: Instant,
    /// Time from which the connection is not reused.
    idle_until: Instant,
}

impl Conn {
    /// Handle to send requests on the connection.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections to one server.
#[derive(Debug)]
pub struct Pool {
    addr: SocketAddr,
    idle: RefCell<Vec<Conn>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, idle: RefCell::default() }
    }

    /// Takes an idle connection that has been idle for less than `max_idle`, or opens a new one.
    ///
    /// # Errors
    /// Fails if the server can't be connected to.
    pub async fn take(&self, max_idle: Duration) -> std::io::Result<Conn> {
        if let Some(conn) = self.take_idle(max_idle, Instant::now()) {
            return Ok(conn);
        }
        self.open_connection().await
    }

    /// Returns a connection whose last answer is complete. `keep_alive` is the idle timeout that the server
    /// states, if any.
    pub fn put(&self, mut conn: Conn, keep_alive: Option<Duration>, now: Instant) {
        if conn.sender.is_closed() {
            return;
        }
        let max_idle = keep_alive.map_or(DEFAULT_MAX_IDLE, |t| t.saturating_sub(IDLE_TIMEOUT_MARGIN));
        let max_idle = max_idle.min(MAX_IDLE);
        conn.last_used_at = now;
        conn.idle_until = now + max_idle;
        self.idle.borrow_mut().push(conn);
    }

    /// Closes all idle connections, because another server or incarnation has registered.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    fn take_idle(&self, max_idle: Duration, now: Instant) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|c| !c.sender.is_closed() && now < c.idle_until);
        let usable = |c: &Conn| c.sender.is_ready() && now.duration_since(c.last_used_at) < max_idle;
        let index = idle.iter().rposition(usable)?;
        Some(idle.remove(index))
    }

    async fn open_connection(&self) -> std::io::Result<Conn> {
        let opened_at = Instant::now();
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
        let stream = connected.map_err(|_late| std::io::ErrorKind::TimedOut)??;
        socket::set_options(&stream);
        let handshake =
            http1::Builder::new().max_buf_size(MAX_READ_BUFFER_BYTES).handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.map_err(std::io::Error::other)?;
        let task = tokio::task::spawn_local(conn).abort_handle();
        Ok(Conn { sender, task, last_used_at: opened_at, idle_until: opened_at + DEFAULT_MAX_IDLE })
    }
}
