//! What the registry of servers passes on by gossip.

use wire::server::{Delta, Drain, Loads, ServerMsg};

/// Something to pass on to other daemons.
#[derive(Clone, Debug)]
pub(crate) enum News {
    /// A change of a set.
    Delta(Delta),
    /// An operator's order.
    Drain(Drain),
    /// A report of loads.
    Loads(Loads),
}

/// Puts changes, each with the rounds left to it, into one message.
pub(crate) fn batch_msg(batch: &[(News, u8)]) -> ServerMsg {
    let (mut deltas, mut drains, mut loads) = (Vec::new(), Vec::new(), Vec::new());
    for (news, _) in batch {
        match news {
            News::Delta(delta) => deltas.push(delta.clone()),
            News::Drain(drain) => drains.push(drain.clone()),
            News::Loads(list) => loads.push(list.clone()),
        }
    }
    ServerMsg::Update { deltas, drains, loads }
}
