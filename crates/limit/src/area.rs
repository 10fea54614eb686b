//! The kernel area of rate limiting: dispatches messages and events to shares, delegations and grants.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{DaemonId, event};
use conf::Snapshot;
use kernel::{ApiReq, Area, AreaEntry, Cx, Event, Report, Setup, StoreToken, Ticket};
use serde_json::{Value, json};
use store::{Row, StoreError, StoreRep};
use wire::Msg;
use wire::limit::{Cell, CellShares, CustomerDemand, LimitMsg};

use crate::aggregator::AggregatedCells;
use crate::cells::Aggregators;
use crate::counters::Counters;
use crate::delegations::IssuedDelegations;
use crate::lease::ShareLease;
use crate::outbox::Outbox;
use crate::prefetch::{PrefetchContext, Prefetcher};
use crate::share_change::{HolderWatch, ShareChange};
use crate::shares::{SHARES_KEY, SharesRow};
use crate::times::{
    DELEGATION_REQUEST_INTERVAL, GRANT_TTL, MAX_DELEGATION_REQUESTS_PER_S, from_ms, with_drift_margin,
};

kernel::inventory::submit! {
    AreaEntry { name: "limit", order: 50, build: |setup| Box::new(RateLimiter::new(setup)) }
}

/// Most messages of this daemon to itself that are handled for one input.
const MAX_OWN_MESSAGES_PER_INPUT: usize = 4_096;
/// Longest time for which rate limiting delays a graceful stop.
const MAX_STOP_DELAY: Duration = Duration::from_secs(20);
/// Interval at which buckets without traffic are evicted.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);

/// The last delegation request to a holder.
#[derive(Debug)]
struct DelegationRequest {
    seq: u64,
    sent_at: Instant,
    cells: Vec<Cell>,
}

/// One daemon's part in limiting the fleet-wide rates and bursts of customers.
#[derive(Debug)]
pub struct RateLimiter {
    pub(crate) me: DaemonId,
    /// Random number by which holders tell this process from earlier ones on the same address.
    epoch: u64,
    /// Last sequence number of a delegation request, returned cell or query.
    pub(crate) seq: u64,
    pub(crate) lease: Option<ShareLease>,
    pub(crate) issued: IssuedDelegations,
    aggregated: AggregatedCells,
    prefetcher: Prefetcher,
    aggregators: Aggregators,
    /// Cells that this daemon aggregates.
    cells: Vec<Cell>,
    /// Cells that this daemon no longer aggregates but whose grants are still live, and the holders to return
    /// them to.
    returning: BTreeMap<Cell, Vec<DaemonId>>,
    delegation_requests: HashMap<DaemonId, DelegationRequest>,
    next_delegation_request: Instant,
    next_eviction: Instant,
    pub(crate) outbox: Outbox,
    pub(crate) watch: HolderWatch,
    pub(crate) change: Option<ShareChange>,
    /// The proposed row's write in flight, and the operator's request that waits for it, if any.
    pub(crate) proposal: Option<(StoreToken, Option<Ticket>)>,
    pub(crate) next_proposal: Instant,
    /// For each daemon, sequence number and sending time of the last query about the row.
    pub(crate) queries: HashMap<DaemonId, (u64, Instant)>,
    pub(crate) next_query: Instant,
    pub(crate) started_at: Option<Instant>,
    /// Whether the lease was valid at the last tick.
    may_spend: bool,
    /// When a graceful stop no longer waits for this area; `None` while the daemon runs.
    stop_deadline: Option<Instant>,
    /// Whether a graceful stop need not wait for this area.
    stopped: bool,
    pub(crate) counters: Counters,
}

impl RateLimiter {
    /// Creates the area; it starts with the kernel's first input.
    pub fn new(setup: &Setup) -> Self {
        let now = Instant::now();
        let me = setup.me.id;
        Self {
            me,
            epoch: 0,
            seq: 0,
            lease: None,
            issued: IssuedDelegations::default(),
            aggregated: AggregatedCells::default(),
            prefetcher: Prefetcher::new(me, now),
            aggregators: Aggregators::default(),
            cells: Vec::new(),
            returning: BTreeMap::new(),
            delegation_requests: HashMap::new(),
            next_delegation_request: now,
            next_eviction: now,
            outbox: Outbox::default(),
            watch: HolderWatch::default(),
            change: None,
            proposal: None,
            next_proposal: now,
            queries: HashMap::new(),
            next_query: now,
            started_at: None,
            may_spend: false,
            stop_deadline: None,
            stopped: false,
            counters: Counters::new(&setup.registry),
        }
    }

    pub(crate) fn row(&self) -> Option<&SharesRow> {
        self.lease.as_ref()?.row()
    }

    /// Starts with the first input, as only inputs carry the time.
    fn start(&mut self, cx: &mut Cx<'_>) {
        self.started_at = Some(cx.now);
        self.epoch = rand::RngCore::next_u64(cx.rng) ^ cx.board.me.incarnation;
        self.lease = Some(ShareLease::new(self.me, cx.now));
        self.prefetcher = Prefetcher::new(self.me, cx.now);
        self.prefetcher.start_seq_at(cx.wall_ms);
        self.seq = cx.wall_ms << 20;
        self.next_delegation_request = cx.now;
        self.next_eviction = cx.now;
        self.next_proposal = cx.now;
        self.next_query = cx.now;
        self.update_members(cx);
    }

    /// Reassigns cells after a change of members and starts to return those that this daemon no longer
    /// aggregates.
    fn update_members(&mut self, cx: &mut Cx<'_>) {
        self.aggregators = Aggregators::new(cx.board);
        let region = cx.board.me.place.region.clone();
        self.cells = self.aggregators.cells_of(&region, self.me);
        let conf = cx.board.conf.clone().unwrap_or_default();
        let mut no_longer_aggregated = self.aggregated.delegated_cells();
        no_longer_aggregated.retain(|cell| !self.cells.contains(cell));
        for cell in no_longer_aggregated {
            let holders = self.aggregated.drop_delegations(cx.now, &conf.customers, &[cell]);
            self.returning.entry(cell).or_default().extend(holders);
            // Delegations that are still on their way must not be applied any more.
            self.delegation_requests.clear();
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
        self.next_delegation_request = cx.now;
    }

    /// Requests delegations from the region's holders.
    fn request_delegations(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.next_delegation_request || self.cells.is_empty() {
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
        let interval = Duration::from_secs(1) * holders.len() as u32 / MAX_DELEGATION_REQUESTS_PER_S;
        self.next_delegation_request = cx.now + DELEGATION_REQUEST_INTERVAL.max(interval);
        self.seq += 1;
        let (seq, epoch) = (self.seq, self.epoch);
        for id in holders {
            let cells = self.cells.clone();
            self.delegation_requests
                .insert(id, DelegationRequest { seq, sent_at: cx.now, cells: cells.clone() });
            self.outbox.send(cx, id, LimitMsg::WantShares { seq, epoch, cells });
        }
    }

    fn on_want_shares(&mut self, cx: &mut Cx<'_>, from: DaemonId, seq: u64, epoch: u64, cells: &[Cell]) {
        let Some(lease) = &self.lease else {
            return;
        };
        let (Some(until), Some(row)) = (lease.expires_at(cx.now), lease.row()) else {
            self.counters.add("no-right-to-delegate", 1);
            return;
        };
        let to = ((from, epoch), seq);
        let (ttl_ms, parts) = self.issued.delegate(cx.now, self.me, row, until, to, cells);
        self.counters.add("cell-delegated-elsewhere", (cells.len() - parts.len()) as u64);
        self.outbox.send(cx, from, LimitMsg::Delegate { seq, ttl_ms, parts });
    }

    fn on_delegate(&mut self, cx: &mut Cx<'_>, from: DaemonId, seq: u64, ttl_ms: u32, parts: &[CellShares]) {
        let Some(request) = self.delegation_requests.get(&from).filter(|r| r.seq == seq) else {
            self.counters.add("late-delegation", 1);
            return;
        };
        let conf = cx.board.conf.clone().unwrap_or_default();
        let until = request.sent_at + from_ms(ttl_ms);
        self.aggregated.apply_delegation(cx.now, &conf.customers, (from, seq), until, &request.cells, parts);
    }

    /// Returns the cells in `returning` to their holders, each once no grant of it can be spent.
    fn return_cells(&mut self, cx: &mut Cx<'_>) {
        let returnable: Vec<Cell> =
            self.returning.keys().copied().filter(|c| !self.aggregated.has_grants(*c)).collect();
        for cell in returnable {
            self.seq += 1;
            for to in self.returning.remove(&cell).unwrap_or_default() {
                let msg = LimitMsg::Return { seq: self.seq, epoch: self.epoch, cells: vec![cell] };
                self.outbox.send(cx, to, msg);
            }
        }
    }

    fn on_demand(&mut self, cx: &mut Cx<'_>, from: DaemonId, seq: u64, wants: &[CustomerDemand]) {
        let conf = cx.board.conf.clone().unwrap_or_default();
        let aggregated = &mut self.aggregated;
        let answer = |want: &CustomerDemand| {
            let granted = aggregated.answer_demand(cx.now, &conf.customers, (from, seq), want);
            (granted, want.wanted > 0 || want.held > 0)
        };
        let answers: Vec<_> = wants.iter().map(answer).collect();
        self.counters
            .add("old-demand", answers.iter().filter(|(granted, _)| granted.is_none()).count() as u64);
        let grants = answers.into_iter().filter_map(|(granted, wanted)| granted.filter(|_| wanted)).collect();
        self.outbox.send_grants(cx, from, seq, grants);
    }

    /// Runs a step of the prefetcher and sends the resulting demands.
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

    fn handle_msg(&mut self, cx: &mut Cx<'_>, from: DaemonId, msg: &LimitMsg) {
        match msg {
            LimitMsg::WantShares { seq, epoch, cells } => self.on_want_shares(cx, from, *seq, *epoch, cells),
            LimitMsg::Delegate { seq, ttl_ms, parts } => self.on_delegate(cx, from, *seq, *ttl_ms, parts),
            LimitMsg::Return { seq, epoch, cells } => self.issued.end_returned((from, *epoch), *seq, cells),
            LimitMsg::Demand { seq, wants } => self.on_demand(cx, from, *seq, wants),
            LimitMsg::Grant { seq, ttl_ms, grants } => {
                self.with_prefetcher(cx, |prefetcher, context| {
                    prefetcher.on_grant(context, from, *seq, *ttl_ms, grants)
                });
            }
            LimitMsg::Confirm { seq, version } => self.on_confirm(cx, from, *seq, *version),
            LimitMsg::Confirmed { seq, version, known, clear } => {
                self.on_confirmed(cx, from, *seq, (*version, *known, *clear));
            }
            LimitMsg::WantRow => self.send_row(cx, from),
            LimitMsg::Row { version, text } => self.adopt_row(cx, *version, text),
        }
    }

    /// Handles this daemon's messages to itself and publishes what other areas read.
    fn finish_input(&mut self, cx: &mut Cx<'_>) {
        // Messages beyond the limit wait for the next input, so that other areas are not delayed.
        for _ in 0..MAX_OWN_MESSAGES_PER_INPUT {
            let Some(msg) = self.outbox.pop_own_message() else { break };
            self.handle_msg(cx, self.me, &msg);
        }
        let Some(lease) = &self.lease else {
            return;
        };
        cx.board.shares_known = lease.is_current();
        if cx.board.shares_version != lease.version() {
            cx.board.shares_version = lease.version();
            cx.board.holders = lease.row().map_or_else(|| Arc::from([]), |r| Arc::from(&*r.shares.holders));
        }
    }

    /// Applies the number of shares of a newer row.
    pub(crate) fn on_row_changed(&mut self, total: usize) {
        self.aggregated.set_total_shares(total);
        self.prefetcher.set_total_shares(total);
    }

    /// Logs and counts when the lease of a daemon with shares is lost; called on every tick.
    fn log_lost_lease(&mut self, cx: &Cx<'_>) {
        let may_spend = self.lease.as_ref().is_some_and(|r| r.expires_at(cx.now).is_some());
        let has_shares = self.row().is_some_and(|r| r.share_count(self.me) > 0);
        if self.may_spend && !may_spend && has_shares {
            event!(Warn, SharesStopped, "why={}", self.why_not_spending(cx.now));
            self.counters.add("shares-stopped", 1);
        }
        self.may_spend = may_spend;
    }

    fn why_not_spending(&self, now: Instant) -> &'static str {
        match &self.lease {
            None => "not-started",
            Some(r) if r.row().is_none() => "row-not-read",
            Some(r) if !r.is_current() => "newer-row-not-read",
            Some(r) if r.predecessor_may_have_delegated(now) => "predecessor-may-have-delegated",
            Some(r) if r.expires_at(now).is_none() => "not-confirmed-by-store-or-holders",
            Some(_) => "",
        }
    }

    /// Whether this daemon has returned its cells and handed its shares to other holders, if there are any.
    fn is_handed_over(&self) -> bool {
        let is_sole_holder = self.row().is_none_or(|r| r.shares.holders.len() <= 1);
        let has_shares = self.row().is_some_and(|r| {
            r.share_count(self.me) > 0 || r.earlier.as_ref().is_some_and(|e| e.holders.contains(&self.me))
        });
        self.returning.is_empty() && (is_sole_holder || !has_shares)
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
        if cx.now >= self.next_eviction {
            self.next_eviction = cx.now + EVICTION_INTERVAL;
            self.aggregated.evict_idle(cx.now, &conf.customers);
        }
        self.return_cells(cx);
        self.request_delegations(cx);
        self.with_prefetcher(cx, Prefetcher::tick);
        self.counters.add("unanswered-demand", std::mem::take(&mut self.prefetcher.unanswered_demands));
        self.counters.add("late-grant", std::mem::take(&mut self.prefetcher.rejected_grants));
        self.query_holders(cx);
        self.drive_change(cx);
        self.log_lost_lease(cx);
        self.finish_input(cx);
        self.stopped = self.is_handed_over() || self.stop_deadline.is_some_and(|by| cx.now >= by);
    }

    fn on_msg(&mut self, cx: &mut Cx<'_>, from: DaemonId, msg: &Msg) {
        if let Msg::Limit(msg) = msg {
            self.handle_msg(cx, from, msg);
            self.finish_input(cx);
        }
    }

    fn on_store(&mut self, cx: &mut Cx<'_>, token: StoreToken, res: &Result<StoreRep, StoreError>) {
        self.on_write_done(cx, token, res);
        self.finish_input(cx);
    }

    fn on_event(&mut self, cx: &mut Cx<'_>, event: &Event) {
        match event {
            Event::FleetRowsRead { rows, asked_at } => {
                let row: Option<&Row> = rows.iter().find(|(key, _)| **key == *SHARES_KEY).map(|(_, row)| row);
                self.on_store_read(cx, row, *asked_at);
            }
            Event::PullAnswered { from, status, asked_at } => {
                self.on_peer_version(cx, *from, (status.shares_version, status.shares_known), *asked_at);
            }
            Event::MembersChanged => self.update_members(cx),
            Event::Stopping => {
                self.stop_deadline = Some(cx.now + MAX_STOP_DELAY);
                self.with_prefetcher(cx, |prefetcher, context| {
                    prefetcher.return_all(context.now, context.pools)
                });
                self.update_members(cx);
            }
            Event::ConfChanged | Event::ServersChanged | Event::Resumed { .. } => {}
        }
        self.finish_input(cx);
    }

    fn on_report(&mut self, cx: &mut Cx<'_>, report: &Report) {
        if let Report::Demand { customer, tokens } = report {
            self.with_prefetcher(cx, |prefetcher, context| {
                prefetcher.on_waiting_request(context, customer, *tokens)
            });
            self.finish_input(cx);
        }
    }

    fn on_api(&mut self, cx: &mut Cx<'_>, ticket: Ticket, req: &ApiReq) -> bool {
        match (&*req.method, req.segments().as_slice()) {
            ("POST", ["v1", "fence", addr]) => self.on_fence_request(cx, ticket, addr),
            _ => return false,
        }
        true
    }

    fn status(&self) -> Value {
        let row = self.row();
        json!({
            "shares_version": self.lease.as_ref().map_or(0, ShareLease::version),
            "holders": row.map_or(0, |r| r.shares.holders.len()),
            "shares": row.map_or(0, |r| r.shares.owners.len()),
            "my_shares": row.map_or(0, |r| r.share_count(self.me)),
            "settled": row.is_some_and(SharesRow::is_settled),
            "may_spend": self.may_spend,
            "unsettled_waits_for": self.unsettled_waits_for(),
            "blocked": row.and_then(|r| self.watch.blocked_reason(r)),
            "cells": self.cells.len(),
            "buckets": self.aggregated.bucket_count(),
            "active_customers": self.prefetcher.active_count(),
        })
    }

    fn is_idle(&self) -> bool {
        self.stopped
    }
}

/// Longest time for which a daemon spends a grant after it sent the demand.
pub const MAX_GRANT_TTL: Duration = GRANT_TTL;

/// Longest time between the acknowledgements of a change and its settling.
pub fn max_settle_wait() -> Duration {
    with_drift_margin(crate::times::LEASE_TTL)
}
