//! The freshness area: reads the fleet's rows, pulls from other daemons, and knows until when this
//! daemon's view is current.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{DaemonId, event};
use kernel::{Area, AreaEntry, Cx, Event, Setup, StoreToken};
use prometheus::{IntCounter, IntGauge};
use rand::seq::{IndexedRandom, SliceRandom};
use serde_json::{Value, json};
use store::{StoreError, StoreOp, StoreRep};
use wire::Msg;
use wire::fresh::{FreshMsg, ViewStatus};

use crate::confirmation::{Answer, Evidence, Own, Proven};
use crate::metrics;

kernel::inventory::submit! {
    AreaEntry { name: "fresh", order: 20, build: |setup| Box::new(Freshness::new(setup)) }
}

/// Prefix of the rows that every daemon follows.
const ROWS: &str = "fleet/";
/// Shortest interval between reads of the rows.
const READ_MIN: Duration = Duration::from_secs(1);
/// Reads a second of the whole fleet; 15% of 2,000 with a margin.
const FLEET_READS_PER_S: f64 = 280.0;
/// Time after which a read without a result makes this daemon ask others.
const READ_SLOW: Duration = Duration::from_millis(400);
/// Time after which a read without a result counts as failed.
const READ_LOST: Duration = Duration::from_secs(2);
/// Longest age of a current view when there is no configuration yet, in milliseconds.
const DEFAULT_FRESH_MS: u64 = 3_000;
/// Part of the longest age that is left for clocks that run at different speeds, in percent.
const DRIFT_PERCENT: u32 = 1;
/// Interval between turns of pulling.
const PULL_INTERVAL: Duration = Duration::from_millis(250);
/// Daemons pulled in each turn when only a chain to the store is wanted.
const CHAIN_PULLS: usize = 3;
/// Time after which a pull that got no answer is repeated.
const PULL_LOST: Duration = Duration::from_millis(750);
/// Age at which an answer of a majority or of holders is renewed, in percent of the longest age; the rest
/// is enough for a lost pull and its repetition.
const RENEW_PERCENT: u32 = 65;
/// Pulls without an answer that are remembered.
const MAX_PULLS: usize = 2_048;
/// Gap between ticks, or jump of the wall clock against the monotonic one, that counts as a pause.
const PAUSE_GAP: Duration = Duration::from_secs(1);
/// Share of the holders of rate shares that must be pulled from besides one more, in percent.
const HOLDERS_PERCENT: usize = 30;

/// Interval between updates of the set of the store region's daemons, besides those on changes.
const REGION_INTERVAL: Duration = Duration::from_secs(1);

/// A pull on its way.
#[derive(Clone, Copy, Debug)]
struct Pull {
    to: DaemonId,
    asked_at: Instant,
}

/// Freshness of one daemon.
#[derive(Debug)]
pub struct Freshness {
    evidence: Evidence,
    /// Known daemons of the store's region, gone ones included.
    region: BTreeSet<DaemonId>,
    next_region: Option<Instant>,
    /// Nothing asked before this time proves anything.
    floor: Option<Instant>,
    next_read: Option<Instant>,
    read: Option<(StoreToken, Instant)>,
    /// Send time of the last read that failed; this daemon reports the store as down as of it.
    failed_at: Option<Instant>,
    next_pull: Option<Instant>,
    next_seq: u64,
    pulls: BTreeMap<u64, Pull>,
    last_pull: BTreeMap<DaemonId, Instant>,
    last_tick: Option<(Instant, u64)>,
    /// Whether this process was current at least once; before, it vouches for nothing.
    was_current: bool,
    is_current: bool,
    published: Option<Instant>,
    metrics: Metrics,
}

/// Metrics of freshness.
#[derive(Debug)]
struct Metrics {
    current: IntGauge,
    pulls: IntCounter,
    reads: IntCounter,
    pauses: IntCounter,
}

impl Metrics {
    fn new(setup: &Setup) -> Self {
        let registry = &setup.registry;
        let counter = |name, help| metrics::counter(registry, name, help);
        Self {
            current: metrics::gauge(registry, "pomelo_fresh_current", "1 while the view is current"),
            pulls: counter("pomelo_fresh_pulls_total", "Pulls sent to other daemons"),
            reads: counter("pomelo_fresh_reads_total", "Reads of the fleet's rows"),
            pauses: counter("pomelo_fresh_pauses_total", "Pauses after which the view was confirmed anew"),
        }
    }
}

impl Freshness {
    /// Makes the area.
    pub fn new(setup: &Setup) -> Self {
        Self {
            evidence: Evidence::default(),
            region: BTreeSet::new(),
            next_region: None,
            floor: None,
            next_read: None,
            read: None,
            failed_at: None,
            next_pull: None,
            next_seq: 0,
            pulls: BTreeMap::new(),
            last_pull: BTreeMap::new(),
            last_tick: None,
            was_current: false,
            is_current: false,
            published: None,
            metrics: Metrics::new(setup),
        }
    }

    /// Longest age of a current view, less the margin for drift.
    fn max_age(cx: &Cx<'_>) -> Duration {
        let fresh_ms = cx.board.conf.as_ref().map_or(DEFAULT_FRESH_MS, |c| c.fleet.fresh_ms);
        Duration::from_millis(fresh_ms) * (100 - DRIFT_PERCENT) / 100
    }

    /// All known daemons of the store's region, gone ones included; of all regions if it is not set.
    fn region(cx: &Cx<'_>) -> BTreeSet<DaemonId> {
        let b = &cx.board;
        let region = b.conf.as_ref().and_then(|c| c.fleet.store_region.clone());
        let is_in = |place: &base::Place| region.as_ref().is_none_or(|r| *r == place.region);
        let members = b.members.values().map(|m| (m.id, &m.place));
        let gone = b.dead_members.iter().map(|(id, place)| (*id, place));
        let all = members.chain(gone).chain(std::iter::once((b.me.id, &b.me.place)));
        all.filter(|(_, place)| is_in(place)).map(|(id, _)| id).collect()
    }

    fn own(cx: &Cx<'_>) -> Own {
        let b = &cx.board;
        Own { version: b.version(), head_seen: b.head_seen, withdrawn: b.withdrawn_digest }
    }

    /// Judges the evidence and writes the board.
    fn judge(&mut self, cx: &mut Cx<'_>) -> Proven {
        let own = Self::own(cx);
        let is_voter = self.was_current && cx.board.store_down && self.region.contains(&cx.board.me.id);
        let own_vote = self.failed_at.filter(|at| is_voter && self.floor.is_none_or(|f| *at >= f));
        let proven = self.evidence.judge(&own, &self.region, own_vote);
        let until = proven.at().map(|at| at + Self::max_age(cx));
        cx.board.current_until = until;
        let is_current = until.is_some_and(|at| cx.now < at);
        self.tell_current(cx, is_current, until);
        proven
    }

    fn tell_current(&mut self, cx: &mut Cx<'_>, is_current: bool, until: Option<Instant>) {
        if is_current != self.is_current {
            self.is_current = is_current;
            self.metrics.current.set(i64::from(is_current));
            if is_current {
                event!(Info, ViewCurrent, "version={}", cx.board.version());
            } else {
                event!(Warn, ViewStale, "version={} head={}", cx.board.version(), cx.board.head_seen);
            }
            cx.publish_view();
            self.published = until;
        }
        self.was_current |= is_current;
        // Traffic reads the deadline from its view; a new view is made only when the old one's is near.
        let is_near = self.published.is_none_or(|at| at < cx.now + Self::max_age(cx) / 2);
        if self.published != until && (is_near || until < self.published) {
            self.published = until;
            cx.publish_view();
        }
    }

    /// What this daemon tells others now.
    fn known(&mut self, cx: &mut Cx<'_>) -> ViewStatus {
        let proven = self.judge(cx);
        let b = &cx.board;
        let is_confirmed = b.head_seen <= b.version();
        let age = |at: Option<Instant>| {
            let age = (cx.now - at.filter(|_| is_confirmed)?).as_millis() + 1;
            u32::try_from(age).ok()
        };
        ViewStatus {
            version: b.version(),
            shares_version: b.shares_version,
            withdrawn_digest: b.withdrawn_digest,
            store_age_ms: age(proven.store),
            quorum_age_ms: age(proven.quorum),
            region_size: if self.was_current { self.region.len() as u32 } else { 0 },
            store_down: b.store_down,
            shares_known: b.shares_known,
        }
    }

    fn notice_pause(&mut self, cx: &mut Cx<'_>) {
        let Some((last, last_wall)) = self.last_tick.replace((cx.now, cx.wall_ms)) else {
            return;
        };
        let gap = cx.now - last;
        let wall_gap = Duration::from_millis(cx.wall_ms.saturating_sub(last_wall));
        if gap > PAUSE_GAP || wall_gap > gap + PAUSE_GAP {
            self.metrics.pauses.inc();
            self.floor = Some(cx.now);
            self.evidence.drop_before(cx.now);
            self.pulls.clear();
            self.next_read = None;
            self.next_pull = None;
            cx.emit(Event::Resumed { gap: gap.max(wall_gap) });
        }
    }

    fn read_rows(&mut self, cx: &mut Cx<'_>) {
        if let Some((_, asked_at)) = self.read {
            let is_lost = cx.now >= asked_at + READ_LOST;
            if !is_lost {
                return;
            }
            self.read = None;
            self.read_failed(cx, asked_at);
        }
        if self.next_read.is_some_and(|at| cx.now < at) {
            return;
        }
        let daemons = (cx.board.members.len() + 1) as f64;
        let interval = READ_MIN.max(Duration::from_secs_f64(daemons / FLEET_READS_PER_S));
        self.next_read = Some(cx.now + interval);
        self.metrics.reads.inc();
        let token = cx.start_store_op(StoreOp::Range { prefix: ROWS.into() });
        self.read = Some((token, cx.now));
    }

    fn read_failed(&mut self, cx: &mut Cx<'_>, asked_at: Instant) {
        self.failed_at = Some(asked_at);
        if !cx.board.store_down {
            cx.board.store_down = true;
            event!(Warn, StoreDown, "");
        }
    }

    /// Whether the store alone does not keep this daemon's view current.
    fn needs_others(&self, cx: &Cx<'_>) -> bool {
        let is_slow = self.read.is_some_and(|(_, at)| cx.now >= at + READ_SLOW);
        let is_near = cx.board.current_until.is_none_or(|at| at < cx.now + Self::max_age(cx) / 4);
        cx.board.store_down || is_slow || is_near
    }

    fn pull_turn(&mut self, cx: &mut Cx<'_>) {
        if self.next_pull.is_some_and(|at| cx.now < at) || !self.needs_others(cx) {
            return;
        }
        self.next_pull = Some(cx.now + PULL_INTERVAL);
        for to in self.targets(cx) {
            self.pull(cx, to);
        }
    }

    fn pull(&mut self, cx: &mut Cx<'_>, to: DaemonId) {
        let is_waiting = self.last_pull.get(&to).is_some_and(|at| cx.now < *at + PULL_LOST);
        let is_answered = self.evidence.asked_at(&to) >= self.last_pull.get(&to).copied();
        if to == cx.board.me.id || (is_waiting && !is_answered) {
            return;
        }
        self.next_seq += 1;
        self.last_pull.insert(to, cx.now);
        self.pulls.insert(self.next_seq, Pull { to, asked_at: cx.now });
        if self.pulls.len() > MAX_PULLS {
            self.pulls.pop_first();
        }
        self.metrics.pulls.inc();
        cx.send(to, Msg::Fresh(FreshMsg::Pull { seq: self.next_seq }));
    }

    /// Daemons to pull from in this turn: a few for a chain, those whose withdrawals differ, and, while
    /// the store does not answer, as many as the majority and the holder rule need.
    fn targets(&self, cx: &mut Cx<'_>) -> Vec<DaemonId> {
        let near = cx.board.me.place.region.clone();
        let members = cx.board.members.values().map(|m| (m.id, &m.place));
        let mut targets = crate::partners::pick(cx.rng, &near, members, CHAIN_PULLS);
        targets.extend(self.evidence.differing(cx.board.withdrawn_digest));
        let is_near_end = cx.board.current_until.is_none_or(|at| at < cx.now + Self::max_age(cx) / 2);
        let voters: Vec<_> = self.region.iter().copied().collect();
        if is_near_end {
            targets.extend(voters.choose(cx.rng).copied());
        }
        if cx.board.store_down {
            let majority = voters.len() / 2 + 1;
            if self.region.contains(&cx.board.me.id) || Self::is_chain_late(cx) {
                self.extend_due(cx, &mut targets, &voters, majority, &near);
            }
            let holders = Arc::clone(&cx.board.holders);
            let enough = holders.len() * HOLDERS_PERCENT / 100 + 1;
            self.extend_due(cx, &mut targets, &holders, enough, &near);
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Whether no chain of pulls keeps a daemon outside the store's region current.
    fn is_chain_late(cx: &Cx<'_>) -> bool {
        cx.board.current_until.is_none_or(|at| at < cx.now + Self::max_age(cx) / 3)
    }

    /// Adds daemons whose last answer will be too old soon, nearest first, until `enough` are fresh.
    fn extend_due(
        &self,
        cx: &mut Cx<'_>,
        targets: &mut Vec<DaemonId>,
        group: &[DaemonId],
        enough: usize,
        near: &base::Region,
    ) {
        let renew_after = Self::max_age(cx) * RENEW_PERCENT / 100;
        let is_fresh = |id: &DaemonId| self.evidence.asked_at(id).is_some_and(|at| cx.now < at + renew_after);
        let fresh = group.iter().filter(|id| is_fresh(id)).count();
        // Some answers get lost, so more are asked than are missing.
        let missing = enough.saturating_sub(fresh);
        let wanted = missing + missing / 8 + usize::from(missing > 0);
        let mut due: Vec<_> = group.iter().filter(|id| !is_fresh(id)).copied().collect();
        due.retain(|id| cx.board.members.contains_key(id));
        due.shuffle(cx.rng);
        due.sort_by_key(|id| cx.board.members.get(id).is_none_or(|m| m.place.region != *near));
        targets.extend(due.into_iter().take(wanted));
    }

    fn take_answer(&mut self, cx: &mut Cx<'_>, from: DaemonId, seq: u64, known: &ViewStatus) {
        let Some(pull) = self.pulls.get(&seq).copied() else { return };
        if pull.to != from {
            return;
        }
        self.pulls.remove(&seq);
        self.evidence.note_answer(from, Answer { known: *known, asked_at: pull.asked_at });
        cx.emit(Event::PullAnswered { from, status: *known, asked_at: pull.asked_at });
    }
}

impl Area for Freshness {
    fn name(&self) -> &'static str {
        "fresh"
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.notice_pause(cx);
        self.read_rows(cx);
        let oldest = cx.now.checked_sub(Self::max_age(cx) * 2);
        if let Some(oldest) = oldest {
            let members = &cx.board.members;
            self.evidence.expire(oldest, |id| members.contains_key(id));
            self.pulls.retain(|_, p| p.asked_at >= oldest);
            self.last_pull.retain(|_, at| *at >= oldest);
        }
        if self.next_region.is_none_or(|at| cx.now >= at) {
            self.next_region = Some(cx.now + REGION_INTERVAL);
            self.region = Self::region(cx);
        }
        self.judge(cx);
        self.pull_turn(cx);
    }

    fn on_msg(&mut self, cx: &mut Cx<'_>, from: DaemonId, msg: &Msg) {
        match msg {
            Msg::Fresh(FreshMsg::Pull { seq }) => {
                let status = self.known(cx);
                cx.send(from, Msg::Fresh(FreshMsg::Answer { seq: *seq, status }));
            }
            Msg::Fresh(FreshMsg::Answer { seq, status }) => self.take_answer(cx, from, *seq, status),
            _ => {}
        }
    }

    fn on_store(&mut self, cx: &mut Cx<'_>, token: StoreToken, res: &Result<StoreRep, StoreError>) {
        let Some((_, asked_at)) = self.read.take_if(|(t, _)| *t == token) else {
            return;
        };
        let Ok(StoreRep::Rows(rows)) = res else {
            return self.read_failed(cx, asked_at);
        };
        if cx.board.store_down {
            cx.board.store_down = false;
            event!(Info, StoreUp, "");
        }
        cx.emit(Event::FleetRowsRead { rows: Arc::from(rows.as_slice()), asked_at });
    }

    fn on_event(&mut self, cx: &mut Cx<'_>, event: &Event) {
        match event {
            // Configuration has handled the event already, so `head_seen` counts what it says.
            Event::FleetRowsRead { asked_at, .. } => {
                if self.floor.is_none_or(|floor| *asked_at >= floor) {
                    self.evidence.note_read(*asked_at);
                }
                self.judge(cx);
            }
            Event::ConfChanged | Event::MembersChanged => {
                self.region = Self::region(cx);
                self.judge(cx);
            }
            Event::PullAnswered { .. } => {
                self.judge(cx);
            }
            Event::ServersChanged | Event::Stopping | Event::Resumed { .. } => {}
        }
    }

    fn status(&self) -> Value {
        json!({
            "current": self.is_current, "reading": self.read.is_some(), "pulls": self.pulls.len(),
            "was_current": self.was_current,
        })
    }
}
