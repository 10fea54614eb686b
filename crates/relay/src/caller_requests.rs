//! What is known of the requests on one connection of a caller, as far as it decides whether the connection may be
//! closed to make room.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::body::BodyResources;

/// Time past its deadline for which a caller is still expected to read an answer that is ready.
const LATE_READ_TIME: Duration = Duration::from_secs(2);

/// The requests on one connection.
#[derive(Debug, Default)]
pub struct CallerRequests {
    /// What the answers to the requests hold that have been started behind one that is not answered.
    started_early: RefCell<SmallVec<[Rc<RefCell<BodyResources>>; 2]>>,
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
        !self.started_early.borrow().is_empty()
    }

    /// Whether memory is reserved for the answer to a request that has been started early.
    pub(crate) fn hold_memory(&self) -> bool {
        self.started_early.borrow().iter().any(|resources| resources.borrow().has_memory())
    }

    /// Whether a request that has been started early occupies a slot of the server beside the daemon although its
    /// answer has begun.
    pub(crate) fn hold_slot(&self) -> bool {
        self.started_early.borrow().iter().any(|resources| resources.borrow().has_slot())
    }

    /// Counts a request that is started behind one that is not answered.
    pub(crate) fn start_early(self: &Rc<Self>) -> StartedEarly {
        let resources = Rc::<RefCell<BodyResources>>::default();
        self.started_early.borrow_mut().push(Rc::clone(&resources));
        StartedEarly { requests: Rc::clone(self), resources }
    }
}

/// A request that counts as started early until dropped.
#[derive(Debug)]
pub(crate) struct StartedEarly {
    requests: Rc<CallerRequests>,
    /// What its answer holds while it waits for those in front.
    resources: Rc<RefCell<BodyResources>>,
}

impl StartedEarly {
    /// Where to record what the answer holds.
    pub(crate) fn resources(&self) -> Rc<RefCell<BodyResources>> {
        Rc::clone(&self.resources)
    }
}

impl Drop for StartedEarly {
    fn drop(&mut self) {
        self.requests.started_early.borrow_mut().retain(|resources| !Rc::ptr_eq(resources, &self.resources));
    }
}
