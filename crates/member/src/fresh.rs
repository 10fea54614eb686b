//! The freshness area: reads the fleet's rows and knows until when this daemon's view is current.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::event;
use kernel::{Area, AreaEntry, Cx, Event, Setup, StoreToken};
use serde_json::{Value, json};
use store::{StoreError, StoreOp, StoreRep};

kernel::inventory::submit! {
    AreaEntry { name: "fresh", order: 20, build: |setup| Box::new(Fresh::new(setup)) }
}

/// Interval between reads of the fleet's rows.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Prefix of the rows that every daemon follows.
const ROWS: &str = "fleet/";
/// Longest age of a current view when there is no configuration yet.
const DEFAULT_FRESH_MS: u64 = 3_000;

/// Freshness of one daemon.
#[derive(Debug)]
pub struct Fresh {
    next_read: Option<Instant>,
    read: Option<(StoreToken, Instant)>,
}

impl Fresh {
    /// Makes the area.
    pub fn new(_setup: &Setup) -> Self {
        Self { next_read: None, read: None }
    }
}

impl Area for Fresh {
    fn name(&self) -> &'static str {
        "fresh"
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        if self.read.is_some() || self.next_read.is_some_and(|at| cx.now < at) {
            return;
        }
        self.next_read = Some(cx.now + READ_INTERVAL);
        let token = cx.store(StoreOp::Range { prefix: ROWS.into() });
        self.read = Some((token, cx.now));
    }

    fn on_store(&mut self, cx: &mut Cx<'_>, token: StoreToken, res: &Result<StoreRep, StoreError>) {
        let Some((expected, asked_at)) = self.read else {
            return;
        };
        if expected != token {
            return;
        }
        self.read = None;
        let down = res.is_err();
        if down != cx.board.store_down {
            cx.board.store_down = down;
            if down {
                event!(Warn, StoreDown, "");
            } else {
                event!(Info, StoreUp, "");
            }
        }
        if let Ok(StoreRep::Rows(rows)) = res {
            let fresh_ms = cx.board.conf.as_ref().map_or(DEFAULT_FRESH_MS, |c| c.fleet.fresh_ms);
            cx.board.current_until = Some(asked_at + Duration::from_millis(fresh_ms));
            cx.emit(Event::FleetRows { rows: Arc::from(rows.as_slice()), asked_at });
            cx.publish();
        }
    }

    fn status(&self) -> Value {
        json!({ "reading": self.read.is_some() })
    }
}
