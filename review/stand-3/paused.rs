//! Case: callers with requests sent ahead pause in reading, while a crowd's uploads take the memory for bodies.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{self, Case, Machine, OUTBOUND_PORT, Record, new_id};
use crate::http;
use crate::load::Load;
use crate::server::Server;

/// Callers that pause.
const CALLERS: usize = 12;
/// Requests of each that are answered on the connection before.
const LOOK_UPS: usize = 10;
/// One of them, and half of the time for which it runs.
const LOOK_UP: &str = "/ledger/2f?work=130";
const HALF_RUN: Duration = Duration::from_millis(65);
/// Time for which they read nothing; their deadline is 8 s.
const PAUSE: Duration = Duration::from_millis(4_500);
/// Receive buffer of such a caller, in bytes.
const NARROW_BYTES: i32 = 4_096;
/// Lengths of the crowd's uploads, all within `maxBodyBytes`. All but the last byte is sent.
const UPLOADS: [usize; 12] = [
    60_000_000, 60_000_000, 25_000_000, 2_000_000, 1_000_000, 500_000, 400_000, 300_000, 300_000, 200_000, 200_000, 200_000,
];
/// Outcome of a request whose connection was closed without an answer.
const NO_ANSWER: &str = "closed without an answer";
/// More lost requests than this break the rule.
const ALLOWED_LOST: usize = 3;

pub fn paused(dir: &Path) -> io::Result<Verdict> {
    let case = Case::new(dir)?;
    case.store.put("op", "config", &fleet::config(7));
    let place = ("paraiso", "meseta");
    let mut machines = vec![Machine::new(&case.net, 10, place, "sacristia", &case.temp)?];
    for n in 0..6 {
        machines.push(Machine::new(&case.net, 20 + n, place, "bodega-docs", &case.temp)?);
    }
    case.start_all(&machines)?;
    let mut servers = Vec::new();
    for (n, machine) in machines.iter().enumerate() {
        servers.push(Server::start(machine, &format!("i-{n:08x}"), 5, &case.record)?);
    }
    thread::sleep(Duration::from_secs(5));
    let door = machines[0].addr(OUTBOUND_PORT);
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let record = Arc::clone(&case.record);
        callers.push(thread::spawn(move || paused_caller(door, &record)));
    }
    thread::sleep(Duration::from_millis(2_500));
    let mut crowd = Vec::new();
    if case.has_trouble {
        case.record.line("the crowd begins its uploads");
        for bytes in UPLOADS {
            let record = Arc::clone(&case.record);
            crowd.push(thread::spawn(move || upload(door, bytes, &record)));
            thread::sleep(Duration::from_millis(60));
        }
    }
    // Ordinary callers ask for downloads meanwhile.
    let mut load = Load::new();
    load.add(4, door, "GET", "/label/2f?work=250&bytes=500000", 8_000, &case.record);
    let mut lost = 0;
    for caller in callers {
        let Ok((id, outcome)) = caller.join() else { continue };
        let has_run = servers.iter().any(|server| server.run_of(&id).is_some());
        case.record.line(&format!("request {id}: {outcome}; passed on to a server: {has_run}"));
        lost += usize::from(outcome == NO_ANSWER && has_run);
    }
    let sent = load.finish();
    case.record.say(&format!(
        "{lost} of {CALLERS} requests on kept connections were passed on to a sound server, and the connection closed without an answer (allowed: {ALLOWED_LOST}); memory of {}: {:.0} MB; {} downloads of other callers",
        machines[0].name,
        machines[0].memory_mb(),
        sent.len()
    ));
    drop(crowd);
    Ok(if lost > ALLOWED_LOST { Verdict::Broken } else { Verdict::Held })
}

/// Sends requests ahead on one connection, so that one is always unanswered: first some look-ups, then a download and one
/// more short one. Reads all answers before the download's, pauses, and reads on. Returns the id of the last request and
/// what became of it.
fn paused_caller(door: SocketAddrV4, record: &Record) -> (String, String) {
    let (second, third) = (new_id(), new_id());
    let run = || -> io::Result<String> {
        let mut stream = http::connect_narrow(door, NARROW_BYTES)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let mut reader = BufReader::with_capacity(512, stream.try_clone()?);
        let send = |stream: &mut TcpStream, path: &str, id: &str, deadline_ms: u64| {
            stream.write_all((fleet::request("GET", path, id, deadline_ms) + "\r\n").as_bytes())
        };
        send(&mut stream, LOOK_UP, &new_id(), 4_000)?;
        thread::sleep(HALF_RUN);
        send(&mut stream, LOOK_UP, &new_id(), 4_000)?;
        for n in 1..=LOOK_UPS {
            let answer = http::read_answer(&mut reader)?;
            record.line(&format!("look-up {n} before {second}: {} whole: {}", answer.status(), answer.is_whole));
            // One more request is unanswered at this moment, but for the last look-up.
            if n + 2 <= LOOK_UPS {
                send(&mut stream, LOOK_UP, &new_id(), 4_000)?;
            } else if n + 1 == LOOK_UPS {
                send(&mut stream, "/label/2f?work=250&bytes=500000", &second, 8_000)?;
                send(&mut stream, "/label/2f?work=130&bytes=2000", &third, 8_000)?;
            }
        }
        thread::sleep(PAUSE);
        record.line(&format!("the caller of {second} and {third} reads on"));
        let rest = http::read_answer(&mut reader).and_then(|answer| {
            record.line(&format!("request {second}: {} whole: {}", answer.status(), answer.is_whole));
            http::read_answer(&mut reader)
        });
        match rest {
            Ok(answer) => Ok(format!("answered {} whole: {}", answer.status(), answer.is_whole)),
            Err(e) if matches!(e.kind(), io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset) => {
                Ok(NO_ANSWER.into())
            }
            Err(e) => Err(e),
        }
    };
    let outcome = run().unwrap_or_else(|e| format!("not served: {e}"));
    (third, outcome)
}

/// Sends all of a body but its last byte, and stays.
fn upload(door: SocketAddrV4, bytes: usize, record: &Record) -> io::Result<()> {
    let id = new_id();
    let mut stream = TcpStream::connect(door)?;
    let head = fleet::request("POST", "/order/2f?work=20", &id, 5_000) + &format!("Content-Length: {bytes}\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    let chunk = vec![b'u'; 1_000_000];
    let mut left = bytes - 1;
    while left > 0 {
        let len = left.min(chunk.len());
        stream.write_all(&chunk[..len])?;
        left -= len;
    }
    record.line(&format!("crowd {id}: {} of {bytes} bytes sent", bytes - 1));
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut rest = String::new();
    let _ = stream.read_to_string(&mut rest);
    record.line(&format!("crowd {id}: {:?}", rest.lines().next()));
    Ok(())
}

/// Callers send a look-up behind a download that a faulty server breaks off, while a crowd's uploads take the memory.
pub fn streamed(dir: &Path) -> io::Result<Verdict> {
    let case = Case::new(dir)?;
    case.store.put("op", "config", &fleet::config(7));
    let place = ("paraiso", "meseta");
    let mut machines = Vec::new();
    for n in 0..3 {
        machines.push(Machine::new(&case.net, 10 + n, place, "sacristia", &case.temp)?);
        machines.push(Machine::new(&case.net, 20 + n, place, "bodega-docs", &case.temp)?);
    }
    case.start_all(&machines)?;
    let mut servers = Vec::new();
    for (n, machine) in machines.iter().enumerate() {
        servers.push(Server::start(machine, &format!("i-{n:08x}"), 5, &case.record)?);
    }
    thread::sleep(Duration::from_secs(5));
    let door = machines[0].addr(OUTBOUND_PORT);
    let mut callers = Vec::new();
    for _ in 0..CALLERS / 2 {
        callers.push(thread::spawn(move || -> io::Result<(String, bool)> {
            let mut stream = TcpStream::connect(door)?;
            stream.set_read_timeout(Some(Duration::from_secs(8)))?;
            let mut reader = BufReader::new(stream.try_clone()?);
            stream.write_all((fleet::request("GET", "/peek/2f?work=50", &new_id(), 4_000) + "\r\n").as_bytes())?;
            http::read_answer(&mut reader)?;
            let behind = new_id();
            let ahead = fleet::request("GET", "/label/2f?work=1500&bytes=500000&cut=1", &new_id(), 8_000)
                + "\r\n"
                + &fleet::request("GET", "/peek/2f?work=50", &behind, 4_000)
                + "\r\n";
            stream.write_all(ahead.as_bytes())?;
            let answers = [http::read_answer(&mut reader), http::read_answer(&mut reader)];
            Ok((behind, answers.iter().all(Result::is_ok)))
        }));
    }
    thread::sleep(Duration::from_millis(400));
    let mut crowd = Vec::new();
    if case.has_trouble {
        for bytes in UPLOADS.into_iter().chain([3_000_000, 1_000_000, 400_000, 200_000]) {
            let record = Arc::clone(&case.record);
            crowd.push(thread::spawn(move || upload(door, bytes, &record)));
            thread::sleep(Duration::from_millis(60));
        }
    }
    let mut lost = 0;
    for caller in callers {
        let Ok(Ok((id, is_answered))) = caller.join() else { continue };
        let has_run = servers.iter().any(|server| server.run_of(&id).is_some());
        case.record.line(&format!("request {id}: answered: {is_answered}; passed on to a server: {has_run}"));
        lost += usize::from(!is_answered && has_run);
    }
    case.record.say(&format!(
        "{lost} of {} requests behind a download that breaks off were passed on to a sound server, and the connection closed without an answer (allowed: {ALLOWED_LOST})",
        CALLERS / 2
    ));
    drop(crowd);
    Ok(if lost > ALLOWED_LOST { Verdict::Broken } else { Verdict::Held })
}
