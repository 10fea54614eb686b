//! The compiled configuration that the traffic threads read. It is immutable; each change makes a new one.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use base::{CustomerId, RouteId, ServiceId, Version};
use serde::{Deserialize, Serialize};

use crate::KeyHash;
use crate::regions::AllowedRegions;

/// What a daemon does with keyed requests when it can't confirm that its view is current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StaleKeyPolicy {
    /// Refuses them; they are not executed.
    #[default]
    Refuse,
    /// Serves them if their key is valid as far as the daemon knows.
    Serve,
}

/// Which requests of a route are idempotent, so that they may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatPolicy {
    /// Requests with the idempotent methods of HTTP: GET, HEAD, OPTIONS, PUT and DELETE.
    #[default]
    ByMethod,
    /// All requests.
    Always,
    /// No requests.
    Never,
}

/// Whether daemons deduplicate requests by Idempotency-Key, claiming each key in the table service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dedupe {
    /// The header is forwarded without effect in the fleet.
    #[default]
    Off,
    /// Requests that are not idempotent must carry an Idempotency-Key; over all daemons, each key is executed
    /// at most once.
    Strict,
}

/// Settings of the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Handling of keyed requests while a daemon's view is not current.
    pub stale_keys: StaleKeyPolicy,
    /// Longest age of a view that counts as current, in milliseconds.
    pub fresh_ms: u64,
    /// Number of equal shares into which every rate and burst is divided.
    pub shares: u32,
    /// Bytes a second that the fleet may send over the link between regions, in each direction.
    pub link_bytes_per_s: u64,
    /// Region of the store. A majority of its daemons confirms views while the store is down.
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
    /// Share of the service's servers that must stay in use, 0 to 1: servers are not ejected below it.
    /// Servers that leave don't count.
    pub floor: f64,
    /// Whether requests may go to servers of another region.
    pub cross_region: bool,
    /// Requests that may wait in the queue of one daemon.
    pub queue: u32,
    /// Requests a second that a server can take while it is cold; `None`: as many as a warm one.
    pub cold_rate: Option<f64>,
}

/// A customer with its fleet-wide rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Name.
    pub name: CustomerId,
    /// Tokens a second, over all daemons together.
    pub rate: f64,
    /// Tokens that may be spent at once, over all daemons together.
    pub burst: f64,
    /// Priority of the customer's requests; overrides that of the route. `None`: the route's.
    pub priority: Option<Priority>,
    /// Regions in which the customer's requests may run. Those of the route bind as well.
    pub regions: AllowedRegions,
}

/// Priority of a request; 0 is the most urgent.
pub type Priority = u8;

/// Priority of routes that set none.
pub const DEFAULT_PRIORITY: Priority = 1;
/// Servers to which one request may be sent, for routes that set no number.
pub const DEFAULT_ATTEMPTS: u32 = 3;
/// Divisor of a route's timeout that gives its latency objective, for routes that set none.
const DEFAULT_OBJECTIVE_DIVISOR: u32 = 4;

/// One of the services among which a route splits its requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceId,
    /// Share of the requests that the service gets, relative to the sum of all weights.
    pub weight: u32,
}

/// Limits on the size of callers' requests and on the time of slow or idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Longest time that a head may take to arrive.
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
    /// Host that the request must name; `None`: any host.
    pub host: Option<Box<str>>,
    /// Path prefix; matches whole path segments only.
    pub prefix: Box<str>,
    /// Methods that match; empty for all.
    pub methods: Vec<Box<str>>,
    /// Service that serves the route.
    pub service: ServiceId,
    /// Customer that owns the route; other customers' keys are refused. `None`: any customer's key is
    /// accepted.
    pub customer: Option<CustomerId>,
    /// Whether the route is public: it needs no key and is not rate-limited.
    pub open: bool,
    /// Which requests are idempotent.
    pub repeatable: RepeatPolicy,
    /// Time for a whole request when the caller gives no deadline.
    pub timeout: Duration,
    /// Handling of Idempotency-Keys.
    pub dedupe: Dedupe,
    /// Tokens of the customer's rate that one request takes.
    pub cost: u32,
    /// Latency objective: time within which an answer should arrive.
    pub objective: Duration,
    /// Most servers to which one request may be sent.
    pub attempts: u32,
    /// Priority of requests whose customer has none.
    pub priority: Priority,
    /// Services among which requests are split; if empty, all go to `service`.
    pub split: Vec<WeightedService>,
    /// Regions in which requests may run. Those of the customer bind as well.
    pub regions: AllowedRegions,
}

impl Route {
    /// The latency objective of a route that sets only a timeout.
    pub fn default_objective(timeout: Duration) -> Duration {
        timeout / DEFAULT_OBJECTIVE_DIVISOR
    }

    /// Service for a request whose id hashes to `hash`. Requests with the same id go to the same service.
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

    /// Whether requests of this route may be executed at `service`.
    pub fn may_run_at(&self, service: &str) -> bool {
        if self.split.is_empty() {
            return *self.service == *service;
        }
        self.split.iter().any(|part| *part.service == *service && part.weight > 0)
    }

    /// Whether a request with this method is idempotent, so that it may be executed more than once.
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
    /// Name under which operators withdraw the key.
    pub name: Box<str>,
    /// Keyed hash of the key's secret.
    pub hash: KeyHash,
    /// Customer for whom requests with this key run.
    pub customer: CustomerId,
    /// Time from which the key is refused; `None`: never.
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
    /// Withdrawn keys that this version lists. Invariant: none of them is in `keys`.
    pub withdrawn: HashSet<KeyHash>,
    /// Routes by the first path segment of their prefix. Each list is in the order in which routes are
    /// matched (see `match_order` in `compile`).
    pub(crate) routes: HashMap<Box<str>, Vec<Arc<Route>>>,
}

impl Snapshot {
    /// Finds the route of a request: the one with the longest matching prefix; of routes with the same
    /// prefix, one for the request's host before one for any host.
    pub fn match_route(&self, host: Option<&str>, path: &str, method: &str) -> Option<&Arc<Route>> {
        let matches = |r: &&Arc<Route>| {
            prefix_matches(&r.prefix, path)
                && r.host.as_deref().is_none_or(|h| host.is_some_and(|g| g.eq_ignore_ascii_case(h)))
                && (r.methods.is_empty() || r.methods.iter().any(|m| &**m == method))
        };
        let group = |segment: &str| self.routes.get(segment).and_then(|rs| rs.iter().find(matches));
        group(first_segment(path)).or_else(|| group(""))
    }

    /// Regions in which a request of `customer` on `route` may run, by those of the two that this configuration has.
    pub fn allowed_regions(
        &self,
        route: Option<&Arc<Route>>,
        customer: Option<&CustomerId>,
    ) -> AllowedRegions {
        let of_route = route.map_or(&AllowedRegions::All, |route| &route.regions);
        let customer = customer.and_then(|name| self.customers.get(name));
        of_route.intersect(customer.map_or(&AllowedRegions::All, |customer| &customer.regions))
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}

/// First path segment, without slashes; empty for `/`.
pub(crate) fn first_segment(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or("")
}

/// Whether a path prefix matches. A prefix with a trailing slash matches only the paths below it, not the
/// path without the slash.
fn prefix_matches(prefix: &str, path: &str) -> bool {
    if prefix.ends_with('/') {
        return path.starts_with(prefix);
    }
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
