//! Parses the command line.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use hyper::Method;
use pico_args::Arguments;
use serde_json::json;

/// Text of `--help`.
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

/// Default of `--wait`: how long `apply` and `rollback` wait for the members.
const DEFAULT_WAIT_S: u64 = 10;

/// A wrong command line; the message refers to the help.
#[derive(Debug, Display, Error)]
#[display("{problem}; see pomeloctl --help")]
pub struct UsageError {
    problem: Box<str>,
}

/// What the command line asks for.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Check this configuration file without a daemon.
    Check(Box<str>),
    /// Compare this configuration file with the configuration in force.
    Diff(Box<str>),
    /// Change the configuration and wait until all members have it in force.
    Change {
        /// API call that makes the change.
        call: ApiCall,
        /// Longest wait for the members, in seconds.
        wait_s: u64,
    },
    /// Make one API call and print the answer.
    Call(ApiCall),
}

/// One call of a daemon's operator API.
#[derive(Debug, PartialEq)]
pub struct ApiCall {
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: Box<str>,
    /// Body of the request; empty for none.
    pub body: Vec<u8>,
    /// How the answer is printed without `--json`.
    pub view: View,
    /// File from which the body was read, named in errors; `None` if the body is not a file's.
    pub file: Option<Box<str>>,
}

/// How an answer is printed without `--json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// One line for each field.
    Fields,
    /// A table of the objects in the field of this name, with these fields as columns.
    Table(&'static str, &'static [&'static str]),
}

/// A parsed command line.
#[derive(Debug)]
pub struct Args {
    /// API address of the daemon to call; `None` if it was not given.
    pub api: Option<SocketAddr>,
    /// Whether answers are printed as JSON.
    pub json: bool,
    /// What the command line asks for.
    pub command: Command,
}

impl UsageError {
    /// Makes an error with a description of what is wrong.
    pub fn new(problem: impl Into<Box<str>>) -> Self {
        Self { problem: problem.into() }
    }
}

/// Parses the arguments and reads the file that `apply` names.
///
/// # Errors
/// Fails if the arguments are not a known command or the file can't be read.
pub fn parse_args(mut args: Arguments) -> Result<Args, UsageError> {
    if args.contains("--help") {
        return Ok(Args { api: None, json: false, command: Command::Help });
    }
    let json = args.contains("--json");
    let api = flag_value(&mut args, "--api")?.or_else(|| std::env::var("POMELOCTL_API").ok()?.parse().ok());
    let base: Option<u64> = flag_value(&mut args, "--base")?;
    let before: Option<u64> = flag_value(&mut args, "--before")?;
    let expires: Option<u64> = flag_value(&mut args, "--expires")?;
    let wait_s = flag_value(&mut args, "--wait")?.unwrap_or(DEFAULT_WAIT_S);
    let words: Vec<String> = args.finish().into_iter().map(|w| w.to_string_lossy().into_owned()).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let base = base.map(|n| format!("?base={n}")).unwrap_or_default();
    let command = match words.as_slice() {
        ["check", file] => Command::Check((*file).into()),
        ["diff", file] => Command::Diff((*file).into()),
        ["apply", file] => {
            let body = std::fs::read(file).map_err(|e| UsageError::new(format!("{file}: {e}")))?;
            let call = ApiCall::new(Method::PUT, format!("/v1/config{base}"), body, View::Fields);
            let call = ApiCall { file: Some((*file).into()), ..call };
            Command::Change { call, wait_s }
        }
        ["rollback", version] => {
            let problem = || UsageError::new(format!("{version:?} is not a version number"));
            let version: u64 = version.parse().map_err(|_bad| problem())?;
            let body = json!({ "version": version }).to_string().into_bytes();
            let call = ApiCall::new(Method::POST, format!("/v1/rollback{base}"), body, View::Fields);
            Command::Change { call, wait_s }
        }
        words => Command::Call(single_call(words, before, expires)?),
    };
    Ok(Args { api, json, command })
}

fn flag_value<T: std::str::FromStr>(args: &mut Arguments, flag: &'static str) -> Result<Option<T>, UsageError>
where
    T::Err: std::fmt::Display,
{
    args.opt_value_from_str(flag).map_err(|e| UsageError::new(format!("{flag}: {e}")))
}

impl ApiCall {
    fn new(method: Method, path: impl Into<Box<str>>, body: Vec<u8>, view: View) -> Self {
        Self { method, path: path.into(), body, view, file: None }
    }

    /// A call that reads.
    pub fn get(path: impl Into<Box<str>>, view: View) -> Self {
        Self::new(Method::GET, path, Vec::new(), view)
    }
}

/// The API call of a command that makes just one call.
fn single_call(words: &[&str], before: Option<u64>, expires: Option<u64>) -> Result<ApiCall, UsageError> {
    let fields = View::Fields;
    let call = match words {
        ["history"] => {
            let query = before.map(|n| format!("?before={n}")).unwrap_or_default();
            let columns = &["version", "what", "at_ms", "by", "change"];
            ApiCall::get(format!("/v1/history{query}"), View::Table("changes", columns))
        }
        ["status"] => ApiCall::get("/v1/status", fields),
        ["members"] => {
            let columns = &["id", "api", "place", "state", "version", "store_down"];
            ApiCall::get("/v1/members", View::Table("members", columns))
        }
        ["servers"] => {
            let columns = &["id", "service", "addr", "place", "state", "weight"];
            ApiCall::get("/v1/servers", View::Table("servers", columns))
        }
        ["customers"] => {
            let columns = &["name", "rate", "burst", "template"];
            ApiCall::get("/v1/customers", View::Table("customers", columns))
        }
        ["explain", "server", id] => ApiCall::get(format!("/v1/explain/server/{id}"), fields),
        ["explain", id] => ApiCall::get(format!("/v1/explain/request/{id}"), fields),
        ["keys", "list"] => {
            ApiCall::get("/v1/keys", View::Table("keys", &["name", "customer", "expires", "state"]))
        }
        ["keys", "give", customer, name] => {
            let body = json!({ "customer": customer, "name": name, "expires": expires });
            ApiCall::new(Method::POST, "/v1/keys", body.to_string().into_bytes(), fields)
        }
        ["keys", "withdraw", name] => {
            ApiCall::new(Method::DELETE, format!("/v1/keys/{name}"), Vec::new(), fields)
        }
        ["fence", addr] => ApiCall::new(Method::POST, format!("/v1/fence/{addr}"), Vec::new(), fields),
        ["drain", id] => ApiCall::new(Method::POST, format!("/v1/servers/{id}/drain"), Vec::new(), fields),
        other => return Err(UsageError::new(format!("unknown command {:?}", other.join(" ")))),
    };
    Ok(call)
}
