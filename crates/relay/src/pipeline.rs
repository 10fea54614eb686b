//! Starts pipelined requests before the requests in front of them are answered.
//!
//! hyper reads the next request of a connection only after it has answered the previous one. Answers must
//! keep that order, but running a request needn't wait: one behind an unanswered request is started at once
//! if it may run more than once and has no body. If the answer in front breaks off while it is streamed, the
//! connection ends and those behind are lost, so none is started behind a route with such answers, or while there is no
//! memory to buffer them.
//!
//! What hyper reads stays authoritative. The answer to a request that was started early is used only if hyper
//! then reads the same request, and is dropped otherwise.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use conf::Route;
use http_body_util::Empty;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::body::{Body, MAX_BUFFERED_BYTES};
use crate::caller_requests::{CallerRequests, StartedEarly};
use crate::ingress;
use crate::node::Node;

/// Number of requests on a connection that hyper has not read yet, started or not, at which no further one
/// is started early.
const EARLY_START_QUEUE_LIMIT: usize = 8;
/// Largest number of header lines in a request that is started early.
const MAX_HEADER_LINES: usize = 64;

/// A request whose head has arrived, but which hyper has not read yet.
#[derive(Debug)]
struct QueuedRequest {
    state: QueuedState,
    /// Whether its answer may be streamed.
    may_stream: bool,
}

#[derive(Debug)]
enum QueuedState {
    /// The request is served when hyper reads it.
    Unstarted,
    /// The request has been started early.
    Started(Box<EarlyRequest>),
}

/// A request that was started before hyper has read it. Dropping it cancels the request.
#[derive(Debug)]
struct EarlyRequest {
    method: Method,
    uri: Uri,
    id: Option<HeaderValue>,
    task: JoinHandle<Response<Body>>,
    _started: StartedEarly,
}

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Requests of one connection whose heads have arrived but which hyper has not read yet, oldest first.
#[derive(Debug)]
pub struct Pipeline {
    node: Rc<Node>,
    requests: Rc<CallerRequests>,
    queue: RefCell<VecDeque<QueuedRequest>>,
    /// Whether any request has arrived on the connection.
    has_received: Cell<bool>,
    /// Notified when a request is started early.
    started: Notify,
    /// Id of the request that hyper has read and that is not answered yet, as shown in logs.
    unanswered: RefCell<Option<Box<str>>>,
    /// Whether the answer to the request that hyper has read last may be streamed.
    current_may_stream: Cell<bool>,
    /// Whether the connection will close after the answer to the current request.
    is_last: Cell<bool>,
}

impl Pipeline {
    /// Creates the pipeline of a new connection with these requests.
    pub fn new(node: Rc<Node>, requests: Rc<CallerRequests>) -> Self {
        Self {
            node,
            requests,
            queue: RefCell::default(),
            has_received: Cell::new(false),
            started: Notify::new(),
            unanswered: RefCell::default(),
            current_may_stream: Cell::new(false),
            is_last: Cell::new(false),
        }
    }

    /// Records that the connection closes after the answer to the current request, so no request behind it is
    /// started early.
    pub fn set_last(&self) {
        self.is_last.set(true);
    }

    /// Records the head of a request as soon as it arrives, and starts the request early if possible.
    /// `length` is the length of the body, if known.
    pub fn on_head(&self, head: &[u8], length: Option<u64>) {
        self.has_received.set(true);
        let must_wait = self.unanswered.borrow().is_some() || !self.queue.borrow().is_empty();
        let has_room = self.queue.borrow().len() < EARLY_START_QUEUE_LIMIT;
        // A stopping daemon closes its connections, but would first have to answer every request that it has
        // started.
        let is_closing = self.is_last.get() || self.node.is_stopping();
        let has_memory = self.node.body_memory.free() >= MAX_BUFFERED_BYTES;
        let may_start = must_wait
            && has_room
            && has_memory
            && length == Some(0)
            && !is_closing
            && !self.is_behind_stream();
        let has_streamed = !self.node.streamed_routes.borrow().is_empty();
        let parts = (may_start || has_streamed).then(|| parse_head(head)).flatten();
        let may_stream = has_streamed && parts.as_ref().is_none_or(|parts| self.may_stream(parts));
        let early = parts.filter(|_| may_start).and_then(|parts| self.start_early(parts));
        let state = early.map_or(QueuedState::Unstarted, QueuedState::Started);
        self.queue.borrow_mut().push_back(QueuedRequest { state, may_stream });
    }

    /// Whether an answer in front of the next request may be streamed.
    fn is_behind_stream(&self) -> bool {
        self.current_may_stream.get() || self.queue.borrow().iter().any(|queued| queued.may_stream)
    }

    /// Whether a request behind the current one has been started early, so that the connection must stay open
    /// for its answer.
    pub fn has_started(&self) -> bool {
        self.queue.borrow().iter().any(|queued| matches!(queued.state, QueuedState::Started(_)))
    }

    /// Waits until a request behind the current one has been started early.
    pub async fn wait_until_started(&self) {
        while !self.has_started() {
            self.started.notified().await;
        }
    }

    /// Whether any request has arrived on the connection.
    pub fn has_received(&self) -> bool {
        self.has_received.get()
    }

    /// Ids of the requests that have been started and are not answered yet, oldest first, as shown in logs.
    pub fn unanswered_ids(&self) -> Vec<Box<str>> {
        let mut ids = Vec::from_iter(self.unanswered.borrow().clone());
        for queued in &*self.queue.borrow() {
            if let QueuedState::Started(early) = &queued.state {
                ids.push(early.logged_id());
            }
        }
        ids
    }

    /// Whether no request is being answered or has been started early.
    pub fn is_idle(&self) -> bool {
        self.unanswered.borrow().is_none() && !self.has_started()
    }

    /// Answers a request that hyper has read: with the result of its early start if there is one, otherwise
    /// by serving it now. `id` is the request's id, as shown in logs.
    pub async fn respond<B>(&self, id: &str, req: Request<B>) -> Response<Body>
    where
        B: hyper::body::Body<Data = Bytes> + Unpin,
    {
        let queued = self.queue.borrow_mut().pop_front();
        self.unanswered.replace(Some(id.into()));
        self.current_may_stream.set(queued.as_ref().is_some_and(|queued| queued.may_stream));
        let rep = match queued.map(|queued| queued.state) {
            Some(QueuedState::Started(early)) if early.matches(&req, &self.node) => {
                early.finish(&self.node, &self.requests, req).await
            }
            _ => ingress::serve_request(Rc::clone(&self.node), Rc::clone(&self.requests), req).await,
        };
        self.unanswered.take();
        rep
    }

    fn start_early(&self, parts: Parts) -> Option<Box<EarlyRequest>> {
        if !self.is_repeatable(&parts) {
            return None;
        }
        let (method, uri) = (parts.method.clone(), parts.uri.clone());
        let id = parts.headers.get(&self.node.header_names.request_id).cloned();
        let req = Request::from_parts(parts, Empty::<Bytes>::new());
        let started = self.requests.start_early();
        let serving = ingress::serve_request(Rc::clone(&self.node), Rc::clone(&self.requests), req);
        let resources = started.resources();
        let task = tokio::task::spawn_local(async move {
            let rep = serving.await;
            resources.replace(rep.body().resources());
            rep
        });
        self.started.notify_one();
        Some(Box::new(EarlyRequest { method, uri, id, task, _started: started }))
    }

    fn is_repeatable(&self, parts: &Parts) -> bool {
        parts.method == Method::GET
            && self.route(parts).is_some_and(|r| r.is_repeatable(parts.method.as_str()))
    }

    /// Whether an answer on the request's route was streamed before.
    fn may_stream(&self, parts: &Parts) -> bool {
        let streamed_routes = self.node.streamed_routes.borrow();
        self.route(parts).is_some_and(|route| streamed_routes.contains(&ingress::route_hash(&route)))
    }

    fn route(&self, parts: &Parts) -> Option<Arc<Route>> {
        let host = edge::admit::request_host(parts);
        let conf = self.node.conf()?;
        conf.match_route(host, parts.uri.path(), parts.method.as_str()).cloned()
    }
}

impl EarlyRequest {
    fn logged_id(&self) -> Box<str> {
        self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-").into()
    }

    fn matches<B>(&self, req: &Request<B>, node: &Node) -> bool {
        *req.method() == self.method
            && *req.uri() == self.uri
            && req.headers().get(&node.header_names.request_id) == self.id.as_ref()
    }

    async fn finish<B>(
        mut self,
        node: &Rc<Node>,
        requests: &Rc<CallerRequests>,
        req: Request<B>,
    ) -> Response<Body>
    where
        B: hyper::body::Body<Data = Bytes> + Unpin,
    {
        match (&mut self.task).await {
            Ok(rep) => rep,
            Err(e) => {
                log::error!(
                    "task of a request that was started early failed, so the request is served again: {e}"
                );
                ingress::serve_request(Rc::clone(node), Rc::clone(requests), req).await
            }
        }
    }
}

/// Parses the head of an HTTP/1.1 request; `None` if it is incomplete or of another version.
fn parse_head(head: &[u8]) -> Option<Parts> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
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
