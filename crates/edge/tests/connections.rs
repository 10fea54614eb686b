//! What happens to callers' connections and queued requests when a key is withdrawn, the daemon stops, the
//! queue is full or a server is silent.

mod common;

use common::{
    Behavior, SECRET, daemon_with_one_server, daemon_with_two_servers, eventually, header, read_message,
    refusal, status, view,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

async fn send(stream: &mut TcpStream, path: &str) {
    let req = format!("GET {path} HTTP/1.1\r\nhost: a\r\nx-api-key: {SECRET}\r\n\r\n");
    stream.write_all(req.as_bytes()).await.unwrap();
}

#[tokio::test]
async fn idle_connections_of_a_withdrawn_key_are_closed() {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Ok]).await;
    let mut stream = TcpStream::connect(daemon.addr).await.unwrap();
    send(&mut stream, "/stock").await;
    assert_eq!(status(&read_message(&mut stream).await.unwrap()), 200);
    daemon.shared.publish(&view(&[server.addr], true));
    assert_eq!(read_message(&mut stream).await, None);
}

#[tokio::test]
async fn connections_of_other_callers_stay_open_when_a_key_is_withdrawn() {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Ok]).await;
    let mut stream = TcpStream::connect(daemon.addr).await.unwrap();
    let req = b"GET /open HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(req).await.unwrap();
    read_message(&mut stream).await.unwrap();
    daemon.shared.publish(&view(&[server.addr], true));
    stream.write_all(req).await.unwrap();
    assert_eq!(status(&read_message(&mut stream).await.unwrap()), 200);
}

#[tokio::test]
async fn queued_requests_of_a_withdrawn_key_are_not_sent() {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Silent]).await;
    let servers = &daemon.shared.view.load().services["sacristia"].servers.clone();
    // With this latency the progress timeout exceeds the test: only the withdrawal can end the wait.
    servers[0].counters.latency_us.store(60_000_000, std::sync::atomic::Ordering::SeqCst);
    let mut streams = Vec::new();
    for _ in 0..7 {
        let mut stream = TcpStream::connect(daemon.addr).await.unwrap();
        send(&mut stream, "/stock").await;
        streams.push(stream);
    }
    let queued = "pomelo_queued_requests{service=\"sacristia\"}";
    eventually("one request is queued", || daemon.metric(queued) >= 1 && server.requests().len() == 6).await;
    daemon.shared.publish(&view(&[server.addr], true));
    let refused = "pomelo_refusals_total{reason=\"key-invalid\"}";
    eventually("the queued request is refused", || daemon.metric(refused) >= 1).await;
    assert_eq!(daemon.metric(queued), 0);
    assert_eq!(server.requests().len(), 6);
}

#[tokio::test]
async fn a_stop_does_not_break_open_connections_and_asks_callers_to_close() {
    let (daemon, _servers) = daemon_with_two_servers(&[Behavior::Ok]).await;
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
async fn requests_that_can_not_be_served_in_time_do_not_wait_in_the_queue() {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Silent]).await;
    let calls = (0..300).map(|_| daemon.post("/quick", ""));
    let reps = futures_util::future::join_all(calls).await;
    let count = |reason: &str| reps.iter().filter(|r| refusal(r).1 == reason).count();
    assert_eq!(count("timed-out"), server.requests().len());
    assert!(count("queue-full") > 0);
    assert_eq!(count("timed-out") + count("queue-full") + count("deadline-too-short"), 300);
}

#[tokio::test]
async fn a_large_upload_is_neither_truncated_nor_sent_twice() {
    let (daemon, servers) = daemon_with_two_servers(&[Behavior::Ok]).await;
    let len = 2_000_000;
    let req = format!("PUT /open HTTP/1.1\r\nhost: a\r\ncontent-length: {len}\r\n\r\n{}", "x".repeat(len));
    let rep = daemon.send_raw(&req).await;
    assert_eq!(status(&rep), 200);
    let received: Vec<String> = servers.iter().flat_map(common::FakeServer::requests).collect();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].split_once("\r\n\r\n").map(|(_, body)| body.len()), Some(len));
}

#[tokio::test]
async fn a_silent_server_does_not_hold_all_permits_of_its_service() {
    let (silent, good) = (
        common::FakeServer::start(&[Behavior::Silent]).await,
        common::FakeServer::start(&[Behavior::Ok]).await,
    );
    let daemon = common::daemon(&[silent.addr, good.addr], std::sync::Arc::default()).await;
    let mut view = view(&[silent.addr, good.addr], false);
    // With two daemons in the region, this daemon's concurrency limit starts at 6 of the 12 slots.
    std::sync::Arc::get_mut(&mut view).unwrap().region_daemons = 2;
    daemon.shared.publish(&view);
    let servers = &view.services["sacristia"].servers;
    // While the good server seems to be full, the silent one gets all 6 requests.
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
