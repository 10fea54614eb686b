//! Measures outlier detection against simpler policies on simulated traffic. Prints CSV and draws false
//! ejections against detection time as SVG.
//!
//! `cargo run --release -p health --example measure [SVG]`

mod faults;
mod simulation;

use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};

use health::DetectorConfig;
use health::service_stats::ServiceStats;
use kernel::{Outcome, OutcomeKind};
use plotters::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use faults::{Fault, HARMLESS_FAULTS, SERVER_FAULTS, SITES, Site};
use simulation::{Policy, Simulation, Tally};

/// Time before the fault begins.
const FAULT_AFTER: Duration = Duration::from_secs(8);
/// Duration of a fault for which the faulty server has to be ejected.
const FAULT_DURATION: Duration = Duration::from_secs(12);
/// Runs of each fault; each has its own seed.
const SEEDS: u64 = 6;
/// Duration of a run in which no server may be ejected.
const HARMLESS_DURATION: Duration = Duration::from_mins(2);
/// Parts of the servers' capacity that the traffic uses.
const LOADS: [f64; 3] = [0.4, 0.7, 0.9];
/// Recorded outcomes, and choices of a server, over which the processor time is averaged.
const COST_RUNS: u32 = 1_000_000;
/// Periods over which the processor time is averaged.
const COST_PERIODS: u32 = 1_000;
/// Thresholds of the points on the curve.
const THRESHOLDS: [f64; 6] = [3.0, 5.0, 8.0, 12.0, 17.0, 23.0];
const POLICIES: [(&str, Policy); 4] = [
    ("health", Policy::Health),
    ("consecutive", Policy::Consecutive),
    ("least-in-flight", Policy::LeastInFlight),
    ("round-robin", Policy::RoundRobin),
];

fn run(
    seed: u64,
    site: Site,
    load: f64,
    policy: Policy,
    fault: Fault,
    time: Duration,
    config: DetectorConfig,
) -> Tally {
    let mut simulation = Simulation::new(seed, site, load, policy, fault, FAULT_AFTER, config);
    simulation.run(FAULT_AFTER + time);
    simulation.tally
}

fn quantile(times: &[Duration], q: f64) -> f64 {
    let index = ((times.len() as f64 * q).ceil() as usize).clamp(1, times.len()) - 1;
    times[index].as_secs_f64()
}

/// Prints a row for each fault of one server and each policy.
fn print_server_fault_rows(site: Site, load: f64) {
    for (mode, fault) in SERVER_FAULTS {
        for (name, policy) in POLICIES {
            let tallies: Vec<_> = (0..SEEDS)
                .map(|s| run(s, site, load, policy, fault, FAULT_DURATION, DetectorConfig::default()))
                .collect();
            let mut times: Vec<_> = tallies.iter().filter_map(|t| t.detected).collect();
            times.sort_unstable();
            let missed = tallies.len() - times.len();
            let detection =
                |q| if times.is_empty() { "-".into() } else { format!("{:.2}", quantile(&times, q)) };
            let requests: u64 = tallies.iter().map(|t| t.requests).sum();
            let harmed: u64 = tallies.iter().map(|t| t.harmed).sum();
            let worst =
                tallies.iter().flat_map(|t| t.by_customer).map(|(all, well)| well as f64 / all.max(1) as f64);
            let wrong: u64 = tallies.iter().map(|t| t.false_ejections).sum();
            let cross: u64 = tallies.iter().map(|t| t.cross_region_bytes).sum();
            println!(
                "{},{load},{mode},{name},{},{},{missed},{requests},{harmed},{:.5},{cross},{wrong}",
                site.name,
                detection(0.5),
                detection(0.99),
                worst.fold(1.0, f64::min)
            );
        }
    }
}

/// Prints a row for each fault in which no server may be ejected.
fn print_harmless_rows(site: Site, load: f64) {
    for (mode, fault) in HARMLESS_FAULTS {
        let tally = run(1, site, load, Policy::Health, fault, HARMLESS_DURATION, DetectorConfig::default());
        let hours = site.servers as f64 * HARMLESS_DURATION.as_secs_f64() / 3_600.0;
        println!("well,{},{load},{mode},{hours:.2},{}", site.name, tally.false_ejections);
    }
}

/// For each threshold: the median time to the ejection of a server that is slower by a factor of 3, and false
/// ejections in 1,000 server-hours without fault.
fn measure_curve() -> Vec<(f64, f64, f64)> {
    let site = SITES[0];
    let point = |threshold| {
        let config = DetectorConfig { threshold, ..DetectorConfig::default() };
        let faulty = |s| run(s, site, 0.7, Policy::Health, Fault::Slow(3.0, 1.0), FAULT_DURATION, config);
        let mut times: Vec<_> = (0..SEEDS).filter_map(|s| faulty(s).detected).collect();
        times.sort_unstable();
        let well = run(1, site, 0.7, Policy::Health, Fault::Nothing, HARMLESS_DURATION, config);
        let hours = site.servers as f64 * HARMLESS_DURATION.as_secs_f64() / 3_600.0;
        let median = if times.is_empty() { f64::NAN } else { quantile(&times, 0.5) };
        (threshold, median, well.false_ejections as f64 * 1_000.0 / hours)
    };
    THRESHOLDS.map(point).to_vec()
}

fn draw_curve(path: &str, points: &[(f64, f64, f64)]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, (720, 440)).into_drawing_area();
    root.fill(&WHITE)?;
    let right = points.iter().map(|p| p.1).fold(1.0, f64::max) * 1.2;
    let top = points.iter().map(|p| p.2).fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .caption("False ejections against detection time (quesada, load 0.7)", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("median time to ejection, slow x3 (s)")
        .y_desc("false ejections per 1,000 server-hours")
        .draw()?;
    chart.draw_series(LineSeries::new(points.iter().map(|p| (p.1, p.2)), &BLUE))?;
    for (threshold, x, y) in points {
        let is_default = (threshold - DetectorConfig::default().threshold).abs() < 0.1;
        let (color, label) = if is_default {
            (&RED, format!("{threshold} (default)"))
        } else {
            (&BLUE, threshold.to_string())
        };
        chart.draw_series([Circle::new((*x, *y), 4, color.filled())])?;
        chart.draw_series([Text::new(label, (*x, *y + top * 0.03), ("sans-serif", 13))])?;
    }
    root.present()?;
    Ok(())
}

/// Nanoseconds for recording one outcome in a daemon's statistics, for one choice of a server, and for one
/// period.
fn measure_costs() -> (f64, f64, f64) {
    let site = SITES[0];
    let servers: Vec<_> = (0..site.servers).map(|n| simulation::server_view(n, site)).collect();
    let place = servers[0].info.place.clone();
    let (mut stats, start) = (ServiceStats::default(), Instant::now());
    let each = |count: u32, since: Instant| since.elapsed().as_nanos() as f64 / f64::from(count);
    for n in 0..COST_RUNS {
        let total = Duration::from_micros(20_000 + u64::from(n % 977));
        let server = Arc::clone(&servers[n as usize % servers.len()]);
        let customer = Some(format!("c{}", n % 8).into());
        let kind = OutcomeKind::Ok;
        let outcome = Outcome { server, customer, kind, first_byte: total, total, bytes: 100, at: start };
        stats.record_outcome(&place, &outcome);
    }
    let observe = each(COST_RUNS, start);
    let (mut rng, at) = (SmallRng::seed_from_u64(1), Instant::now());
    let criteria =
        route::Criteria { place: &place, tried: &[], repeatable: true, cross_region: true, now: at };
    for _ in 0..COST_RUNS {
        std::hint::black_box(route::choose_server(&servers, &criteria, &mut rng));
    }
    let choose = each(COST_RUNS, at);
    let at = Instant::now();
    (0..COST_PERIODS).for_each(|_| stats.end_period());
    (observe, choose, each(COST_PERIODS, at))
}

fn main() -> Result<(), Box<dyn Error>> {
    println!(
        "site,load,mode,policy,detect_p50_s,detect_p99_s,missed,requests,harmed,worst_customer_good,cross_region_bytes,false_ejections"
    );
    std::thread::scope(|scope| {
        for site in SITES {
            scope.spawn(move || LOADS.iter().for_each(|load| print_server_fault_rows(site, *load)));
        }
    });
    println!("well,site,load,mode,server_hours,false_ejections");
    for site in SITES {
        for load in LOADS {
            print_harmless_rows(site, load);
        }
    }
    let (observe, choose, step) = measure_costs();
    println!("cost,observe_ns,choose_ns,step_of_one_service_ns");
    println!("cost,{observe:.0},{choose:.0},{step:.0}");
    let points = measure_curve();
    println!("curve,threshold,detect_p50_s,false_ejections_per_1000_server_hours");
    for (threshold, detect, wrong) in &points {
        println!("curve,{threshold},{detect:.2},{wrong:.1}");
    }
    if let Some(path) = std::env::args().nth(1) {
        draw_curve(&path, &points)?;
    }
    Ok(())
}
