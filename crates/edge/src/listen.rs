//! Serves callers over HTTP/1.1 and HTTP/2 and closes their connections politely.

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

/// Time after the stop signal in which answers ask callers to close, before idle connections are closed.
const LINGER: Duration = Duration::from_secs(5);
/// Longest time without a caller before a listener that stops counts as drained.
const BACKLOG_WAIT: Duration = Duration::from_millis(20);
/// Time for the first request of a new connection, which is closed before only if its caller does so.
const FIRST_REQUEST_WAIT: Duration = Duration::from_secs(1);
/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Longest time for the head of a request, idle time of the connection included.
const HEAD_TIMEOUT: Duration = Duration::from_mins(2);
/// Pause after the system refused a connection, e.g. for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What is known about one connection of a caller.
#[derive(Debug, Default)]
pub struct CallerConn {
    /// Key of its last keyed request.
    key: Mutex<Option<KeyHash>>,
    /// Set when a request stated two lengths.
    ambiguous: Arc<AtomicBool>,
    /// Set by its first request.
    has_asked: AtomicBool,
}

impl CallerConn {
    /// Notes the key of a request.
    pub fn set_key(&self, key: Option<KeyHash>) {
        if key.is_some() {
            *self.key.lock().unwrap_or_else(PoisonError::into_inner) = key;
        }
    }

    /// Whether a request on this connection could be framed in two ways.
    pub fn is_ambiguous(&self) -> bool {
        self.ambiguous.load(Relaxed)
    }

    fn key(&self) -> Option<KeyHash> {
        *self.key.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts callers until `stop`, then finishes what was accepted.
pub async fn serve_callers(listener: TcpListener, shared: Arc<EdgeState>, stop: CancellationToken) {
    let closing = CancellationToken::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => start(&shared, stream, &closing),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            () = stop.cancelled() => break,
        }
    }
    shared.draining.store(true, Relaxed);
    let mut linger = pin!(tokio::time::sleep(LINGER));
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => start(&shared, stream, &closing),
            () = &mut linger => break,
        }
    }
    while let Ok(Ok((stream, _))) = tokio::time::timeout(BACKLOG_WAIT, listener.accept()).await {
        start(&shared, stream, &closing);
    }
    drop(listener);
    closing.cancel();
}

fn start(shared: &Arc<EdgeState>, stream: TcpStream, closing: &CancellationToken) {
    let _ = stream.set_nodelay(true);
    shared.tracker.spawn(serve(Arc::clone(shared), stream, closing.clone()));
}

/// Serves one connection until it ends by itself or, once `closing` is cancelled, has no request left.
pub(crate) async fn serve(shared: Arc<EdgeState>, stream: TcpStream, closing: CancellationToken) {
    shared.metrics.caller_connections.inc();
    let caller = Arc::new(CallerConn::default());
    let first_request_by = Instant::now() + FIRST_REQUEST_WAIT;
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .http2()
        .max_header_list_size(MAX_HEAD_BYTES as u32);
    let service = service_fn(|req| {
        caller.has_asked.store(true, Relaxed);
        let work = proxy::serve(Arc::clone(&shared), Arc::clone(&caller), req);
        async move { Ok::<_, Infallible>(work.await) }
    });
    let io = TokioIo::new(InspectedStream::new(stream, Arc::clone(&caller.ambiguous)));
    let mut conn = pin!(builder.serve_connection(io, service));
    let mut keys = shared.keys.subscribe();
    let mut is_closing = false;
    let mut may_close = pin!(async {
        closing.cancelled().await;
        if !caller.has_asked.load(Relaxed) {
            tokio::time::sleep_until(first_request_by.into()).await;
        }
    });
    loop {
        tokio::select! {
            _ = conn.as_mut() => break,
            () = may_close.as_mut(), if !is_closing => {
                is_closing = true;
                conn.as_mut().graceful_shutdown();
            }
            _ = keys.changed(), if !is_closing => {
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
