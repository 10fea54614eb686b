//! Validates and compiles a configuration. Shards that did not change are not compiled again.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use base::Version;

use crate::compiled_shard::CompiledShard;
use crate::error::ConfError;
use crate::shard::{Config, Digest};
use crate::snapshot::{CallerLimits, Customer, Key, Route, Service, Snapshot, first_segment};
use crate::source::Source;
use crate::validate::{WHOLE_CONFIG, check_fleet, check_templates};

/// Renders every customer's template, validates the result and compiles it.
///
/// # Errors
/// Fails on the first fault that is found.
pub fn compile(source: &Source, version: Version) -> Result<Snapshot, ConfError> {
    Compiler::default().compile(&Config::from_source(source), version)
}

/// Compiles successive configurations and caches the compiled shards of the last one.
#[derive(Debug, Default)]
pub struct Compiler {
    global_digest: Digest,
    compiled_shards: HashMap<Digest, Arc<CompiledShard>>,
}

impl Compiler {
    /// Validates and compiles a configuration.
    ///
    /// # Errors
    /// Fails on the first fault that is found.
    pub fn compile(&mut self, config: &Config, version: Version) -> Result<Snapshot, ConfError> {
        let global = &config.global.value;
        if self.global_digest != config.global.digest {
            check_fleet(&global.fleet)?;
            check_templates(&global.template)?;
            self.compiled_shards.clear();
            self.global_digest = config.global.digest;
        }
        let templates: BTreeMap<&str, _> = global.template.iter().map(|t| (&*t.name, t)).collect();
        let mut shards = Vec::with_capacity(config.shards.len());
        for leaf in &config.shards {
            let shard = match self.compiled_shards.get(&leaf.digest) {
                Some(shard) => Arc::clone(shard),
                None => Arc::new(CompiledShard::compile(&leaf.value, &templates)?),
            };
            self.compiled_shards.insert(leaf.digest, Arc::clone(&shard));
            shards.push(shard);
        }
        let used: HashSet<Digest> = config.shards.iter().map(|l| l.digest).collect();
        self.compiled_shards.retain(|digest, _| used.contains(digest));
        let mut snapshot = Snapshot { version, fleet: global.fleet.clone(), ..Snapshot::default() };
        merge_shards(&mut snapshot, &shards)?;
        Ok(snapshot)
    }
}

/// Compiled parts of a configuration that another system stores in its own format. They replace a
/// [`Source`] for a caller that converts that format itself.
#[derive(Debug, Default)]
pub struct SnapshotParts {
    /// Services, in any order.
    pub services: Vec<Service>,
    /// Customers, in any order.
    pub customers: Vec<Customer>,
    /// Callers' keys, in any order.
    pub keys: Vec<Key>,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
}

impl SnapshotParts {
    /// Validates the references between the parts and joins them.
    ///
    /// # Errors
    /// Fails on the first fault that is found.
    pub fn into_snapshot(self, version: Version) -> Result<Snapshot, ConfError> {
        let shard = CompiledShard {
            services: self.services.into_iter().map(Arc::new).collect(),
            customers: self.customers.into_iter().map(Arc::new).collect(),
            keys: self.keys.into_iter().map(Arc::new).collect(),
            routes: self.routes.into_iter().map(Arc::new).collect(),
            withdrawn: Vec::new(),
        };
        let mut snapshot = Snapshot { version, limits: self.limits, ..Snapshot::default() };
        merge_shards(&mut snapshot, &[Arc::new(shard)])?;
        Ok(snapshot)
    }
}

/// Adds the compiled shards to `snapshot` and checks what concerns several shards: duplicate names and
/// references.
fn merge_shards(snapshot: &mut Snapshot, shards: &[Arc<CompiledShard>]) -> Result<(), ConfError> {
    for shard in shards {
        for service in &shard.services {
            if snapshot.services.insert(service.name.clone(), Arc::clone(service)).is_some() {
                return Err(duplicate_name("service", &service.name));
            }
        }
        snapshot.withdrawn.extend(&shard.withdrawn);
    }
    let customers: Vec<_> = shards.iter().flat_map(|p| &p.customers).collect();
    snapshot.customers = customers.iter().map(|c| (c.name.clone(), Arc::clone(c))).collect();
    if snapshot.customers.len() != customers.len() {
        return Err(find_duplicate_name("customer", customers.iter().map(|c| &*c.name)));
    }
    add_keys(snapshot, shards)?;
    add_routes(snapshot, shards)
}

fn add_keys(snapshot: &mut Snapshot, shards: &[Arc<CompiledShard>]) -> Result<(), ConfError> {
    let mut names = HashSet::new();
    for key in shards.iter().flat_map(|p| &p.keys) {
        let field = |name: &str| format!("key[{}].{name}", key.name);
        if !names.insert(&*key.name) {
            return Err(duplicate_name("key", &key.name));
        }
        if !snapshot.customers.contains_key(&key.customer) {
            let remedy = "add the customer, or withdraw its keys before you remove it";
            return Err(ConfError::new(WHOLE_CONFIG, field("customer"), "unknown customer", remedy));
        }
        if snapshot.withdrawn.contains(&key.hash) {
            let remedy = "give a new key with `pomeloctl keys give`";
            return Err(ConfError::new(WHOLE_CONFIG, field("hash"), "the key was withdrawn", remedy));
        }
        if snapshot.keys.insert(key.hash, Arc::clone(key)).is_some() {
            return Err(ConfError::new(
                WHOLE_CONFIG,
                field("hash"),
                "two keys with the same hash",
                "remove one of the two keys",
            ));
        }
    }
    Ok(())
}

fn add_routes(snapshot: &mut Snapshot, shards: &[Arc<CompiledShard>]) -> Result<(), ConfError> {
    let mut names = HashSet::new();
    let mut groups: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
    for route in shards.iter().flat_map(|p| &p.routes) {
        check_references(snapshot, route)?;
        if !names.insert(&*route.name) {
            return Err(duplicate_name("route", &route.name));
        }
        let segment = first_segment(&route.prefix);
        match groups.get_mut(segment) {
            Some(group) => group.push(Arc::clone(route)),
            None => {
                groups.insert(segment.into(), vec![Arc::clone(route)]);
            }
        }
    }
    for group in groups.values_mut() {
        group.sort_by(|a, b| match_order(a).cmp(&match_order(b)));
        check_conflicts(group)?;
    }
    snapshot.routes = groups;
    Ok(())
}

/// Sort key that puts routes in the order in which they are matched: longest prefix first, and a route of one
/// host before a route of any host.
fn match_order(r: &Route) -> (Reverse<usize>, &str, bool, Option<&str>, &str) {
    let prefix = r.prefix.trim_end_matches('/');
    (Reverse(prefix.len()), prefix, r.host.is_none(), r.host.as_deref(), &r.name)
}

fn check_references(snapshot: &Snapshot, r: &Route) -> Result<(), ConfError> {
    let fail = |field: &str, problem: &str, remedy: &str| {
        Err(ConfError::new(WHOLE_CONFIG, format!("route[{}].{field}", r.name), problem, remedy))
    };
    if !snapshot.services.contains_key(&r.service) {
        return fail("service", "unknown service", "add the service or correct its name");
    }
    if r.customer.as_ref().is_some_and(|c| !snapshot.customers.contains_key(c)) {
        return fail("customer", "unknown customer", "add the customer or correct its name");
    }
    Ok(())
}

/// Refuses two routes that match the same requests. `group` is sorted by [`match_order`], so that routes
/// of the same host and prefix are adjacent.
fn check_conflicts(group: &[Arc<Route>]) -> Result<(), ConfError> {
    let same = |a: &Route, b: &Route| {
        let length_and_host = |r: &Route| (r.prefix.trim_end_matches('/').len(), r.host.clone());
        length_and_host(a) == length_and_host(b)
            && a.prefix.trim_end_matches('/') == b.prefix.trim_end_matches('/')
    };
    for run in group.chunk_by(|a, b| same(a, b)) {
        for (n, a) in run.iter().enumerate() {
            if let Some(b) = run[n + 1..].iter().find(|b| methods_overlap(a, b)) {
                let problem = format!("matches the same requests as route[{}]", a.name);
                let remedy = "change host, prefix or methods of one of them";
                return Err(ConfError::new(
                    WHOLE_CONFIG,
                    format!("route[{}].prefix", b.name),
                    problem,
                    remedy,
                ));
            }
        }
    }
    Ok(())
}

fn methods_overlap(a: &Route, b: &Route) -> bool {
    a.methods.is_empty() || b.methods.is_empty() || a.methods.iter().any(|m| b.methods.contains(m))
}

fn duplicate_name(kind: &str, name: &str) -> ConfError {
    ConfError::new(WHOLE_CONFIG, format!("{kind}[{name}].name"), "name used twice", "rename one of the two")
}

/// Error for a name that occurs more than once in `names`.
fn find_duplicate_name<'a>(kind: &str, names: impl Iterator<Item = &'a str>) -> ConfError {
    let mut seen = HashSet::new();
    let name = names.filter(|n| !seen.insert(*n)).last();
    duplicate_name(kind, name.unwrap_or(""))
}
