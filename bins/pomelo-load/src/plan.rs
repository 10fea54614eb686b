//! What load is sent.

use std::net::SocketAddr;

use pico_args::{Arguments, Error};

/// Text of `--help`.
pub const HELP: &str = "\
pomelo-load: open-loop HTTP load

Usage: pomelo-load --target ADDR [--target ADDR] [FLAGS]

  --target ADDR   where to send; repeatable, taken in turn
  --path PATH     path and query               [default: /]
  --method NAME   method                       [default: GET]
  --key KEY       caller's key
  --rate N        requests a second            [default: 100]
  --seconds N     length of the run            [default: 5]";

/// One run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Where to send.
    pub targets: Vec<SocketAddr>,
    /// Path and query.
    pub path: Box<str>,
    /// Method.
    pub method: Box<str>,
    /// Caller's key.
    pub key: Option<Box<str>>,
    /// Requests a second.
    pub rate: f64,
    /// Length of the run in seconds.
    pub seconds: f64,
}

/// Reads the flags; none when help is asked for.
///
/// # Errors
/// Fails when a flag is missing or can't be used.
pub fn read() -> Result<Option<Plan>, Error> {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        return Ok(None);
    }
    let text =
        |args: &mut Arguments, flag| args.opt_value_from_str::<_, String>(flag).map(|o| o.map(Box::from));
    let targets: Vec<SocketAddr> = args.values_from_str("--target")?;
    if targets.is_empty() {
        return Err(Error::MissingArgument);
    }
    Ok(Some(Plan {
        targets,
        path: text(&mut args, "--path")?.unwrap_or_else(|| "/".into()),
        method: text(&mut args, "--method")?.unwrap_or_else(|| "GET".into()),
        key: text(&mut args, "--key")?,
        rate: args.opt_value_from_str("--rate")?.unwrap_or(100.0),
        seconds: args.opt_value_from_str("--seconds")?.unwrap_or(5.0),
    }))
}
