//! Outcome statistics of one service in one daemon, and the evidence that they give against each server.
//!
//! A server is compared with the service's other servers in the same period, so that a failure of the whole
//! service is evidence against no server. Latencies are compared in groups of similar answer size and
//! distance.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::{CustomerId, Place, ServerId};
use kernel::{Outcome, OutcomeKind, ServerCounters};
use wire::health::Evidence;

use crate::cusum::{BAD_EXCESS, LogLikelihoodRatio, SLOW_EXCESS};
use crate::histogram::Histogram;

/// Largest answer that is judged by its total time; larger ones are judged by the time to their first byte.
const SMALL_ANSWER_MAX_BYTES: u64 = 64 * 1024;
/// Largest answer of the medium size class.
const MEDIUM_ANSWER_MAX_BYTES: u64 = 1024 * 1024;
/// Groups of comparable latencies: three size classes, each for servers in this region and in others.
const LATENCY_GROUPS: usize = 6;
/// Quantile of the other servers' latencies that serves as the reference. Up to a quarter of these
/// latencies may be slow too.
const REFERENCE_QUANTILE: f32 = 0.75;
/// Factor on the reference above which an answer is slow.
const SLOW_FACTOR: f64 = 2.0;
/// Added to the limit of slowness, so that differences of microseconds do not decide.
const SLOW_SLACK: Duration = Duration::from_millis(1);
/// Weight of the other servers' latencies below which there is no reference.
const MIN_REFERENCE_WEIGHT: f32 = 20.0;
/// Factor on latencies and counts of the recent past at the end of each period.
const RECENT_DECAY_FACTOR: f32 = 0.95;
/// Customers whose typical latency is remembered for each service.
const MAX_CUSTOMERS: usize = 1_024;
/// Answers of a customer before its typical latency is known.
const MIN_CUSTOMER_SAMPLES: u32 = 8;
/// Weight of one answer in the moving average of a customer's latency.
const CUSTOMER_SMOOTHING: f64 = 1.0 / 16.0;
/// Factor on the last second's counts at the end of each period.
const LAST_SECOND_DECAY_FACTOR: f64 = 0.7;
/// Factor on the evidence at the end of a period without any answer, so that avoidance always ends.
const UNSEEN_DECAY_FACTOR: f64 = 0.9;
/// Upper bound of the local evidence, a log likelihood ratio.
const MAX_LOCAL_EVIDENCE: f64 = 40.0;
/// Factor on the longest recent answer at the end of each period.
const LONGEST_ANSWER_DECAY_FACTOR: f64 = 0.99;
/// Multiple of the longest recent answer after which an unanswered request is overdue and counts as bad.
const OVERDUE_LONGEST_FACTOR: f64 = 1.5;
/// Multiple of the highest limit of slowness after which an unanswered request is overdue.
const OVERDUE_LIMIT_FACTOR: u32 = 4;
/// Shortest time after which an unanswered request is overdue.
const OVERDUE_MIN: Duration = Duration::from_millis(500);
/// Samples that the prior shares count for against the recent past.
const RECENT_PRIOR_SAMPLES: f64 = 20.0;
/// Samples that the prior shares count for against one period.
const PERIOD_PRIOR_SAMPLES: f64 = 8.0;
/// Assumed share of bad answers while there are few samples.
const PRIOR_BAD_SHARE: f64 = 0.01;
/// Assumed share of slow answers while there are few samples.
const PRIOR_SLOW_SHARE: f64 = 0.05;

/// Outcomes of one server's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Answers, failed requests and overdue requests.
    pub total: f64,
    /// Failed and overdue requests.
    pub bad: f64,
    /// Good but slow answers.
    pub slow: f64,
}

impl OutcomeCounts {
    pub(crate) fn add(&mut self, other: Self) {
        self.total += other.total;
        self.bad += other.bad;
        self.slow += other.slow;
    }

    /// Subtracts counts, down to 0.
    pub(crate) fn sub(mut self, other: Self) -> Self {
        self.total = (self.total - other.total).max(0.0);
        self.bad = (self.bad - other.bad).max(0.0);
        self.slow = (self.slow - other.slow).max(0.0);
        self
    }

    pub(crate) fn decay(&mut self, factor: f64) {
        self.total *= factor;
        self.bad *= factor;
        self.slow *= factor;
    }

    /// Log likelihood ratios of bad and of slow answers, given the other servers' counts in the recent past
    /// and in the present period.
    ///
    /// The higher share of the two is the background, so that a failure of the whole service is evidence
    /// against no server from its first period on.
    pub(crate) fn likelihood_ratios(recent: Self, period: Self) -> (LogLikelihoodRatio, LogLikelihoodRatio) {
        let share = |hits, total, prior, weight| (hits + weight * prior) / (total + weight);
        let background = |hits: fn(&Self) -> f64, prior, excess| {
            let before = share(hits(&recent), recent.total, prior, RECENT_PRIOR_SAMPLES);
            let now = share(hits(&period), period.total, prior, PERIOD_PRIOR_SAMPLES);
            LogLikelihoodRatio::for_background(f64::max(before, now), excess)
        };
        (
            background(|c| c.bad, PRIOR_BAD_SHARE, BAD_EXCESS),
            background(|c| c.slow, PRIOR_SLOW_SHARE, SLOW_EXCESS),
        )
    }
}

/// Statistics of one server.
#[derive(Debug)]
struct ServerStats {
    counters: Arc<ServerCounters>,
    /// Latencies by group.
    histograms: [Option<Histogram>; LATENCY_GROUPS],
    /// Latency above which an answer is slow, by group. Updated at the end of each period; `None` without a
    /// reference.
    slow_limits: [Option<Duration>; LATENCY_GROUPS],
    /// Counts for the next digest.
    since_digest: OutcomeCounts,
    /// Counts of the current period.
    period: OutcomeCounts,
    /// Counts of the recent past, with exponential decay.
    recent: OutcomeCounts,
    /// Counts of about the last second, from which the daemon judges whether it is itself the cause.
    last_second: OutcomeCounts,
    bad_evidence: f64,
    slow_evidence: f64,
    /// Time at which a request last ended, and the requests that were in flight then.
    last_progress: (Instant, u32),
    /// How many of the requests in flight were already counted as overdue.
    counted_overdue: u32,
}

impl ServerStats {
    fn new(counters: Arc<ServerCounters>, now: Instant) -> Self {
        Self {
            counters,
            histograms: [const { None }; LATENCY_GROUPS],
            slow_limits: [None; LATENCY_GROUPS],
            since_digest: OutcomeCounts::default(),
            period: OutcomeCounts::default(),
            recent: OutcomeCounts::default(),
            last_second: OutcomeCounts::default(),
            bad_evidence: 0.0,
            slow_evidence: 0.0,
            last_progress: (now, 0),
            counted_overdue: 0,
        }
    }

    fn add_counts(&mut self, counts: OutcomeCounts) {
        self.since_digest.add(counts);
        self.period.add(counts);
    }
}

/// Statistics of one service in one daemon.
#[derive(Debug, Default)]
pub struct ServiceStats {
    servers: BTreeMap<ServerId, ServerStats>,
    /// Latencies of all servers together, by group.
    histograms: [Option<Histogram>; LATENCY_GROUPS],
    /// By customer: the moving average of the logarithm of latency over the limit of slowness, and its
    /// samples.
    customers: HashMap<CustomerId, (f64, u32)>,
    /// Total time of the longest recent answer, with exponential decay.
    longest_answer: Duration,
}

impl ServiceStats {
    /// Records the outcome of one request and updates the server's consecutive failures. `place` is this
    /// daemon's.
    pub fn record_outcome(&mut self, place: &Place, outcome: &Outcome) {
        if matches!(outcome.kind, OutcomeKind::Cancelled) {
            return;
        }
        let info = &outcome.server.info;
        let make = || ServerStats::new(Arc::clone(&outcome.server.counters), outcome.at);
        let mut server = self.servers.remove(&info.id).unwrap_or_else(make);
        if !Arc::ptr_eq(&server.counters, &outcome.server.counters) {
            server.counters = Arc::clone(&outcome.server.counters);
        }
        server.last_progress = (outcome.at, server.counters.in_flight.load(Relaxed));
        // A request that was counted as overdue is not counted again when it fails at its deadline.
        let was_counted = outcome.kind == OutcomeKind::Stall && server.counted_overdue > 0;
        server.counted_overdue = server.counted_overdue.saturating_sub(1);
        if outcome.kind.is_bad() {
            server.counters.failures.fetch_add(1, Relaxed);
        } else if outcome.kind != OutcomeKind::Shed {
            server.counters.failures.store(0, Relaxed);
        }
        let is_path_failure = outcome.kind == OutcomeKind::SilentConnection;
        if outcome.kind != OutcomeKind::Shed && !is_path_failure && !was_counted {
            let slow = outcome.kind == OutcomeKind::Ok && self.record_latency(&mut server, place, outcome);
            let bad = f64::from(u8::from(outcome.kind.is_bad()));
            server.add_counts(OutcomeCounts { total: 1.0, bad, slow: f64::from(u8::from(slow)) });
        }
        self.servers.insert(info.id.clone(), server);
    }

    /// Records the latency of a complete answer and returns whether it is slow.
    fn record_latency(&mut self, server: &mut ServerStats, place: &Place, outcome: &Outcome) -> bool {
        self.longest_answer = self.longest_answer.max(outcome.total);
        let far = outcome.server.info.place.region != place.region;
        let class = usize::from(outcome.bytes > SMALL_ANSWER_MAX_BYTES)
            + usize::from(outcome.bytes > MEDIUM_ANSWER_MAX_BYTES);
        let latency = if class == 0 { outcome.total } else { outcome.first_byte };
        let group = class * 2 + usize::from(far);
        let limit = server.slow_limits[group];
        let latency = self.normalise_for_customer(outcome.customer.as_ref(), latency, limit);
        server.histograms[group].get_or_insert_default().record(latency);
        self.histograms[group].get_or_insert_default().record(latency);
        limit.is_some_and(|l| latency > l)
    }

    /// Divides the latency by the factor by which the customer's answers are slower than those of other
    /// customers at all servers. Until that factor is known, the customer's answers do not count as slow.
    fn normalise_for_customer(
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
        *level += (ln - *level) * CUSTOMER_SMOOTHING.max(1.0 / f64::from(*samples));
        if *samples < MIN_CUSTOMER_SAMPLES {
            return latency.min(limit);
        }
        // A customer whose typical answer is below the limit is left as it is.
        latency.div_f64(known.exp().max(1.0))
    }

    /// Counts overdue requests as bad: those that have been in flight for too long while none ended at their
    /// server.
    pub fn count_overdue(&mut self, now: Instant) {
        let limit = self.servers.values().flat_map(|s| s.slow_limits.iter().flatten()).max().copied();
        let Some(limit) = limit else { return };
        let wait = OVERDUE_MIN
            .max(limit * OVERDUE_LIMIT_FACTOR)
            .max(self.longest_answer.mul_f64(OVERDUE_LONGEST_FACTOR));
        for server in self.servers.values_mut() {
            let in_flight = server.counters.in_flight.load(Relaxed);
            let (since, stuck) = server.last_progress;
            if in_flight < stuck || stuck == 0 {
                server.last_progress = (now, in_flight);
            } else if now >= since + wait {
                let overdue = stuck.saturating_sub(server.counted_overdue);
                server.add_counts(OutcomeCounts {
                    total: f64::from(overdue),
                    bad: f64::from(overdue),
                    slow: 0.0,
                });
                server.counters.failures.fetch_add(overdue, Relaxed);
                server.counted_overdue += overdue;
                server.last_progress = (now, in_flight);
            }
        }
    }

    /// Ends a period: updates the local evidence, decays the past and refreshes the limits of slowness.
    pub fn end_period(&mut self) {
        let (mut all, mut all_now) = (OutcomeCounts::default(), OutcomeCounts::default());
        for server in self.servers.values_mut() {
            server.recent.add(server.period);
            all.add(server.recent);
            all_now.add(server.period);
        }
        for server in self.servers.values_mut() {
            let period = std::mem::take(&mut server.period);
            let (bad, slow) = OutcomeCounts::likelihood_ratios(all.sub(server.recent), all_now.sub(period));
            let keep = if period.total > 0.0 { 1.0 } else { UNSEEN_DECAY_FACTOR };
            let add = |sum: f64, ratio: f64| ((sum * keep) + ratio).clamp(0.0, MAX_LOCAL_EVIDENCE);
            server.bad_evidence = add(server.bad_evidence, bad.of_samples(period.bad, period.total));
            server.slow_evidence = add(server.slow_evidence, slow.of_samples(period.slow, period.total));
            server.recent.decay(f64::from(RECENT_DECAY_FACTOR));
            server.last_second.decay(LAST_SECOND_DECAY_FACTOR);
            server.last_second.add(period);
        }
        self.longest_answer = self.longest_answer.mul_f64(LONGEST_ANSWER_DECAY_FACTOR);
        self.refresh_slow_limits();
    }

    fn refresh_slow_limits(&mut self) {
        let empty = Histogram::default();
        for (index, all) in self.histograms.iter_mut().enumerate() {
            let Some(all) = all else { continue };
            for server in self.servers.values_mut() {
                let own = server.histograms[index].as_ref().unwrap_or(&empty);
                let reference = all.quantile_without(own, REFERENCE_QUANTILE, MIN_REFERENCE_WEIGHT);
                server.slow_limits[index] = reference.map(|r| r.mul_f64(SLOW_FACTOR) + SLOW_SLACK);
                if let Some(own) = &mut server.histograms[index] {
                    own.decay(RECENT_DECAY_FACTOR);
                }
            }
            all.decay(RECENT_DECAY_FACTOR);
        }
    }

    /// Local evidence against a server; 0 if nothing speaks against it.
    pub fn score(&self, id: &ServerId) -> f64 {
        self.servers.get(id).map_or(0.0, |s| s.bad_evidence.max(s.slow_evidence))
    }

    /// All servers seen, with the local evidence against them.
    pub fn scores(&self) -> impl Iterator<Item = (&ServerId, f64)> {
        self.servers.iter().map(|(id, s)| (id, s.bad_evidence.max(s.slow_evidence)))
    }

    /// Whether most of the servers, and at least two, answered most requests badly or slowly within the last
    /// second. Then the cause is probably this daemon.
    pub fn is_mostly_bad(&self) -> bool {
        let seen = self.servers.values().filter(|s| s.last_second.total >= 2.0);
        let bad = |s: &&ServerStats| (s.last_second.bad + s.last_second.slow) * 2.0 > s.last_second.total;
        let (all, bad) = (seen.clone().count(), seen.filter(bad).count());
        all >= 2 && bad * 2 > all
    }

    /// Returns the counts since the last digest and resets them.
    pub fn take_digest(&mut self) -> Vec<Evidence> {
        let seen = self.servers.iter_mut().filter(|(_, s)| s.since_digest.total > 0.0);
        seen.map(|(id, server)| {
            let counts = std::mem::take(&mut server.since_digest);
            Evidence {
                server: id.clone(),
                total: counts.total as u32,
                bad: counts.bad as u32,
                slow: counts.slow as u32,
            }
        })
        .collect()
    }

    /// Drops the servers for which `is_known` is false: they are no longer announced.
    pub fn retain_servers(&mut self, is_known: impl Fn(&ServerId) -> bool) {
        self.servers.retain(|id, _| is_known(id));
    }

    /// Whether the daemon has seen no server of the service yet.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
