//! Validates a whole configuration and compiles it; unchanged shards are compiled once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use base::Version;

use crate::error::ConfError;
use crate::part::Part;
use crate::shard::{Config, Digest};
use crate::snapshot::{CallerLimits, Customer, Key, Route, Service, Snapshot, first_segment};
use crate::source::Source;
use crate::validate::{WHOLE, check_fleet, check_templates};

/// Expands every template for every customer that uses it, validates the whole and compiles it.
///
/// # Errors
/// Fails on the first fault, with file, field and remedy.
pub fn compile(source: &Source, version: Version) -> Result<Snapshot, ConfError> {
    Compiler::default().compile(&Config::from_source(source), version)
}

/// Compiles successive configurations and keeps what each shard compiled to.
#[derive(Debug, Default)]
pub struct Compiler {
    global: Digest,
    parts: HashMap<Digest, Arc<Part>>,
}

impl Compiler {
    /// Validates and compiles a configuration.
    ///
    /// # Errors
    /// Fails on the first fault, with file, field and remedy.
    pub fn compile(&mut self, config: &Config, version: Version) -> Result<Snapshot, ConfError> {
        let global = &config.global.value;
        if self.global != config.global.digest {
            check_fleet(&global.fleet)?;
            check_templates(&global.template)?;
            self.parts.clear();
            self.global = config.global.digest;
        }
        let templates: BTreeMap<&str, _> = global.template.iter().map(|t| (&*t.name, t)).collect();
        let mut parts = Vec::with_capacity(config.shards.len());
        for leaf in &config.shards {
            let part = match self.parts.get(&leaf.digest) {
                Some(part) => Arc::clone(part),
                None => Arc::new(Part::compile(&leaf.value, &templates)?),
            };
            self.parts.insert(leaf.digest, Arc::clone(&part));
            parts.push(part);
        }
        let used: HashSet<Digest> = config.shards.iter().map(|l| l.digest).collect();
        self.parts.retain(|digest, _| used.contains(digest));
        let mut snapshot = Snapshot { version, fleet: global.fleet.clone(), ..Snapshot::default() };
        assemble(&mut snapshot, &parts)?;
        Ok(snapshot)
    }
}

/// Compiled pieces of a configuration that another system keeps in a format of its own.
#[derive(Debug, Default)]
pub struct SnapshotParts {
    /// Services.
    pub services: Vec<Service>,
    /// Customers.
    pub customers: Vec<Customer>,
    /// Keys.
    pub keys: Vec<Key>,
    /// Routes.
    pub routes: Vec<Route>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
}

impl SnapshotParts {
    /// Validates the references between the pieces and joins them.
    ///
    /// # Errors
    /// Fails on the first fault, with field and remedy.
    pub fn into_snapshot(self, version: Version) -> Result<Snapshot, ConfError> {
        let part = Part {
            services: self.services.into_iter().map(Arc::new).collect(),
            customers: self.customers.into_iter().map(Arc::new).collect(),
            keys: self.keys.into_iter().map(Arc::new).collect(),
            routes: self.routes.into_iter().map(Arc::new).collect(),
            withdrawn: Vec::new(),
        };
        let mut snapshot = Snapshot { version, limits: self.limits, ..Snapshot::default() };
        assemble(&mut snapshot, &[Arc::new(part)])?;
        Ok(snapshot)
    }
}

fn assemble(snapshot: &mut Snapshot, parts: &[Arc<Part>]) -> Result<(), ConfError> {
    for part in parts {
        for service in &part.services {
            if snapshot.services.insert(service.name.clone(), Arc::clone(service)).is_some() {
                return Err(twice("service", &service.name));
            }
        }
        snapshot.withdrawn.extend(&part.withdrawn);
    }
    let customers: Vec<_> = parts.iter().flat_map(|p| &p.customers).collect();
    snapshot.customers = customers.iter().map(|c| (c.name.clone(), Arc::clone(c))).collect();
    if snapshot.customers.len() != customers.len() {
        return Err(first_twice("customer", customers.iter().map(|c| &*c.name)));
    }
    add_keys(snapshot, parts)?;
    add_routes(snapshot, parts)
}

fn add_keys(snapshot: &mut Snapshot, parts: &[Arc<Part>]) -> Result<(), ConfError> {
    let mut names = HashSet::new();
    for key in parts.iter().flat_map(|p| &p.keys) {
        let field = |name: &str| format!("key[{}].{name}", key.name);
        if !names.insert(&*key.name) {
            return Err(twice("key", &key.name));
        }
        if !snapshot.customers.contains_key(&key.customer) {
            let remedy = "add the customer, or withdraw its keys before you remove it";
            return Err(ConfError::new(WHOLE, field("customer"), "unknown customer", remedy));
        }
        if snapshot.withdrawn.contains(&key.hash) {
            let remedy = "give a new key with `pomeloctl keys give`";
            return Err(ConfError::new(WHOLE, field("hash"), "the key was withdrawn", remedy));
        }
        if snapshot.keys.insert(key.hash, Arc::clone(key)).is_some() {
            return Err(ConfError::new(WHOLE, field("hash"), "two keys with the same hash", "remove one"));
        }
    }
    Ok(())
}

fn add_routes(snapshot: &mut Snapshot, parts: &[Arc<Part>]) -> Result<(), ConfError> {
    let mut names = HashSet::new();
    let mut groups: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
    for route in parts.iter().flat_map(|p| &p.routes) {
        check_references(snapshot, route)?;
        if !names.insert(&*route.name) {
            return Err(twice("route", &route.name));
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
        group.sort_by(|a, b| order(a).cmp(&order(b)));
        check_conflicts(group)?;
    }
    snapshot.routes = groups;
    Ok(())
}

fn order(r: &Route) -> (Reverse<usize>, &str, bool, Option<&str>, &str) {
    let prefix = r.prefix.trim_end_matches('/');
    (Reverse(prefix.len()), prefix, r.host.is_none(), r.host.as_deref(), &r.name)
}

fn check_references(snapshot: &Snapshot, r: &Route) -> Result<(), ConfError> {
    let fail = |field: &str, problem: &str, remedy: &str| {
        Err(ConfError::new(WHOLE, format!("route[{}].{field}", r.name), problem, remedy))
    };
    if !snapshot.services.contains_key(&r.service) {
        return fail("service", "unknown service", "add the service or correct its name");
    }
    if r.customer.as_ref().is_some_and(|c| !snapshot.customers.contains_key(c)) {
        return fail("customer", "unknown customer", "add the customer or correct its name");
    }
    Ok(())
}

/// Refuses two routes that match the same requests. Such routes stand next to each other.
fn check_conflicts(group: &[Arc<Route>]) -> Result<(), ConfError> {
    let same = |a: &Route, b: &Route| {
        let place = |r: &Route| (r.prefix.trim_end_matches('/').len(), r.host.clone());
        place(a) == place(b) && a.prefix.trim_end_matches('/') == b.prefix.trim_end_matches('/')
    };
    for run in group.chunk_by(|a, b| same(a, b)) {
        for (n, a) in run.iter().enumerate() {
            if let Some(b) = run[n + 1..].iter().find(|b| methods_overlap(a, b)) {
                let problem = format!("matches the same requests as route[{}]", a.name);
                let remedy = "change host, prefix or methods of one of them";
                return Err(ConfError::new(WHOLE, format!("route[{}].prefix", b.name), problem, remedy));
            }
        }
    }
    Ok(())
}

fn methods_overlap(a: &Route, b: &Route) -> bool {
    a.methods.is_empty() || b.methods.is_empty() || a.methods.iter().any(|m| b.methods.contains(m))
}

fn twice(kind: &str, name: &str) -> ConfError {
    ConfError::new(WHOLE, format!("{kind}[{name}].name"), "name used twice", "rename one of the two")
}

fn first_twice<'a>(kind: &str, names: impl Iterator<Item = &'a str>) -> ConfError {
    let mut seen = HashSet::new();
    let name = names.filter(|n| !seen.insert(*n)).last();
    twice(kind, name.unwrap_or(""))
}
