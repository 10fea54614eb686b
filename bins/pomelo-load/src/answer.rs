//! How a request ended for its caller.

use std::time::Duration;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Answer {
    /// A whole answer with this status, not made by a daemon.
    Status(u16),
    /// A refusal by a daemon.
    Refused {
        /// Reason.
        reason: Box<str>,
        /// Whether the daemon states that it did not run.
        not_run: bool,
    },
    /// No target took the connection; the request did not run.
    NoConnection,
    /// The connection broke before the whole answer.
    Cut,
    /// No whole answer within the tool's limit.
    Timeout,
}

impl Answer {
    /// Name in the results.
    pub fn name(&self) -> Box<str> {
        match self {
            Self::Status(code) => code.to_string().into(),
            Self::Refused { reason, .. } => reason.clone(),
            Self::NoConnection => "no-connection".into(),
            Self::Cut => "cut".into(),
            Self::Timeout => "timeout".into(),
        }
    }

    /// Whether the caller got what it asked for.
    pub fn is_good(&self) -> bool {
        matches!(self, Self::Status(200..=299))
    }

    /// Whether the caller was told that the request did not run.
    pub fn says_not_run(&self) -> bool {
        matches!(self, Self::Refused { not_run: true, .. } | Self::NoConnection)
    }
}

/// One finished request.
#[derive(Clone, Debug)]
pub struct Finished {
    /// Number of its stream.
    pub stream: usize,
    /// When it was due, after the start.
    pub due: Duration,
    /// Time from when it was due to the end.
    pub took: Duration,
    /// How it ended.
    pub answer: Answer,
    /// Its order, on streams of orders.
    pub order: Option<Box<str>>,
}
