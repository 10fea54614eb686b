//! Errors that end the daemon.

use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Why the daemon can't run.
#[derive(Debug, Display, Error)]
pub enum Fatal {
    /// An address can't be listened on.
    #[display("can't listen on {addr} for {flag}: {source}; choose a free local address")]
    Listen {
        /// Flag that sets the address.
        flag: &'static str,
        /// Address.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// A runtime or thread can't be started.
    #[display("can't start threads: {source}; check the limits of the instance")]
    Threads {
        /// What the system said.
        source: std::io::Error,
    },
}
