//! Messages of fleet-wide rate limiting.
//!
//! Every customer's rate is cut into equal shares. Daemons that own shares (holders) delegate them to one
//! aggregator per region and cell; aggregators grant tokens to the daemons that demand them.

use base::{CustomerId, Version};
use serde::{Deserialize, Serialize};

/// Number of a cell: a shard of the customers combined with a slot, a fixed part of the shares. Each region
/// has one aggregator per cell.
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
    /// Cell of the customer from which the tokens shall come.
    pub cell: Cell,
    /// Thousandths of tokens wanted in addition to `held`.
    pub wanted: u32,
    /// Thousandths of tokens that the receiver granted and the sender still holds. Grants in flight are not
    /// counted: the sender no longer accepts them.
    pub held: u32,
    /// Thousandths of tokens that the receiver granted and the sender returns unspent.
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
    /// Whether the tokens that the demand stated as held now expire with this grant.
    pub extended: bool,
    /// Number of shares that fill the granter's bucket.
    pub shares: u16,
    /// Time in milliseconds until the granter expects to have one more token.
    pub retry_ms: u32,
}

/// Messages about rate shares and tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LimitMsg {
    /// Aggregator to holder: asks for delegations.
    WantShares {
        /// Number echoed by the delegation.
        seq: u64,
        /// Random number that identifies the aggregator's process.
        epoch: u64,
        /// Cells that the sender aggregates.
        cells: Vec<Cell>,
    },
    /// Holder to aggregator: shares that may be spent for a while.
    Delegate {
        /// Number of the request for delegations.
        seq: u64,
        /// Time for which the shares may be spent, in milliseconds from the sending of that request.
        ttl_ms: u32,
        /// Delegated shares by cell; cells that are missing are not delegated.
        parts: Vec<CellShares>,
    },
    /// Aggregator to holder: returns the delegations of these cells; their shares are no longer spent.
    Return {
        /// Number in the sequence of [`LimitMsg::WantShares`]; requests with a lower number are void.
        seq: u64,
        /// Random number that identifies the aggregator's process.
        epoch: u64,
        /// The returned cells.
        cells: Vec<Cell>,
    },
    /// Daemon to aggregator: demands tokens and reports held ones.
    Demand {
        /// Number echoed by the grant; grows with each demand.
        seq: u64,
        /// Tokens wanted, held and returned.
        wants: Vec<CustomerDemand>,
    },
    /// Aggregator to daemon: grants tokens.
    Grant {
        /// Number of the demand.
        seq: u64,
        /// Time for which the tokens may be spent, in milliseconds from the sending of the demand.
        ttl_ms: u32,
        /// Tokens granted.
        grants: Vec<CustomerGrant>,
    },
    /// Asks which version of the row `fleet/shares` of the store the receiver knows.
    Confirm {
        /// Number echoed by the answer.
        seq: u64,
        /// Version of the `shares` row that the sender knows.
        version: Version,
    },
    /// Answer to [`LimitMsg::Confirm`].
    Confirmed {
        /// Number of the answered message.
        seq: u64,
        /// Version of the `shares` row that the sender knows.
        version: Version,
        /// Whether the sender confirms the version, like [`crate::fresh::ViewStatus::shares_known`].
        known: bool,
        /// Whether all delegations that the sender made of shares that it no longer holds have expired.
        clear: bool,
    },
    /// Asks for the `shares` row.
    WantRow,
    /// The `shares` row as the sender knows it.
    Row {
        /// Version of the row in the table service.
        version: Version,
        /// Text of the row.
        text: Box<str>,
    },
}
