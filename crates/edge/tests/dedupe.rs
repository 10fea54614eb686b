//! Idempotency-Keys on a strict route: lost store answers, outages, races between daemons.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;

use common::{Act, Backend, FakeTable, daemon, header, status, verdict};
use rstest::rstest;

const KEY: &str = "idempotency-key: vela-17\r\n";

async fn fleet(script: &[Act]) -> ([common::Daemon; 2], Backend, Arc<FakeTable>) {
    let backend = Backend::start(script).await;
    let table: Arc<FakeTable> = Arc::default();
    let first = daemon(&[backend.addr], Arc::clone(&table)).await;
    let second = daemon(&[backend.addr], Arc::clone(&table)).await;
    ([first, second], backend, table)
}

#[tokio::test]
async fn a_later_caller_gets_the_first_outcome() {
    let ([first, second], backend, _table) = fleet(&[Act::Ok]).await;
    first.post("/orders", KEY).await;
    let rep = second.post("/orders", &format!("{KEY}x-request-id: mine\r\n")).await;
    assert_eq!((status(&rep), rep.ends_with("done")), (200, true));
    assert_eq!(header(&rep, "x-pomelo-replayed").unwrap(), "yes");
    assert_eq!(header(&rep, "x-request-id").unwrap(), "mine");
    assert_eq!(backend.requests().len(), 1);
}

#[tokio::test]
async fn racing_callers_run_once() {
    let ([first, second], backend, _table) = fleet(&[Act::Ok]).await;
    let calls = (0..8).map(|n| if n % 2 == 0 { &first } else { &second }.post("/orders", KEY));
    let reps = futures_util::future::join_all(calls).await;
    assert_eq!(backend.requests().len(), 1);
    let honest = |rep: &String| status(rep) == 200 || verdict(rep).1 == "dedupe-unknown";
    assert!(reps.iter().all(honest), "{reps:?}");
}

#[tokio::test]
async fn an_order_whose_effect_is_unknown_is_not_run_again() {
    let ([first, second], backend, _table) = fleet(&[Act::Close, Act::Ok]).await;
    let rep = first.post("/orders", KEY).await;
    assert_eq!(verdict(&rep), (502, "broken".into(), "unknown".into()));
    let rep = second.post("/orders", KEY).await;
    assert_eq!(verdict(&rep), (409, "dedupe-unknown".into(), "unknown".into()));
    assert_eq!(backend.requests().len(), 1);
}

#[tokio::test]
async fn an_order_that_did_not_run_leaves_its_key_free() {
    let ([first, second], backend, _table) = fleet(&[Act::Shed, Act::Ok]).await;
    let rep = first.post("/orders", KEY).await;
    assert_eq!(verdict(&rep).2, "no");
    let rep = second.post("/orders", KEY).await;
    assert_eq!(status(&rep), 200);
    assert_eq!(backend.requests().len(), 2);
}

#[tokio::test]
async fn an_order_is_not_run_while_the_store_is_down() {
    let ([first, _], backend, table) = fleet(&[Act::Ok]).await;
    table.is_down.store(true, SeqCst);
    let rep = first.post("/orders", KEY).await;
    assert_eq!(verdict(&rep), (503, "dedupe-unavailable".into(), "no".into()));
    assert_eq!(backend.requests().len(), 0);
}

#[rstest]
#[case::claim(1)]
#[case::claim_and_outcome(2)]
#[case::claim_and_both_outcomes(3)]
#[tokio::test]
async fn lost_store_answers_are_resolved(#[case] lost: usize) {
    let ([first, second], backend, table) = fleet(&[Act::Ok]).await;
    table.lose.store(lost, SeqCst);
    let rep = first.post("/orders", KEY).await;
    assert_eq!(status(&rep), 200);
    let rep = second.post("/orders", KEY).await;
    assert_eq!(status(&rep), 200);
    assert_eq!(backend.requests().len(), 1);
}

#[tokio::test]
async fn a_key_with_another_request_is_refused() {
    let ([first, second], backend, _table) = fleet(&[Act::Ok]).await;
    first.post("/orders/1", KEY).await;
    let rep = second.post("/orders/2", KEY).await;
    assert_eq!(verdict(&rep), (422, "dedupe-mismatch".into(), "no".into()));
    assert_eq!(backend.requests().len(), 1);
}

#[tokio::test]
async fn an_order_without_a_key_is_refused() {
    let ([first, _], backend, _table) = fleet(&[Act::Ok]).await;
    let rep = first.post("/orders", "").await;
    assert_eq!(verdict(&rep), (400, "dedupe-key-missing".into(), "no".into()));
    assert_eq!(backend.requests().len(), 0);
}

#[tokio::test]
async fn the_outcome_is_kept_when_the_caller_leaves() {
    let ([first, second], backend, _table) = fleet(&[Act::Late(100)]).await;
    let req = format!("POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n{KEY}\r\nhi");
    let mut stream = tokio::net::TcpStream::connect(first.addr).await.unwrap();
    tokio::io::AsyncWriteExt::write_all(&mut stream, req.as_bytes()).await.unwrap();
    common::eventually("the order runs", || backend.requests().len() == 1).await;
    drop(stream);
    let rep = second.post("/orders", KEY).await;
    assert_eq!(status(&rep), 200);
    assert_eq!(backend.requests().len(), 1);
}

#[tokio::test]
async fn a_strict_order_that_times_out_is_unknown_to_all() {
    let ([first, second], backend, _table) = fleet(&[Act::Silent]).await;
    let headers = format!("{KEY}x-deadline-ms: 300\r\n");
    let rep = first.post("/orders", &headers).await;
    assert_eq!(verdict(&rep), (504, "timed-out".into(), "unknown".into()));
    let rep = second.post("/orders", &headers).await;
    assert_eq!(verdict(&rep), (409, "dedupe-unknown".into(), "unknown".into()));
    assert_eq!(backend.requests().len(), 1);
}
