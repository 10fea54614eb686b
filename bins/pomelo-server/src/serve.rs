//! Serves requests in slots, with the gray modes applied.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::mode::Mode;
use crate::settings::Settings;

/// Header with the request's id; echoed.
const REQUEST_ID: &str = "x-request-id";
/// Header that names an order for the ledger.
const ORDER_ID: &str = "x-order-id";
/// Requests that may wait for a slot before the server sheds, as a multiple of the slots.
const QUEUE_FACTOR: u32 = 4;

/// State of the server.
#[derive(Debug)]
pub struct State {
    id: Box<str>,
    slots: u32,
    work_ms: u64,
    free: Semaphore,
    waiting: Semaphore,
    mode: Mutex<Mode>,
    /// Runs by order.
    ledger: Mutex<BTreeMap<Box<str>, u32>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    /// Makes the state of a healthy server.
    pub fn new(settings: &Settings) -> Arc<Self> {
        Arc::new(Self {
            id: settings.id.clone(),
            slots: settings.slots,
            work_ms: settings.work_ms,
            free: Semaphore::new(settings.slots as usize),
            waiting: Semaphore::new((settings.slots * (1 + QUEUE_FACTOR)) as usize),
            mode: Mutex::default(),
            ledger: Mutex::default(),
        })
    }

    /// Mode in force.
    pub fn mode(&self) -> Mode {
        lock(&self.mode).clone()
    }

    /// Share of slots in use.
    pub fn load(&self) -> f32 {
        1.0 - self.free.available_permits() as f32 / self.slots as f32
    }
}

/// Serves until the process ends.
pub async fn listen(listener: TcpListener, state: Arc<State>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let state = Arc::clone(&state);
        let service = service_fn(move |req| {
            let state = Arc::clone(&state);
            async move { Ok::<_, Infallible>(answer(&state, req).await) }
        });
        tokio::spawn(
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service),
        );
    }
}

async fn answer(state: &State, req: Request<Incoming>) -> Response<Full<Bytes>> {
    match (req.method(), req.uri().path()) {
        (&Method::PUT, "/_mode") => set_mode(state, req).await,
        (&Method::GET, "/_ledger") => {
            let ledger = serde_json::to_string(&*lock(&state.ledger)).unwrap_or_default();
            text(StatusCode::OK, ledger)
        }
        (&Method::GET, "/_health") => text(StatusCode::OK, "well".into()),
        _ => work(state, req).await,
    }
}

async fn set_mode(state: &State, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let body = req.into_body().collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    match serde_json::from_slice(&body) {
        Ok(mode) => {
            *lock(&state.mode) = mode;
            text(StatusCode::OK, "set".into())
        }
        Err(e) => text(StatusCode::BAD_REQUEST, format!("{e}; send a JSON object of modes")),
    }
}

async fn work(state: &State, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let id = req.headers().get(REQUEST_ID).cloned();
    let order = req.headers().get(ORDER_ID).and_then(|v| v.to_str().ok()).map(Box::<str>::from);
    let Ok(_place) = state.waiting.try_acquire() else {
        return shed(id);
    };
    let Ok(_slot) = state.free.acquire().await else {
        return shed(id);
    };
    let _body = req.into_body().collect().await;
    let mode = state.mode();
    if mode.silent {
        std::future::pending::<()>().await;
    }
    let is_slow = rand::rng().random::<f64>() < mode.slow_share;
    let factor = if is_slow { mode.slow } else { 1.0 };
    tokio::time::sleep(Duration::from_millis(state.work_ms).mul_f64(factor)).await;
    if let Some(order) = order {
        *lock(&state.ledger).entry(order).or_default() += 1;
    }
    let failed = rand::rng().random::<f64>() < mode.errors;
    let status = if failed { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
    with_id(text(status, format!("{{\"server\":\"{}\"}}", state.id)), id)
}

fn shed(id: Option<HeaderValue>) -> Response<Full<Bytes>> {
    let mut rep = text(StatusCode::SERVICE_UNAVAILABLE, "busy".into());
    rep.headers_mut().insert("x-pomelo-run", HeaderValue::from_static("no"));
    with_id(rep, id)
}

fn with_id(mut rep: Response<Full<Bytes>>, id: Option<HeaderValue>) -> Response<Full<Bytes>> {
    if let Some(id) = id {
        rep.headers_mut().insert(REQUEST_ID, id);
    }
    rep
}

fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut rep = Response::new(Full::new(Bytes::from(body)));
    *rep.status_mut() = status;
    rep
}
