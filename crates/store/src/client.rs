//! HTTP client of the store.
//!
//! `GET /rows?prefix=P` returns `[[key, row], …]`, `GET /row?key=K` a row or 404, `POST /commit` takes a
//! [`Commit`] and returns the version or 409 with a [`StoreError::Conflict`], `GET` and `PUT /objects/N`.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;

use crate::op::{Commit, Row, StoreError};
use crate::{Objects, Table};

/// Header that names the calling daemon, so that faults can be switched on for some daemons only.
pub const DAEMON_HEADER: &str = "x-pomelo-daemon";

/// Client of the store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    addr: SocketAddr,
    caller: Box<str>,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpStore {
    /// Makes a client; `caller` is the daemon's peer address and `timeout` bounds each operation.
    pub fn new(addr: SocketAddr, caller: &str, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { addr, caller: caller.into(), timeout, client }
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<(StatusCode, Bytes), StoreError> {
        let uri = format!("http://{}{path}", self.addr);
        let req = Request::builder()
            .method(method)
            .uri(uri)
            .header(DAEMON_HEADER, &*self.caller)
            .body(Full::new(body))
            .map_err(|e| StoreError::Refused { problem: e.to_string().into() })?;
        let work = async {
            let rep = self
                .client
                .request(req)
                .await
                .map_err(|e| if e.is_connect() { StoreError::Down } else { StoreError::Ambiguous })?;
            let status = rep.status();
            let body = rep.into_body().collect().await.map_err(|_lost| StoreError::Ambiguous)?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(self.timeout, work).await.unwrap_or(Err(StoreError::Ambiguous))
    }
}

fn refused(status: StatusCode, body: &[u8]) -> StoreError {
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return StoreError::Down;
    }
    if status.is_server_error() {
        return StoreError::Ambiguous;
    }
    let problem = format!("{status}: {}", String::from_utf8_lossy(body));
    serde_json::from_slice(body).unwrap_or(StoreError::Refused { problem: problem.into() })
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|e| StoreError::Refused { problem: e.to_string().into() })
}

fn encode_query(text: &str) -> String {
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
        let path = format!("/row?key={}", encode_query(key));
        match self.send(Method::GET, &path, Bytes::new()).await? {
            (StatusCode::OK, body) => decode(&body).map(Some),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, body) => Err(refused(status, &body)),
        }
    }

    async fn range(&self, prefix: &str) -> Result<Vec<(Box<str>, Row)>, StoreError> {
        let path = format!("/rows?prefix={}", encode_query(prefix));
        match self.send(Method::GET, &path, Bytes::new()).await? {
            (StatusCode::OK, body) => decode(&body),
            (status, body) => Err(refused(status, &body)),
        }
    }

    async fn commit(&self, commit: &Commit) -> Result<u64, StoreError> {
        let body =
            serde_json::to_vec(commit).map_err(|e| StoreError::Refused { problem: e.to_string().into() })?;
        match self.send(Method::POST, "/commit", body.into()).await? {
            (StatusCode::OK, body) => decode(&body),
            (status, body) => Err(refused(status, &body)),
        }
    }
}

#[async_trait]
impl Objects for HttpStore {
    async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let path = format!("/objects/{}", encode_query(name));
        match self.send(Method::GET, &path, Bytes::new()).await? {
            (StatusCode::OK, body) => Ok(Some(body.to_vec())),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, body) => Err(refused(status, &body)),
        }
    }

    async fn put_object(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let path = format!("/objects/{}", encode_query(name));
        match self.send(Method::PUT, &path, Bytes::copy_from_slice(bytes)).await? {
            (StatusCode::OK, _) => Ok(()),
            (status, body) => Err(refused(status, &body)),
        }
    }
}
