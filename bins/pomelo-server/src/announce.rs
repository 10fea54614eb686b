//! Announces the server to a daemon and renews the announcement as a heartbeat.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::json;

use crate::serve::State;
use crate::settings::Settings;

/// Pause between announcements, and timeout of each.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Announces until the process ends; uses the next daemon once one does not accept an announcement.
pub async fn keep_announcing(settings: Settings, addr: SocketAddr, state: Arc<State>) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let mut next = 0;
    while !settings.daemons.is_empty() {
        let daemon = settings.daemons[next % settings.daemons.len()];
        let draining = state.is_draining();
        let body = json!({
            "service": settings.service,
            "addr": addr,
            "place": { "region": settings.region, "data_centre": settings.data_centre },
            "slots": settings.slots,
            "connections": 400,
            "load": state.reported_load(),
            "state": if draining { "draining" } else if state.is_cold() { "starting" } else { "ready" },
        });
        let req = Request::builder()
            .method(Method::PUT)
            .uri(format!("http://{daemon}/v1/servers/{}", settings.id))
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("a valid request");
        let answer = tokio::time::timeout(ANNOUNCE_INTERVAL, client.request(req)).await;
        if !matches!(answer, Ok(Ok(rep)) if rep.status().is_success()) {
            next += 1;
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
