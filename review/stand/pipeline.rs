//! Clients send a second idempotent request behind a download. Some downloads break off at their server.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{self, Behaviour, Fleet, Record, Server};
use crate::http::Connection;

/// `Deadline-Ms` of the requests.
const DEADLINE: Duration = Duration::from_secs(8);
/// Time that the servers work on a download and on the request behind it.
const DOWNLOAD_WORK: Duration = Duration::from_millis(60);
const WORK: Duration = Duration::from_millis(10);
/// Size of a download.
const DOWNLOAD_BYTES: usize = 200_000;
/// One in this many answers breaks off while the disruption lasts.
const BREAK_INTERVAL: usize = 50;
/// Time for which answers break off.
const DISRUPTION: Duration = Duration::from_millis(5_500);
const CLIENTS: usize = 8;

pub fn run(dir: &Path, trouble: bool) -> ! {
    let routes = [("pule252", "download", "wuno96b", 8_000), ("lohu930", "idempotent", "huvo11a", 8_000)];
    let config = fleet::config(&routes, &["huvo11a", "wuno96b"]);
    let fleet = Fleet::start(dir, &[("paraiso", "wuno96b"), ("paraiso", "huvo11a")], &config);
    let record = Arc::clone(&fleet.record);
    let is_disrupted = Arc::new(AtomicBool::new(false));
    let breaking = breaking(&is_disrupted);
    Server::start("i-downloads", &fleet.machines[0], &record, &breaking);
    let sound = Server::start("i-sound", &fleet.machines[1], &record, &fleet::sound(WORK));
    thread::sleep(Duration::from_secs(4));

    let is_sending = Arc::new(AtomicBool::new(true));
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let to = fleet.machines[0].outbound();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, is_sending) = (Arc::clone(&record), Arc::clone(&is_sending));
            let unanswered = Arc::clone(&unanswered);
            thread::spawn(move || {
                let mut n = 0;
                while is_sending.load(SeqCst) {
                    let lost = use_connection(to, client, &mut n, &is_sending, &record);
                    unanswered.lock().expect("the lock").extend(lost);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    is_disrupted.store(trouble, SeqCst);
    record.line(&format!("answers break off: {trouble}"));
    thread::sleep(DISRUPTION);
    is_disrupted.store(false, SeqCst);
    record.line("answers are whole");
    thread::sleep(Duration::from_secs(2));
    is_sending.store(false, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let runs = sound.runs();
    let unanswered = unanswered.lock().expect("the lock");
    let lost = unanswered.iter().filter(|id| runs.iter().any(|run| run.request == **id)).count();
    let verdict = format!(
        "{lost} requests on kept connections were passed on to the sound server and got no answer, of {} that it ran",
        runs.len()
    );
    fleet.finish(lost > 3, &verdict);
}

/// Answers downloads, and breaks off one in [`BREAK_INTERVAL`] while `is_disrupted`.
fn breaking(is_disrupted: &Arc<AtomicBool>) -> Behaviour {
    let is_disrupted = Arc::clone(is_disrupted);
    let count = AtomicUsize::new(0);
    let body = vec![b'x'; DOWNLOAD_BYTES];
    Arc::new(move |server, request, stream| {
        thread::sleep(DOWNLOAD_WORK);
        let answer = server.answer(request, "200 OK", &body);
        if is_disrupted.load(SeqCst) && count.fetch_add(1, SeqCst) % BREAK_INTERVAL == BREAK_INTERVAL - 1 {
            stream.write_all(&answer[..answer.len() / 2])?;
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        stream.write_all(&answer)
    })
}

/// Uses one connection until it ends: first for a single request, then for pairs. Returns the id of the second
/// request of a pair if it got no answer.
fn use_connection(
    to: SocketAddr,
    client: usize,
    n: &mut usize,
    is_sending: &AtomicBool,
    record: &Record,
) -> Option<String> {
    let mut conn = Connection::open(to, DEADLINE).ok()?;
    *n += 1;
    conn.exchange(&fleet::request("GET", "/lohu930/a", &format!("single-{client}-{n}"), DEADLINE, b""))
        .ok()?;
    while is_sending.load(SeqCst) {
        *n += 1;
        let (first, second) = (format!("download-{client}-{n}"), format!("behind-{client}-{n}"));
        let mut pair = fleet::request("GET", "/pule252/a", &first, DEADLINE, b"");
        pair.extend(fleet::request("GET", "/lohu930/a", &second, DEADLINE, b""));
        if let Err(e) = conn.exchange(&pair) {
            record.line(&format!("client gets no whole answer for {first}, and none for {second}: {e}"));
            return Some(second);
        }
        if let Err(e) = conn.receive() {
            record.line(&format!("client gets no answer for {second}: {e}"));
            return Some(second);
        }
        record.line(&format!("client gets answers for {first} and {second}"));
    }
    None
}
