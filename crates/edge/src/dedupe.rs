//! Idempotency-Keys on strict routes: claimed in the table before the request is sent, so that the same key
//! runs at most once over all daemons and a later caller gets the first one's outcome.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use base::Refusal;
use conf::Dedupe;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use store::{Check, Commit, Row, StoreError, Write};

use crate::admit::Admitted;
use crate::attempt::Held;
use crate::body::full;
use crate::job::Job;
use crate::proxy::{self, Refused, within};
use crate::refuse::{AnswerBody, REPLAYED_HEADER};

/// Header with the caller's key for one order.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Time for which a claim and its outcome are kept.
const CLAIM_TTL: Duration = Duration::from_hours(24);
/// Largest answer that is kept as an outcome.
const MAX_OUTCOME_BYTES: usize = 64 * 1024;
/// Attempts to resolve a lost answer of the store.
const STORE_TRIES: usize = 4;
/// Pause between two attempts at the store.
const STORE_PAUSE: Duration = Duration::from_millis(50);
/// Pauses before another request's claim is looked at again; then its outcome counts as unknown.
const OUTCOME_PAUSES_MS: [u64; 4] = [50, 100, 200, 400];
/// One claim in so many also removes lapsed claims of a 256th of the keys.
const SWEEP_ONE_IN: u32 = 64;

/// A claim as it stands in the table.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Claim {
    /// Random id of the request that claimed.
    id: Box<str>,
    /// Hash over method, target and body.
    fingerprint: Box<str>,
    /// Milliseconds since the epoch.
    expires_ms: u64,
    /// Set once the request's answer is known.
    outcome: Option<Outcome>,
}

/// A whole answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Outcome {
    status: u16,
    headers: Vec<(Box<str>, Box<str>)>,
    body: Vec<u8>,
}

/// An own claim and the version of its row.
#[derive(Clone, Debug)]
struct Owned {
    key: Box<str>,
    claim: Claim,
    version: u64,
}

/// Result of an attempt to claim.
enum Claimed {
    Mine(Owned),
    Other(Claim),
}

/// Refuses strict requests without a usable key before anything is spent on them.
///
/// # Errors
/// Fails when the header is missing, empty or given twice.
pub(crate) fn check(admitted: &Admitted, parts: &Parts) -> Result<(), Refusal> {
    let route = &admitted.route;
    if route.dedupe != Dedupe::Strict || route.is_repeatable(parts.method.as_str()) {
        return Ok(());
    }
    let mut keys = parts.headers.get_all(IDEMPOTENCY_KEY_HEADER).iter();
    match (keys.next(), keys.next()) {
        (Some(key), None) if !key.is_empty() => Ok(()),
        (Some(_), Some(_)) => Err(Refusal::BadRequest),
        _ => Err(Refusal::DedupeKeyMissing),
    }
}

/// Whether the job needs a claim.
pub(crate) fn is_strict(job: &Job) -> bool {
    job.admitted.route.dedupe == Dedupe::Strict && !job.repeatable
}

/// Runs the job under a claim. The work goes on when the caller leaves, so that the outcome is kept.
pub(crate) async fn run_once(job: Arc<Job>) -> Result<Response<AnswerBody>, Refused> {
    let deadline = job.deadline;
    let tracker = job.shared.tracker.clone();
    let trace = Arc::clone(&job.trace);
    let work = tracker.spawn(async move {
        let claimed = within(deadline, &job.trace, claim(&job)).await?;
        match claimed {
            Claimed::Mine(owned) => run_owned(&job, owned).await,
            Claimed::Other(claim) => other(&job, claim).await,
        }
    });
    // A panic in the work leaves its effect unknown.
    work.await.unwrap_or_else(|_panic| Err(trace.honest(Refusal::DedupeUnknown).into()))
}

async fn run_owned(job: &Arc<Job>, owned: Owned) -> Result<Response<AnswerBody>, Refused> {
    let done = within(job.deadline, &job.trace, proxy::run(job)).await;
    match &done {
        Ok(rep) => {
            if let Some(outcome) = outcome(rep) {
                let job_ = Arc::clone(job);
                job.shared.tracker.spawn(async move { keep(&job_, owned, outcome).await });
            }
        }
        Err(_) if !job.trace.is_doubtful() => release(job, &owned).await,
        Err(_) => {}
    }
    done
}

/// Claims the key, or finds who has it.
async fn claim(job: &Job) -> Result<Claimed, Refused> {
    let Some(mut mine) = new_claim(job) else {
        return Err(Refusal::BadRequest.into());
    };
    let table = &*job.shared.table;
    if rand::random::<u32>().is_multiple_of(SWEEP_ONE_IN) {
        sweep(job, &mine.key);
    }
    let mut expected = 0;
    for _ in 0..STORE_TRIES {
        match table.commit(&write(&mine, expected)).await {
            Ok(version) => {
                mine.version = version;
                return Ok(Claimed::Mine(counted(job, mine)));
            }
            Err(StoreError::Down | StoreError::Refused { .. }) => break,
            Err(StoreError::Conflict { .. } | StoreError::Ambiguous) => {}
        }
        match table.get(&mine.key).await {
            Ok(Some(row)) => match judge(job, &mine, &row) {
                Seen::Mine => {
                    mine.version = row.version;
                    return Ok(Claimed::Mine(counted(job, mine)));
                }
                Seen::Lapsed => expected = row.version,
                Seen::Other(claim) => return Ok(Claimed::Other(claim)),
                Seen::Foreign => return Err(Refusal::DedupeMismatch.into()),
            },
            Ok(None) => expected = 0,
            Err(_) => tokio::time::sleep(STORE_PAUSE).await,
        }
    }
    count(job, "unavailable");
    Err(Refusal::DedupeUnavailable.into())
}

/// What a row means for a new claim.
enum Seen {
    Mine,
    Lapsed,
    Other(Claim),
    Foreign,
}

fn judge(job: &Job, mine: &Owned, row: &Row) -> Seen {
    let Ok(found) = serde_json::from_str::<Claim>(&row.value) else {
        return Seen::Foreign;
    };
    if found.id == mine.claim.id {
        return Seen::Mine;
    }
    if found.expires_ms <= wall_ms() {
        return Seen::Lapsed;
    }
    if found.fingerprint != mine.claim.fingerprint {
        count(job, "mismatch");
        return Seen::Foreign;
    }
    Seen::Other(found)
}

/// Answers for a key that another request claimed: its outcome, once it is known.
async fn other(job: &Job, mut claim: Claim) -> Result<Response<AnswerBody>, Refused> {
    let key = row_key(job).ok_or(Refusal::BadRequest)?;
    for pause_ms in OUTCOME_PAUSES_MS {
        if let Some(outcome) = claim.outcome {
            count(job, "replayed");
            return Ok(replay(&outcome));
        }
        let pause = Duration::from_millis(pause_ms);
        if Instant::now() + pause >= job.deadline {
            break;
        }
        tokio::time::sleep(pause).await;
        let row = job.shared.table.get(&key).await;
        let Ok(Some(row)) = row else {
            break;
        };
        let Ok(newer) = serde_json::from_str(&row.value) else {
            break;
        };
        claim = newer;
    }
    count(job, "unknown");
    Err(Refusal::DedupeUnknown.into())
}

/// Keeps the outcome. Failing leaves the claim, whose outcome then counts as unknown.
async fn keep(job: &Job, mut owned: Owned, outcome: Outcome) {
    owned.claim.outcome = Some(outcome);
    for _ in 0..STORE_TRIES {
        match job.shared.table.commit(&write(&owned, owned.version)).await {
            // After a lost answer a conflict means that the earlier write took effect.
            Ok(_) | Err(StoreError::Conflict { .. }) => return count(job, "kept"),
            Err(_) => tokio::time::sleep(STORE_PAUSE).await,
        }
    }
    count(job, "not-kept");
}

/// Gives the key free after a request that is proven not to have run.
async fn release(job: &Job, owned: &Owned) {
    let check = Check { key: owned.key.clone(), version: owned.version };
    let commit = Commit { checks: vec![check], writes: vec![Write::delete(&owned.key)] };
    let released = job.shared.table.commit(&commit).await.is_ok();
    count(job, if released { "released" } else { "not-released" });
}

/// Removes lapsed claims whose keys share their first byte with `near`.
fn sweep(job: &Job, near: &str) {
    let table = Arc::clone(&job.shared.table);
    let prefix: Box<str> = near[..near.len().min(PREFIX.len() + 2)].into();
    job.shared.tracker.spawn(async move {
        let Ok(rows) = table.range(&prefix).await else {
            return;
        };
        for (key, row) in rows {
            let is_lapsed = serde_json::from_str(&row.value).is_ok_and(|c: Claim| c.expires_ms <= wall_ms());
            if is_lapsed {
                let checks = vec![Check { key: key.clone(), version: row.version }];
                let _ = table.commit(&Commit { checks, writes: vec![Write::delete(&key)] }).await;
            }
        }
    });
}

/// Start of the keys of all claims.
const PREFIX: &str = "dedupe/";

fn row_key(job: &Job) -> Option<Box<str>> {
    let key = job.parts.headers.get(IDEMPOTENCY_KEY_HEADER)?;
    let mut hasher = blake3::Hasher::new();
    hasher.update(job.admitted.customer_name().as_bytes());
    hasher.update(&[0]);
    hasher.update(job.admitted.route.name.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    Some(format!("{PREFIX}{}", hasher.finalize().to_hex()).into())
}

/// None if the body is too large to be compared.
fn new_claim(job: &Job) -> Option<Owned> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(job.parts.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(job.parts.uri.to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(job.body.held()?);
    let claim = Claim {
        id: format!("{:032x}", rand::random::<u128>()).into(),
        fingerprint: hasher.finalize().to_hex().as_str().into(),
        expires_ms: wall_ms() + CLAIM_TTL.as_millis() as u64,
        outcome: None,
    };
    Some(Owned { key: row_key(job)?, claim, version: 0 })
}

fn write(owned: &Owned, expected: u64) -> Commit {
    let value = serde_json::to_string(&owned.claim).unwrap_or_default();
    Commit {
        checks: vec![Check { key: owned.key.clone(), version: expected }],
        writes: vec![Write::put(&owned.key, &value)],
    }
}

/// The answer as an outcome; none if it is too large to be kept.
fn outcome(rep: &Response<AnswerBody>) -> Option<Outcome> {
    let Held(body) = rep.extensions().get()?;
    let text = |(n, v): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
        Some((n.as_str().into(), v.to_str().ok()?.into()))
    };
    let headers = rep.headers().iter().filter_map(text).collect();
    (body.len() <= MAX_OUTCOME_BYTES).then(|| Outcome {
        status: rep.status().as_u16(),
        headers,
        body: body.to_vec(),
    })
}

fn replay(outcome: &Outcome) -> Response<AnswerBody> {
    let mut rep = Response::new(full(outcome.body.clone().into()));
    *rep.status_mut() = StatusCode::from_u16(outcome.status).unwrap_or_default();
    for (name, value) in &outcome.headers {
        let name = name.parse::<hyper::header::HeaderName>();
        if let (Ok(name), Ok(value)) = (name, value.parse::<hyper::header::HeaderValue>()) {
            rep.headers_mut().append(name, value);
        }
    }
    rep.headers_mut().insert(REPLAYED_HEADER, hyper::header::HeaderValue::from_static("yes"));
    rep
}

fn counted(job: &Job, owned: Owned) -> Owned {
    count(job, "claimed");
    job.trace.step("claimed", None);
    owned
}

fn count(job: &Job, result: &str) {
    job.shared.metrics.dedupe_claims.with_label_values(&[result]).inc();
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
