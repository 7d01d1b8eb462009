//! What operators choose in the edge file: `[telemetry]`, `[graphite]`, `[collectd]`. It owns the fields and what each may
//! hold; a value that can't be is refused where it stands, so that what is read here needs no further check.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use crate::circuit;
use crate::delivery::{Receipts, Rules};
use crate::ring;
use crate::spool::Bounds;

/// A whole number within a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "i64")]
pub struct Within<const LEAST: i64, const MOST: i64>(i64);

impl<const LEAST: i64, const MOST: i64> Within<LEAST, MOST> {
    /// The number.
    pub const fn get(self) -> i64 {
        self.0
    }

    const fn new(n: i64) -> Self {
        assert!(n >= LEAST && n <= MOST);
        Within(n)
    }
}

impl<const LEAST: i64, const MOST: i64> TryFrom<i64> for Within<LEAST, MOST> {
    type Error = String;

    fn try_from(n: i64) -> Result<Self, String> {
        if (LEAST..=MOST).contains(&n) {
            Ok(Within(n))
        } else {
            Err(format!("{n} is not from {LEAST} to {MOST}"))
        }
    }
}

/// What holds for all destinations.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Telemetry {
    /// Length of an interval, s.
    pub every_s: Within<1, 3600>,
    /// Longest time after the last answer in which what is left goes out, ms.
    pub last_ms: Within<0, 5000>,
}

impl Default for Telemetry {
    fn default() -> Self {
        Telemetry { every_s: Within::new(10), last_ms: Within::new(200) }
    }
}

/// The spool of a destination.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Spool {
    /// Most memory, kB.
    pub kb: Within<256, 1_048_576>,
    /// Age past which intervals are merged into the next, s.
    pub age_s: Within<60, 31_536_000>,
}

impl Default for Spool {
    fn default() -> Self {
        Spool { kb: Within::new(1024), age_s: Within::new(86_400) }
    }
}

/// The protocol to Graphite.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum GraphiteProtocol {
    /// Lines over TCP.
    #[default]
    Plaintext,
    /// Pickled batches over TCP.
    Pickle,
    /// Lines over UDP, as running totals.
    Udp,
}

/// What counts as taken by a Graphite receiver over TCP.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Receipt {
    /// That it closed the connection in order after we did: its process read all of it.
    #[default]
    Closed,
    /// That its system acknowledged it: for relays that never close. What such a relay had not read when it died is
    /// lost.
    Acknowledged,
}

/// Names of receivers, one or several, all different.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(try_from = "OneOrMany")]
pub struct Receivers(Vec<String>);

#[derive(Deserialize)]
#[serde(untagged, expecting = "an address or a list of addresses")]
enum OneOrMany {
    One(String),
    Many(Vec<String>),
}

impl Receivers {
    /// Their addresses as text, which are their names.
    pub fn names(&self) -> &[String] {
        &self.0
    }
}

impl TryFrom<OneOrMany> for Receivers {
    type Error = String;

    fn try_from(told: OneOrMany) -> Result<Self, String> {
        let names = match told {
            OneOrMany::One(name) => vec![name],
            OneOrMany::Many(names) => names,
        };
        if !(1..=ring::MOST).contains(&names.len()) {
            return Err(format!("{} receivers: there have to be 1 to {}", names.len(), ring::MOST));
        }
        // Written the same way by all comparers, or their rings would differ.
        let mut plain = Vec::new();
        for name in names {
            let address: SocketAddr = name
                .parse()
                .map_err(|_| format!("{name:?} is not an address and a port such as 127.0.0.1:2003"))?;
            if plain.contains(&address.to_string()) {
                return Err(format!("{name} stands there twice"));
            }
            plain.push(address.to_string());
        }
        Ok(Receivers(plain))
    }
}

/// `[graphite]`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Graphite {
    /// Where it goes.
    #[serde(alias = "address")]
    pub receivers: Receivers,
    /// How.
    #[serde(default)]
    pub protocol: GraphiteProtocol,
    /// What stands in front of all paths.
    #[serde(default = "prefix")]
    pub prefix: String,
    /// Class and comparer as tags.
    #[serde(default)]
    pub tags: bool,
    /// Receivers that each point goes to.
    #[serde(default = "one")]
    pub replication: Within<1, 8>,
    /// What counts as taken.
    #[serde(default)]
    pub receipt: Receipt,
    /// Time between two receipts, s.
    #[serde(default = "receipt_s")]
    pub receipt_s: Within<1, 3600>,
    /// Time in which a receiver that is back takes its paths back, s.
    #[serde(default = "slow_start_s")]
    pub slow_start_s: Within<0, 3600>,
    /// What is not delivered.
    #[serde(default)]
    pub spool: Spool,
}

fn prefix() -> String {
    "pinepoint".into()
}

fn one() -> Within<1, 8> {
    Within::new(1)
}

fn receipt_s() -> Within<1, 3600> {
    Within::new(60)
}

fn slow_start_s() -> Within<0, 3600> {
    Within::new(30)
}

/// Where collectd listens: an address for its network protocol or for text over TCP, or a path for text over a socket
/// of the machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(try_from = "String")]
pub enum Place {
    /// An address and a port.
    Address(SocketAddr),
    /// A Unix socket.
    Path(PathBuf),
}

impl TryFrom<String> for Place {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        match text.strip_prefix("unix:") {
            Some(path) if path.starts_with('/') => Ok(Place::Path(path.into())),
            Some(_) => Err(format!("{text:?} is not unix: and an absolute path")),
            None => text
                .parse()
                .map(Place::Address)
                .map_err(|_| format!("{text:?} is neither an address and a port nor unix:/PATH")),
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Address(address) => address.fmt(f),
            Place::Path(path) => write!(f, "unix:{}", path.display()),
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

/// How packets of the binary protocol are protected.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Security {
    /// Not at all.
    #[default]
    None,
    /// Signed.
    Sign,
    /// Encrypted.
    Encrypt,
}

/// Which types the values have.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Types {
    /// Those that every collectd knows.
    #[default]
    Standard,
    /// Those of `deploy/collectd/types.db` too.
    Own,
}

/// `[collectd]`.
#[derive(Clone, Deserialize, PartialEq)]
#[serde(try_from = "RawCollectd")]
pub struct Collectd {
    /// Where it goes.
    pub address: Place,
    /// How.
    pub protocol: CollectdProtocol,
    /// How it is protected, with the user's name and password where it is.
    pub security: Security,
    /// The user.
    pub username: String,
    /// Its password.
    pub password: String,
    /// Types of the values.
    pub types: Types,
    /// What is not delivered.
    pub spool: Spool,
}

impl fmt::Debug for Collectd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "collectd at {} by {:?}, {:?}", self.address, self.protocol, self.security)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCollectd {
    address: Place,
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

impl TryFrom<RawCollectd> for Collectd {
    type Error = String;

    fn try_from(raw: RawCollectd) -> Result<Self, String> {
        let RawCollectd { address, protocol, security, username, password, types, spool } = raw;
        let guarded = security != Security::None;
        if guarded && protocol == CollectdProtocol::Text {
            return Err("security is for protocol = \"network\" alone".into());
        }
        if guarded && (username.is_empty() || username.len() > 64 || password.is_empty()) {
            return Err("security needs a username of 1 to 64 bytes and a password".into());
        }
        if matches!(address, Place::Path(_)) && protocol == CollectdProtocol::Network {
            return Err("a path needs protocol = \"text\"".into());
        }
        Ok(Collectd { address, protocol, security, username, password, types, spool })
    }
}

impl Spool {
    fn bounds(self) -> Bounds {
        Bounds {
            bytes: self.kb.get() as usize * 1024,
            age_ms: self.age_s.get() as f64 * 1000.0,
            window: WINDOW,
        }
    }
}

/// Intervals of which points may be under way at once.
const WINDOW: usize = 16;

fn rules(spool: Spool, every_ms: f64) -> Rules {
    Rules {
        spool: spool.bounds(),
        circuit: circuit::Rules::default(),
        receipts: Receipts::OnClose,
        copies: 1,
        receipt_ms: 60_000.0,
        connect_wait_ms: 3000.0,
        receipt_wait_ms: 15_000.0,
        progress: (256, 5000.0),
        lag_ms: 60_000.0,
        pace_ms: 1000.0,
        spread_ms: every_ms / 4.0,
    }
}

impl Graphite {
    /// How it is served.
    pub fn rules(&self, every_ms: f64) -> Rules {
        let mut rules = rules(self.spool, every_ms);
        rules.copies = self.replication.get() as u32;
        rules.receipt_ms = self.receipt_s.get() as f64 * 1000.0;
        rules.circuit.slow_start_ms = self.slow_start_s.get() as f64 * 1000.0;
        if self.protocol == GraphiteProtocol::Udp {
            rules.receipts = Receipts::ByItself;
        }
        rules
    }
}

impl Collectd {
    /// How it is served.
    pub fn rules(&self, every_ms: f64) -> Rules {
        Rules { receipts: Receipts::ByItself, ..rules(self.spool, every_ms) }
    }
}

#[cfg(test)]
mod tests;
