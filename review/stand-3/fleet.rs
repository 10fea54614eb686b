//! A small deployment on loopback: addresses, settings, processes of daemons, and the record of a case.

use std::fs;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/pomelo-platform";
/// Value of the deploy file.
const METRICS_PORT: &str = "9464";
const STORE_PORT: u16 = 8362;
pub const SERVER_PORT: u16 = 8363;
pub const OUTBOUND_PORT: u16 = 8365;
const INBOUND_PORT: u16 = 8366;
pub const CONTROL_PORT: u16 = 8367;
pub const READY_PORT: u16 = 8369;
/// Bounds of the site `quesada-cirios`.
pub const GRACE_S: u64 = 6;
pub const DRAIN: Duration = Duration::from_millis(2_500);
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// Memory of a `sidecar` machine of that site.
pub const MEMORY_MB: u64 = 260;

/// Longest time of a run.
const MAX_RUN: Duration = Duration::from_secs(110);

/// Processes that run, by their ids.
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends a run that takes too long, with its processes.
fn end_late() {
    thread::sleep(MAX_RUN);
    for pid in PIDS.lock().unwrap().iter() {
        let _ = Command::new("kill").arg("-KILL").arg(pid.to_string()).status();
    }
    eprintln!("the case took longer than {MAX_RUN:?}");
    std::process::exit(2);
}

/// Writes what was seen to `record.txt` and to standard output.
pub struct Record {
    file: Mutex<fs::File>,
    started: Instant,
}

impl Record {
    pub fn new(dir: &Path) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Self { file: Mutex::new(fs::File::create(dir.join("record.txt"))?), started: Instant::now() }))
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started.elapsed().as_secs_f64());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }

    /// A line that is shown on the terminal too.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Loopback addresses of one run, apart from those of runs beside it.
pub struct Net {
    prefix: [u8; 3],
}

impl Net {
    pub fn new() -> Self {
        let pid = std::process::id();
        Self { prefix: [127, (pid % 199) as u8 + 20, (pid / 199 % 250) as u8 + 2] }
    }

    pub fn ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.prefix[0], self.prefix[1], self.prefix[2], n)
    }

    pub fn store(&self) -> SocketAddr {
        SocketAddrV4::new(self.ip(2), STORE_PORT).into()
    }

    /// The store's second door, for machines that it turns away at times.
    pub fn second_store(&self) -> SocketAddr {
        SocketAddrV4::new(self.ip(3), STORE_PORT).into()
    }

    /// Fails if an address of machine `n` is in use.
    pub fn check(&self, n: u8) -> io::Result<()> {
        for port in [SERVER_PORT, OUTBOUND_PORT, CONTROL_PORT, READY_PORT, 7_780, 9_464] {
            TcpListener::bind((self.ip(n), port))?;
        }
        Ok(())
    }
}

/// A machine with its daemon.
pub struct Machine {
    pub ip: Ipv4Addr,
    pub name: String,
    pub zone: &'static str,
    pub region: &'static str,
    pub service: &'static str,
    dir: PathBuf,
    store: SocketAddr,
    is_first_start: Mutex<bool>,
    child: Mutex<Option<Child>>,
}

impl Machine {
    pub fn new(
        net: &Net,
        n: u8,
        (zone, region): (&'static str, &'static str),
        service: &'static str,
        temp: &Path,
    ) -> io::Result<Arc<Self>> {
        Self::with_store(net, n, (zone, region), service, temp, net.store())
    }

    /// A machine that reaches the store at another address.
    pub fn with_store(
        net: &Net,
        n: u8,
        (zone, region): (&'static str, &'static str),
        service: &'static str,
        temp: &Path,
        store: SocketAddr,
    ) -> io::Result<Arc<Self>> {
        net.check(n)?;
        let name = format!("sidecar-{zone}-{n}");
        let dir = temp.join(&name);
        fs::create_dir_all(&dir)?;
        Ok(Arc::new(Self {
            ip: net.ip(n),
            name,
            zone,
            region,
            service,
            dir,
            store,
            is_first_start: Mutex::new(true),
            child: Mutex::new(None),
        }))
    }

    pub fn addr(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }

    fn settings(&self) -> String {
        let Self { ip, name, zone, region, service, store, .. } = self;
        let bootstrap = std::mem::take(&mut *self.is_first_start.lock().unwrap());
        format!(
            "[self]\nnode = \"{name}\"\nrole = \"pomelo\"\ninstanceClass = \"sidecar\"\nserves = [\"sidecar\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\ncountsTowardTolerance = false\n\
             bootstrap = {bootstrap}\nappAddr = \"{ip}:{SERVER_PORT}\"\nservice = \"{service}\"\n\
             [self.limits]\ncpuShare = 0.2\ncpuCores = 1\nmemoryMb = {MEMORY_MB}\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n\
             [network]\nportRange = [7780,7795]\nseedNodes = []\n\
             [network.listen]\ninbound = \"{ip}:{INBOUND_PORT}\"\noutbound = \"{ip}:{OUTBOUND_PORT}\"\n\
             ready = \"{ip}:{READY_PORT}\"\ncontrol = \"{ip}:{CONTROL_PORT}\"\n\
             [network.zones]\nparaiso = \"meseta\"\nbarva = \"meseta\"\ncanas = \"guanacaste\"\nsanta-cruz = \"guanacaste\"\n\
             [provider]\ndiscovery = \"static\"\nentryMode = \"static\"\nheartbeatMs = 1500\n\
             [provider.provider]\naddress = \"{store}\"\nform = \"table\"\nwritesPerS = 400\nreadsPerS = 2000\ntxMs = 5.0\n\
             partWritesS = 200\nrowBytes = 65536\nacross = false\nhistoryS = 20\n\
             [terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\",\"tenants\",\"quota\",\"platform\"]\n\
             [terms.faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [terms.bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2500\n\
             graceS = {GRACE_S}\nlossSlackMs = 200\nconfigApplyMs = 2500\nrollbackSlackMs = 250\nmaxStretchMs = 5000\n\
             strictRevocation = true\nrevokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 64\n\
             quotaWindowS = 5\nquotaOverage = 0.1\nquotaSlack = 20\nrecoveryS = 15\nprobesPerS = 3\nfloorShare = 0.7\n"
        )
    }

    /// Starts a machine that is added to a running fleet.
    pub fn start_later(&self) -> io::Result<()> {
        *self.is_first_start.lock().unwrap() = false;
        self.start()
    }

    pub fn start(&self) -> io::Result<()> {
        let path = self.dir.join("node.toml");
        fs::write(&path, self.settings())?;
        let log = fs::File::options().create(true).append(true).open(self.dir.join("log"))?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("POMELOPATH_CONFIG", &path)
            .env("POMELO_METRICS_PORT", METRICS_PORT)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        PIDS.lock().unwrap().push(child.id());
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            PIDS.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    /// Memory of the process in megabytes.
    pub fn memory_mb(&self) -> f64 {
        let read = |pid| fs::read_to_string(format!("/proc/{pid}/status")).ok();
        let status = self.pid().and_then(read).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
        kib.unwrap_or(0.0) * 1_024.0 / 1e6
    }

    pub fn is_ready(&self) -> bool {
        let req = b"GET /pomelopath/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let rep = http::call(self.addr(READY_PORT).into(), req, Duration::from_secs(1));
        rep.is_ok_and(|rep| rep.status() == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The parts of a case's run.
pub struct Case {
    pub record: Arc<Record>,
    pub net: Net,
    pub store: Arc<Store>,
    pub temp: PathBuf,
    pub has_trouble: bool,
}

impl Case {
    pub fn new(dir: &Path) -> io::Result<Self> {
        thread::spawn(end_late);
        let record = Record::new(dir)?;
        let net = Net::new();
        let temp = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&temp)?;
        let store = Store::start(net.store(), net.second_store())?;
        let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
        record.say(&format!("disruption: {}", if has_trouble { "on" } else { "off" }));
        Ok(Self { record, net, store, temp, has_trouble })
    }

    /// Starts the machines within 0.3 s of each other, and waits until all are ready.
    pub fn start_all(&self, machines: &[Arc<Machine>]) -> io::Result<()> {
        for machine in machines {
            machine.start()?;
        }
        let until = Instant::now() + Duration::from_secs(20);
        while !machines.iter().all(|m| m.is_ready()) {
            if Instant::now() > until {
                return Err(io::Error::other("the daemons don't become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}

impl Drop for Case {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.temp);
        } else {
            println!("kept: {}", self.temp.display());
        }
    }
}

/// A configuration with the routes of the site `quesada-cirios`, a public one, and one customer without a limit.
pub fn config(version: u64) -> String {
    config_with_keys(version, &[KEY])
}

/// [`config`], with these keys of its customer.
pub fn config_with_keys(version: u64, keys: &[&str]) -> String {
    let keys = keys.iter().map(|key| format!("\"{key}\"")).collect::<Vec<_>>().join(",");
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u32, target: u32, priority: u32| {
        let is_public = prefix == "/open/";
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"type\":\"{kind}\",\"timeoutMs\":{timeout},\
             \"targetLatencyMs\":{target},\"priority\":{priority},\"service\":\"{service}\",\"attempts\":2,\"public\":{is_public}}}"
        )
    };
    let routes = [
        route("r-peek", "/peek/", "idempotent", "sacristia", 4_000, 1_500, 2),
        route("r-order", "/order/", "non_idempotent", "sacristia", 5_000, 1_500, 1),
        route("r-open", "/open/", "non_idempotent", "sacristia", 5_000, 1_500, 1),
        route("r-label", "/label/", "download", "bodega-docs", 8_000, 1_200, 2),
        route("r-ledger", "/ledger/", "idempotent", "bodega-docs", 4_000, 600, 1),
    ];
    let service = |name: &str| {
        format!("{{\"name\":\"{name}\",\"healthCheck\":\"/healthz\",\"maxConnections\":390,\"protocol\":\"h1\",\"tls\":false}}")
    };
    format!(
        "{{\"version\":\"r{version}\",\"routes\":[{}],\"services\":[{},{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[{keys}],\"priority\":1,\"ratePerS\":0,\"burst\":0}}]}}",
        routes.join(","),
        service("sacristia"),
        service("bodega-docs"),
    )
}

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "3fexd9dnn2ctnfzs989a";
/// A second key of the same customer.
pub const SECOND_KEY: &str = "nu6wsjnbanfqasnmgkcu";

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// A new id of a request.
pub fn new_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000 + LAST_ID.fetch_add(1, Ordering::Relaxed))
}

/// Head of a client's request, without its end, so that fields can be added.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\n")
}
