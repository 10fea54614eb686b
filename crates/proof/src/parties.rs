//! Customers and backend servers of the world.

use std::time::Instant;

use base::Place;
use hyper::Request;
use hyper::http::request::Parts;

use crate::op::Daemon;

/// A customer and its callers.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) name: Box<str>,
    pub(crate) rate: f64,
    pub(crate) burst: f64,
    pub(crate) greedy: bool,
    /// Secrets of keys that were given and not withdrawn as far as operators know, oldest first.
    pub(crate) keys: Vec<Box<str>>,
    /// Secrets of keys whose withdrawal was asked for.
    pub(crate) old_keys: Vec<Box<str>>,
    /// Requests due but not yet sent, as a fraction.
    pub(crate) due: f64,
}

/// A backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: Box<str>,
    pub(crate) place: Place,
    pub(crate) draining: bool,
    pub(crate) sick: bool,
    /// Daemon to announce to.
    pub(crate) home: Daemon,
    pub(crate) next_announcement: Instant,
}

/// Head of a request to a customer's route with a key.
pub(crate) fn request(customer: &str, secret: &str) -> Parts {
    let req = Request::get(format!("/{customer}/stock")).header("x-api-key", secret).body(());
    req.expect("a valid request").into_parts().0
}
