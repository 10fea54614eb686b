//! The asking side: the hand-offs of one connection that have no answer yet, and when to ask about them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::message::{Answer, ConnectionId, Fate, HandoffNumber, Incarnation, MAX_NUMBERS, Question};

/// Time without an answer after which a hand-off is asked about.
pub const ASK_AFTER: Duration = Duration::from_millis(250);
/// Time after which a question without an answer is sent again.
pub const ASK_AGAIN_AFTER: Duration = Duration::from_millis(150);
/// Most times that a question about one hand-off is sent, the first time included.
pub const MAX_SENDS: u8 = 3;
/// Most hand-offs of one connection that are tracked. Others are not asked about, and their fate is unknown.
const MAX_TRACKED: usize = 4_096;

/// What is known for certain of a hand-off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The hand-off has not run and will not run.
    NotRun(Fate),
    /// Nothing will be learned any more: the hand-off may have run.
    Unknown,
}

/// What to do at some time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Questions to send.
    pub questions: Vec<Question>,
    /// Hand-offs of a broken connection that were asked about often enough without an answer.
    pub unknown: Vec<HandoffNumber>,
}

/// A hand-off without an answer.
#[derive(Clone, Debug)]
struct Unanswered {
    /// When to send the next question, or to give up once all have been sent.
    due_at: Instant,
    /// Questions sent since the hand-off itself or since the connection was found broken.
    sends: u8,
    /// Whether the hand-off is known to have arrived.
    is_confirmed: bool,
    /// Whether no proof that the hand-off has not run is possible any more.
    may_have_run: bool,
}

/// The hand-offs of one connection that have no answer yet.
#[derive(Clone, Debug)]
pub struct Asker {
    connection: ConnectionId,
    /// Incarnation by which the peer was known before the connection was opened.
    peer: Option<Incarnation>,
    last_number: HandoffNumber,
    /// Highest number that was answered. Hand-offs arrive in order, so all before it have arrived too.
    highest_answered: HandoffNumber,
    /// Whether questions ask to give up what has not started.
    revokes: bool,
    unanswered: BTreeMap<HandoffNumber, Unanswered>,
}

impl Asker {
    /// Tracks a new connection to a daemon whose process was known by the incarnation `peer` before the
    /// connection was opened.
    pub fn new(connection: ConnectionId, peer: Option<Incarnation>) -> Self {
        Self {
            connection,
            peer,
            last_number: 0,
            highest_answered: 0,
            revokes: false,
            unanswered: BTreeMap::new(),
        }
    }

    /// Records that a hand-off is sent, and returns its number. Hand-offs must be sent in the order of their
    /// numbers.
    pub fn send(&mut self, now: Instant) -> HandoffNumber {
        self.last_number += 1;
        if self.unanswered.len() < MAX_TRACKED {
            let due_at = if self.revokes { now } else { now + ASK_AFTER };
            let sent = Unanswered { due_at, sends: 0, is_confirmed: false, may_have_run: false };
            self.unanswered.insert(self.last_number, sent);
        }
        self.last_number
    }

    /// Records that the head of the answer to a hand-off has arrived.
    pub fn on_response(&mut self, number: HandoffNumber) {
        self.unanswered.remove(&number);
        self.highest_answered = self.highest_answered.max(number);
    }

    /// Stops tracking a hand-off whose outcome is no longer needed.
    pub fn forget(&mut self, number: HandoffNumber) {
        self.unanswered.remove(&number);
    }

    /// Whether no hand-off is without an answer.
    pub fn is_empty(&self) -> bool {
        self.unanswered.is_empty()
    }

    /// Whether a hand-off is still tracked.
    pub fn tracks(&self, number: HandoffNumber) -> bool {
        self.unanswered.contains_key(&number)
    }

    /// Asks at once about all hand-offs without an answer, and asks that those which have not started never
    /// do: the connection is broken, or this daemon is about to stop. Returns those that may have run.
    pub fn revoke(&mut self, now: Instant) -> Vec<HandoffNumber> {
        if self.revokes {
            return Vec::new();
        }
        self.revokes = true;
        for handoff in self.unanswered.values_mut() {
            (handoff.due_at, handoff.sends) = (now, 0);
        }
        self.remove_where(|handoff| handoff.may_have_run)
    }

    /// When [`poll`](Self::poll) has something to do, if nothing else happens before.
    pub fn next_due(&self) -> Option<Instant> {
        self.unanswered.iter().filter(|(n, h)| self.is_pending(**n, h)).map(|(_, h)| h.due_at).min()
    }

    /// Whether to ask about a hand-off, now or later.
    fn is_pending(&self, number: HandoffNumber, handoff: &Unanswered) -> bool {
        let is_confirmed = handoff.is_confirmed || number <= self.highest_answered;
        self.revokes || (!is_confirmed && handoff.sends < MAX_SENDS)
    }

    /// Returns the questions that are due, and the hand-offs about which no further one is sent.
    pub fn poll(&mut self, now: Instant) -> Due {
        let unknown = if self.revokes {
            self.remove_where(|handoff| handoff.sends >= MAX_SENDS && handoff.due_at <= now)
        } else {
            Vec::new()
        };
        let is_due = |(n, h): &(&HandoffNumber, &Unanswered)| self.is_pending(**n, h) && h.due_at <= now;
        let numbers: Vec<_> = self.unanswered.iter().filter(is_due).map(|(n, _)| *n).collect();
        for number in &numbers {
            if let Some(handoff) = self.unanswered.get_mut(number) {
                handoff.sends += 1;
                handoff.due_at = now + ASK_AGAIN_AFTER;
            }
        }
        let question =
            |n: &[_]| Question { connection: self.connection, numbers: n.to_vec(), revoke: self.revokes };
        Due { questions: numbers.chunks(MAX_NUMBERS).map(question).collect(), unknown }
    }

    /// Applies an answer, and returns what it proves.
    pub fn on_answer(&mut self, answer: &Answer, now: Instant) -> Vec<(HandoffNumber, Verdict)> {
        let mut verdicts = Vec::new();
        for (number, fate) in &answer.fates {
            if let Some(verdict) = self.judge(*number, *fate, answer.incarnation) {
                self.unanswered.remove(number);
                verdicts.push((*number, verdict));
            }
        }
        if verdicts.iter().any(|(_, verdict)| *verdict == Verdict::NotRun(Fate::NeverCame)) {
            let unknown = self.revoke(now);
            verdicts.extend(unknown.into_iter().map(|number| (number, Verdict::Unknown)));
        }
        verdicts
    }

    /// Records the fate of a hand-off; `None` if that decides nothing yet.
    fn judge(&mut self, number: HandoffNumber, fate: Fate, incarnation: Incarnation) -> Option<Verdict> {
        let handoff = self.unanswered.get_mut(&number)?;
        match fate {
            Fate::GivenUp | Fate::Declined => return Some(Verdict::NotRun(fate)),
            Fate::NeverCame if self.peer == Some(incarnation) => return Some(Verdict::NotRun(fate)),
            // A process that started later answers: the earlier one may have run the request.
            Fate::NeverCame | Fate::Started => handoff.may_have_run = true,
            // It may answer an earlier question without `revoke`, so the later one is still asked.
            Fate::Waiting => {}
        }
        handoff.is_confirmed = true;
        (self.revokes && handoff.may_have_run).then_some(Verdict::Unknown)
    }

    fn remove_where(&mut self, is_removed: impl Fn(&Unanswered) -> bool) -> Vec<HandoffNumber> {
        let numbers: Vec<_> =
            self.unanswered.iter().filter(|(_, h)| is_removed(h)).map(|(n, _)| *n).collect();
        for number in &numbers {
            self.unanswered.remove(number);
        }
        numbers
    }
}
