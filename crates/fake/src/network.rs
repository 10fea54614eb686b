//! The fake network: latency by place, loss, duplication, one-way cuts.

use std::collections::HashSet;
use std::time::Duration;

use base::{DaemonId, Place};
use rand::Rng;
use rand::rngs::SmallRng;

/// One-way latency inside a region.
const NEAR: Duration = Duration::from_micros(500);
/// One-way latency between regions.
const FAR: Duration = Duration::from_millis(20);

/// Faults of the network; all may change while a fleet runs.
#[derive(Clone, Debug, Default)]
pub struct FakeNetwork {
    /// Share of messages that are lost, 0 to 1.
    pub loss: f64,
    /// Share of messages that arrive twice, 0 to 1.
    pub duplication: f64,
    /// Longest random delay on top of the latency; crosses messages.
    pub jitter: Duration,
    /// Pairs (from, to) whose messages are lost; one-way.
    pub cuts: HashSet<(DaemonId, DaemonId)>,
}

impl FakeNetwork {
    /// Delays after which a message arrives: none when lost, two when doubled.
    pub(crate) fn delays(
        &self,
        from: (DaemonId, &Place),
        to: (DaemonId, &Place),
        rng: &mut SmallRng,
    ) -> Vec<Duration> {
        if self.cuts.contains(&(from.0, to.0)) || rng.random::<f64>() < self.loss {
            return Vec::new();
        }
        let copies = if rng.random::<f64>() < self.duplication { 2 } else { 1 };
        let latency = if from.1.region == to.1.region { NEAR } else { FAR };
        (0..copies).map(|_| latency + self.jitter.mul_f64(rng.random::<f64>())).collect()
    }
}
