//! The customers and backend servers that the world simulates.

use std::time::Instant;

use base::Place;
use hyper::Request;
use hyper::http::request::Parts;

use crate::op::DaemonIndex;

/// A customer and its callers.
#[derive(Debug)]
pub(crate) struct Customer {
    pub(crate) name: Box<str>,
    /// Configured rate in tokens per second; each request costs one token.
    pub(crate) rate: f64,
    /// Configured burst in tokens.
    pub(crate) burst: f64,
    /// Whether the callers send many times the rate.
    pub(crate) exceeds_rate: bool,
    /// Name and secret, with a space between them, of each key whose withdrawal has not been requested;
    /// oldest first.
    pub(crate) keys: Vec<Box<str>>,
    /// Name and secret, with a space between them, of each key whose withdrawal has been requested.
    pub(crate) withdrawn_keys: Vec<Box<str>>,
    /// Requests that are due but not sent yet; may be a fraction.
    pub(crate) due_requests: f64,
}

/// A backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: Box<str>,
    pub(crate) place: Place,
    pub(crate) draining: bool,
    /// Whether the server fails every request.
    pub(crate) failing: bool,
    /// Daemon to announce to; the next running one if it does not run.
    pub(crate) home_daemon: DaemonIndex,
    pub(crate) next_announcement: Instant,
}

/// Head of a request on a customer's route that carries a key.
pub(crate) fn request_head(customer: &str, secret: &str) -> Parts {
    let req = Request::get(format!("/{customer}/stock")).header("x-api-key", secret).body(());
    req.expect("a valid request").into_parts().0
}
