//! A server whose answers have a status that is none. Callers must not get it as an answer, and must not be told
//! that their request has not run.

mod common;

use std::time::{Duration, Instant};

use common::cut::start_server;
use common::endless::{read_answer, send_get};
use common::{Act, Backend, conf, fleet_of, on_one_thread};
use rstest::rstest;
use tokio::net::TcpStream;

/// Deadline of the caller's request.
const DEADLINE: Duration = Duration::from_secs(2);

/// Status that the caller gets if the server beside the daemon, or beside another one, sends `bytes`.
async fn status_for_caller(bytes: &str, is_remote: bool) -> u16 {
    let mut backends = vec![Backend::at(start_server(bytes.to_owned()).await)];
    if is_remote {
        backends.insert(0, Backend::start(&[Act::Answer]).await);
    }
    let fleet = fleet_of(backends, conf).await;
    if is_remote {
        fleet.daemons[0].register(2, true);
    }
    let mut caller = TcpStream::connect(fleet.daemons[0].callers).await.expect("the daemon listens");
    send_get(&mut caller, "/order/a", "r1", DEADLINE).await;
    read_answer(&mut caller, Instant::now() + DEADLINE * 2).await.status
}

// Guards against a status of a failing server that reaches callers although HTTP knows no such status.
#[rstest]
fn a_status_that_is_none_is_no_answer(
    #[values(
        "000", "001", "099", "20", "2000", "1000", "+20", "-20", "2 0", "20x", "", "600", "700", "999",
        "101", "199"
    )]
    status: &str,
    #[values(false, true)] is_remote: bool,
) {
    on_one_thread(async {
        let fields = "x-request-id: ID\r\nx-server-signature: signed\r\ncontent-length: 5\r\n\r\nwhole";
        let bytes = format!("HTTP/1.1 {status} Odd\r\n{fields}");
        assert_eq!(status_for_caller(&bytes, is_remote).await, 502);
    });
}

// Guards against an odd status that says, by the header of a refusal, that the request has not run.
#[rstest]
fn an_odd_status_is_no_proof_that_a_request_has_not_run(#[values("600", "999", "101")] status: &str) {
    on_one_thread(async {
        let fields = "x-request-id: ID\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        let bytes = format!("HTTP/1.1 {status} Odd\r\n{fields}");
        assert_eq!(status_for_caller(&bytes, false).await, 502);
    });
}

// Guards against an interim answer after the final one that is taken for the next answer.
#[rstest]
fn an_interim_answer_behind_the_final_one_changes_nothing(#[values(false, true)] is_remote: bool) {
    on_one_thread(async {
        let fields = "x-request-id: ID\r\nx-server-signature: signed\r\ncontent-length: 5\r\n\r\nwhole";
        let bytes = format!("HTTP/1.1 200 OK\r\n{fields}HTTP/1.1 103 Early Hints\r\n\r\n");
        assert_eq!(status_for_caller(&bytes, is_remote).await, 200);
    });
}
