//! The hash tree over the shards: root, branches, leaves, each a content-addressed chunk.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::ConfError;
use crate::shard::{Config, Digest, Leaf, SHARD_COUNT, Shard};

/// Shards under one branch.
const SHARDS_PER_BRANCH: usize = 32;

/// Bytes of chunks by their digest.
pub type Chunks = HashMap<Digest, Arc<[u8]>>;

/// The root chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Root {
    global: Digest,
    branches: Vec<Digest>,
}

/// A whole tree.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    /// Digest of the root chunk.
    pub root: Digest,
    /// All chunks, the root included.
    pub chunks: Chunks,
}

/// Progress of loading a tree.
#[derive(Debug)]
pub enum LoadProgress {
    /// These chunks are needed next.
    Missing(Vec<Digest>),
    /// The whole configuration.
    Complete(Box<Config>),
}

/// Digest of a chunk's bytes.
pub fn chunk_digest(bytes: &[u8]) -> Digest {
    *blake3::hash(bytes).as_bytes()
}

/// Hexadecimal name of a chunk in the object store.
pub fn digest_to_hex(digest: &Digest) -> Box<str> {
    blake3::Hash::from(*digest).to_hex().as_str().into()
}

/// Digest from its hexadecimal name.
pub fn digest_from_hex(name: &str) -> Option<Digest> {
    blake3::Hash::from_hex(name).ok().map(|h| *h.as_bytes())
}

/// Builds the tree of a configuration. Bytes of the leaves are shared with it.
pub fn build_tree(config: &Config) -> Tree {
    let mut chunks = Chunks::new();
    chunks.insert(config.global.digest, Arc::clone(&config.global.bytes));
    let mut branches = Vec::with_capacity(SHARD_COUNT / SHARDS_PER_BRANCH);
    for leaves in config.shards.chunks(SHARDS_PER_BRANCH) {
        chunks.extend(leaves.iter().map(|l| (l.digest, Arc::clone(&l.bytes))));
        let digests: Vec<Digest> = leaves.iter().map(|l| l.digest).collect();
        branches.push(add(&mut chunks, &digests));
    }
    let root = add(&mut chunks, &Root { global: config.global.digest, branches });
    Tree { root, chunks }
}

fn add(chunks: &mut Chunks, node: &impl Serialize) -> Digest {
    let bytes: Arc<[u8]> = postcard::to_stdvec(node).unwrap_or_default().into();
    let digest = chunk_digest(&bytes);
    chunks.insert(digest, bytes);
    digest
}

/// Loads the tree under `root` as far as its chunks are known; leaves that `base` has are reused.
///
/// # Errors
/// Fails when a chunk holds something else than its place in the tree asks for.
pub fn load_tree(root: &Digest, chunks: &Chunks, base: &Config) -> Result<LoadProgress, ConfError> {
    let Some(bytes) = chunks.get(root) else {
        return Ok(LoadProgress::Missing(vec![*root]));
    };
    let root: Root = postcard::from_bytes(bytes).map_err(broken)?;
    let mut missing = HashSet::new();
    let mut shards = Vec::with_capacity(SHARD_COUNT);
    for branch in &root.branches {
        let Some(bytes) = chunks.get(branch) else {
            missing.insert(*branch);
            continue;
        };
        let leaves: Vec<Digest> = postcard::from_bytes(bytes).map_err(broken)?;
        shards.extend(leaves);
    }
    let needed = shards.iter().chain([&root.global]).filter(|d| !chunks.contains_key(*d));
    missing.extend(needed.copied());
    if !missing.is_empty() {
        let mut missing: Vec<_> = missing.into_iter().collect();
        missing.sort_unstable();
        return Ok(LoadProgress::Missing(missing));
    }
    if shards.len() != SHARD_COUNT {
        return Err(broken("wrong number of shards"));
    }
    complete(&root.global, &shards, chunks, base).map(|c| LoadProgress::Complete(Box::new(c)))
}

fn complete(global: &Digest, shards: &[Digest], chunks: &Chunks, base: &Config) -> Result<Config, ConfError> {
    let global = match &base.global {
        known if known.digest == *global => Arc::clone(known),
        _ => Leaf::decode(&chunks[global], *global)?,
    };
    let leaf = |(digest, known): (&Digest, &Arc<Leaf<Shard>>)| match known {
        known if known.digest == *digest => Ok(Arc::clone(known)),
        _ => Leaf::decode(&chunks[digest], *digest),
    };
    let shards = shards.iter().zip(&base.shards).map(leaf).collect::<Result<_, _>>()?;
    Ok(Config { global, shards })
}

fn broken(problem: impl std::fmt::Display) -> ConfError {
    let remedy = "run daemons of one release or apply the configuration again";
    ConfError::new("chunk", "tree", problem.to_string(), remedy)
}
