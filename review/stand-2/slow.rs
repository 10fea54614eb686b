//! Case: callers that read slowly lose requests that were passed on, when the server beside their daemon has no room.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::cases::{self, Attempts};
use crate::crowd::LIMITS;
use crate::daemon::Instance;
use crate::http::{self, Reader};
use crate::server::{Server, succeed};
use crate::world::{BROKEN, HELD, NOT_RUN, Record, World, config, has_trouble};

/// Length of a download, inside what the daemon buffers.
const DOWNLOAD_BYTES: usize = 600_000;
/// Slow clients, and look-ups that each sends behind its download.
const CLIENTS: usize = 6;
const BEHIND: usize = 2;
/// Connections that the rule lets end so, at most.
const ALLOWED: usize = 3;
/// Part of its download that a slow client reads before it pauses, and the pause.
const READ_FIRST: usize = 60_000;
const PAUSE: Duration = Duration::from_millis(3_500);
/// Clients with orders, more than the servers have slots; they come after the slow ones.
const BUYERS: usize = 150;
const BUYERS_AFTER: Duration = Duration::from_millis(1_500);

pub fn run(record: &str) {
    let mut world = World::new(record, &config(1, 10_000, LIMITS));
    cases::add_instances(&mut world, &["paraiso", "barva"], Duration::from_millis(400));
    world.add_daemon(Instance {
        service: "bodega-docs",
        zone: "barva",
        region: "meseta",
        memory_mb: 260,
        max_fds: 4_100,
    });
    let at = world.daemons.last().expect("just added").server;
    let runs = world.runs.clone();
    let work = |_: &Server, request: &http::Message, stream: &mut std::net::TcpStream| {
        succeed(request, stream, &vec![b'a'; DOWNLOAD_BYTES])
    };
    world.servers.push(Server::start("i-02d9e6b4", "bodega-docs", (at, "barva", 10), &runs, Box::new(work)));
    world.start();
    let to = world.daemons[0].callers();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let record = world.record.clone();
            thread::spawn(move || pipeline(n, to, &record))
        })
        .collect();
    thread::sleep(BUYERS_AFTER);
    let (attempts, until) = (Attempts::default(), Instant::now() + Duration::from_secs(5));
    let buyers: Vec<_> = (0..BUYERS)
        .map(|n| {
            let order = ("POST", "/order/1", b"one crate".as_slice());
            let pace = (Duration::from_millis(50), until);
            cases::start_client(&format!("order-{n}"), to, &world.record, order, pace, &attempts)
        })
        .collect();
    let answered: Vec<String> =
        clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect();
    for buyer in buyers {
        buyer.join().expect("no panic");
    }
    let runs = cases::count_runs(&world);
    let lost = |n: usize| {
        let ids = (1..=BEHIND).map(move |m| format!("look-{n}-{m}"));
        ids.filter(|id| runs.contains_key(id) && !answered.contains(id)).count()
    };
    let closed = (0..CLIENTS).filter(|n| lost(*n) > 0).count();
    let downloads = (0..CLIENTS).filter(|n| answered.contains(&format!("download-{n}"))).count();
    let all_lost = (0..CLIENTS).map(lost).sum::<usize>();
    let orders = attempts.lock().expect("no panic").iter().filter(|a| a.status == 200).count();
    println!(
        "{all_lost} of {} look-ups ran at a sound server and have no answer; {closed} of {CLIENTS} connections ended so; \
         {downloads} downloads whole; {orders} orders served",
        CLIENTS * BEHIND
    );
    if orders == 0 || !(0..CLIENTS).all(|n| answered.contains(&format!("look-{n}-0"))) {
        world.end(NOT_RUN);
    }
    world.end(if closed > ALLOWED { BROKEN } else { HELD });
}

/// Sends a look-up on a new connection, and when it is answered a download with look-ups behind it. Reads the first part
/// of the download, pauses, and reads the rest. Returns the ids of the requests that were answered whole.
fn pipeline(n: usize, to: SocketAddr, record: &Record) -> Vec<String> {
    let stream = http::connect_narrow(to, Duration::from_secs(12)).expect("the daemon accepts callers");
    let mut connection = Reader::new(Pausing { stream, left: usize::MAX });
    let mut answered = Vec::new();
    let first = cases::keyed("GET", "/stock/0", &format!("look-{n}-0"), b"");
    connection.stream.stream.write_all(&first).expect("the daemon reads");
    if connection.message().is_ok_and(|a| a.status() == 200) {
        answered.push(format!("look-{n}-0"));
    }
    let mut requests = cases::keyed("GET", "/label/1", &format!("download-{n}"), b"");
    for m in 1..=BEHIND {
        requests.extend(cases::keyed("GET", &format!("/stock/{m}"), &format!("look-{n}-{m}"), b""));
    }
    connection.stream.stream.write_all(&requests).expect("the daemon reads");
    record.add(&format!("client {n} sends GET /label/1 id=download-{n} and GET /stock/M id=look-{n}-M behind it, M=1..{BEHIND}"));
    if has_trouble() {
        connection.stream.left = READ_FIRST;
    }
    for _ in 0..=BEHIND {
        match connection.message() {
            Ok(answer) => {
                let (id, status, bytes) = (answer.header("request-id"), answer.status(), answer.body.len());
                record.add(&format!("client {n} gets status {status} and {bytes} bytes for id={id}"));
                answered.push(id.to_owned());
            }
            Err(e) => {
                record.add(&format!("client {n}: the connection ends: {e}"));
                break;
            }
        }
    }
    answered
}

/// A stream of which a part is read, and the rest after a pause.
struct Pausing {
    stream: std::net::TcpStream,
    /// Bytes until the pause.
    left: usize,
}

impl Read for Pausing {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        if self.left == 0 {
            thread::sleep(PAUSE);
            self.left = usize::MAX;
        }
        let len = buf.len().min(self.left);
        let read = self.stream.read(&mut buf[..len])?;
        self.left -= read;
        Ok(read)
    }
}
