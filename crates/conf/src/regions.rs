//! Regions in which the requests of a route or a customer may run.

use base::Region;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Regions in which a request may run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllowedRegions {
    /// Every region.
    #[default]
    All,
    /// The listed regions. An empty list, which two limits without a common region leave, allows none.
    Only(SmallVec<[Region; 2]>),
}

impl AllowedRegions {
    /// The regions that an operator lists; an empty list sets no limit.
    pub fn from_list(regions: impl IntoIterator<Item = Region>) -> Self {
        let listed: SmallVec<[Region; 2]> = regions.into_iter().collect();
        if listed.is_empty() { Self::All } else { Self::Only(listed) }
    }

    /// Whether a request may run in `region`.
    pub fn allows(&self, region: &str) -> bool {
        match self {
            Self::All => true,
            Self::Only(listed) => listed.iter().any(|r| **r == *region),
        }
    }

    /// Regions that both `self` and `other` allow.
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::All, limit) | (limit, Self::All) => limit.clone(),
            (Self::Only(listed), limit) => {
                Self::Only(listed.iter().filter(|r| limit.allows(r)).cloned().collect())
            }
        }
    }

    /// Whether no region is allowed.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Only(listed) if listed.is_empty())
    }
}
