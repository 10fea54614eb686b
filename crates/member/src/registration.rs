//! Registration of this daemon by a row in the store, and discovery of other daemons by their rows.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use base::DaemonId;
use kernel::{Cx, StoreToken};
use rand::Rng;
use store::{Row, StoreError, StoreOp, StoreRep};
use wire::member::MemberState;

use crate::daemon_rows;
use crate::peer_table::PeerTable;

/// Interval between reads of the daemons' rows while no other daemon is a member.
const READ_INTERVAL_ALONE: Duration = Duration::from_secs(1);
/// Mean interval between reads of the daemons' rows otherwise; a fleet of 560 makes 9 reads a second.
const READ_INTERVAL: Duration = Duration::from_mins(1);
/// Interval between attempts to write this daemon's row.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which the row of a failed daemon is deleted.
const DELETE_ROW_AFTER: Duration = Duration::from_mins(10);

/// State of this daemon's row in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum OwnRow {
    #[default]
    Absent,
    Writing(StoreToken),
    /// With the version of the row.
    Written(u64),
    Deleting(StoreToken),
    Deleted,
}

/// Registration of this daemon in the store.
#[derive(Debug, Default)]
pub(crate) struct Registration {
    own_row: OwnRow,
    pending_read: Option<StoreToken>,
    next_read: Option<Instant>,
    next_write: Option<Instant>,
}

impl Registration {
    /// Whether this daemon's row is in the store.
    pub(crate) fn is_written(&self) -> bool {
        matches!(self.own_row, OwnRow::Written(_))
    }

    /// Whether the stopping daemon's deletion of its row has ended. A failed deletion counts too; it is not
    /// repeated.
    pub(crate) fn is_deleted(&self) -> bool {
        self.own_row == OwnRow::Deleted
    }

    /// Writes this daemon's row, or deletes it when the daemon stops, and reads all rows when that is due.
    pub(crate) fn maintain(&mut self, cx: &mut Cx<'_>) {
        match self.own_row {
            OwnRow::Absent if !cx.board.stopping && self.next_write.is_none_or(|at| cx.now >= at) => {
                self.next_write = Some(cx.now + WRITE_RETRY_INTERVAL);
                self.own_row = OwnRow::Writing(
                    cx.start_store_op(StoreOp::Commit(daemon_rows::register_commit(&cx.board.me))),
                );
            }
            OwnRow::Written(version) if cx.board.stopping => {
                let commit = daemon_rows::delete_commit(cx.board.me.id, version);
                self.own_row = OwnRow::Deleting(cx.start_store_op(StoreOp::Commit(commit)));
            }
            _ => {}
        }
        let interval = if cx.board.members.is_empty() { READ_INTERVAL_ALONE } else { READ_INTERVAL };
        let is_due = self.next_read.is_none_or(|at| cx.now >= at || at > cx.now + interval * 2);
        if is_due && self.pending_read.is_none() && !cx.board.stopping {
            self.next_read = Some(cx.now + interval.mul_f64(cx.rng.random_range(0.5..1.5)));
            self.pending_read =
                Some(cx.start_store_op(StoreOp::Range { prefix: daemon_rows::PREFIX.into() }));
        }
    }

    /// Handles the result of a store operation.
    pub(crate) fn on_store(
        &mut self,
        cx: &mut Cx<'_>,
        table: &mut PeerTable,
        token: StoreToken,
        res: &Result<StoreRep, StoreError>,
    ) {
        if self.own_row == OwnRow::Writing(token) {
            self.own_row = match res {
                Ok(StoreRep::Committed { version }) => OwnRow::Written(*version),
                _ => OwnRow::Absent,
            };
        } else if self.own_row == OwnRow::Deleting(token) {
            self.own_row = OwnRow::Deleted;
        } else if self.pending_read.take_if(|t| *t == token).is_some()
            && let Ok(StoreRep::Rows(rows)) = res
        {
            self.process_rows(cx, table, rows);
        }
    }

    fn process_rows(&mut self, cx: &mut Cx<'_>, table: &mut PeerTable, list: &[(Box<str>, Row)]) {
        let me = cx.board.me.id;
        let mut present = BTreeSet::new();
        for (key, row) in list {
            let Some(info) = daemon_rows::parse_row(key, row) else { continue };
            present.insert(info.id);
            if info.id == me {
                continue;
            }
            table.merge(cx.now, &info, false);
            record_dead_member(cx, table, info.id);
            delete_stale_row(cx, table, info.id, row.version);
        }
        if !present.contains(&me) && self.is_written() {
            self.own_row = OwnRow::Absent;
        }
        let absent: Vec<_> =
            cx.board.dead_members.keys().filter(|id| !present.contains(id)).copied().collect();
        for id in absent {
            cx.board.dead_members.remove(&id);
            table.remove(id);
        }
    }
}

/// Counts a daemon towards the size of majorities if it is known by a row or by another daemon's
/// description but isn't heard.
pub(crate) fn record_dead_member(cx: &mut Cx<'_>, table: &PeerTable, id: DaemonId) {
    if let Some(peer) = table.get(id)
        && peer.info.state == MemberState::Dead
    {
        cx.board.dead_members.insert(id, peer.info.place.clone());
    }
}

/// Deletes the row of a daemon that failed long ago, if this daemon is the one member that is responsible
/// for it.
fn delete_stale_row(cx: &mut Cx<'_>, table: &PeerTable, id: DaemonId, version: u64) {
    let Some(peer) = table.get(id) else { return };
    let is_stale = peer.info.state == MemberState::Dead && cx.now >= peer.heard_at + DELETE_ROW_AFTER;
    let owner = base::rendezvous::owner(&daemon_rows::row_key(id), cx.board.alive().into_iter());
    if is_stale && owner == Some(cx.board.me.id) {
        cx.start_store_op(StoreOp::Commit(daemon_rows::delete_commit(id, version)));
    }
}
