//! Fetches the chunks of a newer configuration from other daemons, or from the store if no daemon sends them.

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

/// Time in which another daemon must answer a request for chunks.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Unanswered requests to other daemons before chunks are read from the store.
const MAX_PEER_TRIES: u32 = 2;
/// Most chunks in one request to another daemon.
const MAX_CHUNKS_PER_REQUEST: usize = 64;
/// Most chunks read from the store concurrently.
const MAX_STORE_READS: usize = 16;
/// Time after a failed read of a chunk before chunks are read from the store again.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Most daemons remembered as having announced the wanted version.
const MAX_ANNOUNCERS: usize = 8;

/// The head that is being fetched.
#[derive(Debug)]
struct Target {
    head: Head,
    /// Chunks that were in force when the fetch began, and those that have arrived since.
    chunks: Chunks,
    /// Daemons that announced this version.
    announcers: Vec<DaemonId>,
    /// When the request to another daemon that is under way times out.
    peer_deadline: Option<Instant>,
    /// Unanswered requests to other daemons since one last sent chunks or a read from the store last failed.
    peer_tries: u32,
    /// Reads from the store under way.
    pending_reads: HashMap<StoreToken, Digest>,
    /// When the store may be read again after a failed read.
    next_store_read: Option<Instant>,
}

/// Fetches the newest known head.
#[derive(Debug, Default)]
pub(crate) struct Fetcher {
    target: Option<Target>,
    /// Highest version that could not be loaded or compiled here; neither it nor an older one is fetched
    /// again.
    unreadable_version: Version,
    /// Number of chunks received from other daemons since the start.
    pub(crate) from_peers: u64,
    /// Number of chunks read from the store since the start.
    pub(crate) from_store: u64,
}

impl Fetcher {
    /// Makes a head the target if it is newer than the target, the version in force and the unreadable
    /// version. `from` is the daemon that announced it, if any; `chunks` are those in force.
    pub(crate) fn set_target(
        &mut self,
        head: &Head,
        from: Option<DaemonId>,
        in_force: Version,
        chunks: &Chunks,
    ) {
        if head.version <= in_force.max(self.unreadable_version) {
            return;
        }
        let is_new = self.target.as_ref().is_none_or(|t| t.head.version < head.version);
        if is_new {
            // Keep the chunks that were fetched for an older target; most are part of the newer one too.
            let chunks = self.target.take().map_or_else(|| chunks.clone(), |t| t.chunks);
            self.target = Some(Target {
                head: *head,
                chunks,
                announcers: Vec::new(),
                peer_deadline: None,
                peer_tries: 0,
                pending_reads: HashMap::new(),
                next_store_read: None,
            });
        }
        if let (Some(from), Some(target)) = (from, &mut self.target)
            && target.head.version == head.version
            && target.announcers.len() < MAX_ANNOUNCERS
            && !target.announcers.contains(&from)
        {
            target.announcers.push(from);
        }
    }

    pub(crate) fn target_version(&self) -> Option<Version> {
        self.target.as_ref().map(|t| t.head.version)
    }

    /// Drops the target if its version, or a higher one, is in force.
    pub(crate) fn drop_reached(&mut self, in_force: Version) {
        self.target.take_if(|t| t.head.version <= in_force);
    }

    /// Drops a target that can't be loaded or compiled.
    pub(crate) fn abandon(&mut self, version: Version) {
        self.unreadable_version = version;
        self.target = None;
    }

    /// Adds chunks from another daemon. Chunks that were not asked for do no harm: the tree finds chunks
    /// by the digest of their bytes.
    pub(crate) fn add_chunks(&mut self, chunks: &[Vec<u8>]) {
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

    /// Takes the result of a read from the store; returns whether it is one of this fetcher's reads.
    pub(crate) fn on_store(&mut self, now: Instant, token: StoreToken, bytes: Option<&[u8]>) -> bool {
        let Some(target) = &mut self.target else {
            return false;
        };
        let Some(wanted) = target.pending_reads.remove(&token) else {
            return false;
        };
        if let Some(bytes) = bytes.filter(|b| chunk_digest(b) == wanted) {
            target.chunks.insert(wanted, bytes.into());
            self.from_store += 1;
        } else {
            target.next_store_read = Some(now + STORE_RETRY_INTERVAL);
            target.peer_tries = 0;
        }
        true
    }

    /// Asks for missing chunks, or returns the configuration once all have arrived. `base` is the
    /// configuration in force, whose shards are reused.
    pub(crate) fn advance(
        &mut self,
        cx: &mut Cx<'_>,
        base: &Config,
    ) -> Option<Result<(Head, Config), ConfError>> {
        let target = self.target.as_mut()?;
        match load_tree(&target.head.root, &target.chunks, base) {
            Err(e) => Some(Err(e)),
            Ok(LoadProgress::Complete(config)) => Some(Ok((target.head, *config))),
            Ok(LoadProgress::Missing(missing)) => {
                target.request_chunks(cx, missing);
                None
            }
        }
    }
}

impl Target {
    /// Asks another daemon or the store for missing chunks, unless a request or a read is under way.
    fn request_chunks(&mut self, cx: &mut Cx<'_>, mut missing: Vec<Digest>) {
        if !self.pending_reads.is_empty() || self.peer_deadline.is_some_and(|at| cx.now < at) {
            return;
        }
        if self.peer_deadline.take().is_some() {
            self.peer_tries += 1;
        }
        let may_read_store = !cx.board.store_down && self.next_store_read.is_none_or(|at| cx.now >= at);
        let peer = self.choose_peer(cx);
        match peer {
            Some(peer) if self.peer_tries < MAX_PEER_TRIES || !may_read_store => {
                missing.truncate(MAX_CHUNKS_PER_REQUEST);
                self.peer_deadline = Some(cx.now + PEER_TIMEOUT);
                cx.send(peer, Msg::Conf(ConfMsg::WantChunks { digests: missing }));
            }
            _ if may_read_store => {
                missing.truncate(MAX_STORE_READS);
                self.pending_reads = missing.into_iter().map(|d| (start_chunk_read(cx, &d), d)).collect();
            }
            _ => {}
        }
    }

    /// A random daemon that announced the version; after as many unanswered requests as there are such
    /// daemons, one whose heartbeats show that it has the version, else any.
    fn choose_peer(&self, cx: &mut Cx<'_>) -> Option<DaemonId> {
        let tried_all = self.peer_tries as usize >= self.announcers.len();
        if !tried_all && let Some(peer) = self.announcers.choose(cx.rng) {
            return Some(*peer);
        }
        let version = self.head.version;
        let others = cx.board.members.values().filter(|m| m.is_alive());
        let having: Vec<_> = others.clone().filter(|m| m.version >= version).map(|m| m.id).collect();
        let any: Vec<_> = others.map(|m| m.id).chain(self.announcers.iter().copied()).collect();
        having.choose(cx.rng).or_else(|| any.choose(cx.rng)).copied()
    }
}

/// Starts to read a chunk from the store.
pub(crate) fn start_chunk_read(cx: &mut Cx<'_>, chunk: &Digest) -> StoreToken {
    cx.start_store_op(StoreOp::GetObject { name: digest_to_hex(chunk) })
}
