//! A request counts as sent once its last byte is: a change of the configuration during a slow upload holds for it.

mod common;

use common::{
    Act, Daemon, Fleet, KEY, conf, eventually, fleet, on_one_thread, read_until, request, snapshot_parts,
    status,
};
use conf::{KeyHasher, Snapshot};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Body of an order.
const BODY: &str = "twenty crates";
/// End of the body, which a slow caller sends late.
const LATE_BYTES: usize = 5;

/// An order of which all but the end has been sent.
async fn start_upload(daemon: &Daemon) -> TcpStream {
    let mut caller = TcpStream::connect(daemon.callers).await.expect("the daemon listens");
    let order = request("POST", "/order/a", "slow", BODY);
    let (begun, _) = order.split_at(order.len() - LATE_BYTES);
    caller.write_all(begun.as_bytes()).await.expect("the daemon reads");
    caller
}

/// Changes the configuration, waits until it is in force, sends the end of the order and returns the answer.
async fn change_and_finish(fleet: &Fleet, caller: TcpStream, change: fn(&KeyHasher) -> Snapshot) -> String {
    let daemon = &fleet.daemons[0];
    eventually(|| daemon.node.active_requests() == 1).await;
    fleet.source.make_snapshot.set(change);
    eventually(|| daemon.node.conf_version() == 2).await;
    finish_upload(caller).await
}

/// Sends the end of the order and returns the answer.
async fn finish_upload(mut caller: TcpStream) -> String {
    let (_, end) = BODY.split_at(BODY.len() - LATE_BYTES);
    caller.write_all(end.as_bytes()).await.expect("the daemon reads");
    read_until(&mut caller, "\r\n\r\n").await
}

fn without_keys(hasher: &KeyHasher) -> Snapshot {
    snapshot_parts(hasher, &[], 1_000_000.0).into_snapshot(2).expect("the test's configuration is valid")
}

fn without_the_orders_route(hasher: &KeyHasher) -> Snapshot {
    let mut parts = snapshot_parts(hasher, &[KEY], 1_000_000.0);
    parts.routes.retain(|route| !route.name.contains("order"));
    parts.into_snapshot(2).expect("the test's configuration is valid")
}

fn with_another_route(hasher: &KeyHasher) -> Snapshot {
    let mut parts = snapshot_parts(hasher, &[KEY], 1_000_000.0);
    parts.routes.retain(|route| !route.name.contains("stock"));
    parts.into_snapshot(2).expect("the test's configuration is valid")
}

// Guards against an order that runs with a key which was withdrawn during its upload (second review, case 8).
#[test]
fn an_order_whose_key_is_withdrawn_during_its_upload_does_not_run() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf).await;
        let caller = start_upload(&fleet.daemons[0]).await;
        let rep = change_and_finish(&fleet, caller, without_keys).await;
        assert_eq!((status(&rep), fleet.runs()), (401, 0), "{rep}");
    });
}

// Guards against the same for a route.
#[test]
fn an_order_whose_route_is_dropped_during_its_upload_does_not_run() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf).await;
        let caller = start_upload(&fleet.daemons[0]).await;
        let rep = change_and_finish(&fleet, caller, without_the_orders_route).await;
        assert_eq!((status(&rep), fleet.runs()), (404, 0), "{rep}");
    });
}

// Guards against an order that is refused because of a change which does not concern it.
#[test]
fn an_order_that_a_change_during_its_upload_does_not_concern_runs() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf).await;
        let caller = start_upload(&fleet.daemons[0]).await;
        let rep = change_and_finish(&fleet, caller, with_another_route).await;
        assert_eq!((status(&rep), fleet.runs()), (200, 1), "{rep}");
    });
}

// Guards against an order that is accepted by a proof which became too old during its upload.
#[test]
fn an_order_whose_key_can_not_be_confirmed_at_the_end_of_its_upload_does_not_run() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf).await;
        let daemon = &fleet.daemons[0];
        let caller = start_upload(daemon).await;
        eventually(|| daemon.node.active_requests() == 1).await;
        fleet.source.is_up.set(false);
        eventually(|| !daemon.node.is_conf_fresh()).await;
        let rep = finish_upload(caller).await;
        assert_eq!((status(&rep), fleet.runs()), (503, 0), "{rep}");
    });
}
