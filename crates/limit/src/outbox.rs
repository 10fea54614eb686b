//! Sends the messages of rate limiting; those of this daemon to itself are queued and skip the network.

use std::collections::VecDeque;

use base::DaemonId;
use kernel::Cx;
use wire::Msg;
use wire::limit::{CustomerDemand, CustomerGrant, LimitMsg};

use crate::prefetch::Demands;
use crate::times::{GRANT_TTL, to_ms};

/// Most lines of a demand in one datagram. A grant has at most as many as the demand that it answers.
const MAX_DEMAND_LINES: usize = 20;

/// Sends messages to other daemons and queues those to this daemon.
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

    /// Takes the oldest message of this daemon to itself.
    pub(crate) fn pop_own_message(&mut self) -> Option<LimitMsg> {
        self.to_self.pop_front()
    }

    pub(crate) fn send_demands(&mut self, cx: &mut Cx<'_>, seq: u64, demands: Demands) {
        for (to, wants) in demands {
            for lines in split_wants(wants) {
                self.send(cx, to, LimitMsg::Demand { seq, wants: lines });
            }
        }
    }

    pub(crate) fn send_grants(
        &mut self,
        cx: &mut Cx<'_>,
        to: DaemonId,
        seq: u64,
        grants: Vec<CustomerGrant>,
    ) {
        if !grants.is_empty() {
            self.send(cx, to, LimitMsg::Grant { seq, ttl_ms: to_ms(GRANT_TTL), grants });
        }
    }
}

fn split_wants(mut wants: Vec<CustomerDemand>) -> impl Iterator<Item = Vec<CustomerDemand>> {
    std::iter::from_fn(move || {
        let rest = wants.split_off(wants.len().min(MAX_DEMAND_LINES));
        let lines = std::mem::replace(&mut wants, rest);
        (!lines.is_empty()).then_some(lines)
    })
}
