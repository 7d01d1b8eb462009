//! Messages to collectd.

use std::rc::Rc;

use crate::collectd::{
    Credentials, InitializationVector, Notification, PacketSecurity, Severity, ValueLists,
};
use crate::config::{self, CollectdAddress, CollectdProtocol, Security};
use crate::schema::Schema;
use crate::snapshot::Interval;
use crate::transport::{EncodedMessage, Transport};

/// The text of a notification that serves as a health check.
const PROBE_MESSAGE: &str = "looking whether anyone is there";

/// Encodes for collectd.
pub(crate) struct CollectdEncoder {
    schema: Rc<Schema>,
    protocol: CollectdProtocol,
    security: PacketSecurity,
    lists: ValueLists,
    names: Rc<[String]>,
}

impl CollectdEncoder {
    pub(super) fn new(schema: Rc<Schema>, host: &str, every_ms: f64, collectd: &config::Collectd) -> Self {
        let lists = ValueLists::new(&schema, host, every_ms, collectd.types);
        let names = lists.names().into();
        let credentials =
            || Credentials { user: collectd.username.clone(), password: collectd.password.clone() };
        let security = match collectd.security {
            Security::None => PacketSecurity::None,
            Security::Sign => PacketSecurity::Signed(credentials()),
            Security::Encrypt => PacketSecurity::Encrypted(credentials()),
        };
        CollectdEncoder { schema, protocol: collectd.protocol, security, lists, names }
    }

    pub(super) fn names(&self) -> Rc<[String]> {
        self.names.clone()
    }

    pub(super) fn transport(&self, receiver: &str) -> Option<Transport> {
        Some(match self.protocol {
            CollectdProtocol::Network => Transport::Datagrams(receiver.parse().ok()?),
            CollectdProtocol::Text => {
                Transport::AnsweredLines(CollectdAddress::try_from(receiver.to_owned()).ok()?)
            }
        })
    }

    pub(super) fn points(
        &self,
        interval: &Interval,
        points: impl Iterator<Item = usize>,
    ) -> Option<EncodedMessage> {
        match self.protocol {
            CollectdProtocol::Text => {
                let mut bytes = Vec::new();
                let count = self.lists.write_commands(&mut bytes, &self.schema, interval, points);
                Some(EncodedMessage::Lines { bytes, count })
            }
            CollectdProtocol::Network => {
                let packets = self.lists.packets(&self.schema, interval, points, &self.security);
                let sealed = packets.into_iter().map(|packet| self.seal(packet));
                Some(EncodedMessage::Datagrams(sealed.collect::<Option<_>>()?))
            }
        }
    }

    pub(super) fn probe(&self, now_ms: f64) -> Option<EncodedMessage> {
        let message = PROBE_MESSAGE.to_owned();
        self.notification(now_ms, &Notification { severity: Severity::Okay, subject: "probe", message })
    }

    pub(super) fn notification(&self, now_ms: f64, notification: &Notification) -> Option<EncodedMessage> {
        match self.protocol {
            CollectdProtocol::Text => {
                let bytes = self.lists.notification_command(now_ms, notification).into_bytes();
                Some(EncodedMessage::Lines { bytes, count: 1 })
            }
            CollectdProtocol::Network => {
                let packet = self.seal(self.lists.notification_packet(now_ms, notification))?;
                Some(EncodedMessage::Datagrams(vec![packet]))
            }
        }
    }

    fn seal(&self, packet: Vec<u8>) -> Option<Vec<u8>> {
        Some(self.security.seal(packet, new_initialization_vector()?))
    }
}

/// A random initialization vector. Two packets with the same vector, even across restarts, would reveal what
/// they have in common.
fn new_initialization_vector() -> Option<InitializationVector> {
    let mut vector = InitializationVector::default();
    getrandom::fill(&mut vector).ok().map(|()| vector)
}
