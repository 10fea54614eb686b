//! Serves requests in a limited number of slots, with the injected failures of the mode in force.

use std::convert::Infallible;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::ledger::Ledger;
use crate::mode::{Fault, Handling, Mode};
use crate::settings::Settings;

/// Header with the request's id, which the answer repeats.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that marks a request as an order and holds the id to write to the ledger.
const ORDER_ID_HEADER: &str = "x-order-id";
/// Header with the time in milliseconds until the request's deadline.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Longest queue of requests that wait for a slot, as a multiple of the slots; further requests are shed.
const QUEUE_PER_SLOT: u32 = 4;
/// Factor on the duration of work while the server is cold.
const COLD_SLOWDOWN: f64 = 5.0;
/// Largest frame of a body that is sent.
const MAX_FRAME_BYTES: u64 = 16 * 1024;
/// Size of the body of an answer unless the query asks for another.
const DEFAULT_BODY_BYTES: u64 = 64;

type Body = BoxBody<Bytes, std::io::Error>;

/// State of the server.
#[derive(Debug)]
pub struct State {
    id: Box<str>,
    slots: u32,
    work_ms: u64,
    /// End of the cold start.
    warm_at: Instant,
    /// One permit for each free slot.
    slot_permits: Semaphore,
    /// One permit for each further request that may run or wait for a slot.
    admission_permits: Semaphore,
    /// Mode in force and when it was set.
    mode: Mutex<(Mode, Instant)>,
    ledger: Ledger,
    served: AtomicU64,
    shed: AtomicU64,
    /// Requests that carried a caller's key, which daemons must not forward.
    keys_seen: AtomicU64,
}

impl State {
    /// Creates the state of a server without injected failures.
    ///
    /// # Errors
    /// Fails when the ledger can't be opened.
    pub fn new(settings: &Settings) -> std::io::Result<Arc<Self>> {
        let now = Instant::now();
        Ok(Arc::new(Self {
            id: settings.id.clone(),
            slots: settings.slots,
            work_ms: settings.work_ms,
            warm_at: now + Duration::from_millis(settings.cold_ms),
            slot_permits: Semaphore::new(settings.slots as usize),
            admission_permits: Semaphore::new((settings.slots * (1 + QUEUE_PER_SLOT)) as usize),
            mode: Mutex::new((Mode::default(), now)),
            ledger: Ledger::open(settings.ledger.as_deref())?,
            served: AtomicU64::new(0),
            shed: AtomicU64::new(0),
            keys_seen: AtomicU64::new(0),
        }))
    }

    /// Whether the server announces that it is draining.
    pub fn is_draining(&self) -> bool {
        self.mode().0.draining
    }

    /// Whether the server is still in its cold start.
    pub fn is_cold(&self) -> bool {
        Instant::now() < self.warm_at
    }

    /// Load to report, 0 to 1: the share of slots in use, unless the mode freezes it.
    pub fn reported_load(&self) -> f32 {
        let busy_share = 1.0 - self.slot_permits.available_permits() as f32 / self.slots as f32;
        self.mode().0.frozen_load.unwrap_or(busy_share)
    }

    fn mode(&self) -> MutexGuard<'_, (Mode, Instant)> {
        self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn draw_handling(&self, path: &str, opened: Instant) -> Handling {
        let mode = self.mode();
        mode.0.draw_handling(path, mode.1, opened, Instant::now(), &mut rand::rng())
    }
}

/// Serves until the process ends.
pub async fn serve_requests(listener: TcpListener, state: Arc<State>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let opened = Instant::now();
        let state = Arc::clone(&state);
        let service = service_fn(move |req| {
            let state = Arc::clone(&state);
            async move { Ok::<_, Infallible>(answer_request(&state, req, opened).await) }
        });
        tokio::spawn(
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service),
        );
    }
}

async fn answer_request(state: &State, req: Request<Incoming>, opened: Instant) -> Response<Body> {
    match (req.method(), req.uri().path()) {
        (&Method::PUT, "/_mode") => set_mode(state, req).await,
        (&Method::GET, "/_seen") => text(StatusCode::OK, &counters_json(state)),
        (&Method::GET, "/_health") => text(StatusCode::OK, "well"),
        _ => serve_request(state, req, opened).await,
    }
}

/// Counters of requests, as `GET /_seen` returns them.
fn counters_json(state: &State) -> String {
    let (served, shed) = (state.served.load(Relaxed), state.shed.load(Relaxed));
    json!({ "served": served, "shed": shed, "keys_seen": state.keys_seen.load(Relaxed) }).to_string()
}

async fn set_mode(state: &State, req: Request<Incoming>) -> Response<Body> {
    let body = req.into_body().collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    match serde_json::from_slice(&body) {
        Ok(mode) => {
            *state.mode() = (mode, Instant::now());
            text(StatusCode::OK, "set")
        }
        Err(e) => text(StatusCode::BAD_REQUEST, &format!("{e}; send a JSON object with fields of Mode")),
    }
}

async fn serve_request(state: &State, req: Request<Incoming>, opened: Instant) -> Response<Body> {
    let (parts, body) = req.into_parts();
    let id = parts.headers.get(REQUEST_ID_HEADER).cloned();
    if parts.headers.contains_key("authorization") || parts.headers.contains_key("x-api-key") {
        state.keys_seen.fetch_add(1, Relaxed);
    }
    let handling = state.draw_handling(parts.uri.path(), opened);
    let time_left_ms = parts.headers.get(DEADLINE_HEADER).and_then(|v| v.to_str().ok()?.parse().ok());
    let deadline = time_left_ms.map(|ms| Instant::now() + Duration::from_millis(ms));
    let Ok(_admitted) = state.admission_permits.try_acquire() else { return shed_answer(state, id) };
    if handling.fault == Fault::Shed {
        return shed_answer(state, id);
    }
    let Ok(_slot) = state.slot_permits.acquire().await else { return shed_answer(state, id) };
    if deadline.is_some_and(|at| Instant::now() >= at) {
        return shed_answer(state, id);
    }
    if handling.fault == Fault::Silent {
        std::future::pending::<()>().await;
    }
    let Ok(_body) = body.collect().await else { return text(StatusCode::BAD_REQUEST, "body cut short") };
    let order = parts.headers.get(ORDER_ID_HEADER).and_then(|v| v.to_str().ok());
    simulate_work(state, handling, order).await;
    let body_bytes = parts.uri.query().and_then(|q| q.strip_prefix("bytes=")?.parse().ok());
    let mut rep = make_answer(state, handling, body_bytes);
    let has_wrong_id = handling.fault == Fault::WrongId;
    let answer_id = if has_wrong_id { Some(HeaderValue::from_static("of-another-request")) } else { id };
    if let Some(id) = answer_id {
        rep.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    state.served.fetch_add(1, Relaxed);
    rep
}

/// Simulates the work for a request. An order takes effect in the middle, so that it can run without an
/// answer.
async fn simulate_work(state: &State, handling: Handling, order: Option<&str>) {
    let cold_slowdown = if state.is_cold() { COLD_SLOWDOWN } else { 1.0 };
    let half_duration = Duration::from_millis(state.work_ms).mul_f64(handling.slowdown * cold_slowdown / 2.0);
    tokio::time::sleep(half_duration).await;
    if let Some(order) = order.filter(|_| handling.fault != Fault::ServerError) {
        state.ledger.record_run(order);
    }
    tokio::time::sleep(half_duration).await;
}

fn make_answer(state: &State, handling: Handling, body_bytes: Option<u64>) -> Response<Body> {
    let length = body_bytes.unwrap_or(DEFAULT_BODY_BYTES);
    let mut rep = match handling.fault {
        Fault::ServerError => return text(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
        Fault::Stall => Response::new(body_frames(length / 2).chain(stream::pending()).boxed_body()),
        Fault::Truncate => {
            Response::new(body_frames(length / 2).chain(stream::iter([truncation()])).boxed_body())
        }
        _ => Response::new(body_frames(length).boxed_body()),
    };
    rep.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
    if let Ok(id) = HeaderValue::from_str(&state.id) {
        rep.headers_mut().insert("x-server", id);
    }
    rep
}

/// One frame of a streamed body, or the error that breaks it off.
type BodyFrame = Result<Frame<Bytes>, std::io::Error>;

/// Frames with `total` bytes in all.
fn body_frames(total: u64) -> impl stream::Stream<Item = BodyFrame> + Send + Sync + 'static {
    let sizes =
        (0..total.div_ceil(MAX_FRAME_BYTES)).map(move |n| MAX_FRAME_BYTES.min(total - n * MAX_FRAME_BYTES));
    stream::iter(sizes.map(|size| Ok(Frame::data(Bytes::from(vec![b'x'; size as usize])))))
}

/// The error that makes the HTTP server close the connection in the middle of a body.
fn truncation() -> BodyFrame {
    Err(std::io::Error::other("body truncated by an injected failure"))
}

/// Makes a body of a stream of frames.
trait BoxedBody {
    fn boxed_body(self) -> Body;
}

impl<S: stream::Stream<Item = BodyFrame> + Send + Sync + 'static> BoxedBody for S {
    fn boxed_body(self) -> Body {
        BodyExt::boxed(StreamBody::new(self))
    }
}

/// The answer to a request that is shed, which says that the request did not run.
fn shed_answer(state: &State, id: Option<HeaderValue>) -> Response<Body> {
    state.shed.fetch_add(1, Relaxed);
    let mut rep = text(StatusCode::SERVICE_UNAVAILABLE, "busy");
    rep.headers_mut().insert("x-pomelo-run", HeaderValue::from_static("no"));
    if let Some(id) = id {
        rep.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    rep
}

fn text(status: StatusCode, body: &str) -> Response<Body> {
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let mut rep = Response::new(body.map_err(|never| match never {}).boxed());
    *rep.status_mut() = status;
    rep
}
