//! The sans-I/O kernel of a daemon's control plane.
//!
//! A daemon has one control thread, which drives the kernel, and several traffic threads, which forward
//! requests. The work of control is split into areas (membership, configuration, rate limiting, health, ...),
//! which register as plug-ins; the kernel knows none of them by name.
//!
//! The kernel takes [`Input`]s with the time and returns [`Output`]s: messages to send, store operations
//! to execute, answers for operators, and a [`View`] for the traffic threads. It holds no socket, task or
//! clock, so that tests drive several kernels over a fake network and a fake store.
//!
//! ```
//! use std::time::Instant;
//! use kernel::{Input, Kernel, LocalDaemon, Setup};
//!
//! let (peer, api) = ("127.0.0.1:7000".parse().unwrap(), "127.0.0.1:7001".parse().unwrap());
//! let me = LocalDaemon::new(peer, api, "meseta", "barva", 1);
//! let mut kernel = Kernel::new(Setup::new(me, 7), Instant::now());
//! let outputs = kernel.handle(Instant::now(), 0, Input::Tick);
//! assert!(outputs.is_empty()); // no area is linked into this example
//! ```

pub mod api;
pub mod area;
pub mod board;
pub mod counters;
pub mod cx;
mod incarnations;
pub mod input;
pub mod machine;
pub mod pool;
pub mod report;
pub mod view;

pub use api::{ApiRep, ApiReq, Ticket};
pub use area::{Area, AreaEntry};
pub use board::{Board, LocalDaemon, Member, ServerEntry, Verdict};
pub use counters::ServerCounters;
pub use cx::Cx;
pub use input::{Event, Input, Output, StoreToken};
pub use machine::{Kernel, Setup};
pub use pool::{GRANT_SLOTS, MILLI_PER_TOKEN, MilliTokens, TakeResult, TokenPool, TokenPools};
pub use report::{Outcome, OutcomeKind, Report};
pub use view::{ServerView, ServiceView, View};

/// Re-exported so that areas register with the version of `inventory` that the kernel reads.
pub use inventory;
