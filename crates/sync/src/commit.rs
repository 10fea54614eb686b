//! Queue of configuration changes. One change at a time is committed: read the head row, write the new
//! chunks, set the head row by compare-and-set and, if the store's answer is lost or is a conflict, find out
//! by the history which change was committed.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use base::{ChangeId, Version};
use conf::tree::{Chunks, LoadProgress, Tree, digest_to_hex};
use conf::{Config, Digest, Snapshot};
use kernel::{ApiRep, Cx, StoreToken, Ticket};
use rand::RngCore;
use serde_json::Value;
use store::{Check, Commit, StoreOp, Write};

use crate::edit::Edit;
use crate::fetch::start_chunk_read;
use crate::head::{HEAD_ROW_KEY, HISTORY_VERSIONS_KEPT, Head, HistoryRow, change_to_hex, history_row_key};

/// Most changes that wait in this daemon.
const MAX_QUEUED_CHANGES: usize = 256;
/// Most chunks that are read or written concurrently.
const MAX_CHUNK_OPS: usize = 32;
/// Time between attempts of a store operation.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time without progress after which a failing change is refused if it provably had no effect.
const REFUSE_AFTER: Duration = Duration::from_secs(3);
/// Time without progress after which a change ends in any case; the answer then says if its effect is
/// unknown.
const GIVE_UP_AFTER: Duration = Duration::from_secs(8);
/// Longest time for a change that makes progress, such as one that writes every chunk to a slow store.
const MAX_CHANGE_TIME: Duration = Duration::from_mins(1);

/// A requested change of the configuration.
#[derive(Debug)]
pub(crate) struct ChangeRequest {
    /// Id of the change in the head row and in the history.
    pub(crate) change_id: ChangeId,
    /// Operator's request to answer; `None` if this daemon itself requested the change.
    pub(crate) ticket: Option<Ticket>,
    /// What to change.
    pub(crate) edit: Edit,
    /// Version that must be the committed one for the change to apply; `None` if any may be.
    pub(crate) base: Option<Version>,
    /// Fields of the answer besides version and change.
    pub(crate) extra_answer: Value,
}

impl ChangeRequest {
    pub(crate) fn new(cx: &mut Cx<'_>, ticket: Option<Ticket>, edit: Edit, base: Option<Version>) -> Self {
        let change_id = ChangeId::from(cx.rng.next_u64()) << 64 | ChangeId::from(cx.rng.next_u64());
        Self { change_id, ticket, edit, base, extra_answer: Value::Null }
    }
}

/// A new version, ready to be written to the store.
#[derive(Debug)]
pub(crate) struct PreparedCommit {
    pub(crate) head: Head,
    /// Version of the head row that the compare-and-set expects; 0 if there is no row.
    pub(crate) head_row_version: u64,
    pub(crate) config: Config,
    pub(crate) tree: Tree,
    pub(crate) snapshot: Snapshot,
    /// Chunks whose write has not been started or has failed.
    pub(crate) unwritten_chunks: Vec<Digest>,
}

/// Stage of a change. The store operations of each stage may be repeated.
#[derive(Debug)]
pub(crate) enum Stage {
    /// Reads the head row.
    ReadHead,
    /// Waits until the committed version is in force at this daemon.
    AwaitAdoption,
    /// Reads the history row of the version that a rollback restores.
    ReadHistory(Version),
    /// Reads chunks of that version; with its root and the chunks read so far.
    ReadChunks(Digest, Chunks),
    /// Writes the new version's chunks.
    WriteChunks(Box<PreparedCommit>),
    /// Sets the head row by compare-and-set.
    SetHead(Box<PreparedCommit>),
    /// Reads the new version's history row to find out whether the compare-and-set took effect.
    ResolveOutcome(Box<PreparedCommit>),
}

/// The change that is being committed.
#[derive(Debug)]
pub(crate) struct ActiveChange {
    pub(crate) request: ChangeRequest,
    pub(crate) stage: Stage,
    /// Store operations under way, each with the chunk that it concerns.
    pub(crate) pending_ops: HashMap<StoreToken, Option<Digest>>,
    pub(crate) retry_at: Instant,
    pub(crate) refuse_at: Instant,
    pub(crate) give_up_at: Instant,
    /// Latest time to which `refuse_at` and `give_up_at` are moved.
    pub(crate) final_deadline: Instant,
    /// Whether a compare-and-set was sent whose effect is unknown.
    pub(crate) may_be_applied: bool,
    /// Whether the last compare-and-set was answered with a conflict.
    pub(crate) had_conflict: bool,
}

/// Changes that were requested at this daemon.
#[derive(Debug, Default)]
pub(crate) struct ChangeQueue {
    pub(crate) active: Option<ActiveChange>,
    queue: VecDeque<ChangeRequest>,
}

impl ChangeQueue {
    /// Queues a change; returns it if too many wait.
    pub(crate) fn push(&mut self, request: ChangeRequest) -> Result<(), Box<ChangeRequest>> {
        if self.queue.len() >= MAX_QUEUED_CHANGES {
            return Err(Box::new(request));
        }
        self.queue.push_back(request);
        Ok(())
    }

    /// Whether no change is active or waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.active.is_none() && self.queue.is_empty()
    }

    /// Number of changes that are active or wait.
    pub(crate) fn len(&self) -> usize {
        self.queue.len() + usize::from(self.active.is_some())
    }

    /// Starts the next change if none is active.
    pub(crate) fn start_next(&mut self, cx: &mut Cx<'_>) {
        if self.active.is_some() {
            return;
        }
        let Some(request) = self.queue.pop_front() else {
            return;
        };
        let mut active = ActiveChange {
            request,
            stage: Stage::ReadHead,
            pending_ops: HashMap::new(),
            retry_at: cx.now,
            refuse_at: cx.now + REFUSE_AFTER,
            give_up_at: cx.now + GIVE_UP_AFTER,
            final_deadline: cx.now + MAX_CHANGE_TIME,
            may_be_applied: false,
            had_conflict: false,
        };
        active.start_store_ops(cx);
        self.active = Some(active);
    }
}

impl ActiveChange {
    /// Enters a stage and starts its store operations; results of earlier operations are ignored from now on.
    pub(crate) fn enter_stage(&mut self, cx: &mut Cx<'_>, stage: Stage) {
        self.stage = stage;
        self.pending_ops.clear();
        self.retry_at = cx.now;
        self.start_store_ops(cx);
    }

    /// Moves the deadlines after a chunk was read or written.
    pub(crate) fn extend_deadlines(&mut self, now: Instant) {
        self.refuse_at = self.final_deadline.min(now + REFUSE_AFTER);
        self.give_up_at = self.final_deadline.min(now + GIVE_UP_AFTER);
    }

    /// Lets the stage's store operations be repeated after [`RETRY_INTERVAL`].
    pub(crate) fn schedule_retry(&mut self, now: Instant) {
        self.retry_at = now + RETRY_INTERVAL;
    }

    /// Starts those store operations of the stage that are not under way.
    pub(crate) fn start_store_ops(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.retry_at {
            return;
        }
        match &self.stage {
            Stage::AwaitAdoption => {}
            Stage::ReadHead => self.start_single_op(cx, StoreOp::Get { key: HEAD_ROW_KEY.into() }),
            Stage::ReadHistory(version) => {
                let key = history_row_key(*version);
                self.start_single_op(cx, StoreOp::Get { key });
            }
            Stage::ResolveOutcome(prepared) => {
                let key = history_row_key(prepared.head.version);
                self.start_single_op(cx, StoreOp::Get { key });
            }
            Stage::SetHead(prepared) => {
                let op = set_head_op(prepared, self.request.edit.history_label(), cx);
                self.start_single_op(cx, op);
            }
            Stage::ReadChunks(..) => self.read_chunks(cx),
            Stage::WriteChunks(_) => self.write_chunks(cx),
        }
    }

    fn start_single_op(&mut self, cx: &mut Cx<'_>, op: StoreOp) {
        if self.pending_ops.is_empty() {
            let token = cx.start_store_op(op);
            self.pending_ops.insert(token, None);
        }
    }

    fn read_chunks(&mut self, cx: &mut Cx<'_>) {
        let Stage::ReadChunks(root, chunks) = &self.stage else {
            return;
        };
        if !self.pending_ops.is_empty() {
            return;
        }
        if let Ok(LoadProgress::Missing(missing)) = conf::tree::load_tree(root, chunks, &Config::default()) {
            for chunk in missing.into_iter().take(MAX_CHUNK_OPS) {
                self.pending_ops.insert(start_chunk_read(cx, &chunk), Some(chunk));
            }
        }
    }

    fn write_chunks(&mut self, cx: &mut Cx<'_>) {
        let Stage::WriteChunks(prepared) = &mut self.stage else {
            return;
        };
        while self.pending_ops.len() < MAX_CHUNK_OPS
            && let Some(chunk) = prepared.unwritten_chunks.pop()
        {
            let bytes = prepared.tree.chunks[&chunk].to_vec();
            let token = cx.start_store_op(StoreOp::PutObject { name: digest_to_hex(&chunk), bytes });
            self.pending_ops.insert(token, Some(chunk));
        }
    }
}

/// Transaction that sets the head row, adds the version's history row and deletes the one that is not kept
/// any longer.
fn set_head_op(prepared: &PreparedCommit, label: &str, cx: &Cx<'_>) -> StoreOp {
    let head = &prepared.head;
    let history = HistoryRow {
        version: head.version,
        root: digest_to_hex(&head.root),
        change: change_to_hex(head.change),
        what: label.into(),
        at_ms: cx.wall_ms,
        by: cx.board.me.id.to_string().into(),
    };
    let history = serde_json::to_string(&history).unwrap_or_default();
    let mut writes = vec![
        Write::put(HEAD_ROW_KEY, &head.to_row_text()),
        Write::put(&history_row_key(head.version), &history),
    ];
    if head.version > HISTORY_VERSIONS_KEPT {
        writes.push(Write::delete(&history_row_key(head.version - HISTORY_VERSIONS_KEPT)));
    }
    let checks = vec![Check { key: HEAD_ROW_KEY.into(), version: prepared.head_row_version }];
    StoreOp::Commit(Commit { checks, writes })
}

/// Refusal of a change that builds on another version than the committed one.
pub(crate) fn conflict_refusal(base: Version, present: Version) -> ApiRep {
    let problem = format!("the change builds on version {base}, but version {present} is committed");
    let remedy = "see `pomeloctl diff` and `pomeloctl history`, then repeat on top of the present version";
    let mut rep = ApiRep::error(409, "conflict", &problem, remedy);
    rep.body["base"] = base.into();
    rep.body["present"] = present.into();
    rep
}
