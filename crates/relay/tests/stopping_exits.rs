//! The end of a daemon beside a server, and of one that waits for others: what is under way has to reach callers.

mod common;

use std::time::{Duration, Instant};

use common::{
    Act, answers, connect_narrow, eventually, fleet, large, on_one_thread, patient_conf, read_slowly, request,
};
use tokio::io::AsyncWriteExt;

/// Bytes of an answer that a daemon passes on while it comes from another: more than all buffers on the way hold.
const BYTES: usize = 3_400 * 1024;
/// Bytes that a slow caller reads at once.
const PER_READ: usize = 16 * 1024;
/// Pause of a slow caller before each read.
const PAUSE: Duration = Duration::from_millis(20);
/// Time after the stop for which the caller reads slowly; the daemon takes hand-offs for 2.5 s.
const SLOW_FOR: Duration = Duration::from_millis(3_200);
/// Time after its stop in which a daemon may end.
const GRACE: Duration = Duration::from_secs(6);

#[test]
fn an_answer_under_way_to_another_daemon_is_whole_when_the_daemon_beside_the_server_ends() {
    on_one_thread(async {
        let act: &[Act] = &[Act::Large(BYTES, 100)];
        let fleet = fleet(&[act, act], patient_conf).await;
        fleet.daemons[0].register(2, true);
        let mut caller = connect_narrow(fleet.daemons[0].callers).await;
        caller.write_all(request("GET", "/stock/a", "r1", "").as_bytes()).await.expect("the daemon reads");
        eventually(|| fleet.daemons[1].runs() == 1).await;
        caller.readable().await.expect("an answer");
        let exit = &fleet.daemons[1];
        let stopped = Instant::now();
        exit.stop.cancel();
        // Slowly until the daemon beside the server has closed for hand-offs, then as fast as bytes come.
        let (mut rep, _) = read_slowly(&mut caller, PER_READ, PAUSE, |_| stopped.elapsed() > SLOW_FOR).await;
        let is_whole = |rest: &[u8]| {
            answers(&[&rep, rest].concat()).first().is_some_and(|(_, body)| body.len() >= BYTES)
        };
        let (rest, end) = read_slowly(&mut caller, BYTES, Duration::ZERO, is_whole).await;
        rep.extend(rest);
        let took = stopped.elapsed();
        let got: Vec<_> = answers(&rep).iter().map(|(status, body)| (*status, body.len())).collect();
        assert_eq!(got, [(200, BYTES)], "{end} {took:?} after the stop");
        assert!(answers(&rep)[0].1 == large(BYTES), "the body's bytes differ");
        assert!(took < GRACE, "the caller was too slow for the grace time: {took:?}");
    });
}
