//! Withdrawn keys, graceful stop and the fair queue, seen from callers' connections.

mod common;

use common::{Act, SECRET, eventually, header, one, read_message, status, two, verdict, view};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

async fn send(stream: &mut TcpStream, path: &str) {
    let req = format!("GET {path} HTTP/1.1\r\nhost: a\r\nx-api-key: {SECRET}\r\n\r\n");
    stream.write_all(req.as_bytes()).await.unwrap();
}

#[tokio::test]
async fn idle_connections_of_a_withdrawn_key_are_closed() {
    let (daemon, backend) = one(&[Act::Ok]).await;
    let mut stream = TcpStream::connect(daemon.addr).await.unwrap();
    send(&mut stream, "/stock").await;
    assert_eq!(status(&read_message(&mut stream).await.unwrap()), 200);
    daemon.shared.publish(&view(&[backend.addr], true));
    assert_eq!(read_message(&mut stream).await, None);
}

#[tokio::test]
async fn connections_of_other_callers_stay_open_when_a_key_is_withdrawn() {
    let (daemon, backend) = one(&[Act::Ok]).await;
    let mut stream = TcpStream::connect(daemon.addr).await.unwrap();
    let req = b"GET /open HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(req).await.unwrap();
    read_message(&mut stream).await.unwrap();
    daemon.shared.publish(&view(&[backend.addr], true));
    stream.write_all(req).await.unwrap();
    assert_eq!(status(&read_message(&mut stream).await.unwrap()), 200);
}

#[tokio::test]
async fn queued_requests_of_a_withdrawn_key_end_as_not_run() {
    let (daemon, backend) = one(&[Act::Silent]).await;
    let servers = &daemon.shared.view.load().services["sacristia"].servers.clone();
    // So slow a server is not given up during the test: only the withdrawal can end the wait.
    servers[0].counters.latency_us.store(60_000_000, std::sync::atomic::Ordering::SeqCst);
    let mut streams = Vec::new();
    for _ in 0..7 {
        let mut stream = TcpStream::connect(daemon.addr).await.unwrap();
        send(&mut stream, "/stock").await;
        streams.push(stream);
    }
    let queued = "pomelo_queued_requests{service=\"sacristia\"}";
    eventually("one request waits", || daemon.metric(queued) >= 1 && backend.requests().len() == 6).await;
    daemon.shared.publish(&view(&[backend.addr], true));
    let refused = "pomelo_refusals_total{reason=\"key-invalid\"}";
    eventually("it is refused", || daemon.metric(refused) >= 1).await;
    assert_eq!(daemon.metric(queued), 0);
    assert_eq!(backend.requests().len(), 6);
}

#[tokio::test]
async fn a_stop_finishes_what_was_accepted_and_asks_callers_to_close() {
    let (daemon, _backends) = two(&[Act::Ok]).await;
    let mut stream = TcpStream::connect(daemon.addr).await.unwrap();
    send(&mut stream, "/stock").await;
    read_message(&mut stream).await.unwrap();
    daemon.stop.cancel();
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    send(&mut stream, "/stock").await;
    let rep = read_message(&mut stream).await.unwrap();
    assert_eq!((status(&rep), header(&rep, "connection").as_deref()), (200, Some("close")));
    let late = daemon.get("/open", "").await;
    assert_eq!(status(&late), 200, "the listener was still open");
    daemon.listening.await.unwrap();
    daemon.shared.tracker.close();
    daemon.shared.tracker.wait().await;
    TcpStream::connect(daemon.addr).await.unwrap_err();
}

#[tokio::test]
async fn a_queue_that_can_not_serve_in_time_refuses_early() {
    let (daemon, backend) = one(&[Act::Silent]).await;
    let calls = (0..300).map(|_| daemon.post("/quick", ""));
    let reps = futures_util::future::join_all(calls).await;
    let count = |reason: &str| reps.iter().filter(|r| verdict(r).1 == reason).count();
    assert_eq!(count("timed-out"), backend.requests().len());
    assert!(count("queue-full") > 0);
    assert_eq!(count("timed-out") + count("queue-full") + count("deadline-too-short"), 300);
}

#[tokio::test]
async fn a_large_upload_streams_and_is_sent_once() {
    let (daemon, backends) = two(&[Act::Ok]).await;
    let len = 2_000_000;
    let req = format!("PUT /open HTTP/1.1\r\nhost: a\r\ncontent-length: {len}\r\n\r\n{}", "x".repeat(len));
    let rep = daemon.raw(&req).await;
    assert_eq!(status(&rep), 200);
    let seen: Vec<String> = backends.iter().flat_map(common::Backend::requests).collect();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].split_once("\r\n\r\n").map(|(_, body)| body.len()), Some(len));
}

#[tokio::test]
async fn a_silent_server_does_not_hold_up_orders_for_others() {
    let (silent, good) =
        (common::Backend::start(&[Act::Silent]).await, common::Backend::start(&[Act::Ok]).await);
    let daemon = common::daemon(&[silent.addr, good.addr], std::sync::Arc::default()).await;
    let mut view = view(&[silent.addr, good.addr], false);
    // Of two daemons: the concurrency limit starts at 6 of the 12 slots.
    std::sync::Arc::get_mut(&mut view).unwrap().region_daemons = 2;
    daemon.shared.publish(&view);
    let servers = &view.services["sacristia"].servers;
    servers[1].counters.in_flight.store(6, std::sync::atomic::Ordering::SeqCst);
    let stuck: Vec<_> = (0..6).map(|_| daemon.post("/open", "")).collect();
    let mut stuck = std::pin::pin!(futures_util::future::join_all(stuck));
    for _ in 0..100 {
        let _ = futures_util::poll!(&mut stuck);
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    assert_eq!(silent.requests().len(), 6);
    servers[1].counters.in_flight.store(0, std::sync::atomic::Ordering::SeqCst);
    let calls = (0..6).map(|_| daemon.post("/quick", ""));
    let reps = futures_util::future::join_all(calls).await;
    assert!(reps.iter().all(|r| status(r) == 200), "{reps:?}");
}
