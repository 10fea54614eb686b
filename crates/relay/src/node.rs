//! State of one daemon, shared by its tasks on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{CustomerId, DaemonId, Place, ServiceId, Version, event};
use bytes::Bytes;
use conf::{KeyHasher, Snapshot};
use derive_more::Debug;
use limit::{LocalBuckets, QuotaTolerance};
use route::RetryBudget;
use store::Table;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use crate::attempts::AnswerSizes;
use crate::clock::BootTime;
use crate::exit::Exit;
use crate::freshness::Freshness;
use crate::gossip::Gossip;
use crate::links::Links;
use crate::metrics::Metrics;
use crate::names::Names;
use crate::peers::{Hello, Incarnation, Listed, Peers, Status};
use crate::refresh::Fetched;
use crate::registration::Departure;
use crate::times::RunTimes;

/// Pause between two questions for tokens to other data centres.
const REFILL_PAUSE: Duration = Duration::from_millis(200);

/// Fixed facts of one daemon.
#[derive(Clone, Debug)]
pub struct Me {
    /// Address for datagrams and hand-offs.
    pub addr: DaemonId,
    /// Process.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub place: Place,
    /// Service whose instance this is; requests that begin here are its.
    pub service: ServiceId,
    /// Whether the whole fleet starts for the first time, so that no daemon has left a row.
    pub is_first_start: bool,
}

/// Bounds that operators state for the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest age of a proof with which keys are judged.
    pub proof_age: Duration,
    /// Longest time for a graceful stop.
    pub grace: Duration,
    /// Tokens by which a customer may pass its rate.
    pub rate_tolerance: QuotaTolerance,
}

/// State of one daemon.
#[derive(Debug)]
pub struct Node {
    /// Fixed facts.
    pub me: Me,
    /// Names of headers.
    pub names: Rc<Names>,
    /// Bounds.
    pub bounds: Bounds,
    /// The server beside this daemon.
    pub exit: Rc<Exit>,
    /// Other daemons.
    pub peers: RefCell<Peers>,
    /// Connections to them.
    pub links: Links,
    /// Counters.
    pub metrics: Metrics,
    /// Hashes callers' keys.
    pub hasher: KeyHasher,
    /// Configuration in force; tasks that wait for one are woken.
    pub snapshot: watch::Sender<Option<Arc<Snapshot>>>,
    /// Woken when the state should be sent at once to all who get it.
    pub urgent: Notify,
    /// Woken when it should be sent at once in this data centre.
    pub changed: Notify,
    /// Woken when another daemon knows a newer configuration, or proofs have become old.
    pub stale: Notify,
    /// Cancelled shortly before the daemon ends, whatever still runs.
    pub ending: CancellationToken,
    /// Woken when tokens or proofs come in.
    pub refilled: Notify,
    /// The configuration in force as its source holds it.
    pub(crate) raw: RefCell<Bytes>,
    pub(crate) freshness: RefCell<Freshness>,
    pub(crate) split: RefCell<LocalBuckets>,
    pub(crate) answer_sizes: RefCell<AnswerSizes>,
    /// Times from hand-off to answer, at all servers.
    pub(crate) answer_times: RefCell<RunTimes>,
    /// When tokens of a customer were last asked for in another data centre.
    refills: RefCell<HashMap<CustomerId, Instant>>,
    /// Set once datagrams can be sent.
    pub(crate) gossip: RefCell<Option<Rc<Gossip>>>,
    budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
    /// Set once the daemon runs.
    #[debug(skip)]
    pub(crate) table: RefCell<Option<Rc<dyn Table>>>,
    /// Departures in this daemon's row.
    pub(crate) kept_departures: RefCell<Vec<Departure>>,
    /// Whether the rows of the other daemons were read once.
    pub(crate) has_directory: Cell<bool>,
    is_stopping: Cell<bool>,
    /// When a stopping daemon answers by itself whatever still runs.
    answer_by: Cell<Option<Instant>>,
    callers: Cell<usize>,
}

impl Node {
    /// Makes the state of a daemon that knows nothing yet.
    pub fn new(
        me: Me,
        names: Rc<Names>,
        bounds: Bounds,
        exit: Rc<Exit>,
        hasher: KeyHasher,
        metrics: Metrics,
    ) -> Self {
        let peers = Peers::new(me.addr, me.place.clone());
        Self {
            names,
            exit,
            peers: RefCell::new(peers),
            links: Links::default(),
            metrics,
            hasher,
            snapshot: watch::Sender::new(None),
            urgent: Notify::new(),
            changed: Notify::new(),
            stale: Notify::new(),
            ending: CancellationToken::new(),
            refilled: Notify::new(),
            raw: RefCell::default(),
            freshness: RefCell::default(),
            split: RefCell::new(LocalBuckets::new(bounds.rate_tolerance)),
            answer_sizes: RefCell::default(),
            answer_times: RefCell::default(),
            refills: RefCell::default(),
            gossip: RefCell::default(),
            budgets: RefCell::default(),
            table: RefCell::default(),
            kept_departures: RefCell::default(),
            has_directory: Cell::new(false),
            is_stopping: Cell::new(false),
            answer_by: Cell::new(None),
            callers: Cell::new(0),
            bounds,
            me,
        }
    }

    /// The configuration in force.
    pub fn conf(&self) -> Option<Arc<Snapshot>> {
        self.snapshot.borrow().clone()
    }

    /// Version in force; 0 if none.
    pub fn version(&self) -> Version {
        self.snapshot.borrow().as_ref().map_or(0, |s| s.version)
    }

    /// Puts a configuration in force unless a newer one is; `proven_at` is when it was the newest.
    pub fn adopt(&self, fetched: Fetched, proven_at: BootTime) {
        let Fetched { snapshot, raw } = fetched;
        let version = snapshot.version;
        let is_newer = self.snapshot.borrow().as_ref().is_none_or(|old| old.version < version);
        if is_newer {
            self.split.borrow_mut().set_rates(&snapshot, Instant::now());
            event!(Info, ConfigApplied, "version={version} routes={}", snapshot.routes().count());
            for customer in snapshot.customers.values() {
                log::debug!("customer={} rate={} burst={}", customer.name, customer.rate, customer.burst);
            }
            self.raw.replace(raw);
            self.snapshot.send_replace(Some(Arc::new(snapshot)));
            self.urgent.notify_one();
        }
        self.freshness.borrow_mut().adopt(version, proven_at);
        self.refilled.notify_waiters();
    }

    /// Takes in that the version in force was still the newest at `proven_at`.
    pub fn confirm(&self, version: Version, proven_at: BootTime) {
        self.freshness.borrow_mut().confirm(version, proven_at);
        self.refilled.notify_waiters();
    }

    /// Whether keys may be judged.
    pub fn is_fresh(&self) -> bool {
        self.freshness.borrow().is_fresh(BootTime::now(), self.bounds.proof_age)
    }

    /// Age of the proof that the configuration in force is the newest.
    pub fn proof_age(&self) -> Option<Duration> {
        self.freshness.borrow().age(BootTime::now())
    }

    /// Whether this daemon takes callers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.snapshot.borrow().is_some()
    }

    /// Whether a stop was asked for.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Until when the daemon can wait for an answer that is due by `deadline`.
    pub(crate) fn waits_until(&self, deadline: Instant) -> Instant {
        self.answer_by.get().map_or(deadline, |by| by.min(deadline))
    }

    /// Starts a graceful stop; what still runs at `answer_by` is answered by the daemon itself.
    pub fn stop(&self, answer_by: Instant) {
        self.is_stopping.set(true);
        self.answer_by.set(Some(answer_by));
        self.urgent.notify_one();
    }

    /// Divides rates by the present number of daemons.
    pub fn count_members(&self) {
        if !self.has_directory.get() {
            return;
        }
        let now = Instant::now();
        let (members, centre) = {
            let peers = self.peers.borrow();
            (peers.dividers(now), peers.members_of_centre())
        };
        self.split.borrow_mut().set_daemon_counts(members, centre, self.conf().as_deref(), now);
    }

    /// Requests of callers that are being served.
    pub fn callers(&self) -> usize {
        self.callers.get()
    }

    pub(crate) fn count_caller(self: &Rc<Self>) -> CallerCount {
        self.callers.set(self.callers.get() + 1);
        CallerCount(Rc::clone(self))
    }

    /// Whether tokens of a customer may be asked for in another data centre now.
    pub(crate) fn may_refill(&self, customer: &str, now: Instant) -> bool {
        let mut refills = self.refills.borrow_mut();
        let is_soon = refills.get(customer).is_some_and(|at| now.duration_since(*at) < REFILL_PAUSE);
        if !is_soon {
            refills.insert(customer.into(), now);
        }
        !is_soon
    }

    /// Counts a first try towards the retries that the service may get.
    pub(crate) fn earn_retry(&self, service: &str) {
        let mut budgets = self.budgets.borrow_mut();
        match budgets.get_mut(service) {
            Some(budget) => budget.earn(),
            None => {
                budgets.insert(service.into(), RetryBudget::for_one_daemon());
            }
        }
    }

    /// Whether one more try at the service is covered; spends its price.
    pub(crate) fn spend_retry(&self, service: &str, reason: base::RetryReason) -> bool {
        let mut budgets = self.budgets.borrow_mut();
        let covered = budgets.get_mut(service).is_some_and(|b| b.spend(reason));
        if covered {
            self.metrics.retries.with_label_values(&[reason.code()]).inc();
        }
        covered
    }

    /// State for the daemon at `to`.
    pub fn status(&self, to: &DaemonId) -> Status {
        let now = Instant::now();
        let report = self.exit.report(now);
        let peers = self.peers.borrow();
        Status {
            incarnation: self.me.incarnation,
            report,
            version: self.version(),
            proof_age_ms: self.proof_age().map(|age| age.as_millis() as u32 + 1),
            sent_at: BootTime::now(),
            echo: peers.said_at(to),
            hears_you: peers.is_heard(to, now),
            members: peers.members() as u16,
        }
    }

    /// Introduction for the daemon at `to`.
    pub fn hello(&self, to: &DaemonId, wants_answer: bool, spread: bool) -> Hello {
        Hello { listed: self.listed(), status: self.status(to), wants_answer, spread }
    }

    /// What others need to know of this daemon.
    pub fn listed(&self) -> Listed {
        let me = &self.me;
        Listed {
            addr: me.addr,
            incarnation: me.incarnation,
            place: me.place.clone(),
            service: self.service(),
        }
    }

    /// Service of the server beside this daemon, or the one that is expected there.
    pub fn service(&self) -> ServiceId {
        self.exit.service().unwrap_or_else(|| self.me.service.clone())
    }
}

/// Counts a request while it is served.
#[derive(Debug)]
pub(crate) struct CallerCount(Rc<Node>);

impl Drop for CallerCount {
    fn drop(&mut self) {
        self.0.callers.set(self.0.callers.get() - 1);
    }
}
