//! Flattens nested JSON into the simulator's form: pairs of a path and a value.

use std::collections::BTreeMap;

use serde_json::Value;

/// Adds the values below `path` to `pairs`. Keys are joined with dots. An array with objects
/// becomes a `count` and the paths of its items by index; an array of scalars becomes one value,
/// joined with commas.
pub(super) fn flatten(path: &str, value: &Value, pairs: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                flatten(&join_path(path, key), field, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.insert(join_path(path, "count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(&join_path(path, &index.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let values: Vec<String> = items.iter().map(scalar_text).collect();
            pairs.insert(path.to_string(), values.join(","));
        }
        value => {
            pairs.insert(path.to_string(), scalar_text(value));
        }
    }
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}

/// Formats a scalar as text. Spaces and commas become underscores, because they separate values in
/// the simulator's form.
fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
