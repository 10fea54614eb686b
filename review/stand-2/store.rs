//! Stand-in of the platform's metadata store: rows, changes and transactions, as the page on the protocol says.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, Reader};
use crate::json::{Json, base64};

/// Table, part and key of a row.
type Name = (String, String, String);

#[derive(Default)]
struct State {
    /// Base64 values and versions.
    rows: BTreeMap<Name, (String, u64)>,
    /// Versions of deletions.
    deleted: BTreeMap<Name, u64>,
    version: u64,
    /// Whether all calls are answered with 503.
    is_down: bool,
    /// Number of restores.
    era: u64,
    /// Rows and version of the copy from which the store is restored.
    copy: (BTreeMap<Name, (String, u64)>, u64),
}

/// The store.
pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    /// Starts an empty store on a free loopback port.
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let store = Arc::new(Self {
            addr,
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = Arc::clone(&serving);
                thread::spawn(move || serving.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator does; its answer is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().expect("no panic");
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.into(), String::new(), key.into()), (base64(value.as_bytes()), version));
        self.changed.notify_all();
    }

    /// Makes the copy from which the store is restored.
    pub fn make_copy(&self) {
        let mut state = self.state.lock().expect("no panic");
        state.copy = (state.rows.clone(), state.version);
    }

    /// Restores the store from its copy.
    pub fn restore(&self) {
        let mut state = self.state.lock().expect("no panic");
        (state.rows, state.version) = state.copy.clone();
        state.deleted.clear();
        state.era += 1;
        self.changed.notify_all();
    }

    /// Makes the store answer 503 to all calls, or serve again.
    pub fn set_down(&self, is_down: bool) {
        self.state.lock().expect("no panic").is_down = is_down;
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(call) = reader.message() {
            let (status, body) = self.handle(&call);
            let era = self.state.lock().expect("no panic").era.to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
            if http::answer(&mut reader.stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
            let _ = reader.stream.flush();
        }
    }

    fn handle(&self, call: &Message) -> (&'static str, String) {
        let (path, query) = call.second_word().split_once('?').unwrap_or((call.second_word(), ""));
        let params: BTreeMap<String, String> =
            query.split('&').filter_map(|p| p.split_once('=')).map(|(n, v)| (n.into(), decode(v))).collect();
        let param = |name: &str| params.get(name).cloned().unwrap_or_default();
        if self.state.lock().expect("no panic").is_down {
            return ("503 Service Unavailable", "{}".into());
        }
        match path {
            "/pomelopath/rows-get" => self.get(&param("table"), &param("part"), &param("from"), &param("to")),
            "/pomelopath/rows-feed" => {
                let (after, wait) =
                    (param("after").parse().unwrap_or(0), param("waitMs").parse().unwrap_or(0));
                self.feed(&param("table"), after, Duration::from_millis(wait))
            }
            "/pomelopath/rows-tx" => {
                Json::parse(&call.body).map_or(("400 Bad Request", "{}".into()), |tx| self.commit(&tx))
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn get(&self, table: &str, part: &str, from: &str, to: &str) -> (&'static str, String) {
        let state = self.state.lock().expect("no panic");
        let wanted = state.rows.iter().filter(|((t, p, key), _)| {
            t == table && p == part && key.as_str() >= from && (to.is_empty() || key.as_str() < to)
        });
        let rows: Vec<String> = wanted.map(|(name, (value, version))| row(name, value, *version)).collect();
        let (rows, version, now) = (rows.join(","), state.version, self.now_ms());
        ("200 OK", format!("{{\"rows\":[{rows}],\"truncated\":false,\"ver\":{version},\"nowMs\":{now}}}"))
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().expect("no panic");
        loop {
            if state.is_down {
                return ("503 Service Unavailable", "{}".into());
            }
            if after > state.version {
                return ("410 Gone", "{}".into());
            }
            let newer = state.rows.iter().filter(|((t, ..), (_, version))| t == table && *version > after);
            let mut rows: Vec<(u64, String)> =
                newer.map(|(name, (value, version))| (*version, row(name, value, *version))).collect();
            let gone = state.deleted.iter().filter(|((t, ..), version)| t == table && **version > after);
            rows.extend(gone.map(|(name, version)| (*version, deleted_row(name, *version))));
            rows.sort();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let rows: Vec<String> = rows.into_iter().map(|(_, row)| row).collect();
                let (rows, version, now) = (rows.join(","), state.version, self.now_ms());
                return ("200 OK", format!("{{\"rows\":[{rows}],\"ver\":{version},\"nowMs\":{now}}}"));
            }
            state = self.changed.wait_timeout(state, left).expect("no panic").0;
        }
    }

    fn commit(&self, tx: &Json) -> (&'static str, String) {
        let name = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
        let mut state = self.state.lock().expect("no panic");
        let expected = tx.list("expectedRev");
        let present = |entry: &Json| state.rows.get(&name(entry)).map_or(0, |(_, version)| *version);
        if expected.iter().any(|entry| present(entry) != entry.number("ver")) {
            let found = expected.iter().map(name).filter_map(|n| state.rows.get_key_value(&n));
            let rows: Vec<String> = found.map(|(n, (value, version))| row(n, value, *version)).collect();
            return ("412 Precondition Failed", format!("{{\"rows\":[{}]}}", rows.join(",")));
        }
        state.version += 1;
        let version = state.version;
        for put in tx.list("puts") {
            state.rows.insert(name(&put), (put.text("value"), version));
        }
        for entry in tx.list("remove") {
            state.rows.remove(&name(&entry));
            state.deleted.insert(name(&entry), version);
        }
        self.changed.notify_all();
        ("200 OK", format!("{{\"ver\":{version},\"nowMs\":{}}}", self.now_ms()))
    }
}

fn row((table, part, key): &Name, value: &str, version: u64) -> String {
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}"
    )
}

fn deleted_row((table, part, key): &Name, version: u64) -> String {
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{version},\"deleted\":true}}"
    )
}

/// Decodes percent escapes.
fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let digits = tail.get(..2).filter(|_| first == b'%').and_then(|d| std::str::from_utf8(d).ok());
        if let Some(byte) = digits.and_then(|d| u8::from_str_radix(d, 16).ok()) {
            out.push(byte);
            rest = &tail[2..];
        } else {
            out.push(first);
            rest = tail;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
