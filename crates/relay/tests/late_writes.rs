//! Writes of the directory that the store carries out late must not undo later ones.

mod common;

use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};

use async_trait::async_trait;
use base::StoreStamp;
use common::{Act, Daemon, Rows, conf, eventually, fleet, on_one_thread};
use relay::datagram::RemovedPeer;
use relay::directory::{maintain_directory, remove_daemon};
use relay::gossip::Gossip;
use store::{Commit, Row, StoreError, StoreOp, Table};
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// A table whose transactions get no answer and are carried out only when the test wants it.
#[derive(Clone, Default)]
struct LateTable {
    rows: Arc<Rows>,
    late: Arc<Mutex<Vec<Commit>>>,
}

impl LateTable {
    fn late(&self) -> std::sync::MutexGuard<'_, Vec<Commit>> {
        self.late.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Carries out the first transaction, if its conditions still hold.
    fn carry_out(&self) {
        let commit = self.late().remove(0);
        let _conflict = self.rows.apply(&StoreOp::Commit(commit));
    }
}

#[async_trait]
impl Table for LateTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        self.rows.get(key).await
    }

    async fn range(&self, prefix: &str) -> Result<Vec<(Box<str>, Row)>, StoreError> {
        self.rows.range(prefix).await
    }

    async fn commit(&self, commit: &Commit) -> Result<StoreStamp, StoreError> {
        self.late().push(commit.clone());
        Err(StoreError::Ambiguous)
    }
}

async fn gossip(daemon: &Daemon) -> Rc<Gossip> {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    Rc::new(Gossip::new(socket, daemon.node.metrics.datagram_bytes.clone()))
}

/// Writes the row of the process `incarnation` of the daemon at `addr`.
fn write_row(rows: &Rows, addr: &str, incarnation: u64) {
    let place = r#"{"region":"meseta","data_centre":"barva"}"#;
    let row =
        format!(r#"{{"addr":"{addr}","incarnation":{incarnation},"place":{place},"service":"sacristia"}}"#);
    rows.write(&format!("daemon/{addr}"), &row);
}

#[test]
fn a_late_removal_keeps_the_row_of_a_later_process() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf).await;
        let daemon = &fleet.daemons[0];
        let table = LateTable::default();
        write_row(&table.rows, "127.0.0.1:9", 1);
        let addr = "127.0.0.1:9".parse().expect("an address");
        let removed = RemovedPeer { addr, incarnation: 1, forward: false };
        remove_daemon(&daemon.node, &*gossip(daemon).await, &table, removed).await;
        write_row(&table.rows, "127.0.0.1:9", 2);
        table.carry_out();
        assert!(table.rows.contain(r#""incarnation":2"#));
    });
}

#[test]
fn a_late_row_does_not_replace_that_of_a_later_process() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf).await;
        let daemon = &fleet.daemons[0];
        let table = LateTable::default();
        let directory = Rc::new(table.clone());
        let writing = maintain_directory(Rc::clone(&daemon.node), gossip(daemon).await, directory);
        let process = spawn_local(writing);
        eventually(|| !table.late().is_empty()).await;
        process.abort();
        write_row(&table.rows, &daemon.node.identity.addr.to_string(), 2);
        table.carry_out();
        assert!(table.rows.contain(r#""incarnation":2"#));
    });
}
