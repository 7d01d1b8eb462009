//! What a collectd receiver has accepted, and what it has rejected.

use std::collections::BTreeMap;

/// A value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value {
    /// A running total.
    Derive(i64),
    /// A state.
    Gauge(f64),
}

/// A notification.
#[derive(Clone, Debug, PartialEq)]
pub struct Notification {
    /// 1 failure, 2 warning, 4 okay.
    pub severity: u64,
    /// What it is about.
    pub type_instance: String,
    /// In words.
    pub message: String,
}

/// What was received.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// Values by `host/plugin-instance/type-instance`, each with its time in s.
    pub values: BTreeMap<String, Vec<(f64, Vec<Value>)>>,
    /// Notifications.
    pub notifications: Vec<Notification>,
    /// Packets and lines that were rejected: malformed, wrong signature, wrong key, or not protected.
    pub rejected: u64,
    /// Values that were not newer than the last of their series.
    pub stale: u64,
    /// Largest interval that senders have reported, s.
    pub interval_s: f64,
}

impl Received {
    /// The last total or state of a series.
    pub fn last(&self, name: &str) -> Option<f64> {
        match self.values.get(name)?.last()?.1.first()? {
            Value::Derive(total) => Some(*total as f64),
            Value::Gauge(state) => Some(*state),
        }
    }

    /// Adds what one packet held.
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

    /// Adds a value; tells whether it was newer than the last of its series.
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
