//! Cells, the units in which aggregators handle shares, and their assignment to daemons.
//!
//! Each customer belongs to a shard and each share to a slot; a cell is a pair of shard and slot. Each region
//! has one aggregator per cell. As there are two slots, a customer has two aggregators in each region, and
//! the death of one takes away only a part of the customer's tokens until its delegations expire.

use std::collections::BTreeMap;

use base::{DaemonId, Region, rendezvous};
use kernel::Board;
use wire::limit::Cell;

/// Number of customer shards.
pub(crate) const SHARD_COUNT: u64 = 32;
/// Number of share slots.
pub(crate) const SLOT_COUNT: u8 = 2;
/// Number of cells.
pub(crate) const CELL_COUNT: u8 = SHARD_COUNT as u8 * SLOT_COUNT;

/// The cell of a customer's shard in a slot.
pub(crate) fn cell_of(customer: &str, slot: u8) -> Cell {
    (rendezvous::stable_hash(customer.as_bytes()) % SHARD_COUNT) as u8 * SLOT_COUNT + slot
}

/// Whether the share with this number belongs to the slot of a cell.
pub(crate) fn is_in_slot(share: usize, cell: Cell) -> bool {
    share % usize::from(SLOT_COUNT) == usize::from(cell % SLOT_COUNT)
}

/// The aggregator of each cell in each region, by the members that this daemon knows.
#[derive(Debug, Default)]
pub(crate) struct Aggregators {
    /// For each region, the aggregators by cell number.
    by_region: BTreeMap<Region, Vec<DaemonId>>,
}

impl Aggregators {
    /// Assigns cells to the live members; this daemon is left out while it stops.
    pub(crate) fn new(board: &Board) -> Self {
        let mut members: BTreeMap<Region, Vec<DaemonId>> = BTreeMap::new();
        if !board.stopping {
            members.entry(board.me.place.region.clone()).or_default().push(board.me.id);
        }
        for m in board.members.values().filter(|m| m.is_alive()) {
            members.entry(m.place.region.clone()).or_default().push(m.id);
        }
        let by_region = members.into_iter().map(|(region, ids)| (region, assign_cells(&ids))).collect();
        Self { by_region }
    }

    /// The aggregator of a cell in a region.
    pub(crate) fn aggregator_of(&self, region: &str, cell: Cell) -> Option<DaemonId> {
        self.by_region.get(region)?.get(usize::from(cell)).copied()
    }

    /// The aggregators of a cell in all regions, that of region `near` first.
    pub(crate) fn aggregators_of(&self, near: &str, cell: Cell) -> impl Iterator<Item = DaemonId> {
        let index = usize::from(cell);
        let far = self.by_region.iter().filter(move |(region, _)| ***region != *near);
        let far = far.filter_map(move |(_, aggregators)| aggregators.get(index).copied());
        self.aggregator_of(near, cell).into_iter().chain(far)
    }

    /// Cells that a daemon of a region aggregates.
    pub(crate) fn cells_of(&self, region: &str, id: DaemonId) -> Vec<Cell> {
        (0..CELL_COUNT).filter(|cell| self.aggregator_of(region, *cell) == Some(id)).collect()
    }
}

/// Assigns each cell to a daemon. With two daemons or more, the slots of a shard have different aggregators.
fn assign_cells(ids: &[DaemonId]) -> Vec<DaemonId> {
    let mut aggregators = Vec::with_capacity(usize::from(CELL_COUNT));
    for cell in 0..CELL_COUNT {
        let first_of_shard = aggregators.len() - usize::from(cell % SLOT_COUNT);
        let key = format!("limit/{cell}");
        let unassigned = ids.iter().copied().filter(|id| !aggregators[first_of_shard..].contains(id));
        let aggregator =
            rendezvous::owner(&key, unassigned).or_else(|| rendezvous::owner(&key, ids.iter().copied()));
        aggregators.extend(aggregator);
    }
    aggregators
}
