//! Choice of the daemon beside whose server a request shall run. Sans-I/O; randomness comes from the caller.
//!
//! Answers four load patterns. A backlog at one server: expected completion decides, not the number of
//! requests alone. Many daemons with equally old reports: each draws a few candidates, so that they don't all
//! pick the same one. A server that once seemed slow: it asks for work when it has had none for a while, so that
//! the estimate can be corrected and no sound capacity lies idle. Servers of many data centres with equal loads: some are
//! drawn in the own data centre and some beyond it, and work leaves the data centre only for a gain that is worth its
//! bytes. A region short of servers: work spills over the link between regions only if the near servers would miss the
//! objective.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Candidates drawn for one choice.
const DRAWN: usize = 2;
/// Added to the expected completion beyond the own data centre.
const OTHER_CENTRE_PENALTY: Duration = Duration::from_millis(80);
/// Added there for each kilobyte of request and answer.
const OTHER_CENTRE_PENALTY_PER_KB: Duration = Duration::from_millis(3);
/// Added in another region for the round trip, and for load there that is known late.
const OTHER_REGION_PENALTY: Duration = Duration::from_millis(300);
/// Added there for each kilobyte; the link is narrow and paid by volume.
const OTHER_REGION_PENALTY_PER_KB: Duration = Duration::from_millis(10);
/// Sizes above this count as this.
const MAX_KILOBYTES: u64 = 10_000;
/// Part of a mean run that a fully used server costs more than an idle one.
const USE_WEIGHT: f64 = 0.5;
/// Chance that a repeatable request is used to test a suspect server that asks for it.
const TEST_CHANCE: f64 = 0.3;

/// How far a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// On this instance.
    SameInstance,
    /// In this data centre.
    SameDataCentre,
    /// In this region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Chance that a request goes to a sound server that has had none for a while.
const IDLE_CHANCE: f64 = 0.2;

/// What a server's own requests show of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerCondition {
    /// It answers as it should.
    Healthy,
    /// It is sound and has had no work for a while.
    Idle,
    /// It is thought to fail requests.
    Suspect,
    /// It is thought to fail requests and asks for some that show whether it has recovered.
    Probation,
}

impl ServerCondition {
    /// Whether requests that may run only once should go elsewhere.
    pub fn is_suspect(self) -> bool {
        matches!(self, ServerCondition::Suspect | ServerCondition::Probation)
    }
}

/// What is known of a server's load.
#[derive(Clone, Copy, Debug)]
pub struct ServerLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for it.
    pub waiting: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Mean time of a run.
    pub mean_run: Duration,
}

/// A server that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its place in the caller's list.
    pub index: usize,
    /// How far it is.
    pub distance: Distance,
    /// Its load as reported, with this daemon's own requests since.
    pub load: ServerLoad,
    /// What its own requests show.
    pub condition: ServerCondition,
    /// Whether the way to it works as far as is known.
    pub reachable: bool,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Requirements {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Time left until its latency objective.
    pub objective_left: Duration,
    /// Expected bytes of the request and its answer.
    pub bytes: u64,
}

/// Chooses a candidate; none only if there are none.
pub fn place_request(candidates: &[Candidate], need: &Requirements, rng: &mut impl Rng) -> Option<usize> {
    if need.repeatable {
        let tests = |c: &Candidate| c.condition == ServerCondition::Probation && c.load.waiting == 0;
        if let Some(index) = now_and_then(candidates, TEST_CHANCE, tests, rng) {
            return Some(index);
        }
    }
    let idle = |c: &Candidate| c.condition == ServerCondition::Idle;
    if let Some(index) = now_and_then(candidates, IDLE_CHANCE, idle, rng) {
        return Some(index);
    }
    let sound = |c: &&Candidate| !c.condition.is_suspect() && c.reachable;
    let bytes = need.bytes;
    let is_near = |c: &&Candidate| c.distance < Distance::OtherRegion;
    let is_home = |c: &&Candidate| c.distance <= Distance::SameDataCentre;
    let home = draw(candidates.iter().filter(sound).filter(is_home), bytes, rng);
    let in_region = |c: &&Candidate| c.distance == Distance::SameRegion;
    let region = draw(candidates.iter().filter(sound).filter(in_region), bytes, rng);
    let near = [home, region].into_iter().flatten().min_by_key(|c| expected_completion(c, bytes));
    if let Some(best) = near
        && expected_completion(best, bytes) <= need.objective_left
    {
        return Some(best.index);
    }
    let beyond = draw(candidates.iter().filter(sound).filter(|c| !is_near(c)), bytes, rng);
    let best = [near, beyond].into_iter().flatten().min_by_key(|c| expected_completion(c, bytes));
    best.or_else(|| draw(candidates.iter().filter(|c| c.reachable && is_near(c)), bytes, rng))
        .or_else(|| draw(candidates.iter(), bytes, rng))
        .map(|c| c.index)
}

/// One of the region's servers that are `wanted`, with this chance.
fn now_and_then(
    candidates: &[Candidate],
    chance: f64,
    wanted: impl Fn(&Candidate) -> bool,
    rng: &mut impl Rng,
) -> Option<usize> {
    let asks = |c: &&Candidate| c.reachable && c.distance < Distance::OtherRegion && wanted(c);
    let count = candidates.iter().filter(asks).count();
    if count == 0 || !rng.random_bool(chance) {
        return None;
    }
    let nth = rng.random_range(0..count);
    candidates.iter().filter(asks).nth(nth).map(|c| c.index)
}

/// Draws a few candidates and returns the one that is expected to finish first.
fn draw<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    bytes: u64,
    rng: &mut impl Rng,
) -> Option<&'a Candidate> {
    let mut drawn: SmallVec<[&Candidate; DRAWN]> = SmallVec::new();
    for (seen, candidate) in candidates.enumerate() {
        if candidate.distance == Distance::SameInstance && seen > 0 {
            drawn.insert(0, candidate);
            drawn.truncate(DRAWN);
            continue;
        }
        if drawn.len() < DRAWN {
            drawn.push(candidate);
            continue;
        }
        let slot = rng.random_range(0..=seen);
        if slot < DRAWN && drawn[slot].distance != Distance::SameInstance {
            drawn[slot] = candidate;
        }
    }
    drawn.into_iter().min_by_key(|c| expected_completion(c, bytes))
}

/// Expected time until an answer, with penalties for the distance that `bytes` have to go.
pub fn expected_completion(candidate: &Candidate, bytes: u64) -> Duration {
    let ServerLoad { running, waiting, slots, mean_run } = candidate.load;
    let slots = slots.max(1);
    let present = running + waiting;
    let queued = (present + 1).saturating_sub(slots);
    let wait = mean_run * queued / slots;
    let share = (f64::from(present) / f64::from(slots)).min(1.0);
    let kilobytes = (bytes / 1_024).min(MAX_KILOBYTES) as u32;
    let penalty = match candidate.distance {
        Distance::SameInstance => Duration::ZERO,
        Distance::SameDataCentre => Duration::from_millis(1),
        Distance::SameRegion => OTHER_CENTRE_PENALTY + OTHER_CENTRE_PENALTY_PER_KB * kilobytes,
        Distance::OtherRegion => OTHER_REGION_PENALTY + OTHER_REGION_PENALTY_PER_KB * kilobytes,
    };
    penalty + wait + mean_run + mean_run.mul_f64(USE_WEIGHT * share)
}
