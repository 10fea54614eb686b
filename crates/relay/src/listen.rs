//! Serves callers over HTTP/1.1 and closes their connections politely.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;

use edge::framing::Inspected;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::body::Body;
use crate::entry;
use crate::node::Node;

/// Pause after an accept failed, e.g. for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers until the daemon ends; `closing` asks for idle connections to be closed.
pub async fn listen(node: Rc<Node>, listener: TcpListener, closing: CancellationToken) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(e) = stream.set_nodelay(true) {
                    log::debug!("option of a caller's connection not set: {e}");
                }
                tokio::task::spawn_local(serve(Rc::clone(&node), stream, closing.clone()));
            }
            Err(e) => {
                log::warn!("caller not accepted: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(node: Rc<Node>, stream: TcpStream, closing: CancellationToken) {
    let limits = node.conf().map(|c| c.limits).unwrap_or_default();
    let ambiguous = Arc::new(AtomicBool::new(false));
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(8 * 1024));
    let service = service_fn(|req| {
        let (node, ambiguous) = (Rc::clone(&node), Arc::clone(&ambiguous));
        async move { Ok::<_, Infallible>(answer(node, &ambiguous, req).await) }
    });
    let io = TokioIo::new(Inspected::new(stream, Arc::clone(&ambiguous)));
    let mut conn = pin!(builder.serve_connection(io, service));
    let mut is_closing = false;
    loop {
        tokio::select! {
            ended = conn.as_mut() => {
                if let Err(e) = ended {
                    log::debug!("connection of a caller ended: {e}");
                }
                return;
            }
            () = closing.cancelled(), if !is_closing => {
                is_closing = true;
                conn.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn answer(node: Rc<Node>, ambiguous: &AtomicBool, req: Request<Incoming>) -> Response<Body> {
    if ambiguous.load(Relaxed) {
        let mut rep = Response::new(Body::whole(""));
        *rep.status_mut() = StatusCode::BAD_REQUEST;
        rep.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        return rep;
    }
    let mut rep = entry::serve(Rc::clone(&node), req).await;
    if node.is_stopping() {
        rep.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    rep
}
