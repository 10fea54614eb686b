//! This daemon's row in the table, and what it learns from the rows of others.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use base::DaemonId;
use kernel::{Cx, StoreToken};
use rand::Rng;
use store::{Row, StoreError, StoreOp, StoreRep};
use wire::member::MemberState;

use crate::daemon_rows;
use crate::peer_table::Table;

/// Interval between reads of the table while no other daemon is known.
const READ_ALONE: Duration = Duration::from_secs(1);
/// Interval between reads of the table otherwise, so that a fleet of 560 makes 9 reads a second.
const READ_INTERVAL: Duration = Duration::from_mins(1);
/// Interval between attempts to write the own row.
const WRITE_RETRY: Duration = Duration::from_secs(5);
/// Time after which the row of a daemon that ended without leaving is deleted.
const STALE_ROW_AFTER: Duration = Duration::from_mins(10);

/// What the store knows of this daemon's row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum OwnRow {
    #[default]
    Absent,
    Writing(StoreToken),
    Written(u64),
    Deleting(StoreToken),
    Deleted,
}

/// Registration of this daemon.
#[derive(Debug, Default)]
pub(crate) struct Registration {
    row: OwnRow,
    read: Option<StoreToken>,
    next_read: Option<Instant>,
    next_write: Option<Instant>,
}

impl Registration {
    /// Whether the row is written.
    pub(crate) fn is_written(&self) -> bool {
        matches!(self.row, OwnRow::Written(_))
    }

    /// Whether the row is deleted for good.
    pub(crate) fn is_deleted(&self) -> bool {
        self.row == OwnRow::Deleted
    }

    /// Writes the row, or deletes it when the daemon stops, and reads the others' when it is time.
    pub(crate) fn keep(&mut self, cx: &mut Cx<'_>) {
        match self.row {
            OwnRow::Absent if !cx.board.stopping && self.next_write.is_none_or(|at| cx.now >= at) => {
                self.next_write = Some(cx.now + WRITE_RETRY);
                self.row =
                    OwnRow::Writing(cx.start_store_op(StoreOp::Commit(daemon_rows::register(&cx.board.me))));
            }
            OwnRow::Written(version) if cx.board.stopping => {
                let commit = daemon_rows::delete(cx.board.me.id, version);
                self.row = OwnRow::Deleting(cx.start_store_op(StoreOp::Commit(commit)));
            }
            _ => {}
        }
        let interval = if cx.board.members.is_empty() { READ_ALONE } else { READ_INTERVAL };
        let is_due = self.next_read.is_none_or(|at| cx.now >= at || at > cx.now + interval * 2);
        if is_due && self.read.is_none() && !cx.board.stopping {
            self.next_read = Some(cx.now + interval.mul_f64(cx.rng.random_range(0.5..1.5)));
            self.read = Some(cx.start_store_op(StoreOp::Range { prefix: daemon_rows::PREFIX.into() }));
        }
    }

    /// Takes the result of an operation.
    pub(crate) fn on_store(
        &mut self,
        cx: &mut Cx<'_>,
        table: &mut Table,
        token: StoreToken,
        res: &Result<StoreRep, StoreError>,
    ) {
        if self.row == OwnRow::Writing(token) {
            self.row = match res {
                Ok(StoreRep::Committed { version }) => OwnRow::Written(*version),
                _ => OwnRow::Absent,
            };
        } else if self.row == OwnRow::Deleting(token) {
            self.row = OwnRow::Deleted;
        } else if self.read.take_if(|t| *t == token).is_some()
            && let Ok(StoreRep::Rows(rows)) = res
        {
            self.take_rows(cx, table, rows);
        }
    }

    fn take_rows(&mut self, cx: &mut Cx<'_>, table: &mut Table, list: &[(Box<str>, Row)]) {
        let me = cx.board.me.id;
        let mut present = BTreeSet::new();
        for (key, row) in list {
            let Some(info) = daemon_rows::parse(key, row) else { continue };
            present.insert(info.id);
            if info.id == me {
                continue;
            }
            table.merge(cx.now, &info, false);
            note_gone(cx, table, info.id);
            clean(cx, table, info.id, row.version);
        }
        if !present.contains(&me) && self.is_written() {
            self.row = OwnRow::Absent;
        }
        let absent: Vec<_> =
            cx.board.dead_members.keys().filter(|id| !present.contains(id)).copied().collect();
        for id in absent {
            cx.board.dead_members.remove(&id);
            table.remove(id);
        }
    }
}

/// Counts a daemon for majorities that is not heard but known by a row or by hearsay.
pub(crate) fn note_gone(cx: &mut Cx<'_>, table: &Table, id: DaemonId) {
    if let Some(peer) = table.get(id)
        && peer.info.state == MemberState::Dead
    {
        cx.board.dead_members.insert(id, peer.info.place.clone());
    }
}

/// Deletes the row of a daemon that ended long ago; one living daemon is responsible for each row.
fn clean(cx: &mut Cx<'_>, table: &Table, id: DaemonId, version: u64) {
    let Some(peer) = table.get(id) else { return };
    let is_stale = peer.info.state == MemberState::Dead && cx.now >= peer.heard + STALE_ROW_AFTER;
    let owner = base::rendezvous::owner(&daemon_rows::key(id), cx.board.alive().into_iter());
    if is_stale && owner == Some(cx.board.me.id) {
        cx.start_store_op(StoreOp::Commit(daemon_rows::delete(id, version)));
    }
}
