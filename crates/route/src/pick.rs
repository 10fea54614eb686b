//! Two random choices, weighted by health, by requests in flight and latency, nearest first.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Instant;

use base::{Place, ServerId};
use kernel::ServerView;
use rand::Rng;
use smallvec::SmallVec;

/// Candidates kept on the stack.
const INLINE: usize = 32;

/// What a request wants of its server.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Where this daemon stands.
    pub place: &'a Place,
    /// Servers already tried for this request.
    pub tried: &'a [ServerId],
    /// Whether the request may run more than once; only then may it go to a server on trial.
    pub repeatable: bool,
    /// Whether the service allows servers of other regions.
    pub cross_region: bool,
    /// Time of the choice.
    pub now: Instant,
}

/// Chooses a server. Prefers the own data centre, then the own region.
pub fn choose<'a>(
    servers: &'a [Arc<ServerView>],
    want: &Want<'_>,
    rng: &mut impl Rng,
) -> Option<&'a Arc<ServerView>> {
    let usable = |s: &&Arc<ServerView>| s.weight > 0.0 && !want.tried.contains(&s.info.id) && has_room(s);
    let near = |level: u8| {
        servers
            .iter()
            .filter(usable)
            .filter(move |s| distance(s, want.place) == level)
            .collect::<SmallVec<[_; INLINE]>>()
    };
    let farthest = if want.cross_region { 2 } else { 1 };
    (0..=farthest).map(near).find(|c| !c.is_empty()).and_then(|c| two_choices(&c, rng))
}

fn distance(server: &ServerView, place: &Place) -> u8 {
    match &server.info.place {
        p if p == place => 0,
        p if p.region == place.region => 1,
        _ => 2,
    }
}

fn has_room(server: &ServerView) -> bool {
    server.cell.in_flight.load(Relaxed) < server.info.slots
}

fn two_choices<'a>(candidates: &[&'a Arc<ServerView>], rng: &mut impl Rng) -> Option<&'a Arc<ServerView>> {
    if candidates.is_empty() {
        return None;
    }
    let first = candidates[rng.random_range(0..candidates.len())];
    let second = candidates[rng.random_range(0..candidates.len())];
    Some(if cost(first) <= cost(second) { first } else { second })
}

fn cost(server: &ServerView) -> f32 {
    let latency = server.cell.latency_us.load(Relaxed).max(1) as f32;
    let in_flight = server.cell.in_flight.load(Relaxed) as f32;
    (in_flight + 1.0) * latency / server.weight
}
