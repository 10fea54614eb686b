//! `pomelo-server`: a fake backend server for tests and experiments, with a limited number of slots and gray
//! failures that can be injected at run time.

mod announce;
mod ledger;
mod mode;
mod serve;
mod settings;

use tokio::net::TcpListener;

fn main() -> std::process::ExitCode {
    env_logger::init();
    let settings = match settings::read_settings() {
        Ok(settings::Action::Run(settings)) => settings,
        Ok(settings::Action::Help) => {
            println!("{}", settings::HELP);
            return std::process::ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("pomelo-server: {e}");
            return std::process::ExitCode::from(2);
        }
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime starts");
    runtime.block_on(async {
        let listener = match TcpListener::bind(settings.listen).await {
            Ok(listener) => listener,
            Err(e) => {
                eprintln!("pomelo-server: --listen {}: {e}; choose a free local address", settings.listen);
                return std::process::ExitCode::FAILURE;
            }
        };
        let addr = listener.local_addr().expect("a bound socket has an address");
        println!("ready listen={addr}");
        let state = match serve::State::new(&settings) {
            Ok(state) => state,
            Err(e) => {
                eprintln!("pomelo-server: --ledger: {e}; name a file that can be appended to");
                return std::process::ExitCode::FAILURE;
            }
        };
        tokio::spawn(announce::keep_announcing(settings.clone(), addr, std::sync::Arc::clone(&state)));
        serve::serve_requests(listener, state).await;
        std::process::ExitCode::SUCCESS
    })
}
