//! A large answer on its way to the caller. Ending short is an error, which breaks the caller's connection.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use kernel::OutcomeKind;

use crate::body::Streamed;
use crate::job::Try;
use crate::refuse::BodyError;
use crate::upstream::Conn;

/// Passes frames on and ends the try with the body.
#[derive(Debug)]
pub struct Relay {
    body: Streamed,
    run: Try,
    /// Taken when the answer is whole; otherwise closed with the relay.
    conn: Option<Conn>,
    kind: OutcomeKind,
}

impl Relay {
    /// Makes the body; `kind` is the outcome if it ends whole.
    pub fn new(body: Streamed, run: Try, conn: Conn, kind: OutcomeKind) -> Self {
        Self { body, run, conn: Some(conn), kind }
    }

    fn end_whole(&mut self) {
        self.run.finish(self.kind, self.body.passed());
        if let Some(conn) = self.conn.take() {
            self.run.job().shared.connections.give_back(self.run.server().info.addr, conn);
        }
    }

    fn end_short(&mut self) {
        self.run.job().shared.metrics.broken_streams.inc();
        self.run.finish(OutcomeKind::Truncated, self.body.passed());
        self.conn = None;
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Err(_))) => self.end_short(),
            Poll::Ready(None) => self.end_whole(),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.end_whole(),
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
