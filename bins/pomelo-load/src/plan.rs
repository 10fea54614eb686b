//! What load is sent: flags, and one stream of requests for each customer or class.

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

/// One stream of requests.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Name in the results.
    pub name: Box<str>,
    /// Where to send.
    pub targets: Vec<SocketAddr>,
    /// Path and query.
    pub path: Box<str>,
    /// Method.
    pub method: Box<str>,
    /// Caller's key.
    pub key: Option<Box<str>>,
    /// Requests a second over time.
    pub rate: Schedule,
    /// Whether each request is an order with an id of its own, checked against the ledgers.
    pub orders: bool,
    /// Time that each request may take, told to the daemon.
    pub deadline: Option<Duration>,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Streams, sent at the same time.
    pub streams: Vec<Stream>,
    /// Length of the run.
    pub length: Duration,
    /// Ledgers of the servers.
    pub ledgers: Vec<PathBuf>,
    /// File for results by second.
    pub csv: Option<PathBuf>,
    /// File for the plot.
    pub svg: Option<PathBuf>,
    /// Whether to print progress.
    pub progress: bool,
}

/// A flag that can't be used.
#[derive(Debug, Display, Error)]
#[display("{flag}: {problem}")]
pub struct PlanError {
    flag: Box<str>,
    problem: Box<str>,
}

fn error(flag: &str, problem: impl Into<Box<str>>) -> PlanError {
    PlanError { flag: flag.into(), problem: problem.into() }
}

/// Reads the flags; none when help is asked for.
///
/// # Errors
/// Fails when a flag is missing or can't be used.
pub fn read() -> Result<Option<Plan>, PlanError> {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        return Ok(None);
    }
    let plan = parse(&mut args)?;
    match args.finish().first() {
        Some(extra) => Err(error(&extra.to_string_lossy(), "unknown argument")),
        None => Ok(Some(plan)),
    }
}

fn parse(args: &mut Arguments) -> Result<Plan, PlanError> {
    let targets: Vec<SocketAddr> =
        args.values_from_str("--target").map_err(|e| error("--target", e.to_string()))?;
    let specs: Vec<String> =
        args.values_from_str("--stream").map_err(|e| error("--stream", e.to_string()))?;
    let single = single_stream(args, &targets)?;
    let streams = if specs.is_empty() {
        vec![single]
    } else {
        specs.iter().map(|spec| stream(spec, &targets)).collect::<Result<_, _>>()?
    };
    if streams.iter().any(|s| s.targets.is_empty()) {
        return Err(error("--target", "missing"));
    }
    let seconds = value(args, "--seconds")?.map_or(Ok(5.0), |text| number("--seconds", &text))?;
    Ok(Plan {
        streams,
        length: Duration::from_secs_f64(seconds),
        ledgers: args.values_from_str("--ledger").map_err(|e| error("--ledger", e.to_string()))?,
        csv: value(args, "--csv")?.map(PathBuf::from),
        svg: value(args, "--svg")?.map(PathBuf::from),
        progress: args.contains("--progress"),
    })
}

fn single_stream(args: &mut Arguments, targets: &[SocketAddr]) -> Result<Stream, PlanError> {
    Ok(Stream {
        name: "all".into(),
        targets: targets.to_vec(),
        path: value(args, "--path")?.map_or_else(|| "/".into(), Box::from),
        method: value(args, "--method")?.map_or_else(|| "GET".into(), Box::from),
        key: value(args, "--key")?.map(Box::from),
        rate: schedule(&value(args, "--rate")?.unwrap_or_else(|| "100".into()))?,
        orders: false,
        deadline: None,
    })
}

fn value(args: &mut Arguments, flag: &'static str) -> Result<Option<String>, PlanError> {
    args.opt_value_from_str(flag).map_err(|e| error(flag, e.to_string()))
}

fn number(flag: &str, text: &str) -> Result<f64, PlanError> {
    match text.parse() {
        Ok(n) if n > 0.0 && f64::is_finite(n) => Ok(n),
        _ => Err(error(flag, format!("{text:?} is no positive number"))),
    }
}

fn schedule(text: &str) -> Result<Schedule, PlanError> {
    Schedule::parse(text).ok_or_else(|| error("rate", format!("{text:?} is no schedule such as 100;800@5")))
}

fn stream(spec: &str, targets: &[SocketAddr]) -> Result<Stream, PlanError> {
    let mut stream = Stream {
        name: "all".into(),
        targets: targets.to_vec(),
        path: "/".into(),
        method: "GET".into(),
        key: None,
        rate: schedule("100")?,
        orders: false,
        deadline: None,
    };
    for field in spec.split(',') {
        let (name, text) =
            field.split_once('=').ok_or_else(|| error("--stream", format!("{field:?} has no =")))?;
        match name {
            "name" => stream.name = text.into(),
            "path" => stream.path = text.into(),
            "method" => stream.method = text.into(),
            "key" => stream.key = Some(text.into()),
            "rate" => stream.rate = schedule(text)?,
            "orders" => stream.orders = text == "yes",
            "deadline_ms" => {
                let ms = number("deadline_ms", text)? as u64;
                stream.deadline = Some(Duration::from_millis(ms));
            }
            "target" => {
                let parse = |a: &str| a.parse().map_err(|e| error("target", format!("{a:?}: {e}")));
                stream.targets = text.split('+').map(parse).collect::<Result<_, _>>()?;
            }
            other => return Err(error("--stream", format!("unknown field {other:?}"))),
        }
    }
    Ok(stream)
}
