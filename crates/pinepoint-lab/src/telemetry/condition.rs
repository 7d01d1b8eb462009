//! The conditions of the experiment: how the telemetry receivers behave during a trial.

use std::str::FromStr;

/// Behaviour of the receivers during a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// Telemetry is off.
    Off,
    /// The receivers read everything that arrives.
    Good,
    /// Graphite accepts connections, but reads nothing until the load is over.
    Stalled,
    /// Graphite reads a little at a time.
    Dripping,
    /// Graphite is down until the load is over, collectd for the whole trial.
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
    /// The name on the command line and in reports.
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

/// The error for a name that is not a [`Condition`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown condition {0:?}; expected off, good, stalled, dripping, down or restarting")]
pub struct UnknownCondition(String);

impl FromStr for Condition {
    type Err = UnknownCondition;

    fn from_str(name: &str) -> Result<Condition, UnknownCondition> {
        let has_name = |condition: &Condition| condition.name().eq_ignore_ascii_case(name);
        CONDITIONS.into_iter().find(has_name).ok_or_else(|| UnknownCondition(name.to_owned()))
    }
}
