//! Two random choices by health, requests in flight, latency and load, nearest first.
//!
//! A choice walks the service's servers a few times and keeps nothing: one walk finds the nearest distance
//! with a sound server that has room, one draws two servers up to that distance, and one draws two of the
//! region's other data centres, which win when they are much cheaper.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::{Place, ServerId};
use kernel::ServerView;
use rand::Rng;
use wire::server::ServerState;

/// Weight from which a server counts as sound; below it, a farther sound one is preferred.
const SOUND_WEIGHT: f32 = 0.25;
/// Consecutive failures from which the weight falls.
const FREE_FAILURES: u32 = 1;
/// Weight that consecutive failures leave at least, so that a recovery is noticed.
const MIN_WEIGHT: f32 = 0.02;
/// Time in which a server that became ready reaches its full weight.
const COLD_RAMP: Duration = Duration::from_secs(10);
/// Weight at the start of the ramp.
const COLD_WEIGHT: f32 = 0.3;
/// Largest influence of the reported load on the cost, as a factor minus one.
const LOAD_INFLUENCE: f32 = 0.5;
/// Smallest latency that is told apart, in microseconds.
const LATENCY_FLOOR_US: u32 = 200;
/// How many times cheaper a server of the region's other data centres has to be.
const NEXT_CENTRE_FACTOR: f32 = 2.0;
/// Distance of a server in another region.
const FARTHEST: u8 = 2;

/// What a request wants of its server.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Where this daemon stands.
    pub place: &'a Place,
    /// Servers already tried for this request.
    pub tried: &'a [ServerId],
    /// Whether the request may run more than once; only then may it go to a server on trial.
    pub repeatable: bool,
    /// Whether the service allows servers of other regions and the link has budget.
    pub cross_region: bool,
    /// Time of the choice.
    pub now: Instant,
}

/// Chooses a server: own data centre, then own region, then across the link. Allocates nothing.
///
/// A server whose weight is low is left for a farther sound one, but keeps its small share of
/// repeatable requests. Unrepeatable requests never go to a server on trial.
pub fn choose<'a>(
    servers: &'a [Arc<ServerView>],
    want: &Want<'_>,
    rng: &mut impl Rng,
) -> Option<&'a Arc<ServerView>> {
    let reach = if want.cross_region { FARTHEST } else { FARTHEST - 1 };
    let usable = |s: &&Arc<ServerView>| is_usable(s, want) && distance(s, want.place) <= reach;
    let sound = servers.iter().filter(usable).filter(|s| weight(s, want.now) >= SOUND_WEIGHT);
    let nearest = sound.map(|s| distance(s, want.place)).min();
    let limit = nearest.unwrap_or(reach);
    let near = servers.iter().filter(usable).filter(|s| is_near(s, want, limit));
    let only_sound = !want.repeatable && nearest.is_some();
    let drawn = near.filter(|s| !only_sound || weight(s, want.now) >= SOUND_WEIGHT);
    let best = two_choices(drawn, want.now, rng)?;
    let beyond = servers.iter().filter(usable).filter(|s| is_beyond(s, want, limit));
    let other = two_choices(beyond, want.now, rng);
    let is_cheaper = |o: &&Arc<ServerView>| cost(o, best) * NEXT_CENTRE_FACTOR < cost(best, o);
    Some(other.filter(is_cheaper).unwrap_or(best))
}

/// Sound servers of the region's other data centres, for when the own one is loaded.
fn is_beyond(server: &ServerView, want: &Want<'_>, limit: u8) -> bool {
    limit == 0 && distance(server, want.place) == 1 && weight(server, want.now) >= SOUND_WEIGHT
}

fn is_usable(server: &ServerView, want: &Want<'_>) -> bool {
    server.weight > 0.0
        && (want.repeatable || !server.trial)
        && !want.tried.contains(&server.info.id)
        && server.counters.in_flight.load(Relaxed) < server.info.slots
}

/// Servers on trial in the region take part from any data centre, so that several daemons judge them.
fn is_near(server: &ServerView, want: &Want<'_>, limit: u8) -> bool {
    let distance = distance(server, want.place);
    distance <= limit || (server.trial && distance < FARTHEST)
}

fn distance(server: &ServerView, place: &Place) -> u8 {
    match &server.info.place {
        p if p == place => 0,
        p if p.region == place.region => 1,
        _ => FARTHEST,
    }
}

/// Weight by verdict, cold start and the last answers.
fn weight(server: &ServerView, now: Instant) -> f32 {
    let failures = server.counters.failures.load(Relaxed);
    let halvings = failures.saturating_sub(FREE_FAILURES).min(8);
    let by_failures = 0.5_f32.powi(halvings as i32);
    (server.weight * by_failures * warmth(server, now)).max(MIN_WEIGHT.min(server.weight))
}

fn warmth(server: &ServerView, now: Instant) -> f32 {
    if server.info.state == ServerState::Starting {
        return COLD_WEIGHT;
    }
    let Some(since) = server.ready_since else { return 1.0 };
    let part = now.saturating_duration_since(since).as_secs_f32() / COLD_RAMP.as_secs_f32();
    COLD_WEIGHT + (1.0 - COLD_WEIGHT) * part.min(1.0)
}

/// Draws two servers by weight in one walk and returns the cheaper one.
fn two_choices<'a>(
    servers: impl Iterator<Item = &'a Arc<ServerView>>,
    now: Instant,
    rng: &mut impl Rng,
) -> Option<&'a Arc<ServerView>> {
    let mut sum = 0.0;
    let mut drawn: [Option<&Arc<ServerView>>; 2] = [None, None];
    for server in servers {
        let weight = weight(server, now);
        sum += weight;
        for slot in &mut drawn {
            if slot.is_none() || rng.random::<f32>() * sum < weight {
                *slot = Some(server);
            }
        }
    }
    let [first, second] = drawn;
    let (first, second) = (first?, second?);
    Some(if cost(first, second) <= cost(second, first) { first } else { second })
}

/// Expected wait at `server`; an unknown latency counts as that of the other choice.
fn cost(server: &ServerView, other: &ServerView) -> f32 {
    let known = |s: &ServerView| s.counters.latency_us.load(Relaxed);
    let own = if known(server) == 0 { known(other) } else { known(server) };
    let in_flight = server.counters.in_flight.load(Relaxed) as f32;
    (in_flight + 1.0) * own.max(LATENCY_FLOOR_US) as f32 * load_factor(server, in_flight)
}

/// A reported load only adds cost, and never less than this daemon's own requests there prove.
fn load_factor(server: &ServerView, in_flight: f32) -> f32 {
    let reported = if server.info.load.is_finite() { server.info.load.clamp(0.0, 1.0) } else { 0.0 };
    let proven = (in_flight / server.info.slots.max(1) as f32).min(1.0);
    1.0 + LOAD_INFLUENCE * reported.max(proven)
}
