//! Stand-in of an application server: heartbeats, and requests that it runs one at a time on each connection.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message, Reader};

/// A request that the server has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub at: Instant,
}

/// What a server does with a request that it runs.
pub type Work = dyn Fn(&Server, &Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// One incarnation of a server.
pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub addr: SocketAddr,
    pub slots: u16,
    pub zone: &'static str,
    born_ms: u128,
    sequence: AtomicU64,
    pub is_draining: AtomicBool,
    has_deregistered: AtomicBool,
    pub runs: Arc<Mutex<Vec<Run>>>,
    work: Box<Work>,
}

impl Server {
    /// Starts a server that listens on `addr`.
    pub fn start(
        id: &str,
        service: &'static str,
        (addr, zone, slots): (SocketAddr, &'static str, u16),
        runs: &Arc<Mutex<Vec<Run>>>,
        work: Box<Work>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(addr).expect("a free address");
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
        let server = Arc::new(Self {
            id: id.to_owned(),
            service,
            addr,
            slots,
            zone,
            born_ms,
            sequence: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            has_deregistered: AtomicBool::new(false),
            runs: Arc::clone(runs),
            work,
        });
        let serving = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = Arc::clone(&serving);
                thread::spawn(move || serving.serve(stream));
            }
        });
        server
    }

    /// Sends one heartbeat; true if it was acknowledged.
    pub fn send_heartbeat(&self, to: SocketAddr) -> bool {
        http::call(to, &self.next_heartbeat(), Duration::from_secs(1)).is_ok_and(|a| a.status() / 100 == 2)
    }

    /// Says that the server is gone; true if that was acknowledged. The server goes on serving.
    pub fn deregister(&self, from: SocketAddr) -> bool {
        self.has_deregistered.store(true, SeqCst);
        let path = format!("/pomelopath/instances/{}", self.id);
        let request = http::request("DELETE", &path, &[("Host", "platform")], b"");
        http::call(from, &request, Duration::from_secs(1)).is_ok_and(|a| a.status() / 100 == 2)
    }

    /// The next heartbeat, to be sent now or to arrive late.
    pub fn next_heartbeat(&self) -> Vec<u8> {
        let sequence = self.sequence.fetch_add(1, SeqCst) + 1;
        let state = if self.is_draining.load(SeqCst) { "draining" } else { "ready" };
        let Self { addr, service, zone, slots, born_ms, id, .. } = self;
        let body = format!(
            "{{\"address\":\"{addr}\",\"born\":{born_ms},\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\
             \"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\
             \"coldMs\":0}}}}"
        );
        let headers = [("Host", "platform"), ("Content-Type", "application/json")];
        http::request("PUT", &format!("/pomelopath/instances/{id}"), &headers, body.as_bytes())
    }

    /// Sends heartbeats as often as the settings say, until the server has said that it is gone.
    pub fn beat(self: &Arc<Self>, to: SocketAddr) {
        let server = Arc::clone(self);
        thread::spawn(move || {
            while !server.has_deregistered.load(SeqCst) {
                server.send_heartbeat(to);
                thread::sleep(Duration::from_millis(1_500));
            }
        });
    }

    /// Takes back the last run of a request that is refused.
    pub fn take_back_run(&self, id: &str) {
        let mut runs = self.runs.lock().expect("no panic");
        if let Some(at) = runs.iter().rposition(|run| run.id == id && run.server == self.id) {
            runs.remove(at);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.message() {
            if self.handle(&request, &mut reader.stream).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let expected = request.header("expected-instance");
        if !expected.is_empty() && expected != self.id {
            return http::answer(stream, "421 Misdirected Request", &[("Instance-Id", &self.id)], b"");
        }
        let id = request.header("request-id").to_owned();
        if id.is_empty() {
            return http::answer(stream, "400 Bad Request", &[("Not-Executed", "1")], b"");
        }
        self.runs.lock().expect("no panic").push(Run { id, server: self.id.clone(), at: Instant::now() });
        (self.work)(self, request, stream)
    }
}

/// Answers with success.
pub fn succeed(request: &Message, stream: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    let id = request.header("request-id");
    http::answer(stream, "200 OK", &[("Request-Id", id), ("Server-Signature", "stand")], body)
}
