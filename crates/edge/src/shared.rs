//! What all traffic threads share.

use std::sync::Arc;

use arc_swap::ArcSwap;
use conf::KeyHasher;
use kernel::{Pools, Report, View};
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

use crate::metrics::Metrics;
use crate::upstream::Connections;

/// State shared by all requests of this daemon.
#[derive(Debug)]
pub struct Shared {
    /// Latest view of control.
    pub view: ArcSwap<View>,
    /// Tokens granted to this daemon.
    pub pools: Arc<Pools>,
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
}

impl Shared {
    /// Sends a report without waiting.
    pub fn report(&self, report: Report) {
        if self.reports.try_send(report).is_err() {
            self.metrics.reports_dropped.inc();
        }
    }
}
