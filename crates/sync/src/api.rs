//! Operator API for the configuration, its history, customers and callers' keys.

use base::Version;
use conf::source::{CustomerSource, KeySource, Source};
use kernel::{ApiRep, ApiReq, Cx, Ticket};
use rand::Rng;
use serde_json::{Value, json};
use store::{StoreError, StoreOp, StoreRep};
use wire::conf::Withdrawal;

use crate::advance::replacement_edit;
use crate::area::ConfigSync;
use crate::commit::ChangeRequest;
use crate::edit::{AddKeyRequest, Edit};
use crate::head::{HistoryRow, history_prefix};

/// Length of a generated secret in random bytes.
const SECRET_BYTES: usize = 24;

impl ConfigSync {
    /// Handles a request; returns false if it does not belong to this area.
    pub(crate) fn handle_api(&mut self, cx: &mut Cx<'_>, ticket: Ticket, req: &ApiReq) -> bool {
        let rep = match (&*req.method, req.segments().as_slice()) {
            ("PUT", ["v1", "config"]) => self.put_config(cx, ticket, req),
            ("GET", ["v1", "config"]) => Some(self.show_config()),
            ("POST", ["v1", "rollback"]) => self.rollback(cx, ticket, req),
            ("GET", ["v1", "history"]) => self.history(cx, ticket, req),
            ("GET", ["v1", "customers"]) => Some(self.show_customers()),
            ("GET", ["v1", "customers", name]) => Some(self.show_customer(name)),
            ("PUT", ["v1", "customers", name]) => self.put_customer(cx, ticket, name, req),
            ("DELETE", ["v1", "customers", name]) => {
                self.enqueue_edit(cx, ticket, Edit::RemoveCustomer((*name).into()), base_version(req))
            }
            ("GET", ["v1", "keys"]) => Some(self.show_keys()),
            ("POST", ["v1", "keys"]) => self.add_key(cx, ticket, &req.body),
            ("DELETE", ["v1", "keys", name]) => self.withdraw_key(cx, ticket, name),
            _ => return false,
        };
        if let Some(rep) = rep {
            cx.answer(ticket, rep);
        }
        true
    }

    fn enqueue_edit(
        &mut self,
        cx: &mut Cx<'_>,
        ticket: Ticket,
        edit: Edit,
        base: Option<Version>,
    ) -> Option<ApiRep> {
        let request = ChangeRequest::new(cx, Some(ticket), edit, base);
        self.enqueue_change(cx, request);
        None
    }

    fn put_config(&mut self, cx: &mut Cx<'_>, ticket: Ticket, req: &ApiReq) -> Option<ApiRep> {
        let text = String::from_utf8_lossy(&req.body);
        let source = match conf::source::parse("request", &text) {
            Ok(source) => source,
            Err(e) => return Some(invalid_config(&e)),
        };
        // Without a base, the change builds on the version that is in force at this daemon now.
        let base = base_version(req).or_else(|| Some(cx.board.version()));
        self.enqueue_edit(cx, ticket, replacement_edit(&source), base)
    }

    fn rollback(&mut self, cx: &mut Cx<'_>, ticket: Ticket, req: &ApiReq) -> Option<ApiRep> {
        let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
        let Some(version) = body["version"].as_u64() else {
            let remedy = "send a JSON object such as {\"version\": 7}";
            return Some(ApiRep::error(400, "bad-rollback", "the body names no version", remedy));
        };
        let base = base_version(req).or_else(|| Some(cx.board.version()));
        self.enqueue_edit(cx, ticket, Edit::Rollback(version), base)
    }

    fn put_customer(&mut self, cx: &mut Cx<'_>, ticket: Ticket, name: &str, req: &ApiReq) -> Option<ApiRep> {
        let customer: CustomerSource = match serde_json::from_slice(&req.body) {
            Ok(customer) => customer,
            Err(e) => {
                let remedy = "send name, rate, burst, template and params as JSON";
                return Some(ApiRep::error(400, "bad-customer", &e.to_string(), remedy));
            }
        };
        if *customer.name != *name {
            let problem = "the names in path and body differ";
            return Some(ApiRep::error(400, "bad-customer", problem, "send the same name in both"));
        }
        self.enqueue_edit(cx, ticket, Edit::PutCustomer(Box::new(customer)), base_version(req))
    }

    fn add_key(&mut self, cx: &mut Cx<'_>, ticket: Ticket, body: &[u8]) -> Option<ApiRep> {
        let body: AddKeyRequest = match serde_json::from_slice(body) {
            Ok(body) => body,
            Err(e) => {
                let remedy = "send customer and name, and expires in seconds since the epoch if wanted";
                return Some(ApiRep::error(400, "bad-key", &e.to_string(), remedy));
            }
        };
        if body.expires.is_some_and(|at| at.saturating_mul(1_000) <= cx.wall_ms) {
            let remedy = "give a time in the future, in seconds since the epoch";
            return Some(ApiRep::error(400, "bad-key", "expires has passed", remedy));
        }
        // Don't use `cx.rng`, the seeded generator of the control kernel: a secret must not follow from a
        // seed.
        let bytes: [u8; SECRET_BYTES] = rand::rng().random();
        let secret = secret_to_hex(&bytes);
        let hash = conf::tree::digest_to_hex(&self.hasher.hash(secret.as_bytes()));
        let AddKeyRequest { name, customer, expires } = body;
        let edit = Edit::AddKey(KeySource { name, hash, customer, expires });
        let mut request = ChangeRequest::new(cx, Some(ticket), edit, None);
        request.extra_answer = json!({ "secret": secret });
        self.enqueue_change(cx, request);
        None
    }

    fn withdraw_key(&mut self, cx: &mut Cx<'_>, ticket: Ticket, name: &str) -> Option<ApiRep> {
        let hash = self.config.keys().find(|k| *k.name == *name).map(|k| k.hash.clone());
        let Some(key) = hash.and_then(|hash| conf::tree::digest_from_hex(&hash)) else {
            let problem = format!("no key {name:?} at version {}", cx.board.version());
            let remedy = "see `pomeloctl keys list`; a key given a moment ago may not be known here yet";
            return Some(ApiRep::error(404, "no-such-key", &problem, remedy));
        };
        let list = vec![Withdrawal { key, at_ms: cx.wall_ms }];
        self.apply_withdrawals(cx, &list, None);
        self.enqueue_edit(cx, ticket, Edit::WithdrawKeys(list), None)
    }

    fn history(&mut self, cx: &mut Cx<'_>, ticket: Ticket, req: &ApiReq) -> Option<ApiRep> {
        let version =
            query_version(req, "before").unwrap_or_else(|| cx.board.version().max(cx.board.head_seen));
        let token = cx.start_store_op(StoreOp::Range { prefix: history_prefix(version).into() });
        self.history_reads.push((token, ticket));
        None
    }

    fn show_config(&self) -> ApiRep {
        let source = Source { key: Vec::new(), ..self.config.to_source() };
        let version = self.head.map_or(0, |h| h.version);
        match toml::to_string(&source) {
            Ok(text) => ApiRep::ok(json!({ "version": version, "toml": text })),
            Err(e) => ApiRep::error(500, "no-toml", &e.to_string(), "report this as a fault of pomelopath"),
        }
    }

    fn show_customers(&self) -> ApiRep {
        let customers: Vec<_> = self.config.customers().collect();
        ApiRep::ok(json!({ "version": self.head.map_or(0, |h| h.version), "customers": customers }))
    }

    fn show_customer(&self, name: &str) -> ApiRep {
        match self.config.customers().find(|c| *c.name == *name) {
            Some(customer) => ApiRep::ok(customer),
            None => ApiRep::error(404, "no-such-customer", "no such customer", "see `pomeloctl customers`"),
        }
    }

    fn show_keys(&self) -> ApiRep {
        let unstored = self.withdrawals.list();
        let is_withdrawn =
            |k: &KeySource| unstored.iter().any(|w| *conf::tree::digest_to_hex(&w.key) == *k.hash);
        let show = |k: &KeySource| {
            let state = if is_withdrawn(k) { "withdrawn, not yet stored" } else { "valid" };
            json!({ "name": k.name, "customer": k.customer, "expires": k.expires, "state": state })
        };
        let keys: Vec<_> = self.config.keys().map(show).collect();
        ApiRep::ok(json!({ "keys": keys, "withdrawals_unstored": unstored.len() }))
    }
}

/// Answers an operator's request with the history rows that were read, newest first.
pub(crate) fn answer_history(cx: &mut Cx<'_>, ticket: Ticket, res: &Result<StoreRep, StoreError>) {
    let rep = if let Ok(StoreRep::Rows(rows)) = res {
        let texts = rows.iter().filter_map(|(_, row)| serde_json::from_str(&row.value).ok());
        let mut changes: Vec<HistoryRow> = texts.collect();
        changes.reverse();
        ApiRep::ok(json!({ "changes": changes }))
    } else {
        let remedy = "repeat when `pomeloctl status` shows the store up";
        ApiRep::error(503, "store-down", "the store does not answer", remedy)
    };
    cx.answer(ticket, rep);
}

/// Secret as the caller sends it: its bytes in hexadecimal.
fn secret_to_hex(bytes: &[u8; SECRET_BYTES]) -> String {
    let digit = |nibble: u8| char::from_digit(u32::from(nibble), 16).unwrap_or('0');
    bytes.iter().flat_map(|b| [digit(b >> 4), digit(b & 15)]).collect()
}

fn invalid_config(e: &conf::ConfError) -> ApiRep {
    let mut rep = ApiRep::error(422, "invalid", &e.to_string(), &e.remedy);
    rep.body["fault"] = serde_json::to_value(e).unwrap_or(Value::Null);
    rep
}

/// Version given as a query parameter.
fn query_version(req: &ApiReq, name: &str) -> Option<Version> {
    req.query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// Version on which the operator bases the change.
fn base_version(req: &ApiReq) -> Option<Version> {
    query_version(req, "base")
}
