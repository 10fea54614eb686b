//! Lets requests of a service through in fair order, as many at a time as the servers can take.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Place, Refusal, ServiceId};
use conf::Service;
use derive_more::Debug;
use kernel::ServiceView;
use prometheus::IntGauge;
use route::{FairQueue, Limit, Pushed};
use tokio::sync::{Notify, oneshot};

use crate::metrics::Metrics;

/// Gates by service.
#[derive(Debug, Default)]
pub struct Gates {
    by_service: Mutex<HashMap<ServiceId, Arc<Gate>>>,
}

impl Gates {
    /// The gate of a service.
    pub fn get(&self, service: &Service, metrics: &Metrics) -> Arc<Gate> {
        let mut gates = self.by_service.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(gate) = gates.get(&service.name) {
            return Arc::clone(gate);
        }
        let gate =
            Arc::new(Gate::new(service.queue, metrics.queued_requests.with_label_values(&[&service.name])));
        gates.insert(service.name.clone(), Arc::clone(&gate));
        gate
    }
}

/// Queue and concurrency limit of one service.
#[derive(Debug)]
pub struct Gate {
    state: Mutex<State>,
    /// Notified whenever a request ends.
    freed: Notify,
    depth: IntGauge,
    /// Smoothed size of answers, in bytes.
    answer_bytes: AtomicU64,
}

#[derive(Debug)]
struct State {
    #[debug(skip)]
    queue: FairQueue<oneshot::Sender<Permit>>,
    limit: Limit,
    /// Permits handed out.
    in_flight: usize,
}

/// Right to have one request in flight; given back when dropped.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<Gate>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let granted = self.gate.release();
        // A grant that meets a waiter who is gone comes back and is dropped here.
        drop(granted);
        self.gate.freed.notify_waiters();
    }
}

/// A request's claim on a place in the queue.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// Customer; the empty name stands for all callers of open routes.
    pub customer: &'a str,
    /// Weight of the customer.
    pub weight: f64,
    /// Cost of the request.
    pub cost: u32,
    /// When the request is worth nothing any more.
    pub deadline: Instant,
}

impl Gate {
    fn new(queue: u32, depth: IntGauge) -> Self {
        let state =
            State { queue: FairQueue::new(queue as usize), limit: Limit::new(Instant::now()), in_flight: 0 };
        Self { state: Mutex::new(state), freed: Notify::new(), depth, answer_bytes: AtomicU64::new(0) }
    }

    /// Adapts the bounds to the servers within reach and the daemons that share them.
    pub fn set_bounds(&self, view: &ServiceView, place: &Place, daemons: u32) {
        let mut near = 0.0;
        let mut far = 0.0;
        for s in &view.servers {
            let slots = f64::from(s.info.slots) * f64::from(s.weight);
            if s.info.place.region == place.region { near += slots } else { far += slots }
        }
        let all = if view.service.cross_region { near + far } else { near };
        let mut state = self.state();
        state.queue.set_max_len(view.service.queue as usize);
        state.limit.set_bounds(all, near / f64::from(daemons.max(1)));
    }

    /// Waits for a permit.
    ///
    /// # Errors
    /// Fails when the queue is full or the deadline can't be met.
    pub async fn enter(self: &Arc<Self>, claim: Claim<'_>) -> Result<Permit, Refusal> {
        let (tx, rx) = oneshot::channel();
        {
            let mut state = self.state();
            if state.queue.is_empty() && state.in_flight < state.limit.get() {
                state.in_flight += 1;
                return Ok(Permit { gate: Arc::clone(self) });
            }
            let ahead = state.queue.ahead(claim.customer, claim.weight);
            if Instant::now() + state.limit.wait_for(ahead) >= claim.deadline {
                return Err(Refusal::DeadlineTooShort);
            }
            let pushed = state.queue.push(claim.customer, claim.weight, claim.cost, tx);
            self.depth.set(state.queue.len() as i64);
            if let Pushed::Full(_) = pushed {
                return Err(Refusal::QueueFull);
            }
        }
        let mut waiting = Waiting { gate: self, rx, has_left: false };
        let granted = (&mut waiting.rx).await;
        waiting.has_left = true;
        // A sender that was displaced is dropped without a grant.
        granted.map_err(|_displaced| Refusal::QueueFull)
    }

    /// Waits until some request ends, at most for `max`.
    pub async fn freed(&self, max: Duration) {
        let _ = tokio::time::timeout(max, self.freed.notified()).await;
    }

    /// Size that the next answer is expected to have, in bytes.
    pub fn expected_bytes(&self) -> u64 {
        self.answer_bytes.load(Relaxed)
    }

    /// Counts a whole answer of `bytes` bytes.
    pub fn on_answer(&self, latency: Duration, bytes: u64) {
        let old = self.answer_bytes.load(Relaxed);
        self.answer_bytes.store(old - old / 8 + bytes / 8, Relaxed);
        let mut state = self.state();
        let in_flight = state.in_flight;
        state.limit.on_answer(latency, in_flight, Instant::now());
    }

    /// Counts a shed answer.
    pub fn on_shed(&self) {
        self.state().limit.on_shed(Instant::now());
    }

    /// Takes one permit back and grants what the limit allows; returns grants that nobody waits for.
    fn release(self: &Arc<Self>) -> Vec<Permit> {
        let mut state = self.state();
        state.in_flight -= 1;
        let mut granted = Vec::new();
        while state.in_flight + granted.len() < state.limit.get() {
            let Some(tx) = state.queue.pop() else { break };
            if !tx.is_closed() {
                granted.push(tx);
            }
        }
        state.in_flight += granted.len();
        self.depth.set(state.queue.len() as i64);
        drop(state);
        let grant = |tx: oneshot::Sender<Permit>| tx.send(Permit { gate: Arc::clone(self) }).err();
        granted.into_iter().filter_map(grant).collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place in the queue; leaves it when dropped.
struct Waiting<'a> {
    gate: &'a Gate,
    rx: oneshot::Receiver<Permit>,
    /// Set once the queue no longer holds the place.
    has_left: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.has_left {
            return;
        }
        self.rx.close();
        // A grant may have arrived just before; it goes back.
        drop(self.rx.try_recv());
        let mut state = self.gate.state();
        let gone = state.queue.remove_unless(|tx| !tx.is_closed());
        self.gate.depth.set(state.queue.len() as i64);
        drop(state);
        drop(gone);
    }
}
