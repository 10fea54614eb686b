//! Case: a departure that was acknowledged during an outage of the store is forgotten with the processes of its data centre.

use std::thread;
use std::time::{Duration, Instant};

use crate::cases::{self, Attempts};
use crate::crowd::LIMITS;
use crate::http;
use crate::world::{BROKEN, HELD, NOT_RUN, World, config, has_trouble};

/// `drainMs` and `contactMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_500);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Outage of the store.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// From the start of the outage: departure of the server, end of the processes of its data centre, their next start.
const DEPARTURE: Duration = Duration::from_millis(1_000);
const KILL: Duration = Duration::from_millis(2_000);
const RESTART: Duration = Duration::from_millis(3_000);
/// Time by which a heartbeat that was sent before the departure arrives late.
const LATE: Duration = Duration::from_millis(4_800);
/// Time past `contactMs` after all disruption in which requests are counted.
const COUNTED: Duration = Duration::from_millis(4_000);

pub fn run(record: &str) {
    let mut world = World::new(record, &config(1, 10_000, LIMITS));
    cases::add_instances(&mut world, &["paraiso", "paraiso", "barva", "barva"], Duration::from_millis(100));
    world.start();
    let began = Instant::now();
    let at = |since: Duration| thread::sleep((began + since).saturating_duration_since(Instant::now()));
    if has_trouble() {
        world.record.add("store is down: 503 to all calls");
        world.store.set_down(true);
    }
    at(DEPARTURE);
    let leaving = world.servers[0].clone();
    let heartbeats = world.daemons[0].heartbeats();
    let late = leaving.next_heartbeat();
    let is_acknowledged = leaving.deregister(heartbeats);
    let acknowledged_at = Instant::now();
    world.record.add(&format!(
        "server {} says that it is gone (DELETE) and serves on; acknowledged: {is_acknowledged}",
        leaving.id
    ));
    if !is_acknowledged {
        world.end(NOT_RUN);
    }
    if has_trouble() {
        at(KILL);
        world.record.add("both daemons of paraiso are killed");
        world.daemons[0].kill();
        world.daemons[1].kill();
        at(RESTART);
        world.record.add("both daemons of paraiso are started again");
        world.daemons[0].start();
        world.daemons[1].start();
        at(OUTAGE);
        world.record.add("store serves again");
        world.store.set_down(false);
    }
    at(DEPARTURE + LATE);
    let status = http::call(heartbeats, &late, Duration::from_secs(1)).map_or(0, |a| a.status());
    world
        .record
        .add(&format!("a heartbeat of {} from before its DELETE arrives late: status {status}", leaving.id));
    // All machines are in touch again `contactMs` after the store has come back, the later of the two disruptions.
    at((OUTAGE + CONTACT).max(DEPARTURE + LATE));
    let from = Instant::now();
    let (attempts, until) = (Attempts::default(), from + COUNTED);
    let order = ("POST", "/order/1", b"one crate".as_slice());
    let clients: Vec<_> = world.daemons[1..]
        .iter()
        .map(|daemon| {
            let pace = (Duration::from_millis(20), until);
            let name = format!("order-{}", daemon.ip);
            cases::start_client(&name, daemon.callers(), &world.record, order, pace, &attempts)
        })
        .collect();
    for client in clients {
        client.join().expect("no panic");
    }
    cases::count_runs(&world);
    let is_late = |at: Instant| at > from && at > acknowledged_at + DRAIN;
    let late_runs = world
        .runs
        .lock()
        .expect("no panic")
        .iter()
        .filter(|r| r.server == leaving.id && is_late(r.at))
        .count();
    let served = attempts.lock().expect("no panic").iter().filter(|a| a.status == 200).count();
    println!(
        "{late_runs} orders reached the server {:.1} s and more after its leaving was acknowledged; {served} served; late heartbeat: status {status}",
        (from - acknowledged_at).as_secs_f64()
    );
    if served == 0 {
        world.end(NOT_RUN);
    }
    world.end(if late_runs > 0 { BROKEN } else { HELD });
}
