//! Another writer sends one heartbeat in a server's name, with fields missing and with another service.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{self, Fleet, Server};
use crate::http;

/// `Deadline-Ms` of the requests.
const DEADLINE: Duration = Duration::from_secs(8);
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(150);
/// Requests of each client.
const REQUESTS: usize = 60;
/// Clients, half of them for each service.
const CLIENTS: usize = 8;

pub fn run(dir: &Path, trouble: bool) -> ! {
    let routes =
        [("pufi791", "non_idempotent", "huvo11a", 8_000), ("zizi451", "non_idempotent", "wuno96b", 8_000)];
    let config = fleet::config(&routes, &["huvo11a", "wuno96b"]);
    let machines = [("paraiso", "huvo11a"), ("paraiso", "huvo11a"), ("paraiso", "wuno96b")];
    let fleet = Fleet::start(dir, &machines, &config);
    let record = Arc::clone(&fleet.record);
    let behaviour = fleet::sound(WORK);
    let servers: Vec<_> = fleet
        .machines
        .iter()
        .enumerate()
        .map(|(n, machine)| {
            Server::start(&format!("i-{}-{n}", machine.service), machine, &record, &behaviour)
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if trouble {
        let status = servers[0].send_heartbeat(&servers[0].odd_heartbeat("wuno96b"));
        record.line(&format!("the odd heartbeat of server {}: answer {status}", servers[0].id));
    }
    thread::sleep(Duration::from_secs(2));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, to) = (Arc::clone(&record), fleet.machines[0].outbound());
            thread::spawn(move || {
                let prefix = routes[client % routes.len()].0;
                for n in 0..REQUESTS {
                    let id = format!("{prefix}-{client}-{n}");
                    let request = fleet::request("POST", &format!("/{prefix}/order"), &id, DEADLINE, b"one");
                    let status = http::call(to, &request, DEADLINE).map_or(0, |response| response.status());
                    record.line(&format!("client gets {status} for {id}"));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let mut wrong = 0;
    for (server, machine) in servers.iter().zip(&fleet.machines) {
        let own = routes.iter().find(|route| route.2 == machine.service).map_or("", |route| route.0);
        wrong += server.runs().iter().filter(|run| !run.target.starts_with(&format!("/{own}/"))).count();
    }
    fleet.finish(
        wrong > 0,
        &format!("{wrong} requests were run by a server of another service than their route's"),
    );
}
