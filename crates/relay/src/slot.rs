//! A request that runs at the server beside this daemon, and the slot that it holds.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ServerId;
use health::RequestOutcome;
use route::slot_queue::Ticket;

use crate::exit::Exit;
use crate::pool::Conn;

/// A request at the server; its slot is free again when this is dropped.
#[derive(Debug)]
pub struct Run {
    pub(crate) exit: Rc<Exit>,
    ticket: Ticket,
    /// Server that runs it.
    pub(crate) server: ServerId,
    started: Instant,
    route_hash: u32,
    /// Connection that carries it, once its answer is passed on.
    pub(crate) conn: Option<Conn>,
    /// Idle timeout that the server states.
    pub(crate) keep_alive: Option<Duration>,
}

impl Run {
    pub(crate) fn new(
        exit: Rc<Exit>,
        ticket: Ticket,
        server: ServerId,
        started: Instant,
        route_hash: u32,
    ) -> Self {
        Self { exit, ticket, server, started, route_hash, conn: None, keep_alive: None }
    }

    /// Takes in that the slot was granted only now.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.started = now;
    }

    /// Ends the run: its answer is whole, or broke off.
    pub fn finish(mut self, is_whole: bool, now: Instant) {
        let shown = if is_whole { RequestOutcome::Success } else { RequestOutcome::Failure };
        self.exit.observe(shown, now);
        if let Some(conn) = self.conn.take().filter(|_| is_whole) {
            self.exit.pool.put(conn, self.keep_alive, now);
        }
        if is_whole {
            let took = now.saturating_duration_since(self.started);
            self.exit.note_time(self.route_hash, took);
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.exit.release(self.ticket);
    }
}
