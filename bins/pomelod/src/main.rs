//! `pomelod`: the daemon in an instance's slot. One kind of process; none is set aside for control.

mod api;
mod control;
mod fatal;
mod peer;
mod settings;
mod start;

// Linked for their registration with the kernel.
use health as _;
use limit as _;
use member as _;
use sync as _;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> std::process::ExitCode {
    let settings = match settings::read() {
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
    match start::run(&settings) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pomelod: {e}");
            std::process::ExitCode::FAILURE
        }
    }
}
