//! Verdicts and their changes, as logged and shown in the view.

use pinepoint_events::{ReasonCode, reason_codes};
use serde::Serialize;

reason_codes! {
    /// The condition that a verdict states.
    VerdictKind {
        /// The members of a zone stopped answering together, and their processes are gone.
        ZoneLost = "zone-lost",
        /// The members of a zone stopped answering together, and messages of some of them were received
        /// since.
        ZoneCutOff = "zone-cut-off",
        /// The members of a zone stopped answering together. It is unknown whether they run.
        ZoneUnreachable = "zone-unreachable",
        /// Messages of a member are received, but it does not answer direct probes.
        OneWay = "one-way",
        /// This member is isolated: it lost most of the fleet at once, or receives nothing.
        SelfCutOff = "self-cut-off",
        /// All processes of the fleet have started just now.
        FleetStart = "fleet-start",
        /// Another process has this member's name.
        NameClash = "name-clash",
    }
}

impl VerdictKind {
    /// The family of this kind. At most one verdict of a family is active about a subject, and flaps are
    /// counted per family.
    pub(super) fn family(self) -> VerdictKind {
        match self {
            VerdictKind::ZoneLost | VerdictKind::ZoneCutOff => VerdictKind::ZoneUnreachable,
            kind => kind,
        }
    }
}

impl Serialize for VerdictKind {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.code())
    }
}

/// A diagnosis of the fleet, with its evidence.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// The condition that it states.
    pub kind: VerdictKind,
    /// The zone, member or address that it is about. Empty for this member or the whole fleet.
    #[serde(rename = "of")]
    pub subject: String,
    /// From 0 to 1: the fraction of the members concerned that support it.
    pub confidence: f64,
    /// Evidence as text, for operators.
    pub evidence: String,
    /// When the verdict was made, Unix ms.
    pub since_ms: f64,
    /// Its evidence has ended, and it stays active against flapping.
    #[serde(rename = "held")]
    pub is_held_down: bool,
}

/// The beginning or end of a verdict.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictChange {
    /// The verdict that has begun or ended.
    pub verdict: Verdict,
    /// True if the verdict has begun, false if it has ended.
    pub holds: bool,
}
