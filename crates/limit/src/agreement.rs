//! How daemons agree on the `shares` row: confirming it, proposing and settling changes, fencing.

use std::time::{Duration, Instant};

use base::{DaemonId, Version, event};
use kernel::{ApiRep, Cx, StoreToken, Ticket};
use rand::seq::SliceRandom;
use store::{Check, Commit, Row, StoreError, StoreOp, StoreRep, Write};
use wire::limit::LimitMsg;

use crate::area::RateLimiter;
use crate::share_change::ShareChange;
use crate::shares::{SHARES_KEY, Shares, SharesRow};
use crate::times::LEASE_TTL;

/// Interval of queries to other holders while the store does not confirm the row.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the coordinator of a change asks for missing acknowledgements.
const ACK_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Most members that a daemon without a row asks for it at a time.
const MAX_ROW_SOURCES: usize = 8;
/// A daemon proposes the first row of a fleet no sooner than this after its start.
const FIRST_ROW_AFTER: Duration = Duration::from_millis(1_500);
/// Shortest interval between changes that one daemon proposes on its own.
const MIN_PROPOSAL_INTERVAL: Duration = Duration::from_millis(500);

impl RateLimiter {
    /// Handles a store read that was sent at `asked_at`; `row` is `None` if the row does not exist.
    pub(crate) fn on_store_read(&mut self, cx: &mut Cx<'_>, row: Option<&Row>, asked_at: Instant) {
        let Some(row) = row else {
            if let Some(lease) = self.lease.as_mut().filter(|r| r.version() == 0) {
                lease.rule_out_predecessor(cx.now);
            }
            self.propose_first_row(cx);
            return;
        };
        self.adopt_row(cx, row.version, &row.value);
        if let Some(lease) = &mut self.lease {
            lease.record_store_read(row.version, asked_at);
        }
        self.end_predecessor_wait(cx.now, row.version);
    }

    /// Ends the wait for delegations of an earlier process if this address holds no shares.
    fn end_predecessor_wait(&mut self, now: Instant, version: Version) {
        let Some(lease) = self.lease.as_mut().filter(|r| r.version() == version) else {
            return;
        };
        let may_have_held = lease.row().is_none_or(|row| {
            let earlier = row.earlier.as_ref().is_some_and(|e| e.holders.contains(&self.me));
            earlier || row.shares.holders.contains(&self.me)
        });
        if !may_have_held {
            lease.rule_out_predecessor(now);
        }
    }

    fn propose_first_row(&mut self, cx: &mut Cx<'_>) {
        let Some(conf) = cx.board.conf.clone() else {
            return;
        };
        let is_too_early = self.started_at.is_none_or(|at| cx.now < at + FIRST_ROW_AFTER);
        if is_too_early || self.row().is_some() || self.proposal.is_some() || cx.board.stopping {
            return;
        }
        let total = conf.fleet.shares.max(1) as usize;
        let mut holders = cx.board.alive();
        holders.truncate(total);
        let row = SharesRow { shares: Shares::spread_evenly(&holders, total), earlier: None, by: self.me };
        self.propose_row(cx, 0, &row, None);
    }

    /// Puts a row into force if it is newer than the known one.
    pub(crate) fn adopt_row(&mut self, cx: &mut Cx<'_>, version: Version, text: &str) {
        let Some(lease) = &mut self.lease else {
            return;
        };
        if version <= lease.version() {
            return;
        }
        let row = match SharesRow::parse(version, text) {
            Ok(row) => row,
            Err(e) => {
                // The known row is outdated and the newer one unreadable, so this daemon must not spend.
                lease.record_version(version);
                event!(Error, SharesStopped, "{e}");
                return;
            }
        };
        let mine: Vec<usize> = row.spendable_shares(self.me).collect();
        let loses_shares =
            lease.row().is_some_and(|old| old.spendable_shares(self.me).any(|s| !mine.contains(&s)));
        if loses_shares {
            self.issued.record_lost_shares();
        }
        let (total, settled) = (row.shares.owners.len(), row.is_settled());
        let count = row.share_count(self.me);
        lease.adopt(version, row, text);
        self.on_row_changed(total);
        self.change = (!settled).then(|| ShareChange::new(version, cx.now));
        if settled {
            event!(Info, SharesChanged, "version={version} mine={count}");
        } else {
            event!(Info, SharesUnsettled, "version={version} mine={count}");
        }
    }

    pub(crate) fn send_row(&mut self, cx: &mut Cx<'_>, to: DaemonId) {
        let Some(lease) = &self.lease else {
            return;
        };
        if let Some(text) = lease.row_text() {
            let msg = LimitMsg::Row { version: lease.version(), text: text.into() };
            self.outbox.send(cx, to, msg);
        }
    }

    /// Answers another daemon's query about the row.
    pub(crate) fn on_confirm(&mut self, cx: &mut Cx<'_>, from: DaemonId, seq: u64, version: Version) {
        let Some(lease) = &mut self.lease else {
            return;
        };
        lease.record_version(version);
        let clear = self.issued.lost_shares_expired(cx.now) && !lease.predecessor_may_have_delegated(cx.now);
        let (mine, known) = (lease.version(), lease.is_current());
        self.outbox.send(cx, from, LimitMsg::Confirmed { seq, version: mine, known, clear });
        if version > mine {
            self.outbox.send(cx, from, LimitMsg::WantRow);
        }
    }

    /// Handles the answer to a query about the row.
    pub(crate) fn on_confirmed(
        &mut self,
        cx: &mut Cx<'_>,
        from: DaemonId,
        seq: u64,
        (version, known, clear): (Version, bool, bool),
    ) {
        if let Some((_, asked_at)) = self.queries.get(&from).copied().filter(|q| q.0 == seq) {
            self.on_peer_version(cx, from, (version, known), asked_at);
        }
        if let Some(change) = &mut self.change
            && known
            && version >= change.version
        {
            change.record_ack(from, clear);
        }
    }

    /// Handles the version that another daemon stated in answer to a query sent at `asked_at`.
    pub(crate) fn on_peer_version(
        &mut self,
        cx: &mut Cx<'_>,
        from: DaemonId,
        (version, known): (Version, bool),
        asked_at: Instant,
    ) {
        let Some(lease) = &mut self.lease else {
            return;
        };
        lease.record_answer(from, version, known, asked_at);
        if version > lease.version() {
            self.outbox.send(cx, from, LimitMsg::WantRow);
        }
    }

    /// Queries other holders, or any members if no row is known, while the store does not confirm the row.
    pub(crate) fn query_holders(&mut self, cx: &mut Cx<'_>) {
        let Some(lease) = &self.lease else {
            return;
        };
        let is_confirmed =
            cx.now.checked_sub(LEASE_TTL / 3).is_some_and(|since| lease.is_confirmed_since(since));
        if is_confirmed || cx.now < self.next_query {
            return;
        }
        self.next_query = cx.now + QUERY_INTERVAL;
        let mut others: Vec<DaemonId> = cx.board.members.keys().copied().collect();
        let mut count = MAX_ROW_SOURCES;
        let mut wants_row = true;
        if let Some(row) = lease.row() {
            others = row.shares.holders.iter().copied().filter(|id| *id != self.me).collect();
            let needed = row.shares.quorum() + 1;
            count = needed + needed / 2 + 1;
            wants_row = !lease.is_current();
        }
        others.shuffle(cx.rng);
        others.truncate(count);
        for to in others {
            self.send_query(cx, to);
            if wants_row {
                self.outbox.send(cx, to, LimitMsg::WantRow);
            }
        }
    }

    fn send_query(&mut self, cx: &mut Cx<'_>, to: DaemonId) {
        self.seq += 1;
        self.queries.insert(to, (self.seq, cx.now));
        let version = self.lease.as_ref().map_or(0, crate::lease::ShareLease::version);
        self.outbox.send(cx, to, LimitMsg::Confirm { seq: self.seq, version });
    }

    /// Proposes a change if one is due, or works towards settling an unsettled change.
    pub(crate) fn drive_change(&mut self, cx: &mut Cx<'_>) {
        let Some(row) = self.row().cloned() else {
            return;
        };
        self.watch.update(cx.now, cx.board, &row);
        let known = self.lease.as_ref().is_some_and(crate::lease::ShareLease::is_current);
        if cx.board.store_down || !known {
            return;
        }
        if row.is_settled() {
            self.propose_next_change(cx, &row, None);
        } else {
            self.settle_change(cx, &row);
        }
    }

    fn propose_next_change(&mut self, cx: &mut Cx<'_>, row: &SharesRow, ticket: Option<Ticket>) -> bool {
        if self.proposal.is_some() || (cx.now < self.next_proposal && ticket.is_none()) {
            return false;
        }
        let Some(holders) = self.watch.next_holders(cx.now, cx.board, row) else {
            return false;
        };
        self.next_proposal = cx.now + MIN_PROPOSAL_INTERVAL;
        let next = SharesRow {
            shares: row.shares.rebalanced(&holders),
            earlier: Some(row.shares.clone()),
            by: self.me,
        };
        let version = self.lease.as_ref().map_or(0, crate::lease::ShareLease::version);
        self.propose_row(cx, version, &next, ticket);
        true
    }

    fn propose_row(&mut self, cx: &mut Cx<'_>, base: Version, row: &SharesRow, ticket: Option<Ticket>) {
        let token = commit_row(cx, base, row);
        self.proposal = Some((token, ticket));
    }

    fn settle_change(&mut self, cx: &mut Cx<'_>, row: &SharesRow) {
        let Some(mut change) = self.change.take() else {
            return;
        };
        if change.is_coordinated_here(cx.now, cx.board, row) {
            let predecessor_may_spend =
                self.lease.as_ref().is_none_or(|r| r.predecessor_may_have_delegated(cx.now));
            change.record_ack(self.me, self.issued.lost_shares_expired(cx.now) && !predecessor_may_spend);
            if cx.now >= change.next_ack_request {
                change.next_ack_request = cx.now + ACK_REQUEST_INTERVAL;
                let me = self.me;
                for to in change.missing_acks(row).into_iter().filter(|id| *id != me) {
                    self.send_query(cx, to);
                }
            }
            if change.settle_write.is_none() && change.may_settle(cx.now, row) {
                let settled = SharesRow { earlier: None, ..row.clone() };
                change.settle_write = Some(commit_row(cx, change.version, &settled));
            }
        }
        self.change = Some(change);
    }

    /// Handles the result of a write to the `shares` row.
    pub(crate) fn on_write_done(
        &mut self,
        cx: &mut Cx<'_>,
        token: StoreToken,
        res: &Result<StoreRep, StoreError>,
    ) {
        // The result of a settling write is not needed: the next store read shows the row.
        if let Some(change) = self.change.as_mut().filter(|c| c.settle_write == Some(token)) {
            change.settle_write = None;
        }
        if let Some((_, ticket)) = self.proposal.take_if(|(t, _)| *t == token) {
            if let Some(ticket) = ticket {
                cx.answer(ticket, fence_reply(res));
            }
            let counted = if res.is_ok() { "change-proposed" } else { "proposal-failed" };
            self.counters.add(counted, 1);
        }
    }

    /// Handles an operator's request to fence a silent daemon.
    pub(crate) fn on_fence_request(&mut self, cx: &mut Cx<'_>, ticket: Ticket, addr: &str) {
        let rep = match self.check_fence_request(cx, addr) {
            Ok((id, row)) => {
                self.watch.fence(cx.now, id);
                if self.propose_next_change(cx, &row, Some(ticket)) {
                    return;
                }
                let remedy = "see `blocked` of area `limit` in `pomeloctl status`, then retry";
                ApiRep::error(409, "fence-blocked", "no change of shares can be proposed now", remedy)
            }
            Err(rep) => rep,
        };
        cx.answer(ticket, rep);
    }

    fn check_fence_request(&self, cx: &Cx<'_>, addr: &str) -> Result<(DaemonId, SharesRow), ApiRep> {
        let refuse = |status, code, problem: &str, remedy| Err(ApiRep::error(status, code, problem, remedy));
        let Ok(id) = addr.parse::<DaemonId>() else {
            return refuse(
                400,
                "bad-address",
                "the address is not of the form IP:PORT",
                "give the daemon's peer address as IP:PORT",
            );
        };
        let Some(row) = self.row() else {
            return refuse(
                503,
                "no-shares",
                "this daemon has not read the shares row yet",
                "retry once the store answers",
            );
        };
        if cx.board.store_down {
            return refuse(503, "store-down", "the store does not answer", "retry once the store answers");
        }
        if row.share_count(id) == 0 {
            return refuse(
                404,
                "no-holder",
                "the daemon holds no shares",
                "see `holders` in `pomeloctl status`",
            );
        }
        if !row.is_settled() {
            return refuse(
                409,
                "unsettled",
                "an earlier change of shares is not settled",
                "retry in a few seconds",
            );
        }
        Ok((id, row.clone()))
    }

    /// Daemons whose acknowledgement the unsettled change still needs; shown to operators.
    pub(crate) fn unsettled_waits_for(&self) -> Vec<String> {
        let (Some(change), Some(row)) = (&self.change, self.row()) else {
            return Vec::new();
        };
        change.missing_acks(row).iter().map(ToString::to_string).collect()
    }
}

fn commit_row(cx: &mut Cx<'_>, base: Version, row: &SharesRow) -> StoreToken {
    let text = serde_json::to_string(row).unwrap_or_default();
    let checks = vec![Check { key: SHARES_KEY.into(), version: base }];
    cx.start_store_op(StoreOp::Commit(Commit { checks, writes: vec![Write::put(SHARES_KEY, &text)] }))
}

fn fence_reply(res: &Result<StoreRep, StoreError>) -> ApiRep {
    match res {
        Ok(_) => ApiRep::ok(serde_json::json!({ "state": "unsettled" })),
        Err(StoreError::Conflict { .. }) => ApiRep::error(
            409,
            "conflict",
            "another daemon changed the shares first",
            "see `holders` in `pomeloctl status`, then retry",
        ),
        Err(e) => {
            ApiRep::error(503, "store", &e.to_string(), "see `holders` in `pomeloctl status`, then retry")
        }
    }
}
