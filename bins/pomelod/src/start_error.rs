//! Errors that prevent the daemon from starting.

use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Why the daemon can't start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address can't be bound.
    #[display("can't listen on {addr} for {flag}: {source}; choose a free local address")]
    Listen {
        /// Flag by which the address was given.
        flag: &'static str,
        /// Address that could not be bound.
        addr: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A runtime or thread can't be started.
    #[display("can't start threads: {source}; check the limits of the instance")]
    Threads {
        /// Error of the operating system.
        source: std::io::Error,
    },
}
