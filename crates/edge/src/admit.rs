//! Finds the route of a request and judges its key.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

use base::{CustomerId, Refusal};
use conf::{KeyHasher, Route, Snapshot, StaleKeys};
use hyper::header::{AUTHORIZATION, HOST, HeaderMap};
use hyper::http::request::Parts;
use kernel::View;

/// Header in which callers may send their key.
pub const KEY_HEADER: &str = "x-api-key";

/// A request that may run.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Its route.
    pub route: Arc<Route>,
    /// Customer for whom it runs; none on open routes.
    pub customer: Option<CustomerId>,
}

/// Finds the route and judges the key.
///
/// # Errors
/// Fails with the refusal for the caller.
pub fn admit(view: &View, hasher: &KeyHasher, parts: &Parts, now: Instant) -> Result<Admitted, Refusal> {
    let conf = view.conf.as_ref().ok_or(Refusal::NotReady)?;
    let host = host(parts);
    let route = conf.match_route(host, parts.uri.path(), parts.method.as_str()).ok_or(Refusal::NoRoute)?;
    if route.open {
        return Ok(Admitted { route: Arc::clone(route), customer: None });
    }
    let secret = key(&parts.headers).ok_or(Refusal::KeyMissing)?;
    if !view.is_current(now) && conf.fleet.stale_keys == StaleKeys::Refuse {
        return Err(Refusal::KeyUnconfirmed);
    }
    let customer = judge(view, conf, hasher, secret)?;
    if route.customer.as_ref().is_some_and(|owner| *owner != customer) {
        return Err(Refusal::KeyForbidden);
    }
    Ok(Admitted { route: Arc::clone(route), customer: Some(customer) })
}

fn judge(view: &View, conf: &Snapshot, hasher: &KeyHasher, secret: &[u8]) -> Result<CustomerId, Refusal> {
    let hash = hasher.hash(secret);
    let key = conf.keys.get(&hash).ok_or(Refusal::KeyInvalid)?;
    let expired = key.expires.is_some_and(|at| SystemTime::now() >= at);
    if expired || view.withdrawn.contains(&hash) {
        return Err(Refusal::KeyInvalid);
    }
    Ok(key.customer.clone())
}

fn host(parts: &Parts) -> Option<&str> {
    let named = parts.uri.host().or_else(|| parts.headers.get(HOST)?.to_str().ok());
    named.map(|h| h.rsplit_once(':').map_or(h, |(name, _)| name))
}

fn key(headers: &HeaderMap) -> Option<&[u8]> {
    if let Some(value) = headers.get(AUTHORIZATION) {
        return value.as_bytes().strip_prefix(b"Bearer ");
    }
    headers.get(KEY_HEADER).map(hyper::http::HeaderValue::as_bytes)
}

/// Removes the key from the headers that go on to a server.
pub fn strip_key(headers: &mut HeaderMap) {
    headers.remove(AUTHORIZATION);
    headers.remove(KEY_HEADER);
}
