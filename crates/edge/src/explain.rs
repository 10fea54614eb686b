//! The last decisions on requests, kept in memory so that operators can ask about one by its id.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{CustomerId, Executed, Refusal, RouteId};
use kernel::ServerView;
use serde_json::{Value, json};
use smallvec::SmallVec;

use crate::shared::Shared;

/// Parts of the ring, so that threads seldom meet at one lock.
const PARTS: usize = 8;
/// Decisions kept in each part.
const PART_LEN: usize = 512;
/// Steps kept of one request.
const MAX_STEPS: usize = 24;

/// Makes request ids that are unique over all daemons and restarts.
#[derive(Debug)]
pub struct Ids {
    /// Random for each process.
    nonce: u64,
    next: AtomicU64,
}

impl Default for Ids {
    fn default() -> Self {
        Self { nonce: rand::random(), next: AtomicU64::new(0) }
    }
}

impl Ids {
    /// The next id.
    pub fn next(&self) -> Box<str> {
        let number = self.next.fetch_add(1, Relaxed);
        format!("{:016x}-{number:x}", self.nonce).into()
    }
}

/// One step on a request's way.
#[derive(Clone, Debug)]
struct Step {
    after: Duration,
    what: &'static str,
    server: Option<Arc<ServerView>>,
}

/// What happened to one request so far.
#[derive(Debug)]
pub struct Trace {
    /// Id given by this daemon.
    pub id: Box<str>,
    /// Id that the caller sent.
    pub caller_id: Option<Box<str>>,
    started: Instant,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    route: Option<RouteId>,
    customer: Option<CustomerId>,
    steps: SmallVec<[Step; 4]>,
    /// Set while a try may have run without a whole answer: the refusal that says so.
    doubt: Option<Refusal>,
    end: Option<&'static str>,
}

impl Trace {
    /// Starts the trace of a request.
    pub fn new(id: Box<str>, caller_id: Option<Box<str>>) -> Self {
        Self { id, caller_id, started: Instant::now(), state: Mutex::default() }
    }

    /// Notes route and customer.
    pub fn set_route(&self, route: &RouteId, customer: Option<&CustomerId>) {
        let mut state = self.state();
        state.route = Some(route.clone());
        state.customer = customer.cloned();
    }

    /// Notes a step.
    pub fn step(&self, what: &'static str, server: Option<&Arc<ServerView>>) {
        let mut state = self.state();
        if state.steps.len() < MAX_STEPS {
            state.steps.push(Step { after: self.started.elapsed(), what, server: server.map(Arc::clone) });
        }
    }

    /// Notes that a try goes out; returns the doubt that was there before.
    pub fn sent(&self, server: &Arc<ServerView>) -> Option<Refusal> {
        self.step("sent", Some(server));
        let mut state = self.state();
        let before = state.doubt;
        state.doubt = Some(before.unwrap_or(Refusal::TimedOut));
        before
    }

    /// Sets what is known after a try: none if it is proven that nothing ran.
    pub fn set_doubt(&self, doubt: Option<Refusal>) {
        self.state().doubt = doubt;
    }

    /// Whether some try may have run.
    pub fn is_doubtful(&self) -> bool {
        self.state().doubt.is_some()
    }

    /// Makes a refusal true: "not run" becomes the doubt of an earlier try, if there is one.
    pub fn honest(&self, refusal: Refusal) -> Refusal {
        match (refusal.executed(), self.state().doubt) {
            (Executed::No, Some(doubt)) => doubt,
            _ => refusal,
        }
    }

    /// Notes the end.
    pub fn end(&self, what: &'static str) {
        self.state().end = Some(what);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_about(&self, id: &str) -> bool {
        *self.id == *id || self.caller_id.as_deref() == Some(id)
    }

    fn to_json(&self) -> Value {
        let state = self.state();
        let step = |s: &Step| {
            let server = s.server.as_ref().map(|v| v.info.id.clone());
            json!({ "after_us": s.after.as_micros() as u64, "step": s.what, "server": server })
        };
        json!({
            "id": self.id,
            "caller_id": self.caller_id,
            "ago_ms": self.started.elapsed().as_millis() as u64,
            "route": state.route,
            "customer": state.customer,
            "steps": state.steps.iter().map(step).collect::<Vec<_>>(),
            "end": state.end.unwrap_or("in progress"),
        })
    }
}

/// Ring of the last traces.
#[derive(Debug, Default)]
pub struct Ring {
    parts: [Mutex<VecDeque<Arc<Trace>>>; PARTS],
    next: AtomicUsize,
}

impl Ring {
    /// Keeps a trace and forgets the oldest.
    pub fn push(&self, trace: Arc<Trace>) {
        let part = &self.parts[self.next.fetch_add(1, Relaxed) % PARTS];
        let mut list = part.lock().unwrap_or_else(PoisonError::into_inner);
        if list.len() == PART_LEN {
            list.pop_front();
        }
        list.push_back(trace);
    }

    fn find(&self, id: &str) -> Vec<Arc<Trace>> {
        let mut found = Vec::new();
        for part in &self.parts {
            let list = part.lock().unwrap_or_else(PoisonError::into_inner);
            found.extend(list.iter().filter(|t| t.is_about(id)).map(Arc::clone));
        }
        found
    }
}

/// What this daemon decided about a request, by its own or the caller's id; none if it is not known here.
pub fn explain(shared: &Shared, id: &str) -> Option<Value> {
    let found = shared.ring.find(id);
    (!found.is_empty()).then(|| found.iter().map(|t| t.to_json()).collect())
}
