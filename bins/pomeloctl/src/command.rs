//! Executes commands by calling a daemon's operator API.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Instant;

use serde_json::{Value, json};

use crate::args::{ApiCall, Args, Command, HELP, View};
use crate::client::{Answer, call_api};
use crate::diff::diff_entries;
use crate::propagation::{answer_rows, wait_until_in_force};
use crate::table::{format_fields, format_table};

/// Exit code if the daemon or the local validation refused the command.
const EXIT_REFUSED: u8 = 1;
/// Exit code on wrong usage.
pub const EXIT_USAGE: u8 = 2;
/// Exit code if no daemon answers.
const EXIT_NO_DAEMON: u8 = 3;
/// Exit code if `diff` found differences.
const EXIT_DIFFERENT: u8 = 4;
/// Exit code if a change was accepted but is not in force at all members within the wait.
const EXIT_NOT_IN_FORCE: u8 = 5;

/// Why a command failed: exit code and text for standard error.
struct Failure(u8, String);

/// Executes a command and prints its result.
pub async fn run_command(args: &Args) -> ExitCode {
    match execute_command(args).await {
        Ok(code) => ExitCode::from(code),
        Err(Failure(code, text)) => {
            eprintln!("{text}");
            ExitCode::from(code)
        }
    }
}

async fn execute_command(args: &Args) -> Result<u8, Failure> {
    match &args.command {
        Command::Help => {
            println!("{HELP}");
            Ok(0)
        }
        Command::Check(file) => check_file(file, args.json),
        Command::Diff(file) => print_diff(args, file).await,
        Command::Change { call, wait_s } => apply_change(args, call, *wait_s).await,
        Command::Call(call) => {
            let answer = call_daemon(args, call).await?;
            print_answer(args.json, call.view, &answer.body);
            Ok(0)
        }
    }
}

/// API address of the daemon to call.
fn api_addr(args: &Args) -> Result<SocketAddr, Failure> {
    let problem = "pomeloctl: no daemon named; give --api or POMELOCTL_API, see pomeloctl --help";
    args.api.ok_or_else(|| Failure(EXIT_USAGE, problem.into()))
}

/// Calls the daemon; a refusal becomes a failure whose text names the remedy.
async fn call_daemon(args: &Args, call: &ApiCall) -> Result<Answer, Failure> {
    let answer = call_api(api_addr(args)?, call.method.clone(), &call.path, call.body.clone())
        .await
        .map_err(|e| Failure(EXIT_NO_DAEMON, format!("pomeloctl: {e}")))?;
    if answer.status < 300 {
        return Ok(answer);
    }
    let body = &answer.body;
    if let Some(text) = config_error(call, body).filter(|_| !args.json) {
        return Err(Failure(EXIT_REFUSED, text));
    }
    let text = match (body["problem"].as_str(), body["remedy"].as_str()) {
        (Some(problem), Some(remedy)) if !args.json => format!("{problem}; {remedy}"),
        _ => pretty_json(body),
    };
    Err(Failure(EXIT_REFUSED, text))
}

/// The error in the configuration for which the daemon refused the call, with its position in the operator's
/// file.
fn config_error(call: &ApiCall, body: &Value) -> Option<String> {
    let error: conf::ConfError = serde_json::from_value(body["fault"].clone()).ok()?;
    let error = match &call.file {
        Some(file) => conf::locate_error(error, file, &String::from_utf8_lossy(&call.body)),
        None => error,
    };
    Some(error.to_string())
}

fn read_config(file: &str) -> Result<(String, conf::source::Source), Failure> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| Failure(EXIT_USAGE, format!("pomeloctl: {file}: {e}; name a readable file")))?;
    let source = conf::source::parse(file, &text).map_err(|e| Failure(EXIT_REFUSED, e.to_string()))?;
    Ok((text, source))
}

fn check_file(file: &str, json: bool) -> Result<u8, Failure> {
    let (text, source) = read_config(file)?;
    let snapshot = conf::compile(&source, 1).map_err(|e| {
        let e = conf::locate_error(e, file, &text);
        Failure(EXIT_REFUSED, if json { pretty_json(&json!(e)) } else { e.to_string() })
    })?;
    let (customers, routes) = (snapshot.customers.len(), snapshot.routes().count());
    if json {
        println!("{}", pretty_json(&json!({ "valid": true, "customers": customers, "routes": routes })));
    } else {
        println!("{file} is valid: {customers} customers, {routes} routes");
    }
    Ok(0)
}

async fn print_diff(args: &Args, file: &str) -> Result<u8, Failure> {
    let (_, wanted) = read_config(file)?;
    let answer = call_daemon(args, &ApiCall::get("/v1/config", View::Fields)).await?;
    let text = answer.body["toml"].as_str().unwrap_or("");
    let current = conf::source::parse("configuration in force", text)
        .map_err(|e| Failure(EXIT_REFUSED, e.to_string()))?;
    let lines = diff_entries(&current, &wanted);
    if args.json {
        println!("{}", pretty_json(&json!({ "version": answer.body["version"], "differences": lines })));
    } else {
        println!("compared with version {}", answer.body["version"]);
        for line in &lines {
            println!("{line}");
        }
    }
    Ok(if lines.is_empty() { 0 } else { EXIT_DIFFERENT })
}

/// Makes a change, waits until the members have it in force, and prints how long that took.
async fn apply_change(args: &Args, call: &ApiCall, wait_s: u64) -> Result<u8, Failure> {
    let mut answer = call_daemon(args, call).await?.body;
    let version = answer["version"].as_u64().unwrap_or(0);
    if !args.json {
        println!("accepted as version {version}");
    }
    let accepted_at = Instant::now();
    let (members, stragglers) = wait_until_in_force(api_addr(args)?, version, wait_s).await;
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
        println!("{}", pretty_json(&answer));
    } else if late.is_empty() {
        println!("in force at all {members} members after {elapsed_ms} ms");
    } else {
        println!("not in force at {} of {members} members after {wait_s} s:", late.len());
        for line in &late {
            println!("  {line}");
        }
    }
    Ok(if late.is_empty() { 0 } else { EXIT_NOT_IN_FORCE })
}

fn print_answer(json: bool, view: View, body: &Value) {
    let text = match view {
        _ if json => pretty_json(body),
        View::Fields => format_fields(body, 0),
        View::Table(name, columns) => format_table(answer_rows(body, name), columns),
    };
    println!("{text}");
}

fn pretty_json(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
