//! The compiled configuration as traffic reads it. Immutable; a change makes a new one.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use base::{CustomerId, RouteId, ServiceId, Version};
use serde::{Deserialize, Serialize};

use crate::KeyHash;

/// What a daemon does with keyed requests when it can't confirm that its view is current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StaleKeyPolicy {
    /// Refuses them as not run.
    #[default]
    Refuse,
    /// Serves them with the keys it knows.
    Serve,
}

/// Which requests of a route may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatPolicy {
    /// GET, HEAD, OPTIONS, PUT and DELETE may, as HTTP defines them idempotent.
    #[default]
    ByMethod,
    /// All may.
    Always,
    /// None may.
    Never,
}

/// Whether Idempotency-Keys are claimed in the table service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dedupe {
    /// The header is passed on and means nothing to the fleet.
    #[default]
    Off,
    /// Unrepeatable requests must carry one, and each runs at most once over all daemons.
    Strict,
}

/// Settings of the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Policy for keyed requests while the view is not current.
    pub stale_keys: StaleKeyPolicy,
    /// Longest age in milliseconds of a view that counts as current.
    pub fresh_ms: u64,
    /// Number of equal shares into which every rate and burst is cut.
    pub shares: u32,
    /// Bytes a second that the fleet may send across the link between regions, each way.
    pub link_bytes_per_s: u64,
    /// Region in which the store stands; its daemons confirm each other while the store is down.
    pub store_region: Option<base::Region>,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            stale_keys: StaleKeyPolicy::Refuse,
            fresh_ms: 3_000,
            shares: 256,
            link_bytes_per_s: 3_000_000,
            store_region: None,
        }
    }
}

/// A set of backend servers that do the same work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Share of announced, not leaving servers that ejection must leave, 0 to 1.
    pub floor: f64,
    /// Whether requests may go to servers of another region.
    pub cross_region: bool,
    /// Requests that may wait in one daemon.
    pub queue: u32,
}

/// A customer with its fleet-wide rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Name.
    pub name: CustomerId,
    /// Tokens a second over all daemons together.
    pub rate: f64,
    /// Tokens that may be spent at once over all daemons together.
    pub burst: f64,
    /// Rank of its requests, 0 the most urgent; goes before the rank of the route.
    pub priority: Option<Priority>,
}

/// Urgency of a request; 0 is the most urgent.
pub type Priority = u8;

/// Rank of routes that state none.
pub const DEFAULT_PRIORITY: Priority = 1;
/// Servers to which one request may be sent, for routes that state no number.
pub const DEFAULT_ATTEMPTS: u32 = 3;
/// Part of a route's timeout within which an answer is wanted, for routes that state no objective.
const DEFAULT_OBJECTIVE_PART: u32 = 4;

/// One of the services among which a route divides its requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceId,
    /// Its part of the requests, relative to the sum of all weights.
    pub weight: u32,
}

/// What callers may send, and how long their connections may be slow or idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Longest time in which a head may arrive.
    pub head_timeout: Duration,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One route from callers to a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: RouteId,
    /// Host that the request must name, or any.
    pub host: Option<Box<str>>,
    /// Path prefix, matched at segment borders.
    pub prefix: Box<str>,
    /// Methods that match; empty for all.
    pub methods: Vec<Box<str>>,
    /// Service that serves the route.
    pub service: ServiceId,
    /// Customer that owns the route; other customers' keys are refused. None: any customer's key.
    pub customer: Option<CustomerId>,
    /// Open to all: no key needed, no rate counted.
    pub open: bool,
    /// Which requests may run more than once.
    pub repeatable: RepeatPolicy,
    /// Time for a whole request when the caller states none.
    pub timeout: Duration,
    /// Handling of Idempotency-Keys.
    pub dedupe: Dedupe,
    /// Tokens that one request takes.
    pub cost: u32,
    /// Time within which an answer is wanted.
    pub objective: Duration,
    /// Servers to which one request may be sent at most.
    pub attempts: u32,
    /// Urgency.
    pub priority: Priority,
    /// Services among which requests are divided; empty: all go to `service`.
    pub split: Vec<WeightedService>,
}

impl Route {
    /// The latency objective of a route that states only a timeout.
    pub fn default_objective(timeout: Duration) -> Duration {
        timeout / DEFAULT_OBJECTIVE_PART
    }

    /// Service for a request whose id hashes to `hash`: the same id always gets the same service.
    pub fn service_for(&self, hash: u64) -> &ServiceId {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        if total == 0 {
            return &self.service;
        }
        let mut point = hash % total;
        for part in &self.split {
            let weight = u64::from(part.weight);
            if point < weight {
                return &part.service;
            }
            point -= weight;
        }
        &self.service
    }

    /// Whether a configuration lets requests of this route run at `service`.
    pub fn may_run_at(&self, service: &str) -> bool {
        if self.split.is_empty() {
            return *self.service == *service;
        }
        self.split.iter().any(|part| *part.service == *service && part.weight > 0)
    }

    /// Whether a request with this method may run more than once.
    pub fn is_repeatable(&self, method: &str) -> bool {
        match self.repeatable {
            RepeatPolicy::Always => true,
            RepeatPolicy::Never => false,
            RepeatPolicy::ByMethod => matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE"),
        }
    }
}

/// A caller's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Name under which operators withdraw it.
    pub name: Box<str>,
    /// Keyed hash of the secret.
    pub hash: KeyHash,
    /// Customer for whom requests with this key run.
    pub customer: CustomerId,
    /// Time after which the key is refused.
    pub expires: Option<SystemTime>,
}

/// The compiled configuration of one version.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Version; grows with each committed change.
    pub version: Version,
    /// Settings of the whole fleet.
    pub fleet: Fleet,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Arc<Service>>,
    /// Customers by name.
    pub customers: BTreeMap<CustomerId, Arc<Customer>>,
    /// Keys by hash.
    pub keys: HashMap<KeyHash, Arc<Key>>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
    /// Withdrawn keys that this version carries. Invariant: none of them is in `keys`.
    pub withdrawn: HashSet<KeyHash>,
    /// Routes by first path segment; within each, longest prefix first and hosts before any host.
    pub(crate) routes: HashMap<Box<str>, Vec<Arc<Route>>>,
}

impl Snapshot {
    /// Finds the route of a request: the longest matching prefix, a named host before any host.
    pub fn match_route(&self, host: Option<&str>, path: &str, method: &str) -> Option<&Arc<Route>> {
        let matches = |r: &&Arc<Route>| {
            prefix_matches(&r.prefix, path)
                && r.host.as_deref().is_none_or(|h| host.is_some_and(|g| g.eq_ignore_ascii_case(h)))
                && (r.methods.is_empty() || r.methods.iter().any(|m| &**m == method))
        };
        let group = |segment: &str| self.routes.get(segment).and_then(|rs| rs.iter().find(matches));
        group(first_segment(path)).or_else(|| group(""))
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}

/// First path segment without slashes; empty for `/`.
pub(crate) fn first_segment(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or("")
}

/// A prefix with a closing slash matches only paths that go on below it.
fn prefix_matches(prefix: &str, path: &str) -> bool {
    if prefix.ends_with('/') {
        return path.starts_with(prefix);
    }
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
