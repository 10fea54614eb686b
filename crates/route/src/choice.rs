//! Load balancing by "power of two choices": health, requests in flight, latency and reported load decide,
//! and near servers come first.
//!
//! A choice iterates over the service's servers three times and keeps no state: the first pass finds the
//! nearest distance with a healthy server that has a free slot, the second draws two servers up to that
//! distance, and the third draws two servers in the region's other data centres, which win only if they are
//! much cheaper.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::{Place, ServerId};
use kernel::ServerView;
use rand::Rng;
use wire::server::ServerState;

/// Weight at and above which a server counts as healthy. A farther healthy server beats a nearer unhealthy
/// one.
const HEALTHY_WEIGHT: f32 = 0.25;
/// Consecutive failures that do not lower the weight; each further one halves it.
const TOLERATED_FAILURES: u32 = 1;
/// Lower bound of the weight after consecutive failures. Never 0, so that a recovery is noticed.
const MIN_FAILING_WEIGHT: f32 = 0.02;
/// Time in which the weight of a server that became ready grows to its full value.
const WARM_UP: Duration = Duration::from_secs(10);
/// Factor on the weight at the start of [`WARM_UP`], and of a server that is still starting.
const COLD_WEIGHT_FACTOR: f32 = 0.3;
/// Part by which a fully loaded server costs more than an idle one.
const MAX_LOAD_SURCHARGE: f32 = 0.5;
/// Lower bound of latencies in the cost, so that differences of microseconds do not decide.
const MIN_LATENCY_US: u32 = 200;
/// How many times cheaper a server in another data centre of the region has to be to win.
const OTHER_DATA_CENTRE_FACTOR: f32 = 2.0;
/// Result of [`distance`] for a server in another region.
const OTHER_REGION: u8 = 2;

/// The request's constraints on the choice of a server.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Region and data centre of this daemon.
    pub place: &'a Place,
    /// Servers that this request was already sent to; they are not chosen again.
    pub tried: &'a [ServerId],
    /// Whether the request may run more than once; only then may it go to a server on trial.
    pub repeatable: bool,
    /// Whether the service allows servers of other regions and the link between the regions has bytes left.
    pub cross_region: bool,
    /// Current time; decides how far a server has warmed up.
    pub now: Instant,
}

/// Chooses a server in the own data centre, else in the own region, else in another region. Allocates
/// nothing.
///
/// A server with a low weight is passed over for a farther healthy one, but keeps its small share of
/// repeatable requests. Requests that are not repeatable never go to a server on trial.
pub fn choose_server<'a>(
    servers: &'a [Arc<ServerView>],
    criteria: &Criteria<'_>,
    rng: &mut impl Rng,
) -> Option<&'a Arc<ServerView>> {
    let max_distance = if criteria.cross_region { OTHER_REGION } else { OTHER_REGION - 1 };
    let usable = |s: &&Arc<ServerView>| is_usable(s, criteria) && distance(s, criteria.place) <= max_distance;
    let healthy = servers.iter().filter(usable).filter(|s| weight(s, criteria.now) >= HEALTHY_WEIGHT);
    let nearest = healthy.map(|s| distance(s, criteria.place)).min();
    let limit = nearest.unwrap_or(max_distance);
    let near = servers.iter().filter(usable).filter(|s| is_near(s, criteria, limit));
    let only_healthy = !criteria.repeatable && nearest.is_some();
    let drawn = near.filter(|s| !only_healthy || weight(s, criteria.now) >= HEALTHY_WEIGHT);
    let best = two_choices(drawn, criteria.now, rng)?;
    let in_other_data_centres =
        servers.iter().filter(usable).filter(|s| is_in_other_data_centre(s, criteria, limit));
    let other = two_choices(in_other_data_centres, criteria.now, rng);
    let is_cheaper = |o: &&Arc<ServerView>| cost(o, best) * OTHER_DATA_CENTRE_FACTOR < cost(best, o);
    Some(other.filter(is_cheaper).unwrap_or(best))
}

/// Whether `server` is a healthy one in another data centre of the region. Such servers take part only while
/// the nearest healthy server is in the own data centre, to relieve it when it is loaded.
fn is_in_other_data_centre(server: &ServerView, criteria: &Criteria<'_>, limit: u8) -> bool {
    limit == 0 && distance(server, criteria.place) == 1 && weight(server, criteria.now) >= HEALTHY_WEIGHT
}

fn is_usable(server: &ServerView, criteria: &Criteria<'_>) -> bool {
    server.weight > 0.0
        && (criteria.repeatable || !server.trial)
        && !criteria.tried.contains(&server.info.id)
        && server.counters.in_flight.load(Relaxed) < server.info.slots
}

/// Whether `server` is within the distance `limit`. A server on trial takes part in its whole region, so that
/// daemons of several data centres judge it.
fn is_near(server: &ServerView, criteria: &Criteria<'_>, limit: u8) -> bool {
    let distance = distance(server, criteria.place);
    distance <= limit || (server.trial && distance < OTHER_REGION)
}

/// 0 within the data centre, 1 within the region, else [`OTHER_REGION`].
fn distance(server: &ServerView, place: &Place) -> u8 {
    match &server.info.place {
        p if p == place => 0,
        p if p.region == place.region => 1,
        _ => OTHER_REGION,
    }
}

/// Weight of `server` in the draw, from its health verdict, its consecutive failures and its warm-up.
fn weight(server: &ServerView, now: Instant) -> f32 {
    let failures = server.counters.failures.load(Relaxed);
    let halvings = failures.saturating_sub(TOLERATED_FAILURES).min(8);
    let by_failures = 0.5_f32.powi(halvings as i32);
    (server.weight * by_failures * warm_up_factor(server, now)).max(MIN_FAILING_WEIGHT.min(server.weight))
}

fn warm_up_factor(server: &ServerView, now: Instant) -> f32 {
    if server.info.state == ServerState::Starting {
        return COLD_WEIGHT_FACTOR;
    }
    let Some(since) = server.ready_since else { return 1.0 };
    let progress = now.saturating_duration_since(since).as_secs_f32() / WARM_UP.as_secs_f32();
    COLD_WEIGHT_FACTOR + (1.0 - COLD_WEIGHT_FACTOR) * progress.min(1.0)
}

/// Draws two servers at random by weight (reservoir sampling, one pass) and returns the cheaper one.
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

/// Expected wait at `server`, in microseconds. A server of unknown latency is taken to be as fast as `other`.
fn cost(server: &ServerView, other: &ServerView) -> f32 {
    let known_us = |s: &ServerView| s.counters.latency_us.load(Relaxed);
    let latency_us = if known_us(server) == 0 { known_us(other) } else { known_us(server) };
    let in_flight = server.counters.in_flight.load(Relaxed) as f32;
    (in_flight + 1.0) * latency_us.max(MIN_LATENCY_US) as f32 * load_factor(server, in_flight)
}

/// Factor on the cost for the server's load: the higher of the load that it reports and the part of its slots
/// that this daemon's own requests use. A server that wrongly reports no load thus gains nothing.
fn load_factor(server: &ServerView, in_flight: f32) -> f32 {
    let reported = if server.info.load.is_finite() { server.info.load.clamp(0.0, 1.0) } else { 0.0 };
    let own_share = (in_flight / server.info.slots.max(1) as f32).min(1.0);
    1.0 + MAX_LOAD_SURCHARGE * reported.max(own_share)
}
