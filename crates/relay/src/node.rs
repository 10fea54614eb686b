//! Shared state of one daemon. All its tasks run on one thread, so the fields need no locks.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt::Display;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{CustomerId, DaemonId, Place, ServiceId, Version, event};
use bytes::Bytes;
use conf::{CallerLimits, KeyHasher, Snapshot};
use derive_more::Debug;
use limit::{LocalBuckets, QuotaTolerance};
use rand::Rng;
use route::{CostEstimator, RetryBudget};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use crate::attempts::ResponseSizes;
use crate::body_memory::BodyMemory;
use crate::clock::BootTime;
use crate::config_news::ConfigNews;
use crate::config_refresh::FetchedConfig;
use crate::connection_limit::{self, ConnectionLimit};
use crate::datagram::{Hello, Incarnation, PeerInfo, Status};
use crate::departures::DepartureLog;
use crate::digest::{Digest, RelayedReport};
use crate::directory;
use crate::fate_questions::ReceivedHandoffs;
use crate::freshness::Freshness;
use crate::gossip::Gossip;
use crate::header_names::HeaderNames;
use crate::links::Links;
use crate::local_server::LocalServer;
use crate::metrics::Metrics;
use crate::operator_state::{Evacuations, OperatorState, UpdateOutcome};
use crate::peers::Peers;
use crate::store_era::StoreEra;

/// Shortest time between two requests for tokens of the same customer to other data centres.
const REFILL_INTERVAL: Duration = Duration::from_millis(200);

/// Average number of daemons that a suspect server's daemon asks at a time to probe the server. Only one probe
/// runs at a time; further ones are declined.
const PROBERS: f64 = 8.0;

/// Properties of a daemon that stay the same for the life of its process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Address at which other daemons reach this one, over UDP for datagrams and over TCP for hand-offs.
    pub addr: DaemonId,
    /// Start time of this process, which tells it apart from earlier ones on the same address.
    pub incarnation: Incarnation,
    /// Region and data centre of the instance.
    pub place: Place,
    /// Service configured for this instance; requests from its callers count as requests of this service.
    pub service: ServiceId,
    /// Whether the whole fleet is starting for the first time, so that the directory has no rows yet.
    pub is_first_start: bool,
}

/// Limits that operators set for the fleet and its instances.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Age of the proof that the configuration is the newest one, up to which API keys are accepted or
    /// rejected by that configuration.
    pub max_proof_age: Duration,
    /// Age of the proof up to which a request may be refused because the configuration has no such route or key;
    /// less than the time in which a new one must be in force.
    pub max_denial_age: Duration,
    /// Time from the stop signal until the daemon must have ended.
    pub grace_period: Duration,
    /// How far a customer may exceed its rate because daemons divide the rate without asking each other per
    /// request.
    pub rate_tolerance: QuotaTolerance,
    /// Memory in bytes that bodies of requests and buffered answers may take at a time.
    pub body_memory: usize,
    /// Memory in bytes that callers' connections may take at a time, apart from bodies.
    pub connection_memory: usize,
    /// Connections that callers may hold open at a time, by the descriptors of the instance.
    pub max_caller_connections: usize,
}

impl Bounds {
    /// Connections that callers may hold open while heads of requests have at most `max_head_bytes` bytes.
    fn caller_connections(&self, max_head_bytes: usize) -> usize {
        let by_memory = self.connection_memory / connection_limit::connection_bytes(max_head_bytes);
        by_memory.clamp(1, self.max_caller_connections.max(1))
    }
}

/// State of one daemon.
#[derive(Debug)]
pub struct Node {
    /// Address, process and place of this daemon.
    pub identity: Identity,
    /// At least the incarnation in `identity`, and above those that other daemons know of earlier processes.
    incarnation: Cell<Incarnation>,
    /// Header names of this deployment.
    pub header_names: Rc<HeaderNames>,
    /// Limits that operators set for the fleet.
    pub bounds: Bounds,
    /// The backend server on this daemon's instance.
    pub local_server: Rc<LocalServer>,
    /// What is known of the other daemons.
    pub peers: RefCell<Peers>,
    /// HTTP/2 connections to the other daemons.
    pub links: Links,
    /// Hand-offs that other daemons have sent to this one.
    pub(crate) received: Rc<ReceivedHandoffs>,
    /// Counters and histograms that operators scrape.
    pub metrics: Metrics,
    /// Hashes API keys, so that they can be looked up in the configuration.
    pub hasher: KeyHasher,
    /// Configuration in force, `None` until the first one is adopted; receivers are notified of each change.
    pub snapshot: watch::Sender<Option<Arc<Snapshot>>>,
    /// Notified when the daemons of this data centre should get the status without waiting for the next
    /// interval.
    pub status_changed: Notify,
    /// Notified when [`store_watch`](crate::store_watch) should look again whether a query is due: the directory
    /// was read, another daemon has a newer configuration, or a request found the proof too old.
    pub refresh_wanted: Notify,
    /// Notified when another daemon says that it has a newer configuration.
    pub(crate) newer_config_heard: Notify,
    /// Cancelled shortly before the process ends, to end requests that are still running.
    pub abort_requests: CancellationToken,
    /// Notified when tokens arrive or the proof is renewed, for requests that wait to be admitted.
    pub admission_changed: Notify,
    /// The configuration in force as encoded by its source, to be passed on to other daemons.
    pub(crate) raw_conf: RefCell<Bytes>,
    pub(crate) freshness: RefCell<Freshness>,
    /// What other daemons have told of newer configurations.
    pub(crate) config_news: Cell<ConfigNews>,
    /// What operators ask of the fleet apart from its configuration.
    pub evacuations: RefCell<Evacuations>,
    /// Notified when the store told a change of `operator_state`, which other daemons should learn of at once.
    pub(crate) operator_state_changed: Notify,
    /// Latest era of the store, shared with the clients of the store.
    pub store_era: Arc<StoreEra>,
    /// Memory for bodies of requests and buffered answers.
    pub(crate) body_memory: Rc<BodyMemory>,
    /// Connections of callers.
    pub(crate) connections: Rc<ConnectionLimit>,
    /// Token buckets that hold this daemon's share of each customer's rate.
    pub(crate) token_buckets: RefCell<LocalBuckets>,
    pub(crate) response_sizes: RefCell<ResponseSizes>,
    /// Hashes of the names of routes on which an answer was too large to be buffered.
    pub(crate) streamed_routes: RefCell<HashSet<u32>>,
    /// Time from hand-off to answer for each route, over all servers.
    pub(crate) answer_times: RefCell<CostEstimator>,
    /// Run time of each route at an average server, without the wait for a slot.
    pub(crate) costs: RefCell<CostEstimator>,
    /// When tokens of a customer were last requested from another data centre.
    last_refills: RefCell<HashMap<CustomerId, Instant>>,
    /// Set once the UDP socket is bound.
    pub(crate) gossip: RefCell<Option<Rc<Gossip>>>,
    retry_budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
    /// Where departures are known to be kept.
    pub(crate) departures: DepartureLog,
    /// Whether the rows of the other daemons have been read at least once.
    pub(crate) has_read_directory: Cell<bool>,
    is_stopping: Cell<bool>,
    /// Time of a graceful stop at which requests still running are answered by the daemon itself; `None`
    /// before a stop.
    answer_by: Cell<Option<Instant>>,
    /// Time of a graceful stop after which no request is passed on any more; `None` before a stop.
    last_start_at: Cell<Option<Instant>>,
    active_requests: Cell<usize>,
}

impl Node {
    /// Creates a daemon without configuration that knows no other daemon.
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
            store_era: Arc::new(StoreEra::new(&metrics)),
            received: Rc::default(),
            metrics,
            hasher,
            snapshot: watch::Sender::new(None),
            status_changed: Notify::new(),
            refresh_wanted: Notify::new(),
            newer_config_heard: Notify::new(),
            abort_requests: CancellationToken::new(),
            admission_changed: Notify::new(),
            raw_conf: RefCell::default(),
            freshness: RefCell::default(),
            config_news: Cell::default(),
            evacuations: RefCell::default(),
            operator_state_changed: Notify::new(),
            body_memory: BodyMemory::new(bounds.body_memory),
            connections: ConnectionLimit::new(
                bounds.caller_connections(CallerLimits::default().max_head_bytes),
            ),
            token_buckets: RefCell::new(LocalBuckets::new(bounds.rate_tolerance)),
            response_sizes: RefCell::default(),
            streamed_routes: RefCell::default(),
            answer_times: RefCell::default(),
            costs: RefCell::default(),
            last_refills: RefCell::default(),
            gossip: RefCell::default(),
            retry_budgets: RefCell::default(),
            departures: DepartureLog::default(),
            has_read_directory: Cell::new(false),
            is_stopping: Cell::new(false),
            answer_by: Cell::new(None),
            last_start_at: Cell::new(None),
            active_requests: Cell::new(0),
            bounds,
            incarnation: Cell::new(identity.incarnation),
            identity,
        }
    }

    /// Incarnation of this process, above those of earlier processes on its address.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation.get()
    }

    /// Makes this process count as later than the one with the incarnation `earlier`, which had a faster clock.
    /// Ignored if no process can have started then.
    pub(crate) fn supersede(&self, earlier: Incarnation) {
        if earlier > self.incarnation.get() && earlier <= directory::latest_start() {
            event!(
                Warn,
                MemberUp,
                "source=clock-set-back incarnation={} earlier={earlier}",
                self.incarnation()
            );
            self.incarnation.set(earlier.saturating_add(1));
        }
    }

    /// The configuration in force, if there is one.
    pub fn conf(&self) -> Option<Arc<Snapshot>> {
        self.snapshot.borrow().clone()
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn conf_version(&self) -> Version {
        self.snapshot.borrow().as_ref().map_or(0, |s| s.version)
    }

    /// Records that the daemon at `from` has the configuration `version`; true if that is newer than the one in
    /// force.
    pub(crate) fn hear_of_config(&self, version: Version, from: &DaemonId) -> bool {
        let in_force = self.conf_version();
        let mut news = self.config_news.get();
        if news.hear(version, in_force, Instant::now()) {
            event!(Info, ConfigHeard, "version={version} from={from} in_force={in_force}");
        }
        self.config_news.set(news);
        let is_newer = version > in_force;
        if is_newer {
            self.newer_config_heard.notify_one();
            self.refresh_wanted.notify_one();
        }
        is_newer
    }

    /// Records that another daemon has seen the store's era `era`. If it is later than all eras that this process has
    /// seen, the rows of this daemon are written again within a second.
    pub fn hear_of_store_era(&self, era: u64) {
        self.store_era.hear(era);
    }

    /// Records that a query sent at `asked_at` found no newer configuration in the store than the one in force.
    pub(crate) fn settle_config_news(&self, asked_at: Instant) {
        let mut news = self.config_news.get();
        news.settle(asked_at);
        self.config_news.set(news);
    }

    /// Puts a configuration in force unless the present one is as new. `proven_at` is a time at which the
    /// fetched one was the newest; `source` names where it came from.
    pub fn adopt_config(&self, fetched: FetchedConfig, proven_at: BootTime, source: &dyn Display) {
        let FetchedConfig { snapshot, raw } = fetched;
        let version = snapshot.version;
        let is_newer = self.snapshot.borrow().as_ref().is_none_or(|old| old.version < version);
        if is_newer {
            self.token_buckets.borrow_mut().set_rates(&snapshot, Instant::now());
            let mut news = self.config_news.get();
            let delay = news.apply(version, Instant::now());
            self.config_news.set(news);
            self.metrics.config_delay_seconds.observe(delay.unwrap_or_default().as_secs_f64());
            let (heard_ms, routes) = (delay.map_or(-1, |d| d.as_millis() as i64), snapshot.routes().count());
            let proof_ms = BootTime::now().since(proven_at).as_millis();
            event!(
                Info,
                ConfigApplied,
                "version={version} routes={routes} source={source} heard_ms={heard_ms} proof_ms={proof_ms}"
            );
            for customer in snapshot.customers.values() {
                log::debug!("customer={} rate={} burst={}", customer.name, customer.rate, customer.burst);
            }
            self.local_server.set_cold_rates(&snapshot);
            self.connections.set_max(self.bounds.caller_connections(snapshot.limits.max_head_bytes));
            self.raw_conf.replace(raw);
            self.snapshot.send_replace(Some(Arc::new(snapshot)));
            self.status_changed.notify_one();
        }
        self.freshness.borrow_mut().adopt(version, proven_at);
        self.admission_changed.notify_waiters();
    }

    /// Puts what operators ask of the fleet in force unless what is known is as new; true if it has changed.
    /// `source` names where it came from.
    pub(crate) fn adopt_operator_state(&self, state: OperatorState, source: &dyn Display) -> bool {
        let stamp = state.stamp;
        self.hear_of_store_era(stamp.era);
        let outcome = self.evacuations.borrow_mut().update(state, Instant::now());
        if outcome == UpdateOutcome::Changed {
            let evacuations = self.evacuations.borrow();
            let evacuated: Vec<&str> = evacuations.state().evacuated.iter().map(|centre| &**centre).collect();
            event!(
                Info,
                EvacuationChanged,
                "evacuated=[{}] stamp={stamp} source={source}",
                evacuated.join(",")
            );
            self.metrics.evacuated_centres.set(evacuated.len() as i64);
        }
        self.apply_evacuations();
        matches!(outcome, UpdateOutcome::Changed | UpdateOutcome::LaterEra)
    }

    /// Tells the local server whether its data centre is being evacuated now.
    pub(crate) fn apply_evacuations(&self) {
        let is_evacuated = self.evacuations.borrow().is_evacuated(&self.identity.place, Instant::now());
        self.local_server.set_evacuated(is_evacuated);
    }

    /// Records that `version` was still the newest one at `proven_at`; ignored unless it is the version in
    /// force.
    pub fn confirm_config(&self, version: Version, proven_at: BootTime) {
        self.freshness.borrow_mut().confirm(version, proven_at);
        self.admission_changed.notify_waiters();
    }

    /// Whether the proof is recent enough to accept or reject API keys by the configuration in force.
    pub fn is_conf_fresh(&self) -> bool {
        self.freshness.borrow().is_fresh(BootTime::now(), self.bounds.max_proof_age)
    }

    /// Whether the proof is recent enough to say that a route or key doesn't exist.
    pub fn may_deny_unknown(&self) -> bool {
        self.freshness.borrow().is_fresh(BootTime::now(), self.bounds.max_denial_age)
    }

    /// Time since the configuration in force was last known to be the newest; `None` before the first proof.
    pub fn proof_age(&self) -> Option<Duration> {
        self.freshness.borrow().age(BootTime::now())
    }

    /// Whether this daemon accepts requests of callers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.snapshot.borrow().is_some()
    }

    /// Whether a graceful stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Time until which to wait for an answer that is due by `deadline`. On a stopping daemon no later than
    /// the time at which it answers remaining requests itself.
    pub(crate) fn answer_deadline(&self, deadline: Instant) -> Instant {
        self.answer_by.get().map_or(deadline, |by| by.min(deadline))
    }

    /// Whether a request that is complete at `now` may still be passed on to a server.
    pub(crate) fn may_start_request(&self, now: Instant) -> bool {
        self.last_start_at.get().is_none_or(|at| now < at)
    }

    /// Begins a graceful stop. Requests that are complete only after `last_start_at` are refused, and those still
    /// running at `answer_by` are answered by the daemon itself.
    pub fn begin_stop(&self, last_start_at: Instant, answer_by: Instant) {
        self.is_stopping.set(true);
        self.last_start_at.set(Some(last_start_at));
        self.answer_by.set(Some(answer_by));
        self.status_changed.notify_one();
    }

    /// Divides customers' rates by the number of daemons known now. Does nothing before the directory has been
    /// read: that number would be too small, and the share of this daemon too large.
    pub fn update_rate_shares(&self) {
        if !self.has_read_directory.get() {
            return;
        }
        let now = Instant::now();
        let (divisor, centre_members) = {
            let peers = self.peers.borrow();
            (peers.rate_divisor(now), peers.centre_member_count())
        };
        self.token_buckets.borrow_mut().set_daemon_counts(
            divisor,
            centre_members,
            self.conf().as_deref(),
            now,
        );
    }

    /// Number of callers' requests that this daemon is serving.
    pub fn active_requests(&self) -> usize {
        self.active_requests.get()
    }

    pub(crate) fn track_request(self: &Rc<Self>) -> ActiveRequest {
        self.active_requests.set(self.active_requests.get() + 1);
        ActiveRequest(Rc::clone(self))
    }

    /// Whether another data centre may be asked for the customer's tokens now; if so, records that it was
    /// asked.
    pub(crate) fn may_request_refill(&self, customer: &str, now: Instant) -> bool {
        let mut last_refills = self.last_refills.borrow_mut();
        let is_too_soon =
            last_refills.get(customer).is_some_and(|at| now.duration_since(*at) < REFILL_INTERVAL);
        if !is_too_soon {
            last_refills.insert(customer.into(), now);
        }
        !is_too_soon
    }

    /// Credits the service's retry budget for a request's first attempt.
    pub(crate) fn credit_retry_budget(&self, service: &str) {
        let mut budgets = self.retry_budgets.borrow_mut();
        match budgets.get_mut(service) {
            Some(budget) => budget.earn(),
            None => {
                budgets.insert(service.into(), RetryBudget::for_one_daemon());
            }
        }
    }

    /// Charges a call of the local server to the called service's retry budget, if the run that makes it is a repeat.
    /// Which run makes it isn't known, so it is charged by the share of the runs that are repeats.
    pub(crate) fn charge_repeated_call(&self, service: &str) {
        let share = self.local_server.repeat_share();
        if share <= 0.0 {
            return;
        }
        self.metrics.repeated_calls.inc_by(share);
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.into()).or_insert_with(RetryBudget::for_one_daemon);
        budget.charge_call(share);
    }

    /// Charges one more attempt to the service's retry budget; false if the budget doesn't cover it.
    pub(crate) fn try_spend_retry(&self, service: &str, reason: base::RetryReason) -> bool {
        let mut budgets = self.retry_budgets.borrow_mut();
        let is_covered = budgets.get_mut(service).is_some_and(|b| b.spend(reason));
        if is_covered {
            self.metrics.retries.with_label_values(&[reason.code()]).inc();
        }
        is_covered
    }

    /// Status to be sent to the daemon at `to`.
    pub fn status(&self, to: &DaemonId) -> Status {
        let now = Instant::now();
        let peers = self.peers.borrow();
        let may_probe = rand::rng().random_bool((PROBERS / f64::from(peers.centre_member_count())).min(1.0));
        let report = self.local_server.report(now);
        let report = if may_probe { report } else { report.without_probation() };
        Status {
            incarnation: self.incarnation(),
            report,
            version: self.conf_version(),
            proof_age_ms: self.proof_age().map(|age| age.as_millis() as u32 + 1),
            sent_at: BootTime::now(),
            echo: peers.last_sent_at(to),
            receives_from_you: peers.has_recent_status(to, now),
            member_count: peers.member_count() as u16,
        }
    }

    /// Digest of the servers in this data centre, the one beside this daemon included.
    pub fn digest(&self, now: Instant) -> Digest {
        let mut digest = self.peers.borrow().digest(self.conf_version(), now, &mut rand::rng());
        let report = self.local_server.report(now);
        if report.takes_work && !report.condition.is_suspect() {
            digest.servers.push(RelayedReport { daemon: self.identity.addr, report, age_ms: 0 });
        }
        digest
    }

    /// Introduction of this daemon to the one at `to`.
    pub fn hello(&self, to: &DaemonId, wants_answer: bool, forward: bool) -> Hello {
        Hello { peer_info: self.peer_info(), status: self.status(to), wants_answer, forward }
    }

    /// Key of this daemon's row in the directory.
    pub(crate) fn directory_key(&self) -> Box<str> {
        directory::row_key(&self.identity.addr)
    }

    /// Description of this daemon for the directory and for other daemons.
    pub fn peer_info(&self) -> PeerInfo {
        let identity = &self.identity;
        PeerInfo {
            addr: identity.addr,
            incarnation: self.incarnation(),
            place: identity.place.clone(),
            service: self.service(),
        }
    }

    /// Service of the registered server, or the configured one while no server is registered.
    pub fn service(&self) -> ServiceId {
        self.local_server.service().unwrap_or_else(|| self.identity.service.clone())
    }
}

/// Counts a request as active until dropped.
#[derive(Debug)]
pub(crate) struct ActiveRequest(Rc<Node>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
    }
}
