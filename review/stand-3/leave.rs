//! Case: a server's leaving is acknowledged while the store is down, and the daemon is killed before the store holds it.

use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{self, CONTACT, Case, DRAIN, Machine, OUTBOUND_PORT};
use crate::load::{Load, Sent};
use crate::server::Server;
use crate::store::Mode;

/// Time for which the store is down; the largest dose of `platform_down` in the site file is 4.5 s.
const STORE_DOWN: Duration = Duration::from_millis(4_500);
/// Time for which the server goes on serving after its leaving was acknowledged.
const SERVES_ON: Duration = Duration::from_secs(14);

pub fn leave(dir: &Path) -> io::Result<Verdict> {
    let case = Case::new(dir)?;
    let per_zone: u8 = std::env::var("PER_ZONE").map_or(1, |v| v.parse().unwrap_or(1));
    case.store.put("op", "config", &fleet::config(7));
    let places = [("paraiso", "meseta"), ("barva", "meseta"), ("canas", "guanacaste"), ("santa-cruz", "guanacaste")];
    let mut machines = Vec::new();
    for (zone, place) in places.into_iter().enumerate() {
        for n in 0..per_zone {
            machines.push(Machine::new(&case.net, 10 + zone as u8 * 10 + n, place, "sacristia", &case.temp)?);
        }
    }
    case.start_all(&machines)?;
    let mut servers = Vec::new();
    for (n, machine) in machines.iter().enumerate() {
        servers.push(Server::start(machine, &format!("i-{n:08x}"), 5, &case.record)?);
    }
    thread::sleep(Duration::from_secs(5));
    let mut load = Load::new();
    for machine in &machines {
        load.add(3, machine.addr(OUTBOUND_PORT), "POST", "/order/2f?work=200", 5_000, &case.record);
    }
    thread::sleep(Duration::from_secs(2));

    let leaving = &servers[0];
    leaving.stop_beats();
    let late_beat = leaving.next_beat("ready");
    if case.has_trouble {
        case.record.line("the store is down");
        case.store.set_mode(Mode::Silent);
    }
    let down_at = Instant::now();
    thread::sleep(Duration::from_millis(300));
    let status = leaving.delete();
    let acked_at = Instant::now();
    case.record.say(&format!("DELETE of {}: {status}", leaving.id));
    if status != 200 {
        return Err(io::Error::other("the leaving was not acknowledged"));
    }
    thread::sleep(Duration::from_millis(500));
    if case.has_trouble {
        for machine in &machines[..usize::from(per_zone)] {
            case.record.line(&format!("SIGKILL {}", machine.name));
            machine.kill();
        }
        thread::sleep(Duration::from_millis(500));
        for machine in &machines[..usize::from(per_zone)] {
            machine.start()?;
        }
        thread::sleep(STORE_DOWN.saturating_sub(down_at.elapsed()));
        case.store.set_mode(Mode::Sound);
        case.record.line("the store is back");
    } else {
        thread::sleep(STORE_DOWN.saturating_sub(down_at.elapsed()));
    }
    let stable_at = Instant::now() + CONTACT;
    // A heartbeat that the server sent before it left, seconds late.
    thread::sleep(Duration::from_millis(700));
    case.record.line(&format!("late heartbeat: {}", leaving.send(&late_beat)));
    thread::sleep(SERVES_ON.saturating_sub(acked_at.elapsed()));
    let sent = load.finish();
    let runs = leaving.runs.lock().unwrap().clone();
    let late: Vec<_> = runs.iter().filter(|run| run.began > acked_at + DRAIN).collect();
    let in_touch = late.iter().filter(|run| sent.iter().any(|s| s.id == run.id && s.at >= stable_at)).count();
    case.record.say(&format!(
        "{} requests reached {} later than {DRAIN:?} after its leaving was acknowledged, the last after {:?}; {in_touch} of them were sent when all machines were in touch again",
        late.len(), leaving.id, late.last().map(|run| run.began - acked_at),
    ));
    Ok(if in_touch > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_millis(3_000);
/// Time for which the store is away before that.
const AWAY: Duration = Duration::from_millis(300);

/// A server's leaving is acknowledged and stored. Then the store comes back from an older copy, and the daemon that has
/// acknowledged is killed while the store is away.
pub fn taken_back(dir: &Path) -> io::Result<Verdict> {
    let case = Case::new(dir)?;
    case.store.put("op", "config", &fleet::config(7));
    let places = [("paraiso", "meseta"), ("barva", "meseta"), ("canas", "guanacaste"), ("santa-cruz", "guanacaste")];
    let mut machines = Vec::new();
    for (n, place) in places.into_iter().enumerate() {
        machines.push(Machine::new(&case.net, 10 + n as u8, place, "sacristia", &case.temp)?);
    }
    case.start_all(&machines)?;
    let mut servers = Vec::new();
    for (n, machine) in machines.iter().enumerate() {
        servers.push(Server::start(machine, &format!("i-{n:08x}"), 5, &case.record)?);
    }
    thread::sleep(Duration::from_secs(5));
    let mut load = Load::new();
    for machine in &machines {
        load.add(3, machine.addr(OUTBOUND_PORT), "POST", "/order/2f?work=200", 5_000, &case.record);
    }
    thread::sleep(Duration::from_secs(2));

    case.store.make_copy();
    let copied_at = Instant::now();
    thread::sleep(Duration::from_millis(500));
    let leaving = Arc::clone(&servers[0]);
    leaving.stop_beats();
    let late_beat = leaving.next_beat("ready");
    let asked_at = Instant::now();
    let status = leaving.delete();
    let acked_at = Instant::now();
    case.record.say(&format!("DELETE of {}: {status} after {:?}", leaving.id, acked_at - asked_at));
    if status != 200 {
        return Err(io::Error::other("the leaving was not acknowledged"));
    }
    case.record.say(&format!("rows that the daemons wrote for it: {:?}", case.store.written_since(asked_at)));
    thread::sleep(COPY_AGE.saturating_sub(copied_at.elapsed()));
    if case.has_trouble {
        case.record.line(&format!("the store is away; SIGKILL {}", machines[0].name));
        case.store.set_mode(Mode::Busy);
        machines[0].kill();
        thread::sleep(AWAY);
        case.store.restore();
        case.store.set_mode(Mode::Sound);
        case.record.line("the store is back from its copy");
        thread::sleep(Duration::from_millis(200));
        machines[0].start()?;
    } else {
        thread::sleep(AWAY);
    }
    let stable_at = Instant::now() + CONTACT;
    thread::sleep(Duration::from_millis(1_500));
    case.record.line(&format!("late heartbeat: {}", leaving.send(&late_beat)));
    thread::sleep(SERVES_ON.saturating_sub(acked_at.elapsed()));
    let sent = load.finish();
    let runs = leaving.runs.lock().unwrap().clone();
    let late: Vec<_> = runs.iter().filter(|run| run.began > acked_at + DRAIN).collect();
    let in_touch = late.iter().filter(|run| sent.iter().any(|s| s.id == run.id && s.at >= stable_at)).count();
    case.record.say(&format!(
        "{} requests reached {} later than {DRAIN:?} after its leaving was acknowledged, the last after {:?}; {in_touch} of them were sent when all machines were in touch again",
        late.len(), leaving.id, late.last().map(|run| run.began - acked_at),
    ));
    Ok(if in_touch > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Time for which the store turns the machine away; the site file has 9 s.
const TURNED_AWAY: Duration = Duration::from_secs(9);

/// A server's leaving is acknowledged and stored. Then a machine is added to the zone, and the daemon that has
/// acknowledged is killed while the store turns it away.
pub fn forgot(dir: &Path) -> io::Result<Verdict> {
    let case = Case::new(dir)?;
    case.store.put("op", "config", &fleet::config(7));
    let (paraiso, barva) = (("paraiso", "meseta"), ("barva", "meseta"));
    let machines = [
        Machine::with_store(&case.net, 10, paraiso, "sacristia", &case.temp, case.net.second_store())?,
        Machine::new(&case.net, 11, paraiso, "sacristia", &case.temp)?,
        Machine::new(&case.net, 20, barva, "sacristia", &case.temp)?,
        Machine::new(&case.net, 21, barva, "sacristia", &case.temp)?,
    ];
    // The second machine is added later.
    let first = [Arc::clone(&machines[0]), Arc::clone(&machines[2]), Arc::clone(&machines[3])];
    case.start_all(&first)?;
    let mut servers = Vec::new();
    for (n, machine) in first.iter().enumerate() {
        servers.push(Server::start(machine, &format!("i-{n:08x}"), 5, &case.record)?);
    }
    thread::sleep(Duration::from_secs(5));
    let mut load = Load::new();
    for machine in &first {
        load.add(3, machine.addr(OUTBOUND_PORT), "POST", "/order/2f?work=200", 5_000, &case.record);
        load.add(1, machine.addr(OUTBOUND_PORT), "POST", "/open/2f?work=200", 5_000, &case.record);
    }
    thread::sleep(Duration::from_secs(2));

    let leaving = Arc::clone(&servers[0]);
    leaving.stop_beats();
    let late_beat = leaving.next_beat("ready");
    let asked_at = Instant::now();
    let status = leaving.delete();
    let acked_at = Instant::now();
    case.record.say(&format!("DELETE of {}: {status} after {:?}", leaving.id, acked_at - asked_at));
    if status != 200 {
        return Err(io::Error::other("the leaving was not acknowledged"));
    }
    case.record.say(&format!("rows that the daemons wrote for it: {:?}", case.store.written_since(asked_at)));
    machines[1].start_later()?;
    servers.push(Server::start(&machines[1], "i-00000003", 5, &case.record)?);
    thread::sleep(Duration::from_millis(1_500));
    if case.has_trouble {
        case.record.line(&format!("the store turns {0} away; SIGKILL {0}", machines[0].name));
        case.store.set_second_mode(Mode::Busy);
        machines[0].kill();
        thread::sleep(Duration::from_millis(500));
        machines[0].start()?;
    }
    let restarted_at = Instant::now();
    thread::sleep(Duration::from_millis(1_500));
    case.record.line(&format!("late heartbeat: {}", leaving.send(&late_beat)));
    thread::sleep(TURNED_AWAY.saturating_sub(restarted_at.elapsed()));
    case.store.set_second_mode(Mode::Sound);
    thread::sleep(SERVES_ON.saturating_sub(acked_at.elapsed()));
    let sent = load.finish();
    let runs = leaving.runs.lock().unwrap().clone();
    let late: Vec<_> = runs.iter().filter(|run| run.began > acked_at + DRAIN).collect();
    let stable_at = restarted_at + CONTACT;
    // Taken by the machine that had acknowledged, which is bound while the store is in disruption, or by machines that
    // had no disruption at all.
    let count_from = |doors: &[SocketAddrV4]| {
        let counts = |s: &&Sent| doors.contains(&s.door) && s.at >= stable_at;
        late.iter().filter(|run| sent.iter().filter(counts).any(|s| s.id == run.id)).count()
    };
    let by_own = count_from(&[machines[0].addr(OUTBOUND_PORT)]);
    let by_others = count_from(&[machines[2].addr(OUTBOUND_PORT), machines[3].addr(OUTBOUND_PORT)]);
    case.record.say(&format!(
        "{} requests reached {} later than {DRAIN:?} after its leaving was acknowledged, the last after {:?}; sent later than {CONTACT:?} after the restart of {}: {by_own} of its own callers, {by_others} of callers of machines without any disruption",
        late.len(), leaving.id, late.last().map(|run| run.began - acked_at), machines[0].name,
    ));
    Ok(if by_own + by_others > 0 { Verdict::Broken } else { Verdict::Held })
}
