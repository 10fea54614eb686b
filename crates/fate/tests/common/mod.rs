//! A caller's daemon and a server's daemon, with a connection and datagrams between them.
#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use fate::{
    Answer, Arrival, Asker, ConnectionId, HandoffNumber, Incarnation, Limits, Question, Receipts, Verdict,
};

/// A hand-off, by its connection and number.
pub type Handoff = (ConnectionId, HandoffNumber);

/// Limits so small that traces of few steps reach them.
pub const SMALL_LIMITS: Limits = Limits {
    connections: 2,
    closed: 2,
    not_run: 2,
    keep_connection: Duration::from_mins(10),
    keep_not_run: Duration::from_secs(10),
};

/// One step of a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The caller's daemon sends a hand-off.
    Send,
    /// The oldest hand-off on its way arrives.
    Arrive,
    /// A copy of the hand-off that arrived last arrives again.
    ArriveCopy,
    /// The oldest waiting hand-off starts.
    Start,
    /// The oldest waiting hand-off is declined.
    Decline,
    /// The oldest started hand-off ends, and its answer arrives.
    Respond,
    /// Time passes, and due questions are sent.
    Ask,
    /// As much time passes as a hand-off is remembered as not run.
    Wait,
    /// The oldest question arrives.
    Question,
    /// A copy of the question that arrived last arrives again.
    QuestionCopy,
    /// The oldest answer arrives.
    Answer,
    /// A copy of the answer that arrived last arrives again.
    AnswerCopy,
    /// The oldest question or answer is lost.
    Lose,
    /// The connection fails at the caller's daemon; what is on its way may still arrive.
    Break,
    /// The caller's daemon opens a new connection.
    Reconnect,
    /// The caller's daemon learns of the present process of the server's daemon.
    Learn,
    /// The server's daemon is killed and started again.
    RestartServer,
    /// The caller's daemon is killed and started again.
    RestartCaller,
}

impl Step {
    /// All steps.
    pub const ALL: &'static [Step] = &[
        Step::Send,
        Step::Arrive,
        Step::ArriveCopy,
        Step::Start,
        Step::Decline,
        Step::Respond,
        Step::Ask,
        Step::Wait,
        Step::Question,
        Step::QuestionCopy,
        Step::Answer,
        Step::AnswerCopy,
        Step::Lose,
        Step::Break,
        Step::Reconnect,
        Step::Learn,
        Step::RestartServer,
        Step::RestartCaller,
    ];
    /// The steps without those by which knowledge is lost.
    pub const ALL_BUT_RESTARTS: &'static [Step] = Self::ALL.split_at(15).0;
}

/// State of both daemons and of what is between them.
#[derive(Clone, Debug)]
pub struct World {
    now: Instant,
    limits: Limits,
    next_connection: ConnectionId,
    askers: BTreeMap<ConnectionId, Asker>,
    /// The present connection, and the process of the server's daemon that has accepted it.
    connection: ConnectionId,
    accepted_by: Incarnation,
    /// Process of the server's daemon that the caller's daemon knows.
    known: Incarnation,
    server: Incarnation,
    receipts: Receipts,
    /// Hand-offs on their way, with the process that has accepted their connection.
    on_way: VecDeque<(Incarnation, Handoff)>,
    last_arrived: Option<(Incarnation, Handoff)>,
    waiting: VecDeque<Handoff>,
    running: VecDeque<Handoff>,
    questions: VecDeque<Question>,
    last_question: Option<Question>,
    /// How often a hand-off was asked about with `revoke`.
    revocations: BTreeMap<Handoff, u8>,
    answers: VecDeque<Answer>,
    last_answer: Option<Answer>,
    /// Each start of a hand-off.
    started: Vec<Handoff>,
    /// Hand-offs that were proven not to have run.
    not_run: BTreeSet<Handoff>,
}

impl World {
    /// Two daemons that know each other, with a connection.
    pub fn new() -> Self {
        Self::with_limits(Limits::default())
    }

    /// As [`World::new`], with bounds of the memory of the answering side.
    pub fn with_limits(limits: Limits) -> Self {
        Self {
            now: Instant::now(),
            limits,
            next_connection: 2,
            askers: BTreeMap::from([(1, Asker::new(1, Some(1)))]),
            connection: 1,
            accepted_by: 1,
            known: 1,
            server: 1,
            receipts: Receipts::new(limits),
            on_way: VecDeque::new(),
            last_arrived: None,
            waiting: VecDeque::new(),
            running: VecDeque::new(),
            questions: VecDeque::new(),
            last_question: None,
            revocations: BTreeMap::new(),
            answers: VecDeque::new(),
            last_answer: None,
            started: Vec::new(),
            not_run: BTreeSet::new(),
        }
    }

    fn asker(&mut self) -> &mut Asker {
        self.askers.get_mut(&self.connection).expect("the present connection is tracked")
    }

    /// Takes a step; false if it changes nothing.
    pub fn apply(&mut self, step: Step) -> bool {
        match step {
            Step::Send => {
                let now = self.now;
                let number = self.asker().send(now);
                self.on_way.push_back((self.accepted_by, (self.connection, number)));
                true
            }
            Step::Arrive => self.on_way.pop_front().is_some_and(|sent| self.arrive(sent)),
            Step::ArriveCopy => self.last_arrived.is_some_and(|sent| self.arrive(sent)),
            Step::Start => self.waiting.pop_front().is_some_and(|handoff| self.start(handoff)),
            Step::Decline => self.waiting.pop_front().is_some_and(|(connection, number)| {
                self.receipts.end(connection, number, true, self.now);
                true
            }),
            Step::Respond => self.running.pop_front().is_some_and(|handoff| self.respond(handoff)),
            Step::Ask => self.ask(),
            Step::Wait => {
                self.now += self.limits.keep_not_run;
                true
            }
            Step::Question => self.questions.pop_front().is_some_and(|q| self.on_question(q)),
            Step::QuestionCopy => self.last_question.clone().is_some_and(|q| self.on_question(q)),
            Step::Answer => self.answers.pop_front().is_some_and(|a| self.on_answer(a)),
            Step::AnswerCopy => self.last_answer.clone().is_some_and(|a| self.on_answer(a)),
            Step::Lose => self.questions.pop_front().is_some() || self.answers.pop_front().is_some(),
            Step::Break => {
                let now = self.now;
                self.asker().revoke(now);
                true
            }
            Step::Reconnect => {
                self.connection = self.next_connection;
                self.next_connection += 1;
                self.accepted_by = self.server;
                self.askers.insert(self.connection, Asker::new(self.connection, Some(self.known)));
                true
            }
            Step::Learn => std::mem::replace(&mut self.known, self.server) != self.server,
            Step::RestartServer => {
                self.server += 1;
                self.receipts = Receipts::new(self.limits);
                self.waiting.clear();
                self.running.clear();
                true
            }
            Step::RestartCaller => {
                self.known = self.server;
                self.askers.clear();
                self.apply(Step::Reconnect)
            }
        }
    }

    fn arrive(&mut self, sent: (Incarnation, Handoff)) -> bool {
        let (accepted_by, handoff) = sent;
        if accepted_by != self.server {
            return false;
        }
        self.last_arrived = Some(sent);
        if self.receipts.arrive(handoff.0, handoff.1, self.now) == Arrival::Accepted {
            self.waiting.push_back(handoff);
        }
        true
    }

    fn start(&mut self, handoff: Handoff) -> bool {
        if self.receipts.start(handoff.0, handoff.1) {
            self.started.push(handoff);
            self.running.push_back(handoff);
        }
        true
    }

    fn respond(&mut self, handoff: Handoff) -> bool {
        self.receipts.end(handoff.0, handoff.1, false, self.now);
        if let Some(asker) = self.askers.get_mut(&handoff.0) {
            asker.on_response(handoff.1);
        }
        true
    }

    fn ask(&mut self) -> bool {
        self.now += fate::ASK_AFTER;
        let due = self.askers.values_mut().map(|asker| asker.poll(self.now));
        let questions: Vec<_> = due.flat_map(|due| due.questions).collect();
        for question in questions.iter().filter(|q| q.revoke) {
            for number in &question.numbers {
                *self.revocations.entry((question.connection, *number)).or_default() += 1;
            }
        }
        self.questions.extend(questions);
        true
    }

    fn on_question(&mut self, question: Question) -> bool {
        let reply = self.receipts.answer(&question, self.server, self.now);
        self.last_question = Some(question);
        self.answers.push_back(reply.answer);
        true
    }

    fn on_answer(&mut self, answer: Answer) -> bool {
        if let Some(asker) = self.askers.get_mut(&answer.connection) {
            for (number, verdict) in asker.on_answer(&answer, self.now) {
                if matches!(verdict, Verdict::NotRun(_)) {
                    self.not_run.insert((answer.connection, number));
                }
            }
        }
        self.last_answer = Some(answer);
        true
    }

    /// The present connection goes silent. Returns the hand-offs on it that never arrive and about which a
    /// question can still be sent.
    pub fn lose_connection(&mut self) -> Vec<Handoff> {
        let connection = self.connection;
        let can_ask =
            |handoff: &Handoff| self.revocations.get(handoff).is_none_or(|sends| *sends < fate::MAX_SENDS);
        let is_lost = |(_, handoff): &&(Incarnation, Handoff)| handoff.0 == connection && can_ask(handoff);
        let lost = self.on_way.iter().filter(is_lost).map(|(_, handoff)| *handoff).collect();
        self.on_way.clear();
        lost
    }

    /// All datagrams get through until nothing is left to ask.
    pub fn settle(&mut self) {
        for _ in 0..fate::MAX_SENDS {
            self.apply(Step::Ask);
            while self.apply(Step::Question) || self.apply(Step::Answer) {}
        }
    }

    /// Whether a hand-off was proven not to have run.
    pub fn is_not_run(&self, handoff: Handoff) -> bool {
        self.not_run.contains(&handoff)
    }

    /// Checks that no hand-off has started that was proven not to run, and none twice.
    pub fn check(&self) {
        for (index, handoff) in self.started.iter().enumerate() {
            assert!(!self.not_run.contains(handoff), "{handoff:?} has run: {self:?}");
            assert!(!self.started[..index].contains(handoff), "{handoff:?} ran twice: {self:?}");
        }
    }
}
