//! Starts pipelined requests before the answers of those in front of them are complete.
//!
//! hyper takes the next request of a connection only after it has answered the one before. Answers have to keep that
//! order, but the work need not wait: what arrives behind an unanswered request is started at once if it may
//! run more than once and has no body. hyper's own reading stays authoritative: work that was started is
//! used only for the same request, and dropped otherwise.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use tokio::task::JoinHandle;

use crate::body::Body;
use crate::entry;
use crate::node::Node;

/// Requests of one connection that may be started ahead of their turn.
const MAX_AHEAD: usize = 8;
/// Header lines of a request that is started ahead.
const MAX_HEADERS: usize = 64;

/// A request whose head has arrived.
#[derive(Debug)]
enum Seen {
    /// It is left to hyper.
    Left,
    /// Its work has started.
    Started(Early),
}

/// Work on a request that was started ahead of its turn; ends when dropped.
#[derive(Debug)]
struct Early {
    method: Method,
    uri: Uri,
    id: Option<HeaderValue>,
    task: JoinHandle<Response<Body>>,
}

impl Drop for Early {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Requests of one connection that have arrived and not come to their turn, oldest first.
#[derive(Debug)]
pub struct Ahead {
    node: Rc<Node>,
    seen: RefCell<VecDeque<Seen>>,
    /// Whether the connection has carried a request.
    has_asked: Cell<bool>,
    /// Requests at their turn whose answers are not complete.
    unanswered: Cell<usize>,
    /// Whether the connection closes with the answer to the request at its turn.
    is_last: Cell<bool>,
}

impl Ahead {
    /// For a new connection.
    pub fn new(node: Rc<Node>) -> Self {
        Self {
            node,
            seen: RefCell::default(),
            has_asked: Cell::new(false),
            unanswered: Cell::new(0),
            is_last: Cell::new(false),
        }
    }

    /// Takes in that the connection closes with the answer to the request at its turn: nothing behind it is started.
    pub fn note_last(&self) {
        self.is_last.set(true);
    }

    /// Takes in a head as soon as it arrives; `length` is that of its body, if known.
    pub fn note(&self, head: &[u8], length: Option<u64>) {
        self.has_asked.set(true);
        let waits = self.unanswered.get() > 0 || !self.seen.borrow().is_empty();
        let has_room = self.seen.borrow().len() < MAX_AHEAD;
        // A daemon that stops closes its connections, and what it has passed on must be answered before.
        let is_closing = self.is_last.get() || self.node.is_stopping();
        let may_start = waits && has_room && length == Some(0) && !is_closing;
        let early = if may_start { self.start(head) } else { None };
        self.seen.borrow_mut().push_back(early.map_or(Seen::Left, Seen::Started));
    }

    /// Whether a request behind the one at its turn has been started, so that the connection has to stay open.
    pub fn has_started(&self) -> bool {
        self.seen.borrow().iter().any(|seen| matches!(seen, Seen::Started(_)))
    }

    /// Whether the connection has carried a request.
    pub fn has_asked(&self) -> bool {
        self.has_asked.get()
    }

    /// Whether no request is at its turn or started ahead of it.
    pub fn is_idle(&self) -> bool {
        self.unanswered.get() == 0 && !self.has_started()
    }

    /// Answers a request whose turn has come, with the work that was started for it if there is any.
    pub async fn answer<B>(&self, req: Request<B>) -> Response<Body>
    where
        B: hyper::body::Body<Data = Bytes> + Unpin,
    {
        let seen = self.seen.borrow_mut().pop_front();
        self.unanswered.set(self.unanswered.get() + 1);
        let rep = match seen {
            Some(Seen::Started(early)) if early.is_for(&req, &self.node) => {
                early.finish(&self.node, req).await
            }
            _ => entry::serve(Rc::clone(&self.node), req).await,
        };
        self.unanswered.set(self.unanswered.get() - 1);
        rep
    }

    fn start(&self, head: &[u8]) -> Option<Early> {
        let parts = parse(head)?;
        if !self.is_repeatable(&parts) {
            return None;
        }
        let (method, uri) = (parts.method.clone(), parts.uri.clone());
        let id = parts.headers.get(&self.node.names.request_id).cloned();
        let req = Request::from_parts(parts, Empty::<Bytes>::new());
        let task = tokio::task::spawn_local(entry::serve(Rc::clone(&self.node), req));
        Some(Early { method, uri, id, task })
    }

    fn is_repeatable(&self, parts: &Parts) -> bool {
        let host = edge::admit::request_host(parts);
        let conf = self.node.conf();
        let route = conf.as_ref().and_then(|c| c.match_route(host, parts.uri.path(), parts.method.as_str()));
        parts.method == Method::GET && route.is_some_and(|r| r.is_repeatable(parts.method.as_str()))
    }
}

impl Early {
    fn is_for<B>(&self, req: &Request<B>, node: &Node) -> bool {
        *req.method() == self.method
            && *req.uri() == self.uri
            && req.headers().get(&node.names.request_id) == self.id.as_ref()
    }

    async fn finish<B>(mut self, node: &Rc<Node>, req: Request<B>) -> Response<Body>
    where
        B: hyper::body::Body<Data = Bytes> + Unpin,
    {
        match (&mut self.task).await {
            Ok(rep) => rep,
            Err(e) => {
                log::error!("work on a pipelined request ended: {e}");
                entry::serve(Rc::clone(node), req).await
            }
        }
    }
}

/// Reads a head; none if it is not a plain one of HTTP/1.1.
fn parse(head: &[u8]) -> Option<Parts> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let is_whole = parsed.parse(head).ok()?.is_complete();
    if !is_whole || parsed.version != Some(1) {
        return None;
    }
    let mut req = Request::builder().method(parsed.method?).uri(parsed.path?);
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        req = req.header(name, value);
    }
    req.body(()).ok().map(|req| req.into_parts().0)
}
