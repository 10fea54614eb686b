//! Waits until all members of the fleet have a version of the configuration in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::Value;

use crate::client::call_api;

/// Pause between two rounds of status requests to the members.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// API addresses of members that don't have the awaited version in force, with the last version that each
/// reported (`None` if it did not answer).
pub type Stragglers = BTreeMap<SocketAddr, Option<u64>>;

/// Polls every member until all have `version` in force or `wait_s` seconds have passed; returns the number
/// of members and the stragglers among them.
pub async fn wait_until_in_force(api: SocketAddr, version: u64, wait_s: u64) -> (usize, Stragglers) {
    let deadline = Instant::now() + Duration::from_secs(wait_s);
    let members = live_members(api).await;
    let mut stragglers: Stragglers = members.iter().map(|m| (*m, None)).collect();
    loop {
        for (member, known) in &mut stragglers {
            *known = version_in_force(*member).await.or(*known);
        }
        stragglers.retain(|_, known| known.is_none_or(|v| v < version));
        if stragglers.is_empty() || Instant::now() >= deadline {
            return (members.len(), stragglers);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// API addresses of the daemon at `api` and of the members that it believes to be alive or suspect.
async fn live_members(api: SocketAddr) -> Vec<SocketAddr> {
    let body =
        call_api(api, Method::GET, "/v1/members", Vec::new()).await.map(|a| a.body).unwrap_or_default();
    let mut addrs: Vec<SocketAddr> = answer_rows(&body, "members")
        .iter()
        .filter(|m| is_alive(m))
        .filter_map(|m| m["api"].as_str()?.parse().ok())
        .collect();
    addrs.push(api);
    addrs.sort_unstable();
    addrs.dedup();
    addrs
}

fn is_alive(member: &Value) -> bool {
    member["state"].as_str().is_none_or(|s| matches!(s.to_ascii_lowercase().as_str(), "alive" | "suspect"))
}

async fn version_in_force(member: SocketAddr) -> Option<u64> {
    call_api(member, Method::GET, "/v1/status", Vec::new()).await.ok()?.body["version"].as_u64()
}

/// The rows of an answer: the list in its field `name`, or the answer itself if it is a list.
pub fn answer_rows<'a>(body: &'a Value, name: &str) -> &'a [Value] {
    body[name].as_array().or_else(|| body.as_array()).map_or(&[], Vec::as_slice)
}
