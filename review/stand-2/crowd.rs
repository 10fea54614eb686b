//! Case: a crowd of callers that don't behave makes a daemon outgrow the memory of its instance.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::cases::{self, Attempts};
use crate::http;
use crate::world::{BROKEN, HELD, HOST, KEY, NOT_RUN, World, config, has_trouble, require_descriptors};

/// Limits of callers in the configuration: the first two in bytes.
pub const LIMITS: &str =
    "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":20000}";
/// Memory of the instance.
const MEMORY_BYTES: u64 = 260 * 1024 * 1024;
/// Connections that send a head of legal size but for its last line.
const HEADS: usize = 1_600;
const HEAD_BYTES: usize = 16_300;
/// Connections that send many requests ahead and read no answer.
const AHEAD: usize = 200;
const REQUESTS_AHEAD: usize = 850;
/// Connections that send a body of legal size and stop just short of its end.
const BODIES: usize = 200;
const BODY_BYTES: usize = 1_000_000;
/// Ordinary clients, each with one order after the other on a kept connection, and the run time of an order.
const CLIENTS: usize = 16;
const RUN: Duration = Duration::from_millis(2_000);
/// Orders that were passed on and may end without an answer, by the rule.
const ALLOWED: usize = 3;
/// Time without growth of the daemon after which it has read what a group has sent, and the longest wait for that.
const STEADY: Duration = Duration::from_millis(600);
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Descriptors of this process and of the daemon that the crowd needs.
const MIN_DESCRIPTORS: u64 = 3_000;
/// Threads that open the connections.
const OPENERS: usize = 40;
/// Time without trouble before the crowd comes, and after the last of it.
const CALM: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_secs(8);

pub fn run(record: &str) {
    require_descriptors(MIN_DESCRIPTORS);
    let mut world = World::new(record, &config(1, 10_000, LIMITS));
    cases::add_instances(&mut world, &["paraiso", "barva", "paraiso", "barva"], RUN);
    world.start();
    let to = world.daemons[0].callers();
    let attempts = Attempts::default();
    let until = Instant::now() + Duration::from_secs(30);
    for n in 0..CLIENTS {
        let order = ("POST", "/order/1", b"one crate".as_slice());
        let pace = (Duration::from_millis(50), until);
        cases::start_client(&format!("order-{n}"), to, &world.record, order, pace, &attempts);
    }
    thread::sleep(CALM);
    let gathering = has_trouble().then(|| gather(to, &world));
    let (mut largest, mut calm_until) = (0, Instant::now() + CALM + AFTER);
    let mut crowd = Vec::new();
    let mut gathering = gathering;
    let outgrown = loop {
        let memory = world.daemons[0].memory();
        largest = largest.max(memory);
        if memory > MEMORY_BYTES {
            break true;
        }
        if !world.daemons[0].is_running() {
            eprintln!("the daemon ended by itself");
            break true;
        }
        if let Some(done) = gathering.take_if(|g| g.is_finished()) {
            crowd = done.join().expect("no panic");
            calm_until = Instant::now() + AFTER;
        }
        if gathering.is_none() && Instant::now() >= calm_until {
            break false;
        }
        thread::sleep(Duration::from_millis(20));
    };
    world.record.add(&format!("largest resident memory of the daemon: {} kB", largest / 1024));
    let ended_at = Instant::now();
    if outgrown {
        world.record.add("platform kills the daemon: it is over the memory of its instance");
        world.daemons[0].kill();
    }
    thread::sleep(Duration::from_secs(1));
    drop(crowd);
    let runs = cases::count_runs(&world);
    let all = attempts.lock().expect("no panic").clone();
    // The first request of a client opens its connection; all others came on a kept one.
    let is_lost = |a: &&cases::Attempt| a.status == 0 && a.sent_at < ended_at && !a.id.ends_with("-0");
    let lost = all.iter().filter(is_lost).filter(|a| runs.contains_key(&a.id)).count();
    let served = all.iter().filter(|a| a.status == 200).count();
    println!(
        "largest memory {} of {} kB; {served} orders served, {lost} that ran at a sound server ended without an answer",
        largest / 1024,
        MEMORY_BYTES / 1024
    );
    if served == 0 {
        world.end(NOT_RUN);
    }
    world.end(if lost > ALLOWED { BROKEN } else { HELD });
}

/// Opens the connections of the crowd, which stay open. Each group comes once the daemon has read the one before.
fn gather(to: SocketAddr, world: &World) -> thread::JoinHandle<Vec<TcpStream>> {
    let (record, memory) = (world.record.clone(), world.daemons[0].memory_reader());
    let mut head = b"GET /a HTTP/1.1\r\nHost: a\r\nA: ".to_vec();
    head.resize(HEAD_BYTES, b'a');
    let ahead = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n".repeat(REQUESTS_AHEAD);
    let mut upload = format!(
        "POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: crowd\r\nDeadline-Ms: 10000\r\nApi-Key: {KEY}\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    )
    .into_bytes();
    upload.resize(upload.len() + BODY_BYTES - 1_000, b'a');
    thread::spawn(move || {
        let mut crowd = Vec::new();
        let groups = [
            (AHEAD, format!("{REQUESTS_AHEAD} requests ahead and read no answer"), ahead),
            (HEADS, format!("a head of {HEAD_BYTES} bytes without its end"), head),
            (BODIES, format!("a body of {BODY_BYTES} bytes but for the last 1,000"), upload),
        ];
        for (count, what, bytes) in groups {
            record.add(&format!("crowd: {count} connections send {what}"));
            crowd.extend(open_all(to, count, &Arc::new(bytes)));
            wait_until_steady(&memory);
        }
        record.add(&format!("crowd: {} connections are open", crowd.len()));
        crowd
    })
}

/// Waits until the daemon's memory has not grown for a while.
fn wait_until_steady(memory: &dyn Fn() -> u64) {
    let until = Instant::now() + MAX_PAUSE;
    let (mut largest, mut since) = (memory(), Instant::now());
    while Instant::now() < until && since.elapsed() < STEADY {
        thread::sleep(Duration::from_millis(20));
        if memory() > largest {
            (largest, since) = (memory(), Instant::now());
        }
    }
}

/// Opens connections, several at a time, and sends `bytes` on each. The daemon need not take all of them.
fn open_all(to: SocketAddr, count: usize, bytes: &Arc<Vec<u8>>) -> Vec<TcpStream> {
    let open_some = |_| {
        let bytes = Arc::clone(bytes);
        thread::spawn(move || {
            let mut open = Vec::new();
            for _ in 0..count / OPENERS {
                // While the daemon is busy, its queue of new connections may be full.
                let opened = (0..3).find_map(|_| http::connect(to, Duration::from_secs(1)).ok());
                if let Some(mut stream) = opened {
                    let _ = stream.write_all(&bytes);
                    open.push(stream);
                }
            }
            open
        })
    };
    let openers: Vec<_> = (0..OPENERS).map(open_some).collect();
    openers.into_iter().flat_map(|opener| opener.join().expect("no panic")).collect()
}
