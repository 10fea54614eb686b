//! Metrics of the configuration area.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of the configuration area.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    changes: IntCounterVec,
    chunks: IntCounterVec,
    version: IntGauge,
    unstored: IntGauge,
}

impl Metrics {
    pub(crate) fn new(registry: &Registry) -> Self {
        let counter = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label]).expect("valid metric name")
        };
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("valid metric name");
        let metrics = Self {
            changes: counter(
                "pomelo_conf_changes_total",
                "Changes asked of this daemon, by result",
                "result",
            ),
            chunks: counter("pomelo_conf_chunks_total", "Chunks of the configuration, by way", "way"),
            version: gauge("pomelo_conf_version", "Version of the configuration in force"),
            unstored: gauge("pomelo_conf_withdrawals_unstored", "Withdrawals not stored yet"),
        };
        let _ = registry.register(Box::new(metrics.changes.clone()));
        let _ = registry.register(Box::new(metrics.chunks.clone()));
        let _ = registry.register(Box::new(metrics.version.clone()));
        let _ = registry.register(Box::new(metrics.unstored.clone()));
        metrics
    }

    /// Counts a change by its result, such as `conflict`.
    pub(crate) fn count_change(&self, result: &str) {
        self.changes.with_label_values(&[result]).inc();
    }

    /// Counts chunks by where they came from or went, such as `from-peer`.
    pub(crate) fn count_chunks(&self, way: &str, count: u64) {
        self.chunks.with_label_values(&[way]).inc_by(count);
    }

    pub(crate) fn set_version(&self, version: u64) {
        self.version.set(version as i64);
    }

    pub(crate) fn set_unstored(&self, count: usize) {
        self.unstored.set(count as i64);
    }
}
