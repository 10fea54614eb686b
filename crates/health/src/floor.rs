//! The floor: the share of a service's servers that must not be ejected, as configured for the service.

use std::time::Instant;

use base::{ServerId, ServiceId};
use kernel::ServerEntry;
use wire::server::ServerState;

/// Numbers of a service's servers that the floor is calculated from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCapacity {
    /// Servers that are announced and not leaving, including those that are still starting.
    pub announced: usize,
    /// Servers that are announced as ready; only these count as healthy.
    pub ready: usize,
}

impl ServiceCapacity {
    /// Counts the servers of a service whose announcements are valid at `now`.
    pub fn of_service<'a>(
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

    /// Number of ready servers that may be ejected so that at least the share `floor` of the announced ones
    /// remains.
    ///
    /// ```
    /// let capacity = health::floor::ServiceCapacity { announced: 8, ready: 7 };
    /// assert_eq!(capacity.ejection_budget(0.6), 2); // five of eight have to stay
    /// ```
    pub fn ejection_budget(self, floor: f64) -> usize {
        let must_stay = (floor.clamp(0.0, 1.0) * self.announced as f64).ceil() as usize;
        self.ready.saturating_sub(must_stay)
    }
}

/// The `budget` servers with the highest scores. Ties are broken by name, so that all daemons choose the same
/// ones.
pub(crate) fn strongest_evidence(mut scored: Vec<(&ServerId, f32)>, budget: usize) -> Vec<&ServerId> {
    scored.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
    scored.into_iter().take(budget).map(|(id, _)| id).collect()
}
