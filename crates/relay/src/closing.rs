//! Closes callers' connections so that nothing that was accepted is lost.

use std::time::Duration;

use base::event;
use edge::framing::Shown;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::ahead::Ahead;
use crate::delivery::{Delivery, Followed};

/// Interval at which a connection that shall be closed is looked at.
const CLOSE_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for which a closed connection is still read, so that unread bytes don't reset it before the caller
/// has its answer.
const LINGER: Duration = Duration::from_millis(500);
/// Bytes read at once from a closed connection.
const DISCARD_BYTES: usize = 4 * 1024;

/// Waits until the connection shall be closed, no request is unanswered and no answer is unsent.
///
/// At least one interval passes, so that a request which lies in the socket is read before.
pub async fn may_close(closing: &CancellationToken, ahead: &Ahead, delivery: &Delivery) {
    closing.cancelled().await;
    loop {
        sleep(CLOSE_INTERVAL).await;
        if ahead.is_idle() && delivery.is_sent() {
            return;
        }
    }
}

/// Ends a connection and discards what its caller still sends.
pub async fn linger(mut stream: Followed<Shown>) {
    let mut discarded = 0;
    let work = async {
        stream.shutdown().await?;
        let mut buf = [0; DISCARD_BYTES];
        loop {
            match stream.read(&mut buf).await? {
                0 => return std::io::Result::Ok(()),
                len => discarded += len,
            }
        }
    };
    match tokio::time::timeout(LINGER, work).await {
        Ok(Ok(())) | Err(_) => {}
        Ok(Err(e)) => log::debug!("connection of a caller broke while it was closed: {e}"),
    }
    if discarded > 0 {
        event!(Info, BytesDiscarded, "bytes={discarded}");
    }
}
