//! What this daemon sees: counts by server, against the service's other servers in the same period.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::{CustomerId, Place, ServerId};
use kernel::{Outcome, OutcomeKind, ServerCounters};
use wire::health::Evidence;

use crate::cusum::{BAD_EXCESS, Ratio, SLOW_EXCESS};
use crate::histogram::Histogram;

/// Answers up to this size are judged by their whole time, in bytes.
const SMALL_BYTES: u64 = 64 * 1024;
/// Answers up to this size form the middle class, in bytes.
const MIDDLE_BYTES: u64 = 1024 * 1024;
/// Size classes, each for near and far servers.
const GROUPS: usize = 6;
/// Quantile of the other servers' latencies that is the reference; a quarter of them may be sick too.
const SLOW_QUANTILE: f32 = 0.75;
/// Factor on that quantile.
const SLOW_FACTOR: f64 = 2.0;
/// Added to it, so that microseconds never decide.
const SLOW_SLACK: Duration = Duration::from_millis(1);
/// Weight of the other servers' latencies from which they are a reference.
const MIN_REFERENCE: f32 = 20.0;
/// Share of the past that each period keeps.
const KEEP: f32 = 0.95;
/// Customers remembered for each service.
const MAX_CUSTOMERS: usize = 1_024;
/// Answers of a customer before its own slowness is known.
const CUSTOMER_SAMPLES: u32 = 8;
/// Part of each answer in a customer's smoothed slowness.
const CUSTOMER_ALPHA: f64 = 1.0 / 16.0;
/// Share of the last second's counts that each period keeps.
const KEEP_BRIEF: f64 = 0.7;
/// Share of the evidence that a period without any answer keeps, so that avoidance always ends.
const KEEP_UNSEEN: f64 = 0.9;
/// Most local evidence, a log likelihood ratio.
const MAX_SUM: f64 = 40.0;
/// Share of the longest answer that each period keeps.
const KEEP_LONGEST: f64 = 0.99;
/// Multiple of the longest recent answer after which an unanswered request counts as bad.
const LONGEST_FACTOR: f64 = 1.5;
/// Multiple of the service's reference after which an unanswered request counts as bad.
const OVERDUE_FACTOR: u32 = 4;
/// Shortest time after which an unanswered request counts as bad.
const OVERDUE_MIN: Duration = Duration::from_millis(500);
/// Samples that the prior shares count for, in the recent past and in one period.
const RECENT_PRIOR: f64 = 20.0;
const PERIOD_PRIOR: f64 = 8.0;
/// Prior shares of bad and of slow answers.
const PRIOR_BAD: f64 = 0.01;
const PRIOR_SLOW: f64 = 0.05;

/// Counts of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Answers and overdue requests.
    pub total: f64,
    /// Bad ones.
    pub bad: f64,
    /// Slow ones.
    pub slow: f64,
}

impl Counts {
    pub(crate) fn add(&mut self, other: Self) {
        self.total += other.total;
        self.bad += other.bad;
        self.slow += other.slow;
    }

    pub(crate) fn sub(mut self, other: Self) -> Self {
        self.total = (self.total - other.total).max(0.0);
        self.bad = (self.bad - other.bad).max(0.0);
        self.slow = (self.slow - other.slow).max(0.0);
        self
    }

    pub(crate) fn fade(&mut self, factor: f64) {
        self.total *= factor;
        self.bad *= factor;
        self.slow *= factor;
    }

    /// Ratios for bad and for slow answers against the other servers' counts.
    ///
    /// The higher share of the recent past and of the present period counts as background, so that a
    /// trouble of the whole service speaks against nobody from its first period on.
    pub(crate) fn ratios(recent: Self, period: Self) -> (Ratio, Ratio) {
        let share = |hits, total, prior, weight| (hits + weight * prior) / (total + weight);
        let background = |hits: fn(&Self) -> f64, prior, excess| {
            let before = share(hits(&recent), recent.total, prior, RECENT_PRIOR);
            let now = share(hits(&period), period.total, prior, PERIOD_PRIOR);
            Ratio::against(f64::max(before, now), excess)
        };
        (background(|c| c.bad, PRIOR_BAD, BAD_EXCESS), background(|c| c.slow, PRIOR_SLOW, SLOW_EXCESS))
    }
}

/// One server as this daemon sees it.
#[derive(Debug)]
struct ServerWindow {
    cell: Arc<ServerCounters>,
    groups: [Option<Histogram>; GROUPS],
    /// Latency from which an answer is slow, by group; refreshed each period.
    limits: [Option<Duration>; GROUPS],
    pending: Counts,
    step: Counts,
    recent: Counts,
    /// Counts of about the last second, for doubts about this daemon itself.
    brief: Counts,
    bad_sum: f64,
    slow_sum: f64,
    /// Requests that were in flight at a time after which nothing has ended.
    stuck: (Instant, u32),
    /// Of them, already counted as bad.
    counted: u32,
}

impl ServerWindow {
    fn new(cell: Arc<ServerCounters>, now: Instant) -> Self {
        Self {
            cell,
            groups: [const { None }; GROUPS],
            limits: [None; GROUPS],
            pending: Counts::default(),
            step: Counts::default(),
            recent: Counts::default(),
            brief: Counts::default(),
            bad_sum: 0.0,
            slow_sum: 0.0,
            stuck: (now, 0),
            counted: 0,
        }
    }

    fn count(&mut self, counts: Counts) {
        self.pending.add(counts);
        self.step.add(counts);
    }
}

/// One service as this daemon sees it.
#[derive(Debug, Default)]
pub struct Window {
    servers: BTreeMap<ServerId, ServerWindow>,
    groups: [Option<Histogram>; GROUPS],
    /// Smoothed logarithm of a customer's latency over the reference, and its samples.
    customers: HashMap<CustomerId, (f64, u32)>,
    /// Longest recent whole answer, fading.
    longest: Duration,
}

impl Window {
    /// Takes one outcome and updates the server's consecutive failures.
    pub fn observe(&mut self, place: &Place, outcome: &Outcome) {
        if matches!(outcome.kind, OutcomeKind::Cancelled) {
            return;
        }
        let info = &outcome.server.info;
        let make = || ServerWindow::new(Arc::clone(&outcome.server.counters), outcome.at);
        let mut server = self.servers.remove(&info.id).unwrap_or_else(make);
        if !Arc::ptr_eq(&server.cell, &outcome.server.counters) {
            server.cell = Arc::clone(&outcome.server.counters);
        }
        server.stuck = (outcome.at, server.cell.in_flight.load(Relaxed));
        // What was counted while overdue is not counted again when it fails at its deadline.
        let was_counted = outcome.kind == OutcomeKind::Stall && server.counted > 0;
        server.counted = server.counted.saturating_sub(1);
        if outcome.kind.is_bad() {
            server.cell.failures.fetch_add(1, Relaxed);
        } else if outcome.kind != OutcomeKind::Shed {
            server.cell.failures.store(0, Relaxed);
        }
        let is_path = outcome.kind == OutcomeKind::SilentConnection;
        if outcome.kind != OutcomeKind::Shed && !is_path && !was_counted {
            let slow = outcome.kind == OutcomeKind::Ok && self.is_slow(&mut server, place, outcome);
            let bad = f64::from(u8::from(outcome.kind.is_bad()));
            server.count(Counts { total: 1.0, bad, slow: f64::from(u8::from(slow)) });
        }
        self.servers.insert(info.id.clone(), server);
    }

    fn is_slow(&mut self, server: &mut ServerWindow, place: &Place, outcome: &Outcome) -> bool {
        self.longest = self.longest.max(outcome.total);
        let far = outcome.server.info.place.region != place.region;
        let class = usize::from(outcome.bytes > SMALL_BYTES) + usize::from(outcome.bytes > MIDDLE_BYTES);
        let latency = if class == 0 { outcome.total } else { outcome.first_byte };
        let group = class * 2 + usize::from(far);
        let limit = server.limits[group];
        let latency = self.normalise(outcome.customer.as_ref(), latency, limit);
        server.groups[group].get_or_insert_default().record(latency);
        self.groups[group].get_or_insert_default().record(latency);
        limit.is_some_and(|l| latency > l)
    }

    /// Divides by how much slower this customer's answers are at all servers.
    fn normalise(
        &mut self,
        customer: Option<&CustomerId>,
        latency: Duration,
        limit: Option<Duration>,
    ) -> Duration {
        let (Some(customer), Some(limit)) = (customer, limit) else { return latency };
        if self.customers.len() >= MAX_CUSTOMERS && !self.customers.contains_key(customer) {
            self.customers.clear();
        }
        let (level, samples) = self.customers.entry(customer.clone()).or_default();
        let known = *level;
        let ln = (latency.as_secs_f64() / limit.as_secs_f64()).max(1e-6).ln();
        *samples += 1;
        *level += (ln - *level) * CUSTOMER_ALPHA.max(1.0 / f64::from(*samples));
        if *samples < CUSTOMER_SAMPLES {
            return latency.min(limit);
        }
        // Only a customer whose typical answer is above the others' tail is divided down.
        latency.div_f64(known.exp().max(1.0))
    }

    /// Counts requests as bad that are in flight for too long while nothing ends at their server.
    pub fn count_overdue(&mut self, now: Instant) {
        let limit = self.servers.values().flat_map(|s| s.limits.iter().flatten()).max().copied();
        let Some(limit) = limit else { return };
        let wait = OVERDUE_MIN.max(limit * OVERDUE_FACTOR).max(self.longest.mul_f64(LONGEST_FACTOR));
        for server in self.servers.values_mut() {
            let in_flight = server.cell.in_flight.load(Relaxed);
            let (since, stuck) = server.stuck;
            if in_flight < stuck || stuck == 0 {
                server.stuck = (now, in_flight);
            } else if now >= since + wait {
                let overdue = stuck.saturating_sub(server.counted);
                server.count(Counts { total: f64::from(overdue), bad: f64::from(overdue), slow: 0.0 });
                server.cell.failures.fetch_add(overdue, Relaxed);
                server.counted += overdue;
                server.stuck = (now, in_flight);
            }
        }
    }

    /// Ends a period: steps the local tests, forgets a little, refreshes the limits.
    pub fn step(&mut self) {
        let (mut all, mut all_now) = (Counts::default(), Counts::default());
        for server in self.servers.values_mut() {
            server.recent.add(server.step);
            all.add(server.recent);
            all_now.add(server.step);
        }
        for server in self.servers.values_mut() {
            let step = std::mem::take(&mut server.step);
            let (bad, slow) = Counts::ratios(all.sub(server.recent), all_now.sub(step));
            let keep = if step.total > 0.0 { 1.0 } else { KEEP_UNSEEN };
            let add = |sum: f64, ratio: f64| ((sum * keep) + ratio).clamp(0.0, MAX_SUM);
            server.bad_sum = add(server.bad_sum, bad.of(step.bad, step.total));
            server.slow_sum = add(server.slow_sum, slow.of(step.slow, step.total));
            server.recent.fade(f64::from(KEEP));
            server.brief.fade(KEEP_BRIEF);
            server.brief.add(step);
        }
        self.longest = self.longest.mul_f64(KEEP_LONGEST);
        self.refresh();
    }

    fn refresh(&mut self) {
        let empty = Histogram::default();
        for (index, all) in self.groups.iter_mut().enumerate() {
            let Some(all) = all else { continue };
            for server in self.servers.values_mut() {
                let own = server.groups[index].as_ref().unwrap_or(&empty);
                let reference = all.quantile_without(own, SLOW_QUANTILE, MIN_REFERENCE);
                server.limits[index] = reference.map(|r| r.mul_f64(SLOW_FACTOR) + SLOW_SLACK);
                if let Some(own) = &mut server.groups[index] {
                    own.fade(KEEP);
                }
            }
            all.fade(KEEP);
        }
    }

    /// Local evidence against a server; 0 when nothing speaks against it.
    pub fn score(&self, id: &ServerId) -> f64 {
        self.servers.get(id).map_or(0.0, |s| s.bad_sum.max(s.slow_sum))
    }

    /// Servers with their local evidence.
    pub fn scores(&self) -> impl Iterator<Item = (&ServerId, f64)> {
        self.servers.iter().map(|(id, s)| (id, s.bad_sum.max(s.slow_sum)))
    }

    /// Whether most of at least two servers look bad or slow by the prior alone: this daemon's trouble.
    pub fn is_mostly_bad(&self) -> bool {
        let seen = self.servers.values().filter(|s| s.brief.total >= 2.0);
        let bad = |s: &&ServerWindow| (s.brief.bad + s.brief.slow) * 2.0 > s.brief.total;
        let (all, bad) = (seen.clone().count(), seen.filter(bad).count());
        all >= 2 && bad * 2 > all
    }

    /// Counts since the last digest; starts a new one.
    pub fn take_digest(&mut self) -> Vec<Evidence> {
        let seen = self.servers.iter_mut().filter(|(_, s)| s.pending.total > 0.0);
        seen.map(|(id, server)| {
            let counts = std::mem::take(&mut server.pending);
            Evidence {
                server: id.clone(),
                total: counts.total as u32,
                bad: counts.bad as u32,
                slow: counts.slow as u32,
            }
        })
        .collect()
    }

    /// Forgets servers that are no longer announced.
    pub fn retain(&mut self, is_known: impl Fn(&ServerId) -> bool) {
        self.servers.retain(|id, _| is_known(id));
    }

    /// Whether the daemon has seen any server of the service.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
