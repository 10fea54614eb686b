//! Bounds the connections that callers hold open, so that no crowd uses up the descriptors or memory of a daemon, and
//! decides which connection is closed when something is short.
//!
//! A connection is closed only if it holds some of what is short, and only if that loses no request that was passed on:
//! a caller that reads slowly keeps its connection until its deadlines have passed, and what is new is refused instead.
//! The exception is a new caller, one that has sent no request since it got an answer. If it reads nothing of its answers
//! it makes room earlier, since a crowd of such callers would shut out all others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::Display;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::SetOnce;

use crate::caller_requests::CallerRequests;
use crate::delivery::Delivery;

/// Time without progress of an answer after which a new caller's connection may be closed to make room.
const UNREAD_AFTER: Duration = Duration::from_secs(3);

/// Heads of requests of the largest size that a connection may hold: one that is being parsed, its copy for the
/// inspection, and the queue of requests that were sent ahead, whose entries are smaller than the requests.
const HEADS_PER_CONNECTION: usize = 3;
/// Largest head by which connections are counted. Larger ones are not inspected, and few are expected at a time.
const MAX_COUNTED_HEAD_BYTES: usize = 128 * 1024;
/// Memory in bytes that a connection takes beside heads and bodies.
const CONNECTION_STATE_BYTES: usize = 16_000;

/// Memory in bytes that a connection may take apart from bodies.
pub(crate) fn connection_bytes(max_head_bytes: usize) -> usize {
    HEADS_PER_CONNECTION * max_head_bytes.min(MAX_COUNTED_HEAD_BYTES) + CONNECTION_STATE_BYTES
}

/// What a daemon has too little of, so that it closes a connection to make room.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Shortage {
    /// Connections that callers may hold open.
    #[display("connections")]
    Connections,
    /// Memory for bodies of requests and buffered answers.
    #[display("memory")]
    Memory,
    /// Slots of the server beside the daemon.
    #[display("slots")]
    Slots,
}

/// What a connection holds at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request, or part of a head.
    Waiting,
    /// A request whose body has not arrived whole.
    Receiving,
    /// A request that is served, or its answer.
    Serving,
}

/// Connections that may be closed, in the order in which they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// No request, or part of a head.
    Idle,
    /// The caller has not read its answer until its deadline and some time past it.
    GivenUp,
    /// A request whose body has not arrived whole, so that no server has it.
    Unfinished,
    /// A new caller doesn't read its answer, and no request behind it has been started.
    Unread,
    /// A new caller doesn't read its answer, and requests behind it have been started.
    UnreadPipeline,
}

/// State of one connection.
#[derive(Debug)]
struct Connection {
    phase: Cell<Phase>,
    /// Start of the phase.
    since: Cell<Instant>,
    delivery: Rc<Delivery>,
    requests: Rc<CallerRequests>,
    /// What the connection must be closed for, once it must be.
    evicted: SetOnce<Shortage>,
}

impl Connection {
    /// Sort key of the connections that may be closed because of `shortage`; `None` if this one may not.
    fn eviction_order(&self, shortage: Shortage, now: Instant) -> Option<(EvictionClass, Instant)> {
        if !self.holds(shortage) {
            return None;
        }
        match self.phase.get() {
            Phase::Waiting => Some((EvictionClass::Idle, self.since.get())),
            Phase::Receiving => Some((EvictionClass::Unfinished, self.since.get())),
            Phase::Serving => self.unread_order(now),
        }
    }

    /// Sort key of a connection whose caller doesn't read its answer.
    fn unread_order(&self, now: Instant) -> Option<(EvictionClass, Instant)> {
        let stalled_since = self.delivery.stalled_since()?;
        if self.requests.has_given_up(now) {
            return Some((EvictionClass::GivenUp, stalled_since));
        }
        let is_unread = now.saturating_duration_since(stalled_since) >= UNREAD_AFTER;
        if self.requests.is_reused() || !is_unread {
            return None;
        }
        let has_started = self.requests.has_started_early();
        let class = if has_started { EvictionClass::UnreadPipeline } else { EvictionClass::Unread };
        Some((class, stalled_since))
    }

    /// Whether closing the connection frees some of what is short.
    fn holds(&self, shortage: Shortage) -> bool {
        match shortage {
            Shortage::Connections => true,
            Shortage::Memory => self.delivery.holds_memory() || self.requests.hold_memory(),
            Shortage::Slots => self.delivery.holds_slot() || self.requests.hold_slot(),
        }
    }
}

/// All open connections at one or several addresses.
#[derive(Debug)]
pub struct ConnectionLimit {
    max: Cell<usize>,
    /// By number, in the order of their opening. At most `max`, unless that has just been lowered.
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
    last_number: Cell<u64>,
}

impl ConnectionLimit {
    /// Allows `max` connections at a time.
    pub fn new(max: usize) -> Rc<Self> {
        Rc::new(Self { max: Cell::new(max), open: RefCell::default(), last_number: Cell::new(0) })
    }

    /// Allows `max` connections from now on.
    pub(crate) fn set_max(&self, max: usize) {
        self.max.set(max);
    }

    /// Counts a new connection, and closes another one if there is no room. `None` if none may be closed: the new one
    /// must be.
    pub fn admit(
        self: &Rc<Self>,
        delivery: Rc<Delivery>,
        requests: Rc<CallerRequests>,
        now: Instant,
    ) -> Option<OpenConnection> {
        if self.open.borrow().len() >= self.max.get() && !self.evict(Shortage::Connections, now) {
            return None;
        }
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let connection = Rc::new(Connection {
            phase: Cell::new(Phase::Waiting),
            since: Cell::new(now),
            delivery,
            requests,
            evicted: SetOnce::new(),
        });
        self.open.borrow_mut().insert(number, Rc::clone(&connection));
        Some(OpenConnection { limit: Rc::clone(self), number, connection })
    }

    /// Closes the first connection in the order of eviction that holds some of what is short; false if there is none.
    pub fn evict(&self, shortage: Shortage, now: Instant) -> bool {
        let mut open = self.open.borrow_mut();
        let orders = open.iter().filter_map(|(number, c)| Some((c.eviction_order(shortage, now)?, *number)));
        let first = orders.min();
        let Some(connection) = first.and_then(|(_, number)| open.remove(&number)) else {
            return false;
        };
        // A connection is evicted at most once: it has just been removed.
        connection.evicted.set(shortage).is_ok()
    }
}

/// A connection that counts as open until dropped.
#[derive(Debug)]
pub struct OpenConnection {
    limit: Rc<ConnectionLimit>,
    number: u64,
    connection: Rc<Connection>,
}

impl OpenConnection {
    /// Records what the connection holds from now on.
    pub fn set_phase(&self, phase: Phase, now: Instant) {
        self.connection.phase.set(phase);
        self.connection.since.set(now);
    }

    /// Waits until the connection must be closed, and returns why.
    pub async fn evicted(&self) -> Shortage {
        *self.connection.evicted.wait().await
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.limit.open.borrow_mut().remove(&self.number);
    }
}

/// Body of a request, which records on its connection when it has arrived whole.
#[derive(Debug)]
pub struct ReceivedBody<B> {
    body: B,
    connection: Rc<OpenConnection>,
}

impl<B: HttpBody> ReceivedBody<B> {
    /// Records the arrival of `body` on `connection`.
    pub fn new(body: B, connection: Rc<OpenConnection>) -> Self {
        let phase = if body.is_end_stream() { Phase::Serving } else { Phase::Receiving };
        connection.set_phase(phase, Instant::now());
        Self { body, connection }
    }
}

impl<B: HttpBody<Data = Bytes> + Unpin> HttpBody for ReceivedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) || self.body.is_end_stream() {
            self.connection.set_phase(Phase::Serving, Instant::now());
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

#[cfg(test)]
#[path = "connection_limit_tests.rs"]
mod connection_limit_tests;
