//! The answering side: receipts of the hand-offs that have arrived, and connections on which no further one
//! is accepted.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::message::{Answer, ConnectionId, Fate, HandoffNumber, Incarnation, MAX_NUMBERS, Question};

/// Bounds of the memory of [`Receipts`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most open connections.
    pub connections: usize,
    /// Most closed connections. Beyond, a hand-off that never came is reported as started.
    pub closed: usize,
    /// Most hand-offs that are remembered as not run. Beyond, the oldest are reported as started.
    pub not_run: usize,
    /// Time for which an unused connection is kept. Longer than any request waits for its answer.
    pub keep_connection: Duration,
    /// Time for which a hand-off is remembered as not run.
    pub keep_not_run: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 8_192,
            closed: 4_096,
            not_run: 16_384,
            keep_connection: Duration::from_mins(10),
            keep_not_run: Duration::from_secs(10),
        }
    }
}

/// Whether a hand-off that has arrived may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It may start after [`Receipts::start`].
    Accepted,
    /// It must be declined: its caller's daemon may have been told that it does not run.
    Declined,
}

/// Answer to a question, and its effect.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The answer to send.
    pub answer: Answer,
    /// Hand-offs that were waiting and must now be dropped.
    pub given_up: Vec<HandoffNumber>,
}

/// How far a hand-off that has arrived has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Started,
}

/// Receipts of one connection.
#[derive(Clone, Debug)]
struct Connection {
    /// Highest number that has arrived. Hand-offs arrive in order: all before it have arrived or never will.
    highest: HandoffNumber,
    /// Hand-offs that have arrived and not ended.
    open: HashMap<HandoffNumber, Stage>,
    /// Whether a hand-off was reported as never come, so that no later one may be accepted.
    is_closed: bool,
    used_at: Instant,
}

impl Connection {
    fn new(now: Instant) -> Self {
        Self { highest: 0, open: HashMap::new(), is_closed: false, used_at: now }
    }
}

/// Receipts of all hand-offs that a daemon has received.
#[derive(Clone, Debug)]
pub struct Receipts {
    limits: Limits,
    connections: HashMap<ConnectionId, Connection>,
    /// Number of closed ones in `connections`.
    closed: usize,
    /// Hand-offs that were declined or given up.
    not_run: HashMap<(ConnectionId, HandoffNumber), Fate>,
    /// Keys of `not_run` with the times at which they are removed, oldest first.
    not_run_until: VecDeque<(Instant, ConnectionId, HandoffNumber)>,
    /// Until when an unknown connection may be one whose receipts were dropped for lack of room.
    dropped_until: Option<Instant>,
    next_sweep_at: Option<Instant>,
}

impl Default for Receipts {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

impl Receipts {
    /// Creates an empty table.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: HashMap::new(),
            closed: 0,
            not_run: HashMap::new(),
            not_run_until: VecDeque::new(),
            dropped_until: None,
            next_sweep_at: None,
        }
    }

    /// Records that a hand-off has arrived. Must be called in the order of arrival.
    pub fn arrive(&mut self, connection: ConnectionId, number: HandoffNumber, now: Instant) -> Arrival {
        self.expire(now);
        if !self.connections.contains_key(&connection) && !self.make_room(now) {
            return Arrival::Declined;
        }
        let known = self.connections.entry(connection).or_insert_with(|| Connection::new(now));
        known.used_at = now;
        // A number that is not above the highest one is a copy.
        if known.is_closed || number <= known.highest {
            return Arrival::Declined;
        }
        known.highest = number;
        known.open.insert(number, Stage::Waiting);
        Arrival::Accepted
    }

    /// Records that a hand-off starts; false if it was given up and must not start.
    #[must_use]
    pub fn start(&mut self, connection: ConnectionId, number: HandoffNumber) -> bool {
        let stage = self.connections.get_mut(&connection).and_then(|c| c.open.get_mut(&number));
        let Some(stage) = stage else { return false };
        *stage = Stage::Started;
        true
    }

    /// Records the end of an accepted hand-off. `is_declined` tells that it has not run; one that has not started
    /// has not run either way.
    pub fn end(&mut self, connection: ConnectionId, number: HandoffNumber, is_declined: bool, now: Instant) {
        let Some(known) = self.connections.get_mut(&connection) else { return };
        known.used_at = now;
        let stage = known.open.remove(&number);
        if stage == Some(Stage::Waiting) || (is_declined && stage.is_some()) {
            self.remember_not_run(connection, number, Fate::Declined, now);
        }
    }

    /// Answers a question. `incarnation` is that of this process.
    pub fn answer(&mut self, question: &Question, incarnation: Incarnation, now: Instant) -> Reply {
        self.expire(now);
        let connection = question.connection;
        let mut given_up = Vec::new();
        let mut fates = Vec::new();
        for number in question.numbers.iter().take(MAX_NUMBERS) {
            let mut fate = self.fate(connection, *number, now);
            if fate == Fate::Waiting && question.revoke {
                self.give_up(connection, *number, now);
                given_up.push(*number);
                fate = Fate::GivenUp;
            }
            fates.push((*number, fate));
        }
        Reply { answer: Answer { connection, incarnation, fates }, given_up }
    }

    /// Fate of a hand-off. Closes the connection if the hand-off never came.
    fn fate(&mut self, connection: ConnectionId, number: HandoffNumber, now: Instant) -> Fate {
        let has_dropped = self.dropped_until.is_some_and(|until| now < until);
        let known = match self.connections.get_mut(&connection) {
            Some(known) => known,
            None if has_dropped || self.closed >= self.limits.closed => return Fate::Started,
            None => self.connections.entry(connection).or_insert_with(|| Connection::new(now)),
        };
        known.used_at = now;
        match known.open.get(&number) {
            Some(Stage::Waiting) => return Fate::Waiting,
            Some(Stage::Started) => return Fate::Started,
            None => {}
        }
        if let Some(fate) = self.not_run.get(&(connection, number)) {
            return *fate;
        }
        if number <= known.highest {
            return Fate::Started;
        }
        if !known.is_closed {
            if self.closed >= self.limits.closed {
                return Fate::Started;
            }
            known.is_closed = true;
            self.closed += 1;
        }
        Fate::NeverCame
    }

    fn give_up(&mut self, connection: ConnectionId, number: HandoffNumber, now: Instant) {
        if let Some(known) = self.connections.get_mut(&connection) {
            known.open.remove(&number);
        }
        self.remember_not_run(connection, number, Fate::GivenUp, now);
    }

    fn remember_not_run(
        &mut self,
        connection: ConnectionId,
        number: HandoffNumber,
        fate: Fate,
        now: Instant,
    ) {
        if self.not_run_until.len() >= self.limits.not_run
            && let Some((_, connection, number)) = self.not_run_until.pop_front()
        {
            self.not_run.remove(&(connection, number));
        }
        self.not_run.insert((connection, number), fate);
        self.not_run_until.push_back((now + self.limits.keep_not_run, connection, number));
    }

    /// Makes room for one more open connection; false if all have hand-offs that have not ended.
    fn make_room(&mut self, now: Instant) -> bool {
        if self.connections.len() - self.closed < self.limits.connections {
            return true;
        }
        let is_idle = |c: &Connection| !c.is_closed && c.open.is_empty();
        let idle = self.connections.iter().filter(|(_, c)| is_idle(c));
        let Some(oldest) = idle.min_by_key(|(_, c)| c.used_at).map(|(id, _)| *id) else { return false };
        self.connections.remove(&oldest);
        self.dropped_until = Some(now + self.limits.keep_connection);
        true
    }

    fn expire(&mut self, now: Instant) {
        while let Some((until, connection, number)) = self.not_run_until.front().copied()
            && until <= now
        {
            self.not_run_until.pop_front();
            self.not_run.remove(&(connection, number));
        }
        if self.next_sweep_at.is_some_and(|at| now < at) {
            return;
        }
        let keep = self.limits.keep_connection;
        self.next_sweep_at = Some(now + keep / 10);
        self.connections.retain(|_, c| !c.open.is_empty() || now.saturating_duration_since(c.used_at) < keep);
        self.closed = self.connections.values().filter(|c| c.is_closed).count();
    }
}
