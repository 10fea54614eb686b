//! Processes of the daemon, started with the command of the deploy file and the settings of a small deployment.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http;

/// Program of the deploy file's `run`, from the root of the repository.
const PROGRAM: &str = "target/release/pomelo-platform";
/// The deploy file's `env`.
const METRICS_PORT: &str = "9464";

unsafe extern "C" {
    fn setrlimit(resource: i32, limit: *const [u64; 2]) -> i32;
    fn getrlimit(resource: i32, limit: *mut [u64; 2]) -> i32;
}

const RLIMIT_NOFILE: i32 = 7;

/// Raises the soft limit of descriptors of this process to the hard one; returns the limit.
pub fn raise_descriptor_limit() -> u64 {
    let mut limit = [0; 2];
    // SAFETY: both calls get a valid structure of two words.
    unsafe {
        if getrlimit(RLIMIT_NOFILE, &mut limit) != 0 {
            return 0;
        }
        limit[0] = limit[1];
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    limit[0]
}

/// Limits and place of an instance.
#[derive(Clone, Debug)]
pub struct Instance {
    pub service: &'static str,
    pub zone: &'static str,
    pub region: &'static str,
    pub memory_mb: u64,
    pub max_fds: u64,
}

/// A daemon, through all its processes.
pub struct Daemon {
    pub ip: IpAddr,
    instance: Instance,
    /// Address of the server beside it.
    pub server: SocketAddr,
    store: SocketAddr,
    dir: PathBuf,
    starts: u32,
    child: Option<Child>,
}

impl Daemon {
    /// Describes daemon number `n` of this run, whose server will listen on port 8363 of its address.
    pub fn new(n: u8, instance: Instance, store: SocketAddr, dir: &Path) -> Self {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, 64 + high % 64, low, n));
        let dir = dir.join(format!("daemon-{n}"));
        fs::create_dir_all(&dir).expect("a writable folder");
        Self { ip, instance, server: SocketAddr::new(ip, 8363), store, dir, starts: 0, child: None }
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8365)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8369)
    }

    pub fn heartbeats(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8367)
    }

    /// Starts a process.
    pub fn start(&mut self) {
        let is_first = self.starts == 0;
        self.starts += 1;
        let settings = self.dir.join("node.toml");
        fs::write(&settings, self.settings(is_first)).expect("a writable folder");
        let log = File::options().create(true).append(true).open(self.dir.join("log")).expect("a log");
        let child = Command::new(PROGRAM)
            .env("POMELOPATH_CONFIG", &settings)
            .env("POMELO_METRICS_PORT", METRICS_PORT)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn()
            .expect("the program of the deploy file is built");
        self.child = Some(child);
    }

    /// Waits until the readiness check answers 200.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        http::wait_until(limit, || {
            let request = http::request("GET", "/pomelopath/ready", &[("Host", "platform")], b"");
            http::call(self.ready(), &request, Duration::from_secs(1)).is_ok_and(|a| a.status() == 200)
        })
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Resident memory in bytes.
    pub fn memory(&self) -> u64 {
        self.memory_reader()()
    }

    /// Reads the resident memory of the present process in bytes.
    pub fn memory_reader(&self) -> impl Fn() -> u64 + Send + 'static {
        let path = format!("/proc/{}/status", self.child.as_ref().map_or(0, Child::id));
        move || {
            let status = fs::read_to_string(&path).unwrap_or_default();
            let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0 kB");
            line.trim().trim_end_matches(" kB").trim().parse::<u64>().unwrap_or(0) * 1024
        }
    }

    fn settings(&self, is_first: bool) -> String {
        let Instance { service, zone, region, memory_mb, max_fds } = &self.instance;
        let (ip, server, store) = (self.ip, self.server, self.store);
        format!(
            r#"[self]
node = "sidecar-{ip}"
role = "pomelo"
instanceClass = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
countsTowardTolerance = false
bootstrap = {is_first}
appAddr = "{server}"
service = "{service}"
[self.limits]
cpuShare = 0.2
cpuCores = 1
memoryMb = {memory_mb}
maxFds = {max_fds}
linkMbps = 1000.0
diskMb = 0
[network]
portRange = [7780,7795]
seedNodes = []
[network.listen]
inbound = "{ip}:8366"
outbound = "{ip}:8365"
ready = "{ip}:8369"
control = "{ip}:8367"
[network.zones]
paraiso = "meseta"
barva = "meseta"
canas = "guanacaste"
santa-cruz = "guanacaste"
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
"#
        )
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Whether the addresses of a daemon are free.
pub fn is_free(daemon: &Daemon) -> bool {
    [8363, 8365, 8366, 8367, 8369, 7780, 9464]
        .iter()
        .all(|port| TcpListener::bind((daemon.ip, *port)).is_ok())
}
