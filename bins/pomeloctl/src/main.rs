//! `pomeloctl`: operator command line. Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no daemon answers.

mod client;
mod command;

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    let command = match command::parse() {
        Ok(command) => command,
        Err(e) => {
            eprintln!("pomeloctl: {e}");
            return ExitCode::from(2);
        }
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime starts");
    runtime.block_on(command::run(&command))
}
