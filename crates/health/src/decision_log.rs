//! Bounded memory of decisions, for operators.

use std::collections::VecDeque;

use base::ServerId;
use serde_json::{Value, json};

/// Decisions that are remembered.
const MAX_DECISIONS: usize = 256;

/// One decision about a server.
#[derive(Clone, Debug)]
pub struct Decision {
    /// Wall clock in milliseconds since the epoch.
    pub wall_ms: u64,
    /// The server.
    pub server: ServerId,
    /// What was decided, e.g. `ejected`.
    pub kind: &'static str,
    /// Evidence against the server at that time.
    pub score: f64,
}

/// The last decisions of this daemon.
#[derive(Debug, Default)]
pub struct DecisionLog {
    ring: VecDeque<Decision>,
}

impl DecisionLog {
    /// Remembers a decision and forgets the oldest when there are too many.
    pub fn push(&mut self, decision: Decision) {
        if self.ring.len() == MAX_DECISIONS {
            self.ring.pop_front();
        }
        self.ring.push_back(decision);
    }

    /// The decisions about one server, oldest first.
    pub fn for_server(&self, server: &str) -> Vec<Value> {
        let show = |d: &Decision| json!({ "wall_ms": d.wall_ms, "decision": d.kind, "score": d.score });
        self.ring.iter().filter(|d| *d.server == *server).map(show).collect()
    }
}
