//! Stand-in of a server beside a daemon. It behaves as the pages say of a sound server.
//!
//! The query of a request says what it costs: `work` in milliseconds, `bytes` of the answer's body, and `frame`: `len`
//! for a stated length (the default), `none` for an answer that ends with its connection. With `cut` it breaks off in
//! the middle of the body, as a faulty server does.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::fleet::{CONTROL_PORT, Machine, Record, SERVER_PORT};
use crate::http::{self, Message};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MAX_QUEUED: usize = 52;
/// Time after half of an answer at which a faulty server breaks it off.
const BEFORE_CUT: Duration = Duration::from_millis(200);
/// Time after which a server cuts off an answer that nobody reads.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(8);

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub began: Instant,
    /// When the answer was written; `None` while the server works on it.
    pub answered: Option<Instant>,
}

#[derive(Default)]
struct Slots {
    running: usize,
    waiting: usize,
}

pub struct Server {
    pub id: String,
    pub born: u64,
    addr: SocketAddrV4,
    control: SocketAddrV4,
    service: &'static str,
    zone: &'static str,
    slots: usize,
    state: Mutex<Slots>,
    freed: Condvar,
    pub runs: Mutex<Vec<Run>>,
    sequence: AtomicU64,
    beats: AtomicBool,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server on the machine, which begins to report to the daemon there.
    pub fn start(machine: &Machine, id: &str, slots: usize, record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let addr = machine.addr(SERVER_PORT);
        let listener = TcpListener::bind(addr)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let server = Arc::new(Self {
            id: id.into(),
            born,
            addr,
            control: machine.addr(CONTROL_PORT),
            service: machine.service,
            zone: machine.zone,
            slots,
            state: Mutex::default(),
            freed: Condvar::new(),
            runs: Mutex::default(),
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            record: Arc::clone(record),
        });
        let listening = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&listening);
                thread::spawn(move || server.serve(stream));
            }
        });
        let beating = Arc::clone(&server);
        thread::spawn(move || {
            while beating.beats.load(Ordering::Relaxed) {
                beating.beat("ready");
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(server)
    }

    /// Sends no more heartbeats.
    pub fn stop_beats(&self) {
        self.beats.store(false, Ordering::Relaxed);
    }

    /// The next heartbeat, to be sent now or late.
    pub fn next_beat(&self, state: &str) -> String {
        let Self { id, born, addr, service, zone, slots, .. } = self;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"born\":{born},\"address\":\"{addr}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\
             \"slots\":{slots}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"coldMs\":0}}}}"
        );
        format!(
            "PUT /pomelopath/instances/{id} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    /// Sends a call to the control address; returns the status, 0 without an answer within a second.
    pub fn send(&self, call: &str) -> u16 {
        let rep = http::call(self.control.into(), call.as_bytes(), Duration::from_secs(1));
        rep.map_or(0, |rep| rep.status())
    }

    pub fn beat(&self, state: &str) -> u16 {
        self.send(&self.next_beat(state))
    }

    /// Reports that the server leaves.
    pub fn delete(&self) -> u16 {
        let (id, born) = (&self.id, self.born);
        let body = format!("{{\"born\":{born}}}");
        self.send(&format!(
            "DELETE /pomelopath/instances/{id} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ))
    }

    pub fn run_of(&self, id: &str) -> Option<Run> {
        self.runs.lock().unwrap().iter().find(|run| run.id == id).cloned()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(UNREAD_TIMEOUT));
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = http::read_request(&mut reader) {
            match self.answer(&req, &mut writer) {
                Ok(true) => {}
                Ok(false) | Err(_) => return,
            }
        }
    }

    /// Answers one request; false: the connection closes.
    fn answer(&self, req: &Message, writer: &mut TcpStream) -> io::Result<bool> {
        let id = req.header("request-id").unwrap_or("").to_owned();
        let refuse = |status: u16, more: &str| {
            format!("HTTP/1.1 {status} -\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n{more}Content-Length: 0\r\n\r\n")
        };
        if req.path() == "/healthz" {
            writer.write_all(format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id).as_bytes())?;
            return Ok(true);
        }
        if req.header("expected-instance").is_some_and(|expected| expected != self.id) {
            writer.write_all(refuse(421, &format!("Instance-Id: {}\r\n", self.id)).as_bytes())?;
            return Ok(true);
        }
        if id.is_empty() {
            writer.write_all(refuse(400, "").as_bytes())?;
            return Ok(true);
        }
        if !self.take_slot() {
            writer.write_all(refuse(503, "").as_bytes())?;
            return Ok(true);
        }
        let number = |name: &str| req.param(name).and_then(|v| v.parse::<usize>().ok());
        self.runs.lock().unwrap().push(Run { id: id.clone(), began: Instant::now(), answered: None });
        self.record.line(&format!("server {} runs {} {} {}", self.id, req.method(), req.path(), id));
        thread::sleep(Duration::from_millis(number("work").unwrap_or(0) as u64));
        let load = self.release_slot();
        let body = vec![b'x'; number("bytes").unwrap_or(400)];
        let is_unframed = req.param("frame").is_some_and(|frame| frame == "none");
        let mut head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: {}.{id}\r\nServer-Load: {load}\r\n",
            self.id
        );
        head += &if is_unframed {
            "Connection: close\r\n\r\n".to_owned()
        } else {
            format!("Keep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n", body.len())
        };
        writer.write_all(head.as_bytes())?;
        if number("cut").is_some() {
            writer.write_all(&body[..body.len() / 2])?;
            thread::sleep(BEFORE_CUT);
            return Ok(false);
        }
        writer.write_all(&body)?;
        if let Some(run) = self.runs.lock().unwrap().iter_mut().find(|run| run.id == id) {
            run.answered = Some(Instant::now());
        }
        if is_unframed {
            writer.shutdown(std::net::Shutdown::Write)?;
        }
        Ok(!is_unframed)
    }

    fn take_slot(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.running >= self.slots && state.waiting >= MAX_QUEUED {
            return false;
        }
        state.waiting += 1;
        while state.running >= self.slots {
            state = self.freed.wait(state).unwrap();
        }
        state.waiting -= 1;
        state.running += 1;
        true
    }

    fn release_slot(&self) -> String {
        let mut state = self.state.lock().unwrap();
        state.running -= 1;
        self.freed.notify_one();
        format!("{},{},{}", state.running, state.waiting, self.slots)
    }
}
