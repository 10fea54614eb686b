//! The end of a daemon beside a server, and of one that waits for others: what is under way has to reach callers.

mod common;

use std::time::{Duration, Instant};

use common::{
    Act, Daemon, answers, conf, connect_narrow, eventually, fleet, large, on_one_thread, read_slowly,
    read_until, request, status,
};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep_until;

/// Bytes of an answer that a daemon passes on while it comes from another: more than all buffers on the way hold.
const BYTES: usize = 3_400 * 1024;
/// Bytes that a slow caller reads at once.
const PER_READ: usize = 32 * 1024;
/// Pause of a slow caller before each read.
const PAUSE: Duration = Duration::from_millis(3);
/// Time after its stop in which a daemon still takes work.
const LINGER: Duration = Duration::from_millis(2_500);
/// Pause of the caller in the middle of an answer.
const STALL: Duration = Duration::from_millis(300);
/// Time of a run in milliseconds.
const RUN_MS: u64 = 2_000;
/// Time after its stop at which a daemon ends whatever still runs.
const GRACE: Duration = Duration::from_millis(5_250);

async fn connect(daemon: &Daemon) -> TcpStream {
    TcpStream::connect(daemon.callers).await.expect("the daemon listens")
}

/// Reads slowly until no run is left at the exit, pauses, and reads on; returns what came and how it ended.
async fn read_past_the_run(caller: &mut TcpStream, exit: &Daemon, stopped: Instant) -> (Vec<u8>, String) {
    let (mut rep, _) = read_slowly(caller, PER_READ, PAUSE, |_| exit.node.local_server.load() == 0).await;
    // Long enough for a daemon that does not wait for the caller to end.
    sleep_until((Instant::now().max(stopped + LINGER) + STALL).into()).await;
    let is_done = |rest: &[u8]| is_whole(&[&rep, rest].concat());
    let (rest, end) = read_slowly(caller, PER_READ, Duration::ZERO, is_done).await;
    rep.extend(rest);
    (rep, end)
}

fn is_whole(rep: &[u8]) -> bool {
    answers(rep).first().is_some_and(|(_, body)| body.len() >= BYTES)
}

#[test]
fn answers_under_way_to_another_daemon_are_whole_when_the_daemon_beside_the_server_ends() {
    on_one_thread(async {
        let act: &[Act] = &[Act::Large(BYTES, 100)];
        let fleet = fleet(&[act, act], conf).await;
        let (entry, exit) = (&fleet.daemons[0], &fleet.daemons[1]);
        entry.register(2, true);
        let (mut first, mut second) =
            (connect_narrow(entry.callers).await, connect_narrow(entry.callers).await);
        for (caller, id) in [(&mut first, "r1"), (&mut second, "r2")] {
            caller.write_all(request("GET", "/stock/a", id, "").as_bytes()).await.expect("the daemon reads");
        }
        eventually(|| exit.runs() == 2).await;
        let stopped = Instant::now();
        exit.stop.cancel();
        let (first, second) = tokio::join!(
            read_past_the_run(&mut first, exit, stopped),
            read_past_the_run(&mut second, exit, stopped)
        );
        let took = stopped.elapsed();
        for (rep, end) in [first, second] {
            let got: Vec<_> = answers(&rep).iter().map(|(status, body)| (*status, body.len())).collect();
            assert_eq!(got, [(200, BYTES)], "{end}; read for {took:?}");
            assert!(answers(&rep)[0].1 == large(BYTES), "the body's bytes differ");
        }
        assert!(took < GRACE, "the callers were too slow for the grace time: {took:?}");
    });
}

#[rstest]
#[case::asked_before_the_stop(true)]
#[case::asked_after_the_stop(false)]
fn a_request_that_still_waits_for_a_server_when_the_entry_ends_is_answered_as_not_run(#[case] waits: bool) {
    on_one_thread(async {
        let slow = Act::After(RUN_MS);
        let fleet = fleet(&[&[Act::Answer], &[slow, slow, Act::Hang]], conf).await;
        let (entry, exit) = (&fleet.daemons[0], &fleet.daemons[1]);
        entry.register(2, true);
        // The daemon beside the server learns how long runs take, and lets requests wait accordingly.
        tokio::join!(exit.post("/order/a", "r1"), exit.post("/order/a", "r2"));
        let (mut first, mut second) = (connect(exit).await, connect(exit).await);
        for (caller, id) in [(&mut first, "r3"), (&mut second, "r4")] {
            caller.write_all(request("POST", "/order/a", id, "").as_bytes()).await.expect("the daemon reads");
        }
        eventually(|| exit.runs() == 4).await;
        if !waits {
            entry.stop.cancel();
            eventually(|| entry.node.is_stopping()).await;
        }
        let mut caller = connect(entry).await;
        let asked = request("POST", "/order/a", "r5", "");
        caller.write_all(asked.as_bytes()).await.expect("the daemon reads");
        if waits {
            eventually(|| exit.node.local_server.report(Instant::now()).waiting == 1).await;
            entry.stop.cancel();
        }
        let rep = read_until(&mut caller, "\r\n\r\n").await;
        assert_eq!(exit.runs(), 4, "it ran");
        assert_eq!(status(&rep), 503, "{rep}");
    });
}
