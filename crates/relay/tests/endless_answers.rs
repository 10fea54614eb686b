//! Servers in trouble that send without end: callers get an end in time, slots and memory stay free.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use common::endless::{Endless, EndlessServer, Got, read, send};
use common::{Act, Backend, Fleet, conf, connect_narrow, fleet_of, on_one_thread};
use rstest::rstest;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time that the caller waits.
const DEADLINE: Duration = Duration::from_secs(1);
/// Time past the deadline by which everything has to have ended.
const SLACK: Duration = Duration::from_millis(700);
/// Most bytes that a daemon may take from a server for one answer that nobody reads, with the system's own buffers, which
/// were seen to take up to 3 MB of an answer that is passed on.
const MAX_TAKEN: usize = 4 * 1024 * 1024;

/// Path of requests that may run more than once.
const REPEATABLE: &str = "/stock/a";
/// Path of requests that may run only once.
const ONCE: &str = "/order/a";

/// Where the server in trouble stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// Beside the caller's daemon.
    Own,
    /// Beside another daemon.
    Afar,
}

/// A fleet with the server in trouble, which answers `times` requests without end.
async fn trouble(kind: Endless, place: Place, times: u32) -> (Fleet, Rc<EndlessServer>) {
    let server = EndlessServer::start(kind, times).await;
    let mut backends = vec![Backend::at(server.addr)];
    if place == Place::Afar {
        backends.insert(0, Backend::start(&[Act::Answer]).await);
    }
    let fleet = fleet_of(backends, conf).await;
    if place == Place::Afar {
        fleet.daemons[0].register(2, true);
    }
    (fleet, server)
}

async fn connect(fleet: &Fleet) -> TcpStream {
    TcpStream::connect(fleet.daemons[0].callers).await.expect("the daemon listens")
}

/// Asks and waits a little past the deadline at most.
async fn ask(caller: &mut TcpStream, path: &str, id: &str) -> Got {
    let until = Instant::now() + DEADLINE + SLACK;
    send(caller, path, id, DEADLINE).await;
    read(caller, until).await
}

/// Requests at the server of the last daemon.
fn load(fleet: &Fleet) -> usize {
    fleet.daemons.last().map_or(0, |d| d.node.local_server.load())
}

#[rstest]
#[case::head(Endless::Head, Place::Own)]
#[case::garbage(Endless::Garbage, Place::Own)]
#[case::body(Endless::Body, Place::Own)]
#[case::chunks(Endless::Chunks, Place::Own)]
#[case::chunk_size(Endless::ChunkSize, Place::Own)]
#[case::trailers(Endless::Trailers, Place::Own)]
#[case::huge(Endless::Huge, Place::Own)]
#[case::interim(Endless::Interim, Place::Own)]
#[case::body_from_afar(Endless::Body, Place::Afar)]
#[case::chunks_from_afar(Endless::Chunks, Place::Afar)]
#[case::huge_from_afar(Endless::Huge, Place::Afar)]
#[case::interim_from_afar(Endless::Interim, Place::Afar)]
fn an_endless_answer_ends_for_the_caller_and_frees_the_server(#[case] kind: Endless, #[case] place: Place) {
    on_one_thread(async {
        let (fleet, server) = trouble(kind, place, 1).await;
        let mut caller = connect(&fleet).await;
        let got = ask(&mut caller, ONCE, "r1").await;
        assert!(got.has_end(), "no end within the deadline: {got:?}");
        assert!(!got.is_complete || got.status >= 500, "looks like the server's answer: {got:?}");
        sleep(Duration::from_millis(100)).await;
        assert_eq!(
            (server.sending.get(), load(&fleet)),
            (0, 0),
            "connections and slots in use after {got:?}"
        );
        if got.is_closed {
            caller = connect(&fleet).await;
        }
        let next = ask(&mut caller, ONCE, "r2").await;
        assert_eq!((next.status, next.body, next.is_complete), (200, 5, true), "{next:?} after {got:?}");
    });
}

#[rstest]
#[case::own(Place::Own)]
#[case::afar(Place::Afar)]
fn bytes_without_end_behind_a_whole_answer_are_not_read(#[case] place: Place) {
    on_one_thread(async {
        let (fleet, server) = trouble(Endless::Extra, place, 1).await;
        let mut caller = connect(&fleet).await;
        let got = ask(&mut caller, ONCE, "r1").await;
        assert_eq!((got.status, got.body, got.is_complete), (200, 5, true), "{got:?}");
        sleep(Duration::from_millis(100)).await;
        assert_eq!(
            (server.sending.get(), load(&fleet)),
            (0, 0),
            "connections and slots in use after {got:?}"
        );
        let next = ask(&mut caller, ONCE, "r2").await;
        assert_eq!((next.status, next.body, next.is_complete), (200, 5, true), "{next:?} after {got:?}");
        assert!(server.sent.get() < MAX_TAKEN, "the daemon took {} bytes", server.sent.get());
    });
}

#[rstest]
#[case::head(Endless::Head, Place::Own)]
#[case::garbage(Endless::Garbage, Place::Own)]
#[case::body(Endless::Body, Place::Own)]
#[case::chunks(Endless::Chunks, Place::Own)]
#[case::chunk_size(Endless::ChunkSize, Place::Own)]
#[case::trailers(Endless::Trailers, Place::Own)]
#[case::huge(Endless::Huge, Place::Own)]
#[case::body_from_afar(Endless::Body, Place::Afar)]
#[case::chunks_from_afar(Endless::Chunks, Place::Afar)]
#[case::huge_from_afar(Endless::Huge, Place::Afar)]
fn an_endless_answer_takes_a_bounded_part_of_the_memory(#[case] kind: Endless, #[case] place: Place) {
    on_one_thread(async {
        let (fleet, server) = trouble(kind, place, u32::MAX).await;
        // A caller that does not read, so that bytes can't be passed on.
        let mut caller = connect_narrow(fleet.daemons[0].callers).await;
        send(&mut caller, ONCE, "r1", DEADLINE).await;
        sleep(DEADLINE + SLACK).await;
        assert_eq!(server.asked.get(), 1);
        assert!(server.sent.get() < MAX_TAKEN, "the daemon took {} bytes", server.sent.get());
        assert_eq!((server.sending.get(), load(&fleet)), (0, 0), "connections and slots in use");
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
        let sound = Backend::start(&[Act::Answer]).await;
        let fleet = fleet_of(vec![Backend::at(server.addr), sound], conf).await;
        for n in 0..10 {
            let got = ask(&mut connect(&fleet).await, REPEATABLE, &format!("r{n}")).await;
            assert_eq!((got.status, got.body, got.is_complete), (200, 5, true), "{got:?}");
            if server.asked.get() > 0 {
                break;
            }
        }
        assert!(server.asked.get() > 0, "no request reached the server in trouble");
    });
}
