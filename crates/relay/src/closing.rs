//! Closes callers' connections so that nothing that was accepted is lost.

use std::time::{Duration, Instant};

use base::event;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::delivery::Delivery;
use crate::pipeline::Pipeline;

/// Interval at which a connection that shall be closed is looked at.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the last byte of an answer for which a stop waits for the caller to close.
const LINGER_WAIT: Duration = Duration::from_millis(500);
/// Longest time for which a connection is read after its end was sent.
const MAX_LINGER: Duration = Duration::from_secs(5);
/// Time after which the bytes of an answer count as arrived.
const DELIVERY_TIME: Duration = Duration::from_secs(1);
/// Bytes that are discarded before a caller that doesn't stop sending is reset.
const MAX_DISCARDED: usize = 1024 * 1024;
/// Bytes read at once from a closed connection.
const DISCARD_CHUNK_BYTES: usize = 4 * 1024;

/// Waits until the connection shall be closed, no request is unanswered and no answer is unsent.
///
/// At least one interval passes, so that a request which lies in the socket is read before.
pub async fn wait_until_closable(closing: &CancellationToken, pipeline: &Pipeline, delivery: &Delivery) {
    closing.cancelled().await;
    loop {
        sleep(CLOSE_POLL_INTERVAL).await;
        if pipeline.is_idle() && delivery.is_sent() {
            return;
        }
    }
}

/// Ends a connection and discards what its caller still sends, if an answer may still be on its way.
///
/// The system resets a connection that is closed with unread bytes, and the caller then loses what it has not read of
/// its answer. So the connection is read on until the caller closes it; only the first part of that time is waited for.
/// Where no answer can be lost nothing is read, so that the caller of a crossing request may send it again.
pub async fn close_lingering(mut stream: TcpStream, delivery: &Delivery) {
    let now = Instant::now();
    let Some(written) = delivery.last_written().filter(|at| now < *at + DELIVERY_TIME) else { return };
    if let Err(e) = stream.shutdown().await {
        log::debug!("connection of a caller broke while it was closed: {e}");
        return;
    }
    let reading = spawn_local(discard(stream, now + MAX_LINGER));
    if let Ok(Err(e)) = timeout_at((written + LINGER_WAIT).into(), reading).await {
        log::error!("reading a closed connection ended: {e}");
    }
}

async fn discard(mut stream: TcpStream, until: Instant) {
    let mut discarded = 0;
    let mut buf = [0; DISCARD_CHUNK_BYTES];
    while let Ok(read) = timeout_at(until.into(), stream.read(&mut buf)).await {
        match read {
            Ok(0) => break,
            Ok(len) => discarded += len,
            Err(e) => {
                log::debug!("connection of a caller broke while it was closed: {e}");
                break;
            }
        }
        if discarded > MAX_DISCARDED {
            break;
        }
    }
    if discarded > 0 {
        event!(Info, BytesDiscarded, "bytes={discarded}");
    }
}
