//! The question about hand-offs and its answer.

use serde::{Deserialize, Serialize};

/// Random id of a connection between two daemons; 0 is never used.
pub type ConnectionId = u64;

/// Number of a hand-off on its connection, from 1.
pub type HandoffNumber = u64;

/// Start time of a daemon's process, which tells it apart from earlier ones on the same address.
pub type Incarnation = u64;

/// Most hand-offs in one question, so that the answer fits one datagram.
pub const MAX_NUMBERS: usize = 128;

/// What became of a hand-off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Fate {
    /// The hand-off has not arrived, and is declined if it arrives later.
    NeverCame,
    /// The hand-off had not started, and now never will.
    GivenUp,
    /// The hand-off was declined.
    Declined,
    /// The hand-off is being received or waits for a slot.
    Waiting,
    /// The hand-off was started, or may have been.
    Started,
}

impl Fate {
    /// Whether the hand-off has not run and will not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Fate::NeverCame | Fate::GivenUp | Fate::Declined)
    }

    /// Stable name used in metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            Fate::NeverCame => "never-came",
            Fate::GivenUp => "given-up",
            Fate::Declined => "declined",
            Fate::Waiting => "waiting",
            Fate::Started => "started",
        }
    }
}

/// Asks what became of some hand-offs on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Question {
    /// Connection on which the hand-offs were sent.
    pub connection: ConnectionId,
    /// Numbers of the hand-offs, at most [`MAX_NUMBERS`].
    pub numbers: Vec<HandoffNumber>,
    /// Whether those that have not started must never start.
    pub revoke: bool,
}

/// Tells what became of some hand-offs on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// Connection on which the hand-offs were sent.
    pub connection: ConnectionId,
    /// Process that answers.
    pub incarnation: Incarnation,
    /// Each number asked about, with its fate.
    pub fates: Vec<(HandoffNumber, Fate)>,
}
