//! Refuses ambiguous requests and cleans heads before they are passed on.
//!
//! hyper refuses differing lengths, bad chunking, folded header lines and oversized heads by itself.

use base::Refusal;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Version};

use crate::admit::API_KEY_HEADER;

/// Query parameters in which callers may put a key by mistake; never passed on.
const KEY_PARAMS: [&str; 3] = ["key", "api_key", "access_token"];
/// Header names that start like this belong to the fleet.
const OWN_PREFIX: &str = "x-pomelo-";
/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 5] =
    ["keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "http2-settings"];
/// A secret this short can't be told from ordinary text in other places of a request.
const MIN_SECRET_BYTES: usize = 8;

/// Checks the shape of a request's head.
///
/// # Errors
/// Fails with [`Refusal::BadRequest`] when two readers could understand the head differently.
pub fn check_request(parts: &Parts) -> Result<(), Refusal> {
    let bad_method = matches!(parts.method, Method::CONNECT | Method::TRACE);
    let both = parts.headers.contains_key(CONTENT_LENGTH) && parts.headers.contains_key(TRANSFER_ENCODING);
    let lengths = parts.headers.get_all(CONTENT_LENGTH).iter().count();
    let keys = parts.headers.get_all(AUTHORIZATION).iter().count();
    let named_keys = parts.headers.get_all(API_KEY_HEADER).iter().count();
    let ambiguous_key = keys + named_keys > 1;
    if bad_method || both || lengths > 1 || ambiguous_key || !host_is_clear(parts) {
        return Err(Refusal::BadRequest);
    }
    if has_dot_segment(parts.uri.path()) {
        return Err(Refusal::BadRequest);
    }
    Ok(())
}

/// One host at most; a target that names one agrees with the header.
fn host_is_clear(parts: &Parts) -> bool {
    let mut hosts = parts.headers.get_all(HOST).iter();
    let host = hosts.next();
    if hosts.next().is_some() {
        return false;
    }
    match (host, parts.uri.authority()) {
        (Some(host), Some(target)) => host.as_bytes().eq_ignore_ascii_case(target.as_str().as_bytes()),
        (Some(_), None) => true,
        (None, _) => parts.version != Version::HTTP_11,
    }
}

/// Servers may resolve `..`, which would lead out of the route's prefix.
fn has_dot_segment(path: &str) -> bool {
    path.split(['/', '\\']).any(|segment| {
        let plain = segment.to_ascii_lowercase().replace("%2e", ".");
        plain == "." || plain == ".." || plain.contains("%2f") || plain.contains("%5c")
    })
}

/// Removes from an outgoing request what must not reach a server: keys, hop-by-hop and fleet headers.
///
/// # Errors
/// Fails with [`Refusal::BadRequest`] when the path itself holds the key.
pub fn sanitize_request(parts: &mut Parts, secret: Option<&[u8]>) -> Result<(), Refusal> {
    let headers = &mut parts.headers;
    remove_hop_by_hop(headers);
    for name in [AUTHORIZATION, EXPECT, CONTENT_LENGTH] {
        headers.remove(name);
    }
    headers.remove(API_KEY_HEADER);
    remove_matching(headers, |name, _| name.as_str().starts_with(OWN_PREFIX));
    let secret = secret.filter(|s| s.len() >= MIN_SECRET_BYTES);
    if let Some(secret) = secret {
        remove_matching(headers, |_, value| contains(value.as_bytes(), secret));
    }
    let path = parts.uri.path();
    if secret.is_some_and(|s| contains(&decode(path), s)) {
        return Err(Refusal::BadRequest);
    }
    let target = match parts.uri.query().and_then(|q| clean_query(q, secret)) {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    let target: PathAndQuery = target.parse().map_err(|_invalid| Refusal::BadRequest)?;
    if !parts.headers.contains_key(HOST)
        && let Some(authority) = parts.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        parts.headers.insert(HOST, host);
    }
    parts.uri = target.into();
    Ok(())
}

/// Removes from an answer what concerns the server's connection or belongs to the fleet.
pub fn sanitize_answer(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    remove_matching(headers, |name, _| name.as_str().starts_with(OWN_PREFIX));
}

fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

fn remove_matching(headers: &mut HeaderMap, drops: impl Fn(&HeaderName, &HeaderValue) -> bool) {
    let names: Vec<HeaderName> =
        headers.iter().filter(|(n, v)| drops(n, v)).map(|(n, _)| n.clone()).collect();
    for name in names {
        headers.remove(name);
    }
}

/// The query without parameters that hold a key; none if nothing is left.
fn clean_query(query: &str, secret: Option<&[u8]>) -> Option<String> {
    let is_clean = |param: &&str| {
        let name = param.split('=').next().unwrap_or_default();
        let plain = decode(param);
        let named = KEY_PARAMS.iter().any(|k| decode(name).eq_ignore_ascii_case(k.as_bytes()));
        !named && secret.is_none_or(|s| !contains(&plain, s))
    };
    let kept: Vec<&str> = query.split('&').filter(is_clean).collect();
    (!kept.is_empty()).then(|| kept.join("&"))
}

/// Resolves percent escapes.
fn decode(text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let hex = tail.get(..2).filter(|_| first == b'%').and_then(|h| std::str::from_utf8(h).ok());
        let escaped = hex.and_then(|h| u8::from_str_radix(h, 16).ok());
        out.push(escaped.unwrap_or(first));
        rest = if escaped.is_some() { &tail[2..] } else { tail };
    }
    out
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|w| w == part)
}
