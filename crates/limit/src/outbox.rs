//! Messages of this area; those to the daemon itself are handled in the same turn.

use std::collections::VecDeque;

use base::DaemonId;
use kernel::Cx;
use wire::Msg;
use wire::limit::{CustomerDemand, CustomerGrant, LimitMsg};

use crate::taker::Demands;
use crate::times::{GRANT, to_ms};

/// Lines of a demand or grant that fit one datagram.
const LINES: usize = 20;

/// Where messages go.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    to_self: VecDeque<LimitMsg>,
}

impl Outbox {
    pub(crate) fn send(&mut self, cx: &mut Cx<'_>, to: DaemonId, msg: LimitMsg) {
        if to == cx.board.me.id {
            self.to_self.push_back(msg);
        } else {
            cx.send(to, Msg::Limit(msg));
        }
    }

    /// The next message of this daemon to itself.
    pub(crate) fn pop(&mut self) -> Option<LimitMsg> {
        self.to_self.pop_front()
    }

    pub(crate) fn demand(&mut self, cx: &mut Cx<'_>, seq: u64, demands: Demands) {
        for (to, wants) in demands {
            for lines in chunks(wants) {
                self.send(cx, to, LimitMsg::Demand { seq, wants: lines });
            }
        }
    }

    pub(crate) fn grant(&mut self, cx: &mut Cx<'_>, to: DaemonId, seq: u64, grants: Vec<CustomerGrant>) {
        if !grants.is_empty() {
            self.send(cx, to, LimitMsg::Grant { seq, ttl_ms: to_ms(GRANT), grants });
        }
    }
}

fn chunks(mut wants: Vec<CustomerDemand>) -> impl Iterator<Item = Vec<CustomerDemand>> {
    std::iter::from_fn(move || {
        let rest = wants.split_off(wants.len().min(LINES));
        let lines = std::mem::replace(&mut wants, rest);
        (!lines.is_empty()).then_some(lines)
    })
}
