//! Sends requests at their scheduled times, whatever the answers do.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use tokio_util::task::TaskTracker;

use crate::plan::Plan;

/// Largest recorded time in microseconds.
const MAX_US: u64 = 60_000_000;

/// Results of a run.
#[derive(Debug)]
struct Results {
    /// Times from the scheduled start to the end of the answer, in microseconds.
    times: Histogram<u64>,
    /// Answers by status or refusal reason.
    answers: BTreeMap<Box<str>, u64>,
}

type Http = Client<HttpConnector, Full<Bytes>>;

/// Performs the run and prints its results.
pub async fn run(plan: &Plan) {
    let times = Histogram::new_with_bounds(1, MAX_US, 3).expect("valid bounds");
    let results = Arc::new(Mutex::new(Results { times, answers: BTreeMap::new() }));
    let client: Http = Client::builder(TokioExecutor::new()).build_http();
    let tracker = TaskTracker::new();
    let started = Instant::now();
    let total = (plan.rate * plan.seconds) as u64;
    for n in 0..total {
        let due = started + Duration::from_secs_f64(n as f64 / plan.rate);
        tokio::time::sleep_until(due.into()).await;
        let req = request(plan, n);
        let client = client.clone();
        let results = Arc::clone(&results);
        tracker.spawn(async move {
            let answer = send(&client, req).await;
            let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
            results.times.saturating_record(due.elapsed().as_micros() as u64);
            *results.answers.entry(answer).or_default() += 1;
        });
    }
    tracker.close();
    tracker.wait().await;
    print(&results.lock().unwrap_or_else(PoisonError::into_inner));
}

fn request(plan: &Plan, n: u64) -> Request<Full<Bytes>> {
    let target = plan.targets[n as usize % plan.targets.len()];
    let mut builder = Request::builder().method(&*plan.method).uri(format!("http://{target}{}", plan.path));
    if let Some(key) = &plan.key {
        builder = builder.header("x-api-key", &**key);
    }
    builder.body(Full::default()).expect("a valid request")
}

async fn send(client: &Http, req: Request<Full<Bytes>>) -> Box<str> {
    let Ok(rep) = client.request(req).await else {
        return "no-answer".into();
    };
    let (head, body) = rep.into_parts();
    if body.collect().await.is_err() {
        return "cut".into();
    }
    match head.headers.get("x-pomelo-reason").and_then(|v| v.to_str().ok()) {
        Some(reason) => reason.into(),
        None => head.status.as_str().into(),
    }
}

fn print(results: &Results) {
    let total: u64 = results.answers.values().sum();
    println!("requests={total}");
    for (answer, count) in &results.answers {
        println!("answer.{answer}={count}");
    }
    for (name, q) in [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)] {
        println!("{name}_us={}", results.times.value_at_quantile(q));
    }
    println!("max_us={}", results.times.max());
}
