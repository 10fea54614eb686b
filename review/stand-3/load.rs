//! Ordinary callers that keep their connections, and what became of each of their requests.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::fleet::{self, Record, new_id};
use crate::http;

/// Pause of a caller between two requests, and after it was refused.
const PAUSE: Duration = Duration::from_millis(20);
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    /// Address of the daemon that the caller asked.
    pub door: SocketAddrV4,
    pub at: Instant,
    pub ended: Instant,
    pub path: &'static str,
    /// Whether an answer had come on the connection before.
    pub is_kept: bool,
    pub outcome: Outcome,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer with this status; `true` if it bears a server's signature and the request's id.
    Answered(u16, bool),
    /// The connection ended without a whole answer.
    Closed,
    /// No answer within the deadline and a second.
    Late,
    /// The connection could not be opened.
    NotConnected,
}

/// The callers of one run.
pub struct Load {
    pub sent: Arc<Mutex<Vec<Sent>>>,
    is_over: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    pub fn new() -> Self {
        Self { sent: Arc::default(), is_over: Arc::default(), tasks: Vec::new() }
    }

    /// Adds `count` callers that send `method` requests for `path` one after the other.
    pub fn add(
        &mut self,
        count: usize,
        door: SocketAddrV4,
        method: &'static str,
        path: &'static str,
        deadline_ms: u64,
        record: &Arc<Record>,
    ) {
        for _ in 0..count {
            let (sent, is_over, record) = (Arc::clone(&self.sent), Arc::clone(&self.is_over), Arc::clone(record));
            self.tasks.push(thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let keep = caller(door, method, path, deadline_ms, &sent, &is_over, &record);
                    if keep.is_err() {
                        thread::sleep(RETRY_PAUSE);
                    }
                }
            }));
        }
    }

    /// Ends the callers and returns what they saw.
    pub fn finish(self) -> Vec<Sent> {
        self.is_over.store(true, Ordering::Relaxed);
        for task in self.tasks {
            let _ = task.join();
        }
        self.sent.lock().unwrap().clone()
    }
}

/// Sends requests on one connection until it ends.
fn caller(
    door: SocketAddrV4,
    method: &str,
    path: &'static str,
    deadline_ms: u64,
    sent: &Mutex<Vec<Sent>>,
    is_over: &AtomicBool,
    record: &Record,
) -> io::Result<()> {
    let save = |id: &str, at, is_kept, outcome: Outcome| {
        record.line(&format!("caller {id} {method} {path} kept: {is_kept} -> {outcome:?}"));
        sent.lock().unwrap().push(Sent { id: id.into(), door, at, ended: Instant::now(), path, is_kept, outcome });
    };
    let began = Instant::now();
    let mut stream = match TcpStream::connect_timeout(&door.into(), Duration::from_secs(1)) {
        Ok(stream) => stream,
        Err(e) => {
            save("-", began, false, Outcome::NotConnected);
            return Err(e);
        }
    };
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 1_000)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut is_kept = false;
    while !is_over.load(Ordering::Relaxed) {
        let id = new_id();
        let body = if method == "POST" { "Content-Length: 3\r\n\r\nabc" } else { "\r\n" };
        let at = Instant::now();
        let result = stream
            .write_all((fleet::request(method, path, &id, deadline_ms) + body).as_bytes())
            .and_then(|()| http::read_answer(&mut reader));
        let answer = match result {
            Ok(answer) => answer,
            Err(e) => {
                let is_late = matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut);
                save(&id, at, is_kept, if is_late { Outcome::Late } else { Outcome::Closed });
                return Err(e);
            }
        };
        let is_signed = answer.header("server-signature").is_some_and(|signature| signature.ends_with(&id));
        save(&id, at, is_kept, Outcome::Answered(answer.status(), is_signed));
        is_kept = true;
        if answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
            return Ok(());
        }
        thread::sleep(if answer.status() < 300 { PAUSE } else { RETRY_PAUSE });
    }
    Ok(())
}
