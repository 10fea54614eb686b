//! Two random choices, weighted by health, by requests in flight and latency, nearest first.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use base::{Place, ServerId};
use kernel::ServerView;
use rand::Rng;
use smallvec::SmallVec;

/// Candidates kept on the stack.
const INLINE: usize = 32;

/// Chooses a server, leaving out those already tried. Prefers the own data centre, then the own region.
pub fn choose<'a>(
    servers: &'a [Arc<ServerView>],
    place: &Place,
    tried: &[ServerId],
    rng: &mut impl Rng,
) -> Option<&'a Arc<ServerView>> {
    let usable = |s: &&Arc<ServerView>| s.weight > 0.0 && !tried.contains(&s.info.id) && has_room(s);
    let near = |level: u8| {
        servers
            .iter()
            .filter(usable)
            .filter(move |s| distance(s, place) == level)
            .collect::<SmallVec<[_; INLINE]>>()
    };
    (0..=2)
        .map(near)
        .find(|c| !c.is_empty())
        .and_then(|c| two_choices(&c, rng))
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
    let draw = |rng: &mut dyn rand::RngCore| candidates[rng.random_range(0..candidates.len())];
    if candidates.is_empty() {
        return None;
    }
    let first = draw(rng);
    let second = draw(rng);
    Some(if cost(first) <= cost(second) {
        first
    } else {
        second
    })
}

fn cost(server: &ServerView) -> f32 {
    let latency = server.cell.latency_us.load(Relaxed).max(1) as f32;
    let in_flight = server.cell.in_flight.load(Relaxed) as f32;
    (in_flight + 1.0) * latency / server.weight
}
