//! Finds the line of a faulty field in the operator's file.

use crate::error::ConfError;

/// Adds the operator's file to an error, and the line of the faulty field if it can be found in `text`.
///
/// Errors that already have a line, or that name a template as their file, stay as they are.
#[must_use]
pub fn locate_error(error: ConfError, file: &str, text: &str) -> ConfError {
    if error.line.is_some() || *error.file != *crate::validate::WHOLE_CONFIG {
        return error;
    }
    let line = find_line(&error.field, text);
    ConfError { file: file.into(), line, ..error }
}

/// Line of a field such as `route[stock].service`; if the field is missing in the file, line of the entry's
/// name.
fn find_line(field: &str, text: &str) -> Option<u32> {
    let (entry, leaf) = field.rsplit_once('.').filter(|(_, leaf)| !leaf.contains(']')).unwrap_or((field, ""));
    let (kind, name) = match entry.split_once('[') {
        Some((kind, name)) => (kind, Some(name.split(']').next()?)),
        None => (entry, None),
    };
    let lines: Vec<&str> = text.lines().collect();
    let headers = [format!("[[{kind}]]"), format!("[{kind}]")];
    let starts = lines.iter().enumerate().filter(|(_, l)| headers.iter().any(|h| l.trim() == h));
    for (start, _) in starts {
        let body = lines[start + 1..].iter().take_while(|l| !l.trim_start().starts_with('[')).count();
        let entry = &lines[start + 1..=start + body];
        let is_wanted = |l: &&&str| value_of(l, "name").is_some_and(|v| Some(v) == name);
        let named = entry.iter().position(|l| is_wanted(&l));
        if name.is_some() && named.is_none() {
            continue;
        }
        let at = entry.iter().position(|l| value_of(l, leaf).is_some());
        return Some((start + 1 + at.or(named).map_or(0, |n| n + 1)) as u32);
    }
    None
}

/// Value without quotes if `line` has the form `name = value`.
fn value_of<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let (key, value) = line.split_once('=')?;
    (key.trim() == name).then(|| value.trim().trim_matches('"'))
}
