//! Faulty servers that never stop sending. The answer must end for the caller in time, and slots and memory
//! must not be used up.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use common::endless::{Endless, EndlessServer, Received, read_answer, send_get};
use common::{Act, Backend, Fleet, conf, connect_with_small_segments, fleet_of, on_one_thread};
use rstest::rstest;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Deadline of the caller's request.
const DEADLINE: Duration = Duration::from_secs(1);
/// Time past the deadline at which the answer must have ended and the server must be free.
const DEADLINE_SLACK: Duration = Duration::from_millis(700);
/// Most bytes that a daemon may take from a server for one answer that nobody reads, including the kernel's
/// buffers, which were seen to take up to 3 MB of a streamed answer.
const MAX_TAKEN_BYTES: usize = 4 * 1024 * 1024;

/// Path of requests that may run more than once.
const REPEATABLE_PATH: &str = "/stock/a";
/// Path of requests that must run at most once.
const ONCE_PATH: &str = "/order/a";

/// Location of the faulty server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// Beside the caller's daemon.
    Local,
    /// Beside another daemon.
    Remote,
}

/// Starts a fleet with a faulty server, whose answers to the first `times` requests are endless.
async fn faulty_fleet(kind: Endless, place: Place, times: u32) -> (Fleet, Rc<EndlessServer>) {
    let server = EndlessServer::start(kind, times).await;
    let mut backends = vec![Backend::at(server.addr)];
    if place == Place::Remote {
        backends.insert(0, Backend::start(&[Act::Answer]).await);
    }
    let fleet = fleet_of(backends, conf).await;
    if place == Place::Remote {
        fleet.daemons[0].register(2, true);
    }
    (fleet, server)
}

async fn connect(fleet: &Fleet) -> TcpStream {
    TcpStream::connect(fleet.daemons[0].callers).await.expect("the daemon listens")
}

/// Sends a request and reads the answer, until shortly after the deadline at most.
async fn send_and_read(caller: &mut TcpStream, path: &str, id: &str) -> Received {
    let until = Instant::now() + DEADLINE + DEADLINE_SLACK;
    send_get(caller, path, id, DEADLINE).await;
    read_answer(caller, until).await
}

/// Number of requests at the server of the last daemon.
fn requests_at_server(fleet: &Fleet) -> usize {
    fleet.daemons.last().map_or(0, |d| d.node.local_server.request_count())
}

#[rstest]
#[case::head(Endless::Head, Place::Local)]
#[case::garbage(Endless::Garbage, Place::Local)]
#[case::body(Endless::Body, Place::Local)]
#[case::chunks(Endless::Chunks, Place::Local)]
#[case::chunk_size(Endless::ChunkSize, Place::Local)]
#[case::trailers(Endless::Trailers, Place::Local)]
#[case::huge(Endless::Huge, Place::Local)]
#[case::interim(Endless::Interim, Place::Local)]
#[case::body_remote(Endless::Body, Place::Remote)]
#[case::chunks_remote(Endless::Chunks, Place::Remote)]
#[case::huge_remote(Endless::Huge, Place::Remote)]
#[case::interim_remote(Endless::Interim, Place::Remote)]
fn an_endless_answer_ends_for_the_caller_and_frees_the_server(#[case] kind: Endless, #[case] place: Place) {
    on_one_thread(async {
        let (fleet, server) = faulty_fleet(kind, place, 1).await;
        let mut caller = connect(&fleet).await;
        let received = send_and_read(&mut caller, ONCE_PATH, "r1").await;
        assert!(received.has_end(), "no end within the deadline: {received:?}");
        assert!(
            !received.is_complete || received.status >= 500,
            "looks like the server's answer: {received:?}"
        );
        sleep(Duration::from_millis(100)).await;
        assert_eq!(
            (server.sending.get(), requests_at_server(&fleet)),
            (0, 0),
            "connections and slots in use after {received:?}"
        );
        if received.is_closed {
            caller = connect(&fleet).await;
        }
        let next = send_and_read(&mut caller, ONCE_PATH, "r2").await;
        assert_eq!((next.status, next.body, next.is_complete), (200, 5, true), "{next:?} after {received:?}");
    });
}

#[rstest]
#[case::local(Place::Local)]
#[case::remote(Place::Remote)]
fn bytes_without_end_behind_a_whole_answer_are_not_read(#[case] place: Place) {
    on_one_thread(async {
        let (fleet, server) = faulty_fleet(Endless::Extra, place, 1).await;
        let mut caller = connect(&fleet).await;
        let received = send_and_read(&mut caller, ONCE_PATH, "r1").await;
        assert_eq!((received.status, received.body, received.is_complete), (200, 5, true), "{received:?}");
        sleep(Duration::from_millis(100)).await;
        assert_eq!(
            (server.sending.get(), requests_at_server(&fleet)),
            (0, 0),
            "connections and slots in use after {received:?}"
        );
        let next = send_and_read(&mut caller, ONCE_PATH, "r2").await;
        assert_eq!((next.status, next.body, next.is_complete), (200, 5, true), "{next:?} after {received:?}");
        assert!(server.sent.get() < MAX_TAKEN_BYTES, "the daemon took {} bytes", server.sent.get());
    });
}

#[rstest]
#[case::head(Endless::Head, Place::Local)]
#[case::garbage(Endless::Garbage, Place::Local)]
#[case::body(Endless::Body, Place::Local)]
#[case::chunks(Endless::Chunks, Place::Local)]
#[case::chunk_size(Endless::ChunkSize, Place::Local)]
#[case::trailers(Endless::Trailers, Place::Local)]
#[case::huge(Endless::Huge, Place::Local)]
#[case::body_remote(Endless::Body, Place::Remote)]
#[case::chunks_remote(Endless::Chunks, Place::Remote)]
#[case::huge_remote(Endless::Huge, Place::Remote)]
fn an_endless_answer_takes_a_bounded_part_of_the_memory(#[case] kind: Endless, #[case] place: Place) {
    on_one_thread(async {
        let (fleet, server) = faulty_fleet(kind, place, u32::MAX).await;
        // This caller doesn't read, so the daemon can't send what it receives.
        let mut caller = connect_with_small_segments(fleet.daemons[0].callers).await;
        send_get(&mut caller, ONCE_PATH, "r1", DEADLINE).await;
        sleep(DEADLINE + DEADLINE_SLACK).await;
        assert_eq!(server.requests.get(), 1);
        assert!(server.sent.get() < MAX_TAKEN_BYTES, "the daemon took {} bytes", server.sent.get());
        assert_eq!(
            (server.sending.get(), requests_at_server(&fleet)),
            (0, 0),
            "connections and slots in use"
        );
    });
}

#[rstest]
#[case::head(Endless::Head)]
#[case::garbage(Endless::Garbage)]
#[case::body(Endless::Body)]
#[case::chunks(Endless::Chunks)]
#[case::chunk_size(Endless::ChunkSize)]
#[case::trailers(Endless::Trailers)]
#[case::interim(Endless::Interim)]
fn a_repeatable_request_with_an_endless_answer_runs_at_another_server(#[case] kind: Endless) {
    on_one_thread(async {
        let server = EndlessServer::start(kind, u32::MAX).await;
        let healthy = Backend::start(&[Act::Answer]).await;
        let fleet = fleet_of(vec![Backend::at(server.addr), healthy], conf).await;
        for n in 0..10 {
            let received = send_and_read(&mut connect(&fleet).await, REPEATABLE_PATH, &format!("r{n}")).await;
            assert_eq!(
                (received.status, received.body, received.is_complete),
                (200, 5, true),
                "{received:?}"
            );
            if server.requests.get() > 0 {
                break;
            }
        }
        assert!(server.requests.get() > 0, "no request reached the faulty server");
    });
}
