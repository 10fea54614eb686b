use std::sync::Arc;
use std::time::{Duration, Instant};

use base::Place;
use conf::KeyHasher;
use kernel::{TokenPools, View};
use prometheus::Registry;
use rstest::rstest;
use store::HttpStore;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::serve_connection;
use crate::metrics::Metrics;
use crate::state::EdgeState;

/// Refused because of the `..` in its path, before any configuration is needed.
const REQUEST: &[u8] = b"GET /a/../b HTTP/1.1\r\nHost: a\r\n\r\n";

fn edge_state() -> Arc<EdgeState> {
    let pools = Arc::new(TokenPools::new(Instant::now()));
    let (reports, _rx) = mpsc::channel(1);
    let view = View::empty(Place::new("meseta", "barva"));
    let unreachable_store = HttpStore::new(([127, 0, 0, 1], 1).into(), "test", Duration::from_secs(1));
    let metrics = Metrics::new(&Registry::new());
    Arc::new(EdgeState::new(view, pools, reports, KeyHasher::new(b""), metrics, Arc::new(unreachable_store)))
}

#[rstest]
#[tokio::test]
async fn a_connection_opened_just_before_the_stop_is_not_closed_before_its_first_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let closing = CancellationToken::new();
    closing.cancel();
    let serving = tokio::spawn(serve_connection(edge_state(), stream, closing));
    tokio::task::yield_now().await;

    caller.write_all(REQUEST).await.unwrap();
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).await.unwrap();

    assert!(answer.starts_with(b"HTTP/1.1 400"), "{}", String::from_utf8_lossy(&answer));
    serving.await.unwrap();
}
