//! Stand-in of the platform's store: rows with versions, transactions, and the feed of changes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, base64};

/// A row; a deleted one stays as a mark for the feed.
#[derive(Clone)]
struct Row {
    /// Value in base64; `None` once deleted.
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct Rows {
    by_name: BTreeMap<(String, String), Row>,
    ver: u64,
}

/// The store.
pub struct Store {
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// While set, calls are neither carried out nor answered.
    pub is_silent: AtomicBool,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    /// Starts an empty store.
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let store = Arc::new(Self {
            addr: listener.local_addr().expect("a bound address"),
            is_silent: AtomicBool::new(false),
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().expect("the lock");
        rows.ver += 1;
        let row = Row { value: Some(base64(value.as_bytes())), ver: rows.ver };
        rows.by_name.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    /// Keys of a table's present rows.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.rows.lock().expect("the lock");
        let present = rows.by_name.iter().filter(|((t, _), row)| t == table && row.value.is_some());
        present.map(|((_, key), _)| key.clone()).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if self.is_silent.load(SeqCst) {
                while self.is_silent.load(SeqCst) {
                    thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            let bytes = http::encode(&format!("HTTP/1.1 {status} X"), &headers, body.as_bytes());
            if self.is_silent.load(SeqCst) || reader.get_mut().write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let params: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, percent_decode(value)))
            .collect();
        let param = |name: &str| params.get(name).cloned().unwrap_or_default();
        match path {
            "/pomelopath/rows-get" => self.get(&param("table"), &param("from"), &param("to")),
            "/pomelopath/rows-feed" => {
                let wait = Duration::from_millis(param("waitMs").parse().unwrap_or(0));
                self.feed(&param("table"), param("after").parse().unwrap_or(0), wait)
            }
            "/pomelopath/rows-tx" => self.transact(&Json::parse(&String::from_utf8_lossy(&request.body))),
            _ => (404, "{}".to_owned()),
        }
    }

    fn reply(&self, rows: &Rows, listed: &[String]) -> (u16, String) {
        let (ver, now_ms) = (rows.ver, self.started.elapsed().as_millis());
        let listed = listed.join(",");
        (200, format!(r#"{{"rows":[{listed}],"truncated":false,"ver":{ver},"nowMs":{now_ms}}}"#))
    }

    fn get(&self, table: &str, from: &str, to: &str) -> (u16, String) {
        let rows = self.rows.lock().expect("the lock");
        let in_range = |key: &str| key >= from && (to.is_empty() || key < to);
        let wanted =
            rows.by_name.iter().filter(|((t, key), row)| t == table && in_range(key) && row.value.is_some());
        let listed: Vec<String> = wanted.map(|(name, row)| row_json(name, row)).collect();
        self.reply(&rows, &listed)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().expect("the lock");
        loop {
            let newer = rows.by_name.iter().filter(|((t, _), row)| t == table && row.ver > after);
            let listed: Vec<String> = newer.map(|(name, row)| row_json(name, row)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !listed.is_empty() || left.is_zero() {
                return self.reply(&rows, &listed);
            }
            rows = self.changed.wait_timeout(rows, left).expect("the lock").0;
        }
    }

    fn transact(&self, tx: &Json) -> (u16, String) {
        let mut rows = self.rows.lock().expect("the lock");
        let name = |entry: &Json| (entry.text("table"), entry.text("key"));
        let present = |rows: &Rows, entry: &Json| {
            rows.by_name.get(&name(entry)).filter(|row| row.value.is_some()).map_or(0, |row| row.ver)
        };
        if tx.list("expectedRev").iter().any(|entry| present(&rows, entry) != entry.number("ver")) {
            return (412, r#"{"rows":[]}"#.to_owned());
        }
        rows.ver += 1;
        let ver = rows.ver;
        for entry in tx.list("puts") {
            rows.by_name.insert(name(entry), Row { value: Some(entry.text("value")), ver });
        }
        for entry in tx.list("remove") {
            rows.by_name.insert(name(entry), Row { value: None, ver });
        }
        self.changed.notify_all();
        (200, format!(r#"{{"ver":{ver},"nowMs":{}}}"#, self.started.elapsed().as_millis()))
    }
}

fn row_json((table, key): &(String, String), row: &Row) -> String {
    let ver = row.ver;
    match &row.value {
        Some(value) => {
            format!(r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{ver}}}"#)
        }
        None => format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{ver},"deleted":true}}"#),
    }
}

fn percent_decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let digits = tail.get(..2).filter(|_| first == b'%').and_then(|d| std::str::from_utf8(d).ok());
        let byte = digits.and_then(|d| u8::from_str_radix(d, 16).ok());
        out.push(byte.unwrap_or(first));
        rest = if byte.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&out).into_owned()
}
