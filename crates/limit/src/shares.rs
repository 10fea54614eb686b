//! The `shares` row in the store: which daemon holds which shares.
//!
//! A share is an equal part of every customer's rate and burst; its holder delegates it to an
//! aggregator, which grants tokens from it.

use std::collections::BTreeSet;

use base::{DaemonId, Version};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Key of the row in the store.
pub const SHARES_KEY: &str = "fleet/shares";
/// Holders that may be silent while a change settles, in percent, rounded down.
const MAX_SILENT_PERCENT: usize = 30;

/// Holders and the owner of each share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// Holders, sorted, each at most once.
    pub holders: Box<[DaemonId]>,
    /// For each share number the index of its owner in `holders`.
    pub owners: Box<[u16]>,
}

/// Content of the row. Its version is that of the row in the store's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharesRow {
    /// Shares as of this version.
    pub shares: Shares,
    /// Shares of the previous version; `None` once the change to this version is settled.
    pub earlier: Option<Shares>,
    /// Daemon that proposed the change.
    pub by: DaemonId,
}

/// The row is malformed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("row fleet/shares {version} is malformed: {problem}; check for writers other than the daemons")]
pub struct SharesRowError {
    /// Version of the row.
    pub version: Version,
    /// What is wrong.
    pub problem: Box<str>,
}

impl Shares {
    /// Spreads `total` shares evenly over the given holders.
    pub fn spread_evenly(holders: &[DaemonId], total: usize) -> Self {
        let holders = sorted_unique(holders);
        let owners = (0..total).map(|share| even_owner(share, total, holders.len())).collect();
        Self { holders, owners }
    }

    /// Holder that owns a share; `None` if there is no share of this number.
    pub fn owner(&self, share: usize) -> Option<DaemonId> {
        self.holders.get(usize::from(*self.owners.get(share)?)).copied()
    }

    /// Spreads the same shares evenly over other holders, moving as few as possible.
    #[must_use]
    pub fn rebalanced(&self, holders: &[DaemonId]) -> Self {
        let holders = sorted_unique(holders);
        let total = self.owners.len();
        let mut capacity: Vec<usize> = (0..holders.len())
            .map(|i| total / holders.len() + usize::from(i < total % holders.len()))
            .collect();
        let mut owners = vec![None; total];
        for (share, owner) in owners.iter_mut().enumerate() {
            let kept = self.owner(share).and_then(|id| holders.binary_search(&id).ok());
            *owner = kept.filter(|i| take_capacity(&mut capacity, *i));
        }
        let mut next = 0;
        let mut next_owner = || {
            while capacity[next] == 0 {
                next += 1;
            }
            capacity[next] -= 1;
            next
        };
        let owners = owners.into_iter().map(|o| o.unwrap_or_else(&mut next_owner) as u16).collect();
        Self { holders, owners }
    }

    /// Number of other holders that must confirm the row to a holder; also the number of holders whose
    /// acknowledgement a change may lack.
    ///
    /// A holder and any such set of confirming holders thus have a member in common with any sufficient set
    /// of acknowledgements. The number is s + 1 where s is 30% of the holders, rounded down. A sole holder
    /// needs no confirmation and can't be fenced while it is silent.
    pub fn quorum(&self) -> usize {
        let silent = self.holders.len() * MAX_SILENT_PERCENT / 100;
        (silent + 1).min(self.holders.len().saturating_sub(1))
    }

    fn share_count(&self, id: DaemonId) -> usize {
        (0..self.owners.len()).filter(|share| self.owner(*share) == Some(id)).count()
    }
}

impl SharesRow {
    /// Parses the text of a row.
    ///
    /// # Errors
    /// Fails if the text is not a row or a share's owner is not among the holders.
    pub fn parse(version: Version, text: &str) -> Result<Self, SharesRowError> {
        let error = |problem: String| SharesRowError { version, problem: problem.into() };
        let row: Self = serde_json::from_str(text).map_err(|e| error(e.to_string()))?;
        for shares in [Some(&row.shares), row.earlier.as_ref()].into_iter().flatten() {
            if shares.owners.iter().any(|o| usize::from(*o) >= shares.holders.len()) {
                return Err(error("a share's owner is not among the holders".to_owned()));
            }
        }
        Ok(row)
    }

    /// Whether the change that made this version is settled.
    pub fn is_settled(&self) -> bool {
        self.earlier.is_none()
    }

    /// Numbers of the shares that a daemon may spend: those it owns; while the change is unsettled, only
    /// those that it also owned before.
    pub fn spendable_shares(&self, id: DaemonId) -> impl Iterator<Item = usize> {
        let had_before = move |share: usize| self.earlier.as_ref().is_none_or(|e| e.owner(share) == Some(id));
        (0..self.shares.owners.len()).filter(move |s| self.shares.owner(*s) == Some(id) && had_before(*s))
    }

    /// Holders that lose shares by the unsettled change; empty if the change is settled.
    pub fn losers(&self) -> Vec<DaemonId> {
        let Some(earlier) = &self.earlier else {
            return Vec::new();
        };
        let lost = |share: usize| earlier.owner(share) != self.shares.owner(share);
        let losers = (0..earlier.owners.len()).filter(|s| lost(*s)).filter_map(|s| earlier.owner(s));
        losers.collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Number of shares that a daemon owns as of this version.
    pub fn share_count(&self, id: DaemonId) -> usize {
        self.shares.share_count(id)
    }
}

/// Index of the holder that owns a share in an even spread. Each holder owns consecutive shares, so that
/// they belong to both slots (see `cells`).
fn even_owner(share: usize, total: usize, holders: usize) -> u16 {
    (share * holders / total) as u16
}

fn take_capacity(capacity: &mut [usize], index: usize) -> bool {
    let free = capacity[index] > 0;
    capacity[index] -= usize::from(free);
    free
}

fn sorted_unique(ids: &[DaemonId]) -> Box<[DaemonId]> {
    ids.iter().copied().collect::<BTreeSet<_>>().into_iter().collect()
}
