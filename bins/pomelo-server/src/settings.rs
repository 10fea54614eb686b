//! Settings from flags.

use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::{Arguments, Error};

/// Text of `--help`.
pub const HELP: &str = "\
pomelo-server: stand-in backend server

Usage: pomelo-server --id NAME --service NAME --region NAME --data-centre NAME --daemon ADDR [FLAGS]

  --listen ADDR        address for requests                       [default: 127.0.0.1:0]
  --daemon ADDR        operator API of a daemon to announce to; repeatable, the next is used when one fails
  --slots N            requests that run at the same time         [default: 6]
  --work-ms N          time that a request takes in a slot        [default: 5]
  --cold-ms N          time after the start during which work takes five times as long  [default: 0]
  --ledger FILE        file to which the id of each order that ran is appended

PUT /_mode with a JSON object switches gray modes, see the fields of Mode; GET /_seen tells counters.
A request with ?bytes=N is answered with a body of N bytes.";

/// Settings of the server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for requests.
    pub listen: SocketAddr,
    /// Id by which the server announces itself; unique in the fleet.
    pub id: Box<str>,
    /// Service to which the server belongs.
    pub service: Box<str>,
    /// Region that the server announces.
    pub region: Box<str>,
    /// Data centre that the server announces.
    pub data_centre: Box<str>,
    /// Operator APIs of the daemons to announce to, used one at a time.
    pub daemons: Vec<SocketAddr>,
    /// Number of requests that run at the same time.
    pub slots: u32,
    /// Time in milliseconds that a request occupies a slot.
    pub work_ms: u64,
    /// Duration of the cold start in milliseconds, during which work takes longer.
    pub cold_ms: u64,
    /// File to which the id of each order that ran is appended; `None`: orders are not recorded.
    pub ledger: Option<PathBuf>,
}

/// What the command line asks for.
#[derive(Debug)]
pub enum Action {
    /// Run the server.
    Run(Settings),
    /// Print the help.
    Help,
}

/// Reads the flags.
///
/// # Errors
/// Fails if a flag is missing or invalid.
pub fn read_settings() -> Result<Action, Error> {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        return Ok(Action::Help);
    }
    let text = |args: &mut Arguments, flag| args.value_from_str::<_, String>(flag).map(Box::from);
    Ok(Action::Run(Settings {
        listen: args.opt_value_from_str("--listen")?.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))),
        id: text(&mut args, "--id")?,
        service: text(&mut args, "--service")?,
        region: text(&mut args, "--region")?,
        data_centre: text(&mut args, "--data-centre")?,
        daemons: args.values_from_str("--daemon")?,
        slots: args.opt_value_from_str("--slots")?.unwrap_or(6),
        work_ms: args.opt_value_from_str("--work-ms")?.unwrap_or(5),
        cold_ms: args.opt_value_from_str("--cold-ms")?.unwrap_or(0),
        ledger: args.opt_value_from_str("--ledger")?,
    }))
}
