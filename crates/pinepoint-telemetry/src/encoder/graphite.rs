//! Messages to Graphite.

use std::rc::Rc;

use crate::config::{self, AckPolicy, GraphiteProtocol};
use crate::graphite::{self, Encoding, PointWriter};
use crate::metric_names::MetricNaming;
use crate::schema::Schema;
use crate::snapshot::{Interval, Temporality};
use crate::transport::{EncodedMessage, Transport};

/// The last component of the path of health checks.
const PROBE_STAT: &str = "probe";
/// The last gauge of every schema. Health checks have its path with [`PROBE_STAT`] as the last component.
const LAST_GAUGE_STAT: &str = "span_s";

/// Encodes for Graphite.
pub(crate) struct GraphiteEncoder {
    schema: Rc<Schema>,
    protocol: GraphiteProtocol,
    ack_policy: AckPolicy,
    paths: Rc<[String]>,
    probe_path: String,
}

impl GraphiteEncoder {
    pub(super) fn new(schema: Rc<Schema>, host: &str, graphite: &config::Graphite) -> Self {
        let naming =
            MetricNaming { prefix: graphite.prefix.clone(), host: host.to_owned(), tags: graphite.tags };
        let paths: Rc<[String]> = naming.paths(&schema).into();
        let last_gauge = &paths[schema.counts() + schema.gauges() - 1];
        let probe_path = last_gauge.replace(LAST_GAUGE_STAT, PROBE_STAT);
        let (protocol, ack_policy) = (graphite.protocol, graphite.receipt);
        GraphiteEncoder { schema, protocol, ack_policy, paths, probe_path }
    }

    pub(super) fn paths(&self) -> Rc<[String]> {
        self.paths.clone()
    }

    pub(super) fn transport(&self, receiver: &str) -> Option<Transport> {
        let address = receiver.parse().ok()?;
        Some(match self.protocol {
            GraphiteProtocol::Udp => Transport::Datagrams(address),
            GraphiteProtocol::Plaintext | GraphiteProtocol::Pickle => {
                Transport::Stream(address, self.ack_policy)
            }
        })
    }

    pub(super) fn points(&self, interval: &Interval, points: impl Iterator<Item = usize>) -> EncodedMessage {
        let temporality = match self.protocol {
            GraphiteProtocol::Plaintext | GraphiteProtocol::Pickle => Temporality::Delta,
            // The loss of a datagram is not detected, and the next total makes up for it.
            GraphiteProtocol::Udp => Temporality::Cumulative,
        };
        let (encoding, schema, paths) = (self.encoding(), &*self.schema, &*self.paths);
        let mut out = Vec::new();
        PointWriter { encoding, temporality, schema, paths }.write(&mut out, interval, points);
        match self.protocol {
            GraphiteProtocol::Udp => {
                EncodedMessage::Datagrams(graphite::datagrams(&out).map(<[u8]>::to_vec).collect())
            }
            GraphiteProtocol::Plaintext | GraphiteProtocol::Pickle => EncodedMessage::Stream(out),
        }
    }

    pub(super) fn probe(&self, now_ms: f64) -> EncodedMessage {
        let mut out = Vec::new();
        graphite::write_probe(&mut out, self.encoding(), &self.probe_path, (now_ms / 1000.0) as u64);
        match self.protocol {
            GraphiteProtocol::Udp => EncodedMessage::Datagrams(vec![out]),
            GraphiteProtocol::Plaintext | GraphiteProtocol::Pickle => EncodedMessage::Stream(out),
        }
    }

    fn encoding(&self) -> Encoding {
        match self.protocol {
            GraphiteProtocol::Plaintext | GraphiteProtocol::Udp => Encoding::Plaintext,
            GraphiteProtocol::Pickle => Encoding::Pickle,
        }
    }
}
