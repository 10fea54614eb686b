//! Concurrency limit of each service, with a fair queue in front of it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Place, Refusal, ServiceId};
use conf::Service;
use derive_more::Debug;
use kernel::ServiceView;
use prometheus::IntGauge;
use route::{ConcurrencyLimit, FairQueue, PushOutcome};
use tokio::sync::{Notify, oneshot};

use crate::metrics::Metrics;

/// Limiters by service.
#[derive(Debug, Default)]
pub struct Limiters {
    by_service: Mutex<HashMap<ServiceId, Arc<ConcurrencyLimiter>>>,
}

impl Limiters {
    /// The limiter of a service, made at the first call for it.
    pub fn get(&self, service: &Service, metrics: &Metrics) -> Arc<ConcurrencyLimiter> {
        let mut limiters = self.by_service.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(limiter) = limiters.get(&service.name) {
            return Arc::clone(limiter);
        }
        let limiter = Arc::new(ConcurrencyLimiter::new(
            service.queue,
            metrics.queued_requests.with_label_values(&[&service.name]),
        ));
        limiters.insert(service.name.clone(), Arc::clone(&limiter));
        limiter
    }
}

/// Concurrency limit and fair queue of one service in this daemon.
#[derive(Debug)]
pub struct ConcurrencyLimiter {
    state: Mutex<State>,
    /// Notified whenever a permit is returned.
    released: Notify,
    queue_len: IntGauge,
    /// Moving average of the sizes of answers, in bytes.
    mean_answer_bytes: AtomicU64,
}

#[derive(Debug)]
struct State {
    #[debug(skip)]
    queue: FairQueue<oneshot::Sender<Permit>>,
    limit: ConcurrencyLimit,
    /// Permits that are held.
    in_flight: usize,
}

/// Right to have one request in flight; returned to the limiter when dropped.
#[derive(Debug)]
pub struct Permit {
    limiter: Arc<ConcurrencyLimiter>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let granted = self.limiter.release_permit();
        // A permit whose waiter is gone is dropped here, which grants it to the next one.
        drop(granted);
        self.limiter.released.notify_waiters();
    }
}

/// What the limiter has to know about a request.
#[derive(Clone, Copy, Debug)]
pub struct QueueRequest<'a> {
    /// Name of the customer; the empty name stands for all callers of open routes.
    pub customer: &'a str,
    /// Weight of the customer in the fair queue.
    pub weight: f64,
    /// Cost of the request, from its route.
    pub cost: u32,
    /// Deadline of the request.
    pub deadline: Instant,
}

impl ConcurrencyLimiter {
    fn new(queue: u32, queue_len: IntGauge) -> Self {
        let state = State {
            queue: FairQueue::new(queue as usize),
            limit: ConcurrencyLimit::new(Instant::now()),
            in_flight: 0,
        };
        Self {
            state: Mutex::new(state),
            released: Notify::new(),
            queue_len,
            mean_answer_bytes: AtomicU64::new(0),
        }
    }

    /// Sets the bounds of queue and limit from the servers within reach and the number of `daemons` in the
    /// region that share them.
    pub fn set_bounds(&self, view: &ServiceView, place: &Place, daemons: u32) {
        let mut local_slots = 0.0;
        let mut remote_slots = 0.0;
        for s in &view.servers {
            let slots = f64::from(s.info.slots) * f64::from(s.weight);
            if s.info.place.region == place.region { local_slots += slots } else { remote_slots += slots }
        }
        let reachable_slots =
            if view.service.cross_region { local_slots + remote_slots } else { local_slots };
        let mut state = self.lock_state();
        state.queue.set_max_len(view.service.queue as usize);
        state.limit.set_bounds(reachable_slots, local_slots / f64::from(daemons.max(1)));
    }

    /// Waits in the queue for a permit.
    ///
    /// # Errors
    /// Fails when the queue is full or the expected wait exceeds the deadline.
    pub async fn acquire(self: &Arc<Self>, request: QueueRequest<'_>) -> Result<Permit, Refusal> {
        let (tx, rx) = oneshot::channel();
        {
            let mut state = self.lock_state();
            if state.queue.is_empty() && state.in_flight < state.limit.max_in_flight() {
                state.in_flight += 1;
                return Ok(Permit { limiter: Arc::clone(self) });
            }
            let ahead = state.queue.items_ahead(request.customer, request.weight);
            if Instant::now() + state.limit.expected_wait(ahead) >= request.deadline {
                return Err(Refusal::DeadlineTooShort);
            }
            let pushed = state.queue.push(request.customer, request.weight, request.cost, tx);
            self.queue_len.set(state.queue.len() as i64);
            if let PushOutcome::Full(_) = pushed {
                return Err(Refusal::QueueFull);
            }
        }
        let mut waiter = QueuedWaiter { limiter: self, rx, has_left: false };
        let granted = (&mut waiter.rx).await;
        waiter.has_left = true;
        // A full queue makes room by dropping the sender of another waiter.
        granted.map_err(|_displaced| Refusal::QueueFull)
    }

    /// Waits until some permit is returned, at most for `max`.
    pub async fn wait_for_release(&self, max: Duration) {
        let _ = tokio::time::timeout(max, self.released.notified()).await;
    }

    /// Expected size of the next answer, in bytes.
    pub fn expected_answer_bytes(&self) -> u64 {
        self.mean_answer_bytes.load(Relaxed)
    }

    /// Counts a complete answer of `bytes` bytes whose head arrived after `latency`.
    pub fn record_answer(&self, latency: Duration, bytes: u64) {
        let old = self.mean_answer_bytes.load(Relaxed);
        self.mean_answer_bytes.store(old - old / 8 + bytes / 8, Relaxed);
        let mut state = self.lock_state();
        let in_flight = state.in_flight;
        state.limit.on_answer(latency, in_flight, Instant::now());
    }

    /// Counts an answer by which a server shed the request.
    pub fn record_shed(&self) {
        self.lock_state().limit.on_shed(Instant::now());
    }

    /// Takes one permit back and grants as many as the limit allows; returns the permits whose waiters are
    /// gone.
    fn release_permit(self: &Arc<Self>) -> Vec<Permit> {
        let mut state = self.lock_state();
        state.in_flight -= 1;
        let mut granted = Vec::new();
        while state.in_flight + granted.len() < state.limit.max_in_flight() {
            let Some(tx) = state.queue.pop() else { break };
            if !tx.is_closed() {
                granted.push(tx);
            }
        }
        state.in_flight += granted.len();
        self.queue_len.set(state.queue.len() as i64);
        drop(state);
        let grant = |tx: oneshot::Sender<Permit>| tx.send(Permit { limiter: Arc::clone(self) }).err();
        granted.into_iter().filter_map(grant).collect()
    }

    fn lock_state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A waiting request; leaves the queue when dropped.
struct QueuedWaiter<'a> {
    limiter: &'a ConcurrencyLimiter,
    rx: oneshot::Receiver<Permit>,
    /// Set once the queue no longer holds the sender of `rx`.
    has_left: bool,
}

impl Drop for QueuedWaiter<'_> {
    fn drop(&mut self) {
        if self.has_left {
            return;
        }
        self.rx.close();
        // A permit that was granted just before is returned.
        drop(self.rx.try_recv());
        let mut state = self.limiter.lock_state();
        let removed = state.queue.remove_unless(|tx| !tx.is_closed());
        self.limiter.queue_len.set(state.queue.len() as i64);
        drop(state);
        drop(removed);
    }
}
