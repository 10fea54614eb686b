//! Gets the chunks of a newer configuration from peers, or from the store when no peer has them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use base::{DaemonId, Version};
use conf::tree::{Chunks, LoadProgress, chunk_digest, digest_to_hex, load_tree};
use conf::{ConfError, Config, Digest};
use kernel::{Cx, StoreToken};
use rand::seq::IndexedRandom;
use store::StoreOp;
use wire::Msg;
use wire::conf::ConfMsg;

use crate::head::Head;

/// Time for a peer's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Peers asked in vain before the store is read.
const PEER_TRIES: u32 = 2;
/// Chunks asked for at once.
const BATCH: usize = 64;
/// Chunks read from the store at once.
const STORE_WINDOW: usize = 16;
/// Time between two rounds of reads from the store when some failed.
const STORE_RETRY: Duration = Duration::from_millis(300);
/// Peers remembered as having the wanted version.
const MAX_HOLDERS: usize = 8;

/// Work on one head.
#[derive(Debug)]
struct Target {
    head: Head,
    /// Chunks in force when the work began, and those that came since.
    chunks: Chunks,
    /// Peers that announced this version.
    holders: Vec<DaemonId>,
    peer_deadline: Option<Instant>,
    peer_tries: u32,
    reads: HashMap<StoreToken, Digest>,
    read_again: Option<Instant>,
}

/// Fetches towards the newest known head.
#[derive(Debug, Default)]
pub(crate) struct Fetcher {
    target: Option<Target>,
    /// Version that this release can't read; nothing up to it is fetched again.
    refused: Version,
    /// Chunks received from peers.
    pub(crate) from_peers: u64,
    /// Chunks read from the store.
    pub(crate) from_store: u64,
}

impl Fetcher {
    /// Aims at a head if it is newer than all before.
    pub(crate) fn aim(&mut self, head: &Head, from: Option<DaemonId>, in_force: Version, chunks: &Chunks) {
        if head.version <= in_force.max(self.refused) {
            return;
        }
        let is_new = self.target.as_ref().is_none_or(|t| t.head.version < head.version);
        if is_new {
            // Chunks gathered for an older target are mostly those of the newer one.
            let chunks = self.target.take().map_or_else(|| chunks.clone(), |t| t.chunks);
            self.target = Some(Target {
                head: *head,
                chunks,
                holders: Vec::new(),
                peer_deadline: None,
                peer_tries: 0,
                reads: HashMap::new(),
                read_again: None,
            });
        }
        if let (Some(from), Some(target)) = (from, &mut self.target)
            && target.head.version == head.version
            && target.holders.len() < MAX_HOLDERS
            && !target.holders.contains(&from)
        {
            target.holders.push(from);
        }
    }

    /// Version aimed at.
    pub(crate) fn target(&self) -> Option<Version> {
        self.target.as_ref().map(|t| t.head.version)
    }

    /// Drops the target if it is in force by now.
    pub(crate) fn drop_reached(&mut self, in_force: Version) {
        self.target.take_if(|t| t.head.version <= in_force);
    }

    /// Drops a target that can't be loaded.
    pub(crate) fn refuse(&mut self, version: Version) {
        self.refused = version;
        self.target = None;
    }

    /// Takes chunks of a peer; those not asked for by digest are ignored by the tree.
    pub(crate) fn receive(&mut self, chunks: &[Vec<u8>]) {
        let Some(target) = &mut self.target else {
            return;
        };
        if chunks.is_empty() {
            return;
        }
        target.peer_deadline = None;
        target.peer_tries = 0;
        for bytes in chunks {
            target.chunks.insert(chunk_digest(bytes), bytes.as_slice().into());
            self.from_peers += 1;
        }
    }

    /// Takes the result of a read, if it is one of this fetcher.
    pub(crate) fn on_store(&mut self, now: Instant, token: StoreToken, bytes: Option<&[u8]>) -> bool {
        let Some(target) = &mut self.target else {
            return false;
        };
        let Some(wanted) = target.reads.remove(&token) else {
            return false;
        };
        if let Some(bytes) = bytes.filter(|b| chunk_digest(b) == wanted) {
            target.chunks.insert(wanted, bytes.into());
            self.from_store += 1;
        } else {
            target.read_again = Some(now + STORE_RETRY);
            target.peer_tries = 0;
        }
        true
    }

    /// Asks for what is missing, or returns the whole configuration.
    pub(crate) fn step(
        &mut self,
        cx: &mut Cx<'_>,
        base: &Config,
    ) -> Option<Result<(Head, Config), ConfError>> {
        let target = self.target.as_mut()?;
        match load_tree(&target.head.root, &target.chunks, base) {
            Err(e) => Some(Err(e)),
            Ok(LoadProgress::Complete(config)) => Some(Ok((target.head, *config))),
            Ok(LoadProgress::Missing(missing)) => {
                target.ask(cx, missing);
                None
            }
        }
    }
}

impl Target {
    fn ask(&mut self, cx: &mut Cx<'_>, mut missing: Vec<Digest>) {
        if !self.reads.is_empty() || self.peer_deadline.is_some_and(|at| cx.now < at) {
            return;
        }
        if self.peer_deadline.take().is_some() {
            self.peer_tries += 1;
        }
        let store_open = !cx.board.store_down && self.read_again.is_none_or(|at| cx.now >= at);
        let peer = self.peer(cx);
        match peer {
            Some(peer) if self.peer_tries < PEER_TRIES || !store_open => {
                missing.truncate(BATCH);
                self.peer_deadline = Some(cx.now + PEER_TIMEOUT);
                cx.send(peer, Msg::Conf(ConfMsg::WantChunks { digests: missing }));
            }
            _ if store_open => {
                missing.truncate(STORE_WINDOW);
                self.reads = missing.into_iter().map(|d| (read(cx, &d), d)).collect();
            }
            _ => {}
        }
    }

    /// A random peer that announced the version, else one that is believed to have it, else any.
    fn peer(&self, cx: &mut Cx<'_>) -> Option<DaemonId> {
        let tried_all = self.peer_tries as usize >= self.holders.len();
        if !tried_all && let Some(peer) = self.holders.choose(cx.rng) {
            return Some(*peer);
        }
        let version = self.head.version;
        let others = cx.board.members.values().filter(|m| m.is_alive());
        let having: Vec<_> = others.clone().filter(|m| m.version >= version).map(|m| m.id).collect();
        let any: Vec<_> = others.map(|m| m.id).chain(self.holders.iter().copied()).collect();
        having.choose(cx.rng).or_else(|| any.choose(cx.rng)).copied()
    }
}

/// Starts the read of a chunk.
pub(crate) fn read(cx: &mut Cx<'_>, chunk: &Digest) -> StoreToken {
    cx.start_store_op(StoreOp::GetObject { name: digest_to_hex(chunk) })
}
