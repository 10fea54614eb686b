//! A small deployment on loopback: daemons as processes, servers with heartbeats, and the record of what
//! clients sent and got and what servers ran.

use std::fs::File;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::store::Store;

/// Program of the deploy file's role, and the port that its `env` sets.
const PROGRAM: &str = "target/release/pomelo-platform";
const METRICS_PORT: u16 = 9464;
/// Bounds of the settings, as on the pages.
pub const DRAIN: Duration = Duration::from_millis(2_500);
pub const CONTACT: Duration = Duration::from_millis(3_000);
pub const GRACE: Duration = Duration::from_secs(6);
/// Memory of a machine, as on the pages.
pub const MEMORY_MB: u64 = 260;
/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Longest wait for all daemons to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The file that holds what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates `record.txt` in `dir`.
    pub fn create(dir: &Path) -> Arc<Self> {
        let file = File::create(dir.join("record.txt")).expect("a file for the record");
        Arc::new(Self { file: Mutex::new(file), started: Instant::now() })
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Waits until a time since the start.
    pub fn sleep_until(&self, time: Duration) {
        thread::sleep(time.saturating_sub(self.now()));
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("the lock");
        let _ = writeln!(file, "{:8.3} {text}", self.now().as_secs_f64());
    }
}

/// Ports of a day: the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    outbound: u16,
    ready: u16,
    control: u16,
    inbound: u16,
    app: u16,
    peers: u16,
}

/// One machine with its daemon.
pub struct Machine {
    /// Address of the machine.
    pub ip: String,
    /// Service of its server.
    pub service: &'static str,
    zone: &'static str,
    ports: Ports,
    dir: PathBuf,
    store: SocketAddr,
    child: Mutex<Option<Child>>,
    starts: AtomicU64,
    record: Arc<Record>,
}

impl Machine {
    /// Address that clients on the machine use.
    pub fn outbound(&self) -> SocketAddr {
        self.addr(self.ports.outbound)
    }

    /// Address of the server.
    pub fn app(&self) -> SocketAddr {
        self.addr(self.ports.app)
    }

    fn addr(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    /// Starts the daemon.
    pub fn start(&self) {
        let starts = self.starts.fetch_add(1, SeqCst);
        let path = self.dir.join(format!("{}.toml", self.ip));
        std::fs::write(&path, self.settings(starts == 0)).expect("settings");
        let log = File::create(self.dir.join(format!("{}-{starts}.log", self.ip))).expect("a log");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("POMELOPATH_CONFIG", &path)
            .env("POMELO_METRICS_PORT", METRICS_PORT.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|e| cannot_run(&format!("{PROGRAM} does not start: {e}")));
        self.record.line(&format!("daemon {} starts, pid {}", self.ip, child.id()));
        RUNNING.lock().expect("the lock").push(child.id());
        *self.child.lock().expect("the lock") = Some(child);
    }

    fn settings(&self, bootstrap: bool) -> String {
        let Self { ip, service, zone, ports, store, .. } = self;
        let Ports { outbound, ready, control, inbound, app, peers } = ports;
        format!(
            r#"[self]
node = "sidecar-{ip}"
role = "pomelo"
instanceClass = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{zone}"
region = "meseta"
countsTowardTolerance = false
bootstrap = {bootstrap}
appAddr = "{ip}:{app}"
service = "{service}"
[self.limits]
cpuShare = 0.2
cpuCores = 1
memoryMb = {MEMORY_MB}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[network]
portRange = [{peers},{}]
seedNodes = []
[network.listen]
inbound = "{ip}:{inbound}"
outbound = "{ip}:{outbound}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[network.zones]
{zone} = "meseta"
[provider]
discovery = "static"
entryMode = "static"
heartbeatMs = 1500
[provider.provider]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
[terms]
contracts = ["base","drain","config","cost","retry","recover","health","tenants","quota","platform"]
[terms.faultTolerance]
machines = 2
zones = 0
regions = 0
[terms.bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2500
graceS = 6
lossSlackMs = 200
configApplyMs = 2500
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 64
quotaWindowS = 5
quotaOverage = 0.1
quotaSlack = 20
recoveryS = 15
probesPerS = 3
floorShare = 0.7
"#,
            peers + 15
        )
    }

    /// Id of the daemon's process; 0 if none runs.
    pub fn pid(&self) -> u32 {
        self.child.lock().expect("the lock").as_ref().map_or(0, Child::id)
    }

    /// Kills the daemon.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("the lock").take() {
            self.record.line(&format!("daemon {} is killed", self.ip));
            let _ = child.kill();
            let _ = child.wait();
            forget_process(child.id());
        }
    }

    /// Sends SIGTERM, kills the daemon after the grace period, and waits for its end.
    pub fn terminate(&self) {
        let Some(mut child) = self.child.lock().expect("the lock").take() else { return };
        self.record.line(&format!("daemon {} gets SIGTERM", self.ip));
        signal(child.id(), "TERM");
        let until = Instant::now() + GRACE;
        while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let ended = child.wait();
        forget_process(child.id());
        self.record.line(&format!("daemon {} has ended: {ended:?}", self.ip));
    }

    /// Whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = http::encode("GET /pomelopath/ready HTTP/1.1", &[("Host", "ready")], b"");
        let response = http::call(self.addr(self.ports.ready), &request, Duration::from_secs(1));
        response.is_ok_and(|response| response.status() == 200)
    }

    /// Sends a heartbeat or departure of a server and returns the status of the answer; 0 without one.
    pub fn control(&self, start: &str, body: &str) -> u16 {
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let request = http::encode(start, &headers, body.as_bytes());
        let response = http::call(self.addr(self.ports.control), &request, Duration::from_secs(1));
        response.map_or(0, |response| response.status())
    }
}

/// Sends a signal to a process that this program has started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
}

/// Ids of the daemons' processes that have been started and not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn forget_process(pid: u32) {
    RUNNING.lock().expect("the lock").retain(|running| *running != pid);
}

/// Ends the program because the case can't run.
pub fn cannot_run(problem: &str) -> ! {
    eprintln!("the case can't run: {problem}");
    for pid in RUNNING.lock().expect("the lock").iter() {
        signal(*pid, "KILL");
    }
    std::process::exit(2);
}

/// All machines, the store and the record.
pub struct Fleet {
    /// The machines.
    pub machines: Vec<Arc<Machine>>,
    /// The store.
    pub store: Arc<Store>,
    /// The record.
    pub record: Arc<Record>,
}

impl Fleet {
    /// Starts the store and a daemon for each zone and service in `machines`; `config` is written first.
    pub fn start(case_dir: &Path, machines: &[(&'static str, &'static str)], config: &str) -> Self {
        let record = Record::create(case_dir);
        let dir = std::env::temp_dir().join(format!("pomelo-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let id = std::process::id();
        let ip = |n: usize| format!("127.{}.{}.{}", 64 + id / 250 % 60, id % 250 + 1, n + 1);
        let store = Store::start(&ip(machines.len()));
        store.put("op", "config", config);
        let ports = free_ports(&(0..machines.len()).map(ip).collect::<Vec<_>>());
        let machines: Vec<Arc<Machine>> = machines
            .iter()
            .enumerate()
            .map(|(n, (zone, service))| {
                Arc::new(Machine {
                    ip: ip(n),
                    service,
                    zone,
                    ports,
                    dir: dir.clone(),
                    store: store.addr,
                    child: Mutex::new(None),
                    starts: AtomicU64::new(0),
                    record: Arc::clone(&record),
                })
            })
            .collect();
        machines.iter().for_each(|machine| machine.start());
        let fleet = Self { machines, store, record };
        fleet.wait_until_ready();
        fleet
    }

    /// Waits until all daemons are ready.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + START_TIMEOUT;
        while !self.machines.iter().all(|machine| machine.is_ready()) {
            if Instant::now() > until {
                self.stop();
                cannot_run("the daemons do not become ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Kills all daemons.
    pub fn stop(&self) {
        self.machines.iter().for_each(|machine| machine.kill());
        let _ = self.machines.first().map(|machine| std::fs::remove_dir_all(&machine.dir));
    }

    /// Stops all and exits: 1 if the rule was broken, 0 if it held.
    pub fn finish(&self, broken: bool, verdict: &str) -> ! {
        self.record.line(&format!("{}: {verdict}", if broken { "BROKEN" } else { "HELD" }));
        println!("{}: {verdict}", if broken { "BROKEN" } else { "HELD" });
        self.stop();
        std::process::exit(i32::from(broken));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Ports that are free at all addresses.
fn free_ports(ips: &[String]) -> Ports {
    let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok());
    if !is_free(METRICS_PORT) {
        cannot_run("the metrics port is taken");
    }
    for first in (20_000..30_000).step_by(32) {
        if (first..first + 21).all(is_free) {
            return Ports {
                outbound: first,
                ready: first + 1,
                control: first + 2,
                inbound: first + 3,
                app: first + 4,
                peers: first + 5,
            };
        }
    }
    cannot_run("no ports are free")
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub request: String,
    /// Its target.
    pub target: String,
    /// Time since the start of the record.
    pub at: Duration,
}

/// What a server writes for a request that it runs; gets the request and the server's connection.
pub type Behaviour = Arc<dyn Fn(&Server, &Message, &mut TcpStream) -> io::Result<()> + Send + Sync>;

/// A server: one start under one id.
pub struct Server {
    /// Its id.
    pub id: String,
    machine: Arc<Machine>,
    born: u128,
    sequence: AtomicU64,
    is_beating: AtomicBool,
    is_draining: AtomicBool,
    has_ended: AtomicBool,
    runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server on a machine. It sends heartbeats until [`Server::leave`].
    pub fn start(id: &str, machine: &Arc<Machine>, record: &Arc<Record>, behaviour: &Behaviour) -> Arc<Self> {
        let listener = TcpListener::bind(machine.app()).expect("the port of the server");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
        let server = Arc::new(Self {
            id: id.to_owned(),
            machine: Arc::clone(machine),
            born,
            sequence: AtomicU64::new(0),
            is_beating: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            runs: Mutex::default(),
            record: Arc::clone(record),
        });
        let (acceptor, behaviour) = (Arc::clone(&server), Arc::clone(behaviour));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if acceptor.has_ended() {
                    return;
                }
                let (server, behaviour) = (Arc::clone(&acceptor), Arc::clone(&behaviour));
                thread::spawn(move || server.serve(stream, &behaviour));
            }
        });
        let beating = Arc::clone(&server);
        thread::spawn(move || {
            while beating.is_beating.load(SeqCst) {
                let body = beating.heartbeat();
                beating.send_heartbeat(&body);
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    /// Body of the next heartbeat.
    pub fn heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, SeqCst) + 1;
        let (addr, born, service) = (self.machine.app(), self.born, self.machine.service);
        let state = if self.is_draining.load(SeqCst) { "draining" } else { "ready" };
        format!(
            r#"{{"address":"{addr}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{}","slots":5}},"status":{{"state":"{state}","sequence":{sequence},"coldMs":0}}}}"#,
            self.machine.zone
        )
    }

    /// A heartbeat of another writer: it names this server, but version and zone are missing, and its sequence
    /// number is not the server's.
    pub fn odd_heartbeat(&self, service: &str) -> String {
        let (addr, born) = (self.machine.app(), self.born);
        format!(
            r#"{{"address":"{addr}","born":{born},"info":{{"service":"{service}","slots":5}},"status":{{"state":"ready","sequence":18446744073709551615,"coldMs":0}}}}"#
        )
    }

    /// Reports `draining` from now on. Returns the status of the first such heartbeat's answer.
    pub fn drain(&self) -> u16 {
        self.is_draining.store(true, SeqCst);
        let status = self.send_heartbeat(&self.heartbeat());
        self.record.line(&format!("server {} reports draining: answer {status}", self.id));
        status
    }

    /// Delivers a heartbeat and returns the status of its answer.
    pub fn send_heartbeat(&self, body: &str) -> u16 {
        self.machine.control(&format!("PUT /pomelopath/instances/{} HTTP/1.1", self.id), body)
    }

    /// Stops the heartbeats and reports the departure, as a server does that never says `draining`. Returns
    /// the status of the answer.
    pub fn leave(&self) -> u16 {
        self.is_beating.store(false, SeqCst);
        let status = self.machine.control(&format!("DELETE /pomelopath/instances/{} HTTP/1.1", self.id), "");
        self.record.line(&format!("server {} leaves: answer {status}", self.id));
        status
    }

    /// Ends the server: it refuses connections and answers nothing that it works on.
    pub fn end(&self) {
        self.has_ended.store(true, SeqCst);
        // Wakes the task that accepts connections.
        let _ = TcpStream::connect(self.machine.app());
        self.record.line(&format!("server {} ends", self.id));
    }

    /// Whether the server has ended.
    pub fn has_ended(&self) -> bool {
        self.has_ended.load(SeqCst)
    }

    /// Requests that the server began to run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("the lock").clone()
    }

    fn serve(&self, stream: TcpStream, behaviour: &Behaviour) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if self.has_ended() {
                return;
            }
            let answered = if request.target() == "/healthz" {
                let healthy = http::encode("HTTP/1.1 200 OK", &[("Instance-Id", &self.id)], b"");
                reader.get_mut().write_all(&healthy)
            } else if request.has("expected-instance") && request.header("expected-instance") != self.id {
                let refusal = [("Request-Id", request.header("request-id")), ("Instance-Id", &self.id)];
                reader.get_mut().write_all(&http::encode("HTTP/1.1 421 Misdirected", &refusal, b""))
            } else {
                self.begin(&request);
                behaviour(self, &request, reader.get_mut())
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn begin(&self, request: &Message) {
        let id = request.header("request-id").to_owned();
        self.record.line(&format!("server {} runs {id}: {}", self.id, request.start));
        let run = Run { request: id, target: request.target().to_owned(), at: self.record.now() };
        self.runs.lock().expect("the lock").push(run);
    }

    /// Bytes of a signed answer.
    pub fn answer(&self, request: &Message, status: &str, body: &[u8]) -> Vec<u8> {
        let signature = format!("{}.0", self.id);
        let headers =
            [("Request-Id", request.header("request-id")), ("Server-Signature", signature.as_str())];
        http::encode(&format!("HTTP/1.1 {status}"), &headers, body)
    }
}

/// A behaviour that works for a while and answers 200 with a short body.
pub fn sound(work: Duration) -> Behaviour {
    Arc::new(move |server, request, stream| {
        thread::sleep(work);
        if server.has_ended() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        stream.write_all(&server.answer(request, "200 OK", b"done"))
    })
}

/// Bytes of a client's request.
pub fn request(method: &str, path: &str, id: &str, deadline: Duration, body: &[u8]) -> Vec<u8> {
    let deadline = deadline.as_millis().to_string();
    let headers =
        [("Host", "ficu95.example"), ("Request-Id", id), ("Deadline-Ms", &deadline), ("Api-Key", KEY)];
    http::encode(&format!("{method} {path} HTTP/1.1"), &headers, body)
}

/// Key of the tenant.
pub const KEY: &str = "42q492cqf75rjvz48wua";

/// A configuration with these routes; each is a prefix, a type, the name of a service and a timeout in ms.
pub fn config(routes: &[(&str, &str, &str, u32)], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(prefix, kind, service, timeout_ms)| {
            format!(
                r#"{{"name":"r-{prefix}","host":"ficu95.example","prefix":"/{prefix}/","type":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":1500,"priority":1,"service":"{service}","attempts":2,"public":false}}"#
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","healthCheck":"/healthz","maxConnections":390,"protocol":"h1","tls":false}}"#))
        .collect();
    format!(
        r#"{{"version":"r1","routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1,"ratePerS":0,"burst":0}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}
