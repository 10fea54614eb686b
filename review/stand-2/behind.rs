//! Case: a download that its server breaks off takes with it the requests that were passed on behind it.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::cases;
use crate::crowd::LIMITS;
use crate::daemon::Instance;
use crate::http::{self, Message, Reader};
use crate::server::{Server, succeed};
use crate::world::{BROKEN, HELD, NOT_RUN, Record, World, config, has_trouble};

/// Length of the download, and the part of it that its server sends before it breaks off.
const DOWNLOAD_BYTES: usize = 2_000_000;
const SENT_BYTES: usize = 1_500_000;
/// Clients that send at the same moment, and requests that each sends behind its download.
const CLIENTS: usize = 5;
const BEHIND: usize = 2;
/// Connections that the rule lets end so, at most.
const ALLOWED: usize = 3;
/// Run time of a look-up, and of a download.
const LOOK: Duration = Duration::from_millis(300);
const DOWNLOAD: Duration = Duration::from_millis(1_000);

pub fn run(record: &str) {
    let mut world = World::new(record, &config(1, 10_000, LIMITS));
    cases::add_instances(&mut world, &["paraiso", "barva", "paraiso"], LOOK);
    world.add_daemon(Instance {
        service: "bodega-docs",
        zone: "barva",
        region: "meseta",
        memory_mb: 260,
        max_fds: 4_100,
    });
    let at = world.daemons.last().expect("just added").server;
    let runs = world.runs.clone();
    let docs = Server::start("i-02d9e6b4", "bodega-docs", (at, "barva", 5), &runs, Box::new(send_download));
    world.servers.push(docs);
    world.start();
    let to = world.daemons[0].callers();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let record = world.record.clone();
            thread::spawn(move || pipeline(n, to, &record))
        })
        .collect();
    let answered: Vec<String> =
        clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect();
    thread::sleep(Duration::from_millis(500));
    let runs = cases::count_runs(&world);
    let lost = |n: usize| {
        let ids = (1..=BEHIND).map(move |m| format!("look-{n}-{m}"));
        ids.filter(|id| runs.contains_key(id) && !answered.contains(id)).count()
    };
    let closed = (0..CLIENTS).filter(|n| lost(*n) > 0).count();
    let (all_lost, all) = ((0..CLIENTS).map(lost).sum::<usize>(), CLIENTS * BEHIND);
    println!(
        "{all_lost} of {all} look-ups behind the downloads ran at a sound server and have no answer; {closed} of {CLIENTS} \
         connections ended so"
    );
    if !(0..CLIENTS).all(|n| answered.contains(&format!("look-{n}-0"))) {
        eprintln!("an ordinary request is not served");
        world.end(NOT_RUN);
    }
    world.end(if closed > ALLOWED { BROKEN } else { HELD });
}

/// Sends a look-up on a new connection, and when it is answered a download with look-ups behind it. Returns the ids of
/// the requests that were answered whole.
fn pipeline(n: usize, to: SocketAddr, record: &Record) -> Vec<String> {
    let stream = http::connect(to, Duration::from_secs(12)).expect("the daemon accepts callers");
    let mut connection = Reader::new(stream);
    let mut answered = Vec::new();
    let first = cases::keyed("GET", "/stock/0", &format!("look-{n}-0"), b"");
    connection.stream.write_all(&first).expect("the daemon reads");
    if connection.message().is_ok_and(|a| a.status() == 200) {
        answered.push(format!("look-{n}-0"));
    }
    let mut requests = cases::keyed("GET", "/label/1", &format!("download-{n}"), b"");
    for m in 1..=BEHIND {
        requests.extend(cases::keyed("GET", &format!("/stock/{m}"), &format!("look-{n}-{m}"), b""));
    }
    connection.stream.write_all(&requests).expect("the daemon reads");
    record.add(&format!("client {n} sends GET /label/1 id=download-{n} and GET /stock/M id=look-{n}-M behind it, M=1..{BEHIND}"));
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

/// Answers with a large body, of which only a part comes if the server is faulty.
fn send_download(_server: &Server, request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
    thread::sleep(DOWNLOAD);
    let body = vec![b'a'; DOWNLOAD_BYTES];
    if !has_trouble() {
        return succeed(request, stream, &body);
    }
    let id = request.header("request-id");
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: stand\r\nContent-Length: {DOWNLOAD_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(&body[..SENT_BYTES])?;
    Err(std::io::ErrorKind::ConnectionReset.into())
}
