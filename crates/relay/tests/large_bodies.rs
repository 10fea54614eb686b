//! Large bodies of many requests at once. Those that don't fit into the daemon's memory are refused, and the other
//! requests go on.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Act, BODY_MEMORY_BYTES, Daemon, conf, fleet, on_one_thread, read_until, request, status};
use http_body_util::Full;
use relay::body::BufferError;
use relay::body_memory::{BodyMemory, buffer_in_memory};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Size of a body, of which two fit into the memory of a daemon.
const BODY_BYTES: usize = BODY_MEMORY_BYTES / 5 * 2;

/// Pause after which an upload has stalled.
const STALL: Duration = Duration::from_millis(1_200);

/// Announces a body of [`BODY_BYTES`] bytes and sends half of it.
async fn start_upload(daemon: &Daemon, id: &str) -> TcpStream {
    send_part(daemon, id, BODY_BYTES / 2).await
}

/// Announces a body of [`BODY_BYTES`] bytes and sends `sent` of them.
async fn send_part(daemon: &Daemon, id: &str, sent: usize) -> TcpStream {
    let mut caller = TcpStream::connect(daemon.callers).await.expect("the daemon listens");
    let req = request("POST", "/order/a", id, &"x".repeat(BODY_BYTES));
    let (begun, _) = req.split_at(req.len() - BODY_BYTES + sent);
    caller.write_all(begun.as_bytes()).await.expect("the daemon reads");
    caller
}

async fn finish_upload(mut caller: TcpStream) -> u16 {
    caller.write_all("x".repeat(BODY_BYTES / 2).as_bytes()).await.expect("the daemon reads");
    status(&read_until(&mut caller, "\r\n\r\n").await)
}

// Guards against a daemon that large bodies take over the memory of its instance (review, case 3).
#[test]
fn a_body_that_does_not_fit_into_the_memory_is_refused_at_once() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf).await;
        let daemon = &fleet.daemons[0];
        let (first, second) = (start_upload(daemon, "r1").await, start_upload(daemon, "r2").await);
        sleep(Duration::from_millis(100)).await;
        let mut third = start_upload(daemon, "r3").await;
        let refused = read_until(&mut third, "\r\n\r\n").await;
        assert_eq!((status(&refused), daemon.runs()), (503, 0), "{refused}");
        assert!(refused.contains("body-memory"), "{refused}");
        let small = daemon.post("/order/a", "r4").await;
        assert_eq!(status(&small), 200, "{small}");
        assert_eq!((finish_upload(first).await, finish_upload(second).await), (200, 200));
        // The memory is free again.
        let next = start_upload(daemon, "r5").await;
        assert_eq!(finish_upload(next).await, 200);
    });
}

// Guards against the same at the daemon beside the server.
#[test]
fn a_handed_off_body_that_does_not_fit_is_declined_as_not_run() {
    on_one_thread(async {
        let slow: &[Act] = &[Act::After(1_500)];
        let fleet = fleet(&[slow, slow, slow, slow], conf).await;
        for daemon in &fleet.daemons[..3] {
            daemon.register(2, true);
        }
        let uploads = [0, 1, 2].map(|n| {
            let fleet = &fleet;
            async move {
                let caller = start_upload(&fleet.daemons[n], &format!("r{n}")).await;
                finish_upload(caller).await
            }
        });
        let [a, b, c] = uploads;
        let mut statuses: [u16; 3] = tokio::join!(a, b, c).into();
        statuses.sort_unstable();
        assert_eq!((statuses, fleet.runs()), ([200, 200, 503], 2));
    });
}

#[test]
fn memory_of_a_body_is_free_once_its_request_has_ended() {
    on_one_thread(async {
        let memory = BodyMemory::new(1_000);
        let body = || Full::new(Bytes::from(vec![0; 600]));
        let (bytes, reserved) = buffer_in_memory(body(), 1_000, &memory).await.expect("it fits");
        assert_eq!(bytes.len(), 600);
        let refused = buffer_in_memory(body(), 1_000, &memory).await;
        assert!(matches!(refused, Err(BufferError::NoMemory)), "{refused:?}");
        drop(reserved);
        buffer_in_memory(body(), 1_000, &memory).await.expect("it fits again");
        assert_eq!(memory.free(), 1_000);
    });
}

// Guards against callers that announce bodies and don't send them, and so shut out all requests with a body (second
// review, starve).
#[test]
fn bodies_that_do_not_arrive_hold_no_memory_that_others_need() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf).await;
        let daemon = &fleet.daemons[0];
        let mut silent = [send_part(daemon, "r1", 10).await, send_part(daemon, "r2", 10).await];
        sleep(STALL).await;
        let third = start_upload(daemon, "r3").await;
        assert_eq!(finish_upload(third).await, 200);
        // The rest of a body that pauses is taken if there is room again.
        let rest = "x".repeat(BODY_BYTES - 10);
        silent[0].write_all(rest.as_bytes()).await.expect("the daemon reads");
        assert_eq!(status(&read_until(&mut silent[0], "\r\n\r\n").await), 200);
    });
}

// Guards against a body whose memory has been given to others and which is taken all the same.
#[test]
fn a_body_that_pauses_is_refused_as_not_run_if_its_memory_is_gone() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf).await;
        let daemon = &fleet.daemons[0];
        let mut silent = send_part(daemon, "r1", 10).await;
        sleep(STALL).await;
        let others = [start_upload(daemon, "r2").await, start_upload(daemon, "r3").await];
        sleep(Duration::from_millis(100)).await;
        silent.write_all(&vec![b'x'; BODY_BYTES / 2]).await.expect("the daemon reads");
        let refused = read_until(&mut silent, "\r\n\r\n").await;
        assert_eq!((status(&refused), daemon.runs()), (503, 0), "{refused}");
        for other in others {
            assert_eq!(finish_upload(other).await, 200);
        }
    });
}
