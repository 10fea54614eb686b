//! Stand-ins and cases of the third review. `stand NAME FOLDER` runs one case and writes its record to the folder.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod crowd;
mod fleet;
mod heads;
mod leave;
mod load;
mod http;
mod json;
mod paused;
mod restored;
mod room;
mod server;
mod store;

use std::path::Path;
use std::process::ExitCode;

/// What a case saw.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, dir] = &args[..] else {
        eprintln!("usage: stand NAME FOLDER");
        return ExitCode::from(2);
    };
    let dir = Path::new(dir);
    let result = match name.as_str() {
        "unread" => crowd::unread(dir),
        "room" => room::room(dir),
        "leave" => leave::leave(dir),
        "forgot" => leave::forgot(dir),
        "restored" => restored::restored(dir),
        "paused" => paused::paused(dir),
        "taken-back" => leave::taken_back(dir),
        "streamed" => paused::streamed(dir),
        "heads" => heads::heads(dir),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}
