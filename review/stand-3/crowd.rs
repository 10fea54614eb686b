//! Case: a crowd of callers that read nothing of their answers drives a daemon over the memory of its machine.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{self, Case, MEMORY_MB, Machine, OUTBOUND_PORT, Record, new_id};
use crate::http;
use crate::load::{Load, Outcome};
use crate::server::Server;

/// Callers of the crowd.
const CROWD: usize = 800;
/// Threads that play the crowd, each some of the callers one after the other.
const THREADS: usize = 40;
/// Time between two callers of a thread.
const CALLER_INTERVAL: Duration = Duration::from_millis(320);
/// What each asks for: 500 kB, without a stated length. The site file allows 540 kB.
const DOWNLOAD: &str = "/label/2f?work=250&bytes=500000&frame=none";
/// Receive buffer of a caller of the crowd, in bytes.
const NARROW_BYTES: i32 = 4_096;
/// Longest time for which a caller of the crowd waits for an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which the last callers of the crowd read nothing; the first ones wait for the whole run.
const UNREAD: Duration = Duration::from_secs(3);
/// Delay after which the platform starts an ended process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// More lost requests than this break the rule.
const ALLOWED_LOST: usize = 3;

/// What the platform saw of the daemon's memory.
#[derive(Default)]
struct Watch {
    peak_mb: AtomicUsize,
    killed_at: Mutex<Vec<Instant>>,
    is_over: AtomicBool,
}

impl Watch {
    /// Kills the process whenever it exceeds the memory of its machine, as the platform does, and starts it again.
    fn run(&self, machine: &Machine, record: &Record) {
        let mut last = 0;
        while !self.is_over.load(Ordering::Relaxed) {
            let mb = machine.memory_mb() as usize;
            self.peak_mb.fetch_max(mb, Ordering::Relaxed);
            if mb.abs_diff(last) >= 10 {
                record.line(&format!("memory of {}: {mb} MB", machine.name));
                last = mb;
            }
            if mb > MEMORY_MB as usize {
                self.killed_at.lock().unwrap().push(Instant::now());
                machine.kill();
                record.say(&format!("{} is killed: {mb} MB, limit {MEMORY_MB} MB", machine.name));
                thread::sleep(RESTART_DELAY);
                let _ = machine.start();
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

pub fn unread(dir: &Path) -> io::Result<Verdict> {
    let case = Case::new(dir)?;
    case.store.put("op", "config", &fleet::config(7));
    let places = [("paraiso", "meseta"), ("barva", "meseta"), ("canas", "guanacaste"), ("santa-cruz", "guanacaste")];
    let mut machines = Vec::new();
    for n in 0..2 {
        machines.push(Machine::new(&case.net, 10 + n, places[usize::from(n)], "sacristia", &case.temp)?);
    }
    for n in 0..8 {
        machines.push(Machine::new(&case.net, 20 + n, places[usize::from(n) % 4], "bodega-docs", &case.temp)?);
    }
    case.start_all(&machines)?;
    let mut servers = Vec::new();
    for (n, machine) in machines.iter().enumerate() {
        servers.push(Server::start(machine, &format!("i-{n:08x}"), 5, &case.record)?);
    }
    thread::sleep(Duration::from_secs(5));
    let crowded = Arc::clone(&machines[2]);
    let door = crowded.addr(OUTBOUND_PORT);
    let mut load = Load::new();
    load.add(6, door, "POST", "/order/2f?work=400", 5_000, &case.record);
    load.add(4, door, "GET", "/ledger/2f?work=130&bytes=5000", 4_000, &case.record);
    thread::sleep(Duration::from_secs(2));

    let watch = Arc::new(Watch::default());
    let (own_watch, record) = (Arc::clone(&watch), Arc::clone(&case.record));
    let watching = thread::spawn(move || own_watch.run(&crowded, &record));
    let mut crowd = Vec::new();
    for _ in 0..THREADS {
        let (has_trouble, record) = (case.has_trouble, Arc::clone(&case.record));
        crowd.push(thread::spawn(move || crowd_callers(door, has_trouble, &record)));
        thread::sleep(CALLER_INTERVAL / THREADS as u32);
    }
    let outcomes: Vec<String> = crowd.into_iter().filter_map(|callers| callers.join().ok()).flatten().collect();
    let sent = load.finish();
    watch.is_over.store(true, Ordering::Relaxed);
    let _ = watching.join();
    let count = |outcome: &str| outcomes.iter().filter(|o| *o == outcome).count();
    case.record.say(&format!(
        "crowd of {CROWD}: {} read nothing of the download, {} read it whole",
        count("unread"),
        count("whole")
    ));
    let killed_at = watch.killed_at.lock().unwrap().clone();
    let is_lost = |s: &&crate::load::Sent| {
        s.is_kept && s.outcome == Outcome::Closed && servers.iter().any(|server| server.run_of(&s.id).is_some())
    };
    let lost: Vec<_> = sent.iter().filter(is_lost).collect();
    for s in &lost {
        let by_kill = killed_at.iter().any(|at| s.at < *at && *at < s.ended + Duration::from_secs(1));
        case.record.line(&format!("lost: {} {} after {:?}; by the kill: {by_kill}", s.id, s.path, s.ended - s.at));
    }
    case.record.say(&format!(
        "memory: {} MB at most, limit {MEMORY_MB} MB; killed {} times; of {} requests of ordinary callers {} on kept connections were passed on to a sound server and cut (allowed: {ALLOWED_LOST})",
        watch.peak_mb.load(Ordering::Relaxed),
        killed_at.len(),
        sent.len(),
        lost.len()
    ));
    Ok(if !killed_at.is_empty() && lost.len() > ALLOWED_LOST { Verdict::Broken } else { Verdict::Held })
}

/// Some callers of the crowd; returns how far each came.
fn crowd_callers(door: SocketAddrV4, is_slow: bool, record: &Record) -> Vec<String> {
    let mut unread = Vec::new();
    let mut outcomes = Vec::new();
    for _ in 0..CROWD / THREADS {
        let next_at = Instant::now() + CALLER_INTERVAL;
        let outcome = match crowd_caller(door, is_slow, record) {
            Ok(Some(stream)) => {
                unread.push(stream);
                "unread".to_owned()
            }
            Ok(None) => "whole".to_owned(),
            Err(e) => e.to_string(),
        };
        outcomes.push(outcome);
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    thread::sleep(UNREAD);
    outcomes
}

/// One caller of the crowd. If it is slow, returns its connection, on which an answer is unread.
fn crowd_caller(door: SocketAddrV4, is_slow: bool, record: &Record) -> io::Result<Option<TcpStream>> {
    let mut stream = if is_slow { http::connect_narrow(door, NARROW_BYTES)? } else { TcpStream::connect(door)? };
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut reader = BufReader::with_capacity(512, stream.try_clone()?);
    stream.write_all((fleet::request("GET", "/peek/2f?work=20", &new_id(), 8_000) + "\r\n").as_bytes())?;
    http::read_answer(&mut reader)?;
    let id = new_id();
    record.line(&format!("crowd {id} GET {DOWNLOAD}"));
    stream.write_all((fleet::request("GET", DOWNLOAD, &id, 8_000) + "\r\n").as_bytes())?;
    if is_slow {
        return Ok(Some(stream));
    }
    let answer = http::read_answer(&mut reader)?;
    record.line(&format!("crowd {id}: {}, {} bytes", answer.status(), answer.body.len()));
    if answer.status() == 200 && answer.is_whole { Ok(None) } else { Err(io::Error::other("not served")) }
}
