//! Renders a customer's template into routes.

use serde::Deserialize;

use crate::error::ConfError;
use crate::source::{CustomerSource, Param, ParamKind, RouteSource, Template, toml_error};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Rendered {
    #[serde(default)]
    route: Vec<RouteSource>,
}

/// Renders `template` with the customer's parameters and with `customer`, the customer's name. Rendered
/// routes that set no customer belong to that customer.
///
/// # Errors
/// Fails on unknown, missing or out-of-bounds parameters, and when the rendered text is not valid TOML.
pub fn render_routes(template: &Template, customer: &CustomerSource) -> Result<Vec<RouteSource>, ConfError> {
    let file = format!("template {} for customer {}", template.name, customer.name);
    let mut values = toml::Table::new();
    values.insert("customer".into(), toml::Value::String(customer.name.to_string()));
    for name in customer.params.keys() {
        if !template.params.contains_key(name) {
            let field = format!("params.{name}");
            return Err(ConfError::new(
                &file,
                field,
                "unknown parameter",
                "remove it or declare it in the template",
            ));
        }
    }
    for (name, param) in &template.params {
        let value = customer.params.get(name).or(param.default.as_ref());
        let Some(value) = value else {
            let field = format!("params.{name}");
            return Err(ConfError::new(
                &file,
                field,
                "missing parameter",
                "give it a value; it has no default",
            ));
        };
        check_param(&file, name, param, value)?;
        values.insert(name.to_string(), value.clone());
    }
    let mut env = minijinja::Environment::new();
    env.set_undefined_behavior(minijinja::UndefinedBehavior::Strict);
    let text = env.render_str(&template.body, &values).map_err(|e| {
        let line = e.line().map(|l| l as u32);
        let remedy = "correct the template's body";
        ConfError { line, ..ConfError::new(&file, "body", e.to_string(), remedy) }
    })?;
    let rendered: Rendered = toml::from_str(&text).map_err(|e| toml_error(&file, &text, &e))?;
    let mut routes = rendered.route;
    for route in &mut routes {
        route.customer.get_or_insert_with(|| customer.name.clone());
    }
    Ok(routes)
}

fn check_param(file: &str, name: &str, param: &Param, value: &toml::Value) -> Result<(), ConfError> {
    let field = || format!("params.{name}");
    let size = match (param.kind, value) {
        (ParamKind::Text, toml::Value::String(s)) if s.contains(['"', '\\', '\n', '\'']) => {
            let remedy = "remove quotes, backslashes and line breaks; they would break the template";
            return Err(ConfError::new(
                file,
                field(),
                "the text contains a quote, a backslash or a line break",
                remedy,
            ));
        }
        (ParamKind::Text, toml::Value::String(s)) => s.chars().count() as f64,
        (ParamKind::Number, toml::Value::Integer(n)) => *n as f64,
        (ParamKind::Number, toml::Value::Float(n)) => *n,
        (ParamKind::Flag, toml::Value::Boolean(_)) => return Ok(()),
        (kind, _) => {
            let problem = format!("value {value} is not of type {kind:?}");
            return Err(ConfError::new(
                file,
                field(),
                problem,
                "give a value of the type that the template declares",
            ));
        }
    };
    let low = param.min.is_some_and(|min| size < min);
    let high = param.max.is_some_and(|max| size > max);
    if low || high {
        let problem = format!("value {value} is out of bounds");
        return Err(ConfError::new(file, field(), problem, "stay within min and max of the template"));
    }
    Ok(())
}
