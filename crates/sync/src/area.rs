//! The configuration area: follows the head row, commits changes of operators.

use std::sync::Arc;

use base::event;
use conf::source::{KeySource, Source};
use kernel::{ApiRep, ApiReq, Area, AreaEntry, Cx, Event, Setup, StoreToken, Ticket};
use rand::RngCore;
use serde_json::{Value, json};
use store::{Check, Commit, Row, StoreError, StoreOp, StoreRep, Write};

use crate::edit::{Edit, GiveKey, apply};
use crate::head::{HEAD_KEY, Head};

kernel::inventory::submit! {
    AreaEntry { name: "sync", order: 15, build: |setup| Box::new(Sync::new(setup)) }
}

/// A change on its way into the store.
#[derive(Debug)]
struct Pending {
    ticket: Ticket,
    token: StoreToken,
    head: Head,
    source: Source,
    stored: bool,
    answer: Value,
}

/// Configuration of one daemon.
#[derive(Debug)]
pub struct Sync {
    hasher: conf::KeyHasher,
    /// Source of the configuration in force.
    source: Source,
    /// Row version of the head in force; 0: none.
    row_version: u64,
    fetch: Option<(StoreToken, Head, u64)>,
    pending: Option<Pending>,
}

impl Sync {
    /// Makes the area.
    pub fn new(setup: &Setup) -> Self {
        let hasher = setup.hasher.clone();
        Self { hasher, source: Source::default(), row_version: 0, fetch: None, pending: None }
    }

    fn see_head(&mut self, cx: &mut Cx<'_>, row: &Row) {
        if row.version <= self.row_version || self.fetch.is_some() {
            return;
        }
        let Ok(head) = serde_json::from_str::<Head>(&row.value) else {
            return;
        };
        let token = cx.store(StoreOp::GetObject { name: head.root.clone() });
        self.fetch = Some((token, head, row.version));
    }

    fn adopt(&mut self, cx: &mut Cx<'_>, head: &Head, row_version: u64, source: Source) {
        if head.version <= cx.board.version() {
            return;
        }
        match conf::compile(&source, head.version) {
            Ok(snapshot) => {
                cx.pools.set_customers(snapshot.customers.keys());
                cx.board.conf = Some(Arc::new(snapshot));
                self.source = source;
                self.row_version = row_version;
                event!(Info, ConfigApplied, "version={}", head.version);
                cx.emit(Event::ConfChanged);
                cx.publish();
            }
            Err(e) => event!(Error, ConfigRefused, "version={} {e}", head.version),
        }
    }

    fn start(&mut self, cx: &mut Cx<'_>, ticket: Ticket, edit: &Edit, mut answer: Value) {
        if self.pending.is_some() {
            let rep = ApiRep::error(409, "busy", "another change is on its way", "repeat the change");
            return cx.answer(ticket, rep);
        }
        let version = cx.board.version() + 1;
        let checked = apply(&self.source, edit).and_then(|s| conf::compile(&s, version).map(|_| s));
        let source = match checked {
            Ok(source) => source,
            Err(e) => {
                let rep = ApiRep::error(422, "invalid", &e.to_string(), &e.remedy);
                return cx.answer(ticket, rep);
            }
        };
        let bytes = serde_json::to_vec(&source).unwrap_or_default();
        let root: Box<str> = blake3::hash(&bytes).to_hex().as_str().into();
        let change = format!("{:016x}{:016x}", cx.rng.next_u64(), cx.rng.next_u64()).into();
        answer["version"] = json!(version);
        let head = Head { version, root: root.clone(), change };
        let token = cx.store(StoreOp::PutObject { name: root, bytes });
        self.pending = Some(Pending { ticket, token, head, source, stored: false, answer });
    }

    fn advance(&mut self, cx: &mut Cx<'_>, mut pending: Pending, res: &Result<StoreRep, StoreError>) {
        match res {
            Ok(StoreRep::Stored) if !pending.stored => {
                pending.stored = true;
                let value = serde_json::to_string(&pending.head).unwrap_or_default();
                let checks = vec![Check { key: HEAD_KEY.into(), version: self.row_version }];
                let commit = Commit { checks, writes: vec![Write::put(HEAD_KEY, &value)] };
                pending.token = cx.store(StoreOp::Commit(commit));
                self.pending = Some(pending);
            }
            Ok(StoreRep::Committed { version }) => {
                event!(Info, ConfigCommitted, "version={}", pending.head.version);
                self.adopt(cx, &pending.head, *version, pending.source);
                cx.answer(pending.ticket, ApiRep::ok(pending.answer));
            }
            Err(StoreError::Conflict { .. }) => {
                let rep = ApiRep::error(
                    409,
                    "conflict",
                    "the configuration changed meanwhile",
                    "read it and repeat",
                );
                cx.answer(pending.ticket, rep);
            }
            other => {
                let problem = format!("{other:?}");
                cx.answer(
                    pending.ticket,
                    ApiRep::error(503, "store", &problem, "repeat when the store answers"),
                );
            }
        }
    }

    fn give(&mut self, cx: &mut Cx<'_>, ticket: Ticket, body: &[u8]) {
        let give: GiveKey = match serde_json::from_slice(body) {
            Ok(give) => give,
            Err(e) => {
                return cx
                    .answer(ticket, ApiRep::error(400, "bad-key", &e.to_string(), "send name and customer"));
            }
        };
        let secret = format!("{:016x}{:016x}", cx.rng.next_u64(), cx.rng.next_u64());
        let hash = blake3::Hash::from(self.hasher.hash(secret.as_bytes())).to_hex();
        let key = KeySource {
            name: give.name,
            hash: hash.as_str().into(),
            customer: give.customer,
            expires: give.expires,
        };
        self.start(cx, ticket, &Edit::Give(key), json!({ "secret": secret }));
    }
}

impl Area for Sync {
    fn name(&self) -> &'static str {
        "sync"
    }

    fn on_event(&mut self, cx: &mut Cx<'_>, event: &Event) {
        if let Event::FleetRows { rows, .. } = event
            && let Some((_, row)) = rows.iter().find(|(key, _)| **key == *HEAD_KEY)
        {
            self.see_head(cx, row);
        }
    }

    fn on_store(&mut self, cx: &mut Cx<'_>, token: StoreToken, res: &Result<StoreRep, StoreError>) {
        if let Some((_, head, row_version)) = self.fetch.take_if(|(t, ..)| *t == token)
            && let Ok(StoreRep::Object(Some(bytes))) = res
            && let Ok(source) = serde_json::from_slice(bytes)
        {
            self.adopt(cx, &head, row_version, source);
        }
        if let Some(pending) = self.pending.take_if(|p| p.token == token) {
            self.advance(cx, pending, res);
        }
    }

    fn on_api(&mut self, cx: &mut Cx<'_>, ticket: Ticket, req: &ApiReq) -> bool {
        match (&*req.method, req.segments().as_slice()) {
            ("PUT", ["v1", "config"]) => {
                let text = String::from_utf8_lossy(&req.body);
                match conf::source::parse("request", &text) {
                    Ok(source) => self.start(cx, ticket, &Edit::Replace(Box::new(source)), json!({})),
                    Err(e) => cx.answer(ticket, ApiRep::error(422, "invalid", &e.to_string(), &e.remedy)),
                }
            }
            ("POST", ["v1", "keys"]) => self.give(cx, ticket, &req.body),
            ("DELETE", ["v1", "keys", name]) => {
                self.start(cx, ticket, &Edit::Withdraw((*name).into()), json!({}));
            }
            _ => return false,
        }
        true
    }

    fn status(&self) -> Value {
        json!({ "row_version": self.row_version, "keys": self.source.key.len() })
    }
}
