//! The configuration area: holds the configuration in force, adopts newer versions, spreads heads and key
//! withdrawals, and passes inputs to the modules for fetching, commits and the operator API.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{DaemonId, event};
use conf::tree::Tree;
use conf::{Compiler, Config, Snapshot};
use kernel::{ApiReq, Area, AreaEntry, Cx, Event, Setup, StoreToken, Ticket};
use rand::seq::IteratorRandom;
use serde_json::{Value, json};
use store::{StoreError, StoreRep};
use wire::Msg;
use wire::conf::{ConfMsg, Withdrawal};

use crate::api::answer_history;
use crate::commit::ChangeQueue;
use crate::fetch::Fetcher;
use crate::head::{HEAD_ROW_KEY, Head};
use crate::metrics::Metrics;
use crate::withdraw::Withdrawals;

kernel::inventory::submit! {
    AreaEntry { name: "sync", order: 15, build: |setup| Box::new(ConfigSync::new(setup)) }
}

/// Random daemons to which this daemon sends each head and each withdrawal that is new to it.
const PUSH_FANOUT: usize = 5;
/// Interval between requests to a random daemon for its head and withdrawals while no pulls are answered.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the answer to a pull in which no daemon is asked for its head or withdrawals, since the answer
/// names the version and the digest of the withdrawals.
const NO_ASK_AFTER_PULL: Duration = Duration::from_secs(2);
/// Largest answer to a request for chunks, in bytes; a single larger chunk is sent nevertheless.
const MAX_CHUNK_ANSWER_BYTES: usize = 512 * 1024;
/// Most withdrawals in one message.
const MAX_WITHDRAWALS_PER_MSG: usize = 1_000;

/// The configuration area of this daemon.
#[derive(Debug)]
pub struct ConfigSync {
    pub(crate) hasher: conf::KeyHasher,
    pub(crate) metrics: Metrics,
    /// Configured peers, asked while no member is known.
    seeds: Vec<DaemonId>,
    /// Head in force; `None` while there is no configuration.
    pub(crate) head: Option<Head>,
    /// Configuration in force.
    pub(crate) config: Config,
    /// Chunks of the configuration in force.
    pub(crate) tree: Tree,
    pub(crate) compiler: Compiler,
    pub(crate) fetcher: Fetcher,
    pub(crate) withdrawals: Withdrawals,
    pub(crate) changes: ChangeQueue,
    /// Reads of history rows under way, and the operators' requests for them.
    pub(crate) history_reads: Vec<(StoreToken, Ticket)>,
    next_ask: Option<Instant>,
    /// When another daemon last answered a pull of this one.
    last_pull_answered_at: Option<Instant>,
}

impl ConfigSync {
    /// Makes the area without a configuration.
    pub fn new(setup: &Setup) -> Self {
        Self {
            hasher: setup.hasher.clone(),
            metrics: Metrics::new(&setup.registry),
            seeds: setup.peers.iter().copied().filter(|p| *p != setup.me.id).collect(),
            head: None,
            config: Config::default(),
            tree: Tree::default(),
            compiler: Compiler::default(),
            fetcher: Fetcher::default(),
            withdrawals: Withdrawals::default(),
            changes: ChangeQueue::default(),
            history_reads: Vec::new(),
            next_ask: None,
            last_pull_answered_at: None,
        }
    }

    /// Records a committed head and fetches it if it is newer; `from` is the daemon that announced it, `None`
    /// if it was read from the store.
    pub(crate) fn on_head_seen(&mut self, cx: &mut Cx<'_>, head: &Head, from: Option<DaemonId>) {
        cx.board.head_seen = cx.board.head_seen.max(head.version);
        self.fetcher.set_target(head, from, cx.board.version(), &self.tree.chunks);
        self.advance_fetch(cx);
    }

    /// Asks for missing chunks of the newest known head, or puts that version in force once all have arrived.
    fn advance_fetch(&mut self, cx: &mut Cx<'_>) {
        match self.fetcher.advance(cx, &self.config) {
            Some(Ok((head, config))) => match self.compiler.compile(&config, head.version) {
                Ok(snapshot) => {
                    let tree = conf::tree::build_tree(&config);
                    self.adopt(cx, head, config, tree, snapshot);
                }
                Err(e) => self.refuse_head(&head, &e),
            },
            Some(Err(e)) => {
                if let Some(version) = self.fetcher.target_version() {
                    event!(Error, ConfigRefused, "version={version} {e}");
                    self.metrics.count_change("unreadable");
                    self.fetcher.abandon(version);
                }
            }
            None => {}
        }
    }

    fn refuse_head(&mut self, head: &Head, e: &conf::ConfError) {
        event!(Error, ConfigRefused, "version={} {e}", head.version);
        self.metrics.count_change("unreadable");
        self.fetcher.abandon(head.version);
    }

    /// Puts a configuration in force unless one with this version or a higher one already is.
    pub(crate) fn adopt(
        &mut self,
        cx: &mut Cx<'_>,
        head: Head,
        config: Config,
        tree: Tree,
        snapshot: Snapshot,
    ) {
        if head.version <= cx.board.version() {
            return;
        }
        cx.board.head_seen = cx.board.head_seen.max(head.version);
        cx.pools.set_customers(snapshot.customers.keys());
        let stored = self.withdrawals.remove_stored(&snapshot);
        if stored > 0 {
            event!(Info, KeyWithdrawalStored, "keys={stored} version={}", head.version);
        }
        cx.board.conf = Some(Arc::new(snapshot));
        self.head = Some(head);
        self.config = config;
        self.tree = tree;
        self.fetcher.drop_reached(head.version);
        self.publish_withdrawals(cx);
        event!(Info, ConfigApplied, "version={}", head.version);
        self.metrics.set_version(head.version);
        cx.emit(Event::ConfChanged);
        self.push_to_peers(cx, &head_msg(&head), None);
        self.resume_change(cx);
    }

    /// Sends a message to [`PUSH_FANOUT`] random daemons.
    fn push_to_peers(&self, cx: &mut Cx<'_>, msg: &Msg, except: Option<DaemonId>) {
        for peer in self.random_peers(cx, PUSH_FANOUT, except) {
            cx.send(peer, msg.clone());
        }
    }

    /// Picks random members, or configured peers while there is no member.
    fn random_peers(&self, cx: &mut Cx<'_>, count: usize, except: Option<DaemonId>) -> Vec<DaemonId> {
        let alive = cx.board.members.values().filter(|m| m.is_alive()).map(|m| m.id);
        let members = alive.filter(|id| Some(*id) != except).choose_multiple(cx.rng, count);
        if !members.is_empty() {
            return members;
        }
        self.seeds.iter().copied().filter(|id| Some(*id) != except).choose_multiple(cx.rng, count)
    }

    /// Puts withdrawals in force here and forwards the new ones; `from` is the daemon that sent them,
    /// `None` if an operator ordered them here.
    pub(crate) fn apply_withdrawals(&mut self, cx: &mut Cx<'_>, list: &[Withdrawal], from: Option<DaemonId>) {
        let new = self.withdrawals.add(list, cx.board.conf.as_deref());
        if new.is_empty() {
            return;
        }
        event!(Info, KeyWithdrawn, "keys={} from={from:?}", new.len());
        self.withdrawals.schedule_store(cx.now, from.is_none(), cx.rng);
        self.publish_withdrawals(cx);
        self.push_to_peers(cx, &Msg::Conf(ConfMsg::Withdrawals { list: new }), from);
    }

    fn publish_withdrawals(&mut self, cx: &mut Cx<'_>) {
        cx.board.withdrawn = self.withdrawals.key_set();
        cx.board.withdrawn_digest = self.withdrawals.digest();
        self.metrics.set_unstored(self.withdrawals.len());
        cx.publish_view();
    }

    fn send_withdrawals(&self, cx: &mut Cx<'_>, to: DaemonId) {
        for list in self.withdrawals.list().chunks(MAX_WITHDRAWALS_PER_MSG) {
            cx.send(to, Msg::Conf(ConfMsg::Withdrawals { list: list.to_vec() }));
        }
    }

    fn on_conf_msg(&mut self, cx: &mut Cx<'_>, from: DaemonId, msg: &ConfMsg) {
        match msg {
            ConfMsg::Head { version, root, change } => {
                let head = Head { version: *version, root: *root, change: *change };
                self.on_head_seen(cx, &head, Some(from));
                self.send_head_if_newer(cx, from, *version);
            }
            ConfMsg::WantHead { have } => self.send_head_if_newer(cx, from, *have),
            ConfMsg::WantChunks { digests } => self.send_chunks(cx, from, digests),
            ConfMsg::Chunks { chunks } => {
                self.fetcher.add_chunks(chunks);
                self.metrics.count_chunks("from-peer", chunks.len() as u64);
                self.advance_fetch(cx);
            }
            ConfMsg::Withdrawals { list } => self.apply_withdrawals(cx, list, Some(from)),
            ConfMsg::WantWithdrawals => self.send_withdrawals(cx, from),
        }
    }

    /// Sends the head in force to a daemon that has an older version.
    fn send_head_if_newer(&self, cx: &mut Cx<'_>, to: DaemonId, have: base::Version) {
        if let Some(head) = self.head.filter(|h| h.version > have) {
            cx.send(to, head_msg(&head));
        }
    }

    fn send_chunks(&self, cx: &mut Cx<'_>, to: DaemonId, digests: &[conf::Digest]) {
        let mut chunks = Vec::new();
        let mut size = 0;
        for bytes in digests.iter().filter_map(|d| self.tree.chunks.get(d)) {
            size += bytes.len();
            if size > MAX_CHUNK_ANSWER_BYTES && !chunks.is_empty() {
                break;
            }
            chunks.push(bytes.to_vec());
        }
        if chunks.is_empty() {
            return self.send_head_if_newer(cx, to, 0);
        }
        self.metrics.count_chunks("to-peer", chunks.len() as u64);
        cx.send(to, Msg::Conf(ConfMsg::Chunks { chunks }));
    }

    /// Asks a random daemon for its head and withdrawals while no pulls are answered.
    fn ask_peer(&mut self, cx: &mut Cx<'_>) {
        let is_covered = self.last_pull_answered_at.is_some_and(|at| cx.now < at + NO_ASK_AFTER_PULL);
        if is_covered || self.next_ask.is_some_and(|at| cx.now < at) {
            return;
        }
        self.next_ask = Some(cx.now + ASK_INTERVAL);
        let have = cx.board.version();
        for peer in self.random_peers(cx, 1, None) {
            cx.send(peer, Msg::Conf(ConfMsg::WantHead { have }));
            cx.send(peer, Msg::Conf(ConfMsg::WantWithdrawals));
        }
    }

    fn on_pull_answered(&mut self, cx: &mut Cx<'_>, from: DaemonId, status: &wire::fresh::ViewStatus) {
        self.last_pull_answered_at = Some(cx.now);
        cx.board.head_seen = cx.board.head_seen.max(status.version);
        let have = cx.board.version();
        if status.version > have {
            cx.send(from, Msg::Conf(ConfMsg::WantHead { have }));
        }
        if status.version < have {
            self.send_head_if_newer(cx, from, status.version);
        }
        if status.withdrawn_digest != cx.board.withdrawn_digest {
            cx.send(from, Msg::Conf(ConfMsg::WantWithdrawals));
            self.send_withdrawals(cx, from);
        }
    }
}

fn head_msg(head: &Head) -> Msg {
    let Head { version, root, change } = *head;
    Msg::Conf(ConfMsg::Head { version, root, change })
}

impl Area for ConfigSync {
    fn name(&self) -> &'static str {
        "sync"
    }

    fn on_msg(&mut self, cx: &mut Cx<'_>, from: DaemonId, msg: &Msg) {
        if let Msg::Conf(msg) = msg {
            self.on_conf_msg(cx, from, msg);
        }
    }

    fn on_event(&mut self, cx: &mut Cx<'_>, event: &Event) {
        match event {
            Event::FleetRowsRead { rows, .. } => {
                let row = rows.iter().find(|(key, _)| **key == *HEAD_ROW_KEY);
                if let Some(head) = row.and_then(|(_, row)| Head::from_head_row(row)) {
                    self.on_head_seen(cx, &head, None);
                }
            }
            Event::PullAnswered { from, status, .. } => self.on_pull_answered(cx, *from, status),
            Event::Stopping => {
                for peer in self.random_peers(cx, PUSH_FANOUT, None) {
                    self.send_withdrawals(cx, peer);
                }
            }
            _ => {}
        }
    }

    fn on_store(&mut self, cx: &mut Cx<'_>, token: StoreToken, res: &Result<StoreRep, StoreError>) {
        let object = match res {
            Ok(StoreRep::Object(Some(bytes))) => Some(bytes.as_slice()),
            _ => None,
        };
        if self.fetcher.on_store(cx.now, token, object) {
            self.metrics.count_chunks("from-store", u64::from(object.is_some()));
            return self.advance_fetch(cx);
        }
        if let Some(at) = self.history_reads.iter().position(|(t, _)| *t == token) {
            let (_, ticket) = self.history_reads.swap_remove(at);
            return answer_history(cx, ticket, res);
        }
        self.on_change_store(cx, token, res);
    }

    fn on_api(&mut self, cx: &mut Cx<'_>, ticket: Ticket, req: &ApiReq) -> bool {
        self.handle_api(cx, ticket, req)
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.advance_fetch(cx);
        self.ask_peer(cx);
        self.store_withdrawals(cx);
        self.tick_changes(cx);
    }

    fn status(&self) -> Value {
        json!({
            "version": self.head.map_or(0, |h| h.version),
            "root": self.head.map(|h| conf::tree::digest_to_hex(&h.root)),
            "fetching": self.fetcher.target_version(),
            "chunks_from_peers": self.fetcher.from_peers,
            "chunks_from_store": self.fetcher.from_store,
            "changes_waiting": self.changes.len(),
            "withdrawals_unstored": self.withdrawals.len(),
        })
    }

    fn is_idle(&self) -> bool {
        self.changes.is_idle()
    }
}
