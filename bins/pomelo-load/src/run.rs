//! Sends each request at its scheduled time even if earlier ones are still unanswered, so that latencies
//! include the time for which slow answers would have held up a caller (no coordinated omission).

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use crate::answer::FinishedRequest;
use crate::caller::{self, HttpClient};
use crate::plan::Plan;

/// Interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// One request of the schedule.
#[derive(Clone, Copy, Debug)]
struct ScheduledRequest {
    /// When the request is due, as time since the start of the run.
    due: Duration,
    /// Index of its stream in the plan.
    stream: usize,
    /// Number of the request within its stream, from 0.
    n: usize,
}

/// Sends all requests of the plan and returns how each ended.
pub async fn send_load(plan: Arc<Plan>) -> Vec<FinishedRequest> {
    let scheduled = schedule_requests(&plan);
    let (tx, mut rx) = mpsc::unbounded_channel();
    let done = Arc::new(AtomicU64::new(0));
    if plan.progress {
        tokio::spawn(print_progress(scheduled.len(), Arc::clone(&done)));
    }
    let total = scheduled.len();
    tokio::spawn(send_all(plan, scheduled, tx));
    let mut finished = Vec::with_capacity(total);
    while let Some(request) = rx.recv().await {
        done.fetch_add(1, Relaxed);
        finished.push(request);
    }
    finished
}

/// The requests of all streams, sorted by the time at which they are due.
fn schedule_requests(plan: &Plan) -> Vec<ScheduledRequest> {
    let mut scheduled: Vec<ScheduledRequest> = Vec::new();
    for (stream, s) in plan.streams.iter().enumerate() {
        let times = s.rate.due_times(plan.duration);
        scheduled.extend(times.into_iter().enumerate().map(|(n, due)| ScheduledRequest { due, stream, n }));
    }
    scheduled.sort_by_key(|r| r.due);
    scheduled
}

async fn send_all(
    plan: Arc<Plan>,
    scheduled: Vec<ScheduledRequest>,
    tx: mpsc::UnboundedSender<FinishedRequest>,
) {
    let http: HttpClient = caller::new_client();
    let run_id = std::process::id();
    let started = Instant::now();
    for request in scheduled {
        let due_at = started + request.due;
        tokio::time::sleep_until(due_at.into()).await;
        let http = http.clone();
        let plan = Arc::clone(&plan);
        let tx = tx.clone();
        tokio::spawn(async move {
            let stream = &plan.streams[request.stream];
            let order = stream.orders.then(|| Box::from(format!("{}-{run_id}-{}", stream.name, request.n)));
            let answer = caller::send_request(&http, stream, request.n, order.as_deref()).await;
            let latency = due_at.elapsed();
            let _ =
                tx.send(FinishedRequest { stream: request.stream, due: request.due, latency, answer, order });
        });
    }
}

async fn print_progress(total: usize, done: Arc<AtomicU64>) {
    let mut interval = tokio::time::interval(PROGRESS_INTERVAL);
    interval.tick().await;
    loop {
        interval.tick().await;
        eprintln!("progress {} of {total}", done.load(Relaxed));
    }
}
