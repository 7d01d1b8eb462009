//! The settings under which the simulated processes serve.

use pinepoint::config::site::Site;
use serde_json::{Value, json};

/// Timeout of all classes, ms.
pub const TIMEOUT_MS: f64 = 2000.0;
/// Deduplication window of all keyed classes, ms.
pub const WINDOW_MS: f64 = 2500.0;

/// A class of the settings: its name, and how it may be repeated.
pub type ClassSpec = (&'static str, &'static str);

pub const LOOK: ClassSpec = ("look", "read_like");
pub const WRITE: ClassSpec = ("write", "idempotency_key");
pub const PAY: ClassSpec = ("pay", "idempotency_key");
/// A class of another kind under the name of a keyed class, as a reload may define it.
pub const WRITE_AS_READ: ClassSpec = ("write", "read_like");

/// The settings of a site with these classes.
pub fn site(classes: &[ClassSpec]) -> Site {
    let services: Vec<Value> = classes
        .iter()
        .map(|(name, idempotency)| {
            json!({"name": name, "effect": idempotency, "promiseMs": 900, "deadlineMs": TIMEOUT_MS, "worth": 1,
                "keyTtlMs": WINDOW_MS})
        })
        .collect();
    let info = json!({"services": services, "contract": {"answerSlackMs": 100, "drainGraceMs": 1000},
        "specifics": {"cores": 2, "heapKb": 100_000, "gauges": ["cpu_busy", "runnable"], "runFactor": 2}});
    Site::from_json(&info).expect("the settings of the test are valid")
}
