//! The conditions of the experiment: what the receivers of telemetry do during one trial.

use std::str::FromStr;

/// What the receivers do in one trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// Telemetry is off.
    Off,
    /// They read what comes.
    Good,
    /// Graphite accepts and reads nothing until the load is over.
    Stalled,
    /// Graphite reads a little at a time.
    Dripping,
    /// Graphite is down until the load is over, and collectd for good.
    Down,
    /// Graphite restarts every few seconds.
    Restarting,
}

/// All conditions, in the order of a round.
pub const CONDITIONS: [Condition; 6] = [
    Condition::Off,
    Condition::Good,
    Condition::Stalled,
    Condition::Dripping,
    Condition::Down,
    Condition::Restarting,
];

impl Condition {
    /// Its name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Condition::Off => "off",
            Condition::Good => "good",
            Condition::Stalled => "stalled",
            Condition::Dripping => "dripping",
            Condition::Down => "down",
            Condition::Restarting => "restarting",
        }
    }
}

/// A name that is none of a [`Condition`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} is none of off, good, stalled, dripping, down, restarting")]
pub struct UnknownCondition(String);

impl FromStr for Condition {
    type Err = UnknownCondition;

    fn from_str(name: &str) -> Result<Condition, UnknownCondition> {
        let named = |condition: &Condition| condition.name().eq_ignore_ascii_case(name);
        CONDITIONS.into_iter().find(named).ok_or_else(|| UnknownCondition(name.to_owned()))
    }
}
