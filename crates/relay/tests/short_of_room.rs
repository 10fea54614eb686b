//! A daemon that is short of slots, memory or connections refuses what is new rather than close the connection of a
//! caller that reads slowly and whose requests have been passed on.

mod common;

use std::time::{Duration, Instant};

use common::{
    Act, BODY_MEMORY_BYTES, Daemon, KEY, conf, connect_with_small_segments, eventually, fleet, large_body,
    long_timeout_conf, on_one_thread, parse_answers, read_slowly, request, status,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Pause of a slow caller, which is shorter than its deadline.
const PAUSE: Duration = Duration::from_millis(6_500);
/// Pause after which an answer counts as unread, unless its caller still waits for it.
const LONG_PAUSE: Duration = Duration::from_secs(12);
/// Bytes that a slow caller reads at a time after its pause.
const BYTES_PER_READ: usize = 64 * 1024;
/// Time that the server works on a download, in milliseconds.
const RUN_MS: u64 = 300;
/// Interval at which a newcomer tries to get room.
const TRY_INTERVAL: Duration = Duration::from_millis(50);
/// Length of a small answer of the server in bytes.
const SMALL_BYTES: usize = 5;
/// Length of a download that the caller's daemon buffers, in bytes. Four fit into its memory for bodies, and then no
/// upload of the same size does.
const DOWNLOAD_BYTES: usize = 900 * 1024;
/// Length of a download that is streamed, in bytes.
const STREAMED_BYTES: usize = 1_100 * 1024;

fn get(id: &str) -> String {
    request("GET", "/stock/a", id, "")
}

/// A caller that has received an answer on its connection, and then asks for a download of `bytes` bytes without
/// reading it.
async fn start_download(daemon: &Daemon, name: &str, bytes: usize) -> TcpStream {
    let mut caller = connect_with_small_segments(daemon.callers).await;
    daemon.backend.acts.replace(vec![Act::Answer]);
    caller.write_all(get(&format!("{name}-0")).as_bytes()).await.expect("the daemon reads");
    read_answers(&mut caller, &[SMALL_BYTES]).await;
    let runs = daemon.runs();
    daemon.backend.acts.replace(vec![Act::Large(bytes, RUN_MS), Act::Answer]);
    caller.write_all(get(&format!("{name}-1")).as_bytes()).await.expect("the daemon reads");
    eventually(|| daemon.runs() == runs + 1).await;
    caller
}

/// Sends two further requests behind a download, and waits until the server has run them.
async fn send_behind(caller: &mut TcpStream, daemon: &Daemon, name: &str) {
    let runs = daemon.runs();
    let behind = get(&format!("{name}-2")) + &get(&format!("{name}-3"));
    caller.write_all(behind.as_bytes()).await.expect("the daemon reads");
    eventually(|| daemon.runs() == runs + 2).await;
    caller.readable().await.expect("the beginning of the download");
}

/// Reads answers with bodies of these lengths, and asserts that they are whole.
async fn read_answers(caller: &mut TcpStream, bodies: &[usize]) {
    let lengths = |rep: &[u8]| parse_answers(rep).iter().map(|(_, body)| body.len()).collect::<Vec<_>>();
    let (rep, end) = read_slowly(caller, BYTES_PER_READ, Duration::ZERO, |rep| lengths(rep) == bodies).await;
    assert_eq!(lengths(&rep), bodies, "the connection: {end}");
    for (status, body) in parse_answers(&rep) {
        assert!(status == 200 && (body == b"whole" || *body == *large_body(body.len())));
    }
}

/// Repeats a request that the daemon refuses for as long as a slow caller pauses; returns the last refusal.
async fn press(pause_ends: Instant, attempt: impl AsyncFn(usize) -> String) -> String {
    let mut last = String::new();
    let mut attempts = 0;
    while Instant::now() < pause_ends {
        last = attempt(attempts).await;
        attempts += 1;
        sleep(TRY_INTERVAL).await;
    }
    last
}

/// Takes the memory for bodies with the downloads of slow callers that have sent requests behind.
async fn fill_memory(daemon: &Daemon) -> Vec<TcpStream> {
    let mut callers = Vec::new();
    for n in 0..BODY_MEMORY_BYTES / DOWNLOAD_BYTES {
        let name = format!("slow{n}");
        let mut slow = start_download(daemon, &name, DOWNLOAD_BYTES).await;
        send_behind(&mut slow, daemon, &name).await;
        callers.push(slow);
    }
    callers
}

/// Takes all slots of the server with requests that it does not answer.
async fn fill_slots(daemon: &Daemon) -> [TcpStream; 2] {
    daemon.backend.acts.replace(vec![Act::Hang]);
    let runs = daemon.runs();
    let mut callers = [connect(daemon).await, connect(daemon).await];
    for (n, caller) in callers.iter_mut().enumerate() {
        let order = request("POST", "/order/a", &format!("hangs-{n}"), "");
        caller.write_all(order.as_bytes()).await.expect("the daemon reads");
    }
    eventually(|| daemon.runs() == runs + 2).await;
    callers
}

async fn connect(daemon: &Daemon) -> TcpStream {
    TcpStream::connect(daemon.callers).await.expect("the daemon listens")
}

/// An order that can't be finished by its deadline while all slots are taken.
fn hurried_order(n: usize) -> String {
    format!(
        "POST /order/a HTTP/1.1\r\nhost: a\r\nx-request-id: order-{n}\r\nx-api-key: {KEY}\r\n\
         x-deadline-ms: 30\r\ncontent-length: 0\r\n\r\n"
    )
}

// Guards against look-ups that run and are lost behind a download that is read slowly, whenever the server beside the
// daemon declines another request (second review, case 10).
#[test]
fn a_shortage_of_slots_does_not_close_a_connection_that_holds_none() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], long_timeout_conf).await;
        let daemon = &fleet.daemons[0];
        let mut slow = start_download(daemon, "slow", DOWNLOAD_BYTES).await;
        send_behind(&mut slow, daemon, "slow").await;
        let pause_ends = Instant::now() + PAUSE;
        let _full = fill_slots(daemon).await;
        let refused = press(pause_ends, async |n| daemon.send_raw(&hurried_order(n), "\r\n\r\n").await).await;
        assert_eq!(status(&refused), 503, "{refused}");
        read_answers(&mut slow, &[DOWNLOAD_BYTES, SMALL_BYTES, SMALL_BYTES]).await;
    });
}

// Guards against a download that is cut because its caller pauses while it holds a slot that others want.
#[test]
fn a_shortage_of_slots_does_not_cut_a_streamed_download_within_its_deadline() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], long_timeout_conf).await;
        let daemon = &fleet.daemons[0];
        let mut first = start_download(daemon, "first", STREAMED_BYTES).await;
        let mut second = start_download(daemon, "second", STREAMED_BYTES).await;
        let pause_ends = Instant::now() + PAUSE;
        let refused = press(pause_ends, async |n| daemon.send_raw(&hurried_order(n), "\r\n\r\n").await).await;
        assert_eq!(status(&refused), 503, "{refused}");
        read_answers(&mut first, &[STREAMED_BYTES]).await;
        read_answers(&mut second, &[STREAMED_BYTES]).await;
    });
}

// Guards against the same loss when memory for bodies is short: the upload is refused, and no connection is closed.
#[test]
fn a_shortage_of_memory_does_not_close_a_connection_with_requests_behind() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], long_timeout_conf).await;
        let daemon = &fleet.daemons[0];
        let mut callers = fill_memory(daemon).await;
        let upload = request("POST", "/order/a", "upload", &"x".repeat(DOWNLOAD_BYTES));
        let refused =
            press(Instant::now() + PAUSE, async |_| daemon.send_raw(&upload, "\r\n\r\n").await).await;
        assert_eq!(status(&refused), 503, "{refused}");
        assert!(refused.contains("body-memory"), "{refused}");
        for slow in &mut callers {
            read_answers(slow, &[DOWNLOAD_BYTES, SMALL_BYTES, SMALL_BYTES]).await;
        }
    });
}

// Guards against the same loss when the next answer doesn't fit into the memory: it is streamed.
#[test]
fn an_answer_that_does_not_fit_into_the_memory_closes_no_connection_with_requests_behind() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], long_timeout_conf).await;
        let daemon = &fleet.daemons[0];
        let mut callers = fill_memory(daemon).await;
        daemon.backend.acts.replace(vec![Act::Large(DOWNLOAD_BYTES, 0)]);
        press(Instant::now() + PAUSE, async |n| {
            let mut fast = connect(daemon).await;
            fast.write_all(get(&format!("fast-{n}")).as_bytes()).await.expect("the daemon reads");
            read_answers(&mut fast, &[DOWNLOAD_BYTES]).await;
            String::new()
        })
        .await;
        for slow in &mut callers {
            read_answers(slow, &[DOWNLOAD_BYTES, SMALL_BYTES, SMALL_BYTES]).await;
        }
    });
}

// Guards against requests that are lost because their caller reads nothing for a while, although its deadline is later.
#[test]
fn a_caller_that_pauses_for_long_within_its_deadline_keeps_its_connection() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], long_timeout_conf).await;
        let daemon = &fleet.daemons[0];
        let mut slow = start_download(daemon, "slow", DOWNLOAD_BYTES).await;
        send_behind(&mut slow, daemon, "slow").await;
        sleep(LONG_PAUSE).await;
        read_answers(&mut slow, &[DOWNLOAD_BYTES, SMALL_BYTES, SMALL_BYTES]).await;
    });
}

// Guards against callers that hold their connections and the answers on them for ever.
#[test]
fn a_caller_that_reads_nothing_past_its_deadline_is_disconnected() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf).await;
        let daemon = &fleet.daemons[0];
        let mut slow = start_download(daemon, "slow", DOWNLOAD_BYTES).await;
        slow.readable().await.expect("the beginning of the download");
        sleep(LONG_PAUSE).await;
        let (rep, end) = read_slowly(&mut slow, BYTES_PER_READ, Duration::ZERO, |_| false).await;
        assert!(rep.len() < DOWNLOAD_BYTES, "{} bytes, {end}", rep.len());
    });
}
