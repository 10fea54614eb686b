//! What all traffic threads share.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwap;
use conf::{Fleet, KeyHasher};
use derive_more::Debug;
use kernel::{Report, TokenPools, View};
use route::Link;
use store::Table;
use tokio::sync::{mpsc, watch};
use tokio_util::task::TaskTracker;

use crate::budgets::Budgets;
use crate::explain::{Ids, Ring};
use crate::gate::Gates;
use crate::metrics::Metrics;
use crate::upstream::Connections;

/// State shared by all requests of this daemon.
#[derive(Debug)]
pub struct Shared {
    /// Latest view of control; replaced with [`Shared::publish`].
    pub view: ArcSwap<View>,
    /// Tokens granted to this daemon.
    pub pools: Arc<TokenPools>,
    /// Reports to control; full means that a report is dropped and counted.
    pub reports: mpsc::Sender<Report>,
    /// Hashes callers' keys.
    pub hasher: KeyHasher,
    /// Counters.
    pub metrics: Metrics,
    /// Connections to servers.
    pub connections: Connections,
    /// Requests and connections still served.
    pub tracker: TaskTracker,
    /// The platform's table, for claims of Idempotency-Keys.
    #[debug(skip)]
    pub(crate) table: Arc<dyn Table>,
    pub(crate) gates: Gates,
    pub(crate) budgets: Budgets,
    pub(crate) ids: Ids,
    pub(crate) ring: Ring,
    /// Bytes that this daemon may send and receive across the link between regions.
    pub(crate) link: Mutex<Link>,
    /// Grows whenever keys may have become invalid.
    pub(crate) keys: watch::Sender<u64>,
    /// Set once callers shall look for another daemon.
    pub(crate) draining: AtomicBool,
}

impl Shared {
    /// Makes the state with a view that is replaced later.
    pub fn new(
        view: View,
        pools: Arc<TokenPools>,
        reports: mpsc::Sender<Report>,
        hasher: KeyHasher,
        metrics: Metrics,
        table: Arc<dyn Table>,
    ) -> Self {
        Self {
            view: ArcSwap::from_pointee(view),
            pools,
            reports,
            hasher,
            metrics,
            connections: Connections::default(),
            tracker: TaskTracker::new(),
            table,
            gates: Gates::default(),
            budgets: Budgets::default(),
            ids: Ids::default(),
            ring: Ring::default(),
            link: Mutex::new(Link::new(Fleet::default().link_bytes_per_s, 1, Instant::now())),
            keys: watch::Sender::new(0),
            draining: AtomicBool::new(false),
        }
    }

    /// Replaces the view. If keys changed, queued requests and callers' connections are judged again.
    pub fn publish(&self, view: &Arc<View>) {
        let old = self.view.swap(Arc::clone(view));
        let same_conf = match (&old.conf, &view.conf) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        };
        if !same_conf || !Arc::ptr_eq(&old.withdrawn, &view.withdrawn) {
            self.keys.send_modify(|epoch| *epoch += 1);
        }
        if let Some(conf) = &view.conf {
            self.link().resize(conf.fleet.link_bytes_per_s, view.region_daemons, Instant::now());
        }
        self.connections.sweep(Instant::now());
        self.metrics.idle_connections.set(self.connections.idle() as i64);
    }

    /// Budget of the link between regions.
    pub(crate) fn link(&self) -> MutexGuard<'_, Link> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a report without waiting.
    pub fn report(&self, report: Report) {
        if self.reports.try_send(report).is_err() {
            self.metrics.reports_dropped.inc();
        }
    }
}
