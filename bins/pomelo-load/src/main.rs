//! `pomelo-load`: open-loop load. Prints `key=value` lines.

mod plan;
mod run;

fn main() -> std::process::ExitCode {
    env_logger::init();
    let plan = match plan::read() {
        Ok(Some(plan)) => plan,
        Ok(None) => {
            println!("{}", plan::HELP);
            return std::process::ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("pomelo-load: {e}; see --help");
            return std::process::ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime starts").block_on(run::run(&plan));
    std::process::ExitCode::SUCCESS
}
