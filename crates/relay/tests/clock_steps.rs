//! Daemons that restart after the wall clock of their instance was set back.

mod common;

use std::time::{Duration, Instant};

use common::{Act, SERVICE, conf, eventually, fleet, on_one_thread};
use relay::datagram::Datagram;
use tokio::net::UdpSocket;
use tokio::time::sleep;

#[test]
fn a_daemon_that_restarts_with_an_earlier_clock_gets_work_again() {
    on_one_thread(async {
        let mut fleet = fleet(&[&[Act::Answer], &[Act::Answer]], conf).await;
        let old = fleet.daemons.remove(1);
        let old_incarnation = old.node.incarnation();
        let restarted = fleet.restart_with_earlier_clock(old).await;
        restarted.register(1, false);
        eventually(|| restarted.node.incarnation() > old_incarnation).await;
        // Statuses of the old process no longer count after this time.
        sleep(Duration::from_millis(1_200)).await;
        let other = &fleet.daemons[0].node;
        eventually(|| {
            let candidates = other.peers.borrow().candidates(SERVICE, &[], |_| true, Instant::now()).1;
            candidates.iter().any(|c| c.reachable)
        })
        .await;
    });
}

#[test]
fn a_start_that_no_process_can_have_does_not_raise_the_incarnation() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf).await;
        let node = &fleet.daemons[0].node;
        let before = node.incarnation();
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let message = postcard::to_stdvec(&Datagram::Superseded(u64::MAX)).expect("it is encoded");
        socket.send_to(&message, node.identity.addr).await.expect("the daemon listens");
        sleep(Duration::from_millis(200)).await;
        assert_eq!(node.incarnation(), before);
    });
}
