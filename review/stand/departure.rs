//! A server has left with `DELETE` and still serves for a while. Its daemon starts anew, and a heartbeat that the
//! server had sent before it left arrives late.

use std::collections::HashSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{self, CONTACT, DRAIN, Fleet, Machine, Record, Server};
use crate::http;

/// `Deadline-Ms` of the requests.
const DEADLINE: Duration = Duration::from_secs(8);
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(150);
/// Time between the end of a daemon and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time for which the store is down.
const STORE_DOWN: Duration = Duration::from_millis(4_500);
/// Time from the start of the restarted daemon after which the requests count.
const IN_TOUCH_AFTER: Duration = Duration::from_millis(CONTACT.as_millis() as u64 + 500);

/// Two machines of one service. The server of the second one leaves; the clients of the first one, which
/// nothing happens to, send orders all the while.
struct Scene {
    fleet: Fleet,
    record: Arc<Record>,
    /// Machine of the server that leaves.
    machine: Arc<Machine>,
    leaving: Arc<Server>,
    clients: Clients,
}

impl Scene {
    fn start(dir: &Path) -> Self {
        let config = fleet::config(&[("pufi791", "non_idempotent", "huvo11a", 8_000)], &["huvo11a"]);
        let fleet = Fleet::start(dir, &[("paraiso", "huvo11a"), ("paraiso", "huvo11a")], &config);
        let (near, machine) = (Arc::clone(&fleet.machines[0]), Arc::clone(&fleet.machines[1]));
        let record = Arc::clone(&fleet.record);
        let behaviour = fleet::sound(WORK);
        Server::start("i-staying", &near, &record, &behaviour);
        let leaving = Server::start("i-leaving", &machine, &record, &behaviour);
        thread::sleep(Duration::from_secs(4));
        let clients = Clients::start(&near, &record);
        thread::sleep(Duration::from_secs(2));
        Self { fleet, record, machine, leaving, clients }
    }

    /// The server reports its departure. Returns the time of the acknowledgement, and a heartbeat that the
    /// server had sent before.
    fn leave(&self) -> (Duration, String) {
        let heartbeat = self.leaving.heartbeat();
        if self.leaving.leave() != 200 {
            self.fleet.stop();
            fleet::cannot_run("the departure was not acknowledged");
        }
        (self.record.now(), heartbeat)
    }

    /// The heartbeat arrives, and then as in [`finish`](Self::finish).
    fn judge(self, late_heartbeat: &str, counts_from: Duration, end_at: Duration) -> ! {
        self.fleet.wait_until_ready();
        let status = self.leaving.send_heartbeat(late_heartbeat);
        self.record.line(&format!("the late heartbeat arrives: answer {status}"));
        self.finish(counts_from, end_at)
    }

    /// The server serves on until `end_at` and ends, and the requests that reached it after `counts_from` are
    /// judged.
    fn finish(self, counts_from: Duration, end_at: Duration) -> ! {
        self.record.sleep_until(end_at);
        self.leaving.end();
        thread::sleep(Duration::from_secs(1));
        let failed = self.clients.stop();
        let runs: Vec<_> = self.leaving.runs().into_iter().filter(|run| run.at > counts_from).collect();
        let lost = runs.iter().filter(|run| failed.contains(&run.request)).count();
        let verdict = format!(
            "{} requests reached the server later than {DRAIN:?} after its departure, all machines in touch; it \
             ended while it worked on {lost} of them",
            runs.len()
        );
        self.fleet.finish(!runs.is_empty(), &verdict)
    }

    fn record_rows(&self) {
        self.record.line(&format!("rows of the daemons: {:?}", self.fleet.store.keys("pomelo")));
    }
}

/// The daemon is stopped with SIGTERM and started again on its own.
pub fn run_stop(dir: &Path, trouble: bool) -> ! {
    let scene = Scene::start(dir);
    let (left_at, late_heartbeat) = scene.leave();
    scene.record_rows();
    thread::sleep(Duration::from_millis(500));
    let mut counts_from = left_at + DRAIN;
    if trouble {
        scene.machine.terminate();
        scene.record_rows();
        thread::sleep(RESTART_DELAY);
        scene.machine.start();
        counts_from = scene.record.now() + IN_TOUCH_AFTER;
    }
    scene.record.sleep_until(left_at + Duration::from_millis(3_600));
    scene.judge(&late_heartbeat, counts_from, left_at + Duration::from_millis(9_500))
}

/// The store is down when the server leaves. After the store has come back, the daemon is killed and started
/// again.
pub fn run_outage(dir: &Path, trouble: bool) -> ! {
    let scene = Scene::start(dir);
    let store = Arc::clone(&scene.fleet.store);
    let down_at = scene.record.now();
    store.is_silent.store(trouble, SeqCst);
    scene.record.line(&format!("the store is silent: {trouble}"));
    thread::sleep(Duration::from_millis(1_500));
    let (left_at, late_heartbeat) = scene.leave();
    scene.record.sleep_until(down_at + STORE_DOWN);
    store.is_silent.store(false, SeqCst);
    scene.record.line("the store answers");
    thread::sleep(Duration::from_millis(500));
    let mut counts_from = left_at + DRAIN;
    if trouble {
        scene.machine.kill();
        thread::sleep(RESTART_DELAY);
        scene.machine.start();
        counts_from = scene.record.now() + IN_TOUCH_AFTER;
    }
    scene.record.sleep_until(left_at + Duration::from_millis(4_500));
    scene.judge(&late_heartbeat, counts_from, left_at + Duration::from_millis(10_500))
}

/// Another writer sends one heartbeat in the server's name, with fields missing. Later the server drains.
pub fn run_odd_heartbeat(dir: &Path, trouble: bool) -> ! {
    let scene = Scene::start(dir);
    if trouble {
        let status = scene.leaving.send_heartbeat(&scene.leaving.odd_heartbeat("huvo11a"));
        scene.record.line(&format!("the odd heartbeat: answer {status}"));
    }
    thread::sleep(Duration::from_secs(4));
    if scene.leaving.drain() != 200 {
        scene.fleet.stop();
        fleet::cannot_run("the server's draining was not acknowledged");
    }
    let left_at = scene.record.now();
    scene.finish(left_at + DRAIN, left_at + Duration::from_millis(7_500))
}

/// Clients of a machine that send one order after the other.
struct Clients {
    is_sending: Arc<AtomicBool>,
    /// Ids of the requests that did not succeed.
    failed: Arc<Mutex<HashSet<String>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    fn start(machine: &Arc<Machine>, record: &Arc<Record>) -> Self {
        let is_sending = Arc::new(AtomicBool::new(true));
        let failed = Arc::new(Mutex::new(HashSet::new()));
        let threads = (0..4)
            .map(|client| {
                let (machine, record) = (Arc::clone(machine), Arc::clone(record));
                let (is_sending, failed) = (Arc::clone(&is_sending), Arc::clone(&failed));
                thread::spawn(move || {
                    for n in 0.. {
                        if !is_sending.load(SeqCst) {
                            return;
                        }
                        send_order(&machine, &record, &format!("c{client}-{n}"), &failed);
                    }
                })
            })
            .collect();
        Self { is_sending, failed, threads }
    }

    /// Stops the clients and returns the ids of the requests that did not succeed.
    fn stop(self) -> HashSet<String> {
        self.is_sending.store(false, SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.failed.lock().expect("the lock").clone()
    }
}

fn send_order(machine: &Machine, record: &Record, id: &str, failed: &Mutex<HashSet<String>>) {
    let request = fleet::request("POST", "/pufi791/order", id, DEADLINE, b"one");
    record.line(&format!("client sends {id}"));
    let status = http::call(machine.outbound(), &request, DEADLINE).map_or(0, |response| response.status());
    record.line(&format!("client gets {status} for {id}"));
    if status != 200 {
        failed.lock().expect("the lock").insert(id.to_owned());
    }
    thread::sleep(Duration::from_millis(50));
}
