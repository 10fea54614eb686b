//! The backend server that is registered with this daemon, according to its heartbeats. Sans-I/O.
//!
//! Heartbeats may be delayed, duplicated or left over from an earlier incarnation of the server. Once an
//! incarnation has begun to drain or has left, no heartbeat of that incarnation makes it take work again.

use std::time::{Duration, Instant};

use base::{ServerId, ServiceId};
use serde::{Deserialize, Serialize};

use crate::handoff::DeclineReason;

/// Start time of a server in Unix milliseconds; tells incarnations of one server id apart.
pub type ServerIncarnation = u64;

/// Number of departures that are remembered, so that delayed heartbeats of departed servers are ignored.
const MAX_REMEMBERED_DEPARTURES: usize = 64;
/// Number of departures that are kept for the next process of the daemon. A few are enough, since an instance
/// has one server at a time.
pub(crate) const MAX_STORED_DEPARTURES: usize = 4;

/// Longest time for which a server can be slow after its start, whatever its heartbeats say.
const MAX_COLD_TIME: Duration = Duration::from_mins(10);

/// One heartbeat of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Id of the server.
    pub id: ServerId,
    /// Start time of the server, which tells its incarnations apart.
    pub born: ServerIncarnation,
    /// Sequence number, which increases within one incarnation.
    pub sequence: u64,
    /// Service that the server provides.
    pub service: ServiceId,
    /// Number of requests that the server can run concurrently.
    pub slots: u16,
    /// Whether the server is shutting down and takes no new requests.
    pub draining: bool,
    /// Remaining time for which the server is cold: it is slow and can take few requests.
    pub cold_for: Duration,
}

/// Effect of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// A server has registered that was not known, or a new incarnation of the known one.
    Registered,
    /// The registered server's state was updated.
    Updated,
    /// Ignored: names another service than the earlier heartbeats of the same incarnation.
    ServiceChanged,
    /// Ignored: a later heartbeat was applied already.
    Late,
    /// Ignored: the heartbeat belongs to an earlier incarnation, or to one that has departed.
    Outdated,
}

/// A server incarnation that is draining or has left.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Id of the server.
    pub id: ServerId,
    /// Latest incarnation that has departed; earlier ones have too.
    pub born: ServerIncarnation,
}

impl Departure {
    fn covers(&self, heartbeat: &Heartbeat) -> bool {
        self.id == heartbeat.id && heartbeat.born <= self.born
    }

    /// Whether `other` follows from this departure.
    pub(crate) fn includes(&self, other: &Departure) -> bool {
        self.id == other.id && other.born <= self.born
    }
}

/// Adds departures, oldest first, to those in `known`. Only the latest departure of each server is kept, and only
/// as many as are remembered.
pub(crate) fn merge_departures(known: &mut Vec<Departure>, more: impl IntoIterator<Item = Departure>) {
    for departure in more {
        if known.iter().any(|d| d.includes(&departure)) {
            continue;
        }
        known.retain(|d| !departure.includes(d));
        if known.len() == MAX_REMEMBERED_DEPARTURES {
            known.remove(0);
        }
        known.push(departure);
    }
}

/// The registered server.
#[derive(Clone, Debug)]
pub struct RegisteredServer {
    /// Heartbeat with the highest sequence number. Once `draining` is true, it stays true for the
    /// incarnation.
    pub heartbeat: Heartbeat,
    /// Until when the server is cold, by its last heartbeat.
    pub cold_until: Instant,
}

/// The server beside this daemon, if one is registered.
#[derive(Debug, Default)]
pub struct Registration {
    server: Option<RegisteredServer>,
    /// Heartbeats that must arrive before they are believed that the server is warm.
    unproven_heartbeats: u8,
    /// Departures that servers reported to this process, oldest first.
    departed: Vec<Departure>,
    /// Departures that earlier processes of this daemon acknowledged, oldest first.
    restored: Vec<Departure>,
}

impl Registration {
    /// Applies a heartbeat received at `now`.
    pub fn apply_heartbeat(&mut self, mut heartbeat: Heartbeat, now: Instant) -> HeartbeatOutcome {
        if self.departed.iter().any(|d| d.covers(&heartbeat)) {
            return HeartbeatOutcome::Outdated;
        }
        heartbeat.draining |= self.restored.iter().any(|d| d.covers(&heartbeat));
        let cold_until = now + heartbeat.cold_for.min(MAX_COLD_TIME);
        let Some(known) = &self.server else {
            self.server = Some(RegisteredServer { heartbeat, cold_until });
            return HeartbeatOutcome::Registered;
        };

        let old = &known.heartbeat;
        if heartbeat.born < old.born {
            return HeartbeatOutcome::Outdated;
        }
        if heartbeat.born > old.born || heartbeat.id != old.id {
            self.unproven_heartbeats = 0;
            self.server = Some(RegisteredServer { heartbeat, cold_until });
            return HeartbeatOutcome::Registered;
        }
        if heartbeat.service != old.service {
            return HeartbeatOutcome::ServiceChanged;
        }
        if heartbeat.sequence > old.sequence {
            self.unproven_heartbeats = self.unproven_heartbeats.saturating_sub(1);
        } else {
            // Draining is final for one incarnation, so it counts also if the heartbeat is late.
            if !heartbeat.draining || old.draining {
                return HeartbeatOutcome::Late;
            }
            heartbeat = Heartbeat { draining: true, ..old.clone() };
        }
        heartbeat.draining |= old.draining;
        self.server = Some(RegisteredServer { heartbeat, cold_until });
        HeartbeatOutcome::Updated
    }

    /// Records that a server has left; true if it was the registered one. Otherwise all incarnations of the
    /// server that were started by `wall_ms` count as departed.
    pub fn deregister(&mut self, id: &str, wall_ms: ServerIncarnation) -> bool {
        let known = self.server.take_if(|known| *known.heartbeat.id == *id);
        let born = known.as_ref().map_or(wall_ms, |k| k.heartbeat.born);
        merge_departures(&mut self.departed, [Departure { id: id.into(), born }]);
        known.is_some()
    }

    /// Applies departures that earlier processes of this daemon acknowledged, latest first; true if the
    /// registered server begins to drain as a result.
    pub fn restore_departures(&mut self, departures: Vec<Departure>) -> bool {
        merge_departures(&mut self.restored, departures.into_iter().rev());
        let Some(known) = self.server.as_mut().filter(|s| !s.heartbeat.draining) else {
            return false;
        };
        known.heartbeat.draining = self.restored.iter().any(|d| d.covers(&known.heartbeat));
        known.heartbeat.draining
    }

    /// Latest departures to be kept across processes, latest first. They include the departure of the registered
    /// server if it is draining.
    pub fn departures(&self) -> Vec<Departure> {
        let leaving = self.server.iter().map(|s| &s.heartbeat).filter(|h| h.draining);
        let leaving = leaving.map(|h| Departure { id: h.id.clone(), born: h.born });
        let mut all = self.restored.clone();
        merge_departures(&mut all, self.departed.iter().cloned().chain(leaving));
        all.into_iter().rev().take(MAX_STORED_DEPARTURES).collect()
    }

    /// Takes the server as cold until `heartbeats` more have arrived: it may have lost its caches since the last one.
    pub fn suspect_cold(&mut self, heartbeats: u8) {
        self.unproven_heartbeats = self.unproven_heartbeats.max(heartbeats);
    }

    /// Whether the server is limited to the rate of a cold one.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.unproven_heartbeats > 0 || self.server.as_ref().is_some_and(|s| now < s.cold_until)
    }

    /// The registered server, draining or not.
    pub fn server(&self) -> Option<&RegisteredServer> {
        self.server.as_ref()
    }

    /// The registered server, if it takes new work of `service`.
    ///
    /// # Errors
    /// Returns why the server takes no new work of `service`.
    pub fn serving(&self, service: &str) -> Result<&RegisteredServer, DeclineReason> {
        let known = self.server.as_ref().ok_or(DeclineReason::NoServer)?;
        if *known.heartbeat.service != *service {
            return Err(DeclineReason::OtherService);
        }
        if known.heartbeat.draining {
            return Err(DeclineReason::Draining);
        }
        Ok(known)
    }
}
