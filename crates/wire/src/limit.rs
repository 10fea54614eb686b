//! Messages of fleet-wide rate limiting: shares, delegations, grants.

use base::{CustomerId, Version};
use serde::{Deserialize, Serialize};

/// Number of a cell: one customer shard's part of the shares; see the `limit` crate.
pub type Cell = u8;

/// Shares delegated for one cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellShares {
    /// The cell.
    pub cell: Cell,
    /// Number of shares.
    pub shares: u16,
}

/// One customer's line of a demand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerDemand {
    /// The customer.
    pub customer: CustomerId,
    /// Cell of the customer from which tokens are wanted.
    pub cell: Cell,
    /// Thousandths of tokens wanted on top of what is held.
    pub wanted: u32,
    /// Thousandths of earlier grants of the receiver that the sender still holds. Grants that are still
    /// on their way are not counted: the sender will not accept them any more.
    pub held: u32,
    /// Thousandths of earlier grants that the sender gives back unspent.
    pub returned: u32,
}

/// One customer's line of a grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerGrant {
    /// The customer.
    pub customer: CustomerId,
    /// Cell from which the tokens come.
    pub cell: Cell,
    /// Thousandths of tokens granted.
    pub amount: u32,
    /// Whether what the demand stated as held lives on until the new lapse.
    pub extended: bool,
    /// Shares behind the granter's bucket.
    pub shares: u16,
    /// Time in milliseconds until the granter may have one more token.
    pub retry_ms: u32,
}

/// What daemons say about rates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LimitMsg {
    /// Aggregator to holder: asks for delegations.
    WantShares {
        /// Number echoed by the delegation.
        seq: u64,
        /// Random number of the aggregator's process.
        epoch: u64,
        /// Cells that the sender aggregates.
        cells: Vec<Cell>,
    },
    /// Holder to aggregator: shares that may be spent for a while.
    Delegate {
        /// Number of the question.
        seq: u64,
        /// Time for which they may be spent, counted from the sending of the question, in milliseconds.
        ttl_ms: u32,
        /// Shares by cell; cells that are missing are not delegated.
        parts: Vec<CellShares>,
    },
    /// Aggregator to holder: nothing of these cells is spent any more.
    Return {
        /// Number in the same sequence as the questions; an earlier question is void.
        seq: u64,
        /// Random number of the aggregator's process.
        epoch: u64,
        /// The cells.
        cells: Vec<Cell>,
    },
    /// Daemon to aggregator.
    Demand {
        /// Number echoed by the grant; grows.
        seq: u64,
        /// Tokens wanted, held and given back.
        wants: Vec<CustomerDemand>,
    },
    /// Aggregator to daemon.
    Grant {
        /// Number of the demand.
        seq: u64,
        /// Time for which they may be spent, counted from the sending of the demand, in milliseconds.
        ttl_ms: u32,
        /// Tokens granted.
        grants: Vec<CustomerGrant>,
    },
    /// Asks what the receiver knows of the `shares` row.
    Confirm {
        /// Number echoed by the answer.
        seq: u64,
        /// Version that the sender knows.
        version: Version,
    },
    /// Answer to [`LimitMsg::Confirm`].
    Confirmed {
        /// Number of the question.
        seq: u64,
        /// Version that the sender knows.
        version: Version,
        /// Whether the sender may answer (not freshly started).
        known: bool,
        /// Whether nothing that the sender delegated of shares it lost can be spent any more.
        clear: bool,
    },
    /// Asks for the `shares` row.
    WantRow,
    /// The `shares` row as the sender knows it.
    Row {
        /// Version of the row in the table.
        version: Version,
        /// Text of the row.
        text: Box<str>,
    },
}
