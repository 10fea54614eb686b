//! Authenticated encoding of one message between two daemons: magic, message authentication code (MAC),
//! postcard body.

use base::DaemonId;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::Msg;

/// First bytes of every sealed message.
const MAGIC: [u8; 4] = *b"pmp1";
/// Length of the MAC, a BLAKE3 keyed hash cut to 128 bits.
const MAC_BYTES: usize = 16;
const MIN_SECRET_BYTES: usize = 16;
/// Context of the key derivation. Daemons with different contexts don't accept each other's messages.
const MESSAGE_KEY_CONTEXT: &str = "pomelopath 2026 message authentication";

/// Key that authenticates messages, derived from the secret that all daemons of the fleet share.
#[derive(Clone)]
pub struct FleetSecret {
    key: [u8; 32],
}

impl std::fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetSecret")
    }
}

/// The fleet's secret is too short.
#[derive(Debug, Display, Error, PartialEq, Eq)]
#[display("the fleet secret has {bytes} bytes; set at least 16 random bytes in POMELO_FLEET_SECRET")]
pub struct SecretError {
    /// Length of the refused secret.
    pub bytes: usize,
}

impl FleetSecret {
    /// Derives the message key from the operators' secret.
    ///
    /// # Errors
    /// Fails when the secret is shorter than 16 bytes.
    pub fn new(secret: &[u8]) -> Result<Self, SecretError> {
        if secret.len() < MIN_SECRET_BYTES {
            return Err(SecretError { bytes: secret.len() });
        }
        Ok(Self { key: blake3::derive_key(MESSAGE_KEY_CONTEXT, secret) })
    }
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Peer address of the sender.
    pub from: DaemonId,
    /// Peer address of the receiver; a message for another address is refused.
    pub to: DaemonId,
    /// Start time of the sender's process, milliseconds since the epoch; grows with each restart.
    pub incarnation: u64,
    /// The message.
    pub msg: Msg,
}

/// Why received bytes were refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum OpenError {
    /// Too short, or without this protocol's magic.
    #[display("not a pomelopath message; check who sends to the peer port")]
    UnknownProtocol,
    /// Wrong message authentication code.
    #[display("message not authenticated; check that all daemons have the same fleet secret")]
    NotAuthentic,
    /// Authentic, but not decodable, e.g. sent by an incompatible release.
    #[display("message authenticated but not decodable; check that the daemons' versions are compatible")]
    Malformed,
}

/// Encodes and authenticates a message.
///
/// # Panics
/// Never: writing to memory does not fail.
pub fn seal(secret: &FleetSecret, envelope: &Envelope) -> Vec<u8> {
    let mut buf = Vec::with_capacity(256);
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&[0; MAC_BYTES]);
    let mut buf = postcard::to_extend(envelope, buf).expect("writing to memory can't fail");
    let mac = blake3::keyed_hash(&secret.key, &buf[MAGIC.len() + MAC_BYTES..]);
    buf[MAGIC.len()..MAGIC.len() + MAC_BYTES].copy_from_slice(&mac.as_bytes()[..MAC_BYTES]);
    buf
}

/// Authenticates and decodes a message.
///
/// # Errors
/// Fails when the bytes are not an authentic message that this release can decode.
pub fn open(secret: &FleetSecret, buf: &[u8]) -> Result<Envelope, OpenError> {
    let rest = buf.strip_prefix(&MAGIC).ok_or(OpenError::UnknownProtocol)?;
    let (mac, body) = rest.split_at_checked(MAC_BYTES).ok_or(OpenError::UnknownProtocol)?;
    let expected = blake3::keyed_hash(&secret.key, body);
    if !bool::from(expected.as_bytes()[..MAC_BYTES].ct_eq(mac)) {
        return Err(OpenError::NotAuthentic);
    }
    match postcard::take_from_bytes(body) {
        Ok((envelope, [])) => Ok(envelope),
        Ok(_) | Err(_) => Err(OpenError::Malformed),
    }
}

#[cfg(test)]
#[path = "seal_tests.rs"]
mod seal_tests;
