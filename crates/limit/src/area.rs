//! The area: ties shares, delegations and grants to the kernel.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{DaemonId, event};
use conf::Snapshot;
use kernel::{ApiReq, Area, AreaEntry, Cx, Event, Report, Setup, StoreToken, Ticket};
use serde_json::{Value, json};
use store::{Row, StoreError, StoreRep};
use wire::Msg;
use wire::limit::{Cell, LimitMsg, Part, Want};

use crate::aggregator::AggregatedCells;
use crate::cells::Aggregators;
use crate::counters::Counters;
use crate::delegations::Holder;
use crate::lease::Rights;
use crate::outbox::Outbox;
use crate::prefetch::{PrefetchContext, Prefetcher};
use crate::share_change::{Change, Watch};
use crate::shares::{SHARES_KEY, SharesRow};
use crate::times::{
    DELEGATION_REQUEST_INTERVAL, GRANT_TTL, MAX_DELEGATION_REQUESTS_PER_S, from_ms, with_drift_margin,
};

kernel::inventory::submit! {
    AreaEntry { name: "limit", order: 50, build: |setup| Box::new(RateLimiter::new(setup)) }
}

/// Messages of this daemon to itself that are handled in one turn.
const MAX_OWN_MESSAGES: usize = 4_096;
/// Longest time of a graceful stop that this area holds up.
const STOP_LIMIT: Duration = Duration::from_secs(20);
/// Interval of housekeeping.
const EVICT_INTERVAL: Duration = Duration::from_secs(1);

/// A question to a holder.
#[derive(Debug)]
struct Asked {
    seq: u64,
    at: Instant,
    cells: Vec<Cell>,
}

/// Fleet-wide rates and bursts of one daemon.
#[derive(Debug)]
pub struct RateLimiter {
    pub(crate) me: DaemonId,
    /// Random number of this process, told to holders.
    epoch: u64,
    pub(crate) seq: u64,
    pub(crate) rights: Option<Rights>,
    pub(crate) holder: Holder,
    aggregated: AggregatedCells,
    prefetcher: Prefetcher,
    aggregators: Aggregators,
    /// Cells that this daemon aggregates.
    cells: Vec<Cell>,
    /// Cells given up whose grants still live, with the holders to be told.
    returning: BTreeMap<Cell, Vec<DaemonId>>,
    asked: HashMap<DaemonId, Asked>,
    next_ask: Instant,
    next_evict: Instant,
    pub(crate) outbox: Outbox,
    pub(crate) watch: Watch,
    pub(crate) change: Option<Change>,
    /// A write of the row under way, and who waits for it.
    pub(crate) proposal: Option<(StoreToken, Option<Ticket>)>,
    pub(crate) next_proposal: Instant,
    pub(crate) questions: HashMap<DaemonId, (u64, Instant)>,
    pub(crate) next_question: Instant,
    pub(crate) started: Option<Instant>,
    may_spend: bool,
    stop_by: Option<Instant>,
    stopped: bool,
    pub(crate) counters: Counters,
}

impl RateLimiter {
    /// Makes the area.
    pub fn new(setup: &Setup) -> Self {
        let now = Instant::now();
        let me = setup.me.id;
        Self {
            me,
            epoch: 0,
            seq: 0,
            rights: None,
            holder: Holder::default(),
            aggregated: AggregatedCells::default(),
            prefetcher: Prefetcher::new(me, now),
            aggregators: Aggregators::default(),
            cells: Vec::new(),
            returning: BTreeMap::new(),
            asked: HashMap::new(),
            next_ask: now,
            next_evict: now,
            outbox: Outbox::default(),
            watch: Watch::default(),
            change: None,
            proposal: None,
            next_proposal: now,
            questions: HashMap::new(),
            next_question: now,
            started: None,
            may_spend: false,
            stop_by: None,
            stopped: false,
            counters: Counters::new(&setup.registry),
        }
    }

    pub(crate) fn row(&self) -> Option<&SharesRow> {
        self.rights.as_ref()?.row()
    }

    /// Starts on the first input: the clock is that of the inputs.
    fn start(&mut self, cx: &mut Cx<'_>) {
        self.started = Some(cx.now);
        self.epoch = rand::RngCore::next_u64(cx.rng) ^ cx.board.me.incarnation;
        self.rights = Some(Rights::new(self.me, cx.now));
        self.prefetcher = Prefetcher::new(self.me, cx.now);
        self.prefetcher.start_seq_at(cx.wall_ms);
        self.seq = cx.wall_ms << 20;
        self.next_ask = cx.now;
        self.next_evict = cx.now;
        self.next_proposal = cx.now;
        self.next_question = cx.now;
        self.follow_members(cx);
    }

    fn follow_members(&mut self, cx: &mut Cx<'_>) {
        self.aggregators = Aggregators::new(cx.board);
        let region = cx.board.me.place.region.clone();
        self.cells = self.aggregators.cells_of(&region, self.me);
        let conf = cx.board.conf.clone().unwrap_or_default();
        let mut lost = self.aggregated.delegated_cells();
        lost.retain(|cell| !self.cells.contains(cell));
        for cell in lost {
            let holders = self.aggregated.drop_delegations(cx.now, &conf.customers, &[cell]);
            self.returning.entry(cell).or_default().extend(holders);
            // Answers to questions asked before must not count any more.
            self.asked.clear();
        }
        self.returning.retain(|cell, _| !self.cells.contains(cell));
        let pools = Arc::clone(cx.pools);
        let context = PrefetchContext {
            now: cx.now,
            pools: &pools,
            aggregators: &self.aggregators,
            region: &region,
            customers: &conf.customers,
        };
        self.prefetcher.on_members_changed(context);
        self.next_ask = cx.now;
    }

    /// Asks the region's holders for delegations.
    fn ask_holders(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.next_ask || self.cells.is_empty() {
            return;
        }
        let Some(row) = self.row() else {
            return;
        };
        let region = &cx.board.me.place.region;
        let is_near = |id: &DaemonId| {
            *id == self.me || cx.board.members.get(id).is_some_and(|m| m.place.region == *region)
        };
        let holders: Vec<_> = row.shares.holders.iter().copied().filter(is_near).collect();
        let paced = Duration::from_secs(1) * holders.len() as u32 / MAX_DELEGATION_REQUESTS_PER_S;
        self.next_ask = cx.now + DELEGATION_REQUEST_INTERVAL.max(paced);
        self.seq += 1;
        let (seq, epoch) = (self.seq, self.epoch);
        for id in holders {
            let cells = self.cells.clone();
            self.asked.insert(id, Asked { seq, at: cx.now, cells: cells.clone() });
            self.outbox.send(cx, id, LimitMsg::WantShares { seq, epoch, cells });
        }
    }

    fn delegate(&mut self, cx: &mut Cx<'_>, from: DaemonId, seq: u64, epoch: u64, cells: &[Cell]) {
        let Some(rights) = &self.rights else {
            return;
        };
        let (Some(until), Some(row)) = (rights.until(cx.now), rights.row()) else {
            self.counters.add("no-right-to-delegate", 1);
            return;
        };
        let to = ((from, epoch), seq);
        let (ttl_ms, parts) = self.holder.delegate(cx.now, self.me, row, until, to, cells);
        self.counters.add("cell-delegated-elsewhere", (cells.len() - parts.len()) as u64);
        self.outbox.send(cx, from, LimitMsg::Delegate { seq, ttl_ms, parts });
    }

    fn delegated(&mut self, cx: &mut Cx<'_>, from: DaemonId, seq: u64, ttl_ms: u32, parts: &[Part]) {
        let Some(asked) = self.asked.get(&from).filter(|a| a.seq == seq) else {
            self.counters.add("late-delegation", 1);
            return;
        };
        let conf = cx.board.conf.clone().unwrap_or_default();
        let until = asked.at + from_ms(ttl_ms);
        self.aggregated.apply_delegation(cx.now, &conf.customers, (from, seq), until, &asked.cells, parts);
    }

    /// Tells holders about cells given up, once nothing granted from them can be spent.
    fn return_cells(&mut self, cx: &mut Cx<'_>) {
        let over: Vec<Cell> =
            self.returning.keys().copied().filter(|c| !self.aggregated.has_grants(*c)).collect();
        for cell in over {
            self.seq += 1;
            for to in self.returning.remove(&cell).unwrap_or_default() {
                let msg = LimitMsg::Return { seq: self.seq, epoch: self.epoch, cells: vec![cell] };
                self.outbox.send(cx, to, msg);
            }
        }
    }

    fn grant(&mut self, cx: &mut Cx<'_>, from: DaemonId, seq: u64, wants: &[Want]) {
        let conf = cx.board.conf.clone().unwrap_or_default();
        let aggregated = &mut self.aggregated;
        let answer = |want: &Want| {
            let granted = aggregated.answer_demand(cx.now, &conf.customers, (from, seq), want);
            (granted, want.want > 0 || want.held > 0)
        };
        let answers: Vec<_> = wants.iter().map(answer).collect();
        self.counters
            .add("old-demand", answers.iter().filter(|(granted, _)| granted.is_none()).count() as u64);
        let grants = answers.into_iter().filter_map(|(granted, wanted)| granted.filter(|_| wanted)).collect();
        self.outbox.send_grants(cx, from, seq, grants);
    }

    /// Lets the taker decide and sends what it demands.
    fn with_prefetcher(
        &mut self,
        cx: &mut Cx<'_>,
        f: impl FnOnce(&mut Prefetcher, PrefetchContext<'_>) -> crate::prefetch::Demands,
    ) {
        let conf: Arc<Snapshot> = cx.board.conf.clone().unwrap_or_default();
        let pools = Arc::clone(cx.pools);
        let region = cx.board.me.place.region.clone();
        let context = PrefetchContext {
            now: cx.now,
            pools: &pools,
            aggregators: &self.aggregators,
            region: &region,
            customers: &conf.customers,
        };
        let demands = f(&mut self.prefetcher, context);
        let seq = self.prefetcher.seq();
        self.outbox.send_demands(cx, seq, demands);
    }

    fn handle(&mut self, cx: &mut Cx<'_>, from: DaemonId, msg: &LimitMsg) {
        match msg {
            LimitMsg::WantShares { seq, epoch, cells } => self.delegate(cx, from, *seq, *epoch, cells),
            LimitMsg::Delegate { seq, ttl_ms, parts } => self.delegated(cx, from, *seq, *ttl_ms, parts),
            LimitMsg::Return { seq, epoch, cells } => self.holder.returned((from, *epoch), *seq, cells),
            LimitMsg::Demand { seq, wants } => self.grant(cx, from, *seq, wants),
            LimitMsg::Grant { seq, ttl_ms, grants } => {
                self.with_prefetcher(cx, |t, context| t.on_grant(context, from, *seq, *ttl_ms, grants));
            }
            LimitMsg::Confirm { seq, version } => self.confirm(cx, from, *seq, *version),
            LimitMsg::Confirmed { seq, version, known, clear } => {
                self.confirmed(cx, from, *seq, (*version, *known, *clear));
            }
            LimitMsg::WantRow => self.tell_row(cx, from),
            LimitMsg::Row { version, text } => self.adopt(cx, *version, text),
        }
    }

    /// Handles messages to itself and publishes what others read.
    fn finish(&mut self, cx: &mut Cx<'_>) {
        // What is left waits for the next input, so that areas never starve each other.
        for _ in 0..MAX_OWN_MESSAGES {
            let Some(msg) = self.outbox.pop_own_message() else { break };
            self.handle(cx, self.me, &msg);
        }
        let Some(rights) = &self.rights else {
            return;
        };
        cx.board.shares_known = rights.is_known();
        if cx.board.shares_version != rights.version() {
            cx.board.shares_version = rights.version();
            cx.board.holders = rights.row().map_or_else(|| Arc::from([]), |r| Arc::from(&*r.shares.holders));
        }
    }

    /// A newer row is in force here.
    pub(crate) fn row_changed(&mut self, total: usize) {
        self.aggregated.set_total_shares(total);
        self.prefetcher.set_total_shares(total);
    }

    fn log_right(&mut self, cx: &Cx<'_>) {
        let may_spend = self.rights.as_ref().is_some_and(|r| r.until(cx.now).is_some());
        let holds = self.row().is_some_and(|r| r.share_count(self.me) > 0);
        if self.may_spend && !may_spend && holds {
            event!(Warn, SharesStopped, "why={}", self.why_not(cx.now));
            self.counters.add("shares-stopped", 1);
        }
        self.may_spend = may_spend;
    }

    fn why_not(&self, now: Instant) -> &'static str {
        match &self.rights {
            None => "not-started",
            Some(r) if r.row().is_none() => "row-not-read",
            Some(r) if !r.is_known() => "newer-row-not-read",
            Some(r) if r.is_quiet(now) => "predecessor-may-have-delegated",
            Some(r) if r.until(now).is_none() => "not-confirmed-by-store-or-holders",
            Some(_) => "",
        }
    }

    fn is_handed_over(&self) -> bool {
        let alone = self.row().is_none_or(|r| r.shares.holders.len() <= 1);
        let holds = self.row().is_some_and(|r| {
            r.share_count(self.me) > 0 || r.earlier.as_ref().is_some_and(|e| e.holders.contains(&self.me))
        });
        self.returning.is_empty() && (alone || !holds)
    }
}

impl Area for RateLimiter {
    fn name(&self) -> &'static str {
        "limit"
    }

    fn on_start(&mut self, cx: &mut Cx<'_>) {
        self.start(cx);
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        let conf = cx.board.conf.clone().unwrap_or_default();
        self.aggregated.tick(cx.now, &conf.customers);
        if cx.now >= self.next_evict {
            self.next_evict = cx.now + EVICT_INTERVAL;
            self.aggregated.evict_idle(cx.now, &conf.customers);
        }
        self.return_cells(cx);
        self.ask_holders(cx);
        self.with_prefetcher(cx, Prefetcher::tick);
        self.counters.add("unanswered-demand", std::mem::take(&mut self.prefetcher.unanswered_demands));
        self.counters.add("late-grant", std::mem::take(&mut self.prefetcher.rejected_grants));
        self.question(cx);
        self.drive_change(cx);
        self.log_right(cx);
        self.finish(cx);
        self.stopped = self.is_handed_over() || self.stop_by.is_some_and(|by| cx.now >= by);
    }

    fn on_msg(&mut self, cx: &mut Cx<'_>, from: DaemonId, msg: &Msg) {
        if let Msg::Limit(msg) = msg {
            self.handle(cx, from, msg);
            self.finish(cx);
        }
    }

    fn on_store(&mut self, cx: &mut Cx<'_>, token: StoreToken, res: &Result<StoreRep, StoreError>) {
        self.written(cx, token, res);
        self.finish(cx);
    }

    fn on_event(&mut self, cx: &mut Cx<'_>, event: &Event) {
        match event {
            Event::FleetRows { rows, asked_at } => {
                let row: Option<&Row> = rows.iter().find(|(key, _)| **key == *SHARES_KEY).map(|(_, row)| row);
                self.read(cx, row, *asked_at);
            }
            Event::Pulled { from, known, asked_at } => {
                self.pulled(cx, *from, (known.shares, known.shares_known), *asked_at);
            }
            Event::MembersChanged => self.follow_members(cx),
            Event::Stopping => {
                self.stop_by = Some(cx.now + STOP_LIMIT);
                self.with_prefetcher(cx, |t, context| t.return_all(context.now, context.pools));
                self.follow_members(cx);
            }
            Event::ConfChanged | Event::ServersChanged | Event::Woke { .. } => {}
        }
        self.finish(cx);
    }

    fn on_report(&mut self, cx: &mut Cx<'_>, report: &Report) {
        if let Report::Demand { customer, tokens } = report {
            self.with_prefetcher(cx, |t, context| t.on_waiting_request(context, customer, *tokens));
            self.finish(cx);
        }
    }

    fn on_api(&mut self, cx: &mut Cx<'_>, ticket: Ticket, req: &ApiReq) -> bool {
        match (&*req.method, req.segments().as_slice()) {
            ("POST", ["v1", "fence", addr]) => self.fence(cx, ticket, addr),
            _ => return false,
        }
        true
    }

    fn status(&self) -> Value {
        let row = self.row();
        json!({
            "shares_version": self.rights.as_ref().map_or(0, Rights::version),
            "holders": row.map_or(0, |r| r.shares.holders.len()),
            "shares": row.map_or(0, |r| r.shares.owners.len()),
            "my_shares": row.map_or(0, |r| r.share_count(self.me)),
            "settled": row.is_some_and(SharesRow::is_settled),
            "may_spend": self.may_spend,
            "unsettled_waits_for": self.waits_for(),
            "blocked": row.and_then(|r| self.watch.blocked(r)),
            "cells": self.cells.len(),
            "buckets": self.aggregated.bucket_count(),
            "active_customers": self.prefetcher.active_count(),
        })
    }

    fn is_idle(&self) -> bool {
        self.stopped
    }
}

/// Time for which a daemon's grants outlive its aggregator's word at most.
pub const MAX_GRANT_TTL: Duration = GRANT_TTL;

/// Longest time that a settled change waits after its acknowledgements.
pub fn max_settle_wait() -> Duration {
    with_drift_margin(crate::times::LEASE_TTL)
}
