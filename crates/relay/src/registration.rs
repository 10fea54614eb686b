//! What the server beside this daemon announces of itself. Sans-I/O.
//!
//! Heartbeats may be late, doubled or left over from an earlier start of the server; leaving is final for one
//! start, whatever arrives after it.

use std::time::{Duration, Instant};

use base::{ServerId, ServiceId};
use serde::{Deserialize, Serialize};

use crate::handoff::DeclineReason;

/// Millisecond at which a server was started; tells its incarnations apart.
pub type ServerIncarnation = u64;

/// Departures that are remembered.
const MAX_REMEMBERED_DEPARTURES: usize = 64;
/// Departures that outlive the process; one instance has one server at a time.
const MAX_STORED_DEPARTURES: usize = 4;

/// One heartbeat of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Id of the server.
    pub id: ServerId,
    /// Its start.
    pub born: ServerIncarnation,
    /// Grows with each heartbeat of one start.
    pub sequence: u64,
    /// Service that it runs.
    pub service: ServiceId,
    /// Requests that it can run at the same time.
    pub slots: u16,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub cold_for: Duration,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// A server that was not known, or a new start of one.
    Registered,
    /// A new state of the known server.
    Updated,
    /// Nothing; it was late or doubled.
    Late,
    /// Nothing; it is of an earlier start, or of one that has left.
    Outdated,
}

/// A start of a server that is leaving or has left.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Id of the server.
    pub id: ServerId,
    /// Its start; earlier starts are over as well.
    pub born: ServerIncarnation,
}

impl Departure {
    fn covers(&self, heartbeat: &Heartbeat) -> bool {
        self.id == heartbeat.id && heartbeat.born <= self.born
    }
}

/// A server that is registered.
#[derive(Clone, Debug)]
pub struct Registered {
    /// Its last heartbeat in the order of their sequence. Once `draining`, it stays so.
    pub heartbeat: Heartbeat,
    /// Until when it is slow after its start.
    pub cold_until: Instant,
}

/// The server beside this daemon, if one is registered.
#[derive(Debug, Default)]
pub struct Registration {
    server: Option<Registered>,
    /// The latest servers that have left, oldest first.
    departed: Vec<Departure>,
    /// Servers whose leaving an earlier process of this daemon acknowledged.
    restored: Vec<Departure>,
}

impl Registration {
    /// Takes in a heartbeat.
    pub fn apply_heartbeat(&mut self, mut heartbeat: Heartbeat, now: Instant) -> HeartbeatOutcome {
        if self.departed.iter().any(|d| d.covers(&heartbeat)) {
            return HeartbeatOutcome::Outdated;
        }
        heartbeat.draining |= self.restored.iter().any(|d| d.covers(&heartbeat));
        let cold_until = now + heartbeat.cold_for;
        let Some(known) = &self.server else {
            self.server = Some(Registered { heartbeat, cold_until });
            return HeartbeatOutcome::Registered;
        };
        let old = &known.heartbeat;
        if heartbeat.born < old.born {
            return HeartbeatOutcome::Outdated;
        }
        if heartbeat.born > old.born || heartbeat.id != old.id {
            self.server = Some(Registered { heartbeat, cold_until });
            return HeartbeatOutcome::Registered;
        }
        if heartbeat.sequence <= old.sequence {
            return HeartbeatOutcome::Late;
        }
        heartbeat.draining |= old.draining;
        self.server = Some(Registered { heartbeat, cold_until });
        HeartbeatOutcome::Updated
    }

    /// Takes in that a server has left; true if it was the registered one. Of one that is not known, all
    /// starts up to `wall_ms` count as over.
    pub fn deregister(&mut self, id: &str, wall_ms: ServerIncarnation) -> bool {
        let known = self.server.take_if(|known| *known.heartbeat.id == *id);
        if self.departed.len() == MAX_REMEMBERED_DEPARTURES {
            self.departed.remove(0);
        }
        let born = known.as_ref().map_or(wall_ms, |k| k.heartbeat.born);
        self.departed.push(Departure { id: id.into(), born });
        known.is_some()
    }

    /// Takes in departures that an earlier process of this daemon acknowledged; true if the registered server is one.
    pub fn restore_departures(&mut self, departures: Vec<Departure>) -> bool {
        self.restored = departures;
        let Some(known) = self.server.as_mut().filter(|s| !s.heartbeat.draining) else {
            return false;
        };
        known.heartbeat.draining = self.restored.iter().any(|d| d.covers(&known.heartbeat));
        known.heartbeat.draining
    }

    /// The latest departures, those of the registered server and of earlier processes included.
    pub fn departures(&self) -> Vec<Departure> {
        let leaving = self.server.iter().map(|s| &s.heartbeat).filter(|h| h.draining);
        let leaving = leaving.map(|h| Departure { id: h.id.clone(), born: h.born });
        let mut latest: Vec<Departure> = leaving.collect();
        latest.extend(self.departed.iter().rev().cloned());
        latest.extend(self.restored.iter().cloned());
        latest.truncate(MAX_STORED_DEPARTURES);
        latest
    }

    /// The registered server.
    pub fn server(&self) -> Option<&Registered> {
        self.server.as_ref()
    }

    /// The server, if it may take new work of `service`.
    ///
    /// # Errors
    /// Fails with the reason for which it may not.
    pub fn serving(&self, service: &str) -> Result<&Registered, DeclineReason> {
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
