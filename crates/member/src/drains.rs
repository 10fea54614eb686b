//! Operators' orders to drain servers. The last order about each server wins; daemons exchange orders until
//! all know the same ones.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use base::ServerId;
use base::rendezvous::stable_hash;
use wire::server::Drain;

/// The last known order about each server. An order that ends a drain is kept, so that a late copy of the
/// drain order does not restore it.
#[derive(Debug, Default)]
pub(crate) struct Drains {
    orders: BTreeMap<ServerId, Drain>,
}

impl Drains {
    /// Makes an order that supersedes the known one about the server.
    pub(crate) fn issue(&mut self, server: &str, drained: bool, wall_ms: u64) -> Drain {
        let last = self.orders.get(server).map_or(0, |d| d.stamp);
        let drain = Drain { server: server.into(), drained, stamp: wall_ms.max(last + 1) };
        self.orders.insert(server.into(), drain.clone());
        drain
    }

    /// Takes an order from another daemon; returns whether it supersedes the known one.
    pub(crate) fn merge(&mut self, drain: &Drain) -> bool {
        // Of two orders with the same stamp every daemon must keep the same one: draining wins.
        let rank = |d: &Drain| (d.stamp, d.drained);
        let is_new = self.orders.get(&drain.server).is_none_or(|known| rank(known) < rank(drain));
        if is_new {
            self.orders.insert(drain.server.clone(), drain.clone());
        }
        is_new
    }

    /// Whether the server is drained by an operator.
    pub(crate) fn is_drained(&self, server: &str) -> bool {
        self.orders.get(server).is_some_and(|d| d.drained)
    }

    /// All known orders, sorted by server.
    pub(crate) fn list(&self) -> Vec<Drain> {
        self.orders.values().cloned().collect()
    }

    /// Hash over all known orders, by which daemons notice that theirs differ.
    pub(crate) fn digest(&self) -> u64 {
        let mut text = String::new();
        for d in self.orders.values() {
            let _ = write!(text, "{} {} {};", d.server, d.drained, d.stamp);
        }
        stable_hash(text.as_bytes())
    }
}
