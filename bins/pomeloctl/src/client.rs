//! HTTP client of a daemon's operator API.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// The daemon could not be reached or did not send a complete answer.
#[derive(Debug, Display, Error)]
#[display("no answer from {addr}: {problem}; give the API address of a running daemon with --api")]
pub struct CallError {
    addr: SocketAddr,
    problem: Box<str>,
}

/// A daemon's answer.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// JSON body; `Null` if the body is not JSON.
    pub body: Value,
}

/// Makes one call; any HTTP status counts as an answer.
///
/// # Errors
/// Fails if no complete answer comes.
pub async fn call_api(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Answer, CallError> {
    let fail = |e: &dyn std::error::Error| CallError { addr, problem: e.to_string().into() };
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| fail(&e))?;
    let rep = client.request(req).await.map_err(|e| fail(&e))?;
    let status = rep.status().as_u16();
    let bytes = rep.into_body().collect().await.map_err(|e| fail(&e))?.to_bytes();
    let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    Ok(Answer { status, body })
}
