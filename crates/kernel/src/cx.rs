//! What an area may read and do while it handles an input.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use base::DaemonId;
use rand::rngs::SmallRng;
use store::StoreOp;
use wire::Msg;

use crate::api::{ApiRep, Ticket};
use crate::board::Board;
use crate::input::{Event, Output, StoreToken};
use crate::pool::TokenPools;

/// Context of one call into an area.
#[derive(Debug)]
pub struct Cx<'a> {
    /// Monotonic time of the input.
    pub now: Instant,
    /// Wall clock time of the input, milliseconds since the epoch. Never used for deadlines.
    pub wall_ms: u64,
    /// Shared facts; an area writes only its own fields.
    pub board: &'a mut Board,
    /// Token pools read by traffic.
    pub pools: &'a Arc<TokenPools>,
    /// Seeded randomness.
    pub rng: &'a mut SmallRng,
    pub(crate) area: usize,
    pub(crate) next_token: &'a mut StoreToken,
    pub(crate) owners: &'a mut std::collections::HashMap<StoreToken, usize>,
    pub(crate) outputs: &'a mut Vec<Output>,
    pub(crate) events: &'a mut VecDeque<Event>,
    pub(crate) dirty: &'a mut bool,
}

impl Cx<'_> {
    /// Sends a message; it may be lost, late, doubled or crossed.
    pub fn send(&mut self, to: DaemonId, msg: Msg) {
        self.outputs.push(Output::Send { to, msg });
    }

    /// Starts a store operation; the result comes to this area's `on_store` with the returned token.
    pub fn start_store_op(&mut self, op: StoreOp) -> StoreToken {
        *self.next_token += 1;
        let token = *self.next_token;
        self.owners.insert(token, self.area);
        self.outputs.push(Output::Store { token, op });
        token
    }

    /// Answers a request on the operator API.
    pub fn answer(&mut self, ticket: Ticket, rep: ApiRep) {
        self.outputs.push(Output::Answer { ticket, rep });
    }

    /// Tells all areas, after the present input is handled.
    pub fn emit(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Asks for a new view for traffic after this input.
    pub fn publish_view(&mut self) {
        *self.dirty = true;
    }
}
