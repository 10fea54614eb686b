//! The plan of a run, read from the flags: one or more streams of requests that are sent at the same time,
//! for example one for each customer.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use derive_more::{Display, Error};
use pico_args::Arguments;

use crate::schedule::Schedule;

/// Text of `--help`.
pub const HELP: &str = "\
pomelo-load: open-loop HTTP load; prints key=value lines

Usage: pomelo-load --target ADDR [--target ADDR] [FLAGS]

  --target ADDR   where to send; repeatable, taken in turn; the next one is tried when none listens
                  or the daemon is stopping
  --path PATH     path and query               [default: /]
  --method NAME   method                       [default: GET]
  --key KEY       caller's key
  --rate SCHEDULE requests a second            [default: 100]
  --seconds N     length of the run            [default: 5]
  --stream SPEC   a stream of requests instead of --path, --method, --key and --rate; repeatable.
                  SPEC: comma-separated fields name=, path=, method=, key=, rate=, target=A+B, orders=yes,
                  deadline_ms=
  --ledger FILE   list of orders that ran, written by a server; repeatable; compared with the answers
  --csv FILE      times and answers of each stream, second by second
  --svg FILE      plot of the percentiles of each stream
  --progress      a line each five seconds on standard error

SCHEDULE is a rate, or rates from a second on: 100;800@5;100@10";

/// Requests of one kind, sent at one rate.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Name in the printed results, the CSV file and the plot.
    pub name: Box<str>,
    /// Addresses to send to, taken in turn.
    pub targets: Vec<SocketAddr>,
    /// Path and query.
    pub path: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Caller's key, sent in `x-api-key`; `None` sends no key.
    pub key: Option<Box<str>>,
    /// Rate of requests over time.
    pub rate: Schedule,
    /// Whether each request is an order, with an id in `x-order-id` that is checked against the ledgers.
    pub orders: bool,
    /// Deadline of each request, sent in `x-deadline-ms`; `None` sends no deadline.
    pub deadline: Option<Duration>,
}

/// The plan of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Streams, sent at the same time.
    pub streams: Vec<Stream>,
    /// Time in which requests come due; the run ends when the last of them has ended.
    pub duration: Duration,
    /// Ledgers written by the servers.
    pub ledgers: Vec<PathBuf>,
    /// CSV file to write, with results by second.
    pub csv: Option<PathBuf>,
    /// SVG file to write, with a plot of the percentiles.
    pub svg: Option<PathBuf>,
    /// Whether to print progress on standard error.
    pub progress: bool,
}

/// A flag or field that is missing or invalid.
#[derive(Debug, Display, Error)]
#[display("{flag}: {problem}")]
pub struct PlanError {
    flag: Box<str>,
    problem: Box<str>,
}

fn plan_error(flag: &str, problem: impl Into<Box<str>>) -> PlanError {
    PlanError { flag: flag.into(), problem: problem.into() }
}

/// Reads the flags; `None` if the help is asked for.
///
/// # Errors
/// Fails if a flag is missing or invalid.
pub fn read_plan() -> Result<Option<Plan>, PlanError> {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        return Ok(None);
    }
    let plan = parse_plan(&mut args)?;
    match args.finish().first() {
        Some(extra) => Err(plan_error(&extra.to_string_lossy(), "unknown argument")),
        None => Ok(Some(plan)),
    }
}

fn parse_plan(args: &mut Arguments) -> Result<Plan, PlanError> {
    let targets: Vec<SocketAddr> =
        args.values_from_str("--target").map_err(|e| plan_error("--target", e.to_string()))?;
    let specs: Vec<String> =
        args.values_from_str("--stream").map_err(|e| plan_error("--stream", e.to_string()))?;
    let single = stream_from_flags(args, &targets)?;
    let streams = if specs.is_empty() {
        vec![single]
    } else {
        specs.iter().map(|spec| parse_stream(spec, &targets)).collect::<Result<_, _>>()?
    };
    if streams.iter().any(|s| s.targets.is_empty()) {
        return Err(plan_error("--target", "missing"));
    }
    let seconds =
        flag_value(args, "--seconds")?.map_or(Ok(5.0), |text| parse_positive("--seconds", &text))?;
    Ok(Plan {
        streams,
        duration: Duration::from_secs_f64(seconds),
        ledgers: args.values_from_str("--ledger").map_err(|e| plan_error("--ledger", e.to_string()))?,
        csv: flag_value(args, "--csv")?.map(PathBuf::from),
        svg: flag_value(args, "--svg")?.map(PathBuf::from),
        progress: args.contains("--progress"),
    })
}

/// The stream that the flags `--path`, `--method`, `--key` and `--rate` describe.
fn stream_from_flags(args: &mut Arguments, targets: &[SocketAddr]) -> Result<Stream, PlanError> {
    Ok(Stream {
        name: "all".into(),
        targets: targets.to_vec(),
        path: flag_value(args, "--path")?.map_or_else(|| "/".into(), Box::from),
        method: flag_value(args, "--method")?.map_or_else(|| "GET".into(), Box::from),
        key: flag_value(args, "--key")?.map(Box::from),
        rate: parse_schedule(&flag_value(args, "--rate")?.unwrap_or_else(|| "100".into()))?,
        orders: false,
        deadline: None,
    })
}

fn flag_value(args: &mut Arguments, flag: &'static str) -> Result<Option<String>, PlanError> {
    args.opt_value_from_str(flag).map_err(|e| plan_error(flag, e.to_string()))
}

fn parse_positive(flag: &str, text: &str) -> Result<f64, PlanError> {
    match text.parse() {
        Ok(n) if n > 0.0 && f64::is_finite(n) => Ok(n),
        _ => Err(plan_error(flag, format!("{text:?} is not a positive number"))),
    }
}

fn parse_schedule(text: &str) -> Result<Schedule, PlanError> {
    Schedule::parse(text)
        .ok_or_else(|| plan_error("rate", format!("{text:?} is not a schedule such as 100;800@5")))
}

/// Parses the value of `--stream`.
fn parse_stream(spec: &str, targets: &[SocketAddr]) -> Result<Stream, PlanError> {
    let mut stream = Stream {
        name: "all".into(),
        targets: targets.to_vec(),
        path: "/".into(),
        method: "GET".into(),
        key: None,
        rate: parse_schedule("100")?,
        orders: false,
        deadline: None,
    };
    for field in spec.split(',') {
        let (name, text) =
            field.split_once('=').ok_or_else(|| plan_error("--stream", format!("{field:?} has no =")))?;
        match name {
            "name" => stream.name = text.into(),
            "path" => stream.path = text.into(),
            "method" => stream.method = text.into(),
            "key" => stream.key = Some(text.into()),
            "rate" => stream.rate = parse_schedule(text)?,
            "orders" => stream.orders = text == "yes",
            "deadline_ms" => {
                let ms = parse_positive("deadline_ms", text)? as u64;
                stream.deadline = Some(Duration::from_millis(ms));
            }
            "target" => {
                let parse = |a: &str| a.parse().map_err(|e| plan_error("target", format!("{a:?}: {e}")));
                stream.targets = text.split('+').map(parse).collect::<Result<_, _>>()?;
            }
            other => return Err(plan_error("--stream", format!("unknown field {other:?}"))),
        }
    }
    Ok(stream)
}
