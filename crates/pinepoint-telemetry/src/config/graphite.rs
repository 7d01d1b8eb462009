//! `[graphite]`.

use std::net::SocketAddr;

use serde::Deserialize;

use super::{BoundedInt, Spool};
use crate::delivery::{AckMode, DeliveryConfig};
use crate::hash_ring::MAX_RECEIVERS;

/// The protocol to Graphite.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum GraphiteProtocol {
    /// Lines over TCP.
    #[default]
    Plaintext,
    /// Pickled batches over TCP.
    Pickle,
    /// Lines over UDP, with totals since the start.
    Udp,
}

/// When data that was sent to a Graphite receiver over TCP counts as acknowledged.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum AckPolicy {
    /// When the receiver has closed the connection in order after this process did: its process has read all
    /// data.
    #[default]
    Closed,
    /// When the receiver's kernel has acknowledged it. For relays that never close connections; data that
    /// such a relay had not read when it crashed is lost.
    Acknowledged,
}

/// Addresses of receivers, one or several, all different.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(try_from = "OneOrMany")]
pub struct Receivers(Vec<String>);

#[derive(Deserialize)]
#[serde(untagged, expecting = "expected an address such as \"127.0.0.1:2003\" or a list of addresses")]
enum OneOrMany {
    One(String),
    Many(Vec<String>),
}

/// The error for an invalid list of receivers.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReceiversError {
    /// The list is empty or too long.
    #[error("{0} receivers are listed, expected 1 to {MAX_RECEIVERS}")]
    Count(usize),
    /// An entry is not an IP address and a port.
    #[error("{0:?} is not an address, expected an IP address and a port such as 127.0.0.1:2003")]
    Address(String),
    /// An address is listed twice, possibly in another spelling.
    #[error("{0} is listed twice, possibly in another spelling; expected each address once")]
    Duplicate(String),
}

impl Receivers {
    /// The addresses as text, which are the names of the receivers.
    pub fn names(&self) -> &[String] {
        &self.0
    }
}

impl TryFrom<OneOrMany> for Receivers {
    type Error = ReceiversError;

    fn try_from(listed: OneOrMany) -> Result<Self, ReceiversError> {
        let listed = match listed {
            OneOrMany::One(address) => vec![address],
            OneOrMany::Many(addresses) => addresses,
        };
        if !(1..=MAX_RECEIVERS).contains(&listed.len()) {
            return Err(ReceiversError::Count(listed.len()));
        }
        // All processes have to spell an address the same way, or their hash rings would differ.
        let mut names: Vec<String> = Vec::new();
        for text in listed {
            let Ok(address) = text.parse::<SocketAddr>() else { return Err(ReceiversError::Address(text)) };
            let name = address.to_string();
            if names.contains(&name) {
                return Err(ReceiversError::Duplicate(text));
            }
            names.push(name);
        }
        Ok(Receivers(names))
    }
}

/// `[graphite]`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Graphite {
    /// Where points are sent.
    #[serde(alias = "address")]
    pub receivers: Receivers,
    /// The protocol.
    #[serde(default)]
    pub protocol: GraphiteProtocol,
    /// The prefix of all paths.
    #[serde(default = "default_prefix")]
    pub prefix: String,
    /// Whether class and host are tags.
    #[serde(default)]
    pub tags: bool,
    /// Number of receivers that get each point.
    #[serde(default = "default_replication")]
    pub replication: BoundedInt<1, 8>,
    /// When data counts as acknowledged.
    #[serde(default)]
    pub receipt: AckPolicy,
    /// Time between two acknowledgements, s.
    #[serde(default = "default_receipt_s")]
    pub receipt_s: BoundedInt<1, 3600>,
    /// Time over which the traffic of a recovered receiver returns, s.
    #[serde(default = "default_slow_start_s")]
    pub slow_start_s: BoundedInt<0, 3600>,
    /// The spool of undelivered intervals.
    #[serde(default)]
    pub spool: Spool,
}

fn default_prefix() -> String {
    "pinepoint".into()
}

fn default_replication() -> BoundedInt<1, 8> {
    BoundedInt::new(1)
}

fn default_receipt_s() -> BoundedInt<1, 3600> {
    BoundedInt::new(60)
}

fn default_slow_start_s() -> BoundedInt<0, 3600> {
    BoundedInt::new(30)
}

impl Graphite {
    /// The parameters of the delivery of intervals of this length, ms.
    pub fn delivery_config(&self, every_ms: f64) -> DeliveryConfig {
        let mut config = self.spool.delivery_config(every_ms);
        config.replication = self.replication.get() as u32;
        config.ack_interval_ms = self.receipt_s.get() as f64 * 1000.0;
        config.circuit_breaker.slow_start_ms = self.slow_start_s.get() as f64 * 1000.0;
        if self.protocol == GraphiteProtocol::Udp {
            config.ack_mode = AckMode::Inline;
        }
        config
    }
}
