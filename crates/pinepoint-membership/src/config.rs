//! What operators choose of the fleet: the section `[fleet]` of the edge file. It owns the keys, their defaults and their
//! bounds; it must never act on them.

use std::net::{IpAddr, SocketAddr};

use ipnet::IpNet;
use serde::Deserialize;

use crate::member::MAX_NAME_BYTES;
use crate::membership::MembershipSettings;

/// Bounds of the period, ms: below, a busy machine looks dead; above, nobody hears of anything in time.
const PERIOD_MS: std::ops::RangeInclusive<f64> = 50.0..=60_000.0;
/// Bounds of the number of members.
const MEMBERS: std::ops::RangeInclusive<usize> = 2..=8192;
const MAX_SEEDS: usize = 16;

/// The section.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(try_from = "Raw")]
pub struct Config {
    /// Where datagrams of the fleet come in.
    pub listen: SocketAddr,
    /// Where others reach it, if elsewhere.
    pub advertise: Option<SocketAddr>,
    /// Fleets of other names are not heard.
    pub name: String,
    /// The zone of this member; empty where there are none.
    pub zone: String,
    /// Members to ask at the start.
    pub seeds: Vec<SocketAddr>,
    /// Between two questions of one member, ms.
    pub period_ms: f64,
    /// Members that are known at most.
    pub members: usize,
    /// Who may ask for the view, beside loopback.
    pub view_from: Vec<IpNet>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
    #[serde(default = "name")]
    name: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default = "period_ms")]
    period_ms: f64,
    #[serde(default = "members")]
    members: usize,
    #[serde(default)]
    view_from: Vec<IpNet>,
}

/// The name of a fleet that has no other.
pub fn name() -> String {
    "pinepoint".into()
}

fn period_ms() -> f64 {
    MembershipSettings::default().period_ms
}

fn members() -> usize {
    MembershipSettings::default().members
}

impl TryFrom<Raw> for Config {
    type Error = String;

    fn try_from(raw: Raw) -> Result<Self, String> {
        if raw.name.is_empty() || raw.name.len() > MAX_NAME_BYTES {
            return Err(format!("name has to have 1 to {MAX_NAME_BYTES} bytes"));
        }
        if raw.zone.len() > MAX_NAME_BYTES {
            return Err(format!("zone has to have at most {MAX_NAME_BYTES} bytes"));
        }
        if !PERIOD_MS.contains(&raw.period_ms) {
            let (least, most) = (PERIOD_MS.start(), PERIOD_MS.end());
            return Err(format!("period_ms is {} and has to be {least} to {most}", raw.period_ms));
        }
        if !MEMBERS.contains(&raw.members) {
            let (least, most) = (MEMBERS.start(), MEMBERS.end());
            return Err(format!("members is {} and has to be {least} to {most}", raw.members));
        }
        if raw.seeds.len() > MAX_SEEDS {
            return Err(format!("seeds are {} and may be {MAX_SEEDS} at most", raw.seeds.len()));
        }
        let reached = raw.advertise.unwrap_or(raw.listen);
        if reached.ip().is_unspecified() {
            return Err(format!(
                "nobody reaches {reached}: advertise has to name an address of this machine"
            ));
        }
        let Raw { listen, advertise, name, zone, seeds, period_ms, members, view_from } = raw;
        Ok(Config { listen, advertise, name, zone, seeds, period_ms, members, view_from })
    }
}

impl Config {
    /// The rules that follow.
    pub fn rules(&self) -> MembershipSettings {
        MembershipSettings {
            period_ms: self.period_ms,
            members: self.members,
            ..MembershipSettings::default()
        }
    }

    /// Whether this address may ask for the view.
    pub fn may_ask(&self, from: IpAddr) -> bool {
        from.is_loopback() || self.view_from.iter().any(|net| net.contains(&from))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Config, String> {
        toml::from_str(text).map_err(|error| error.message().to_owned())
    }

    #[test]
    fn what_can_not_be_is_refused_with_what_would_be_right() {
        let good = read("listen = \"10.0.0.1:7400\"\nview_from = [\"10.1.0.0/16\"]").expect("taken");
        assert_eq!((good.name.as_str(), good.period_ms, good.seeds.len()), ("pinepoint", 1000.0, 0));
        let asks = |ip: &str| good.may_ask(ip.parse().expect("an address"));
        assert!(asks("127.0.0.1") && asks("10.1.2.3") && !asks("10.2.0.1"));
        let cases = [
            ("listen = \"0.0.0.0:7400\"", "nobody reaches 0.0.0.0:7400: advertise has to name"),
            ("listen = \"10.0.0.1:1\"\nperiod_ms = 5", "period_ms is 5 and has to be 50 to 60000"),
            ("listen = \"10.0.0.1:1\"\nmembers = 1", "members is 1 and has to be 2 to 8192"),
            ("listen = \"10.0.0.1:1\"\nname = \"\"", "name has to have 1 to 64 bytes"),
            ("listen = \"10.0.0.1:1\"\nseed = []", "unknown field `seed`"),
        ];
        for (text, wanted) in cases {
            let error = read(text).expect_err(text);
            assert!(error.starts_with(wanted), "{error}");
        }
    }
}
