//! Encodes points, health checks and notifications as messages of a destination's protocol.

mod collectd;
mod graphite;

use std::rc::Rc;

use collectd::CollectdEncoder;
use graphite::GraphiteEncoder;

use crate::collectd::Notification;
use crate::config;
use crate::schema::Schema;
use crate::snapshot::Interval;
use crate::transport::{EncodedMessage, Transport};

/// The encoder of one destination.
pub(crate) enum Encoder {
    /// For Graphite.
    Graphite(GraphiteEncoder),
    /// For collectd.
    Collectd(CollectdEncoder),
}

impl Encoder {
    pub(crate) fn graphite(schema: Rc<Schema>, host: &str, graphite: &config::Graphite) -> Self {
        Encoder::Graphite(GraphiteEncoder::new(schema, host, graphite))
    }

    /// An encoder for collectd, for intervals of `every_ms`.
    pub(crate) fn collectd(
        schema: Rc<Schema>,
        host: &str,
        every_ms: f64,
        collectd: &config::Collectd,
    ) -> Self {
        Encoder::Collectd(CollectdEncoder::new(schema, host, every_ms, collectd))
    }

    /// The names of the points, in order.
    pub(crate) fn paths(&self) -> Rc<[String]> {
        match self {
            Encoder::Graphite(graphite) => graphite.paths(),
            Encoder::Collectd(collectd) => collectd.names(),
        }
    }

    /// The transport to the receiver of this name; `None` if the name is not an address.
    pub(crate) fn transport(&self, receiver: &str) -> Option<Transport> {
        match self {
            Encoder::Graphite(graphite) => graphite.transport(receiver),
            Encoder::Collectd(collectd) => collectd.transport(receiver),
        }
    }

    /// Encodes these points of an interval; `None` if the system has no random numbers for encryption.
    pub(crate) fn points(&self, interval: &Interval, points: &[u16]) -> Option<EncodedMessage> {
        let points = points.iter().map(|point| usize::from(*point));
        match self {
            Encoder::Graphite(graphite) => Some(graphite.points(interval, points)),
            Encoder::Collectd(collectd) => collectd.points(interval, points),
        }
    }

    /// Encodes a health check; `None` if the system has no random numbers for encryption.
    pub(crate) fn probe(&self, now_ms: f64) -> Option<EncodedMessage> {
        match self {
            Encoder::Graphite(graphite) => Some(graphite.probe(now_ms)),
            Encoder::Collectd(collectd) => collectd.probe(now_ms),
        }
    }

    /// Encodes a notification; `None` if the destination accepts no notifications, or if the system has no
    /// random numbers for encryption.
    pub(crate) fn notification(&self, now_ms: f64, notification: &Notification) -> Option<EncodedMessage> {
        match self {
            Encoder::Graphite(_) => None,
            Encoder::Collectd(collectd) => collectd.notification(now_ms, notification),
        }
    }
}
