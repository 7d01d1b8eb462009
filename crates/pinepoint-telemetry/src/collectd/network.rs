//! The binary network protocol: packets of typed parts.

use super::{Identifier, Notification, PLUGIN_NAME, PacketSecurity, Value, ValueLists};
use crate::schema::Schema;
use crate::snapshot::Interval;

const HOST: u16 = 0x0000;
const PLUGIN: u16 = 0x0002;
const PLUGIN_INSTANCE: u16 = 0x0003;
const TYPE: u16 = 0x0004;
const TYPE_INSTANCE: u16 = 0x0005;
const VALUES: u16 = 0x0006;
const TIME_HIGH_RESOLUTION: u16 = 0x0008;
const INTERVAL_HIGH_RESOLUTION: u16 = 0x0009;
const MESSAGE: u16 = 0x0100;
const SEVERITY: u16 = 0x0101;

const GAUGE: u8 = 1;
const DERIVE: u8 = 2;

/// Bytes of a part's type and length.
pub(super) const PART_HEADER_BYTES: usize = 4;

impl ValueLists {
    /// Encodes these value lists of an interval into packets that are not sealed yet. Each packet is complete
    /// in itself, so that a lost packet costs only its own values.
    pub fn packets(
        &self,
        schema: &Schema,
        interval: &Interval,
        lists: impl IntoIterator<Item = usize>,
        security: &PacketSecurity,
    ) -> Vec<Vec<u8>> {
        let head = self.packet_head(interval);
        let mut packets: Vec<Vec<u8>> = Vec::new();
        let mut previous: Option<&Identifier> = None;
        for list in lists {
            let Some(values) = self.values(schema, interval, list) else { continue };
            let identifier = &self.lists[list].identifier;
            let parts = value_list_parts(identifier, previous, &values);
            match packets.last_mut() {
                Some(packet) if packet.len() + parts.len() <= security.max_payload_bytes() => {
                    packet.extend(parts);
                }
                _ => packets.push([head.clone(), value_list_parts(identifier, None, &values)].concat()),
            }
            previous = Some(identifier);
        }
        packets
    }

    /// The parts that all value lists of a packet share.
    fn packet_head(&self, interval: &Interval) -> Vec<u8> {
        let mut head = Vec::new();
        write_string(&mut head, HOST, &self.host);
        write_part(&mut head, TIME_HIGH_RESOLUTION, &high_resolution(self.time_ms(interval)));
        write_part(&mut head, INTERVAL_HIGH_RESOLUTION, &high_resolution(self.every_ms));
        write_string(&mut head, PLUGIN, PLUGIN_NAME);
        head
    }

    /// A notification as a packet that is not sealed yet.
    pub fn notification_packet(&self, now_ms: f64, notification: &Notification) -> Vec<u8> {
        let mut packet = Vec::new();
        write_string(&mut packet, HOST, &self.host);
        write_part(&mut packet, TIME_HIGH_RESOLUTION, &high_resolution(now_ms));
        write_part(&mut packet, SEVERITY, &(notification.severity as u64).to_be_bytes());
        write_string(&mut packet, PLUGIN, PLUGIN_NAME);
        write_string(&mut packet, TYPE_INSTANCE, notification.subject);
        write_string(&mut packet, MESSAGE, notification.truncated_message());
        packet
    }
}

/// The parts of a value list, without those that are the same as in the previous list of the packet.
fn value_list_parts(identifier: &Identifier, previous: Option<&Identifier>, values: &[Value]) -> Vec<u8> {
    let mut out = Vec::new();
    if previous.is_none_or(|previous| previous.plugin_instance != identifier.plugin_instance) {
        write_string(&mut out, PLUGIN_INSTANCE, &identifier.plugin_instance);
    }
    if previous.is_none_or(|previous| previous.type_name != identifier.type_name) {
        write_string(&mut out, TYPE, identifier.type_name);
    }
    write_string(&mut out, TYPE_INSTANCE, &identifier.type_instance);
    write_part(&mut out, VALUES, &values_payload(values));
    out
}

/// The number of values, their data source types, and the values.
fn values_payload(values: &[Value]) -> Vec<u8> {
    let mut payload = (values.len() as u16).to_be_bytes().to_vec();
    payload.extend(values.iter().map(|value| match value {
        Value::Derive(_) => DERIVE,
        Value::Gauge(_) => GAUGE,
    }));
    for value in values {
        match value {
            Value::Derive(n) => payload.extend(n.to_be_bytes()),
            // Gauges are the only numbers of the protocol that are not in network byte order.
            Value::Gauge(n) => payload.extend(n.to_le_bytes()),
        }
    }
    payload
}

/// Appends a part: type, length and payload.
pub(super) fn write_part(out: &mut Vec<u8>, part_type: u16, payload: &[u8]) {
    out.extend_from_slice(&part_type.to_be_bytes());
    out.extend_from_slice(&((payload.len() + PART_HEADER_BYTES) as u16).to_be_bytes());
    out.extend_from_slice(payload);
}

/// Appends a string part: the text and a terminating zero.
fn write_string(out: &mut Vec<u8>, part_type: u16, text: &str) {
    write_part(out, part_type, &[text.as_bytes(), &[0]].concat());
}

/// Milliseconds in the protocol's unit, 2^-30 s.
fn high_resolution(ms: f64) -> [u8; 8] {
    ((ms / 1000.0 * f64::from(1 << 30)) as u64).to_be_bytes()
}
