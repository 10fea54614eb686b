//! Serves requests in slots, with the gray modes applied.

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
use crate::mode::{Fate, Fault, Mode};
use crate::settings::Settings;

/// Header with the request's id; echoed.
const REQUEST_ID: &str = "x-request-id";
/// Header that names an order for the ledger.
const ORDER_ID: &str = "x-order-id";
/// Header with the milliseconds left for the request.
const DEADLINE: &str = "x-deadline-ms";
/// Requests that may wait for a slot before the server sheds, as a multiple of the slots.
const QUEUE_FACTOR: u32 = 4;
/// Factor on the time of work while the server is cold.
const COLD_FACTOR: f64 = 5.0;
/// Size of a part of a large body, in bytes.
const PART_BYTES: u64 = 16 * 1024;
/// Size of the body of an ordinary answer, in bytes.
const SMALL_BODY_BYTES: u64 = 64;

type Body = BoxBody<Bytes, std::io::Error>;

/// State of the server.
#[derive(Debug)]
pub struct State {
    id: Box<str>,
    slots: u32,
    work_ms: u64,
    warm_at: Instant,
    free: Semaphore,
    /// Requests in a slot or waiting for one.
    admitted: Semaphore,
    /// Mode in force and when it was set.
    mode: Mutex<(Mode, Instant)>,
    ledger: Ledger,
    served: AtomicU64,
    shed: AtomicU64,
    keys_seen: AtomicU64,
}

impl State {
    /// Makes the state of a healthy server.
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
            free: Semaphore::new(settings.slots as usize),
            admitted: Semaphore::new((settings.slots * (1 + QUEUE_FACTOR)) as usize),
            mode: Mutex::new((Mode::default(), now)),
            ledger: Ledger::open(settings.ledger.as_deref())?,
            served: AtomicU64::new(0),
            shed: AtomicU64::new(0),
            keys_seen: AtomicU64::new(0),
        }))
    }

    /// Whether the server announces that it drains.
    pub fn is_draining(&self) -> bool {
        self.mode().0.draining
    }

    /// Whether the server is still cold.
    pub fn is_cold(&self) -> bool {
        Instant::now() < self.warm_at
    }

    /// Load that the server reports: the share of slots in use, unless the mode freezes it.
    pub fn load(&self) -> f32 {
        let busy = 1.0 - self.free.available_permits() as f32 / self.slots as f32;
        self.mode().0.frozen_load.unwrap_or(busy)
    }

    fn mode(&self) -> MutexGuard<'_, (Mode, Instant)> {
        self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fate(&self, path: &str, opened: Instant) -> Fate {
        let mode = self.mode();
        mode.0.fate(path, mode.1, opened, Instant::now(), &mut rand::rng())
    }
}

/// Serves until the process ends.
pub async fn listen(listener: TcpListener, state: Arc<State>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let opened = Instant::now();
        let state = Arc::clone(&state);
        let service = service_fn(move |req| {
            let state = Arc::clone(&state);
            async move { Ok::<_, Infallible>(answer(&state, req, opened).await) }
        });
        tokio::spawn(
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service),
        );
    }
}

async fn answer(state: &State, req: Request<Incoming>, opened: Instant) -> Response<Body> {
    match (req.method(), req.uri().path()) {
        (&Method::PUT, "/_mode") => set_mode(state, req).await,
        (&Method::GET, "/_seen") => text(StatusCode::OK, &seen(state)),
        (&Method::GET, "/_health") => text(StatusCode::OK, "well"),
        _ => serve(state, req, opened).await,
    }
}

fn seen(state: &State) -> String {
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
        Err(e) => text(StatusCode::BAD_REQUEST, &format!("{e}; send a JSON object of modes")),
    }
}

async fn serve(state: &State, req: Request<Incoming>, opened: Instant) -> Response<Body> {
    let (parts, body) = req.into_parts();
    let id = parts.headers.get(REQUEST_ID).cloned();
    if parts.headers.contains_key("authorization") || parts.headers.contains_key("x-api-key") {
        state.keys_seen.fetch_add(1, Relaxed);
    }
    let fate = state.fate(parts.uri.path(), opened);
    let stated = parts.headers.get(DEADLINE).and_then(|v| v.to_str().ok()?.parse().ok());
    let deadline = stated.map(|ms| Instant::now() + Duration::from_millis(ms));
    let Ok(_admitted) = state.admitted.try_acquire() else { return shed(state, id) };
    if fate.fault == Fault::Sheds {
        return shed(state, id);
    }
    let Ok(_slot) = state.free.acquire().await else { return shed(state, id) };
    if deadline.is_some_and(|at| Instant::now() >= at) {
        return shed(state, id);
    }
    if fate.fault == Fault::Silent {
        std::future::pending::<()>().await;
    }
    let Ok(_body) = body.collect().await else { return text(StatusCode::BAD_REQUEST, "body cut short") };
    let order = parts.headers.get(ORDER_ID).and_then(|v| v.to_str().ok());
    work(state, fate, order).await;
    let bytes = parts.uri.query().and_then(|q| q.strip_prefix("bytes=")?.parse().ok());
    let mut rep = make_answer(state, fate, bytes);
    let wrong = fate.fault == Fault::WrongId;
    let echoed = if wrong { Some(HeaderValue::from_static("of-another-request")) } else { id };
    if let Some(id) = echoed {
        rep.headers_mut().insert(REQUEST_ID, id);
    }
    state.served.fetch_add(1, Relaxed);
    rep
}

/// Works for a request. An order takes effect in the middle, so that it may run without an answer.
async fn work(state: &State, fate: Fate, order: Option<&str>) {
    let cold = if state.is_cold() { COLD_FACTOR } else { 1.0 };
    let half = Duration::from_millis(state.work_ms).mul_f64(fate.factor * cold / 2.0);
    tokio::time::sleep(half).await;
    if let Some(order) = order.filter(|_| fate.fault != Fault::Fails) {
        state.ledger.ran(order);
    }
    tokio::time::sleep(half).await;
}

fn make_answer(state: &State, fate: Fate, bytes: Option<u64>) -> Response<Body> {
    let whole = bytes.unwrap_or(SMALL_BODY_BYTES);
    let mut rep = match fate.fault {
        Fault::Fails => return text(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
        Fault::Stalls => Response::new(parts(whole / 2).chain(stream::pending()).boxed_body()),
        Fault::Truncates => Response::new(parts(whole / 2).chain(stream::iter([cut()])).boxed_body()),
        _ => Response::new(parts(whole).boxed_body()),
    };
    rep.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(whole));
    if let Ok(id) = HeaderValue::from_str(&state.id) {
        rep.headers_mut().insert("x-server", id);
    }
    rep
}

/// Frames of a streamed body.
type Frames = Result<Frame<Bytes>, std::io::Error>;

fn parts(total: u64) -> impl stream::Stream<Item = Frames> + Send + Sync + 'static {
    let sizes = (0..total.div_ceil(PART_BYTES)).map(move |n| PART_BYTES.min(total - n * PART_BYTES));
    stream::iter(sizes.map(|size| Ok(Frame::data(Bytes::from(vec![b'x'; size as usize])))))
}

fn cut() -> Frames {
    Err(std::io::Error::other("body cut short by the gray mode"))
}

/// Boxes a stream of frames as a body.
trait BoxedBody {
    fn boxed_body(self) -> Body;
}

impl<S: stream::Stream<Item = Frames> + Send + Sync + 'static> BoxedBody for S {
    fn boxed_body(self) -> Body {
        BodyExt::boxed(StreamBody::new(self))
    }
}

fn shed(state: &State, id: Option<HeaderValue>) -> Response<Body> {
    state.shed.fetch_add(1, Relaxed);
    let mut rep = text(StatusCode::SERVICE_UNAVAILABLE, "busy");
    rep.headers_mut().insert("x-pomelo-run", HeaderValue::from_static("no"));
    if let Some(id) = id {
        rep.headers_mut().insert(REQUEST_ID, id);
    }
    rep
}

fn text(status: StatusCode, body: &str) -> Response<Body> {
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let mut rep = Response::new(body.map_err(|never| match never {}).boxed());
    *rep.status_mut() = status;
    rep
}
