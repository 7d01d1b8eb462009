//! Settings of the membership protocol.

use crate::diagnosis::DiagnosisSettings;

/// The failure detector in use. All but the default are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FailureDetector {
    /// SWIM with Lifeguard's extensions.
    #[default]
    Lifeguard,
    /// SWIM alone: no local health multiplier, and suspicions of a fixed duration.
    Swim,
    /// Each member sends to all others once a period.
    Heartbeat,
}

/// A fault injected by tests to check that it is detected.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A suspected member does not refute.
    NoRefutation,
    /// An earlier generation overrides a later one.
    AcceptStaleGeneration,
}

/// Settings of one member. All members of a fleet need the same period.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Protocol period, ms: the time between two probes of one member.
    pub period_ms: f64,
    /// The failure detector.
    pub detector: FailureDetector,
    /// Maximum number of members to keep track of, the local one included.
    pub max_members: usize,
    /// Time for which a member that left is retained, ms.
    pub left_retention_ms: f64,
    /// Time for which a lost member is retained and pinged now and then, ms.
    pub lost_retention_ms: f64,
    /// Thresholds of diagnosis.
    pub diagnosis: DiagnosisSettings,
    #[doc(hidden)]
    pub injected_fault: Option<InjectedFault>,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            period_ms: 1000.0,
            detector: FailureDetector::Lifeguard,
            max_members: 4096,
            left_retention_ms: 600_000.0,
            lost_retention_ms: 86_400_000.0,
            diagnosis: DiagnosisSettings::default(),
            injected_fault: None,
        }
    }
}
