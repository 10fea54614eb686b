//! A large answer that is streamed to the caller. If it ends early, its body fails, which breaks the caller's
//! connection, so that the caller can't take the answer for complete.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use kernel::OutcomeKind;

use crate::body::StreamedBody;
use crate::job::Attempt;
use crate::refuse::BodyError;
use crate::upstream::Conn;

/// Body that relays the frames of a server's answer and finishes the attempt when the answer ends.
#[derive(Debug)]
pub struct RelayedAnswer {
    body: StreamedBody,
    attempt: Attempt,
    /// Returned to the pool when the answer is complete, closed otherwise.
    conn: Option<Conn>,
    kind: OutcomeKind,
}

impl RelayedAnswer {
    /// Makes the body; `kind` is the outcome of the attempt if the answer arrives completely.
    pub fn new(body: StreamedBody, attempt: Attempt, conn: Conn, kind: OutcomeKind) -> Self {
        Self { body, attempt, conn: Some(conn), kind }
    }

    fn finish_complete(&mut self) {
        self.attempt.finish(self.kind, self.body.forwarded_bytes());
        if let Some(conn) = self.conn.take() {
            self.attempt.job().shared.connections.release(self.attempt.server().info.addr, conn);
        }
    }

    fn finish_truncated(&mut self) {
        self.attempt.job().shared.metrics.broken_streams.inc();
        self.attempt.finish(OutcomeKind::Truncated, self.body.forwarded_bytes());
        self.conn = None;
    }
}

impl Body for RelayedAnswer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Err(_))) => self.finish_truncated(),
            Poll::Ready(None) => self.finish_complete(),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.finish_complete(),
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
