//! Choice of gossip partners: mostly in the own region, a constant number a second across the link.

use base::{DaemonId, Place, Region};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};

/// Messages that all daemons of a region together send to other regions in each round.
const CROSS_PER_ROUND: f64 = 8.0;

/// Picks up to `count` partners from the candidates.
pub(crate) fn pick<'a>(
    rng: &mut SmallRng,
    home: &Region,
    candidates: impl Iterator<Item = (DaemonId, &'a Place)>,
    count: usize,
) -> Vec<DaemonId> {
    let (mut near, mut far) = (Vec::new(), Vec::new());
    for (id, place) in candidates {
        if place.region == *home { near.push(id) } else { far.push(id) }
    }
    let share = CROSS_PER_ROUND / (near.len() + 1) as f64;
    let cross = if near.is_empty() { count } else { usize::from(rng.random::<f64>() < share) };
    let mut picked: Vec<_> = far.choose_multiple(rng, cross.min(count)).copied().collect();
    let rest = count - picked.len();
    picked.extend(near.choose_multiple(rng, rest).copied());
    picked.shuffle(rng);
    picked
}
