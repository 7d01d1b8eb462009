//! Which keys a configuration needs to follow on another. It owns the list of those that may be left out; it must never
//! look at what a key holds.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// Keys that may be missing, by their path; whatever is below them is not looked at.
const OPTIONAL: [&str; 2] = ["management", "settings.prices.fleet"];
/// Lists whose entries are alike: each needs the keys that all entries in force have in common.
const ENTRIES: [&str; 2] = ["settings.services", "settings.projects"];
/// Keys that some entries of these lists have and others need not.
const OPTIONAL_IN_ENTRIES: [&str; 1] = ["aimStretch"];

/// The path of the first key that the document in force has and the new one has not.
pub(super) fn first_missing(in_force: &Value, new: &Value) -> Option<String> {
    missing_below("", in_force, new)
}

fn missing_below(path: &str, in_force: &Value, new: &Value) -> Option<String> {
    match (in_force, new) {
        (Value::Object(in_force), Value::Object(new)) => {
            in_force.iter().find_map(|(key, value)| missing_at(&join(path, key), value, new.get(key)))
        }
        // Nothing of what the object holds is there.
        (Value::Object(in_force), _) if !in_force.is_empty() => Some(path.to_owned()),
        (Value::Array(in_force), Value::Array(new)) if ENTRIES.contains(&path) => {
            let common = common_keys(in_force);
            new.iter().enumerate().find_map(|(at, entry)| {
                let missing = common.iter().find(|key| entry.get(key.as_str()).is_none())?;
                Some(format!("{path}[{at}].{missing}"))
            })
        }
        _ => None,
    }
}

fn missing_at(path: &str, in_force: &Value, new: Option<&Value>) -> Option<String> {
    if OPTIONAL.contains(&path) {
        return None;
    }
    match new {
        Some(new) => missing_below(path, in_force, new),
        None => Some(path.to_owned()),
    }
}

fn common_keys(entries: &[Value]) -> BTreeSet<String> {
    let keys = |entry: &Map<String, Value>| entry.keys().cloned().collect::<BTreeSet<String>>();
    let all = entries.iter().filter_map(Value::as_object).map(keys);
    let mut common = all.reduce(|common, keys| &common & &keys).unwrap_or_default();
    common.retain(|key| !OPTIONAL_IN_ENTRIES.contains(&key.as_str()));
    common
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}
