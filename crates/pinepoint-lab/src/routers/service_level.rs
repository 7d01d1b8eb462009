//! The latency objective, deadline and priority weight of each class, read from the settings with which the
//! program is started.

use std::collections::HashMap;
use std::io;
use std::time::Duration;

use serde_json::Value;

use crate::process::SETTINGS;

/// Deadline of a class that is not in the settings.
const UNKNOWN_DEADLINE: Duration = Duration::from_secs(10);

/// The weight of an answer to a request of a class, depending on its latency.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceLevel {
    latency_objective: Duration,
    pub(super) deadline: Duration,
    pub(super) weight: f64,
    /// Share of the weight that counts for an answer after the latency objective but before the deadline.
    late_share: f64,
}

impl ServiceLevel {
    /// The weight of a result with this latency.
    pub(super) fn weight_after(&self, latency: Duration) -> f64 {
        let share = match latency {
            latency if latency <= self.latency_objective => 1.0,
            latency if latency <= self.deadline => self.late_share,
            _ => 0.0,
        };
        self.weight * share
    }
}

/// Service levels by class.
pub(super) struct ServiceLevels(HashMap<String, ServiceLevel>);

impl ServiceLevels {
    /// Reads the service levels from the settings with which all processes of the test tool are started.
    pub(super) fn load() -> io::Result<ServiceLevels> {
        let settings: Value =
            serde_json::from_str(&SETTINGS.replace("CORES", "1")).map_err(io::Error::other)?;
        let services = settings["services"].as_array().into_iter().flatten();
        let levels = services.map(|service| {
            let name = service["name"].as_str().unwrap_or_default().to_owned();
            (name, service_level(service))
        });
        Ok(ServiceLevels(levels.collect()))
    }

    /// The service level of a class; all zero if the class is not in the settings.
    pub(super) fn of(&self, class: &str) -> ServiceLevel {
        self.0.get(class).copied().unwrap_or_default()
    }

    /// Maximum time until an answer: the deadline of the class.
    pub(super) fn answer_limit(&self, class: &str) -> Duration {
        self.0.get(class).map_or(UNKNOWN_DEADLINE, |level| level.deadline)
    }
}

fn service_level(service: &Value) -> ServiceLevel {
    let number = |name: &str| service[name].as_f64().unwrap_or(0.0);
    let milliseconds = |name: &str| Duration::from_secs_f64(number(name) / 1000.0);
    ServiceLevel {
        latency_objective: milliseconds("promiseMs"),
        deadline: milliseconds("deadlineMs"),
        weight: number("worth"),
        late_share: number("lateWorth"),
    }
}
