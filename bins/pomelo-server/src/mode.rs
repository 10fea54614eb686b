//! Gray failures that can be injected into the fake server.

use std::time::{Duration, Instant};

use rand::Rng;
use serde::{Deserialize, Serialize};

/// The failures in force; the JSON body of `PUT /_mode`. They can be combined. The health check of the server
/// answers 200 all the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Mode {
    /// Factor by which the work of slow requests takes longer.
    pub slow: f64,
    /// Share of requests that are slow, 0 to 1.
    pub slow_share: f64,
    /// Only requests whose path has this prefix are slow; empty: all paths.
    pub slow_prefix: Box<str>,
    /// Share of requests that are answered with 500, 0 to 1.
    pub errors: f64,
    /// Whether requests are accepted and never answered.
    pub silent: bool,
    /// Share of answers that stall in the middle of the body for ever, 0 to 1.
    pub stall: f64,
    /// Share of answers whose connection is closed in the middle of the body, 0 to 1.
    pub truncate: f64,
    /// Share of answers that carry the id of another request, 0 to 1.
    pub wrong_id: f64,
    /// Share of requests that are shed even if there are free slots, 0 to 1.
    pub shed: f64,
    /// Age in milliseconds from which on a connection gets no more answers; 0: never.
    pub silence_after_ms: u64,
    /// Period in milliseconds after which the server changes from these failures to none and back; 0: no
    /// flapping.
    pub flap_ms: u64,
    /// Load that is reported instead of the true one; `None`: the true one.
    pub frozen_load: Option<f32>,
    /// Whether the server announces that it is draining; it still serves.
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

/// Failure of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No failure.
    None,
    /// The answer is 500 and an order does not run.
    ServerError,
    /// No answer is sent.
    Silent,
    /// The answer stalls in the middle of the body for ever.
    Stall,
    /// The connection is closed in the middle of the body.
    Truncate,
    /// The answer carries the id of another request.
    WrongId,
    /// The request is shed.
    Shed,
}

/// How one request is handled under the mode in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Handling {
    /// Factor on the duration of work; 1.0 unless the request is slow.
    pub slowdown: f64,
    /// Failure to inject.
    pub fault: Fault,
}

impl Mode {
    /// Draws how a request to `path` is handled. `set_at` is the time at which this mode was set, `opened`
    /// that at which the connection was opened.
    pub fn draw_handling(
        &self,
        path: &str,
        set_at: Instant,
        opened: Instant,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Handling {
        if self.is_healthy_phase(set_at, now) {
            return Handling { slowdown: 1.0, fault: Fault::None };
        }
        let silence_age = Duration::from_millis(self.silence_after_ms);
        let is_connection_silent = self.silence_after_ms > 0 && now >= opened + silence_age;
        let mut draw = |share: f64| rng.random::<f64>() < share;
        let is_slow = draw(self.slow_share) && path.starts_with(&*self.slow_prefix);
        let candidates = [
            (self.silent || is_connection_silent, Fault::Silent),
            (draw(self.shed), Fault::Shed),
            (draw(self.errors), Fault::ServerError),
            (draw(self.stall), Fault::Stall),
            (draw(self.truncate), Fault::Truncate),
            (draw(self.wrong_id), Fault::WrongId),
        ];
        let fault = candidates.into_iter().find(|(hit, _)| *hit).map_or(Fault::None, |(_, fault)| fault);
        Handling { slowdown: if is_slow { self.slow } else { 1.0 }, fault }
    }

    /// Whether the server is in the healthy phase of its flapping.
    fn is_healthy_phase(&self, set_at: Instant, now: Instant) -> bool {
        self.flap_ms > 0 && (now - set_at).as_millis() as u64 / self.flap_ms % 2 == 1
    }
}
