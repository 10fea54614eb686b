//! Serves callers over HTTP/1.1 and HTTP/2.

use std::convert::Infallible;
use std::sync::Arc;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::proxy;
use crate::shared::Shared;

/// Accepts callers until `stop`, then finishes what was accepted.
pub async fn listen(listener: TcpListener, shared: Arc<Shared>, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
            () = stop.cancelled() => break,
        };
        let _ = stream.set_nodelay(true);
        let shared_ = Arc::clone(&shared);
        let service = service_fn(move |req| {
            let shared = Arc::clone(&shared_);
            async move { Ok::<_, Infallible>(proxy::serve(shared, req).await) }
        });
        let builder = auto::Builder::new(TokioExecutor::new());
        let conn = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let watched = graceful.watch(conn);
        shared.tracker.spawn(watched);
    }
    graceful.shutdown().await;
}
