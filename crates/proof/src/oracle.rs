//! Checks the invariants of a fleet against recorded observations.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::Version;

/// Time after which a withdrawn key must be refused: the longest time for which a view stays current, plus a
/// margin.
const WITHDRAWAL_LIMIT: Duration = Duration::from_millis(3_500);
/// Time after which a draining server must get no new requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);
/// Time after which a current view must contain an accepted configuration.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);
/// Tolerance for rounding errors when tokens are counted.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// An invariant that the control plane must maintain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Ejection never reduces the healthy servers of a service below its floor.
    EjectionFloor,
    /// Except on open routes, a request is admitted only for the customer whose key it carries.
    KeyOwner,
    /// No backend server sees a caller's key.
    KeyNotForwarded,
    /// A withdrawn key is refused within seconds.
    KeyWithdrawal,
    /// No customer gets more than its rate and burst over all daemons together.
    RateLimit,
    /// A draining backend server gets no new requests after a few seconds.
    Drain,
    /// A graceful shutdown ends in time, so that no request has to be cut off.
    GracefulShutdown,
    /// An accepted configuration is never reverted, and current views contain it within seconds.
    ConfigPropagation,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// What was observed.
    pub detail: Box<str>,
}

/// Numbers of a service's servers in one view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Servers that are ready and not ejected.
    pub healthy: usize,
    /// Servers that are ready and ejected.
    pub ejected: usize,
    /// All servers that are announced and not draining, those in their cold start included.
    pub announced: usize,
}

/// Token bucket over the admissions of one customer at all daemons.
#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    /// Tokens left at `at`; the bucket starts full.
    tokens: f64,
    at: Instant,
}

/// The observations so far and the violations found in them.
#[derive(Debug, Default)]
pub struct Oracle {
    buckets: BTreeMap<Box<str>, Bucket>,
    /// When the withdrawal of each key was acknowledged, by secret.
    withdrawn_keys: BTreeMap<Box<str>, Instant>,
    /// Customer of each key, by secret.
    key_owners: BTreeMap<Box<str>, Box<str>>,
    /// When each draining server began to drain, by its id.
    draining: BTreeMap<Box<str>, Instant>,
    /// Accepted versions of the configuration in ascending order, with the times of their acceptance.
    accepted: Vec<(Version, Instant)>,
    /// Version in force at each incarnation of each daemon.
    in_force: BTreeMap<(usize, u64), Version>,
    violations: Vec<Violation>,
    admitted_requests: u64,
}

impl Oracle {
    /// Violations found so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Number of requests admitted so far.
    pub fn admitted_requests(&self) -> u64 {
        self.admitted_requests
    }

    /// Highest accepted version of the configuration; 0: none.
    pub fn newest_accepted(&self) -> Version {
        self.accepted.last().map_or(0, |(v, _)| *v)
    }

    /// Records the rate and burst that are configured for a customer.
    pub fn record_customer(&mut self, name: &str, rate: f64, burst: f64, now: Instant) {
        self.buckets.insert(name.into(), Bucket { rate, burst, tokens: burst, at: now });
    }

    /// Records that a customer was given a key.
    pub fn record_key_given(&mut self, secret: &str, customer: &str) {
        self.key_owners.insert(secret.into(), customer.into());
    }

    /// Records that the withdrawal of a key was acknowledged.
    pub fn record_key_withdrawn(&mut self, secret: &str, now: Instant) {
        self.withdrawn_keys.entry(secret.into()).or_insert(now);
    }

    /// Records that a change was acknowledged as this version of the configuration.
    pub fn record_accepted(&mut self, version: Version, now: Instant) {
        if self.accepted.iter().any(|(v, _)| *v == version) {
            self.report_violation(Invariant::ConfigPropagation, format!("version {version} accepted twice"));
        }
        self.accepted.push((version, now));
        self.accepted.sort_unstable_by_key(|(v, _)| *v);
    }

    /// Records that a server began to drain, or that it is ready again.
    pub fn record_draining(&mut self, server: &str, is_draining: bool, now: Instant) {
        if is_draining {
            self.draining.entry(server.into()).or_insert(now);
        } else {
            self.draining.remove(server);
        }
    }

    /// Checks the version in force at an incarnation of a daemon. `is_current` says whether its view is
    /// current.
    pub fn check_version(
        &mut self,
        daemon: usize,
        incarnation: u64,
        version: Version,
        is_current: bool,
        now: Instant,
    ) {
        let before = self.in_force.insert((daemon, incarnation), version).unwrap_or(0);
        if version < before {
            self.report_violation(
                Invariant::ConfigPropagation,
                format!("daemon {daemon} went back from version {before} to {version}"),
            );
        }
        let expected =
            self.accepted.iter().rev().find(|(_, at)| now >= *at + PROPAGATION_LIMIT).map_or(0, |(v, _)| *v);
        if is_current && version < expected {
            self.report_violation(
                Invariant::ConfigPropagation,
                format!("daemon {daemon} has a current view with version {version}, not {expected}"),
            );
        }
    }

    /// Checks the servers of a service in a daemon's view against the service's floor, a share from 0 to 1.
    pub fn check_floor(&mut self, daemon: usize, counts: ServerCounts, floor: f64) {
        let least = (floor * counts.announced as f64).ceil() as usize;
        if counts.ejected > 0 && counts.healthy < least {
            self.report_violation(
                Invariant::EjectionFloor,
                format!("daemon {daemon} has {counts:?}, but at least {least} must be healthy"),
            );
        }
    }

    /// Records that a request with a key was admitted for a customer, and checks the key and the customer's
    /// rate.
    pub fn record_admission(&mut self, secret: &str, customer: &str, cost: u32, now: Instant) {
        self.admitted_requests += 1;
        let owner = self.key_owners.get(secret).cloned();
        if owner.as_deref() != Some(customer) {
            self.report_violation(
                Invariant::KeyOwner,
                format!("key of {owner:?} was admitted for {customer}"),
            );
        }
        if let Some(at) = self.withdrawn_keys.get(secret).filter(|at| now >= **at + WITHDRAWAL_LIMIT) {
            let late = now - *at;
            self.report_violation(
                Invariant::KeyWithdrawal,
                format!("key of {customer} was admitted {late:?} after its withdrawal"),
            );
        }
        let Some(bucket) = self.buckets.get_mut(customer) else { return };
        let earned = bucket.rate * (now - bucket.at).as_secs_f64();
        bucket.tokens = (bucket.tokens + earned).min(bucket.burst) - f64::from(cost);
        bucket.at = now;
        if bucket.tokens < -TOKEN_TOLERANCE {
            let over = -bucket.tokens;
            self.report_violation(
                Invariant::RateLimit,
                format!("{customer} got {over:.3} tokens above its rate and burst"),
            );
        }
    }

    /// Checks that the server to which a daemon sends a request has not been draining for too long.
    pub fn check_server_choice(&mut self, daemon: usize, server: &str, now: Instant) {
        if let Some(at) = self.draining.get(server).filter(|at| now >= **at + DRAIN_LIMIT) {
            let late = now - *at;
            self.report_violation(
                Invariant::Drain,
                format!("daemon {daemon} sent {server} a request {late:?} after it began to drain"),
            );
        }
    }

    /// Checks the head that would be sent to a server for a request with this key.
    pub fn check_forwarded_head(&mut self, secret: &str, head: &str) {
        if head.contains(secret) {
            self.report_violation(
                Invariant::KeyNotForwarded,
                format!("forwarded head carries a key: {head}"),
            );
        }
    }

    /// Reports a daemon that was told to stop and has not finished in time although it could run.
    pub fn report_hung_shutdown(&mut self, daemon: usize) {
        self.report_violation(
            Invariant::GracefulShutdown,
            format!("daemon {daemon} did not finish its graceful shutdown"),
        );
    }

    fn report_violation(&mut self, invariant: Invariant, detail: String) {
        self.violations.push(Violation { invariant, detail: detail.into() });
    }
}
