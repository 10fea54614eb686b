//! A daemon may answer while the request is still being sent, e.g. to refuse a body that is too large.
//! Callers must be able to read such an answer rather than lose it to a connection reset.

mod common;

use std::time::Duration;

use common::{Act, KEY, conf, fleet, on_one_thread, read_until, status};
use conf::{KeyHasher, Snapshot};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Largest body of a request that the daemon accepts, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes of the body that the caller sends at a time.
const PART_BYTES: usize = 32 * 1024;
/// Number of parts in the body.
const PARTS: usize = 40;

fn conf_with_small_bodies(hasher: &KeyHasher) -> Snapshot {
    let mut conf = conf(hasher);
    conf.limits.max_body_bytes = MAX_BODY_BYTES;
    conf
}

/// Head of a request whose body is sent by the test.
fn post_head(path: &str, header: &str) -> String {
    let length = PARTS * PART_BYTES;
    format!("POST {path} HTTP/1.1\r\nhost: a\r\nx-request-id: r1\r\ncontent-length: {length}\r\n{header}\r\n")
}

#[rstest]
#[case::too_large(post_head("/order/a", &format!("x-api-key: {KEY}\r\n")), 413, 30)]
#[case::too_large_and_fast(post_head("/order/a", &format!("x-api-key: {KEY}\r\n")), 413, 0)]
#[case::two_lengths(post_head("/open/a", "content-length: 1\r\n"), 400, 30)]
#[case::two_lengths_and_fast(post_head("/open/a", "content-length: 1\r\n"), 400, 0)]
#[case::no_route(post_head("/none/a", ""), 404, 30)]
#[case::no_route_and_fast(post_head("/none/a", ""), 404, 0)]
#[case::no_key(post_head("/order/a", ""), 401, 30)]
fn a_caller_that_goes_on_sending_can_read_an_early_answer(
    #[case] head: String,
    #[case] expected: u16,
    #[case] pause_ms: u64,
) {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf_with_small_bodies).await;
        let mut caller = TcpStream::connect(fleet.daemons[0].callers).await.expect("the daemon listens");
        caller.write_all(head.as_bytes()).await.expect("the daemon reads");
        let (part, mut sent) = (vec![b'a'; PART_BYTES], 0);
        // Sending takes longer than the daemon reads a connection that it has half-closed, unless the
        // connection breaks.
        while sent < PARTS && caller.write_all(&part).await.is_ok() {
            sent += 1;
            sleep(Duration::from_millis(pause_ms)).await;
        }
        let rep = read_until(&mut caller, "\r\n\r\n").await;
        assert_eq!(status(&rep), expected, "{rep} after {sent} parts of {PARTS}");
        assert!(rep.ends_with("\r\n\r\n"), "cut: {rep}");
        assert_eq!(fleet.runs(), 0);
    });
}
