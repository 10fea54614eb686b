//! A request that is running at the server, with the slot that it occupies.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ServerId;
use health::RequestOutcome;
use route::slot_queue::Ticket;

use crate::handoff::{Handoff, RunTime};
use crate::local_server::LocalServer;
use crate::pool::Conn;

/// A request that occupies a slot of the server, or waits for one. Dropping it frees the slot.
#[derive(Debug)]
pub struct RunningRequest {
    pub(crate) local_server: Rc<LocalServer>,
    ticket: Ticket,
    /// Id of the server when the request was accepted.
    pub(crate) server: ServerId,
    started: Instant,
    route_hash: u32,
    /// Run time that the caller's daemon expects at an average server, if it has learned it.
    cost: Option<Duration>,
    /// Connection that carries the answer, to be reused once the answer is complete.
    pub(crate) conn: Option<Conn>,
    /// Idle timeout that the server states.
    pub(crate) keep_alive: Option<Duration>,
}

impl RunningRequest {
    pub(crate) fn new(
        local_server: Rc<LocalServer>,
        ticket: Ticket,
        server: ServerId,
        started: Instant,
        handoff: &Handoff,
    ) -> Self {
        let Handoff { route_hash, cost, .. } = *handoff;
        Self { local_server, ticket, server, started, route_hash, cost, conn: None, keep_alive: None }
    }

    /// Measures the run time from `now`, when the request got its slot after a wait.
    pub(crate) fn restart_clock(&mut self, now: Instant) {
        self.started = now;
    }

    /// Takes the start of this run back from the limit of a cold server, because another server has the address.
    pub(crate) fn take_back_start(&self) {
        self.local_server.take_back_start(self.started);
    }

    /// Ends the run and records its outcome. `is_whole` tells whether the answer is complete; false if it
    /// broke off. Returns the time of a run with a complete answer.
    pub fn finish(mut self, is_whole: bool, now: Instant) -> Option<RunTime> {
        let outcome = if is_whole { RequestOutcome::Success } else { RequestOutcome::Failure };
        self.local_server.record_outcome(outcome, now);
        if let Some(conn) = self.conn.take().filter(|_| is_whole) {
            self.local_server.pool.put(conn, self.keep_alive, now);
        }
        let took = now.saturating_duration_since(self.started);
        is_whole.then(|| self.local_server.record_run_time(self.route_hash, took, self.cost))
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.local_server.release_slot(self.ticket);
    }
}
