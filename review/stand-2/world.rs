//! A small deployment on loopback: the store, daemons, servers beside them, and the record of a run.

use std::fs::{self, File};
use std::io::Write;
use std::path::PathBuf;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::daemon::{self, Daemon, Instance};
use crate::server::{Run, Server};
use crate::store::Store;

pub const HOST: &str = "ficu95.example";
/// API key of the only customer.
pub const KEY: &str = "3fexd9dnn2ctnfzs989a";

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("a writable record");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn add(&self, line: &str) {
        self.add_at(Instant::now(), line);
    }

    /// Adds what happened earlier.
    pub fn add_at(&self, at: Instant, line: &str) {
        let at = at.saturating_duration_since(self.started).as_secs_f64();
        let _ = writeln!(self.file.lock().expect("no panic"), "{at:8.3} {line}");
    }
}

/// Descriptors that any case needs.
const MIN_DESCRIPTORS: u64 = 900;

/// Ends the run unless this process may have `count` descriptors.
pub fn require_descriptors(count: u64) {
    if daemon::raise_descriptor_limit() < count {
        eprintln!("the limit of descriptors is below {count}");
        exit(NOT_RUN);
    }
}

/// The deployment. Dropping it ends all processes.
pub struct World {
    pub store: Arc<Store>,
    pub daemons: Vec<Daemon>,
    pub servers: Vec<Arc<Server>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Record,
    dir: PathBuf,
}

impl World {
    /// Starts the store and writes the first configuration.
    pub fn new(record: &str, config: &str) -> Self {
        require_descriptors(MIN_DESCRIPTORS);
        let dir = std::env::temp_dir().join(format!("pomelo-review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a writable folder");
        let store = Store::start();
        store.put("op", "config", config);
        let record = Record::create(record);
        Self { store, daemons: Vec::new(), servers: Vec::new(), runs: Arc::default(), record, dir }
    }

    /// Describes the next daemon.
    pub fn add_daemon(&mut self, instance: Instance) {
        let n = self.daemons.len() as u8 + 11;
        let daemon = Daemon::new(n, instance, self.store.addr, &self.dir);
        if !daemon::is_free(&daemon) {
            eprintln!("addresses of {} are in use", daemon.ip);
            exit(NOT_RUN);
        }
        self.daemons.push(daemon);
    }

    /// Starts all daemons and waits until they are ready and their servers are known everywhere.
    pub fn start(&mut self) {
        for daemon in &mut self.daemons {
            daemon.start();
        }
        for server in &self.servers {
            let beside = self.daemons.iter().find(|d| d.server == server.addr).expect("a daemon beside");
            server.beat(beside.heartbeats());
        }
        if !self.daemons.iter().all(|d| d.wait_until_ready(Duration::from_secs(15))) {
            eprintln!("a daemon is not ready");
            self.end(NOT_RUN);
        }
        std::thread::sleep(Duration::from_secs(3));
    }

    /// Ends all processes and exits.
    pub fn end(&mut self, code: i32) -> ! {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        let _ = fs::remove_dir_all(&self.dir);
        exit(code);
    }
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").is_err() || std::env::var("TROUBLE").is_ok_and(|v| v != "0")
}

/// The configuration `version`, with a service for orders and look-ups and one for downloads.
pub fn config(version: u32, timeout_ms: u32, limits: &str) -> String {
    config_with_keys(version, timeout_ms, limits, &[KEY])
}

/// [`config`] in which the customer has these keys.
pub fn config_with_keys(version: u32, timeout_ms: u32, limits: &str, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        "{{\"version\":\"r{version}\",\"routes\":[\
         {{\"name\":\"order\",\"host\":\"{HOST}\",\"prefix\":\"/order/\",\"type\":\"non_idempotent\",\"timeoutMs\":{timeout_ms},\
         \"targetLatencyMs\":1500,\"priority\":1,\"service\":\"sacristia\",\"attempts\":3,\"public\":false}},\
         {{\"name\":\"stock\",\"host\":\"{HOST}\",\"prefix\":\"/stock/\",\"type\":\"idempotent\",\"timeoutMs\":{timeout_ms},\
         \"targetLatencyMs\":1500,\"priority\":2,\"service\":\"sacristia\",\"attempts\":3,\"public\":false}},\
         {{\"name\":\"label\",\"host\":\"{HOST}\",\"prefix\":\"/label/\",\"type\":\"download\",\"timeoutMs\":{timeout_ms},\
         \"targetLatencyMs\":1500,\"priority\":2,\"service\":\"bodega-docs\",\"attempts\":3,\"public\":false}}],\
         \"services\":[{{\"name\":\"bodega-docs\",\"healthCheck\":\"/healthz\",\"maxConnections\":390}},{{\"name\":\"sacristia\",\"healthCheck\":\"/healthz\",\"maxConnections\":390}}],\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[{keys}],\"ratePerS\":0,\"burst\":0,\"priority\":1}}],\
         \"limits\":{limits}}}"
    )
}
