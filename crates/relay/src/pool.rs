//! Connections to the server beside this daemon.

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

/// Longest time until a connection is open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a connection is not used again if the server states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Time before the server's own idle timeout at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// An open connection, used for one request at a time; closed when dropped.
#[derive(Debug)]
pub struct Conn {
    #[debug(skip)]
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    used: Instant,
    idle_until: Instant,
}

impl Conn {
    /// The sender of the connection's requests.
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
    /// Makes an empty pool.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, idle: RefCell::default() }
    }

    /// An idle connection that was used within `fresh`, or a new one.
    ///
    /// # Errors
    /// Fails if the server can't be connected to.
    pub async fn take(&self, fresh: Duration) -> std::io::Result<Conn> {
        if let Some(conn) = self.take_idle(fresh, Instant::now()) {
            return Ok(conn);
        }
        self.open().await
    }

    /// Keeps a connection whose last answer is complete; `keep_alive` is the server's idle timeout.
    pub fn put(&self, mut conn: Conn, keep_alive: Option<Duration>, now: Instant) {
        if conn.sender.is_closed() {
            return;
        }
        let idle = keep_alive.map_or(DEFAULT_IDLE, |t| t.saturating_sub(IDLE_MARGIN));
        conn.used = now;
        conn.idle_until = now + idle;
        self.idle.borrow_mut().push(conn);
    }

    /// Closes all idle connections, after the server was replaced.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    fn take_idle(&self, fresh: Duration, now: Instant) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|c| !c.sender.is_closed() && now < c.idle_until);
        let usable = |c: &Conn| c.sender.is_ready() && now.duration_since(c.used) < fresh;
        let index = idle.iter().rposition(usable)?;
        Some(idle.remove(index))
    }

    async fn open(&self) -> std::io::Result<Conn> {
        let opened = Instant::now();
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
        let stream = connected.map_err(|_late| std::io::ErrorKind::TimedOut)??;
        socket::set_options(&stream);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.map_err(std::io::Error::other)?;
        let task = tokio::task::spawn_local(conn).abort_handle();
        Ok(Conn { sender, task, used: opened, idle_until: opened + DEFAULT_IDLE })
    }
}
