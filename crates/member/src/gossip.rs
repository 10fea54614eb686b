//! What the server registry spreads by gossip.

use wire::server::{Delta, Drain, Loads, ServerMsg};

/// One item of gossip.
#[derive(Clone, Debug)]
pub(crate) enum GossipItem {
    /// A change of a daemon's server set.
    Delta(Delta),
    /// An operator's order to drain a server, or to end the drain.
    Drain(Drain),
    /// Loads of the servers of a daemon's set.
    Loads(Loads),
}

/// Puts items, each paired with the number of rounds left to it, into one message.
pub(crate) fn update_msg(batch: &[(GossipItem, u8)]) -> ServerMsg {
    let (mut deltas, mut drains, mut loads) = (Vec::new(), Vec::new(), Vec::new());
    for (item, _) in batch {
        match item {
            GossipItem::Delta(delta) => deltas.push(delta.clone()),
            GossipItem::Drain(drain) => drains.push(drain.clone()),
            GossipItem::Loads(list) => loads.push(list.clone()),
        }
    }
    ServerMsg::Update { deltas, drains, loads }
}
