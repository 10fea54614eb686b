//! Inputs and outputs of the kernel, and events between areas.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::DaemonId;
use store::{Row, StoreError, StoreOp, StoreRep};
use wire::Msg;
use wire::fresh::ViewStatus;

use crate::api::{ApiRep, ApiReq, Ticket};
use crate::report::Report;
use crate::view::View;

/// Number that ties the result of a store operation to its start.
pub type StoreToken = u64;

/// What happens to a daemon's control state.
#[derive(Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// An authenticated message came.
    Msg {
        /// Sender.
        from: DaemonId,
        /// Start number of the sender's process.
        incarnation: u64,
        /// Message.
        msg: Msg,
    },
    /// A store operation ended.
    Store {
        /// Its token.
        token: StoreToken,
        /// Its result.
        res: Result<StoreRep, StoreError>,
    },
    /// An operator or a backend server asks.
    Api {
        /// Ticket for the answer.
        ticket: Ticket,
        /// Request.
        req: ApiReq,
    },
    /// The traffic threads report.
    Report(Report),
    /// The daemon shall stop gracefully.
    Stop,
}

/// What the driver shall do.
#[derive(Debug)]
pub enum Output {
    /// Send a message.
    Send {
        /// Receiver.
        to: DaemonId,
        /// Message.
        msg: Msg,
    },
    /// Perform a store operation.
    Store {
        /// Token for its result.
        token: StoreToken,
        /// Operation.
        op: StoreOp,
    },
    /// Answer a request on the operator API.
    Answer {
        /// Ticket of the request.
        ticket: Ticket,
        /// Answer.
        rep: ApiRep,
    },
    /// Give traffic a new view.
    Publish(Arc<View>),
}

/// What one area tells the others.
#[derive(Clone, Debug)]
pub enum Event {
    /// A pull was answered; emitted by freshness.
    PullAnswered {
        /// Who answered.
        from: DaemonId,
        /// What it knew.
        status: ViewStatus,
        /// When the question was sent; the answer was true no earlier.
        asked_at: Instant,
    },
    /// All rows under `fleet/` were read from the store; emitted by freshness.
    FleetRowsRead {
        /// The rows.
        rows: Arc<[(Box<str>, Row)]>,
        /// When the read was sent; the rows were true no earlier.
        asked_at: Instant,
    },
    /// Board's members changed.
    MembersChanged,
    /// Board's configuration changed.
    ConfChanged,
    /// Board's servers changed.
    ServersChanged,
    /// The process went on after a pause, or the instance after a suspension; emitted by freshness.
    Resumed {
        /// Length of the pause.
        gap: Duration,
    },
    /// The daemon received a stop signal.
    Stopping,
}
