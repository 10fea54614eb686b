//! Choice of the daemon that a request is handed to, to be run by the server on that daemon's instance.
//!
//! The rules and the load patterns that they are made for:
//!
//! - A backlog at one server: the expected completion time decides, not the number of requests alone.
//! - Requests of one route differ in cost, and routes differ: the work that a server still has to do counts, not
//!   the number of its requests.
//! - Many daemons act on equally old load reports: each draws a few candidates at random, so that they do not
//!   all pick the same one. A server that was idle when it last reported is not taken to be idle still: others
//!   have sent it work since, as much as the servers get on the mean.
//! - A server once seemed slow: it gets some requests after a while without any, so that the estimate can be
//!   corrected and no healthy capacity lies idle.
//! - Many servers in several data centres are equally loaded: a request leaves its data centre only if it might
//!   miss its objective there, and then for a gain that is worth its bytes.
//! - Short calls and long requests share servers: the cost of the request's route counts, not the mean of all.
//! - Servers elsewhere were loaded or failing when they last reported, or never reported: only those with a recent
//!   report are chosen while there are any, since each wrong choice costs a journey.
//! - A region has too few servers: requests cross the link to another region only if the near servers would
//!   miss the latency objective.

use std::time::Duration;

use derive_more::Display;
use rand::Rng;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::cost::SLOWNESS_BOUNDS;
use crate::slot_queue::SlotWork;

/// Candidates drawn at random in this data centre, whose reports are recent.
const DRAWN_NEAR: usize = 3;
/// Candidates drawn at random in other data centres, whose reports are older.
const DRAWN_ELSEWHERE: usize = 2;
/// Part of the time left to the objective within which a server of this data centre must be expected to finish
/// for no other data centre to be considered.
const NEAR_ENOUGH_PART: f64 = 0.3;
/// Penalty on the expected completion in another data centre of the region.
const OTHER_DATA_CENTRE_PENALTY: Duration = Duration::from_millis(80);
/// Further penalty in another data centre for each kilobyte of request and answer.
const OTHER_DATA_CENTRE_PENALTY_PER_KB: Duration = Duration::from_millis(3);
/// Penalty on the expected completion in another region: for the round trip, and because load reports from
/// there are older.
const OTHER_REGION_PENALTY: Duration = Duration::from_millis(300);
/// Further penalty in another region for each kilobyte. The link is narrow and paid by volume.
const OTHER_REGION_PENALTY_PER_KB: Duration = Duration::from_millis(10);
/// Upper bound of the size that the penalties count.
const MAX_KILOBYTES: u64 = 10_000;
/// Penalty on a server with all slots in use, as a part of the run time.
const FULL_USE_PENALTY: f64 = 0.5;
/// Number of expected times until completion that a server adds which sheds all requests.
const SHED_SLOWDOWN: f64 = 4.0;
/// Time that a shed costs however short the run is: the request is handed to another server, perhaps in another
/// data centre.
const SHED_PENALTY: Duration = Duration::from_millis(80);
/// Probability that a repeatable request goes to a suspect server that asks for probes.
const PROBE_PROBABILITY: f64 = 0.3;

/// Distance of a server from this daemon.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// On this daemon's instance.
    #[display("instance")]
    SameInstance,
    /// On another instance of the data centre.
    #[display("data-centre")]
    SameDataCentre,
    /// In another data centre of the region.
    #[display("region")]
    SameRegion,
    /// In another region.
    #[display("other-region")]
    OtherRegion,
}

/// Probability that a request goes to a healthy server that has had none for a while.
const IDLE_SERVER_PROBABILITY: f64 = 0.2;

/// Health of a server, as its daemon judges it by the outcomes of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerCondition {
    /// The server answers as it should.
    Healthy,
    /// The server is healthy and has had no requests for a while.
    Idle,
    /// The server is suspected of failing requests.
    Suspect,
    /// The server is suspected of failing requests, and its daemon asks for a few as probes that show whether
    /// it has recovered.
    Probation,
}

impl ServerCondition {
    /// Whether the server is suspected of failing requests, so that those which may run only once should go
    /// elsewhere.
    pub fn is_suspect(self) -> bool {
        matches!(self, ServerCondition::Suspect | ServerCondition::Probation)
    }
}

/// What is known of a server's load.
#[derive(Clone, Copy, Debug)]
pub struct ServerLoad {
    /// Requests that the server runs.
    pub running: u32,
    /// Requests that wait for a slot of the server.
    pub waiting: u32,
    /// Requests that the server can run at the same time.
    pub slots: u32,
    /// Work of these requests, with those sent to the server since it was reported.
    pub work: SlotWork,
    /// Factor by which the server is slower than others; `None` if it has not run enough to tell, and counts as
    /// an average one.
    pub slowness: Option<f64>,
    /// Share of the requests that the server refuses to run, 0 to 1.
    pub shed_share: f64,
}

/// A server that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Identifies the server for the caller; [`place_request`] returns it.
    pub index: usize,
    /// Distance of the server from this daemon.
    pub distance: Distance,
    /// Last reported load, plus the requests that this daemon has sent there since.
    pub load: ServerLoad,
    /// Health of the server.
    pub condition: ServerCondition,
    /// Whether the network path to the server works, as far as is known.
    pub reachable: bool,
    /// Whether `load` and `condition` are recent enough to choose the server by them.
    pub is_known: bool,
    /// Age of the report behind `load`.
    pub report_age: Duration,
}

/// What a request requires of its placement.
#[derive(Clone, Copy, Debug)]
pub struct Requirements {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether a running request waits for this one, which therefore goes before all that wait for a slot.
    pub nested: bool,
    /// Time left until the request's latency objective.
    pub objective_left: Duration,
    /// Expected run time at an average server.
    pub expected_run: Duration,
    /// Expected size of the request and its answer together.
    pub bytes: u64,
}

/// Chooses a candidate and returns its [`Candidate::index`]; `None` only if there are no candidates.
///
/// A few requests go to servers on probation or to idle ones. All others go to healthy reachable servers that
/// are known; if there are none, to one that is not known, to a reachable one in the region, else to any.
pub fn place_request(
    candidates: &[Candidate],
    requirements: &Requirements,
    rng: &mut impl Rng,
) -> Option<usize> {
    if requirements.repeatable {
        let wants_probe = |c: &Candidate| c.condition == ServerCondition::Probation && c.load.waiting == 0;
        if let Some(index) = draw_with_probability(candidates, PROBE_PROBABILITY, wants_probe, rng) {
            return Some(index);
        }
    }
    // Idle servers elsewhere get requests of their own data centre.
    let is_idle =
        |c: &Candidate| c.condition == ServerCondition::Idle && c.distance <= Distance::SameDataCentre;
    if let Some(index) = draw_with_probability(candidates, IDLE_SERVER_PROBABILITY, is_idle, rng) {
        return Some(index);
    }
    let use_share = use_share(candidates);
    let may_be_healthy = |c: &&Candidate| !c.condition.is_suspect() && c.reachable;
    let is_usable = |c: &&Candidate| may_be_healthy(c) && c.is_known;
    let in_own_region = |c: &&Candidate| c.distance < Distance::OtherRegion;
    let in_data_centre = |c: &&Candidate| c.distance <= Distance::SameDataCentre;
    let same_data_centre = draw_best::<DRAWN_NEAR>(
        candidates.iter().filter(is_usable).filter(in_data_centre),
        requirements,
        use_share,
        rng,
    );
    if let Some(best) = same_data_centre
        && expected_completion(best, requirements) <= requirements.objective_left.mul_f64(NEAR_ENOUGH_PART)
    {
        return Some(best.index);
    }
    let in_other_data_centre = |c: &&Candidate| c.distance == Distance::SameRegion;
    let same_region = draw_best::<DRAWN_ELSEWHERE>(
        candidates.iter().filter(is_usable).filter(in_other_data_centre),
        requirements,
        use_share,
        rng,
    );
    let near = [same_data_centre, same_region]
        .into_iter()
        .flatten()
        .min_by_key(|c| expected_completion(c, requirements));
    if let Some(best) = near
        && expected_completion(best, requirements) <= requirements.objective_left
    {
        return Some(best.index);
    }
    let other_region = draw_best::<DRAWN_ELSEWHERE>(
        candidates.iter().filter(is_usable).filter(|c| !in_own_region(c)),
        requirements,
        use_share,
        rng,
    );
    let best =
        [near, other_region].into_iter().flatten().min_by_key(|c| expected_completion(c, requirements));
    let may_be_reached = |c: &&Candidate| c.reachable && in_own_region(c);
    let mut draw_from = |candidates: &mut dyn Iterator<Item = &'_ Candidate>| {
        draw_best::<DRAWN_ELSEWHERE>(candidates, requirements, use_share, rng).map(|c| c.index)
    };
    best.map(|c| c.index)
        .or_else(|| draw_from(&mut candidates.iter().filter(may_be_healthy)))
        .or_else(|| draw_from(&mut candidates.iter().filter(may_be_reached)))
        .or_else(|| draw_from(&mut candidates.iter()))
}

/// Share of the slots of the known servers that are in use, 0 to 1.
fn use_share(candidates: &[Candidate]) -> f64 {
    let known = candidates.iter().filter(|c| c.is_known).map(|c| c.load);
    let (used, slots) =
        known.fold((0, 0), |(used, slots), load| (used + load.running.min(load.slots), slots + load.slots));
    f64::from(used) / f64::from(slots.max(1))
}

/// With the given probability, one of the region's reachable servers for which `is_wanted` is true.
fn draw_with_probability(
    candidates: &[Candidate],
    probability: f64,
    is_wanted: impl Fn(&Candidate) -> bool,
    rng: &mut impl Rng,
) -> Option<usize> {
    let is_eligible =
        |c: &&Candidate| c.reachable && c.is_known && c.distance < Distance::OtherRegion && is_wanted(c);
    let count = candidates.iter().filter(is_eligible).count();
    if count == 0 || !rng.random_bool(probability) {
        return None;
    }
    let nth = rng.random_range(0..count);
    candidates.iter().filter(is_eligible).nth(nth).map(|c| c.index)
}

/// Draws `N` candidates at random, among them always the server of the own instance if it is a
/// candidate, and returns the one that is expected to finish first. `use_share` is the share of all slots that
/// are in use: a server that reported `t` ago has got work of `t * use_share` for each slot since.
fn draw_best<'a, const N: usize>(
    candidates: impl Iterator<Item = &'a Candidate>,
    requirements: &Requirements,
    use_share: f64,
    rng: &mut impl Rng,
) -> Option<&'a Candidate> {
    let mut drawn: SmallVec<[&Candidate; N]> = SmallVec::new();
    for (seen, candidate) in candidates.enumerate() {
        if candidate.distance == Distance::SameInstance && seen > 0 {
            drawn.insert(0, candidate);
            drawn.truncate(N);
            continue;
        }
        if drawn.len() < N {
            drawn.push(candidate);
            continue;
        }
        let slot = rng.random_range(0..=seen);
        if slot < N && drawn[slot].distance != Distance::SameInstance {
            drawn[slot] = candidate;
        }
    }
    drawn.into_iter().min_by_key(|c| completion(c, requirements, c.report_age.mul_f64(use_share)))
}

/// Expected time until the answer of a request that is placed at `candidate`, plus penalties for the distance
/// that its bytes travel.
pub fn expected_completion(candidate: &Candidate, requirements: &Requirements) -> Duration {
    completion(candidate, requirements, Duration::ZERO)
}

/// [`expected_completion`] with a lower bound of the wait for a slot.
fn completion(candidate: &Candidate, requirements: &Requirements, min_wait: Duration) -> Duration {
    let ServerLoad { running, waiting, slots, work, slowness, shed_share } = candidate.load;
    let (waiting, work) = if requirements.nested { (0, work.before_calls) } else { (waiting, work.total) };
    let slots = slots.max(1);
    let present = running + waiting;
    // Of the requests present, as many as this must end before the new one gets a slot.
    let queued = (present + 1).saturating_sub(slots);
    let wait = (work / slots * queued / present.max(1)).max(min_wait);
    let slowness = slowness.unwrap_or(1.0).clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
    let run = requirements.expected_run.mul_f64(slowness);
    let use_share = (f64::from(present) / f64::from(slots)).min(1.0);
    let kilobytes = (requirements.bytes / 1_024).min(MAX_KILOBYTES) as u32;
    let penalty = match candidate.distance {
        Distance::SameInstance => Duration::ZERO,
        Distance::SameDataCentre => Duration::from_millis(1),
        Distance::SameRegion => OTHER_DATA_CENTRE_PENALTY + OTHER_DATA_CENTRE_PENALTY_PER_KB * kilobytes,
        Distance::OtherRegion => OTHER_REGION_PENALTY + OTHER_REGION_PENALTY_PER_KB * kilobytes,
    };
    let completion = wait + run + run.mul_f64(FULL_USE_PENALTY * use_share);
    penalty + completion.mul_f64(1.0 + SHED_SLOWDOWN * shed_share) + SHED_PENALTY.mul_f64(shed_share)
}
