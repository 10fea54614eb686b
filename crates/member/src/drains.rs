//! Operators' orders to drain servers: the last order about each server wins, on every daemon.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use base::ServerId;
use base::rendezvous::stable_hash;
use wire::server::Drain;

/// All orders known here. An ended one stays, so that a late copy of the order does not bring it back.
#[derive(Debug, Default)]
pub(crate) struct Drains {
    orders: BTreeMap<ServerId, Drain>,
}

impl Drains {
    /// Makes an order that replaces every known one about the server.
    pub(crate) fn order(&mut self, server: &str, drained: bool, wall_ms: u64) -> Drain {
        let last = self.orders.get(server).map_or(0, |d| d.stamp);
        let drain = Drain { server: server.into(), drained, stamp: wall_ms.max(last + 1) };
        self.orders.insert(server.into(), drain.clone());
        drain
    }

    /// Takes an order; returns whether it was news.
    pub(crate) fn take(&mut self, drain: &Drain) -> bool {
        // Two orders of one stamp are decided in the same way everywhere: to drain wins.
        let rank = |d: &Drain| (d.stamp, d.drained);
        let is_news = self.orders.get(&drain.server).is_none_or(|known| rank(known) < rank(drain));
        if is_news {
            self.orders.insert(drain.server.clone(), drain.clone());
        }
        is_news
    }

    /// Whether an operator has drained the server.
    pub(crate) fn is_drained(&self, server: &str) -> bool {
        self.orders.get(server).is_some_and(|d| d.drained)
    }

    /// All orders.
    pub(crate) fn list(&self) -> Vec<Drain> {
        self.orders.values().cloned().collect()
    }

    /// Hash over all orders.
    pub(crate) fn digest(&self) -> u64 {
        let mut text = String::new();
        for d in self.orders.values() {
            let _ = write!(text, "{} {} {};", d.server, d.drained, d.stamp);
        }
        stable_hash(text.as_bytes())
    }
}
