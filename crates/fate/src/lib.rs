//! Determines what became of hand-offs whose connection between two daemons went silent or broke.
//!
//! The caller's daemon numbers the hand-offs on each connection and asks about those without an answer
//! ([`Asker`]). The server's daemon keeps receipts of the hand-offs that have arrived and answers
//! ([`Receipts`]). Both are free of I/O: they take the time and an event, and return what to do.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use fate::{Asker, Fate, Receipts, Verdict};
//!
//! let (mut now, incarnation) = (Instant::now(), 7);
//! let mut receipts = Receipts::default();
//! let mut asker = Asker::new(99, Some(incarnation));
//! let number = asker.send(now);
//! // The hand-off is lost.
//! now += Duration::from_millis(250);
//! let question = asker.poll(now).questions.remove(0);
//! let reply = receipts.answer(&question, incarnation, now);
//! assert_eq!(asker.on_answer(&reply.answer, now), [(number, Verdict::NotRun(Fate::NeverCame))]);
//! ```

mod asker;
mod message;
mod receipts;

pub use asker::{ASK_AFTER, ASK_AGAIN_AFTER, Asker, Due, MAX_SENDS, Verdict};
pub use message::{Answer, ConnectionId, Fate, HandoffNumber, Incarnation, MAX_NUMBERS, Question};
pub use receipts::{Arrival, Limits, Receipts, Reply};
