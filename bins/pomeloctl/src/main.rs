//! `pomeloctl`: operator command line. Exit codes stand in its help.

mod args;
#[cfg(test)]
mod args_tests;
mod client;
mod command;
mod diff;
mod in_force;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    let args = match args::parse(pico_args::Arguments::from_env()) {
        Ok(args) => args,
        Err(e) => {
            eprintln!("pomeloctl: {e}");
            return ExitCode::from(command::USAGE);
        }
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime starts");
    runtime.block_on(command::run(&args))
}
