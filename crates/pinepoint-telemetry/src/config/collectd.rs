//! `[collectd]`.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use super::Spool;
use crate::delivery::{AckMode, DeliveryConfig};

/// Maximum length of a user name, bytes.
const MAX_USERNAME_BYTES: usize = 64;

/// Where collectd listens: an address for its network protocol or for text over TCP, or a path for text over
/// a Unix socket.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(try_from = "String")]
pub enum CollectdAddress {
    /// An IP address and a port.
    Address(SocketAddr),
    /// A Unix socket.
    Path(PathBuf),
}

/// The error for an invalid address of collectd.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AddressError {
    /// The address starts with `unix:`, and the rest is not an absolute path.
    #[error("{0:?} has no absolute path after unix:, expected a form such as unix:/run/collectd.sock")]
    RelativePath(String),
    /// The address is neither an IP address with a port nor a Unix socket.
    #[error(
        "{0:?} is not an address, expected an IP address and a port such as 127.0.0.1:25826, or unix:/PATH"
    )]
    Unrecognized(String),
}

impl TryFrom<String> for CollectdAddress {
    type Error = AddressError;

    fn try_from(text: String) -> Result<Self, AddressError> {
        match text.strip_prefix("unix:") {
            Some(path) if path.starts_with('/') => Ok(CollectdAddress::Path(path.into())),
            Some(_) => Err(AddressError::RelativePath(text)),
            None => match text.parse() {
                Ok(address) => Ok(CollectdAddress::Address(address)),
                Err(_) => Err(AddressError::Unrecognized(text)),
            },
        }
    }
}

impl fmt::Display for CollectdAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CollectdAddress::Address(address) => address.fmt(f),
            CollectdAddress::Path(path) => write!(f, "unix:{}", path.display()),
        }
    }
}

/// The protocol to collectd.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum CollectdProtocol {
    /// The binary protocol over UDP.
    #[default]
    Network,
    /// The plain-text protocol over a stream.
    Text,
}

/// How packets of the binary protocol are secured.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Security {
    /// Neither signed nor encrypted.
    #[default]
    None,
    /// Signed.
    Sign,
    /// Encrypted.
    Encrypt,
}

/// The collectd types that values are sent as.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Types {
    /// `derive` and `gauge`, which every collectd knows, one value each.
    #[default]
    Standard,
    /// In addition the type in `deploy/collectd/types.db`, which has all statistics of a distribution in one
    /// value list.
    Own,
}

/// `[collectd]`.
#[derive(Clone, Deserialize, PartialEq)]
#[serde(try_from = "UncheckedCollectd")]
pub struct Collectd {
    /// Where values are sent.
    pub address: CollectdAddress,
    /// The protocol.
    pub protocol: CollectdProtocol,
    /// How packets are secured; other than `None` only with [`CollectdProtocol::Network`].
    pub security: Security,
    /// The user name, 1 to 64 bytes where packets are secured.
    pub username: String,
    /// The password, not empty where packets are secured.
    pub password: String,
    /// Types of the values.
    pub types: Types,
    /// The spool of undelivered intervals.
    pub spool: Spool,
}

/// Omits the password.
impl fmt::Debug for Collectd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "collectd at {} by {:?}, {:?}", self.address, self.protocol, self.security)
    }
}

/// The fields of [`Collectd`] before the check that they can be combined.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct UncheckedCollectd {
    address: CollectdAddress,
    #[serde(default)]
    protocol: CollectdProtocol,
    #[serde(default)]
    security: Security,
    #[serde(default)]
    username: String,
    #[serde(default)]
    password: String,
    #[serde(default)]
    types: Types,
    #[serde(default)]
    spool: Spool,
}

/// The error for settings of `[collectd]` that cannot be combined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CollectdError {
    /// The text protocol cannot be secured.
    #[error(
        "security cannot be used with protocol = \"text\", expected protocol = \"network\" or no security"
    )]
    TextCannotBeSecured,
    /// Secured packets need credentials.
    #[error("security needs a username of 1 to {MAX_USERNAME_BYTES} bytes and a password that is not empty")]
    MissingCredentials,
    /// The network protocol does not work over a Unix socket.
    #[error("a unix: address cannot be used with protocol = \"network\", expected protocol = \"text\"")]
    PathNeedsText,
}

impl TryFrom<UncheckedCollectd> for Collectd {
    type Error = CollectdError;

    fn try_from(unchecked: UncheckedCollectd) -> Result<Self, CollectdError> {
        let UncheckedCollectd { address, protocol, security, username, password, types, spool } = unchecked;
        let is_secured = security != Security::None;
        if is_secured && protocol == CollectdProtocol::Text {
            return Err(CollectdError::TextCannotBeSecured);
        }
        let is_valid_name = (1..=MAX_USERNAME_BYTES).contains(&username.len());
        if is_secured && (!is_valid_name || password.is_empty()) {
            return Err(CollectdError::MissingCredentials);
        }
        if matches!(address, CollectdAddress::Path(_)) && protocol == CollectdProtocol::Network {
            return Err(CollectdError::PathNeedsText);
        }
        Ok(Collectd { address, protocol, security, username, password, types, spool })
    }
}

impl Collectd {
    /// The parameters of the delivery of intervals of this length, ms.
    pub fn delivery_config(&self, every_ms: f64) -> DeliveryConfig {
        DeliveryConfig { ack_mode: AckMode::Inline, ..self.spool.delivery_config(every_ms) }
    }
}
