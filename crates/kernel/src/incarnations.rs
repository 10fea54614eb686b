//! Newest incarnation of each sender. Messages of earlier incarnations are late or replayed and are dropped.

use std::collections::HashMap;

use base::DaemonId;
use prometheus::{IntCounter, Registry};

/// Number of senders at which all are forgotten, so that the map stays bounded.
const MAX_SENDERS: usize = 16_384;

/// Newest incarnation of each sender, and a count of dropped messages.
#[derive(Debug)]
pub(crate) struct Incarnations {
    newest: HashMap<DaemonId, u64>,
    dropped: IntCounter,
}

impl Incarnations {
    pub(crate) fn new(registry: &Registry) -> Self {
        let dropped = IntCounter::new(
            "pomelo_messages_of_old_incarnations_total",
            "Messages dropped because their sender has restarted since",
        )
        .expect("a valid metric");
        let _ = registry.register(Box::new(dropped.clone()));
        Self { newest: HashMap::new(), dropped }
    }

    /// Records the sender's incarnation; returns false if a newer one has been seen.
    pub(crate) fn is_newest(&mut self, from: DaemonId, incarnation: u64) -> bool {
        if self.newest.len() >= MAX_SENDERS {
            self.newest.clear();
        }
        let newest = self.newest.entry(from).or_insert(incarnation);
        if incarnation < *newest {
            self.dropped.inc();
            return false;
        }
        *newest = incarnation;
        true
    }
}
