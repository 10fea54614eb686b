//! Carries out commands by calls to a daemon.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Instant;

use serde_json::{Value, json};

use crate::args::{Args, Call, Command, HELP, View};
use crate::client::{Answer, call};
use crate::diff::diff;
use crate::in_force::{rows, wait};
use crate::table::{fields, table};

/// The daemon or the validation refused.
const REFUSED: u8 = 1;
/// Wrong usage.
pub const USAGE: u8 = 2;
/// No daemon answers.
const NO_DAEMON: u8 = 3;
/// `diff` found differences.
const DIFFERENT: u8 = 4;
/// Accepted, but not in force everywhere within the wait.
const NOT_IN_FORCE: u8 = 5;

/// Why a command ended early: exit code and text.
struct Failure(u8, String);

/// Carries out a command and prints its result.
pub async fn run(args: &Args) -> ExitCode {
    match carry_out(args).await {
        Ok(code) => ExitCode::from(code),
        Err(Failure(code, text)) => {
            eprintln!("{text}");
            ExitCode::from(code)
        }
    }
}

async fn carry_out(args: &Args) -> Result<u8, Failure> {
    match &args.command {
        Command::Help => {
            println!("{HELP}");
            Ok(0)
        }
        Command::Check(file) => check(file, args.json),
        Command::Diff(file) => show_diff(args, file).await,
        Command::Change { call, wait_s } => change(args, call, *wait_s).await,
        Command::Call(call) => {
            let answer = ask(args, call).await?;
            show(args.json, call.view, &answer.body);
            Ok(0)
        }
    }
}

fn api(args: &Args) -> Result<SocketAddr, Failure> {
    let problem = "pomeloctl: no daemon named; give --api or POMELOCTL_API, see pomeloctl --help";
    args.api.ok_or_else(|| Failure(USAGE, problem.into()))
}

/// Asks the daemon; a refusal becomes a failure with its remedy.
async fn ask(args: &Args, what: &Call) -> Result<Answer, Failure> {
    let answer = call(api(args)?, what.method.clone(), &what.path, what.body.clone())
        .await
        .map_err(|e| Failure(NO_DAEMON, format!("pomeloctl: {e}")))?;
    if answer.status < 300 {
        return Ok(answer);
    }
    let body = &answer.body;
    if let Some(text) = fault(what, body).filter(|_| !args.json) {
        return Err(Failure(REFUSED, text));
    }
    let text = match (body["problem"].as_str(), body["remedy"].as_str()) {
        (Some(problem), Some(remedy)) if !args.json => format!("{problem}; {remedy}"),
        _ => pretty(body),
    };
    Err(Failure(REFUSED, text))
}

/// A fault of the configuration, with its place in the operator's file.
fn fault(what: &Call, body: &Value) -> Option<String> {
    let error: conf::ConfError = serde_json::from_value(body["fault"].clone()).ok()?;
    let error = match &what.file {
        Some(file) => conf::locate_error(error, file, &String::from_utf8_lossy(&what.body)),
        None => error,
    };
    Some(error.to_string())
}

fn read(file: &str) -> Result<(String, conf::source::Source), Failure> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| Failure(USAGE, format!("pomeloctl: {file}: {e}; name a readable file")))?;
    let source = conf::source::parse(file, &text).map_err(|e| Failure(REFUSED, e.to_string()))?;
    Ok((text, source))
}

fn check(file: &str, json: bool) -> Result<u8, Failure> {
    let (text, source) = read(file)?;
    let snapshot = conf::compile(&source, 1).map_err(|e| {
        let e = conf::locate_error(e, file, &text);
        Failure(REFUSED, if json { pretty(&json!(e)) } else { e.to_string() })
    })?;
    let (customers, routes) = (snapshot.customers.len(), snapshot.routes().count());
    if json {
        println!("{}", pretty(&json!({ "valid": true, "customers": customers, "routes": routes })));
    } else {
        println!("{file} is valid: {customers} customers, {routes} routes");
    }
    Ok(0)
}

async fn show_diff(args: &Args, file: &str) -> Result<u8, Failure> {
    let (_, wanted) = read(file)?;
    let answer = ask(args, &Call::get("/v1/config", View::Fields)).await?;
    let text = answer.body["toml"].as_str().unwrap_or("");
    let present =
        conf::source::parse("configuration in force", text).map_err(|e| Failure(REFUSED, e.to_string()))?;
    let lines = diff(&present, &wanted);
    if args.json {
        println!("{}", pretty(&json!({ "version": answer.body["version"], "differences": lines })));
    } else {
        println!("compared with version {}", answer.body["version"]);
        for line in &lines {
            println!("{line}");
        }
    }
    Ok(if lines.is_empty() { 0 } else { DIFFERENT })
}

async fn change(args: &Args, what: &Call, wait_s: u64) -> Result<u8, Failure> {
    let mut answer = ask(args, what).await?.body;
    let version = answer["version"].as_u64().unwrap_or(0);
    if !args.json {
        println!("accepted as version {version}");
    }
    let accepted_at = Instant::now();
    let (members, stragglers) = wait(api(args)?, version, wait_s).await;
    let elapsed_ms = accepted_at.elapsed().as_millis() as u64;
    let late: Vec<String> = stragglers
        .iter()
        .map(|(api, known)| {
            format!("{api} ({})", known.map_or("no answer".into(), |v| format!("version {v}")))
        })
        .collect();
    if args.json {
        answer["members"] = json!(members);
        answer["stragglers"] = json!(late);
        answer["elapsed_ms"] = json!(elapsed_ms);
        println!("{}", pretty(&answer));
    } else if late.is_empty() {
        println!("in force at all {members} members after {elapsed_ms} ms");
    } else {
        println!("not in force at {} of {members} members after {wait_s} s:", late.len());
        for line in &late {
            println!("  {line}");
        }
    }
    Ok(if late.is_empty() { 0 } else { NOT_IN_FORCE })
}

fn show(json: bool, view: View, body: &Value) {
    let text = match view {
        _ if json => pretty(body),
        View::Fields => fields(body, 0),
        View::Table(name, columns) => table(rows(body, name), columns),
    };
    println!("{text}");
}

fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
