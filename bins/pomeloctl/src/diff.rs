//! Compares two configurations entry by entry.

use std::collections::BTreeMap;
use std::fmt::Debug;

use conf::source::Source;

/// Differences, one for each entry: `+` added, `-` removed, `~` changed.
pub fn diff_entries(current: &Source, wanted: &Source) -> Vec<String> {
    let mut out = Vec::new();
    if current.fleet != wanted.fleet {
        out.push("~ fleet".into());
    }
    diff_kind(&mut out, "service", &current.service, &wanted.service, |s| &s.name);
    diff_kind(&mut out, "template", &current.template, &wanted.template, |t| &t.name);
    diff_kind(&mut out, "customer", &current.customer, &wanted.customer, |c| &c.name);
    diff_kind(&mut out, "route", &current.route, &wanted.route, |r| &r.name);
    out
}

/// Appends the differences between two lists of entries of one kind, which are matched by name.
fn diff_kind<T: PartialEq + Debug>(
    out: &mut Vec<String>,
    kind: &str,
    current: &[T],
    wanted: &[T],
    name: fn(&T) -> &str,
) {
    let current: BTreeMap<&str, &T> = current.iter().map(|e| (name(e), e)).collect();
    let wanted: BTreeMap<&str, &T> = wanted.iter().map(|e| (name(e), e)).collect();
    for (name, entry) in &wanted {
        match current.get(name) {
            None => out.push(format!("+ {kind}[{name}]")),
            Some(old) if old != entry => out.push(format!("~ {kind}[{name}]")),
            Some(_) => {}
        }
    }
    let removed = current.keys().filter(|n| !wanted.contains_key(*n));
    out.extend(removed.map(|n| format!("- {kind}[{n}]")));
}
