//! Callers that read large answers slowly: every byte has to reach them, whatever closes the connection.

mod common;

use std::time::{Duration, Instant};

use common::{
    Act, Daemon, Fleet, KEY, answers, conf, connect_narrow, connect_small, eventually, fleet, large,
    on_one_thread, read_slowly,
};
use conf::{KeyHasher, Snapshot};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Bytes that a slow caller reads at once.
const PER_READ: usize = 32 * 1024;
/// Pause of a slow caller before each read.
const PAUSE: Duration = Duration::from_millis(5);
/// Time of the server's work in milliseconds.
const WORK_MS: u64 = 300;
/// Time after which all buffers between server and caller are full.
const FULL_AFTER: Duration = Duration::from_millis(300);
/// Time after a stop at which connections have been asked to close, 2.5 s after it.
const CLOSE_AFTER: Duration = Duration::from_millis(2_700);

/// How the answer passes through the daemon that answers the caller.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// Small, from the server beside the daemon: held until it is whole.
    Held,
    /// Up to 1 MiB, from a server beside another daemon: held until it is whole.
    HeldFromAfar,
    /// Large, from the server beside the daemon: passed on.
    Passed,
    /// Over 1 MiB, from a server beside another daemon: passed on.
    PassedFromAfar,
}

impl Way {
    fn bytes(self) -> usize {
        match self {
            Way::Held => 64 * 1024,
            Way::HeldFromAfar => 800 * 1024,
            Way::Passed => 192 * 1024,
            Way::PassedFromAfar => 1_100 * 1024,
        }
    }

    /// Daemons of which the first serves the caller.
    async fn fleet(self, conf: fn(&KeyHasher) -> Snapshot) -> Fleet {
        let act: &[Act] = &[Act::Large(self.bytes(), WORK_MS)];
        match self {
            Way::Held | Way::Passed => fleet(&[act], conf).await,
            Way::HeldFromAfar | Way::PassedFromAfar => {
                let fleet = fleet(&[act, act], conf).await;
                fleet.daemons[0].register(2, true);
                fleet
            }
        }
    }
}

/// A GET of the large answer.
fn get(id: &str, version: &str, header: &str) -> String {
    format!(
        "GET /stock/a HTTP/{version}\r\nhost: a\r\nx-request-id: {id}\r\nx-api-key: {KEY}\r\n{header}\r\n"
    )
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("the daemon reads");
}

async fn stop(daemon: &Daemon) {
    daemon.stop.cancel();
    eventually(|| daemon.node.is_stopping()).await;
}

/// Reads `bodies.len()` answers slowly and checks that every byte of them came.
async fn assert_whole(stream: &mut TcpStream, bodies: &[usize]) {
    let last = |rep: &[u8]| answers(rep).last().map_or(0, |(_, body)| body.len());
    let is_done = |rep: &[u8]| answers(rep).len() == bodies.len() && Some(&last(rep)) == bodies.last();
    let (rep, end) = read_slowly(stream, PER_READ, PAUSE, is_done).await;
    let got: Vec<_> = answers(&rep).iter().map(|(status, body)| (*status, body.len())).collect();
    let wanted: Vec<_> = bodies.iter().map(|bytes| (200, *bytes)).collect();
    assert_eq!(got, wanted, "statuses and bytes of bodies; the connection: {end}");
    for (n, (_, body)) in answers(&rep).iter().enumerate() {
        assert!(*body == large(body.len()), "bytes of body {n} differ");
    }
}

#[rstest]
#[case::held(Way::Held)]
#[case::held_from_afar(Way::HeldFromAfar)]
#[case::passed(Way::Passed)]
#[case::passed_from_afar(Way::PassedFromAfar)]
fn an_answer_on_a_connection_that_stays_open_is_whole(#[case] way: Way) {
    on_one_thread(async {
        let fleet = way.fleet(conf).await;
        let mut caller = connect_narrow(fleet.daemons[0].callers).await;
        send(&mut caller, &get("r1", "1.1", "")).await;
        sleep(FULL_AFTER).await;
        assert_whole(&mut caller, &[way.bytes()]).await;
    });
}

#[rstest]
#[case::held(Way::Held, "1.1")]
#[case::held_from_afar(Way::HeldFromAfar, "1.1")]
#[case::passed(Way::Passed, "1.1")]
#[case::held_of_old_version(Way::HeldFromAfar, "1.0")]
#[case::passed_of_old_version(Way::Passed, "1.0")]
fn an_answer_to_a_caller_that_asks_for_the_close_is_whole(#[case] way: Way, #[case] version: &str) {
    on_one_thread(async {
        let fleet = way.fleet(conf).await;
        let mut caller = connect_narrow(fleet.daemons[0].callers).await;
        send(&mut caller, &get("r1", version, "connection: close\r\n")).await;
        sleep(FULL_AFTER).await;
        assert_whole(&mut caller, &[way.bytes()]).await;
    });
}

#[rstest]
#[case::held(Way::HeldFromAfar)]
#[case::passed(Way::Passed)]
fn an_answer_of_a_stopping_daemon_is_whole(#[case] way: Way) {
    on_one_thread(async {
        let fleet = way.fleet(conf).await;
        let mut caller = connect_narrow(fleet.daemons[0].callers).await;
        send(&mut caller, &get("r1", "1.1", "")).await;
        eventually(|| fleet.runs() == 1).await;
        stop(&fleet.daemons[0]).await;
        sleep(FULL_AFTER).await;
        assert_whole(&mut caller, &[way.bytes()]).await;
    });
}

/// When the daemon is stopped.
#[derive(Clone, Copy, Debug)]
enum Stop {
    BeforeTheRequest,
    WhileTheServerWorks,
    WhileTheCallerReads,
}

#[rstest]
#[case::held(Way::HeldFromAfar, Stop::WhileTheCallerReads, "")]
#[case::passed(Way::Passed, Stop::WhileTheCallerReads, "")]
#[case::passed_from_afar(Way::PassedFromAfar, Stop::WhileTheCallerReads, "")]
#[case::held_of_closing_caller(Way::HeldFromAfar, Stop::WhileTheCallerReads, "connection: close\r\n")]
#[case::held_and_last(Way::HeldFromAfar, Stop::WhileTheServerWorks, "")]
#[case::passed_and_last(Way::Passed, Stop::WhileTheServerWorks, "")]
#[case::held_for_late_request(Way::HeldFromAfar, Stop::BeforeTheRequest, "")]
#[case::passed_for_late_request(Way::Passed, Stop::BeforeTheRequest, "")]
fn an_answer_that_is_still_read_when_a_stopping_daemon_closes_connections_is_whole(
    #[case] way: Way,
    #[case] when: Stop,
    #[case] header: &str,
) {
    on_one_thread(async {
        let fleet = way.fleet(conf).await;
        if matches!(when, Stop::BeforeTheRequest) {
            stop(&fleet.daemons[0]).await;
        }
        let mut caller = connect_narrow(fleet.daemons[0].callers).await;
        send(&mut caller, &get("r1", "1.1", header)).await;
        eventually(|| fleet.runs() == 1).await;
        if matches!(when, Stop::WhileTheCallerReads) {
            caller.readable().await.expect("an answer");
        }
        stop(&fleet.daemons[0]).await;
        sleep(CLOSE_AFTER).await;
        assert_whole(&mut caller, &[way.bytes()]).await;
    });
}

#[test]
fn pipelined_answers_of_a_stopping_daemon_are_whole() {
    on_one_thread(async {
        let way = Way::HeldFromAfar;
        let fleet = way.fleet(conf).await;
        let mut caller = connect_narrow(fleet.daemons[0].callers).await;
        send(&mut caller, &(get("r1", "1.1", "") + &get("r2", "1.1", ""))).await;
        eventually(|| fleet.runs() == 2).await;
        stop(&fleet.daemons[0]).await;
        sleep(CLOSE_AFTER).await;
        assert_whole(&mut caller, &[way.bytes(), way.bytes()]).await;
    });
}

#[rstest]
#[case::held(Way::HeldFromAfar)]
#[case::passed(Way::Passed)]
fn a_request_behind_the_last_answer_does_not_destroy_it(#[case] way: Way) {
    on_one_thread(async {
        let fleet = way.fleet(conf).await;
        // The whole answer lies in the daemon's send buffer.
        let mut caller = connect_small(fleet.daemons[0].callers).await;
        send(&mut caller, &get("r1", "1.1", "")).await;
        eventually(|| fleet.runs() == 1).await;
        stop(&fleet.daemons[0]).await;
        // Longer than the daemon reads a connection that it has closed.
        caller.readable().await.expect("an answer");
        sleep(Duration::from_millis(900)).await;
        send(&mut caller, &get("r2", "1.1", "")).await;
        assert_whole(&mut caller, &[way.bytes()]).await;
    });
}

#[rstest]
#[case::held(Way::HeldFromAfar)]
#[case::passed(Way::Passed)]
fn an_answer_that_is_read_for_longer_than_connections_may_be_idle_is_whole(#[case] way: Way) {
    let impatient = |hasher: &KeyHasher| {
        let mut conf = conf(hasher);
        conf.limits.idle_timeout = Duration::from_millis(500);
        conf
    };
    on_one_thread(async {
        let fleet = way.fleet(impatient).await;
        let mut caller = connect_narrow(fleet.daemons[0].callers).await;
        send(&mut caller, &get("r1", "1.1", "")).await;
        sleep(Duration::from_millis(WORK_MS + 700)).await;
        assert_whole(&mut caller, &[way.bytes()]).await;
    });
}

#[test]
fn a_slow_caller_does_not_make_its_server_suspect() {
    on_one_thread(async {
        let fleet = Way::Passed.fleet(conf).await;
        let daemon = &fleet.daemons[0];
        for n in 0..4 {
            let mut caller = connect_narrow(daemon.callers).await;
            send(&mut caller, &get(&format!("r{n}"), "1.1", "x-deadline-ms: 600\r\n")).await;
            sleep(Duration::from_millis(900)).await;
        }
        assert!(!daemon.node.local_server.report(Instant::now()).condition.is_suspect());
        assert_eq!(daemon.node.local_server.load(), 0);
    });
}

#[test]
fn requests_behind_the_last_answer_do_not_run() {
    on_one_thread(async {
        let fleet = Way::Held.fleet(conf).await;
        let mut caller = connect_small(fleet.daemons[0].callers).await;
        send(&mut caller, &get("r1", "1.1", "connection: close\r\n")).await;
        eventually(|| fleet.runs() == 1).await;
        assert_whole(&mut caller, &[Way::Held.bytes()]).await;
        for n in 2..6 {
            send(&mut caller, &get(&format!("r{n}"), "1.1", "")).await;
        }
        sleep(Duration::from_millis(300)).await;
        let seen = fleet.daemons[0].backend.seen.borrow();
        assert!(seen.iter().all(|s| s.headers["x-request-id"] == "r1"), "{seen:?}");
    });
}
