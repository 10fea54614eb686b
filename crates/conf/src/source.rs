//! The operators' format: TOML with services, templates, customers, routes and keys.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::error::ConfError;
use crate::snapshot::{Dedupe, Fleet, RepeatPolicy};

/// A whole configuration as operators write it. When it is written to a file, the sections have the order of
/// these fields.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Source {
    /// Settings of the whole fleet.
    pub fleet: Fleet,
    /// Services.
    pub service: Vec<ServiceSource>,
    /// Templates that render customers' routes.
    pub template: Vec<Template>,
    /// Customers.
    pub customer: Vec<CustomerSource>,
    /// Routes that no template renders.
    pub route: Vec<RouteSource>,
    /// Keys, as hashes.
    pub key: Vec<KeySource>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSource {
    /// Name.
    pub name: Box<str>,
    /// Share of the service's servers that must stay in use, 0 to 1: servers are not ejected below it.
    #[serde(default = "default_floor")]
    pub floor: f64,
    /// Whether requests may go to servers of another region.
    #[serde(default = "default_true")]
    pub cross_region: bool,
    /// Requests that may wait in the queue of one daemon.
    #[serde(default = "default_queue")]
    pub queue: u32,
}

/// A template: typed parameters and a body that renders to `[[route]]` tables.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Name.
    pub name: Box<str>,
    /// Parameters by name.
    #[serde(default)]
    pub params: BTreeMap<Box<str>, Param>,
    /// Template text in the syntax of minijinja.
    pub body: Box<str>,
}

/// A parameter of a template.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Param {
    /// Type of the value.
    #[serde(rename = "type")]
    pub kind: ParamKind,
    /// Value when the customer gives none; `None`: the parameter is required.
    #[serde(default)]
    pub default: Option<toml::Value>,
    /// Smallest number, or shortest text in characters; `None`: no bound.
    #[serde(default)]
    pub min: Option<f64>,
    /// Largest number, or longest text in characters; `None`: no bound.
    #[serde(default)]
    pub max: Option<f64>,
}

/// Type of a parameter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ParamKind {
    /// Text, e.g. `"cirios"`.
    Text,
    /// Number, e.g. `2.5`.
    Number,
    /// Boolean, e.g. `true`.
    Flag,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSource {
    /// Name.
    pub name: Box<str>,
    /// Tokens a second, over all daemons together.
    pub rate: f64,
    /// Tokens that may be spent at once, over all daemons together.
    pub burst: f64,
    /// Template that renders the customer's routes; `None`: no template.
    #[serde(default)]
    pub template: Option<Box<str>>,
    /// Values of the template's parameters.
    #[serde(default)]
    pub params: BTreeMap<Box<str>, toml::Value>,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSource {
    /// Name.
    pub name: Box<str>,
    /// Host that the request must name; `None`: any host.
    #[serde(default)]
    pub host: Option<Box<str>>,
    /// Path prefix; matches whole path segments only.
    pub prefix: Box<str>,
    /// Methods that match; empty for all.
    #[serde(default)]
    pub methods: Vec<Box<str>>,
    /// Service that serves the route.
    pub service: Box<str>,
    /// Customer that owns the route; `None`: any customer's key is accepted.
    #[serde(default)]
    pub customer: Option<Box<str>>,
    /// Whether the route is public: it needs no key and is not rate-limited.
    #[serde(default)]
    pub open: bool,
    /// Which requests are idempotent.
    #[serde(default)]
    pub repeatable: RepeatPolicy,
    /// Time for a whole request when the caller gives no deadline, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Handling of Idempotency-Keys.
    #[serde(default)]
    pub dedupe: Dedupe,
    /// Tokens of the customer's rate that one request takes.
    #[serde(default = "default_cost")]
    pub cost: u32,
}

/// A caller's key as the fleet stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySource {
    /// Name under which operators withdraw the key.
    pub name: Box<str>,
    /// Hexadecimal keyed hash of the key's secret.
    pub hash: Box<str>,
    /// Customer for whom requests with this key run.
    pub customer: Box<str>,
    /// Seconds since the epoch from which the key is refused; `None`: never.
    #[serde(default)]
    pub expires: Option<u64>,
}

fn default_floor() -> f64 {
    0.6
}

fn default_true() -> bool {
    true
}

fn default_queue() -> u32 {
    1_000
}

fn default_timeout_ms() -> u64 {
    10_000
}

fn default_cost() -> u32 {
    1
}

/// Parses an operator's file; `file` is its name in errors.
///
/// # Errors
/// Fails on syntax errors, unknown fields and wrong types, with the line of the fault.
pub fn parse(file: &str, text: &str) -> Result<Source, ConfError> {
    toml::from_str(text).map_err(|e| toml_error(file, text, &e))
}

/// Converts a TOML error to one with file, line and remedy.
pub(crate) fn toml_error(file: &str, text: &str, error: &toml::de::Error) -> ConfError {
    let line = error
        .span()
        .map(|s| text.as_bytes().iter().take(s.start).filter(|b| **b == b'\n').count() as u32 + 1);
    let problem = error.message().replace('\n', " ");
    let remedy = "correct the file as docs/OPERATING.md describes";
    ConfError { line, ..ConfError::new(file, "syntax", problem, remedy) }
}
