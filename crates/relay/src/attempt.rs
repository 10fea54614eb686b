//! One attempt at a request: hands it to a daemon and takes in what comes back. It owns what it needs, so that two can
//! be under way beside each other; to drop one cancels its run.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use base::DaemonId;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, Uri};
use smallvec::SmallVec;
use tokio::time::timeout_at;

use crate::body::{Body, MAX_HELD_BYTES, hold};
use crate::handoff::{self, ORDER, Order, REPORT, Reason, Report, VERDICT, Verdict};
use crate::links::LinkError;
use crate::node::Node;
use crate::sent::OVERDUE_FACTOR;

/// Time past the deadline in which an answer still counts.
const DEADLINE_SLACK: Duration = Duration::from_millis(250);
/// Weight of a new answer in the mean size.
const SIZE_WEIGHT: f64 = 0.2;

/// What became of one attempt.
pub(crate) enum Outcome {
    Answer(Box<Response<Body>>),
    Verdict(Verdict),
}

/// Facts of one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Facts {
    pub(crate) to: DaemonId,
    pub(crate) sent_at: Instant,
    /// When it has taken far longer than expected.
    pub(crate) overdue_at: Instant,
    /// Age in milliseconds of the report by which its daemon was chosen; -1 if there was none.
    pub(crate) report_ms: i64,
}

/// An attempt that is under way.
struct Attempt {
    facts: Facts,
    work: Pin<Box<dyn Future<Output = Outcome>>>,
}

/// The attempts of one request that are under way: two at most.
#[derive(Default)]
pub(crate) struct UnderWay(SmallVec<[Attempt; 2]>);

impl UnderWay {
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Facts of the attempt if it is the only one.
    pub(crate) fn only(&self) -> Option<Facts> {
        let [only] = &*self.0 else { return None };
        Some(only.facts)
    }

    /// Starts an attempt.
    pub(crate) fn start(&mut self, call: Call) {
        let facts = call.facts();
        self.0.push(Attempt { facts, work: Box::pin(call.run()) });
    }

    /// Waits until one of the attempts ends, and removes it.
    pub(crate) async fn ended(&mut self) -> (Facts, Outcome) {
        let (index, outcome) = poll_fn(|cx| {
            for (index, attempt) in self.0.iter_mut().enumerate() {
                if let Poll::Ready(outcome) = attempt.work.as_mut().poll(cx) {
                    return Poll::Ready((index, outcome));
                }
            }
            Poll::Pending
        })
        .await;
        (self.0.remove(index).facts, outcome)
    }
}

/// A request for one daemon.
pub(crate) struct Call {
    pub(crate) node: Rc<Node>,
    pub(crate) id: Box<str>,
    pub(crate) to: DaemonId,
    pub(crate) order: Order,
    pub(crate) req: Request<Bytes>,
    pub(crate) deadline: Instant,
}

impl Call {
    fn facts(&self) -> Facts {
        let now = Instant::now();
        let to = self.to;
        let report_ms = if to == self.node.identity.addr {
            0
        } else {
            let age = self.node.peers.borrow().report_age(&to, now);
            age.map_or(-1, |age| age.as_millis() as i64)
        };
        let objective_left = self.order.objective_left;
        let expected = self.node.answer_times.borrow().expected(self.order.route_hash, self.order.objective);
        let patience = (expected * OVERDUE_FACTOR).max(objective_left);
        Facts { to, sent_at: now, overdue_at: now + patience, report_ms }
    }

    /// Last moment at which an answer counts.
    fn until(&self) -> Instant {
        self.deadline + DEADLINE_SLACK
    }

    async fn run(self) -> Outcome {
        let until = self.until();
        let work = async {
            if self.to == self.node.identity.addr { self.run_here().await } else { self.hand_off().await }
        };
        timeout_at(until.into(), work).await.unwrap_or(Outcome::Verdict(Verdict::Overdue))
    }

    async fn run_here(self) -> Outcome {
        match self.node.local_server.run(&self.order, self.req).await {
            Ok(rep) => Outcome::Answer(Box::new(rep)),
            Err(verdict) => Outcome::Verdict(verdict),
        }
    }

    async fn hand_off(mut self) -> Outcome {
        let to = self.to;
        let Some(req) = self.for_link() else {
            return Outcome::Verdict(Verdict::declined(Reason::Unreachable));
        };
        self.node.peers.borrow_mut().note_handoff(to);
        match self.node.links.send(to, req).await {
            Ok(rep) => self.take_answer(rep).await,
            Err(e) => {
                self.node.peers.borrow_mut().note_path_failure(to, Instant::now());
                self.node.links.forget(&to);
                Outcome::Verdict(match e {
                    LinkError::NotSent => Verdict::declined(Reason::Unreachable),
                    LinkError::Unknown => Verdict::Broken,
                })
            }
        }
    }

    /// Takes the request in the form for a connection between daemons: the host is part of the target.
    fn for_link(&mut self) -> Option<Request<Full<Bytes>>> {
        let mut req = std::mem::take(&mut self.req);
        let host = req.headers_mut().remove(HOST)?;
        let uri = Uri::builder().scheme("http").authority(host.as_bytes());
        let path = req.uri().path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/"));
        *req.uri_mut() = uri.path_and_query(path).build().ok()?;
        *req.version_mut() = hyper::Version::HTTP_2;
        handoff::put(req.headers_mut(), &ORDER, &self.order);
        Some(req.map(Full::new))
    }

    async fn take_answer(self, rep: Response<Incoming>) -> Outcome {
        let (mut parts, body) = rep.into_parts();
        if let Some(report) = handoff::take::<Report>(&mut parts.headers, &REPORT) {
            self.node.peers.borrow_mut().note_report(self.to, report, Instant::now());
        }
        if let Some(verdict) = handoff::take(&mut parts.headers, &VERDICT) {
            return Outcome::Verdict(verdict);
        }
        parts.version = hyper::Version::HTTP_11;
        if body.size_hint().upper().is_some_and(|bytes| bytes > MAX_HELD_BYTES as u64) {
            let rep = Response::from_parts(parts, Body::passing(body, None, self.until()));
            return Outcome::Answer(Box::new(rep));
        }
        let bytes = match hold(body, MAX_HELD_BYTES).await {
            Ok(bytes) => bytes,
            Err(e) => {
                log::debug!("answer of {} to {}: {e}", self.to, self.id);
                return Outcome::Verdict(Verdict::Broken);
            }
        };
        self.note_size(bytes.len());
        parts.headers.remove(CONTENT_LENGTH);
        Outcome::Answer(Box::new(Response::from_parts(parts, Body::whole(bytes))))
    }

    fn note_size(&self, bytes: usize) {
        let mut sizes = self.node.answer_sizes.borrow_mut();
        let mean = sizes.entry(self.order.route_hash).or_insert(bytes as f64);
        *mean += SIZE_WEIGHT * (bytes as f64 - *mean);
    }
}
