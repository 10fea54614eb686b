//! Compares two configurations entry by entry.

use std::collections::BTreeMap;
use std::fmt::Debug;

use conf::source::Source;

/// Differences, one a line: `+` added, `-` removed, `~` changed.
pub fn diff(present: &Source, wanted: &Source) -> Vec<String> {
    let mut out = Vec::new();
    if present.fleet != wanted.fleet {
        out.push("~ fleet".into());
    }
    compare(&mut out, "service", &present.service, &wanted.service, |s| &s.name);
    compare(&mut out, "template", &present.template, &wanted.template, |t| &t.name);
    compare(&mut out, "customer", &present.customer, &wanted.customer, |c| &c.name);
    compare(&mut out, "route", &present.route, &wanted.route, |r| &r.name);
    out
}

fn compare<T: PartialEq + Debug>(
    out: &mut Vec<String>,
    kind: &str,
    present: &[T],
    wanted: &[T],
    name: fn(&T) -> &str,
) {
    let present: BTreeMap<&str, &T> = present.iter().map(|e| (name(e), e)).collect();
    let wanted: BTreeMap<&str, &T> = wanted.iter().map(|e| (name(e), e)).collect();
    for (name, entry) in &wanted {
        match present.get(name) {
            None => out.push(format!("+ {kind}[{name}]")),
            Some(old) if old != entry => out.push(format!("~ {kind}[{name}]")),
            Some(_) => {}
        }
    }
    let gone = present.keys().filter(|n| !wanted.contains_key(*n));
    out.extend(gone.map(|n| format!("- {kind}[{n}]")));
}
