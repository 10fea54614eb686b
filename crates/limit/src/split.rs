//! Baseline: every daemon gets an equal, static part of each customer's rate and burst.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::CustomerId;
use kernel::{Area, AreaEntry, Cx, Setup};

kernel::inventory::submit! {
    AreaEntry { name: "limit", order: 50, build: |setup| Box::new(StaticSplit::new(setup)) }
}

/// Time for which refilled tokens may be spent.
const LAPSE: Duration = Duration::from_secs(1);

/// Equal parts of every customer's rate.
#[derive(Debug)]
pub struct StaticSplit {
    buckets: BTreeMap<CustomerId, f64>,
    last: Option<Instant>,
}

impl StaticSplit {
    /// Makes the area.
    pub fn new(_setup: &Setup) -> Self {
        Self { buckets: BTreeMap::new(), last: None }
    }
}

impl Area for StaticSplit {
    fn name(&self) -> &'static str {
        "limit"
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        let elapsed = self.last.map_or(0.0, |at| (cx.now - at).as_secs_f64());
        self.last = Some(cx.now);
        let Some(conf) = cx.board.conf.clone() else { return };
        let daemons = cx.board.alive().len() as f64;
        for (name, customer) in &conf.customers {
            let Some(pool) = cx.pools.get(name) else { continue };
            let left = self.buckets.entry(name.clone()).or_default();
            let spent_to = pool.tokens() as f64;
            let fraction = left.fract();
            let full =
                (spent_to + fraction + customer.rate / daemons * elapsed).min(customer.burst / daemons);
            *left = full;
            pool.replace(full as u32, cx.now + LAPSE);
            if full < 1.0 {
                pool.set_over_rate(cx.now + Duration::from_secs_f64(daemons / customer.rate));
            }
        }
    }
}
