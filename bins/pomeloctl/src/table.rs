//! Formats the JSON of answers as text for people.

use serde_json::Value;

/// A value as text on one line: the values of an object joined by `/`, those of a list by `,`.
pub fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(s) => s.clone(),
        Value::Object(map) => map.values().map(format_value).collect::<Vec<_>>().join("/"),
        Value::Array(list) => list.iter().map(format_value).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// A table with a header line and one line for each object; columns are padded to equal width.
pub fn format_table(rows: &[Value], columns: &[&str]) -> String {
    let mut lines = vec![columns.iter().map(|c| c.replace('_', " ")).collect::<Vec<_>>()];
    for row in rows {
        lines.push(columns.iter().map(|c| format_value(&row[*c])).collect());
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
pub fn format_fields(value: &Value, indent: usize) -> String {
    let Value::Object(map) = value else {
        return format!("{:indent$}{}", "", format_value(value));
    };
    let width = map.keys().map(String::len).max().unwrap_or(0);
    let line = |(name, value): (&String, &Value)| match value {
        Value::Object(inner) if !inner.is_empty() => {
            format!("{:indent$}{name}\n{}", "", format_fields(value, indent + 2))
        }
        Value::Array(list) if list.iter().any(Value::is_object) => {
            let items: Vec<_> = list.iter().map(|v| format_fields(v, indent + 2)).collect();
            format!("{:indent$}{name}\n{}", "", items.join("\n\n"))
        }
        other => format!("{:indent$}{name:width$}  {}", "", format_value(other)),
    };
    map.iter().map(line).collect::<Vec<_>>().join("\n")
}
