//! Serves callers over HTTP/1.1, and closes their connections gracefully when the daemon stops.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};

use base::event;
use edge::framing::ObservedStream;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::Body;
use crate::caller_requests::CallerRequests;
use crate::closing::{close_lingering, wait_until_closable, wait_until_left};
use crate::connection_limit::{Phase, ReceivedBody};
use crate::delivery::{Delivery, LastAnswer, TrackedBody, TrackedStream};
use crate::node::Node;
use crate::pipeline::Pipeline;
use crate::shared_stream::SharedStream;

/// Smallest head size limit that hyper accepts.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Time after which a caller that reads nothing of its answer is disconnected, unless it still waits for an answer.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after accepting a connection failed, e.g. because no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers until `closing` is cancelled, which also asks for all idle connections to be closed. Open
/// connections are tracked in `connections`.
pub async fn accept_callers(
    node: Rc<Node>,
    listener: TcpListener,
    connections: TaskTracker,
    closing: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            // Dropping the listener makes the kernel refuse connections, which tells callers that none of
            // their requests was read.
            () = closing.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Err(e) = stream.set_nodelay(true) {
                    log::debug!("TCP_NODELAY can't be set on a caller's connection: {e}");
                }
                connections.spawn_local(serve_connection(Rc::clone(&node), stream, closing.clone()));
            }
            Err(e) => {
                log::warn!("accepting a caller's connection failed: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream, closing: CancellationToken) {
    let (delivery, requests) = (Rc::new(Delivery::default()), Rc::new(CallerRequests::default()));
    let admitted = node.connections.admit(Rc::clone(&delivery), Rc::clone(&requests), Instant::now());
    let Some(open) = admitted else {
        node.metrics.connections_closed.with_label_values(&["no-room"]).inc();
        return;
    };
    let open = Rc::new(open);
    let limits = node.conf().map(|c| c.limits).unwrap_or_default();
    let is_ambiguous = Arc::new(AtomicBool::new(false));
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BYTES));
    let pipeline = Rc::new(Pipeline::new(Rc::clone(&node), Rc::clone(&requests)));
    let service = service_fn(|req: Request<Incoming>| {
        let (node, pipeline, is_ambiguous) =
            (Rc::clone(&node), Rc::clone(&pipeline), Arc::clone(&is_ambiguous));
        let (delivery, open) = (Rc::clone(&delivery), Rc::clone(&open));
        Box::pin(async move {
            let (id, has_body) = (logged_id(&node, &req), req.method() != Method::HEAD);
            let req = req.map(|body| ReceivedBody::new(body, Rc::clone(&open)));
            let rep = respond(&node, &pipeline, &is_ambiguous, &id, req).await;
            let bytes = rep.body().size_hint().exact();
            let answer = LastAnswer { id, status: rep.status().as_u16(), bytes };
            delivery.begin(answer, has_body, rep.body().resources());
            delivery.on_sent(move || open.set_phase(Phase::Waiting, Instant::now()));
            Ok::<_, Infallible>(rep.map(|body| TrackedBody::new(body, delivery)))
        })
    });
    let (head_pipeline, head_delivery) = (Rc::clone(&pipeline), Rc::clone(&delivery));
    let head_requests = Rc::clone(&requests);
    let on_head = Box::new(move |head: &[u8], length| {
        if head_pipeline.is_idle() && head_delivery.has_sent() {
            head_requests.record_reuse();
        }
        head_pipeline.on_head(head, length);
    });
    let stream = SharedStream::new(stream);
    let socket = stream.clone();
    let stream = ObservedStream::new(stream, Arc::clone(&is_ambiguous), on_head);
    let io = TokioIo::new(TrackedStream::new(stream, Rc::clone(&delivery)));
    let mut conn = builder.serve_connection(io, service);
    let mut is_closing = false;
    loop {
        tokio::select! {
            biased;
            // hyper sends what it has buffered of the last answer before it ends the connection.
            ended = &mut conn => {
                log_cut(&node, &delivery, ended.err().as_ref());
                break;
            }
            () = wait_until_closable(&closing, &pipeline, &delivery), if !is_closing => {
                is_closing = true;
                if !pipeline.has_received() {
                    // hyper would still wait for the first request after a graceful shutdown.
                    break;
                }
                Pin::new(&mut conn).graceful_shutdown();
            }
            () = wait_until_left(&socket, &pipeline) => break,
            shortage = open.evicted() => {
                log_closed(&node, &pipeline, &delivery, &shortage.to_string());
                return;
            }
            () = wait_until_unread(&delivery, &requests) => {
                log_closed(&node, &pipeline, &delivery, "unread");
                return;
            }
        }
    }
    drop(socket);
    let stream = conn.into_parts().io.into_inner().into_inner().into_inner();
    close_lingering(stream, &delivery, open).await;
}

/// Id of a request for logs; `-` without one.
fn logged_id(node: &Node, req: &Request<Incoming>) -> Box<str> {
    let id = req.headers().get(&node.header_names.request_id).and_then(|v| v.to_str().ok());
    id.unwrap_or("-").into()
}

/// Counts and logs an answer that was not sent completely when its connection ended.
fn log_cut(node: &Node, delivery: &Delivery, error: Option<&hyper::Error>) {
    if let Some(e) = error {
        log::debug!("caller's connection failed: {e}");
    }
    let Some((answer, cut)) = delivery.cut_answer() else { return };
    node.metrics.answers_cut.with_label_values(&[&cut.to_string()]).inc();
    let LastAnswer { id, status, bytes } = answer;
    let (written, is_stopping) = (delivery.bytes_written(), node.is_stopping());
    let bytes = bytes.map_or(-1, |bytes| bytes as i64);
    let error = error.map_or_else(|| "-".to_owned(), ToString::to_string);
    event!(
        Info,
        AnswerCut,
        "id={id} status={status} bytes={bytes} written={written} outcome={cut} stopping={is_stopping} error={error}"
    );
}

/// Counts and logs a connection that the daemon closes early, with the requests that get no whole answer.
fn log_closed(node: &Node, pipeline: &Pipeline, delivery: &Delivery, reason: &str) {
    node.metrics.connections_closed.with_label_values(&[reason]).inc();
    log_cut(node, delivery, None);
    let stalled_ms = delivery.stalled_since().map_or(-1, |since| since.elapsed().as_millis() as i64);
    let unanswered = pipeline.unanswered_ids().join(",");
    event!(Info, ConnectionClosed, "reason={reason} stalled_ms={stalled_ms} unanswered=[{unanswered}]");
}

/// Waits until the caller has read nothing of its answer for [`UNREAD_TIMEOUT`] and no longer waits for any answer.
async fn wait_until_unread(delivery: &Delivery, requests: &CallerRequests) {
    loop {
        let now = Instant::now();
        let unread_at = delivery.stalled_since().unwrap_or(now) + UNREAD_TIMEOUT;
        let ends_at = requests.gives_up_at().map_or(unread_at, |gives_up_at| gives_up_at.max(unread_at));
        if ends_at <= now {
            return;
        }
        sleep_until(ends_at.into()).await;
    }
}

/// Whether this is the last request on its connection, according to its `connection` header.
fn asks_for_close<B>(req: &Request<B>) -> bool {
    let tokens = req.headers().get_all(CONNECTION).into_iter().filter_map(|v| v.to_str().ok());
    let mut tokens = tokens.flat_map(|value| value.split(',')).map(str::trim);
    tokens.any(|token| token.eq_ignore_ascii_case("close"))
}

async fn respond(
    node: &Node,
    pipeline: &Pipeline,
    is_ambiguous: &AtomicBool,
    id: &str,
    req: Request<ReceivedBody<Incoming>>,
) -> Response<Body> {
    if asks_for_close(&req) {
        pipeline.set_last();
    }
    if is_ambiguous.load(Relaxed) {
        let mut rep = Response::new(Body::whole(""));
        *rep.status_mut() = StatusCode::BAD_REQUEST;
        rep.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        return rep;
    }
    let mut rep = pipeline.respond(id, req).await;
    if node.is_stopping() && !pipeline.has_started() {
        rep.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    rep
}
