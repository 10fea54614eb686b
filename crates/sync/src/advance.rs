//! Advances a change of the configuration through the stages of its commit and answers the operator.

use base::{Version, event};
use conf::tree::{LoadProgress, chunk_digest, digest_to_hex, load_tree};
use conf::{Config, Digest};
use kernel::{ApiRep, Cx, StoreToken};
use serde_json::{Value, json};
use store::{Row, StoreError, StoreRep};

use crate::area::ConfigSync;
use crate::commit::{ActiveChange, ChangeRequest, PreparedCommit, Stage, conflict_refusal};
use crate::edit::{Edit, apply_edit};
use crate::head::{Head, change_to_hex};

type StoreResult = Result<StoreRep, StoreError>;

impl ConfigSync {
    /// Queues a change; refuses it at once if too many wait.
    pub(crate) fn enqueue_change(&mut self, cx: &mut Cx<'_>, request: ChangeRequest) {
        if let Err(request) = self.changes.push(request) {
            let rep = ApiRep::error(503, "busy", "too many changes wait", "repeat the change later");
            return self.refuse_change(cx, &request, rep);
        }
        self.changes.start_next(cx);
    }

    /// Handles the result of a store operation of the active change; other tokens are ignored.
    pub(crate) fn on_change_store(&mut self, cx: &mut Cx<'_>, token: StoreToken, res: &StoreResult) {
        let Some(mut active) = self.changes.active.take_if(|a| a.pending_ops.contains_key(&token)) else {
            return;
        };
        let chunk = active.pending_ops.remove(&token).flatten();
        let is_done = self.advance(cx, &mut active, chunk, res);
        self.keep_unless_done(cx, active, is_done);
    }

    /// Repeats failed store operations of the active change, or ends the change if its time is up.
    pub(crate) fn tick_changes(&mut self, cx: &mut Cx<'_>) {
        let Some(mut active) = self.changes.active.take() else {
            return self.changes.start_next(cx);
        };
        let is_late = cx.now >= active.give_up_at;
        if is_late {
            let rep = give_up_refusal(&active);
            self.refuse_change(cx, &active.request, rep);
        } else {
            active.start_store_ops(cx);
        }
        self.keep_unless_done(cx, active, is_late);
    }

    /// Continues with the active change if it waits for a newer version to be in force here.
    pub(crate) fn resume_change(&mut self, cx: &mut Cx<'_>) {
        if let Some(active) = self.changes.active.as_mut().filter(|a| matches!(a.stage, Stage::AwaitAdoption))
        {
            active.enter_stage(cx, Stage::ReadHead);
        }
    }

    /// Queues a change that stores the known key withdrawals, if that is due and no other change waits.
    pub(crate) fn store_withdrawals(&mut self, cx: &mut Cx<'_>) {
        if cx.board.store_down || !self.changes.is_idle() || !self.withdrawals.take_due(cx.now, cx.rng) {
            return;
        }
        let edit = Edit::WithdrawKeys(self.withdrawals.list());
        let request = ChangeRequest::new(cx, None, edit, None);
        self.enqueue_change(cx, request);
    }

    fn keep_unless_done(&mut self, cx: &mut Cx<'_>, active: ActiveChange, is_done: bool) {
        if !is_done {
            self.changes.active = Some(active);
            return;
        }
        self.changes.start_next(cx);
    }

    /// Applies the result of a store operation to the active change; `chunk` is the chunk that the operation
    /// concerned. Returns whether the change has ended.
    fn advance(
        &mut self,
        cx: &mut Cx<'_>,
        active: &mut ActiveChange,
        chunk: Option<Digest>,
        res: &StoreResult,
    ) -> bool {
        let stage = std::mem::replace(&mut active.stage, Stage::AwaitAdoption);
        match (stage, res) {
            (Stage::ReadHead, Ok(StoreRep::Row(row))) => self.on_head(cx, active, row.as_ref()),
            (Stage::ReadHistory(_), Ok(StoreRep::Row(row))) => self.on_history_row(cx, active, row.as_ref()),
            (Stage::ReadChunks(root, mut chunks), Ok(StoreRep::Object(Some(bytes)))) => {
                chunks.insert(chunk_digest(bytes), bytes.as_slice().into());
                active.extend_deadlines(cx.now);
                self.load_rollback_target(cx, active, root, chunks)
            }
            (Stage::WriteChunks(prepared), Ok(StoreRep::Stored)) => {
                self.metrics.count_chunks("to-store", 1);
                active.extend_deadlines(cx.now);
                let is_last = prepared.unwritten_chunks.is_empty() && active.pending_ops.is_empty();
                let stage = if is_last { Stage::SetHead(prepared) } else { Stage::WriteChunks(prepared) };
                if is_last {
                    active.enter_stage(cx, stage);
                } else {
                    active.stage = stage;
                    active.start_store_ops(cx);
                }
                false
            }
            (Stage::SetHead(prepared), Ok(StoreRep::Committed { .. })) => {
                self.on_committed(cx, active, *prepared)
            }
            (Stage::SetHead(prepared), Err(e)) => {
                on_set_head_error(cx, active, prepared, e);
                self.refuse_if_overdue(cx, active)
            }
            (Stage::ResolveOutcome(prepared), Ok(StoreRep::Row(row))) => {
                self.resolve_outcome(cx, active, prepared, row.as_ref())
            }
            (stage, res) => {
                active.stage = stage;
                if let (Stage::WriteChunks(prepared), Some(chunk)) = (&mut active.stage, chunk) {
                    prepared.unwritten_chunks.push(chunk);
                }
                if res.is_ok() {
                    event!(Warn, StoreAmbiguous, "unexpected result of a store operation; it is repeated");
                }
                active.schedule_retry(cx.now);
                self.refuse_if_overdue(cx, active)
            }
        }
    }

    /// Compares the committed version (`present`) with the one in force here and with the change's base.
    /// Refuses the change, waits until the committed version is in force here, or continues.
    fn on_head(&mut self, cx: &mut Cx<'_>, active: &mut ActiveChange, row: Option<&Row>) -> bool {
        let head = row.and_then(Head::from_head_row);
        let present = head.map_or(0, |h| h.version);
        let base = active.request.base;
        let own = cx.board.version();
        if let Some(base) = base.filter(|base| *base != present && present >= own) {
            return self.refuse_conflict(cx, active, base, present);
        }
        if present > own {
            active.stage = Stage::AwaitAdoption;
            if let Some(head) = head {
                // Adopting the head calls `resume_change`, which doesn't find this change while it is taken
                // out of the queue; so check the version below.
                self.on_head_seen(cx, &head, None);
            }
            if cx.board.version() < present {
                return false;
            }
            active.enter_stage(cx, Stage::ReadHead);
            return false;
        }
        if present < own || row.is_some() != head.is_some() {
            let problem = format!("the store has version {present}, this daemon has version {own}");
            let remedy = "check that all daemons use one store and that it lost nothing";
            let rep = ApiRep::error(503, "store-behind", &problem, remedy);
            self.refuse_change(cx, &active.request, rep);
            return true;
        }
        if let Edit::Rollback(version) = active.request.edit {
            active.enter_stage(cx, Stage::ReadHistory(version));
            return false;
        }
        self.prepare_commit(cx, active, row.map_or(0, |r| r.version), present)
    }

    /// Starts to load the version that a rollback restores.
    fn on_history_row(&mut self, cx: &mut Cx<'_>, active: &mut ActiveChange, row: Option<&Row>) -> bool {
        let Some(head) = row.and_then(Head::from_history_row) else {
            let remedy = "see `pomeloctl history` for the versions that are kept";
            let rep = ApiRep::error(404, "no-such-version", "the history has no such version", remedy);
            self.refuse_change(cx, &active.request, rep);
            return true;
        };
        self.load_rollback_target(cx, active, head.root, self.tree.chunks.clone())
    }

    /// Makes a rollback a replacement by the old version's content, once all chunks of that version are read.
    fn load_rollback_target(
        &mut self,
        cx: &mut Cx<'_>,
        active: &mut ActiveChange,
        root: Digest,
        chunks: conf::tree::Chunks,
    ) -> bool {
        match load_tree(&root, &chunks, &self.config) {
            Ok(LoadProgress::Complete(config)) => {
                active.request.edit = Edit::Replace(Box::new(config.without_keys()));
                active.enter_stage(cx, Stage::ReadHead);
                false
            }
            Ok(LoadProgress::Missing(_)) => {
                active.stage = Stage::ReadChunks(root, chunks);
                active.start_store_ops(cx);
                false
            }
            Err(e) => {
                let rep = ApiRep::error(422, "invalid", &e.to_string(), &e.remedy);
                self.refuse_change(cx, &active.request, rep);
                true
            }
        }
    }

    /// Applies the edit to the configuration in force, which is the committed one (version `present`), and
    /// starts to write the chunks that the result adds.
    fn prepare_commit(
        &mut self,
        cx: &mut Cx<'_>,
        active: &mut ActiveChange,
        head_row_version: u64,
        present: Version,
    ) -> bool {
        let version = present + 1;
        let edited = apply_edit(&self.config, &active.request.edit, cx.wall_ms)
            .and_then(|config| self.compiler.compile(&config, version).map(|snapshot| (config, snapshot)));
        let (config, snapshot) = match edited {
            Ok(edited) => edited,
            Err(e) => {
                let mut rep = ApiRep::error(422, "invalid", &e.to_string(), &e.remedy);
                rep.body["fault"] = serde_json::to_value(&e).unwrap_or(Value::Null);
                self.refuse_change(cx, &active.request, rep);
                return true;
            }
        };
        let tree = conf::tree::build_tree(&config);
        if self.head.is_some_and(|h| h.root == tree.root) {
            self.confirm_change(cx, &active.request, present, false);
            return true;
        }
        let unwritten_chunks: Vec<_> =
            tree.chunks.keys().filter(|d| !self.tree.chunks.contains_key(*d)).copied().collect();
        let head = Head { version, root: tree.root, change: active.request.change_id };
        active.enter_stage(
            cx,
            Stage::WriteChunks(Box::new(PreparedCommit {
                head,
                head_row_version,
                config,
                tree,
                snapshot,
                unwritten_chunks,
            })),
        );
        false
    }

    fn on_committed(&mut self, cx: &mut Cx<'_>, active: &ActiveChange, prepared: PreparedCommit) -> bool {
        let version = prepared.head.version;
        event!(Info, ConfigCommitted, "version={version} change={}", change_to_hex(prepared.head.change));
        self.adopt(cx, prepared.head, prepared.config, prepared.tree, prepared.snapshot);
        self.confirm_change(cx, &active.request, version, true);
        true
    }

    /// Decides by the history row of the version whether this change took effect, another one did, or
    /// neither.
    fn resolve_outcome(
        &mut self,
        cx: &mut Cx<'_>,
        active: &mut ActiveChange,
        prepared: Box<PreparedCommit>,
        row: Option<&Row>,
    ) -> bool {
        match row.and_then(Head::from_history_row) {
            Some(head) if head.change == prepared.head.change => self.on_committed(cx, active, *prepared),
            Some(head) => self.on_overtaken(cx, active, prepared.head.version - 1, head.version),
            None if active.had_conflict => {
                self.on_overtaken(cx, active, prepared.head.version - 1, prepared.head.version)
            }
            None => {
                active.enter_stage(cx, Stage::SetHead(prepared));
                false
            }
        }
    }

    /// Handles that another change was committed as this version, so that this one provably had no effect.
    fn on_overtaken(
        &mut self,
        cx: &mut Cx<'_>,
        active: &mut ActiveChange,
        base: Version,
        present: Version,
    ) -> bool {
        active.may_be_applied = false;
        active.had_conflict = false;
        if active.request.edit.can_be_rebased() {
            self.metrics.count_change("overtaken");
            active.enter_stage(cx, Stage::ReadHead);
            return false;
        }
        self.refuse_conflict(cx, active, base, present)
    }

    fn refuse_conflict(
        &mut self,
        cx: &mut Cx<'_>,
        active: &ActiveChange,
        base: Version,
        present: Version,
    ) -> bool {
        event!(Info, ConfigConflict, "base={base} present={present}");
        self.refuse_change(cx, &active.request, conflict_refusal(base, present));
        true
    }

    /// Refuses a change that provably had no effect and has made no progress for `REFUSE_AFTER`.
    fn refuse_if_overdue(&mut self, cx: &mut Cx<'_>, active: &ActiveChange) -> bool {
        if active.may_be_applied || cx.now < active.refuse_at {
            return false;
        }
        self.refuse_change(cx, &active.request, store_down_refusal());
        true
    }

    fn confirm_change(
        &mut self,
        cx: &mut Cx<'_>,
        request: &ChangeRequest,
        version: Version,
        is_change: bool,
    ) {
        let mut body = json!({ "version": version, "changed": is_change });
        if is_change {
            body["change"] = json!(change_to_hex(request.change_id));
        }
        if let (Some(body), Some(more)) = (body.as_object_mut(), request.extra_answer.as_object()) {
            body.extend(more.iter().map(|(k, v)| (k.clone(), v.clone())));
        }
        if matches!(request.edit, Edit::WithdrawKeys(_)) {
            body["state"] = json!("in force and stored");
        }
        self.answer_request(cx, request, "committed", ApiRep::ok(body));
    }

    /// Answers with a refusal. A withdrawal that was refused for now still is in force, and is stored later.
    fn refuse_change(&mut self, cx: &mut Cx<'_>, request: &ChangeRequest, mut rep: ApiRep) {
        rep.body["change"] = json!(change_to_hex(request.change_id));
        let result = rep.body["error"].as_str().unwrap_or("error").to_owned();
        if matches!(request.edit, Edit::WithdrawKeys(_)) && rep.status == 503 {
            let body = json!({ "state": "in force, not yet stored", "reason": result });
            return self.answer_request(cx, request, "unstored", ApiRep { status: 202, body });
        }
        self.answer_request(cx, request, &result, rep);
    }

    fn answer_request(&mut self, cx: &mut Cx<'_>, request: &ChangeRequest, result: &str, rep: ApiRep) {
        self.metrics.count_change(result);
        if let Some(ticket) = request.ticket {
            cx.answer(ticket, rep);
        }
    }
}

/// Handles a failed compare-and-set. After a conflict or a lost answer the history shows the outcome; other
/// failures had no effect, so the operation is repeated.
fn on_set_head_error(
    cx: &mut Cx<'_>,
    active: &mut ActiveChange,
    prepared: Box<PreparedCommit>,
    error: &StoreError,
) {
    match error {
        StoreError::Conflict { .. } => {
            active.had_conflict = true;
            active.enter_stage(cx, Stage::ResolveOutcome(prepared));
        }
        StoreError::Ambiguous | StoreError::Outdated { .. } => {
            event!(
                Warn,
                StoreAmbiguous,
                "version={} root={}",
                prepared.head.version,
                digest_to_hex(&prepared.head.root)
            );
            active.may_be_applied = true;
            active.had_conflict = false;
            active.enter_stage(cx, Stage::ResolveOutcome(prepared));
        }
        StoreError::Down | StoreError::Refused { .. } => {
            active.stage = Stage::SetHead(prepared);
            active.schedule_retry(cx.now);
        }
    }
}

fn store_down_refusal() -> ApiRep {
    let problem = "the store does not answer; the change was not made";
    ApiRep::error(503, "store-down", problem, "repeat the change when `pomeloctl status` shows the store up")
}

/// Refusal of a change whose time is up.
fn give_up_refusal(active: &ActiveChange) -> ApiRep {
    if active.may_be_applied {
        let change = change_to_hex(active.request.change_id);
        let problem = format!("the store does not say whether change {change} took effect");
        let remedy = "look for the change in `pomeloctl history` before you repeat it";
        ApiRep::error(503, "commit-unknown", &problem, remedy)
    } else if matches!(active.stage, Stage::AwaitAdoption) {
        let problem = "this daemon could not get the present version; the change was not made";
        ApiRep::error(503, "not-current", problem, "repeat the change at another daemon")
    } else {
        store_down_refusal()
    }
}

/// Edit that replaces everything but keys by an operator's configuration.
pub(crate) fn replacement_edit(source: &conf::source::Source) -> Edit {
    Edit::Replace(Box::new(Config::from_source(source)))
}
