//! Compiles one shard, independently of all other shards.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crate::error::ConfError;
use crate::key::KeyHash;
use crate::regions::AllowedRegions;
use crate::render::render_routes;
use crate::shard::Shard;
use crate::snapshot::{Customer, DEFAULT_ATTEMPTS, DEFAULT_PRIORITY, Key, Route, Service};
use crate::source::{KeySource, RouteSource, Template};
use crate::tree::digest_from_hex;
use crate::validate::{WHOLE_CONFIG, check_customer, check_route, check_service};

/// The result of compiling one shard.
#[derive(Debug, Default)]
pub(crate) struct CompiledShard {
    pub(crate) services: Vec<Arc<Service>>,
    pub(crate) customers: Vec<Arc<Customer>>,
    pub(crate) routes: Vec<Arc<Route>>,
    pub(crate) keys: Vec<Arc<Key>>,
    pub(crate) withdrawn: Vec<KeyHash>,
}

impl CompiledShard {
    /// Renders the templates of the shard's customers, and validates and compiles the shard as far as that
    /// is possible without the other shards.
    pub(crate) fn compile(shard: &Shard, templates: &BTreeMap<&str, &Template>) -> Result<Self, ConfError> {
        let mut compiled = CompiledShard::default();
        for s in &shard.service {
            check_service(s)?;
            let (name, floor, cross_region, queue) = (s.name.clone(), s.floor, s.cross_region, s.queue);
            compiled.services.push(Arc::new(Service { name, floor, cross_region, queue, cold_rate: None }));
        }
        for r in &shard.route {
            compiled.routes.push(compile_route(r)?);
        }
        for c in &shard.customer {
            check_customer(c)?;
            let (name, rate, burst) = (c.name.clone(), c.rate, c.burst);
            compiled.customers.push(Arc::new(Customer {
                name,
                rate,
                burst,
                priority: None,
                regions: AllowedRegions::All,
            }));
            let Some(name) = c.template.as_deref() else {
                continue;
            };
            let template = templates.get(name).ok_or_else(|| {
                let field = format!("customer[{}].template", c.name);
                let remedy = "add the template or correct its name";
                ConfError::new(WHOLE_CONFIG, field, format!("no template {name:?}"), remedy)
            })?;
            for r in render_routes(template, c)? {
                compiled.routes.push(compile_route(&r)?);
            }
        }
        for k in &shard.key {
            compiled.keys.push(Arc::new(compile_key(k)?));
        }
        compiled.withdrawn = shard.withdrawn.iter().filter_map(|t| digest_from_hex(&t.hash)).collect();
        Ok(compiled)
    }
}

fn compile_route(r: &RouteSource) -> Result<Arc<Route>, ConfError> {
    check_route(r)?;
    let timeout = Duration::from_millis(r.timeout_ms);
    Ok(Arc::new(Route {
        name: r.name.clone(),
        host: r.host.clone(),
        prefix: r.prefix.clone(),
        methods: r.methods.clone(),
        service: r.service.clone(),
        customer: r.customer.clone(),
        open: r.open,
        repeatable: r.repeatable,
        timeout,
        dedupe: r.dedupe,
        cost: r.cost,
        objective: Route::default_objective(timeout),
        attempts: DEFAULT_ATTEMPTS,
        priority: DEFAULT_PRIORITY,
        split: Vec::new(),
        regions: AllowedRegions::All,
    }))
}

fn compile_key(k: &KeySource) -> Result<Key, ConfError> {
    let hash = digest_from_hex(&k.hash).ok_or_else(|| {
        let field = format!("key[{}].hash", k.name);
        let remedy = "create keys with `pomeloctl keys give`";
        ConfError::new(WHOLE_CONFIG, field, "not 64 hexadecimal digits", remedy)
    })?;
    let expires = k.expires.map(|s| SystemTime::UNIX_EPOCH + Duration::from_secs(s));
    Ok(Key { name: k.name.clone(), hash, customer: k.customer.clone(), expires })
}
