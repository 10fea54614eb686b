//! Reports the results of a run: `key=value` lines, a CSV file by second, an SVG plot of the percentiles.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write as _;
use std::path::Path;

use hdrhistogram::Histogram;
use plotters::prelude::*;

use crate::answer::FinishedRequest;
use crate::plan::Plan;

/// Largest latency that the histograms can hold; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Width and height of the plot.
const PLOT_SIZE_PX: (u32, u32) = (800, 480);
/// Quantiles that are printed, with the prefixes of their keys.
const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999)];

/// Histogram of latencies in microseconds.
fn latency_histogram<'a>(finished: impl Iterator<Item = &'a FinishedRequest>) -> Histogram<u64> {
    let mut latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds");
    for request in finished {
        latencies.saturating_record(request.latency.as_micros().max(1) as u64);
    }
    latencies
}

/// Prints the results of the whole run, and of each stream if there are several.
pub fn print_results(plan: &Plan, finished: &[FinishedRequest]) {
    print_group("", finished.iter());
    if plan.streams.len() > 1 {
        for (index, stream) in plan.streams.iter().enumerate() {
            print_group(&format!("{}.", stream.name), finished.iter().filter(|f| f.stream == index));
        }
    }
}

/// Prints the results of some requests, with `prefix` before each key.
fn print_group<'a>(prefix: &str, finished: impl Iterator<Item = &'a FinishedRequest> + Clone) {
    let mut answers: BTreeMap<Box<str>, u64> = BTreeMap::new();
    for request in finished.clone() {
        *answers.entry(request.answer.name()).or_default() += 1;
    }
    let total = finished.clone().count();
    let successes = finished.clone().filter(|f| f.answer.is_success()).count();
    println!("{prefix}requests={total}");
    println!("{prefix}good_share={:.5}", successes as f64 / total.max(1) as f64);
    for (answer, count) in &answers {
        println!("{prefix}answer.{answer}={count}");
    }
    let latencies = latency_histogram(finished);
    for (name, q) in QUANTILES {
        println!("{prefix}{name}_us={}", latencies.value_at_quantile(q));
    }
    println!("{prefix}max_us={}", latencies.max());
}

/// Writes a CSV file with one line for each stream, second and answer.
///
/// # Errors
/// Fails if the file can't be written.
pub fn write_csv(path: &Path, plan: &Plan, finished: &[FinishedRequest]) -> std::io::Result<()> {
    let mut groups: BTreeMap<(usize, u64, Box<str>), Vec<&FinishedRequest>> = BTreeMap::new();
    for request in finished {
        groups
            .entry((request.stream, request.due.as_secs(), request.answer.name()))
            .or_default()
            .push(request);
    }
    let mut text = String::from("stream,second,answer,requests,p50_us,p99_us,max_us\n");
    for ((stream, second, answer), group) in &groups {
        let latencies = latency_histogram(group.iter().copied());
        let (p50, p99) = (latencies.value_at_quantile(0.5), latencies.value_at_quantile(0.99));
        let name = &plan.streams[*stream].name;
        let _ = writeln!(text, "{name},{second},{answer},{},{p50},{p99},{}", group.len(), latencies.max());
    }
    std::fs::write(path, text)
}

/// Plots latency against percentile, with a line for each stream.
///
/// # Errors
/// Fails if the file can't be written.
pub fn write_svg(path: &Path, plan: &Plan, finished: &[FinishedRequest]) -> Result<(), Box<dyn Error>> {
    let curves: Vec<Vec<(f64, f64)>> = (0..plan.streams.len())
        .map(|index| quantile_curve(finished.iter().filter(|f| f.stream == index)))
        .collect();
    let max_ms = curves.iter().flatten().map(|(_, ms)| *ms).fold(1.0, f64::max);
    let root = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..4.0, (0.1..max_ms).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("percentile")
        .y_desc("milliseconds")
        .x_label_formatter(&|x| format!("{}", 100.0 - 100.0 / 10_f64.powf(*x)))
        .draw()?;
    for (index, points) in curves.into_iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        let name = plan.streams[index].name.to_string();
        let position = (560, 20 + 18 * index as i32);
        root.draw(&Text::new(name, position, ("sans-serif", 14).into_font().color(&colour)))?;
    }
    root.present()?;
    Ok(())
}

/// Points (nines, milliseconds): 1 nine stands for the 90th percentile, 2 nines for the 99th.
fn quantile_curve<'a>(finished: impl Iterator<Item = &'a FinishedRequest>) -> Vec<(f64, f64)> {
    let latencies = latency_histogram(finished);
    let nines = (0..=40).map(|n| f64::from(n) / 10.0);
    nines.map(|x| (x, latencies.value_at_quantile(1.0 - 10_f64.powf(-x)) as f64 / 1_000.0)).collect()
}
