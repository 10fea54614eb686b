//! Entry 24: a daemon that is restarted after a restore of the store takes the copy's configuration, in which a key is
//! valid that was taken away.

use std::thread;
use std::time::{Duration, Instant};

use crate::cases;
use crate::crowd::LIMITS;
use crate::http;
use crate::world::{BROKEN, HELD, HOST, KEY, NOT_RUN, World, config, config_with_keys, has_trouble};

const TAKEN_KEY: &str = "7qk2ww0dnn2ctnfzs4410";
/// `revokeMs` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
/// From the copy: the key is taken away, the store is restored, the daemon is killed and started again, and the operator
/// writes again.
const TAKEN: Duration = Duration::from_millis(300);
const RESTORE: Duration = Duration::from_millis(4_500);
const KILL: Duration = Duration::from_millis(5_000);
const WRITTEN_AGAIN: Duration = Duration::from_millis(9_500);
const END: Duration = Duration::from_millis(12_000);

pub fn run(record: &str) {
    let mut world = World::new(record, &config_with_keys(1, 10_000, LIMITS, &[KEY, TAKEN_KEY]));
    let zones: &[&str] = if std::env::var("NEIGHBOUR").is_ok() {
        &["paraiso", "barva", "paraiso"]
    } else {
        &["paraiso", "barva"]
    };
    cases::add_instances(&mut world, zones, Duration::from_millis(50));
    world.start();
    let began = Instant::now();
    let at = |since: Duration| thread::sleep((began + since).saturating_duration_since(Instant::now()));
    world.store.make_copy();
    at(TAKEN);
    world.store.put("op", "config", &config(2, 10_000, LIMITS));
    let acknowledged_at = Instant::now();
    world.record.add("store acknowledges configuration r2, without the key");
    at(RESTORE);
    if has_trouble() {
        world.store.restore();
        world.record.add("store is restored from its copy, which has configuration r1");
    }
    at(KILL);
    let all = std::env::var("ALL").is_ok();
    let count = if all { world.daemons.len() } else { 1 };
    for daemon in &mut world.daemons[..count] {
        daemon.kill();
    }
    for daemon in &mut world.daemons[..count] {
        daemon.start();
    }
    world.record.add("daemon of paraiso is killed and started again");
    let (to, mut n, mut written) = (world.daemons[0].callers(), 0, false);
    let mut late = 0;
    while began.elapsed() < END {
        if began.elapsed() >= WRITTEN_AGAIN && !written {
            world.store.put("op", "config", &config(2, 10_000, LIMITS));
            world.record.add("operator writes configuration r2 again");
            written = true;
        }
        n += 1;
        let id = format!("order-{n}");
        let headers =
            [("Host", HOST), ("Request-Id", id.as_str()), ("Deadline-Ms", "3000"), ("Api-Key", TAKEN_KEY)];
        let request = http::request("POST", "/order/1", &headers, b"one crate");
        let sent_at = Instant::now();
        let status = http::call(to, &request, Duration::from_secs(4)).map_or(0, |a| a.status());
        world
            .record
            .add(&format!("client gets status {status} for id={id} with the key that was taken away"));
        late += usize::from(status == 200 && sent_at > acknowledged_at + REVOKE);
        thread::sleep(Duration::from_millis(50));
    }
    cases::count_runs(&world);
    println!("{late} orders with the key ran that were sent more than 5 s after the acknowledgement, of {n}");
    if n == 0 {
        world.end(NOT_RUN);
    }
    world.end(if late > 0 { BROKEN } else { HELD });
}
