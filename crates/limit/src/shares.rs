//! The `shares` row: which daemon holds which shares of every customer's rate and burst.

use std::collections::BTreeSet;

use base::{DaemonId, Version};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Key of the row.
pub const SHARES_KEY: &str = "fleet/shares";
/// Part of the holders that may be silent, in percent, rounded down.
const SILENT_PERCENT: usize = 30;

/// Holders and the owner of each share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// Holders, sorted, each at most once.
    pub holders: Box<[DaemonId]>,
    /// For each share number the index of its owner in `holders`.
    pub owners: Box<[u16]>,
}

/// Content of the row. Its version is the row's version in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharesRow {
    /// Shares from this version on.
    pub shares: Shares,
    /// Shares of the version before; present while the change is unsettled.
    pub earlier: Option<Shares>,
    /// Daemon that proposed the change.
    pub by: DaemonId,
}

/// The row can't be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("row fleet/shares {version} is malformed: {problem}; check for writers other than the daemons")]
pub struct SharesRowError {
    /// Version of the row.
    pub version: Version,
    /// What is wrong.
    pub problem: Box<str>,
}

impl Shares {
    /// All shares with the given holders, spread evenly.
    pub fn spread_evenly(holders: &[DaemonId], total: usize) -> Self {
        let holders = sorted(holders);
        let owners = (0..total).map(|share| spread(share, total, holders.len())).collect();
        Self { holders, owners }
    }

    /// Owner of a share.
    pub fn owner(&self, share: usize) -> Option<DaemonId> {
        self.holders.get(usize::from(*self.owners.get(share)?)).copied()
    }

    /// The same shares with other holders; moves as few as an even spread allows.
    #[must_use]
    pub fn rebalanced(&self, holders: &[DaemonId]) -> Self {
        let holders = sorted(holders);
        let total = self.owners.len();
        let mut room: Vec<usize> = (0..holders.len())
            .map(|i| total / holders.len() + usize::from(i < total % holders.len()))
            .collect();
        let mut owners = vec![None; total];
        for (share, owner) in owners.iter_mut().enumerate() {
            let kept = self.owner(share).and_then(|id| holders.binary_search(&id).ok());
            *owner = kept.filter(|i| take_room(&mut room, *i));
        }
        let mut next = 0;
        let mut fill = || {
            while room[next] == 0 {
                next += 1;
            }
            room[next] -= 1;
            next
        };
        let owners = owners.into_iter().map(|o| o.unwrap_or_else(&mut fill) as u16).collect();
        Self { holders, owners }
    }

    /// Others from whom a holder needs answers, and holders whose acknowledgement a change may lack.
    ///
    /// Any set of this many others and the asker itself meets any set of acknowledgements. It is s + 1
    /// with s = 30% of the holders; a sole holder needs nobody, and can't be fenced while silent.
    pub fn quorum(&self) -> usize {
        let silent = self.holders.len() * SILENT_PERCENT / 100;
        (silent + 1).min(self.holders.len().saturating_sub(1))
    }

    fn share_count(&self, id: DaemonId) -> usize {
        (0..self.owners.len()).filter(|share| self.owner(*share) == Some(id)).count()
    }
}

impl SharesRow {
    /// Reads the text of a row.
    ///
    /// # Errors
    /// Fails when the text is no row or names owners that are not listed.
    pub fn parse(version: Version, text: &str) -> Result<Self, SharesRowError> {
        let error = |problem: String| SharesRowError { version, problem: problem.into() };
        let row: Self = serde_json::from_str(text).map_err(|e| error(e.to_string()))?;
        for shares in [Some(&row.shares), row.earlier.as_ref()].into_iter().flatten() {
            if shares.owners.iter().any(|o| usize::from(*o) >= shares.holders.len()) {
                return Err(error("a share has no owner".to_owned()));
            }
        }
        Ok(row)
    }

    /// Whether the change that made this version is settled.
    pub fn is_settled(&self) -> bool {
        self.earlier.is_none()
    }

    /// Share numbers that a daemon may spend: its own, and while unsettled only those it already had.
    pub fn spendable_shares(&self, id: DaemonId) -> impl Iterator<Item = usize> {
        let had = move |share: usize| self.earlier.as_ref().is_none_or(|e| e.owner(share) == Some(id));
        (0..self.shares.owners.len()).filter(move |s| self.shares.owner(*s) == Some(id) && had(*s))
    }

    /// Holders that lose shares by the unsettled change.
    pub fn losers(&self) -> Vec<DaemonId> {
        let Some(earlier) = &self.earlier else {
            return Vec::new();
        };
        let lost = |share: usize| earlier.owner(share) != self.shares.owner(share);
        let losers = (0..earlier.owners.len()).filter(|s| lost(*s)).filter_map(|s| earlier.owner(s));
        losers.collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Number of shares that a daemon holds from this version on.
    pub fn share_count(&self, id: DaemonId) -> usize {
        self.shares.share_count(id)
    }
}

/// Owner of a share in an even spread; neighbours differ so that each holder has shares of each slot.
fn spread(share: usize, total: usize, holders: usize) -> u16 {
    (share * holders / total) as u16
}

fn take_room(room: &mut [usize], index: usize) -> bool {
    let free = room[index] > 0;
    room[index] -= usize::from(free);
    free
}

fn sorted(ids: &[DaemonId]) -> Box<[DaemonId]> {
    ids.iter().copied().collect::<BTreeSet<_>>().into_iter().collect()
}
