//! How daemons agree on the `shares` row: questions, acknowledgements, proposals, settling, fencing.

use std::time::{Duration, Instant};

use base::{DaemonId, Version, event};
use kernel::{ApiRep, Cx, StoreToken, Ticket};
use rand::seq::SliceRandom;
use store::{Check, Commit, Row, StoreError, StoreOp, StoreRep, Write};
use wire::limit::LimitMsg;

use crate::area::RateLimiter;
use crate::share_change::Change;
use crate::shares::{SHARES_KEY, Shares, SharesRow};
use crate::times::LEASE_TTL;

/// Interval of questions to other holders while the store does not confirm the row.
const QUESTION_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of questions for acknowledgements of a change.
const ACK_INTERVAL: Duration = Duration::from_millis(300);
/// Members that a daemon without a row asks for it at once.
const ROW_SOURCES: usize = 8;
/// Time from the start after which a daemon may make the first row.
const FIRST_ROW_AFTER: Duration = Duration::from_millis(1_500);
/// Interval between proposals of one daemon.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(500);

impl RateLimiter {
    /// The store was read; none if the row does not exist.
    pub(crate) fn read(&mut self, cx: &mut Cx<'_>, row: Option<&Row>, asked_at: Instant) {
        let Some(row) = row else {
            if let Some(rights) = self.rights.as_mut().filter(|r| r.version() == 0) {
                rights.had_none(cx.now);
            }
            self.make_first_row(cx);
            return;
        };
        self.adopt(cx, row.version, &row.value);
        if let Some(rights) = &mut self.rights {
            rights.read(row.version, asked_at);
        }
        self.end_quiet(cx.now, row.version);
    }

    /// A process on an address without shares has no predecessor's delegations to wait out.
    fn end_quiet(&mut self, now: Instant, version: Version) {
        let Some(rights) = self.rights.as_mut().filter(|r| r.version() == version) else {
            return;
        };
        let held = rights.row().is_none_or(|row| {
            let earlier = row.earlier.as_ref().is_some_and(|e| e.holders.contains(&self.me));
            earlier || row.shares.holders.contains(&self.me)
        });
        if !held {
            rights.had_none(now);
        }
    }

    fn make_first_row(&mut self, cx: &mut Cx<'_>) {
        let Some(conf) = cx.board.conf.clone() else {
            return;
        };
        let early = self.started.is_none_or(|at| cx.now < at + FIRST_ROW_AFTER);
        if early || self.row().is_some() || self.proposal.is_some() || cx.board.stopping {
            return;
        }
        let total = conf.fleet.shares.max(1) as usize;
        let mut holders = cx.board.alive();
        holders.truncate(total);
        let row = SharesRow { shares: Shares::spread_evenly(&holders, total), earlier: None, by: self.me };
        self.propose(cx, 0, &row, None);
    }

    /// Takes a row in if it is newer.
    pub(crate) fn adopt(&mut self, cx: &mut Cx<'_>, version: Version, text: &str) {
        let Some(rights) = &mut self.rights else {
            return;
        };
        if version <= rights.version() {
            return;
        }
        let row = match SharesRow::parse(version, text) {
            Ok(row) => row,
            Err(e) => {
                // The number alone stops spending: the row in force is not known.
                rights.see(version);
                event!(Error, SharesStopped, "{e}");
                return;
            }
        };
        let mine: Vec<usize> = row.spendable_shares(self.me).collect();
        let loses = rights.row().is_some_and(|old| old.spendable_shares(self.me).any(|s| !mine.contains(&s)));
        if loses {
            self.holder.lost();
        }
        let (total, settled) = (row.shares.owners.len(), row.is_settled());
        let count = row.share_count(self.me);
        rights.adopt(version, row, text);
        self.row_changed(total);
        self.change = (!settled).then(|| Change::new(version, cx.now));
        if settled {
            event!(Info, SharesChanged, "version={version} mine={count}");
        } else {
            event!(Info, SharesUnsettled, "version={version} mine={count}");
        }
    }

    pub(crate) fn tell_row(&mut self, cx: &mut Cx<'_>, to: DaemonId) {
        let Some(rights) = &self.rights else {
            return;
        };
        if let Some(text) = rights.text() {
            let msg = LimitMsg::Row { version: rights.version(), text: text.into() };
            self.outbox.send(cx, to, msg);
        }
    }

    /// Answers a question about the row.
    pub(crate) fn confirm(&mut self, cx: &mut Cx<'_>, from: DaemonId, seq: u64, version: Version) {
        let Some(rights) = &mut self.rights else {
            return;
        };
        rights.see(version);
        let clear = self.holder.is_clear(cx.now) && !rights.is_quiet(cx.now);
        let (mine, known) = (rights.version(), rights.is_known());
        self.outbox.send(cx, from, LimitMsg::Confirmed { seq, version: mine, known, clear });
        if version > mine {
            self.outbox.send(cx, from, LimitMsg::WantRow);
        }
    }

    /// Takes an answer about the row in.
    pub(crate) fn confirmed(
        &mut self,
        cx: &mut Cx<'_>,
        from: DaemonId,
        seq: u64,
        (version, known, clear): (Version, bool, bool),
    ) {
        if let Some((_, asked_at)) = self.questions.get(&from).copied().filter(|q| q.0 == seq) {
            self.pulled(cx, from, (version, known), asked_at);
        }
        if let Some(change) = &mut self.change
            && known
            && version >= change.version
        {
            change.ack(from, clear);
        }
    }

    /// Another daemon answered a question sent at `asked_at`.
    pub(crate) fn pulled(
        &mut self,
        cx: &mut Cx<'_>,
        from: DaemonId,
        (version, known): (Version, bool),
        asked_at: Instant,
    ) {
        let Some(rights) = &mut self.rights else {
            return;
        };
        rights.hear(from, version, known, asked_at);
        if version > rights.version() {
            self.outbox.send(cx, from, LimitMsg::WantRow);
        }
    }

    /// Asks other holders while the store does not confirm the row.
    pub(crate) fn question(&mut self, cx: &mut Cx<'_>) {
        let Some(rights) = &self.rights else {
            return;
        };
        let fresh = cx.now.checked_sub(LEASE_TTL / 3).is_some_and(|since| rights.is_fresh(since));
        if fresh || cx.now < self.next_question {
            return;
        }
        self.next_question = cx.now + QUESTION_INTERVAL;
        let mut others: Vec<DaemonId> = cx.board.members.keys().copied().collect();
        let mut count = ROW_SOURCES;
        let mut wants_row = true;
        if let Some(row) = rights.row() {
            others = row.shares.holders.iter().copied().filter(|id| *id != self.me).collect();
            let needed = row.shares.quorum() + 1;
            count = needed + needed / 2 + 1;
            wants_row = !rights.is_known();
        }
        others.shuffle(cx.rng);
        others.truncate(count);
        for to in others {
            self.ask(cx, to);
            if wants_row {
                self.outbox.send(cx, to, LimitMsg::WantRow);
            }
        }
    }

    fn ask(&mut self, cx: &mut Cx<'_>, to: DaemonId) {
        self.seq += 1;
        self.questions.insert(to, (self.seq, cx.now));
        let version = self.rights.as_ref().map_or(0, crate::lease::Rights::version);
        self.outbox.send(cx, to, LimitMsg::Confirm { seq: self.seq, version });
    }

    /// Proposes a change if one is due, or brings the unsettled one further.
    pub(crate) fn drive_change(&mut self, cx: &mut Cx<'_>) {
        let Some(row) = self.row().cloned() else {
            return;
        };
        self.watch.observe(cx.now, cx.board, &row);
        let known = self.rights.as_ref().is_some_and(crate::lease::Rights::is_known);
        if cx.board.store_down || !known {
            return;
        }
        if row.is_settled() {
            self.propose_next(cx, &row, None);
        } else {
            self.settle(cx, &row);
        }
    }

    fn propose_next(&mut self, cx: &mut Cx<'_>, row: &SharesRow, ticket: Option<Ticket>) -> bool {
        if self.proposal.is_some() || (cx.now < self.next_proposal && ticket.is_none()) {
            return false;
        }
        let Some(holders) = self.watch.next(cx.now, cx.board, row) else {
            return false;
        };
        self.next_proposal = cx.now + PROPOSAL_INTERVAL;
        let next = SharesRow {
            shares: row.shares.rebalanced(&holders),
            earlier: Some(row.shares.clone()),
            by: self.me,
        };
        let version = self.rights.as_ref().map_or(0, crate::lease::Rights::version);
        self.propose(cx, version, &next, ticket);
        true
    }

    fn propose(&mut self, cx: &mut Cx<'_>, base: Version, row: &SharesRow, ticket: Option<Ticket>) {
        let token = write(cx, base, row);
        self.proposal = Some((token, ticket));
    }

    fn settle(&mut self, cx: &mut Cx<'_>, row: &SharesRow) {
        let Some(mut change) = self.change.take() else {
            return;
        };
        if change.is_mine(cx.now, cx.board, row) {
            let quiet = self.rights.as_ref().is_none_or(|r| r.is_quiet(cx.now));
            change.ack(self.me, self.holder.is_clear(cx.now) && !quiet);
            if cx.now >= change.next_ask {
                change.next_ask = cx.now + ACK_INTERVAL;
                let me = self.me;
                for to in change.missing(row).into_iter().filter(|id| *id != me) {
                    self.ask(cx, to);
                }
            }
            if change.write.is_none() && change.may_settle(cx.now, row) {
                let settled = SharesRow { earlier: None, ..row.clone() };
                change.write = Some(write(cx, change.version, &settled));
            }
        }
        self.change = Some(change);
    }

    /// A write of this area ended.
    pub(crate) fn written(&mut self, cx: &mut Cx<'_>, token: StoreToken, res: &Result<StoreRep, StoreError>) {
        // The row itself comes back with the next read, whatever became of the answer.
        if let Some(change) = self.change.as_mut().filter(|c| c.write == Some(token)) {
            change.write = None;
        }
        if let Some((_, ticket)) = self.proposal.take_if(|(t, _)| *t == token) {
            if let Some(ticket) = ticket {
                cx.answer(ticket, fence_answer(res));
            }
            let counted = if res.is_ok() { "change-proposed" } else { "proposal-failed" };
            self.counters.add(counted, 1);
        }
    }

    /// An operator fences a silent daemon.
    pub(crate) fn fence(&mut self, cx: &mut Cx<'_>, ticket: Ticket, addr: &str) {
        let rep = match self.may_fence(cx, addr) {
            Ok((id, row)) => {
                self.watch.fence(cx.now, id);
                if self.propose_next(cx, &row, Some(ticket)) {
                    return;
                }
                let remedy = "see `blocked` of area `limit` in `pomeloctl status` and repeat";
                ApiRep::error(409, "fence-blocked", "no change can be proposed now", remedy)
            }
            Err(rep) => rep,
        };
        cx.answer(ticket, rep);
    }

    fn may_fence(&self, cx: &Cx<'_>, addr: &str) -> Result<(DaemonId, SharesRow), ApiRep> {
        let refuse = |status, code, problem: &str, remedy| Err(ApiRep::error(status, code, problem, remedy));
        let Ok(id) = addr.parse::<DaemonId>() else {
            return refuse(400, "bad-address", "not an address", "name the daemon's peer address as IP:PORT");
        };
        let Some(row) = self.row() else {
            return refuse(
                503,
                "no-shares",
                "the shares row is not known here",
                "repeat when the store answers",
            );
        };
        if cx.board.store_down {
            return refuse(503, "store-down", "the store does not answer", "repeat when the store answers");
        }
        if row.share_count(id) == 0 {
            return refuse(
                404,
                "no-holder",
                "the daemon holds no shares",
                "see holders in `pomeloctl status`",
            );
        }
        if !row.is_settled() {
            return refuse(409, "unsettled", "an earlier change is not settled", "repeat in some seconds");
        }
        Ok((id, row.clone()))
    }

    /// Daemons for which an unsettled change waits, for operators.
    pub(crate) fn waits_for(&self) -> Vec<String> {
        let (Some(change), Some(row)) = (&self.change, self.row()) else {
            return Vec::new();
        };
        change.missing(row).iter().map(ToString::to_string).collect()
    }
}

fn write(cx: &mut Cx<'_>, base: Version, row: &SharesRow) -> StoreToken {
    let text = serde_json::to_string(row).unwrap_or_default();
    let checks = vec![Check { key: SHARES_KEY.into(), version: base }];
    cx.store(StoreOp::Commit(Commit { checks, writes: vec![Write::put(SHARES_KEY, &text)] }))
}

fn fence_answer(res: &Result<StoreRep, StoreError>) -> ApiRep {
    match res {
        Ok(_) => ApiRep::ok(serde_json::json!({ "state": "unsettled" })),
        Err(StoreError::Conflict { .. }) => ApiRep::error(
            409,
            "conflict",
            "another change came first",
            "see holders in `pomeloctl status`, repeat",
        ),
        Err(e) => ApiRep::error(503, "store", &e.to_string(), "see holders in `pomeloctl status`, repeat"),
    }
}
