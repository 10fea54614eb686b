//! Rates over time, and the times at which requests are due.

use std::time::Duration;

/// A rate from a moment on.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Step {
    /// Seconds after the start.
    from: f64,
    /// Requests a second.
    rate: f64,
}

/// Requests a second over time.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// In ascending order of time; the first starts at 0.
    steps: Vec<Step>,
}

impl Schedule {
    /// Parses `RATE` or `RATE;RATE@SECOND;…`; none when the text is neither.
    pub fn parse(text: &str) -> Option<Self> {
        let steps = text.split(';').map(parse_step).collect::<Option<Vec<_>>>()?;
        let sorted = steps.is_sorted_by(|a, b| a.from < b.from);
        (sorted && steps[0].from == 0.0).then_some(Self { steps })
    }

    /// Times after the start at which requests are due, up to `length`.
    pub fn due_times(&self, length: Duration) -> Vec<Duration> {
        let ends = self.steps.iter().skip(1).map(|s| s.from).chain([length.as_secs_f64()]);
        let mut times = Vec::new();
        for (step, end) in self.steps.iter().zip(ends) {
            let count = ((end - step.from) * step.rate) as u64;
            times.extend((0..count).map(|n| Duration::from_secs_f64(step.from + n as f64 / step.rate)));
        }
        times
    }
}

fn parse_step(text: &str) -> Option<Step> {
    let (rate, from) = text.split_once('@').unwrap_or((text, "0"));
    let (rate, from) = (rate.parse().ok()?, from.parse().ok()?);
    let valid = f64::is_finite(rate) && rate > 0.0 && f64::is_finite(from) && from >= 0.0;
    valid.then_some(Step { from, rate })
}

#[cfg(test)]
#[path = "schedule_tests.rs"]
mod tests;
