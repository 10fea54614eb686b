//! Choice of gossip partners: most in the daemon's own region, and a bounded number in other regions, so that
//! traffic on the link between regions doesn't grow with the fleet.

use base::{DaemonId, Place, Region};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};

/// Partners in other regions that all daemons of a region together pick in each round, on average.
const CROSS_REGION_MSGS_PER_ROUND: f64 = 8.0;

/// Picks up to `count` random partners from the candidates. `home` is this daemon's region; while it has no
/// other candidate, all partners are in other regions.
pub(crate) fn pick_partners<'a>(
    rng: &mut SmallRng,
    home: &Region,
    candidates: impl Iterator<Item = (DaemonId, &'a Place)>,
    count: usize,
) -> Vec<DaemonId> {
    let (mut near, mut far) = (Vec::new(), Vec::new());
    for (id, place) in candidates {
        if place.region == *home { near.push(id) } else { far.push(id) }
    }
    let share = CROSS_REGION_MSGS_PER_ROUND / (near.len() + 1) as f64;
    let cross = if near.is_empty() { count } else { usize::from(rng.random::<f64>() < share) };
    let mut picked: Vec<_> = far.choose_multiple(rng, cross.min(count)).copied().collect();
    let rest = count - picked.len();
    picked.extend(near.choose_multiple(rng, rest).copied());
    picked.shuffle(rng);
    picked
}
