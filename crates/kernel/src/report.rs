//! Reports of the traffic threads to control.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::CustomerId;

use crate::view::ServerView;

/// How one attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OutcomeKind {
    /// A complete answer with a status below 400.
    Ok,
    /// A complete answer with a status of 400 to 499; the caller's fault.
    ClientError,
    /// A complete answer with a status of 500 or above, unless the server shed the request.
    ServerError,
    /// The server shed the request and said that it did not execute it.
    Shed,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// No byte of the answer came before the deadline, on a new or recently used connection.
    Stall,
    /// No byte of the answer came on a connection that had been idle; counts against the network path.
    SilentConnection,
    /// The answer was cut short.
    Truncated,
    /// The answer was for another request.
    Mismatched,
    /// The caller disconnected before the end.
    Cancelled,
}

impl OutcomeKind {
    /// Whether the server or the network path to it is at fault.
    pub const fn is_bad(self) -> bool {
        !matches!(self, Self::Ok | Self::ClientError | Self::Shed | Self::Cancelled)
    }
}

/// One attempt at a server.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Server.
    pub server: Arc<ServerView>,
    /// Customer of the request; `None` on open routes.
    pub customer: Option<CustomerId>,
    /// How the attempt ended.
    pub kind: OutcomeKind,
    /// Time from sending the request to the first byte of the answer, or to the failure.
    pub first_byte: Duration,
    /// Time from sending the request to the end of the attempt.
    pub total: Duration,
    /// Bytes of the answer's body.
    pub bytes: u64,
    /// When the attempt ended.
    pub at: Instant,
}

/// One report of a traffic thread.
#[derive(Clone, Debug)]
pub enum Report {
    /// An attempt ended.
    Outcome(Outcome),
    /// A customer's pool has too few tokens for a waiting request.
    Demand {
        /// The customer.
        customer: CustomerId,
        /// Tokens that the request needs.
        tokens: u32,
    },
}
