//! Delegations that this daemon, as a holder of shares, makes to aggregators.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::DaemonId;
use wire::limit::{Cell, CellShares};

use crate::cells::is_in_slot;
use crate::shares::SharesRow;
use crate::times::{DELEGATION_TTL, to_ms, with_drift_margin};

/// Address of an aggregator and the random number of its process.
pub(crate) type AggregatorProcess = (DaemonId, u64);

/// The delegation of one cell.
#[derive(Clone, Copy, Debug)]
struct IssuedDelegation {
    to: AggregatorProcess,
    /// Highest sequence number of the requests that the delegation answers.
    seq: u64,
    /// The aggregator spends none of the delegated shares after this.
    until: Instant,
}

/// Delegations made. A cell has at most one live delegation, so that no share has two spenders.
#[derive(Debug, Default)]
pub(crate) struct IssuedDelegations {
    by_cell: BTreeMap<Cell, IssuedDelegation>,
    /// End of the last delegation that may contain shares that this daemon has lost; `None` if it lost none.
    lost_until: Option<Instant>,
}

impl IssuedDelegations {
    /// Answers request `seq` of an aggregator: delegates those of `cells` that no other aggregator has.
    /// Returns the lifetime in milliseconds and the delegated shares by cell.
    pub(crate) fn delegate(
        &mut self,
        now: Instant,
        me: DaemonId,
        row: &SharesRow,
        lease_until: Instant,
        (to, seq): (AggregatorProcess, u64),
        cells: &[Cell],
    ) -> (u32, Vec<CellShares>) {
        let ttl_ms = to_ms(DELEGATION_TTL.min(lease_until.saturating_duration_since(now)));
        let until = now + with_drift_margin(Duration::from_millis(u64::from(ttl_ms)));
        let shares: Vec<usize> = row.spendable_shares(me).collect();
        let mut parts = Vec::new();
        for cell in cells {
            let count = shares.iter().filter(|share| is_in_slot(**share, *cell)).count() as u16;
            if count > 0 && self.is_available(now, *cell, to) {
                let old = self.by_cell.get(cell).filter(|d| d.to == to);
                let seq = old.map_or(seq, |d| d.seq.max(seq));
                let until = old.map_or(until, |d| d.until.max(until));
                self.by_cell.insert(*cell, IssuedDelegation { to, seq, until });
                parts.push(CellShares { cell: *cell, shares: count });
            }
        }
        (ttl_ms, parts)
    }

    fn is_available(&self, now: Instant, cell: Cell, to: AggregatorProcess) -> bool {
        self.by_cell.get(&cell).is_none_or(|d| d.to == to || d.until <= now)
    }

    /// Ends the delegations of cells that an aggregator returned.
    ///
    /// A late message, sent before the last delegation of a cell, is ignored, as the aggregator spends the
    /// cell again.
    pub(crate) fn end_returned(&mut self, from: AggregatorProcess, seq: u64, cells: &[Cell]) {
        for cell in cells {
            if self.by_cell.get(cell).is_some_and(|d| d.to == from && d.seq < seq) {
                self.by_cell.remove(cell);
            }
        }
    }

    /// Records that this daemon lost shares: all delegations so far may contain them.
    pub(crate) fn record_lost_shares(&mut self) {
        self.lost_until = self.lost_until.max(self.by_cell.values().map(|d| d.until).max());
    }

    /// Whether no aggregator can spend lost shares any more.
    pub(crate) fn lost_shares_expired(&self, now: Instant) -> bool {
        self.lost_until.is_none_or(|until| until <= now)
    }
}
