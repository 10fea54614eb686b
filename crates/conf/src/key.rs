//! Hashing of callers' keys. The fleet stores and compares keyed hashes only, never the keys themselves.

/// Context of the key derivation. Changing it makes all stored hashes useless.
const KEY_CONTEXT: &str = "pomelopath 2026 caller key hashing";

/// Keyed BLAKE3 hash of a caller's key.
pub type KeyHash = [u8; 32];

/// Hashes callers' keys with a hashing key derived from the fleet's secret.
#[derive(Clone)]
pub struct KeyHasher {
    key: [u8; 32],
}

impl std::fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyHasher")
    }
}

impl KeyHasher {
    /// Derives the hashing key from the fleet's secret.
    pub fn new(fleet_secret: &[u8]) -> Self {
        Self { key: blake3::derive_key(KEY_CONTEXT, fleet_secret) }
    }

    /// Hashes one key. The time to look the hash up in a map reveals nothing about the key.
    pub fn hash(&self, key: &[u8]) -> KeyHash {
        *blake3::keyed_hash(&self.key, key).as_bytes()
    }
}
