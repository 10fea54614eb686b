//! Case: a crowd that reads nothing of its answers takes all connections of a daemon.

use std::collections::VecDeque;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{self, CONTACT, Case, Machine, OUTBOUND_PORT, Record, new_id};
use crate::http;
use crate::server::Server;

/// Callers of the crowd.
const CROWD: usize = 1_050;
/// Threads that play the crowd, each some of the callers.
const THREADS: usize = 50;
/// Time for which a caller of the crowd keeps its connection.
const KEEP: Duration = Duration::from_secs(11);
/// What each asks for.
const DOWNLOAD: &str = "/label/2f?work=150&bytes=120000";
/// New callers that try at the same time; the rule counts from seven.
const NEW_CALLERS: usize = 10;
/// Receive buffer of a caller of the crowd, in bytes.
const NARROW_BYTES: i32 = 4_096;

pub fn room(dir: &Path) -> io::Result<Verdict> {
    let case = Case::new(dir)?;
    case.store.put("op", "config", &fleet::config(7));
    let places = [("paraiso", "meseta"), ("barva", "meseta"), ("canas", "guanacaste"), ("santa-cruz", "guanacaste")];
    let mut machines = vec![Machine::new(&case.net, 10, places[0], "sacristia", &case.temp)?];
    for n in 0..8 {
        machines.push(Machine::new(&case.net, 11 + n, places[usize::from(n) % 4], "bodega-docs", &case.temp)?);
    }
    case.start_all(&machines)?;
    let mut servers = Vec::new();
    for (n, machine) in machines.iter().enumerate() {
        servers.push(Server::start(machine, &format!("i-{n:08x}"), 5, &case.record)?);
    }
    thread::sleep(Duration::from_secs(4));
    let door = machines[0].addr(OUTBOUND_PORT);
    let is_over = Arc::new(AtomicBool::new(false));
    let tried: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let mut tasks = Vec::new();
    for _ in 0..NEW_CALLERS {
        let (tried, is_over, record) = (Arc::clone(&tried), Arc::clone(&is_over), Arc::clone(&case.record));
        tasks.push(thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let id = new_id();
                let head = fleet::request("GET", "/peek/2f?work=50", &id, 4_000) + "Connection: close\r\n\r\n";
                let rep = http::call(door.into(), head.as_bytes(), Duration::from_secs(5));
                let outcome = rep.as_ref().map_or_else(|e| e.to_string(), |rep| rep.status().to_string());
                record.line(&format!("new caller {id}: {outcome}"));
                // Any answer shows that the connection was taken.
                tried.lock().unwrap().push((Instant::now(), rep.is_ok()));
                thread::sleep(Duration::from_millis(150));
            }
        }));
    }
    let crowd_over = Arc::clone(&is_over);
    if case.has_trouble {
        for _ in 0..THREADS {
            let (is_over, record) = (Arc::clone(&crowd_over), Arc::clone(&case.record));
            tasks.push(thread::spawn(move || {
                let mut open: VecDeque<(Instant, TcpStream)> = VecDeque::new();
                while !is_over.load(Ordering::Relaxed) {
                    open.retain(|(at, _)| at.elapsed() < KEEP);
                    if open.len() < CROWD / THREADS {
                        open.extend(crowd_caller(door, &record).map(|stream| (Instant::now(), stream)));
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            }));
        }
    }
    let mut not_ready = 0;
    for _ in 0..20 {
        thread::sleep(Duration::from_secs(1));
        let is_ready = machines[0].is_ready();
        not_ready += usize::from(!is_ready);
        case.record.line(&format!("ready: {is_ready}; memory {:.0} MB", machines[0].memory_mb()));
    }
    is_over.store(true, Ordering::Relaxed);
    for task in tasks {
        let _ = task.join();
    }
    let mut tried = tried.lock().unwrap().clone();
    tried.sort();
    let taken: Vec<Instant> = tried.iter().filter(|(_, is_taken)| *is_taken).map(|(at, _)| *at).collect();
    let gap = taken.windows(2).map(|w| w[1] - w[0]).max().unwrap_or_default();
    let last = tried.last().zip(taken.last()).map_or(Duration::ZERO, |((end, _), last)| *end - *last);
    let gap = gap.max(last);
    case.record.say(&format!(
        "new callers: {} tries, {} taken; longest time without any taken: {gap:?} (allowed {CONTACT:?}); not ready in {not_ready} of 20 checks",
        tried.len(),
        taken.len()
    ));
    Ok(if gap > CONTACT && not_ready == 0 { Verdict::Broken } else { Verdict::Held })
}

/// Reads one small answer and asks for a larger one, of which nothing is read.
fn crowd_caller(door: SocketAddrV4, record: &Record) -> io::Result<TcpStream> {
    let mut stream = http::connect_narrow(door, NARROW_BYTES)?;
    stream.set_read_timeout(Some(Duration::from_secs(9)))?;
    let mut reader = BufReader::with_capacity(512, stream.try_clone()?);
    stream.write_all((fleet::request("GET", "/peek/2f?work=20", &new_id(), 8_000) + "\r\n").as_bytes())?;
    http::read_answer(&mut reader)?;
    let id = new_id();
    record.line(&format!("crowd {id} GET {DOWNLOAD}"));
    stream.write_all((fleet::request("GET", DOWNLOAD, &id, 8_000) + "\r\n").as_bytes())?;
    Ok(stream)
}
