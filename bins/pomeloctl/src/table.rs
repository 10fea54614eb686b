//! Prints answers for people.

use serde_json::Value;

/// The text of a value in a table or list.
pub fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(s) => s.clone(),
        Value::Object(map) => map.values().map(text).collect::<Vec<_>>().join("/"),
        Value::Array(list) => list.iter().map(text).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// A table with one row for each object and its columns padded to equal width.
pub fn table(rows: &[Value], columns: &[&str]) -> String {
    let mut lines = vec![columns.iter().map(|c| c.replace('_', " ")).collect::<Vec<_>>()];
    for row in rows {
        lines.push(columns.iter().map(|c| text(&row[*c])).collect());
    }
    let width = |n: usize| lines.iter().map(|l| l[n].chars().count()).max().unwrap_or(0);
    let widths: Vec<_> = (0..columns.len()).map(width).collect();
    let line = |cells: &Vec<String>| {
        let cells = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    lines.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// One line for each field; nested objects are indented.
pub fn fields(value: &Value, indent: usize) -> String {
    let Value::Object(map) = value else {
        return format!("{:indent$}{}", "", text(value));
    };
    let width = map.keys().map(String::len).max().unwrap_or(0);
    let line = |(name, value): (&String, &Value)| match value {
        Value::Object(inner) if !inner.is_empty() => {
            format!("{:indent$}{name}\n{}", "", fields(value, indent + 2))
        }
        Value::Array(list) if list.iter().any(Value::is_object) => {
            let items: Vec<_> = list.iter().map(|v| fields(v, indent + 2)).collect();
            format!("{:indent$}{name}\n{}", "", items.join("\n\n"))
        }
        other => format!("{:indent$}{name:width$}  {}", "", text(other)),
    };
    map.iter().map(line).collect::<Vec<_>>().join("\n")
}
