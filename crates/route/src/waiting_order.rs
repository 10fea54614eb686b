//! Order in which waiting requests get the slots of a server.

use std::cmp::{Ordering, Reverse};
use std::time::Instant;

use conf::Priority;

use crate::customer_shares::{CustomerShares, virtual_cost};
use crate::slot_queue::{SlotRequest, Ticket};

/// Multiple of its expected run time that a request must have left to count as able to meet its objective. With 1,
/// requests under lasting overload start when they have just their mean run time left, and three in ten of them
/// miss their objective, in place of others that would meet it.
const OBJECTIVE_MARGIN: f64 = 1.5;

/// How urgent a request is, apart from its customer's share. Smaller ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Urgency {
    nested: Reverse<bool>,
    priority: Priority,
    /// Whether the request is likely to miss its objective even if it starts now.
    is_late: bool,
}

impl Urgency {
    pub(crate) fn of(request: &SlotRequest, now: Instant) -> Self {
        let is_late = now + request.expected_run.mul_f64(OBJECTIVE_MARGIN) > request.objective_at;
        Self { nested: Reverse(request.nested), priority: request.priority, is_late }
    }
}

/// Place of a request in the order; the smallest goes first.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    pub(crate) urgency: Urgency,
    /// Virtual time of the customer when it is the request's turn.
    virtual_time: f64,
    /// The objective while it can be met, else the deadline.
    due: Instant,
    /// Older requests go first if all else is equal.
    ticket: Ticket,
}

impl Place {
    /// Place of a request that would be the next one of its customer.
    pub(crate) fn of(ticket: Ticket, request: &SlotRequest, shares: &CustomerShares, now: Instant) -> Self {
        let place = Self::without_share(ticket, request, now);
        Self { virtual_time: shares.virtual_time_of(place.urgency, request.customer), ..place }
    }

    fn without_share(ticket: Ticket, request: &SlotRequest, now: Instant) -> Self {
        let urgency = Urgency::of(request, now);
        let due = if urgency.is_late { request.deadline } else { request.objective_at };
        Self { urgency, virtual_time: 0.0, due, ticket }
    }

    pub(crate) fn cmp(&self, other: &Self) -> Ordering {
        self.urgency
            .cmp(&other.urgency)
            .then(self.virtual_time.total_cmp(&other.virtual_time))
            .then(self.due.cmp(&other.due))
            .then(self.ticket.cmp(&other.ticket))
    }
}

/// Sorts requests by the order in which they get slots, if no other request comes: each start of a customer's
/// request delays its next ones.
pub(crate) fn sort_by_turn(
    requests: impl Iterator<Item = (Ticket, SlotRequest)>,
    shares: &CustomerShares,
    now: Instant,
) -> Vec<(Ticket, SlotRequest)> {
    let mut turns: Vec<(Place, SlotRequest)> =
        requests.map(|(ticket, request)| (Place::without_share(ticket, &request, now), request)).collect();
    // The requests of one customer in the order of their turns.
    turns.sort_unstable_by_key(|(place, request)| (place.urgency, request.customer, place.due, place.ticket));
    let mut last = None;
    let mut virtual_time = 0.0;
    for (place, request) in &mut turns {
        let of = (place.urgency, request.customer);
        if last.replace(of) != Some(of) {
            virtual_time = shares.virtual_time_of(place.urgency, request.customer);
        }
        place.virtual_time = virtual_time;
        virtual_time += virtual_cost(request.expected_run, request.weight);
    }
    turns.sort_unstable_by(|a, b| a.0.cmp(&b.0));
    turns.into_iter().map(|(place, request)| (place.ticket, request)).collect()
}
