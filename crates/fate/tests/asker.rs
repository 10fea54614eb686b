//! When the asking side asks, and what it makes of answers.

use std::time::{Duration, Instant};

use fate::{ASK_AFTER, ASK_AGAIN_AFTER, Answer, Asker, Fate, MAX_SENDS, Verdict};

const CONNECTION: u64 = 3;
const INCARNATION: u64 = 5;

fn asker() -> Asker {
    Asker::new(CONNECTION, Some(INCARNATION))
}

fn answer(number: u64, fate: Fate) -> Answer {
    Answer { connection: CONNECTION, incarnation: INCARNATION, fates: vec![(number, fate)] }
}

// Guards against questions about hand-offs that are known to have arrived, which cost bytes.
#[test]
fn an_answer_to_a_later_hand_off_confirms_the_earlier_ones() {
    let now = Instant::now();
    let mut asker = asker();
    asker.send(now);
    let later = asker.send(now);
    asker.on_response(later);
    assert_eq!(asker.next_due(), None);
    assert!(asker.poll(now + ASK_AFTER).questions.is_empty());
}

// Guards against questions that are sent too early, too often or forever.
#[test]
fn a_question_without_an_answer_is_sent_three_times() {
    let mut now = Instant::now();
    let mut asker = asker();
    asker.send(now);
    assert!(asker.poll(now + ASK_AFTER.saturating_sub(Duration::from_millis(1))).questions.is_empty());
    now += ASK_AFTER;
    for _ in 0..MAX_SENDS {
        assert_eq!(asker.next_due(), Some(now));
        assert_eq!(asker.poll(now).questions.len(), 1);
        now += ASK_AGAIN_AFTER;
    }
    assert_eq!((asker.next_due(), asker.poll(now).questions.len()), (None, 0));
}

// Guards against a request that waits for an answer after the last question about a broken connection.
#[test]
fn on_a_broken_connection_the_fate_is_unknown_after_the_last_question() {
    let mut now = Instant::now();
    let mut asker = asker();
    let number = asker.send(now);
    assert!(asker.revoke(now).is_empty());
    for _ in 0..MAX_SENDS {
        let due = asker.poll(now);
        assert!(due.questions[0].revoke && due.unknown.is_empty());
        now += ASK_AGAIN_AFTER;
    }
    assert_eq!(asker.poll(now).unknown, [number]);
}

// Guards against waiting requests that stay on a connection on which another one was lost.
#[test]
fn a_lost_hand_off_revokes_the_others_on_its_connection() {
    let now = Instant::now();
    let mut asker = asker();
    let (started, waiting, lost) = (asker.send(now), asker.send(now), asker.send(now));
    asker.on_answer(&answer(started, Fate::Started), now);
    asker.on_answer(&answer(waiting, Fate::Waiting), now);
    let verdicts = asker.on_answer(&answer(lost, Fate::NeverCame), now);
    assert_eq!(verdicts, [(lost, Verdict::NotRun(Fate::NeverCame)), (started, Verdict::Unknown)]);
    let questions = asker.poll(now).questions;
    assert_eq!((&*questions[0].numbers, questions[0].revoke), (&[waiting][..], true));
}

// Guards against a request that runs twice because a later process has not received it.
#[test]
fn another_process_proves_nothing() {
    let now = Instant::now();
    let mut asker = asker();
    let number = asker.send(now);
    let other = Answer { incarnation: INCARNATION + 1, ..answer(number, Fate::NeverCame) };
    assert!(asker.on_answer(&other, now).is_empty());
    assert_eq!(asker.revoke(now), [number]);
}
