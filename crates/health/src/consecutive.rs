//! Baseline for comparison, not registered: lowers a server's weight after consecutive bad outcomes seen by this daemon alone.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use base::{ServerId, event};
use kernel::{Area, Cx, Report, Setup, Verdict};

/// Bad outcomes in a row that lower the weight.
const THRESHOLD: u32 = 5;
/// Time for which the weight stays low.
const HOLD: Duration = Duration::from_secs(10);
/// Weight of an avoided server; never zero, since this is one daemon's word only.
const AVOIDED_WEIGHT: f32 = 0.02;

/// Consecutive failures by server.
#[derive(Debug)]
pub struct Consecutive {
    failures: HashMap<ServerId, u32>,
    refresh: Option<Instant>,
}

impl Consecutive {
    /// Makes the area.
    pub fn new(_setup: &Setup) -> Self {
        Self { failures: HashMap::new(), refresh: None }
    }
}

impl Area for Consecutive {
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
        if *count == THRESHOLD {
            event!(Warn, ServerAvoided, "server={id} kind={:?}", outcome.kind);
            let verdict = Verdict { weight: AVOIDED_WEIGHT, trial: true, expires_at: cx.now + HOLD };
            cx.board.verdicts.insert(id.clone(), verdict);
            self.refresh = Some(verdict.expires_at);
            cx.publish_view();
        }
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if self.refresh.take_if(|at| *at <= cx.now).is_some() {
            let now = cx.now;
            cx.board.verdicts.retain(|_, v| v.expires_at > now);
            self.failures.clear();
            cx.publish_view();
        }
    }
}
