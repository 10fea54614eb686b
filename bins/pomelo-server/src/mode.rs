//! Gray modes of the stand-in.

use std::time::{Duration, Instant};

use rand::Rng;
use serde::{Deserialize, Serialize};

/// What the server does wrong. All may be combined; the health page keeps claiming to be well.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Mode {
    /// Factor on the time of work.
    pub slow: f64,
    /// Share of requests that are slow by the factor, 0 to 1.
    pub slow_share: f64,
    /// Path prefix to which slowness is limited; empty for all paths.
    pub slow_prefix: Box<str>,
    /// Share of requests that fail with 500, 0 to 1.
    pub errors: f64,
    /// Accepts requests and never answers.
    pub silent: bool,
    /// Share of answers that stop for good after the head, 0 to 1.
    pub stall: f64,
    /// Share of answers whose body is cut short, 0 to 1.
    pub truncate: f64,
    /// Share of answers that carry another request's id, 0 to 1.
    pub wrong_id: f64,
    /// Share of requests that are shed although there are free slots, 0 to 1.
    pub shed: f64,
    /// Connections that have been open for this many milliseconds go silent for good; 0: never.
    pub silence_after_ms: u64,
    /// Alternates between this mode and health every so many milliseconds; 0: no flapping.
    pub flap_ms: u64,
    /// Reported load that never changes; none reports the true one.
    pub frozen_load: Option<f32>,
    /// Whether the server announces that it drains.
    pub draining: bool,
}

impl Default for Mode {
    fn default() -> Self {
        Self {
            slow: 1.0,
            slow_share: 1.0,
            slow_prefix: Box::default(),
            errors: 0.0,
            silent: false,
            stall: 0.0,
            truncate: 0.0,
            wrong_id: 0.0,
            shed: 0.0,
            silence_after_ms: 0,
            flap_ms: 0,
            frozen_load: None,
            draining: false,
        }
    }
}

/// What goes wrong with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Answers 500.
    Fails,
    /// Never answers.
    Silent,
    /// Sends the head and nothing after it.
    Stalls,
    /// Cuts the body short.
    Truncates,
    /// Answers with another request's id.
    WrongId,
    /// Sheds the request.
    Sheds,
}

/// What happens to one request, drawn from the mode.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fate {
    /// Factor on the time of work.
    pub factor: f64,
    /// What goes wrong.
    pub fault: Fault,
}

impl Mode {
    /// Draws the fate of a request to `path` on a connection opened at `opened`.
    pub fn fate(
        &self,
        path: &str,
        set_at: Instant,
        opened: Instant,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Fate {
        if self.is_healthy_phase(set_at, now) {
            return Fate { factor: 1.0, fault: Fault::None };
        }
        let age_limit = Duration::from_millis(self.silence_after_ms);
        let went_silent = self.silence_after_ms > 0 && now >= opened + age_limit;
        let mut draw = |share: f64| rng.random::<f64>() < share;
        let slow = draw(self.slow_share) && path.starts_with(&*self.slow_prefix);
        let drawn = [
            (self.silent || went_silent, Fault::Silent),
            (draw(self.shed), Fault::Sheds),
            (draw(self.errors), Fault::Fails),
            (draw(self.stall), Fault::Stalls),
            (draw(self.truncate), Fault::Truncates),
            (draw(self.wrong_id), Fault::WrongId),
        ];
        let fault = drawn.into_iter().find(|(hit, _)| *hit).map_or(Fault::None, |(_, fault)| fault);
        Fate { factor: if slow { self.slow } else { 1.0 }, fault }
    }

    fn is_healthy_phase(&self, set_at: Instant, now: Instant) -> bool {
        self.flap_ms > 0 && (now - set_at).as_millis() as u64 / self.flap_ms % 2 == 1
    }
}
