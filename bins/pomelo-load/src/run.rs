//! Sends requests at their scheduled times, whatever the answers do, so that no wait is left out.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use crate::answer::Finished;
use crate::caller::{self, Http};
use crate::plan::Plan;

/// Interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// One request to come.
#[derive(Clone, Copy, Debug)]
struct Due {
    at: Duration,
    stream: usize,
    /// Number within its stream.
    n: usize,
}

/// Performs the run and returns every request's end.
pub async fn run(plan: Arc<Plan>) -> Vec<Finished> {
    let dues = all_due(&plan);
    let (tx, mut rx) = mpsc::unbounded_channel();
    let done = Arc::new(AtomicU64::new(0));
    if plan.progress {
        tokio::spawn(progress(dues.len(), Arc::clone(&done)));
    }
    let total = dues.len();
    tokio::spawn(send_all(plan, dues, tx));
    let mut finished = Vec::with_capacity(total);
    while let Some(one) = rx.recv().await {
        done.fetch_add(1, Relaxed);
        finished.push(one);
    }
    finished
}

fn all_due(plan: &Plan) -> Vec<Due> {
    let mut dues: Vec<Due> = Vec::new();
    for (stream, s) in plan.streams.iter().enumerate() {
        let times = s.rate.due_times(plan.length);
        dues.extend(times.into_iter().enumerate().map(|(n, at)| Due { at, stream, n }));
    }
    dues.sort_by_key(|d| d.at);
    dues
}

async fn send_all(plan: Arc<Plan>, dues: Vec<Due>, tx: mpsc::UnboundedSender<Finished>) {
    let http: Http = caller::client();
    let run_id = std::process::id();
    let started = Instant::now();
    for due in dues {
        let at = started + due.at;
        tokio::time::sleep_until(at.into()).await;
        let http = http.clone();
        let plan = Arc::clone(&plan);
        let tx = tx.clone();
        tokio::spawn(async move {
            let stream = &plan.streams[due.stream];
            let order = stream.orders.then(|| Box::from(format!("{}-{run_id}-{}", stream.name, due.n)));
            let answer = caller::send(&http, stream, due.n, order.as_deref()).await;
            let took = at.elapsed();
            let _ = tx.send(Finished { stream: due.stream, due: due.at, took, answer, order });
        });
    }
}

async fn progress(total: usize, done: Arc<AtomicU64>) {
    let mut interval = tokio::time::interval(PROGRESS_INTERVAL);
    interval.tick().await;
    loop {
        interval.tick().await;
        eprintln!("progress {} of {total}", done.load(Relaxed));
    }
}
