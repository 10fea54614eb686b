//! Settings from flags and environment variables, all checked before the daemon starts.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use pico_args::Arguments;
use wire::FleetSecret;

const HELP: &str = "\
pomelod: proxy daemon of a pomelopath fleet

Usage: pomelod [FLAGS]

Each flag may be given as an environment variable, e.g. POMELO_STORE for --store. Flags go first.

  --listen ADDR        address for callers                      [default: 127.0.0.1:0]
  --api ADDR           address of the operator API              [default: 127.0.0.1:0]
  --peer-listen ADDR   address for other daemons, UDP and TCP   [default: 127.0.0.1:0]
  --store ADDR         address of the platform's store          (required)
  --region NAME        region of this instance                  (required)
  --data-centre NAME   data centre of this instance             (required)
  --peer ADDR          peer address of another daemon, used while the store is down; repeatable
  --threads N          threads for traffic, 1 to 64             [default: 2]
  --log FILTER         log filter of env_logger, e.g. info      [default: warn]
  --check              check the settings and exit
  --help, --version    print and exit

POMELO_FLEET_SECRET holds the secret shared by the fleet, at least 16 bytes. There is no flag for it,
because the arguments of a process are visible to others.";

/// Checked settings of the daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of the operator API.
    pub api: SocketAddr,
    /// Address for other daemons.
    pub peer_listen: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Region of this instance.
    pub region: Box<str>,
    /// Data centre of this instance.
    pub data_centre: Box<str>,
    /// Peer addresses by which to join the fleet while the store does not answer.
    pub peers: Vec<SocketAddr>,
    /// Number of traffic threads, 1 to 64.
    pub threads: usize,
    /// Log filter in the syntax of `env_logger`.
    pub log: Box<str>,
    /// Authenticates messages between daemons.
    pub secret: FleetSecret,
    /// Hashes callers' keys; seeded with the fleet secret.
    pub hasher: conf::KeyHasher,
}

/// What the command line asks for.
#[derive(Debug)]
pub enum Action {
    /// Run the daemon.
    Run(Box<Settings>),
    /// Print this text and exit with success.
    Print(Box<str>),
}

/// A setting that is missing or invalid.
#[derive(Debug, Display, Error)]
#[display("{flag}: {problem}; {remedy}")]
pub struct SettingError {
    flag: Box<str>,
    problem: Box<str>,
    remedy: Box<str>,
}

fn setting_error(flag: &str, problem: impl Into<Box<str>>, remedy: &str) -> SettingError {
    SettingError { flag: flag.into(), problem: problem.into(), remedy: remedy.into() }
}

/// Reads flags and environment variables.
///
/// # Errors
/// Fails on the first setting that is missing or invalid; the error names the setting and the remedy.
pub fn read_settings() -> Result<Action, SettingError> {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        return Ok(Action::Print(HELP.into()));
    }
    if args.contains("--version") {
        return Ok(Action::Print(concat!("pomelod ", env!("CARGO_PKG_VERSION")).into()));
    }
    let check = args.contains("--check");
    let settings = parse_settings(&mut args)?;
    if let Some(extra) = args.finish().first() {
        return Err(setting_error(&extra.to_string_lossy(), "unknown argument", "see pomelod --help"));
    }
    if check {
        return Ok(Action::Print("settings are valid".into()));
    }
    Ok(Action::Run(Box::new(settings)))
}

fn parse_settings(args: &mut Arguments) -> Result<Settings, SettingError> {
    let local = "127.0.0.1:0";
    let secret = std::env::var("POMELO_FLEET_SECRET").unwrap_or_default();
    let fleet_secret = FleetSecret::new(secret.as_bytes()).map_err(|e| {
        setting_error("POMELO_FLEET_SECRET", e.to_string(), "give all daemons the same secret")
    })?;
    let settings = Settings {
        listen: addr_setting(args, "--listen", Some(local))?,
        api: advertised_addr(args, "--api", local)?,
        peer_listen: advertised_addr(args, "--peer-listen", local)?,
        store: addr_setting(args, "--store", None)?,
        region: text_setting(args, "--region", None)?,
        data_centre: text_setting(args, "--data-centre", None)?,
        peers: peers_setting(args)?,
        threads: threads_setting(args)?,
        log: text_setting(args, "--log", Some("warn"))?,
        secret: fleet_secret,
        hasher: conf::KeyHasher::new(secret.as_bytes()),
    };
    Ok(settings)
}

/// Value of a flag, else of its environment variable, else the default.
fn text_setting(
    args: &mut Arguments,
    flag: &'static str,
    default: Option<&str>,
) -> Result<Box<str>, SettingError> {
    let value = args
        .opt_value_from_str::<_, String>(flag)
        .map_err(|e| setting_error(flag, e.to_string(), "give one value"))?
        .or_else(|| std::env::var(env_variable(flag)).ok())
        .or_else(|| default.map(String::from));
    let value =
        value.ok_or_else(|| setting_error(flag, "missing", "give the flag or its environment variable"))?;
    if value.is_empty() {
        return Err(setting_error(flag, "empty", "give a value"));
    }
    Ok(value.into())
}

fn env_variable(flag: &str) -> String {
    format!("POMELO_{}", flag.trim_start_matches('-').replace('-', "_").to_uppercase())
}

fn addr_setting(
    args: &mut Arguments,
    flag: &'static str,
    default: Option<&str>,
) -> Result<SocketAddr, SettingError> {
    let text = text_setting(args, flag, default)?;
    parse_addr(flag, &text)
}

/// An address that this daemon advertises to other daemons, and which therefore must be reachable for them.
fn advertised_addr(
    args: &mut Arguments,
    flag: &'static str,
    default: &str,
) -> Result<SocketAddr, SettingError> {
    let addr = addr_setting(args, flag, Some(default))?;
    if addr.ip().is_unspecified() || addr.ip().is_multicast() {
        let remedy = "give the instance's own IP address, because other daemons connect to it";
        return Err(setting_error(flag, format!("{addr} can't be reached by other daemons"), remedy));
    }
    Ok(addr)
}

fn parse_addr(flag: &str, text: &str) -> Result<SocketAddr, SettingError> {
    let remedy = "give an IP address and port such as 127.0.0.1:8080";
    text.parse().map_err(|e| setting_error(flag, format!("{text:?}: {e}"), remedy))
}

fn peers_setting(args: &mut Arguments) -> Result<Vec<SocketAddr>, SettingError> {
    let flag = "--peer";
    let value: Vec<String> = args
        .values_from_str(flag)
        .map_err(|e| setting_error(flag, e.to_string(), "give an address after each flag"))?;
    let from_env = std::env::var(env_variable(flag)).unwrap_or_default();
    let from_env = from_env.split(',').filter(|s| !s.is_empty()).map(String::from);
    value.into_iter().chain(from_env).map(|s| parse_addr(flag, &s)).collect()
}

fn threads_setting(args: &mut Arguments) -> Result<usize, SettingError> {
    let flag = "--threads";
    let text = text_setting(args, flag, Some("2"))?;
    match text.parse() {
        Ok(n @ 1..=64) => Ok(n),
        _ => Err(setting_error(
            flag,
            format!("{text:?} is not a number from 1 to 64"),
            "give a number of threads",
        )),
    }
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod settings_tests;
