//! Baseline for comparison: lowers a server's weight after consecutive bad outcomes that this daemon alone
//! has seen. Not registered with the kernel.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use base::{ServerId, event};
use kernel::{Area, Cx, Report, Setup, Verdict};

/// Consecutive bad outcomes that lower the weight.
const FAILURE_THRESHOLD: u32 = 5;
/// Time for which the weight stays low.
const AVOID_DURATION: Duration = Duration::from_secs(10);
/// Weight of an avoided server. Never 0, since no other daemon confirms the failures.
const AVOIDED_WEIGHT: f32 = 0.02;

/// Kernel area that counts consecutive failures by server.
#[derive(Debug)]
pub struct ConsecutiveFailures {
    failures: HashMap<ServerId, u32>,
    /// Time at which the newest verdict expires; `None` if there is none.
    next_expiry: Option<Instant>,
}

impl ConsecutiveFailures {
    /// Creates the area.
    pub fn new(_setup: &Setup) -> Self {
        Self { failures: HashMap::new(), next_expiry: None }
    }
}

impl Area for ConsecutiveFailures {
    fn name(&self) -> &'static str {
        "consecutive"
    }

    fn on_report(&mut self, cx: &mut Cx<'_>, report: &Report) {
        let Report::Outcome(outcome) = report else { return };
        let id = &outcome.server.info.id;
        if !outcome.kind.is_bad() {
            self.failures.remove(id);
            return;
        }
        let count = self.failures.entry(id.clone()).or_default();
        *count += 1;
        if *count == FAILURE_THRESHOLD {
            event!(Warn, ServerAvoided, "server={id} kind={:?}", outcome.kind);
            let verdict =
                Verdict { weight: AVOIDED_WEIGHT, trial: true, expires_at: cx.now + AVOID_DURATION };
            cx.board.verdicts.insert(id.clone(), verdict);
            self.next_expiry = Some(verdict.expires_at);
            cx.publish_view();
        }
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if self.next_expiry.take_if(|at| *at <= cx.now).is_some() {
            let now = cx.now;
            cx.board.verdicts.retain(|_, v| v.expires_at > now);
            self.failures.clear();
            cx.publish_view();
        }
    }
}
