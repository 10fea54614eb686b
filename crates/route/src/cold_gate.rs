//! Bounds how many requests a cold server starts in one second.
//!
//! A server whose caches are empty does more work for each request, and fails if it gets many. All requests to a
//! server pass its daemon, so the gate there needs no messages.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

/// Length of the window in which starts are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts starts at one server, and bounds them while the server is cold.
#[derive(Debug, Default)]
pub struct ColdGate {
    /// Most starts in any window; at least 1. `None` while the server is warm.
    limit: Option<usize>,
    /// Starts within the last window, oldest first. Counted while the server is warm too, since it can become
    /// cold at any moment.
    starts: VecDeque<Instant>,
    /// Until then an earlier process may have started requests that are not in `starts`.
    unknown_until: Option<Instant>,
}

impl ColdGate {
    /// Creates a gate of a process that started at `now`. An earlier process may have used the whole limit just
    /// before.
    pub fn new(now: Instant) -> Self {
        Self { unknown_until: Some(now + WINDOW), ..Self::default() }
    }

    /// Sets the most starts in one second; `None` once the server is warm.
    pub fn set_limit(&mut self, limit: Option<usize>) {
        self.limit = limit.map(|limit| limit.max(1));
    }

    /// Records a start.
    pub fn record_start(&mut self, now: Instant) {
        self.forget_old(now);
        self.starts.push_back(now);
    }

    /// Takes back the last start at or before `started`: the server did not run the request.
    pub fn take_back(&mut self, started: Instant) {
        if let Some(index) = self.starts.iter().rposition(|at| *at <= started) {
            self.starts.remove(index);
        }
    }

    /// Time until one more request may start after `ahead` others; zero if it may start now.
    pub fn wait(&self, ahead: usize, now: Instant) -> Duration {
        let Some(limit) = self.limit else { return Duration::ZERO };
        let unknown = self.unknown_until.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < WINDOW;
        let recent: SmallVec<[Instant; 32]> = self.starts.iter().filter(is_recent).copied().collect();
        // A start waits until the one that lies `limit` starts before it leaves the window.
        let (mut place, mut windows) = (recent.len() + ahead, 0);
        while place >= recent.len() && place >= limit {
            place -= limit;
            windows += 1;
        }
        let free_at = recent.get(place).copied().unwrap_or(now) + WINDOW * windows;
        unknown.max(free_at.saturating_duration_since(now))
    }

    fn forget_old(&mut self, now: Instant) {
        while self.starts.front().is_some_and(|at| now.saturating_duration_since(*at) >= WINDOW) {
            self.starts.pop_front();
        }
    }
}
