//! HTTP server of the metrics page and of the operator API, at which backend servers announce themselves too.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use edge::EdgeState;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use kernel::{ApiRep, ApiReq};
use prometheus::{Registry, TextEncoder};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, oneshot};

use crate::control::ApiCall;

/// Largest body of a request to the operator API.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Prefix of the path that explains how one proxied request was handled; its id follows.
const EXPLAIN_REQUEST_PREFIX: &str = "/v1/explain/request/";

/// Concurrent connections of operators and backend servers; further ones are closed at once.
const MAX_CONNECTIONS: usize = 2_048;
/// Longest wait on a connection until the headers of its next request are complete.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for the control thread to answer one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed accept, so that a persistent error does not cause a busy loop.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Serves the operator API and the metrics page until the runtime ends.
pub async fn serve_api(
    listener: TcpListener,
    calls: mpsc::Sender<ApiCall>,
    registry: Registry,
    shared: Arc<EdgeState>,
) {
    let connection_permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connection_permits).try_acquire_owned() else {
            continue;
        };
        let calls = calls.clone();
        let registry = registry.clone();
        let shared = Arc::clone(&shared);
        let service = service_fn(move |req| {
            let calls = calls.clone();
            let registry = registry.clone();
            let shared = Arc::clone(&shared);
            async move { Ok::<_, Infallible>(answer_request(req, calls, registry, &shared).await) }
        });
        let conn = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            let _ = conn.await;
            drop(permit);
        });
    }
}

async fn answer_request(
    req: Request<Incoming>,
    calls: mpsc::Sender<ApiCall>,
    registry: Registry,
    shared: &EdgeState,
) -> Response<Full<Bytes>> {
    if req.uri().path() == "/metrics" {
        let text = TextEncoder::new().encode_to_string(&registry.gather()).unwrap_or_default();
        return Response::new(Full::new(text.into()));
    }
    let rep = match req.uri().path().strip_prefix(EXPLAIN_REQUEST_PREFIX) {
        Some(id) => explain_request(shared, id),
        None => ask_control(req, calls).await,
    };
    let body = Full::new(Bytes::from(rep.body.to_string()));
    let mut answer = Response::new(body);
    *answer.status_mut() = StatusCode::from_u16(rep.status).unwrap_or_default();
    answer.headers_mut().insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    answer
}

fn explain_request(shared: &EdgeState, id: &str) -> ApiRep {
    let problem = "this daemon does not remember the request";
    let remedy = "ask the daemon that answered it, soon after, with its x-pomelo-id";
    edge::explain(shared, id)
        .map_or_else(|| ApiRep::error(404, "no-such-request", problem, remedy), ApiRep::ok)
}

/// Passes a request to the control thread and waits for its answer.
async fn ask_control(req: Request<Incoming>, calls: mpsc::Sender<ApiCall>) -> ApiRep {
    let (parts, body) = req.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return ApiRep::error(
            413,
            "too-large",
            "the body is larger than 64 MiB or was cut off",
            "send at most 64 MiB",
        );
    };
    let req = ApiReq {
        method: parts.method.as_str().into(),
        path: parts.uri.path().into(),
        query: parts.uri.query().unwrap_or("").into(),
        body: body.to_bytes().to_vec(),
    };
    let (reply, answer) = oneshot::channel();
    let stopping = || ApiRep::error(503, "stopping", "the daemon is stopping", "ask another daemon");
    if calls.send(ApiCall { req, reply }).await.is_err() {
        return stopping();
    }
    match tokio::time::timeout(CALL_TIMEOUT, answer).await {
        Ok(rep) => rep.unwrap_or_else(|_| stopping()),
        Err(_) => ApiRep::error(
            504,
            "timeout",
            "the call took longer than 30 s",
            "check its effect with `pomeloctl status` before you repeat it",
        ),
    }
}
