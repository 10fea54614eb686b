//! Case: an order whose upload takes some seconds runs with a key that was taken away meanwhile.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use crate::cases::{self, Client};
use crate::crowd::LIMITS;
use crate::http::{self, Reader};
use crate::world::{BROKEN, HELD, HOST, KEY, NOT_RUN, World, config, config_with_keys, has_trouble};

/// The key that is taken away.
const TAKEN_KEY: &str = "7qk2ww0dnn2ctnfzs4410";
/// `revokeMs` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Time from the first part of the upload to the acknowledgement of the configuration without the key.
const UNTIL_TAKEN: Duration = Duration::from_millis(1_500);
/// Time past [`REVOKE`] at which the rest of the upload is sent.
const MARGIN: Duration = Duration::from_millis(1_000);

pub fn run(record: &str) {
    let both = config_with_keys(1, 10_000, LIMITS, &[KEY, TAKEN_KEY]);
    let mut world = World::new(record, &both);
    cases::add_instances(&mut world, &["paraiso", "barva"], Duration::from_millis(300));
    world.start();
    let to = world.daemons[0].callers();
    let body = vec![b'a'; 2_000];
    let deadline = [("Deadline-Ms", "9500")];
    let headers = [("Host", HOST), ("Request-Id", "slow-order"), deadline[0], ("Api-Key", TAKEN_KEY)];
    let request = http::request("POST", "/order/1", &headers, &body);
    let (first, rest) = request.split_at(request.len() - 1_000);
    let stream = http::connect(to, Duration::from_secs(10)).expect("the daemon accepts callers");
    let mut connection = Reader::new(stream);
    connection.stream.write_all(first).expect("the daemon reads");
    world.record.add("client sends the head and 1,000 of 2,000 bytes of POST /order/1 id=slow-order");
    thread::sleep(UNTIL_TAKEN);
    if has_trouble() {
        world.store.put("op", "config", &config(2, 10_000, LIMITS));
        world.record.add("store acknowledges configuration r2, without the key");
    }
    let acknowledged_at = Instant::now();
    thread::sleep(REVOKE + MARGIN);
    // A short order with the same key shows what is in force by now.
    let request = http::request(
        "POST",
        "/order/1",
        &[("Host", HOST), ("Request-Id", "short-order"), deadline[0], ("Api-Key", TAKEN_KEY)],
        b"one crate",
    );
    let short = http::call(to, &request, Duration::from_secs(10)).map_or(0, |a| a.status());
    world.record.add(&format!("client gets status {short} for id=short-order, with the same key"));
    let sent_after = acknowledged_at.elapsed();
    connection.stream.write_all(rest).expect("the daemon reads");
    world.record.add("client sends the last 1,000 bytes of id=slow-order");
    let status = connection.message().map_or(0, |a| a.status());
    world.record.add(&format!("client gets status {status} for id=slow-order"));
    let other = Client::new(to, &world.record).send("POST", "/order/1", "kept-key", b"one crate");
    let runs = cases::count_runs(&world);
    let has_run = runs.contains_key("slow-order");
    println!(
        "the rest of the order was sent {} ms after the acknowledgement; status {status}, ran {has_run}; \
         a short order with the key: status {short}; with the other key: status {}",
        sent_after.as_millis(),
        other.status
    );
    if other.status != 200 {
        world.end(NOT_RUN);
    }
    if !has_trouble() {
        world.end(if has_run { HELD } else { NOT_RUN });
    }
    world.end(if has_run { BROKEN } else { HELD });
}
