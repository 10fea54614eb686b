//! Requests of operators and backend servers to the control kernel.

use serde::Serialize;
use serde_json::Value;

/// Number that ties an answer to its request.
pub type Ticket = u64;

/// A request on the operator API, already read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiReq {
    /// Method, e.g. `PUT`.
    pub method: Box<str>,
    /// Path without the query, e.g. `/v1/servers/s1`.
    pub path: Box<str>,
    /// Query without the question mark.
    pub query: Box<str>,
    /// Body.
    pub body: Vec<u8>,
}

impl ApiReq {
    /// The segments of the path, e.g. `["v1", "servers", "s1"]`.
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

/// JSON shape of every error on the operator API.
#[derive(Clone, Debug, Serialize)]
struct ApiError<'a> {
    error: &'a str,
    problem: &'a str,
    remedy: &'a str,
}

impl ApiRep {
    /// A good answer.
    pub fn ok(body: impl Serialize) -> Self {
        Self { status: 200, body: serde_json::to_value(body).unwrap_or(Value::Null) }
    }

    /// An error with a stable code, the problem and its remedy.
    pub fn error(status: u16, code: &str, problem: &str, remedy: &str) -> Self {
        let error = ApiError { error: code, problem, remedy };
        Self { status, body: serde_json::to_value(error).unwrap_or(Value::Null) }
    }
}
