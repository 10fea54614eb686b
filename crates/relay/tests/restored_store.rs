//! After a restore of the store from a copy, daemons bring back their rows, and nothing that was acknowledged is lost.

mod common;

use std::rc::Rc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use common::{
    Act, Daemon, Fleet, Rows, announce_silent_neighbour, conf, eventually, fleet, on_one_thread, snapshot,
    status,
};
use conf::{KeyHasher, Snapshot};
use relay::datagram::RemovedPeer;
use relay::directory::{maintain_directory, remove_daemon};
use relay::gossip::Gossip;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Time in which a daemon writes its rows again.
const REWRITE_TIME: Duration = Duration::from_secs(1);
/// Time that requests of a restarted daemon are watched.
const WATCH_TIME: Duration = Duration::from_secs(1);

async fn fleet_of_two() -> Fleet {
    let fleet = fleet(&[&[Act::Answer], &[Act::Answer]], conf).await;
    eventually(|| fleet.daemons.iter().all(|d| fleet.rows.contain(&row_text(d)))).await;
    fleet
}

/// What the directory row of a daemon contains.
fn row_text(daemon: &Daemon) -> String {
    format!(r#""addr":"{}","#, daemon.node.identity.addr)
}

/// The store is restored from its copy, and all daemons learn of it.
fn restore(fleet: &Fleet) {
    fleet.rows.restore();
    for daemon in &fleet.daemons {
        daemon.node.hear_of_store_era(1);
    }
}

async fn gossip(daemon: &Daemon) -> Rc<Gossip> {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    Rc::new(Gossip::new(socket, daemon.node.metrics.datagram_bytes.clone()))
}

// Guards against daemons that no later one finds: the next regular read is due after 24 to 180 s.
#[test]
fn a_lost_directory_row_is_written_again() {
    on_one_thread(async {
        let fleet = fleet_of_two().await;
        let restored_at = Instant::now();
        restore(&fleet);
        assert!(!fleet.rows.contain("addr"));
        eventually(|| fleet.daemons.iter().all(|d| fleet.rows.contain(&row_text(d)))).await;
        let delay = restored_at.elapsed();
        assert!(delay < REWRITE_TIME, "{delay:?}");
    });
}

// Guards against rewrites that are given up because the store fails again after its restore.
#[test]
fn a_lost_directory_row_is_written_once_the_store_answers_again() {
    on_one_thread(async {
        let fleet = fleet_of_two().await;
        fleet.rows.is_down.store(true, SeqCst);
        restore(&fleet);
        sleep(REWRITE_TIME).await;
        fleet.rows.is_down.store(false, SeqCst);
        eventually(|| fleet.daemons.iter().all(|d| fleet.rows.contain(&row_text(d)))).await;
    });
}

// Guards against transactions of all daemons for rows that the copy holds.
#[test]
fn a_directory_row_that_the_copy_holds_is_not_written_again() {
    on_one_thread(async {
        let fleet = fleet_of_two().await;
        fleet.rows.copy();
        let before = fleet.rows.commits.load(SeqCst);
        restore(&fleet);
        sleep(REWRITE_TIME).await;
        assert_eq!(fleet.rows.commits.load(SeqCst), before);
    });
}

// Guards against requests for a server that has left, once the restored store lacks its departure.
#[test]
fn a_departure_acknowledged_before_a_restore_binds_a_daemon_that_is_restarted_after_it() {
    on_one_thread(async {
        let mut fleet = fleet(&[&[Act::Answer]], conf).await;
        fleet.rows.copy();
        fleet.daemons[0].acknowledge_departure().await;
        restore(&fleet);
        assert!(!fleet.rows.contain("born"));
        eventually(|| fleet.rows.contain("born")).await;
        let old = fleet.daemons.remove(0);
        let new = fleet.kill_and_restart(old).await;
        new.register(2, false);
        let until = Instant::now() + WATCH_TIME;
        while Instant::now() < until {
            let rep = new.get("/open/a", "late").await;
            assert_eq!((status(&rep), new.runs()), (503, 0), "{rep}");
            sleep(Duration::from_millis(100)).await;
        }
    });
}

// Guards against daemons that count as gone because the restored store lacks their rows.
#[test]
fn a_daemon_whose_row_was_lost_is_not_removed() {
    on_one_thread(async {
        let fleet = fleet_of_two().await;
        let daemon = &fleet.daemons[0];
        let empty = Rc::new(Rows::default());
        empty.restore();
        let reading =
            maintain_directory(Rc::clone(&daemon.node), gossip(daemon).await, Rc::clone(&empty) as _);
        let _reading = spawn_local(reading);
        eventually(|| empty.contain(&row_text(daemon))).await;
        assert_eq!(daemon.node.peers.borrow().member_count(), 2);
    });
}

// Guards against the deletion of a row to which the restored store gave the version of another one.
#[test]
fn a_removal_deletes_no_row_that_was_read_before_the_restore() {
    on_one_thread(async {
        let fleet = fleet_of_two().await;
        let daemon = &fleet.daemons[0];
        let place = r#"{"region":"meseta","data_centre":"barva"}"#;
        let row =
            format!(r#"{{"addr":"127.0.0.1:9","incarnation":1,"place":{place},"service":"sacristia"}}"#);
        let rows = Rows::with(&[("daemon/127.0.0.1:9", &row)]);
        daemon.node.hear_of_store_era(1);
        let addr = "127.0.0.1:9".parse().expect("an address");
        let removed = RemovedPeer { addr, incarnation: 1, forward: false };
        remove_daemon(&daemon.node, &*gossip(daemon).await, &rows, removed).await;
        assert!(rows.contain("127.0.0.1:9"));
    });
}

/// [`conf`] without its API key.
fn conf_without_key(hasher: &KeyHasher) -> Snapshot {
    snapshot(hasher, 2, &[], 1_000_000.0)
}

/// Kills the last daemon and starts it again, after a restore of the store from a copy with the first configuration.
async fn restart_after_restore(fleet: &mut Fleet) -> Daemon {
    fleet.source.make_snapshot.set(conf_without_key);
    eventually(|| fleet.daemons.iter().all(|d| d.node.conf_version() == 2)).await;
    fleet.source.make_snapshot.set(conf);
    fleet.rows.copy();
    restore(fleet);
    let old = fleet.daemons.pop().expect("a daemon");
    let new = fleet.kill_and_restart(old).await;
    new.node.hear_of_store_era(1);
    new
}

// Guards against a withdrawn key that works again at a daemon which starts while only the copy's configuration can be
// read.
#[test]
fn a_daemon_that_starts_after_a_restore_takes_a_neighbours_newer_configuration() {
    on_one_thread(async {
        let mut fleet = fleet_of_two().await;
        let new = restart_after_restore(&mut fleet).await;
        let until = Instant::now() + WATCH_TIME;
        while Instant::now() < until {
            assert_ne!(new.node.conf_version(), 1);
            let rep = new.get("/stock/a", "withdrawn").await;
            assert_ne!(status(&rep), 200, "{rep}");
            sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(new.node.conf_version(), 2);
    });
}

// Guards against a withdrawn key that works until a newer configuration has arrived, of which a neighbour has told.
#[test]
fn a_daemon_that_starts_after_a_restore_waits_for_a_newer_configuration() {
    on_one_thread(async {
        let mut fleet = fleet(&[&[Act::Answer]], conf).await;
        let new = restart_after_restore(&mut fleet).await;
        let silent = announce_silent_neighbour(&new, 2).await;
        sleep(WATCH_TIME).await;
        assert_eq!(new.node.conf_version(), 0);
        drop(silent);
        eventually(|| new.node.conf_version() == 1).await;
    });
}

// Guards against a daemon that never serves because nobody can tell it whether the copy's configuration is the newest.
#[test]
fn a_daemon_that_starts_alone_after_a_restore_uses_the_copys_configuration() {
    on_one_thread(async {
        let mut fleet = fleet(&[&[Act::Answer]], conf).await;
        let new = restart_after_restore(&mut fleet).await;
        eventually(|| new.node.conf_version() == 1 && new.node.is_conf_fresh()).await;
    });
}
