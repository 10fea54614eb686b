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
const CALLERS: usize = 8;
/// Time for which they read nothing; their deadline is 8 s.
const PAUSE: Duration = Duration::from_millis(4_500);
/// Receive buffer of such a caller, in bytes.
const NARROW_BYTES: i32 = 4_096;
/// Lengths of the crowd's uploads, all within `maxBodyBytes`. All but the last byte is sent.
const UPLOADS: [usize; 9] =
    [60_000_000, 60_000_000, 30_000_000, 500_000, 400_000, 300_000, 300_000, 300_000, 300_000];
/// Outcome of a request whose connection was closed without an answer.
const NO_ANSWER: &str = "closed without an answer";
/// More lost requests than this break the rule.
const ALLOWED_LOST: usize = 3;

pub fn paused(dir: &Path) -> io::Result<Verdict> {
    let case = Case::new(dir)?;
    case.store.put("op", "config", &fleet::config(7));
    let place = ("paraiso", "meseta");
    let mut machines = vec![Machine::new(&case.net, 10, place, "sacristia", &case.temp)?];
    for n in 0..3 {
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
    thread::sleep(Duration::from_millis(1_200));
    let mut crowd = Vec::new();
    if case.has_trouble {
        case.record.line("the crowd begins its uploads");
        for bytes in UPLOADS {
            let record = Arc::clone(&case.record);
            crowd.push(thread::spawn(move || upload(door, bytes, &record)));
            thread::sleep(Duration::from_millis(100));
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

/// Sends three requests at once, reads the first answer, pauses, and reads on. Returns the id of the third request and
/// what became of it.
fn paused_caller(door: SocketAddrV4, record: &Record) -> (String, String) {
    let (first, second, third) = (new_id(), new_id(), new_id());
    let run = || -> io::Result<String> {
        let mut stream = http::connect_narrow(door, NARROW_BYTES)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let mut reader = BufReader::with_capacity(512, stream.try_clone()?);
        let ahead = fleet::request("GET", "/ledger/2f?work=50", &first, 4_000)
            + "\r\n"
            + &fleet::request("GET", "/label/2f?work=250&bytes=500000", &second, 8_000)
            + "\r\n"
            + &fleet::request("GET", "/label/2f?work=130&bytes=2000", &third, 8_000)
            + "\r\n";
        stream.write_all(ahead.as_bytes())?;
        let answer = http::read_answer(&mut reader)?;
        record.line(&format!("request {first}: {} whole: {}", answer.status(), answer.is_whole));
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
