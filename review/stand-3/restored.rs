//! Case: the store comes back from a copy that lacks a withdrawal of a key, while daemons are killed and start again.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{self, Case, HOST, KEY, Machine, OUTBOUND_PORT, SECOND_KEY, new_id};
use crate::http;
use crate::server::Server;
use crate::store::Mode;

/// `revokeMs` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_millis(4_500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(300);
/// Time from the restore until the operator has written its configuration again.
const REWRITE_AFTER: Duration = Duration::from_secs(3);
/// Callers of each daemon that use the withdrawn key.
const CALLERS: usize = 2;
/// Delays after which the three killed daemons are started again.
const RESTART_DELAYS: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_millis(800), Duration::from_millis(1_300)];

/// A request with the withdrawn key.
struct Sent {
    id: String,
    at: Instant,
    status: u16,
}

pub fn restored(dir: &Path) -> io::Result<Verdict> {
    let case = Case::new(dir)?;
    case.store.put("op", "config", &fleet::config_with_keys(7, &[KEY, SECOND_KEY]));
    let machines = [
        Machine::new(&case.net, 10, ("paraiso", "meseta"), "sacristia", &case.temp)?,
        Machine::new(&case.net, 20, ("barva", "meseta"), "sacristia", &case.temp)?,
        Machine::new(&case.net, 30, ("canas", "guanacaste"), "sacristia", &case.temp)?,
        Machine::new(&case.net, 40, ("santa-cruz", "guanacaste"), "sacristia", &case.temp)?,
    ];
    case.start_all(&machines)?;
    let mut servers = Vec::new();
    for (n, machine) in machines.iter().enumerate() {
        servers.push(Server::start(machine, &format!("i-{n:08x}"), 5, &case.record)?);
    }
    thread::sleep(Duration::from_secs(5));
    let (sent, is_over): (Arc<Mutex<Vec<Sent>>>, Arc<AtomicBool>) = Default::default();
    let mut callers = Vec::new();
    for machine in machines.iter().flat_map(|m| [m; CALLERS]) {
        let door = machine.addr(OUTBOUND_PORT);
        let (sent, is_over, record) = (Arc::clone(&sent), Arc::clone(&is_over), Arc::clone(&case.record));
        callers.push(thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let (id, at) = (new_id(), Instant::now());
                let head = format!(
                    "POST /order/2f?work=50 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\n\
                     Api-Key: {SECOND_KEY}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                );
                let status = http::call(door.into(), head.as_bytes(), Duration::from_secs(6)).map_or(0, |rep| rep.status());
                record.line(&format!("caller {id} with the second key -> {status}"));
                sent.lock().unwrap().push(Sent { id, at, status });
                thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    thread::sleep(Duration::from_secs(1));

    case.store.make_copy();
    let copied_at = Instant::now();
    let without = fleet::config_with_keys(8, &[KEY]);
    case.store.put("op", "config", &without);
    let acked_at = Instant::now();
    case.record.line("the store has acknowledged r8, without the second key");
    thread::sleep(COPY_AGE.saturating_sub(copied_at.elapsed()));
    if case.has_trouble {
        case.record.line("the store is away; SIGKILL of three daemons");
        case.store.set_mode(Mode::Busy);
        let killed_at = Instant::now();
        for machine in &machines[..3] {
            machine.kill();
        }
        thread::sleep(AWAY);
        case.store.restore();
        case.store.set_mode(Mode::Sound);
        case.record.line("the store is back from its copy");
        for (machine, delay) in machines.iter().zip(RESTART_DELAYS) {
            thread::sleep(delay.saturating_sub(killed_at.elapsed()));
            machine.start()?;
            case.record.line(&format!("{} starts", machine.name));
        }
    } else {
        thread::sleep(AWAY + RESTART_DELAYS[2]);
    }
    thread::sleep(REWRITE_AFTER.saturating_sub(RESTART_DELAYS[2]));
    case.store.put("op", "config", &without);
    case.record.line("the operator has written r8 again");
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let sent = sent.lock().unwrap();
    let has_run = |s: &&Sent| servers.iter().any(|server| server.run_of(&s.id).is_some());
    let late: Vec<&Sent> = sent.iter().filter(|s| s.at > acked_at + REVOKE).filter(has_run).collect();
    for s in &late {
        case.record.line(&format!("{} ran, sent {:?} after the acknowledgement: {}", s.id, s.at - acked_at, s.status));
    }
    let before = sent.iter().filter(|s| s.at < acked_at && s.status == 200).count();
    case.record.say(&format!(
        "requests with the second key: {} of {} ran that were sent later than {REVOKE:?} after r8 was acknowledged; {before} were served before",
        late.len(),
        sent.iter().filter(|s| s.at > acked_at + REVOKE).count(),
    ));
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
