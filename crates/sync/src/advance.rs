//! Carries a change from stage to stage.

use base::{Version, event};
use conf::tree::{LoadProgress, chunk_digest, digest_to_hex, load_tree};
use conf::{Config, Digest};
use kernel::{ApiRep, Cx, StoreToken};
use serde_json::{Value, json};
use store::{Row, StoreError, StoreRep};

use crate::area::ConfigSync;
use crate::commit::{Job, Plan, Stage, Work, conflict};
use crate::edit::{Edit, apply_edit};
use crate::head::{Head, change_to_hex};

type Res = Result<StoreRep, StoreError>;

impl ConfigSync {
    /// Queues a change.
    pub(crate) fn enqueue(&mut self, cx: &mut Cx<'_>, job: Job) {
        if let Err(job) = self.commits.push(job) {
            let rep = ApiRep::error(503, "busy", "too many changes wait", "repeat the change later");
            return self.fail(cx, &job, rep);
        }
        self.commits.start_next(cx);
    }

    /// Handles the result of a store operation of the change under way.
    pub(crate) fn on_commit_store(&mut self, cx: &mut Cx<'_>, token: StoreToken, res: &Res) {
        let Some(mut work) = self.commits.work.take_if(|w| w.tokens.contains_key(&token)) else {
            return;
        };
        let chunk = work.tokens.remove(&token).flatten();
        let is_done = self.advance(cx, &mut work, chunk, res);
        self.put_back(cx, work, is_done);
    }

    /// Repeats operations that failed and refuses changes whose time is up.
    pub(crate) fn tick_commits(&mut self, cx: &mut Cx<'_>) {
        let Some(mut work) = self.commits.work.take() else {
            return self.commits.start_next(cx);
        };
        let is_late = cx.now >= work.give_up_at;
        if is_late {
            let rep = give_up(&work);
            self.fail(cx, &work.job, rep);
        } else {
            work.issue(cx);
        }
        self.put_back(cx, work, is_late);
    }

    /// Goes on with a change that waits for a newer version to be in force here.
    pub(crate) fn resume(&mut self, cx: &mut Cx<'_>) {
        if let Some(work) = self.commits.work.as_mut().filter(|w| matches!(w.stage, Stage::AwaitHead)) {
            work.go(cx, Stage::ReadHead);
        }
    }

    /// Stores withdrawals that no other daemon has stored.
    pub(crate) fn store_withdrawals(&mut self, cx: &mut Cx<'_>) {
        if cx.board.store_down || !self.commits.is_idle() || !self.withdrawals.is_due(cx.now, cx.rng) {
            return;
        }
        let edit = Edit::WithdrawKeys(self.withdrawals.list());
        let job = Job::new(cx, None, edit, None);
        self.enqueue(cx, job);
    }

    fn put_back(&mut self, cx: &mut Cx<'_>, work: Work, is_done: bool) {
        if !is_done {
            self.commits.work = Some(work);
            return;
        }
        self.commits.start_next(cx);
    }

    /// Returns whether the change has ended.
    fn advance(&mut self, cx: &mut Cx<'_>, work: &mut Work, chunk: Option<Digest>, res: &Res) -> bool {
        let stage = std::mem::replace(&mut work.stage, Stage::AwaitHead);
        match (stage, res) {
            (Stage::ReadHead, Ok(StoreRep::Row(row))) => self.on_head(cx, work, row.as_ref()),
            (Stage::ReadVersion(_), Ok(StoreRep::Row(row))) => self.on_version(cx, work, row.as_ref()),
            (Stage::ReadChunks(root, mut chunks), Ok(StoreRep::Object(Some(bytes)))) => {
                chunks.insert(chunk_digest(bytes), bytes.as_slice().into());
                work.made_progress(cx.now);
                self.on_old_chunks(cx, work, root, chunks)
            }
            (Stage::Put(plan), Ok(StoreRep::Stored)) => {
                self.metrics.chunks("to-store", 1);
                work.made_progress(cx.now);
                let is_last = plan.todo.is_empty() && work.tokens.is_empty();
                let stage = if is_last { Stage::Set(plan) } else { Stage::Put(plan) };
                if is_last {
                    work.go(cx, stage);
                } else {
                    work.stage = stage;
                    work.issue(cx);
                }
                false
            }
            (Stage::Set(plan), Ok(StoreRep::Committed { .. })) => self.committed(cx, work, *plan),
            (Stage::Set(plan), Err(e)) => {
                on_set_error(cx, work, plan, e);
                self.refuse_late(cx, work)
            }
            (Stage::Resolve(plan), Ok(StoreRep::Row(row))) => self.resolve(cx, work, plan, row.as_ref()),
            (stage, res) => {
                work.stage = stage;
                if let (Stage::Put(plan), Some(chunk)) = (&mut work.stage, chunk) {
                    plan.todo.push(chunk);
                }
                if res.is_ok() {
                    event!(Warn, StoreAmbiguous, "unexpected answer to a store operation");
                }
                work.retry_later(cx.now);
                self.refuse_late(cx, work)
            }
        }
    }

    fn on_head(&mut self, cx: &mut Cx<'_>, work: &mut Work, row: Option<&Row>) -> bool {
        let head = row.and_then(Head::from_head_row);
        let present = head.map_or(0, |h| h.version);
        let base = work.job.base;
        let own = cx.board.version();
        if let Some(base) = base.filter(|base| *base != present && present >= own) {
            return self.end_conflict(cx, work, base, present);
        }
        if present > own {
            work.stage = Stage::AwaitHead;
            if let Some(head) = head {
                // `resume` can't see this change while it is taken out, so look again at once.
                self.see_head(cx, &head, None);
            }
            if cx.board.version() < present {
                return false;
            }
            work.go(cx, Stage::ReadHead);
            return false;
        }
        if present < own || row.is_some() != head.is_some() {
            let problem = format!("the store has version {present}, this daemon has version {own}");
            let remedy = "check that all daemons use one store and that it lost nothing";
            let rep = ApiRep::error(503, "store-behind", &problem, remedy);
            self.fail(cx, &work.job, rep);
            return true;
        }
        if let Edit::Rollback(version) = work.job.edit {
            work.go(cx, Stage::ReadVersion(version));
            return false;
        }
        self.plan(cx, work, row.map_or(0, |r| r.version), present)
    }

    fn on_version(&mut self, cx: &mut Cx<'_>, work: &mut Work, row: Option<&Row>) -> bool {
        let Some(head) = row.and_then(Head::from_history_row) else {
            let remedy = "see `pomeloctl history` for the versions that are kept";
            let rep = ApiRep::error(404, "no-such-version", "the history has no such version", remedy);
            self.fail(cx, &work.job, rep);
            return true;
        };
        self.on_old_chunks(cx, work, head.root, self.tree.chunks.clone())
    }

    fn on_old_chunks(
        &mut self,
        cx: &mut Cx<'_>,
        work: &mut Work,
        root: Digest,
        chunks: conf::tree::Chunks,
    ) -> bool {
        match load_tree(&root, &chunks, &self.config) {
            Ok(LoadProgress::Complete(config)) => {
                work.job.edit = Edit::Replace(Box::new(config.without_keys()));
                work.go(cx, Stage::ReadHead);
                false
            }
            Ok(LoadProgress::Missing(_)) => {
                work.stage = Stage::ReadChunks(root, chunks);
                work.issue(cx);
                false
            }
            Err(e) => {
                let rep = ApiRep::error(422, "invalid", &e.to_string(), &e.remedy);
                self.fail(cx, &work.job, rep);
                true
            }
        }
    }

    fn plan(&mut self, cx: &mut Cx<'_>, work: &mut Work, row_version: u64, present: Version) -> bool {
        let version = present + 1;
        let planned = apply_edit(&self.config, &work.job.edit, cx.wall_ms)
            .and_then(|config| self.compiler.compile(&config, version).map(|snapshot| (config, snapshot)));
        let (config, snapshot) = match planned {
            Ok(planned) => planned,
            Err(e) => {
                let mut rep = ApiRep::error(422, "invalid", &e.to_string(), &e.remedy);
                rep.body["fault"] = serde_json::to_value(&e).unwrap_or(Value::Null);
                self.fail(cx, &work.job, rep);
                return true;
            }
        };
        let tree = conf::tree::build_tree(&config);
        if self.head.is_some_and(|h| h.root == tree.root) {
            self.succeed(cx, &work.job, present, false);
            return true;
        }
        let todo: Vec<_> =
            tree.chunks.keys().filter(|d| !self.tree.chunks.contains_key(*d)).copied().collect();
        let head = Head { version, root: tree.root, change: work.job.change };
        work.go(cx, Stage::Put(Box::new(Plan { head, row_version, config, tree, snapshot, todo })));
        false
    }

    fn committed(&mut self, cx: &mut Cx<'_>, work: &Work, plan: Plan) -> bool {
        let version = plan.head.version;
        event!(Info, ConfigCommitted, "version={version} change={}", change_to_hex(plan.head.change));
        self.adopt(cx, plan.head, plan.config, plan.tree, plan.snapshot);
        self.succeed(cx, &work.job, version, true);
        true
    }

    fn resolve(&mut self, cx: &mut Cx<'_>, work: &mut Work, plan: Box<Plan>, row: Option<&Row>) -> bool {
        match row.and_then(Head::from_history_row) {
            Some(head) if head.change == plan.head.change => self.committed(cx, work, *plan),
            Some(head) => self.overtaken(cx, work, plan.head.version - 1, head.version),
            None if work.had_conflict => self.overtaken(cx, work, plan.head.version - 1, plan.head.version),
            None => {
                work.go(cx, Stage::Set(plan));
                false
            }
        }
    }

    /// Another change took the version: this one provably had no effect.
    fn overtaken(&mut self, cx: &mut Cx<'_>, work: &mut Work, base: Version, present: Version) -> bool {
        work.is_maybe_applied = false;
        work.had_conflict = false;
        if work.job.edit.can_be_rebased() {
            self.metrics.change("overtaken");
            work.go(cx, Stage::ReadHead);
            return false;
        }
        self.end_conflict(cx, work, base, present)
    }

    fn end_conflict(&mut self, cx: &mut Cx<'_>, work: &Work, base: Version, present: Version) -> bool {
        event!(Info, ConfigConflict, "base={base} present={present}");
        self.fail(cx, &work.job, conflict(base, present));
        true
    }

    /// Refuses a change that had no effect and has failed for some time.
    fn refuse_late(&mut self, cx: &mut Cx<'_>, work: &Work) -> bool {
        if work.is_maybe_applied || cx.now < work.refuse_at {
            return false;
        }
        self.fail(cx, &work.job, store_down());
        true
    }

    fn succeed(&mut self, cx: &mut Cx<'_>, job: &Job, version: Version, is_change: bool) {
        let mut body = json!({ "version": version, "changed": is_change });
        if is_change {
            body["change"] = json!(change_to_hex(job.change));
        }
        if let (Some(body), Some(more)) = (body.as_object_mut(), job.answer.as_object()) {
            body.extend(more.iter().map(|(k, v)| (k.clone(), v.clone())));
        }
        if matches!(job.edit, Edit::WithdrawKeys(_)) {
            body["state"] = json!("in force and stored");
        }
        self.answer(cx, job, "committed", ApiRep::ok(body));
    }

    fn fail(&mut self, cx: &mut Cx<'_>, job: &Job, mut rep: ApiRep) {
        rep.body["change"] = json!(change_to_hex(job.change));
        let result = rep.body["error"].as_str().unwrap_or("error").to_owned();
        if matches!(job.edit, Edit::WithdrawKeys(_)) && rep.status == 503 {
            let body = json!({ "state": "in force, not yet stored", "reason": result });
            return self.answer(cx, job, "unstored", ApiRep { status: 202, body });
        }
        self.answer(cx, job, &result, rep);
    }

    fn answer(&mut self, cx: &mut Cx<'_>, job: &Job, result: &str, rep: ApiRep) {
        self.metrics.change(result);
        if let Some(ticket) = job.ticket {
            cx.answer(ticket, rep);
        }
    }
}

fn on_set_error(cx: &mut Cx<'_>, work: &mut Work, plan: Box<Plan>, error: &StoreError) {
    match error {
        StoreError::Conflict { .. } => {
            work.had_conflict = true;
            work.go(cx, Stage::Resolve(plan));
        }
        StoreError::Ambiguous => {
            event!(
                Warn,
                StoreAmbiguous,
                "version={} root={}",
                plan.head.version,
                digest_to_hex(&plan.head.root)
            );
            work.is_maybe_applied = true;
            work.had_conflict = false;
            work.go(cx, Stage::Resolve(plan));
        }
        StoreError::Down | StoreError::Refused { .. } => {
            work.stage = Stage::Set(plan);
            work.retry_later(cx.now);
        }
    }
}

fn store_down() -> ApiRep {
    let problem = "the store does not answer; the change was not made";
    ApiRep::error(503, "store-down", problem, "repeat the change when `pomeloctl status` shows the store up")
}

fn give_up(work: &Work) -> ApiRep {
    if work.is_maybe_applied {
        let change = change_to_hex(work.job.change);
        let problem = format!("the store does not say whether change {change} took effect");
        let remedy = "look for the change in `pomeloctl history` before you repeat it";
        ApiRep::error(503, "commit-unknown", &problem, remedy)
    } else if matches!(work.stage, Stage::AwaitHead) {
        let problem = "this daemon could not get the present version; the change was not made";
        ApiRep::error(503, "not-current", problem, "repeat the change at another daemon")
    } else {
        store_down()
    }
}

/// An operator's whole configuration, without the state of the fleet's keys.
pub(crate) fn replacement(source: &conf::source::Source) -> Edit {
    Edit::Replace(Box::new(Config::from_source(source)))
}
