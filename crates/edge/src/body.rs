//! Request and answer bodies: small ones are buffered whole, large ones are streamed in constant memory.

use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Sleep;

use crate::refuse::BodyError;
use crate::upstream::RequestBody;

/// Largest request body that is buffered, so that it can be sent again.
pub const MAX_BUFFERED_REQUEST_BYTES: usize = 1024 * 1024;
/// Largest answer body that is buffered until it is complete.
pub const MAX_BUFFERED_ANSWER_BYTES: usize = 256 * 1024;
/// Longest time without data in the middle of a streamed body.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Body of a caller's request.
#[derive(Debug)]
pub enum CallerBody {
    /// Complete in memory; may be sent again.
    Buffered(Bytes),
    /// Streamed; may be sent once. `None` after that.
    Streamed(Mutex<Option<StreamedBody>>),
}

impl CallerBody {
    /// The body for one attempt; `None` if it is streamed and was already sent.
    pub fn for_attempt(&self) -> Option<RequestBody> {
        match self {
            Self::Buffered(bytes) => Some(body_from_bytes(bytes.clone())),
            Self::Streamed(body) => {
                let streamed = body.lock().unwrap_or_else(PoisonError::into_inner).take()?;
                Some(streamed.boxed())
            }
        }
    }

    /// Whether there is a body for one more attempt.
    pub fn is_available(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(body) => body.lock().unwrap_or_else(PoisonError::into_inner).is_some(),
        }
    }

    /// The bytes, if the body is buffered.
    pub fn buffered(&self) -> Option<&Bytes> {
        match self {
            Self::Buffered(bytes) => Some(bytes),
            Self::Streamed(_) => None,
        }
    }
}

/// Makes a body of `bytes`.
pub fn body_from_bytes(bytes: Bytes) -> RequestBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// What [`read_up_to`] read of a body.
#[derive(Debug)]
pub enum ReadResult {
    /// The whole body.
    Complete(Bytes),
    /// The beginning, which may be empty; the body is longer than the limit.
    Prefix(Bytes),
}

/// Reads until the body ends or more than `max` bytes arrived. Drops trailers.
///
/// # Errors
/// Fails when the body breaks off. What arrived stays in `buf` then, and also when the future is dropped.
pub async fn read_up_to(
    body: &mut Incoming,
    max: usize,
    buf: &mut BytesMut,
) -> Result<ReadResult, hyper::Error> {
    if body.size_hint().lower() > max as u64 {
        return Ok(ReadResult::Prefix(Bytes::new()));
    }
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if buf.is_empty() && body.is_end_stream() {
            return Ok(ReadResult::Complete(data));
        }
        buf.extend_from_slice(&data);
        if buf.len() > max {
            return Ok(ReadResult::Prefix(buf.split().freeze()));
        }
    }
    Ok(ReadResult::Complete(buf.split().freeze()))
}

/// Buffers a caller's body, or only its beginning if it exceeds [`MAX_BUFFERED_REQUEST_BYTES`].
///
/// # Errors
/// Fails when the body breaks off or is badly framed.
pub async fn buffer_request(mut body: Incoming) -> Result<CallerBody, hyper::Error> {
    let hint = body.size_hint();
    let mut buf = BytesMut::new();
    Ok(match read_up_to(&mut body, MAX_BUFFERED_REQUEST_BYTES, &mut buf).await? {
        ReadResult::Complete(bytes) => CallerBody::Buffered(bytes),
        ReadResult::Prefix(prefix) => {
            CallerBody::Streamed(Mutex::new(Some(StreamedBody::new(prefix, body, hint))))
        }
    })
}

/// A body whose beginning was read already and whose rest is passed on as it arrives, without trailers.
#[derive(Debug)]
pub struct StreamedBody {
    prefix: Option<Bytes>,
    rest: Incoming,
    /// Size of the whole body, as far as it is known.
    hint: SizeHint,
    /// Bytes passed on to the receiver so far.
    forwarded_bytes: u64,
    /// Runs while the next frame is awaited.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl StreamedBody {
    /// Makes the body of `prefix` and `rest`; `hint` is the size of both together.
    pub fn new(prefix: Bytes, rest: Incoming, hint: SizeHint) -> Self {
        let prefix = Some(prefix).filter(|f| !f.is_empty());
        Self { prefix, rest, hint, forwarded_bytes: 0, stall_timer: None }
    }

    /// Bytes passed on to the receiver so far.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes
    }

    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(frame) => {
                    self.stall_timer = None;
                    match frame {
                        Some(Ok(frame)) if !frame.is_data() => {}
                        other => return Poll::Ready(other.map(|f| f.map_err(BodyError::from))),
                    }
                }
                Poll::Pending => {
                    let sleep = || Box::pin(tokio::time::sleep(STREAM_STALL_TIMEOUT));
                    let stall_timer = self.stall_timer.get_or_insert_with(sleep);
                    return stall_timer
                        .as_mut()
                        .poll(cx)
                        .map(|()| Some(Err("the body stalled: no data within the stall timeout".into())));
                }
            }
        }
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = match self.prefix.take() {
            Some(prefix) => Poll::Ready(Some(Ok(Frame::data(prefix)))),
            None => self.poll_rest(cx),
        };
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            self.forwarded_bytes += frame.data_ref().map_or(0, |d| d.len() as u64);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.hint
            .exact()
            .map_or_else(SizeHint::default, |all| SizeHint::with_exact(all - self.forwarded_bytes))
    }
}
