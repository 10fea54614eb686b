//! The coordinator's judgement of one service: merged evidence, ejection, hold, trial, ramp.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use base::{DaemonId, DataCentre, ServerId};
use wire::health::{EjectionEntry, Evidence};

use crate::cusum::Cusum;
use crate::lists::{Entry, MAX_TTL, WORKING_WEIGHT};
use crate::window::Counts;

/// Interval of [`Judge::step`].
pub const PERIOD: Duration = Duration::from_millis(250);
/// Time for which a daemon that sent a digest counts as an observer.
const OBSERVER_MEMORY: Duration = Duration::from_secs(15);
/// Part of the evidence that must remain without the strongest observer.
const SECOND_PART: f64 = 0.3;
/// Part of the threshold from which a server is suspected.
const SUSPICION_PART: f64 = 0.125;
/// Factor on the threshold when a single daemon sees the service at all.
const ALONE_FACTOR: f64 = 2.0;
/// Samples with which an observer, or a data centre, can contradict the others.
const OBSERVER_SAMPLES: f64 = 3.0;
const CENTRE_SAMPLES: f64 = 20.0;
/// Part of the recent counts that each period keeps.
const KEEP: f64 = 0.9;
/// Most evidence of slowness in one period, so that a short queue ejects nobody.
const MAX_SLOW: f64 = 9.0;
/// Part of the evidence that a period without any digest on the server keeps.
const KEEP_UNSEEN: f64 = 0.97;
/// Longest hold of a server that flaps.
const MAX_HOLD: Duration = Duration::from_mins(1);
/// Time after a return in which a new ejection counts as flapping.
const FLAP_MEMORY: Duration = Duration::from_mins(1);
/// Weight of a server on trial.
const TRIAL_WEIGHT: f32 = 0.05;
/// Good answers that end a trial, and bad or slow ones that fail it.
const TRIAL_GOOD: f64 = 5.0;
const TRIAL_BAD: f64 = 2.0;
/// Time after which a trial without enough answers ends well, so that there is always a way back.
const TRIAL_LIMIT: Duration = Duration::from_secs(10);
/// Weights of the ramp after a trial, each for one step.
const RAMP: [f32; 2] = [WORKING_WEIGHT, 0.75];
/// Length of a step of the ramp. The whole ramp outlasts a list, so that its place under the floor is
/// given to another server only when no daemon can still hold this one out.
const RAMP_STEP: Duration = Duration::from_secs(3);

/// The knob between detection time and false ejections.
#[derive(Clone, Copy, Debug)]
pub struct Knobs {
    /// Evidence at which a server is ejected, a log likelihood ratio: one false alarm is expected in no
    /// fewer than e to this power merged samples.
    pub threshold: f64,
    /// Hold of a first ejection.
    pub hold: Duration,
}

impl Default for Knobs {
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
            Self::Ramp(step, _) => RAMP[step],
        }
    }
}

/// What changed in a period.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A server was ejected, with the evidence.
    Ejected(ServerId, f64),
    /// An ejected server gets trial requests.
    Trial(ServerId),
    /// A server takes its full share again.
    Returned(ServerId),
    /// The floor leaves no room for an ejection.
    Held(ServerId, f64),
    /// Observers contradict each other, or there is one only: local avoidance has to do.
    Path(ServerId, f64),
}

/// Evidence on one server and its state.
#[derive(Debug, Default)]
struct Case {
    pending: HashMap<DaemonId, Counts>,
    recent: Counts,
    period: Counts,
    bad: Cusum,
    slow: Cusum,
    /// Counts since the trial began.
    trial: Counts,
    stage: Option<Stage>,
    /// Evidence at the ejection.
    score: f64,
    /// Ejections in a row without a quiet time between them.
    strikes: u32,
    returned: Option<Instant>,
    /// Whether the reason for not ejecting was told since the evidence was last 0.
    told: bool,
}

/// Judgement of one service.
#[derive(Debug)]
pub struct Judge {
    knobs: Knobs,
    cases: BTreeMap<ServerId, Case>,
    observers: HashMap<DaemonId, (Instant, DataCentre)>,
    /// No new ejection before this time, so that lists and announcements of an earlier view have lapsed.
    not_before: Instant,
}

impl Judge {
    /// Makes the judgement of a coordinator that takes the service over.
    pub fn new(knobs: Knobs, not_before: Instant) -> Self {
        Self { knobs, cases: BTreeMap::new(), observers: HashMap::new(), not_before }
    }

    /// Continues the entries of an earlier coordinator.
    pub fn adopt(&mut self, now: Instant, entries: &BTreeMap<ServerId, Entry>) {
        for (id, entry) in entries {
            let case = self.cases.entry(id.clone()).or_default();
            if case.stage.is_none() {
                case.score = f64::from(entry.score);
                case.strikes = 1;
                case.stage = Some(Stage::Out(now + self.knobs.hold));
            }
        }
    }

    /// Takes a daemon's digest. One from a daemon that doubts itself counts as heard, not as evidence.
    pub fn hear(
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
            case.pending.entry(from).or_default().add(Counts { total, bad, slow });
        }
    }

    /// Daemons that sent a digest lately.
    pub fn observers(&self) -> impl Iterator<Item = &DaemonId> {
        self.observers.keys()
    }

    /// Servers with some evidence against them, on which other daemons' opinions are wanted.
    pub fn suspects(&self) -> Vec<ServerId> {
        let suspicion = self.knobs.threshold * SUSPICION_PART;
        let is_suspect = |c: &Case| c.stage.is_none() && c.bad.sum().max(c.slow.sum()) > suspicion;
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
    pub fn step(
        &mut self,
        now: Instant,
        budget: usize,
        others: &[ServerId],
        is_ready: impl Fn(&ServerId) -> bool,
    ) -> Vec<Change> {
        self.observers.retain(|_, (at, _)| *at + OBSERVER_MEMORY > now);
        self.merge();
        let mut changes = Vec::new();
        for (id, case) in &mut self.cases {
            case.advance(now, &self.knobs, id, &mut changes);
        }
        self.eject(now, budget, others, &is_ready, &mut changes);
        changes
    }

    /// Adds the pending counts to the tests, each server against the others of the same period.
    fn merge(&mut self) {
        let (mut all, mut all_now) = (Counts::default(), Counts::default());
        for case in self.cases.values_mut() {
            case.period = Counts::default();
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
            let (bad, slow) = Counts::ratios(recent, now);
            let before = (case.bad.sum(), case.slow.sum());
            let mut pending: Vec<_> = case.pending.drain().collect();
            pending.sort_by_key(|(observer, _)| *observer);
            for (observer, counts) in pending {
                let Some((_, centre)) = self.observers.get(&observer) else { continue };
                case.bad.add(observer, centre, bad.of(counts.bad, counts.total), counts.total);
                case.slow.add(observer, centre, slow.of(counts.slow, counts.total), counts.total);
                case.trial.add(counts);
            }
            case.bad.settle(before.0, f64::INFINITY);
            case.slow.settle(before.1, MAX_SLOW);
            if case.period.total == 0.0 {
                case.bad.fade(KEEP_UNSEEN);
                case.slow.fade(KEEP_UNSEEN);
            }
            case.recent.fade(KEEP);
        }
    }

    fn eject(
        &mut self,
        now: Instant,
        budget: usize,
        others: &[ServerId],
        is_ready: &impl Fn(&ServerId) -> bool,
        changes: &mut Vec<Change>,
    ) {
        let own =
            self.cases.iter().filter(|(id, c)| c.stage.is_some() && is_ready(id) && !others.contains(id));
        let mut room = budget.saturating_sub(own.count() + others.iter().filter(|id| is_ready(id)).count());
        let alone = self.observers.len() == 1;
        let threshold = self.knobs.threshold * if alone { ALONE_FACTOR } else { 1.0 };
        let mut guilty: Vec<(f64, ServerId)> = Vec::new();
        for (id, case) in self.cases.iter_mut().filter(|(id, c)| !c.is_out() && is_ready(id)) {
            let score = case.bad.sum().max(case.slow.sum());
            if score < threshold {
                case.told &= score > 0.0;
            } else if alone || case.bad.is_proven(threshold) || case.slow.is_proven(threshold) {
                guilty.push((score, id.clone()));
            } else if !std::mem::replace(&mut case.told, true) {
                changes.push(Change::Path(id.clone(), score));
            }
        }
        guilty.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (score, id) in guilty {
            let Some(case) = self.cases.get_mut(&id) else { continue };
            let has_place = case.stage.is_some();
            if (has_place || room > 0) && now >= self.not_before {
                room -= usize::from(!has_place);
                case.eject(now, &self.knobs, score);
                changes.push(Change::Ejected(id, score));
            } else if room == 0 && !std::mem::replace(&mut case.told, true) {
                changes.push(Change::Held(id, score));
            }
        }
    }

    /// The list to send: every server on its way back, as far as the budget goes.
    pub fn list(&self) -> Vec<EjectionEntry> {
        let entry = |(id, case): (&ServerId, &Case)| {
            let weight = case.stage?.weight();
            let ttl_ms = MAX_TTL.as_millis() as u32;
            Some(EjectionEntry { server: id.clone(), ttl_ms, weight, score: case.score as f32 })
        };
        self.cases.iter().filter_map(entry).collect()
    }

    /// Evidence against a server and its stage.
    pub fn explain(&self, id: &str) -> Option<(f64, f64, Option<Stage>)> {
        self.cases.get(id).map(|c| (c.bad.sum(), c.slow.sum(), c.stage))
    }

    /// Forgets servers that are no longer announced.
    pub fn retain(&mut self, is_known: impl Fn(&ServerId) -> bool) {
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
            && self.accusers() >= 2
            && self.without_top() >= threshold * SECOND_PART
            && !self.is_contradicted(OBSERVER_SAMPLES, CENTRE_SAMPLES)
    }
}

impl Case {
    fn is_out(&self) -> bool {
        self.stage.is_some_and(|s| s.weight() < WORKING_WEIGHT)
    }

    fn eject(&mut self, now: Instant, knobs: &Knobs, score: f64) {
        let is_flap = self.stage.is_some() || self.returned.is_some_and(|at| now < at + FLAP_MEMORY);
        self.strikes = if is_flap { self.strikes + 1 } else { 1 };
        let factor = 1_u32 << (self.strikes - 1).min(8);
        self.stage = Some(Stage::Out(now + (knobs.hold * factor).min(MAX_HOLD)));
        self.score = score;
        self.forget();
    }

    fn forget(&mut self) {
        self.bad.reset();
        self.slow.reset();
        self.trial = Counts::default();
        self.told = false;
    }

    /// Moves a server one stage on when its deadline passed or its trial is decided.
    fn advance(&mut self, now: Instant, knobs: &Knobs, id: &ServerId, changes: &mut Vec<Change>) {
        match self.stage {
            Some(Stage::Out(until)) if now >= until => {
                self.stage = Some(Stage::Trial(now + TRIAL_LIMIT));
                self.forget();
                changes.push(Change::Trial(id.clone()));
            }
            Some(Stage::Trial(until)) => {
                let wrong = self.trial.bad + self.trial.slow;
                if wrong >= TRIAL_BAD && wrong * 3.0 > self.trial.total {
                    self.eject(now, knobs, self.score);
                    changes.push(Change::Ejected(id.clone(), self.score));
                } else if now >= until || self.trial.total - wrong >= TRIAL_GOOD {
                    self.stage = Some(Stage::Ramp(0, now + RAMP_STEP));
                    self.forget();
                }
            }
            Some(Stage::Ramp(step, until)) if now >= until => {
                let next = step + 1;
                self.stage = (next < RAMP.len()).then(|| Stage::Ramp(next, now + RAMP_STEP));
                if self.stage.is_none() {
                    self.returned = Some(now);
                    changes.push(Change::Returned(id.clone()));
                }
            }
            _ => {}
        }
    }
}
