//! Idempotency-Keys on a strict route when answers of the store are lost, the store is down or two daemons
//! race.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;

use common::{Behavior, FakeServer, FakeTable, daemon, header, refusal, status};
use rstest::rstest;

const KEY: &str = "idempotency-key: vela-17\r\n";

/// Two daemons with one server and one table.
async fn two_daemons(script: &[Behavior]) -> ([common::Daemon; 2], FakeServer, Arc<FakeTable>) {
    let server = FakeServer::start(script).await;
    let table: Arc<FakeTable> = Arc::default();
    let first = daemon(&[server.addr], Arc::clone(&table)).await;
    let second = daemon(&[server.addr], Arc::clone(&table)).await;
    ([first, second], server, table)
}

#[tokio::test]
async fn a_repeated_key_does_not_run_again_and_gets_the_stored_outcome() {
    let ([first, second], server, _table) = two_daemons(&[Behavior::Ok]).await;
    first.post("/orders", KEY).await;
    let rep = second.post("/orders", &format!("{KEY}x-request-id: mine\r\n")).await;
    assert_eq!((status(&rep), rep.ends_with("done")), (200, true));
    assert_eq!(header(&rep, "x-pomelo-replayed").unwrap(), "yes");
    assert_eq!(header(&rep, "x-request-id").unwrap(), "mine");
    assert_eq!(server.requests().len(), 1);
}

#[tokio::test]
async fn concurrent_requests_with_one_key_do_not_run_twice() {
    let ([first, second], server, _table) = two_daemons(&[Behavior::Ok]).await;
    let calls = (0..8).map(|n| if n % 2 == 0 { &first } else { &second }.post("/orders", KEY));
    let reps = futures_util::future::join_all(calls).await;
    assert_eq!(server.requests().len(), 1);
    let is_acceptable = |rep: &String| status(rep) == 200 || refusal(rep).1 == "dedupe-unknown";
    assert!(reps.iter().all(is_acceptable), "{reps:?}");
}

#[tokio::test]
async fn a_request_that_may_have_run_is_not_run_again() {
    let ([first, second], server, _table) = two_daemons(&[Behavior::CloseUnanswered, Behavior::Ok]).await;
    let rep = first.post("/orders", KEY).await;
    assert_eq!(refusal(&rep), (502, "broken".into(), "unknown".into()));
    let rep = second.post("/orders", KEY).await;
    assert_eq!(refusal(&rep), (409, "dedupe-unknown".into(), "unknown".into()));
    assert_eq!(server.requests().len(), 1);
}

#[tokio::test]
async fn a_request_that_did_not_run_does_not_block_its_key() {
    let ([first, second], server, _table) = two_daemons(&[Behavior::Shed, Behavior::Ok]).await;
    let rep = first.post("/orders", KEY).await;
    assert_eq!(refusal(&rep).2, "no");
    let rep = second.post("/orders", KEY).await;
    assert_eq!(status(&rep), 200);
    assert_eq!(server.requests().len(), 2);
}

#[tokio::test]
async fn a_request_does_not_run_without_a_claim_while_the_store_is_down() {
    let ([first, _], server, table) = two_daemons(&[Behavior::Ok]).await;
    table.is_down.store(true, SeqCst);
    let rep = first.post("/orders", KEY).await;
    assert_eq!(refusal(&rep), (503, "dedupe-unavailable".into(), "no".into()));
    assert_eq!(server.requests().len(), 0);
}

#[rstest]
#[case::claim(1)]
#[case::claim_and_outcome(2)]
#[case::claim_and_both_outcomes(3)]
#[tokio::test]
async fn lost_answers_of_the_store_neither_block_nor_repeat_the_request(#[case] lost: usize) {
    let ([first, second], server, table) = two_daemons(&[Behavior::Ok]).await;
    table.lost_commit_answers.store(lost, SeqCst);
    let rep = first.post("/orders", KEY).await;
    assert_eq!(status(&rep), 200);
    let rep = second.post("/orders", KEY).await;
    assert_eq!(status(&rep), 200);
    assert_eq!(server.requests().len(), 1);
}

#[tokio::test]
async fn a_key_that_was_used_for_a_different_request_is_refused() {
    let ([first, second], server, _table) = two_daemons(&[Behavior::Ok]).await;
    first.post("/orders/1", KEY).await;
    let rep = second.post("/orders/2", KEY).await;
    assert_eq!(refusal(&rep), (422, "dedupe-mismatch".into(), "no".into()));
    assert_eq!(server.requests().len(), 1);
}

#[tokio::test]
async fn a_strict_request_without_a_key_is_refused() {
    let ([first, _], server, _table) = two_daemons(&[Behavior::Ok]).await;
    let rep = first.post("/orders", "").await;
    assert_eq!(refusal(&rep), (400, "dedupe-key-missing".into(), "no".into()));
    assert_eq!(server.requests().len(), 0);
}

#[tokio::test]
async fn the_outcome_is_not_lost_when_the_caller_leaves() {
    let ([first, second], server, _table) = two_daemons(&[Behavior::Delay(100)]).await;
    let req = format!("POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n{KEY}\r\nhi");
    let mut stream = tokio::net::TcpStream::connect(first.addr).await.unwrap();
    tokio::io::AsyncWriteExt::write_all(&mut stream, req.as_bytes()).await.unwrap();
    common::eventually("the request runs", || server.requests().len() == 1).await;
    drop(stream);
    let rep = second.post("/orders", KEY).await;
    assert_eq!(status(&rep), 200);
    assert_eq!(server.requests().len(), 1);
}

#[tokio::test]
async fn a_request_that_timed_out_is_not_run_again_by_another_daemon() {
    let ([first, second], server, _table) = two_daemons(&[Behavior::Silent]).await;
    let headers = format!("{KEY}x-deadline-ms: 300\r\n");
    let rep = first.post("/orders", &headers).await;
    assert_eq!(refusal(&rep), (504, "timed-out".into(), "unknown".into()));
    let rep = second.post("/orders", &headers).await;
    assert_eq!(refusal(&rep), (409, "dedupe-unknown".into(), "unknown".into()));
    assert_eq!(server.requests().len(), 1);
}
