//! Serves callers over HTTP/1.1 and HTTP/2 and closes their connections gracefully.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use conf::KeyHash;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::admit;
use crate::framing::InspectedStream;
use crate::proxy;
use crate::state::EdgeState;

/// Time after the stop signal in which connections are still accepted and answers ask callers to close
/// theirs; then idle connections are closed.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Time without a new connection after which the backlog of a stopping listener counts as empty.
const BACKLOG_IDLE_TIME: Duration = Duration::from_millis(20);
/// Time for the first request on a new connection. A stopping daemon closes the connection no earlier,
/// because the caller may be sending that request already.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);
/// Largest head of a request that is accepted.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Longest time for the head of a request, including the idle time of the connection before it.
const HEAD_TIMEOUT: Duration = Duration::from_mins(2);
/// Pause after `accept` failed, e.g. because no file descriptor was left.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// State of one connection of a caller.
#[derive(Debug, Default)]
pub struct CallerConn {
    /// API key of the last request that carried one.
    key: Mutex<Option<KeyHash>>,
    /// Set when the head of a request was ambiguous.
    ambiguous: Arc<AtomicBool>,
    /// Set by the first request.
    has_requested: AtomicBool,
}

impl CallerConn {
    /// Remembers the API key of a request, if it has one.
    pub fn set_key(&self, key: Option<KeyHash>) {
        if key.is_some() {
            *self.key.lock().unwrap_or_else(PoisonError::into_inner) = key;
        }
    }

    /// Whether the head of a request on this connection was ambiguous. Where the next request begins is then
    /// not certain either.
    pub fn is_ambiguous(&self) -> bool {
        self.ambiguous.load(Relaxed)
    }

    fn key(&self) -> Option<KeyHash> {
        *self.key.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts and serves callers until `stop`, then for `DRAIN_TIME` and until the backlog is empty. Returns
/// when the listener is closed; connections and requests that are still served are in the state's `tracker`.
pub async fn serve_callers(listener: TcpListener, shared: Arc<EdgeState>, stop: CancellationToken) {
    let closing = CancellationToken::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => spawn_connection(&shared, stream, &closing),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
            },
            () = stop.cancelled() => break,
        }
    }
    shared.draining.store(true, Relaxed);
    let mut drain_end = pin!(tokio::time::sleep(DRAIN_TIME));
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => spawn_connection(&shared, stream, &closing),
            () = &mut drain_end => break,
        }
    }
    while let Ok(Ok((stream, _))) = tokio::time::timeout(BACKLOG_IDLE_TIME, listener.accept()).await {
        spawn_connection(&shared, stream, &closing);
    }
    drop(listener);
    closing.cancel();
}

fn spawn_connection(shared: &Arc<EdgeState>, stream: TcpStream, closing: &CancellationToken) {
    let _ = stream.set_nodelay(true);
    shared.tracker.spawn(serve_connection(Arc::clone(shared), stream, closing.clone()));
}

/// Serves one connection until it ends. Closes it gracefully, after the requests in progress, once `closing`
/// is cancelled or the last API key on it is no longer valid.
pub(crate) async fn serve_connection(shared: Arc<EdgeState>, stream: TcpStream, closing: CancellationToken) {
    shared.metrics.caller_connections.inc();
    let caller = Arc::new(CallerConn::default());
    let first_request_until = Instant::now() + FIRST_REQUEST_TIME;
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .http2()
        .max_header_list_size(MAX_HEAD_BYTES as u32);
    let service = service_fn(|req| {
        caller.has_requested.store(true, Relaxed);
        let work = proxy::serve_request(Arc::clone(&shared), Arc::clone(&caller), req);
        async move { Ok::<_, Infallible>(work.await) }
    });
    let io = TokioIo::new(InspectedStream::new(stream, Arc::clone(&caller.ambiguous)));
    let mut conn = pin!(builder.serve_connection(io, service));
    let mut key_changes = shared.key_epoch.subscribe();
    let mut is_closing = false;
    let mut close_permitted = pin!(async {
        closing.cancelled().await;
        if !caller.has_requested.load(Relaxed) {
            tokio::time::sleep_until(first_request_until.into()).await;
        }
    });
    loop {
        tokio::select! {
            _ = conn.as_mut() => break,
            () = close_permitted.as_mut(), if !is_closing => {
                is_closing = true;
                conn.as_mut().graceful_shutdown();
            }
            _ = key_changes.changed(), if !is_closing => {
                let view = shared.view.load();
                if caller.key().is_some_and(|key| !admit::is_key_valid(&view, &key)) {
                    is_closing = true;
                    conn.as_mut().graceful_shutdown();
                }
            }
        }
    }
    shared.metrics.caller_connections.dec();
}

#[cfg(test)]
#[path = "listen_tests.rs"]
mod tests;
