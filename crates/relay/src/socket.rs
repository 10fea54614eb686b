//! Options of TCP connections, so that one that went silent for good is noticed.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Longest time for which sent bytes may stay without acknowledgement.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time after which the other side is asked whether it is still there.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// Time between such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Sends without delay and gives up on a silent peer.
pub fn set_options(stream: &TcpStream) {
    let sock = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_INTERVAL);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| sock.set_tcp_user_timeout(Some(USER_TIMEOUT)))
        .and_then(|()| sock.set_tcp_keepalive(&keepalive));
    if let Err(e) = set {
        log::debug!("options of a connection not set: {e}");
    }
}
