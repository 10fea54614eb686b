//! Rendezvous hashing: daemons that agree on the members agree on the owner of each key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::DaemonId;

/// The member that owns `key`; `None` if there are no members. When a member leaves, only the keys that it
/// owned move.
///
/// ```
/// let members = ["127.0.0.1:7000".parse().unwrap(), "127.0.0.2:7000".parse().unwrap()];
/// let owner = base::rendezvous::owner("sacristia", members.iter().copied());
/// assert!(members.contains(&owner.unwrap()));
/// ```
pub fn owner(key: &str, members: impl Iterator<Item = DaemonId>) -> Option<DaemonId> {
    let key = stable_hash(key.as_bytes());
    members.max_by_key(|m| (xxh3_64_with_seed(m.to_string().as_bytes(), key), *m))
}

/// XXH3 hash; the same in every process and release, so that daemons may compare it.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}
