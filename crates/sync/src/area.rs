//! The configuration area: what is in force here, and how inputs reach its parts.

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
use crate::commit::Commits;
use crate::fetch::Fetcher;
use crate::head::{HEAD_ROW_KEY, Head};
use crate::metrics::Metrics;
use crate::withdraw::Withdrawals;

kernel::inventory::submit! {
    AreaEntry { name: "sync", order: 15, build: |setup| Box::new(ConfigSync::new(setup)) }
}

/// Random peers to which a daemon pushes what is new to it.
const FANOUT: usize = 5;
/// Interval of questions to a random peer while pulls bring nothing.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a pull's answer in which no peer is asked.
const PULL_COVERS: Duration = Duration::from_secs(2);
/// Largest answer to a request for chunks, in bytes.
const MAX_CHUNKS_BYTES: usize = 512 * 1024;
/// Most withdrawals in one message.
const MAX_WITHDRAWALS: usize = 1_000;

/// Configuration of one daemon.
#[derive(Debug)]
pub struct ConfigSync {
    pub(crate) hasher: conf::KeyHasher,
    pub(crate) metrics: Metrics,
    /// Peers to ask while no member is known.
    seeds: Vec<DaemonId>,
    /// Head in force; none: no configuration yet.
    pub(crate) head: Option<Head>,
    /// Configuration in force.
    pub(crate) config: Config,
    /// Its chunks.
    pub(crate) tree: Tree,
    pub(crate) compiler: Compiler,
    pub(crate) fetcher: Fetcher,
    pub(crate) withdrawals: Withdrawals,
    pub(crate) commits: Commits,
    /// Reads of history rows for operators.
    pub(crate) reads: Vec<(StoreToken, Ticket)>,
    ask_at: Option<Instant>,
    /// When the last pull was answered here.
    pulled_at: Option<Instant>,
}

impl ConfigSync {
    /// Makes the area.
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
            commits: Commits::default(),
            reads: Vec::new(),
            ask_at: None,
            pulled_at: None,
        }
    }

    /// Learns of a committed head.
    pub(crate) fn see_head(&mut self, cx: &mut Cx<'_>, head: &Head, from: Option<DaemonId>) {
        cx.board.head_seen = cx.board.head_seen.max(head.version);
        self.fetcher.aim(head, from, cx.board.version(), &self.tree.chunks);
        self.fetch(cx);
    }

    /// Goes on fetching and puts the result in force.
    fn fetch(&mut self, cx: &mut Cx<'_>) {
        match self.fetcher.step(cx, &self.config) {
            Some(Ok((head, config))) => match self.compiler.compile(&config, head.version) {
                Ok(snapshot) => {
                    let tree = conf::tree::build_tree(&config);
                    self.adopt(cx, head, config, tree, snapshot);
                }
                Err(e) => self.refuse(&head, &e),
            },
            Some(Err(e)) => {
                if let Some(version) = self.fetcher.target() {
                    event!(Error, ConfigRefused, "version={version} {e}");
                    self.metrics.change("unreadable");
                    self.fetcher.refuse(version);
                }
            }
            None => {}
        }
    }

    fn refuse(&mut self, head: &Head, e: &conf::ConfError) {
        event!(Error, ConfigRefused, "version={} {e}", head.version);
        self.metrics.change("unreadable");
        self.fetcher.refuse(head.version);
    }

    /// Puts a configuration in force. Versions never fall.
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
        let stored = self.withdrawals.drop_carried(&snapshot);
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
        self.push(cx, &head_msg(&head), None);
        self.resume(cx);
    }

    /// Sends a message to a few random peers.
    fn push(&self, cx: &mut Cx<'_>, msg: &Msg, except: Option<DaemonId>) {
        for peer in self.some_peers(cx, FANOUT, except) {
            cx.send(peer, msg.clone());
        }
    }

    fn some_peers(&self, cx: &mut Cx<'_>, count: usize, except: Option<DaemonId>) -> Vec<DaemonId> {
        let members = cx.board.members.values().filter(|m| m.is_alive()).map(|m| m.id);
        let usual = members.filter(|id| Some(*id) != except).choose_multiple(cx.rng, count);
        if !usual.is_empty() {
            return usual;
        }
        self.seeds.iter().copied().filter(|id| Some(*id) != except).choose_multiple(cx.rng, count)
    }

    /// Takes withdrawals, puts them in force here and passes on what is new.
    pub(crate) fn withdraw(&mut self, cx: &mut Cx<'_>, list: &[Withdrawal], from: Option<DaemonId>) {
        let new = self.withdrawals.add(list, cx.board.conf.as_deref());
        if new.is_empty() {
            return;
        }
        event!(Info, KeyWithdrawn, "keys={} from={from:?}", new.len());
        self.withdrawals.plan(cx.now, from.is_none(), cx.rng);
        self.publish_withdrawals(cx);
        self.push(cx, &Msg::Conf(ConfMsg::Withdrawals { list: new }), from);
    }

    fn publish_withdrawals(&mut self, cx: &mut Cx<'_>) {
        cx.board.withdrawn = self.withdrawals.keys();
        cx.board.withdrawn_digest = self.withdrawals.digest();
        self.metrics.set_unstored(self.withdrawals.len());
        cx.publish_view();
    }

    fn send_withdrawals(&self, cx: &mut Cx<'_>, to: DaemonId) {
        for list in self.withdrawals.list().chunks(MAX_WITHDRAWALS) {
            cx.send(to, Msg::Conf(ConfMsg::Withdrawals { list: list.to_vec() }));
        }
    }

    fn on_conf(&mut self, cx: &mut Cx<'_>, from: DaemonId, msg: &ConfMsg) {
        match msg {
            ConfMsg::Head { version, root, change } => {
                let head = Head { version: *version, root: *root, change: *change };
                self.see_head(cx, &head, Some(from));
                self.answer_older(cx, from, *version);
            }
            ConfMsg::WantHead { have } => self.answer_older(cx, from, *have),
            ConfMsg::WantChunks { digests } => self.send_chunks(cx, from, digests),
            ConfMsg::Chunks { chunks } => {
                self.fetcher.receive(chunks);
                self.metrics.chunks("from-peer", chunks.len() as u64);
                self.fetch(cx);
            }
            ConfMsg::Withdrawals { list } => self.withdraw(cx, list, Some(from)),
            ConfMsg::WantWithdrawals => self.send_withdrawals(cx, from),
        }
    }

    /// Tells a daemon with an older version of the one in force here.
    fn answer_older(&self, cx: &mut Cx<'_>, to: DaemonId, have: base::Version) {
        if let Some(head) = self.head.filter(|h| h.version > have) {
            cx.send(to, head_msg(&head));
        }
    }

    fn send_chunks(&self, cx: &mut Cx<'_>, to: DaemonId, digests: &[conf::Digest]) {
        let mut chunks = Vec::new();
        let mut size = 0;
        for bytes in digests.iter().filter_map(|d| self.tree.chunks.get(d)) {
            size += bytes.len();
            if size > MAX_CHUNKS_BYTES && !chunks.is_empty() {
                break;
            }
            chunks.push(bytes.to_vec());
        }
        if chunks.is_empty() {
            return self.answer_older(cx, to, 0);
        }
        self.metrics.chunks("to-peer", chunks.len() as u64);
        cx.send(to, Msg::Conf(ConfMsg::Chunks { chunks }));
    }

    /// Asks a random peer for news while pulls bring none.
    fn ask_peer(&mut self, cx: &mut Cx<'_>) {
        let is_covered = self.pulled_at.is_some_and(|at| cx.now < at + PULL_COVERS);
        if is_covered || self.ask_at.is_some_and(|at| cx.now < at) {
            return;
        }
        self.ask_at = Some(cx.now + ASK_INTERVAL);
        let have = cx.board.version();
        for peer in self.some_peers(cx, 1, None) {
            cx.send(peer, Msg::Conf(ConfMsg::WantHead { have }));
            cx.send(peer, Msg::Conf(ConfMsg::WantWithdrawals));
        }
    }

    fn on_pulled(&mut self, cx: &mut Cx<'_>, from: DaemonId, known: &wire::fresh::ViewStatus) {
        self.pulled_at = Some(cx.now);
        cx.board.head_seen = cx.board.head_seen.max(known.version);
        let have = cx.board.version();
        if known.version > have {
            cx.send(from, Msg::Conf(ConfMsg::WantHead { have }));
        }
        if known.version < have {
            self.answer_older(cx, from, known.version);
        }
        if known.withdrawn_digest != cx.board.withdrawn_digest {
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
            self.on_conf(cx, from, msg);
        }
    }

    fn on_event(&mut self, cx: &mut Cx<'_>, event: &Event) {
        match event {
            Event::FleetRowsRead { rows, .. } => {
                let row = rows.iter().find(|(key, _)| **key == *HEAD_ROW_KEY);
                if let Some(head) = row.and_then(|(_, row)| Head::from_head_row(row)) {
                    self.see_head(cx, &head, None);
                }
            }
            Event::PullAnswered { from, status, .. } => self.on_pulled(cx, *from, status),
            Event::Stopping => {
                for peer in self.some_peers(cx, FANOUT, None) {
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
            self.metrics.chunks("from-store", u64::from(object.is_some()));
            return self.fetch(cx);
        }
        if let Some(at) = self.reads.iter().position(|(t, _)| *t == token) {
            let (_, ticket) = self.reads.swap_remove(at);
            return answer_history(cx, ticket, res);
        }
        self.on_commit_store(cx, token, res);
    }

    fn on_api(&mut self, cx: &mut Cx<'_>, ticket: Ticket, req: &ApiReq) -> bool {
        self.handle_api(cx, ticket, req)
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.fetch(cx);
        self.ask_peer(cx);
        self.store_withdrawals(cx);
        self.tick_commits(cx);
    }

    fn status(&self) -> Value {
        json!({
            "version": self.head.map_or(0, |h| h.version),
            "root": self.head.map(|h| conf::tree::digest_to_hex(&h.root)),
            "fetching": self.fetcher.target(),
            "chunks_from_peers": self.fetcher.from_peers,
            "chunks_from_store": self.fetcher.from_store,
            "changes_waiting": self.commits.len(),
            "withdrawals_unstored": self.withdrawals.len(),
        })
    }

    fn is_idle(&self) -> bool {
        self.commits.is_idle()
    }
}
