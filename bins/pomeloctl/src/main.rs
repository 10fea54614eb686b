//! `pomeloctl`: operator command line. Its help lists the exit codes.

mod args;
#[cfg(test)]
mod args_tests;
mod client;
mod command;
mod diff;
mod propagation;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    let args = match args::parse_args(pico_args::Arguments::from_env()) {
        Ok(args) => args,
        Err(e) => {
            eprintln!("pomeloctl: {e}");
            return ExitCode::from(command::EXIT_USAGE);
        }
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime starts");
    runtime.block_on(command::run_command(&args))
}
