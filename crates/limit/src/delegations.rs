//! Delegations given by this daemon as a holder of shares.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::DaemonId;
use wire::limit::{Cell, Part};

use crate::cells::is_in_slot;
use crate::shares::SharesRow;
use crate::times::{DELEGATION_TTL, to_ms, with_drift_margin};

/// An aggregator's process.
pub(crate) type Aggregator = (DaemonId, u64);

/// One cell's delegation.
#[derive(Clone, Copy, Debug)]
struct Given {
    to: Aggregator,
    /// Highest number of a question that it answers.
    seq: u64,
    /// The aggregator surely spends nothing of it after this.
    until: Instant,
}

/// Delegations given. A cell has at most one live delegation, so that no share has two spenders.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    given: BTreeMap<Cell, Given>,
    /// End of the longest delegation that contains shares lost since.
    lost_until: Option<Instant>,
}

impl Holder {
    /// Answers question `seq` of an aggregator: delegates the cells that are free or already with this
    /// aggregator.
    pub(crate) fn delegate(
        &mut self,
        now: Instant,
        me: DaemonId,
        row: &SharesRow,
        right_until: Instant,
        (to, seq): (Aggregator, u64),
        cells: &[Cell],
    ) -> (u32, Vec<Part>) {
        let ttl_ms = to_ms(DELEGATION_TTL.min(right_until.saturating_duration_since(now)));
        let until = now + with_drift_margin(Duration::from_millis(u64::from(ttl_ms)));
        let shares: Vec<usize> = row.spendable_shares(me).collect();
        let mut parts = Vec::new();
        for cell in cells {
            let count = shares.iter().filter(|share| is_in_slot(**share, *cell)).count() as u16;
            if count > 0 && self.is_free(now, *cell, to) {
                let old = self.given.get(cell).filter(|g| g.to == to);
                let seq = old.map_or(seq, |g| g.seq.max(seq));
                let until = old.map_or(until, |g| g.until.max(until));
                self.given.insert(*cell, Given { to, seq, until });
                parts.push(Part { cell: *cell, shares: count });
            }
        }
        (ttl_ms, parts)
    }

    fn is_free(&self, now: Instant, cell: Cell, to: Aggregator) -> bool {
        self.given.get(&cell).is_none_or(|g| g.to == to || g.until <= now)
    }

    /// Takes cells back from the aggregator's process that spends them no more.
    ///
    /// A late copy from before the last delegation is ignored: the aggregator spends again by now.
    pub(crate) fn returned(&mut self, from: Aggregator, seq: u64, cells: &[Cell]) {
        for cell in cells {
            if self.given.get(cell).is_some_and(|g| g.to == from && g.seq < seq) {
                self.given.remove(cell);
            }
        }
    }

    /// Notes that shares were lost: all delegations so far may contain them.
    pub(crate) fn lost(&mut self) {
        self.lost_until = self.lost_until.max(self.given.values().map(|g| g.until).max());
    }

    /// Whether nothing delegated of lost shares can be spent any more.
    pub(crate) fn is_clear(&self, now: Instant) -> bool {
        self.lost_until.is_none_or(|until| until <= now)
    }
}
