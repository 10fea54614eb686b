//! Refuses ambiguous requests, and removes from heads what must not be passed on.
//!
//! hyper itself refuses differing lengths, bad chunking, folded header lines and oversized heads.

use base::Refusal;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Version};

use crate::admit::API_KEY_HEADER;

/// Query parameters in which callers may put an API key by mistake; never passed on.
const KEY_QUERY_PARAMS: [&str; 3] = ["key", "api_key", "access_token"];
/// Prefix of the fleet's own headers, which are passed on neither from callers nor from servers.
const FLEET_HEADER_PREFIX: &str = "x-pomelo-";
/// Hop-by-hop headers besides those that `remove_hop_by_hop` names itself.
const MORE_HOP_BY_HOP_HEADERS: [&str; 5] =
    ["keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "http2-settings"];
/// Shortest key that is searched for in the whole request; a shorter one may also be ordinary text there.
const MIN_SEARCHED_SECRET_BYTES: usize = 8;

/// Checks that the head of a request is not ambiguous.
///
/// # Errors
/// Fails with [`Refusal::BadRequest`] when two HTTP implementations could understand the head differently,
/// and for methods that are not proxied.
pub fn check_request(parts: &Parts) -> Result<(), Refusal> {
    let bad_method = matches!(parts.method, Method::CONNECT | Method::TRACE);
    let has_both_lengths =
        parts.headers.contains_key(CONTENT_LENGTH) && parts.headers.contains_key(TRANSFER_ENCODING);
    let lengths = parts.headers.get_all(CONTENT_LENGTH).iter().count();
    let bearer_keys = parts.headers.get_all(AUTHORIZATION).iter().count();
    let header_keys = parts.headers.get_all(API_KEY_HEADER).iter().count();
    let ambiguous_key = bearer_keys + header_keys > 1;
    if bad_method || has_both_lengths || lengths > 1 || ambiguous_key || !has_one_host(parts) {
        return Err(Refusal::BadRequest);
    }
    if may_leave_prefix(parts.uri.path()) {
        return Err(Refusal::BadRequest);
    }
    Ok(())
}

/// Whether the request names one host only: a target with a host must agree with the header.
fn has_one_host(parts: &Parts) -> bool {
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

/// Whether the path has a segment `.` or `..`, or an escaped slash. A server that resolves them could be led
/// out of the route's prefix.
fn may_leave_prefix(path: &str) -> bool {
    path.split(['/', '\\']).any(|segment| {
        let plain = segment.to_ascii_lowercase().replace("%2e", ".");
        plain == "." || plain == ".." || plain.contains("%2f") || plain.contains("%5c")
    })
}

/// Removes from an outgoing request what must not reach a server: API keys, hop-by-hop headers and headers of
/// the fleet. `secret` is the caller's key, which is removed wherever it occurs.
///
/// # Errors
/// Fails with [`Refusal::BadRequest`] when the path itself contains the key.
pub fn sanitize_request(parts: &mut Parts, secret: Option<&[u8]>) -> Result<(), Refusal> {
    let headers = &mut parts.headers;
    remove_hop_by_hop(headers);
    for name in [AUTHORIZATION, EXPECT, CONTENT_LENGTH] {
        headers.remove(name);
    }
    headers.remove(API_KEY_HEADER);
    remove_matching(headers, |name, _| name.as_str().starts_with(FLEET_HEADER_PREFIX));
    let secret = secret.filter(|s| s.len() >= MIN_SEARCHED_SECRET_BYTES);
    if let Some(secret) = secret {
        remove_matching(headers, |_, value| contains(value.as_bytes(), secret));
    }
    let path = parts.uri.path();
    if secret.is_some_and(|s| contains(&percent_decode(path), s)) {
        return Err(Refusal::BadRequest);
    }
    let target = match parts.uri.query().and_then(|q| sanitize_query(q, secret)) {
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

/// Removes hop-by-hop headers and headers of the fleet from a server's answer.
pub fn sanitize_answer(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    remove_matching(headers, |name, _| name.as_str().starts_with(FLEET_HEADER_PREFIX));
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
    for name in MORE_HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

fn remove_matching(headers: &mut HeaderMap, should_remove: impl Fn(&HeaderName, &HeaderValue) -> bool) {
    let names: Vec<HeaderName> =
        headers.iter().filter(|(n, v)| should_remove(n, v)).map(|(n, _)| n.clone()).collect();
    for name in names {
        headers.remove(name);
    }
}

/// The query without parameters that contain a key; `None` if nothing is left.
fn sanitize_query(query: &str, secret: Option<&[u8]>) -> Option<String> {
    let is_clean = |param: &&str| {
        let name = param.split('=').next().unwrap_or_default();
        let plain = percent_decode(param);
        let named = KEY_QUERY_PARAMS.iter().any(|k| percent_decode(name).eq_ignore_ascii_case(k.as_bytes()));
        !named && secret.is_none_or(|s| !contains(&plain, s))
    };
    let kept: Vec<&str> = query.split('&').filter(is_clean).collect();
    (!kept.is_empty()).then(|| kept.join("&"))
}

/// Decodes percent escapes; invalid ones stay as they are.
fn percent_decode(text: &str) -> Vec<u8> {
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
