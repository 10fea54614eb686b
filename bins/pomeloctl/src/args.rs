//! The command line.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use hyper::Method;
use pico_args::Arguments;
use serde_json::json;

/// Help text.
pub const HELP: &str = "\
pomeloctl: operator command line of pomelopath

Usage: pomeloctl [--api ADDR] [--json] COMMAND

  check FILE                          check a configuration without a daemon
  diff FILE                           compare a file with the configuration in force
  apply FILE [--base N] [--wait S]    apply a configuration and wait until members have it in force
  history [--before N]                committed changes, newest first
  rollback VERSION [--base N]         commit an earlier version's content as a new version
  status                              state of the daemon
  members                             daemons of the fleet
  servers                             announced backend servers
  explain server ID                   why a backend server is treated as it is
  explain REQUEST-ID                  what happened to a request at this daemon
  customers                           customers and their rates
  keys list                           keys without their secrets
  keys give CUSTOMER NAME [--expires SECONDS]   give a key; prints its secret once
  keys withdraw NAME                  withdraw a key at once
  fence ADDR                          take the rate shares of a daemon that is gone
  drain ID                            take a backend server out of work

--api may be given as POMELOCTL_API. --json prints the daemon's answer as JSON.
Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no daemon answers, 4 diff found differences,
5 accepted but not in force everywhere within the wait.";

/// Wait of `apply` for members, in seconds.
const DEFAULT_WAIT_S: u64 = 10;

/// Wrong usage.
#[derive(Debug, Display, Error)]
#[display("{problem}; see pomeloctl --help")]
pub struct UsageError {
    problem: Box<str>,
}

/// What shall be done.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Check a file without a daemon.
    Check(Box<str>),
    /// Compare a file with the configuration in force.
    Diff(Box<str>),
    /// A change that members shall have in force within seconds.
    Change {
        /// Call that makes the change.
        call: Call,
        /// Longest wait for members, in seconds.
        wait_s: u64,
    },
    /// One call to a daemon.
    Call(Call),
}

/// One call to a daemon.
#[derive(Debug, PartialEq)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: Box<str>,
    /// Body.
    pub body: Vec<u8>,
    /// How the answer is printed.
    pub view: View,
    /// File from which the body was read.
    pub file: Option<Box<str>>,
}

/// How an answer is printed for people.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// Names and values, one a line.
    Fields,
    /// A table of the objects under this name, with these columns.
    Table(&'static str, &'static [&'static str]),
}

/// A command with its options.
#[derive(Debug)]
pub struct Args {
    /// Daemon to ask; none: not given.
    pub api: Option<SocketAddr>,
    /// Whether answers are printed as JSON.
    pub json: bool,
    /// Command.
    pub command: Command,
}

impl UsageError {
    /// Makes an error from the problem.
    pub fn new(problem: impl Into<Box<str>>) -> Self {
        Self { problem: problem.into() }
    }
}

/// Parses the arguments.
///
/// # Errors
/// Fails when they are no command.
pub fn parse(mut args: Arguments) -> Result<Args, UsageError> {
    if args.contains("--help") {
        return Ok(Args { api: None, json: false, command: Command::Help });
    }
    let json = args.contains("--json");
    let api = option(&mut args, "--api")?.or_else(|| std::env::var("POMELOCTL_API").ok()?.parse().ok());
    let base: Option<u64> = option(&mut args, "--base")?;
    let before: Option<u64> = option(&mut args, "--before")?;
    let expires: Option<u64> = option(&mut args, "--expires")?;
    let wait_s = option(&mut args, "--wait")?.unwrap_or(DEFAULT_WAIT_S);
    let words: Vec<String> = args.finish().into_iter().map(|w| w.to_string_lossy().into_owned()).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let base = base.map(|n| format!("?base={n}")).unwrap_or_default();
    let command = match words.as_slice() {
        ["check", file] => Command::Check((*file).into()),
        ["diff", file] => Command::Diff((*file).into()),
        ["apply", file] => {
            let body = std::fs::read(file).map_err(|e| UsageError::new(format!("{file}: {e}")))?;
            let call = Call::new(Method::PUT, format!("/v1/config{base}"), body, View::Fields);
            let call = Call { file: Some((*file).into()), ..call };
            Command::Change { call, wait_s }
        }
        ["rollback", version] => {
            let problem = || UsageError::new(format!("{version:?} is no version"));
            let version: u64 = version.parse().map_err(|_bad| problem())?;
            let body = json!({ "version": version }).to_string().into_bytes();
            let call = Call::new(Method::POST, format!("/v1/rollback{base}"), body, View::Fields);
            Command::Change { call, wait_s }
        }
        words => Command::Call(simple(words, before, expires)?),
    };
    Ok(Args { api, json, command })
}

fn option<T: std::str::FromStr>(args: &mut Arguments, flag: &'static str) -> Result<Option<T>, UsageError>
where
    T::Err: std::fmt::Display,
{
    args.opt_value_from_str(flag).map_err(|e| UsageError::new(format!("{flag}: {e}")))
}

impl Call {
    fn new(method: Method, path: impl Into<Box<str>>, body: Vec<u8>, view: View) -> Self {
        Self { method, path: path.into(), body, view, file: None }
    }

    /// A read.
    pub fn get(path: impl Into<Box<str>>, view: View) -> Self {
        Self::new(Method::GET, path, Vec::new(), view)
    }
}

fn simple(words: &[&str], before: Option<u64>, expires: Option<u64>) -> Result<Call, UsageError> {
    let fields = View::Fields;
    let call = match words {
        ["history"] => {
            let query = before.map(|n| format!("?before={n}")).unwrap_or_default();
            let columns = &["version", "what", "at_ms", "by", "change"];
            Call::get(format!("/v1/history{query}"), View::Table("changes", columns))
        }
        ["status"] => Call::get("/v1/status", fields),
        ["members"] => {
            let columns = &["id", "api", "place", "state", "version", "store_down"];
            Call::get("/v1/members", View::Table("members", columns))
        }
        ["servers"] => {
            let columns = &["id", "service", "addr", "place", "state", "weight"];
            Call::get("/v1/servers", View::Table("servers", columns))
        }
        ["customers"] => {
            let columns = &["name", "rate", "burst", "template"];
            Call::get("/v1/customers", View::Table("customers", columns))
        }
        ["explain", "server", id] => Call::get(format!("/v1/explain/server/{id}"), fields),
        ["explain", id] => Call::get(format!("/v1/explain/request/{id}"), fields),
        ["keys", "list"] => {
            Call::get("/v1/keys", View::Table("keys", &["name", "customer", "expires", "state"]))
        }
        ["keys", "give", customer, name] => {
            let body = json!({ "customer": customer, "name": name, "expires": expires });
            Call::new(Method::POST, "/v1/keys", body.to_string().into_bytes(), fields)
        }
        ["keys", "withdraw", name] => {
            Call::new(Method::DELETE, format!("/v1/keys/{name}"), Vec::new(), fields)
        }
        ["fence", addr] => Call::new(Method::POST, format!("/v1/fence/{addr}"), Vec::new(), fields),
        ["drain", id] => Call::new(Method::POST, format!("/v1/servers/{id}/drain"), Vec::new(), fields),
        other => return Err(UsageError::new(format!("no command {:?}", other.join(" ")))),
    };
    Ok(call)
}
