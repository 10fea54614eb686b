//! Case: a faulty server writes an earlier refusal once more, and an order that it runs is told as not run.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::cases::{self, Attempts, Client};
use crate::crowd::LIMITS;
use crate::http::{self, Message};
use crate::server::Server;
use crate::world::{BROKEN, HELD, NOT_RUN, World, config, has_trouble};

/// Orders that the client sends, one after the other.
const ORDERS: usize = 20;
/// Run time of a request.
const RUN: Duration = Duration::from_millis(80);
/// Clients with look-ups, which keep the connections to the servers in use.
const READERS: usize = 4;
/// Each order whose number this divides finds both servers full at its first try.
const FULL_EVERY: usize = 2;

thread_local! {
    /// Answers on the connection that this thread serves.
    static ANSWERED: Cell<usize> = const { Cell::new(0) };
}

/// What one server remembers of orders: how often each has come.
type Seen = Mutex<HashMap<String, usize>>;

pub fn run(record: &str) {
    let mut world = World::new(record, &config(1, 10_000, LIMITS));
    let notes = world.record.clone();
    cases::add_instances_with(&mut world, &["paraiso", "barva"], || {
        let (seen, notes) = (Arc::new(Seen::default()), notes.clone());
        Box::new(move |server: &Server, request: &Message, stream: &mut TcpStream| {
            let id = request.header("request-id").to_owned();
            let tries = {
                let mut seen = seen.lock().expect("no panic");
                let tries = seen.entry(id.clone()).or_insert(0);
                *tries += 1;
                *tries
            };
            let is_kept = ANSWERED.get() > 0;
            ANSWERED.set(ANSWERED.get() + 1);
            if tries == 1 && is_hit_by_load(&id) {
                server.take_back_run(&id);
                notes.add(&format!("server {} is full and refuses id={id} (503, Not-Executed)", server.id));
                return refuse(&id, stream);
            }
            if has_trouble() && tries == 2 && is_kept {
                notes.add(&format!(
                    "server {} has begun to run id={id} and writes its earlier refusal of it once more",
                    server.id
                ));
                refuse(&id, stream)?;
            }
            thread::sleep(RUN);
            let headers = [("Request-Id", id.as_str()), ("Server-Signature", "stand")];
            http::answer(stream, "200 OK", &headers, b"booked")
        })
    });
    world.start();
    let to = world.daemons[0].callers();
    let (looks, until) = (Attempts::default(), Instant::now() + Duration::from_secs(20));
    for daemon in &world.daemons {
        for n in 0..READERS {
            let pace = (Duration::from_millis(150), until);
            let look = ("GET", "/stock/1", b"".as_slice());
            cases::start_client(
                &format!("look-{}-{n}", daemon.ip),
                daemon.callers(),
                &world.record,
                look,
                pace,
                &looks,
            );
        }
    }
    thread::sleep(Duration::from_secs(2));
    let mut client = Client::new(to, &world.record);
    let mut orders = Vec::new();
    for n in 1..=ORDERS {
        orders.push(client.send("POST", "/order/1", &format!("order-{n}"), b"one crate"));
        thread::sleep(Duration::from_millis(250));
    }
    let runs = cases::count_runs(&world);
    let count = |id: &String| runs.get(id).copied().unwrap_or(0);
    let refused = orders.iter().filter(|a| a.status == 503 && count(&a.id) > 0).count();
    let twice = orders.iter().filter(|a| count(&a.id) > 1).count();
    let served = orders.iter().filter(|a| a.status == 200).count();
    println!(
        "of {ORDERS} orders {served} served, {refused} answered 503 although they ran, {twice} ran more than once"
    );
    if served == 0 {
        world.end(NOT_RUN);
    }
    world.end(if refused + twice > 0 { BROKEN } else { HELD });
}

/// Whether both servers are full when this order comes for the first time.
fn is_hit_by_load(id: &str) -> bool {
    id.strip_prefix("order-").and_then(|n| n.parse::<usize>().ok()).is_some_and(|n| n % FULL_EVERY == 0)
}

fn refuse(id: &str, stream: &mut TcpStream) -> std::io::Result<()> {
    http::answer(stream, "503 Service Unavailable", &[("Request-Id", id), ("Not-Executed", "1")], b"")
}
