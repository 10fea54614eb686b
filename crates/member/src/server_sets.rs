//! The server set of each daemon, and which of several entries for a server is effective.
//!
//! A server announces itself to one daemon, the origin of its entry. The origin sends only changes of its
//! set to other daemons, not each renewed announcement. A set is valid as long as its origin's heartbeats
//! arrive.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use base::{DaemonId, ServerId};
use wire::server::{Delta, Loads, ServerInfo, ServerSet, ServerState};

/// A daemon and the incarnation of its process; a restarted daemon begins a new set.
pub(crate) type SetId = (DaemonId, u64);

/// Servers that announce themselves to one daemon, as far as its changes are known here.
#[derive(Debug, Default)]
pub(crate) struct OriginSet {
    /// Number of the last change applied; changes are applied without gaps.
    pub(crate) seq: u32,
    pub(crate) servers: BTreeMap<ServerId, ServerInfo>,
    /// Number of the last report of loads that was applied.
    report: u32,
    /// When the set expires; `None` while its origin is a member.
    pub(crate) expires_at: Option<Instant>,
}

/// Result of applying a change or a whole set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    /// Nothing changed: the set is at this change or a later one.
    AlreadyKnown,
    /// Changes before this one are missing.
    Gap,
    /// Applied; the entries of these servers may have changed.
    Changed(Vec<ServerId>),
}

/// The known sets of all daemons, this one's included.
#[derive(Debug, Default)]
pub(crate) struct ServerSets {
    by_origin: BTreeMap<SetId, OriginSet>,
    /// Sets that contain each server.
    origins: BTreeMap<ServerId, BTreeSet<SetId>>,
}

impl ServerSets {
    pub(crate) fn get(&self, id: SetId) -> Option<&OriginSet> {
        self.by_origin.get(&id)
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = SetId> {
        self.by_origin.keys().copied()
    }

    /// The effective entry of a server: the one with the highest stamp.
    pub(crate) fn effective_entry(&self, server: &str) -> Option<&ServerInfo> {
        let origins = self.origins.get(server)?;
        let entries = origins.iter().filter_map(|id| self.by_origin.get(id)?.servers.get(server));
        entries.max_by_key(|s| s.stamp)
    }

    pub(crate) fn apply_delta(&mut self, delta: &Delta) -> Applied {
        let id = (delta.origin, delta.incarnation);
        let have = self.by_origin.get(&id).map_or(0, |set| set.seq);
        if delta.seq <= have {
            return Applied::AlreadyKnown;
        }
        if delta.seq != have + 1 {
            return Applied::Gap;
        }
        let server = delta.server.id.clone();
        if delta.server.state == ServerState::Gone {
            self.remove_server(id, &server);
        } else {
            self.insert_server(id, delta.server.clone());
        }
        self.by_origin.entry(id).or_default().seq = delta.seq;
        Applied::Changed(vec![server])
    }

    /// Replaces a set by a whole newer one.
    pub(crate) fn apply_set(&mut self, whole: &ServerSet) -> Applied {
        let id = (whole.origin, whole.incarnation);
        let have = self.by_origin.get(&id).map_or(0, |set| set.seq);
        if whole.seq <= have {
            return Applied::AlreadyKnown;
        }
        let mut changed = self.clear_set(id);
        for server in &whole.servers {
            changed.push(server.id.clone());
            self.insert_server(id, server.clone());
        }
        self.by_origin.entry(id).or_default().seq = whole.seq;
        Applied::Changed(changed)
    }

    /// Applies reported loads if they belong to exactly the set that is known here; returns the servers'
    /// loads.
    pub(crate) fn apply_loads(&mut self, loads: &Loads) -> Option<Vec<(ServerId, f32)>> {
        let set = self.by_origin.get_mut(&(loads.origin, loads.incarnation))?;
        let is_same = set.seq == loads.seq;
        if !is_same || loads.report <= set.report || loads.loads.len() != set.servers.len() {
            return None;
        }
        set.report = loads.report;
        let pairs = set.servers.values_mut().zip(&loads.loads);
        let updated = pairs.map(|(server, load)| {
            server.load = f32::from(*load) / 255.0;
            (server.id.clone(), server.load)
        });
        Some(updated.collect())
    }

    /// Lets a set expire whose origin is not a member any more; an earlier time than already set stays.
    pub(crate) fn schedule_expiry(&mut self, id: SetId, until: Instant) {
        if let Some(set) = self.by_origin.get_mut(&id) {
            set.expires_at.get_or_insert(until);
        }
    }

    /// Keeps a set whose origin is a member.
    pub(crate) fn cancel_expiry(&mut self, id: SetId) {
        if let Some(set) = self.by_origin.get_mut(&id) {
            set.expires_at = None;
        }
    }

    /// Drops expired sets; returns their servers.
    pub(crate) fn remove_expired(&mut self, now: Instant) -> Vec<ServerId> {
        let is_expired = |set: &OriginSet| set.expires_at.is_some_and(|at| now >= at);
        let expired: Vec<_> =
            self.by_origin.iter().filter(|(_, s)| is_expired(s)).map(|(id, _)| *id).collect();
        let mut changed = Vec::new();
        for id in expired {
            changed.extend(self.clear_set(id));
            self.by_origin.remove(&id);
        }
        changed
    }

    /// Drops all sets but this daemon's own; returns the servers of the dropped ones.
    pub(crate) fn remove_all_but(&mut self, own: SetId) -> Vec<ServerId> {
        let others: Vec<_> = self.ids().filter(|id| *id != own).collect();
        let mut changed = Vec::new();
        for id in others {
            changed.extend(self.clear_set(id));
            self.by_origin.remove(&id);
        }
        changed
    }

    fn insert_server(&mut self, id: SetId, server: ServerInfo) {
        self.origins.entry(server.id.clone()).or_default().insert(id);
        self.by_origin.entry(id).or_default().servers.insert(server.id.clone(), server);
    }

    fn remove_server(&mut self, id: SetId, server: &str) {
        if let Some(set) = self.by_origin.get_mut(&id) {
            set.servers.remove(server);
        }
        if let Some(origins) = self.origins.get_mut(server) {
            origins.remove(&id);
            if origins.is_empty() {
                self.origins.remove(server);
            }
        }
    }

    fn clear_set(&mut self, id: SetId) -> Vec<ServerId> {
        let servers = self.by_origin.get(&id).map(|s| s.servers.keys().cloned().collect());
        let servers: Vec<ServerId> = servers.unwrap_or_default();
        for server in &servers {
            self.remove_server(id, server);
        }
        servers
    }
}
