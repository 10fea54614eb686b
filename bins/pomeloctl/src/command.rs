//! The commands: parsed from arguments, carried out by calls to a daemon.

use std::net::SocketAddr;
use std::process::ExitCode;

use derive_more::{Display, Error};
use hyper::Method;
use pico_args::Arguments;
use serde_json::json;

use crate::client::{Answer, call};

const HELP: &str = "\
pomeloctl: operator command line of pomelopath

Usage: pomeloctl --api ADDR COMMAND

  check FILE                         check a configuration without a daemon
  apply FILE                         apply a configuration
  keys give CUSTOMER NAME            give a key; prints the secret once
  keys withdraw NAME                 withdraw a key
  status                             state of the daemon
  servers                            announced backend servers

--api may be given as POMELO_API.";

/// Wrong usage.
#[derive(Debug, Display, Error)]
#[display("{problem}; see pomeloctl --help")]
pub struct UsageError {
    problem: Box<str>,
}

/// One command.
#[derive(Debug)]
pub enum Command {
    /// Print the help.
    Help,
    /// Check a file without a daemon.
    Check(Box<str>),
    /// One call to a daemon.
    Call {
        /// API address.
        api: SocketAddr,
        /// Method.
        method: Method,
        /// Path.
        path: Box<str>,
        /// Body.
        body: Vec<u8>,
    },
}

fn usage(problem: impl Into<Box<str>>) -> UsageError {
    UsageError { problem: problem.into() }
}

/// Parses the arguments.
///
/// # Errors
/// Fails when they are no command.
pub fn parse() -> Result<Command, UsageError> {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        return Ok(Command::Help);
    }
    let api: Option<SocketAddr> = args.opt_value_from_str("--api").map_err(|e| usage(e.to_string()))?;
    let api = api.or_else(|| std::env::var("POMELO_API").ok()?.parse().ok());
    let words: Vec<String> = args.finish().into_iter().map(|w| w.to_string_lossy().into_owned()).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    if let ["check", file] = words.as_slice() {
        return Ok(Command::Check((*file).into()));
    }
    let api = api.ok_or_else(|| usage("no daemon named with --api or POMELO_API"))?;
    let (method, path, body) = match words.as_slice() {
        ["apply", file] => {
            let body = std::fs::read(file).map_err(|e| usage(format!("{file}: {e}")))?;
            (Method::PUT, "/v1/config".into(), body)
        }
        ["keys", "give", customer, name] => {
            let body = json!({ "customer": customer, "name": name }).to_string().into_bytes();
            (Method::POST, "/v1/keys".into(), body)
        }
        ["keys", "withdraw", name] => (Method::DELETE, format!("/v1/keys/{name}"), Vec::new()),
        ["status"] => (Method::GET, "/v1/status".into(), Vec::new()),
        ["servers"] => (Method::GET, "/v1/servers".into(), Vec::new()),
        other => return Err(usage(format!("no command {:?}", other.join(" ")))),
    };
    Ok(Command::Call { api, method, path: path.into(), body })
}

/// Carries out a command and prints its result.
pub async fn run(command: &Command) -> ExitCode {
    match command {
        Command::Help => {
            println!("{HELP}");
            ExitCode::SUCCESS
        }
        Command::Check(file) => check(file),
        Command::Call { api, method, path, body } => {
            match call(*api, method.clone(), path, body.clone()).await {
                Ok(answer) => print(&answer),
                Err(e) => {
                    eprintln!("pomeloctl: {e}");
                    ExitCode::from(3)
                }
            }
        }
    }
}

fn check(file: &str) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("pomeloctl: {file}: {e}; name a readable file");
            return ExitCode::from(2);
        }
    };
    match conf::source::parse(file, &text).and_then(|source| conf::compile(&source, 1)) {
        Ok(_) => {
            println!("{file} is valid");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(1)
        }
    }
}

fn print(answer: &Answer) -> ExitCode {
    let text = serde_json::to_string_pretty(&answer.body).unwrap_or_default();
    if answer.status < 300 {
        println!("{text}");
        ExitCode::SUCCESS
    } else {
        eprintln!("{text}");
        ExitCode::from(1)
    }
}
