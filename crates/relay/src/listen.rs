//! Serves callers over HTTP/1.1 and closes their connections politely.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;

use base::event;
use edge::framing::Shown;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::ahead::Ahead;
use crate::body::Body;
use crate::closing::{linger, may_close};
use crate::delivery::{Delivery, Followed, FollowedBody, LastAnswer};
use crate::node::Node;

/// Smallest bound on a head that hyper takes.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Pause after an accept failed, e.g. for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers until `closing` and tracks their connections; `closing` asks for idle connections to be closed.
pub async fn listen(
    node: Rc<Node>,
    listener: TcpListener,
    connections: TaskTracker,
    closing: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            // Dropping the listener refuses callers, who then know that nothing was read.
            () = closing.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Err(e) = stream.set_nodelay(true) {
                    log::debug!("option of a caller's connection not set: {e}");
                }
                connections.spawn_local(serve(Rc::clone(&node), stream, closing.clone()));
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
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BYTES));
    let ahead = Rc::new(Ahead::new(Rc::clone(&node)));
    let delivery = Rc::new(Delivery::default());
    let service = service_fn(|req: Request<Incoming>| {
        let (node, ahead, ambiguous) = (Rc::clone(&node), Rc::clone(&ahead), Arc::clone(&ambiguous));
        let delivery = Rc::clone(&delivery);
        Box::pin(async move {
            let (id, has_body) = (shown_id(&node, &req), req.method() != Method::HEAD);
            let rep = answer(&node, &ahead, &ambiguous, req).await;
            let bytes = rep.body().size_hint().exact();
            delivery.begin(LastAnswer { id, status: rep.status().as_u16(), bytes }, has_body);
            Ok::<_, Infallible>(rep.map(|body| FollowedBody::new(body, delivery)))
        })
    });
    let shown = Rc::clone(&ahead);
    let on_head = Box::new(move |head: &[u8], length| shown.note(head, length));
    let stream = Shown::new(stream, Arc::clone(&ambiguous), on_head);
    let io = TokioIo::new(Followed::new(stream, Rc::clone(&delivery)));
    let mut conn = builder.serve_connection(io, service);
    let mut is_closing = false;
    loop {
        tokio::select! {
            biased;
            // hyper sends what it holds of the last answer before it ends the connection.
            ended = &mut conn => {
                note_cut(&node, &delivery, ended.err().as_ref());
                break;
            }
            () = may_close(&closing, &ahead, &delivery), if !is_closing => {
                is_closing = true;
                if !ahead.has_asked() {
                    // hyper would still wait for the first request.
                    break;
                }
                Pin::new(&mut conn).graceful_shutdown();
            }
        }
    }
    let stream = conn.into_parts().io.into_inner().into_inner().into_inner();
    linger(stream, &delivery).await;
}

/// Id of a request as logs show it.
fn shown_id(node: &Node, req: &Request<Incoming>) -> Box<str> {
    let id = req.headers().get(&node.names.request_id).and_then(|v| v.to_str().ok());
    id.unwrap_or("-").into()
}

/// Logs an answer that was not sent whole when its connection ended.
fn note_cut(node: &Node, delivery: &Delivery, error: Option<&hyper::Error>) {
    if let Some(e) = error {
        log::debug!("connection of a caller ended: {e}");
    }
    let Some((answer, cut)) = delivery.cut() else { return };
    node.metrics.answers_cut.with_label_values(&[&cut.to_string()]).inc();
    let LastAnswer { id, status, bytes } = answer;
    let (written, is_stopping) = (delivery.written(), node.is_stopping());
    let bytes = bytes.map_or(-1, |bytes| bytes as i64);
    let error = error.map_or_else(|| "-".to_owned(), ToString::to_string);
    event!(
        Info,
        AnswerCut,
        "id={id} status={status} bytes={bytes} written={written} outcome={cut} stopping={is_stopping} error={error}"
    );
}

/// Whether the caller sends nothing more on its connection.
fn asks_for_close(req: &Request<Incoming>) -> bool {
    let tokens = req.headers().get_all(CONNECTION).into_iter().filter_map(|v| v.to_str().ok());
    let mut tokens = tokens.flat_map(|value| value.split(',')).map(str::trim);
    tokens.any(|token| token.eq_ignore_ascii_case("close"))
}

async fn answer(
    node: &Node,
    ahead: &Ahead,
    ambiguous: &AtomicBool,
    req: Request<Incoming>,
) -> Response<Body> {
    if asks_for_close(&req) {
        ahead.note_last();
    }
    if ambiguous.load(Relaxed) {
        let mut rep = Response::new(Body::whole(""));
        *rep.status_mut() = StatusCode::BAD_REQUEST;
        rep.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        return rep;
    }
    let mut rep = ahead.answer(req).await;
    if node.is_stopping() && !ahead.has_started() {
        rep.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    rep
}
