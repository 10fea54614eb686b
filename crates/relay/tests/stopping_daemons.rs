//! A graceful stop, of the daemon beside a server or of the caller's daemon, must not lose answers that are
//! being sent or leave requests unanswered.

mod common;

use std::time::{Duration, Instant};

use common::{
    Act, Daemon, conf, connect_with_small_segments, eventually, fleet, large_body, on_one_thread,
    parse_answers, read_slowly, read_until, request, status,
};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep_until;

/// Size of an answer in bytes that is streamed by both daemons: more than all buffers on its way hold.
const ANSWER_BYTES: usize = 3_400 * 1024;
/// Bytes that a slow caller reads at a time.
const BYTES_PER_READ: usize = 32 * 1024;
/// Pause of a slow caller before each read.
const READ_PAUSE: Duration = Duration::from_millis(3);
/// Time after the stop signal in which a daemon still accepts work.
const SERVE_AFTER_STOP: Duration = Duration::from_millis(2_500);
/// Pause of the caller in the middle of an answer.
const CALLER_PAUSE: Duration = Duration::from_millis(300);
/// Run time of a request in milliseconds.
const RUN_MS: u64 = 2_000;
/// Time after the stop signal at which a daemon ends requests that are still running.
const GRACE: Duration = Duration::from_millis(5_250);

async fn connect(daemon: &Daemon) -> TcpStream {
    TcpStream::connect(daemon.callers).await.expect("the daemon listens")
}

/// Reads slowly until no request runs at `server_daemon`, pauses, and reads on. Returns the bytes and how the
/// connection ended.
async fn read_past_the_run(
    caller: &mut TcpStream,
    server_daemon: &Daemon,
    stopped: Instant,
) -> (Vec<u8>, String) {
    let (mut rep, _) = read_slowly(caller, BYTES_PER_READ, READ_PAUSE, |_| {
        server_daemon.node.local_server.request_count() == 0
    })
    .await;
    // Long enough for a daemon to end if it didn't wait for the caller.
    sleep_until((Instant::now().max(stopped + SERVE_AFTER_STOP) + CALLER_PAUSE).into()).await;
    let is_done = |rest: &[u8]| is_whole(&[&rep, rest].concat());
    let (rest, end) = read_slowly(caller, BYTES_PER_READ, Duration::ZERO, is_done).await;
    rep.extend(rest);
    (rep, end)
}

fn is_whole(rep: &[u8]) -> bool {
    parse_answers(rep).first().is_some_and(|(_, body)| body.len() >= ANSWER_BYTES)
}

#[test]
fn answers_being_sent_to_another_daemon_are_whole_when_the_daemon_beside_the_server_stops() {
    on_one_thread(async {
        let act: &[Act] = &[Act::Large(ANSWER_BYTES, 100)];
        let fleet = fleet(&[act, act], conf).await;
        let (caller_daemon, server_daemon) = (&fleet.daemons[0], &fleet.daemons[1]);
        caller_daemon.register(2, true);
        let (mut first, mut second) = (
            connect_with_small_segments(caller_daemon.callers).await,
            connect_with_small_segments(caller_daemon.callers).await,
        );
        for (caller, id) in [(&mut first, "r1"), (&mut second, "r2")] {
            caller.write_all(request("GET", "/stock/a", id, "").as_bytes()).await.expect("the daemon reads");
        }
        eventually(|| server_daemon.runs() == 2).await;
        let stopped = Instant::now();
        server_daemon.stop.cancel();
        let (first, second) = tokio::join!(
            read_past_the_run(&mut first, server_daemon, stopped),
            read_past_the_run(&mut second, server_daemon, stopped)
        );
        let took = stopped.elapsed();
        for (rep, end) in [first, second] {
            let received: Vec<_> =
                parse_answers(&rep).iter().map(|(status, body)| (*status, body.len())).collect();
            assert_eq!(received, [(200, ANSWER_BYTES)], "{end}; read for {took:?}");
            assert!(parse_answers(&rep)[0].1 == large_body(ANSWER_BYTES), "the body's bytes differ");
        }
        assert!(took < GRACE, "the callers read too slowly for the grace period: {took:?}");
    });
}

#[rstest]
#[case::asked_before_the_stop(true)]
#[case::asked_after_the_stop(false)]
fn a_request_that_still_waits_for_a_slot_when_the_callers_daemon_stops_is_answered_as_not_run(
    #[case] is_queued_before_stop: bool,
) {
    on_one_thread(async {
        let slow = Act::After(RUN_MS);
        let fleet = fleet(&[&[Act::Answer], &[slow, slow, Act::Hang]], conf).await;
        let (caller_daemon, server_daemon) = (&fleet.daemons[0], &fleet.daemons[1]);
        caller_daemon.register(2, true);
        // The daemon beside the server learns how long runs take, and lets requests wait for a slot
        // accordingly.
        tokio::join!(server_daemon.post("/order/a", "r1"), server_daemon.post("/order/a", "r2"));
        let (mut first, mut second) = (connect(server_daemon).await, connect(server_daemon).await);
        for (caller, id) in [(&mut first, "r3"), (&mut second, "r4")] {
            caller.write_all(request("POST", "/order/a", id, "").as_bytes()).await.expect("the daemon reads");
        }
        eventually(|| server_daemon.runs() == 4).await;
        if !is_queued_before_stop {
            caller_daemon.stop.cancel();
            eventually(|| caller_daemon.node.is_stopping()).await;
        }
        let mut caller = connect(caller_daemon).await;
        let req = request("POST", "/order/a", "r5", "");
        caller.write_all(req.as_bytes()).await.expect("the daemon reads");
        if is_queued_before_stop {
            eventually(|| server_daemon.node.local_server.report(Instant::now()).waiting == 1).await;
            caller_daemon.stop.cancel();
        }
        let rep = read_until(&mut caller, "\r\n\r\n").await;
        assert_eq!(server_daemon.runs(), 4, "the request ran");
        assert_eq!(status(&rep), 503, "{rep}");
    });
}

/// Time after the stop signal at which a request arrives that can't end within the grace period.
const LATE_AFTER_STOP: Duration = Duration::from_millis(4_600);
/// Time for which an order runs that is passed on then.
const LATE_RUN_MS: u64 = 2_000;

// Guards against orders that are passed on late in a planned stop and cut at its end.
#[test]
fn an_order_whose_upload_ends_late_in_a_stop_is_not_passed_on() {
    on_one_thread(async {
        let act: &[Act] = &[Act::After(LATE_RUN_MS)];
        let fleet = fleet(&[act, act], conf).await;
        let stopping = &fleet.daemons[0];
        let mut caller = connect(stopping).await;
        let order = request("POST", "/order/a", "r1", "one crate of candles");
        let (begun, rest) = order.split_at(order.len() - 8);
        caller.write_all(begun.as_bytes()).await.expect("the daemon reads");
        let stopped = Instant::now();
        stopping.stop.cancel();
        sleep_until((stopped + LATE_AFTER_STOP).into()).await;
        caller.write_all(rest.as_bytes()).await.expect("the daemon reads");
        let rep = read_until(&mut caller, "\r\n\r\n").await;
        assert_eq!((status(&rep), fleet.runs()), (503, 0), "{rep}");
    });
}

/// Time after the stop signal at which the caller reads on: no order is passed on any more, and the rest of the
/// download has time to arrive before the daemon ends, on a busy machine too.
const READ_AFTER_STOP: Duration = Duration::from_millis(3_300);

// Guards against orders that wait behind a slow download and are passed on late in a planned stop.
#[test]
fn an_order_behind_a_download_that_ends_late_in_a_stop_is_not_passed_on() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Large(ANSWER_BYTES, 100)], &[Act::After(LATE_RUN_MS)]], conf).await;
        let stopping = &fleet.daemons[0];
        let mut caller = connect_with_small_segments(stopping.callers).await;
        let download = request("GET", "/stock/a", "r1", "");
        caller.write_all(download.as_bytes()).await.expect("the daemon reads");
        let (begun, _) = read_slowly(&mut caller, 1, Duration::ZERO, |rep| !rep.is_empty()).await;
        let stopped = Instant::now();
        stopping.stop.cancel();
        caller.write_all(request("POST", "/order/a", "r2", "").as_bytes()).await.expect("the daemon reads");
        sleep_until((stopped + READ_AFTER_STOP).into()).await;
        let (rest, end) = read_slowly(&mut caller, BYTES_PER_READ, Duration::ZERO, |_| false).await;
        let rep = [begun, rest].concat();
        let answers = parse_answers(&rep);
        assert_eq!(answers.first().map(|(_, body)| body.len()), Some(ANSWER_BYTES), "{end}");
        assert_eq!(fleet.daemons[1].runs(), 0, "the order ran; {answers:?}", answers = answers.get(1));
        assert!(answers.get(1).is_none_or(|(status, _)| *status == 503), "{end}");
    });
}
