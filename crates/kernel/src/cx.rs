//! Context in which an area handles an input: what the area may read and do.

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

/// Context of one call of an area's method.
#[derive(Debug)]
pub struct Cx<'a> {
    /// Monotonic time of the input.
    pub now: Instant,
    /// Wall clock time of the input, milliseconds since the epoch. May jump; never used for deadlines.
    pub wall_ms: u64,
    /// Shared facts; an area writes only its own fields.
    pub board: &'a mut Board,
    /// Token pools from which the traffic threads take.
    pub pools: &'a Arc<TokenPools>,
    /// Random numbers, seeded so that tests are reproducible.
    pub rng: &'a mut SmallRng,
    pub(crate) area_index: usize,
    pub(crate) last_token: &'a mut StoreToken,
    pub(crate) store_op_areas: &'a mut std::collections::HashMap<StoreToken, usize>,
    pub(crate) outputs: &'a mut Vec<Output>,
    pub(crate) events: &'a mut VecDeque<Event>,
    pub(crate) publishes_view: &'a mut bool,
}

impl Cx<'_> {
    /// Sends a message; it may be lost, delayed, duplicated or reordered.
    pub fn send(&mut self, to: DaemonId, msg: Msg) {
        self.outputs.push(Output::Send { to, msg });
    }

    /// Starts a store operation; the result goes to this area's `on_store` with the returned token.
    pub fn start_store_op(&mut self, op: StoreOp) -> StoreToken {
        *self.last_token += 1;
        let token = *self.last_token;
        self.store_op_areas.insert(token, self.area_index);
        self.outputs.push(Output::Store { token, op });
        token
    }

    /// Answers a request on the operator API.
    pub fn answer(&mut self, ticket: Ticket, rep: ApiRep) {
        self.outputs.push(Output::Answer { ticket, rep });
    }

    /// Emits an event; all areas handle it after the current input.
    pub fn emit(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Asks for a new [`crate::View`] to be published after the current input.
    pub fn publish_view(&mut self) {
        *self.publishes_view = true;
    }
}
