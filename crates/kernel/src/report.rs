//! What the traffic threads tell control.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::CustomerId;

use crate::view::ServerView;

/// How one try at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OutcomeKind {
    /// A whole answer below 500.
    Ok,
    /// A whole answer of 400 to 499; the caller's own doing.
    ClientError,
    /// A whole answer of 500 or above that is no shedding.
    ServerError,
    /// The server shed the request and said that it did not run.
    Shed,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// No byte came before the deadline on a fresh or just used connection.
    Stall,
    /// No byte came on a connection that had been idle; counts against the path.
    SilentConnection,
    /// The answer was cut short.
    Truncated,
    /// The answer was for another request.
    Mismatched,
    /// The caller went away first.
    Cancelled,
}

impl OutcomeKind {
    /// Whether the server or the path behaved badly.
    pub const fn is_bad(self) -> bool {
        !matches!(self, Self::Ok | Self::ClientError | Self::Shed | Self::Cancelled)
    }
}

/// One try at a server.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Server.
    pub server: Arc<ServerView>,
    /// Customer, if the route is not open.
    pub customer: Option<CustomerId>,
    /// How it ended.
    pub kind: OutcomeKind,
    /// Time from sending to the first byte of the answer, or to the failure.
    pub first_byte: Duration,
    /// Time from sending to the end.
    pub total: Duration,
    /// Bytes of the answer's body.
    pub bytes: u64,
    /// When it ended.
    pub at: Instant,
}

/// One report.
#[derive(Clone, Debug)]
pub enum Report {
    /// A try ended.
    Outcome(Outcome),
    /// A customer's pool has too few tokens for a waiting request.
    Demand {
        /// Customer.
        customer: CustomerId,
        /// Tokens wanted now.
        tokens: u32,
    },
}
