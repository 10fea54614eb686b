//! Cells: each customer belongs to a shard, each share to a slot; a cell is one shard's part of a slot.
//!
//! Each region has one aggregator for a cell. Two slots spread a customer over two aggregators in each
//! region, so that the death of one takes a part of its rights only, until they lapse.

use std::collections::BTreeMap;

use base::{DaemonId, Region, rendezvous};
use kernel::Board;
use wire::limit::Cell;

/// Customer shards.
pub(crate) const SHARDS: u64 = 32;
/// Slots of shares.
pub(crate) const SLOTS: u8 = 2;
/// Cells in all.
pub(crate) const CELLS: u8 = SHARDS as u8 * SLOTS;

/// A customer's cell in a slot.
pub(crate) fn cell_of(customer: &str, slot: u8) -> Cell {
    (rendezvous::stable_hash(customer.as_bytes()) % SHARDS) as u8 * SLOTS + slot
}

/// Whether a share belongs to a cell's slot.
pub(crate) fn is_in_slot(share: usize, cell: Cell) -> bool {
    share % usize::from(SLOTS) == usize::from(cell % SLOTS)
}

/// Which daemon aggregates which cell in which region, as this daemon believes.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    /// For each region the owner of each cell, by cell number.
    by_region: BTreeMap<Region, Vec<DaemonId>>,
}

impl Owners {
    /// Works the owners out from the live members.
    pub(crate) fn new(board: &Board) -> Self {
        let mut members: BTreeMap<Region, Vec<DaemonId>> = BTreeMap::new();
        if !board.stopping {
            members.entry(board.me.place.region.clone()).or_default().push(board.me.id);
        }
        for m in board.members.values().filter(|m| m.is_alive()) {
            members.entry(m.place.region.clone()).or_default().push(m.id);
        }
        let by_region = members.into_iter().map(|(region, ids)| (region, owners(&ids))).collect();
        Self { by_region }
    }

    /// The aggregator of a cell in a region.
    pub(crate) fn get(&self, region: &str, cell: Cell) -> Option<DaemonId> {
        self.by_region.get(region)?.get(usize::from(cell)).copied()
    }

    /// The aggregators of a cell, those of `near` first.
    pub(crate) fn of_cell(&self, near: &str, cell: Cell) -> impl Iterator<Item = DaemonId> {
        let index = usize::from(cell);
        let far = self.by_region.iter().filter(move |(region, _)| ***region != *near);
        let far = far.filter_map(move |(_, owners)| owners.get(index).copied());
        self.get(near, cell).into_iter().chain(far)
    }

    /// Cells that a daemon aggregates in its region.
    pub(crate) fn cells_of(&self, region: &str, id: DaemonId) -> Vec<Cell> {
        (0..CELLS).filter(|cell| self.get(region, *cell) == Some(id)).collect()
    }
}

/// Owner of each cell. The slots of a shard have different owners where there are two daemons or more.
fn owners(ids: &[DaemonId]) -> Vec<DaemonId> {
    let mut owners = Vec::with_capacity(usize::from(CELLS));
    for cell in 0..CELLS {
        let taken = owners.len() - usize::from(cell % SLOTS);
        let key = format!("limit/{cell}");
        let free = ids.iter().copied().filter(|id| !owners[taken..].contains(id));
        let owner = rendezvous::owner(&key, free).or_else(|| rendezvous::owner(&key, ids.iter().copied()));
        owners.extend(owner);
    }
    owners
}
