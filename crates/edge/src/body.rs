//! Bodies: small ones are held whole, large ones are streamed with flat memory.

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

/// Largest request body that is held so that it can be sent again.
pub const MAX_HELD_REQUEST_BYTES: usize = 1024 * 1024;
/// Largest answer body that is held until it is complete.
pub const MAX_HELD_ANSWER_BYTES: usize = 256 * 1024;
/// Longest time without a byte in the middle of a streamed body.
const STREAM_PROGRESS: Duration = Duration::from_secs(10);

/// Body of a caller's request.
#[derive(Debug)]
pub enum CallerBody {
    /// Held whole; may be sent again.
    Held(Bytes),
    /// Streamed; may be sent once.
    Streamed(Mutex<Option<Streamed>>),
}

impl CallerBody {
    /// The body for one try; none if a streamed one was already used.
    pub fn for_try(&self) -> Option<RequestBody> {
        match self {
            Self::Held(bytes) => Some(full(bytes.clone())),
            Self::Streamed(body) => {
                let streamed = body.lock().unwrap_or_else(PoisonError::into_inner).take()?;
                Some(streamed.boxed())
            }
        }
    }

    /// Whether there is a body for one more try.
    pub fn is_left(&self) -> bool {
        match self {
            Self::Held(_) => true,
            Self::Streamed(body) => body.lock().unwrap_or_else(PoisonError::into_inner).is_some(),
        }
    }

    /// The bytes, if they are held.
    pub fn held(&self) -> Option<&Bytes> {
        match self {
            Self::Held(bytes) => Some(bytes),
            Self::Streamed(_) => None,
        }
    }
}

/// A body of known bytes.
pub fn full(bytes: Bytes) -> RequestBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// What was read of a body up to a bound.
#[derive(Debug)]
pub enum Read {
    /// All of it.
    Whole(Bytes),
    /// The first part; there is more.
    Part(Bytes),
}

/// Reads until the end or until more than `max` bytes came. Trailers are dropped.
///
/// # Errors
/// Fails when the body breaks off.
pub async fn read(body: &mut Incoming, max: usize, buf: &mut BytesMut) -> Result<Read, hyper::Error> {
    if body.size_hint().lower() > max as u64 {
        return Ok(Read::Part(Bytes::new()));
    }
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if buf.is_empty() && body.is_end_stream() {
            return Ok(Read::Whole(data));
        }
        buf.extend_from_slice(&data);
        if buf.len() > max {
            return Ok(Read::Part(buf.split().freeze()));
        }
    }
    Ok(Read::Whole(buf.split().freeze()))
}

/// Holds a caller's body, or its beginning if it is large.
///
/// # Errors
/// Fails when the body breaks off or is badly framed.
pub async fn hold_request(mut body: Incoming) -> Result<CallerBody, hyper::Error> {
    let hint = body.size_hint();
    let mut buf = BytesMut::new();
    Ok(match read(&mut body, MAX_HELD_REQUEST_BYTES, &mut buf).await? {
        Read::Whole(bytes) => CallerBody::Held(bytes),
        Read::Part(first) => CallerBody::Streamed(Mutex::new(Some(Streamed::new(first, body, hint)))),
    })
}

/// The first part of a body that was read already, and the rest as it comes.
#[derive(Debug)]
pub struct Streamed {
    first: Option<Bytes>,
    rest: Incoming,
    /// Bytes of the whole body, as far as they are known.
    hint: SizeHint,
    /// Bytes passed on so far.
    passed: u64,
    /// Armed while the next frame is waited for.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl Streamed {
    /// Puts the parts together; `hint` is of the whole body.
    pub fn new(first: Bytes, rest: Incoming, hint: SizeHint) -> Self {
        let first = Some(first).filter(|f| !f.is_empty());
        Self { first, rest, hint, passed: 0, stalled: None }
    }

    /// Bytes passed on so far.
    pub fn passed(&self) -> u64 {
        self.passed
    }

    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(frame) => {
                    self.stalled = None;
                    match frame {
                        Some(Ok(frame)) if !frame.is_data() => {}
                        other => return Poll::Ready(other.map(|f| f.map_err(BodyError::from))),
                    }
                }
                Poll::Pending => {
                    let sleep = || Box::pin(tokio::time::sleep(STREAM_PROGRESS));
                    let stalled = self.stalled.get_or_insert_with(sleep);
                    return stalled.as_mut().poll(cx).map(|()| Some(Err("the body made no progress".into())));
                }
            }
        }
    }
}

impl Body for Streamed {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = match self.first.take() {
            Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
            None => self.poll_rest(cx),
        };
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            self.passed += frame.data_ref().map_or(0, |d| d.len() as u64);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.hint.exact().map_or_else(SizeHint::default, |all| SizeHint::with_exact(all - self.passed))
    }
}
