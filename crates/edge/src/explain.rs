//! Traces of the latest requests, kept in memory so that operators can ask what happened to a request by its
//! id.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{CustomerId, Executed, Refusal, RouteId};
use kernel::ServerView;
use serde_json::{Value, json};
use smallvec::SmallVec;

use crate::state::EdgeState;

/// Shards of the ring, each with a lock of its own to reduce contention between threads.
const RING_SHARDS: usize = 8;
/// Traces kept in each shard.
const TRACES_PER_SHARD: usize = 512;
/// Steps kept of each request; later ones are not recorded.
const MAX_TRACE_STEPS: usize = 24;

/// Makes request ids that are unique over all daemons and restarts.
#[derive(Debug)]
pub struct RequestIds {
    /// Random for each process.
    nonce: u64,
    next: AtomicU64,
}

impl Default for RequestIds {
    fn default() -> Self {
        Self { nonce: rand::random(), next: AtomicU64::new(0) }
    }
}

impl RequestIds {
    /// The next id.
    pub fn next(&self) -> Box<str> {
        let number = self.next.fetch_add(1, Relaxed);
        format!("{:016x}-{number:x}", self.nonce).into()
    }
}

/// One step in the handling of a request.
#[derive(Clone, Debug)]
struct Step {
    after: Duration,
    name: &'static str,
    server: Option<Arc<ServerView>>,
}

/// Record of what happened to one request so far.
#[derive(Debug)]
pub struct Trace {
    /// Id that this daemon gave to the request.
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
    /// Set while a server may have executed the request: the refusal that says so to the caller.
    maybe_executed: Option<Refusal>,
    end: Option<&'static str>,
}

impl Trace {
    /// Starts the trace of a request.
    pub fn new(id: Box<str>, caller_id: Option<Box<str>>) -> Self {
        Self { id, caller_id, started: Instant::now(), state: Mutex::default() }
    }

    /// Records route and customer.
    pub fn set_route(&self, route: &RouteId, customer: Option<&CustomerId>) {
        let mut state = self.lock_state();
        state.route = Some(route.clone());
        state.customer = customer.cloned();
    }

    /// Records a step.
    pub fn record_step(&self, name: &'static str, server: Option<&Arc<ServerView>>) {
        let mut state = self.lock_state();
        if state.steps.len() < MAX_TRACE_STEPS {
            state.steps.push(Step { after: self.started.elapsed(), name, server: server.map(Arc::clone) });
        }
    }

    /// Records that an attempt is sent, which may execute the request from now on. Returns what
    /// [`set_maybe_executed`](Self::set_maybe_executed) needs if it turns out that this attempt did not.
    pub fn record_sent(&self, server: &Arc<ServerView>) -> Option<Refusal> {
        self.record_step("sent", Some(server));
        let mut state = self.lock_state();
        let before = state.maybe_executed;
        state.maybe_executed = Some(before.unwrap_or(Refusal::TimedOut));
        before
    }

    /// Sets the refusal that says that a server may have executed the request; `None` if certainly none did.
    pub fn set_maybe_executed(&self, maybe_executed: Option<Refusal>) {
        self.lock_state().maybe_executed = maybe_executed;
    }

    /// Whether a server may have executed the request.
    pub fn may_have_executed(&self) -> bool {
        self.lock_state().maybe_executed.is_some()
    }

    /// The refusal to answer with: one that says "not executed" is replaced if a server may have executed the
    /// request.
    pub fn adjust_refusal(&self, refusal: Refusal) -> Refusal {
        match (refusal.executed(), self.lock_state().maybe_executed) {
            (Executed::No, Some(maybe_executed)) => maybe_executed,
            _ => refusal,
        }
    }

    /// Records how the request ended.
    pub fn set_end(&self, end: &'static str) {
        self.lock_state().end = Some(end);
    }

    fn lock_state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn has_id(&self, id: &str) -> bool {
        *self.id == *id || self.caller_id.as_deref() == Some(id)
    }

    fn to_json(&self) -> Value {
        let state = self.lock_state();
        let step = |s: &Step| {
            let server = s.server.as_ref().map(|v| v.info.id.clone());
            json!({ "after_us": s.after.as_micros() as u64, "step": s.name, "server": server })
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

/// Ring buffer of the latest traces.
#[derive(Debug, Default)]
pub struct TraceRing {
    shards: [Mutex<VecDeque<Arc<Trace>>>; RING_SHARDS],
    next: AtomicUsize,
}

impl TraceRing {
    /// Adds a trace; drops the oldest one of its shard if that is full.
    pub fn push(&self, trace: Arc<Trace>) {
        let shard = &self.shards[self.next.fetch_add(1, Relaxed) % RING_SHARDS];
        let mut traces = shard.lock().unwrap_or_else(PoisonError::into_inner);
        if traces.len() == TRACES_PER_SHARD {
            traces.pop_front();
        }
        traces.push_back(trace);
    }

    fn find(&self, id: &str) -> Vec<Arc<Trace>> {
        let mut found = Vec::new();
        for shard in &self.shards {
            let traces = shard.lock().unwrap_or_else(PoisonError::into_inner);
            found.extend(traces.iter().filter(|t| t.has_id(id)).map(Arc::clone));
        }
        found
    }
}

/// Traces of the requests with this id, be it the daemon's or the caller's; `None` if this daemon has none.
pub fn explain(shared: &EdgeState, id: &str) -> Option<Value> {
    let found = shared.traces.find(id);
    (!found.is_empty()).then(|| found.iter().map(|t| t.to_json()).collect())
}
