//! `pomelo-store`: a fake of the platform's table service and object store for tests and experiments, with
//! injectable faults.

mod faults;
#[cfg(test)]
mod faults_tests;
mod serve;

use std::net::SocketAddr;

use tokio::net::TcpListener;

const HELP: &str = "\
pomelo-store: stand-in of the platform's table service and object store

Usage: pomelo-store [--listen ADDR]

  --listen ADDR   address to serve, also POMELO_LISTEN   [default: 127.0.0.1:0]

PUT /faults with a JSON object switches faults; see docs/OPERATING.md.";

fn main() -> std::process::ExitCode {
    env_logger::init();
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        println!("{HELP}");
        return std::process::ExitCode::SUCCESS;
    }
    let flag: Option<SocketAddr> = match args.opt_value_from_str("--listen") {
        Ok(flag) => flag,
        Err(e) => {
            eprintln!("pomelo-store: --listen: {e}; give an address such as 127.0.0.1:0");
            return std::process::ExitCode::from(2);
        }
    };
    let from_env = || std::env::var("POMELO_LISTEN").ok()?.parse().ok();
    let addr = flag.or_else(from_env).unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime starts");
    runtime.block_on(async {
        let listener = match TcpListener::bind(addr).await {
            Ok(listener) => listener,
            Err(e) => {
                eprintln!("pomelo-store: --listen {addr}: {e}; choose a free local address");
                return std::process::ExitCode::FAILURE;
            }
        };
        println!("ready listen={}", listener.local_addr().expect("a bound socket has an address"));
        serve::serve_store(listener).await;
        std::process::ExitCode::SUCCESS
    })
}
