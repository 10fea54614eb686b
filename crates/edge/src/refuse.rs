//! Answers to requests that the daemon refuses, and the headers of answers to callers.

use std::time::Duration;

use base::Refusal;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use serde_json::json;

/// Body of every answer to a caller.
pub type AnswerBody = BoxBody<Bytes, BodyError>;

/// Why a streamed body ended early. The connection on which it was passed on is broken, so that the receiver
/// can't take the body for complete.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Header that says whether a refused request was executed: `no` or `unknown`.
pub const RUN_HEADER: &str = "x-pomelo-run";
/// Header that names the reason of a refusal.
pub const REASON_HEADER: &str = "x-pomelo-reason";

/// Header with the daemon's id of the request, for `GET /v1/explain/request/ID`.
pub const POMELO_ID_HEADER: &str = "x-pomelo-id";

/// Header that marks the stored answer to an earlier request with the same Idempotency-Key.
pub const REPLAYED_HEADER: &str = "x-pomelo-replayed";

/// Makes the answer for a refusal; `retry_after` is rounded up to whole seconds, at least one.
pub fn refusal_response(refusal: Refusal, retry_after: Option<Duration>) -> Response<AnswerBody> {
    let body = json!({
        "error": refusal.code(),
        "run": refusal.executed().to_string(),
        "remedy": refusal.remedy(),
    });
    let body = Full::new(Bytes::from(body.to_string())).map_err(|never| match never {}).boxed();
    let mut rep = Response::new(body);
    *rep.status_mut() = hyper::StatusCode::from_u16(refusal.status()).unwrap_or_default();
    let headers = rep.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(REASON_HEADER, HeaderValue::from_static(refusal.code()));
    let run = if refusal.executed() == base::Executed::No { "no" } else { "unknown" };
    headers.insert(RUN_HEADER, HeaderValue::from_static(run));
    if let Some(wait) = retry_after {
        let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    rep
}
