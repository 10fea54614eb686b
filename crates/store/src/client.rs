//! HTTP client of the store. All bodies but those of objects are JSON.
//!
//! | request | answer |
//! | --- | --- |
//! | `GET /rows?prefix=P` | `[[key, row], …]` |
//! | `GET /row?key=K` | the row, or 404 |
//! | `POST /commit` with a [`Commit`] | the version, or 409 with a [`StoreError::Conflict`] |
//! | `GET /objects/N` | the object's bytes, or 404 |
//! | `PUT /objects/N` with the object's bytes | 200 |

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use base::StoreStamp;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;

use crate::op::{Commit, Row, StoreError};
use crate::{Objects, Table};

/// Header that names the calling daemon, so that tests can inject store faults for some daemons only.
pub const DAEMON_HEADER: &str = "x-pomelo-daemon";

/// Client of the store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    addr: SocketAddr,
    daemon: Box<str>,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpStore {
    /// Makes a client. `daemon` is the peer address of the calling daemon; `timeout` bounds each operation.
    pub fn new(addr: SocketAddr, daemon: &str, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { addr, daemon: daemon.into(), timeout, client }
    }

    async fn send_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let uri = format!("http://{}{path}", self.addr);
        let req = Request::builder()
            .method(method)
            .uri(uri)
            .header(DAEMON_HEADER, &*self.daemon)
            .body(Full::new(body))
            .map_err(|e| StoreError::Refused { problem: e.to_string().into() })?;
        let work = async {
            let rep = self
                .client
                .request(req)
                .await
                .map_err(|e| if e.is_connect() { StoreError::Down } else { StoreError::Ambiguous })?;
            let status = rep.status();
            let body = rep.into_body().collect().await.map_err(|_disconnected| StoreError::Ambiguous)?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(self.timeout, work).await.unwrap_or(Err(StoreError::Ambiguous))
    }
}

/// Converts an unexpected answer to an error: 503 means that the store did nothing; after any other server
/// error, a write may have taken effect.
fn error_from_response(status: StatusCode, body: &[u8]) -> StoreError {
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return StoreError::Down;
    }
    if status.is_server_error() {
        return StoreError::Ambiguous;
    }
    let problem = format!("{status}: {}", String::from_utf8_lossy(body));
    serde_json::from_slice(body).unwrap_or(StoreError::Refused { problem: problem.into() })
}

fn decode_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|e| StoreError::Refused { problem: e.to_string().into() })
}

/// Percent-encodes a key or an object's name for a URL; slashes stay.
fn percent_encode(text: &str) -> String {
    use std::fmt::Write as _;
    text.bytes().fold(String::new(), |mut out, b| {
        if b.is_ascii_alphanumeric() || b"/-_.:".contains(&b) {
            out.push(char::from(b));
        } else {
            let _ = write!(out, "%{b:02X}");
        }
        out
    })
}

#[async_trait]
impl Table for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let path = format!("/row?key={}", percent_encode(key));
        match self.send_request(Method::GET, &path, Bytes::new()).await? {
            (StatusCode::OK, body) => decode_json(&body).map(Some),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, body) => Err(error_from_response(status, &body)),
        }
    }

    async fn range(&self, prefix: &str) -> Result<Vec<(Box<str>, Row)>, StoreError> {
        let path = format!("/rows?prefix={}", percent_encode(prefix));
        match self.send_request(Method::GET, &path, Bytes::new()).await? {
            (StatusCode::OK, body) => decode_json(&body),
            (status, body) => Err(error_from_response(status, &body)),
        }
    }

    async fn commit(&self, commit: &Commit) -> Result<StoreStamp, StoreError> {
        let body =
            serde_json::to_vec(commit).map_err(|e| StoreError::Refused { problem: e.to_string().into() })?;
        match self.send_request(Method::POST, "/commit", body.into()).await? {
            (StatusCode::OK, body) => decode_json(&body).map(|version| StoreStamp { era: 0, version }),
            (status, body) => Err(error_from_response(status, &body)),
        }
    }
}

#[async_trait]
impl Objects for HttpStore {
    async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let path = format!("/objects/{}", percent_encode(name));
        match self.send_request(Method::GET, &path, Bytes::new()).await? {
            (StatusCode::OK, body) => Ok(Some(body.to_vec())),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, body) => Err(error_from_response(status, &body)),
        }
    }

    async fn put_object(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let path = format!("/objects/{}", percent_encode(name));
        match self.send_request(Method::PUT, &path, Bytes::copy_from_slice(bytes)).await? {
            (StatusCode::OK, _) => Ok(()),
            (status, body) => Err(error_from_response(status, &body)),
        }
    }
}
