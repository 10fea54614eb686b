//! What is known of the requests on one connection of a caller, as far as it decides whether the connection may be
//! closed to make room.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time past its deadline for which a caller is still expected to read an answer that is ready.
const LATE_READ_TIME: Duration = Duration::from_secs(2);

/// The requests on one connection.
#[derive(Debug, Default)]
pub struct CallerRequests {
    /// Number of requests that have been started behind one that is not answered.
    started_early: Cell<usize>,
    /// Latest deadline of all requests so far; `None` before the first one. Never moves back.
    waits_until: Cell<Option<Instant>>,
    /// Whether the caller has sent a request after an answer had been sent to it.
    is_reused: Cell<bool>,
}

impl CallerRequests {
    /// Records that the caller waits for an answer until `deadline`.
    pub(crate) fn wait_until(&self, deadline: Instant) {
        self.waits_until.set(self.waits_until.get().max(Some(deadline)));
    }

    /// Whether the deadlines of all requests have passed, and the time to read late answers too.
    pub(crate) fn has_given_up(&self, now: Instant) -> bool {
        self.gives_up_at().is_some_and(|at| at <= now)
    }

    /// When the caller no longer reads late answers, if no further request comes; `None` before the first request.
    pub(crate) fn gives_up_at(&self) -> Option<Instant> {
        self.waits_until.get().map(|until| until + LATE_READ_TIME)
    }

    /// Records that a request has come after an answer.
    pub(crate) fn record_reuse(&self) {
        self.is_reused.set(true);
    }

    /// Whether the connection has been used again after an answer.
    pub(crate) fn is_reused(&self) -> bool {
        self.is_reused.get()
    }

    /// Whether a request has been started behind one that is not answered.
    pub(crate) fn has_started_early(&self) -> bool {
        self.started_early.get() > 0
    }

    /// Counts a request that is started behind one that is not answered.
    pub(crate) fn start_early(self: &Rc<Self>) -> StartedEarly {
        self.started_early.set(self.started_early.get() + 1);
        StartedEarly(Rc::clone(self))
    }
}

/// A request that counts as started early until dropped.
#[derive(Debug)]
pub(crate) struct StartedEarly(Rc<CallerRequests>);

impl Drop for StartedEarly {
    fn drop(&mut self) {
        self.0.started_early.set(self.0.started_early.get() - 1);
    }
}
