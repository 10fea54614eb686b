//! Idempotency-Keys on routes with `dedupe = "strict"`. A request claims its key in the platform's table
//! before it is sent, so that requests with the same key run at most once over all daemons and later ones get
//! the outcome of the first.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use base::Refusal;
use conf::Dedupe;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use store::{Check, Commit, Row, StoreError, Write};

use crate::admit::Admitted;
use crate::attempt::BufferedAnswer;
use crate::body::body_from_bytes;
use crate::job::Job;
use crate::proxy::{self, Refused, with_deadline};
use crate::refuse::{AnswerBody, REPLAYED_HEADER};

/// Header with the caller's idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Time for which a claim and its outcome are kept.
const CLAIM_TTL: Duration = Duration::from_hours(24);
/// Largest answer body that is stored as an outcome, in bytes.
const MAX_STORED_BODY_BYTES: usize = 64 * 1024;
/// Attempts at one operation of the store, e.g. to resolve a lost answer.
const MAX_STORE_ATTEMPTS: usize = 4;
/// Pause between two attempts at the store.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Pauses between reads of another request's claim while that request's outcome is not known yet. After the
/// last pause the outcome counts as unknown.
const OUTCOME_POLL_PAUSES_MS: [u64; 4] = [50, 100, 200, 400];
/// One in this many claims, on average, also removes the expired claims of a 256th of the keys.
const CLAIMS_PER_SWEEP: u32 = 64;

/// A claim as it is stored in the table, in JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Claim {
    /// Random id of the request that made the claim.
    id: Box<str>,
    /// Hash over method, target and body: the same key must not be used for different requests.
    fingerprint: Box<str>,
    /// Milliseconds since the Unix epoch.
    expires_ms: u64,
    /// Set once the answer to the request is known.
    outcome: Option<Outcome>,
}

/// A complete answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Outcome {
    status: u16,
    headers: Vec<(Box<str>, Box<str>)>,
    body: Vec<u8>,
}

/// A claim of this request, its row's key and the row's version.
#[derive(Clone, Debug)]
struct OwnedClaim {
    key: Box<str>,
    claim: Claim,
    version: u64,
}

/// Who holds the claim on a key.
enum Claimed {
    Mine(OwnedClaim),
    Other(Claim),
}

/// Refuses requests that need an idempotency key and have no usable one, before anything is spent on them.
///
/// # Errors
/// Fails when the header is missing, empty or given twice.
pub(crate) fn check_idempotency_key(admitted: &Admitted, parts: &Parts) -> Result<(), Refusal> {
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

/// Whether the job has to claim its idempotency key before it is sent.
pub(crate) fn needs_claim(job: &Job) -> bool {
    job.admitted.route.dedupe == Dedupe::Strict && !job.idempotent
}

/// Claims the key and sends the job, or answers with the outcome of the request that holds the claim. The
/// work goes on when the caller leaves, so that the outcome is stored.
pub(crate) async fn run_once(job: Arc<Job>) -> Result<Response<AnswerBody>, Refused> {
    let deadline = job.deadline;
    let tracker = job.shared.tracker.clone();
    let trace = Arc::clone(&job.trace);
    let work = tracker.spawn(async move {
        let claimed = with_deadline(deadline, &job.trace, claim_key(&job)).await?;
        match claimed {
            Claimed::Mine(owned) => run_with_claim(&job, owned).await,
            Claimed::Other(claim) => answer_from_claim(&job, claim).await,
        }
    });
    // After a panic in the work it is unknown whether the request ran.
    work.await.unwrap_or_else(|_panic| Err(trace.adjust_refusal(Refusal::DedupeUnknown).into()))
}

async fn run_with_claim(job: &Arc<Job>, owned: OwnedClaim) -> Result<Response<AnswerBody>, Refused> {
    let result = with_deadline(job.deadline, &job.trace, proxy::queue_and_send(job)).await;
    match &result {
        Ok(rep) => {
            if let Some(outcome) = outcome_to_store(rep) {
                let outcome_job = Arc::clone(job);
                job.shared.tracker.spawn(async move { store_outcome(&outcome_job, owned, outcome).await });
            }
        }
        Err(_) if !job.trace.may_have_executed() => release_claim(job, &owned).await,
        Err(_) => {}
    }
    result
}

/// Claims the key, or finds the claim of another request.
async fn claim_key(job: &Job) -> Result<Claimed, Refused> {
    let Some(mut mine) = new_claim(job) else {
        return Err(Refusal::BadRequest.into());
    };
    let table = &*job.shared.table;
    if rand::random::<u32>().is_multiple_of(CLAIMS_PER_SWEEP) {
        remove_expired_claims(job, &mine.key);
    }
    let mut expected_version = 0;
    for _ in 0..MAX_STORE_ATTEMPTS {
        match table.commit(&claim_commit(&mine, expected_version)).await {
            Ok(stamp) => {
                mine.version = stamp.version;
                return Ok(Claimed::Mine(record_claimed(job, mine)));
            }
            Err(StoreError::Down | StoreError::Refused { .. }) => break,
            Err(StoreError::Conflict { .. } | StoreError::Ambiguous | StoreError::Outdated { .. }) => {}
        }
        match table.get(&mine.key).await {
            Ok(Some(row)) => match classify_row(job, &mine, &row) {
                ExistingClaim::Mine => {
                    mine.version = row.version;
                    return Ok(Claimed::Mine(record_claimed(job, mine)));
                }
                ExistingClaim::Expired => expected_version = row.version,
                ExistingClaim::Other(claim) => return Ok(Claimed::Other(claim)),
                ExistingClaim::Mismatch => return Err(Refusal::DedupeMismatch.into()),
            },
            Ok(None) => expected_version = 0,
            Err(_) => tokio::time::sleep(STORE_RETRY_PAUSE).await,
        }
    }
    count_result(job, "unavailable");
    Err(Refusal::DedupeUnavailable.into())
}

/// What the row that is stored under a key means for a new claim on it.
enum ExistingClaim {
    /// Made by this request in an attempt whose answer was lost.
    Mine,
    Expired,
    Other(Claim),
    /// Made for a different request, or not readable.
    Mismatch,
}

fn classify_row(job: &Job, mine: &OwnedClaim, row: &Row) -> ExistingClaim {
    let Ok(found) = serde_json::from_str::<Claim>(&row.value) else {
        return ExistingClaim::Mismatch;
    };
    if found.id == mine.claim.id {
        return ExistingClaim::Mine;
    }
    if found.expires_ms <= unix_time_ms() {
        return ExistingClaim::Expired;
    }
    if found.fingerprint != mine.claim.fingerprint {
        count_result(job, "mismatch");
        return ExistingClaim::Mismatch;
    }
    ExistingClaim::Other(found)
}

/// Answers with the outcome of the request that made the claim, once it is known.
async fn answer_from_claim(job: &Job, mut claim: Claim) -> Result<Response<AnswerBody>, Refused> {
    let key = row_key(job).ok_or(Refusal::BadRequest)?;
    for pause_ms in OUTCOME_POLL_PAUSES_MS {
        if let Some(outcome) = claim.outcome {
            count_result(job, "replayed");
            return Ok(replay_answer(&outcome));
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
    count_result(job, "unknown");
    Err(Refusal::DedupeUnknown.into())
}

/// Stores the outcome in the claim. If that fails, the claim stays without one and its outcome counts as
/// unknown.
async fn store_outcome(job: &Job, mut owned: OwnedClaim, outcome: Outcome) {
    owned.claim.outcome = Some(outcome);
    for _ in 0..MAX_STORE_ATTEMPTS {
        match job.shared.table.commit(&claim_commit(&owned, owned.version)).await {
            // A conflict means that an earlier write whose answer was lost took effect.
            Ok(_) | Err(StoreError::Conflict { .. }) => return count_result(job, "kept"),
            Err(_) => tokio::time::sleep(STORE_RETRY_PAUSE).await,
        }
    }
    count_result(job, "not-kept");
}

/// Deletes the claim of a request that certainly did not run, so that its key can be used again.
async fn release_claim(job: &Job, owned: &OwnedClaim) {
    let check = Check { key: owned.key.clone(), version: owned.version };
    let commit = Commit { checks: vec![check], writes: vec![Write::delete(&owned.key)] };
    let released = job.shared.table.commit(&commit).await.is_ok();
    count_result(job, if released { "released" } else { "not-released" });
}

/// Removes expired claims whose hashes share the first byte with that in `near_key`, in the background.
fn remove_expired_claims(job: &Job, near_key: &str) {
    let table = Arc::clone(&job.shared.table);
    let prefix: Box<str> = near_key[..near_key.len().min(CLAIM_KEY_PREFIX.len() + 2)].into();
    job.shared.tracker.spawn(async move {
        let Ok(rows) = table.range(&prefix).await else {
            return;
        };
        for (key, row) in rows {
            let is_expired =
                serde_json::from_str(&row.value).is_ok_and(|c: Claim| c.expires_ms <= unix_time_ms());
            if is_expired {
                let checks = vec![Check { key: key.clone(), version: row.version }];
                let _ = table.commit(&Commit { checks, writes: vec![Write::delete(&key)] }).await;
            }
        }
    });
}

/// Prefix of the row keys of all claims.
const CLAIM_KEY_PREFIX: &str = "dedupe/";

/// Key of the row for the job's claim: a hash over customer, route and idempotency key.
fn row_key(job: &Job) -> Option<Box<str>> {
    let key = job.parts.headers.get(IDEMPOTENCY_KEY_HEADER)?;
    let mut hasher = blake3::Hasher::new();
    hasher.update(job.admitted.customer_name().as_bytes());
    hasher.update(&[0]);
    hasher.update(job.admitted.route.name.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    Some(format!("{CLAIM_KEY_PREFIX}{}", hasher.finalize().to_hex()).into())
}

/// Makes a claim on the job's key; `None` if the body is streamed and can't be hashed.
fn new_claim(job: &Job) -> Option<OwnedClaim> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(job.parts.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(job.parts.uri.to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(job.body.buffered()?);
    let claim = Claim {
        id: format!("{:032x}", rand::random::<u128>()).into(),
        fingerprint: hasher.finalize().to_hex().as_str().into(),
        expires_ms: unix_time_ms() + CLAIM_TTL.as_millis() as u64,
        outcome: None,
    };
    Some(OwnedClaim { key: row_key(job)?, claim, version: 0 })
}

/// Transaction that writes the claim if the row still has the expected version; 0: if there is no row.
fn claim_commit(owned: &OwnedClaim, expected_version: u64) -> Commit {
    let value = serde_json::to_string(&owned.claim).unwrap_or_default();
    Commit {
        checks: vec![Check { key: owned.key.clone(), version: expected_version }],
        writes: vec![Write::put(&owned.key, &value)],
    }
}

/// The answer as an outcome; `None` if it is streamed or too large to be stored.
fn outcome_to_store(rep: &Response<AnswerBody>) -> Option<Outcome> {
    let BufferedAnswer(body) = rep.extensions().get()?;
    let header_text = |(n, v): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
        Some((n.as_str().into(), v.to_str().ok()?.into()))
    };
    let headers = rep.headers().iter().filter_map(header_text).collect();
    (body.len() <= MAX_STORED_BODY_BYTES).then(|| Outcome {
        status: rep.status().as_u16(),
        headers,
        body: body.to_vec(),
    })
}

fn replay_answer(outcome: &Outcome) -> Response<AnswerBody> {
    let mut rep = Response::new(body_from_bytes(outcome.body.clone().into()));
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

fn record_claimed(job: &Job, owned: OwnedClaim) -> OwnedClaim {
    count_result(job, "claimed");
    job.trace.record_step("claimed", None);
    owned
}

fn count_result(job: &Job, result: &str) {
    job.shared.metrics.dedupe_claims.with_label_values(&[result]).inc();
}

fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
