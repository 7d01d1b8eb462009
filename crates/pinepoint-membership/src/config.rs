//! Parses and validates the `[fleet]` section of the edge file: its keys, defaults and bounds, and the errors
//! for values outside of the bounds.

use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;

use ipnet::IpNet;
use serde::Deserialize;

use crate::member::MAX_NAME_BYTES;
use crate::membership::MembershipSettings;

/// Bounds of the protocol period, ms. With a shorter period a busy machine is declared lost; with a longer
/// one changes spread too late.
const PERIOD_MS_BOUNDS: RangeInclusive<f64> = 50.0..=60_000.0;
/// Bounds of the maximum number of members.
const MEMBER_BOUNDS: RangeInclusive<usize> = 2..=8192;
const MAX_SEEDS: usize = 16;

/// The validated `[fleet]` section.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(try_from = "RawConfig")]
pub struct Config {
    /// UDP address on which this member listens.
    pub listen: SocketAddr,
    /// Address at which other members reach this one, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Name of the fleet, 1 to 64 bytes. Messages of fleets of other names are rejected.
    pub name: String,
    /// Zone of this member, 0 to 64 bytes. Empty if the fleet has no zones.
    pub zone: String,
    /// Addresses of members to contact first, 16 at most.
    pub seeds: Vec<SocketAddr>,
    /// Protocol period, ms: 50 to 60,000.
    pub period_ms: f64,
    /// Maximum number of members to keep track of, this one included: 2 to 8,192.
    pub members: usize,
    /// Networks that may query the view, in addition to loopback.
    pub view_from: Vec<IpNet>,
}

/// Why the section is not valid.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The fleet's name is empty or too long.
    #[error("name must have 1 to {MAX_NAME_BYTES} bytes")]
    NameLength,
    /// The zone's name is too long.
    #[error("zone must have at most {MAX_NAME_BYTES} bytes")]
    ZoneLength,
    /// The period, ms, is out of its bounds.
    #[error("period_ms is {0}, but must be {min} to {max}", min = PERIOD_MS_BOUNDS.start(), max = PERIOD_MS_BOUNDS.end())]
    PeriodOutOfRange(f64),
    /// The maximum number of members is out of its bounds.
    #[error("members is {0}, but must be {min} to {max}", min = MEMBER_BOUNDS.start(), max = MEMBER_BOUNDS.end())]
    MembersOutOfRange(usize),
    /// There are more seeds than allowed.
    #[error("seeds has {0} addresses, but at most {MAX_SEEDS} are allowed")]
    TooManySeeds(usize),
    /// This member would announce an unspecified address such as `0.0.0.0` to other members.
    #[error("other members cannot reach {0}: set advertise to an address of this machine")]
    UnspecifiedAddress(SocketAddr),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawConfig {
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
    #[serde(default = "name")]
    name: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default = "default_period_ms")]
    period_ms: f64,
    #[serde(default = "default_members")]
    members: usize,
    #[serde(default)]
    view_from: Vec<IpNet>,
}

/// The default name of a fleet.
pub fn name() -> String {
    "pinepoint".into()
}

fn default_period_ms() -> f64 {
    MembershipSettings::default().period_ms
}

fn default_members() -> usize {
    MembershipSettings::default().max_members
}

impl TryFrom<RawConfig> for Config {
    type Error = ConfigError;

    fn try_from(raw: RawConfig) -> Result<Self, ConfigError> {
        if raw.name.is_empty() || raw.name.len() > MAX_NAME_BYTES {
            return Err(ConfigError::NameLength);
        }
        if raw.zone.len() > MAX_NAME_BYTES {
            return Err(ConfigError::ZoneLength);
        }
        if !PERIOD_MS_BOUNDS.contains(&raw.period_ms) {
            return Err(ConfigError::PeriodOutOfRange(raw.period_ms));
        }
        if !MEMBER_BOUNDS.contains(&raw.members) {
            return Err(ConfigError::MembersOutOfRange(raw.members));
        }
        if raw.seeds.len() > MAX_SEEDS {
            return Err(ConfigError::TooManySeeds(raw.seeds.len()));
        }
        let advertised = raw.advertise.unwrap_or(raw.listen);
        if advertised.ip().is_unspecified() {
            return Err(ConfigError::UnspecifiedAddress(advertised));
        }
        let RawConfig { listen, advertise, name, zone, seeds, period_ms, members, view_from } = raw;
        Ok(Config { listen, advertise, name, zone, seeds, period_ms, members, view_from })
    }
}

impl Config {
    /// The settings of the membership protocol given by this section.
    pub fn membership_settings(&self) -> MembershipSettings {
        MembershipSettings {
            period_ms: self.period_ms,
            max_members: self.members,
            ..MembershipSettings::default()
        }
    }

    /// Whether this address may query the view.
    pub fn may_query_view(&self, from: IpAddr) -> bool {
        from.is_loopback() || self.view_from.iter().any(|network| network.contains(&from))
    }
}

#[cfg(test)]
mod tests;
