//! The freshness area: reads the fleet's rows, pulls the view status of other daemons, and determines until
//! when this daemon's view counts as current. What confirms a view is decided in `confirmation`.

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

use crate::confirmation::{ConfirmedSince, Evidence, LocalView, PullAnswer};
use crate::metrics;

kernel::inventory::submit! {
    AreaEntry { name: "fresh", order: 20, build: |setup| Box::new(Freshness::new(setup)) }
}

/// Prefix of the keys of the rows that every daemon follows.
const FLEET_ROWS_PREFIX: &str = "fleet/";
/// Shortest interval between a daemon's reads of these rows.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Most reads of these rows by the whole fleet in a second: 15% of the store's 2,000, less a margin.
const MAX_FLEET_READS_PER_S: f64 = 280.0;
/// Time after which a read without a result makes this daemon pull from others.
const SLOW_READ_AFTER: Duration = Duration::from_millis(400);
/// Time after which a read without a result counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest age of a current view while there is no configuration, in milliseconds.
const DEFAULT_MAX_AGE_MS: u64 = 3_000;
/// Part of the longest age that is reserved for clocks that run at different speeds, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 1;
/// Interval between rounds of pulls.
const PULL_INTERVAL: Duration = Duration::from_millis(250);
/// Random daemons to pull from in each round, one of which may have been confirmed by the store.
const PULL_FANOUT: usize = 3;
/// Time after which a pull without an answer may be repeated.
const PULL_TIMEOUT: Duration = Duration::from_millis(750);
/// Age at which an answer that counts towards a quorum is renewed, in percent of the longest age. The rest is
/// enough for a lost pull and its repetition.
const RENEW_AFTER_PERCENT: u32 = 65;
/// Most pulls without an answer that are remembered.
const MAX_PENDING_PULLS: usize = 2_048;
/// Gap between ticks, or jump of the wall clock against the monotonic one, that counts as a pause.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Share of the holders of rate shares that, with one more holder, form a quorum, in percent.
const HOLDER_QUORUM_PERCENT: usize = 30;

/// Interval between updates of the set of the store region's daemons; changes of members or configuration
/// update it at once.
const REGION_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// A pull without an answer yet.
#[derive(Clone, Copy, Debug)]
struct PendingPull {
    to: DaemonId,
    asked_at: Instant,
}

/// The freshness area of this daemon.
#[derive(Debug)]
pub struct Freshness {
    evidence: Evidence,
    /// Known daemons of the store's region, dead ones included.
    store_region: BTreeSet<DaemonId>,
    next_region_update: Option<Instant>,
    /// End of the last pause of this process; nothing asked for earlier confirms the view.
    evidence_floor: Option<Instant>,
    next_read: Option<Instant>,
    /// Read of the rows under way, and when it was sent.
    pending_read: Option<(StoreToken, Instant)>,
    /// When the last read that failed was sent; as of then this daemon reports the store as down.
    failed_read_at: Option<Instant>,
    next_pull: Option<Instant>,
    last_pull_seq: u64,
    /// Pulls without an answer, by sequence number.
    pending_pulls: BTreeMap<u64, PendingPull>,
    last_pull_at: BTreeMap<DaemonId, Instant>,
    /// Time of the last tick by the monotonic clock, and by the wall clock in milliseconds.
    last_tick: Option<(Instant, u64)>,
    /// Whether the view has been current since this process started; until then this daemon counts towards no
    /// majority.
    was_current: bool,
    is_current: bool,
    /// Deadline in the last published view.
    published_until: Option<Instant>,
    metrics: Metrics,
}

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
    /// Makes the area; the view is not current until its first confirmation.
    pub fn new(setup: &Setup) -> Self {
        Self {
            evidence: Evidence::default(),
            store_region: BTreeSet::new(),
            next_region_update: None,
            evidence_floor: None,
            next_read: None,
            pending_read: None,
            failed_read_at: None,
            next_pull: None,
            last_pull_seq: 0,
            pending_pulls: BTreeMap::new(),
            last_pull_at: BTreeMap::new(),
            last_tick: None,
            was_current: false,
            is_current: false,
            published_until: None,
            metrics: Metrics::new(setup),
        }
    }

    /// Longest age of a current view, less the margin for clock drift.
    fn max_age(cx: &Cx<'_>) -> Duration {
        let fresh_ms = cx.board.conf.as_ref().map_or(DEFAULT_MAX_AGE_MS, |c| c.fleet.fresh_ms);
        Duration::from_millis(fresh_ms) * (100 - CLOCK_DRIFT_PERCENT) / 100
    }

    /// All known daemons of the store's region, dead ones included; of all regions if the configuration
    /// doesn't name the store's region.
    fn store_region(cx: &Cx<'_>) -> BTreeSet<DaemonId> {
        let b = &cx.board;
        let region = b.conf.as_ref().and_then(|c| c.fleet.store_region.clone());
        let is_in = |place: &base::Place| region.as_ref().is_none_or(|r| *r == place.region);
        let members = b.members.values().map(|m| (m.id, &m.place));
        let dead = b.dead_members.iter().map(|(id, place)| (*id, place));
        let all = members.chain(dead).chain(std::iter::once((b.me.id, &b.me.place)));
        all.filter(|(_, place)| is_in(place)).map(|(id, _)| id).collect()
    }

    fn local_view(cx: &Cx<'_>) -> LocalView {
        let b = &cx.board;
        LocalView { version: b.version(), head_seen: b.head_seen, withdrawn_digest: b.withdrawn_digest }
    }

    /// Evaluates the evidence and writes the result to the board.
    fn reassess(&mut self, cx: &mut Cx<'_>) -> ConfirmedSince {
        let local = Self::local_view(cx);
        let is_voter = self.was_current && cx.board.store_down && self.store_region.contains(&cx.board.me.id);
        let own_vote =
            self.failed_read_at.filter(|at| is_voter && self.evidence_floor.is_none_or(|f| *at >= f));
        let confirmed = self.evidence.reassess(&local, &self.store_region, own_vote);
        let until = confirmed.latest().map(|at| at + Self::max_age(cx));
        cx.board.current_until = until;
        let is_current = until.is_some_and(|at| cx.now < at);
        self.update_current(cx, is_current, until);
        confirmed
    }

    /// Reports when the view becomes current or outdated, and publishes the view when traffic needs the new
    /// deadline.
    fn update_current(&mut self, cx: &mut Cx<'_>, is_current: bool, until: Option<Instant>) {
        if is_current != self.is_current {
            self.is_current = is_current;
            self.metrics.current.set(i64::from(is_current));
            if is_current {
                event!(Info, ViewCurrent, "version={}", cx.board.version());
            } else {
                event!(Warn, ViewStale, "version={} head={}", cx.board.version(), cx.board.head_seen);
            }
            cx.publish_view();
            self.published_until = until;
        }
        self.was_current |= is_current;
        // Traffic reads the deadline from the published view. A later deadline is published only once the
        // old one is near.
        let expires_soon = self.published_until.is_none_or(|at| at < cx.now + Self::max_age(cx) / 2);
        if self.published_until != until && (expires_soon || until < self.published_until) {
            self.published_until = until;
            cx.publish_view();
        }
    }

    /// Status of this daemon's view, as the answer to a pull.
    fn view_status(&mut self, cx: &mut Cx<'_>) -> ViewStatus {
        let confirmed = self.reassess(cx);
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
            store_age_ms: age(confirmed.store),
            quorum_age_ms: age(confirmed.quorum),
            region_size: if self.was_current { self.store_region.len() as u32 } else { 0 },
            store_down: b.store_down,
            shares_known: b.shares_known,
        }
    }

    /// Discards all evidence if this process was paused, which a gap between ticks shows or a jump of the
    /// wall clock against the monotonic one.
    fn detect_pause(&mut self, cx: &mut Cx<'_>) {
        let Some((last, last_wall)) = self.last_tick.replace((cx.now, cx.wall_ms)) else {
            return;
        };
        let gap = cx.now - last;
        let wall_gap = Duration::from_millis(cx.wall_ms.saturating_sub(last_wall));
        if gap > PAUSE_THRESHOLD || wall_gap > gap + PAUSE_THRESHOLD {
            self.metrics.pauses.inc();
            self.evidence_floor = Some(cx.now);
            self.evidence.discard_before(cx.now);
            self.pending_pulls.clear();
            self.next_read = None;
            self.next_pull = None;
            cx.emit(Event::Resumed { gap: gap.max(wall_gap) });
        }
    }

    fn poll_fleet_rows(&mut self, cx: &mut Cx<'_>) {
        if let Some((_, asked_at)) = self.pending_read {
            let is_lost = cx.now >= asked_at + READ_TIMEOUT;
            if !is_lost {
                return;
            }
            self.pending_read = None;
            self.on_read_failed(cx, asked_at);
        }
        if self.next_read.is_some_and(|at| cx.now < at) {
            return;
        }
        let daemons = (cx.board.members.len() + 1) as f64;
        let interval = MIN_READ_INTERVAL.max(Duration::from_secs_f64(daemons / MAX_FLEET_READS_PER_S));
        self.next_read = Some(cx.now + interval);
        self.metrics.reads.inc();
        let token = cx.start_store_op(StoreOp::Range { prefix: FLEET_ROWS_PREFIX.into() });
        self.pending_read = Some((token, cx.now));
    }

    fn on_read_failed(&mut self, cx: &mut Cx<'_>, asked_at: Instant) {
        self.failed_read_at = Some(asked_at);
        if !cx.board.store_down {
            cx.board.store_down = true;
            event!(Warn, StoreDown, "");
        }
    }

    /// Whether reads of the store alone don't keep this daemon's view current.
    fn needs_pulls(&self, cx: &Cx<'_>) -> bool {
        let is_slow = self.pending_read.is_some_and(|(_, at)| cx.now >= at + SLOW_READ_AFTER);
        let expires_soon = cx.board.current_until.is_none_or(|at| at < cx.now + Self::max_age(cx) / 4);
        cx.board.store_down || is_slow || expires_soon
    }

    fn pull_round(&mut self, cx: &mut Cx<'_>) {
        if self.next_pull.is_some_and(|at| cx.now < at) || !self.needs_pulls(cx) {
            return;
        }
        self.next_pull = Some(cx.now + PULL_INTERVAL);
        for to in self.pull_targets(cx) {
            self.pull(cx, to);
        }
    }

    fn pull(&mut self, cx: &mut Cx<'_>, to: DaemonId) {
        let is_waiting = self.last_pull_at.get(&to).is_some_and(|at| cx.now < *at + PULL_TIMEOUT);
        let is_answered = self.evidence.last_asked_at(&to) >= self.last_pull_at.get(&to).copied();
        if to == cx.board.me.id || (is_waiting && !is_answered) {
            return;
        }
        self.last_pull_seq += 1;
        self.last_pull_at.insert(to, cx.now);
        self.pending_pulls.insert(self.last_pull_seq, PendingPull { to, asked_at: cx.now });
        if self.pending_pulls.len() > MAX_PENDING_PULLS {
            self.pending_pulls.pop_first();
        }
        self.metrics.pulls.inc();
        cx.send(to, Msg::Fresh(FreshMsg::Pull { seq: self.last_pull_seq }));
    }

    /// Daemons to pull from in this round: a few random ones, those with other key withdrawals and, while
    /// the store does not answer, as many as a majority of the store's region and a quorum of the holders
    /// of rate shares need.
    fn pull_targets(&self, cx: &mut Cx<'_>) -> Vec<DaemonId> {
        let home = cx.board.me.place.region.clone();
        let members = cx.board.members.values().map(|m| (m.id, &m.place));
        let mut targets = crate::partners::pick_partners(cx.rng, &home, members, PULL_FANOUT);
        targets.extend(self.evidence.with_other_withdrawals(cx.board.withdrawn_digest));
        let expires_soon = cx.board.current_until.is_none_or(|at| at < cx.now + Self::max_age(cx) / 2);
        let voters: Vec<_> = self.store_region.iter().copied().collect();
        if expires_soon {
            targets.extend(voters.choose(cx.rng).copied());
        }
        if cx.board.store_down {
            let majority = voters.len() / 2 + 1;
            if self.store_region.contains(&cx.board.me.id) || Self::is_near_expiry(cx) {
                self.add_due_targets(cx, &mut targets, &voters, majority, &home);
            }
            let holders = Arc::clone(&cx.board.holders);
            let quorum = holders.len() * HOLDER_QUORUM_PERCENT / 100 + 1;
            self.add_due_targets(cx, &mut targets, &holders, quorum, &home);
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Whether the view expires soon, because no other daemon with a confirmed view has answered of late.
    /// Then a daemon outside the store's region pulls from a majority of that region too.
    fn is_near_expiry(cx: &Cx<'_>) -> bool {
        cx.board.current_until.is_none_or(|at| at < cx.now + Self::max_age(cx) / 3)
    }

    /// Adds daemons of the group whose last answer is about to become too old, those in this daemon's
    /// region first, so that `quorum` daemons of the group will have answered recently.
    fn add_due_targets(
        &self,
        cx: &mut Cx<'_>,
        targets: &mut Vec<DaemonId>,
        group: &[DaemonId],
        quorum: usize,
        home: &base::Region,
    ) {
        let renew_after = Self::max_age(cx) * RENEW_AFTER_PERCENT / 100;
        let is_fresh =
            |id: &DaemonId| self.evidence.last_asked_at(id).is_some_and(|at| cx.now < at + renew_after);
        let fresh = group.iter().filter(|id| is_fresh(id)).count();
        // Some answers get lost, so pull from more daemons than are missing.
        let missing = quorum.saturating_sub(fresh);
        let wanted = missing + missing / 8 + usize::from(missing > 0);
        let mut due: Vec<_> = group.iter().filter(|id| !is_fresh(id)).copied().collect();
        due.retain(|id| cx.board.members.contains_key(id));
        due.shuffle(cx.rng);
        due.sort_by_key(|id| cx.board.members.get(id).is_none_or(|m| m.place.region != *home));
        targets.extend(due.into_iter().take(wanted));
    }

    fn on_answer(&mut self, cx: &mut Cx<'_>, from: DaemonId, seq: u64, status: &ViewStatus) {
        let Some(pull) = self.pending_pulls.get(&seq).copied() else { return };
        if pull.to != from {
            return;
        }
        self.pending_pulls.remove(&seq);
        self.evidence.record_answer(from, PullAnswer { status: *status, asked_at: pull.asked_at });
        cx.emit(Event::PullAnswered { from, status: *status, asked_at: pull.asked_at });
    }
}

impl Area for Freshness {
    fn name(&self) -> &'static str {
        "fresh"
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.detect_pause(cx);
        self.poll_fleet_rows(cx);
        let oldest = cx.now.checked_sub(Self::max_age(cx) * 2);
        if let Some(oldest) = oldest {
            let members = &cx.board.members;
            self.evidence.remove_expired_answers(oldest, |id| members.contains_key(id));
            self.pending_pulls.retain(|_, p| p.asked_at >= oldest);
            self.last_pull_at.retain(|_, at| *at >= oldest);
        }
        if self.next_region_update.is_none_or(|at| cx.now >= at) {
            self.next_region_update = Some(cx.now + REGION_UPDATE_INTERVAL);
            self.store_region = Self::store_region(cx);
        }
        self.reassess(cx);
        self.pull_round(cx);
    }

    fn on_msg(&mut self, cx: &mut Cx<'_>, from: DaemonId, msg: &Msg) {
        match msg {
            Msg::Fresh(FreshMsg::Pull { seq }) => {
                let status = self.view_status(cx);
                cx.send(from, Msg::Fresh(FreshMsg::Answer { seq: *seq, status }));
            }
            Msg::Fresh(FreshMsg::Answer { seq, status }) => self.on_answer(cx, from, *seq, status),
            _ => {}
        }
    }

    fn on_store(&mut self, cx: &mut Cx<'_>, token: StoreToken, res: &Result<StoreRep, StoreError>) {
        let Some((_, asked_at)) = self.pending_read.take_if(|(t, _)| *t == token) else {
            return;
        };
        let Ok(StoreRep::Rows(rows)) = res else {
            return self.on_read_failed(cx, asked_at);
        };
        if cx.board.store_down {
            cx.board.store_down = false;
            event!(Info, StoreUp, "");
        }
        cx.emit(Event::FleetRowsRead { rows: Arc::from(rows.as_slice()), asked_at });
    }

    fn on_event(&mut self, cx: &mut Cx<'_>, event: &Event) {
        match event {
            // The configuration area has handled the event already, so `head_seen` covers the rows that
            // were read.
            Event::FleetRowsRead { asked_at, .. } => {
                if self.evidence_floor.is_none_or(|floor| *asked_at >= floor) {
                    self.evidence.record_store_read(*asked_at);
                }
                self.reassess(cx);
            }
            Event::ConfChanged | Event::MembersChanged => {
                self.store_region = Self::store_region(cx);
                self.reassess(cx);
            }
            Event::PullAnswered { .. } => {
                self.reassess(cx);
            }
            Event::ServersChanged | Event::Stopping | Event::Resumed { .. } => {}
        }
    }

    fn status(&self) -> Value {
        json!({
            "current": self.is_current, "reading": self.pending_read.is_some(),
            "pulls": self.pending_pulls.len(),
            "was_current": self.was_current,
        })
    }
}
