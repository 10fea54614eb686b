//! Making and registering metrics.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Makes a counter. The name is a literal, so that a wrong one fails every test.
pub(crate) fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("a valid metric");
    let _ = registry.register(Box::new(counter.clone()));
    counter
}

/// Makes a counter with one label.
pub(crate) fn counters(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), &[label]).expect("a valid metric");
    let _ = registry.register(Box::new(counters.clone()));
    counters
}

/// Makes a gauge.
pub(crate) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("a valid metric");
    let _ = registry.register(Box::new(gauge.clone()));
    gauge
}
