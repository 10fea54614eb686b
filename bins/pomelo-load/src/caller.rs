//! Sends one request as a caller does: at the next target if one accepts no connection or is stopping.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;

use crate::answer::Answer;
use crate::plan::Stream;

/// Longest wait for a complete answer, attempts at several targets included.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP client shared by all requests.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates the client.
pub fn new_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    // This retries only requests of which nothing was written. A retry after that would hide a broken
    // connection.
    Client::builder(TokioExecutor::new()).retry_canceled_requests(true).build(connector)
}

/// Sends the `n`th request of a stream. Targets are tried in turn, beginning with the `n`th.
pub async fn send_request(http: &HttpClient, stream: &Stream, n: usize, order: Option<&str>) -> Answer {
    let attempts = async {
        let mut answer = Answer::NoConnection;
        for attempt in 0..stream.targets.len() {
            answer = send_to_target(http, stream, (n + attempt) % stream.targets.len(), order).await;
            let is_stopping = matches!(&answer, Answer::Refused { reason, .. } if **reason == *"stopping");
            if answer != Answer::NoConnection && !is_stopping {
                break;
            }
        }
        answer
    };
    tokio::time::timeout(REQUEST_TIMEOUT, attempts).await.unwrap_or(Answer::Timeout)
}

async fn send_to_target(http: &HttpClient, stream: &Stream, target: usize, order: Option<&str>) -> Answer {
    let uri = format!("http://{}{}", stream.targets[target], stream.path);
    let mut builder = Request::builder().method(&*stream.method).uri(uri);
    if let Some(key) = &stream.key {
        builder = builder.header("x-api-key", &**key);
    }
    if let Some(order) = order {
        builder = builder.header("x-order-id", order);
    }
    if let Some(deadline) = stream.deadline {
        builder = builder.header("x-deadline-ms", deadline.as_millis() as u64);
    }
    let req = builder.body(Full::default()).expect("a plan makes valid requests");
    let rep = match http.request(req).await {
        Ok(rep) => rep,
        Err(e) if e.is_connect() => return Answer::NoConnection,
        Err(e) => {
            log::warn!("connection to target {} broke: {e:?}", stream.targets[target]);
            return Answer::Cut;
        }
    };
    let (head, mut body) = rep.into_parts();
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return Answer::Cut;
        }
    }
    let header = |name| head.headers.get(name).and_then(|v| v.to_str().ok());
    match header("x-pomelo-reason") {
        Some(reason) => {
            Answer::Refused { reason: reason.into(), not_run: header("x-pomelo-run") == Some("no") }
        }
        None => Answer::Status(head.status.as_u16()),
    }
}
