//! The coordinator's judgement of one service: merged evidence, ejection, hold, trial, ramp.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use base::{DaemonId, DataCentre, ServerId};
use wire::health::{Ejected, Evidence};

use crate::cusum::Cusum;
use crate::ejection_lists::{EjectionEntry, MAX_ENTRY_TTL, WORKING_WEIGHT};
use crate::service_stats::OutcomeCounts;

/// Interval of [`OutlierDetector::end_period`].
pub const DETECTION_PERIOD: Duration = Duration::from_millis(250);
/// Time for which a daemon that sent a digest counts as an observer.
const OBSERVER_TTL: Duration = Duration::from_secs(15);
/// Part of the evidence that must remain without the strongest observer.
const MIN_SHARE_WITHOUT_TOP_OBSERVER: f64 = 0.3;
/// Part of the threshold from which a server is suspected.
const SUSPICION_THRESHOLD_FACTOR: f64 = 0.125;
/// Factor on the threshold when a single daemon sees the service at all.
const SINGLE_OBSERVER_THRESHOLD_FACTOR: f64 = 2.0;
/// Samples with which an observer, or a data centre, can contradict the others.
const MIN_OBSERVER_SAMPLES: f64 = 3.0;
const MIN_DATA_CENTRE_SAMPLES: f64 = 20.0;
/// Part of the recent counts that each period keeps.
const RECENT_DECAY_FACTOR: f64 = 0.9;
/// Most evidence of slowness in one period, so that a short queue ejects nobody.
const MAX_SLOW_EVIDENCE_PER_PERIOD: f64 = 9.0;
/// Part of the evidence that a period without any digest on the server keeps.
const UNSEEN_DECAY_FACTOR: f64 = 0.97;
/// Longest hold of a server that flaps.
const MAX_HOLD: Duration = Duration::from_mins(1);
/// Time after a return in which a new ejection counts as flapping.
const FLAP_WINDOW: Duration = Duration::from_mins(1);
/// Weight of a server on trial.
const TRIAL_WEIGHT: f32 = 0.05;
/// Good answers that end a trial, and bad or slow ones that fail it.
const TRIAL_MIN_GOOD: f64 = 5.0;
const TRIAL_MIN_BAD: f64 = 2.0;
/// Time after which a trial without enough answers ends well, so that there is always a way back.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Weights of the ramp after a trial, each for one step.
const RAMP_WEIGHTS: [f32; 2] = [WORKING_WEIGHT, 0.75];
/// Length of a step of the ramp. The whole ramp outlasts a list, so that its place under the floor is
/// given to another server only when no daemon can still hold this one out.
const RAMP_STEP_DURATION: Duration = Duration::from_secs(3);

/// The knob between detection time and false ejections.
#[derive(Clone, Copy, Debug)]
pub struct DetectorConfig {
    /// Evidence at which a server is ejected, a log likelihood ratio: one false alarm is expected in no
    /// fewer than e to this power merged samples.
    pub threshold: f64,
    /// Hold of a first ejection.
    pub hold: Duration,
}

impl Default for DetectorConfig {
    fn default() -> Self {
        Self { threshold: 23.0, hold: Duration::from_secs(5) }
    }
}

/// Where an ejected server stands on its way back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// Gets no work until the deadline.
    Out(Instant),
    /// Gets a few repeatable requests; ends at the deadline at the latest.
    Trial(Instant),
    /// Gets a growing share; the step and its end.
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

/// What changed in a period.
#[derive(Clone, Debug, PartialEq)]
pub enum EjectionChange {
    /// A server was ejected, with the evidence.
    Ejected(ServerId, f64),
    /// An ejected server gets trial requests.
    TrialStarted(ServerId),
    /// A server takes its full share again.
    Returned(ServerId),
    /// The floor leaves no room for an ejection.
    HeldByFloor(ServerId, f64),
    /// Observers contradict each other, or there is one only: local avoidance has to do.
    Unconfirmed(ServerId, f64),
}

/// Evidence on one server and its state.
#[derive(Debug, Default)]
struct ServerCase {
    pending: HashMap<DaemonId, OutcomeCounts>,
    recent: OutcomeCounts,
    period: OutcomeCounts,
    bad: Cusum,
    slow: Cusum,
    /// Counts since the trial began.
    trial: OutcomeCounts,
    stage: Option<Stage>,
    /// Evidence at the ejection.
    score: f64,
    /// Ejections in a row without a quiet time between them.
    ejections_in_a_row: u32,
    returned_at: Option<Instant>,
    /// Whether the reason for not ejecting was told since the evidence was last 0.
    was_reported: bool,
}

/// Judgement of one service.
#[derive(Debug)]
pub struct OutlierDetector {
    config: DetectorConfig,
    cases: BTreeMap<ServerId, ServerCase>,
    observers: HashMap<DaemonId, (Instant, DataCentre)>,
    /// No new ejection before this time, so that lists and announcements of an earlier view have lapsed.
    not_before: Instant,
}

impl OutlierDetector {
    /// Makes the judgement of a coordinator that takes the service over.
    pub fn new(config: DetectorConfig, not_before: Instant) -> Self {
        Self { config, cases: BTreeMap::new(), observers: HashMap::new(), not_before }
    }

    /// Continues the entries of an earlier coordinator.
    pub fn adopt_entries(&mut self, now: Instant, entries: &BTreeMap<ServerId, EjectionEntry>) {
        for (id, entry) in entries {
            let case = self.cases.entry(id.clone()).or_default();
            if case.stage.is_none() {
                case.score = f64::from(entry.score);
                case.ejections_in_a_row = 1;
                case.stage = Some(Stage::Out(now + self.config.hold));
            }
        }
    }

    /// Takes a daemon's digest. One from a daemon that doubts itself counts as heard, not as evidence.
    pub fn record_digest(
        &mut self,
        now: Instant,
        from: DaemonId,
        data_centre: &DataCentre,
        starved: bool,
        list: &[Evidence],
    ) {
        self.observers.insert(from, (now, data_centre.clone()));
        if starved || is_mostly_bad(list) {
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

    /// Daemons that sent a digest lately.
    pub fn observers(&self) -> impl Iterator<Item = &DaemonId> {
        self.observers.keys()
    }

    /// Servers with some evidence against them, on which other daemons' opinions are wanted.
    pub fn suspects(&self) -> Vec<ServerId> {
        let suspicion = self.config.threshold * SUSPICION_THRESHOLD_FACTOR;
        let is_suspect = |c: &ServerCase| c.stage.is_none() && c.bad.sum().max(c.slow.sum()) > suspicion;
        self.cases.iter().filter(|(_, c)| is_suspect(c)).map(|(id, _)| id.clone()).collect()
    }

    /// Whether a server is on its way back, so that frequent digests are worth their bytes.
    pub fn is_returning(&self) -> bool {
        self.cases.values().any(|c| c.stage.is_some())
    }

    /// Ends a period.
    ///
    /// `budget` is the number of ready servers that may be out, `others` are servers listed by other
    /// coordinators, which count against it; `is_ready` tells the ready servers.
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
        self.eject(now, budget, others, &is_ready, &mut changes);
        changes
    }

    /// Adds the pending counts to the tests, each server against the others of the same period.
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

    fn eject(
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
        let alone = self.observers.len() == 1;
        let threshold = self.config.threshold * if alone { SINGLE_OBSERVER_THRESHOLD_FACTOR } else { 1.0 };
        let mut outliers: Vec<(f64, ServerId)> = Vec::new();
        for (id, case) in self.cases.iter_mut().filter(|(id, c)| !c.is_out() && is_ready(id)) {
            let score = case.bad.sum().max(case.slow.sum());
            if score < threshold {
                case.was_reported &= score > 0.0;
            } else if alone || case.bad.is_proven(threshold) || case.slow.is_proven(threshold) {
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

    /// The list to send: every server on its way back, as far as the budget goes.
    pub fn ejection_list(&self) -> Vec<Ejected> {
        let entry = |(id, case): (&ServerId, &ServerCase)| {
            let weight = case.stage?.weight();
            let ttl_ms = MAX_ENTRY_TTL.as_millis() as u32;
            Some(Ejected { server: id.clone(), ttl_ms, weight, score: case.score as f32 })
        };
        self.cases.iter().filter_map(entry).collect()
    }

    /// Evidence against a server and its stage.
    pub fn explain(&self, id: &str) -> Option<(f64, f64, Option<Stage>)> {
        self.cases.get(id).map(|c| (c.bad.sum(), c.slow.sum(), c.stage))
    }

    /// Forgets servers that are no longer announced.
    pub fn retain_servers(&mut self, is_known: impl Fn(&ServerId) -> bool) {
        self.cases.retain(|id, _| is_known(id));
    }
}

/// Whether a daemon finds most of the servers that it saw bad or slow.
fn is_mostly_bad(list: &[Evidence]) -> bool {
    let seen = list.iter().filter(|e| e.total >= 2);
    let bad = seen.clone().filter(|e| (e.bad + e.slow) * 2 > e.total).count();
    let all = seen.count();
    all >= 3 && bad * 2 > all
}

impl Cusum {
    /// Whether the evidence suffices and several observers agree.
    fn is_proven(&self, threshold: f64) -> bool {
        self.sum() >= threshold
            && self.accusing_observers() >= 2
            && self.without_top_observer() >= threshold * MIN_SHARE_WITHOUT_TOP_OBSERVER
            && !self.is_contradicted(MIN_OBSERVER_SAMPLES, MIN_DATA_CENTRE_SAMPLES)
    }
}

impl ServerCase {
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

    /// Moves a server one stage on when its deadline passed or its trial is decided.
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
