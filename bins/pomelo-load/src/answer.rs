//! How a request ended, as its caller saw it.

use std::time::Duration;

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Answer {
    /// A complete answer of a backend server, with this status.
    Status(u16),
    /// A daemon refused the request.
    Refused {
        /// Value of the daemon's header `x-pomelo-reason`.
        reason: Box<str>,
        /// Whether the daemon stated that the request did not run.
        not_run: bool,
    },
    /// No target accepted a connection; the request did not run.
    NoConnection,
    /// The connection broke before the answer was complete.
    Cut,
    /// No complete answer came within this tool's timeout.
    Timeout,
}

impl Answer {
    /// Name in the printed results and the CSV file.
    pub fn name(&self) -> Box<str> {
        match self {
            Self::Status(code) => code.to_string().into(),
            Self::Refused { reason, .. } => reason.clone(),
            Self::NoConnection => "no-connection".into(),
            Self::Cut => "cut".into(),
            Self::Timeout => "timeout".into(),
        }
    }

    /// Whether the request succeeded.
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Status(200..=299))
    }

    /// Whether the caller knows from the answer that the request did not run.
    pub fn says_not_run(&self) -> bool {
        matches!(self, Self::Refused { not_run: true, .. } | Self::NoConnection)
    }
}

/// One request that ended.
#[derive(Clone, Debug)]
pub struct FinishedRequest {
    /// Index of its stream in the plan.
    pub stream: usize,
    /// When it was due, as time since the start of the run.
    pub due: Duration,
    /// Time from when it was due, not from when it was sent, to its end.
    pub latency: Duration,
    /// How it ended.
    pub answer: Answer,
    /// Id of its order; `None` if its stream does not send orders.
    pub order: Option<Box<str>>,
}
