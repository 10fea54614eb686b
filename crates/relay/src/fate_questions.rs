//! Asks other daemons what became of hand-offs without an answer, and answers their questions.
//!
//! [`SentHandoffs`] is the asking side: [`Links`](crate::links::Links) opens connections in it, and each attempt
//! waits for a proof of its [`SentHandoff`]. [`ReceivedHandoffs`] is the answering side: each hand-off holds a
//! [`Receipt`] until it is answered. The crate `fate` decides.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use base::{DaemonId, event};
use fate::{
    ASK_AFTER, Answer, Arrival, Asker, ConnectionId, Fate, HandoffNumber, Incarnation, Question, Receipts,
    Verdict,
};
use rand::Rng;
use tokio::sync::{Notify, oneshot};
use tokio::time::sleep_until;

use crate::datagram::Datagram;
use crate::gossip::Gossip;
use crate::handoff::Handoff;
use crate::node::Node;

/// A connection on which this daemon sends hand-offs.
#[derive(Debug)]
struct Sending {
    to: DaemonId,
    asker: Asker,
    /// Senders that tell attempts that their hand-off has not run. One dropped without a message tells that
    /// its fate stays unknown.
    proofs: HashMap<HandoffNumber, oneshot::Sender<Fate>>,
    /// Whether no further hand-off may be sent, because the connection has failed or lost one.
    is_broken: bool,
    /// Whether the connection has ended, so that this entry is removed with its last hand-off.
    has_ended: bool,
}

impl Sending {
    /// Asks about all hand-offs without an answer, and asks that those which have not started never do.
    fn revoke(&mut self, now: Instant) {
        for number in self.asker.revoke(now) {
            self.proofs.remove(&number);
        }
    }
}

/// Hand-offs to other daemons that have no answer yet.
#[derive(Debug, Default)]
pub(crate) struct SentHandoffs {
    connections: RefCell<HashMap<ConnectionId, Sending>>,
    /// Notified when questions are due earlier than before.
    is_due_earlier: Notify,
}

impl SentHandoffs {
    /// Adds a connection to the daemon at `to`, of which `peer` was the incarnation known before the
    /// connection was opened.
    pub(crate) fn open(&self, to: DaemonId, peer: Option<Incarnation>) -> ConnectionId {
        let connection = rand::rng().random_range(1..=ConnectionId::MAX);
        let asker = Asker::new(connection, peer);
        let sending = Sending { to, asker, proofs: HashMap::new(), is_broken: false, has_ended: false };
        self.connections.borrow_mut().insert(connection, sending);
        connection
    }

    /// Numbers a hand-off, which must be sent before the next one is numbered.
    pub(crate) fn send(self: &Rc<Self>, connection: ConnectionId, now: Instant) -> SentHandoff {
        let (tx, proof) = oneshot::channel();
        let mut connections = self.connections.borrow_mut();
        let number = connections.get_mut(&connection).map_or(0, |sending| {
            let number = sending.asker.send(now);
            if sending.asker.tracks(number) {
                sending.proofs.insert(number, tx);
            }
            number
        });
        SentHandoff { sent: Rc::clone(self), connection, number, proof: Some(proof) }
    }

    /// Whether no further hand-off may be sent on a connection.
    pub(crate) fn is_broken(&self, connection: ConnectionId) -> bool {
        self.connections.borrow().get(&connection).is_none_or(|sending| sending.is_broken)
    }

    /// Records that a connection has failed, and asks about the hand-offs on it at once.
    pub(crate) fn mark_broken(&self, connection: ConnectionId, now: Instant) {
        if let Some(sending) = self.connections.borrow_mut().get_mut(&connection) {
            sending.is_broken = true;
            sending.revoke(now);
            self.is_due_earlier.notify_one();
        }
    }

    /// Records that a connection has ended.
    pub(crate) fn end(&self, connection: ConnectionId, now: Instant) {
        self.mark_broken(connection, now);
        self.update(connection, |sending| sending.has_ended = true);
    }

    /// Asks other daemons to give up all hand-offs that have not started.
    pub(crate) fn revoke_all(&self, now: Instant) {
        self.connections.borrow_mut().values_mut().for_each(|sending| sending.revoke(now));
        self.is_due_earlier.notify_one();
    }

    /// Changes a connection, and removes it if it has ended and no hand-off is left on it.
    fn update(&self, connection: ConnectionId, change: impl FnOnce(&mut Sending)) {
        let mut connections = self.connections.borrow_mut();
        let Some(sending) = connections.get_mut(&connection) else { return };
        change(sending);
        if sending.has_ended && sending.asker.is_empty() {
            connections.remove(&connection);
        }
    }

    /// Returns the questions to send now, and when the next ones are due.
    fn poll(&self, now: Instant) -> (Vec<(DaemonId, Question)>, Instant) {
        // A hand-off that is sent after this call is asked about `ASK_AFTER` later.
        let mut next_due = now + ASK_AFTER;
        let mut questions = Vec::new();
        for sending in self.connections.borrow_mut().values_mut() {
            let due = sending.asker.poll(now);
            for number in due.unknown {
                sending.proofs.remove(&number);
            }
            questions.extend(due.questions.into_iter().map(|question| (sending.to, question)));
            next_due = sending.asker.next_due().map_or(next_due, |at| at.min(next_due));
        }
        (questions, next_due)
    }

    /// Applies an answer, and returns the proofs that a hand-off has not run.
    fn apply_answer(&self, from: DaemonId, answer: &Answer, now: Instant) -> Vec<Fate> {
        let mut connections = self.connections.borrow_mut();
        let Some(sending) = connections.get_mut(&answer.connection).filter(|s| s.to == from) else {
            return Vec::new();
        };
        let mut proven = Vec::new();
        for (number, verdict) in sending.asker.on_answer(answer, now) {
            let proof = sending.proofs.remove(&number);
            if let Verdict::NotRun(fate) = verdict {
                proven.push(fate);
                // The receiver is gone if the attempt has just ended.
                let _ = proof.map(|tx| tx.send(fate));
            }
        }
        if proven.contains(&Fate::NeverCame) {
            sending.is_broken = true;
            self.is_due_earlier.notify_one();
        }
        proven
    }
}

/// A hand-off that has been sent. Dropping it ends the questions about it.
#[derive(Debug)]
pub(crate) struct SentHandoff {
    sent: Rc<SentHandoffs>,
    pub(crate) connection: ConnectionId,
    pub(crate) number: HandoffNumber,
    /// `None` once it has received something.
    proof: Option<oneshot::Receiver<Fate>>,
}

impl SentHandoff {
    /// Waits for a proof that the hand-off has not run; `None` if there will be none.
    pub(crate) async fn proof(&mut self) -> Option<Fate> {
        let fate = self.proof.as_mut()?.await.ok();
        self.proof = None;
        fate
    }

    /// Records that the head of the answer has arrived.
    pub(crate) fn on_response(&self) {
        self.sent.update(self.connection, |sending| sending.asker.on_response(self.number));
    }
}

impl Drop for SentHandoff {
    fn drop(&mut self) {
        self.sent.update(self.connection, |sending| {
            sending.asker.forget(self.number);
            sending.proofs.remove(&self.number);
        });
    }
}

/// Hand-offs that this daemon has received from others.
#[derive(Debug, Default)]
pub(crate) struct ReceivedHandoffs {
    receipts: RefCell<Receipts>,
    /// Notified when a hand-off that has not ended is given up.
    given_up: RefCell<HashMap<(ConnectionId, HandoffNumber), Rc<Notify>>>,
}

impl ReceivedHandoffs {
    /// Records that a hand-off has arrived; `None` if it must be declined. Must be called in the order of
    /// arrival.
    pub(crate) fn receive(self: &Rc<Self>, handoff: &Handoff, now: Instant) -> Option<Receipt> {
        let Handoff { connection, number, .. } = *handoff;
        if connection == 0 {
            return Some(Receipt::untracked());
        }
        if self.receipts.borrow_mut().arrive(connection, number, now) == Arrival::Declined {
            return None;
        }
        let given_up = Rc::new(Notify::new());
        self.given_up.borrow_mut().insert((connection, number), Rc::clone(&given_up));
        let received = Rc::clone(self);
        let tracked = Some(Tracked { received, connection, number, given_up });
        Some(Receipt { tracked, has_started: Cell::new(false) })
    }

    fn answer(&self, question: &Question, incarnation: Incarnation, now: Instant) -> Answer {
        let reply = self.receipts.borrow_mut().answer(question, incarnation, now);
        for number in &reply.given_up {
            if let Some(given_up) = self.given_up.borrow().get(&(question.connection, *number)) {
                given_up.notify_one();
            }
        }
        reply.answer
    }
}

/// Receipt of a hand-off, kept until the hand-off is answered.
#[derive(Debug)]
pub(crate) struct Receipt {
    /// `None` if nobody asks about the request.
    tracked: Option<Tracked>,
    has_started: Cell<bool>,
}

#[derive(Debug)]
struct Tracked {
    received: Rc<ReceivedHandoffs>,
    connection: ConnectionId,
    number: HandoffNumber,
    given_up: Rc<Notify>,
}

impl Receipt {
    /// Receipt of a request about which nobody asks.
    pub(crate) fn untracked() -> Self {
        Self { tracked: None, has_started: Cell::new(false) }
    }

    /// Records that the request starts; false if it was given up and must not start.
    pub(crate) fn start(&self) -> bool {
        let may_start = self.tracked.as_ref().is_none_or(|tracked| {
            tracked.received.receipts.borrow_mut().start(tracked.connection, tracked.number)
        });
        self.has_started.set(may_start);
        may_start
    }

    /// Whether the request has started.
    pub(crate) fn has_started(&self) -> bool {
        self.has_started.get()
    }

    /// Waits until the hand-off is given up, which happens only before it starts.
    pub(crate) async fn given_up(&self) {
        match &self.tracked {
            Some(tracked) => tracked.given_up.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Ends the hand-off without a run.
    pub(crate) fn decline(mut self) {
        if let Some(tracked) = self.tracked.take() {
            tracked.end(true);
        }
    }
}

impl Tracked {
    fn end(&self, is_declined: bool) {
        let Self { received, connection, number, .. } = self;
        received.given_up.borrow_mut().remove(&(*connection, *number));
        received.receipts.borrow_mut().end(*connection, *number, is_declined, Instant::now());
    }
}

impl Drop for Receipt {
    fn drop(&mut self) {
        if let Some(tracked) = &self.tracked {
            tracked.end(false);
        }
    }
}

/// Sends questions about hand-offs without an answer.
pub(crate) async fn ask_about_handoffs(node: Rc<Node>, gossip: Rc<Gossip>) {
    let sent = Rc::clone(&node.links.sent);
    loop {
        let (questions, next_due) = sent.poll(Instant::now());
        for (to, question) in questions {
            let Question { connection, ref numbers, revoke } = question;
            event!(
                Debug,
                FateAsked,
                "to={to} connection={connection:x} handoffs={} revoke={revoke}",
                numbers.len()
            );
            node.metrics.fate_questions.inc_by(numbers.len() as u64);
            gossip.send_datagram(to, &Datagram::FateQuestion(question));
        }
        tokio::select! {
            () = sleep_until(next_due.into()) => {}
            () = sent.is_due_earlier.notified() => {}
        }
    }
}

/// Answers a question of the daemon at `from`.
pub(crate) fn answer_question(node: &Node, gossip: &Gossip, from: DaemonId, question: &Question) {
    let answer = node.received.answer(question, node.incarnation(), Instant::now());
    let given_up = answer.fates.iter().filter(|(_, fate)| *fate == Fate::GivenUp).count();
    if given_up > 0 {
        let connection = question.connection;
        event!(Info, HandoffGivenUp, "from={from} connection={connection:x} handoffs={given_up}");
    }
    gossip.send_datagram(from, &Datagram::FateAnswer(answer));
}

/// Applies an answer of the daemon at `from`.
pub(crate) fn apply_answer(node: &Node, from: DaemonId, answer: &Answer) {
    for (_, fate) in &answer.fates {
        node.metrics.fate_answers.with_label_values(&[fate.code()]).inc();
    }
    let proven = node.links.sent.apply_answer(from, answer, Instant::now());
    if !proven.is_empty() {
        let never_came = proven.iter().filter(|fate| **fate == Fate::NeverCame).count();
        let (connection, not_run) = (answer.connection, proven.len());
        event!(
            Info,
            FateProven,
            "to={from} connection={connection:x} not_run={not_run} never_came={never_came}"
        );
    }
}
