//! Sets of servers, one for each daemon that vouches for some, and which entry of a server counts.
//!
//! A server announces itself to one daemon, which vouches for it to the fleet. Renewals stay between
//! the two; only changes travel. A set holds as long as its daemon's heartbeats arrive.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use base::{DaemonId, ServerId};
use wire::server::{Delta, Loads, ServerInfo, ServerSet, ServerState};

/// A daemon and the start number of its process; a restarted daemon begins a new set.
pub(crate) type SetId = (DaemonId, u64);

/// Servers that one daemon vouches for.
#[derive(Debug, Default)]
pub(crate) struct Set {
    /// Number of the last change taken; changes are taken without gaps.
    pub(crate) seq: u32,
    pub(crate) servers: BTreeMap<ServerId, ServerInfo>,
    /// Number of the last report of loads.
    report: u32,
    /// When the set lapses although no successor of it came; none while its daemon is a member.
    pub(crate) orphaned_until: Option<Instant>,
}

/// Result of taking a change or a whole set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// Known already.
    Nothing,
    /// Changes before this one are missing.
    Gap,
    /// Taken; these servers may have changed.
    Servers(Vec<ServerId>),
}

/// All sets.
#[derive(Debug, Default)]
pub(crate) struct Sets {
    by_voucher: BTreeMap<SetId, Set>,
    /// Daemons that vouch for each server.
    vouchers: BTreeMap<ServerId, BTreeSet<SetId>>,
}

impl Sets {
    pub(crate) fn get(&self, id: SetId) -> Option<&Set> {
        self.by_voucher.get(&id)
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = SetId> {
        self.by_voucher.keys().copied()
    }

    /// The entry of a server that counts: the one with the highest stamp.
    pub(crate) fn resolve(&self, server: &str) -> Option<&ServerInfo> {
        let vouchers = self.vouchers.get(server)?;
        let entries = vouchers.iter().filter_map(|v| self.by_voucher.get(v)?.servers.get(server));
        entries.max_by_key(|s| s.stamp)
    }

    /// Takes one change.
    pub(crate) fn take_delta(&mut self, delta: &Delta) -> Taken {
        let id = (delta.origin, delta.incarnation);
        let have = self.by_voucher.get(&id).map_or(0, |set| set.seq);
        if delta.seq <= have {
            return Taken::Nothing;
        }
        if delta.seq != have + 1 {
            return Taken::Gap;
        }
        let server = delta.server.id.clone();
        if delta.server.state == ServerState::Gone {
            self.remove(id, &server);
        } else {
            self.insert(id, delta.server.clone());
        }
        self.by_voucher.entry(id).or_default().seq = delta.seq;
        Taken::Servers(vec![server])
    }

    /// Takes a whole set.
    pub(crate) fn take_set(&mut self, whole: &ServerSet) -> Taken {
        let id = (whole.origin, whole.incarnation);
        let have = self.by_voucher.get(&id).map_or(0, |set| set.seq);
        if whole.seq <= have {
            return Taken::Nothing;
        }
        let mut changed = self.clear(id);
        for server in &whole.servers {
            changed.push(server.id.clone());
            self.insert(id, server.clone());
        }
        self.by_voucher.entry(id).or_default().seq = whole.seq;
        Taken::Servers(changed)
    }

    /// Takes reported loads, if they belong to exactly the set that is known here.
    pub(crate) fn take_loads(&mut self, loads: &Loads) -> Option<Vec<(ServerId, f32)>> {
        let set = self.by_voucher.get_mut(&(loads.origin, loads.incarnation))?;
        let is_same = set.seq == loads.seq;
        if !is_same || loads.report <= set.report || loads.loads.len() != set.servers.len() {
            return None;
        }
        set.report = loads.report;
        let pairs = set.servers.values_mut().zip(&loads.loads);
        let told = pairs.map(|(server, load)| {
            server.load = f32::from(*load) / 255.0;
            (server.id.clone(), server.load)
        });
        Some(told.collect())
    }

    /// Marks the set of a daemon that is no member any more.
    pub(crate) fn orphan(&mut self, id: SetId, until: Instant) {
        if let Some(set) = self.by_voucher.get_mut(&id) {
            set.orphaned_until.get_or_insert(until);
        }
    }

    /// Marks the set of a daemon as backed by its heartbeats again.
    pub(crate) fn adopt(&mut self, id: SetId) {
        if let Some(set) = self.by_voucher.get_mut(&id) {
            set.orphaned_until = None;
        }
    }

    /// Drops sets whose daemons are gone for too long; returns their servers.
    pub(crate) fn lapse(&mut self, now: Instant) -> Vec<ServerId> {
        let is_over = |set: &Set| set.orphaned_until.is_some_and(|at| now >= at);
        let over: Vec<_> = self.by_voucher.iter().filter(|(_, s)| is_over(s)).map(|(id, _)| *id).collect();
        let mut changed = Vec::new();
        for id in over {
            changed.extend(self.clear(id));
            self.by_voucher.remove(&id);
        }
        changed
    }

    /// Drops all sets but one; returns their servers.
    pub(crate) fn forget_others(&mut self, own: SetId) -> Vec<ServerId> {
        let others: Vec<_> = self.ids().filter(|id| *id != own).collect();
        let mut changed = Vec::new();
        for id in others {
            changed.extend(self.clear(id));
            self.by_voucher.remove(&id);
        }
        changed
    }

    fn insert(&mut self, id: SetId, server: ServerInfo) {
        self.vouchers.entry(server.id.clone()).or_default().insert(id);
        self.by_voucher.entry(id).or_default().servers.insert(server.id.clone(), server);
    }

    fn remove(&mut self, id: SetId, server: &str) {
        if let Some(set) = self.by_voucher.get_mut(&id) {
            set.servers.remove(server);
        }
        if let Some(vouchers) = self.vouchers.get_mut(server) {
            vouchers.remove(&id);
            if vouchers.is_empty() {
                self.vouchers.remove(server);
            }
        }
    }

    fn clear(&mut self, id: SetId) -> Vec<ServerId> {
        let servers = self.by_voucher.get(&id).map(|s| s.servers.keys().cloned().collect());
        let servers: Vec<ServerId> = servers.unwrap_or_default();
        for server in &servers {
            self.remove(id, server);
        }
        servers
    }
}
