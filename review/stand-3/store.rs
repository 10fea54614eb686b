//! Stand-in of the platform's store: rows, conditions and the feed of changes, as the pages say.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, base64};

/// What the store does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Sound,
    /// Neither carries out a call nor answers it.
    Silent,
    /// Answers 503 and does nothing.
    Busy,
}

type Key = (String, String);

/// All rows, the deleted ones, and the version of a moment.
type Copy = (BTreeMap<Key, (String, u64)>, BTreeMap<Key, u64>, u64);

struct State {
    rows: BTreeMap<Key, (String, u64)>,
    deleted: BTreeMap<Key, u64>,
    version: u64,
    /// Number of restores; stated in all answers after the first one.
    era: u64,
    copy: Option<Copy>,
    /// By the door through which calls come.
    modes: [Mode; 2],
    /// Keys of all rows that were written, for the record.
    written: Vec<(Instant, String)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    /// Starts an empty store. It has two doors, of which the second is for machines that it turns away at times.
    pub fn start(addr: SocketAddr, second: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listeners = [TcpListener::bind(addr)?, TcpListener::bind(second)?];
        let state = State {
            rows: BTreeMap::new(),
            deleted: BTreeMap::new(),
            version: 0,
            era: 0,
            copy: None,
            modes: [Mode::Sound; 2],
            written: Vec::new(),
        };
        let store = Arc::new(Self { state: Mutex::new(state), changed: Condvar::new(), started: Instant::now() });
        for (door, listener) in listeners.into_iter().enumerate() {
            let server = Arc::clone(&store);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = Arc::clone(&server);
                    thread::spawn(move || store.serve(stream, door));
                }
            });
        }
        Ok(store)
    }

    /// Sets what the store does with all calls.
    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().unwrap().modes = [mode; 2];
        self.changed.notify_all();
    }

    /// Sets what the store does with the calls that come through its second door.
    pub fn set_second_mode(&self, mode: Mode) {
        self.state.lock().unwrap().modes[1] = mode;
        self.changed.notify_all();
    }

    /// Makes the copy from which the store may come back.
    pub fn make_copy(&self) {
        let mut state = self.state.lock().unwrap();
        state.copy = Some((state.rows.clone(), state.deleted.clone(), state.version));
    }

    /// Brings the store back from its copy: all later writes are gone, and versions are given out again.
    pub fn restore(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some((rows, deleted, version)) = state.copy.take() {
            (state.rows, state.deleted, state.version) = (rows, deleted, version);
        }
        state.era += 1;
        self.changed.notify_all();
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.into(), key.into()), (base64(value.as_bytes()), version));
        self.changed.notify_all();
    }

    /// Keys that daemons have written since `since`.
    pub fn written_since(&self, since: Instant) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.written.iter().filter(|(at, _)| *at >= since).map(|(_, key)| key.clone()).collect()
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn serve(&self, stream: TcpStream, door: usize) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = http::read_request(&mut reader) {
            let mode = self.state.lock().unwrap().modes[door];
            let (status, body) = match mode {
                Mode::Sound => self.answer(&req, door),
                Mode::Busy => (503, "{}".into()),
                Mode::Silent => {
                    // A connection on which an answer is lost delivers nothing further.
                    thread::sleep(Duration::from_secs(120));
                    return;
                }
            };
            let era = self.state.lock().unwrap().era;
            let era = if era > 0 { format!("Store-Era: {era}\r\n") } else { String::new() };
            let head = format!(
                "HTTP/1.1 {status} -\r\n{era}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(head.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message, door: usize) -> (u16, String) {
        let param = |name: &str| req.param(name).unwrap_or_default();
        match req.path() {
            "/pomelopath/rows-get" => {
                let (table, from, to) = (param("table"), param("from"), param("to"));
                let state = self.state.lock().unwrap();
                let rows = state.rows.iter().filter(|((t, key), _)| {
                    *t == table && *key >= from && (to.is_empty() || *key < to)
                });
                let rows: Vec<_> = rows.map(|((t, k), (v, ver))| row(t, k, v, *ver)).collect();
                (200, self.rows_json(&rows, state.version))
            }
            "/pomelopath/rows-feed" => {
                self.feed(&param("table"), param("after").parse().unwrap_or(0), &param("waitMs"), door)
            }
            "/pomelopath/rows-tx" => self.transaction(&String::from_utf8_lossy(&req.body)),
            _ => (404, "{}".into()),
        }
    }

    fn rows_json(&self, rows: &[String], version: u64) -> String {
        let (rows, now_ms) = (rows.join(","), self.now_ms());
        format!("{{\"rows\":[{rows}],\"truncated\":false,\"ver\":{version},\"nowMs\":{now_ms}}}")
    }

    fn feed(&self, table: &str, after: u64, wait_ms: &str, door: usize) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.parse().unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let mut rows: Vec<_> = state
                .rows
                .iter()
                .filter(|((t, _), (_, ver))| t == table && *ver > after)
                .map(|((t, k), (v, ver))| (*ver, row(t, k, v, *ver)))
                .collect();
            rows.extend(state.deleted.iter().filter(|((t, _), ver)| t == table && **ver > after).map(|((t, k), ver)| {
                (*ver, format!("{{\"table\":\"{t}\",\"part\":\"\",\"key\":\"{k}\",\"ver\":{ver},\"deleted\":true}}"))
            }));
            rows.sort();
            let now = Instant::now();
            if after > state.version {
                return (410, "{}".into());
            }
            if state.modes[door] != Mode::Sound {
                return (503, "{}".into());
            }
            if !rows.is_empty() || now >= until {
                let rows: Vec<_> = rows.into_iter().map(|(_, row)| row).collect();
                return (200, self.rows_json(&rows, state.version));
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn transaction(&self, body: &str) -> (u16, String) {
        let Some(tx) = Json::parse(body) else { return (400, "{}".into()) };
        let key = |entry: &Json| (entry.get("table").text().to_owned(), entry.get("key").text().to_owned());
        let mut state = self.state.lock().unwrap();
        let present = |state: &State, entry: &Json| state.rows.get(&key(entry)).map_or(0, |(_, ver)| *ver);
        let expected = tx.get("expectedRev").list();
        if expected.iter().any(|entry| present(&state, entry) != entry.get("ver").number()) {
            let rows: Vec<_> = expected
                .iter()
                .filter_map(|entry| {
                    let (table, key) = key(entry);
                    let (value, ver) = state.rows.get(&(table.clone(), key.clone()))?;
                    Some(row(&table, &key, value, *ver))
                })
                .collect();
            return (412, format!("{{\"rows\":[{}],\"ver\":{},\"nowMs\":{}}}", rows.join(","), state.version, self.now_ms()));
        }
        state.version += 1;
        let version = state.version;
        for entry in tx.get("puts").list() {
            let key = key(entry);
            state.written.push((Instant::now(), key.1.clone()));
            state.deleted.remove(&key);
            state.rows.insert(key, (entry.get("value").text().to_owned(), version));
        }
        for entry in tx.get("remove").list() {
            let key = key(entry);
            state.rows.remove(&key);
            state.deleted.insert(key, version);
        }
        self.changed.notify_all();
        (200, format!("{{\"ver\":{version},\"nowMs\":{}}}", self.now_ms()))
    }
}

fn row(table: &str, key: &str, value: &str, ver: u64) -> String {
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{ver}}}")
}
