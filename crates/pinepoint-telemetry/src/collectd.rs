//! collectd's protocols: the binary network protocol, plain, signed or encrypted ("Binary protocol", collectd
//! wiki), and the plain-text protocol ("Plain text protocol", collectd wiki).
//!
//! This module encodes intervals and notifications into bytes and does no I/O. Counters are sent as derives:
//! running totals since the start of the process, so that the next datagram makes up for a lost one.

mod network;
mod security;
mod text;

pub use security::{Credentials, InitializationVector, PacketSecurity};

use crate::config::Types;
use crate::metric_names::sanitize;
use crate::schema::{MetricDescriptor, MetricKind, STATISTICS, Schema, Scope};
use crate::snapshot::{Interval, Temporality};

/// Maximum size of a datagram, bytes: collectd's own `MaxPacketSize`, which fits into one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1452;
/// The longest string that collectd accepts, its terminating zero included (`DATA_MAX_NAME_LEN`), bytes.
const MAX_NAME_BYTES: usize = 128;
/// The longest message of a notification, its terminating zero included (`NOTIF_MAX_MSG_LEN`), bytes.
const MAX_MESSAGE_BYTES: usize = 256;
/// The plugin of all values and notifications.
const PLUGIN_NAME: &str = "pinepoint";
/// The host if none is configured: a receiver would replace an empty name by its own.
const DEFAULT_HOST: &str = "unnamed";

/// The type of a distribution as a list of several values, in `deploy/collectd/types.db`.
pub const DISTRIBUTION_TYPE: &str = "pinepoint_dist";
const DERIVE_TYPE: &str = "derive";
const GAUGE_TYPE: &str = "gauge";

/// The identifier of a value list, without host and plugin.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Identifier {
    /// The request class, or the area of a metric without a class.
    plugin_instance: String,
    /// collectd's type.
    type_name: &'static str,
    /// The measured quantity.
    type_instance: String,
}

/// One value of a value list.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Value {
    Derive(i64),
    Gauge(f64),
}

/// A value list (collectd's unit of data), and the points of the schema whose values it has.
#[derive(Clone, Debug)]
struct ValueList {
    identifier: Identifier,
    points: Vec<usize>,
}

/// The value lists that a process sends.
#[derive(Clone, Debug)]
pub struct ValueLists {
    host: String,
    every_ms: f64,
    lists: Vec<ValueList>,
}

impl ValueLists {
    /// The value lists of a process with these metrics, host name and length of intervals.
    pub fn new(schema: &Schema, host: &str, every_ms: f64, types: Types) -> Self {
        let mut lists: Vec<ValueList> = Vec::new();
        for point in 0..schema.points() {
            let MetricDescriptor { scope, stat, kind } = schema.describe(point);
            let plugin_instance = plugin_instance(schema, scope);
            match (types, kind) {
                (Types::Own, MetricKind::Statistic(statistic)) => {
                    if statistic == STATISTICS[0].0 {
                        let type_instance = stat.split('.').next().unwrap_or_default().to_owned();
                        let type_name = DISTRIBUTION_TYPE;
                        let identifier = Identifier { plugin_instance, type_name, type_instance };
                        lists.push(ValueList { identifier, points: Vec::new() });
                    }
                    lists.last_mut().expect("the first statistic added a list").points.push(point);
                }
                _ => {
                    let type_name = if kind == MetricKind::Counter { DERIVE_TYPE } else { GAUGE_TYPE };
                    let type_instance = stat.replace('.', "-");
                    let identifier = Identifier { plugin_instance, type_name, type_instance };
                    lists.push(ValueList { identifier, points: vec![point] });
                }
            }
        }
        ValueLists { host: host_name(host), every_ms, lists }
    }

    /// Number of value lists.
    pub fn len(&self) -> usize {
        self.lists.len()
    }

    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.lists.is_empty()
    }

    /// The full name of each value list.
    pub fn names(&self) -> Vec<String> {
        self.lists.iter().map(|list| self.name(&list.identifier)).collect()
    }

    fn name(&self, identifier: &Identifier) -> String {
        let Identifier { plugin_instance, type_name, type_instance } = identifier;
        format!("{}/{PLUGIN_NAME}-{plugin_instance}/{type_name}-{type_instance}", self.host)
    }

    /// The values of a list in an interval; `None` if the list has one point and that has no value.
    fn values(&self, schema: &Schema, interval: &Interval, list: usize) -> Option<Vec<Value>> {
        let ValueList { identifier, points } = self.lists.get(list)?;
        let value = |point: usize| {
            let value = interval.value(schema, Temporality::Cumulative, point)?;
            let is_derive = identifier.type_name == DERIVE_TYPE;
            Some(if is_derive { Value::Derive(value as i64) } else { Value::Gauge(value) })
        };
        if let [point] = points.as_slice() {
            return value(*point).map(|value| vec![value]);
        }
        // A list of several values is sent complete; a missing value is sent as NaN.
        Some(points.iter().map(|point| value(*point).unwrap_or(Value::Gauge(f64::NAN))).collect())
    }

    /// The timestamp of the values of an interval: the end of its slot, as collectd expects it, ms.
    fn time_ms(&self, interval: &Interval) -> f64 {
        interval.snapshot.slot_s as f64 * 1000.0 + self.every_ms
    }
}

/// The plugin instance of a scope.
fn plugin_instance(schema: &Schema, scope: Scope) -> String {
    match scope {
        Scope::Class(class) => sanitize(&schema.classes()[class]),
        other => other.area().to_owned(),
    }
}

/// The host name without characters that collectd's identifiers exclude.
fn host_name(host: &str) -> String {
    let host: String = host.chars().filter(|c| !c.is_control() && *c != '/').collect();
    let host = if host.is_empty() { DEFAULT_HOST } else { truncate(&host, MAX_NAME_BYTES - 1) };
    host.to_owned()
}

/// The longest prefix of a text that fits into `max_bytes`.
fn truncate(text: &str, max_bytes: usize) -> &str {
    let mut end = text.len().min(max_bytes);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

/// A notification to the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notification {
    /// The severity.
    pub severity: Severity,
    /// The subject: one word.
    pub subject: &'static str,
    /// The text.
    pub message: String,
}

impl Notification {
    /// The text, truncated to the longest that collectd accepts.
    fn truncated_message(&self) -> &str {
        truncate(&self.message, MAX_MESSAGE_BYTES - 1)
    }
}

/// The severity of a notification, in collectd's numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Something failed.
    Failure = 1,
    /// Something is about to fail.
    Warning = 2,
    /// A failure is over.
    Okay = 4,
}
