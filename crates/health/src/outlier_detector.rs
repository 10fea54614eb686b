//! Outlier detection for one service at its coordinator: merges the daemons' counts, ejects servers, and lets
//! them return by a hold without requests, a trial with few requests and a ramp of growing weights.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use base::{DaemonId, DataCentre, ServerId};
use wire::health::{EjectionEntry, Evidence};

use crate::cusum::Cusum;
use crate::ejection_lists::{ActiveEjection, MAX_ENTRY_TTL, WORKING_WEIGHT};
use crate::service_stats::OutcomeCounts;

/// Time between two calls of [`OutlierDetector::end_period`].
pub const DETECTION_PERIOD: Duration = Duration::from_millis(250);
/// Time for which a daemon that sent a digest counts as an observer.
const OBSERVER_TTL: Duration = Duration::from_secs(15);
/// Part of the threshold that the evidence has to reach without the observer who contributes most.
const MIN_SHARE_WITHOUT_TOP_OBSERVER: f64 = 0.3;
/// Part of the threshold above which a server counts as suspect.
const SUSPICION_THRESHOLD_FACTOR: f64 = 0.125;
/// Factor on the threshold while a single daemon sends digests on the service, since nobody can confirm its
/// evidence.
const SINGLE_OBSERVER_THRESHOLD_FACTOR: f64 = 2.0;
/// Samples that an observer needs to contradict the others.
const MIN_OBSERVER_SAMPLES: f64 = 3.0;
/// Samples that the observers of a data centre together need to contradict the others.
const MIN_DATA_CENTRE_SAMPLES: f64 = 20.0;
/// Factor on the recent counts at the end of each period.
const RECENT_DECAY_FACTOR: f64 = 0.9;
/// Upper bound of the evidence of slowness from one period, so that a short queue at a server does not get it
/// ejected.
const MAX_SLOW_EVIDENCE_PER_PERIOD: f64 = 9.0;
/// Factor on the evidence at the end of a period without any digest on the server.
const UNSEEN_DECAY_FACTOR: f64 = 0.97;
/// Upper bound of the hold, which doubles with each ejection of a flapping server.
const MAX_HOLD: Duration = Duration::from_mins(1);
/// Time after a server's return in which another ejection counts as flapping.
const FLAP_WINDOW: Duration = Duration::from_mins(1);
/// Weight of a server on trial.
const TRIAL_WEIGHT: f32 = 0.05;
/// Good answers with which a trial succeeds.
const TRIAL_MIN_GOOD: f64 = 5.0;
/// Bad or slow answers with which a trial may fail; they also have to be more than a third of all.
const TRIAL_MIN_BAD: f64 = 2.0;
/// Time after which a trial without enough answers counts as successful, so that an ejected server without
/// traffic returns too.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Weights of the ramp after a trial, each for [`RAMP_STEP_DURATION`].
const RAMP_WEIGHTS: [f32; 2] = [WORKING_WEIGHT, 0.75];
/// Time for each weight of the ramp. The whole ramp takes [`MAX_ENTRY_TTL`], so that no daemon still
/// excludes the server when its part of the ejection budget becomes free for another server.
const RAMP_STEP_DURATION: Duration = Duration::from_secs(3);

/// Settings that trade detection time against false ejections.
#[derive(Clone, Copy, Debug)]
pub struct DetectorConfig {
    /// Evidence at which a server is ejected, as a log likelihood ratio. One false ejection is expected in no
    /// fewer than `e.powf(threshold)` merged samples.
    pub threshold: f64,
    /// Time without requests after a first ejection; repeated ejections double it.
    pub hold: Duration,
}

impl Default for DetectorConfig {
    fn default() -> Self {
        Self { threshold: 23.0, hold: Duration::from_secs(5) }
    }
}

/// Stage of an ejected server on its way back to full weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// The server gets no requests until the contained time.
    Out(Instant),
    /// The server gets a few repeatable requests. Ends at the contained time at the latest.
    Trial(Instant),
    /// The server gets a growing share of the requests. Holds the index of the current weight in the ramp,
    /// and the time of the next step.
    Ramp(usize, Instant),
}

impl Stage {
    fn weight(self) -> f32 {
        match self {
            Self::Out(_) => 0.0,
            Self::Trial(_) => TRIAL_WEIGHT,
            Self::Ramp(step, _) => RAMP_WEIGHTS[step],
        }
    }
}

/// A change in the state of a server that a period brought about. Numbers are the evidence against the
/// server.
#[derive(Clone, Debug, PartialEq)]
pub enum EjectionChange {
    /// The server was ejected.
    Ejected(ServerId, f64),
    /// The ejected server gets trial requests from now on.
    TrialStarted(ServerId),
    /// The server gets its full share of requests again.
    Returned(ServerId),
    /// The evidence suffices, but with the server ejected fewer than the floor would remain.
    HeldByFloor(ServerId, f64),
    /// The evidence suffices, but observers contradict each other or too few of them confirm it. The network
    /// path may be at fault, so only the daemons that see the trouble avoid the server.
    Unconfirmed(ServerId, f64),
}

/// Evidence on one server and the state of its ejection.
#[derive(Debug, Default)]
struct ServerCase {
    /// Counts received in this period, by the daemon that sent them.
    pending: HashMap<DaemonId, OutcomeCounts>,
    /// Counts of the recent past, with exponential decay.
    recent: OutcomeCounts,
    /// Counts of all daemons in the period that ends.
    period: OutcomeCounts,
    bad: Cusum,
    slow: Cusum,
    /// Counts since the trial began.
    trial: OutcomeCounts,
    stage: Option<Stage>,
    /// Evidence at the last ejection.
    score: f64,
    /// Ejections in a row, each on the way back from the one before or within [`FLAP_WINDOW`] of the return.
    ejections_in_a_row: u32,
    returned_at: Option<Instant>,
    /// Whether the reason for not ejecting was reported since the evidence was last 0.
    was_reported: bool,
}

/// Outlier detector of one service.
#[derive(Debug)]
pub struct OutlierDetector {
    config: DetectorConfig,
    cases: BTreeMap<ServerId, ServerCase>,
    /// Daemons that sent a digest lately, with the time of the last one and their data centres.
    observers: HashMap<DaemonId, (Instant, DataCentre)>,
    /// No server is ejected before this time, so that lists of an earlier coordinator and announcements of an
    /// earlier view have expired.
    not_before: Instant,
}

impl OutlierDetector {
    /// Creates the detector of a coordinator that takes the service over and ejects no server before
    /// `not_before`.
    pub fn new(config: DetectorConfig, not_before: Instant) -> Self {
        Self { config, cases: BTreeMap::new(), observers: HashMap::new(), not_before }
    }

    /// Takes over the servers that another coordinator has ejected: each server starts a first hold now.
    pub fn adopt_entries(&mut self, now: Instant, entries: &BTreeMap<ServerId, ActiveEjection>) {
        for (id, entry) in entries {
            let case = self.cases.entry(id.clone()).or_default();
            if case.stage.is_none() {
                case.score = f64::from(entry.score);
                case.ejections_in_a_row = 1;
                case.stage = Some(Stage::Out(now + self.config.hold));
            }
        }
    }

    /// Records a daemon's digest. If the daemon is starved of processor time or finds most servers bad, it
    /// counts as an observer, but its digest is no evidence.
    pub fn record_digest(
        &mut self,
        now: Instant,
        from: DaemonId,
        data_centre: &DataCentre,
        is_sender_starved: bool,
        list: &[Evidence],
    ) {
        self.observers.insert(from, (now, data_centre.clone()));
        if is_sender_starved || is_mostly_bad(list) {
            return;
        }
        for e in list {
            let total = f64::from(e.total);
            let bad = f64::from(e.bad).min(total);
            let slow = f64::from(e.slow).min(total);
            let case = self.cases.entry(e.server.clone()).or_default();
            case.pending.entry(from).or_default().add(OutcomeCounts { total, bad, slow });
        }
    }

    /// Daemons that sent a digest lately and so count as observers.
    pub fn observers(&self) -> impl Iterator<Item = &DaemonId> {
        self.observers.keys()
    }

    /// Servers with some evidence against them, too little for an ejection. More daemons should send requests
    /// there and report on them.
    pub fn suspects(&self) -> Vec<ServerId> {
        let suspicion = self.config.threshold * SUSPICION_THRESHOLD_FACTOR;
        let is_suspect = |c: &ServerCase| c.stage.is_none() && c.bad.sum().max(c.slow.sum()) > suspicion;
        self.cases.iter().filter(|(_, c)| is_suspect(c)).map(|(id, _)| id.clone()).collect()
    }

    /// Whether any server is ejected or on its way back, so that frequent digests are worth their bytes.
    pub fn is_returning(&self) -> bool {
        self.cases.values().any(|c| c.stage.is_some())
    }

    /// Ends a period: merges the digests, advances the stages of ejected servers and ejects further ones.
    ///
    /// `budget` is the number of ready servers that may be ejected at the same time; `others`, the servers
    /// that other coordinators have ejected, count against it. `is_ready` tells which servers are ready.
    pub fn end_period(
        &mut self,
        now: Instant,
        budget: usize,
        others: &[ServerId],
        is_ready: impl Fn(&ServerId) -> bool,
    ) -> Vec<EjectionChange> {
        self.observers.retain(|_, (at, _)| *at + OBSERVER_TTL > now);
        self.merge_evidence();
        let mut changes = Vec::new();
        for (id, case) in &mut self.cases {
            case.advance(now, &self.config, id, &mut changes);
        }
        self.eject_outliers(now, budget, others, &is_ready, &mut changes);
        changes
    }

    /// Adds the pending counts to the evidence, comparing each server with the other ones in the same period.
    /// No server is compared with ejected ones.
    fn merge_evidence(&mut self) {
        let (mut all, mut all_now) = (OutcomeCounts::default(), OutcomeCounts::default());
        for case in self.cases.values_mut() {
            case.period = OutcomeCounts::default();
            for counts in case.pending.values() {
                case.period.add(*counts);
            }
            case.recent.add(case.period);
            if !case.is_out() {
                all.add(case.recent);
                all_now.add(case.period);
            }
        }
        for case in self.cases.values_mut() {
            let is_out = case.is_out();
            let recent = if is_out { all } else { all.sub(case.recent) };
            let now = if is_out { all_now } else { all_now.sub(case.period) };
            let (bad, slow) = OutcomeCounts::likelihood_ratios(recent, now);
            let before = (case.bad.sum(), case.slow.sum());
            let mut pending: Vec<_> = case.pending.drain().collect();
            pending.sort_by_key(|(observer, _)| *observer);
            for (observer, counts) in pending {
                let Some((_, centre)) = self.observers.get(&observer) else { continue };
                case.bad.add(observer, centre, bad.of_samples(counts.bad, counts.total), counts.total);
                case.slow.add(observer, centre, slow.of_samples(counts.slow, counts.total), counts.total);
                case.trial.add(counts);
            }
            case.bad.end_period(before.0, f64::INFINITY);
            case.slow.end_period(before.1, MAX_SLOW_EVIDENCE_PER_PERIOD);
            if case.period.total == 0.0 {
                case.bad.decay(UNSEEN_DECAY_FACTOR);
                case.slow.decay(UNSEEN_DECAY_FACTOR);
            }
            case.recent.decay(RECENT_DECAY_FACTOR);
        }
    }

    /// Ejects the servers with enough evidence, those with the most evidence first, as far as the budget
    /// allows.
    fn eject_outliers(
        &mut self,
        now: Instant,
        budget: usize,
        others: &[ServerId],
        is_ready: &impl Fn(&ServerId) -> bool,
        changes: &mut Vec<EjectionChange>,
    ) {
        let own =
            self.cases.iter().filter(|(id, c)| c.stage.is_some() && is_ready(id) && !others.contains(id));
        let mut room = budget.saturating_sub(own.count() + others.iter().filter(|id| is_ready(id)).count());
        let has_single_observer = self.observers.len() == 1;
        let threshold =
            self.config.threshold * if has_single_observer { SINGLE_OBSERVER_THRESHOLD_FACTOR } else { 1.0 };
        let mut outliers: Vec<(f64, ServerId)> = Vec::new();
        for (id, case) in self.cases.iter_mut().filter(|(id, c)| !c.is_out() && is_ready(id)) {
            let score = case.bad.sum().max(case.slow.sum());
            if score < threshold {
                case.was_reported &= score > 0.0;
            } else if has_single_observer
                || case.bad.is_confirmed(threshold)
                || case.slow.is_confirmed(threshold)
            {
                outliers.push((score, id.clone()));
            } else if !std::mem::replace(&mut case.was_reported, true) {
                changes.push(EjectionChange::Unconfirmed(id.clone(), score));
            }
        }
        outliers.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (score, id) in outliers {
            let Some(case) = self.cases.get_mut(&id) else { continue };
            let is_listed = case.stage.is_some();
            if (is_listed || room > 0) && now >= self.not_before {
                room -= usize::from(!is_listed);
                case.eject(now, &self.config, score);
                changes.push(EjectionChange::Ejected(id, score));
            } else if room == 0 && !std::mem::replace(&mut case.was_reported, true) {
                changes.push(EjectionChange::HeldByFloor(id, score));
            }
        }
    }

    /// The list to send to all daemons: every server that is ejected or on its way back.
    pub fn ejection_list(&self) -> Vec<EjectionEntry> {
        let entry = |(id, case): (&ServerId, &ServerCase)| {
            let weight = case.stage?.weight();
            let ttl_ms = MAX_ENTRY_TTL.as_millis() as u32;
            Some(EjectionEntry { server: id.clone(), ttl_ms, weight, score: case.score as f32 })
        };
        self.cases.iter().filter_map(entry).collect()
    }

    /// For operators: evidence that the server is bad, evidence that it is slow, and its stage if it is
    /// ejected.
    pub fn explain(&self, id: &str) -> Option<(f64, f64, Option<Stage>)> {
        self.cases.get(id).map(|c| (c.bad.sum(), c.slow.sum(), c.stage))
    }

    /// Drops the servers for which `is_known` is false: they are no longer announced.
    pub fn retain_servers(&mut self, is_known: impl Fn(&ServerId) -> bool) {
        self.cases.retain(|id, _| is_known(id));
    }
}

/// Whether a digest finds most of its servers bad or slow, which speaks against the daemon that sent it.
fn is_mostly_bad(list: &[Evidence]) -> bool {
    let seen = list.iter().filter(|e| e.total >= 2);
    let bad = seen.clone().filter(|e| (e.bad + e.slow) * 2 > e.total).count();
    let all = seen.count();
    all >= 3 && bad * 2 > all
}

impl Cusum {
    /// Whether the evidence reaches `threshold` and at least two observers agree on it uncontradicted.
    fn is_confirmed(&self, threshold: f64) -> bool {
        self.sum() >= threshold
            && self.observers_against() >= 2
            && self.without_top_observer() >= threshold * MIN_SHARE_WITHOUT_TOP_OBSERVER
            && !self.is_contradicted(MIN_OBSERVER_SAMPLES, MIN_DATA_CENTRE_SAMPLES)
    }
}

impl ServerCase {
    /// Whether the server is ejected or on trial, so that it does not count as working.
    fn is_out(&self) -> bool {
        self.stage.is_some_and(|s| s.weight() < WORKING_WEIGHT)
    }

    fn eject(&mut self, now: Instant, config: &DetectorConfig, score: f64) {
        let is_flap = self.stage.is_some() || self.returned_at.is_some_and(|at| now < at + FLAP_WINDOW);
        self.ejections_in_a_row = if is_flap { self.ejections_in_a_row + 1 } else { 1 };
        let factor = 1_u32 << (self.ejections_in_a_row - 1).min(8);
        self.stage = Some(Stage::Out(now + (config.hold * factor).min(MAX_HOLD)));
        self.score = score;
        self.reset_evidence();
    }

    fn reset_evidence(&mut self) {
        self.bad.reset();
        self.slow.reset();
        self.trial = OutcomeCounts::default();
        self.was_reported = false;
    }

    /// Moves the server to its next stage if the time of the present one is over or its trial is decided.
    fn advance(
        &mut self,
        now: Instant,
        config: &DetectorConfig,
        id: &ServerId,
        changes: &mut Vec<EjectionChange>,
    ) {
        match self.stage {
            Some(Stage::Out(until)) if now >= until => {
                self.stage = Some(Stage::Trial(now + TRIAL_TIMEOUT));
                self.reset_evidence();
                changes.push(EjectionChange::TrialStarted(id.clone()));
            }
            Some(Stage::Trial(until)) => {
                let wrong = self.trial.bad + self.trial.slow;
                if wrong >= TRIAL_MIN_BAD && wrong * 3.0 > self.trial.total {
                    self.eject(now, config, self.score);
                    changes.push(EjectionChange::Ejected(id.clone(), self.score));
                } else if now >= until || self.trial.total - wrong >= TRIAL_MIN_GOOD {
                    self.stage = Some(Stage::Ramp(0, now + RAMP_STEP_DURATION));
                    self.reset_evidence();
                }
            }
            Some(Stage::Ramp(step, until)) if now >= until => {
                let next = step + 1;
                self.stage = (next < RAMP_WEIGHTS.len()).then(|| Stage::Ramp(next, now + RAMP_STEP_DURATION));
                if self.stage.is_none() {
                    self.returned_at = Some(now);
                    changes.push(EjectionChange::Returned(id.clone()));
                }
            }
            _ => {}
        }
    }
}
