//! The plain-text protocol: one command per line, each answered by the receiver.

use super::{Notification, PLUGIN_NAME, Severity, Value, ValueLists};
use crate::schema::Schema;
use crate::snapshot::Interval;

impl ValueLists {
    /// Appends these value lists of an interval to `out` as `PUTVAL` commands. Returns the number of
    /// commands.
    pub fn write_commands(
        &self,
        out: &mut Vec<u8>,
        schema: &Schema,
        interval: &Interval,
        lists: impl IntoIterator<Item = usize>,
    ) -> usize {
        let mut count = 0;
        for list in lists {
            let Some(values) = self.values(schema, interval, list) else { continue };
            let values: Vec<String> = values.iter().map(value_text).collect();
            let command = format!(
                "PUTVAL {} interval={} {:.3}:{}\n",
                quoted(&self.name(&self.lists[list].identifier)),
                self.every_ms / 1000.0,
                self.time_ms(interval) / 1000.0,
                values.join(":")
            );
            out.extend_from_slice(command.as_bytes());
            count += 1;
        }
        count
    }

    /// A notification as a `PUTNOTIF` command.
    pub fn notification_command(&self, now_ms: f64, notification: &Notification) -> String {
        let severity = match notification.severity {
            Severity::Failure => "failure",
            Severity::Warning => "warning",
            Severity::Okay => "okay",
        };
        format!(
            "PUTNOTIF severity={severity} time={:.3} host={} plugin={PLUGIN_NAME} type_instance={} message={}\n",
            now_ms / 1000.0,
            quoted(&self.host),
            notification.subject,
            quoted(notification.truncated_message())
        )
    }
}

fn value_text(value: &Value) -> String {
    match value {
        Value::Derive(n) => n.to_string(),
        Value::Gauge(n) if n.is_nan() => "U".to_owned(),
        Value::Gauge(n) => n.to_string(),
    }
}

fn quoted(text: &str) -> String {
    let text: String = text.chars().filter(|c| !c.is_control()).collect();
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}
