//! Commits one change at a time: read the head, put chunks, compare-and-set, resolve lost answers.

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
use crate::fetch::read;
use crate::head::{HEAD_ROW_KEY, HISTORY_VERSIONS_KEPT, Head, HistoryRow, change_to_hex, history_row_key};

/// Changes that may wait in one daemon.
const QUEUE: usize = 256;
/// Chunks written at once.
const PUT_WINDOW: usize = 32;
/// Time between tries of a store operation.
const RETRY: Duration = Duration::from_millis(200);
/// Time after which a change that provably had no effect is refused.
const REFUSE_AFTER: Duration = Duration::from_secs(3);
/// Time without progress after which a change ends with what is known about it.
const GIVE_UP_AFTER: Duration = Duration::from_secs(8);
/// Longest time for a change that makes progress, e.g. one that writes every chunk to a slow store.
const LONGEST: Duration = Duration::from_mins(1);

/// A change asked for.
#[derive(Debug)]
pub(crate) struct Job {
    /// Id in the head and in the history.
    pub(crate) change: ChangeId,
    /// Who waits for the answer; none: this daemon's own work.
    pub(crate) ticket: Option<Ticket>,
    /// The change.
    pub(crate) edit: Edit,
    /// Version on which it must build; none: any.
    pub(crate) base: Option<Version>,
    /// What the answer contains besides version and change.
    pub(crate) answer: Value,
}

impl Job {
    pub(crate) fn new(cx: &mut Cx<'_>, ticket: Option<Ticket>, edit: Edit, base: Option<Version>) -> Self {
        let change = ChangeId::from(cx.rng.next_u64()) << 64 | ChangeId::from(cx.rng.next_u64());
        Self { change, ticket, edit, base, answer: Value::Null }
    }
}

/// A change that is ready to be written.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) head: Head,
    /// Version of the head row on which it builds.
    pub(crate) row_version: u64,
    pub(crate) config: Config,
    pub(crate) tree: Tree,
    pub(crate) snapshot: Snapshot,
    /// Chunks not yet written.
    pub(crate) todo: Vec<Digest>,
}

/// How far a change is. Each stage has store operations that may be repeated.
#[derive(Debug)]
pub(crate) enum Stage {
    /// Reads the head row.
    ReadHead,
    /// Waits until this daemon has the head in force.
    AwaitHead,
    /// Reads the history row of the version to roll back to.
    ReadVersion(Version),
    /// Reads chunks of that version.
    ReadChunks(Digest, Chunks),
    /// Writes chunks.
    Put(Box<Plan>),
    /// Compares and sets the head.
    Set(Box<Plan>),
    /// Reads the history to see whether the compare-and-set took effect.
    Resolve(Box<Plan>),
}

/// The change on its way.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) job: Job,
    pub(crate) stage: Stage,
    /// Store operations under way, with the chunk that they concern.
    pub(crate) tokens: HashMap<StoreToken, Option<Digest>>,
    pub(crate) retry_at: Instant,
    pub(crate) refuse_at: Instant,
    pub(crate) give_up_at: Instant,
    /// Neither deadline is moved beyond this one.
    pub(crate) end: Instant,
    /// Whether a compare-and-set was sent whose effect is not known.
    pub(crate) is_maybe_applied: bool,
    /// Whether the last compare-and-set was answered with a conflict.
    pub(crate) had_conflict: bool,
}

/// Changes of one daemon.
#[derive(Debug, Default)]
pub(crate) struct Commits {
    pub(crate) work: Option<Work>,
    queue: VecDeque<Job>,
}

impl Commits {
    /// Queues a change; gives it back when too many wait.
    pub(crate) fn push(&mut self, job: Job) -> Result<(), Box<Job>> {
        if self.queue.len() >= QUEUE {
            return Err(Box::new(job));
        }
        self.queue.push_back(job);
        Ok(())
    }

    /// Whether nothing is under way or waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.work.is_none() && self.queue.is_empty()
    }

    /// Number of changes that are under way or wait.
    pub(crate) fn len(&self) -> usize {
        self.queue.len() + usize::from(self.work.is_some())
    }

    /// Starts the next change if none is under way.
    pub(crate) fn start_next(&mut self, cx: &mut Cx<'_>) {
        if self.work.is_some() {
            return;
        }
        let Some(job) = self.queue.pop_front() else {
            return;
        };
        let mut work = Work {
            job,
            stage: Stage::ReadHead,
            tokens: HashMap::new(),
            retry_at: cx.now,
            refuse_at: cx.now + REFUSE_AFTER,
            give_up_at: cx.now + GIVE_UP_AFTER,
            end: cx.now + LONGEST,
            is_maybe_applied: false,
            had_conflict: false,
        };
        work.issue(cx);
        self.work = Some(work);
    }
}

impl Work {
    /// Goes to a stage and starts its store operations.
    pub(crate) fn go(&mut self, cx: &mut Cx<'_>, stage: Stage) {
        self.stage = stage;
        self.tokens.clear();
        self.retry_at = cx.now;
        self.issue(cx);
    }

    /// Moves the deadlines after a chunk was read or written.
    pub(crate) fn made_progress(&mut self, now: Instant) {
        self.refuse_at = self.end.min(now + REFUSE_AFTER);
        self.give_up_at = self.end.min(now + GIVE_UP_AFTER);
    }

    /// Plans to repeat the stage's operations.
    pub(crate) fn retry_later(&mut self, now: Instant) {
        self.retry_at = now + RETRY;
    }

    /// Starts the store operations of the present stage that are not under way.
    pub(crate) fn issue(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.retry_at {
            return;
        }
        match &self.stage {
            Stage::AwaitHead => {}
            Stage::ReadHead => self.one(cx, StoreOp::Get { key: HEAD_ROW_KEY.into() }),
            Stage::ReadVersion(version) => {
                let key = history_row_key(*version);
                self.one(cx, StoreOp::Get { key });
            }
            Stage::Resolve(plan) => {
                let key = history_row_key(plan.head.version);
                self.one(cx, StoreOp::Get { key });
            }
            Stage::Set(plan) => {
                let op = set_head(plan, self.job.edit.history_label(), cx);
                self.one(cx, op);
            }
            Stage::ReadChunks(..) => self.read_chunks(cx),
            Stage::Put(_) => self.put(cx),
        }
    }

    fn one(&mut self, cx: &mut Cx<'_>, op: StoreOp) {
        if self.tokens.is_empty() {
            let token = cx.start_store_op(op);
            self.tokens.insert(token, None);
        }
    }

    fn read_chunks(&mut self, cx: &mut Cx<'_>) {
        let Stage::ReadChunks(root, chunks) = &self.stage else {
            return;
        };
        if !self.tokens.is_empty() {
            return;
        }
        if let Ok(LoadProgress::Missing(missing)) = conf::tree::load_tree(root, chunks, &Config::default()) {
            for chunk in missing.into_iter().take(PUT_WINDOW) {
                self.tokens.insert(read(cx, &chunk), Some(chunk));
            }
        }
    }

    fn put(&mut self, cx: &mut Cx<'_>) {
        let Stage::Put(plan) = &mut self.stage else {
            return;
        };
        while self.tokens.len() < PUT_WINDOW
            && let Some(chunk) = plan.todo.pop()
        {
            let bytes = plan.tree.chunks[&chunk].to_vec();
            let token = cx.start_store_op(StoreOp::PutObject { name: digest_to_hex(&chunk), bytes });
            self.tokens.insert(token, Some(chunk));
        }
    }
}

/// The transaction: the head and its history row, and the end of the oldest one.
fn set_head(plan: &Plan, what: &str, cx: &Cx<'_>) -> StoreOp {
    let head = &plan.head;
    let history = HistoryRow {
        version: head.version,
        root: digest_to_hex(&head.root),
        change: change_to_hex(head.change),
        what: what.into(),
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
    let checks = vec![Check { key: HEAD_ROW_KEY.into(), version: plan.row_version }];
    StoreOp::Commit(Commit { checks, writes })
}

/// Refusal for a change built on another version than the present one.
pub(crate) fn conflict(base: Version, present: Version) -> ApiRep {
    let problem = format!("the change builds on version {base}, but version {present} is committed");
    let remedy = "see `pomeloctl diff` and `pomeloctl history`, then repeat on top of the present version";
    let mut rep = ApiRep::error(409, "conflict", &problem, remedy);
    rep.body["base"] = base.into();
    rep.body["present"] = present.into();
    rep
}
