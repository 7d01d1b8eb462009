//! Checks that a new configuration has the keys of the active one before a reload accepts it. This module
//! owns the list of the keys that may be missing. It compares no values.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// Paths of the keys that may be missing. Nothing below these keys is checked.
const OPTIONAL: [&str; 2] = ["management", "settings.prices.fleet"];
/// Paths of the lists whose entries are objects of one kind. Each new entry needs the keys that all active
/// entries have in common.
const LISTS: [&str; 2] = ["settings.services", "settings.projects"];
/// Keys that an entry of these lists may lack even if all active entries have them.
const OPTIONAL_IN_ENTRIES: [&str; 1] = ["aimStretch"];

/// The path of the first key that the active document has and the new one lacks.
pub(super) fn first_missing(active: &Value, new: &Value) -> Option<String> {
    missing_below("", active, new)
}

fn missing_below(path: &str, active: &Value, new: &Value) -> Option<String> {
    match (active, new) {
        (Value::Object(active), Value::Object(new)) => {
            active.iter().find_map(|(key, value)| missing_at(&join(path, key), value, new.get(key)))
        }
        // The new value is not an object, so it has none of the keys.
        (Value::Object(active), _) if !active.is_empty() => Some(path.to_owned()),
        (Value::Array(active), Value::Array(new)) if LISTS.contains(&path) => {
            let common = common_keys(active);
            new.iter().enumerate().find_map(|(index, entry)| {
                let missing = common.iter().find(|key| entry.get(key.as_str()).is_none())?;
                Some(format!("{path}[{index}].{missing}"))
            })
        }
        _ => None,
    }
}

fn missing_at(path: &str, active: &Value, new: Option<&Value>) -> Option<String> {
    if OPTIONAL.contains(&path) {
        return None;
    }
    match new {
        Some(new) => missing_below(path, active, new),
        None => Some(path.to_owned()),
    }
}

fn common_keys(entries: &[Value]) -> BTreeSet<String> {
    let keys = |entry: &Map<String, Value>| entry.keys().cloned().collect::<BTreeSet<String>>();
    let key_sets = entries.iter().filter_map(Value::as_object).map(keys);
    let mut common = key_sets.reduce(|common, keys| &common & &keys).unwrap_or_default();
    common.retain(|key| !OPTIONAL_IN_ENTRIES.contains(&key.as_str()));
    common
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}
