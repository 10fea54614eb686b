//! Callers that read large answers slowly must receive every byte, whatever closes the connection.

mod common;

use std::time::{Duration, Instant};

use common::{
    Act, BODY_MEMORY_BYTES, Daemon, Fleet, KEY, conf, connect_with_small_buffer, connect_with_small_segments,
    eventually, fleet, large_body, long_objective_conf, long_timeout_conf, on_one_thread, parse_answers,
    read_slowly, status,
};
use conf::{KeyHasher, Snapshot};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Bytes that a slow caller reads at a time.
const BYTES_PER_READ: usize = 32 * 1024;
/// Pause of a slow caller before each read.
const READ_PAUSE: Duration = Duration::from_millis(5);
/// Time that the server takes to answer, in milliseconds.
const RUN_MS: u64 = 300;
/// Time after which all buffers between server and caller are full.
const BUFFERS_FULL_AFTER: Duration = Duration::from_millis(300);
/// Time after the stop signal at which connections have been asked to close, which happens after 2.5 s.
const CLOSE_AFTER: Duration = Duration::from_millis(2_700);

/// How the caller's daemon gets the answer, and whether that daemon buffers the answer.
#[derive(Clone, Copy, Debug)]
enum AnswerPath {
    /// Buffered by the caller's daemon, which is also the one beside the server.
    Buffered,
    /// Buffered by the caller's daemon, at up to 1 MiB, after its part beside the server has streamed it.
    BufferedLarge,
    /// Buffered by the caller's daemon, at up to 1 MiB, after the daemon beside the server has streamed it.
    BufferedRemote,
    /// Streamed by the caller's daemon, at over 1 MiB, which is also the one beside the server.
    Streamed,
    /// Streamed by the caller's daemon, at over 1 MiB, and by the daemon beside the server.
    StreamedRemote,
}

impl AnswerPath {
    fn bytes(self) -> usize {
        match self {
            AnswerPath::Buffered => 64 * 1024,
            AnswerPath::BufferedRemote => 800 * 1024,
            AnswerPath::BufferedLarge => 192 * 1024,
            AnswerPath::Streamed | AnswerPath::StreamedRemote => 1_100 * 1024,
        }
    }

    /// Starts daemons of which the first serves the caller.
    async fn fleet(self, conf: fn(&KeyHasher) -> Snapshot) -> Fleet {
        let act: &[Act] = &[Act::Large(self.bytes(), RUN_MS)];
        match self {
            AnswerPath::Buffered | AnswerPath::BufferedLarge | AnswerPath::Streamed => {
                fleet(&[act], conf).await
            }
            AnswerPath::BufferedRemote | AnswerPath::StreamedRemote => {
                let fleet = fleet(&[act, act], conf).await;
                fleet.daemons[0].register(2, true);
                fleet
            }
        }
    }
}

/// A GET request for the large answer.
fn get(id: &str, version: &str, header: &str) -> String {
    format!(
        "GET /stock/a HTTP/{version}\r\nhost: a\r\nx-request-id: {id}\r\nx-api-key: {KEY}\r\n{header}\r\n"
    )
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("the daemon reads");
}

async fn begin_stop(daemon: &Daemon) {
    daemon.stop.cancel();
    eventually(|| daemon.node.is_stopping()).await;
}

/// Slowly reads as many answers as there are lengths in `bodies`, and checks every byte of them.
async fn assert_whole(stream: &mut TcpStream, bodies: &[usize]) {
    let last = |rep: &[u8]| parse_answers(rep).last().map_or(0, |(_, body)| body.len());
    let is_done = |rep: &[u8]| parse_answers(rep).len() == bodies.len() && Some(&last(rep)) == bodies.last();
    let (rep, end) = read_slowly(stream, BYTES_PER_READ, READ_PAUSE, is_done).await;
    let received: Vec<_> = parse_answers(&rep).iter().map(|(status, body)| (*status, body.len())).collect();
    let expected: Vec<_> = bodies.iter().map(|bytes| (200, *bytes)).collect();
    assert_eq!(received, expected, "statuses and bytes of bodies; the connection: {end}");
    for (n, (_, body)) in parse_answers(&rep).iter().enumerate() {
        assert!(*body == large_body(body.len()), "bytes of body {n} differ");
    }
}

#[rstest]
#[case::buffered(AnswerPath::Buffered)]
#[case::buffered_large(AnswerPath::BufferedLarge)]
#[case::buffered_remote(AnswerPath::BufferedRemote)]
#[case::streamed(AnswerPath::Streamed)]
#[case::streamed_remote(AnswerPath::StreamedRemote)]
fn an_answer_on_a_connection_that_stays_open_is_whole(#[case] path: AnswerPath) {
    on_one_thread(async {
        let fleet = path.fleet(conf).await;
        let mut caller = connect_with_small_segments(fleet.daemons[0].callers).await;
        send(&mut caller, &get("r1", "1.1", "")).await;
        sleep(BUFFERS_FULL_AFTER).await;
        assert_whole(&mut caller, &[path.bytes()]).await;
    });
}

#[rstest]
#[case::buffered(AnswerPath::Buffered, "1.1")]
#[case::buffered_remote(AnswerPath::BufferedRemote, "1.1")]
#[case::streamed(AnswerPath::Streamed, "1.1")]
#[case::buffered_http_1_0(AnswerPath::BufferedRemote, "1.0")]
#[case::streamed_http_1_0(AnswerPath::Streamed, "1.0")]
fn an_answer_to_a_caller_that_asks_to_close_is_whole(#[case] path: AnswerPath, #[case] version: &str) {
    on_one_thread(async {
        let fleet = path.fleet(conf).await;
        let mut caller = connect_with_small_segments(fleet.daemons[0].callers).await;
        send(&mut caller, &get("r1", version, "connection: close\r\n")).await;
        sleep(BUFFERS_FULL_AFTER).await;
        assert_whole(&mut caller, &[path.bytes()]).await;
    });
}

#[rstest]
#[case::buffered(AnswerPath::BufferedRemote)]
#[case::streamed(AnswerPath::Streamed)]
fn an_answer_of_a_stopping_daemon_is_whole(#[case] path: AnswerPath) {
    on_one_thread(async {
        let fleet = path.fleet(conf).await;
        let mut caller = connect_with_small_segments(fleet.daemons[0].callers).await;
        send(&mut caller, &get("r1", "1.1", "")).await;
        eventually(|| fleet.runs() == 1).await;
        begin_stop(&fleet.daemons[0]).await;
        sleep(BUFFERS_FULL_AFTER).await;
        assert_whole(&mut caller, &[path.bytes()]).await;
    });
}

/// When the daemon gets its stop signal.
#[derive(Clone, Copy, Debug)]
enum Stop {
    BeforeTheRequest,
    WhileTheServerWorks,
    WhileTheCallerReads,
}

#[rstest]
#[case::buffered(AnswerPath::BufferedRemote, Stop::WhileTheCallerReads, "")]
#[case::streamed(AnswerPath::Streamed, Stop::WhileTheCallerReads, "")]
#[case::streamed_remote(AnswerPath::StreamedRemote, Stop::WhileTheCallerReads, "")]
#[case::buffered_of_closing_caller(
    AnswerPath::BufferedRemote,
    Stop::WhileTheCallerReads,
    "connection: close\r\n"
)]
#[case::buffered_and_last(AnswerPath::BufferedRemote, Stop::WhileTheServerWorks, "")]
#[case::streamed_and_last(AnswerPath::Streamed, Stop::WhileTheServerWorks, "")]
#[case::buffered_for_late_request(AnswerPath::BufferedRemote, Stop::BeforeTheRequest, "")]
#[case::streamed_for_late_request(AnswerPath::Streamed, Stop::BeforeTheRequest, "")]
fn an_answer_that_is_still_read_when_a_stopping_daemon_closes_connections_is_whole(
    #[case] path: AnswerPath,
    #[case] when: Stop,
    #[case] header: &str,
) {
    on_one_thread(async {
        let fleet = path.fleet(conf).await;
        if matches!(when, Stop::BeforeTheRequest) {
            begin_stop(&fleet.daemons[0]).await;
        }
        let mut caller = connect_with_small_segments(fleet.daemons[0].callers).await;
        send(&mut caller, &get("r1", "1.1", header)).await;
        eventually(|| fleet.runs() == 1).await;
        if matches!(when, Stop::WhileTheCallerReads) {
            caller.readable().await.expect("an answer");
        }
        begin_stop(&fleet.daemons[0]).await;
        sleep(CLOSE_AFTER).await;
        assert_whole(&mut caller, &[path.bytes()]).await;
    });
}

#[test]
fn pipelined_answers_of_a_stopping_daemon_are_whole() {
    on_one_thread(async {
        let path = AnswerPath::BufferedRemote;
        let fleet = path.fleet(conf).await;
        let mut caller = connect_with_small_segments(fleet.daemons[0].callers).await;
        send(&mut caller, &(get("r1", "1.1", "") + &get("r2", "1.1", ""))).await;
        eventually(|| fleet.runs() == 2).await;
        begin_stop(&fleet.daemons[0]).await;
        sleep(CLOSE_AFTER).await;
        assert_whole(&mut caller, &[path.bytes(), path.bytes()]).await;
    });
}

#[rstest]
#[case::buffered(AnswerPath::BufferedRemote)]
#[case::streamed(AnswerPath::Streamed)]
fn a_request_behind_the_last_answer_does_not_cut_that_answer(#[case] path: AnswerPath) {
    on_one_thread(async {
        let fleet = path.fleet(conf).await;
        // The daemon's send buffer holds the whole answer.
        let mut caller = connect_with_small_buffer(fleet.daemons[0].callers).await;
        send(&mut caller, &get("r1", "1.1", "")).await;
        eventually(|| fleet.runs() == 1).await;
        begin_stop(&fleet.daemons[0]).await;
        // Longer than the daemon reads a connection that it has half-closed.
        caller.readable().await.expect("an answer");
        sleep(Duration::from_millis(900)).await;
        send(&mut caller, &get("r2", "1.1", "")).await;
        assert_whole(&mut caller, &[path.bytes()]).await;
    });
}

#[rstest]
#[case::buffered(AnswerPath::BufferedRemote)]
#[case::streamed(AnswerPath::Streamed)]
fn an_answer_that_is_read_for_longer_than_connections_may_be_idle_is_whole(#[case] path: AnswerPath) {
    let short_idle_timeout = |hasher: &KeyHasher| {
        let mut conf = conf(hasher);
        conf.limits.idle_timeout = Duration::from_millis(500);
        conf
    };
    on_one_thread(async {
        let fleet = path.fleet(short_idle_timeout).await;
        let mut caller = connect_with_small_segments(fleet.daemons[0].callers).await;
        send(&mut caller, &get("r1", "1.1", "")).await;
        sleep(Duration::from_millis(RUN_MS + 700)).await;
        assert_whole(&mut caller, &[path.bytes()]).await;
    });
}

#[rstest]
#[case::buffered_large(AnswerPath::BufferedLarge, conf)]
// No run ends, so the run time is not learnt, and the objective decides what is overdue.
#[case::streamed(AnswerPath::Streamed, long_objective_conf)]
fn a_slow_caller_does_not_make_its_server_suspect(
    #[case] path: AnswerPath,
    #[case] make_snapshot: fn(&KeyHasher) -> Snapshot,
) {
    on_one_thread(async {
        let fleet = path.fleet(make_snapshot).await;
        let daemon = &fleet.daemons[0];
        for n in 0..4 {
            let mut caller = connect_with_small_segments(daemon.callers).await;
            send(&mut caller, &get(&format!("r{n}"), "1.1", "x-deadline-ms: 600\r\n")).await;
            sleep(Duration::from_millis(900)).await;
        }
        assert!(!daemon.node.local_server.report(Instant::now()).condition.is_suspect());
        assert_eq!(daemon.node.local_server.request_count(), 0);
    });
}

#[test]
fn requests_behind_the_last_answer_do_not_run() {
    on_one_thread(async {
        let fleet = AnswerPath::Buffered.fleet(conf).await;
        let mut caller = connect_with_small_buffer(fleet.daemons[0].callers).await;
        send(&mut caller, &get("r1", "1.1", "connection: close\r\n")).await;
        eventually(|| fleet.runs() == 1).await;
        assert_whole(&mut caller, &[AnswerPath::Buffered.bytes()]).await;
        for n in 2..6 {
            send(&mut caller, &get(&format!("r{n}"), "1.1", "")).await;
        }
        sleep(Duration::from_millis(300)).await;
        let seen = fleet.daemons[0].backend.seen.borrow();
        assert!(seen.iter().all(|s| s.headers["x-request-id"] == "r1"), "{seen:?}");
    });
}

/// Flow control window of an answer between two daemons, in bytes.
const STREAM_WINDOW_BYTES: usize = 256 * 1024;
/// Downloads that take up more than the flow control window of a connection between two daemons.
const UNREAD_DOWNLOADS: usize = 6;

/// Callers whose downloads have begun and are not read.
async fn leave_unread(daemon: &Daemon, downloads: usize) -> Vec<TcpStream> {
    let mut callers = Vec::new();
    for n in 0..downloads {
        let mut caller = connect_with_small_segments(daemon.callers).await;
        send(&mut caller, &get(&format!("unread-{n}"), "1.1", "")).await;
        callers.push(caller);
    }
    for caller in &callers {
        caller.readable().await.expect("the beginning of the download");
    }
    callers
}

// Guards against answers that are held up between two daemons by the downloads of callers that read nothing.
#[test]
fn unread_downloads_do_not_hold_up_other_answers_of_the_same_daemon() {
    on_one_thread(async {
        let fleet = AnswerPath::StreamedRemote.fleet(long_timeout_conf).await;
        fleet.daemons[1].offer_slots(2, 2 * UNREAD_DOWNLOADS as u16);
        sleep(BUFFERS_FULL_AFTER).await;
        let _callers = leave_unread(&fleet.daemons[0], UNREAD_DOWNLOADS).await;
        sleep(BUFFERS_FULL_AFTER).await;
        fleet.daemons[1].backend.acts.replace(vec![Act::Answer]);
        let rep = fleet.daemons[0].send_raw(&get("other", "1.1", "x-deadline-ms: 3000\r\n"), "whole").await;
        assert_eq!(status(&rep), 200, "{rep}");
    });
}

// Guards against unread downloads that take more memory than the daemon has for bodies and answers.
#[test]
fn a_download_is_refused_as_not_run_once_unread_ones_hold_the_memory() {
    on_one_thread(async {
        let fleet = AnswerPath::StreamedRemote.fleet(long_timeout_conf).await;
        let unread = BODY_MEMORY_BYTES / STREAM_WINDOW_BYTES;
        fleet.daemons[1].offer_slots(2, 2 * unread as u16);
        sleep(BUFFERS_FULL_AFTER).await;
        let mut callers = leave_unread(&fleet.daemons[0], unread).await;
        let runs = fleet.runs();
        let refused = fleet.daemons[0].send_raw(&get("further", "1.1", ""), "\r\n\r\n").await;
        assert!(refused.contains("body-memory"), "{refused}");
        assert_eq!((status(&refused), fleet.runs()), (503, runs));
        fleet.daemons[1].backend.acts.replace(vec![Act::Answer]);
        let small = fleet.daemons[0].get("/open/a", "small").await;
        assert_eq!(status(&small), 200, "{small}");
        assert_whole(&mut callers[0], &[AnswerPath::StreamedRemote.bytes()]).await;
    });
}
