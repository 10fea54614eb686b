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
use limit::{Split, Tolerance};
use route::Budget;
use store::Table;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use crate::attempts::ResponseSizes;
use crate::clock::BootTime;
use crate::config_refresh::FetchedConfig;
use crate::freshness::Freshness;
use crate::gossip::Gossip;
use crate::header_names::HeaderNames;
use crate::links::Links;
use crate::local_server::LocalServer;
use crate::metrics::Metrics;
use crate::peers::{Hello, Incarnation, PeerInfo, Peers, Status};
use crate::registration::Departure;
use crate::run_times::RunTimes;

/// Pause between two questions for tokens to other data centres.
const REFILL_INTERVAL: Duration = Duration::from_millis(200);

/// Fixed facts of one daemon.
#[derive(Clone, Debug)]
pub struct Identity {
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
    pub max_proof_age: Duration,
    /// Longest time for a graceful stop.
    pub grace_period: Duration,
    /// Tokens by which a customer may pass its rate.
    pub rate_tolerance: Tolerance,
}

/// State of one daemon.
#[derive(Debug)]
pub struct Node {
    /// Fixed facts.
    pub identity: Identity,
    /// Names of headers.
    pub header_names: Rc<HeaderNames>,
    /// Bounds.
    pub bounds: Bounds,
    /// The server beside this daemon.
    pub local_server: Rc<LocalServer>,
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
    pub status_urgent: Notify,
    /// Woken when it should be sent at once in this data centre.
    pub status_changed: Notify,
    /// Woken when another daemon knows a newer configuration, or proofs have become old.
    pub refresh_wanted: Notify,
    /// Cancelled shortly before the daemon ends, whatever still runs.
    pub abort_requests: CancellationToken,
    /// Woken when tokens or proofs come in.
    pub admission_changed: Notify,
    /// The configuration in force as its source holds it.
    pub(crate) raw_conf: RefCell<Bytes>,
    pub(crate) freshness: RefCell<Freshness>,
    pub(crate) rate_split: RefCell<Split>,
    pub(crate) response_sizes: RefCell<ResponseSizes>,
    /// Times from hand-off to answer, at all servers.
    pub(crate) answer_times: RefCell<RunTimes>,
    /// When tokens of a customer were last asked for in another data centre.
    last_refills: RefCell<HashMap<CustomerId, Instant>>,
    /// Set once datagrams can be sent.
    pub(crate) gossip: RefCell<Option<Rc<Gossip>>>,
    budgets: RefCell<HashMap<ServiceId, Budget>>,
    /// Set once the daemon runs.
    #[debug(skip)]
    pub(crate) table: RefCell<Option<Rc<dyn Table>>>,
    /// Departures in this daemon's row.
    pub(crate) stored_departures: RefCell<Vec<Departure>>,
    /// Whether the rows of the other daemons were read once.
    pub(crate) has_read_directory: Cell<bool>,
    is_stopping: Cell<bool>,
    /// When a stopping daemon answers by itself whatever still runs.
    answer_by: Cell<Option<Instant>>,
    active_requests: Cell<usize>,
}

impl Node {
    /// Makes the state of a daemon that knows nothing yet.
    pub fn new(
        identity: Identity,
        header_names: Rc<HeaderNames>,
        bounds: Bounds,
        local_server: Rc<LocalServer>,
        hasher: KeyHasher,
        metrics: Metrics,
    ) -> Self {
        let peers = Peers::new(identity.addr, identity.place.clone());
        Self {
            header_names,
            local_server,
            peers: RefCell::new(peers),
            links: Links::default(),
            metrics,
            hasher,
            snapshot: watch::Sender::new(None),
            status_urgent: Notify::new(),
            status_changed: Notify::new(),
            refresh_wanted: Notify::new(),
            abort_requests: CancellationToken::new(),
            admission_changed: Notify::new(),
            raw_conf: RefCell::default(),
            freshness: RefCell::default(),
            rate_split: RefCell::new(Split::new(bounds.rate_tolerance)),
            response_sizes: RefCell::default(),
            answer_times: RefCell::default(),
            last_refills: RefCell::default(),
            gossip: RefCell::default(),
            budgets: RefCell::default(),
            table: RefCell::default(),
            stored_departures: RefCell::default(),
            has_read_directory: Cell::new(false),
            is_stopping: Cell::new(false),
            answer_by: Cell::new(None),
            active_requests: Cell::new(0),
            bounds,
            identity,
        }
    }

    /// The configuration in force.
    pub fn conf(&self) -> Option<Arc<Snapshot>> {
        self.snapshot.borrow().clone()
    }

    /// Version in force; 0 if none.
    pub fn conf_version(&self) -> Version {
        self.snapshot.borrow().as_ref().map_or(0, |s| s.version)
    }

    /// Puts a configuration in force unless a newer one is; `proven_at` is when it was the newest.
    pub fn adopt_config(&self, fetched: FetchedConfig, proven_at: BootTime) {
        let FetchedConfig { snapshot, raw } = fetched;
        let version = snapshot.version;
        let is_newer = self.snapshot.borrow().as_ref().is_none_or(|old| old.version < version);
        if is_newer {
            self.rate_split.borrow_mut().set_rates(&snapshot, Instant::now());
            event!(Info, ConfigApplied, "version={version} routes={}", snapshot.routes().count());
            for customer in snapshot.customers.values() {
                log::debug!("customer={} rate={} burst={}", customer.name, customer.rate, customer.burst);
            }
            self.raw_conf.replace(raw);
            self.snapshot.send_replace(Some(Arc::new(snapshot)));
            self.status_urgent.notify_one();
        }
        self.freshness.borrow_mut().adopt(version, proven_at);
        self.admission_changed.notify_waiters();
    }

    /// Takes in that the version in force was still the newest at `proven_at`.
    pub fn confirm_config(&self, version: Version, proven_at: BootTime) {
        self.freshness.borrow_mut().confirm(version, proven_at);
        self.admission_changed.notify_waiters();
    }

    /// Whether keys may be judged.
    pub fn is_conf_fresh(&self) -> bool {
        self.freshness.borrow().is_fresh(BootTime::now(), self.bounds.max_proof_age)
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
    pub(crate) fn answer_deadline(&self, deadline: Instant) -> Instant {
        self.answer_by.get().map_or(deadline, |by| by.min(deadline))
    }

    /// Starts a graceful stop; what still runs at `answer_by` is answered by the daemon itself.
    pub fn begin_stop(&self, answer_by: Instant) {
        self.is_stopping.set(true);
        self.answer_by.set(Some(answer_by));
        self.status_urgent.notify_one();
    }

    /// Divides rates by the present number of daemons.
    pub fn update_rate_split(&self) {
        if !self.has_read_directory.get() {
            return;
        }
        let now = Instant::now();
        let (members, centre) = {
            let peers = self.peers.borrow();
            (peers.rate_divisor(now), peers.centre_member_count())
        };
        self.rate_split.borrow_mut().set_daemons(members, centre, self.conf().as_deref(), now);
    }

    /// Requests of callers that are being served.
    pub fn active_requests(&self) -> usize {
        self.active_requests.get()
    }

    pub(crate) fn track_request(self: &Rc<Self>) -> ActiveRequest {
        self.active_requests.set(self.active_requests.get() + 1);
        ActiveRequest(Rc::clone(self))
    }

    /// Whether tokens of a customer may be asked for in another data centre now.
    pub(crate) fn may_request_refill(&self, customer: &str, now: Instant) -> bool {
        let mut last_refills = self.last_refills.borrow_mut();
        let is_soon = last_refills.get(customer).is_some_and(|at| now.duration_since(*at) < REFILL_INTERVAL);
        if !is_soon {
            last_refills.insert(customer.into(), now);
        }
        !is_soon
    }

    /// Counts a first try towards the retries that the service may get.
    pub(crate) fn credit_retry_budget(&self, service: &str) {
        let mut budgets = self.budgets.borrow_mut();
        match budgets.get_mut(service) {
            Some(budget) => budget.earn(),
            None => {
                budgets.insert(service.into(), Budget::of_daemon());
            }
        }
    }

    /// Whether one more try at the service is covered; spends its price.
    pub(crate) fn try_spend_retry(&self, service: &str, reason: base::RetryReason) -> bool {
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
        let report = self.local_server.report(now);
        let peers = self.peers.borrow();
        Status {
            incarnation: self.identity.incarnation,
            report,
            version: self.conf_version(),
            proof_age_ms: self.proof_age().map(|age| age.as_millis() as u32 + 1),
            sent_at: BootTime::now(),
            echo: peers.last_sent_at(to),
            receives_from_you: peers.has_recent_status(to, now),
            member_count: peers.member_count() as u16,
        }
    }

    /// Introduction for the daemon at `to`.
    pub fn hello(&self, to: &DaemonId, wants_answer: bool, forward: bool) -> Hello {
        Hello { peer_info: self.peer_info(), status: self.status(to), wants_answer, forward }
    }

    /// What others need to know of this daemon.
    pub fn peer_info(&self) -> PeerInfo {
        let identity = &self.identity;
        PeerInfo {
            addr: identity.addr,
            incarnation: identity.incarnation,
            place: identity.place.clone(),
            service: self.service(),
        }
    }

    /// Service of the server beside this daemon, or the one that is expected there.
    pub fn service(&self) -> ServiceId {
        self.local_server.service().unwrap_or_else(|| self.identity.service.clone())
    }
}

/// Counts a request while it is served.
#[derive(Debug)]
pub(crate) struct ActiveRequest(Rc<Node>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
    }
}
