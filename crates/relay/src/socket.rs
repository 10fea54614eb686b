//! Options of TCP connections, by which a peer that has silently disappeared is noticed.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Longest time for which sent bytes may stay unacknowledged before the connection is broken.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time after which the first keepalive probe is sent.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Disables Nagle's algorithm and makes connections to unresponsive peers fail. A failure to set an option is
/// only logged.
pub fn set_options(stream: &TcpStream) {
    let sock = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_INTERVAL);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| sock.set_tcp_user_timeout(Some(USER_TIMEOUT)))
        .and_then(|()| sock.set_tcp_keepalive(&keepalive));
    if let Err(e) = set {
        log::debug!("options can't be set on a connection: {e}");
    }
}
