//! Inputs and outputs of the kernel, and events that areas emit for each other.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::DaemonId;
use store::{Row, StoreError, StoreOp, StoreRep};
use wire::Msg;
use wire::fresh::ViewStatus;

use crate::api::{ApiRep, ApiReq, Ticket};
use crate::report::Report;
use crate::view::View;

/// Number that matches the result of a store operation to its start.
pub type StoreToken = u64;

/// An input of the control kernel.
#[derive(Debug)]
pub enum Input {
    /// Passage of time; comes every [`crate::machine::TICK_MS`] milliseconds.
    Tick,
    /// An authenticated message arrived.
    Msg {
        /// Sender.
        from: DaemonId,
        /// Start time of the sender's process, milliseconds since the epoch.
        incarnation: u64,
        /// Message.
        msg: Msg,
    },
    /// A store operation ended.
    Store {
        /// Token of the operation.
        token: StoreToken,
        /// Result of the operation.
        res: Result<StoreRep, StoreError>,
    },
    /// An operator or a backend server made an API request.
    Api {
        /// Ticket for the answer.
        ticket: Ticket,
        /// Request.
        req: ApiReq,
    },
    /// A traffic thread reported.
    Report(Report),
    /// The daemon was told to stop gracefully.
    Stop,
}

/// An action that the driver of the kernel must carry out.
#[derive(Debug)]
pub enum Output {
    /// Send a message.
    Send {
        /// Receiver.
        to: DaemonId,
        /// Message.
        msg: Msg,
    },
    /// Execute a store operation and return its result as [`Input::Store`].
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
    /// Replace the view that the traffic threads read.
    Publish(Arc<View>),
}

/// An event that one area emits and all areas handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another daemon answered a pull; emitted by freshness.
    PullAnswered {
        /// The daemon that answered.
        from: DaemonId,
        /// View status of that daemon.
        status: ViewStatus,
        /// When the pull was sent; the status is no older than this.
        asked_at: Instant,
    },
    /// All rows under `fleet/` were read from the store; emitted by freshness.
    FleetRowsRead {
        /// The rows.
        rows: Arc<[(Box<str>, Row)]>,
        /// When the read was sent; the rows are no older than this.
        asked_at: Instant,
    },
    /// [`crate::Board::members`] changed.
    MembersChanged,
    /// [`crate::Board::conf`] changed.
    ConfChanged,
    /// [`crate::Board::servers`] changed.
    ServersChanged,
    /// The process resumed after a pause, or the instance after a suspension; emitted by freshness.
    Resumed {
        /// Length of the pause.
        gap: Duration,
    },
    /// The daemon was told to stop; emitted by the kernel.
    Stopping,
}
