//! What daemons say to each other about one request: the order to run it, and the verdict if it was not answered.

use std::time::Duration;

use base::{CustomerId, ServiceId};
use conf::Priority;
use derive_more::Display;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use route::place::{Condition, Load};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Header with an [`Order`], from the daemon that took the request.
pub static ORDER: HeaderName = HeaderName::from_static("x-pomelo-order");
/// Header with a [`Verdict`], from the daemon beside the server.
pub static VERDICT: HeaderName = HeaderName::from_static("x-pomelo-verdict");
/// Header with a [`Report`] on the server, on every answer of the daemon beside it.
pub static REPORT: HeaderName = HeaderName::from_static("x-pomelo-report");

/// Header with the age of the proof that a configuration is the newest.
pub static PROOF_AGE: HeaderName = HeaderName::from_static("x-pomelo-proof-age");

/// The order to run a request, beside the request itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// Service that shall run it.
    pub service: ServiceId,
    /// Customer for whom it runs; none on open routes.
    pub customer: Option<CustomerId>,
    /// Service of the instance on which it began.
    pub caller_service: Box<str>,
    /// Hash of the route's name; run times are learnt for each.
    pub route_hash: u32,
    /// Urgency.
    pub rank: Priority,
    /// Whether a running request waits for it.
    pub nested: bool,
    /// Whether it may run more than once.
    pub repetition: Repetition,
    /// Whether a suspect server shall run it all the same, for lack of another.
    pub insist: bool,
    /// Time left until its latency objective.
    pub objective_left: Duration,
    /// Time left until its deadline.
    pub deadline_left: Duration,
    /// Latency objective of its route. New fields come last: daemons of an older version don't read them.
    pub objective: Duration,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repetition {
    /// It may run once at most.
    Never,
    /// It may run again.
    Allowed,
}

/// Why a request was declined. It has not run and will not.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// No server is announced here.
    #[display("no-server")]
    NoServer,
    /// The server is leaving.
    #[display("draining")]
    Draining,
    /// The server belongs to another service.
    #[display("other-service")]
    OtherService,
    /// The server is thought to fail requests.
    #[display("suspect")]
    Suspect,
    /// The server would not finish it by its deadline.
    #[display("busy")]
    Busy,
    /// No connection to the server or the daemon.
    #[display("unreachable")]
    Unreachable,
    /// The server said that it did not run it.
    #[display("shed")]
    Shed,
    /// The daemon is stopping.
    #[display("stopping")]
    Stopping,
}

impl Reason {
    /// Whether the request reached a server, which refused to run it.
    pub fn reached_server(self) -> bool {
        self == Reason::Shed
    }
}

/// What became of a request without an answer of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It has not run and will not.
    Declined {
        /// Why.
        reason: Reason,
        /// Expected time until the server has room.
        free_in: Duration,
    },
    /// The server's connection broke or its answer was spoiled; it may have run.
    Broken,
    /// The server did not answer in time; it may have run.
    Overdue,
}

impl Verdict {
    /// A decline that says nothing on when there is room.
    pub fn declined(reason: Reason) -> Self {
        Self::Declined { reason, free_in: Duration::ZERO }
    }
}

/// State of the server beside a daemon, as its own requests show it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Requests that it runs.
    pub running: u16,
    /// Requests that wait for it.
    pub waiting: u16,
    /// Requests that it can run at the same time.
    pub slots: u16,
    /// Mean time of a run in milliseconds.
    pub mean_run_ms: u16,
    /// What its own requests show.
    pub condition: Condition,
}

impl Report {
    /// The server's load, with `pending` hand-offs under way that the report does not know.
    pub fn load(&self, pending: u32) -> Load {
        Load {
            running: u32::from(self.running) + pending,
            waiting: u32::from(self.waiting),
            slots: u32::from(self.slots),
            mean_run: Duration::from_millis(u64::from(self.mean_run_ms)),
        }
    }
}

/// Writes a message into a header as hexadecimal digits of its postcard form.
pub fn put<T: Serialize>(headers: &mut HeaderMap, name: &HeaderName, message: &T) {
    let Ok(bytes) = postcard::to_stdvec(message) else {
        log::error!("message for header {name} can't be encoded");
        return;
    };
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from_digit(u32::from(byte >> 4), 16).unwrap_or('0'));
        text.push(char::from_digit(u32::from(byte & 15), 16).unwrap_or('0'));
    }
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(name.clone(), value);
    }
}

/// Takes a message out of a header; none if it is missing or unreadable.
pub fn take<T: DeserializeOwned>(headers: &mut HeaderMap, name: &HeaderName) -> Option<T> {
    let value = headers.remove(name)?;
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let pair = |pair: &[u8]| Some((digit(pair[0])? << 4 | digit(*pair.get(1)?)?) as u8);
    let bytes: Option<Vec<u8>> = value.as_bytes().chunks(2).map(pair).collect();
    postcard::from_bytes(&bytes?).ok()
}
