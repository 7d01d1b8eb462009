//! Verdicts and their changes, as they are logged and shown in the view.

use pinepoint_events::{ReasonCode, reason_codes};
use serde::Serialize;

reason_codes! {
    /// What a verdict says.
    VerdictKind {
        /// The members of a zone stopped answering together, and their processes are gone.
        ZoneLost = "zone-lost",
        /// The members of a zone stopped answering together, and some of them were heard since.
        ZoneCutOff = "zone-cut-off",
        /// The members of a zone stopped answering together; whether they run is not known.
        ZoneUnreachable = "zone-unreachable",
        /// A member is heard and does not answer direct probes.
        OneWay = "one-way",
        /// This member is isolated: it lost most of the fleet at once, or hears nobody.
        SelfCutOff = "self-cut-off",
        /// All processes of the fleet have started just now.
        FleetStart = "fleet-start",
        /// Another process has this member's name.
        NameClash = "name-clash",
    }
}

impl VerdictKind {
    /// Kinds of one family exclude each other about one subject, and count as one when they flap.
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

/// A diagnosis that holds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// What it says.
    pub kind: VerdictKind,
    /// Who it is about: a zone, a member or an address; empty where it is this member or the whole fleet.
    #[serde(rename = "of")]
    pub subject: String,
    /// From 0 to 1: the fraction of the members concerned that bear it out.
    pub confidence: f64,
    /// Evidence, for people.
    pub evidence: String,
    /// When it was made, Unix ms.
    pub since_ms: f64,
    /// Its evidence is over, and it is held down against flapping.
    #[serde(rename = "held")]
    pub is_held_down: bool,
}

/// A change of a verdict.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictChange {
    /// The verdict.
    pub verdict: Verdict,
    /// Whether it holds from now on, or no longer.
    pub holds: bool,
}
