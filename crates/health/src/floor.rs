//! The floor: how many servers of a service may be out of work at the same time.

use std::time::Instant;

use base::{ServerId, ServiceId};
use kernel::ServerEntry;
use wire::server::ServerState;

/// Servers of one service as the floor counts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Announced and not leaving, cold-starting ones included.
    pub announced: usize,
    /// Announced as ready; only these count as healthy.
    pub ready: usize,
}

impl Capacity {
    /// Counts the servers of a service whose announcements hold at `now`.
    pub fn count<'a>(
        servers: impl Iterator<Item = &'a ServerEntry>,
        service: &ServiceId,
        now: Instant,
    ) -> Self {
        let mut capacity = Self::default();
        for entry in servers.filter(|e| e.info.service == *service && e.expires_at > now) {
            match entry.info.state {
                ServerState::Ready => {
                    capacity.announced += 1;
                    capacity.ready += 1;
                }
                ServerState::Starting => capacity.announced += 1,
                ServerState::Draining | ServerState::Gone => {}
            }
        }
        capacity
    }

    /// Ready servers that may be out of work so that at least the floor's share of all remains.
    ///
    /// ```
    /// let capacity = health::floor::Capacity { announced: 8, ready: 7 };
    /// assert_eq!(capacity.budget(0.6), 2); // five of eight have to stay
    /// ```
    pub fn budget(self, floor: f64) -> usize {
        let must_stay = (floor.clamp(0.0, 1.0) * self.announced as f64).ceil() as usize;
        self.ready.saturating_sub(must_stay)
    }
}

/// Keeps the `budget` entries with the highest scores, ties by name: the same on every daemon.
pub(crate) fn worst(mut scored: Vec<(&ServerId, f32)>, budget: usize) -> Vec<&ServerId> {
    scored.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
    scored.into_iter().take(budget).map(|(id, _)| id).collect()
}
