//! HTTP server in front of the in-memory model of the store.

use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use store::client::DAEMON_HEADER;
use store::{MemStore, StoreError, StoreOp, StoreRep};
use tokio::net::TcpListener;

use crate::faults::{CallOutcome, Faults};

/// Counters of calls, as `GET /calls` returns them.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct CallCounts {
    reads: u64,
    writes: u64,
    refused: u64,
}

/// State of the fake store.
#[derive(Debug, Default)]
struct State {
    mem: MemStore,
    faults: Faults,
    call_counts: CallCounts,
}

type Shared = Arc<Mutex<State>>;

/// Serves the store until the process ends.
pub async fn serve_store(listener: TcpListener) {
    let state = Shared::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let state = Arc::clone(&state);
        let service = service_fn(move |req| {
            let state = Arc::clone(&state);
            async move { Ok::<_, Infallible>(answer_request(&state, req).await) }
        });
        tokio::spawn(
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service),
        );
    }
}

async fn answer_request(state: &Shared, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let (parts, body) = req.into_parts();
    let body = body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    match (&parts.method, parts.uri.path()) {
        (&Method::PUT, "/faults") => return set_faults(state, &body),
        (&Method::GET, "/calls") => return json_response(StatusCode::OK, &lock(state).call_counts),
        _ => {}
    }
    let Some(op) = decode_op(&parts.method, parts.uri.path(), parts.uri.query().unwrap_or(""), &body) else {
        return text_response(StatusCode::BAD_REQUEST, "unknown method or path, or malformed body");
    };
    let caller = parts.headers.get(DAEMON_HEADER).and_then(|v| v.to_str().ok()).unwrap_or("");
    let is_write = matches!(op, StoreOp::Commit(_) | StoreOp::PutObject { .. });
    let (outcome, delay_ms) = {
        let mut state = lock(state);
        let outcome = state.faults.draw_outcome(caller, is_write, &mut rand::rng());
        let count = match (outcome, is_write) {
            (CallOutcome::Refuse, _) => &mut state.call_counts.refused,
            (_, true) => &mut state.call_counts.writes,
            (_, false) => &mut state.call_counts.reads,
        };
        *count += 1;
        (outcome, state.faults.slow_ms)
    };
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    if outcome == CallOutcome::Refuse {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    let res = lock(state).mem.apply(&op);
    if outcome == CallOutcome::LoseAnswer {
        return text_response(StatusCode::GATEWAY_TIMEOUT, "answer lost");
    }
    encode_result(res)
}

fn lock(state: &Shared) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn set_faults(state: &Shared, body: &[u8]) -> Response<Full<Bytes>> {
    match serde_json::from_slice::<Faults>(body) {
        Ok(faults) if !faults.has_valid_shares() => {
            text_response(StatusCode::BAD_REQUEST, "lost_answers and errors must be shares from 0 to 1")
        }
        Ok(faults) => {
            lock(state).faults = faults;
            text_response(StatusCode::OK, "set")
        }
        Err(e) => text_response(StatusCode::BAD_REQUEST, &format!("{e}; send a JSON object of faults")),
    }
}

/// The store operation that a request asks for; `None` if the method or path is unknown or the body
/// malformed.
fn decode_op(method: &Method, path: &str, query: &str, body: &Bytes) -> Option<StoreOp> {
    let param = |name: &str| {
        let value = query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))?;
        Some(Box::from(percent_decode(value)))
    };
    match (method, path) {
        (&Method::GET, "/row") => Some(StoreOp::Get { key: param("key")? }),
        (&Method::GET, "/rows") => Some(StoreOp::Range { prefix: param("prefix")? }),
        (&Method::POST, "/commit") => serde_json::from_slice(body).ok().map(StoreOp::Commit),
        (method, path) => {
            let name = Box::from(path.strip_prefix("/objects/")?);
            match *method {
                Method::GET => Some(StoreOp::GetObject { name }),
                Method::PUT => Some(StoreOp::PutObject { name, bytes: body.to_vec() }),
                _ => None,
            }
        }
    }
}

fn percent_decode(text: &str) -> String {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        if b != b'%' {
            out.push(b);
            continue;
        }
        let hex: Vec<u8> = bytes.by_ref().take(2).collect();
        let code = std::str::from_utf8(&hex).ok().and_then(|h| u8::from_str_radix(h, 16).ok());
        out.push(code.unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn encode_result(res: Result<StoreRep, StoreError>) -> Response<Full<Bytes>> {
    match res {
        Ok(StoreRep::Row(Some(row))) => json_response(StatusCode::OK, &row),
        Ok(StoreRep::Rows(rows)) => json_response(StatusCode::OK, &rows),
        Ok(StoreRep::Committed { version }) => json_response(StatusCode::OK, &version),
        Ok(StoreRep::Object(Some(bytes))) => Response::new(Full::new(bytes.into())),
        Ok(StoreRep::Row(None) | StoreRep::Object(None)) => text_response(StatusCode::NOT_FOUND, "none"),
        Ok(StoreRep::Stored) => text_response(StatusCode::OK, "stored"),
        Err(e @ StoreError::Conflict { .. }) => json_response(StatusCode::CONFLICT, &e),
        Err(e) => text_response(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    text_response(status, &serde_json::to_string(value).unwrap_or_default())
}

fn text_response(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    let mut rep = Response::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *rep.status_mut() = status;
    rep
}
