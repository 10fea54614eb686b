//! Bounds of the answering side, and its answers to repeated questions.

use std::time::{Duration, Instant};

use fate::{Arrival, Fate, Limits, Question, Receipts};
use rstest::rstest;

const INCARNATION: u64 = 5;

fn fate_of(receipts: &mut Receipts, connection: u64, number: u64, revoke: bool, now: Instant) -> Fate {
    let question = Question { connection, numbers: vec![number], revoke };
    receipts.answer(&question, INCARNATION, now).answer.fates[0].1
}

// Guards against a question that stops requests although their connection works.
#[test]
fn a_question_without_revoke_leaves_a_waiting_hand_off_alone() {
    let now = Instant::now();
    let mut receipts = Receipts::default();
    receipts.arrive(1, 1, now);
    assert_eq!(fate_of(&mut receipts, 1, 1, false, now), Fate::Waiting);
    assert!(receipts.start(1, 1));
    assert_eq!(fate_of(&mut receipts, 1, 1, true, now), Fate::Started);
}

// Guards against a proof that is lost with its answer: the repeated question must get the same one.
#[rstest]
#[case::given_up(Fate::GivenUp)]
#[case::declined(Fate::Declined)]
#[case::never_came(Fate::NeverCame)]
fn a_repeated_question_gets_the_same_proof(#[case] fate: Fate) {
    let now = Instant::now();
    let mut receipts = Receipts::default();
    if fate != Fate::NeverCame {
        receipts.arrive(1, 1, now);
    }
    if fate == Fate::Declined {
        receipts.end(1, 1, true, now);
    }
    assert_eq!(fate_of(&mut receipts, 1, 1, true, now), fate);
    assert_eq!(fate_of(&mut receipts, 1, 1, false, now), fate);
    assert!(!receipts.start(1, 1));
}

// Guards against a 502 for a request that was dropped with its connection while it waited.
#[test]
fn a_hand_off_that_ends_before_it_starts_is_known_as_not_run() {
    let now = Instant::now();
    let mut receipts = Receipts::default();
    receipts.arrive(1, 1, now);
    receipts.end(1, 1, false, now);
    assert_eq!(fate_of(&mut receipts, 1, 1, true, now), Fate::Declined);
    assert!(!receipts.start(1, 1));
}

// Guards against a daemon that claims not to have received what it has only forgotten.
#[test]
fn a_connection_dropped_for_lack_of_room_proves_nothing() {
    let now = Instant::now();
    let limits = Limits { connections: 1, ..Limits::default() };
    let mut receipts = Receipts::new(limits);
    receipts.arrive(1, 1, now);
    assert_eq!(receipts.arrive(2, 1, now), Arrival::Declined, "the only place is taken");
    assert!(receipts.start(1, 1));
    receipts.end(1, 1, false, now);
    assert_eq!(receipts.arrive(2, 1, now), Arrival::Accepted);
    assert_eq!(fate_of(&mut receipts, 1, 1, false, now), Fate::Started);
    assert_eq!(fate_of(&mut receipts, 3, 1, false, now), Fate::Started);
    let later = now + limits.keep_connection;
    assert_eq!(fate_of(&mut receipts, 3, 1, false, later), Fate::NeverCame);
}

// Guards against a table of closed connections that grows without bound, or drops one that may still be used.
#[test]
fn beyond_the_bound_of_closed_connections_a_lost_hand_off_is_reported_as_started() {
    let now = Instant::now();
    let mut receipts = Receipts::new(Limits { closed: 1, ..Limits::default() });
    assert_eq!(fate_of(&mut receipts, 1, 1, false, now), Fate::NeverCame);
    assert_eq!(fate_of(&mut receipts, 2, 1, false, now), Fate::Started);
    assert_eq!(receipts.arrive(1, 1, now), Arrival::Declined);
    assert_eq!(receipts.arrive(2, 1, now), Arrival::Accepted);
    assert_eq!(fate_of(&mut receipts, 2, 2, false, now), Fate::Started);
}

// Guards against a run that outlasts its connection's receipts and is then reported as never come.
#[test]
fn a_running_hand_off_is_known_however_long_it_runs() {
    let now = Instant::now();
    let mut receipts = Receipts::default();
    receipts.arrive(1, 1, now);
    assert!(receipts.start(1, 1));
    let later = now + Duration::from_hours(1);
    receipts.arrive(2, 1, later);
    assert_eq!(fate_of(&mut receipts, 1, 1, true, later), Fate::Started);
}
