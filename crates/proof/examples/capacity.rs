//! Measures for `docs/CAPACITY.md` how the costs of one daemon's control plane grow with the numbers of
//! daemons, servers and customers. Runs real control kernels over the fake network and store, writes CSV and
//! SVG files into the folder given as argument, and prints a linear fit of each cost against each number,
//! with its value at the target size.

use std::error::Error;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use fake::Fleet;
use plotters::prelude::*;
use proof as _;
use serde_json::json;

/// Daemons of the target size.
const TARGET_DAEMONS: f64 = 560.0;
/// Backend servers of the target size.
const TARGET_SERVERS: f64 = 8_500.0;
/// Customers of the target size.
const TARGET_CUSTOMERS: f64 = 21_000.0;
/// Virtual time over which costs are measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);
/// Virtual time before the measurement, for the fleet to reach a steady state.
const WARM_UP_TIME: Duration = Duration::from_secs(10);
/// Interval between a server's announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Size of the fleet in one run.
#[derive(Clone, Copy, Debug)]
struct Size {
    daemons: usize,
    servers: usize,
    customers: usize,
}

/// Costs of one run, averaged over its daemons.
#[derive(Clone, Copy, Debug)]
struct Sample {
    size: Size,
    bytes_per_s: f64,
    messages_per_s: f64,
    /// Real time in the kernel as a share of virtual time.
    core_percent: f64,
    /// Growth of this process's resident memory.
    megabytes: f64,
    store_reads_per_s: f64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| "out/capacity".into()));
    std::fs::create_dir_all(&folder)?;
    let base = Size { daemons: 8, servers: 0, customers: 100 };
    let mut daemons = vec![4, 8, 16, 32, 60, 120, 240];
    // The target size takes minutes, so that it is measured only if `full` is an argument.
    daemons.extend(std::env::args().any(|a| a == "full").then_some(TARGET_DAEMONS as usize));
    let by_daemons: Vec<_> =
        daemons.into_iter().map(|daemons| measure_costs(Size { daemons, ..base })).collect();
    let by_servers: Vec<_> =
        [0, 300, 600, 900].map(|servers| measure_costs(Size { daemons: 60, servers, ..base })).into();
    let by_customers: Vec<_> =
        [100, 1_000, 4_000, 8_000].map(|customers| measure_costs(Size { customers, ..base })).into();
    write_report(&folder, "daemons", &by_daemons, |s| s.daemons as f64, TARGET_DAEMONS)?;
    write_report(&folder, "servers", &by_servers, |s| s.servers as f64, TARGET_SERVERS)?;
    write_report(&folder, "customers", &by_customers, |s| s.customers as f64, TARGET_CUSTOMERS)
}

/// Runs a fleet of this size and measures its costs.
fn measure_costs(size: Size) -> Sample {
    let memory_before = resident_bytes();
    let places =
        [("meseta", "paraiso"), ("meseta", "barva"), ("guanacaste", "canas"), ("guanacaste", "santa-cruz")];
    let places: Vec<_> = (0..size.daemons).map(|n| places[n % places.len()]).collect();
    let mut fleet = Fleet::new(1, &places);
    fleet.run_for(Duration::from_secs(2));
    fleet.call_and_wait(0, "PUT", "/v1/config", &config_toml(size.customers)).expect("the fleet answers");
    run_fleet(&mut fleet, size, WARM_UP_TIME);
    let (costs_before, reads_before) =
        ((0..size.daemons).map(|d| fleet.cost(d)).collect::<Vec<_>>(), fleet.store.reads);
    run_fleet(&mut fleet, size, MEASUREMENT_TIME);
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    let per_daemon = |f: &dyn Fn(&fake::Cost) -> f64| {
        let total: f64 = (0..size.daemons).map(|d| f(&fleet.cost(d)) - f(&costs_before[d])).sum();
        total / size.daemons as f64 / seconds
    };
    let sample = Sample {
        size,
        bytes_per_s: per_daemon(&|c| c.bytes_sent as f64),
        messages_per_s: per_daemon(&|c| c.messages_sent as f64),
        core_percent: per_daemon(&|c| c.busy_time.as_secs_f64()) * 100.0,
        megabytes: resident_bytes().saturating_sub(memory_before) as f64 / size.daemons as f64 / 1e6,
        store_reads_per_s: (fleet.store.reads - reads_before) as f64 / size.daemons as f64 / seconds,
    };
    eprintln!("{sample:?}");
    sample
}

/// Advances virtual time, while each server announces itself twice a second.
fn run_fleet(fleet: &mut Fleet, size: Size, time: Duration) {
    let end = fleet.now() + time;
    while fleet.now() < end {
        for s in 0..size.servers {
            let body = json!({
                "service": "sacristia",
                "addr": format!("127.3.{}.{}:80", s / 250, s % 250),
                "place": { "region": "meseta", "data_centre": "barva" },
                "slots": 6,
                "connections": 400,
                "load": 0.3,
                "state": "ready",
            });
            fleet.call(s % size.daemons, "PUT", &format!("/v1/servers/s{s}"), &body.to_string());
        }
        fleet.run_for(ANNOUNCE_INTERVAL);
    }
}

fn config_toml(customers: usize) -> String {
    let mut text = String::from("[fleet]\nstore_region = \"meseta\"\n[[service]]\nname = \"sacristia\"\n");
    for n in 0..customers {
        let _ = write!(
            text,
            "[[customer]]\nname = \"c{n}\"\nrate = 10.0\nburst = 20.0\n\
             [[route]]\nname = \"r{n}\"\nprefix = \"/c{n}\"\nservice = \"sacristia\"\ncustomer = \"c{n}\"\n"
        );
    }
    text
}

/// Resident memory of this process; 0 on systems without `/proc`.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split(' ').nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}

/// A measured cost: its name and its value in a sample.
type Quantity = (&'static str, fn(&Sample) -> f64);

const QUANTITIES: [Quantity; 5] = [
    ("bytes_per_s", |s| s.bytes_per_s),
    ("messages_per_s", |s| s.messages_per_s),
    ("core_percent", |s| s.core_percent),
    ("megabytes", |s| s.megabytes),
    ("store_reads_per_s", |s| s.store_reads_per_s),
];

/// Writes the CSV file and the plots of the costs against one number, and prints the fits.
fn write_report(
    folder: &Path,
    by: &str,
    samples: &[Sample],
    x: fn(&Size) -> f64,
    target: f64,
) -> Result<(), Box<dyn Error>> {
    let mut csv = by.to_string();
    for (name, _) in QUANTITIES {
        let _ = write!(csv, ",{name}");
    }
    csv.push('\n');
    for sample in samples {
        let _ = write!(csv, "{}", x(&sample.size));
        for (_, y) in QUANTITIES {
            let _ = write!(csv, ",{:.4}", y(sample));
        }
        csv.push('\n');
    }
    std::fs::write(folder.join(format!("{by}.csv")), csv)?;
    for (name, y) in QUANTITIES {
        let points: Vec<_> = samples.iter().map(|s| (x(&s.size), y(s))).collect();
        let fit = Fit::through(&points);
        println!(
            "{by}.{name}: {:.4} + {:.6} * {by}, residual {:.4}, at {target}: {:.2}",
            fit.offset,
            fit.slope,
            fit.residual,
            fit.value_at(target)
        );
        write_plot(&folder.join(format!("{by}-{name}.svg")), by, name, &points, &fit)?;
    }
    Ok(())
}

/// A straight line fitted to points by least squares.
#[derive(Clone, Copy, Debug)]
struct Fit {
    offset: f64,
    slope: f64,
    /// Root mean square of the vertical distances of the points.
    residual: f64,
}

impl Fit {
    fn through(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let offset = mean_y - slope * mean_x;
        let squares: f64 = points.iter().map(|p| (p.1 - offset - slope * p.0).powi(2)).sum();
        Self { offset, slope, residual: (squares / n).sqrt() }
    }

    fn value_at(&self, x: f64) -> f64 {
        self.offset + self.slope * x
    }
}

fn write_plot(
    path: &Path,
    by: &str,
    name: &str,
    points: &[(f64, f64)],
    fit: &Fit,
) -> Result<(), Box<dyn Error>> {
    let max_x = points.iter().map(|p| p.0).fold(1.0, f64::max);
    let max_y = points.iter().map(|p| p.1).fold(f64::MIN_POSITIVE, f64::max) * 1.1;
    let root = SVGBackend::new(path, (640, 400)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
    chart.configure_mesh().x_desc(by).y_desc(name).draw()?;
    chart.draw_series(points.iter().map(|p| Circle::new(*p, 4, BLUE.filled())))?;
    chart.draw_series(LineSeries::new([(0.0, fit.value_at(0.0)), (max_x, fit.value_at(max_x))], &RED))?;
    root.present()?;
    Ok(())
}
