//! State shared by the traffic threads of this daemon.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwap;
use conf::{Fleet, KeyHasher};
use derive_more::Debug;
use kernel::{Report, TokenPools, View};
use route::LinkBudget;
use store::Table;
use tokio::sync::{mpsc, watch};
use tokio_util::task::TaskTracker;

use crate::explain::{RequestIds, TraceRing};
use crate::limiter::Limiters;
use crate::metrics::Metrics;
use crate::retry_budgets::RetryBudgets;
use crate::upstream::ConnectionPool;

/// State shared by all requests and connections of callers.
#[derive(Debug)]
pub struct EdgeState {
    /// Latest view from control; replaced by [`EdgeState::publish`].
    pub view: ArcSwap<View>,
    /// Rate tokens granted to this daemon, by customer.
    pub token_pools: Arc<TokenPools>,
    /// Channel for reports to control. When it is full, reports are dropped and counted.
    pub reports: mpsc::Sender<Report>,
    /// Hashes the API keys of callers.
    pub hasher: KeyHasher,
    /// Metrics of the traffic.
    pub metrics: Metrics,
    /// Connections to backend servers.
    pub connections: ConnectionPool,
    /// Tracks the tasks of connections and requests, so that a stop can wait for them.
    pub tracker: TaskTracker,
    /// The platform's table, which holds the claims of Idempotency-Keys.
    #[debug(skip)]
    pub(crate) table: Arc<dyn Table>,
    pub(crate) limiters: Limiters,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) request_ids: RequestIds,
    pub(crate) traces: TraceRing,
    /// Budget of bytes that this daemon may send and receive across the link between regions.
    pub(crate) region_link: Mutex<LinkBudget>,
    /// Grows with each view that may change which API keys are valid.
    pub(crate) key_epoch: watch::Sender<u64>,
    /// Set once the daemon is stopping: answers then ask callers to close their connections.
    pub(crate) draining: AtomicBool,
}

impl EdgeState {
    /// Makes the state of a daemon with its first view.
    pub fn new(
        view: View,
        token_pools: Arc<TokenPools>,
        reports: mpsc::Sender<Report>,
        hasher: KeyHasher,
        metrics: Metrics,
        table: Arc<dyn Table>,
    ) -> Self {
        Self {
            view: ArcSwap::from_pointee(view),
            token_pools,
            reports,
            hasher,
            metrics,
            connections: ConnectionPool::default(),
            tracker: TaskTracker::new(),
            table,
            limiters: Limiters::default(),
            retry_budgets: RetryBudgets::default(),
            request_ids: RequestIds::default(),
            traces: TraceRing::default(),
            region_link: Mutex::new(LinkBudget::new(Fleet::default().link_bytes_per_s, 1, Instant::now())),
            key_epoch: watch::Sender::new(0),
            draining: AtomicBool::new(false),
        }
    }

    /// Replaces the view. If valid keys may have changed, the keys of queued requests and of callers'
    /// connections are checked again.
    pub fn publish(&self, view: &Arc<View>) {
        let old = self.view.swap(Arc::clone(view));
        let same_conf = match (&old.conf, &view.conf) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        };
        if !same_conf || !Arc::ptr_eq(&old.withdrawn, &view.withdrawn) {
            self.key_epoch.send_modify(|epoch| *epoch += 1);
        }
        if let Some(conf) = &view.conf {
            self.region_link().resize(conf.fleet.link_bytes_per_s, view.region_daemons, Instant::now());
        }
        self.connections.evict_expired(Instant::now());
        self.metrics.idle_connections.set(self.connections.idle_count() as i64);
    }

    /// Locks the budget of the link between regions.
    pub(crate) fn region_link(&self) -> MutexGuard<'_, LinkBudget> {
        self.region_link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a report to control without waiting.
    pub fn report(&self, report: Report) {
        if self.reports.try_send(report).is_err() {
            self.metrics.reports_dropped.inc();
        }
    }
}
