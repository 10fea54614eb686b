//! Answers that callers get when a server fails, and how many requests then reach the servers.

mod common;

use common::{
    Behavior, FakeServer, daemon, daemon_with_one_server, daemon_with_two_servers, header, refusal, status,
};
use kernel::OutcomeKind;
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use tokio::net::TcpListener;

fn refused_with(status: u16, reason: &str, run: &str) -> (u16, String, String) {
    (status, reason.into(), run.into())
}

/// Number of requests that reached the servers.
fn received_requests(servers: &[FakeServer]) -> usize {
    servers.iter().map(|s| s.requests().len()).sum()
}

#[rstest]
#[case::broken(Behavior::CloseUnanswered, "broken")]
#[case::wrong_id(Behavior::WrongId, "bad-answer")]
#[case::missing_id(Behavior::MissingId, "bad-answer")]
#[case::truncated(Behavior::Truncate, "bad-answer")]
#[case::no_length(Behavior::CloseDelimited, "bad-answer")]
#[case::shed_with_wrong_id(Behavior::ShedWithWrongId, "bad-answer")]
#[tokio::test]
async fn a_request_that_may_have_run_is_not_repeated_unless_it_is_idempotent(
    #[case] behavior: Behavior,
    #[case] reason: &str,
) {
    let (daemon, servers) = daemon_with_two_servers(&[behavior]).await;
    let rep = daemon.post("/open", "").await;
    assert_eq!(refusal(&rep), refused_with(502, reason, "unknown"));
    assert_eq!(received_requests(&servers), 1);
}

#[rstest]
#[case::broken(Behavior::CloseUnanswered, "broken")]
#[case::wrong_id(Behavior::WrongId, "bad-answer")]
#[case::truncated(Behavior::Truncate, "bad-answer")]
#[case::silent(Behavior::Silent, "silent")]
#[case::stalled(Behavior::StallInBody, "silent")]
#[case::failing(Behavior::Status(503), "server-error")]
#[tokio::test]
async fn an_idempotent_request_does_not_fail_with_its_first_server(
    #[case] behavior: Behavior,
    #[case] reason: &str,
) {
    let (bad, good) = (FakeServer::start(&[behavior]).await, FakeServer::start(&[Behavior::Ok]).await);
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
async fn a_shed_request_is_retried_even_if_it_is_not_idempotent() {
    let (daemon, servers) = daemon_with_two_servers(&[Behavior::Shed]).await;
    let rep = daemon.post("/open", "").await;
    assert_eq!(refusal(&rep), refused_with(503, "shed", "no"));
    assert_eq!(received_requests(&servers), 2);
}

#[tokio::test]
async fn a_refused_connection_is_not_reported_as_possibly_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let mut daemon = daemon(&[addr], Arc::default()).await;
    let rep = daemon.post("/open", "").await;
    assert_eq!(refusal(&rep), refused_with(502, "connect-failed", "no"));
    assert_eq!(daemon.outcomes(), [OutcomeKind::ConnectFailed]);
}

#[tokio::test]
async fn a_refused_connection_does_not_hide_that_an_earlier_attempt_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dead_addr = listener.local_addr().unwrap();
    drop(listener);
    let bad = FakeServer::start(&[Behavior::CloseUnanswered]).await;
    let daemon = daemon(&[bad.addr, dead_addr], Arc::default()).await;
    let rep = daemon.get("/open", "").await;
    assert_eq!(refusal(&rep), refused_with(502, "broken", "unknown"));
}

#[rstest]
#[case::silent(Behavior::Silent)]
#[case::stalled(Behavior::StallInBody)]
#[tokio::test]
async fn a_request_to_a_silent_server_is_not_reported_as_not_run(#[case] behavior: Behavior) {
    let (mut daemon, server) = daemon_with_one_server(&[behavior]).await;
    let rep = daemon.post("/quick", "").await;
    assert_eq!(refusal(&rep), refused_with(504, "timed-out", "unknown"));
    assert_eq!(daemon.outcomes(), [OutcomeKind::Stall]);
    common::eventually("the connection to the server closes", || server.closed.load(SeqCst) == 1).await;
}

#[tokio::test]
async fn a_request_whose_deadline_passed_is_not_sent() {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Ok]).await;
    let rep = daemon.post("/open", "x-deadline-ms: 0\r\n").await;
    assert_eq!(refusal(&rep), refused_with(504, "deadline-too-short", "no"));
    assert_eq!(server.requests().len(), 0);
}

#[tokio::test]
async fn a_connection_that_became_silent_while_idle_is_not_blamed_on_the_server() {
    let (mut daemon, server) = daemon_with_one_server(&[Behavior::Ok, Behavior::Silent]).await;
    daemon.get("/quick", "").await;
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    let rep = daemon.get("/quick", "").await;
    assert_eq!(refusal(&rep).2, "unknown");
    assert_eq!(daemon.outcomes(), [OutcomeKind::Ok, OutcomeKind::SilentConnection]);
    assert_eq!(server.opened.load(SeqCst), 1);
}

#[tokio::test]
async fn connections_opened_before_a_silent_one_do_not_stay_open() {
    let (daemon, server) =
        daemon_with_one_server(&[Behavior::Delay(5), Behavior::Delay(40), Behavior::Silent]).await;
    let calls = (0..2).map(|_| daemon.get("/quick", ""));
    futures_util::future::join_all(calls).await;
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    daemon.get("/quick", "").await;
    assert_eq!(server.opened.load(SeqCst), 2);
    common::eventually("both connections close", || server.closed.load(SeqCst) == 2).await;
}

#[tokio::test]
async fn a_request_that_is_not_idempotent_does_not_use_a_connection_that_was_idle() {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Ok]).await;
    daemon.get("/open", "").await;
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    let rep = daemon.post("/open", "").await;
    assert_eq!(status(&rep), 200);
    assert_eq!(server.opened.load(SeqCst), 2);
}

#[tokio::test]
async fn a_server_error_is_not_retried_if_the_request_is_not_idempotent() {
    let (daemon, servers) = daemon_with_two_servers(&[Behavior::Status(500)]).await;
    let rep = daemon.post("/open", "").await;
    assert_eq!((status(&rep), rep.ends_with("fail")), (500, true));
    assert_eq!(received_requests(&servers), 1);
}

#[tokio::test]
async fn retries_do_not_multiply_the_load_of_failing_servers() {
    let (daemon, servers) = daemon_with_two_servers(&[Behavior::Status(500)]).await;
    for _ in 0..200 {
        let rep = daemon.get("/open", "").await;
        assert_eq!(status(&rep), 500);
    }
    assert!(received_requests(&servers) <= 240, "{} requests reached servers", received_requests(&servers));
    assert!(received_requests(&servers) > 220);
}

#[tokio::test]
async fn a_request_does_not_run_on_after_its_caller_left() {
    let (mut daemon, server) = daemon_with_one_server(&[Behavior::Silent]).await;
    let mut stream = tokio::net::TcpStream::connect(daemon.addr).await.unwrap();
    let req = b"GET /open HTTP/1.1\r\nhost: a\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut stream, req).await.unwrap();
    common::eventually("the request arrives", || server.requests().len() == 1).await;
    drop(stream);
    common::eventually("the connection to the server closes", || server.closed.load(SeqCst) == 1).await;
    assert_eq!(daemon.outcomes(), [OutcomeKind::Cancelled]);
}

#[tokio::test]
async fn a_large_answer_is_not_truncated() {
    let len = 3_000_000;
    let (daemon, server) = daemon_with_one_server(&[Behavior::Large(len, len)]).await;
    let rep = daemon.get("/open", "").await;
    assert_eq!(rep.split_once("\r\n\r\n").map(|(_, body)| body.len()), Some(len));
    assert_eq!(server.opened.load(SeqCst), 1);
}

#[tokio::test]
async fn a_truncated_large_answer_does_not_look_complete_to_the_caller() {
    let (mut daemon, _server) = daemon_with_one_server(&[Behavior::Large(3_000_000, 1_000_000)]).await;
    let rep = daemon.get("/open", "").await;
    assert_eq!(rep, "", "a truncated answer was passed on as complete");
    assert_eq!(daemon.outcomes(), [OutcomeKind::Truncated]);
}

#[tokio::test]
async fn attempts_share_no_id_and_the_caller_gets_its_own_id_back() {
    let (daemon, servers) = daemon_with_two_servers(&[Behavior::Shed, Behavior::Ok]).await;
    for _ in 0..2 {
        let rep = daemon.get("/open", "x-request-id: order-7\r\n").await;
        assert_eq!(header(&rep, "x-request-id").unwrap(), "order-7");
    }
    let requests: Vec<String> = servers.iter().flat_map(FakeServer::requests).collect();
    let ids: std::collections::HashSet<_> = requests.iter().map(|r| header(r, "x-request-id")).collect();
    assert_eq!(ids.len(), requests.len());
    assert!(requests.iter().all(|r| header(r, "x-caller-request-id").unwrap() == "order-7"));
    let traces = edge::explain(&daemon.shared, "order-7").unwrap();
    assert_eq!(traces.as_array().map(Vec::len), Some(2));
}

#[tokio::test]
async fn callers_may_speak_http2() {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Ok]).await;
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
    let received = server.requests().remove(0);
    assert!(received.starts_with("GET /stock HTTP/1.1"));
    assert_eq!(header(&received, "host").unwrap(), "shop.example");
    assert!(!received.contains(common::SECRET));
}

#[tokio::test]
async fn the_time_left_is_not_withheld_from_the_server() {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Ok]).await;
    daemon.get("/open", "x-deadline-ms: 900\r\n").await;
    let left: u64 = header(&server.requests()[0], "x-deadline-ms").unwrap().parse().unwrap();
    assert!((1..=900).contains(&left));
}
