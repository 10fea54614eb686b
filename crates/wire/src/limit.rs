//! Messages of fleet-wide rate limiting: demand, grants, delegations, acknowledgements.

use base::CustomerId;
use serde::{Deserialize, Serialize};

/// Tokens wanted by, or granted to, one customer at one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tokens {
    /// The customer.
    pub customer: CustomerId,
    /// Number of tokens.
    pub amount: u32,
}

/// What daemons say about rates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LimitMsg {
    /// Demand of a daemon towards the aggregator.
    Demand {
        /// Number echoed by the grant.
        seq: u64,
        /// Tokens wanted.
        wants: Vec<Tokens>,
    },
    /// Tokens granted by the aggregator.
    Grant {
        /// Number of the demand.
        seq: u64,
        /// Time for which they may be spent, counted from the sending of the demand, in milliseconds.
        ttl_ms: u32,
        /// Tokens granted.
        grants: Vec<Tokens>,
    },
}
