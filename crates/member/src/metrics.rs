//! Creates metrics and registers them.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Makes a counter. Panics on an invalid name; names are literals, so every test would find that.
pub(crate) fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("a valid metric");
    let _ = registry.register(Box::new(counter.clone()));
    counter
}

/// Makes a counter with one label.
pub(crate) fn counter_vec(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), &[label]).expect("a valid metric");
    let _ = registry.register(Box::new(counters.clone()));
    counters
}

pub(crate) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("a valid metric");
    let _ = registry.register(Box::new(gauge.clone()));
    gauge
}
