//! Case: single requests with many short fields, or with a large head, inside the limits of the configuration.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{self, Case, Machine, OUTBOUND_PORT, new_id};
use crate::http;
use crate::server::Server;

/// `maxHeaderBytes` of the configuration.
const MAX_HEAD_BYTES: usize = 16_384;
/// Requests of each kind.
const REQUESTS: usize = 15;

pub fn heads(dir: &Path) -> io::Result<Verdict> {
    let case = Case::new(dir)?;
    case.store.put("op", "config", &fleet::config(7));
    let place = ("paraiso", "meseta");
    let machines = [
        Machine::new(&case.net, 10, place, "bodega-docs", &case.temp)?,
        Machine::new(&case.net, 11, place, "sacristia", &case.temp)?,
    ];
    case.start_all(&machines)?;
    let mut servers = Vec::new();
    for (n, machine) in machines.iter().enumerate() {
        servers.push(Server::start(machine, &format!("i-{n:08x}"), 5, &case.record)?);
    }
    thread::sleep(Duration::from_secs(5));
    let door = machines[0].addr(OUTBOUND_PORT);
    let short_fields = |count: usize| (0..count).map(|n| format!("F{n}: v\r\n")).collect::<String>();
    let cookie = |bytes: usize| format!("Cookie: {}\r\n", "c".repeat(bytes));
    let kinds = if case.has_trouble {
        [("120 short fields", short_fields(120)), ("a cookie of 15,900 bytes", cookie(15_900))]
    } else {
        [("20 short fields", short_fields(20)), ("a cookie of 1,000 bytes", cookie(1_000))]
    };
    let (mut sent, mut denied) = (0, 0);
    for (kind, fields) in &kinds {
        let mut statuses = Vec::new();
        for _ in 0..REQUESTS {
            let id = new_id();
            let head = fleet::request("POST", "/order/2f?work=20", &id, 5_000) + fields + "Content-Length: 0\r\n\r\n";
            assert!(head.len() <= MAX_HEAD_BYTES, "the head is over the limit");
            // The client reads up to the end of the answer, so the connection is closed after it.
            let rep = http::call(door.into(), head.as_bytes(), Duration::from_secs(7));
            let (status, is_signed) =
                rep.map_or((0, false), |rep| (rep.status(), rep.header("server-signature").is_some()));
            let has_run = servers.iter().any(|server| server.run_of(&id).is_some());
            case.record.line(&format!(
                "{id} with {kind}, head of {} bytes: {status}, signed: {is_signed}, run: {has_run}",
                head.len()
            ));
            sent += 1;
            denied += usize::from((400..500).contains(&status) && !matches!(status, 408 | 421 | 429) && !is_signed);
            statuses.push(status);
            thread::sleep(Duration::from_millis(50));
        }
        case.record.say(&format!("one at a time, with {kind}: {statuses:?}"));
    }
    let allowed = 5 + sent / 500;
    case.record.say(&format!("{denied} of {sent} proper requests were ended with a 4xx of the daemon's own (allowed: {allowed})"));
    Ok(if denied > allowed { Verdict::Broken } else { Verdict::Held })
}
