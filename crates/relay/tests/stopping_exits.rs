//! The end of a daemon beside a server, and of one that waits for others: what is under way has to reach callers.

mod common;

use std::time::{Duration, Instant};

use common::{
    Act, answers, conf, connect_narrow, eventually, fleet, large, on_one_thread, read_slowly, request,
};
use tokio::io::AsyncWriteExt;

/// Bytes of an answer that a daemon passes on while it comes from another: more than all buffers on the way hold.
const BYTES: usize = 3_400 * 1024;
/// Bytes that a slow caller reads at once.
const PER_READ: usize = 32 * 1024;
/// Pause of a slow caller before each read.
const PAUSE: Duration = Duration::from_millis(10);
/// Time after its stop in which a daemon may end.
const GRACE: Duration = Duration::from_secs(6);

#[test]
fn an_answer_under_way_to_another_daemon_is_whole_when_the_daemon_beside_the_server_ends() {
    on_one_thread(async {
        let act: &[Act] = &[Act::Large(BYTES, 100)];
        let fleet = fleet(&[act, act], conf).await;
        fleet.daemons[0].register(2, true);
        let mut caller = connect_narrow(fleet.daemons[0].callers).await;
        caller.write_all(request("GET", "/stock/a", "r1", "").as_bytes()).await.expect("the daemon reads");
        eventually(|| fleet.daemons[1].runs() == 1).await;
        caller.readable().await.expect("an answer");
        let exit = &fleet.daemons[1];
        let stopped = Instant::now();
        exit.stop.cancel();
        // Until the daemon beside the server has taken the last byte from it.
        let (mut rep, _) = read_slowly(&mut caller, PER_READ, PAUSE, |_| exit.node.exit.load() == 0).await;
        exit.ended.cancelled().await;
        let before = rep.len();
        let is_done = |rest: &[u8]| {
            answers(&[&rep, rest].concat()).first().is_some_and(|(_, body)| body.len() >= BYTES)
        };
        let (rest, end) = read_slowly(&mut caller, PER_READ, Duration::ZERO, is_done).await;
        rep.extend(rest);
        let took = stopped.elapsed();
        let got: Vec<_> = answers(&rep).iter().map(|(status, body)| (*status, body.len())).collect();
        assert_eq!(
            got,
            [(200, BYTES)],
            "{end} {took:?} after the stop; {before} bytes before the daemon ended"
        );
        assert!(answers(&rep)[0].1 == large(BYTES), "the body's bytes differ");
        assert!(took < GRACE, "the caller was too slow for the grace time: {took:?}");
    });
}
