//! Requests that take far longer than expected are hedged: a second server is tried, and the first attempt is
//! not cancelled unless the second one succeeds.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{
    Act, Backend, Daemon, Fleet, SERVICE, eventually, fleet_of, long_objective_conf, on_one_thread,
    read_until, request, status,
};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};

/// Run time of the slow server in milliseconds; a run is overdue after 1.2 s.
const SLOW_MS: u64 = 3_500;
/// Run time in milliseconds of the server that hedged requests are sent to.
const OTHER_MS: u64 = 400;
/// Time within which the answer to a hedged request has arrived, if the request was hedged as soon as it was
/// overdue.
const HEDGED_ANSWER_TIMEOUT: Duration = Duration::from_millis(2_700);
/// Index of the daemon beside the slow server.
const SLOW_DAEMON: usize = 0;
/// Index of the daemon beside the server that registers while the slow one is running the request.
const OTHER_DAEMON: usize = 1;
/// Index of a daemon whose server takes no work.
const NO_WORK_DAEMON: usize = 2;

/// Starts a fleet in which only the slow server takes work at first.
async fn fleet(other: Rc<Backend>) -> Fleet {
    let slow = Backend::start(&[Act::After(SLOW_MS)]).await;
    let no_work = Backend::start(&[Act::Answer]).await;
    let fleet = fleet_of(vec![slow, other, no_work], long_objective_conf).await;
    fleet.daemons[OTHER_DAEMON].register(2, true);
    fleet.daemons[NO_WORK_DAEMON].register(2, true);
    for (n, daemon) in fleet.daemons.iter().enumerate() {
        let others = usize::from(n != SLOW_DAEMON);
        eventually(|| known_servers(daemon) == others).await;
    }
    fleet
}

/// Number of servers beside other daemons that take work, according to this daemon.
fn known_servers(daemon: &Daemon) -> usize {
    daemon.node.peers.borrow().candidates(SERVICE, &[], |_| true, Instant::now()).0.len()
}

/// A server that refuses connections. Its port stays bound, since a test that runs beside this one could listen on a
/// free one.
fn unreachable_backend() -> Rc<Backend> {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let backend = Backend::at(socket.local_addr().expect("a bound address"));
    Box::leak(Box::new(socket));
    backend
}

/// Sends a request, and returns once it is running at the slow server.
async fn start_request(fleet: &Fleet, entry: usize, method: &str, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.daemons[entry].callers).await.expect("the daemon listens");
    let req = request(method, path, "r1", "");
    stream.write_all(req.as_bytes()).await.expect("the daemon reads");
    eventually(|| fleet.daemons[SLOW_DAEMON].runs() == 1).await;
    stream
}

/// Number of hand-offs of this daemon that were declined for `reason`.
fn declines(daemon: &Daemon, reason: &str) -> u64 {
    daemon.node.metrics.declines.with_label_values(&[reason]).get()
}

#[rstest]
#[case::shed(Some(Act::Shed), "shed")]
#[case::unreachable(None, "unreachable")]
fn a_slow_run_is_not_cancelled_when_every_other_server_declines(
    #[case] act: Option<Act>,
    #[case] reason: &str,
    #[values(SLOW_DAEMON, NO_WORK_DAEMON)] entry: usize,
) {
    on_one_thread(async {
        let other = match act {
            Some(act) => Backend::start(&[act]).await,
            None => unreachable_backend(),
        };
        let fleet = fleet(other).await;
        let mut caller = start_request(&fleet, entry, "GET", "/stock/a").await;
        fleet.daemons[OTHER_DAEMON].register_new_incarnation();
        let rep = read_until(&mut caller, "\r\n\r\n").await;
        assert_eq!(status(&rep), 200, "{rep}");
        assert_eq!(fleet.daemons[SLOW_DAEMON].backend.cancelled.get(), 0);
        assert_eq!(fleet.daemons[SLOW_DAEMON].runs(), 1);
        assert!(declines(&fleet.daemons[entry], reason) > 0, "no other server was tried");
    });
}

#[rstest]
fn a_slow_run_is_not_started_again_at_its_own_server(#[values(SLOW_DAEMON, NO_WORK_DAEMON)] entry: usize) {
    on_one_thread(async {
        let fleet = fleet(Backend::start(&[Act::Answer]).await).await;
        let mut caller = start_request(&fleet, entry, "GET", "/stock/a").await;
        let rep = read_until(&mut caller, "\r\n\r\n").await;
        assert_eq!(status(&rep), 200, "{rep}");
        assert_eq!(fleet.daemons[SLOW_DAEMON].backend.cancelled.get(), 0);
        assert_eq!(fleet.runs(), 1);
    });
}

#[rstest]
fn a_slow_run_goes_on_until_another_server_has_answered(#[values(SLOW_DAEMON, NO_WORK_DAEMON)] entry: usize) {
    on_one_thread(async {
        let fleet = fleet(Backend::start(&[Act::After(OTHER_MS)]).await).await;
        let started = Instant::now();
        let mut caller = start_request(&fleet, entry, "GET", "/stock/a").await;
        let (slow, other) = (&fleet.daemons[SLOW_DAEMON], &fleet.daemons[OTHER_DAEMON]);
        other.register_new_incarnation();
        eventually(|| other.runs() == 1).await;
        tokio::time::sleep(Duration::from_millis(OTHER_MS / 2)).await;
        assert_eq!(slow.backend.cancelled.get(), 0, "cancelled before the other server has answered");
        let rep = read_until(&mut caller, "\r\n\r\n").await;
        assert_eq!(status(&rep), 200, "{rep}");
        assert!(started.elapsed() < HEDGED_ANSWER_TIMEOUT, "{:?}", started.elapsed());
        eventually(|| slow.backend.cancelled.get() == 1).await;
        eventually(|| slow.node.local_server.request_count() == 0).await;
    });
}

#[rstest]
fn a_slow_run_answers_when_the_other_server_fails(#[values(SLOW_DAEMON, NO_WORK_DAEMON)] entry: usize) {
    on_one_thread(async {
        let fleet = fleet(Backend::start(&[Act::Fail]).await).await;
        let mut caller = start_request(&fleet, entry, "GET", "/stock/a").await;
        fleet.daemons[OTHER_DAEMON].register_new_incarnation();
        let rep = read_until(&mut caller, "\r\n\r\n").await;
        assert_eq!(status(&rep), 200, "{rep}");
        assert_eq!(fleet.daemons[SLOW_DAEMON].backend.cancelled.get(), 0);
        assert_eq!(fleet.daemons[OTHER_DAEMON].runs(), 1);
    });
}

#[rstest]
fn a_slow_run_answers_after_the_stop_signal_of_the_callers_daemon(
    #[values(SLOW_DAEMON, NO_WORK_DAEMON)] entry: usize,
) {
    on_one_thread(async {
        let fleet = fleet(Backend::start(&[Act::Shed]).await).await;
        let daemon = &fleet.daemons[entry];
        let mut caller = start_request(&fleet, entry, "GET", "/stock/a").await;
        fleet.daemons[OTHER_DAEMON].register_new_incarnation();
        eventually(|| declines(daemon, "shed") == 1).await;
        daemon.stop.cancel();
        let rep = read_until(&mut caller, "\r\n\r\n").await;
        assert_eq!(status(&rep), 200, "{rep}");
        assert_eq!(fleet.daemons[SLOW_DAEMON].backend.cancelled.get(), 0);
    });
}

#[rstest]
fn a_stopping_daemon_does_not_hedge_a_slow_run(#[values(SLOW_DAEMON, NO_WORK_DAEMON)] entry: usize) {
    on_one_thread(async {
        let fleet = fleet(Backend::start(&[Act::Answer]).await).await;
        let mut caller = start_request(&fleet, entry, "GET", "/stock/a").await;
        fleet.daemons[OTHER_DAEMON].register_new_incarnation();
        fleet.daemons[entry].stop.cancel();
        let rep = read_until(&mut caller, "\r\n\r\n").await;
        assert_eq!(status(&rep), 200, "{rep}");
        assert_eq!(fleet.runs(), 1);
    });
}

#[rstest]
fn a_slow_run_that_may_not_be_repeated_is_not_hedged(#[values(SLOW_DAEMON, NO_WORK_DAEMON)] entry: usize) {
    on_one_thread(async {
        let fleet = fleet(Backend::start(&[Act::Answer]).await).await;
        let mut caller = start_request(&fleet, entry, "POST", "/order/a").await;
        fleet.daemons[OTHER_DAEMON].register_new_incarnation();
        let rep = read_until(&mut caller, "\r\n\r\n").await;
        assert_eq!(status(&rep), 200, "{rep}");
        assert_eq!(fleet.runs(), 1);
    });
}
