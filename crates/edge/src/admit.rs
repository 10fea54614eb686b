//! Admission: finds the route of a request and checks its key.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

use base::{CustomerId, Refusal};
use conf::{KeyHash, KeyHasher, Route, Snapshot, StaleKeyPolicy};
use hyper::header::{AUTHORIZATION, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use kernel::View;

/// Header in which callers may send their API key; the other one is `authorization: Bearer KEY`.
pub const API_KEY_HEADER: &str = "x-api-key";

/// Route, customer and key of an admitted request.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Customer of the key; `None` on open routes.
    pub customer: Option<CustomerId>,
    /// Hash of the API key; `None` on open routes.
    pub key: Option<KeyHash>,
}

impl Admitted {
    /// Name of the customer; empty on open routes.
    pub fn customer_name(&self) -> &str {
        self.customer.as_deref().unwrap_or_default()
    }
}

/// Finds the route of a request and, unless the route is open, checks the API key.
///
/// # Errors
/// Fails when there is no configuration or route, or when the key may not use the route.
pub fn admit_request(
    view: &View,
    hasher: &KeyHasher,
    parts: &Parts,
    now: Instant,
) -> Result<Admitted, Refusal> {
    let conf = view.conf.as_ref().ok_or(Refusal::NotReady)?;
    let host = request_host(parts);
    let route = conf.match_route(host, parts.uri.path(), parts.method.as_str()).ok_or(Refusal::NoRoute)?;
    if route.open {
        return Ok(Admitted { route: Arc::clone(route), customer: None, key: None });
    }
    let secret = request_key(&parts.headers).ok_or(Refusal::KeyMissing)?;
    let key = hasher.hash(secret);
    let customer = check_key(view, conf, &key, now)?;
    if route.customer.as_ref().is_some_and(|owner| *owner != customer) {
        return Err(Refusal::KeyForbidden);
    }
    Ok(Admitted { route: Arc::clone(route), customer: Some(customer), key: Some(key) })
}

/// Checks an admitted request's key again, with a newer view.
///
/// # Errors
/// Fails when the key is no longer valid, can't be confirmed or belongs to another customer now.
pub fn recheck_key(view: &View, admitted: &Admitted, now: Instant) -> Result<(), Refusal> {
    let Some(key) = &admitted.key else {
        return Ok(());
    };
    let conf = view.conf.as_ref().ok_or(Refusal::NotReady)?;
    let customer = check_key(view, conf, key, now)?;
    if admitted.customer.as_ref() == Some(&customer) { Ok(()) } else { Err(Refusal::KeyInvalid) }
}

/// Whether the view lists the key as valid, however old the view is. Does not look at the key's expiry.
pub fn is_key_valid(view: &View, key: &KeyHash) -> bool {
    let is_listed = view.conf.as_ref().is_some_and(|c| c.keys.contains_key(key));
    is_listed && !view.withdrawn.contains(key)
}

fn check_key(view: &View, conf: &Snapshot, hash: &KeyHash, now: Instant) -> Result<CustomerId, Refusal> {
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

/// Host that the request names in its target or `host` header, without the port.
pub fn request_host(parts: &Parts) -> Option<&str> {
    let named = parts.uri.host().or_else(|| parts.headers.get(HOST)?.to_str().ok());
    named.map(|h| h.rsplit_once(':').map_or(h, |(name, _)| name))
}

/// The API key in the `authorization` header or in [`API_KEY_HEADER`].
pub fn request_key(headers: &HeaderMap) -> Option<&[u8]> {
    match headers.get(AUTHORIZATION) {
        Some(value) => value.as_bytes().strip_prefix(b"Bearer "),
        None => headers.get(API_KEY_HEADER).map(HeaderValue::as_bytes),
    }
}
