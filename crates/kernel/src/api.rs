//! Requests of operators and backend servers on the daemon's HTTP API.

use serde::Serialize;
use serde_json::Value;

/// Number that matches an answer to its request.
pub type Ticket = u64;

/// A request on the operator API, body included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiReq {
    /// Method, e.g. `PUT`.
    pub method: Box<str>,
    /// Path without the query string, e.g. `/v1/servers/s1`.
    pub path: Box<str>,
    /// Query string without the question mark; empty if there is none.
    pub query: Box<str>,
    /// Body as received.
    pub body: Vec<u8>,
}

impl ApiReq {
    /// Non-empty segments of the path, e.g. `["v1", "servers", "s1"]`.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }
}

/// Answer to a request on the operator API.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiRep {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Value,
}

/// Body of every error answer on the operator API.
#[derive(Clone, Debug, Serialize)]
struct ApiError<'a> {
    error: &'a str,
    problem: &'a str,
    remedy: &'a str,
}

impl ApiRep {
    /// A successful answer (status 200).
    pub fn ok(body: impl Serialize) -> Self {
        Self { status: 200, body: serde_json::to_value(body).unwrap_or(Value::Null) }
    }

    /// An error answer with a stable code, the problem and its remedy.
    pub fn error(status: u16, code: &str, problem: &str, remedy: &str) -> Self {
        let error = ApiError { error: code, problem, remedy };
        Self { status, body: serde_json::to_value(error).unwrap_or(Value::Null) }
    }
}
