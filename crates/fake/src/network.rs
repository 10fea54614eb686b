//! The fake network: latency by region, loss, duplication, jitter, links cut in one direction.

use std::collections::HashSet;
use std::time::Duration;

use base::{DaemonId, Place};
use rand::Rng;
use rand::rngs::SmallRng;

/// One-way latency inside a region.
const INTRA_REGION_LATENCY: Duration = Duration::from_micros(500);
/// One-way latency between regions.
const INTER_REGION_LATENCY: Duration = Duration::from_millis(20);

/// Faults of the network; each may be changed while the fleet runs.
#[derive(Clone, Debug, Default)]
pub struct FakeNetwork {
    /// Share of messages that are lost, 0 to 1.
    pub loss: f64,
    /// Share of messages that arrive twice, 0 to 1.
    pub duplication: f64,
    /// Longest random delay on top of the latency; reorders messages.
    pub jitter: Duration,
    /// Links (sender, receiver) whose messages are all lost; messages in the other direction still arrive.
    pub cut_links: HashSet<(DaemonId, DaemonId)>,
}

impl FakeNetwork {
    /// Draws the delay of each copy of a message: no copy if it is lost, two if it is duplicated.
    pub(crate) fn draw_delays(
        &self,
        from: (DaemonId, &Place),
        to: (DaemonId, &Place),
        rng: &mut SmallRng,
    ) -> Vec<Duration> {
        if self.cut_links.contains(&(from.0, to.0)) || rng.random::<f64>() < self.loss {
            return Vec::new();
        }
        let copies = if rng.random::<f64>() < self.duplication { 2 } else { 1 };
        let latency = if from.1.region == to.1.region { INTRA_REGION_LATENCY } else { INTER_REGION_LATENCY };
        (0..copies).map(|_| latency + self.jitter.mul_f64(rng.random::<f64>())).collect()
    }
}
