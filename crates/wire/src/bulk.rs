//! The `tarpc` service that carries sealed messages too large for a datagram.

use std::io;

use bytes::{Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use tarpc::tokio_serde::{Deserializer, Serializer};
use tokio_util::codec::LengthDelimitedCodec;

use crate::MAX_FRAME_BYTES;

/// Delivers sealed messages over framed TCP.
#[tarpc::service]
pub trait Bulk {
    /// Delivers one sealed message; the receiver authenticates and decodes it like a datagram.
    async fn deliver(sealed: Vec<u8>);
}

/// Encodes `tarpc` frames with postcard.
#[derive(Clone, Copy, Debug, Default)]
pub struct PostcardCodec;

impl<T: Serialize> Serializer<T> for PostcardCodec {
    type Error = io::Error;

    fn serialize(self: std::pin::Pin<&mut Self>, item: &T) -> Result<Bytes, Self::Error> {
        postcard::to_stdvec(item).map(Bytes::from).map_err(io::Error::other)
    }
}

impl<T: DeserializeOwned> Deserializer<T> for PostcardCodec {
    type Error = io::Error;

    fn deserialize(self: std::pin::Pin<&mut Self>, src: &BytesMut) -> Result<T, Self::Error> {
        postcard::from_bytes(src).map_err(io::Error::other)
    }
}

/// Length-delimited framing of a `tarpc` connection. A frame holds a sealed message of at most
/// [`MAX_FRAME_BYTES`] and the request around it.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES + 1024).new_codec()
}
