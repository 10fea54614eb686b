//! Clients of one machine send large bodies, each within the configured limit; then more of them come at once.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, MEMORY_MB, Machine, Record, Server};
use crate::http::Connection;

const DEADLINE: Duration = Duration::from_secs(8);
/// Size of each body; `maxBodyBytes` is 64 MiB.
const BODY_BYTES: usize = 60 * 1024 * 1024;
/// Clients that send at the same time usually, and during the burst (1.7 times as many, rounded down).
const USUAL: usize = 3;
const BURST: usize = 5;
/// Interval at which the platform looks at the memory of the daemons.
const SAMPLE: Duration = Duration::from_millis(10);

pub fn run(dir: &Path, trouble: bool) -> ! {
    let config = fleet::config(
        &[("pufi791", "non_idempotent", "huvo11a", 8_000), ("lohu930", "non_idempotent", "huvo11a", 8_000)],
        &["huvo11a"],
    );
    let fleet = Fleet::start(dir, &[("paraiso", "huvo11a"), ("paraiso", "huvo11a")], &config);
    let record = Arc::clone(&fleet.record);
    let behaviour = fleet::sound(Duration::from_millis(2_000));
    let servers: Vec<_> =
        (0..2).map(|n| Server::start(&format!("i-{n}"), &fleet.machines[n], &record, &behaviour)).collect();
    thread::sleep(Duration::from_secs(4));
    let peak = Arc::new(AtomicU64::new(0));
    let kills = Arc::new(AtomicUsize::new(0));
    for machine in &fleet.machines {
        let (machine, record) = (Arc::clone(machine), Arc::clone(&record));
        let (peak, kills) = (Arc::clone(&peak), Arc::clone(&kills));
        thread::spawn(move || enforce_memory(&machine, &record, &peak, &kills));
    }

    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let is_sending = Arc::new(AtomicBool::new(true));
    let to = fleet.machines[0].outbound();
    // Ordinary orders on kept connections, which are small.
    let orders: Vec<_> = (0..6)
        .map(|client| {
            let (record, is_sending) = (Arc::clone(&record), Arc::clone(&is_sending));
            let unanswered = Arc::clone(&unanswered);
            thread::spawn(move || {
                let mut conn = None;
                let mut is_kept = false;
                for n in 0.. {
                    if !is_sending.load(SeqCst) {
                        return;
                    }
                    let id = format!("order-{client}-{n}");
                    let request = fleet::request("POST", "/pufi791/order", &id, DEADLINE, b"one");
                    if conn.is_none() {
                        conn = Connection::open(to, DEADLINE).ok();
                        is_kept = false;
                    }
                    let answer = conn.as_mut().map(|conn| conn.exchange(&request));
                    match answer {
                        Some(Ok(answer)) => {
                            is_kept = true;
                            record.line(&format!("client gets {} for {id}", answer.status()));
                        }
                        Some(Err(e)) => {
                            conn = None;
                            record.line(&format!(
                                "client gets no answer for {id}: {e}; kept connection: {is_kept}"
                            ));
                            if is_kept {
                                unanswered.lock().expect("the lock").push(id);
                            }
                        }
                        None => thread::sleep(Duration::from_millis(200)),
                    }
                }
            })
        })
        .collect();
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    for round in 0..3 {
        let clients = if trouble && round == 2 { BURST } else { USUAL };
        record.line(&format!("{clients} clients send {BODY_BYTES} bytes each"));
        let uploads: Vec<_> = (0..clients)
            .map(|client| {
                let (record, body, outcomes) =
                    (Arc::clone(&record), Arc::clone(&body), Arc::clone(&outcomes));
                thread::spawn(move || {
                    let id = format!("upload-{round}-{client}");
                    let request = fleet::request("POST", "/lohu930/upload", &id, DEADLINE, &body);
                    let answer = Connection::open(to, DEADLINE).and_then(|mut conn| conn.exchange(&request));
                    let text = answer.map_or_else(|e| e.to_string(), |answer| answer.status().to_string());
                    record.line(&format!("client gets {text} for {id}"));
                    outcomes.lock().expect("the lock").push(text);
                })
            })
            .collect();
        for upload in uploads {
            let _ = upload.join();
        }
        record.line(&format!("peak memory so far: {} MB", peak.load(SeqCst) / 1_024));
    }
    is_sending.store(false, SeqCst);
    for order in orders {
        let _ = order.join();
    }
    let kills = kills.load(SeqCst);
    let runs: Vec<_> = servers.iter().flat_map(|server| server.runs()).collect();
    let unanswered = unanswered.lock().expect("the lock");
    let lost = unanswered.iter().filter(|id| runs.iter().any(|run| run.request == **id)).count();
    let verdict = format!(
        "{kills} daemons went over {MEMORY_MB} MB (peak {} MB), {lost} orders on kept \
         connections were at a server and got no answer",
        peak.load(SeqCst) / 1_024
    );
    fleet.finish(lost > 3, &verdict);
}

/// Kills the daemon of a machine when it takes more memory than the machine has, and starts it again.
fn enforce_memory(machine: &Machine, record: &Record, peak: &AtomicU64, kills: &AtomicUsize) {
    loop {
        thread::sleep(SAMPLE);
        let kb = resident_kb(machine.pid());
        peak.fetch_max(kb, SeqCst);
        if kb > MEMORY_MB * 1_024 {
            record.line(&format!("daemon {} takes {} MB", machine.ip, kb / 1_024));
            kills.fetch_add(1, SeqCst);
            machine.kill();
            let until = Instant::now() + Duration::from_millis(500);
            thread::sleep(until.saturating_duration_since(Instant::now()));
            machine.start();
        }
    }
}

fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0)
}
