//! Validates a whole source and compiles it into a snapshot.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use base::Version;

use crate::error::ConfError;
use crate::key::KeyHash;
use crate::render::render;
use crate::snapshot::{Customer, Key, Route, Service, Snapshot, first_segment};
use crate::source::{KeySource, RouteSource, Source};

/// File name used in errors that concern the whole configuration.
const WHOLE: &str = "configuration";

/// Expands every template for every customer that uses it, validates the whole and compiles it.
///
/// # Errors
/// Fails on the first fault, with file, field and remedy.
pub fn compile(source: &Source, version: Version) -> Result<Snapshot, ConfError> {
    let mut snapshot = Snapshot { version, fleet: source.fleet.clone(), ..Snapshot::default() };
    add_services(&mut snapshot, source)?;
    add_customers(&mut snapshot, source)?;
    let routes = expand_routes(source)?;
    add_routes(&mut snapshot, &routes)?;
    for key in &source.key {
        let key = compile_key(&snapshot, key)?;
        if snapshot.keys.insert(key.hash, Arc::new(key)).is_some() {
            return Err(ConfError::new(
                WHOLE,
                "key.hash",
                "two keys with the same hash",
                "remove one of them",
            ));
        }
    }
    Ok(snapshot)
}

fn add_services(snapshot: &mut Snapshot, source: &Source) -> Result<(), ConfError> {
    for s in &source.service {
        let field = format!("service[{}]", s.name);
        if !(0.0..=1.0).contains(&s.floor) {
            let field = format!("{field}.floor");
            return Err(ConfError::new(WHOLE, field, "not between 0 and 1", "give a share such as 0.6"));
        }
        let service =
            Service { name: s.name.clone(), floor: s.floor, cross_region: s.cross_region, queue: s.queue };
        if snapshot.services.insert(s.name.clone(), Arc::new(service)).is_some() {
            return Err(ConfError::new(WHOLE, field, "name used twice", "rename one of the services"));
        }
    }
    Ok(())
}

fn add_customers(snapshot: &mut Snapshot, source: &Source) -> Result<(), ConfError> {
    for c in &source.customer {
        let field = format!("customer[{}]", c.name);
        let valid = |n: f64| n.is_finite() && n > 0.0;
        if !valid(c.rate) || !valid(c.burst) {
            return Err(ConfError::new(WHOLE, field, "rate or burst not above 0", "give positive numbers"));
        }
        let customer = Customer { name: c.name.clone(), rate: c.rate, burst: c.burst };
        if snapshot.customers.insert(c.name.clone(), Arc::new(customer)).is_some() {
            return Err(ConfError::new(WHOLE, field, "name used twice", "rename one of the customers"));
        }
    }
    Ok(())
}

fn expand_routes(source: &Source) -> Result<Vec<RouteSource>, ConfError> {
    let templates: BTreeMap<&str, _> = source.template.iter().map(|t| (&*t.name, t)).collect();
    let mut routes = source.route.clone();
    for customer in &source.customer {
        let Some(name) = customer.template.as_deref() else {
            continue;
        };
        let template = templates.get(name).ok_or_else(|| {
            let field = format!("customer[{}].template", customer.name);
            ConfError::new(
                WHOLE,
                field,
                format!("no template {name:?}"),
                "add the template or correct its name",
            )
        })?;
        routes.extend(render(template, customer)?);
    }
    Ok(routes)
}

fn add_routes(snapshot: &mut Snapshot, sources: &[RouteSource]) -> Result<(), ConfError> {
    let mut names = HashSet::new();
    let mut groups: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
    for r in sources {
        let route = compile_route(snapshot, r)?;
        if !names.insert(route.name.clone()) {
            let field = format!("route[{}]", r.name);
            return Err(ConfError::new(WHOLE, field, "name used twice", "rename one of the routes"));
        }
        groups.entry(first_segment(&route.prefix).into()).or_default().push(Arc::new(route));
    }
    for group in groups.values_mut() {
        group.sort_by_key(|r| (Reverse(r.prefix.len()), r.host.is_none(), r.name.clone()));
    }
    snapshot.routes = groups;
    Ok(())
}

fn compile_route(snapshot: &Snapshot, r: &RouteSource) -> Result<Route, ConfError> {
    let fail = |field: &str, problem: &str, remedy: &str| {
        Err(ConfError::new(WHOLE, format!("route[{}].{field}", r.name), problem, remedy))
    };
    if !r.prefix.starts_with('/') {
        return fail("prefix", "does not start with a slash", "write a path such as \"/orders\"");
    }
    if !snapshot.services.contains_key(&r.service) {
        return fail("service", "unknown service", "add the service or correct its name");
    }
    if r.customer.as_ref().is_some_and(|c| !snapshot.customers.contains_key(c)) {
        return fail("customer", "unknown customer", "add the customer or correct its name");
    }
    if r.open && r.customer.is_some() {
        return fail("open", "an open route can't belong to a customer", "remove open or customer");
    }
    if r.timeout_ms == 0 {
        return fail("timeout_ms", "is 0", "give a time in milliseconds");
    }
    Ok(Route {
        name: r.name.clone(),
        host: r.host.clone(),
        prefix: r.prefix.clone(),
        methods: r.methods.clone(),
        service: r.service.clone(),
        customer: r.customer.clone(),
        open: r.open,
        repeatable: r.repeatable,
        timeout: Duration::from_millis(r.timeout_ms),
        dedupe: r.dedupe,
        cost: r.cost,
    })
}

fn compile_key(snapshot: &Snapshot, k: &KeySource) -> Result<Key, ConfError> {
    let field = |name: &str| format!("key[{}].{name}", k.name);
    if !snapshot.customers.contains_key(&k.customer) {
        return Err(ConfError::new(WHOLE, field("customer"), "unknown customer", "add the customer first"));
    }
    let Some(hash) = parse_hash(&k.hash) else {
        let remedy = "create keys with `pomeloctl keys give`";
        return Err(ConfError::new(WHOLE, field("hash"), "not 64 hexadecimal digits", remedy));
    };
    let expires = k.expires.map(|s| SystemTime::UNIX_EPOCH + Duration::from_secs(s));
    Ok(Key { name: k.name.clone(), hash, customer: k.customer.clone(), expires })
}

fn parse_hash(text: &str) -> Option<KeyHash> {
    blake3::Hash::from_hex(text).ok().map(|h| *h.as_bytes())
}
