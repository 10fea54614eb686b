//! Finds the route of a request and judges its key.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

use base::{CustomerId, Refusal};
use conf::{KeyHash, KeyHasher, Route, Snapshot, StaleKeyPolicy};
use hyper::header::{AUTHORIZATION, HOST, HeaderMap, HeaderValue};
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
    /// Hash of its key; none on open routes.
    pub key: Option<KeyHash>,
}

impl Admitted {
    /// Name of the customer; empty on open routes.
    pub fn customer_name(&self) -> &str {
        self.customer.as_deref().unwrap_or_default()
    }
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
        return Ok(Admitted { route: Arc::clone(route), customer: None, key: None });
    }
    let secret = key(&parts.headers).ok_or(Refusal::KeyMissing)?;
    let key = hasher.hash(secret);
    let customer = judge(view, conf, &key, now)?;
    if route.customer.as_ref().is_some_and(|owner| *owner != customer) {
        return Err(Refusal::KeyForbidden);
    }
    Ok(Admitted { route: Arc::clone(route), customer: Some(customer), key: Some(key) })
}

/// Judges an admitted request's key again, with a newer view.
///
/// # Errors
/// Fails when the key no longer runs requests of this customer.
pub fn recheck(view: &View, admitted: &Admitted, now: Instant) -> Result<(), Refusal> {
    let Some(key) = &admitted.key else {
        return Ok(());
    };
    let conf = view.conf.as_ref().ok_or(Refusal::NotReady)?;
    let customer = judge(view, conf, key, now)?;
    if admitted.customer.as_ref() == Some(&customer) { Ok(()) } else { Err(Refusal::KeyInvalid) }
}

/// Whether a key is valid as far as this view knows.
pub fn is_valid(view: &View, key: &KeyHash) -> bool {
    let known = view.conf.as_ref().is_some_and(|c| c.keys.contains_key(key));
    known && !view.withdrawn.contains(key)
}

fn judge(view: &View, conf: &Snapshot, hash: &KeyHash, now: Instant) -> Result<CustomerId, Refusal> {
    if !view.is_current(now) && conf.fleet.stale_keys == StaleKeyPolicy::Refuse {
        return Err(Refusal::KeyUnconfirmed);
    }
    let key = conf.keys.get(hash).ok_or(Refusal::KeyInvalid)?;
    let expired = key.expires.is_some_and(|at| SystemTime::now() >= at);
    if expired || view.withdrawn.contains(hash) {
        return Err(Refusal::KeyInvalid);
    }
    Ok(key.customer.clone())
}

/// Host that the request names, without its port.
pub fn host(parts: &Parts) -> Option<&str> {
    let named = parts.uri.host().or_else(|| parts.headers.get(HOST)?.to_str().ok());
    named.map(|h| h.rsplit_once(':').map_or(h, |(name, _)| name))
}

/// The key that a request carries.
pub fn key(headers: &HeaderMap) -> Option<&[u8]> {
    match headers.get(AUTHORIZATION) {
        Some(value) => value.as_bytes().strip_prefix(b"Bearer "),
        None => headers.get(KEY_HEADER).map(HeaderValue::as_bytes),
    }
}
