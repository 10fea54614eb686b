//! Which connection of a caller that doesn't read its answer may be closed.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::{Duration, Instant};

use tokio::io::{AsyncWrite, DuplexStream};

use super::{ConnectionLimit, EvictionClass, OpenConnection, Phase, Shortage, UNREAD_AFTER};
use crate::body::BodyResources;
use crate::caller_requests::CallerRequests;
use crate::delivery::{Delivery, LastAnswer, TrackedStream};

/// Time for which a caller waits for its answer.
const DEADLINE: Duration = Duration::from_secs(30);

/// A limit of one connection, which a caller holds that does not read the answer to its first request.
struct Unread {
    limit: Rc<ConnectionLimit>,
    open: OpenConnection,
    requests: Rc<CallerRequests>,
    _stream: TrackedStream<DuplexStream>,
    _peer: DuplexStream,
}

impl Unread {
    fn new(now: Instant) -> Self {
        let limit = ConnectionLimit::new(1);
        let (delivery, requests) = (Rc::new(Delivery::default()), Rc::new(CallerRequests::default()));
        let open = limit.admit(Rc::clone(&delivery), Rc::clone(&requests), now).expect("there is room");
        open.set_phase(Phase::Serving, now);
        requests.wait_until(now + DEADLINE);
        let answer = LastAnswer { id: "r1".into(), status: 200, bytes: Some(100) };
        delivery.begin(answer, true, BodyResources::default());
        let (stream, peer) = tokio::io::duplex(1);
        let mut stream = TrackedStream::new(stream, delivery);
        let mut cx = Context::from_waker(Waker::noop());
        assert!(Pin::new(&mut stream).poll_write(&mut cx, b"ab").is_ready());
        Self { limit, open, requests, _stream: stream, _peer: peer }
    }

    /// Whether the connection is closed for a new one at `now`.
    fn makes_room(&self, now: Instant) -> bool {
        let new = self.limit.admit(Rc::default(), Rc::default(), now);
        assert_eq!(new.is_some(), self.open.connection.evicted.initialized());
        new.is_some()
    }
}

// Guards against a crowd of new callers that read nothing and shut out all others.
#[test]
fn a_new_caller_that_does_not_read_makes_room_after_a_while() {
    let now = Instant::now();
    let unread = Unread::new(now);
    assert!(!unread.makes_room(now + UNREAD_AFTER / 2));
    assert!(unread.makes_room(now + UNREAD_AFTER + Duration::from_secs(1)));
}

// Guards against a download and look-ups behind it that are lost because their caller pauses while new connections come.
#[test]
fn a_caller_that_has_used_its_connection_again_keeps_it_until_its_deadline() {
    let now = Instant::now();
    let unread = Unread::new(now);
    unread.requests.record_reuse();
    let _started = unread.requests.start_early();
    assert!(!unread.makes_room(now + DEADLINE));
}

// Guards against the loss of more requests than is needed to make room.
#[test]
fn a_new_caller_without_requests_behind_its_unread_answer_goes_first() {
    let now = Instant::now();
    let [pipelined, single] = [Unread::new(now), Unread::new(now)];
    let _started = pipelined.requests.start_early();
    let later = now + UNREAD_AFTER + Duration::from_secs(1);
    let class = |unread: &Unread| {
        unread.open.connection.eviction_order(Shortage::Connections, later).map(|(class, _)| class)
    };
    assert_eq!(class(&single), Some(EvictionClass::Unread));
    assert_eq!(class(&pipelined), Some(EvictionClass::UnreadPipeline));
    assert!(EvictionClass::Unread < EvictionClass::UnreadPipeline);
}

// Guards against callers that hold their connections for ever.
#[test]
fn a_caller_that_no_longer_waits_makes_room() {
    let now = Instant::now();
    let unread = Unread::new(now);
    unread.requests.record_reuse();
    let _started = unread.requests.start_early();
    assert!(unread.makes_room(now + DEADLINE + Duration::from_secs(2)));
}

// Guards against a connection that is closed although that frees nothing of what is short.
#[test]
fn a_connection_is_not_closed_for_what_it_does_not_hold() {
    let now = Instant::now();
    let unread = Unread::new(now);
    let later = now + DEADLINE * 2;
    assert!(!unread.limit.evict(Shortage::Slots, later));
    assert!(!unread.limit.evict(Shortage::Memory, later));
    assert!(unread.limit.evict(Shortage::Connections, later));
}
