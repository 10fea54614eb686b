//! The hash tree over the shards of a configuration. Its root, branches and leaves are chunks, stored and
//! fetched by the digest of their content, so that a daemon fetches only the chunks that a change replaced.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::ConfError;
use crate::shard::{Config, Digest, Leaf, SHARD_COUNT, Shard};

/// Shards under one branch.
const SHARDS_PER_BRANCH: usize = 32;

/// Bytes of chunks by their digest.
pub type Chunks = HashMap<Digest, Arc<[u8]>>;

/// The root chunk: digests of the global part and of the branches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Root {
    global: Digest,
    branches: Vec<Digest>,
}

/// The hash tree of one configuration.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    /// Digest of the root chunk.
    pub root: Digest,
    /// All chunks, the root included.
    pub chunks: Chunks,
}

/// Result of [`load_tree`].
#[derive(Debug)]
pub enum LoadProgress {
    /// Chunks to fetch before loading again. Fetching them may reveal further missing chunks.
    Missing(Vec<Digest>),
    /// All chunks were there; this is the configuration.
    Complete(Box<Config>),
}

/// Digest of a chunk's bytes.
pub fn chunk_digest(bytes: &[u8]) -> Digest {
    *blake3::hash(bytes).as_bytes()
}

/// Hexadecimal form of a digest, e.g. the name of a chunk in the object store.
pub fn digest_to_hex(digest: &Digest) -> Box<str> {
    blake3::Hash::from(*digest).to_hex().as_str().into()
}

/// Digest from its hexadecimal form; `None` if that is malformed.
pub fn digest_from_hex(name: &str) -> Option<Digest> {
    blake3::Hash::from_hex(name).ok().map(|h| *h.as_bytes())
}

/// Builds the tree of a configuration; the tree shares the bytes of the configuration's leaves.
pub fn build_tree(config: &Config) -> Tree {
    let mut chunks = Chunks::new();
    chunks.insert(config.global.digest, Arc::clone(&config.global.bytes));
    let mut branches = Vec::with_capacity(SHARD_COUNT / SHARDS_PER_BRANCH);
    for leaves in config.shards.chunks(SHARDS_PER_BRANCH) {
        chunks.extend(leaves.iter().map(|l| (l.digest, Arc::clone(&l.bytes))));
        let digests: Vec<Digest> = leaves.iter().map(|l| l.digest).collect();
        branches.push(add_chunk(&mut chunks, &digests));
    }
    let root = add_chunk(&mut chunks, &Root { global: config.global.digest, branches });
    Tree { root, chunks }
}

/// Encodes a root or branch as a chunk and returns its digest.
fn add_chunk(chunks: &mut Chunks, node: &impl Serialize) -> Digest {
    let bytes: Arc<[u8]> = postcard::to_stdvec(node).unwrap_or_default().into();
    let digest = chunk_digest(&bytes);
    chunks.insert(digest, bytes);
    digest
}

/// Loads the tree under `root` as far as `chunks` holds it. Leaves that `base` has as well are not decoded
/// again.
///
/// # Errors
/// Fails when a chunk can't be decoded as the root, branch or leaf that its position in the tree requires.
pub fn load_tree(root: &Digest, chunks: &Chunks, base: &Config) -> Result<LoadProgress, ConfError> {
    let Some(bytes) = chunks.get(root) else {
        return Ok(LoadProgress::Missing(vec![*root]));
    };
    let root: Root = postcard::from_bytes(bytes).map_err(tree_error)?;
    let mut missing = HashSet::new();
    let mut shards = Vec::with_capacity(SHARD_COUNT);
    for branch in &root.branches {
        let Some(bytes) = chunks.get(branch) else {
            missing.insert(*branch);
            continue;
        };
        let leaves: Vec<Digest> = postcard::from_bytes(bytes).map_err(tree_error)?;
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
        return Err(tree_error("wrong number of shards"));
    }
    decode_config(&root.global, &shards, chunks, base).map(|c| LoadProgress::Complete(Box::new(c)))
}

/// Decodes the leaves whose digests are given, all of which `chunks` holds.
fn decode_config(
    global: &Digest,
    shards: &[Digest],
    chunks: &Chunks,
    base: &Config,
) -> Result<Config, ConfError> {
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

fn tree_error(problem: impl std::fmt::Display) -> ConfError {
    let remedy = "run daemons of one release or apply the configuration again";
    ConfError::new("chunk", "tree", problem.to_string(), remedy)
}
