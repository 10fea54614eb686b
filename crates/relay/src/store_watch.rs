//! Asks the store for newer configurations.
//!
//! Only the daemon of lowest rank in each data centre asks all the time. All others take over its proofs from
//! status messages, and ask when their proof has become old or when they can't get a configuration of which
//! other daemons have told them.

use std::time::{Duration, Instant};

use base::{Version, event};
use rand::Rng;
use tokio::time::timeout_at;

use crate::config_refresh::{ConfigSource, WatchReply};
use crate::node::Node;

/// Longest time for which the store holds a query open until the configuration changes.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(900);
/// Delay after the first failed query of the store. Doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Longest delay after a failed query.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Number of lowest-ranked daemons of a data centre that ask often whether the store answers again.
const FREQUENT_READERS: usize = 4;
/// Longest delay after a failed query of all other daemons, to which those tell it.
const MAX_BACKOFF_OF_OTHERS: Duration = Duration::from_secs(3);
/// Time without need of a query after which earlier failures say nothing about the next one.
const FAILURES_FORGOTTEN_AFTER: Duration = Duration::from_secs(3);
/// Age of the proof at which the daemon with the second-lowest rank in its data centre asks the store.
const SECOND_READER_AGE: Duration = Duration::from_millis(1_600);
/// Difference between the proof ages at which daemons of two successive ranks ask the store.
const READER_AGE_STEP: Duration = Duration::from_millis(120);
/// Age of the proof at which a daemon asks the store whatever its rank.
const MAX_READER_AGE: Duration = Duration::from_secs(2);
/// Upper bound of the factor by which the ages at which daemons ask the store are extended in a large data
/// centre, where status messages are less frequent.
const MAX_READER_AGE_FACTOR: f64 = 1.5;
/// Time since the first word of a newer configuration after which a daemon that could not fetch it from another
/// one asks the store.
const EXCHANGE_TIME: Duration = Duration::from_millis(800);
/// Time per rank for which a daemon without a configuration waits for another daemon to get one from the
/// store.
const START_WAIT_PER_RANK: Duration = Duration::from_millis(300);
/// Longest time for which a daemon without a configuration waits for another daemon.
const MAX_START_WAIT: Duration = Duration::from_millis(1_200);
/// Time after the start in which a daemon learns of other daemons, and so its rank, before it asks the store.
const DISCOVERY_WAIT: Duration = Duration::from_millis(150);
/// [`DISCOVERY_WAIT`] at the first start of a fleet, when each daemon reads the directory only after all
/// daemons have written their rows.
const FIRST_START_DISCOVERY_WAIT: Duration = Duration::from_secs(1);
/// Time after the start for which a daemon without a configuration leaves that of a restored store unused. The copy may
/// hold an older one than other daemons have in force, which tell of theirs when this one introduces itself. Applies at
/// every start once the store was restored, since a daemon that starts can't tell how long ago that was.
const RESTORED_START_WAIT: Duration = Duration::from_millis(800);
/// [`RESTORED_START_WAIT`] if other daemons have told of a configuration, which may take a while to arrive.
const MAX_RESTORED_START_WAIT: Duration = Duration::from_secs(3);

/// What earlier queries say about the next one. Sans-I/O.
#[derive(Debug)]
struct Backoff {
    /// No query is sent before this time.
    not_before: Instant,
    /// Longest delay after the next failure, before its random part is taken off.
    delay: Duration,
    /// Whether the last query was answered.
    is_up: bool,
}

impl Backoff {
    fn new(now: Instant) -> Self {
        Self { not_before: now, delay: MIN_BACKOFF, is_up: true }
    }

    fn record_answer(&mut self, now: Instant) {
        *self = Self::new(now);
    }

    /// Records that a query sent at `sent_at` has failed, and returns the delay until the next one. Delays vary, so
    /// that daemons which lost the store together don't ask together.
    fn record_failure(
        &mut self,
        sent_at: Instant,
        now: Instant,
        max: Duration,
        rng: &mut impl Rng,
    ) -> Duration {
        if sent_at > self.not_before + FAILURES_FORGOTTEN_AFTER {
            self.delay = MIN_BACKOFF;
        }
        let delay = self.delay.min(max).mul_f64(rng.random_range(0.75..1.0));
        self.not_before = now + delay;
        self.delay = (self.delay * 2).min(max);
        self.is_up = false;
        delay
    }
}

/// Keeps the configuration and its proof as new as the store has them, until the daemon ends.
pub(crate) async fn watch_store(node: &Node, mut source: impl ConfigSource) {
    let started = Instant::now();
    let mut backoff = Backoff::new(started);
    loop {
        wait_until_due(node, &backoff, started).await;
        query_store(node, &mut source, &mut backoff, started).await;
    }
}

async fn wait_until_due(node: &Node, backoff: &Backoff, started: Instant) {
    loop {
        let now = Instant::now();
        let due_at = query_due_at(node, started, now).max(backoff.not_before);
        if due_at <= now {
            return;
        }
        let _woken = timeout_at(due_at.into(), node.refresh_wanted.notified()).await;
    }
}

/// When a daemon of this one's rank, with a proof of this one's age, asks the store.
fn query_due_at(node: &Node, started: Instant, now: Instant) -> Instant {
    let (rank, age_factor) = {
        let peers = node.peers.borrow();
        (peers.rank_in_centre(now), peers.interval_factor().min(MAX_READER_AGE_FACTOR))
    };
    let Some(age) = node.proof_age() else {
        // Until the directory has been read, the rank of this daemon is not known.
        let discovery_wait =
            if node.identity.is_first_start { FIRST_START_DISCOVERY_WAIT } else { DISCOVERY_WAIT };
        let start_wait = (START_WAIT_PER_RANK * rank as u32).min(MAX_START_WAIT);
        return started + discovery_wait.max(start_wait).max(restored_start_wait(node));
    };
    if rank == 0 {
        return now;
    }
    let step = READER_AGE_STEP * (rank as u32 - 1);
    let due_age = (SECOND_READER_AGE + step).min(MAX_READER_AGE).mul_f64(age_factor);
    let by_age = now + due_age.saturating_sub(age);
    let by_news = node.config_news.get().behind_since().map(|since| since + EXCHANGE_TIME);
    by_news.map_or(by_age, |at| at.min(by_age))
}

/// Time after the start for which a configuration of the store must not be the first one of this daemon.
fn restored_start_wait(node: &Node) -> Duration {
    let has_heard = node.config_news.get().behind_since().is_some();
    match (node.store_era.latest(), has_heard) {
        (0, _) => Duration::ZERO,
        (_, false) => RESTORED_START_WAIT,
        (_, true) => MAX_RESTORED_START_WAIT,
    }
}

async fn query_store(node: &Node, source: &mut impl ConfigSource, backoff: &mut Backoff, started: Instant) {
    let known = node.conf_version();
    let sent_at = Instant::now();
    // A store that has failed shows at once whether it answers again; the next query may wait for a change.
    let wait = if known > 0 && backoff.is_up { MAX_WATCH_WAIT } else { Duration::ZERO };
    let answer = source.watch(known, wait).await;
    if let Some(state) = source.take_operator_state()
        && node.adopt_operator_state(state, &"store")
    {
        node.operator_state_changed.notify_one();
    }
    let now = Instant::now();
    match answer {
        Ok(reply) => {
            if !backoff.is_up {
                event!(Info, StoreUp, "version={known} after_ms={}", (now - sent_at).as_millis());
            }
            node.metrics.config_queries.with_label_values(&["answered"]).inc();
            backoff.record_answer(now);
            let may_start_at = started + restored_start_wait(node);
            if node.conf_version() == 0 && now < may_start_at {
                // Only this answer has told that the store was restored.
                backoff.not_before = may_start_at;
                return;
            }
            apply_reply(node, reply, known, sent_at, backoff);
        }
        Err(e) => {
            let is_reader = node.peers.borrow().rank_in_centre(now) < FREQUENT_READERS;
            let max = if is_reader { MAX_BACKOFF } else { MAX_BACKOFF_OF_OTHERS };
            let was_up = backoff.is_up;
            let delay = backoff.record_failure(sent_at, now, max, &mut rand::rng());
            let (after_ms, retry_ms) = ((now - sent_at).as_millis(), delay.as_millis());
            if was_up {
                event!(Warn, StoreDown, "error={e} after_ms={after_ms} retry_ms={retry_ms}");
            } else {
                event!(Info, StoreStillDown, "error={e} after_ms={after_ms} retry_ms={retry_ms}");
            }
            node.metrics.config_queries.with_label_values(&["failed"]).inc();
        }
    }
}

fn apply_reply(node: &Node, reply: WatchReply, known: Version, sent_at: Instant, backoff: &mut Backoff) {
    match reply.fetched {
        Some(fetched) => node.adopt_config(fetched, reply.proven_at, &"store"),
        // The operators have not written a configuration yet.
        None if known == 0 => backoff.not_before += MIN_BACKOFF,
        None => {
            node.confirm_config(known, reply.proven_at);
            node.settle_config_news(sent_at);
            // The other daemons of the data centre rely on this proof.
            node.status_changed.notify_one();
        }
    }
}

#[cfg(test)]
#[path = "store_watch_tests.rs"]
mod store_watch_tests;
