//! Case: a crowd that only announces bodies shuts out all orders at a daemon.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

use crate::cases::{self, Attempt, Attempts};
use crate::crowd::LIMITS;
use crate::http::{self, Reader};
use crate::world::{BROKEN, HELD, HOST, KEY, NOT_RUN, World, config, has_trouble};

/// Connections of the crowd.
const CROWD: usize = 200;
/// Length that each announces, inside the limits.
const BODY_BYTES: usize = 1_000_000;
/// Time in which the crowd gathers, and in which requests are counted then.
const GATHERING: Duration = Duration::from_secs(3);
const COUNTED: Duration = Duration::from_secs(25);

pub fn run(record: &str) {
    let mut world = World::new(record, &config(1, 10_000, LIMITS));
    cases::add_instances(&mut world, &["paraiso", "barva"], Duration::from_millis(300));
    world.start();
    let to = world.daemons[0].callers();
    let stop = Arc::new(AtomicBool::new(false));
    if has_trouble() {
        world.record.add(&format!(
            "crowd: {CROWD} callers announce a body of {BODY_BYTES} bytes each, send 10 and stop; whoever is turned away comes again"
        ));
        for n in 0..CROWD {
            let stop = Arc::clone(&stop);
            thread::spawn(move || announce(to, n, &stop));
        }
    }
    thread::sleep(GATHERING);
    let (from, until) = (Instant::now(), Instant::now() + COUNTED);
    let (orders, looks) = (Attempts::default(), Attempts::default());
    let pace = (Duration::from_millis(200), until);
    let clients = [
        cases::start_client("order", to, &world.record, ("POST", "/order/1", b"one crate"), pace, &orders),
        cases::start_client("look", to, &world.record, ("GET", "/stock/1", b""), pace, &looks),
    ];
    for client in clients {
        client.join().expect("no panic");
    }
    stop.store(true, SeqCst);
    let memory = world.daemons[0].memory() / 1024;
    cases::count_runs(&world);
    let served = |attempts: &[Attempt]| attempts.iter().filter(|a| a.status == 200).count();
    let (orders, looks) = (orders.lock().expect("no panic").clone(), looks.lock().expect("no panic").clone());
    let order_share = served(&orders) as f64 / orders.len().max(1) as f64;
    let share = (served(&orders) + served(&looks)) as f64 / (orders.len() + looks.len()).max(1) as f64;
    println!(
        "in {} s: orders {} of {} served, look-ups {} of {}; resident memory {memory} kB",
        from.elapsed().as_secs(),
        served(&orders),
        orders.len(),
        served(&looks),
        looks.len()
    );
    if served(&looks) == 0 {
        world.end(NOT_RUN);
    }
    world.end(if order_share < share / 4.0 { BROKEN } else { HELD });
}

/// Announces a body again and again until `stop` is set.
fn announce(to: SocketAddr, n: usize, stop: &AtomicBool) {
    let id = format!("crowd-{n}");
    let headers = format!(
        "POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 10000\r\nApi-Key: {KEY}\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n0123456789"
    );
    while !stop.load(SeqCst) {
        let Ok(mut stream) = http::connect(to, Duration::from_secs(12)) else { continue };
        if stream.write_all(headers.as_bytes()).is_ok() {
            let _ = Reader::new(stream).message();
        }
        thread::sleep(Duration::from_millis(200));
    }
}
