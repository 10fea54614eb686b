//! Bounds of single fields.

use std::collections::HashSet;
use std::ops::RangeInclusive;

use crate::error::ConfError;
use crate::snapshot::Fleet;
use crate::source::{CustomerSource, RouteSource, ServiceSource, Template};

/// File name used in errors that concern the whole configuration.
pub(crate) const WHOLE: &str = "configuration";

/// Shares into which rates are cut.
const SHARES: RangeInclusive<u32> = 64..=1_024;
/// Longest age of a current view, in milliseconds.
const FRESH_MS: RangeInclusive<u64> = 500..=60_000;
/// Smallest byte rate of the link between regions.
const MIN_LINK_BYTES_PER_S: u64 = 10_000;
/// Highest rate and burst, in tokens a second and tokens.
const MAX_TOKENS: f64 = 1e7;
/// Longest time for a whole request, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Most requests that may wait in one daemon.
const MAX_QUEUE: u32 = 1_000_000;
/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 128;

fn error<T>(field: impl Into<Box<str>>, problem: impl Into<Box<str>>, remedy: &str) -> Result<T, ConfError> {
    Err(ConfError::new(WHOLE, field, problem, remedy))
}

pub(crate) fn check_fleet(fleet: &Fleet) -> Result<(), ConfError> {
    if !SHARES.contains(&fleet.shares) {
        let problem = format!("{} is out of bounds", fleet.shares);
        return error("fleet.shares", problem, "give a number from 64 to 1024");
    }
    if !FRESH_MS.contains(&fleet.fresh_ms) {
        let problem = format!("{} is out of bounds", fleet.fresh_ms);
        return error("fleet.fresh_ms", problem, "give milliseconds from 500 to 60000");
    }
    if fleet.link_bytes_per_s < MIN_LINK_BYTES_PER_S {
        let problem = format!("{} is too low", fleet.link_bytes_per_s);
        return error("fleet.link_bytes_per_s", problem, "give at least 10000 bytes a second");
    }
    match &fleet.store_region {
        Some(region) => check_name("fleet.store_region", region),
        None => Ok(()),
    }
}

pub(crate) fn check_templates(templates: &[Template]) -> Result<(), ConfError> {
    let mut names = HashSet::new();
    for t in templates {
        check_name(&format!("template[{}].name", t.name), &t.name)?;
        if !names.insert(&*t.name) {
            let field = format!("template[{}].name", t.name);
            return error(field, "name used twice", "rename one of the two");
        }
        for (name, p) in &t.params {
            if p.min.zip(p.max).is_some_and(|(min, max)| min > max) {
                let field = format!("template[{}].params.{name}", t.name);
                return error(field, "min is above max", "swap the two");
            }
        }
    }
    Ok(())
}

pub(crate) fn check_service(s: &ServiceSource) -> Result<(), ConfError> {
    check_name(&format!("service[{}].name", s.name), &s.name)?;
    if !(0.0..=1.0).contains(&s.floor) {
        return error(
            format!("service[{}].floor", s.name),
            "not between 0 and 1",
            "give a share such as 0.6",
        );
    }
    if !(1..=MAX_QUEUE).contains(&s.queue) {
        return error(format!("service[{}].queue", s.name), "out of bounds", "give 1 to 1000000 requests");
    }
    Ok(())
}

pub(crate) fn check_customer(c: &CustomerSource) -> Result<(), ConfError> {
    check_name(&format!("customer[{}].name", c.name), &c.name)?;
    for (name, value) in [("rate", c.rate), ("burst", c.burst)] {
        if !(value > 0.0 && value <= MAX_TOKENS) {
            let problem = format!("{value} is not above 0 and at most 10000000");
            return error(format!("customer[{}].{name}", c.name), problem, "give a number within the bounds");
        }
    }
    if c.burst < 1.0 {
        let field = format!("customer[{}].burst", c.name);
        return error(field, "below 1, so no request could ever run", "give at least 1");
    }
    Ok(())
}

pub(crate) fn check_route(r: &RouteSource) -> Result<(), ConfError> {
    let field = |name: &str| format!("route[{}].{name}", r.name);
    check_name(&field("name"), &r.name)?;
    if !r.prefix.starts_with('/') {
        return error(field("prefix"), "does not start with a slash", "write a path such as \"/orders\"");
    }
    if r.open && r.customer.is_some() {
        return error(field("open"), "an open route can't belong to a customer", "remove open or customer");
    }
    if !(1..=MAX_TIMEOUT_MS).contains(&r.timeout_ms) {
        return error(field("timeout_ms"), "out of bounds", "give 1 to 3600000 milliseconds");
    }
    if let Some(m) = r.methods.iter().find(|m| m.is_empty() || !m.bytes().all(|b| b.is_ascii_uppercase())) {
        return error(field("methods"), format!("{m:?} is no method"), "write methods such as \"GET\"");
    }
    Ok(())
}

fn check_name(field: &str, name: &str) -> Result<(), ConfError> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
        return error(field, format!("{name:?} is no name"), "use 1 to 128 letters, digits, '-', '_', '.'");
    }
    Ok(())
}
