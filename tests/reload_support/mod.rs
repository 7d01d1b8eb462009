//! Settings for reload tests.

use pinepoint::config::site::Site;
use serde_json::{Value, json};

/// A class whose requests are reads.
pub const READ: &str = "read_like";
/// A class whose requests have idempotency keys.
pub const KEYED: &str = "idempotency_key";

/// A class of the settings, with a timeout of 3 s and a deduplication window of 5 s.
pub fn service(name: &str, idempotency: &str) -> Value {
    json!({"name": name, "effect": idempotency, "promiseMs": 900, "deadlineMs": 3000, "worth": 1, "lateWorth": 0.2,
        "keyTtlMs": 5000})
}

/// Settings with these classes, each given by its name and its idempotency.
pub fn site(classes: &[(&str, &str)]) -> Site {
    let classes: Vec<Value> = classes.iter().map(|(name, idempotency)| service(name, idempotency)).collect();
    let settings = json!({"services": classes,
        "contract": {"answerSlackMs": 100, "drainGraceMs": 1000, "fallMultiple": 8},
        "specifics": {"cores": 2, "heapKb": 30000, "runFactor": 4, "keyKb": 5, "gauges": ["cpu_busy", "runnable"]}});
    Site::from_json(&settings).expect("valid settings")
}
