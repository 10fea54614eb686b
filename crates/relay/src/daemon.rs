//! Starts the tasks of a daemon and stops it gracefully.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::event;
use store::Table;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::config_refresh::ConfigSource;
use crate::datagram::RemovedPeer;
use crate::gossip::Gossip;
use crate::node::Node;
use crate::{config_refresh, departures, directory, fate_questions, gossip, links, listen};

/// Time after the stop signal in which the daemon still serves new requests, so that callers can be directed
/// to another daemon.
const SERVE_AFTER_STOP: Duration = Duration::from_millis(2_500);
/// Time after the stop signal up to which a request must be complete to be passed on to a server. A later one
/// might not end before the daemon does.
const START_AFTER_STOP: Duration = Duration::from_secs(3);
/// Time before the end of the grace period at which the daemon cuts all connections that are still open.
const CUT_MARGIN: Duration = Duration::from_millis(400);
/// Timeout for removing this daemon from the directory.
const LEAVE_DIRECTORY_TIMEOUT: Duration = Duration::from_millis(200);
/// Time before the connections are cut at which requests without an answer are answered by the daemon itself.
const ANSWER_MARGIN: Duration = Duration::from_millis(350);
/// Time before that at which servers' daemons are asked to give up hand-offs that still wait, so that their
/// callers learn that they have not run. Leaves time for two questions.
const REVOKE_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which a stopping daemon checks whether all requests at its server have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Sockets of a daemon.
#[derive(Debug)]
pub struct Sockets {
    /// Accepts callers on this instance.
    pub callers: TcpListener,
    /// Accepts connections of daemons that hand requests to this one.
    pub handoffs: TcpListener,
    /// Exchanges datagrams with other daemons, on the same address as `handoffs`.
    pub datagrams: UdpSocket,
}

/// Connections that have to end before the daemon does.
///
/// An answer has left the daemon only when its connection has ended, not when the server has completed it.
#[derive(Debug, Default)]
struct Connections {
    /// Connections of callers.
    callers: TaskTracker,
    /// Connections of daemons that hand requests to this one.
    daemons: TaskTracker,
}

impl Connections {
    /// Waits until all connections, which have been asked to close, have ended and no request runs or waits
    /// at the server.
    async fn wait_until_ended(&self, node: &Node) {
        self.callers.close();
        self.daemons.close();
        self.callers.wait().await;
        while node.local_server.request_count() > 0 {
            sleep(STOP_POLL_INTERVAL).await;
        }
        self.daemons.wait().await;
    }

    /// Numbers of open connections and running requests, as fields of a log line.
    fn log_fields(&self, node: &Node) -> String {
        let (callers, open, daemons) = (node.active_requests(), self.callers.len(), self.daemons.len());
        format!(
            "callers={callers} connections={open} links={daemons} at_server={}",
            node.local_server.request_count()
        )
    }
}

/// Runs a daemon until `stop` is cancelled and the requests that it has accepted are answered or cut off.
pub async fn run_daemon(
    node: Rc<Node>,
    sockets: Sockets,
    source: impl ConfigSource + 'static,
    table: Rc<dyn Table>,
    stop: CancellationToken,
) {
    let closing = CancellationToken::new();
    let gossip = Rc::new(Gossip::new(sockets.datagrams, node.metrics.datagram_bytes.clone()));
    node.gossip.replace(Some(Rc::clone(&gossip)));
    node.local_server.set_departures_known(node.identity.is_first_start);
    let connections = Connections::default();
    let (callers, daemons) = (connections.callers.clone(), connections.daemons.clone());
    spawn_local(links::accept_daemons(Rc::clone(&node), sockets.handoffs, daemons, closing.clone()));
    spawn_local(listen::accept_callers(Rc::clone(&node), sockets.callers, callers, closing.clone()));
    spawn_local(gossip::receive_datagrams(Rc::clone(&node), Rc::clone(&gossip)));
    spawn_local(gossip::send_statuses(Rc::clone(&node), Rc::clone(&gossip)));
    spawn_local(gossip::send_digests(Rc::clone(&node), Rc::clone(&gossip)));
    spawn_local(gossip::send_operator_state(Rc::clone(&node), Rc::clone(&gossip)));
    spawn_local(gossip::return_spare_tokens(Rc::clone(&node), Rc::clone(&gossip)));
    spawn_local(config_refresh::refresh_config(Rc::clone(&node), source));
    spawn_local(directory::maintain_directory(Rc::clone(&node), Rc::clone(&gossip), Rc::clone(&table)));
    spawn_local(directory::remove_expired_peers(Rc::clone(&node), Rc::clone(&gossip), Rc::clone(&table)));
    spawn_local(departures::keep_stored(Rc::clone(&node), Rc::clone(&gossip), Rc::clone(&table)));
    spawn_local(departures::admit_server_when_known(Rc::clone(&node)));
    spawn_local(fate_questions::ask_about_handoffs(Rc::clone(&node), Rc::clone(&gossip)));
    spawn_local(publish_changes(Rc::clone(&node)));
    stop.cancelled().await;
    stop_gracefully(&node, &gossip, &*table, &connections, &closing).await;
    event!(Info, DaemonStopped, "{}", connections.log_fields(&node));
}

/// Sends the status at once whenever the local server's state changes.
async fn publish_changes(node: Rc<Node>) {
    loop {
        node.local_server.next_change().await;
        node.status_changed.notify_one();
    }
}

async fn stop_gracefully(
    node: &Rc<Node>,
    gossip: &Gossip,
    table: &dyn Table,
    connections: &Connections,
    closing: &CancellationToken,
) {
    let grace = node.bounds.grace_period.saturating_sub(CUT_MARGIN);
    let end_by = Instant::now() + grace;
    let answer_by = Instant::now() + grace.saturating_sub(ANSWER_MARGIN);
    let serve_until = Instant::now() + SERVE_AFTER_STOP;
    let last_start_at = Instant::now() + START_AFTER_STOP;
    event!(Info, DaemonStopping, "{}", connections.log_fields(node));
    node.local_server.decline_runs_past(answer_by);
    node.begin_stop(last_start_at, answer_by);
    sleep_until(serve_until.into()).await;
    node.local_server.stop_accepting();
    gossip::broadcast_status(node, gossip);
    closing.cancel();
    let has_left = !node.local_server.has_server();
    let leaving = async {
        if has_left {
            leave_directory(node, gossip, table).await;
        }
    };
    tokio::join!(leaving, drain(node, connections, answer_by, end_by));
    if !has_left && !node.local_server.has_server() {
        leave_directory(node, gossip, table).await;
    }
}

/// Waits until all connections and requests have ended. At `answer_by` aborts requests that are still
/// running, and returns at `end_by` in any case.
async fn drain(node: &Node, connections: &Connections, answer_by: Instant, end_by: Instant) {
    let revoke_at = answer_by.checked_sub(REVOKE_MARGIN).unwrap_or(answer_by);
    if timeout_at(revoke_at.into(), connections.wait_until_ended(node)).await.is_ok() {
        return;
    }
    node.links.sent.revoke_all(Instant::now());
    if timeout_at(answer_by.into(), connections.wait_until_ended(node)).await.is_ok() {
        return;
    }
    event!(Warn, GraceExceeded, "{}", connections.log_fields(node));
    node.abort_requests.cancel();
    // Connections still open at `end_by` are cut, since the system would kill the daemon soon after.
    let _ = timeout_at(end_by.into(), connections.wait_until_ended(node)).await;
}

/// Removes this daemon from the directory, because its server has left and the instance will be removed too.
async fn leave_directory(node: &Rc<Node>, gossip: &Gossip, table: &dyn Table) {
    let own = RemovedPeer { addr: node.identity.addr, incarnation: node.incarnation(), forward: false };
    let removed = timeout(LEAVE_DIRECTORY_TIMEOUT, directory::remove_daemon(node, gossip, table, own)).await;
    if removed.is_err() {
        event!(Warn, StoreDown, "purpose=directory outcome=timeout");
    }
}
