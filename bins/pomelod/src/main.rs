//! `pomelod`: the proxy daemon that runs on each instance. All daemons of a fleet are equal; no separate
//! process does the work of the control plane.

mod api;
mod control;
mod peer;
mod settings;
mod start;
mod start_error;

// These crates register their areas with the kernel as plug-ins when they are linked.
use health as _;
use limit as _;
use member as _;
use sync as _;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> std::process::ExitCode {
    let settings = match settings::read_settings() {
        Ok(settings::Action::Run(settings)) => settings,
        Ok(settings::Action::Print(text)) => {
            println!("{text}");
            return std::process::ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("pomelod: {e}");
            return std::process::ExitCode::from(2);
        }
    };
    env_logger::Builder::new().parse_filters(&settings.log).init();
    match start::run_daemon(&settings) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pomelod: {e}");
            std::process::ExitCode::FAILURE
        }
    }
}
