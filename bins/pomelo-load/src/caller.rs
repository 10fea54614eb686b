//! Sends one request the way a caller does: the next daemon when one does not take it.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;

use crate::answer::Answer;
use crate::plan::Stream;

/// Longest wait for a whole answer.
const LIMIT: Duration = Duration::from_secs(30);

/// HTTP client shared by all requests of one thread.
pub type Http = Client<HttpConnector, Full<Bytes>>;

/// Makes a client.
pub fn client() -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    // A repeat on the tool's side would hide a cut connection.
    Client::builder(TokioExecutor::new()).retry_canceled_requests(true).build(connector)
}

/// Sends the stream's `n`th request.
pub async fn send(http: &Http, stream: &Stream, n: usize, order: Option<&str>) -> Answer {
    let work = async {
        let mut answer = Answer::NoConnection;
        for turn in 0..stream.targets.len() {
            answer = send_to(http, stream, (n + turn) % stream.targets.len(), order).await;
            let stopping = matches!(&answer, Answer::Refused { reason, .. } if **reason == *"stopping");
            if answer != Answer::NoConnection && !stopping {
                break;
            }
        }
        answer
    };
    tokio::time::timeout(LIMIT, work).await.unwrap_or(Answer::Timeout)
}

async fn send_to(http: &Http, stream: &Stream, target: usize, order: Option<&str>) -> Answer {
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
            log::warn!("cut at target {}: {e:?}", stream.targets[target]);
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
