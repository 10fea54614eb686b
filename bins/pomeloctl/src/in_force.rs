//! Waits until members have a version in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::Value;

use crate::client::call;

/// Interval of the questions.
const INTERVAL: Duration = Duration::from_millis(50);

/// Members that don't have the version in force, with the version that they have.
pub type Stragglers = BTreeMap<SocketAddr, Option<u64>>;

/// Asks every member until all have `version` in force or the time is up.
pub async fn wait(api: SocketAddr, version: u64, wait_s: u64) -> (usize, Stragglers) {
    let deadline = Instant::now() + Duration::from_secs(wait_s);
    let members = members(api).await;
    let mut stragglers: Stragglers = members.iter().map(|m| (*m, None)).collect();
    loop {
        for (member, known) in &mut stragglers {
            *known = in_force(*member).await.or(*known);
        }
        stragglers.retain(|_, known| known.is_none_or(|v| v < version));
        if stragglers.is_empty() || Instant::now() >= deadline {
            return (members.len(), stragglers);
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// API addresses of the members believed to work; the asked daemon alone when it names none.
async fn members(api: SocketAddr) -> Vec<SocketAddr> {
    let body = call(api, Method::GET, "/v1/members", Vec::new()).await.map(|a| a.body).unwrap_or_default();
    let mut found: Vec<SocketAddr> = rows(&body, "members")
        .iter()
        .filter(|m| is_alive(m))
        .filter_map(|m| m["api"].as_str()?.parse().ok())
        .collect();
    found.push(api);
    found.sort_unstable();
    found.dedup();
    found
}

fn is_alive(member: &Value) -> bool {
    member["state"].as_str().is_none_or(|s| matches!(s.to_ascii_lowercase().as_str(), "alive" | "suspect"))
}

async fn in_force(member: SocketAddr) -> Option<u64> {
    call(member, Method::GET, "/v1/status", Vec::new()).await.ok()?.body["version"].as_u64()
}

/// The objects of an answer: the list under `name`, or the answer itself when it is a list.
pub fn rows<'a>(body: &'a Value, name: &str) -> &'a [Value] {
    body[name].as_array().or_else(|| body.as_array()).map_or(&[], Vec::as_slice)
}
