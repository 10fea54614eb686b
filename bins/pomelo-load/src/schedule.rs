//! Request rates over time, and the times at which requests are due.

use std::time::Duration;

/// A rate that is in force from a moment on, until the next step or the end of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Step {
    /// Seconds since the start of the run.
    from: f64,
    /// Requests per second.
    rate: f64,
}

/// Rate of requests over time, in steps.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// In ascending order of `from`; the first step starts at 0.
    steps: Vec<Step>,
}

impl Schedule {
    /// Parses `RATE` or `RATE;RATE@SECOND;…`; `None` if the text is neither or its seconds don't ascend.
    pub fn parse(text: &str) -> Option<Self> {
        let steps = text.split(';').map(parse_step).collect::<Option<Vec<_>>>()?;
        let is_ascending = steps.is_sorted_by(|a, b| a.from < b.from);
        (is_ascending && steps[0].from == 0.0).then_some(Self { steps })
    }

    /// When requests are due in a run of this duration, as times since its start, in ascending order.
    pub fn due_times(&self, duration: Duration) -> Vec<Duration> {
        let ends = self.steps.iter().skip(1).map(|s| s.from).chain([duration.as_secs_f64()]);
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
    let is_valid = f64::is_finite(rate) && rate > 0.0 && f64::is_finite(from) && from >= 0.0;
    is_valid.then_some(Step { from, rate })
}

#[cfg(test)]
#[path = "schedule_tests.rs"]
mod tests;
