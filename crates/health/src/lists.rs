//! Ejection lists as heard from coordinators, and their union down to the floor.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use base::{DaemonId, ServerId, ServiceId};
use wire::health::{EjectionEntry, HealthMsg};

use crate::floor::worst;

/// Longest time for which an entry is believed, whatever its sender says.
pub const MAX_TTL: Duration = Duration::from_secs(6);
/// Weight from which a listed server counts as working for the floor.
pub const WORKING_WEIGHT: f32 = 0.5;

/// One entry with its deadline.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Share of normal work, 0 to 1.
    pub weight: f32,
    /// Strength of the evidence.
    pub score: f32,
    /// When the entry lapses.
    pub lapses: Instant,
}

/// One coordinator's list of one service.
#[derive(Debug)]
struct List {
    incarnation: u64,
    /// Never falls within an incarnation.
    seq: u64,
    entries: BTreeMap<ServerId, Entry>,
}

/// All lists heard, by service and coordinator.
#[derive(Debug, Default)]
pub struct Lists {
    heard: HashMap<ServiceId, BTreeMap<DaemonId, List>>,
}

impl Lists {
    /// Takes a list; returns whether it is newer than the one known from this coordinator.
    pub fn take(
        &mut self,
        now: Instant,
        from: DaemonId,
        service: &ServiceId,
        order: (u64, u64),
        entries: &[EjectionEntry],
    ) -> bool {
        let lists = self.heard.entry(service.clone()).or_default();
        if lists.get(&from).is_some_and(|l| (l.incarnation, l.seq) >= order) {
            return false;
        }
        let entry = |e: &EjectionEntry| {
            let ttl = Duration::from_millis(u64::from(e.ttl_ms)).min(MAX_TTL);
            let weight = if e.weight.is_finite() { e.weight.clamp(0.0, 1.0) } else { 1.0 };
            let score = if e.score.is_finite() { e.score } else { 0.0 };
            (e.server.clone(), Entry { weight, score, lapses: now + ttl })
        };
        let (incarnation, seq) = order;
        lists.insert(from, List { incarnation, seq, entries: entries.iter().map(entry).collect() });
        true
    }

    /// Drops entries whose deadline passed. Empty lists stay, so that late older ones are recognised.
    pub fn lapse(&mut self, now: Instant) -> bool {
        let mut changed = false;
        for list in self.heard.values_mut().flat_map(BTreeMap::values_mut) {
            let before = list.entries.len();
            list.entries.retain(|_, e| e.lapses > now);
            changed |= list.entries.len() != before;
        }
        changed
    }

    /// Union of all coordinators' entries for a service, the lowest weight of each server.
    pub fn union(
        &self,
        service: &ServiceId,
        now: Instant,
        except: Option<DaemonId>,
    ) -> BTreeMap<ServerId, Entry> {
        let mut union: BTreeMap<ServerId, Entry> = BTreeMap::new();
        let lists = self.heard.get(service).into_iter().flatten();
        let live = lists.filter(|(from, _)| Some(**from) != except).flat_map(|(_, l)| &l.entries);
        for (id, entry) in live.filter(|(_, e)| e.lapses > now) {
            let known = union.entry(id.clone()).or_insert_with(|| entry.clone());
            if entry.weight < known.weight {
                *known = entry.clone();
            }
        }
        union
    }

    /// The lists with live entries, as messages with the time that is left.
    pub fn messages(&self, service: &ServiceId, now: Instant) -> Vec<(DaemonId, HealthMsg)> {
        let message = |(coordinator, list): (&DaemonId, &List)| {
            let live = list.entries.iter().filter(|(_, e)| e.lapses > now);
            let entry = |(id, e): (&ServerId, &Entry)| EjectionEntry {
                server: id.clone(),
                ttl_ms: e.lapses.saturating_duration_since(now).as_millis() as u32,
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
        self.heard.get(service).into_iter().flatten().filter_map(message).collect()
    }

    /// Services with at least one entry.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.heard.iter().filter(|(_, ls)| ls.values().any(|l| !l.entries.is_empty())).map(|(id, _)| id)
    }
}

/// Removes the entries with the least evidence that the budget has no room for.
///
/// `is_ready` tells which servers count as healthy now; others can't be ejected, since they don't count
/// and would be missing once they are ready. Returns the servers that stay because of the floor.
pub fn apply_floor(
    union: &mut BTreeMap<ServerId, Entry>,
    budget: usize,
    is_ready: impl Fn(&ServerId) -> bool,
) -> Vec<ServerId> {
    union.retain(|id, _| is_ready(id));
    let out: Vec<_> =
        union.iter().filter(|(_, e)| e.weight < WORKING_WEIGHT).map(|(id, e)| (id, e.score)).collect();
    let count = out.len();
    let keep: Vec<ServerId> = worst(out, budget).into_iter().cloned().collect();
    if keep.len() == count {
        return Vec::new();
    }
    let is_held = |id: &ServerId, e: &Entry| e.weight < WORKING_WEIGHT && !keep.contains(id);
    let held: Vec<_> = union.iter().filter(|(id, e)| is_held(id, e)).map(|(id, _)| id.clone()).collect();
    union.retain(|id, _| !held.contains(id));
    held
}
