//! What callers are told, and how often servers are asked, when things go wrong at a server.

mod common;

use common::{Act, Backend, daemon, header, one, status, two, verdict};
use kernel::OutcomeKind;
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use tokio::net::TcpListener;

fn text(status: u16, reason: &str, run: &str) -> (u16, String, String) {
    (status, reason.into(), run.into())
}

/// Requests that reached the servers.
fn reached(backends: &[Backend]) -> usize {
    backends.iter().map(|b| b.requests().len()).sum()
}

#[rstest]
#[case::broken(Act::Close, "broken")]
#[case::crossed(Act::WrongId, "bad-answer")]
#[case::no_echo(Act::NoId, "bad-answer")]
#[case::short(Act::Short, "bad-answer")]
#[case::no_end(Act::CloseDelimited, "bad-answer")]
#[case::crossed_shed(Act::CrossedShed, "bad-answer")]
#[tokio::test]
async fn an_unrepeatable_request_in_doubt_is_sent_once(#[case] act: Act, #[case] reason: &str) {
    let (daemon, backends) = two(&[act]).await;
    let rep = daemon.post("/open", "").await;
    assert_eq!(verdict(&rep), text(502, reason, "unknown"));
    assert_eq!(reached(&backends), 1);
}

#[rstest]
#[case::broken(Act::Close, "broken")]
#[case::crossed(Act::WrongId, "bad-answer")]
#[case::short(Act::Short, "bad-answer")]
#[case::silent(Act::Silent, "silent")]
#[case::stalled(Act::Stall, "silent")]
#[case::failing(Act::Status(503), "server-error")]
#[tokio::test]
async fn a_repeatable_request_goes_on_elsewhere(#[case] act: Act, #[case] reason: &str) {
    let (bad, good) = (Backend::start(&[act]).await, Backend::start(&[Act::Ok]).await);
    let daemon = daemon(&[bad.addr, good.addr], Arc::default()).await;
    for _ in 0..20 {
        let rep = daemon.get("/open", "").await;
        if !bad.requests().is_empty() {
            assert_eq!(status(&rep), 200);
            assert!(rep.ends_with("done"));
            assert_eq!(daemon.metric(&format!("pomelo_retries_total{{reason=\"{reason}\"}}")), 1);
            return;
        }
    }
    panic!("the bad server was never chosen");
}

#[tokio::test]
async fn a_shed_order_is_retried_because_it_did_not_run() {
    let (daemon, backends) = two(&[Act::Shed]).await;
    let rep = daemon.post("/open", "").await;
    assert_eq!(verdict(&rep), text(503, "shed", "no"));
    assert_eq!(reached(&backends), 2);
}

#[tokio::test]
async fn a_refused_connection_is_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let mut daemon = daemon(&[addr], Arc::default()).await;
    let rep = daemon.post("/open", "").await;
    assert_eq!(verdict(&rep), text(502, "connect-failed", "no"));
    assert_eq!(daemon.outcomes(), [OutcomeKind::ConnectFailed]);
}

#[tokio::test]
async fn doubt_of_an_earlier_try_outlives_a_later_refused_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dead = listener.local_addr().unwrap();
    drop(listener);
    let bad = Backend::start(&[Act::Close]).await;
    let daemon = daemon(&[bad.addr, dead], Arc::default()).await;
    let rep = daemon.get("/open", "").await;
    assert_eq!(verdict(&rep), text(502, "broken", "unknown"));
}

#[rstest]
#[case::silent(Act::Silent)]
#[case::stalled(Act::Stall)]
#[tokio::test]
async fn a_silent_server_leaves_an_order_unknown(#[case] act: Act) {
    let (mut daemon, backend) = one(&[act]).await;
    let rep = daemon.post("/quick", "").await;
    assert_eq!(verdict(&rep), text(504, "timed-out", "unknown"));
    assert_eq!(daemon.outcomes(), [OutcomeKind::Stall]);
    common::eventually("the connection closes", || backend.closed.load(SeqCst) == 1).await;
}

#[tokio::test]
async fn a_deadline_that_passes_before_sending_is_not_run() {
    let (daemon, backend) = one(&[Act::Ok]).await;
    let rep = daemon.post("/open", "x-deadline-ms: 0\r\n").await;
    assert_eq!(verdict(&rep), text(504, "deadline-too-short", "no"));
    assert_eq!(backend.requests().len(), 0);
}

#[tokio::test]
async fn a_connection_that_went_silent_while_idle_is_blamed_on_the_path() {
    let (mut daemon, backend) = one(&[Act::Ok, Act::Silent]).await;
    daemon.get("/quick", "").await;
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    let rep = daemon.get("/quick", "").await;
    assert_eq!(verdict(&rep).2, "unknown");
    assert_eq!(daemon.outcomes(), [OutcomeKind::Ok, OutcomeKind::SilentConnection]);
    assert_eq!(backend.opened.load(SeqCst), 1);
}

#[tokio::test]
async fn connections_opened_before_a_silent_one_are_closed() {
    let (daemon, backend) = one(&[Act::Late(5), Act::Late(40), Act::Silent]).await;
    let calls = (0..2).map(|_| daemon.get("/quick", ""));
    futures_util::future::join_all(calls).await;
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    daemon.get("/quick", "").await;
    assert_eq!(backend.opened.load(SeqCst), 2);
    common::eventually("both close", || backend.closed.load(SeqCst) == 2).await;
}

#[tokio::test]
async fn an_order_does_not_use_a_connection_that_was_idle() {
    let (daemon, backend) = one(&[Act::Ok]).await;
    daemon.get("/open", "").await;
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    let rep = daemon.post("/open", "").await;
    assert_eq!(status(&rep), 200);
    assert_eq!(backend.opened.load(SeqCst), 2);
}

#[tokio::test]
async fn a_server_error_of_an_order_is_passed_on() {
    let (daemon, backends) = two(&[Act::Status(500)]).await;
    let rep = daemon.post("/open", "").await;
    assert_eq!((status(&rep), rep.ends_with("fail")), (500, true));
    assert_eq!(reached(&backends), 1);
}

#[tokio::test]
async fn work_at_failing_servers_stays_under_the_bound() {
    let (daemon, backends) = two(&[Act::Status(500)]).await;
    for _ in 0..200 {
        let rep = daemon.get("/open", "").await;
        assert_eq!(status(&rep), 500);
    }
    assert!(reached(&backends) <= 240, "{} requests reached servers", reached(&backends));
    assert!(reached(&backends) > 220);
}

#[tokio::test]
async fn a_caller_that_leaves_cancels_its_request() {
    let (mut daemon, backend) = one(&[Act::Silent]).await;
    let mut stream = tokio::net::TcpStream::connect(daemon.addr).await.unwrap();
    let req = b"GET /open HTTP/1.1\r\nhost: a\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut stream, req).await.unwrap();
    common::eventually("the request arrives", || backend.requests().len() == 1).await;
    drop(stream);
    common::eventually("the server's connection closes", || backend.closed.load(SeqCst) == 1).await;
    assert_eq!(daemon.outcomes(), [OutcomeKind::Cancelled]);
}

#[tokio::test]
async fn a_large_answer_arrives_whole() {
    let len = 3_000_000;
    let (daemon, backend) = one(&[Act::Large(len, len)]).await;
    let rep = daemon.get("/open", "").await;
    assert_eq!(rep.split_once("\r\n\r\n").map(|(_, body)| body.len()), Some(len));
    assert_eq!(backend.opened.load(SeqCst), 1);
}

#[tokio::test]
async fn a_large_answer_that_ends_short_breaks_the_callers_connection() {
    let (mut daemon, _backend) = one(&[Act::Large(3_000_000, 1_000_000)]).await;
    let rep = daemon.get("/open", "").await;
    assert_eq!(rep, "", "a broken answer was passed on as whole");
    assert_eq!(daemon.outcomes(), [OutcomeKind::Truncated]);
}

#[tokio::test]
async fn each_try_has_its_own_id_and_the_caller_gets_its_own_back() {
    let (daemon, backends) = two(&[Act::Shed, Act::Ok]).await;
    for _ in 0..2 {
        let rep = daemon.get("/open", "x-request-id: order-7\r\n").await;
        assert_eq!(header(&rep, "x-request-id").unwrap(), "order-7");
    }
    let requests: Vec<String> = backends.iter().flat_map(Backend::requests).collect();
    let ids: std::collections::HashSet<_> = requests.iter().map(|r| header(r, "x-request-id")).collect();
    assert_eq!(ids.len(), requests.len());
    assert!(requests.iter().all(|r| header(r, "x-caller-request-id").unwrap() == "order-7"));
    let told = edge::explain(&daemon.shared, "order-7").unwrap();
    assert_eq!(told.as_array().map(Vec::len), Some(2));
}

#[tokio::test]
async fn callers_may_speak_http2() {
    let (daemon, backend) = one(&[Act::Ok]).await;
    let stream = tokio::net::TcpStream::connect(daemon.addr).await.unwrap();
    let io = hyper_util::rt::TokioIo::new(stream);
    let exec = hyper_util::rt::TokioExecutor::new();
    let (mut sender, conn) = hyper::client::conn::http2::handshake(exec, io).await.unwrap();
    tokio::spawn(conn);
    let req = hyper::Request::get(format!("http://shop.example/stock?key={}", common::SECRET))
        .header("x-api-key", common::SECRET)
        .body(http_body_util::Empty::<bytes::Bytes>::new())
        .unwrap();
    let rep = sender.send_request(req).await.unwrap();
    assert_eq!(rep.status(), 200);
    let seen = backend.requests().remove(0);
    assert!(seen.starts_with("GET /stock HTTP/1.1"));
    assert_eq!(header(&seen, "host").unwrap(), "shop.example");
    assert!(!seen.contains(common::SECRET));
}

#[tokio::test]
async fn the_server_learns_what_is_left_of_the_deadline() {
    let (daemon, backend) = one(&[Act::Ok]).await;
    daemon.get("/open", "x-deadline-ms: 900\r\n").await;
    let left: u64 = header(&backend.requests()[0], "x-deadline-ms").unwrap().parse().unwrap();
    assert!((1..=900).contains(&left));
}
