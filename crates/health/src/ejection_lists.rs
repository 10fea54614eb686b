//! Ejection lists received from coordinators, and their union cut down to the floor.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use base::{DaemonId, ServerId, ServiceId};
use wire::health::{EjectionEntry, HealthMsg};

use crate::floor::strongest_evidence;

/// Upper bound of the time for which an entry is valid, whatever its message states.
pub const MAX_ENTRY_TTL: Duration = Duration::from_secs(6);
/// Weight at and above which a listed server counts as working for the floor.
pub const WORKING_WEIGHT: f32 = 0.5;

/// One server on an ejection list.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveEjection {
    /// Share of the server's normal load that it gets, 0 to 1.
    pub weight: f32,
    /// Evidence against the server. Within the floor, the servers with the highest scores are ejected.
    pub score: f32,
    /// Time from which the entry is no longer valid.
    pub expires_at: Instant,
}

/// The last list of one coordinator for one service.
#[derive(Debug)]
struct CoordinatorList {
    /// Incarnation of the coordinator that sent the list.
    incarnation: u64,
    /// Sequence number of the list; grows within an incarnation.
    seq: u64,
    entries: BTreeMap<ServerId, ActiveEjection>,
}

/// All lists received, by service and coordinator.
#[derive(Debug, Default)]
pub struct EjectionLists {
    by_service: HashMap<ServiceId, BTreeMap<DaemonId, CoordinatorList>>,
}

impl EjectionLists {
    /// Replaces the coordinator's list. Returns false, and changes nothing, unless `order`, the incarnation
    /// and sequence number, is higher than that of the known list.
    pub fn update(
        &mut self,
        now: Instant,
        from: DaemonId,
        service: &ServiceId,
        order: (u64, u64),
        entries: &[EjectionEntry],
    ) -> bool {
        let lists = self.by_service.entry(service.clone()).or_default();
        if lists.get(&from).is_some_and(|l| (l.incarnation, l.seq) >= order) {
            return false;
        }
        let entry = |e: &EjectionEntry| {
            let ttl = Duration::from_millis(u64::from(e.ttl_ms)).min(MAX_ENTRY_TTL);
            let weight = if e.weight.is_finite() { e.weight.clamp(0.0, 1.0) } else { 1.0 };
            let score = if e.score.is_finite() { e.score } else { 0.0 };
            (e.server.clone(), ActiveEjection { weight, score, expires_at: now + ttl })
        };
        let (incarnation, seq) = order;
        lists
            .insert(from, CoordinatorList { incarnation, seq, entries: entries.iter().map(entry).collect() });
        true
    }

    /// Drops expired entries and returns whether there were any. Empty lists stay, so that older lists that
    /// arrive late are recognised as old.
    pub fn drop_expired(&mut self, now: Instant) -> bool {
        let mut changed = false;
        for list in self.by_service.values_mut().flat_map(BTreeMap::values_mut) {
            let before = list.entries.len();
            list.entries.retain(|_, e| e.expires_at > now);
            changed |= list.entries.len() != before;
        }
        changed
    }

    /// Union of all coordinators' valid entries for a service, except those of the coordinator `except`. A
    /// server on several lists gets its lowest weight.
    pub fn merged(
        &self,
        service: &ServiceId,
        now: Instant,
        except: Option<DaemonId>,
    ) -> BTreeMap<ServerId, ActiveEjection> {
        let mut merged: BTreeMap<ServerId, ActiveEjection> = BTreeMap::new();
        let lists = self.by_service.get(service).into_iter().flatten();
        let live = lists.filter(|(from, _)| Some(**from) != except).flat_map(|(_, l)| &l.entries);
        for (id, entry) in live.filter(|(_, e)| e.expires_at > now) {
            let known = merged.entry(id.clone()).or_insert_with(|| entry.clone());
            if entry.weight < known.weight {
                *known = entry.clone();
            }
        }
        merged
    }

    /// The lists with valid entries as messages, with the remaining times, for other daemons.
    pub fn messages(&self, service: &ServiceId, now: Instant) -> Vec<(DaemonId, HealthMsg)> {
        let message = |(coordinator, list): (&DaemonId, &CoordinatorList)| {
            let live = list.entries.iter().filter(|(_, e)| e.expires_at > now);
            let entry = |(id, e): (&ServerId, &ActiveEjection)| EjectionEntry {
                server: id.clone(),
                ttl_ms: e.expires_at.saturating_duration_since(now).as_millis() as u32,
                weight: e.weight,
                score: e.score,
            };
            let (service, coordinator, incarnation, seq) =
                (service.clone(), *coordinator, list.incarnation, list.seq);
            let list: Vec<EjectionEntry> = live.map(entry).collect();
            let is_empty = list.is_empty();
            let msg = HealthMsg::Ejections { service, coordinator, incarnation, seq, list };
            (!is_empty).then_some((coordinator, msg))
        };
        self.by_service.get(service).into_iter().flatten().filter_map(message).collect()
    }

    /// Services with at least one entry.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.by_service.iter().filter(|(_, ls)| ls.values().any(|l| !l.entries.is_empty())).map(|(id, _)| id)
    }
}

/// Cuts the entries of non-working servers down to `budget`: those with the least evidence are removed.
///
/// Servers for which `is_ready` is false cannot be ejected at all: they do not count for the budget now and
/// would be missing once they are ready. Returns the servers that stay in service because of the floor.
pub fn apply_floor(
    merged: &mut BTreeMap<ServerId, ActiveEjection>,
    budget: usize,
    is_ready: impl Fn(&ServerId) -> bool,
) -> Vec<ServerId> {
    merged.retain(|id, _| is_ready(id));
    let out: Vec<_> =
        merged.iter().filter(|(_, e)| e.weight < WORKING_WEIGHT).map(|(id, e)| (id, e.score)).collect();
    let count = out.len();
    let keep: Vec<ServerId> = strongest_evidence(out, budget).into_iter().cloned().collect();
    if keep.len() == count {
        return Vec::new();
    }
    let is_held = |id: &ServerId, e: &ActiveEjection| e.weight < WORKING_WEIGHT && !keep.contains(id);
    let held: Vec<_> = merged.iter().filter(|(id, e)| is_held(id, e)).map(|(id, _)| id.clone()).collect();
    merged.retain(|id, _| !held.contains(id));
    held
}
