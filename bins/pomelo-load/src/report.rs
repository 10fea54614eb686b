//! Results: `key=value` lines, CSV by second, SVG of the percentiles.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write as _;
use std::path::Path;

use hdrhistogram::Histogram;
use plotters::prelude::*;

use crate::answer::Finished;
use crate::plan::Plan;

/// Largest recorded time in microseconds.
const MAX_US: u64 = 60_000_000;
/// Size of the plot in pixels.
const PLOT_SIZE: (u32, u32) = (800, 480);
/// Quantiles that are printed.
const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999)];

fn histogram<'a>(finished: impl Iterator<Item = &'a Finished>) -> Histogram<u64> {
    let mut times = Histogram::new_with_bounds(1, MAX_US, 3).expect("valid bounds");
    for one in finished {
        times.saturating_record(one.took.as_micros().max(1) as u64);
    }
    times
}

/// Prints the results of the whole run, and of each stream when there are several.
pub fn print(plan: &Plan, finished: &[Finished]) {
    print_some("", finished.iter());
    if plan.streams.len() > 1 {
        for (index, stream) in plan.streams.iter().enumerate() {
            print_some(&format!("{}.", stream.name), finished.iter().filter(|f| f.stream == index));
        }
    }
}

fn print_some<'a>(prefix: &str, finished: impl Iterator<Item = &'a Finished> + Clone) {
    let mut answers: BTreeMap<Box<str>, u64> = BTreeMap::new();
    for one in finished.clone() {
        *answers.entry(one.answer.name()).or_default() += 1;
    }
    let total = finished.clone().count();
    let good = finished.clone().filter(|f| f.answer.is_good()).count();
    println!("{prefix}requests={total}");
    println!("{prefix}good_share={:.5}", good as f64 / total.max(1) as f64);
    for (answer, count) in &answers {
        println!("{prefix}answer.{answer}={count}");
    }
    let times = histogram(finished);
    for (name, q) in QUANTILES {
        println!("{prefix}{name}_us={}", times.value_at_quantile(q));
    }
    println!("{prefix}max_us={}", times.max());
}

/// Writes one line for each stream, second and answer.
///
/// # Errors
/// Fails when the file can't be written.
pub fn write_csv(path: &Path, plan: &Plan, finished: &[Finished]) -> std::io::Result<()> {
    let mut groups: BTreeMap<(usize, u64, Box<str>), Vec<&Finished>> = BTreeMap::new();
    for one in finished {
        groups.entry((one.stream, one.due.as_secs(), one.answer.name())).or_default().push(one);
    }
    let mut text = String::from("stream,second,answer,requests,p50_us,p99_us,max_us\n");
    for ((stream, second, answer), group) in &groups {
        let times = histogram(group.iter().copied());
        let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
        let name = &plan.streams[*stream].name;
        let _ = writeln!(text, "{name},{second},{answer},{},{p50},{p99},{}", group.len(), times.max());
    }
    std::fs::write(path, text)
}

/// Plots time against percentile, a line for each stream.
///
/// # Errors
/// Fails when the file can't be written.
pub fn write_svg(path: &Path, plan: &Plan, finished: &[Finished]) -> Result<(), Box<dyn Error>> {
    let curves: Vec<Vec<(f64, f64)>> =
        (0..plan.streams.len()).map(|index| curve(finished.iter().filter(|f| f.stream == index))).collect();
    let top = curves.iter().flatten().map(|(_, ms)| *ms).fold(1.0, f64::max);
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..4.0, (0.1..top).log_scale())?;
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
        let at = (560, 20 + 18 * index as i32);
        root.draw(&Text::new(name, at, ("sans-serif", 14).into_font().color(&colour)))?;
    }
    root.present()?;
    Ok(())
}

/// Points (nines, milliseconds): 1 nine is the 90th percentile, 2 nines the 99th.
fn curve<'a>(finished: impl Iterator<Item = &'a Finished>) -> Vec<(f64, f64)> {
    let times = histogram(finished);
    let nines = (0..=40).map(|n| f64::from(n) / 10.0);
    nines.map(|x| (x, times.value_at_quantile(1.0 - 10_f64.powf(-x)) as f64 / 1_000.0)).collect()
}
