//! What the cases share: clients, and the daemons of a small deployment.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::Instance;
use crate::http::{self, Reader};
use crate::server::{Server, Work, succeed};
use crate::world::{HOST, KEY, Record, World};

/// Deadline that clients state.
pub const DEADLINE: Duration = Duration::from_secs(8);

/// An attempt of a client and what became of it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub sent_at: Instant,
    /// Status of the answer; 0 if the connection ended without one.
    pub status: u16,
}

/// Text of a request with the customer's key.
pub fn keyed(method: &str, path: &str, id: &str, body: &[u8]) -> Vec<u8> {
    let deadline_ms = DEADLINE.as_millis().to_string();
    let headers = [("Host", HOST), ("Request-Id", id), ("Deadline-Ms", &deadline_ms), ("Api-Key", KEY)];
    http::request(method, path, &headers, body)
}

/// A sound client: sends one request after the other on a kept connection, and opens a new one after it has
/// ended.
pub struct Client {
    to: SocketAddr,
    connection: Option<Reader<TcpStream>>,
    record: Record,
}

impl Client {
    pub fn new(to: SocketAddr, record: &Record) -> Self {
        Self { to, connection: None, record: record.clone() }
    }

    /// Sends a request and waits for its answer.
    pub fn send(&mut self, method: &str, path: &str, id: &str, body: &[u8]) -> Attempt {
        let sent_at = Instant::now();
        self.record.add(&format!("client sends {method} {path} id={id}"));
        let status = self.exchange(&keyed(method, path, id, body)).unwrap_or(0);
        let shown = if status == 0 { "no answer".to_owned() } else { format!("status {status}") };
        let took = sent_at.elapsed().as_millis();
        self.record.add(&format!("client gets {shown} for id={id} after {took} ms"));
        Attempt { id: id.to_owned(), sent_at, status }
    }

    fn exchange(&mut self, request: &[u8]) -> std::io::Result<u16> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Reader::new(http::connect(self.to, DEADLINE + Duration::from_secs(1))?),
        };
        connection.stream.write_all(request)?;
        let answer = connection.message()?;
        if !answer.header("connection").eq_ignore_ascii_case("close") {
            self.connection = Some(connection);
        }
        Ok(answer.status())
    }
}

/// Attempts of several clients.
pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// Starts a client that sends `method path` every `pause` until `until`.
pub fn start_client(
    name: &str,
    to: SocketAddr,
    record: &Record,
    (method, path, body): (&'static str, &'static str, &'static [u8]),
    (pause, until): (Duration, Instant),
    attempts: &Attempts,
) -> thread::JoinHandle<()> {
    let (name, attempts) = (name.to_owned(), Arc::clone(attempts));
    let mut client = Client::new(to, record);
    thread::spawn(move || {
        for n in 0.. {
            if Instant::now() >= until {
                return;
            }
            let attempt = client.send(method, path, &format!("{name}-{n}"), body);
            attempts.lock().expect("no panic").push(attempt);
            thread::sleep(pause);
        }
    })
}

/// Adds daemons of the service `sacristia`, each with a server whose runs last `run`.
pub fn add_instances(world: &mut World, zones: &[&'static str], run: Duration) {
    add_instances_with(world, zones, || {
        Box::new(move |_, request, stream| {
            thread::sleep(run);
            succeed(request, stream, b"booked")
        })
    });
}

/// Adds daemons of the service `sacristia`, each with a server that works as `work` says.
pub fn add_instances_with(world: &mut World, zones: &[&'static str], work: impl Fn() -> Box<Work>) {
    for (n, zone) in zones.iter().enumerate() {
        let region = if *zone == "canas" { "guanacaste" } else { "meseta" };
        world.add_daemon(Instance { service: "sacristia", zone, region, memory_mb: 260, max_fds: 4_100 });
        let daemon = world.daemons.last().expect("just added");
        let server = Server::start(
            &format!("i-7f3a91c{n}"),
            "sacristia",
            (daemon.server, *zone, 5),
            &world.runs,
            work(),
        );
        world.servers.push(server);
    }
}

/// Number of runs by request id, also written to the record.
pub fn count_runs(world: &World) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for run in world.runs.lock().expect("no panic").iter() {
        *counts.entry(run.id.clone()).or_insert(0) += 1;
        world.record.add_at(run.at, &format!("server {} runs id={}", run.server, run.id));
    }
    counts
}
