//! Validation of single fields, which needs no other part of the configuration.

use std::collections::HashSet;
use std::ops::RangeInclusive;

use crate::error::ConfError;
use crate::snapshot::Fleet;
use crate::source::{CustomerSource, RouteSource, ServiceSource, Template};

/// File name in errors for which only the whole configuration is known; see [`crate::locate_error`].
pub(crate) const WHOLE_CONFIG: &str = "configuration";

/// Number of shares into which rates are divided.
const SHARES_BOUNDS: RangeInclusive<u32> = 64..=1_024;
/// Longest age of a view that counts as current, in milliseconds.
const FRESH_MS_BOUNDS: RangeInclusive<u64> = 500..=60_000;
/// Smallest budget for the link between regions, in bytes a second.
const MIN_LINK_BYTES_PER_S: u64 = 10_000;
/// Highest rate in tokens a second, and largest burst in tokens.
const MAX_RATE_OR_BURST: f64 = 1e7;
/// Longest time for a whole request, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Longest queue of a service in one daemon, in requests.
const MAX_QUEUED_REQUESTS: u32 = 1_000_000;
/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 128;

fn fail<T>(field: impl Into<Box<str>>, problem: impl Into<Box<str>>, remedy: &str) -> Result<T, ConfError> {
    Err(ConfError::new(WHOLE_CONFIG, field, problem, remedy))
}

pub(crate) fn check_fleet(fleet: &Fleet) -> Result<(), ConfError> {
    if !SHARES_BOUNDS.contains(&fleet.shares) {
        let problem = format!("{} is out of bounds", fleet.shares);
        return fail("fleet.shares", problem, "give a number from 64 to 1024");
    }
    if !FRESH_MS_BOUNDS.contains(&fleet.fresh_ms) {
        let problem = format!("{} is out of bounds", fleet.fresh_ms);
        return fail("fleet.fresh_ms", problem, "give milliseconds from 500 to 60000");
    }
    if fleet.link_bytes_per_s < MIN_LINK_BYTES_PER_S {
        let problem = format!("{} is too low", fleet.link_bytes_per_s);
        return fail("fleet.link_bytes_per_s", problem, "give at least 10000 bytes a second");
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
            return fail(field, "name used twice", "rename one of the two");
        }
        for (name, p) in &t.params {
            if p.min.zip(p.max).is_some_and(|(min, max)| min > max) {
                let field = format!("template[{}].params.{name}", t.name);
                return fail(field, "min is above max", "give a min that is at most max");
            }
        }
    }
    Ok(())
}

pub(crate) fn check_service(s: &ServiceSource) -> Result<(), ConfError> {
    check_name(&format!("service[{}].name", s.name), &s.name)?;
    if !(0.0..=1.0).contains(&s.floor) {
        return fail(format!("service[{}].floor", s.name), "not between 0 and 1", "give a share such as 0.6");
    }
    if !(1..=MAX_QUEUED_REQUESTS).contains(&s.queue) {
        return fail(format!("service[{}].queue", s.name), "out of bounds", "give 1 to 1000000 requests");
    }
    Ok(())
}

pub(crate) fn check_customer(c: &CustomerSource) -> Result<(), ConfError> {
    check_name(&format!("customer[{}].name", c.name), &c.name)?;
    for (name, value) in [("rate", c.rate), ("burst", c.burst)] {
        if !(value > 0.0 && value <= MAX_RATE_OR_BURST) {
            let problem = format!("{value} is not above 0 and at most 10000000");
            return fail(format!("customer[{}].{name}", c.name), problem, "give a number within the bounds");
        }
    }
    if c.burst < 1.0 {
        let field = format!("customer[{}].burst", c.name);
        return fail(field, "below 1, so no request could ever run", "give at least 1");
    }
    Ok(())
}

pub(crate) fn check_route(r: &RouteSource) -> Result<(), ConfError> {
    let field = |name: &str| format!("route[{}].{name}", r.name);
    check_name(&field("name"), &r.name)?;
    if !r.prefix.starts_with('/') {
        return fail(field("prefix"), "does not start with a slash", "write a path such as \"/orders\"");
    }
    if r.open && r.customer.is_some() {
        return fail(field("open"), "an open route can't belong to a customer", "remove open or customer");
    }
    if !(1..=MAX_TIMEOUT_MS).contains(&r.timeout_ms) {
        return fail(field("timeout_ms"), "out of bounds", "give 1 to 3600000 milliseconds");
    }
    if let Some(m) = r.methods.iter().find(|m| m.is_empty() || !m.bytes().all(|b| b.is_ascii_uppercase())) {
        return fail(
            field("methods"),
            format!("{m:?} is not an HTTP method in capitals"),
            "write methods such as \"GET\"",
        );
    }
    Ok(())
}

fn check_name(field: &str, name: &str) -> Result<(), ConfError> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
        return fail(
            field,
            format!("{name:?} is not a valid name"),
            "use 1 to 128 letters, digits, '-', '_', '.'",
        );
    }
    Ok(())
}
