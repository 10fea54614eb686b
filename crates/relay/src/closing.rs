//! Closes callers' connections without losing answers that are still being sent.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::event;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::connection_limit::{OpenConnection, Phase};
use crate::delivery::Delivery;
use crate::pipeline::Pipeline;
use crate::shared_stream::SharedStream;

/// Interval of checks whether a connection that should be closed is idle.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of checks whether a caller with pipelined requests has left.
const LEFT_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the last byte of an answer for which a stopping daemon waits for the caller to close the
/// connection.
const LINGER_WAIT: Duration = Duration::from_millis(500);
/// Longest time for which a half-closed connection is read.
const MAX_LINGER: Duration = Duration::from_secs(5);
/// Time after which written bytes of an answer are assumed to have reached the caller.
const DELIVERY_TIME: Duration = Duration::from_secs(1);
/// Bytes that are discarded before a caller that keeps sending gets its connection reset.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Size of the buffer into which bytes to be discarded are read.
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;

/// Waits until `closing` is cancelled, every request is answered and every answer is sent.
///
/// At least one interval passes, so that a request which is already in the socket's buffer is read and
/// served.
pub async fn wait_until_closable(closing: &CancellationToken, pipeline: &Pipeline, delivery: &Delivery) {
    closing.cancelled().await;
    loop {
        sleep(CLOSE_POLL_INTERVAL).await;
        if pipeline.is_idle() && delivery.is_sent() {
            return;
        }
    }
}

/// Waits until the caller has left while requests that it pipelined have been started early, which hyper does
/// not notice.
pub async fn wait_until_left(socket: &SharedStream, pipeline: &Pipeline) {
    loop {
        pipeline.wait_until_started().await;
        sleep(LEFT_POLL_INTERVAL).await;
        if pipeline.has_started() && socket.is_closed_by_peer() {
            return;
        }
    }
}

/// Half-closes a connection and discards what its caller still sends, if part of an answer may not have
/// arrived yet.
///
/// The kernel resets a connection that is closed with unread bytes, and the caller then loses the part of its
/// answer that it has not read. So the connection is read until the caller closes it, at most for
/// `MAX_LINGER`. This function returns earlier, at the latest `LINGER_WAIT` after the last byte of the answer
/// was written. If no answer can be lost, nothing is read: a caller whose request crosses the close then sees
/// a reset, and may send the request again.
pub(crate) async fn close_lingering(mut stream: SharedStream, delivery: &Delivery, open: Rc<OpenConnection>) {
    let now = Instant::now();
    open.set_phase(Phase::Waiting, now);
    let Some(written_at) = delivery.last_written_at().filter(|at| now < *at + DELIVERY_TIME) else { return };
    if let Err(e) = stream.shutdown().await {
        log::debug!("caller's connection failed while it was being closed: {e}");
        return;
    }
    let reading = spawn_local(async move {
        tokio::select! {
            () = discard_input(stream, now + MAX_LINGER) => {}
            _shortage = open.evicted() => {}
        }
    });
    if let Ok(Err(e)) = timeout_at((written_at + LINGER_WAIT).into(), reading).await {
        log::error!("task that reads a half-closed connection failed: {e}");
    }
}

async fn discard_input(mut stream: SharedStream, until: Instant) {
    let mut discarded = 0;
    let mut buf = [0; DISCARD_BUFFER_BYTES];
    while let Ok(read) = timeout_at(until.into(), stream.read(&mut buf)).await {
        match read {
            Ok(0) => break,
            Ok(len) => discarded += len,
            Err(e) => {
                log::debug!("caller's connection failed while it was being closed: {e}");
                break;
            }
        }
        if discarded > MAX_DISCARDED_BYTES {
            break;
        }
    }
    if discarded > 0 {
        event!(Info, BytesDiscarded, "bytes={discarded}");
    }
}
