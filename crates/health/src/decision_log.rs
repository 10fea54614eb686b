//! The last decisions on servers' health, for operators.

use std::collections::VecDeque;

use base::ServerId;
use serde_json::{Value, json};

/// Decisions kept; older ones are dropped.
const MAX_DECISIONS: usize = 256;

/// One decision about a server.
#[derive(Clone, Debug)]
pub struct Decision {
    /// Wall clock time in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The server that the decision is about.
    pub server: ServerId,
    /// What was decided, e.g. `ejected`.
    pub kind: &'static str,
    /// Evidence against the server at that time; 0 if the decision needs none.
    pub score: f64,
}

/// Ring buffer of this daemon's last decisions.
#[derive(Debug, Default)]
pub struct DecisionLog {
    ring: VecDeque<Decision>,
}

impl DecisionLog {
    /// Adds a decision and drops the oldest one if there are too many.
    pub fn push(&mut self, decision: Decision) {
        if self.ring.len() == MAX_DECISIONS {
            self.ring.pop_front();
        }
        self.ring.push_back(decision);
    }

    /// Decisions about one server as JSON, oldest first.
    pub fn for_server(&self, server: &str) -> Vec<Value> {
        let show = |d: &Decision| json!({ "wall_ms": d.wall_ms, "decision": d.kind, "score": d.score });
        self.ring.iter().filter(|d| *d.server == *server).map(show).collect()
    }
}
