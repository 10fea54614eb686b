//! Newest incarnation of each sender: messages of an earlier one are late or replayed, and dropped.

use std::collections::HashMap;

use base::DaemonId;
use prometheus::{IntCounter, Registry};

/// Senders remembered; beyond, all are forgotten at once and learned anew.
const MAX_SENDERS: usize = 16_384;

/// Newest incarnations.
#[derive(Debug)]
pub(crate) struct Senders {
    newest: HashMap<DaemonId, u64>,
    old: IntCounter,
}

impl Senders {
    pub(crate) fn new(registry: &Registry) -> Self {
        let old = IntCounter::new(
            "pomelo_messages_of_old_incarnations_total",
            "Messages dropped because their sender has restarted since",
        )
        .expect("a valid metric");
        let _ = registry.register(Box::new(old.clone()));
        Self { newest: HashMap::new(), old }
    }

    /// Notes the sender's incarnation; false if a newer one was seen.
    pub(crate) fn is_newest(&mut self, from: DaemonId, incarnation: u64) -> bool {
        if self.newest.len() >= MAX_SENDERS {
            self.newest.clear();
        }
        let newest = self.newest.entry(from).or_insert(incarnation);
        if incarnation < *newest {
            self.old.inc();
            return false;
        }
        *newest = incarnation;
        true
    }
}
