//! The values and notifications that a collectd receiver has accepted, and counts of those it rejected.

use std::collections::BTreeMap;

/// A value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value {
    /// The total of a counter.
    Derive(i64),
    /// The current value of a gauge.
    Gauge(f64),
}

/// A notification.
#[derive(Clone, Debug, PartialEq)]
pub struct Notification {
    /// 1 failure, 2 warning, 4 okay.
    pub severity: u64,
    /// The type instance, which names the subject of the notification.
    pub type_instance: String,
    /// The message text.
    pub message: String,
}

/// Everything that a receiver has received.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// Values by series `host/plugin-instance/type-instance`, each with its time in s.
    pub values: BTreeMap<String, Vec<(f64, Vec<Value>)>>,
    /// Notifications.
    pub notifications: Vec<Notification>,
    /// Number of rejected packets and lines: malformed, wrong signature, wrong key, or not protected.
    pub rejected: u64,
    /// Number of values that were not newer than the last value of their series.
    pub stale: u64,
    /// Longest interval that senders have reported, s.
    pub interval_s: f64,
}

impl Received {
    /// The last value of a series.
    pub fn last(&self, name: &str) -> Option<f64> {
        match self.values.get(name)?.last()?.1.first()? {
            Value::Derive(total) => Some(*total as f64),
            Value::Gauge(value) => Some(*value),
        }
    }

    /// Adds the contents of one packet.
    pub(super) fn merge(&mut self, packet: Received) {
        for (name, rows) in packet.values {
            for (time_s, values) in rows {
                self.insert(name.clone(), time_s, values);
            }
        }
        self.notifications.extend(packet.notifications);
        self.stale += packet.stale;
        self.interval_s = packet.interval_s.max(self.interval_s);
    }

    /// Adds a value if it is newer than the last value of its series; returns whether it is.
    pub(super) fn insert(&mut self, name: String, time_s: f64, values: Vec<Value>) -> bool {
        let row = self.values.entry(name).or_default();
        if row.last().is_some_and(|(last, _)| *last >= time_s) {
            self.stale += 1;
            return false;
        }
        row.push((time_s, values));
        true
    }
}
